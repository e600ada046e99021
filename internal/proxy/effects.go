// The reducer's effects, carried out in order. This file must never add one of its own.

package proxy

import (
	"time"

	"oatloft/internal/core"
	"oatloft/internal/platform"
	"oatloft/policy"
)

// step feeds the reducer and carries out its effects; effects that make events feed it again.
func (s *Balancer) step(ev core.Event) {
	if s.revisions != nil && len(s.effects) == 0 {
		s.applyLease(time.Now())
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

func (s *Balancer) carryOut(e core.Effect) {
	switch e := e.(type) {
	case core.Dial:
		if t := s.clients[e.Client]; t != nil {
			t.answerReader, t.lastServerWord, t.fromServer = platform.LineReader{}, platform.Line, platform.Scan{}
			t.server = &connection{balancer: s, role: serverRole, client: t, attempt: e.Attempt, server: e.Server}
			s.dial(t.server, e.Address, e.Timeout+dialMargin)
		}
	case core.SendRequest:
		if t := s.clients[e.Client]; t != nil && t.server != nil {
			s.lineBuffer = t.request.AppendLine(s.lineBuffer[:0], e.TimeLeft)
			whole := t.server.write(s.lineBuffer)
			if s.zoneLinks != nil {
				s.zoneLinks.countSent(t, t.server.server, len(s.lineBuffer))
			}
			if whole && t.server.flushed() { // else it broke before the line's last byte: it never ran
				s.step(core.RequestSent{Client: e.Client, Attempt: e.Attempt})
			}
		}
	case core.CloseAttempt:
		if t := s.clients[e.Client]; t != nil && t.server != nil && t.server.attempt == e.Attempt {
			t.server.drop()
			t.server = nil
		}
	case core.Answer:
		if t := s.clients[e.Client]; t != nil {
			line := platform.Failed
			if e.Rejected {
				s.lineBuffer = platform.AppendShort(s.lineBuffer[:0], e.RetryAfter)
				line = s.lineBuffer
			}
			s.finalAnswer(t, line)
		}
	case core.Forward:
		t := s.clients[e.Client]
		if t == nil {
			return
		}
		if e.ToServer {
			s.counters.BytesToServers += int64(len(e.Data))
			if t.server != nil {
				t.server.write(e.Data)
			}
		} else {
			s.counters.BytesToClients += int64(len(e.Data))
			t.conn.write(e.Data)
		}
		s.updateBackpressure(t)
	case core.PauseReading:
		t := s.clients[e.Client]
		if t == nil {
			return
		}
		l := t.conn
		if e.OfServer {
			l = t.server
		}
		if l != nil && e.On {
			l.pause()
		} else if l != nil {
			l.resume()
		}
	case core.CloseServer:
		if t := s.clients[e.Client]; t != nil && t.server != nil {
			if e.Reason == core.CloseReset {
				t.server.reset()
			} else {
				t.server.fin(false)
			}
		}
	case core.CloseClient:
		if t := s.clients[e.Client]; t != nil {
			s.closeClient(t, e.Reason)
			if t.server != nil {
				t.server.drop()
			}
		}
	case core.MigrateClient:
		if t := s.clients[e.Client]; t != nil {
			if t.fromServer.Between() {
				s.sendMove(t)
			} else {
				t.migrateBy = time.Now().Add(migrateTimeout + s.testSlack)
				s.migrating[t] = struct{}{}
				if t.server != nil {
					s.finishServerLine(t)
				}
			}
		}
	case core.Probe:
		s.probe(e)
	case core.ForgetServer:
		if p := s.probes[e.Server]; p != nil {
			if p.conn != nil {
				p.conn.drop()
				p.conn = nil
			}
			delete(s.probes, e.Server)
			if p.pending { // nobody will answer it, and the module asks no second time before it has an answer
				s.step(core.ProbeFinished{Server: e.Server, Result: policy.ResultUnreachable})
			}
		}
	case core.Watch:
		s.openWatch(e.Version)
	case core.StopWatch:
		dropWatch(&s.watch)
	case core.Exit:
		s.beginClosing(e.Deadline)
	}
}
