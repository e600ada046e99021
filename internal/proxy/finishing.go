package proxy

import (
	"slices"
	"time"
)

const (
	// peerReadTimeout is how long a finishing connection waits for its peer to read more.
	peerReadTimeout = 5 * time.Second
	// finishTimeoutReduction is by how much the time-out of a finishing connection is shortened while descriptors are
	// scarce. The rest suffices for bytes that were in flight when it began to finish.
	finishTimeoutReduction = 950 * time.Millisecond
)

// collectClosed removes the connections whose descriptors have been released, and extends the time-out of those that
// still make progress in writing.
func (b *Balancer) collectClosed(now time.Time) {
	for conn := range b.finishing {
		if conn.isDescriptorFreed() {
			delete(b.finishing, conn)
			continue
		}
		if written := conn.written.Load(); written != conn.writtenAtLastCheck {
			conn.writtenAtLastCheck, conn.forceCloseAt = written, now.Add(peerReadTimeout)
		}
	}
}

// closeFinishing closes the finishing connections whose time-out, shortened by reduction, has expired. If admission is
// not configured and descriptors for new requests are nearly exhausted, the connections that have waited longest for
// their peer to close are closed immediately.
func (b *Balancer) closeFinishing(now time.Time, reduction time.Duration) {
	closing := 0
	waiting := make([]*connection, 0, len(b.finishing))
	for conn := range b.finishing {
		switch {
		case conn.hasEnded():
			closing++
		case now.After(conn.forceCloseAt.Add(-reduction)):
			conn.forceClose()
			closing++
		case conn.backlog() == 0:
			waiting = append(waiting, conn)
		}
	}
	if b.admission != nil {
		return
	}
	lacking := min(b.basicLimits().MissingDescriptors(int(b.sockets.Load())-closing), len(waiting))
	if lacking == 0 {
		return
	}
	slices.SortFunc(waiting, func(x, y *connection) int { return x.finishedAt.Compare(y.finishedAt) })
	for _, conn := range waiting[:lacking] {
		conn.forceClose()
	}
}
