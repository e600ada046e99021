package stagger

import (
	"cmp"
	"math"
	"slices"
	"time"

	"oatloft/internal/subset"
)

// Told is a member's reading of a region.
type Told struct {
	By    string
	X     float64
	Age   time.Duration
	Fails int // probes without an answer, in a row
}

// Own is this balancer's own last reading of it; a zero At means none.
type Own struct {
	X  float64
	At time.Duration
}

// Verdict is what the others' readings of a region are worth.
type Verdict struct {
	X    float64
	Age  time.Duration
	OK   bool // X may be taken as a reading of that age
	Dead bool // more than half of those who read it get no answer: it should be asked
}

// Readers is how many members read each region for all: the middle one of three stands, whatever one of them says.
const Readers = 3

// Bounds of what members' words can do.
const (
	goodFor  = 2 * time.Second // an older reading says less than asking costs
	checkIn  = time.Second     // two readings of one region this close in time should agree ...
	farApart = 0.4             // ... within this: twice the noise of reports and what a second brings
	strikes  = 3               // disagreements in a row, after which a member's word ...
	outFor   = 30 * time.Second
	ownFor   = 10 * time.Second // an own reading can hold a single member's word against it so long
)

// Duty names those of the members who read a region for all: those who rank it first, so a member more or less moves few
// of these tasks. Members that look at the region anyway should be the ones given.
func Duty(region string, members []string) []string {
	type ranked struct {
		rank uint64
		name string
	}
	first := make([]ranked, 0, Readers+1)
	for _, m := range members {
		r := ranked{subset.Rank(m, "d"+region), m}
		if len(first) == Readers && r.rank >= first[Readers-1].rank {
			continue
		}
		i, _ := slices.BinarySearchFunc(first, r, func(a, b ranked) int {
			return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.name, b.name))
		})
		if first = slices.Insert(first, i, r); len(first) > Readers {
			first = first[:Readers]
		}
	}
	list := make([]string, len(first))
	for i, r := range first {
		list[i] = r.name
	}
	return list
}

// Trust keeps who has told what did not hold.
type Trust struct {
	of map[string]*record
}

type record struct {
	strikes int
	out     time.Duration // nothing it says counts before this
}

// Check holds what members told against an own reading of about the same time.
func (t *Trust) Check(now time.Duration, own Own, told []Told) {
	if own.At == 0 || now-own.At > checkIn {
		return
	}
	for _, r := range told {
		if r.Age > checkIn || r.Fails > 0 {
			continue
		}
		if t.of == nil {
			t.of = map[string]*record{}
		}
		c := t.of[r.By]
		if c == nil {
			c = &record{}
			t.of[r.By] = c
		}
		if math.Abs(r.X-own.X) <= farApart {
			c.strikes = 0
		} else if c.strikes++; c.strikes >= strikes {
			c.strikes, c.out = 0, now+outFor
		}
	}
}

// Trusted tells whether what a member says counts.
func (t *Trust) Trusted(now time.Duration, name string) bool {
	c := t.of[name]
	return c == nil || now >= c.out
}

// Forget lets go of members that are no more.
func (t *Trust) Forget(there func(name string) bool) {
	for name := range t.of {
		if !there(name) {
			delete(t.of, name)
		}
	}
}

// Judge takes what members told of one region. Of three or more the middle one stands; two have to agree, and the higher
// one stands; one alone has to agree with an own reading, and the higher of both stands. What doesn't is no reading: the
// balancer asks for itself.
func (t *Trust) Judge(now time.Duration, own Own, told []Told) (v Verdict) {
	good, dead, all := []Told{}, 0, 0
	for _, r := range told {
		if !t.Trusted(now, r.By) {
			continue
		}
		if all++; r.Fails > 1 {
			dead++
			continue
		}
		if r.Age <= goodFor && r.X >= 0 && !math.IsNaN(r.X) {
			good = append(good, r)
		}
	}
	v.Dead = 2*dead > all && dead > 1
	slices.SortFunc(good, func(a, b Told) int { return cmp.Or(cmp.Compare(a.X, b.X), cmp.Compare(a.By, b.By)) })
	switch n := len(good); {
	case n >= 3:
		v.X, v.OK = good[n/2].X, true
	case n == 2:
		v.X, v.OK = good[1].X, good[1].X-good[0].X <= farApart
	case n == 1 && own.At > 0 && now-own.At <= ownFor:
		v.X, v.OK = max(good[0].X, own.X), math.Abs(good[0].X-own.X) <= farApart
	}
	for _, r := range good {
		v.Age = max(v.Age, r.Age) // it is as old as the oldest that it rests on
	}
	return v
}
