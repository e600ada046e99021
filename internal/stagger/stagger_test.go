package stagger

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// shareFleet is a fleet whose members divide a budget. Each member sees the fleet's size with a lag.
type shareFleet struct {
	members []*shareMember
	now     time.Duration
}

type shareMember struct {
	share *BudgetShare
	group int // members see only members of their group
	alive bool
	sizes []FleetSize // sizes it has seen, oldest first
}

const maxLag = 8 // steps

func (f *shareFleet) start(i, group int) {
	share := &BudgetShare{Configured: len(f.members), ShrinkDelay: 3 * time.Second, StartDelay: time.Second}
	f.members[i] = &shareMember{share: share, group: group, alive: true}
}

// change partitions the fleet into groups, rejoins them, or stops or starts a member.
func (f *shareFleet) change(t *rapid.T) {
	last := len(f.members) - 1
	switch rapid.IntRange(0, 4).Draw(t, "what") {
	case 0:
		groups := rapid.IntRange(1, 4).Draw(t, "groups")
		for _, m := range f.members {
			m.group = rapid.IntRange(0, groups-1).Draw(t, "group")
		}
	case 1:
		for _, m := range f.members {
			m.group = 0
		}
	case 2:
		f.members[rapid.IntRange(0, last).Draw(t, "dies")].alive = false
	case 3:
		f.start(rapid.IntRange(0, last).Draw(t, "starts"), rapid.IntRange(0, 1).Draw(t, "at"))
	}
}

// size returns the fleet's size as member m sees it now.
func (f *shareFleet) size(m *shareMember) (size FleetSize) {
	for _, other := range f.members {
		if other.group == m.group && other.alive {
			size.Present++
			size.Reported = max(size.Reported, other.share.ReferenceSize())
		}
	}
	size.Known = size.Present
	return size
}

// step updates every member and returns the sum of the shares.
func (f *shareFleet) step(t *rapid.T) (total float64) {
	f.now += 100 * time.Millisecond
	for _, m := range f.members {
		if !m.alive {
			continue
		}
		m.sizes = append(m.sizes, f.size(m))
		m.sizes = m.sizes[max(0, len(m.sizes)-maxLag-1):]
		lag := rapid.IntRange(0, maxLag).Draw(t, "late")
		if divisor := m.share.Update(f.now, m.sizes[max(0, len(m.sizes)-1-lag)]); divisor > 0 {
			total += 1 / float64(divisor)
		}
	}
	return total
}

// While the fleet is partitioned and rejoined and members stop and start at random, the sum of all shares stays at most
// 1.5.
func TestSumOfSharesIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(3, 24).Draw(t, "balancers")
		f := &shareFleet{members: make([]*shareMember, n), now: time.Second}
		for i := range f.members {
			f.start(i, 0)
		}
		for range 40 {
			f.change(t)
			for range rapid.IntRange(1, 60).Draw(t, "for") {
				if total := f.step(t); total > 1.5 {
					t.Fatalf("at %v the sum of the shares is %.2f", f.now, total)
				}
			}
		}
	})
}

// When the fleet shrinks, the remaining members take the freed shares after ShrinkDelay and not sooner. When it grows,
// the shares shrink at once.
func TestShareFollowsFleetSize(t *testing.T) {
	s := &BudgetShare{Configured: 4, ShrinkDelay: 3 * time.Second, StartDelay: time.Second}
	update := func(at time.Duration, present, known int) int {
		return s.Update(at, FleetSize{Present: present, Known: known})
	}
	for _, step := range []struct {
		at             time.Duration
		present, known int
		want           int
	}{
		{0, 1, 1, 0}, {500 * time.Millisecond, 10, 10, 0}, {time.Second, 10, 10, 10}, {2 * time.Second, 7, 10, 10},
		{4 * time.Second, 7, 10, 10}, {5100 * time.Millisecond, 7, 10, 7}, {6 * time.Second, 20, 23, 20},
		{7 * time.Second, 3, 23, 23}, {12 * time.Second, 3, 23, 23}, {13 * time.Second, 12, 23, 23},
		{17 * time.Second, 12, 23, 12},
	} {
		if got := update(step.at, step.present, step.known); got != step.want {
			t.Errorf("at %v with %d of %d present: divisor %d, want %d", step.at, step.present, step.known, got, step.want)
		}
	}
	if got := s.Update(18*time.Second, FleetSize{Present: 12, Known: 23, Stale: true}); got != 23 {
		t.Errorf("a stale view gives divisor %d", got)
	}
}

// Slots that begin almost together are shifted until all gaps are about the same.
func TestSlotsAreSpread(t *testing.T) {
	const n, period = 12, 8 * time.Second
	began := make([]time.Duration, n) // offset within the period
	for i := range began {
		began[i] = time.Duration(i*i) * time.Millisecond
	}
	gaps := func() (least, most time.Duration) {
		list := slices.Sorted(slices.Values(began))
		least, most = period, 0
		for i := range list {
			g := list[(i+1)%n] - list[i]
			if g <= 0 {
				g += period
			}
			least, most = min(least, g), max(most, g)
		}
		return least, most
	}
	for range 120 {
		for i := range began {
			var others []time.Duration
			for j := range began {
				if j != i {
					others = append(others, ((20*period-began[j])%period+period)%period)
				}
			}
			since := ((20*period-began[i])%period + period) % period
			began[i] = (began[i] + SlotShift(since, others, period) + period) % period
		}
	}
	if least, most := gaps(); most > 2*least {
		t.Errorf("gaps from %v to %v", least, most)
	}
}

func TestSingleMemberHasLimitedInfluence(t *testing.T) {
	if c := ResumedSlots(1, []int{100, 90, 1 << 40}); c != 100 {
		t.Errorf("a restarted balancer resumes with %d slots", c)
	}
	if c := ResumedSlots(60, []int{100, 90, 110}); c != 60 {
		t.Errorf("a balancer that was not restarted resumes with %d slots", c)
	}
	if s := TotalDemand(10, []float64{10, 12, math.MaxFloat64}, 0); s > 160 {
		t.Errorf("demand %v", s)
	}
	if s := TotalDemand(1, []float64{100, 1, 1}, 0); s > 14 { // one member counts for at most ten times the median
		t.Errorf("demand %v", s)
	}
}

// False loads of one member don't change the result of three reports, and are not usable without an agreeing report or
// reading. After repeated disagreements the member's reports are ignored.
func TestFalseReports(t *testing.T) {
	var trust Trust
	now := 100 * time.Second
	honest := []Report{
		{Reporter: "a", Load: 0.7, Age: time.Second},
		{Reporter: "b", Load: 0.75, Age: 500 * time.Millisecond},
	}
	for _, falseLoad := range []float64{0, 5} {
		v := trust.Combine(now, OwnReading{}, append(slices.Clone(honest), Report{Reporter: "liar", Load: falseLoad}))
		if !v.Usable || v.Load < 0.7 || v.Load > 0.75 || v.Age != time.Second {
			t.Errorf("with false load %v: %+v", falseLoad, v)
		}
	}
	falseLoad := Report{Reporter: "liar", Load: 0}
	if v := trust.Combine(now, OwnReading{}, []Report{honest[0], falseLoad}); v.Usable {
		t.Errorf("two contradicting reports are usable: %+v", v)
	}
	if v := trust.Combine(now, OwnReading{}, []Report{falseLoad}); v.Usable {
		t.Errorf("a single report is usable: %+v", v)
	}
	if v := trust.Combine(now, OwnReading{Load: 0.8, At: now - 5*time.Second}, []Report{falseLoad}); v.Usable {
		t.Errorf("a single report that contradicts the own reading is usable: %+v", v)
	}
	if v := trust.Combine(now, OwnReading{Load: 0.6, At: now - 5*time.Second}, honest[:1]); !v.Usable || v.Load != 0.7 {
		t.Errorf("a single report that agrees with the own reading: %+v", v)
	}
	for range 3 {
		trust.Check(now, OwnReading{Load: 0.7, At: now}, []Report{falseLoad, honest[1]})
	}
	if trust.Trusted(now, "liar") || !trust.Trusted(now, "b") || !trust.Trusted(now+31*time.Second, "liar") {
		t.Error("wrong members are trusted, or the distrust does not end")
	}
	old := []Report{
		{Reporter: "a", Load: 0.1, Age: 5 * time.Second},
		{Reporter: "b", Load: 0.1, Age: 5 * time.Second},
		{Reporter: "c", Load: 0.1, Age: 5 * time.Second},
	}
	if v := trust.Combine(now, OwnReading{}, old); v.Usable {
		t.Error("reports with an age of five seconds are usable")
	}
	dead := []Report{{Reporter: "a", FailedProbes: 3}, {Reporter: "b", FailedProbes: 2}, {Reporter: "c", Load: 0.4}}
	if v := trust.Combine(now, OwnReading{}, dead); !v.Unreachable || v.Usable {
		t.Errorf("two of three reporters get no answer: %+v", v)
	}
	reports := []Report{{Reporter: "a", FailedProbes: 9}, honest[1], {Reporter: "c", Load: 0.7}}
	if v := trust.Combine(now, OwnReading{}, reports); v.Unreachable {
		t.Error("a single member makes a server unreachable")
	}
}

// Each server has three readers, and removing a member changes only its own assignments.
func TestReaderAssignmentsAreStable(t *testing.T) {
	var members []string
	for i := range 40 {
		members = append(members, fmt.Sprint("b", i))
	}
	assignments := map[string]int{}
	for r := range 90 {
		server := fmt.Sprint("r", r)
		before := AssignReaders(server, members)
		after := AssignReaders(server, members[1:])
		kept := 0
		for _, m := range before {
			if assignments[m]++; slices.Contains(after, m) {
				kept++
			}
		}
		if want := len(before) - map[bool]int{true: 1}[slices.Contains(before, members[0])]; kept != want ||
			len(after) != ReadersPerServer {
			t.Errorf("%s: %v, then %v", server, before, after)
		}
	}
	for m, n := range assignments {
		if n > 18 {
			t.Errorf("%s has %d of 270 assignments", m, n)
		}
	}
	if p := Offset("b", []string{"a", "c", "d"}); p != 0.375 {
		t.Errorf("offset %v", p)
	}
}
