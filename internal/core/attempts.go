package core

import (
	"time"

	"oatloft/internal/failpoint"
	"oatloft/policy"
)

// minTimeLeft is the shortest remaining time with which a request is sent. The server is given whole milliseconds, so
// a shorter time would tell it that the client has no time left.
const minTimeLeft = time.Millisecond

// Reasons of CloseAttempt and Answer. Operators' tools count them by these strings.
const (
	reasonConnectTimeout = "connect"  // the connection was not established in time
	reasonAttemptTimeout = "until"    // the attempt timed out
	reasonDeadline       = "deadline" // the request's deadline passed
	reasonUnlisted       = "unlisted" // the server may no longer be used
	reasonClientGone     = "client"   // the client disconnected
	reasonKeyExpired     = "key"      // servers may have forgotten the idempotency key
	reasonTooLate        = "late"     // less than minTimeLeft remains
	reasonServerClosed   = "ended"    // the server closed the connection
	reasonNoOtherServer  = "platform" // the platform assigned the server, so no other one may be tried
	reasonSentByOther    = "twice"    // another process has sent a request with the same id
)

// attempt is the latest attempt of a request. A request has at most one pending attempt.
type attempt struct {
	number    int // -1 before the first
	server    string
	startedAt time.Duration // when the dial began
	sentAt    time.Duration // when sending of the request began
	timeoutAt time.Duration // the attempt is abandoned then
}

// pendingAttempt returns the request whose current attempt has this number, or nil: events of earlier attempts are
// ignored.
func (r *Reducer) pendingAttempt(client Handle, number int) *request {
	q := r.requests.byClient[client]
	if q == nil || q.attempt.number != number || q.state == waiting {
		return nil
	}
	return q
}

// sendAttempt performs the module's Send. If the server is no longer listed, the previous attempt is still pending or
// no time is left, it reports the attempt as unreachable instead: it has not run.
func (r *Reducer) sendAttempt(action policy.Send) {
	q := r.requests.byID[action.ID]
	if q == nil {
		return
	}
	timeoutAt := q.deadline
	if action.TimeoutAt > 0 {
		timeoutAt = min(timeoutAt, action.TimeoutAt)
	}
	e := r.endpoints.byID[action.Server]
	if e == nil || q.state != waiting || timeoutAt < r.now+minTimeLeft {
		r.Counters.AttemptsNotSent++
		q.attempt.number++
		r.decide(policy.AttemptEnded{
			ID:      q.ID,
			Attempt: q.attempt.number,
			Server:  action.Server,
			Result:  policy.ResultUnreachable,
		})
		return
	}
	r.dial(q, e, timeoutAt)
}

// dial opens an attempt's connection. The attempt is abandoned at timeoutAt, or earlier if its connection is not
// established within the configured time. Connections from before this process are all re-established at once, so
// their dials may take until the request's deadline.
func (r *Reducer) dial(q *request, e *endpoint, timeoutAt time.Duration) {
	r.Counters.Attempts++
	q.state = dialing
	q.attempt = attempt{
		number:    q.attempt.number + 1,
		server:    e.ID,
		startedAt: r.now,
		sentAt:    q.attempt.sentAt,
		timeoutAt: timeoutAt,
	}
	connectTimeout := r.config.ConnectTimeout
	if q.isNew() {
		r.timers.set(r.now+connectTimeout, q.attemptTimer(connectTimer))
	} else {
		connectTimeout = q.deadline - r.now
	}
	if timeoutAt < q.deadline {
		r.timers.set(timeoutAt, q.attemptTimer(attemptTimer))
	}
	r.emit(Dial{
		Client:  q.client,
		Attempt: q.attempt.number,
		Server:  e.ID,
		Address: e.Address,
		Timeout: connectTimeout,
	})
}

func (q *request) attemptTimer(kind timerKind) timer {
	return timer{kind: kind, client: q.client, number: q.attempt.number}
}

// attemptConnected sends the request, unless something that happened during the dial forbids it. The attempt has not
// run in that case.
func (r *Reducer) attemptConnected(event AttemptConnected) {
	q := r.pendingAttempt(event.Client, event.Attempt)
	if q == nil || q.state != dialing {
		return
	}
	if reason := r.sendBlockReason(q); reason != "" {
		r.Counters.AttemptsNotSent++
		r.abandonAttempt(q, policy.ResultUnreachable, reason)
		return
	}
	q.state = sending
	q.attempt.sentAt = r.now
	r.emit(SendRequest{Client: q.client, Attempt: q.attempt.number, TimeLeft: q.attempt.timeoutAt - r.now})
}

// sendBlockReason returns why a request must not be sent now, or "" if it may be.
func (r *Reducer) sendBlockReason(q *request) string {
	class := r.classes.byName[q.Class]
	switch {
	case q.isNew() && !r.serverStillUsable(q):
		return reasonUnlisted
	case q.clientHalfClosedAt > 0 && r.now > q.clientHalfClosedAt+policy.DisconnectGrace:
		return reasonClientGone
	case class.Idempotency == policy.IdempotentByKey && q.mayHaveRunAt > 0 && r.now > q.mayHaveRunAt+class.KeyTTL:
		return reasonKeyExpired // servers would treat the repeat as a new request
	case q.attempt.timeoutAt < r.now+minTimeLeft: // the timer has not fired yet
		return reasonTooLate
	}
	return ""
}

// serverStillUsable reports whether the server of a dialed attempt is still listed as live, the lease is active, and
// the current routing revision still gives the server new requests.
func (r *Reducer) serverStillUsable(q *request) bool {
	e := r.endpoints.byID[q.attempt.server]
	return e != nil && e.State == policy.Live && r.lease == policy.LeaseActive && (q.MidFlow || !r.excludedByRevision(e))
}

// excludedByRevision reports whether the current routing revision gives the server or its zone the weight 0.
func (r *Reducer) excludedByRevision(e *endpoint) bool {
	for _, name := range []string{e.ID, "zone/" + e.Zone} {
		if weight, named := r.config.Policy.Weights[name]; named && weight == 0 {
			return true
		}
	}
	return false
}

func (r *Reducer) requestSent(event RequestSent) {
	if q := r.pendingAttempt(event.Client, event.Attempt); q != nil && q.state == sending {
		q.state = sent
	}
}

// attemptAccepted forwards the server's answer; the connection is now established.
func (r *Reducer) attemptAccepted(event AttemptAccepted) {
	q := r.pendingAttempt(event.Client, event.Attempt)
	if q == nil || q.state == established {
		return
	}
	r.Counters.Established++
	r.Counters.AttemptsAccepted++
	r.requests.unanswered--
	if r.now-q.deadline+q.Timeout > r.classes.byName[q.Class].LatencyObjective && q.isNew() {
		r.Counters.EstablishedLate++
	}
	q.state = established
	q.traffic.lastLineAt = r.now
	q.traffic.insideLine = event.InsideLine
	r.emit(Forward{Client: q.client, Data: event.Data})
	if q.isNew() {
		r.decide(policy.AttemptEstablished{
			ID:      q.ID,
			Attempt: q.attempt.number,
			Server:  q.attempt.server,
			Latency: r.now - q.attempt.startedAt,
		})
	} else {
		r.Counters.Adopted++
		r.decide(policy.AdoptedConnection{Request: q.Request, Server: q.attempt.server})
	}
	if !r.requests.has(q) { // the module migrated it
		return
	}
	if q.clientHalfClosedAt > 0 {
		r.emit(CloseServer{Client: q.client, Reason: CloseEOF})
	}
	r.reportLoad(q, event.Payload)
	if r.shutdown.migratesAtOnce() {
		r.migrate(q, reasonShutdown)
	}
}

// attemptClosed handles an attempt that its server closed, or whose connection could not be established.
func (r *Reducer) attemptClosed(event AttemptClosed) {
	q := r.pendingAttempt(event.Client, event.Attempt)
	switch {
	case q == nil:
	case q.state == established:
		r.closedByServer(q, event.Reason)
	default:
		r.abandonAttempt(q, q.closedResult(event.Reason), reasonServerClosed)
	}
}

// closedResult returns the result of a pending attempt that was closed for the given reason. An attempt whose request
// was not sent completely has not run.
func (q *request) closedResult(reason CloseReason) policy.Result {
	switch reason {
	case CloseRefused:
		return policy.ResultUnreachable
	case CloseRejected:
		return policy.ResultRejected
	case CloseFailed, CloseFinished:
		return policy.ResultFailed
	case CloseMigrated:
		return policy.ResultCanceled
	}
	if q.state != sent {
		return policy.ResultUnreachable
	}
	return policy.ResultReset
}

// timeoutResult returns the result of a pending attempt that timed out. An attempt that was still dialing has not run.
func (q *request) timeoutResult() policy.Result {
	if q.state == dialing {
		return policy.ResultUnreachable
	}
	return policy.ResultTimedOut
}

func (r *Reducer) connectTimedOut(t timer) {
	if q := r.pendingAttempt(t.client, t.number); q != nil && q.state == dialing {
		r.abandonAttempt(q, policy.ResultUnreachable, reasonConnectTimeout)
	}
}

func (r *Reducer) attemptTimedOut(t timer) {
	if q := r.pendingAttempt(t.client, t.number); q != nil && q.state != established {
		r.abandonAttempt(q, q.timeoutResult(), reasonAttemptTimeout)
	}
}

// closePendingAttempt closes the connection of a pending attempt without recording a result.
func (r *Reducer) closePendingAttempt(q *request) {
	if q.state != waiting {
		r.emit(CloseAttempt{Client: q.client, Attempt: q.attempt.number})
	}
}

// abandonAttempt closes a pending attempt and reports its result to the module.
func (r *Reducer) abandonAttempt(q *request, result policy.Result, reason string) {
	if !failpoint.On("task-kept") {
		r.emit(CloseAttempt{Client: q.client, Attempt: q.attempt.number, Reason: reason})
	}
	r.countResult(result)
	q.state = waiting
	if result.MayHaveRun() && q.mayHaveRunAt == 0 {
		q.mayHaveRunAt = q.attempt.sentAt
	}
	if !q.isNew() { // the platform assigned its server; the module does not know the request
		r.Counters.Failed++
		r.answer(q, Answer{Reason: reasonNoOtherServer})
		return
	}
	r.decide(policy.AttemptEnded{ID: q.ID, Attempt: q.attempt.number, Server: q.attempt.server, Result: result})
}

func (r *Reducer) countResult(result policy.Result) {
	switch result {
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
}
