package proxy

import (
	"time"

	"oatloft/internal/admission"
	"oatloft/internal/core"
	"oatloft/internal/platform"
)

// client is the state of one client connection and its request. It belongs to the loop.
type client struct {
	handle core.Handle
	conn   *connection
	server *connection // of the attempt in flight, or of the server of an established flow; nil if there is none

	partialLine []byte // the part of the first line received so far
	request     platform.Open
	requestRead bool // the first line is complete
	idShared    bool // other processes of this balancer can see the request's id
	established bool // the flow is established on a server
	finished    bool // nothing more is to be answered or forwarded

	answerReader   platform.LineReader // of the attempt
	fromServer     platform.LineScanner
	toServer       platform.LineScanner
	lastServerLine platform.LineKind // type of the server's latest line

	migration    migration
	backpressure [2]bool // index 0: towards the client; index 1: towards the server
}

// handleAccepted registers a new client connection.
func (b *Balancer) handleAccepted(conn *connection) {
	b.counters.Accepted++
	b.lastHandle++
	c := &client{handle: b.lastHandle, conn: conn}
	conn.client = c
	b.clients[c.handle] = c
	b.step(core.ConnectionAccepted{Client: c.handle})
	if conn.ticket != 0 {
		b.clientsByTicket[conn.ticket] = c
		if victim, ok := b.admission.takePendingVictim(conn.ticket); ok {
			b.step(core.CloseIdle{Client: c.handle, RetryAfter: victim.RetryAfter})
		}
	}
	if b.exiting && !c.finished { // accepted while the listener was being closed
		b.reject(c, admission.Verdict{Reason: admission.NoDescriptor})
	}
}

// handleClientEvent handles data and ends of a client's connection.
func (b *Balancer) handleClientEvent(c *client, e event) {
	switch e.kind {
	case eventData:
		b.handleClientData(c, *e.data)
	case eventEOF, eventReset:
		b.handleClientEnd(c, e.kind)
	}
}

func (b *Balancer) handleClientData(c *client, data []byte) {
	switch {
	case c.finished || c.conn.clientLeft.Load():
	case !c.established && !c.requestRead && b.limitFirstBytes(c, len(data)):
	case c.established:
		b.forwardFromClient(c, data)
	default:
		b.readRequest(c, data)
	}
}

// forwardFromClient forwards a client's bytes to its server.
func (b *Balancer) forwardFromClient(c *client, data []byte) {
	if c.migration.forwardingRequest {
		b.countExemptRequest(c, data)
	}
	seen := c.toServer.Read(data)
	b.counters.LinesIn += int64(seen.Lines)
	b.step(core.DataReceived{Client: c.handle, Payload: core.Payload{Data: data, Lines: seen.Lines}})
}

func (b *Balancer) handleClientEnd(c *client, kind eventKind) {
	reason := closeReason(kind)
	switch {
	case c.finished:
	case c.requestRead:
		b.step(core.ClientClosed{Client: c.handle, Reason: reason})
	case reason == core.CloseEOF && len(c.partialLine) > 0: // the rest of the line will not arrive
		b.rejectMalformed(c)
	default:
		b.step(core.ClientClosed{Client: c.handle, Reason: reason})
		b.closeClient(c, core.CloseEOF)
	}
	if reason == core.CloseReset {
		c.finished = true
		b.removeClient(c)
	}
}

// closeReason converts the kind of a connection's end to the reducer's reason.
func closeReason(kind eventKind) core.CloseReason {
	if kind == eventReset {
		return core.CloseReset
	}
	return core.CloseEOF
}

// closeAttempt drops the connection of an attempt that is still in flight.
func (c *client) closeAttempt(attempt int) {
	if c.server != nil && c.server.attempt == attempt {
		c.dropServer()
	}
}

// dropServer drops the server's connection immediately.
func (c *client) dropServer() {
	if c.server != nil {
		c.server.drop()
		c.server = nil
	}
}

// closeServer closes the server's connection in the way the client's connection ended.
func (c *client) closeServer(reason core.CloseReason) {
	switch {
	case c.server == nil:
	case reason == core.CloseReset:
		c.server.reset()
	default:
		c.server.fin(false)
	}
}

// removeClient removes a client to which nothing more will be sent.
func (b *Balancer) removeClient(c *client) {
	delete(b.clients, c.handle)
	delete(b.migrating, c)
	if c.conn.ticket != 0 {
		delete(b.clientsByTicket, c.conn.ticket)
		b.admission.answered(c.conn.ticket)
	}
}

// finalAnswer writes a client's final answer and closes its connection. What the client still sends is read and
// discarded until it closes as well: closing a socket with unread bytes would reset the connection, and the answer
// could be lost. A client closed by admission is closed by force, since its descriptor is needed immediately.
func (b *Balancer) finalAnswer(c *client, line []byte) {
	c.conn.write(line)
	b.closeClient(c, core.CloseEOF)
	if b.admission != nil && !c.requestRead && !b.exiting {
		c.conn.forceClose()
	}
}

// closeClient closes a client's connection and removes the client.
func (b *Balancer) closeClient(c *client, reason core.CloseReason) {
	c.finished = true
	b.removeClient(c)
	if reason == core.CloseReset || reason == core.CloseUnfinishedLine {
		c.conn.reset()
	} else {
		c.conn.fin(true)
	}
}

// isBacklogged reports whether lines may have waited to be read because this process was stalled.
func (b *Balancer) isBacklogged() bool { return b.backloggedUntil.After(b.lastIterationAt) }

// timeLeft returns a request's time-out minus the time that the request has waited to be read.
func (b *Balancer) timeLeft(c *client, timeout time.Duration) time.Duration {
	if !b.isBacklogged() {
		return timeout
	}
	return max(0, timeout-c.conn.sinceLastData())
}
