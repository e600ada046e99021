package proxy

import (
	"bytes"
	"log/slog"
	"time"

	"oatloft/internal/admission"
	"oatloft/internal/core"
	"oatloft/internal/platform"
)

// readRequest reads a client's first line, which may arrive in pieces, and answers pings before it.
func (b *Balancer) readRequest(c *client, data []byte) {
	if c.requestRead { // a client must not send before its answer
		b.rejectMalformed(c)
		return
	}
	if len(c.partialLine) > 0 {
		c.partialLine = append(c.partialLine, data...)
		data = c.partialLine
	}
	pings, rest := platform.SkipPings(data)
	if pings > 0 && !b.answerPings(c, pings) {
		return
	}
	line, tooLong := platform.CutLine(rest)
	switch {
	case tooLong:
		b.rejectMalformed(c)
	case line == nil:
		c.keepPartialLine(rest)
	default:
		b.takeRequest(c, line, len(rest) > len(line))
	}
}

// keepPartialLine keeps the beginning of a line, which partialLine holds already unless health checks were before it.
func (c *client) keepPartialLine(data []byte) {
	if len(c.partialLine) != len(data) {
		c.partialLine = bytes.Clone(data)
	}
}

// answerPings answers health checks of a front end, all in one write: each write is a system call, and a client may
// send thousands of health checks at once. It reports false if the client does not read the answers.
func (b *Balancer) answerPings(c *client, count int) bool {
	b.counters.Pings += int64(count)
	answer := platform.Pong
	if b.core.DrainRequested() || !b.mayPlaceClients() {
		answer = platform.No
	}
	b.lineBuffer = b.lineBuffer[:0]
	for range count {
		b.lineBuffer = append(b.lineBuffer, answer...)
	}
	c.conn.write(b.lineBuffer)
	if c.conn.backlog() > backpressureBytes {
		b.rejectMalformed(c)
		return false
	}
	return true
}

// takeRequest admits or rejects a client's request. No bytes may follow the request line before its answer.
func (b *Balancer) takeRequest(c *client, line []byte, moreFollows bool) {
	if c.conn.wasReset() {
		b.handleClientEnd(c, eventReset)
		return
	}
	request, err := platform.ParseOpen(line)
	if err != nil || moreFollows {
		b.rejectMalformed(c)
		return
	}
	b.counters.LinesIn++
	c.partialLine, c.requestRead = nil, true
	request.Keep()
	request.Timeout = b.timeLeft(c, request.Timeout)
	c.request = request
	if verdict := b.admit(c); !verdict.OK() {
		b.reject(c, verdict)
		return
	}
	b.step(core.RequestReceived{Client: c.handle, Request: request.Request, EstablishedServer: request.EstablishedAt})
}

// admit returns the verdict on a client's request. Once the reducer has finished, every request is rejected; without a
// lease, all except those of flows that are already established.
func (b *Balancer) admit(c *client) admission.Verdict {
	switch {
	case b.exiting:
		return admission.Verdict{Reason: admission.NoDescriptor}
	case !b.mayPlaceClients() && c.request.EstablishedAt == "":
		return admission.Verdict{Reason: admission.NoLease, RetryAfter: b.retryAfterNoLease()}
	case b.admission != nil:
		return b.admission.request(c.conn.ticket, c.request)
	case !b.basicLimits().MayAdmit(int(b.sockets.Load()), b.memoryScarce):
		return admission.Verdict{Reason: admission.NoDescriptor}
	}
	return admission.Verdict{}
}

func (b *Balancer) rejectMalformed(c *client) {
	b.counters.Malformed++
	c.requestRead = true
	b.step(core.InvalidRequest{Client: c.handle})
}

// limitFirstBytes counts bytes received before the first line is complete. It rejects the client, and reports true, if
// its address sends too many.
func (b *Balancer) limitFirstBytes(c *client, n int) bool {
	if b.admission == nil {
		return false
	}
	verdict := b.admission.countBytes(c.conn.ticket, n)
	if verdict.OK() {
		return false
	}
	c.requestRead = true
	b.reject(c, verdict)
	return true
}

// reject answers a client with a rejection and closes its connection.
func (b *Balancer) reject(c *client, verdict admission.Verdict) {
	b.counters.Rejected++
	c.finished = true
	if b.admission != nil {
		b.limitedLog.Say(time.Now(), slog.LevelInfo, verdict.Reason.String(), "refused",
			slog.Any("from", c.conn.remoteAddr), slog.Duration("after", verdict.RetryAfter))
	}
	b.step(core.ClientClosed{Client: c.handle})
	b.finalAnswer(c, platform.AppendRejection(nil, verdict.RetryAfter))
}
