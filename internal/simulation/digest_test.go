package simulation

import (
	"bytes"
	"crypto/sha256"
	"fmt"
	"testing"
	"time"

	"oatloft/internal/core"
	"oatloft/internal/generate"
	"oatloft/internal/golden"
)

// describeEffect formats an effect without the names of types and fields, so that renaming one does not change the
// digest.
func describeEffect(e core.Effect) string {
	switch e := e.(type) {
	case core.Dial:
		return fmt.Sprintln("dial", e.Client, e.Attempt, e.Server, e.Address, int64(e.Timeout))
	case core.SendRequest:
		return fmt.Sprintln("line", e.Client, e.Attempt, int64(e.TimeLeft))
	case core.CloseAttempt:
		return fmt.Sprintln("drop", e.Client, e.Attempt, e.Reason)
	case core.Answer:
		return fmt.Sprintln("answer", e.Client, e.Rejected, int64(e.RetryAfter), e.Reason)
	case core.Forward:
		return fmt.Sprintf("pass %v %v %q\n", e.Client, e.ToServer, e.Data)
	case core.PauseReading:
		return fmt.Sprintln("hold", e.Client, e.FromServer, e.Paused)
	case core.CloseServer:
		return fmt.Sprintln("end-region", e.Client, int(e.Reason))
	case core.CloseClient:
		return fmt.Sprintln("end-terminal", e.Client, int(e.Reason))
	case core.MigrateClient:
		return fmt.Sprintln("move", e.Client, e.Reason)
	case core.Probe:
		return fmt.Sprintln("probe", e.Server, e.Address, int64(e.Timeout))
	case core.ForgetServer:
		return fmt.Sprintln("forget", e.Server)
	case core.Watch:
		return fmt.Sprintln("watch", e.Version)
	case core.StopWatch:
		return fmt.Sprintln("unwatch")
	case core.Exit:
		return fmt.Sprintln("exit", int64(e.Deadline))
	}
	return fmt.Sprintf("unknown %T\n", e)
}

// Guards against unintended changes of behavior: the digest of all effects of every balancer in fifty generated
// deployments has to match the recorded one.
func TestEffectsAreAsRecorded(t *testing.T) {
	var out bytes.Buffer
	for _, d := range smallDeployments(50, func(d *generate.Deployment) bool {
		return d.Balancers <= 12 && d.Servers <= 60
	}) {
		sum, n := sha256.New(), 0
		s, err := NewSite(d, false, Defect{})
		if err != nil {
			t.Fatal(err)
		}
		s.Trace = func(slot int, now time.Duration, effects []core.Effect) {
			for _, e := range effects {
				n++
				fmt.Fprint(sum, slot, " ", int64(now), " ", describeEffect(e))
			}
		}
		s.Run()
		fmt.Fprintf(&out, "%d %d %x\n", d.Seed, n, sum.Sum(nil))
	}
	golden.Check(t, "effects.txt", out.Bytes())
}
