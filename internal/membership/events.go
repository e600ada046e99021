package membership

import "time"

// Event is something that happened: Tick, Received, SetSignal or Leave.
type Event interface{ event() }

type (
	// Tick lets time pass.
	Tick struct{}
	// Received is a message that came. Size is its length in bytes.
	Received struct {
		Message Message
		Size    int
	}
	// SetSignal sets a signal of this member's own, in place of the one with its key.
	SetSignal struct {
		Key      string
		Value    []byte
		Lifetime time.Duration
	}
	// Leave tells the others that this member leaves (On), or stays after all.
	Leave struct{ On bool }
)

func (Tick) event()      {}
func (Received) event()  {}
func (SetSignal) event() {}
func (Leave) event()     {}

// Effect is what the host has to do: Send, Changed or ViewStale.
type Effect interface{ effect() }

type (
	// Send is a datagram to an address.
	Send struct {
		To      string
		Message *Message
	}
	// Changed tells that a member's state has changed.
	Changed struct {
		Record
		Before State
		New    bool // it was not known before
		Reason string
	}
	// ViewStale tells that the view is stale (On), after a time in which no step was made, or is good again.
	ViewStale struct{ On bool }
)

func (Send) effect()      {}
func (Changed) effect()   {}
func (ViewStale) effect() {}
