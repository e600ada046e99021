package core

import (
	"time"

	"oatloft/policy"
)

// Endpoint is a server's entry in the discovery list, with the address to dial.
type Endpoint struct {
	policy.Server
	Address string
}

// CloseReason is why one side of a connection, or an attempt, was closed.
type CloseReason int

// The close reasons. Those from CloseRejected to CloseFinished stand for closing lines sent by a server.
const (
	CloseEOF            CloseReason = iota // the side closed its sending direction
	CloseReset                             // the connection was reset
	CloseRefused                           // the connection could not be established
	CloseRejected                          // the server rejected the request for lack of capacity
	CloseFailed                            // the server failed the request
	CloseMigrated                          // the server asked the client to reconnect elsewhere
	CloseFinished                          // the connection ended normally
	CloseUnfinishedLine                    // reset, since the server did not end its line in time for a migration
)

// Payload is a chunk of a stream. Data is only valid during the step.
type Payload struct {
	Data        []byte
	Lines       int         // line ends in Data, not counting load notes
	HasLoad     bool        // Data contains a note of the connection's load
	Load        float64     // value of the last such note; 0 if it has none
	InsideLine  bool        // Data ends inside a line; only set for data of a server
	CloseReason CloseReason // CloseFinished or CloseMigrated if Data ends with a closing line, otherwise CloseEOF
}

// Event is an input from the host to the reducer: one of the types below.
type Event interface{ event() }

// Events of clients.
type (
	// ConnectionAccepted reports a new client, which has sent no request yet.
	ConnectionAccepted struct{ Client Handle }
	// DescriptorsScarce reports that file descriptors run short, and how many more should be free.
	DescriptorsScarce struct{ Missing int }
	// CloseIdle requests that one client be closed if it has sent no request so far.
	CloseIdle struct {
		Client     Handle
		RetryAfter time.Duration // when it should reconnect; 0 if unknown
	}
	// RequestReceived reports a client's request.
	RequestReceived struct {
		Client Handle
		policy.Request
		EstablishedServer string // server of a connection from before this process; "" for a new request
	}
	// ClientClosed reports that a client closed its sending direction (CloseEOF) or that its connection broke.
	ClientClosed struct {
		Client Handle
		Reason CloseReason
	}
	// InvalidRequest reports that a client violated the protocol. It is answered as failed, once.
	InvalidRequest struct{ Client Handle }
	// DataReceived delivers bytes that one side of an established connection sent to the other.
	DataReceived struct {
		Client     Handle
		FromServer bool
		Payload
	}
	// BackpressureChanged reports that the send buffer towards one side is full, or has capacity again.
	BackpressureChanged struct {
		Client   Handle
		ToServer bool
		Full     bool
	}
	// ServerDataQueued reports that a server's data is queued here for capacity on a link between zones: the server
	// is not silent.
	ServerDataQueued struct{ Client Handle }
)

// Events of attempts. They are ignored unless Attempt is the request's current attempt.
type (
	// AttemptConnected reports that an attempt's connection is established, and nothing was sent on it yet.
	AttemptConnected struct {
		Client  Handle
		Attempt int
	}
	// SentByOtherProcess reports, in place of AttemptConnected, that another process of this balancer has sent a request
	// with the same id.
	SentByOtherProcess struct{ Client Handle }
	// RequestSent reports that the last byte of the request was sent.
	RequestSent struct {
		Client  Handle
		Attempt int
	}
	// AttemptAccepted reports that the server accepted the request. The payload is its answer and any data that
	// arrived with it.
	AttemptAccepted struct {
		Client  Handle
		Attempt int
		Payload
	}
	// AttemptClosed reports that the attempt's connection was closed, or could not be established.
	AttemptClosed struct {
		Client  Handle
		Attempt int
		Reason  CloseReason
	}
	// ProbeFinished reports the result of a Probe effect.
	ProbeFinished struct {
		Server string
		Result policy.Result
		Report *policy.LoadReport // nil if there is none
	}
)

// Events of discovery.
type (
	// EndpointsListed delivers an endpoint list, or changes to it.
	EndpointsListed struct {
		Kind              policy.ListKind
		Version           int64
		Endpoints         []Endpoint
		Malformed         []string // servers with unreadable entries: their current entries stay
		FromPreviousWatch bool     // it came from the watch that the latest one is to replace
	}
	// WatchDataReceived reports bytes from the watch that do not complete a list or line yet.
	WatchDataReceived struct{}
	// WatchHeartbeat reports that discovery sent an empty line: nothing has changed.
	WatchHeartbeat struct{}
	// WatchClosed reports that the watch broke or could not be established.
	WatchClosed struct{}
)

// Events of operators, other processes and other balancers.
type (
	// ConfigChanged delivers new settings.
	ConfigChanged struct {
		Config
		DiscoveryMoved bool // discovery has a new address
	}
	// ShutdownRequested reports that the balancer is to shut down (SIGTERM).
	ShutdownRequested struct{ HandedOver bool } // another process accepts new connections from now on
	// MaintenanceSet reports that operators put a server into maintenance (On) or end it.
	MaintenanceSet struct {
		Server string
		On     bool
	}
	// DrainSet reports that operators drain the balancer (On) or end the drain.
	DrainSet struct{ On bool }
	// PredecessorState delivers the state left by an earlier process of this balancer.
	PredecessorState struct {
		Servers []string          // listed by discovery at some time
		Flows   map[string]string // server by flow key, for flows that may arrive here from now on
	}
	// OverlappingProcesses reports how many other processes of this balancer place requests.
	OverlappingProcesses struct{ Count int }
	// FleetEvents delivers reports of other balancers, as events for the module.
	FleetEvents struct{ Events []policy.Event }
	// LeaseChanged reports whether new requests may be sent to servers now, where all balancers follow one routing
	// revision.
	LeaseChanged struct{ Lease policy.LeaseState }
	// Tick advances the time.
	Tick struct{}
)

func (ConnectionAccepted) event()   {}
func (DescriptorsScarce) event()    {}
func (CloseIdle) event()            {}
func (RequestReceived) event()      {}
func (ClientClosed) event()         {}
func (InvalidRequest) event()       {}
func (DataReceived) event()         {}
func (BackpressureChanged) event()  {}
func (ServerDataQueued) event()     {}
func (AttemptConnected) event()     {}
func (SentByOtherProcess) event()   {}
func (RequestSent) event()          {}
func (AttemptAccepted) event()      {}
func (AttemptClosed) event()        {}
func (ProbeFinished) event()        {}
func (EndpointsListed) event()      {}
func (WatchDataReceived) event()    {}
func (WatchHeartbeat) event()       {}
func (WatchClosed) event()          {}
func (ConfigChanged) event()        {}
func (ShutdownRequested) event()    {}
func (MaintenanceSet) event()       {}
func (DrainSet) event()             {}
func (PredecessorState) event()     {}
func (OverlappingProcesses) event() {}
func (FleetEvents) event()          {}
func (LeaseChanged) event()         {}
func (Tick) event()                 {}
