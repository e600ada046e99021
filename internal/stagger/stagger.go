// Package stagger coordinates the balancers of a fleet, so that they don't act at the same moment, and so that the
// probe of one serves many. It computes a balancer's share of a budget that is bounded in sum, the times of its
// exploration slots, the count of slots that a restarted balancer resumes with, and which members read which server
// for all.
//
// All functions are deterministic: they turn reports of members into values for the decision module, and use no clock,
// socket or member list. A report of a single member moves a value only within bounds, and a balancer never takes a
// larger share of a budget because it sees only a part of the fleet.
package stagger

import (
	"cmp"
	"slices"
	"time"
)

// SlotShift returns how much later (earlier if negative) this balancer's next exploration slot should begin, so that
// the slots become evenly spaced over the period. The shift is half of the distance to the midpoint between the
// previous slot and the next one. sinceOwn is the time since its own slot began, and sinceOthers the times since those
// of the other balancers began.
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
		if distance == 0 { // simultaneous slots would be each other's neighbors on both sides, and neither would move
			continue
		}
		before, after = min(before, distance), min(after, period-distance)
	}
	return (after - before) / 4
}

// ResumedSlots returns the count of exploration slots that a balancer should continue with: its own, or the median of
// the others if its own is less than half of that, as after a restart. The median is used so that no single member
// determines it.
func ResumedSlots(own int, others []int) int {
	if len(others) == 0 {
		return own
	}
	sorted := slices.Sorted(slices.Values(others))
	median := sorted[(len(sorted)-1)/2]
	if own < median/2 {
		return median
	}
	return own
}

// maxDemandFactor limits the demand counted for one member, as a multiple of the median (or of the own demand, if that
// is higher).
const maxDemandFactor = 10

// TotalDemand returns the sum of the demands reported by members, per second. Each counts for at least 0 and at most
// maxDemandFactor times the median. Members that have reported none (missing) count as the median.
func TotalDemand(own float64, others []float64, missing int) float64 {
	sorted := slices.Sorted(slices.Values(append(slices.Clone(others), own)))
	median := max(0, sorted[len(sorted)/2])
	total := max(0, own) + float64(max(0, missing))*median
	for _, demand := range others {
		total += min(max(0, demand), maxDemandFactor*max(median, own))
	}
	return total
}

// Offset returns this balancer's position among the members present, in (0, 1). Operations that all members do in the
// same interval, such as calls to discovery after an outage, are spread over the interval by these offsets.
func Offset(name string, present []string) float64 {
	before := 0
	for _, other := range present {
		if cmp.Less(other, name) {
			before++
		}
	}
	return (float64(before) + 0.5) / float64(len(present)+1)
}
