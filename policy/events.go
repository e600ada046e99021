package policy

import "time"

// Event is an input of the balancer: one of the types below.
type Event interface{ event() }

// Server is one entry of the endpoint list.
type Server struct {
	ID        string
	Zone      string
	Cell      int
	State     ServerState
	Weight    float64       // registered size, meaningful only relative to other servers
	StartedAt time.Duration // last start, on the balancer's clock; 0 if long ago
}

// ServerState is the state of a server in the endpoint list.
type ServerState int

// Values of ServerState.
const (
	Live ServerState = iota
	Draining
	Gone
)

// ListKind is the relation of a ServerList to the balancer's current list.
type ListKind int

// Values of ListKind.
const (
	ListDelta  ListKind = iota // changed entries only
	ListFull                   // all servers; missing ones are gone
	ListCached                 // all servers as last known, possibly outdated
	ListFailed                 // the subscription failed or broke; the current list stays
)

// ServerList is a message from discovery.
type ServerList struct {
	Kind    ListKind
	Servers []Server
}

// LoadReport is a server's answer to a probe. Missing figures are negative.
type LoadReport struct {
	Load           float64 // requested work divided by capacity
	Utilization    float64 // fraction of the server's cores in use
	InFlight       float64 // requests in flight
	BacklogSeconds float64 // seconds of queued work
}

// Result is the outcome of an attempt or a probe.
type Result int

// Values of Result.
const (
	ResultOK Result = iota
	ResultFailed
	ResultRejected // for lack of capacity: the request never ran
	ResultTimedOut
	ResultUnreachable // the request never ran
	ResultReset
	ResultCanceled
	ResultSkipped // the request never ran
)

// MayHaveRun reports whether an attempt with this result may have taken effect.
func (r Result) MayHaveRun() bool {
	return r != ResultRejected && r != ResultUnreachable && r != ResultSkipped
}

// Request is a client's request for a connection. The balancer gives it exactly one final answer.
type Request struct {
	ID      string
	Key     string // idempotency key, the same for all requests of one client; may be empty
	Group   string // connections of one group share work; may be empty
	Class   string
	Tenant  string
	Timeout time.Duration // after which the client gives up
	MidFlow bool          // the connection was established by another process and its packets now arrive here
}

// AdoptedConnection is a connection that is already established to Server when the balancer starts.
type AdoptedConnection struct {
	Request
	Server string
}

// PredecessorFlow names the server of a client's connection that another process established, and whose packets may
// now arrive at this one.
type PredecessorFlow struct{ Key, Server string }

// AttemptEstablished reports that an attempt has established a connection. An AttemptEnded reports its end.
type AttemptEstablished struct {
	ID      string
	Attempt int
	Server  string
	Latency time.Duration
}

// AttemptEnded reports the end of an attempt, or of the connection that it established.
type AttemptEnded struct {
	ID      string
	Attempt int
	Server  string
	Result  Result
	Final   bool // the request is closed and needs no further answer
}

// ConnectionLoad reports a change in the load of an established connection.
type ConnectionLoad struct {
	ID   string
	Load float64 // work per second, in the same unit for all connections; 0 or less if unknown
}

// MessageDelay reports the current delay of messages at the server of an established connection.
type MessageDelay struct {
	ID     string
	Server string
	Delay  time.Duration
}

// ProbeResult is the result of a Probe.
type ProbeResult struct {
	Server       string
	Result       Result
	Report       *LoadReport // nil if there is none
	ServerActive bool        // an established connection received data from the server while the probe was pending
}

// ClientDisconnected reports that the client has disconnected. The request is closed, unless the client has closed
// only its sending side (HalfClosed). In that case it may still read an answer and must get one, but no attempt starts
// after DisconnectGrace.
type ClientDisconnected struct {
	ID         string
	HalfClosed bool
}

// DisconnectGrace is the time after a client has closed its sending side in which an attempt may still start.
const DisconnectGrace = 80 * time.Millisecond

// ConfigUpdate replaces the settings with others that New accepts. Requests, connections and the state of servers are
// kept.
type ConfigUpdate struct{ Config }

// CandidateSubset lists the servers to which new requests and exploring connections are sent; an empty list means all
// servers. A request that finds no capacity among them tries all servers. Established connections stay.
type CandidateSubset struct{ Servers []string }

// PeerReading is a reading of a server's load by another balancer.
type PeerReading struct {
	Server      string
	Load        float64
	Age         time.Duration
	Unreachable bool // probes of the server get no answer; Load has no meaning
}

// FleetState describes the fleet of balancers. The zero value means that nothing is known, and the figures of the
// settings are used.
type FleetState struct {
	BudgetDivisor    int           // number of balancers that divide a common limit; below 0: this one gets no share
	Demand           float64       // placements per second by all balancers
	ExplorationSlots int           // slot number of the fleet, adopted if it is higher than the balancer's own
	SlotShift        time.Duration // delay of the next exploration slot; negative to start it earlier
	StaggerOffset    float64       // position of this balancer among all, in (0, 1]
	AssignedServers  []string      // servers that this balancer probes for the others as well
}

// LeaseState is the state of the lease that lets this balancer place requests. All balancers use one routing revision.
type LeaseState int

// Values of LeaseState.
const (
	LeaseActive    LeaseState = iota
	LeaseSuspended            // one revision ends and the next begins: requests wait
	LeaseExpired              // this balancer does not know the active revision: requests are rejected at once
)

// SaturatedLinks maps each zone to which this balancer's zone has no bandwidth left to the highest PriorityRank that is
// still sent there.
type SaturatedLinks struct{ Zones map[string]int }

// TimerFired reports that a timer has fired.
type TimerFired struct{ Token string }

func (ServerList) event()         {}
func (Request) event()            {}
func (AdoptedConnection) event()  {}
func (PredecessorFlow) event()    {}
func (AttemptEstablished) event() {}
func (AttemptEnded) event()       {}
func (ConnectionLoad) event()     {}
func (MessageDelay) event()       {}
func (ProbeResult) event()        {}
func (ClientDisconnected) event() {}
func (ConfigUpdate) event()       {}
func (CandidateSubset) event()    {}
func (PeerReading) event()        {}
func (FleetState) event()         {}
func (LeaseState) event()         {}
func (SaturatedLinks) event()     {}
func (TimerFired) event()         {}
