package stagger

import "time"

// FleetSize contains the sizes of the member list at one moment.
type FleetSize struct {
	Present  int  // this balancer and all members that are alive or leaving, not suspected
	Known    int  // this balancer and all members not forgotten yet, including those considered gone
	Reported int  // the largest reference size that a present member has reported
	Stale    bool // the view is old, or doesn't list this member: it counts as one with no member present
}

// BudgetShare computes the divisor of a budget that is bounded in sum over all balancers, such as a server's warm-up
// budget. While views differ, the sum of all shares can exceed 1; it stays below 1.5 (docs/design/together.md).
type BudgetShare struct {
	Configured  int           // number of balancers in the settings
	ShrinkDelay time.Duration // the divisor shrinks once the fleet has been smaller for this long
	StartDelay  time.Duration // a new balancer takes no share for this long, until the others have learned of it

	started      time.Duration
	hasStarted   bool
	reference    int
	referenceAt  time.Duration
	divisor      int
	smallerSince time.Duration // 0 if the fleet is not smaller than the divisor
	largestSince int           // the largest size since smallerSince
}

// referenceDelays is the number of ShrinkDelays for which a reference size is kept after it was last reported. Members
// that are gone have been forgotten by then.
const referenceDelays = 100

// ReferenceSize returns the size of the fleet from which a majority is computed. It is reported to the other members.
func (s *BudgetShare) ReferenceSize() int { return s.reference }

// Update takes the fleet's size and returns the divisor, or 0 while this balancer may not take a share. The divisor
// grows at once and shrinks after ShrinkDelay. A balancer that sees at most half of the reference size takes the share
// that it would have if all of the reference size were present. So of all partitions of the fleet, at most one takes
// the whole budget, and the others together take less than half of it.
func (s *BudgetShare) Update(now time.Duration, size FleetSize) int {
	if !s.hasStarted {
		s.hasStarted, s.started = true, now
	}
	s.setDivisor(now, s.targetDivisor(now, size))
	if now-s.started < s.StartDelay {
		return 0
	}
	return s.divisor
}

// targetDivisor returns the divisor for the current sizes, and updates the reference size.
func (s *BudgetShare) targetDivisor(now time.Duration, size FleetSize) int {
	present, known := size.Present, max(size.Known, size.Reported, size.Present)
	if size.Stale {
		present, known = 0, max(s.reference, known)
	}
	if known >= s.reference || now-s.referenceAt > referenceDelays*s.ShrinkDelay {
		s.reference, s.referenceAt = known, now
	}
	reference := max(s.reference, s.Configured)
	if 2*present > reference {
		return present
	}
	return reference
}

// setDivisor raises the divisor at once, and lowers it after ShrinkDelay.
func (s *BudgetShare) setDivisor(now time.Duration, target int) {
	switch {
	case target >= s.divisor:
		s.divisor, s.smallerSince = target, 0
	case s.smallerSince == 0:
		s.smallerSince, s.largestSince = now, target
	case now-s.smallerSince >= s.ShrinkDelay:
		s.divisor, s.smallerSince = max(target, s.largestSince), 0
	default:
		s.largestSince = max(s.largestSince, target)
	}
}
