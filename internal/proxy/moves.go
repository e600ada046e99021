// Moves that have to wait: a terminal that is sent elsewhere while its region is inside a line gets MOVE behind that
// line. The reducer has closed the transaction by then, so what ends either side meanwhile is followed here. This file
// must never choose who is moved.

package proxy

import (
	"bytes"

	"oatloft/internal/core"
	"oatloft/internal/platform"
)

// isMigrating tells that t waits for the end of its region's line.
func (s *Balancer) isMigrating(t *client) bool {
	_, moving := s.migrating[t]
	return moving
}

// passRestOfAnswer hands on the end of the region's line, and moves the terminal behind it. A line that said the last
// word itself, BYE or MOVE, is followed by no other.
func (s *Balancer) passRestOfAnswer(t *client, data []byte) {
	end := bytes.IndexByte(data, '\n') + 1
	if end == 0 {
		t.fromServer.Read(data)
		t.conn.write(data)
		if t.restOfLineBytes += len(data); t.restOfLineBytes > backpressureBytes { // no line is so long: it must not fill the memory
			t.server.pause()
		}
		return
	}
	seen := t.fromServer.Read(data[:end])
	t.conn.write(data[:end])
	if seen.Last != platform.Line {
		s.endMigrating(t, core.CloseEOF)
		return
	}
	s.sendMove(t)
}

// serverEndedMigrating ends a terminal whose region ended inside the line: in the same way, since no end of a line will come.
func (s *Balancer) serverEndedMigrating(t *client, kind eventKind) {
	if kind == eventReset {
		s.endMigrating(t, core.CloseReset)
	} else {
		s.endMigrating(t, core.CloseEOF)
	}
}

// endMigrating ends the terminal without MOVE, and lets go of its region.
func (s *Balancer) endMigrating(t *client, how core.CloseReason) {
	s.closeClient(t, how)
	if t.server != nil {
		t.server.drop()
		t.server = nil
	}
}

// clientEndedMigrating ends the region of a terminal that ended before MOVE could be sent, in the same way. One that
// only closed its sending still gets the rest of the line and MOVE.
func (s *Balancer) clientEndedMigrating(t *client, kind eventKind) {
	if kind != eventReset {
		t.server.fin(false)
		return
	}
	t.finished = true
	s.removeClient(t)
	delete(s.migrating, t)
	t.server.reset()
	t.server = nil
}
