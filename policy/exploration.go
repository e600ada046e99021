package policy

import (
	"math"
	"slices"
	"time"
)

// minSlotLength limits how often connections are migrated. A migration interrupts a connection for about 1 s.
const minSlotLength = 8 * time.Second

// exploration is the schedule by which established connections explore other servers: they explore in one slot, and
// return or stay in the next.
type exploration struct {
	startedSlots int  // exploring slots started so far
	active       bool // connections explore in the current slot
	startedAt    time.Duration
	nextSlotAt   time.Duration
}

func (b *Balancer) slotLength() time.Duration { return max(minSlotLength, b.settleTime()) }

// explorationProbability returns the probability that a connection explores in this slot: t^-beta, where t is the
// number of the slot, limited to Config.MaxExploration. The paper calls it gamma.
func (b *Balancer) explorationProbability() float64 {
	return min(b.config.MaxExploration, math.Pow(float64(max(b.exploration.startedSlots, 1)), -b.config.ExplorationDecay))
}

// startSlot starts the next slot.
func (b *Balancer) startSlot() {
	e := &b.exploration
	e.nextSlotAt = b.now + b.slotLength()
	e.active = !e.active
	if e.active {
		e.startedSlots++
		e.startedAt = b.now
	}
	for _, r := range slices.Clone(b.requests.established) {
		if r.migrating {
			continue
		}
		if e.active && b.mayExplore(r) && b.rng.Float64() < b.explorationProbability() {
			r.explorationTarget = b.randomOtherServer(r)
		}
		needsDecision := r.explorationTarget != nil || !e.active && r.origin != nil
		if needsDecision && b.ensureReading(r.server, r) {
			b.resumeAfterProbe(r, r.server, true)
		}
	}
	b.dropExpiredMigrations()
}

// mayExplore reports whether a connection may explore. It may not while set-ups are scarce, because each migration
// needs another set-up.
func (b *Balancer) mayExplore(r *request) bool {
	return !b.setupsScarce(r.class) && b.lease == LeaseActive && r.origin == nil && r.Key != ""
}

// randomOtherServer picks the server to explore with equal probabilities, or returns nil if there is none.
func (b *Balancer) randomOtherServer(r *request) *server {
	others := slices.DeleteFunc(slices.Clone(b.servers.sorted), func(s *server) bool {
		return s == r.server || b.beyondSubset(s) || b.now < s.probe.ejectedUntil || !b.usable(s, r)
	})
	i := b.rng.IntN(max(1, len(others)))
	if len(others) == 0 {
		return nil
	}
	return others[i]
}

// returnOrStay migrates a connection that has explored back to its earlier server, or lets it stay. A new server that
// does not answer probes counts as more loaded than the earlier one.
func (b *Balancer) returnOrStay(r *request, answered bool) {
	origin := r.origin
	r.origin = nil
	p := returnProbability(r.originLoad, b.estimatedLoad(r.server), b.explorationProbability(), b.subsetSize())
	if origin.State == Live && (!answered || b.rng.Float64() < p) {
		b.migrate(r, migration{target: origin})
	}
}

// returnProbability returns the probability that a connection that explored a server of load xj returns to its
// earlier server of load xi, for exploration probability gamma and n servers. It is Proposition 1 of the paper.
func returnProbability(xi, xj, gamma float64, n int) float64 {
	if xj >= xi || n < 2 || gamma <= 0 {
		return 1
	}
	return max(0, 1-float64(n-1)/(float64(n)*gamma)*(1-xj/xi))
}

// Activity is the exploration schedule and the demand that a balancer reports to the others.
type Activity struct {
	ExplorationSlots int           // exploring slots started so far
	SlotAge          time.Duration // since the last exploring slot started
	SlotPeriod       time.Duration // from one exploring slot to the next
	Demand           float64       // placements per second
}

// Activity returns this balancer's exploration schedule and demand, as of the latest event.
func (b *Balancer) Activity() Activity {
	return Activity{
		ExplorationSlots: b.exploration.startedSlots,
		SlotAge:          b.now - b.exploration.startedAt,
		SlotPeriod:       2 * b.slotLength(),
		Demand:           b.demand.at(b.now),
	}
}
