package stagger

import "time"

// FleetSize is the member list of one moment, in numbers.
type FleetSize struct {
	Present  int  // this balancer and all members that are alive or leaving, not suspected
	Known    int  // this balancer and all members not forgotten yet, including those held gone
	Reported int  // the largest reference size that a present member has reported
	Stale    bool // the view is old, or this member is not listed: nothing in it counts
}

// BudgetShare says by how many a budget is divided that is bounded in sum, such as a server's warm-up budget. While
// views differ the sum of all shares cannot be kept at one; it stays below 1.5 (docs/design/together.md).
type BudgetShare struct {
	Configured  int           // balancers by the settings
	ShrinkDelay time.Duration // a smaller fleet counts once it has been smaller for so long
	StartDelay  time.Duration // a new balancer takes nothing for so long: the others have to learn of it first

	started      time.Duration
	hasStarted   bool
	reference    int
	referenceAt  time.Duration
	divisor      int
	smallerSince time.Duration // 0 if the fleet is not smaller than the divisor
	largestSince int           // the largest size since smallerSince
}

// referenceDelays is how long a reference size is remembered that nobody reports any more, in ShrinkDelays: members
// that are gone have been forgotten by then.
const referenceDelays = 100

// ReferenceSize returns the fleet's size against which a majority counts, to be reported to the others.
func (s *BudgetShare) ReferenceSize() int { return s.reference }

// Update takes the fleet's size and returns the divisor; 0 while this balancer is to take nothing. The divisor
// grows at once and shrinks late. A balancer that does not see more than half of the reference size takes the share
// that it would have with all of them present. So of all groups that do not see each other, at most one takes a
// full share in sum, and the others together take less than half.
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

// targetDivisor returns the divisor by the sizes of this moment, and keeps the reference size.
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

// setDivisor lets the divisor grow at once and shrink late.
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
