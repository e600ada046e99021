package policy

import (
	"reflect"
	"testing"

	"github.com/google/go-cmp/cmp"
)

func TestRulesHoldInRandomSimulations(t *testing.T) {
	for seed := range uint64(40) {
		sim := newSimulation(t, seed, 30)
		sim.run()
		sends := 0
		for _, a := range sim.actions {
			if _, ok := a.(Send); ok {
				sends++
			}
		}
		if sends < 100 {
			t.Errorf("seed %d: only %d attempts, too few for the test", seed, sends)
		}
		if t.Failed() {
			t.Fatalf("seed %d", seed)
		}
	}
}

// The rules hold and requests get their answers whatever other balancers report, right or wrong, and however often.
func TestRulesHoldWithAnyPeerEvents(t *testing.T) {
	for seed := range uint64(40) {
		sim := newSimulation(t, seed, 30)
		sim.peersActive = true
		sim.run()
		if t.Failed() {
			t.Fatalf("seed %d", seed)
		}
	}
}

func TestSameEventsGiveSameActions(t *testing.T) {
	for seed := range uint64(4) {
		one, two := newSimulation(t, seed, 20), newSimulation(t, seed, 20)
		one.run()
		two.run()
		if diff := cmp.Diff(one.actions, two.actions, cmp.Exporter(func(reflect.Type) bool { return true })); diff != "" {
			t.Errorf("seed %d: two runs differ: %s", seed, diff)
		}
	}
}
