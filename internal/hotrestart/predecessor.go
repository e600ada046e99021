package hotrestart

import (
	"errors"
	"os"
	"time"
)

// PredecessorState is the state of a process that shuts down: all servers that were ever listed and, by flow key, the
// server of each flow.
type PredecessorState struct {
	KnownServers []string          `json:"known"`
	FlowServers  map[string]string `json:"standing"`
}

// WriteForSuccessor writes the state of a process that shuts down. The error is *WriteFailed.
func (d *Dir) WriteForSuccessor(state PredecessorState) error { return d.write(predecessorKind, state) }

// ReadPredecessor reads the state written by the previous process, unless it is older than maxAge. ok is false if there
// is none. A time in the future, from a wrong clock, may be at most maxAge ahead. The error is *DamagedFile.
func (d *Dir) ReadPredecessor(maxAge time.Duration) (state PredecessorState, ok bool, err error) {
	written, err := d.read(predecessorKind, &state)
	switch {
	case errors.Is(err, os.ErrNotExist):
		return PredecessorState{}, false, nil
	case err != nil:
		return PredecessorState{}, false, err
	case time.Since(written) > maxAge || time.Until(written) > maxAge:
		return PredecessorState{}, false, nil
	}
	return state, true, nil
}

// PredecessorChanged reports whether the predecessor file has changed since the last call.
func (d *Dir) PredecessorChanged() bool { return d.changed(predecessorKind) }
