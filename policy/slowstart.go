package policy

import (
	"math"
	"time"
)

const (
	minWarmUpCapacity  = 1e-3 // figures stay finite where a server that starts can do nothing
	minSendProbability = 1e-3
	minBudgetedStep    = 1e-3 // load steps below this are not believed of a starting server
	overloadSlack      = 2.0  // of a budget of N, a starting server bears N + 2 sqrt(N) + 2
)

// warmUpState is a server's slow start.
type warmUpState struct {
	since           time.Duration // when the server started; 0 if it has warmed up
	tokens          float64       // requests of mean work that this balancer may send
	refilledAt      time.Duration
	maxWeight       float64 // of a class whose requests the budget allows
	sendProbability float64 // fraction of the time in which so small a budget allows a request
}

// startWarmUp begins a server's slow start. Its budget starts at a random level: one request can be more than this
// balancer's share, and all balancers would spend theirs at the same moment.
func (b *Balancer) startWarmUp(s *server, since time.Duration) {
	s.warmUp.since = since
	s.warmUp.tokens = b.rng.Float64()
	s.warmUp.refilledAt = b.now
	s.reading.known = false
}

// warmUpCapacity is the fraction of its capacity that a server has now at least. Its start may be told ahead of the
// present time.
func (b *Balancer) warmUpCapacity(s *server) float64 {
	if s.warmUp.since == 0 || b.now-s.warmUp.since >= b.config.WarmUpDuration {
		return 1
	}
	initial := b.config.WarmUpInitialCapacity
	elapsed := float64(max(0, b.now-s.warmUp.since)) / float64(b.config.WarmUpDuration)
	return max(minWarmUpCapacity, initial+(1-initial)*elapsed)
}

// withinWarmUpBudget tells whether a server is warm, or this balancer's budget for it allows the request. Heavy
// classes go elsewhere while the budget is small: all balancers may send one at once.
func (b *Balancer) withinWarmUpBudget(s *server, r *request) bool {
	if b.warmUpCapacity(s) >= 1 {
		return true
	}
	return b.refillWarmUpBudget(s) >= 1 && b.classLoads.weight(r.Class) <= s.warmUp.maxWeight
}

// refillWarmUpBudget returns the requests of mean work that this balancer may send to a starting server: its share
// of what that bears. What was not used lapses, since otherwise all balancers would save up a request and send it
// at once.
//
// Of a budget of N per window the server bears N + 2 sqrt(N) + 2. The slack is left to chance, unless it is enough
// for whole requests of each balancer. Of all balancers together these are n, the solution of n + 0.75 sqrt(n) + 1
// = N + 2 sqrt(N) + 2: 0.75 sqrt(n) is for uneven work, and one request for a balancer that nobody counts. A
// balancer saves up to 1 + R/4 and refills R per window, so that R = 0.79 times its share of n keeps it at that
// many whole requests.
func (b *Balancer) refillWarmUpBudget(s *server) float64 {
	window := max(b.config.OverloadWindow, b.tickInterval).Seconds()
	sharers := b.budgetDivisor()
	budgetShare := b.config.WarmUpBudgetShare
	step := max(b.loadStep(s), minBudgetedStep)
	budget := budgetShare * b.config.OverloadMultiple / step / b.config.WarmUpDuration.Seconds() * window
	bound := budget + overloadSlack*(1+math.Sqrt(budget/budgetShare)) - 1
	root := (math.Sqrt(0.5625+4*max(0, bound)) - 0.75) / 2
	rate := max(budget/sharers, 0.79*math.Floor(root*root/sharers)) / window

	w := &s.warmUp
	w.tokens += rate * (b.now - w.refilledAt).Seconds()
	w.refilledAt = b.now
	w.maxWeight = 1.5 + budget/4
	w.sendProbability = rate * window / 4
	w.tokens -= math.Ceil(max(0, w.tokens-1-w.sendProbability))
	return w.tokens
}

// sendProbability is the fraction of the time in which this balancer's budget allows a request to a server, 1 for a
// warm one.
func (b *Balancer) sendProbability(s *server) float64 {
	if b.warmUpCapacity(s) >= 1 {
		return 1
	}
	return min(1, max(s.warmUp.sendProbability, minSendProbability))
}
