package proxy

import (
	"time"

	"oatloft/internal/core"
	"oatloft/internal/platform"
	"oatloft/policy"
)

// step passes an event to the reducer and carries out the resulting effects in order. Effects that cause events call
// step recursively.
func (b *Balancer) step(ev core.Event) {
	if b.revisions != nil && len(b.effects) == 0 {
		b.applyLease(time.Now())
	}
	if b.tracing {
		b.traceEvent(ev)
	}
	base := len(b.effects)
	b.effects = b.core.Step(b.now(), ev, b.effects)
	for i := base; i < len(b.effects); i++ {
		effect := b.effects[i]
		b.effects[i] = nil
		if b.tracing {
			b.traceEffect(effect)
		}
		b.carryOut(effect)
	}
	b.effects = b.effects[:base]
}

// carryOut carries out one effect. Effects for a client that no longer exists are ignored.
func (b *Balancer) carryOut(effect core.Effect) {
	switch e := effect.(type) {
	case core.Probe:
		b.startProbe(e)
	case core.ForgetServer:
		b.forgetServer(e.Server)
	case core.Watch:
		b.openWatch(e.Version)
	case core.StopWatch:
		b.stopWatch()
	case core.Exit:
		b.beginClosing(e.Deadline)
	case core.Dial:
		b.withClient(e.Client, func(c *client) { b.dialServer(c, e) })
	case core.SendRequest:
		b.withClient(e.Client, func(c *client) { b.sendRequest(c, e) })
	case core.CloseAttempt:
		b.withClient(e.Client, func(c *client) { c.closeAttempt(e.Attempt) })
	case core.Answer:
		b.withClient(e.Client, func(c *client) { b.answer(c, e) })
	case core.Forward:
		b.withClient(e.Client, func(c *client) { b.forward(c, e) })
	case core.PauseReading:
		b.withClient(e.Client, func(c *client) { b.pauseReading(c, e) })
	case core.CloseServer:
		b.withClient(e.Client, func(c *client) { c.closeServer(e.Reason) })
	case core.CloseClient:
		b.withClient(e.Client, func(c *client) { b.closeBoth(c, e.Reason) })
	case core.MigrateClient:
		b.withClient(e.Client, b.sendMove)
	case core.FinishServerLine:
		b.withClient(e.Client, b.finishServerLine)
	}
}

// withClient calls f with a client if it still exists.
func (b *Balancer) withClient(handle core.Handle, f func(*client)) {
	if c := b.clients[handle]; c != nil {
		f(c)
	}
}

// dialServer starts an attempt by dialing its server.
func (b *Balancer) dialServer(c *client, e core.Dial) {
	c.answerReader, c.lastServerLine, c.fromServer = platform.LineReader{}, platform.OtherLine, platform.LineScanner{}
	c.server = &connection{balancer: b, role: serverRole, client: c, attempt: e.Attempt, server: e.Server}
	b.dial(c.server, e.Address, e.Timeout+dialMargin)
}

// sendRequest sends the request line. The reducer is notified once the last byte is written: until then the server
// cannot have executed the request.
func (b *Balancer) sendRequest(c *client, e core.SendRequest) {
	if c.server == nil {
		return
	}
	b.lineBuffer = c.request.AppendLine(b.lineBuffer[:0], e.TimeLeft)
	accepted := c.server.write(b.lineBuffer)
	if b.zoneLinks != nil {
		b.zoneLinks.countSent(c, c.server.server, len(b.lineBuffer))
	}
	if accepted && c.server.flushed() {
		b.step(core.RequestSent{Client: e.Client, Attempt: e.Attempt})
	}
}

// answer sends the client its final answer.
func (b *Balancer) answer(c *client, e core.Answer) {
	line := platform.Failed
	if e.Rejected {
		b.lineBuffer = platform.AppendRejection(b.lineBuffer[:0], e.RetryAfter)
		line = b.lineBuffer
	}
	b.finalAnswer(c, line)
}

// forward writes bytes to the server or the client.
func (b *Balancer) forward(c *client, e core.Forward) {
	if e.ToServer {
		b.counters.BytesToServers += int64(len(e.Data))
		if c.server != nil {
			c.server.write(e.Data)
		}
	} else {
		b.counters.BytesToClients += int64(len(e.Data))
		c.conn.write(e.Data)
	}
	b.updateBackpressure(c)
}

// closeBoth closes a client's connection and drops its server's.
func (b *Balancer) closeBoth(c *client, reason core.CloseReason) {
	if reason == core.CloseUnfinishedLine {
		b.logUnfinishedLine(c)
	}
	b.closeClient(c, reason)
	c.dropServer()
}

// pauseReading pauses or resumes reading of one side. The rest of a line that a migration waits for is always read.
func (b *Balancer) pauseReading(c *client, e core.PauseReading) {
	conn := c.conn
	if e.FromServer {
		conn = c.server
	}
	switch {
	case conn == nil:
	case !e.Paused:
		conn.resume()
	case !e.FromServer || !b.isMigrating(c):
		conn.pause()
	}
}

// forgetServer drops the probe connection of a server that is no longer listed.
func (b *Balancer) forgetServer(server string) {
	p := b.probes[server]
	if p == nil {
		return
	}
	p.drop()
	delete(b.probes, server)
	if p.pending { // the reducer sends no other probe before it has this one's result
		b.step(core.ProbeFinished{Server: server, Result: policy.ResultUnreachable})
	}
}
