package revision

import (
	"encoding/json"
	"time"
)

// LeasePhase is the phase of a process with respect to placing new requests.
type LeasePhase uint8

// The phases.
const (
	Learning  LeasePhase = iota // it does not know the revision in force yet, or cannot route by it
	Active                      // it may place new requests by revision Number until Until
	Suspended                   // it has stopped because the next revision is about to come into force
	Expired                     // its lease has expired or was revoked
	Released                    // it has released its lease for good
)

// String returns the name of the phase as shown to operators.
func (p LeasePhase) String() string {
	return [...]string{"learning", "at-work", "between", "lapsed", "left"}[p]
}

// NoExpiry is the end of a lease that does not expire.
const NoExpiry = time.Duration(1<<63 - 1)

// Lease is the current permission of a process to place new requests. Seq increases with every change other than an
// extension of Until.
type Lease struct {
	Seq    uint64
	Phase  LeasePhase
	Number uint64 // of the revision to route by
	Hash   string
	Text   json.RawMessage
	Until  time.Duration // on this process's clock
	Reason string        // why Phase is not Active
}

// Allows reports whether new requests may be placed at now.
func (l *Lease) Allows(now time.Duration) bool { return l.Phase == Active && now < l.Until }
