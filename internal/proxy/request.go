package proxy

import (
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
	for len(data) > 0 {
		line, tooLong := platform.CutLine(data)
		switch {
		case tooLong:
			b.rejectMalformed(c)
			return
		case line == nil:
			c.partialLine = append([]byte(nil), data...)
			return
		case platform.IsPing(line):
			if !b.answerPing(c) {
				return
			}
			data = data[len(line):]
		default:
			b.takeRequest(c, line, len(data) > len(line))
			return
		}
	}
	c.partialLine = nil
}

// answerPing answers a front end's health check. It reports false if the client does not read the answers.
func (b *Balancer) answerPing(c *client) bool {
	b.counters.Pings++
	if b.core.DrainRequested() || !b.mayPlaceClients() {
		c.conn.write(platform.No)
	} else {
		c.conn.write(platform.Pong)
	}
	if c.conn.backlog() > backpressureBytes {
		b.rejectMalformed(c)
		return false
	}
	return true
}

// takeRequest admits or rejects a client's request. No bytes may follow the request line before its answer.
func (b *Balancer) takeRequest(c *client, line []byte, moreFollows bool) {
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
