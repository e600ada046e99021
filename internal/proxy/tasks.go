// Routed tasks and the bytes that pass. This file owns the links to the regions; it must never choose one, and
// must never hold a line back but to move its terminal behind it.

package proxy

import (
	"bytes"
	"context"
	"log/slog"
	"net"
	"time"

	"github.com/lesismal/nbio"

	"oatloft/internal/core"
	"oatloft/internal/platform"
)

// handleServerEvent reads a routed task's answer, and passes on what follows it.
func (s *Balancer) handleServerEvent(t *client, l *connection, e event) {
	if t.server != l {
		return
	}
	switch e.kind {
	case eventConnected:
		s.step(core.AttemptConnected{Client: t.handle, Attempt: l.attempt})
	case eventDialFailed:
		t.server = nil
		s.step(core.AttemptClosed{Client: t.handle, Attempt: l.attempt, Reason: core.CloseRefused})
	case eventEOF, eventReset:
		if s.isMigrating(t) {
			s.serverEndedMigrating(t, e.kind)
			return
		}
		how := core.CloseEOF
		if e.kind == eventReset {
			how = core.CloseReset
		}
		switch t.lastServerWord {
		case platform.Bye:
			how = core.CloseFinished
		case platform.MoveAway:
			how = core.CloseMigrated
		}
		s.step(core.AttemptClosed{Client: t.handle, Attempt: l.attempt, Reason: how})
	case eventData:
		if !t.established {
			s.readAnswer(t, l, *e.data)
			return
		}
		if s.zoneLinks != nil && l.hadWaited.Swap(false) {
			s.step(core.ServerDataQueued{Client: t.handle})
		}
		s.forwardFromServer(t, *e.data)
	}
}

// readAnswer reads what comes before an attempt stands: its answer, which may come in pieces. All that isn't an answer by the
// protocol's form is an error of the server, which may have run the request; none of it reaches the client.
func (s *Balancer) readAnswer(t *client, l *connection, data []byte) {
	if s.zoneLinks != nil {
		s.zoneLinks.countReceived(t, l.server, len(data))
	}
	data, first, done := t.answerReader.Read(data)
	if !done {
		return
	}
	how := core.CloseFailed
	switch platform.AnswerOf(data[:first]) {
	case platform.Up:
		s.establish(t, l, data, data[first:])
		return
	case platform.Busy:
		how = core.CloseRejected
	case platform.Bye:
		how = core.CloseFinished
	case platform.MoveAway:
		how = core.CloseMigrated
	}
	s.step(core.AttemptClosed{Client: t.handle, Attempt: l.attempt, Reason: how})
}

// establish lets an attempt's connection belong to its server: data is its answer, with what came right behind it.
func (s *Balancer) establish(t *client, l *connection, data, behind []byte) {
	t.established = true
	if s.admission != nil {
		s.admission.established(t.conn.ticket)
	}
	t.conn.markEstablished()
	if s.zoneLinks != nil {
		s.zoneLinks.attach(t)
	}
	seen := t.fromServer.Read(behind)
	t.lastServerWord = seen.Last
	s.step(core.AttemptAccepted{Client: t.handle, Attempt: l.attempt,
		Payload: core.Payload{Data: data, Lines: seen.Lines, HasLoad: seen.Load, Load: seen.Told}})
}

// forwardFromServer hands on a region's bytes. A terminal that is to be moved gets no byte behind the next line's end.
func (s *Balancer) forwardFromServer(t *client, data []byte) {
	if s.isMigrating(t) {
		s.passRestOfAnswer(t, data)
		return
	}
	seen := t.fromServer.Read(data)
	if seen.Lines > 0 {
		t.lastServerWord = seen.Last
	}
	s.step(core.DataReceived{Client: t.handle, FromServer: true,
		Payload: core.Payload{Data: data, Lines: seen.Lines, HasLoad: seen.Load, Load: seen.Told}})
}

// finishServerLine has the region end its line soon, behind which the terminal is moved. The reducer knows of neither any more, so nobody else would have
// the region read on where the terminal was full; and where a bounded link has let only a part of the terminal's last line through, the region may
// answer the rest when it comes, and not before.
func (s *Balancer) finishServerLine(t *client) {
	t.server.resume()
	if s.zoneLinks == nil {
		return
	}
	t.server.setQueue(nil)
	if !t.toServer.Between() {
		t.passingRestOfLine = t.conn.bypassQueue()
	}
}

// passRestOfRequest passes the end of a line that the region has the beginning of. It is counted as the link's debt.
func (s *Balancer) passRestOfRequest(t *client, data []byte) {
	i := bytes.IndexByte(data, '\n') + 1
	if i > 0 || t.server == nil || t.server.backlog() > backpressureBytes {
		t.passingRestOfLine = false
		t.conn.pause()
	}
	if i > 0 {
		data = data[:i]
	}
	if t.server != nil {
		s.counters.BytesToServers += int64(len(data))
		t.server.write(data)
		s.zoneLinks.countSent(t, t.server.server, len(data))
	}
}

// handleFlushed follows a link that has written all it was given.
func (s *Balancer) handleFlushed(l *connection) {
	t := l.client
	if t == nil {
		return
	}
	if l.role == serverRole && t.server == l && !t.established {
		s.step(core.RequestSent{Client: t.handle, Attempt: l.attempt})
	}
	s.updateBackpressure(t)
}

// updateBackpressure stops the reading of a side while the way to the other is full.
func (s *Balancer) updateBackpressure(t *client) {
	for i, l := range []*connection{t.conn, t.server} {
		if l == nil {
			continue
		}
		switch b := l.backlog(); {
		case !t.backpressure[i] && b > backpressureBytes:
			t.backpressure[i] = true
			l.flushed() // asks to be told when all has left
			s.step(core.BackpressureChanged{Client: t.handle, ToServer: i == 1, Full: true})
		case t.backpressure[i] && b < resumeBytes:
			t.backpressure[i] = false
			s.step(core.BackpressureChanged{Client: t.handle, ToServer: i == 1})
		}
	}
}

// waitForDescriptor lets the gate know that the process has no descriptor left, and lets some time pass in which one may be
// freed. It is false when the dialing's own time is over.
func (s *Balancer) waitForDescriptor(ctx context.Context) bool {
	s.admission.descriptorsExhausted(false)
	s.limitedLog.Say(time.Now(), slog.LevelWarn, "dial", "a dial waits for a descriptor")
	select {
	case <-ctx.Done():
		return false
	case <-time.After(exhaustedRetry):
		return true
	}
}

// dial opens a link; an event tells what became of it. The standard library dials and nbio takes the
// connection over: nbio's own DialAsync reads an address's first four bytes, which are zeros in the long
// form that ResolveTCPAddr returns, and so connects to 0.0.0.0.
func (s *Balancer) dial(l *connection, addr string, timeout time.Duration) {
	// Where admission is configured, what a routed task needs was set aside when its transaction was picked up.
	if s.admission == nil && l.role != watchRole && !s.basicLimits().MayOpen(int(s.sockets.Load())) { // news come even in a crowd
		l.state = ended // nobody else knows it yet
		s.queue.post(event{kind: eventDialFailed, conn: l})
		return
	}
	s.sockets.Add(1)
	if s.zoneLinks != nil && l.role == serverRole {
		s.zoneLinks.shapeFromStart(l)
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	l.cancel = cancel
	go func() {
		defer s.sockets.Add(-1)
		defer cancel()
		d := net.Dialer{Control: l.dialControl()}
		conn, err := d.DialContext(ctx, "tcp", addr)
		for err != nil && noDescriptor(err) && s.admission != nil && s.waitForDescriptor(ctx) {
			// Nothing has left for the region: this is the same attempt still.
			conn, err = d.DialContext(ctx, "tcp", addr)
		}
		l.mu.Lock()
		defer l.mu.Unlock()
		if err == nil && l.state != dialing {
			_ = conn.Close()
			return
		}
		var c *nbio.Conn
		if err == nil {
			if c, err = nbio.NBConn(conn); err != nil {
				_ = conn.Close()
				if s.admission != nil && noDescriptor(err) {
					s.admission.descriptorsExhausted(true)
				}
			}
		}
		if err != nil {
			if l.state == dialing {
				l.state = ended
				s.queue.post(event{kind: eventDialFailed, conn: l})
			}
			return
		}
		l.conn, l.state = c, live
		s.attachSession(c, l)
		s.queue.post(event{kind: eventConnected, conn: l})
		_, _ = s.engine.AddConn(c) // a failure closes c, and onClose tells of it
	}()
}
