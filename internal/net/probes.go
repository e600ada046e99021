// Probes. This file owns one connection a region, kept for as long as its answers are in order.

package net

import (
	"time"

	"oatloft/internal/core"
	"oatloft/internal/platform"
	"oatloft/policy"
)

type probe struct {
	l     *link
	addr  string
	busy  bool
	due   time.Time
	begun []byte
}

// probe asks for a load report, over the region's one connection for that.
func (s *Server) probe(e core.Probe) {
	p := s.probes[e.Region]
	if p == nil {
		p = &probe{}
		s.probes[e.Region] = p
	}
	if p.l != nil && p.addr != e.Addr {
		p.l.drop()
		p.l = nil
	}
	p.busy, p.due, p.addr, p.begun = true, time.Now().Add(e.Timeout), e.Addr, nil
	if p.l == nil {
		p.l = &link{s: s, role: probeRole, region: e.Region}
		s.dial(p.l, e.Addr, e.Timeout)
		return
	}
	p.l.write(platform.Stats)
}

func (s *Server) fromProbe(p *probe, l *link, e event) {
	if p == nil || p.l != l {
		return
	}
	switch e.kind {
	case evConnected:
		l.write(platform.Stats)
	case evRefused:
		s.probed(l.region, p, policy.Unreachable, nil)
	case evEnded, evBroken:
		s.probed(l.region, p, policy.Reset, nil)
	case evData:
		p.begun = append(p.begun, *e.data...)
		line, tooLong := platform.Cut(p.begun)
		switch {
		case tooLong:
			s.probed(l.region, p, policy.Failed, nil)
		case line == nil:
		case platform.WordOf(line) == platform.PongBack:
			s.probed(l.region, p, policy.OK, platform.ParseStats(line))
		case platform.WordOf(line) == platform.Busy:
			s.probed(l.region, p, policy.Full, nil)
		default:
			s.probed(l.region, p, policy.Failed, nil)
		}
	}
}

// probed reports a probe's result. The connection stays only where it was answered in good order.
func (s *Server) probed(region string, p *probe, result policy.Result, report *policy.Report) {
	if result != policy.OK {
		p.l.drop()
		p.l = nil
	}
	if p.begun = nil; p.busy {
		p.busy = false
		s.step(core.Probed{Region: region, Result: result, Report: report})
	}
}
