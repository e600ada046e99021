package revision

import (
	"encoding/json"
	"time"
)

// LeasePhase is what a process may do.
type LeasePhase uint8

// The phases.
const (
	Learning  LeasePhase = iota // it does not know yet what is in force, or cannot route by it
	Active                      // new requests are placed by Number until Until
	Suspended                   // it has heard that the next revision is about to be in force
	Expired                     // its lease has run out, or was taken away
	Released                    // it has given up its lease for good
)

// String returns the phase as operators read it.
func (p LeasePhase) String() string {
	return [...]string{"learning", "at-work", "between", "lapsed", "left"}[p]
}

// Forever is the end of a lease that does not end by time.
const Forever = time.Duration(1<<63 - 1)

// Lease is what a process may do now. Seq grows whenever anything but a later Until is new.
type Lease struct {
	Seq    uint64
	Phase  LeasePhase
	Number uint64 // of the revision
	Hash   string
	Text   json.RawMessage
	Until  time.Duration // by this process's clock
	Reason string        // why it is not Active
}

// Allows tells whether new requests may be placed now.
func (l *Lease) Allows(now time.Duration) bool { return l.Phase == Active && now < l.Until }
