// Terminals, from the connection to the final answer. This file owns what a terminal has said and what it is
// still owed; it must never decide what it gets.

package net

import (
	"time"

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
	over       bool // nothing more is owed nor passed
	answer     []byte
	fromRegion platform.Scan
	toRegion   platform.Scan
	last       platform.Word // closing line of the region
	moveBy     time.Time     // to be moved at the next end of a line; by then at the latest
	full       [2]bool       // the way to the terminal, to the region
}

func (s *Server) accepted(l *link) {
	s.counters.Accepted++
	s.next++
	t := &terminal{handle: s.next, l: l}
	l.term = t
	s.terminals[t.handle] = t
	s.step(core.Arrived{From: t.handle})
}

func (s *Server) fromTerminal(t *terminal, e event) {
	switch e.kind {
	case evData:
		switch {
		case t.over:
		case t.up:
			seen := t.toRegion.Read(*e.data)
			s.counters.LinesIn += int64(seen.Lines)
			s.step(core.Passed{Of: t.handle, Bytes: core.Bytes{Data: *e.data, Lines: seen.Lines}})
		default:
			s.firstLine(t, *e.data)
		}
	case evEnded, evBroken:
		how := core.Closed
		if e.kind == evBroken {
			how = core.Broken
		}
		switch {
		case t.over:
		case t.asked:
			s.step(core.TerminalEnded{From: t.handle, How: how})
		case how == core.Closed && len(t.begun) > 0:
			s.invalid(t) // half a line, and no more will come
		default:
			s.step(core.TerminalEnded{From: t.handle, How: how})
			s.closeTerminal(t, core.Closed)
		}
		if how == core.Broken {
			t.over = true
			delete(s.terminals, t.handle)
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
			t.l.write(platform.Pong)
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
		t.open = open
		if s.short || s.sockets.Load() > s.limit.Load()-reserve {
			s.counters.NoRoom++
			t.over = true
			s.step(core.TerminalEnded{From: t.handle})
			s.finalAnswer(t, platform.AppendShort(nil, 0))
			return
		}
		s.step(core.Opened{From: t.handle, Request: open.Request, At: open.At})
		return
	}
	t.begun = nil
}

func (s *Server) invalid(t *terminal) {
	s.counters.Malformed++
	t.asked = true
	s.step(core.Invalid{From: t.handle})
}

// finalAnswer is all that a terminal gets. One that has said nothing has nothing left to be read: it is
// closed at once, others when they have ended.
func (s *Server) finalAnswer(t *terminal, line []byte) {
	t.l.write(line)
	s.closeTerminal(t, core.Closed)
	if !t.asked {
		t.l.force()
	}
}

func (s *Server) closeTerminal(t *terminal, how core.Ending) {
	t.over = true
	delete(s.terminals, t.handle)
	delete(s.moving, t)
	if how == core.Broken {
		t.l.reset()
	} else {
		t.l.fin(true)
	}
}

func (s *Server) moveNow(t *terminal) {
	t.l.write(platform.Move)
	s.closeTerminal(t, core.Closed)
	if t.task != nil {
		t.task.drop()
		t.task = nil
	}
}
