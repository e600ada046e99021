package proxy

import (
	"time"

	"oatloft/internal/admission"
	"oatloft/internal/core"
	"oatloft/internal/platform"
)

// client is one client connection and what its request has come to. It belongs to the loop.
type client struct {
	handle core.Handle
	conn   *connection
	server *connection // of the attempt that is under way, or of the server that the flow is on; nil for none

	partialLine []byte // of the first line
	request     platform.Open
	requestRead bool // the first line is complete
	established bool // the flow is on a server
	finished    bool // nothing more is owed or forwarded

	answerReader   platform.LineReader // of the attempt
	fromServer     platform.Scan
	toServer       platform.Scan
	lastServerWord platform.Word // of the server's last line

	migration    migration
	backpressure [2]bool // on the way to the client, and to the server
}

// handleAccepted takes a new connection in.
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
			b.step(core.CloseIdle{Client: c.handle, RetryAfter: victim.After})
		}
	}
	if b.exiting && !c.finished { // accepted while the listener was closed
		b.reject(c, admission.Verdict{Reason: admission.NoDescriptor})
	}
}

// handleClientEvent takes what a client's connection brings.
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
	case c.finished:
	case !c.established && !c.requestRead && b.limitFirstBytes(c, len(data)):
	case c.migration.passingRequest:
		b.passRestOfRequest(c, data)
	case c.established:
		seen := c.toServer.Read(data)
		b.counters.LinesIn += int64(seen.Lines)
		b.step(core.DataReceived{Client: c.handle, Payload: core.Payload{Data: data, Lines: seen.Lines}})
	default:
		b.readRequest(c, data)
	}
}

func (b *Balancer) handleClientEnd(c *client, kind eventKind) {
	if b.isMigrating(c) {
		b.clientEndedMigrating(c, kind)
		return
	}
	reason := closeReason(kind)
	switch {
	case c.finished:
	case c.requestRead:
		b.step(core.ClientClosed{Client: c.handle, Reason: reason})
	case reason == core.CloseEOF && len(c.partialLine) > 0: // the rest of the line will not come
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

// closeReason translates a connection's end.
func closeReason(kind eventKind) core.CloseReason {
	if kind == eventReset {
		return core.CloseReset
	}
	return core.CloseEOF
}

// closeAttempt ends the connection of an attempt, if it is still under way.
func (c *client) closeAttempt(attempt int) {
	if c.server != nil && c.server.attempt == attempt {
		c.dropServer()
	}
}

// dropServer ends the server's connection at once.
func (c *client) dropServer() {
	if c.server != nil {
		c.server.drop()
		c.server = nil
	}
}

// pauseReading pauses or resumes reading of the client's or the server's connection.
func (c *client) pauseReading(ofServer, on bool) {
	conn := c.conn
	if ofServer {
		conn = c.server
	}
	switch {
	case conn == nil:
	case on:
		conn.pause()
	default:
		conn.resume()
	}
}

// closeServer ends the server's connection as the client's has ended.
func (c *client) closeServer(reason core.CloseReason) {
	switch {
	case c.server == nil:
	case reason == core.CloseReset:
		c.server.reset()
	default:
		c.server.fin(false)
	}
}

// removeClient forgets a client that gets nothing more.
func (b *Balancer) removeClient(c *client) {
	delete(b.clients, c.handle)
	if c.conn.ticket != 0 {
		delete(b.clientsByTicket, c.conn.ticket)
		b.admission.answered(c.conn.ticket)
	}
}

// finalAnswer writes all that a client gets, and closes. What the client sends from then on is read and dropped
// until it ends as well: closing with unread bytes would reset the connection, and the answer could be lost with
// it. The descriptor of a client that admission closes is needed at once.
func (b *Balancer) finalAnswer(c *client, line []byte) {
	c.conn.write(line)
	b.closeClient(c, core.CloseEOF)
	if b.admission != nil && !c.requestRead && !b.exiting {
		c.conn.forceClose()
	}
}

// closeClient ends a client's connection and forgets the client.
func (b *Balancer) closeClient(c *client, reason core.CloseReason) {
	c.finished = true
	b.removeClient(c)
	delete(b.migrating, c)
	if reason == core.CloseReset {
		c.conn.reset()
	} else {
		c.conn.fin(true)
	}
}

// isBacklogged tells whether lines may have waited to be read because this process stood still.
func (b *Balancer) isBacklogged() bool { return b.backloggedUntil.After(b.lastTurnAt) }

// timeLeft returns a request's timeout less the time that it has waited to be read.
func (b *Balancer) timeLeft(c *client, timeout time.Duration) time.Duration {
	if !b.isBacklogged() {
		return timeout
	}
	return max(0, timeout-c.conn.sinceLastData())
}
