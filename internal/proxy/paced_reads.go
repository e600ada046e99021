package proxy

import (
	"time"

	"oatloft/internal/core"
)

// maxPacedReads is the number of reads per core.TickInterval, over all clients without a request, beyond the first read
// of each.
const maxPacedReads = 32

// pacedReads limits how much is read from clients that have sent something, but no request yet: a client may send
// commands by hundreds before its request, or send its request in many pieces, and the clients that do so must not take
// the time that others need. The clients are read in turn. Reads that bring no bytes are not counted.
type pacedReads struct {
	windowStart time.Time
	used        int // reads in the current window
}

// resume reads the first clients that wait, as far as the current window allows.
func (p *pacedReads) resume(queue *eventQueue, clients int, now time.Time) {
	if now.Sub(p.windowStart) >= core.TickInterval {
		p.windowStart, p.used = now, 0
	}
	for range clients {
		if p.used >= maxPacedReads {
			return
		}
		if queue.nextPaced().resumeDeferred() {
			p.used++
		}
	}
}
