package policy

import (
	"math"
	"time"
)

const (
	minWarmUpCapacity  = 1e-3 // of the full capacity; keeps figures finite if a server has no capacity when it starts
	minSendProbability = 1e-3
	minBudgetedStep    = 1e-3 // load; lower load steps are implausible for a starting server
	overloadSlack      = 2.0  // with a budget of N, a starting server bears N + 2 sqrt(N) + 2
)

// warmUpState is a server's slow start.
type warmUpState struct {
	since           time.Duration // when the server started; 0 if it has warmed up
	tokens          float64       // requests of mean work that this balancer may send
	refilledAt      time.Duration
	maxWeight       float64 // highest class weight that the budget allows
	sendProbability float64 // fraction of the time in which a budget of this size allows a request
}

// startWarmUp starts the slow start of a server. The budget starts at a random level, because one request can exceed
// this balancer's share, and otherwise all balancers would spend their budgets at the same moment.
func (b *Balancer) startWarmUp(s *server, since time.Duration) {
	s.warmUp.since = since
	s.warmUp.tokens = b.rng.Float64()
	s.warmUp.refilledAt = b.now
	s.reading.known = false
}

// warmUpCapacity returns the least fraction of its full capacity that a server has now. The reported start can be
// later than the current time.
func (b *Balancer) warmUpCapacity(s *server) float64 {
	if s.warmUp.since == 0 || b.now-s.warmUp.since >= b.config.WarmUpDuration {
		return 1
	}
	initial := b.config.WarmUpInitialCapacity
	elapsed := float64(max(0, b.now-s.warmUp.since)) / float64(b.config.WarmUpDuration)
	return max(minWarmUpCapacity, initial+(1-initial)*elapsed)
}

// withinWarmUpBudget reports whether a server has warmed up, or this balancer's budget for it allows the request.
// Classes of high weight are sent to other servers while the budget is small, because all balancers may send such a
// request at the same time.
func (b *Balancer) withinWarmUpBudget(s *server, r *request) bool {
	if b.warmUpCapacity(s) >= 1 {
		return true
	}
	return b.refillWarmUpBudget(s) >= 1 && b.classLoads.weight(r.Class) <= s.warmUp.maxWeight
}

// refillWarmUpBudget refills and returns the number of requests of mean work that this balancer may send to a starting
// server, which is its share of what the server bears. Unused budget expires, because otherwise all balancers would
// save up a request and send it at the same time.
//
// With a budget of N per window the server bears N + 2 sqrt(N) + 2. The slack above N is reserved for random
// variation, unless it is enough for whole requests of each balancer. All balancers together may then send n requests,
// where n is the solution of n + 0.75 sqrt(n) + 1 = N + 2 sqrt(N) + 2: 0.75 sqrt(n) allows for uneven work, and 1 for
// a request from a balancer that is not counted. A balancer saves up to 1 + R/4 and refills R per window, so R = 0.79
// times its share of n limits it to that number of whole requests.
func (b *Balancer) refillWarmUpBudget(s *server) float64 {
	window := max(b.config.OverloadWindow, b.tickInterval).Seconds()
	divisor := b.budgetDivisor()
	budgetShare := b.config.WarmUpBudgetShare
	step := max(b.loadStep(s), minBudgetedStep)
	budget := budgetShare * b.config.OverloadMultiple / step / b.config.WarmUpDuration.Seconds() * window
	bound := budget + overloadSlack*(1+math.Sqrt(budget/budgetShare)) - 1
	root := (math.Sqrt(0.5625+4*max(0, bound)) - 0.75) / 2
	rate := max(budget/divisor, 0.79*math.Floor(root*root/divisor)) / window

	w := &s.warmUp
	w.tokens += rate * (b.now - w.refilledAt).Seconds()
	w.refilledAt = b.now
	w.maxWeight = 1.5 + budget/4
	w.sendProbability = rate * window / 4
	w.tokens -= math.Ceil(max(0, w.tokens-1-w.sendProbability))
	return w.tokens
}

// sendProbability returns the fraction of the time in which this balancer's budget allows a request to a server, or 1
// if the server has warmed up.
func (b *Balancer) sendProbability(s *server) float64 {
	if b.warmUpCapacity(s) >= 1 {
		return 1
	}
	return min(1, max(s.warmUp.sendProbability, minSendProbability))
}
