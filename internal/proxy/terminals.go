// Terminals, from the connection to the final answer. This file owns what a terminal has said and what it is
// still owed; it must never decide what it gets.

package proxy

import (
	"log/slog"
	"slices"
	"time"

	"golang.org/x/sys/unix"

	"oatloft/internal/admission"
	"oatloft/internal/core"
	"oatloft/internal/platform"
)

// terminal is one client connection, on the reducer's goroutine.
type terminal struct {
	handle     core.Handle
	l, task    *link
	begun      []byte // of a line that came in parts
	open       platform.Open
	asked      bool // the first line is taken
	up         bool
	over       bool                // nothing more is owed nor passed
	answer     platform.LineReader // of the attempt that is out
	fromRegion platform.Scan
	toRegion   platform.Scan
	last       platform.Word // closing line of the region
	moveBy     time.Time     // to be moved at the next end of a line; by then at the latest
	restPassed int           // bytes of that line that have passed since
	rest       bool          // to be moved, and the region waits for the end of a line that a link has held back
	full       [2]bool       // the way to the terminal, to the region
}

func (s *Server) accepted(l *link) {
	s.counters.Accepted++
	s.next++
	t := &terminal{handle: s.next, l: l}
	l.term = t
	s.terminals[t.handle] = t
	s.step(core.ConnectionAccepted{Client: t.handle})
	if l.ticket != 0 {
		s.byTicket[l.ticket] = t
		if v, ok := s.door.isDoomed(l.ticket); ok {
			s.step(core.CloseIdle{Client: t.handle, RetryAfter: v.After})
		}
	}
	if s.exit && !t.over { // taken in as the listener was closed
		s.turnAway(t, admission.Verdict{Reason: admission.NoDescriptor})
	}
}

func (s *Server) fromTerminal(t *terminal, e event) {
	switch e.kind {
	case evData:
		switch {
		case t.over:
		case !t.up && !t.asked && s.tooMuch(t, len(*e.data)):
		case t.rest:
			s.restOfLine(t, *e.data)
		case t.up:
			seen := t.toRegion.Read(*e.data)
			s.counters.LinesIn += int64(seen.Lines)
			s.step(core.DataReceived{Client: t.handle, Payload: core.Payload{Data: *e.data, Lines: seen.Lines}})
		default:
			s.firstLine(t, *e.data)
		}
	case evEnded, evBroken:
		if s.isMoving(t) {
			s.terminalEndedMoving(t, e.kind)
			return
		}
		how := core.CloseEOF
		if e.kind == evBroken {
			how = core.CloseReset
		}
		switch {
		case t.over:
		case t.asked:
			s.step(core.ClientClosed{Client: t.handle, Reason: how})
		case how == core.CloseEOF && len(t.begun) > 0:
			s.invalid(t) // half a line, and no more will come
		default:
			s.step(core.ClientClosed{Client: t.handle, Reason: how})
			s.closeTerminal(t, core.CloseEOF)
		}
		if how == core.CloseReset {
			t.over = true
			s.forget(t)
		}
	}
}

func (s *Server) firstLine(t *terminal, data []byte) {
	if t.asked { // it had to wait for its answer
		s.invalid(t)
		return
	}
	if len(t.begun) > 0 {
		t.begun = append(t.begun, data...)
		data = t.begun
	}
	for len(data) > 0 {
		line, tooLong := platform.Cut(data)
		switch {
		case tooLong:
			s.invalid(t)
			return
		case line == nil:
			t.begun = append([]byte(nil), data...)
			return
		case platform.IsPing(line):
			s.counters.Pings++
			if s.core.DrainRequested() || !s.mayPlace() {
				t.l.write(platform.No)
			} else {
				t.l.write(platform.Pong)
			}
			if t.l.backlog() > fullAt { // it asks without end, and reads none of the answers
				s.invalid(t)
				return
			}
			data = data[len(line):]
			continue
		}
		open, err := platform.ParseOpen(line)
		if err != nil || len(data) > len(line) {
			s.invalid(t)
			return
		}
		s.counters.LinesIn++
		t.begun, t.asked = nil, true
		open.Keep()
		if s.behind.After(s.turnAt) { // the terminal counts from when it asked
			open.Timeout = max(0, open.Timeout-t.l.unread())
		}
		t.open = open
		if s.exit { // the reducer has closed its books: whoever came in since is told to come again
			s.turnAway(t, admission.Verdict{Reason: admission.NoDescriptor})
			return
		}
		if !s.mayPlace() && open.At == "" {
			s.turnAway(t, admission.Verdict{Reason: admission.NoPermit, After: s.comeBack()})
			return
		}
		if v := s.mayTake(t); !v.OK() {
			s.turnAway(t, v)
			return
		}
		s.step(core.RequestReceived{Client: t.handle, Request: open.Request, EstablishedAt: open.At})
		return
	}
	t.begun = nil
}

// unread is how long the latest bytes have waited here to be read, by the system's own account; 0 where it doesn't tell.
func (l *link) unread() (d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.c == nil || l.state == ended {
		return 0
	}
	raw, err := l.c.SyscallConn()
	if err != nil {
		return 0
	}
	_ = raw.Control(func(fd uintptr) {
		if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			d = time.Duration(info.Last_data_recv) * time.Millisecond
		}
	})
	return d
}

func (s *Server) invalid(t *terminal) {
	s.counters.Malformed++
	t.asked = true
	s.step(core.InvalidRequest{Client: t.handle})
}

// mayTake asks whether a transaction may be picked up.
func (s *Server) mayTake(t *terminal) admission.Verdict {
	switch {
	case s.door != nil:
		return s.door.request(t.l.ticket, t.open)
	case !s.basic().MayTake(int(s.sockets.Load()), s.short):
		return admission.Verdict{Reason: admission.NoDescriptor}
	}
	return admission.Verdict{}
}

// tooMuch follows the bytes that come before a first line, and turns away whose address sends too many.
func (s *Server) tooMuch(t *terminal, n int) bool {
	if s.door == nil {
		return false
	}
	v := s.door.bytes(t.l.ticket, n)
	if v.OK() {
		return false
	}
	t.asked = true
	s.turnAway(t, v)
	return true
}

// turnAway gives the short-on-capacity reply to a terminal whose transaction is not picked up.
func (s *Server) turnAway(t *terminal, v admission.Verdict) {
	s.counters.NoRoom++
	t.over = true
	if s.door != nil {
		s.said.Say(time.Now(), slog.LevelInfo, v.Reason.String(), "refused", slog.Any("from", t.l.from), slog.Duration("after", v.After))
	}
	s.step(core.ClientClosed{Client: t.handle})
	s.finalAnswer(t, platform.AppendShort(nil, v.After))
}

// forget lets go of a terminal that gets nothing more.
func (s *Server) forget(t *terminal) {
	delete(s.terminals, t.handle)
	if t.l.ticket != 0 {
		delete(s.byTicket, t.l.ticket)
		s.door.answered(t.l.ticket)
	}
}

// finalAnswer is all that a terminal gets. What it sends from then on, or was sending in this instant, is read away
// until it ends as well: a close over unread bytes would reset the connection, and the answer could be lost with it.
func (s *Server) finalAnswer(t *terminal, line []byte) {
	t.l.write(line)
	s.closeTerminal(t, core.CloseEOF)
	if s.door != nil && !t.asked && !s.exit { // open: admission counts on the descriptor of whoever it sends off at once
		t.l.force()
	}
}

// dropGone forgets the finishing links whose descriptors are free again, and notes which still move bytes.
func (s *Server) dropGone(now time.Time) {
	for l := range s.finishing {
		if l.isGone() {
			delete(s.finishing, l)
		} else if w := l.written.Load(); w != l.seen { // somebody still reads what is buffered
			l.seen, l.endBy = w, now.Add(readWait)
		}
	}
}

// closeFinishing ends the finishing links whose time is over, sooner by grace where descriptors run short. Where no
// admission is configured and the descriptors for new requests are nearly used up, the links that have waited longest
// for the other side's end give theirs up at once.
func (s *Server) closeFinishing(now time.Time, grace time.Duration) {
	closing, waiting := 0, make([]*link, 0, len(s.finishing))
	for l := range s.finishing {
		switch {
		case l.hasEnded():
			closing++
		case now.After(l.endBy.Add(-grace)):
			l.force()
			closing++
		case l.backlog() == 0:
			waiting = append(waiting, l)
		}
	}
	if s.door != nil {
		return
	}
	lacking := min(s.basic().Lacking(int(s.sockets.Load())-closing), len(waiting))
	if lacking == 0 {
		return
	}
	slices.SortFunc(waiting, func(a, b *link) int { return a.finishedAt.Compare(b.finishedAt) })
	for _, l := range waiting[:lacking] {
		l.force()
	}
}

func (s *Server) closeTerminal(t *terminal, how core.CloseReason) {
	t.over = true
	s.forget(t)
	delete(s.moving, t)
	if how == core.CloseReset {
		t.l.reset()
	} else {
		t.l.fin(true)
	}
}

func (s *Server) moveNow(t *terminal) {
	t.l.write(platform.Move)
	s.closeTerminal(t, core.CloseEOF)
	if t.task != nil {
		t.task.drop()
		t.task = nil
	}
}
