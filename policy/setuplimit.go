package policy

import "time"

const (
	initialSetupLimit  = 16
	minSetupLimit      = 1.0 / 16
	highFailureRate    = 0.25 // of requests that fail by more than their content
	minCutInterval     = 100  // milliseconds between two cuts
	setupPauseUnit     = 100 * time.Millisecond
	setupMeanWeight    = 0.1 // of the latest set-up in the running means
	scarceSetupsFactor = 2   // set-ups are scarce once they take half of the latency objective
)

// setupLimiter limits the attempts that are pending at once: what all set-ups share (a session store, the network)
// may be the bottleneck, and more of them would only end in errors. The limit grows by one for each limit's worth
// of successes, and halves when attempts at different servers fail.
type setupLimiter struct {
	pending      int
	limit        float64
	meanMillis   float64 // running mean of a set-up's time
	failureRate  float64 // running share of requests whose first set-up failed
	lastFailedOn *server
	nextCutAt    time.Duration // no second cut before this; 0 before the first one
	pausedUntil  time.Duration // no set-up before this
}

// setupFailure is a set-up that failed.
type setupFailure struct {
	server         *server
	took           time.Duration
	firstOfRequest bool // a request that fails everywhere may be to blame itself
}

func (l *setupLimiter) ended(took time.Duration) {
	l.pending--
	l.meanMillis += setupMeanWeight * (float64(took.Milliseconds()) - l.meanMillis)
}

// succeeded counts a set-up that failed at most by its content.
func (l *setupLimiter) succeeded(took time.Duration, maxLimit float64) {
	l.ended(took)
	l.limit = min(maxLimit, l.limit+min(l.limit, 1/l.limit))
	l.failureRate -= setupMeanWeight * l.failureRate
}

// failed counts a set-up that failed. Failures at one server say nothing of the others: only two at different
// servers cut the limit.
func (l *setupLimiter) failed(failure setupFailure, now time.Duration, jitter func(time.Duration) time.Duration) {
	l.ended(failure.took)
	if failure.firstOfRequest {
		l.failureRate += setupMeanWeight * (1 - l.failureRate)
	}
	elsewhere := l.lastFailedOn != nil && failure.server != l.lastFailedOn
	if elsewhere && now >= l.nextCutAt && l.failureRate > highFailureRate {
		l.limit = max(minSetupLimit, min(l.limit, float64(l.pending+1))/2)
		l.nextCutAt = now + time.Duration(max(minCutInterval, l.meanMillis))*time.Millisecond
		l.pausedUntil = now + jitter(time.Duration(float64(setupPauseUnit)/l.limit))
	}
	l.lastFailedOn = failure.server
}

// cutWithin tells that the limit was cut less than so long ago.
func (l *setupLimiter) cutWithin(d, now time.Duration) bool {
	return l.nextCutAt > 0 && now < l.nextCutAt+d
}

// maySetUp tells whether another attempt may start.
func (b *Balancer) maySetUp() bool {
	return b.lease == LeaseActive && b.now >= b.setups.pausedUntil && float64(b.setups.pending) < max(1, b.setups.limit)
}

// setupsScarce tells that set-ups for new requests of a class leave none for migrations.
func (b *Balancer) setupsScarce(class *Class) bool {
	return b.setups.cutWithin(minSettleTime, b.now) ||
		b.setups.meanMillis > float64(class.LatencyObjective.Milliseconds())/scarceSetupsFactor
}
