package crowd

import (
	"bytes"
	"crypto/sha256"
	"fmt"
	"testing"
	"time"

	"oatloft/internal/core"
	"oatloft/internal/drawn"
	"oatloft/internal/golden"
)

// describeEffect writes an effect in words of this file alone, so that renaming a type or field changes nothing.
func describeEffect(e core.Effect) string {
	switch e := e.(type) {
	case core.Dial:
		return fmt.Sprintln("dial", e.Of, e.Attempt, e.Region, e.Addr, int64(e.Timeout))
	case core.SendLine:
		return fmt.Sprintln("line", e.Of, e.Attempt, int64(e.Left))
	case core.DropTask:
		return fmt.Sprintln("drop", e.Of, e.Attempt, e.Why)
	case core.Answer:
		return fmt.Sprintln("answer", e.To, e.Short, int64(e.After), e.Why)
	case core.Pass:
		return fmt.Sprintf("pass %v %v %q\n", e.Of, e.ToRegion, e.Data)
	case core.Hold:
		return fmt.Sprintln("hold", e.Of, e.OfRegion, e.On)
	case core.EndRegion:
		return fmt.Sprintln("end-region", e.Of, int(e.How))
	case core.EndTerminal:
		return fmt.Sprintln("end-terminal", e.Of, int(e.How))
	case core.MoveTerminal:
		return fmt.Sprintln("move", e.Of, e.Why)
	case core.Probe:
		return fmt.Sprintln("probe", e.Region, e.Addr, int64(e.Timeout))
	case core.ForgetRegion:
		return fmt.Sprintln("forget", e.Region)
	case core.Watch:
		return fmt.Sprintln("watch", e.Seq)
	case core.Unwatch:
		return fmt.Sprintln("unwatch")
	case core.Exit:
		return fmt.Sprintln("exit", int64(e.By))
	}
	return fmt.Sprintf("unknown %T\n", e)
}

// Every effect of every balancer in fifty generated deployments is the one that was recorded: no refactoring may change one.
func TestEffectsAreAsRecorded(t *testing.T) {
	var out bytes.Buffer
	for _, d := range small(50, func(d *drawn.Deployment) bool { return d.Balancers <= 12 && d.Regions <= 60 }) {
		sum, n := sha256.New(), 0
		p, err := Open(d, false, Break{})
		if err != nil {
			t.Fatal(err)
		}
		p.Trace = func(slot int, now time.Duration, effects []core.Effect) {
			for _, e := range effects {
				n++
				fmt.Fprint(sum, slot, " ", int64(now), " ", describeEffect(e))
			}
		}
		p.Run()
		fmt.Fprintf(&out, "%d %d %x\n", d.Seed, n, sum.Sum(nil))
	}
	golden.Check(t, "effects.txt", out.Bytes())
}
