// Command benchlink hosts balancer instances for the bench: batches of events come in on standard
// input, replies go out on standard output.
package main

import (
	"errors"
	"fmt"
	"io"
	"os"
	"runtime/debug"

	"oatloft/internal/hint"
	"oatloft/internal/wire"
	"oatloft/policy"
)

func main() {
	debug.SetGCPercent(400) // events are many and short-lived; memory is not scarce
	if err := serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "benchlink:", err)
		os.Exit(1)
	}
}

// linkError is the end of the exchange with the bench.
type linkError struct{ hint.Annotated }

// serve answers batches until the input ends.
func serve(in io.Reader, out io.Writer) error {
	r, w := wire.NewReader(in), wire.NewWriter(out)
	instances := make(map[int]*policy.Balancer)
	var actions []policy.Action
	for {
		batch, err := r.Read()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return &linkError{hint.Annotated{What: "reading", Cause: err, Do: "see which program is at the other end"}}
		}
		for _, e := range batch.Events {
			switch what := e.What.(type) {
			case *wire.Start:
				b, err := policy.New(what.Config, what.Seed)
				if err != nil {
					return &linkError{hint.Annotated{
						What:  fmt.Sprintf("starting instance %d", e.Instance),
						Cause: err,
						Do:    "see the settings that it was given",
					}}
				}
				instances[e.Instance] = b
			case wire.Stop:
				delete(instances, e.Instance)
			case policy.Event:
				b := instances[e.Instance]
				if b == nil {
					continue // stopped: nothing concerns it any more
				}
				actions = b.Step(batch.Now, what, actions[:0])
				for _, a := range actions {
					w.Action(e.Instance, a)
				}
			}
		}
		if err := w.Flush(); err != nil {
			return &linkError{hint.Annotated{What: "writing", Cause: err, Do: "see which program is at the other end"}}
		}
	}
}
