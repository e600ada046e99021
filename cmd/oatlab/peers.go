package main

import (
	"fmt"
	"time"

	"oatloft/internal/hint"
	"oatloft/internal/membership"
	"oatloft/internal/membership/stepped"
)

// peersCommand measures internal/membership in stepped time: the time until a failure is detected by all members, the
// rate of members wrongly considered gone, and the bytes sent.
type peersCommand struct {
	Members []int         `default:"5,50,200" help:"Numbers of members."`
	Silent  time.Duration `default:"3s" help:"silent_after."`
	Deaths  int           `default:"3" help:"Failures to measure."`
	Signals int           `default:"12" help:"Signals that each member announces every 0.5 s."`
	Calm    time.Duration `default:"60s" help:"Duration of the phase without faults, and of the one with flapping."`
	Seed    uint64        `default:"1"`
}

func (c *peersCommand) Run() error {
	fmt.Printf("stepped time, silent_after %v, one-way delay 1 to 5 ms, each member announces %d signals every 0.5 s\n\n",
		c.Silent, c.Signals)
	fmt.Println("| members | loss | failure known to all after | suspicions per hour and member " +
		"| wrongly gone per hour and member | bytes per second and member | same while one member flaps |")
	fmt.Println("| --- | --- | --- | --- | --- | --- | --- |")
	for _, n := range c.Members {
		for _, loss := range []float64{0, 0.1} {
			if err := c.measure(n, loss); err != nil {
				return err
			}
		}
	}
	return nil
}

func (c *peersCommand) measure(n int, loss float64) error {
	w, err := stepped.New(n, c.Seed, c.Silent,
		stepped.NetworkConditions{Delay: time.Millisecond, Jitter: 4 * time.Millisecond,
			LossRate: loss, DuplicateRate: loss / 5})
	if err != nil {
		return err
	}
	if _, missing := w.Settle(40 * c.Silent); missing != "" {
		return &failedRun{hint.Annotated{
			Where: fmt.Sprintf("%d members, loss %v", n, loss),
			What:  missing,
			Do:    inspectOutput,
		}}
	}
	suspicions, falselyGone := 0, 0
	w.OnChange = func(_ *stepped.Node, e membership.MemberChanged) {
		if e.State == membership.Gone {
			falselyGone++
		}
	}
	run := func(d time.Duration, onStep func()) int64 {
		before := w.TotalSentBytes
		for end := w.Now + d; w.Now < end; {
			for i := range n {
				for k := range c.Signals {
					w.Set(i, fmt.Sprint("r/", k), fmt.Append(nil, w.Now.Milliseconds(), " 120 0"), 5*time.Second)
				}
			}
			if onStep != nil {
				onStep()
			}
			w.Run(500 * time.Millisecond)
		}
		return int64(float64(w.TotalSentBytes-before) / d.Seconds() / float64(n))
	}
	run(10*time.Second, nil)
	for _, d := range w.Nodes {
		suspicions -= int(d.Machine.Counters.Suspected)
	}
	baselineBytes := run(c.Calm, nil)
	for _, d := range w.Nodes {
		suspicions += int(d.Machine.Counters.Suspected)
	}
	hours := c.Calm.Hours() * float64(n)
	falselyGoneWithoutFaults := falselyGone
	flappingBytes := run(c.Calm, func() {
		if w.Nodes[n-1].Machine != nil {
			w.Kill(n - 1)
		} else if err := w.Start(n - 1); err != nil {
			panic(err) // the member has been started before
		}
	})
	if w.Nodes[n-1].Machine == nil {
		if err := w.Start(n - 1); err != nil {
			return err
		}
	}
	detectionTimes := ""
	for k := range c.Deaths {
		if elapsed, missing := w.Settle(20 * c.Silent); missing != "" {
			return &failedRun{hint.Annotated{
				Where: fmt.Sprintf("%d members, loss %v", n, loss),
				What:  fmt.Sprintf("after %v: %s", elapsed, missing),
				Do:    inspectOutput,
			}}
		}
		i := 2 + k%(n-2)
		w.Kill(i)
		elapsed, missing := w.Settle(20 * c.Silent)
		if missing != "" {
			return &failedRun{hint.Annotated{
				Where: fmt.Sprintf("%d members, loss %v", n, loss),
				What:  "failure not detected: " + missing,
				Do:    inspectOutput,
			}}
		}
		detectionTimes += fmt.Sprintf(" %.1f s", elapsed.Seconds())
		if err := w.Start(i); err != nil {
			return err
		}
	}
	if len(w.Violations) > 0 {
		return &failedRun{hint.Annotated{
			Where: fmt.Sprintf("%d members, loss %v", n, loss),
			What:  w.Violations[0],
			Do:    inspectOutput,
		}}
	}
	fmt.Printf("| %d | %.0f%% |%s | %.1f | %.2f | %d | %d |\n",
		n, 100*loss, detectionTimes, float64(suspicions)/hours, float64(falselyGoneWithoutFaults)/hours,
		baselineBytes, flappingBytes)
	return nil
}
