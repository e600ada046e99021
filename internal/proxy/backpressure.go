package proxy

import "oatloft/internal/core"

const (
	// backpressureBytes is how much one side may have to write before reading of the other side pauses ...
	backpressureBytes = 64 << 10
	// resumeBytes ... until it has less than this.
	resumeBytes = 16 << 10
)

// handleFlushed follows a connection that has written all it was given.
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

// updateBackpressure tells the reducer when the way to the client or to the server fills up, and when it has room
// again.
func (b *Balancer) updateBackpressure(c *client) {
	for way, conn := range []*connection{c.conn, c.server} {
		if conn == nil {
			continue
		}
		toServer := way == 1
		backlog := conn.backlog()
		switch {
		case !c.backpressure[way] && backlog > backpressureBytes:
			c.backpressure[way] = true
			conn.flushed() // has an event posted when all has left
			b.step(core.BackpressureChanged{Client: c.handle, ToServer: toServer, Full: true})
		case c.backpressure[way] && backlog < resumeBytes:
			c.backpressure[way] = false
			b.step(core.BackpressureChanged{Client: c.handle, ToServer: toServer})
		}
	}
}
