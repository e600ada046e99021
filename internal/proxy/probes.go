// Probes. This file owns one connection a region, kept for as long as its answers are in order.

package proxy

import (
	"time"

	"oatloft/internal/core"
	"oatloft/internal/platform"
	"oatloft/policy"
)

type probe struct {
	l    *link
	addr string
	busy bool
	due  time.Time
	in   platform.LineReader
}

// probe asks for a load report, over the region's one connection for that.
func (s *Server) probe(e core.Probe) {
	p := s.probes[e.Server]
	if p == nil {
		p = &probe{}
		s.probes[e.Server] = p
	}
	if p.addr != e.Address {
		p.drop()
	}
	p.busy, p.due, p.addr, p.in = true, time.Now().Add(e.Timeout), e.Address, platform.LineReader{}
	if p.l == nil {
		p.l = &link{s: s, role: probeRole, region: e.Server}
		s.dial(p.l, e.Address, e.Timeout)
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
		s.probed(l.region, p, policy.ResultUnreachable, nil)
	case evEnded, evBroken:
		s.probed(l.region, p, policy.ResultReset, nil)
	case evData:
		s.probeAnswered(p, l, *e.data)
	}
}

// probeAnswered reads a probe's answer. Bytes that belong to no probe would be taken for the next one's answer, and that one's
// for the answer of the one after it: the connection on which they come is not used again.
func (s *Server) probeAnswered(p *probe, l *link, data []byte) {
	if !p.busy {
		p.drop()
		return
	}
	data, first, done := p.in.Read(data)
	if !done {
		return
	}
	if len(data) > first {
		p.drop()
	}
	switch line := data[:first]; platform.AnswerOf(line) {
	case platform.PongBack:
		s.probed(l.region, p, policy.ResultOK, platform.ParseStats(line))
	case platform.Busy:
		s.probed(l.region, p, policy.ResultRejected, nil)
	default:
		s.probed(l.region, p, policy.ResultFailed, nil)
	}
}

// drop ends the connection; the next probe opens another one.
func (p *probe) drop() {
	if p.l != nil {
		p.l.drop()
		p.l = nil
	}
}

// probed reports a probe's result. The connection stays only where it was answered in good order.
func (s *Server) probed(region string, p *probe, result policy.Result, report *policy.LoadReport) {
	if result != policy.ResultOK {
		p.drop()
	}
	if p.busy {
		p.busy = false
		s.step(core.ProbeFinished{Server: region, Result: result, Report: report})
	}
}
