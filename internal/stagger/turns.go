// Package stagger keeps what must not happen at once in all balancers from happening at once, and makes one probe serve
// many: shares of what is bounded in sum, explore slots one after the other, the fleet's clock for who starts anew, and
// who reads which region for the others (readings.go).
//
// It is pure: what members said goes in, figures for the decision module come out. It owns no clock, socket or member
// list. It must never let what one member says move a figure further than its bounds, and never let a balancer take a
// larger part of a bounded sum because it sees fewer others than there are.
package stagger

import (
	"cmp"
	"slices"
	"time"
)

// Seen is the member list of one moment, in numbers.
type Seen struct {
	Present int  // this balancer and all members that are alive or leaving, not suspected
	Known   int  // this balancer and all members not forgotten yet, those held gone among them
	Told    int  // the largest reference that a present member told
	Old     bool // the view is old, or this member is nobody: nothing in it counts
}

// Share says by how many a bounded sum is divided, as the cold budget of a region. A sum of the parts that all take can't
// be kept at one while views differ; it is kept under 1.5: see the design note.
type Share struct {
	Settings int           // balancers by the settings
	Hold     time.Duration // a smaller number counts once it has held for so long
	Begin    time.Duration // a newcomer takes nothing for so long: the others have to know of it

	started  time.Duration
	begun    bool
	ref      int
	refAt    time.Duration
	divisor  int
	smaller  time.Duration // the number has been smaller since then; 0 if it isn't
	smallest int           // ... and was at most this meanwhile
}

// refFor is how long a reference is remembered that nobody tells any more, in Holds: members held gone are forgotten then.
const refFor = 100

// Reference is the fleet's size against which a majority counts, to be told to the others.
func (s *Share) Reference() int { return s.ref }

// Look takes what is seen and returns the divisor, 0 while this balancer is to take nothing. It grows at once and shrinks
// late. Who doesn't see more than half of the reference takes the part that it would have with all of them there, so of all
// groups that don't see each other one at most takes a full part in sum, and the others together less than half of one.
func (s *Share) Look(now time.Duration, seen Seen) int {
	if !s.begun {
		s.begun, s.started = true, now
	}
	present, known := seen.Present, max(seen.Known, seen.Told, seen.Present)
	if seen.Old {
		present, known = 0, max(s.ref, known)
	}
	if known >= s.ref || now-s.refAt > refFor*s.Hold {
		s.ref, s.refAt = known, now
	}
	ref := max(s.ref, s.Settings)
	want := ref
	if 2*present > ref {
		want = present
	}
	switch {
	case want >= s.divisor:
		s.divisor, s.smaller = want, 0
	case s.smaller == 0:
		s.smaller, s.smallest = now, want
	case now-s.smaller >= s.Hold:
		s.divisor, s.smaller = max(want, s.smallest), 0
	default:
		s.smallest = max(s.smallest, want)
	}
	if now-s.started < s.Begin {
		return 0
	}
	return s.divisor
}

// Nudge is how much later, or earlier if negative, this balancer's next explore slot should begin, for slots to spread evenly
// over the period: half of the way to the middle between the one before and the one after it. since is how long ago its own
// slot began, and others how long ago those of the others did.
func Nudge(since time.Duration, others []time.Duration, period time.Duration) time.Duration {
	if period <= 0 || len(others) == 0 {
		return 0
	}
	before, after := period, period
	for _, o := range others {
		d := (o - since) % period
		if d < 0 {
			d += period
		}
		if d == 0 { // at the same moment: as a neighbour on both sides it would hold both where they are
			continue
		}
		before, after = min(before, d), min(after, period-d)
	}
	return (after - before) / 4
}

// Clock is the explore clock that a balancer should go on with: its own, unless that is less than half of what is usual
// among the others, as after a start. The middle one counts, so no single member moves it.
func Clock(own int, others []int) int {
	if len(others) == 0 {
		return own
	}
	list := slices.Sorted(slices.Values(others))
	if usual := list[(len(list)-1)/2]; own < usual/2 {
		return usual
	}
	return own
}

// Sum adds what members say of themselves, as their demand a second. None counts for more than ten times the middle one,
// nor for less than nothing. missing members count as the middle one.
func Sum(own float64, others []float64, missing int) float64 {
	list := slices.Sorted(slices.Values(append(slices.Clone(others), own)))
	middle := max(0, list[len(list)/2])
	total := max(0, own) + float64(max(0, missing))*middle
	for _, v := range others {
		total += min(max(0, v), 10*max(middle, own))
	}
	return total
}

// Turn is this balancer's place among the others present, within 0 and 1: what all do once in a while, as calls to
// discovery after an outage, each does at its place in the time that all have.
func Turn(name string, present []string) float64 {
	n := 0
	for _, p := range present {
		if cmp.Less(p, name) {
			n++
		}
	}
	return (float64(n) + 0.5) / float64(len(present)+1)
}
