package policy

import (
	"cmp"
	"math"
	"time"
)

// updateFleet applies the state of the fleet. The next exploration slot is never moved into the past, nor postponed
// to more than one slot length from now.
func (b *Balancer) updateFleet(state FleetState) {
	b.fleet = state
	e := &b.exploration
	e.startedSlots = max(e.startedSlots, state.ExplorationSlots)
	if remaining := e.nextSlotAt - b.now; remaining > 0 {
		e.nextSlotAt = b.now + min(max(remaining+state.SlotShift, b.tickInterval), max(remaining, b.slotLength()))
	}
	b.markSubset()
}

// budgetDivisor returns the number of balancers that divide a common limit, or infinity if this balancer gets no
// share.
func (b *Balancer) budgetDivisor() float64 {
	if b.fleet.BudgetDivisor < 0 {
		return math.Inf(1)
	}
	return float64(cmp.Or(b.fleet.BudgetDivisor, b.config.Balancers) * (1 + b.config.OverlappingProcesses))
}

// fleetDemand returns the placements per second of all balancers: as they report, or else this balancer's own rate
// times the number of balancers.
func (b *Balancer) fleetDemand() float64 {
	if b.fleet.Demand > 0 {
		return max(b.demand.perSecond, b.fleet.Demand)
	}
	return b.demand.perSecond * float64(b.config.Balancers*(1+b.config.OverlappingProcesses))
}

// staggered returns this balancer's point in a period d in which every balancer does something once: its assigned
// offset, or a random one.
func (b *Balancer) staggered(d time.Duration) time.Duration {
	if b.fleet.StaggerOffset > 0 {
		return time.Duration(b.fleet.StaggerOffset * float64(d))
	}
	return b.jitter(d)
}
