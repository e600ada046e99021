package proxy

import (
	"oatloft/internal/core"
	"oatloft/internal/platform"
)

// handleServerEvent handles an event of the connection of an attempt, or of an established flow's server.
func (b *Balancer) handleServerEvent(c *client, conn *connection, e event) {
	if c.server != conn {
		return
	}
	switch e.kind {
	case eventConnected:
		b.handleAttemptConnected(c, conn)
	case eventDialFailed:
		c.server = nil
		b.step(core.AttemptClosed{Client: c.handle, Attempt: conn.attempt, Reason: core.CloseRefused})
	case eventEOF, eventReset:
		b.handleServerEnd(c, conn, e.kind)
	case eventData:
		if !c.established {
			b.readAnswer(c, conn, *e.data)
			return
		}
		if b.zoneLinks != nil && conn.wasQueued.Swap(false) {
			b.step(core.ServerDataQueued{Client: c.handle})
		}
		b.forwardFromServer(c, *e.data)
	}
}

// handleAttemptConnected passes the event on, unless the client has reset its connection: its request must not be sent,
// also if the reset is still to be handled.
func (b *Balancer) handleAttemptConnected(c *client, conn *connection) {
	if c.conn.wasReset() {
		b.handleClientEnd(c, eventReset)
		return
	}
	if b.sentByOtherProcess(c) {
		b.step(core.SentByOtherProcess{Client: c.handle})
		return
	}
	b.step(core.AttemptConnected{Client: c.handle, Attempt: conn.attempt})
}

func (b *Balancer) handleServerEnd(c *client, conn *connection, kind eventKind) {
	reason := closeReason(kind)
	if closing := closingLineReason(c.lastServerLine); closing != core.CloseEOF {
		reason = closing
	}
	b.step(core.AttemptClosed{Client: c.handle, Attempt: conn.attempt, Reason: reason})
}

// closingLineReason returns the reducer's reason for a server's closing line, and CloseEOF for any other line.
func closingLineReason(line platform.LineKind) core.CloseReason {
	switch line {
	case platform.Bye:
		return core.CloseFinished
	case platform.MoveLine:
		return core.CloseMigrated
	}
	return core.CloseEOF
}

// readAnswer parses an attempt's answer, which may arrive in pieces. An answer that violates the protocol is a
// failure of the server, which may have executed the request; none of it reaches the client.
func (b *Balancer) readAnswer(c *client, conn *connection, data []byte) {
	if b.zoneLinks != nil {
		b.zoneLinks.countReceived(c, conn.server, len(data))
	}
	data, first, complete := c.answerReader.Read(data)
	if !complete {
		return
	}
	reason := core.CloseFailed
	switch platform.AnswerKind(data[:first]) {
	case platform.Up:
		b.establish(c, conn, data, data[first:])
		return
	case platform.Busy:
		reason = core.CloseRejected
	case platform.Bye:
		reason = core.CloseFinished
	case platform.MoveLine:
		reason = core.CloseMigrated
	}
	b.step(core.AttemptClosed{Client: c.handle, Attempt: conn.attempt, Reason: reason})
}

// establish assigns the flow to the attempt's server. data is the answer and the bytes behind it.
func (b *Balancer) establish(c *client, conn *connection, data, trailing []byte) {
	c.established = true
	if b.admission != nil {
		b.admission.established(c.conn.ticket)
	}
	c.conn.markEstablished()
	conn.markBulk()
	if b.zoneLinks != nil {
		b.zoneLinks.attach(c)
	}
	seen := c.fromServer.Read(trailing)
	c.lastServerLine = seen.Last
	b.step(core.AttemptAccepted{
		Client:  c.handle,
		Attempt: conn.attempt,
		Payload: c.serverPayload(data, seen),
	})
}

// serverPayload describes data of the server, which fromServer has scanned last.
func (c *client) serverPayload(data []byte, seen platform.ScanSummary) core.Payload {
	return core.Payload{
		Data:        data,
		Lines:       seen.Lines,
		HasLoad:     seen.Load,
		Load:        seen.LoadValue,
		InsideLine:  !c.fromServer.BetweenLines(),
		CloseReason: closingLineReason(seen.Last),
	}
}

// forwardFromServer forwards a server's bytes. A client that is to be migrated gets none after the end of the line.
func (b *Balancer) forwardFromServer(c *client, data []byte) {
	for len(data) > 0 && !c.finished {
		piece := data
		if b.isMigrating(c) {
			piece = firstLine(data)
			b.limitServerLine(c, len(piece))
		}
		data = data[len(piece):]
		seen := c.fromServer.Read(piece)
		if seen.Lines > 0 {
			c.lastServerLine = seen.Last
		}
		b.step(core.DataReceived{Client: c.handle, FromServer: true, Payload: c.serverPayload(piece, seen)})
	}
}
