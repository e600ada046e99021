// Moves that have to wait: a terminal that is sent elsewhere while its region is inside a line gets MOVE behind that
// line. The reducer has closed the transaction by then, so what ends either side meanwhile is followed here. This file
// must never choose who is moved.

package proxy

import (
	"bytes"

	"oatloft/internal/core"
	"oatloft/internal/platform"
)

// isMoving tells that t waits for the end of its region's line.
func (s *Server) isMoving(t *terminal) bool {
	_, moving := s.moving[t]
	return moving
}

// passRestOfLine hands on the end of the region's line, and moves the terminal behind it. A line that said the last
// word itself, BYE or MOVE, is followed by no other.
func (s *Server) passRestOfLine(t *terminal, data []byte) {
	end := bytes.IndexByte(data, '\n') + 1
	if end == 0 {
		t.fromRegion.Read(data)
		t.l.write(data)
		if t.restPassed += len(data); t.restPassed > fullAt { // no line is so long: it must not fill the memory
			t.task.pause()
		}
		return
	}
	seen := t.fromRegion.Read(data[:end])
	t.l.write(data[:end])
	if seen.Last != platform.Line {
		s.endMoving(t, core.CloseEOF)
		return
	}
	s.moveNow(t)
}

// regionEndedMoving ends a terminal whose region ended inside the line: in the same way, since no end of a line will come.
func (s *Server) regionEndedMoving(t *terminal, kind eventKind) {
	if kind == evBroken {
		s.endMoving(t, core.CloseReset)
	} else {
		s.endMoving(t, core.CloseEOF)
	}
}

// endMoving ends the terminal without MOVE, and lets go of its region.
func (s *Server) endMoving(t *terminal, how core.CloseReason) {
	s.closeTerminal(t, how)
	if t.task != nil {
		t.task.drop()
		t.task = nil
	}
}

// terminalEndedMoving ends the region of a terminal that ended before MOVE could be sent, in the same way. One that
// only closed its sending still gets the rest of the line and MOVE.
func (s *Server) terminalEndedMoving(t *terminal, kind eventKind) {
	if kind != evBroken {
		t.task.fin(false)
		return
	}
	t.over = true
	s.forget(t)
	delete(s.moving, t)
	t.task.reset()
	t.task = nil
}
