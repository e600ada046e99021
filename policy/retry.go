package policy

import "time"

const (
	maxRetryTokens   = 16.0 // limit of unused retries in the budget
	deadlineTicks    = 3    // an attempt that starts this many ticks before the deadline would end too late
	slowSetupsFactor = 4    // an attempt may take this many times the mean set-up time
)

// retryBudget limits the total number of retries of all requests.
type retryBudget struct{ tokens float64 }

// refill adds the retries that one new request allows.
func (b *retryBudget) refill(ratio float64) { b.tokens = min(maxRetryTokens, b.tokens+ratio) }

func (b *retryBudget) spend() { b.tokens-- }

// retriesSpent reports whether the request may not be retried because the common retry budget is used up.
func (b *Balancer) retriesSpent(r *request) bool {
	return b.config.RetryRatio > 0 && b.retries.tokens < 1 && r.attempts > 0
}

// exhausted reports whether a request gets no further attempt, because of its deadline, the limit of attempts or the
// common retry budget, or because it must not be repeated and an attempt may have run.
func (b *Balancer) exhausted(r *request) bool {
	return b.retriesSpent(r) ||
		b.tooLateForAttempt(r) ||
		r.attempts >= r.class.MaxAttempts ||
		r.mayHaveRunAt >= 0 && r.class.Idempotency == NotIdempotent
}

// tooLateForAttempt reports whether a new attempt could end too late for an answer before the deadline.
func (b *Balancer) tooLateForAttempt(r *request) bool {
	return b.now >= r.deadline-deadlineTicks*b.tickInterval
}

// mayRepeat reports whether sending the request to a server is safe with regard to repeats: a request that may have run
// is sent only where a repeat is harmless.
func (b *Balancer) mayRepeat(s *server, r *request) bool {
	class := r.class
	if r.mayHaveRunAt < 0 || class.Idempotency == Idempotent {
		return true
	}
	return class.Idempotency == IdempotentByKey &&
		class.KeyScope.sharedBy(s, r.mayHaveRunOn) &&
		b.now-r.mayHaveRunAt <= class.KeyTTL
}

// sharedBy reports whether two servers discard each other's repeats.
func (k KeyScope) sharedBy(a, b *server) bool {
	switch k {
	case KeyScopeZone:
		return a.Zone == b.Zone
	case KeyScopeCell:
		return a.Cell == b.Cell
	}
	return true
}

// attemptTimeout returns the time at which an attempt that starts now times out, or 0 for the client's own deadline. An
// attempt should leave time for another one, unless set-ups are slow at all servers.
func (b *Balancer) attemptTimeout(r *request) time.Duration {
	objective := r.class.LatencyObjective
	timeout := b.now + max(objective, time.Duration(slowSetupsFactor*b.setups.meanMillis)*time.Millisecond)
	if timeout >= r.deadline-objective/2 {
		return 0
	}
	return timeout
}

// attemptEnded closes an established request, or places one that is not established again. A request that explored
// returns to its earlier server, because a failed attempt counts as a higher load than the earlier server's.
func (b *Balancer) attemptEnded(event AttemptEnded) {
	r := b.requests.byID[event.ID]
	if r == nil || event.Attempt != r.attempts-1 || !r.attemptPending && !r.established {
		return
	}
	if r.established || event.Final {
		b.forget(r)
		return
	}
	b.recordFailedAttempt(r, event.Result)
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

// recordFailedAttempt reports an attempt that was not established to the set-up limiter. A time-out counts with the
// latency objective as its duration, and triggers a probe, which shows whether only this server has a fault or all do.
func (b *Balancer) recordFailedAttempt(r *request, result Result) {
	duration := time.Duration(b.setups.meanMillis) * time.Millisecond
	if result == ResultTimedOut || result == ResultUnreachable {
		duration = r.class.LatencyObjective
		b.ensureReading(r.server, nil)
	}
	r.attemptPending = false
	if result != ResultTimedOut && result != ResultFailed {
		b.setups.recordSuccess(duration, float64(b.config.MaxPendingAttempts))
		return
	}
	r.failedSetups++
	b.setups.recordFailure(
		setupFailure{server: r.server, duration: duration, firstOfRequest: r.failedSetups == 1},
		b.now,
		b.jitter,
	)
}
