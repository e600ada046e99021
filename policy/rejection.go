package policy

import "slices"

// shouldReject reports whether a waiting request should get its final answer now. A connection established after the
// latency objective has no value.
func (b *Balancer) shouldReject(r *request) bool {
	return b.lease == LeaseExpired || b.now >= r.receivedAt+r.class.LatencyObjective || b.tooLateForAttempt(r)
}

// rejectOrFail closes a request that has no pending attempt. The request is rejected if a retry is safe, and failed
// otherwise.
func (b *Balancer) rejectOrFail(r *request) {
	class := r.class
	retrySafe := r.mayHaveRunAt < 0 ||
		class.Idempotency == Idempotent ||
		class.Idempotency == IdempotentByKey && class.KeyScope == KeyScopeAll
	if retrySafe {
		retryAfter := b.config.MaxRetryAfter/2 + b.jitter(b.config.MaxRetryAfter/2)
		b.emit(Reject{r.ID, retryAfter, b.rejectionReason(r)})
	} else {
		b.emit(Fail{r.ID, b.rejectionReason(r)})
	}
	b.forget(r)
}

// rejectionReason returns the reason for which a request was not placed.
func (b *Balancer) rejectionReason(r *request) string {
	switch {
	case b.lease != LeaseActive:
		return reasonNoLease
	case r.mayHaveRunAt >= 0 && r.class.Idempotency == NotIdempotent:
		return reasonMayHaveRun
	case r.attempts >= r.class.MaxAttempts:
		return reasonAttemptsSpent
	case b.retriesSpent(r):
		return reasonRetryBudget
	case !b.maySetUp():
		return reasonSetupLimit
	case slices.ContainsFunc(r.sampled, func(s *server) bool { return s.probe.pending }):
		return reasonNoReading
	}
	return b.nearestObstacle(r)
}

// obstacles lists the reasons for which a server is not used for a request, in the order of the checks.
var obstacles = []string{
	reasonBeyondSubset, reasonAlreadyTried, reasonEjected, reasonMessageDelay,
	reasonServerFull, reasonOverloadPenalty, reasonWarmUpBudget, reasonRandomChoice,
}

// nearestObstacle returns the reason of the server that passed the most checks, among the sampled servers or else among
// all.
func (b *Balancer) nearestObstacle(r *request) string {
	nearest := -1
	for _, s := range b.servers.sorted {
		if s.State != Live || s.sampleWeight == 0 || len(r.sampled) > 0 && !slices.Contains(r.sampled, s) {
			continue
		}
		nearest = max(nearest, b.obstacleIndex(s, r))
	}
	if nearest < 0 {
		return reasonNoServer
	}
	return obstacles[nearest]
}

// obstacleIndex returns the index in obstacles of the first check that a server fails for a request. As a side effect
// it refills the server's warm-up budget.
func (b *Balancer) obstacleIndex(s *server, r *request) int {
	budgetSpent := b.warmUpCapacity(s) < 1 && b.refillWarmUpBudget(s) < 1
	capacity := b.capacityLeft(s, r, newRequestLoadLimit)
	return slices.Index([]bool{
		b.beyondSubset(s),
		s == r.avoid,
		b.now < s.probe.ejectedUntil,
		s.delay.exceeds(r.class.MessageLatencyObjective, b.now),
		capacity < 1,
		capacity < 1+s.estimate.penalty,
		budgetSpent,
		true,
	}, true)
}
