package main

import (
	"testing"

	"oatloft/internal/faultinjection"
)

// The same faults with all coordination between balancers switched on: the rules hold, and after the last fault the
// numbers of balancers that probe each server differ by at most one.
func TestFaultSchedulesCoordination(t *testing.T) {
	playFaultSchedules(t, "faults", faultinjection.Options{Net: 80, Subset: 2, SharedProbes: true, SharedLimits: true})
}
