package main

import (
	"testing"

	"oatloft/internal/faultinjection"
)

// The same faults with all that balancers do together switched on: the rules hold, and after the last fault every
// region is looked at by as many balancers as each other, within one.
func TestFaultSchedulesTogether(t *testing.T) {
	playFaultSchedules(t, "faults", faultinjection.Options{Net: 80, Subset: 2, SharedProbes: true, SharedLimits: true})
}
