package policy

import "time"

// Action is an instruction to the host: one of the types below.
type Action interface{ action() }

// Send starts the next attempt of a request. Attempts are numbered from 0.
type Send struct {
	ID        string
	Server    string
	TimeoutAt time.Duration // when the attempt times out, on the balancer's clock; 0: the client's own timeout applies
}

// Reject is a final answer that tells the client that a retry is safe.
type Reject struct {
	ID         string
	RetryAfter time.Duration // 0 if no time is suggested
	Reason     string        // one of the reasons below, for the counters
}

// Fail is a final answer that does not say whether the request took effect.
type Fail struct {
	ID     string
	Reason string // one of the reasons below, for the counters
}

// Migrate closes an established connection gracefully. The client is expected to reconnect with a new Request.
type Migrate struct {
	ID     string
	Reason string // one of the reasons below, for the counters
}

// Probe requests the load report of a server. The host answers with a ProbeResult.
type Probe struct{ Server string }

// Subscribe requests the endpoint list from discovery, and all later changes to it.
type Subscribe struct{}

// SetTimer requests a TimerFired event with the token.
type SetTimer struct {
	Token string
	After time.Duration
}

// Reasons of a Reject or Fail. Operators' tools count them by these strings.
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
