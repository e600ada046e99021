package policy

import "time"

const (
	maxRetryTokens   = 16.0 // of a retry budget that was not used
	deadlineTicks    = 3    // an attempt that starts so many ticks before the deadline would end too late
	slowSetupsFactor = 4    // an attempt may take so many times the mean set-up
)

// retryBudget limits the retries of all requests together.
type retryBudget struct{ tokens float64 }

// refill adds what a new request allows.
func (b *retryBudget) refill(ratio float64) { b.tokens = min(maxRetryTokens, b.tokens+ratio) }

func (b *retryBudget) spend() { b.tokens-- }

// retriesSpent tells that the request may not be tried again for want of a common budget.
func (b *Balancer) retriesSpent(r *request) bool {
	return b.config.RetryRatio > 0 && b.retries.tokens < 1 && r.attempts > 0
}

// exhausted tells that a request gets no further attempt: for its deadline, their number, the common budget, or
// since one that must not be repeated may have run.
func (b *Balancer) exhausted(r *request) bool {
	return b.retriesSpent(r) ||
		b.overdue(r) ||
		r.attempts >= r.class.MaxAttempts ||
		r.mayHaveRunAt >= 0 && r.class.Idempotency == NotIdempotent
}

// overdue tells that an attempt could end too late for an answer in time.
func (b *Balancer) overdue(r *request) bool { return b.now >= r.deadline-deadlineTicks*b.tickInterval }

// mayRepeat tells whether a request may be sent to a server as far as repeats are concerned: one that may have run
// goes only where the repeat does no harm.
func (b *Balancer) mayRepeat(s *server, r *request) bool {
	class := r.class
	if r.mayHaveRunAt < 0 || class.Idempotency == Idempotent {
		return true
	}
	return class.Idempotency == IdempotentByKey &&
		class.KeyScope.shared(s, r.mayHaveRunOn) &&
		b.now-r.mayHaveRunAt <= class.KeyTTL
}

// shared tells whether two servers drop each other's repeats.
func (k KeyScope) shared(a, b *server) bool {
	switch k {
	case KeyScopeZone:
		return a.Zone == b.Zone
	case KeyScopeCell:
		return a.Cell == b.Cell
	}
	return true
}

// attemptTimeout is when an attempt that starts now times out, 0 for the client's own deadline. One attempt should
// leave time for another, unless set-ups take long everywhere.
func (b *Balancer) attemptTimeout(r *request) time.Duration {
	objective := r.class.LatencyObjective
	timeout := b.now + max(objective, time.Duration(slowSetupsFactor*b.setups.meanMillis)*time.Millisecond)
	if timeout >= r.deadline-objective/2 {
		return 0
	}
	return timeout
}

// attemptEnded closes an established request, or looks for another server. A request that explored returns to its
// earlier server, since a failed attempt counts as a load above the old one.
func (b *Balancer) attemptEnded(event AttemptEnded) {
	r := b.requests.byID[event.ID]
	if r == nil || event.Attempt != r.attempts-1 || !r.attemptPending && !r.established {
		return
	}
	if r.established || event.Final {
		b.forget(r)
		return
	}
	b.countEndedAttempt(r, event.Result)
	if event.Result.MayHaveRun() && r.mayHaveRunAt < 0 {
		r.mayHaveRunAt = r.attemptSentAt
		r.mayHaveRunOn = r.server
	}
	origin := r.origin
	r.avoid, r.origin, r.target = r.server, nil, nil
	if origin != nil && b.usable(origin, r) && !b.exhausted(r) && b.maySetUp() {
		b.send(r, origin)
		return
	}
	b.place(r)
}

// countEndedAttempt tells the set-up limiter of an attempt that was not established. A time-out counts with the
// latency objective, and the server's probe will tell whether it is this server or all.
func (b *Balancer) countEndedAttempt(r *request, result Result) {
	took := time.Duration(b.setups.meanMillis) * time.Millisecond
	if result == ResultTimedOut || result == ResultUnreachable {
		took = r.class.LatencyObjective
		b.ensureReading(r.server, nil)
	}
	r.attemptPending = false
	if result != ResultTimedOut && result != ResultFailed {
		b.setups.succeeded(took, float64(b.config.MaxPendingAttempts))
		return
	}
	r.failedSetups++
	b.setups.failed(setupFailure{server: r.server, took: took, firstOfRequest: r.failedSetups == 1}, b.now, b.jitter)
}
