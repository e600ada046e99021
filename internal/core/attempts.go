// The attempts of a transaction, which the design calls routed tasks: how one begins, what is sent on it, and how it
// ends. This file must never let two attempts of one transaction be out, nor send a line whose time is over.

package core

import (
	"time"

	"oatloft/internal/defects"
	"oatloft/policy"
)

// leastLeft is the least time that a line may tell the server, which counts whole milliseconds: with less it would say that
// the client has no time left.
const leastLeft = time.Millisecond

// send begins an attempt as the module has decided, unless the server is gone, the attempt before is still out, or no time is
// left for it: then it has never run.
func (r *Reducer) send(t *transaction, a policy.Send) {
	until := t.deadline
	if a.TimeoutAt > 0 {
		until = min(until, a.TimeoutAt)
	}
	g := r.regions[a.Server]
	if g == nil || t.state != waiting || until < r.now+leastLeft {
		r.Counters.AttemptsNotSent++
		t.attempt++
		r.feed(policy.AttemptEnded{ID: t.ID, Attempt: t.attempt, Server: a.Server, Result: policy.ResultUnreachable})
		return
	}
	r.dial(t, g, until)
}

// dial opens an attempt's connection. The attempt is given up at until, and before that where its connection isn't up within
// the settings' time.
func (r *Reducer) dial(t *transaction, g *region, until time.Duration) {
	r.Counters.Attempts++
	t.attempt++
	t.state, t.region, t.sentAt, t.until = dialing, g.ID, r.now, until
	timeout := r.cfg.ConnectTimeout
	if t.at != "" { // all that were open before the run come at once, and may take longer
		timeout = t.deadline - r.now
	} else {
		r.wheel.set(r.now+r.cfg.ConnectTimeout, timer{kind: connectTimer, of: t.from, attempt: t.attempt})
	}
	if until < t.deadline {
		r.wheel.set(until, timer{kind: untilTimer, of: t.from, attempt: t.attempt})
	}
	r.do(Dial{Client: t.from, Attempt: t.attempt, Server: g.ID, Address: g.Address, Timeout: timeout})
}

// task finds a transaction by its routed task that is out; news of an earlier one concerns nobody.
func (r *Reducer) task(of Handle, attempt int) *transaction {
	t := r.open[of]
	if t == nil || t.attempt != attempt || t.state == waiting {
		return nil
	}
	return t
}

// connected sends the line, unless the region was listed as draining or gone while the connection came
// up, or another revision is about to be in force, or leaves the region out, or the attempt's time is over: what is sent later
// than that breaks a rule, and nothing has run yet.
func (r *Reducer) connected(ev AttemptConnected) {
	t := r.task(ev.Client, ev.Attempt)
	if t == nil || t.state != dialing {
		return
	}
	g := r.regions[t.region]
	if t.at == "" && (g == nil || g.State != policy.Live || r.permit != policy.LeaseActive || !t.MidFlow && r.leftOut(g)) {
		r.Counters.AttemptsNotSent++
		r.giveUp(t, policy.ResultUnreachable, "unlisted")
		return
	}
	if t.ended > 0 && r.now > t.ended+policy.DisconnectGrace {
		r.Counters.AttemptsNotSent++
		r.giveUp(t, policy.ResultUnreachable, "client")
		return
	}
	if k := r.classes[t.Class]; k.Idempotency == policy.IdempotentByKey && t.ranAt > 0 && r.now > t.ranAt+k.KeyTTL {
		r.Counters.AttemptsNotSent++ // it came up so late that the repeat would be taken for a new one
		r.giveUp(t, policy.ResultUnreachable, "key")
		return
	}
	if t.until < r.now+leastLeft { // its time passed while it came up, and the timer that tells so is not due yet
		r.Counters.AttemptsNotSent++
		r.giveUp(t, policy.ResultUnreachable, "late")
		return
	}
	t.state, t.lineAt = sending, r.now
	r.do(SendRequest{Client: t.from, Attempt: t.attempt, TimeLeft: t.until - r.now})
}

// leftOut tells that the revision in force sends nothing new to a region.
func (r *Reducer) leftOut(g *region) bool {
	w := r.cfg.Policy.Weights
	region, named := w[g.ID]
	zone, zoned := w["zone/"+g.Zone]
	return named && region == 0 || zoned && zone == 0
}

// giveUp closes a routed task and tells the module how it ended.
func (r *Reducer) giveUp(t *transaction, how policy.Result, why string) {
	if !defects.On("task-kept") {
		r.do(CloseAttempt{Client: t.from, Attempt: t.attempt, Reason: why})
	}
	r.outcome(t, how)
}

// outcome ends the routed task that was out. One that went where the platform said is none of the
// module's: its transaction fails.
func (r *Reducer) outcome(t *transaction, how policy.Result) {
	switch how {
	case policy.ResultUnreachable:
		r.Counters.AttemptsUnreachable++
	case policy.ResultReset:
		r.Counters.AttemptsReset++
	case policy.ResultRejected:
		r.Counters.AttemptsRejected++
	case policy.ResultFailed:
		r.Counters.AttemptsFailed++
	case policy.ResultTimedOut:
		r.Counters.AttemptsTimedOut++
	}
	if t.state = waiting; how.MayHaveRun() && t.ranAt == 0 {
		t.ranAt = t.lineAt
	}
	if t.at != "" {
		r.Counters.Failed++
		r.answer(t, false, 0, "platform")
		return
	}
	r.feed(policy.AttemptEnded{ID: t.ID, Attempt: t.attempt, Server: t.region, Result: how})
}

// up passes the server's answer on: the attempt stands, and the connection belongs to that server from now on.
func (r *Reducer) up(ev AttemptAccepted) {
	t := r.task(ev.Client, ev.Attempt)
	if t == nil || t.state == open {
		return
	}
	r.Counters.Established++
	r.Counters.AttemptsAccepted++
	r.owed--
	if r.now-t.deadline+t.Timeout > r.classes[t.Class].LatencyObjective && t.at == "" {
		r.Counters.EstablishedLate++
	}
	t.state, t.heardAt = open, r.now
	r.do(Forward{Client: t.from, Data: ev.Data})
	if t.at != "" {
		r.Counters.Adopted++
		r.feed(policy.AdoptedConnection{Request: t.Request, Server: t.region})
	} else {
		r.feed(policy.AttemptEstablished{ID: t.ID, Attempt: t.attempt, Server: t.region, Latency: r.now - t.sentAt})
	}
	if r.open[t.from] != t {
		return
	}
	if t.ended > 0 {
		r.do(CloseServer{Client: t.from, Reason: CloseEOF})
	}
	r.notes(t, ev.Payload)
	if r.movesClients() {
		r.sendAway(t, "leaving")
	}
}

// passed hands bytes on at once, and learns from them what the region's connections tell.
func (r *Reducer) passed(ev DataReceived) {
	t := r.open[ev.Client]
	if t == nil || t.state != open {
		return
	}
	r.do(Forward{Client: t.from, ToServer: !ev.FromServer, Data: ev.Data})
	switch {
	case ev.FromServer:
		if t.ended > 0 {
			t.ended = r.now // half a connection, but a lively one
		}
		if ev.Lines > 0 {
			t.heardAt = r.now
			if g := r.regions[t.region]; g != nil {
				g.heardAt = r.now
				if t.askedAt > 0 {
					g.answered = max(g.answered, t.askedAt)
				}
			}
			if t.askedAt > 0 {
				r.delay(t, r.now-t.askedAt)
				t.askedAt = 0
			}
		}
		r.notes(t, ev.Payload)
	case ev.Lines > 0 && t.askedAt == 0:
		t.askedAt = r.now
	}
}

// taskEnded follows an attempt that its server ended, or whose connection never came up.
func (r *Reducer) taskEnded(ev AttemptClosed) {
	t := r.task(ev.Client, ev.Attempt)
	if t == nil {
		return
	}
	if t.state == open {
		r.Counters.ClosedByServer++
		result := policy.ResultReset
		switch ev.Reason {
		case CloseFinished:
			result = policy.ResultOK
		case CloseMigrated:
			result = policy.ResultCanceled
		}
		if ev.Reason != CloseReset {
			ev.Reason = CloseEOF
		}
		if t.ended > 0 && result == policy.ResultReset {
			result = policy.ResultCanceled
		}
		r.do(CloseClient{Client: t.from, Reason: ev.Reason})
		r.closed(t, result)
		return
	}
	how := policy.ResultReset
	switch ev.Reason {
	case CloseRefused:
		how = policy.ResultUnreachable
	case CloseRejected:
		how = policy.ResultRejected
	case CloseFailed, CloseFinished:
		how = policy.ResultFailed
	case CloseMigrated:
		how = policy.ResultCanceled
	case CloseEOF, CloseReset:
		if t.state != asked {
			how = policy.ResultUnreachable // the line's last byte never left
		}
	}
	r.giveUp(t, how, "ended")
}

// lateResult tells how a routed task ends whose time is up: one that was never sent has not run.
func (r *Reducer) lateResult(t *transaction) policy.Result {
	if t.state == dialing {
		return policy.ResultUnreachable
	}
	return policy.ResultTimedOut
}

// deadline makes sure of the final answer: the module gets its time-out first, and if it still holds the
// transaction then, the answer is that it failed.
func (r *Reducer) deadline(t *transaction) {
	if t == nil || t.state == open || r.now < t.deadline {
		return
	}
	if t.state != waiting {
		r.giveUp(t, r.lateResult(t), "deadline")
	}
	if r.open[t.from] == t && t.state != open {
		r.Counters.Failed++
		r.do(Answer{Client: t.from, Reason: "deadline"})
		r.abandon(t)
	}
}
