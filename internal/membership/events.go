package membership

import "time"

// Event is an input of a Machine: Tick, Received, SetSignal or Leave.
type Event interface{ event() }

type (
	// Tick advances the time.
	Tick struct{}
	// Received is a message from another member. Size is its encoded length in bytes.
	Received struct {
		Message Message
		Size    int
	}
	// SetSignal sets a signal of this member and replaces the one with the same key.
	SetSignal struct {
		Key      string
		Value    []byte
		Lifetime time.Duration
	}
	// Leave announces that this member is leaving (On), or that it stays after all.
	Leave struct{ On bool }
)

func (Tick) event()      {}
func (Received) event()  {}
func (SetSignal) event() {}
func (Leave) event()     {}

// Effect is an output of a Machine that its host carries out: Send, MemberChanged or ViewStale.
type Effect interface{ effect() }

type (
	// Send asks for a datagram to be sent to an address.
	Send struct {
		To      string
		Message *Message
	}
	// MemberChanged reports a change of a member's state or generation.
	MemberChanged struct {
		Record
		Before State
		New    bool // the member was not known before
		Reason string
	}
	// ViewStale reports that the view has become stale (On) because no step was made for a while, or that it is current
	// again.
	ViewStale struct{ On bool }
)

func (Send) effect()          {}
func (MemberChanged) effect() {}
func (ViewStale) effect()     {}
