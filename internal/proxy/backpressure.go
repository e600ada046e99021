package proxy

import "oatloft/internal/core"

const (
	// backpressureBytes is the backlog towards one side above which reading from the other side pauses, if memory allows.
	backpressureBytes = 64 << 10
	// minBackpressureBytes is its lower bound, which has room for a line.
	minBackpressureBytes = 8 << 10
	// resumeFraction is the fraction of the threshold below which reading resumes.
	resumeFraction = 4
	// backlogMemoryFraction is the fraction of the configured memory for the backlogs of all connections.
	backlogMemoryFraction = 8
)

// pauseThreshold returns the backlog, in bytes, above which reading from the other side pauses. Each flow has its share
// of the memory for backlogs.
func (b *Balancer) pauseThreshold() int64 {
	if b.cfg.MemoryMB <= 0 {
		return backpressureBytes
	}
	directions := 2 * int64(max(1, b.core.OpenRequests()))
	share := int64(b.cfg.MemoryMB) << 20 / backlogMemoryFraction / directions
	return min(backpressureBytes, max(minBackpressureBytes, share))
}

// handleFlushed handles a connection whose accepted bytes have all been written.
func (b *Balancer) handleFlushed(conn *connection) {
	c := conn.client
	if c == nil {
		return
	}
	if conn.role == serverRole && c.server == conn && !c.established {
		b.step(core.RequestSent{Client: c.handle, Attempt: conn.attempt})
	}
	b.updateBackpressure(c)
}

// updateBackpressure notifies the reducer when the backlog towards the client or the server exceeds the threshold, and
// when it has fallen well below it again.
func (b *Balancer) updateBackpressure(c *client) {
	threshold := b.pauseThreshold()
	for direction, conn := range []*connection{c.conn, c.server} {
		if conn == nil {
			continue
		}
		toServer := direction == 1
		backlog := conn.backlog()
		switch { // flushed asks for an event unless all is written: each pause ends with one
		case !c.backpressure[direction] && backlog > threshold && !conn.flushed():
			c.backpressure[direction] = true
			b.step(core.BackpressureChanged{Client: c.handle, ToServer: toServer, Full: true})
		case c.backpressure[direction] && (backlog < threshold/resumeFraction || conn.flushed()):
			c.backpressure[direction] = false
			b.step(core.BackpressureChanged{Client: c.handle, ToServer: toServer})
		}
	}
}
