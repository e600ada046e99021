package simulation

import (
	"math"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"reflect"

	"oatloft/internal/coordination"
)

func fleetSettings(balancers, servers int, with func(*Settings)) Settings {
	set := DefaultSettings(balancers, servers, 5)
	set.ServerCapacity = 40
	with(&set)
	return set
}

func allModes(s *Settings) { s.SubsetSize, s.ShareReadings, s.Stagger = 4, true, true }

// The same seed gives the same run, whatever the number of cores.
func TestSameSeedSameRun(t *testing.T) {
	run := func() []SecondStats {
		e, err := NewEnvironment(fleetSettings(20, 10, allModes))
		if err != nil {
			t.Fatal(err)
		}
		e.Run(8 * time.Second)
		e.KillBalancers(10)
		e.Run(4 * time.Second)
		return e.Seconds
	}
	if diff := cmp.Diff(run(), run(), cmp.Exporter(func(reflect.Type) bool { return true })); diff != "" {
		t.Error("two runs of one seed differ:", diff)
	}
}

// Servers that are warming up are not overloaded while seven in ten balancers were killed, servers are replaced, and
// the fleet is partitioned into two halves that each assume to be the whole fleet. This holds with and without
// coordination.
func TestWarmingUpServersNotOverloaded(t *testing.T) {
	for name, with := range map[string]func(*Settings){"alone": func(*Settings) {}, "together": allModes} {
		e, err := NewEnvironment(fleetSettings(24, 12, with))
		if err != nil {
			t.Fatal(err)
		}
		e.Run(6 * time.Second)
		e.KillBalancers(17)
		e.Run(2 * time.Second)
		if err := e.RestartBalancers(); err != nil {
			t.Fatal(err)
		}
		e.RemoveServers(7)
		e.AddServers(7, true)
		e.Partition(2)
		e.Run(12 * time.Second)
		maxLoad := 0.0
		for _, s := range e.Seconds {
			maxLoad = max(maxLoad, s.MaxWarmUpLoad)
		}
		t.Logf("%s: at most %.2f of the capacity of a server that is warming up, %d rejected", name, maxLoad,
			e.Counts.Rejected)
		if e.Counts.Overloaded > 0 || maxLoad == 0 {
			t.Errorf("%s: %d servers overloaded during warm-up, maximum load %.2f", name, e.Counts.Overloaded, maxLoad)
		}
	}
}

// One member reports a load of 0, or an overload, for all servers. The load stays as balanced as without it.
func TestFalseReadingsMoveNoLoad(t *testing.T) {
	imbalance := func(falseLoad float64) float64 {
		e, err := NewEnvironment(fleetSettings(20, 10, func(s *Settings) { s.ShareReadings = true }))
		if err != nil {
			t.Fatal(err)
		}
		if !math.IsNaN(falseLoad) {
			e.SendFalseLoad(1, falseLoad)
		}
		e.Run(24 * time.Second)
		return Mean(e.Seconds[8:], func(s SecondStats) float64 { return s.LoadImbalance })
	}
	honest := imbalance(math.NaN())
	for _, falseLoad := range []float64{0, 3} {
		if got := imbalance(falseLoad); got > honest+0.1 {
			t.Errorf("with a false reading of %v the highest load is %.2f of the mean, %.2f without", falseLoad, got, honest)
		}
	}
}

// All peers are lost at the same time: within two seconds each balancer acts alone, and the load stays balanced.
func TestAllPeersLost(t *testing.T) {
	e, err := NewEnvironment(fleetSettings(20, 10, allModes))
	if err != nil {
		t.Fatal(err)
	}
	e.Run(10 * time.Second)
	e.Partition(0)
	e.Run(2 * time.Second)
	for _, b := range e.balancers {
		if n := len(b.candidates); n != 0 && n != len(e.servers) {
			t.Fatalf("%s without peers has %d of %d servers in its subset", b.name, n, len(e.servers))
		}
	}
	e.Run(10 * time.Second)
	if got := Mean(e.Seconds[14:], func(s SecondStats) float64 { return s.LoadImbalance }); got > 1.5 {
		t.Errorf("the highest load is %.2f of the mean", got)
	}
}

func meanImbalance(e *Environment, from int) float64 {
	return Mean(e.Seconds[from:], func(s SecondStats) float64 { return s.LoadImbalance })
}

// One balancer gets ten times the mean traffic. With coordination the load is as balanced as without.
func TestSkewedTraffic(t *testing.T) {
	run := func(with func(*Settings)) float64 {
		set := fleetSettings(20, 12, with)
		set.Skew = 10
		e, err := NewEnvironment(set)
		if err != nil {
			t.Fatal(err)
		}
		e.Run(24 * time.Second)
		return meanImbalance(e, 8)
	}
	alone, together := run(func(*Settings) {}), run(allModes)
	t.Logf("highest load over mean: %.2f alone, %.2f together", alone, together)
	if together > alone+0.15 {
		t.Errorf("highest load over mean: %.2f alone, %.2f together", alone, together)
	}
}

// Updates that arrive five seconds late are too old for their readings to be used. Balancers rely on their own
// readings.
func TestReportsFiveSecondsLate(t *testing.T) {
	set := fleetSettings(20, 12, allModes)
	set.PeerDelay = 5 * time.Second
	e, err := NewEnvironment(set)
	if err != nil {
		t.Fatal(err)
	}
	e.Run(20 * time.Second)
	for _, b := range e.balancers {
		if b.coordinator.Counts.PassedOn > 0 {
			t.Fatalf("%s used %d readings", b.name, b.coordinator.Counts.PassedOn)
		}
	}
	if got := meanImbalance(e, 8); got > 1.6 {
		t.Errorf("highest load over mean: %.2f", got)
	}
}

// The fleet doubles within a step while half of the servers are new: no server is overloaded, and 24 seconds later all
// servers are in the subsets of equally many balancers, plus or minus one.
func TestFleetDoublesDuringReplacement(t *testing.T) {
	e, err := NewEnvironment(fleetSettings(20, 12, allModes))
	if err != nil {
		t.Fatal(err)
	}
	e.Run(8 * time.Second)
	e.RemoveServers(6)
	e.AddServers(6, true)
	if err := e.AddBalancers(20); err != nil {
		t.Fatal(err)
	}
	e.Run(24 * time.Second) // by then, subsets that had no capacity are used again
	candidates := map[string]int{}
	for _, b := range e.balancers {
		_, state := b.coordinator.Update(e.Now, e.peerView(b), e.localState(b))
		for _, hash := range state.Subset {
			for _, srv := range e.servers {
				if coordination.ServerHash(srv.ID) == hash {
					candidates[srv.ID]++
				}
			}
		}
	}
	fewest, most := math.MaxInt, 0
	for _, srv := range e.servers {
		fewest, most = min(fewest, candidates[srv.ID]), max(most, candidates[srv.ID])
	}
	if e.Counts.Overloaded > 0 || most-fewest > 1 || fewest == 0 {
		t.Errorf("%d overloaded; servers are in the subsets of %d to %d balancers", e.Counts.Overloaded, fewest, most)
	}
}

// All servers of one balancer's subset become slow: the balancer extends its subset, or uses servers outside it, so
// that new connections go to other servers and requests are not rejected while there is capacity.
func TestWholeSubsetSlow(t *testing.T) {
	e, err := NewEnvironment(fleetSettings(12, 24, func(s *Settings) { s.SubsetSize = 3 }))
	if err != nil {
		t.Fatal(err)
	}
	e.Run(6 * time.Second)
	b := e.balancers[3]
	slowed := map[string]bool{}
	for _, id := range b.candidates {
		slowed[id] = true
		e.byID[id].slowdown = 0.8
	}
	rejectedBefore := b.rejected
	e.Run(20 * time.Second)
	onSlow, elsewhere := 0, 0
	for _, c := range b.conns {
		switch {
		case c.server == nil:
		case slowed[c.server.ID]:
			onSlow++
		default:
			elsewhere++
		}
	}
	if elsewhere <= onSlow || b.rejected-rejectedBefore > 2 {
		t.Errorf("%d connections at the slow servers, %d elsewhere, %d rejected", onSlow, elsewhere,
			b.rejected-rejectedBefore)
	}
}
