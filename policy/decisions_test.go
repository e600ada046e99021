package policy

import (
	"bytes"
	"crypto/sha256"
	"fmt"
	"testing"

	"oatloft/internal/golden"
)

// describeAction formats an action with words that only this file defines, so that the golden file does not depend on
// the names of types and fields.
func describeAction(a Action) string {
	switch a := a.(type) {
	case Send:
		return fmt.Sprintln("send", a.ID, a.Server, int64(a.TimeoutAt))
	case Reject:
		return fmt.Sprintln("refuse", a.ID, int64(a.RetryAfter), a.Reason)
	case Fail:
		return fmt.Sprintln("fail", a.ID, a.Reason)
	case Migrate:
		return fmt.Sprintln("move", a.ID, a.Reason)
	case Probe:
		return fmt.Sprintln("probe", a.Server)
	case Subscribe:
		return fmt.Sprintln("subscribe")
	case SetTimer:
		return fmt.Sprintln("timer", a.Token, int64(a.After))
	}
	return fmt.Sprintf("unknown %T\n", a)
}

// All decisions of fifty random simulations must equal the recorded ones, so that refactoring changes no decision.
func TestDecisionsMatchRecording(t *testing.T) {
	var out bytes.Buffer
	for seed := range uint64(50) {
		sim := newSimulation(t, seed, 20)
		sim.peersActive = seed%2 == 1
		sim.run()
		sum := sha256.New()
		for _, a := range sim.actions {
			fmt.Fprint(sum, describeAction(a))
		}
		fmt.Fprintf(&out, "%d %d %x\n", seed, len(sim.actions), sum.Sum(nil))
	}
	golden.Check(t, "decisions.txt", out.Bytes())
}
