package main

import (
	"fmt"
	"time"

	"oatloft/internal/hint"
	"oatloft/internal/membership"
	"oatloft/internal/membership/stepped"
)

// peersTable measures internal/membership in stepped time: how long a death takes to be known, who is held gone though alive,
// and what it all sends.
type peersTable struct {
	Members []int         `default:"5,50,200" help:"Numbers of members."`
	Silent  time.Duration `default:"3s" help:"silent_after."`
	Deaths  int           `default:"3" help:"Deaths to measure."`
	Signals int           `default:"12" help:"Signals that each member tells every half a second."`
	Calm    time.Duration `default:"60s" help:"Time without faults, and time of one member's flapping."`
	Seed    uint64        `default:"1"`
}

func (c *peersTable) Run() error {
	fmt.Printf("stepped time, silent_after %v, 1 to 5 ms a way, each member tells %d signals each half a second\n\n", c.Silent, c.Signals)
	fmt.Println("| members | loss | a death known to all after | suspicions an hour and member | held gone though alive, an hour and member | bytes a second and member | the same while one flaps |")
	fmt.Println("| --- | --- | --- | --- | --- | --- | --- |")
	for _, n := range c.Members {
		for _, loss := range []float64{0, 0.1} {
			if err := c.row(n, loss); err != nil {
				return err
			}
		}
	}
	return nil
}

func (c *peersTable) row(n int, loss float64) error {
	w, err := stepped.New(n, c.Seed, c.Silent, stepped.NetworkConditions{Delay: time.Millisecond,
		Jitter: 4 * time.Millisecond, LossRate: loss, DuplicateRate: loss / 5})
	if err != nil {
		return err
	}
	if _, missing := w.Settle(40 * c.Silent); missing != "" {
		return &failed{hint.Annotated{Where: fmt.Sprintf("%d members, loss %v", n, loss), What: missing, Do: lookAt}}
	}
	suspicions, wrong := 0, 0
	w.OnChange = func(_ *stepped.Node, e membership.MemberChanged) {
		if e.State == membership.Gone {
			wrong++
		}
	}
	live := func(d time.Duration, each func()) int64 {
		before := w.TotalSentBytes
		for end := w.Now + d; w.Now < end; {
			for i := range n {
				for k := range c.Signals {
					w.Set(i, fmt.Sprint("r/", k), fmt.Append(nil, w.Now.Milliseconds(), " 120 0"), 5*time.Second)
				}
			}
			if each != nil {
				each()
			}
			w.Run(500 * time.Millisecond)
		}
		return int64(float64(w.TotalSentBytes-before) / d.Seconds() / float64(n))
	}
	live(10*time.Second, nil)
	for _, d := range w.Nodes {
		suspicions -= int(d.Machine.Counters.Suspected)
	}
	calm := live(c.Calm, nil)
	for _, d := range w.Nodes {
		suspicions += int(d.Machine.Counters.Suspected)
	}
	hours := c.Calm.Hours() * float64(n)
	falseEnds := wrong
	flap := live(c.Calm, func() {
		if w.Nodes[n-1].Machine != nil {
			w.Kill(n - 1)
		} else if err := w.Start(n - 1); err != nil {
			panic(err) // it has started before
		}
	})
	if w.Nodes[n-1].Machine == nil {
		if err := w.Start(n - 1); err != nil {
			return err
		}
	}
	known := ""
	for k := range c.Deaths {
		if took, missing := w.Settle(20 * c.Silent); missing != "" {
			return &failed{hint.Annotated{Where: fmt.Sprintf("%d members, loss %v", n, loss), What: fmt.Sprintf("after %v: %s", took, missing), Do: lookAt}}
		}
		i := 2 + k%(n-2)
		w.Kill(i)
		took, missing := w.Settle(20 * c.Silent)
		if missing != "" {
			return &failed{hint.Annotated{Where: fmt.Sprintf("%d members, loss %v", n, loss), What: "a death: " + missing, Do: lookAt}}
		}
		known += fmt.Sprintf(" %.1f s", took.Seconds())
		if err := w.Start(i); err != nil {
			return err
		}
	}
	if len(w.Violations) > 0 {
		return &failed{hint.Annotated{Where: fmt.Sprintf("%d members, loss %v", n, loss), What: w.Violations[0], Do: lookAt}}
	}
	fmt.Printf("| %d | %.0f%% |%s | %.1f | %.2f | %d | %d |\n", n, 100*loss, known, float64(suspicions)/hours, float64(falseEnds)/hours, calm, flap)
	return nil
}
