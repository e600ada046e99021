// Command benchlink hosts balancer instances for the bench. It reads batches of events from standard input and writes
// the resulting actions to standard output.
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
	// Percent of growth before a collection: events are many and short-lived, and memory is not scarce.
	debug.SetGCPercent(400)
	if err := serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "benchlink:", err)
		os.Exit(1)
	}
}

// linkError is an error that ends the exchange with the bench.
type linkError struct{ hint.Annotated }

// serve answers batches until the end of the input.
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
			return &linkError{hint.Annotated{What: "reading", Cause: err, Do: "check which program is at the other end"}}
		}
		for _, e := range batch.Events {
			switch event := e.What.(type) {
			case *wire.Start:
				b, err := policy.New(event.Config, event.Seed)
				if err != nil {
					return &linkError{hint.Annotated{
						What:  fmt.Sprintf("cannot start instance %d", e.Instance),
						Cause: err,
						Do:    "check the settings that it was given",
					}}
				}
				instances[e.Instance] = b
			case wire.Stop:
				delete(instances, e.Instance)
			case policy.Event:
				b := instances[e.Instance]
				if b == nil {
					continue // the instance has been stopped
				}
				actions = b.Step(batch.Now, event, actions[:0])
				for _, a := range actions {
					w.Action(e.Instance, a)
				}
			}
		}
		if err := w.Flush(); err != nil {
			return &linkError{hint.Annotated{What: "writing", Cause: err, Do: "check which program is at the other end"}}
		}
	}
}
