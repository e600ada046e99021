// Probes. This file owns one connection a region, kept for as long as its answers are in order.

package proxy

import (
	"time"

	"oatloft/internal/core"
	"oatloft/internal/platform"
	"oatloft/policy"
)

type probe struct {
	conn     *connection
	addr     string
	pending  bool
	deadline time.Time
	reader   platform.LineReader
}

// probe asks for a load report, over the region's one connection for that.
func (s *Balancer) probe(e core.Probe) {
	p := s.probes[e.Server]
	if p == nil {
		p = &probe{}
		s.probes[e.Server] = p
	}
	if p.addr != e.Address {
		p.drop()
	}
	p.pending, p.deadline, p.addr, p.reader = true, time.Now().Add(e.Timeout), e.Address, platform.LineReader{}
	if p.conn == nil {
		p.conn = &connection{balancer: s, role: probeRole, server: e.Server}
		s.dial(p.conn, e.Address, e.Timeout)
		return
	}
	p.conn.write(platform.Stats)
}

func (s *Balancer) handleProbeEvent(p *probe, l *connection, e event) {
	if p == nil || p.conn != l {
		return
	}
	switch e.kind {
	case eventConnected:
		l.write(platform.Stats)
	case eventDialFailed:
		s.finishProbe(l.server, p, policy.ResultUnreachable, nil)
	case eventEOF, eventReset:
		s.finishProbe(l.server, p, policy.ResultReset, nil)
	case eventData:
		s.handleProbeAnswer(p, l, *e.data)
	}
}

// handleProbeAnswer reads a probe's answer. Bytes that belong to no probe would be taken for the next one's answer, and that one's
// for the answer of the one after it: the connection on which they come is not used again.
func (s *Balancer) handleProbeAnswer(p *probe, l *connection, data []byte) {
	if !p.pending {
		p.drop()
		return
	}
	data, first, done := p.reader.Read(data)
	if !done {
		return
	}
	if len(data) > first {
		p.drop()
	}
	switch line := data[:first]; platform.AnswerOf(line) {
	case platform.PongBack:
		s.finishProbe(l.server, p, policy.ResultOK, platform.ParseStats(line))
	case platform.Busy:
		s.finishProbe(l.server, p, policy.ResultRejected, nil)
	default:
		s.finishProbe(l.server, p, policy.ResultFailed, nil)
	}
}

// drop ends the connection; the next probe opens another one.
func (p *probe) drop() {
	if p.conn != nil {
		p.conn.drop()
		p.conn = nil
	}
}

// finishProbe reports a probe's result. The connection stays only where it was answered in good order.
func (s *Balancer) finishProbe(region string, p *probe, result policy.Result, report *policy.LoadReport) {
	if result != policy.ResultOK {
		p.drop()
	}
	if p.pending {
		p.pending = false
		s.step(core.ProbeFinished{Server: region, Result: result, Report: report})
	}
}
