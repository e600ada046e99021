package policy

import "time"

// Event is something that happened to the balancer: one of the types below.
type Event interface{ event() }

// Server is one entry of the endpoint list.
type Server struct {
	ID        string
	Zone      string
	Cell      int
	State     ServerState
	Weight    float64       // registered size, only comparable with other servers' figures
	StartedAt time.Duration // last start on the balancer's clock; 0 for long ago
}

// ServerState is what discovery says of a server.
type ServerState int

// The states of a listed server.
const (
	Live ServerState = iota
	Draining
	Gone
)

// ListKind says how a ServerList relates to the list held.
type ListKind int

// The kinds of endpoint list.
const (
	ListDelta  ListKind = iota // only what changed
	ListFull                   // all servers; those missing are gone
	ListCached                 // all servers as last known, maybe old
	ListFailed                 // the subscription failed or broke; the old list stands
)

// ServerList brings what discovery knows of the servers.
type ServerList struct {
	Kind    ListKind
	Servers []Server
}

// LoadReport is a server's answer to a probe. Figures that it lacks are negative.
type LoadReport struct {
	Load           float64 // load asked for over what the server can do
	Utilization    float64 // fraction of its cores at work
	InFlight       float64 // requests it holds
	BacklogSeconds float64 // seconds of queued work
}

// Result tells how an attempt or a probe ended.
type Result int

// The results.
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

// Request is a client's request for a connection. The balancer owes it one final answer.
type Request struct {
	ID      string
	Key     string // idempotency key, the same for every request of one client; may be empty
	Group   string // connections of one group share work; may be empty
	Class   string
	Tenant  string
	Timeout time.Duration // after which the client gives up
	MidFlow bool          // an established connection whose packets now arrive here
}

// AdoptedConnection is a connection that is established to Server when the balancer starts.
type AdoptedConnection struct {
	Request
	Server string
}

// PredecessorFlow tells which server holds the connection of a key that another process carried, and whose packets
// may arrive here.
type PredecessorFlow struct{ Key, Server string }

// AttemptEstablished tells that a connection is established; it ends with an AttemptEnded.
type AttemptEstablished struct {
	ID      string
	Attempt int
	Server  string
	Latency time.Duration
}

// AttemptEnded ends an attempt, also one that had been established.
type AttemptEnded struct {
	ID      string
	Attempt int
	Server  string
	Result  Result
	Final   bool // the request is closed, no further answer is owed
}

// ConnectionLoad tells the load of an established connection, which has changed.
type ConnectionLoad struct {
	ID   string
	Load float64 // work per second, in a unit that is the same for all; 0 or less if unknown
}

// MessageDelay tells how long a message now takes on the server of an established connection.
type MessageDelay struct {
	ID     string
	Server string
	Delay  time.Duration
}

// ProbeResult answers a Probe.
type ProbeResult struct {
	Server       string
	Result       Result
	Report       *LoadReport // nil if there is none
	ServerActive bool        // an established connection there returned something while the probe was pending
}

// ClientDisconnected tells that the client left. The request is closed, unless the client ended its own sending only
// (HalfClosed): then it may still read its answer, which is owed, but no attempt begins for it after DisconnectGrace.
type ClientDisconnected struct {
	ID         string
	HalfClosed bool
}

// DisconnectGrace is how long after a client has ended its sending an attempt may still begin.
const DisconnectGrace = 80 * time.Millisecond

// ConfigUpdate brings new settings, which New accepts. Requests, connections and what is known of servers stay.
type ConfigUpdate struct{ Config }

// CandidateSubset names the servers that new requests and explorers are sent to; none for all. Retries that found
// no capacity among them look at all servers, and established connections stay.
type CandidateSubset struct{ Servers []string }

// PeerReading is the load of a server as another balancer has read it.
type PeerReading struct {
	Server      string
	Load        float64
	Age         time.Duration
	Unreachable bool // its probes get no answer; Load says nothing
}

// FleetState is what this balancer knows of the others. The zero value means that nothing is known: the settings'
// figures hold.
type FleetState struct {
	BudgetDivisor    int           // balancers that divide a common limit; below 0: this one gets nothing of it
	Demand           float64       // placements per second of all of them
	ExplorationSlots int           // of all of them: this balancer goes on from there if it has had fewer
	SlotShift        time.Duration // the next exploration slot begins so much later, or earlier if negative
	StaggerOffset    float64       // its place among all, in (0, 1]
	AssignedServers  []string      // that it probes for the others as well
}

// LeaseState tells whether this balancer may place requests now, where all balancers go by one routing revision.
type LeaseState int

// The states of the lease.
const (
	LeaseActive    LeaseState = iota
	LeaseSuspended            // one revision ends and the next begins: requests wait
	LeaseExpired              // the revision in force is not known here: requests are rejected at once
)

// SaturatedLinks names the zones to which this balancer's zone has no bandwidth left, each with the last
// PriorityRank that is still sent there.
type SaturatedLinks struct{ Zones map[string]int }

// TimerFired tells that a timer is due.
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
