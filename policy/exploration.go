package policy

import (
	"math"
	"slices"
	"time"
)

// minSlotLength bounds how often connections are migrated: a migration breaks a connection for about a second.
const minSlotLength = 8 * time.Second

// exploration is the schedule by which established connections explore: they explore in one slot, and return or
// stay in the next.
type exploration struct {
	slots      int  // begun so far
	active     bool // connections explore in the slot under way
	startedAt  time.Duration
	nextSlotAt time.Duration
}

func (b *Balancer) slotLength() time.Duration { return max(minSlotLength, b.settleTime()) }

// explorationProbability is the chance that a connection explores in this slot: t^-beta with a limit, t being the
// slot's number (the paper's gamma).
func (b *Balancer) explorationProbability() float64 {
	return min(b.config.MaxExploration, math.Pow(float64(max(b.exploration.slots, 1)), -b.config.ExplorationDecay))
}

// runSlot begins the next slot.
func (b *Balancer) runSlot() {
	e := &b.exploration
	e.nextSlotAt = b.now + b.slotLength()
	e.active = !e.active
	if e.active {
		e.slots++
		e.startedAt = b.now
	}
	for _, r := range slices.Clone(b.requests.established) {
		if r.migrating {
			continue
		}
		if e.active && b.mayExplore(r) && b.rng.Float64() < b.explorationProbability() {
			r.explorationTarget = b.randomOtherServer(r)
		}
		decides := r.explorationTarget != nil || !e.active && r.origin != nil
		if decides && b.ensureReading(r.server, r) {
			b.resumeAfterProbe(r, r.server, true)
		}
	}
	b.dropExpiredMigrations()
}

// mayExplore keeps connections where they are while set-ups are scarce, since each migration takes another one.
func (b *Balancer) mayExplore(r *request) bool {
	return !b.setupsScarce(r.class) && b.lease == LeaseActive && r.origin == nil && r.Key != ""
}

// randomOtherServer picks the server to explore, each with the same probability; nil if there is none.
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

// returnOrStay sends a connection that has explored back, or lets it stay. A server that does not answer counts as
// more loaded than the old one.
func (b *Balancer) returnOrStay(r *request, answered bool) {
	origin := r.origin
	r.origin = nil
	p := returnProbability(r.originLoad, b.estimatedLoad(r.server), b.explorationProbability(), b.subsetSize())
	if origin.State == Live && (!answered || b.rng.Float64() < p) {
		b.migrate(r, migration{target: origin})
	}
}

// returnProbability is the chance that a connection which explored a server of load xj returns to where it had load
// xi, for exploration probability gamma and n servers: Proposition 1 of the paper.
func returnProbability(xi, xj, gamma float64, n int) float64 {
	if xj >= xi || n < 2 || gamma <= 0 {
		return 1
	}
	return max(0, 1-float64(n-1)/(float64(n)*gamma)*(1-xj/xi))
}

// Activity is what a balancer tells the others of its own pace.
type Activity struct {
	ExplorationSlots int           // begun so far
	SlotAge          time.Duration // since the last slot of exploring began
	SlotPeriod       time.Duration // from one such slot to the next
	Demand           float64       // placements per second
}

// Activity returns this balancer's own pace, as of the latest event.
func (b *Balancer) Activity() Activity {
	return Activity{
		ExplorationSlots: b.exploration.slots,
		SlotAge:          b.now - b.exploration.startedAt,
		SlotPeriod:       2 * b.slotLength(),
		Demand:           b.demand.at(b.now),
	}
}
