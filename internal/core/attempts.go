package core

import (
	"time"

	"oatloft/internal/failpoint"
	"oatloft/policy"
)

// minTimeLeft is the least time that a request may tell the server, which counts whole milliseconds: with less it
// would say that the client has no time left.
const minTimeLeft = time.Millisecond

// Reasons of a CloseAttempt or an Answer. Operators' tools count them by these texts.
const (
	reasonConnectTimeout = "connect"  // its connection did not come up in time
	reasonAttemptTimeout = "until"    // it timed out
	reasonDeadline       = "deadline" // its client's time is over
	reasonUnlisted       = "unlisted" // its server may not be used any more
	reasonClientGone     = "client"   // its client has left
	reasonKeyExpired     = "key"      // servers may have forgotten the idempotency key
	reasonTooLate        = "late"     // too little time is left for the request
	reasonServerClosed   = "ended"    // its server closed it
	reasonNotPlaced      = "platform" // its server was named by the platform, and there is no other one
)

// attempt is the latest attempt of a request. No two attempts of one request are pending at once.
type attempt struct {
	number    int // -1 before the first
	server    string
	startedAt time.Duration // when its connection was dialed
	sentAt    time.Duration // when the request began to leave
	timeoutAt time.Duration // it is given up then
}

// pendingAttempt finds a request by its pending attempt; news of an earlier one concern nobody.
func (r *Reducer) pendingAttempt(client Handle, number int) *request {
	q := r.requests.byClient[client]
	if q == nil || q.attempt.number != number || q.state == waiting {
		return nil
	}
	return q
}

// sendAttempt carries out the module's Send, unless the server is gone, the attempt before is still pending, or no
// time is left for it: then it has never run.
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

// dial opens an attempt's connection. The attempt is given up at timeoutAt, and before that if its connection is
// not up within the settings' time. Connections from before the day began all come at once, and may take until
// their deadline.
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

// attemptConnected sends the request, unless something has happened while the connection came up that forbids it:
// nothing has run yet.
func (r *Reducer) attemptConnected(event AttemptConnected) {
	q := r.pendingAttempt(event.Client, event.Attempt)
	if q == nil || q.state != dialing {
		return
	}
	if reason := r.sendObstacle(q); reason != "" {
		r.Counters.AttemptsNotSent++
		r.giveUpAttempt(q, policy.ResultUnreachable, reason)
		return
	}
	q.state = sending
	q.attempt.sentAt = r.now
	r.emit(SendRequest{Client: q.client, Attempt: q.attempt.number, TimeLeft: q.attempt.timeoutAt - r.now})
}

// sendObstacle names what forbids to send a request now, "" if nothing does.
func (r *Reducer) sendObstacle(q *request) string {
	class := r.classes.byName[q.Class]
	switch {
	case q.isNew() && !r.mayStillUse(q):
		return reasonUnlisted
	case q.clientEndedAt > 0 && r.now > q.clientEndedAt+policy.DisconnectGrace:
		return reasonClientGone
	case class.Idempotency == policy.IdempotentByKey && q.mayHaveRunAt > 0 && r.now > q.mayHaveRunAt+class.KeyTTL:
		return reasonKeyExpired // servers would take the repeat for a new request
	case q.attempt.timeoutAt < r.now+minTimeLeft: // and the timer that tells so is not due yet
		return reasonTooLate
	}
	return ""
}

// mayStillUse tells whether the server of a dialed attempt is still listed as live, and by the revision in force
// still takes new requests.
func (r *Reducer) mayStillUse(q *request) bool {
	e := r.endpoints.byID[q.attempt.server]
	return e != nil && e.State == policy.Live && r.lease == policy.LeaseActive && (q.MidFlow || !r.excludedByRevision(e))
}

// excludedByRevision tells that the revision in force gives a server, or its zone, the weight 0.
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

// attemptAccepted passes the server's answer on: the connection is established.
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
	if !r.requests.has(q) { // the module has migrated it
		return
	}
	if q.clientEndedAt > 0 {
		r.emit(CloseServer{Client: q.client, Reason: CloseEOF})
	}
	r.reportLoad(q, event.Payload)
	if r.shutdownBreaksConnections() {
		r.migrate(q, reasonShutdown)
	}
}

// attemptClosed follows an attempt that its server ended, or whose connection never came up.
func (r *Reducer) attemptClosed(event AttemptClosed) {
	q := r.pendingAttempt(event.Client, event.Attempt)
	switch {
	case q == nil:
	case q.state == established:
		r.closedByServer(q, event.Reason)
	default:
		r.giveUpAttempt(q, q.closedResult(event.Reason), reasonServerClosed)
	}
}

// closedResult is the result of a pending attempt that ended so. An attempt whose request had not left whole has
// not run.
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

// timeoutResult is the result of a pending attempt whose time is over: one whose connection was not up has not run.
func (q *request) timeoutResult() policy.Result {
	if q.state == dialing {
		return policy.ResultUnreachable
	}
	return policy.ResultTimedOut
}

func (r *Reducer) connectTimedOut(t timer) {
	if q := r.pendingAttempt(t.client, t.number); q != nil && q.state == dialing {
		r.giveUpAttempt(q, policy.ResultUnreachable, reasonConnectTimeout)
	}
}

func (r *Reducer) attemptTimedOut(t timer) {
	if q := r.pendingAttempt(t.client, t.number); q != nil && q.state != established {
		r.giveUpAttempt(q, q.timeoutResult(), reasonAttemptTimeout)
	}
}

// closePendingAttempt closes the connection of an attempt that is pending, without a result.
func (r *Reducer) closePendingAttempt(q *request) {
	if q.state != waiting {
		r.emit(CloseAttempt{Client: q.client, Attempt: q.attempt.number})
	}
}

// giveUpAttempt closes a pending attempt and tells the module how it ended.
func (r *Reducer) giveUpAttempt(q *request, result policy.Result, reason string) {
	if !failpoint.On("task-kept") {
		r.emit(CloseAttempt{Client: q.client, Attempt: q.attempt.number, Reason: reason})
	}
	r.countResult(result)
	q.state = waiting
	if result.MayHaveRun() && q.mayHaveRunAt == 0 {
		q.mayHaveRunAt = q.attempt.sentAt
	}
	if !q.isNew() { // the platform named its server, and the module does not know it
		r.Counters.Failed++
		r.answer(q, Answer{Reason: reasonNotPlaced})
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
