package core

import (
	"time"

	"oatloft/policy"
)

// Endpoint is a server as discovery lists it, with the address to dial.
type Endpoint struct {
	policy.Server
	Address string
}

// CloseReason says how one side of a connection, or an attempt, came to its end.
type CloseReason int

// The close reasons. The last four are closing lines that a server sent.
const (
	CloseEOF     CloseReason = iota // the side closed its sending
	CloseReset                      // the connection broke
	CloseRefused                    // the connection never came up
	CloseRejected
	CloseFailed
	CloseMigrated
	CloseFinished
)

// Payload is a piece of a stream. Data is valid during the step only.
type Payload struct {
	Data        []byte
	Lines       int         // ends of lines in Data, other than notes
	HasLoad     bool        // Data holds a note of the connection's load
	Load        float64     // of the last such note; 0 if it tells none
	CloseReason CloseReason // of a closing line in Data: CloseFinished or CloseMigrated, otherwise CloseEOF
}

// Event is what the host tells the reducer: one of the types below.
type Event interface{ event() }

// Events of clients.
type (
	// ConnectionAccepted is a client that has sent no request yet.
	ConnectionAccepted struct{ Client Handle }
	// DescriptorsScarce tells that descriptors run short, and how many more should be free.
	DescriptorsScarce struct{ Missing int }
	// CloseIdle closes one client if it has sent no request so far.
	CloseIdle struct {
		Client     Handle
		RetryAfter time.Duration // when it should come again; 0 if unknown
	}
	// RequestReceived is a client's request.
	RequestReceived struct {
		Client Handle
		policy.Request
		EstablishedAt string // the server that held its connection before the day began; "" for a new request
	}
	// ClientClosed tells that a client closed its sending (CloseEOF) or broke.
	ClientClosed struct {
		Client Handle
		Reason CloseReason
	}
	// InvalidRequest tells that a client sent what it must not: it gets one failed answer.
	InvalidRequest struct{ Client Handle }
	// DataReceived brings bytes of an established connection, for the other side.
	DataReceived struct {
		Client     Handle
		FromServer bool
		Payload
	}
	// BackpressureChanged tells that the way to one side is full, or has room again.
	BackpressureChanged struct {
		Client   Handle
		ToServer bool
		Full     bool
	}
	// ServerDataQueued tells that data of a server waits here for its turn on a link between zones: the server is not
	// silent.
	ServerDataQueued struct{ Client Handle }
)

// Events of attempts. They concern the attempt of that number only.
type (
	// AttemptConnected tells that an attempt's connection is up, and nothing was sent on it yet.
	AttemptConnected struct {
		Client  Handle
		Attempt int
	}
	// RequestSent tells that the request's last byte has left.
	RequestSent struct {
		Client  Handle
		Attempt int
	}
	// AttemptAccepted tells that the server took the request; the payload is its answer with what else came along.
	AttemptAccepted struct {
		Client  Handle
		Attempt int
		Payload
	}
	// AttemptClosed tells that the attempt's connection ended, or never came up.
	AttemptClosed struct {
		Client  Handle
		Attempt int
		Reason  CloseReason
	}
	// ProbeFinished answers a Probe effect.
	ProbeFinished struct {
		Server string
		Result policy.Result
		Report *policy.LoadReport // nil if there is none
	}
)

// Events of discovery.
type (
	// EndpointsListed is an endpoint list, or changes to it.
	EndpointsListed struct {
		Kind              policy.ListKind
		Version           int64
		Endpoints         []Endpoint
		Malformed         []string // servers whose entries cannot be read: what is held of them stays
		FromPreviousWatch bool     // it came by the watch that the latest one is to follow
	}
	// WatchDataReceived tells that bytes came by the watch which complete no list or line yet.
	WatchDataReceived struct{}
	// WatchHeartbeat tells that discovery said that nothing has changed.
	WatchHeartbeat struct{}
	// WatchClosed tells that the watch broke or never came up.
	WatchClosed struct{}
)

// Events of operators, other processes and other balancers.
type (
	// ConfigChanged brings new settings.
	ConfigChanged struct {
		Config
		DiscoveryMoved bool // discovery has another address from now on
	}
	// ShutdownRequested tells that the balancer is to leave (SIGTERM).
	ShutdownRequested struct{ HandedOver bool } // another process takes new connections from now on
	// MaintenanceSet tells that operators take a server out, or back.
	MaintenanceSet struct {
		Server string
		On     bool
	}
	// DrainSet tells that operators drain the balancer, or have it take clients again.
	DrainSet struct{ On bool }
	// PredecessorState brings what an earlier process has left.
	PredecessorState struct {
		Servers []string          // that were listed at some time
		Flows   map[string]string // server by the key of a flow that arrives here from now on
	}
	// OverlappingProcesses tells how many further processes place requests for this balancer.
	OverlappingProcesses struct{ Count int }
	// FleetEvents brings what other balancers tell, as the module's events.
	FleetEvents struct{ Events []policy.Event }
	// LeaseChanged tells whether new requests may be sent to servers now, where all balancers go by one routing
	// revision.
	LeaseChanged struct{ Lease policy.LeaseState }
	// Tick lets the time pass.
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
