package proxy

import (
	"time"

	"oatloft/internal/core"
	"oatloft/internal/platform"
	"oatloft/policy"
)

// probe is the connection to a server for load reports. It is reused while its answers are valid.
type probe struct {
	conn     *connection // nil while there is no connection
	addr     string
	pending  bool // a probe is waiting for its answer
	deadline time.Time
	reader   platform.LineReader
}

// startProbe requests a load report from a server.
func (b *Balancer) startProbe(e core.Probe) {
	p := b.probes[e.Server]
	if p == nil {
		p = &probe{}
		b.probes[e.Server] = p
	}
	if p.addr != e.Address {
		p.drop()
	}
	p.addr, p.reader = e.Address, platform.LineReader{}
	p.pending, p.deadline = true, time.Now().Add(e.Timeout)
	if p.conn == nil {
		p.conn = &connection{balancer: b, role: probeRole, server: e.Server}
		b.dial(p.conn, e.Address, e.Timeout)
		return
	}
	p.conn.write(platform.Stats)
}

func (b *Balancer) handleProbeEvent(p *probe, conn *connection, e event) {
	if p == nil || p.conn != conn {
		return
	}
	switch e.kind {
	case eventConnected:
		conn.write(platform.Stats)
	case eventDialFailed:
		b.finishProbe(conn.server, p, policy.ResultUnreachable, nil)
	case eventEOF, eventReset:
		b.finishProbe(conn.server, p, policy.ResultReset, nil)
	case eventData:
		b.handleProbeAnswer(p, conn, *e.data)
	}
}

// handleProbeAnswer parses a probe's answer. A connection that receives bytes that belong to no probe is dropped:
// they would be taken for the answer of the next one.
func (b *Balancer) handleProbeAnswer(p *probe, conn *connection, data []byte) {
	if !p.pending {
		p.drop()
		return
	}
	data, first, complete := p.reader.Read(data)
	if !complete {
		return
	}
	if len(data) > first {
		p.drop()
	}
	switch line := data[:first]; platform.AnswerKind(line) {
	case platform.PongLine:
		b.finishProbe(conn.server, p, policy.ResultOK, platform.ParseStats(line))
	case platform.Busy:
		b.finishProbe(conn.server, p, policy.ResultRejected, nil)
	default:
		b.finishProbe(conn.server, p, policy.ResultFailed, nil)
	}
}

// drop closes the connection; the next probe opens another one.
func (p *probe) drop() {
	if p.conn != nil {
		p.conn.drop()
		p.conn = nil
	}
}

// finishProbe reports a probe's result. The connection is kept only after a valid load report.
func (b *Balancer) finishProbe(server string, p *probe, result policy.Result, report *policy.LoadReport) {
	if result != policy.ResultOK {
		p.drop()
	}
	if p.pending {
		p.pending = false
		b.step(core.ProbeFinished{Server: server, Result: result, Report: report})
	}
}
