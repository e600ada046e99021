// Package stagger keeps balancers from doing at the same moment what must not happen in all of them at once, and
// lets one probe serve many: shares of a budget that is bounded in sum, exploration slots one after the other, the
// fleet's count of slots for a balancer that starts anew, and who reads which server for the others.
//
// The package is pure: what members reported goes in, values for the decision module come out. It has no clock,
// socket or member list. What one member reports never moves a value beyond its bounds, and a balancer never takes
// a larger share of a budget because it sees fewer others than there are.
package stagger

import (
	"cmp"
	"slices"
	"time"
)

// SlotShift returns how much later (earlier if negative) this balancer's next exploration slot should begin, for
// the slots to spread evenly over the period: half of the way to the middle between the slot before and the one
// after. sinceOwn is how long ago its own slot began, and sinceOthers how long ago those of the others did.
func SlotShift(sinceOwn time.Duration, sinceOthers []time.Duration, period time.Duration) time.Duration {
	if period <= 0 || len(sinceOthers) == 0 {
		return 0
	}
	before, after := period, period
	for _, since := range sinceOthers {
		distance := (since - sinceOwn) % period
		if distance < 0 {
			distance += period
		}
		if distance == 0 { // at the same moment: as a neighbour on both sides it would hold both where they are
			continue
		}
		before, after = min(before, distance), min(after, period-distance)
	}
	return (after - before) / 4
}

// ResumedSlots returns the count of exploration slots that a balancer should go on with: its own, unless that is
// less than half of what is usual among the others, as after a start. The middle one counts, so that no single
// member moves it.
func ResumedSlots(own int, others []int) int {
	if len(others) == 0 {
		return own
	}
	sorted := slices.Sorted(slices.Values(others))
	usual := sorted[(len(sorted)-1)/2]
	if own < usual/2 {
		return usual
	}
	return own
}

// maxDemandFactor bounds what one member's demand counts for, over the middle one.
const maxDemandFactor = 10

// TotalDemand adds what members report of their demand, per second. None counts for more than maxDemandFactor times
// the middle one, or for less than nothing. Members that have reported none (missing) count as the middle one.
func TotalDemand(own float64, others []float64, missing int) float64 {
	sorted := slices.Sorted(slices.Values(append(slices.Clone(others), own)))
	middle := max(0, sorted[len(sorted)/2])
	total := max(0, own) + float64(max(0, missing))*middle
	for _, demand := range others {
		total += min(max(0, demand), maxDemandFactor*max(middle, own))
	}
	return total
}

// Offset returns this balancer's place among the others present, in (0, 1). What all do once in a while, such as
// calls to discovery after an outage, each does at its place in the time that all have.
func Offset(name string, present []string) float64 {
	before := 0
	for _, other := range present {
		if cmp.Less(other, name) {
			before++
		}
	}
	return (float64(before) + 0.5) / float64(len(present)+1)
}
