package stagger

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// shareFleet is a fleet whose members divide a budget; each looks at what it sees with a lag.
type shareFleet struct {
	members []*shareMember
	now     time.Duration
}

type shareMember struct {
	share *BudgetShare
	group int // members see those of their group
	alive bool
	sizes []FleetSize // that it has seen, latest last
}

const maxLag = 8 // of the sizes that a member has seen

func (f *shareFleet) start(i, group int) {
	share := &BudgetShare{Configured: len(f.members), ShrinkDelay: 3 * time.Second, StartDelay: time.Second}
	f.members[i] = &shareMember{share: share, group: group, alive: true}
}

// change cuts the fleet into groups, joins it, or ends or starts a member.
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

// size is the fleet as member m sees it now.
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

// step lets every member look, and returns the sum of the shares.
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

// Groups of a fleet lose and find each other, members die and start again. Whatever happens, the shares that all
// take together stay under 1.5.
func TestSharesStayWithinTheSum(t *testing.T) {
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
					t.Fatalf("at %v the shares add up to %.2f", f.now, total)
				}
			}
		}
	})
}

// Seven in ten die at once: the others take their parts after the hold, and not sooner. More come: at once.
func TestShareFollowsTheFleet(t *testing.T) {
	s := &BudgetShare{Configured: 4, ShrinkDelay: 3 * time.Second, StartDelay: time.Second}
	look := func(at time.Duration, present, known int) int {
		return s.Update(at, FleetSize{Present: present, Known: known})
	}
	for _, step := range []struct {
		at             time.Duration
		present, known int
		want           int
	}{
		{0, 1, 1, 0}, {500 * time.Millisecond, 10, 10, 0}, {time.Second, 10, 10, 10}, {2 * time.Second, 7, 10, 10},
		{4 * time.Second, 7, 10, 10}, {5100 * time.Millisecond, 7, 10, 7}, {6 * time.Second, 20, 23, 20},
		{7 * time.Second, 3, 23, 23}, {12 * time.Second, 3, 23, 23}, {13 * time.Second, 12, 23, 23}, {
			17 * time.Second,
			12,
			23,
			12,
		},
	} {
		if got := look(step.at, step.present, step.known); got != step.want {
			t.Errorf("at %v with %d of %d present: %d, not %d", step.at, step.present, step.known, got, step.want)
		}
	}
	if got := s.Update(18*time.Second, FleetSize{Present: 12, Known: 23, Stale: true}); got != 23 {
		t.Errorf("an old view divides by %d", got)
	}
}

// Slots that begin together spread until all gaps are about the same.
func TestSlotsSpread(t *testing.T) {
	const n, period = 12, 8 * time.Second
	began := make([]time.Duration, n) // within the period
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

func TestOneMemberMovesNoFigureFar(t *testing.T) {
	if c := ResumedSlots(1, []int{100, 90, 1 << 40}); c != 100 {
		t.Errorf("clock %d", c)
	}
	if c := ResumedSlots(60, []int{100, 90, 110}); c != 60 {
		t.Errorf("a clock that goes on was set to %d", c)
	}
	if s := TotalDemand(10, []float64{10, 12, math.MaxFloat64}, 0); s > 160 {
		t.Errorf("demand %v", s)
	}
	if s := TotalDemand(1, []float64{100, 1, 1}, 0); s > 14 { // ten times the mean is believed
		t.Errorf("demand %v", s)
	}
}

// A member that says all regions are empty, or full, changes no verdict of three, is no reading where it stands
// alone or against another, and is not heard once it was caught.
func TestFalseReports(t *testing.T) {
	var trust Trust
	now := 100 * time.Second
	honest := []Report{
		{Reporter: "a", Load: 0.7, Age: time.Second},
		{Reporter: "b", Load: 0.75, Age: 500 * time.Millisecond},
	}
	for _, lie := range []float64{0, 5} {
		v := trust.Combine(now, OwnReading{}, append(slices.Clone(honest), Report{Reporter: "liar", Load: lie}))
		if !v.Usable || v.Load < 0.7 || v.Load > 0.75 || v.Age != time.Second {
			t.Errorf("with %v told: %+v", lie, v)
		}
	}
	lie := Report{Reporter: "liar", Load: 0}
	if v := trust.Combine(now, OwnReading{}, []Report{honest[0], lie}); v.Usable {
		t.Errorf("one word against another counts: %+v", v)
	}
	if v := trust.Combine(now, OwnReading{}, []Report{lie}); v.Usable {
		t.Errorf("one word alone counts: %+v", v)
	}
	if v := trust.Combine(now, OwnReading{Load: 0.8, At: now - 5*time.Second}, []Report{lie}); v.Usable {
		t.Errorf("one word against an own reading counts: %+v", v)
	}
	if v := trust.Combine(now, OwnReading{Load: 0.6, At: now - 5*time.Second}, honest[:1]); !v.Usable || v.Load != 0.7 {
		t.Errorf("one word that an own reading bears out: %+v", v)
	}
	for range 3 {
		trust.Check(now, OwnReading{Load: 0.7, At: now}, []Report{lie, honest[1]})
	}
	if trust.Trusted(now, "liar") || !trust.Trusted(now, "b") || !trust.Trusted(now+31*time.Second, "liar") {
		t.Error("who was caught is heard, or who wasn't is not, or for ever")
	}
	old := []Report{
		{Reporter: "a", Load: 0.1, Age: 5 * time.Second},
		{Reporter: "b", Load: 0.1, Age: 5 * time.Second},
		{Reporter: "c", Load: 0.1, Age: 5 * time.Second},
	}
	if v := trust.Combine(now, OwnReading{}, old); v.Usable {
		t.Error("signals five seconds late count")
	}
	dead := []Report{{Reporter: "a", FailedProbes: 3}, {Reporter: "b", FailedProbes: 2}, {Reporter: "c", Load: 0.4}}
	if v := trust.Combine(now, OwnReading{}, dead); !v.Unreachable || v.Usable {
		t.Errorf("two of three get no answer: %+v", v)
	}
	reports := []Report{{Reporter: "a", FailedProbes: 9}, honest[1], {Reporter: "c", Load: 0.7}}
	if v := trust.Combine(now, OwnReading{}, reports); v.Unreachable {
		t.Error("one member alone declares a region dead")
	}
}

// Each region has three readers, and a member less moves only what that one had.
func TestReadersStay(t *testing.T) {
	var members []string
	for i := range 40 {
		members = append(members, fmt.Sprint("b", i))
	}
	tasks := map[string]int{}
	for r := range 90 {
		region := fmt.Sprint("r", r)
		before := AssignReaders(region, members)
		after := AssignReaders(region, members[1:])
		kept := 0
		for _, m := range before {
			if tasks[m]++; slices.Contains(after, m) {
				kept++
			}
		}
		if want := len(before) - map[bool]int{true: 1}[slices.Contains(before, members[0])]; kept != want ||
			len(after) != ReadersPerServer {
			t.Errorf("%s: %v, then %v", region, before, after)
		}
	}
	for m, n := range tasks {
		if n > 18 {
			t.Errorf("%s reads %d of 270", m, n)
		}
	}
	if p := Offset("b", []string{"a", "c", "d"}); p != 0.375 {
		t.Errorf("turn %v", p)
	}
}
