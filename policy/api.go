// Package policy makes the decisions of a balancer for long-lived connections.
//
// A Balancer is one deterministic state machine: the host feeds it one Event at a time with the
// current time and carries out the Actions it appends. It does no I/O, starts no goroutine, reads no
// clock and shares nothing; its random choices follow from the seed. This file declares every type of
// that conversation, policy.go holds every decision.
package policy

import (
	"fmt"
	"time"
)

// Idempotency says what may happen when a request of a class is sent more than once.
type Idempotency int

// The three kinds of effect.
const (
	Idempotent   Idempotency = iota // repeats do no harm
	IdempotentByKey                // repeats are dropped by the servers of one Scope, for the class's KeyTTL
	NotIdempotent               // never repeated unless every earlier attempt is known not to have run
)

// KeyScope names the servers that drop each other's repeats of a keyed request.
type KeyScope int

// The scopes of a keyed class.
const (
	KeyScopeAll KeyScope = iota
	KeyScopeZone
	KeyScopeCell
)

// Class holds the settings of one class of requests.
type Class struct {
	Name       string
	LatencyObjective        time.Duration // a connection should stand within this time
	MessageLatencyObjective time.Duration // messages on an open connection should take no longer; 0 if unknown
	Idempotency     Idempotency
	KeyScope      KeyScope
	KeyTTL     time.Duration // how long repeats of a keyed request are remembered
	PriorityRank      int           // of worth, 1 first: the last give way first where room is scarce; 0 for none
	MaxAttempts   int           // at most, if less than MaxAttempts; 0 for no bound of its own
}

// Tenant holds one tenant's share of the service.
type Tenant struct {
	Name        string
	ConnectionQuota float64 // open connections over all balancers within its share; 0 for no limit
}

// Config holds the settings of a balancer. New checks it.
type Config struct {
	Zone      string // the balancer's own zone
	Balancers int    // balancers in the fleet, this one included
	Classes   []Class
	Tenants   []Tenant
	TimerResolution      time.Duration // smallest useful timer

	MaxAttempts    int
	ProbesEnabled         bool          // Probe actions are allowed
	OverlappingProcesses         int           // further processes that place for this balancer, in an upgrade
	MaxRetryAfter  time.Duration // of a Refuse; 0 where clients are told none
	PollEndpointList       bool          // list changes come only to a subscriber
	PollInterval      time.Duration // an unsubscribed balancer has to ask again within this time
	CrossZoneCost float64       // price of one crossing of zones, as a part of a request's worth

	WarmUpInitialCapacity    float64       // a starting server can do at least this part of its capacity
	WarmUpDuration     time.Duration // and everything after this time
	OverloadMultiple float64       // it falls over when sent more than this multiple of its present capacity
	OverloadWindow     time.Duration // for this time
	WarmUpBudgetShare     float64       // part of that bound that balancers use; 0 for the usual one

	RetryRatio float64            // further attempts at most, as a part of requests; 0 for no bound
	MaxPendingAttempts  int                // set-ups under way at most; 0 for the usual bound
	Weights map[string]float64 // of servers by id, of zones by "zone/" and name; 0: nothing new goes there; 1 if not named
	MigrationsPerSecond   float64            // connections a second that leave a server of weight 0; 0: they stay

	ExplorationDecay    float64 // exponent of the exploration's decay, within [0.5, 1]
	MaxExploration float64 // cap of the exploration probability, within (0, 0.5]
}

// ConfigError is a setting with which no decision can be made.
type ConfigError struct{ Reason string }

func (e *ConfigError) Error() string { return "policy settings: " + e.Reason }

// Advice is what an operator can do (advice.Giver).
func (e *ConfigError) Advice() string {
	return "mend the platform's settings, or the revision in force, and start or reload"
}

// check names the first setting that cannot work.
func (c Config) check() error {
	times := min(c.TimerResolution, c.PollInterval, c.WarmUpDuration, c.OverloadWindow, c.MaxRetryAfter)
	for _, k := range c.Classes {
		if times = min(times, k.KeyTTL, k.MessageLatencyObjective); k.LatencyObjective <= 0 {
			return &ConfigError{fmt.Sprintf("class %q: no aim", k.Name)}
		}
	}
	for _, wrong := range []struct {
		is   bool
		what string
	}{
		{len(c.Classes) == 0, "no classes"},
		{times < 0, "a negative time"},
		{!(c.ExplorationDecay >= 0.5 && c.ExplorationDecay <= 1), fmt.Sprintf("beta %v is outside [0.5, 1]", c.ExplorationDecay)},
		{!(c.MaxExploration > 0 && c.MaxExploration <= 0.5), fmt.Sprintf("exploration cap %v is outside (0, 0.5]", c.MaxExploration)},
		{c.Balancers < 1, fmt.Sprintf("%d balancers", c.Balancers)},
		{c.MaxAttempts < 1, fmt.Sprintf("%d attempts allowed", c.MaxAttempts)},
		{!(c.WarmUpInitialCapacity >= 0 && c.WarmUpInitialCapacity <= 1), fmt.Sprintf("cold share %v is outside [0, 1]", c.WarmUpInitialCapacity)},
		{!(c.OverloadMultiple >= 0), fmt.Sprintf("fall multiple %v", c.OverloadMultiple)},
		{!(c.WarmUpBudgetShare >= 0 && c.WarmUpBudgetShare <= 1), fmt.Sprintf("part %v of the cold bound is outside [0, 1]", c.WarmUpBudgetShare)},
		{!(min(c.RetryRatio, c.MigrationsPerSecond, float64(c.MaxPendingAttempts)) >= 0), "a negative budget"},
		{!(c.CrossZoneCost >= 0), fmt.Sprintf("price of crossing zones %v", c.CrossZoneCost)},
		{c.PollEndpointList && c.PollInterval == 0, "a list to be asked for, but no time to ask within"},
	} {
		if wrong.is {
			return &ConfigError{wrong.what}
		}
	}
	return nil
}

// Server is one entry of the server list.
type Server struct {
	ID      string
	Zone    string
	Cell    int
	State   ServerState
	Weight  float64       // registered size, only comparable with other servers' figures
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

// The kinds of server list.
const (
	ListDelta  ListKind = iota // only what changed
	ListFull                   // all servers; those missing are gone
	ListCached                 // all servers as last known, maybe old
	ListFailed                 // the subscription failed or broke; the old list stands
)

// LoadReport is a server's load report. Figures that it lacks are negative.
type LoadReport struct {
	Load     float64 // load asked for over what the server can do
	Utilization     float64 // share of its cores at work
	InFlight float64 // requests it holds
	BacklogSeconds  float64 // seconds of work piled up
}

// Result tells how an attempt or a probe ended.
type Result int

// The results. Full, Unreachable and Skipped prove that the request never ran.
const (
	ResultOK Result = iota
	ResultFailed
	ResultRejected
	ResultTimedOut
	ResultUnreachable
	ResultReset
	ResultCanceled
	ResultSkipped
)

// MayHaveRun reports whether an attempt with this result may have taken effect.
func (r Result) MayHaveRun() bool { return r != ResultRejected && r != ResultUnreachable && r != ResultSkipped }

// Event is something that happened to the balancer: one of the types below.
type Event interface{ event() }

// ServerList brings what discovery knows of the servers.
type ServerList struct {
	Kind    ListKind
	Servers []Server
}

// Request is a client's request for a connection. The balancer owes it one final answer.
type Request struct {
	ID       string
	Key      string // same for every try of one client; may be empty
	Group    string // connections of one group share work; may be empty
	Class    string
	Tenant   string
	Timeout time.Duration // the client gives up after this
	MidFlow  bool          // an open connection whose packets now come this way
}

// AdoptedConnection is a connection that already stands on Server when the balancer starts.
type AdoptedConnection struct {
	Request
	Server string
}

// PredecessorFlow tells which server holds the connection of a key, whose packets may come here in mid-flow.
type PredecessorFlow struct{ Key, Server string }

// AttemptEstablished tells that the connection stands; it ends with an Outcome.
type AttemptEstablished struct {
	ID      string
	Attempt int
	Server  string
	Latency time.Duration
}

// AttemptEnded ends an attempt.
type AttemptEnded struct {
	ID      string
	Attempt int
	Server  string
	Result  Result
	Final   bool // the request is closed, nothing more is owed
}

// ConnectionLoad tells the load of an open connection, which has changed, and so that its server is alive.
type ConnectionLoad struct {
	ID   string
	Load float64 // work a second, in a unit that is the same for all; 0 or less if unknown
}

// MessageDelay tells how long a message now takes on the server of an open connection.
type MessageDelay struct {
	ID     string
	Server string
	Delay  time.Duration
}

// ProbeResult answers a Probe.
type ProbeResult struct {
	Server string
	Result Result
	Report *LoadReport
	ServerActive  bool // an open connection there returned something while the probe was out
}

// ClientDisconnected tells that the client left. The request is closed, unless the client ended its own sending only
// (HalfClosed): then it may still read its answer, which is owed, but no attempt begins for it after LeaveGrace.
type ClientDisconnected struct {
	ID         string
	HalfClosed bool
}

// DisconnectGrace is how long after a client has ended its sending an attempt may still begin.
const DisconnectGrace = 80 * time.Millisecond

// ConfigUpdate brings new settings: what is held, known and open stays. New has found them good.
type ConfigUpdate struct{ Config }

// CandidateSubset names the servers that newcomers and explorers are sent to; none for all. Plans and what stands go on.
type CandidateSubset struct{ Servers []string }

// PeerReading is a reading of a server that other balancers made.
type PeerReading struct {
	Server string
	Load      float64
	Age    time.Duration
	Unreachable   bool // they get no answer; X says nothing
}

// FleetState is what this balancer knows of the others. All 0 is nothing: the settings' figures hold.
type FleetState struct {
	BudgetSharers int           // balancers that share what is bounded in sum; below 0: this one is to take none of it
	Demand  float64       // choices a second of all of them
	ExplorationSlots   int           // explore slots to go on from, if it has had fewer
	SlotShift   time.Duration // the next slot begins so much later, or earlier if negative
	StaggerOffset    float64       // its place among all, in (0, 1]
	AssignedServers    []string      // servers that it reads for the others as well
}

// LeaseState tells whether this balancer may place anything now, where all balancers go by one revision.
type LeaseState int

// The permits.
const (
	LeaseActive     LeaseState = iota
	LeaseSuspended        // one revision ends and the next begins: what comes waits
	LeaseExpired         // what holds is not known here: what comes is refused at once
)

// SaturatedLinks names the zones that a full link joins with this balancer's, and the last order of classes that still gets there.
type SaturatedLinks struct{ Zones map[string]int }

// TimerFired is a timer that is due.
type TimerFired struct{ Token string }

func (ServerList) event()  {}
func (Request) event()     {}
func (AdoptedConnection) event()     {}
func (PredecessorFlow) event()      {}
func (AttemptEstablished) event() {}
func (AttemptEnded) event()     {}
func (ConnectionLoad) event()  {}
func (MessageDelay) event()       {}
func (ProbeResult) event() {}
func (ClientDisconnected) event()  {}
func (ConfigUpdate) event()    {}
func (CandidateSubset) event()  {}
func (PeerReading) event()       {}
func (FleetState) event()       {}
func (LeaseState) event()      {}
func (SaturatedLinks) event()   {}
func (TimerFired) event()        {}

// Action is something the host has to do: one of the types below.
type Action interface{ action() }

// Send starts the next attempt of a request; attempts count from 0.
type Send struct {
	ID     string
	Server string
	TimeoutAt  time.Duration // the attempt's time-out on the balancer's clock; 0 for the client's patience
}

// Reject is the final answer that trying again is harmless.
type Reject struct {
	ID         string
	RetryAfter time.Duration // 0 for no advice
	Reason        string        // for counting: a word, see why
}

// Fail is the final answer that promises nothing.
type Fail struct{ ID, Reason string }

// Migrate ends an open connection politely; its client comes again as a new Request.
type Migrate struct{ ID, Reason string }

// Probe asks a server for its load report; a ProbeResult follows.
type Probe struct{ Server string }

// Subscribe asks discovery for the list and its changes from now on.
type Subscribe struct{}

// SetTimer asks for a Wake with the token.
type SetTimer struct {
	Token string
	After time.Duration
}

func (Send) action()      {}
func (Reject) action()    {}
func (Fail) action()      {}
func (Migrate) action()      {}
func (Probe) action()     {}
func (Subscribe) action() {}
func (SetTimer) action()  {}
