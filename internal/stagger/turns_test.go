package stagger

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Groups of a fleet lose and find each other, members die and come anew, and each looks at what it sees with a lag. Whatever
// happens, the parts that all take together stay under 1.5.
func TestPartsStayWithinTheSum(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(3, 24).Draw(t, "balancers")
		type member struct {
			s     *Share
			group int
			alive bool
			saw   []Seen // latest last
		}
		all := make([]*member, n)
		start := func(i, group int) {
			all[i] = &member{s: &Share{Settings: n, Hold: 3 * time.Second, Begin: time.Second}, group: group, alive: true}
		}
		for i := range all {
			start(i, 0)
		}
		now := time.Second
		for range 40 {
			switch rapid.IntRange(0, 4).Draw(t, "what") {
			case 0: // cut in up to four
				groups := rapid.IntRange(1, 4).Draw(t, "groups")
				for _, m := range all {
					m.group = rapid.IntRange(0, groups-1).Draw(t, "group")
				}
			case 1:
				for _, m := range all {
					m.group = 0
				}
			case 2:
				all[rapid.IntRange(0, n-1).Draw(t, "dies")].alive = false
			case 3:
				start(rapid.IntRange(0, n-1).Draw(t, "starts"), rapid.IntRange(0, 1).Draw(t, "at"))
			}
			for range rapid.IntRange(1, 60).Draw(t, "for") {
				now += 100 * time.Millisecond
				total := 0.0
				for _, m := range all {
					if !m.alive {
						continue
					}
					seen := Seen{Known: 1}
					for _, o := range all {
						if o.group != m.group || !o.alive {
							continue
						}
						seen.Present++
						seen.Told = max(seen.Told, o.s.Reference())
					}
					seen.Known = seen.Present
					if m.saw = append(m.saw, seen); len(m.saw) > 9 {
						m.saw = m.saw[1:]
					}
					late := m.saw[max(0, len(m.saw)-1-rapid.IntRange(0, 8).Draw(t, "late"))]
					if d := m.s.Look(now, late); d > 0 {
						total += 1 / float64(d)
					}
				}
				if total > 1.5 {
					t.Fatalf("at %v the parts add up to %.2f", now, total)
				}
			}
		}
	})
}

// Seven in ten die at once: the others take their parts after the hold, and not sooner. More come: at once.
func TestPartsFollowTheFleet(t *testing.T) {
	s := &Share{Settings: 4, Hold: 3 * time.Second, Begin: time.Second}
	look := func(at time.Duration, present, known int) int {
		return s.Look(at, Seen{Present: present, Known: known})
	}
	for _, step := range []struct {
		at             time.Duration
		present, known int
		want           int
	}{
		{0, 1, 1, 0}, {500 * time.Millisecond, 10, 10, 0}, {time.Second, 10, 10, 10}, {2 * time.Second, 7, 10, 10},
		{4 * time.Second, 7, 10, 10}, {5100 * time.Millisecond, 7, 10, 7}, {6 * time.Second, 20, 23, 20},
		{7 * time.Second, 3, 23, 23}, {12 * time.Second, 3, 23, 23}, {13 * time.Second, 12, 23, 23}, {17 * time.Second, 12, 23, 12},
	} {
		if got := look(step.at, step.present, step.known); got != step.want {
			t.Errorf("at %v with %d of %d present: %d, not %d", step.at, step.present, step.known, got, step.want)
		}
	}
	if got := s.Look(18*time.Second, Seen{Present: 12, Known: 23, Old: true}); got != 23 {
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
			began[i] = (began[i] + Nudge(since, others, period) + period) % period
		}
	}
	if least, most := gaps(); most > 2*least {
		t.Errorf("gaps from %v to %v", least, most)
	}
}

func TestOneMemberMovesNoFigureFar(t *testing.T) {
	if c := Clock(1, []int{100, 90, 1 << 40}); c != 100 {
		t.Errorf("clock %d", c)
	}
	if c := Clock(60, []int{100, 90, 110}); c != 60 {
		t.Errorf("a clock that goes on was set to %d", c)
	}
	if s := Sum(10, []float64{10, 12, math.MaxFloat64}, 0); s > 160 {
		t.Errorf("demand %v", s)
	}
	if s := Sum(1, []float64{100, 1, 1}, 0); s > 14 { // ten times the mean is believed
		t.Errorf("demand %v", s)
	}
}

// A member that says all regions are empty, or full, changes no verdict of three, is no reading where it stands alone or
// against another, and is not heard once it was caught.
func TestALiar(t *testing.T) {
	var trust Trust
	now := 100 * time.Second
	honest := []Told{{By: "a", X: 0.7, Age: time.Second}, {By: "b", X: 0.75, Age: 500 * time.Millisecond}}
	for _, lie := range []float64{0, 5} {
		v := trust.Judge(now, Own{}, append(slices.Clone(honest), Told{By: "liar", X: lie}))
		if !v.OK || v.X < 0.7 || v.X > 0.75 || v.Age != time.Second {
			t.Errorf("with %v told: %+v", lie, v)
		}
	}
	lie := Told{By: "liar", X: 0}
	if v := trust.Judge(now, Own{}, []Told{honest[0], lie}); v.OK {
		t.Errorf("one word against another counts: %+v", v)
	}
	if v := trust.Judge(now, Own{}, []Told{lie}); v.OK {
		t.Errorf("one word alone counts: %+v", v)
	}
	if v := trust.Judge(now, Own{X: 0.8, At: now - 5*time.Second}, []Told{lie}); v.OK {
		t.Errorf("one word against an own reading counts: %+v", v)
	}
	if v := trust.Judge(now, Own{X: 0.6, At: now - 5*time.Second}, honest[:1]); !v.OK || v.X != 0.7 {
		t.Errorf("one word that an own reading bears out: %+v", v)
	}
	for range 3 {
		trust.Check(now, Own{X: 0.7, At: now}, []Told{lie, honest[1]})
	}
	if trust.Trusted(now, "liar") || !trust.Trusted(now, "b") || !trust.Trusted(now+31*time.Second, "liar") {
		t.Error("who was caught is heard, or who wasn't is not, or for ever")
	}
	old := []Told{{By: "a", X: 0.1, Age: 5 * time.Second}, {By: "b", X: 0.1, Age: 5 * time.Second}, {By: "c", X: 0.1, Age: 5 * time.Second}}
	if v := trust.Judge(now, Own{}, old); v.OK {
		t.Error("signals five seconds late count")
	}
	dead := []Told{{By: "a", Fails: 3}, {By: "b", Fails: 2}, {By: "c", X: 0.4}}
	if v := trust.Judge(now, Own{}, dead); !v.Dead || v.OK {
		t.Errorf("two of three get no answer: %+v", v)
	}
	if v := trust.Judge(now, Own{}, []Told{{By: "a", Fails: 9}, honest[1], {By: "c", X: 0.7}}); v.Dead {
		t.Error("one member alone declares a region dead")
	}
}

// Each region has three readers, and a member less moves only what that one had.
func TestDutyStays(t *testing.T) {
	var members []string
	for i := range 40 {
		members = append(members, fmt.Sprint("b", i))
	}
	tasks := map[string]int{}
	for r := range 90 {
		region := fmt.Sprint("r", r)
		before := Duty(region, members)
		after := Duty(region, members[1:])
		kept := 0
		for _, m := range before {
			if tasks[m]++; slices.Contains(after, m) {
				kept++
			}
		}
		if want := len(before) - map[bool]int{true: 1}[slices.Contains(before, members[0])]; kept != want || len(after) != Readers {
			t.Errorf("%s: %v, then %v", region, before, after)
		}
	}
	for m, n := range tasks {
		if n > 18 {
			t.Errorf("%s reads %d of 270", m, n)
		}
	}
	if p := Turn("b", []string{"a", "c", "d"}); p != 0.375 {
		t.Errorf("turn %v", p)
	}
}
