// Package core is the one reducer of the balancer: event and time in, effects out. It owns every
// transaction, its routed tasks, the regions and the timers, and it drives the decision module in
// policy/: what happened goes in as the module's events, and the module's actions come out as effects.
// It must never choose a region, try again or hold a transaction by itself, never touch a socket, and
// never know how a line of any protocol looks: bytes pass through it unread.
package core

import (
	"time"

	"oatloft/policy"
)

// Handle names a terminal's connection for as long as it lives; the host deals them out.
type Handle uint32

// Config is what the reducer needs to know beside the module's own settings.
type Config struct {
	Policy         policy.Config
	Seed           int64
	ConnectTimeout time.Duration // a routed task whose connection is not up by then never ran
	ProbeTimeout   time.Duration
	MaxClientTimeout    time.Duration // that a class of terminals has for its answer
	PassThrough    bool          // open connections go on elsewhere when this balancer leaves
}

// Times that the platform's rules set; the figures leave room for the way to the other side.
const (
	silentRule  = 7 * time.Second                      // rule: a connection that returns nothing from a running server is ended or moved by then
	moveMost    = time.Second                          // a terminal that is to be moved waits so long for the end of its server's line (net.moveWait)
	silentAfter = silentRule - moveMost - 2*sweepEvery // an open task that has returned no line for so long is moved ...
	unanswered  = 3 * time.Second                      // ... if one has waited for its reply for this long; terminals send every 2 s
	sweepEvery  = 250 * time.Millisecond
	delayEvery  = time.Second           // a region's message delay is told so often while it is long
	firstLineIn = 2 * time.Second       // a terminal has said what it wants by then, or is answered that it failed
	youngest    = 10 * time.Millisecond // nobody is sent off sooner: the line may be on its way
	endEarly    = 15 * time.Millisecond // the final answer leaves so long before the terminal quits
)

// Times of the calls to discovery. The protocol has a change count as told newsTold after discovery had it and could be
// reached, whatever failed in between, and an empty line come by a watch every lineEvery as long as nothing changes.
const (
	newsTold  = 6 * time.Second
	lineEvery = 2 * time.Second
	waitMost  = newsTold / 4 // the module begins the next call so long after a failed one at the latest (policy.toldAfter / 4)
	// watchOpen is how long a call that isn't answered may bring no byte. Where one began just before discovery was back, its
	// rest, the wait after it and one more call that isn't answered take three quarters of newsTold at the most.
	watchOpen = newsTold / 4
	// watchSilent is how long a watch that was answered may bring no byte: an empty line may come late by a third.
	watchSilent = lineEvery + 600*time.Millisecond
	// listSlowest is how long a list, or the answer to a call, may take to be whole while bytes come. Then the next call
	// begins beside it: a second remains for the answer to that one.
	listSlowest = newsTold - waitMost - time.Second
)

// Endpoint is a server as discovery lists it.
type Endpoint struct {
	policy.Server
	Address string
}

// CloseReason says how one side of a transaction, or a routed task, came to its end.
type CloseReason int

// The endings. TurnedAway, Erred, MovedAway and Finished are lines that a region sent.
const (
	CloseEOF CloseReason = iota // FIN
	CloseReset               // reset
	CloseRefused
	CloseRejected
	CloseFailed
	CloseMigrated
	CloseFinished
)

// Event is what the host tells the reducer.
type Event interface{ event() }

// The events.
type (
	// ConnectionAccepted is a terminal that has not said yet what it wants.
	ConnectionAccepted struct{ Client Handle }
	// DescriptorsShort tells that descriptors run short, and how many more should be free.
	DescriptorsShort struct{ Missing int }
	// CloseIdle tells that one terminal has to make room, if it has said nothing so far.
	CloseIdle struct {
		Client  Handle
		RetryAfter time.Duration // when it should come again; 0 if unknown
	}
	// RequestReceived is a terminal's first line. At names the region that held it before the run.
	RequestReceived struct {
		Client Handle
		policy.Request
		EstablishedAt string
	}
	// ClientClosed tells that a terminal closed its sending (Closed) or broke.
	ClientClosed struct {
		Client Handle
		Reason  CloseReason
	}
	// InvalidRequest tells that a terminal sent what it must not: it gets one failed answer.
	InvalidRequest struct{ Client Handle }
	// AttemptConnected tells that a routed task's connection is up, and nothing was sent on it yet.
	AttemptConnected struct {
		Client      Handle
		Attempt int
	}
	// RequestSent tells that the first line's last byte has left.
	RequestSent struct {
		Client      Handle
		Attempt int
	}
	// AttemptAccepted tells that the region took the routed task; Data is its answer, Lines what else came along.
	AttemptAccepted struct {
		Client      Handle
		Attempt int
		Payload
	}
	// AttemptClosed tells that a routed task ended.
	AttemptClosed struct {
		Client      Handle
		Attempt int
		Reason     CloseReason
	}
	// DataReceived brings bytes of an open transaction, for the other side.
	DataReceived struct {
		Client         Handle
		FromServer bool
		Payload
	}
	// BackpressureChanged tells that the way to one side is full (Full) or has room again.
	BackpressureChanged struct {
		Client       Handle
		ToServer bool
		Full     bool
	}
	// ServerDataQueued tells that what a region has sent waits here, for its turn on a link between zones: it isn't the region that is silent.
	ServerDataQueued struct{ Client Handle }
	// EndpointsListed is a list of regions, or changes to it; Whole and Cached as in policy.ListKind. Former tells
	// that it came by the watch that the latest one is to follow.
	EndpointsListed struct {
		Kind    policy.ListKind
		Version     int64
		Endpoints []Endpoint
		Malformed  []string // regions whose entries can't be read: what is held of them stays
		FromPreviousWatch  bool
	}
	// WatchDataReceived tells that bytes came by the watch which complete no list or line yet.
	WatchDataReceived struct{}
	// WatchHeartbeat tells that discovery said something, if only that nothing changed.
	WatchHeartbeat struct{}
	// WatchClosed tells that the watch broke or never came up.
	WatchClosed struct{}
	// ProbeFinished answers a Probe effect.
	ProbeFinished struct {
		Server string
		Result policy.Result
		Report *policy.LoadReport
	}
	// ConfigChanged brings new settings. Moved tells that discovery is to be asked elsewhere from now on.
	ConfigChanged struct {
		Config
		DiscoveryMoved bool
	}
	// ShutdownRequested tells that the balancer is to go (SIGTERM). Handed tells that another process takes what comes from now on.
	ShutdownRequested struct{ HandedOver bool }
	// MaintenanceSet tells that operators leave a region out (On), or take it back.
	MaintenanceSet struct {
		Server string
		On     bool
	}
	// DrainSet tells that operators drain the balancer (On), or have it take terminals again.
	DrainSet struct{ On bool }
	// PredecessorState brings what the process before has left: regions that were listed once, and by flow's key where the terminals
	// stand that come here from now on.
	PredecessorState struct {
		Servers  []string
		Flows map[string]string
	}
	// OverlappingProcesses tells how many further processes place terminals for this balancer.
	OverlappingProcesses struct{ Count int }
	// FleetEvents brings what other balancers tell, as the module's events.
	FleetEvents struct{ Events []policy.Event }
	// LeaseChanged tells whether anything new may be sent to a region now, where all balancers go by one revision.
	LeaseChanged struct{ Lease policy.LeaseState }
	// Tick lets the time pass.
	Tick struct{}
)

// Payload is a piece of a stream. It is valid during the step only. Lines counts the ends of lines other
// than notes in it, Load tells of a load note, Last what a closing line in it said (Finished or
// MovedAway, else Closed).
type Payload struct {
	Data  []byte
	Lines int
	HasLoad  bool
	Load  float64 // the load that the last note told, 0 if none
	CloseReason  CloseReason
}

func (ConnectionAccepted) event()       {}
func (DescriptorsShort) event()       {}
func (CloseIdle) event()       {}
func (RequestReceived) event()        {}
func (ClientClosed) event() {}
func (InvalidRequest) event()       {}
func (AttemptConnected) event()     {}
func (RequestSent) event()          {}
func (AttemptAccepted) event()            {}
func (AttemptClosed) event()     {}
func (DataReceived) event()        {}
func (BackpressureChanged) event()          {}
func (ServerDataQueued) event()      {}
func (EndpointsListed) event()        {}
func (WatchDataReceived) event()    {}
func (WatchHeartbeat) event()    {}
func (WatchClosed) event()    {}
func (ProbeFinished) event()        {}
func (ConfigChanged) event()  {}
func (ShutdownRequested) event()         {}
func (MaintenanceSet) event()      {}
func (DrainSet) event()       {}
func (PredecessorState) event()          {}
func (OverlappingProcesses) event()        {}
func (FleetEvents) event()    {}
func (LeaseChanged) event()     {}
func (Tick) event()          {}

// Effect is what the host has to carry out, in order.
type Effect interface{ effect() }

// The effects.
type (
	// Dial opens a routed task's connection. The one before it is closed already.
	Dial struct {
		Client      Handle
		Attempt int
		Server  string
		Address    string
		Timeout time.Duration // when the dialing stops by itself, should the reducer not stop it before
	}
	// SendRequest passes the first line on, telling the time left.
	SendRequest struct {
		Client      Handle
		Attempt int
		TimeLeft    time.Duration
	}
	// CloseAttempt closes a routed task's connection, or stops its dialing.
	CloseAttempt struct {
		Client      Handle
		Attempt int
		Reason     string // for counting
	}
	// Answer is the final answer that is not a region's: short on capacity, or failed.
	Answer struct {
		Client    Handle
		Rejected bool
		RetryAfter time.Duration
		Reason   string // for counting
	}
	// Forward writes bytes to one side of an open transaction.
	Forward struct {
		Client       Handle
		ToServer bool
		Data     []byte
	}
	// PauseReading stops (On) or goes on with the reading of one side.
	PauseReading struct {
		Client       Handle
		OfServer bool
		On       bool
	}
	// CloseServer and EndTerminal pass an ending on, after what is buffered if it was Closed.
	CloseServer struct {
		Client  Handle
		Reason CloseReason
	}
	CloseClient struct {
		Client  Handle
		Reason CloseReason
	}
	// MigrateClient sends the terminal away between two lines and closes both sides.
	MigrateClient struct {
		Client  Handle
		Reason string // for counting
	}
	// Probe asks a region for its load report.
	Probe struct {
		Server  string
		Address    string
		Timeout time.Duration
	}
	// ForgetServer lets go of what is kept for a region that is gone.
	ForgetServer struct{ Server string }
	// Watch asks discovery for all changes after Seq; an earlier watch goes on until this one has answered.
	Watch struct{ Version int64 }
	// StopWatch ends the watch.
	StopWatch struct{}
	// Exit ends the program, once the last answers have left, and at the time By at the latest. Nobody is taken in any more.
	Exit struct{ Deadline time.Duration }
)

func (Dial) effect()         {}
func (SendRequest) effect()     {}
func (CloseAttempt) effect()     {}
func (Answer) effect()       {}
func (Forward) effect()         {}
func (PauseReading) effect()         {}
func (CloseServer) effect()    {}
func (CloseClient) effect()  {}
func (MigrateClient) effect() {}
func (Probe) effect()        {}
func (ForgetServer) effect() {}
func (Watch) effect()        {}
func (StopWatch) effect()      {}
func (Exit) effect()         {}
