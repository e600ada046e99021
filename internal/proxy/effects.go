// The reducer's effects, carried out in order. This file must never add one of its own.

package proxy

import (
	"time"

	"oatloft/internal/core"
	"oatloft/internal/platform"
	"oatloft/policy"
)

// step feeds the reducer and carries out its effects; effects that make events feed it again.
func (s *Server) step(ev core.Event) {
	if s.revisions != nil && len(s.effects) == 0 {
		s.heed(time.Now())
	}
	if s.tracing {
		s.traceEvent(ev)
	}
	base := len(s.effects)
	s.effects = s.core.Step(s.now(), ev, s.effects)
	for i := base; i < len(s.effects); i++ {
		e := s.effects[i]
		s.effects[i] = nil
		if s.tracing {
			s.traceEffect(e)
		}
		s.carryOut(e)
	}
	s.effects = s.effects[:base]
}

func (s *Server) carryOut(e core.Effect) {
	switch e := e.(type) {
	case core.Dial:
		if t := s.terminals[e.Client]; t != nil {
			t.answer, t.last, t.fromRegion = platform.LineReader{}, platform.Line, platform.Scan{}
			t.task = &link{s: s, role: taskRole, term: t, attempt: e.Attempt, region: e.Server}
			s.dial(t.task, e.Address, e.Timeout+dialLonger)
		}
	case core.SendRequest:
		if t := s.terminals[e.Client]; t != nil && t.task != nil {
			s.out = t.open.AppendLine(s.out[:0], e.TimeLeft)
			whole := t.task.write(s.out)
			if s.links != nil {
				s.links.sentTo(t, t.task.region, len(s.out))
			}
			if whole && t.task.flushed() { // else it broke before the line's last byte: it never ran
				s.step(core.RequestSent{Client: e.Client, Attempt: e.Attempt})
			}
		}
	case core.CloseAttempt:
		if t := s.terminals[e.Client]; t != nil && t.task != nil && t.task.attempt == e.Attempt {
			t.task.drop()
			t.task = nil
		}
	case core.Answer:
		if t := s.terminals[e.Client]; t != nil {
			line := platform.Failed
			if e.Rejected {
				s.out = platform.AppendShort(s.out[:0], e.RetryAfter)
				line = s.out
			}
			s.finalAnswer(t, line)
		}
	case core.Forward:
		t := s.terminals[e.Client]
		if t == nil {
			return
		}
		if e.ToServer {
			s.counters.BytesToRegions += int64(len(e.Data))
			if t.task != nil {
				t.task.write(e.Data)
			}
		} else {
			s.counters.BytesToTerminals += int64(len(e.Data))
			t.l.write(e.Data)
		}
		s.flow(t)
	case core.PauseReading:
		t := s.terminals[e.Client]
		if t == nil {
			return
		}
		l := t.l
		if e.OfServer {
			l = t.task
		}
		if l != nil && e.On {
			l.pause()
		} else if l != nil {
			l.resume()
		}
	case core.CloseServer:
		if t := s.terminals[e.Client]; t != nil && t.task != nil {
			if e.Reason == core.CloseReset {
				t.task.reset()
			} else {
				t.task.fin(false)
			}
		}
	case core.CloseClient:
		if t := s.terminals[e.Client]; t != nil {
			s.closeTerminal(t, e.Reason)
			if t.task != nil {
				t.task.drop()
			}
		}
	case core.MigrateClient:
		if t := s.terminals[e.Client]; t != nil {
			if t.fromRegion.Between() {
				s.moveNow(t)
			} else {
				t.moveBy = time.Now().Add(moveWait + s.slack)
				s.moving[t] = struct{}{}
				if t.task != nil {
					s.hurry(t)
				}
			}
		}
	case core.Probe:
		s.probe(e)
	case core.ForgetServer:
		if p := s.probes[e.Server]; p != nil {
			if p.l != nil {
				p.l.drop()
				p.l = nil
			}
			delete(s.probes, e.Server)
			if p.busy { // nobody will answer it, and the module asks no second time before it has an answer
				s.step(core.ProbeFinished{Server: e.Server, Result: policy.ResultUnreachable})
			}
		}
	case core.Watch:
		s.callDiscovery(e.Version)
	case core.StopWatch:
		drop(&s.watch)
	case core.Exit:
		s.close(e.Deadline)
	}
}
