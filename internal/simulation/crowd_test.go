package simulation

import (
	"math"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"reflect"

	"oatloft/internal/coordination"
)

func fleet(balancers, regions int, with func(*Settings)) Settings {
	set := Default(balancers, regions, 5)
	set.Fill = 40
	with(&set)
	return set
}

func allOf(s *Settings) { s.Subset, s.Readings, s.Turns = 4, true, true }

// The same seed gives the same run, on however many cores.
func TestSameSeedSameRun(t *testing.T) {
	run := func() []Second {
		w, err := New(fleet(20, 10, allOf))
		if err != nil {
			t.Fatal(err)
		}
		w.Run(8 * time.Second)
		w.Kill(10)
		w.Run(4 * time.Second)
		return w.Seconds
	}
	if diff := cmp.Diff(run(), run(), cmp.Exporter(func(reflect.Type) bool { return true })); diff != "" {
		t.Error("two runs of one seed differ:", diff)
	}
}

// Regions are replaced, balancers killed by seven in ten, and both halves then believe to be alone: no cold region is pushed
// over, alone or together, and together no worse than alone.
func TestColdRegionsStand(t *testing.T) {
	for name, with := range map[string]func(*Settings){"alone": func(*Settings) {}, "together": allOf} {
		w, err := New(fleet(24, 12, with))
		if err != nil {
			t.Fatal(err)
		}
		w.Run(6 * time.Second)
		w.Kill(17)
		w.Run(2 * time.Second)
		if err := w.Back(); err != nil {
			t.Fatal(err)
		}
		w.Drop(7)
		w.AddRegions(7, true)
		w.Split(2)
		w.Run(12 * time.Second)
		most := 0.0
		for _, s := range w.Seconds {
			most = max(most, s.Cold)
		}
		t.Logf("%s: at most %.2f of what a cold region can do, %d refused", name, most, w.Counts.Refused)
		if w.Counts.Fell > 0 || most == 0 {
			t.Errorf("%s: %d cold regions fell over, at most %.2f", name, w.Counts.Fell, most)
		}
	}
}

// One member says that all regions are empty, or full. The load stays as even as it is without that.
func TestALiarMovesNoLoad(t *testing.T) {
	worst := func(lie float64) float64 {
		w, err := New(fleet(20, 10, func(s *Settings) { s.Readings = true }))
		if err != nil {
			t.Fatal(err)
		}
		if !math.IsNaN(lie) {
			w.Lie(1, lie)
		}
		w.Run(24 * time.Second)
		return Mean(w.Seconds[8:], func(s Second) float64 { return s.Worst })
	}
	honest := worst(math.NaN())
	for _, lie := range []float64{0, 3} {
		if got := worst(lie); got > honest+0.1 {
			t.Errorf("with one that says %v the fullest region is at %.2f of the mean, %.2f without", lie, got, honest)
		}
	}
}

// All peers are lost at once: within two seconds each acts alone, and the load stays even.
func TestPeersGone(t *testing.T) {
	w, err := New(fleet(20, 10, allOf))
	if err != nil {
		t.Fatal(err)
	}
	w.Run(10 * time.Second)
	w.Split(0)
	w.Run(2 * time.Second)
	for _, d := range w.all {
		if n := len(d.candidates); n != 0 && n != len(w.order) {
			t.Fatalf("%s alone looks at %d of %d regions", d.name, n, len(w.order))
		}
	}
	w.Run(10 * time.Second)
	if got := Mean(w.Seconds[14:], func(s Second) float64 { return s.Worst }); got > 1.5 {
		t.Errorf("the fullest region is at %.2f of the mean", got)
	}
}

func worst(w *World, from int) float64 {
	return Mean(w.Seconds[from:], func(s Second) float64 { return s.Worst })
}

// One balancer gets ten times the mean. Together the load is no less even than alone.
func TestSkewedTraffic(t *testing.T) {
	run := func(with func(*Settings)) float64 {
		set := fleet(20, 12, with)
		set.Skew = 10
		w, err := New(set)
		if err != nil {
			t.Fatal(err)
		}
		w.Run(24 * time.Second)
		return worst(w, 8)
	}
	alone, both := run(func(*Settings) {}), run(allOf)
	t.Logf("fullest over mean: %.2f alone, %.2f together", alone, both)
	if both > alone+0.15 {
		t.Errorf("fullest over mean: %.2f alone, %.2f together", alone, both)
	}
}

// Words that come five seconds late bring no readings; all goes on as with own ones.
func TestWordsFiveSecondsLate(t *testing.T) {
	set := fleet(20, 12, allOf)
	set.Lag = 5 * time.Second
	w, err := New(set)
	if err != nil {
		t.Fatal(err)
	}
	w.Run(20 * time.Second)
	for _, d := range w.all {
		if d.t.Counts.PassedOn > 0 {
			t.Fatalf("%s took %d readings", d.name, d.t.Counts.PassedOn)
		}
	}
	if got := worst(w, 8); got > 1.6 {
		t.Errorf("fullest over mean: %.2f", got)
	}
}

// The fleet doubles within a step while half of the regions are new: none is pushed over, and ten seconds later every region
// is looked at by as many as each other, within one.
func TestFleetDoubles(t *testing.T) {
	w, err := New(fleet(20, 12, allOf))
	if err != nil {
		t.Fatal(err)
	}
	w.Run(8 * time.Second)
	w.Drop(6)
	w.AddRegions(6, true)
	if err := w.Add(20); err != nil {
		t.Fatal(err)
	}
	w.Run(24 * time.Second) // subsets that had no room have come back by then
	at := map[string]int{}
	for _, d := range w.all {
		_, words := d.t.Update(w.Now, w.view(d), w.own(d))
		for _, mark := range words.Subset {
			for _, r := range w.order {
				if coordination.ServerHash(r.ID) == mark {
					at[r.ID]++
				}
			}
		}
	}
	least, most := math.MaxInt, 0
	for _, r := range w.order {
		least, most = min(least, at[r.ID]), max(most, at[r.ID])
	}
	if w.Counts.Fell > 0 || most-least > 1 || least == 0 {
		t.Errorf("%d fell over; regions are looked at by %d to %d", w.Counts.Fell, least, most)
	}
}

// All regions of one balancer's subset become slow: its newcomers find room elsewhere, before the subset is looked beyond or by
// that, and nobody is refused beside room.
func TestASubsetAllSlow(t *testing.T) {
	w, err := New(fleet(12, 24, func(s *Settings) { s.Subset = 3 }))
	if err != nil {
		t.Fatal(err)
	}
	w.Run(6 * time.Second)
	d := w.all[3]
	slow := map[string]bool{}
	for _, id := range d.candidates {
		slow[id] = true
		w.regions[id].slow = 0.8
	}
	refused := d.refused
	w.Run(20 * time.Second)
	there, elsewhere := 0, 0
	for _, c := range d.conns {
		switch {
		case c.on == nil:
		case slow[c.on.ID]:
			there++
		default:
			elsewhere++
		}
	}
	if elsewhere <= there || d.refused-refused > 2 {
		t.Errorf("%d stand at the slow ones, %d elsewhere, %d refused", there, elsewhere, d.refused-refused)
	}
}
