package policy

import "time"

const (
	initialSetupLimit    = 16                     // pending attempts
	minSetupLimit        = 1.0 / 16               // pending attempts
	highFailureRate      = 0.25                   // of requests; above it, the content of requests is not the cause
	minCutIntervalMillis = 100                    // milliseconds between two reductions of the limit
	setupPauseUnit       = 100 * time.Millisecond // longest pause after a reduction, at a limit of 1
	setupMeanWeight      = 0.1                    // of the latest set-up in the running means
	scarceSetupsFactor   = 2                      // set-ups are scarce once they take 1/2 of the latency objective
)

// setupLimiter limits the number of attempts pending at the same time. A resource that all set-ups share (a session
// store, the network) can be the bottleneck, and more attempts would only end in errors. After as many successes as
// the limit, the limit grows by one. It is halved when attempts at different servers fail.
type setupLimiter struct {
	pending      int
	limit        float64
	meanMillis   float64 // running mean of the duration of a set-up
	failureRate  float64 // running fraction of requests whose first set-up failed
	lastFailedOn *server
	nextCutAt    time.Duration // no further reduction before this; 0 before the first one
	pausedUntil  time.Duration // no set-up before this
}

// setupFailure is a failed set-up.
type setupFailure struct {
	server         *server
	duration       time.Duration
	firstOfRequest bool // only the first is counted: a request that fails everywhere may itself be the cause
}

func (l *setupLimiter) recordEnd(duration time.Duration) {
	l.pending--
	l.meanMillis += setupMeanWeight * (float64(duration.Milliseconds()) - l.meanMillis)
}

// recordSuccess counts a set-up that succeeded, or whose failure was due to the content of its request.
func (l *setupLimiter) recordSuccess(duration time.Duration, maxLimit float64) {
	l.recordEnd(duration)
	l.limit = min(maxLimit, l.limit+min(l.limit, 1/l.limit))
	l.failureRate -= setupMeanWeight * l.failureRate
}

// recordFailure counts a failed set-up. Failures at one server give no information on the others, so only two failures
// at different servers reduce the limit.
func (l *setupLimiter) recordFailure(
	failure setupFailure,
	now time.Duration,
	jitter func(time.Duration) time.Duration,
) {
	l.recordEnd(failure.duration)
	if failure.firstOfRequest {
		l.failureRate += setupMeanWeight * (1 - l.failureRate)
	}
	differentServer := l.lastFailedOn != nil && failure.server != l.lastFailedOn
	if differentServer && now >= l.nextCutAt && l.failureRate > highFailureRate {
		l.limit = max(minSetupLimit, min(l.limit, float64(l.pending+1))/2)
		l.nextCutAt = now + time.Duration(max(minCutIntervalMillis, l.meanMillis))*time.Millisecond
		l.pausedUntil = now + jitter(time.Duration(float64(setupPauseUnit)/l.limit))
	}
	l.lastFailedOn = failure.server
}

// cutWithin reports whether the limit was reduced less than d ago, counted from the end of the reduction interval.
func (l *setupLimiter) cutWithin(d, now time.Duration) bool {
	return l.nextCutAt > 0 && now < l.nextCutAt+d
}

// maySetUp reports whether another attempt may start.
func (b *Balancer) maySetUp() bool {
	return b.lease == LeaseActive && b.now >= b.setups.pausedUntil && float64(b.setups.pending) < max(1, b.setups.limit)
}

// setupsScarce reports whether the new requests of a class need all set-ups, so that none are left for migrations.
func (b *Balancer) setupsScarce(class *Class) bool {
	return b.setups.cutWithin(minSettleTime, b.now) ||
		b.setups.meanMillis > float64(class.LatencyObjective.Milliseconds())/scarceSetupsFactor
}
