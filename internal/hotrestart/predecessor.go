package hotrestart

import (
	"errors"
	"os"
	"time"
)

// PredecessorState is what a process that shuts down knows: all servers that were listed and, by flow's key, the
// server that the flow is on.
type PredecessorState struct {
	KnownServers []string          `json:"known"`
	FlowServers  map[string]string `json:"standing"`
}

// WriteForSuccessor writes the state of a process that shuts down. The error is *WriteFailed.
func (d *Dir) WriteForSuccessor(state PredecessorState) error { return d.write(predecessorKind, state) }

// ReadPredecessor reads the state that the last process has left, unless that is longer ago than maxAge; ok is
// false if there is none. A time in the future is of a clock that was wrong, and bounded alike. The error is
// *DamagedFile.
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

// PredecessorChanged tells whether the file is another one than at the last call.
func (d *Dir) PredecessorChanged() bool { return d.changed(predecessorKind) }
