package proxy

import "oatloft/internal/core"

const (
	// backpressureBytes is the backlog towards one side above which reading from the other side pauses.
	backpressureBytes = 64 << 10
	// resumeBytes is the backlog below which reading resumes.
	resumeBytes = 16 << 10
)

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

// updateBackpressure notifies the reducer when the backlog towards the client or the server exceeds
// backpressureBytes, and when it has fallen below resumeBytes again.
func (b *Balancer) updateBackpressure(c *client) {
	for direction, conn := range []*connection{c.conn, c.server} {
		if conn == nil {
			continue
		}
		toServer := direction == 1
		backlog := conn.backlog()
		switch {
		case !c.backpressure[direction] && backlog > backpressureBytes:
			c.backpressure[direction] = true
			conn.flushed() // requests an event for when all is written
			b.step(core.BackpressureChanged{Client: c.handle, ToServer: toServer, Full: true})
		case c.backpressure[direction] && backlog < resumeBytes:
			c.backpressure[direction] = false
			b.step(core.BackpressureChanged{Client: c.handle, ToServer: toServer})
		}
	}
}
