package policy

import "time"

// Action is something the host has to do: one of the types below.
type Action interface{ action() }

// Send starts the next attempt of a request; attempts count from 0.
type Send struct {
	ID        string
	Server    string
	TimeoutAt time.Duration // when the attempt times out, on the balancer's clock; 0 for the client's own timeout
}

// Reject is the final answer that trying again is harmless.
type Reject struct {
	ID         string
	RetryAfter time.Duration // 0 for no advice
	Reason     string        // one of the reasons below, for counting
}

// Fail is the final answer that promises nothing.
type Fail struct {
	ID     string
	Reason string // one of the reasons below, for counting
}

// Migrate closes an established connection politely; its client comes again as a new Request.
type Migrate struct {
	ID     string
	Reason string // one of the reasons below, for counting
}

// Probe asks a server for its load report; a ProbeResult follows.
type Probe struct{ Server string }

// Subscribe asks discovery for the endpoint list and its changes from now on.
type Subscribe struct{}

// SetTimer asks for a TimerFired with the token.
type SetTimer struct {
	Token string
	After time.Duration
}

// Reasons of a Reject or Fail. Operators' tools count them by these texts.
const (
	reasonUnknownClass    = "class"
	reasonNoLease         = "permit"
	reasonMayHaveRun      = "ran"
	reasonAttemptsSpent   = "attempts"
	reasonRetryBudget     = "retries"
	reasonSetupLimit      = "window"
	reasonNoReading       = "unread"
	reasonNoServer        = "none"
	reasonBeyondSubset    = "outside"
	reasonAlreadyTried    = "tried"
	reasonEjected         = "held-off"
	reasonMessageDelay    = "lags"
	reasonServerFull      = "full"
	reasonOverloadPenalty = "doubt"
	reasonWarmUpBudget    = "budget"
	reasonRandomChoice    = "lot"
)

// Reasons of a Migrate.
const (
	reasonEvacuate    = "leave"
	reasonExplore     = "explore"
	reasonReturn      = "back"
	reasonDraining    = "drain"
	reasonUnreachable = "silent"
	reasonOverloaded  = "over"
)

func (Send) action()      {}
func (Reject) action()    {}
func (Fail) action()      {}
func (Migrate) action()   {}
func (Probe) action()     {}
func (Subscribe) action() {}
func (SetTimer) action()  {}
