package policy

import (
	"cmp"
	"math"
	"time"
)

// updateFleet takes what is known of the other balancers. The next exploration slot is never moved into the past,
// nor further off than a slot is long.
func (b *Balancer) updateFleet(state FleetState) {
	b.fleet = state
	e := &b.exploration
	e.slots = max(e.slots, state.ExplorationSlots)
	if left := e.nextSlotAt - b.now; left > 0 {
		e.nextSlotAt = b.now + min(max(left+state.SlotShift, b.tickInterval), max(left, b.slotLength()))
	}
	b.markSubset()
}

// budgetDivisor is the number of balancers that divide a common limit; infinite if this one gets nothing of it.
func (b *Balancer) budgetDivisor() float64 {
	if b.fleet.BudgetDivisor < 0 {
		return math.Inf(1)
	}
	return float64(cmp.Or(b.fleet.BudgetDivisor, b.config.Balancers) * (1 + b.config.OverlappingProcesses))
}

// fleetDemand is how many placements per second all balancers make: as they report, or as if all were like this one.
func (b *Balancer) fleetDemand() float64 {
	if b.fleet.Demand > 0 {
		return max(b.demand.perSecond, b.fleet.Demand)
	}
	return b.demand.perSecond * float64(b.config.Balancers*(1+b.config.OverlappingProcesses))
}

// staggered is this balancer's place in a time in which all balancers do something once: its own offset, or a
// random one.
func (b *Balancer) staggered(d time.Duration) time.Duration {
	if b.fleet.StaggerOffset > 0 {
		return time.Duration(b.fleet.StaggerOffset * float64(d))
	}
	return b.jitter(d)
}
