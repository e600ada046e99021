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

// fromRegion reads a routed task's answer, and passes on what follows it.
func (s *Server) fromRegion(t *terminal, l *link, e event) {
	if t.task != l {
		return
	}
	switch e.kind {
	case evConnected:
		s.step(core.AttemptConnected{Client: t.handle, Attempt: l.attempt})
	case evRefused:
		t.task = nil
		s.step(core.AttemptClosed{Client: t.handle, Attempt: l.attempt, Reason: core.CloseRefused})
	case evEnded, evBroken:
		if s.isMoving(t) {
			s.regionEndedMoving(t, e.kind)
			return
		}
		how := core.CloseEOF
		if e.kind == evBroken {
			how = core.CloseReset
		}
		switch t.last {
		case platform.Bye:
			how = core.CloseFinished
		case platform.MoveAway:
			how = core.CloseMigrated
		}
		s.step(core.AttemptClosed{Client: t.handle, Attempt: l.attempt, Reason: how})
	case evData:
		if !t.up {
			s.answered(t, l, *e.data)
			return
		}
		if s.links != nil && l.turned.Swap(false) {
			s.step(core.ServerDataQueued{Client: t.handle})
		}
		s.pass(t, *e.data)
	}
}

// answered reads what comes before an attempt stands: its answer, which may come in pieces. All that isn't an answer by the
// protocol's form is an error of the server, which may have run the request; none of it reaches the client.
func (s *Server) answered(t *terminal, l *link, data []byte) {
	if s.links != nil {
		s.links.cameFrom(t, l.region, len(data))
	}
	data, first, done := t.answer.Read(data)
	if !done {
		return
	}
	how := core.CloseFailed
	switch platform.AnswerOf(data[:first]) {
	case platform.Up:
		s.stands(t, l, data, data[first:])
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

// stands lets an attempt's connection belong to its server: data is its answer, with what came right behind it.
func (s *Server) stands(t *terminal, l *link, data, behind []byte) {
	t.up = true
	if s.door != nil {
		s.door.stood(t.l.ticket)
	}
	t.l.knows()
	if s.links != nil {
		s.links.attach(t)
	}
	seen := t.fromRegion.Read(behind)
	t.last = seen.Last
	s.step(core.AttemptAccepted{Client: t.handle, Attempt: l.attempt,
		Payload: core.Payload{Data: data, Lines: seen.Lines, HasLoad: seen.Load, Load: seen.Told}})
}

// pass hands on a region's bytes. A terminal that is to be moved gets no byte behind the next line's end.
func (s *Server) pass(t *terminal, data []byte) {
	if s.isMoving(t) {
		s.passRestOfLine(t, data)
		return
	}
	seen := t.fromRegion.Read(data)
	if seen.Lines > 0 {
		t.last = seen.Last
	}
	s.step(core.DataReceived{Client: t.handle, FromServer: true,
		Payload: core.Payload{Data: data, Lines: seen.Lines, HasLoad: seen.Load, Load: seen.Told}})
}

// hurry has the region end its line soon, behind which the terminal is moved. The reducer knows of neither any more, so nobody else would have
// the region read on where the terminal was full; and where a bounded link has let only a part of the terminal's last line through, the region may
// answer the rest when it comes, and not before.
func (s *Server) hurry(t *terminal) {
	t.task.resume()
	if s.links == nil {
		return
	}
	t.task.passBy(nil)
	if !t.toRegion.Between() {
		t.rest = t.l.hurried()
	}
}

// restOfLine passes the end of a line that the region has the beginning of. It is counted as the link's debt.
func (s *Server) restOfLine(t *terminal, data []byte) {
	i := bytes.IndexByte(data, '\n') + 1
	if i > 0 || t.task == nil || t.task.backlog() > fullAt {
		t.rest = false
		t.l.pause()
	}
	if i > 0 {
		data = data[:i]
	}
	if t.task != nil {
		s.counters.BytesToRegions += int64(len(data))
		t.task.write(data)
		s.links.sentTo(t, t.task.region, len(data))
	}
}

// flushed follows a link that has written all it was given.
func (s *Server) flushed(l *link) {
	t := l.term
	if t == nil {
		return
	}
	if l.role == taskRole && t.task == l && !t.up {
		s.step(core.RequestSent{Client: t.handle, Attempt: l.attempt})
	}
	s.flow(t)
}

// flow stops the reading of a side while the way to the other is full.
func (s *Server) flow(t *terminal) {
	for i, l := range []*link{t.l, t.task} {
		if l == nil {
			continue
		}
		switch b := l.backlog(); {
		case !t.full[i] && b > fullAt:
			t.full[i] = true
			l.flushed() // asks to be told when all has left
			s.step(core.BackpressureChanged{Client: t.handle, ToServer: i == 1, Full: true})
		case t.full[i] && b < roomAt:
			t.full[i] = false
			s.step(core.BackpressureChanged{Client: t.handle, ToServer: i == 1})
		}
	}
}

// wait lets the gate know that the process has no descriptor left, and lets some time pass in which one may be
// freed. It is false when the dialing's own time is over.
func (s *Server) wait(ctx context.Context) bool {
	s.door.starved(false)
	s.said.Say(time.Now(), slog.LevelWarn, "dial", "a dial waits for a descriptor")
	select {
	case <-ctx.Done():
		return false
	case <-time.After(starvedWait):
		return true
	}
}

// dial opens a link; an event tells what became of it. The standard library dials and nbio takes the
// connection over: nbio's own DialAsync reads an address's first four bytes, which are zeros in the long
// form that ResolveTCPAddr returns, and so connects to 0.0.0.0.
func (s *Server) dial(l *link, addr string, timeout time.Duration) {
	// Where admission is configured, what a routed task needs was set aside when its transaction was picked up.
	if s.door == nil && l.role != watchRole && !s.basic().MayOpen(int(s.sockets.Load())) { // news come even in a crowd
		l.state = ended // nobody else knows it yet
		s.queue.post(event{kind: evRefused, link: l})
		return
	}
	s.sockets.Add(1)
	if s.links != nil && l.role == taskRole {
		s.links.begin(l)
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	l.cancel = cancel
	go func() {
		defer s.sockets.Add(-1)
		defer cancel()
		d := net.Dialer{Control: l.narrowed()}
		conn, err := d.DialContext(ctx, "tcp", addr)
		for err != nil && noDescriptor(err) && s.door != nil && s.wait(ctx) {
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
				if s.door != nil && noDescriptor(err) {
					s.door.starved(true)
				}
			}
		}
		if err != nil {
			if l.state == dialing {
				l.state = ended
				s.queue.post(event{kind: evRefused, link: l})
			}
			return
		}
		l.c, l.state = c, live
		s.publish(c, l)
		s.queue.post(event{kind: evConnected, link: l})
		_, _ = s.engine.AddConn(c) // a failure closes c, and onClose tells of it
	}()
}
