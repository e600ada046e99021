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
	LongestWait    time.Duration // that a class of terminals has for its answer
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

// Region is a server as discovery lists it.
type Region struct {
	policy.Server
	Dial string
}

// Ending says how one side of a transaction, or a routed task, came to its end.
type Ending int

// The endings. TurnedAway, Erred, MovedAway and Finished are lines that a region sent.
const (
	Closed Ending = iota // FIN
	Broken               // reset
	Refused
	TurnedAway
	Erred
	MovedAway
	Finished
)

// Event is what the host tells the reducer.
type Event interface{ event() }

// The events.
type (
	// Arrived is a terminal that has not said yet what it wants.
	Arrived struct{ From Handle }
	// Crowded tells that descriptors run short, and how many more should be free.
	Crowded struct{ By int }
	// SendOff tells that one terminal has to make room, if it has said nothing so far.
	SendOff struct {
		From  Handle
		After time.Duration // when it should come again; 0 if unknown
	}
	// Opened is a terminal's first line. At names the region that held it before the run.
	Opened struct {
		From Handle
		policy.Request
		At string
	}
	// TerminalEnded tells that a terminal closed its sending (Closed) or broke.
	TerminalEnded struct {
		From Handle
		How  Ending
	}
	// Invalid tells that a terminal sent what it must not: it gets one failed answer.
	Invalid struct{ From Handle }
	// Connected tells that a routed task's connection is up, and nothing was sent on it yet.
	Connected struct {
		Of      Handle
		Attempt int
	}
	// Sent tells that the first line's last byte has left.
	Sent struct {
		Of      Handle
		Attempt int
	}
	// Up tells that the region took the routed task; Data is its answer, Lines what else came along.
	Up struct {
		Of      Handle
		Attempt int
		Bytes
	}
	// TaskEnded tells that a routed task ended.
	TaskEnded struct {
		Of      Handle
		Attempt int
		How     Ending
	}
	// Passed brings bytes of an open transaction, for the other side.
	Passed struct {
		Of         Handle
		FromRegion bool
		Bytes
	}
	// Flow tells that the way to one side is full (Full) or has room again.
	Flow struct {
		Of       Handle
		ToRegion bool
		Full     bool
	}
	// HeldBack tells that what a region has sent waits here, for its turn on a link between zones: it isn't the region that is silent.
	HeldBack struct{ Of Handle }
	// Listed is a list of regions, or changes to it; Whole and Cached as in policy.ListKind. Former tells
	// that it came by the watch that the latest one is to follow.
	Listed struct {
		Kind    policy.ListKind
		Seq     int64
		Regions []Region
		Unread  []string // regions whose entries can't be read: what is held of them stays
		Former  bool
	}
	// WatchPiece tells that bytes came by the watch which complete no list or line yet.
	WatchPiece struct{}
	// WatchAlive tells that discovery said something, if only that nothing changed.
	WatchAlive struct{}
	// WatchEnded tells that the watch broke or never came up.
	WatchEnded struct{}
	// Probed answers a Probe effect.
	Probed struct {
		Region string
		Result policy.Result
		Report *policy.LoadReport
	}
	// Reconfigured brings new settings. Moved tells that discovery is to be asked elsewhere from now on.
	Reconfigured struct {
		Config
		Moved bool
	}
	// Leave tells that the balancer is to go (SIGTERM). Handed tells that another process takes what comes from now on.
	Leave struct{ Handed bool }
	// Maintain tells that operators leave a region out (On), or take it back.
	Maintain struct {
		Region string
		On     bool
	}
	// Standby tells that operators drain the balancer (On), or have it take terminals again.
	Standby struct{ On bool }
	// Left brings what the process before has left: regions that were listed once, and by flow's key where the terminals
	// stand that come here from now on.
	Left struct {
		Regions  []string
		Standing map[string]string
	}
	// Beside tells how many further processes place terminals for this balancer.
	Beside struct{ Others int }
	// FromOthers brings what other balancers tell, as the module's events.
	FromOthers struct{ Events []policy.Event }
	// Permitted tells whether anything new may be sent to a region now, where all balancers go by one revision.
	Permitted struct{ Permit policy.LeaseState }
	// Tick lets the time pass.
	Tick struct{}
)

// Bytes is a piece of a stream. It is valid during the step only. Lines counts the ends of lines other
// than notes in it, Load tells of a load note, Last what a closing line in it said (Finished or
// MovedAway, else Closed).
type Bytes struct {
	Data  []byte
	Lines int
	Load  bool
	Told  float64 // the load that the last note told, 0 if none
	Last  Ending
}

func (Arrived) event()       {}
func (Crowded) event()       {}
func (SendOff) event()       {}
func (Opened) event()        {}
func (TerminalEnded) event() {}
func (Invalid) event()       {}
func (Connected) event()     {}
func (Sent) event()          {}
func (Up) event()            {}
func (TaskEnded) event()     {}
func (Passed) event()        {}
func (Flow) event()          {}
func (HeldBack) event()      {}
func (Listed) event()        {}
func (WatchPiece) event()    {}
func (WatchAlive) event()    {}
func (WatchEnded) event()    {}
func (Probed) event()        {}
func (Reconfigured) event()  {}
func (Leave) event()         {}
func (Maintain) event()      {}
func (Standby) event()       {}
func (Left) event()          {}
func (Beside) event()        {}
func (FromOthers) event()    {}
func (Permitted) event()     {}
func (Tick) event()          {}

// Effect is what the host has to carry out, in order.
type Effect interface{ effect() }

// The effects.
type (
	// Dial opens a routed task's connection. The one before it is closed already.
	Dial struct {
		Of      Handle
		Attempt int
		Region  string
		Addr    string
		Timeout time.Duration // when the dialing stops by itself, should the reducer not stop it before
	}
	// SendLine passes the first line on, telling the time left.
	SendLine struct {
		Of      Handle
		Attempt int
		Left    time.Duration
	}
	// DropTask closes a routed task's connection, or stops its dialing.
	DropTask struct {
		Of      Handle
		Attempt int
		Why     string // for counting
	}
	// Answer is the final answer that is not a region's: short on capacity, or failed.
	Answer struct {
		To    Handle
		Short bool
		After time.Duration
		Why   string // for counting
	}
	// Pass writes bytes to one side of an open transaction.
	Pass struct {
		Of       Handle
		ToRegion bool
		Data     []byte
	}
	// Hold stops (On) or goes on with the reading of one side.
	Hold struct {
		Of       Handle
		OfRegion bool
		On       bool
	}
	// EndRegion and EndTerminal pass an ending on, after what is buffered if it was Closed.
	EndRegion struct {
		Of  Handle
		How Ending
	}
	EndTerminal struct {
		Of  Handle
		How Ending
	}
	// MoveTerminal sends the terminal away between two lines and closes both sides.
	MoveTerminal struct {
		Of  Handle
		Why string // for counting
	}
	// Probe asks a region for its load report.
	Probe struct {
		Region  string
		Addr    string
		Timeout time.Duration
	}
	// ForgetRegion lets go of what is kept for a region that is gone.
	ForgetRegion struct{ Region string }
	// Watch asks discovery for all changes after Seq; an earlier watch goes on until this one has answered.
	Watch struct{ Seq int64 }
	// Unwatch ends the watch.
	Unwatch struct{}
	// Exit ends the program, once the last answers have left, and at the time By at the latest. Nobody is taken in any more.
	Exit struct{ By time.Duration }
)

func (Dial) effect()         {}
func (SendLine) effect()     {}
func (DropTask) effect()     {}
func (Answer) effect()       {}
func (Pass) effect()         {}
func (Hold) effect()         {}
func (EndRegion) effect()    {}
func (EndTerminal) effect()  {}
func (MoveTerminal) effect() {}
func (Probe) effect()        {}
func (ForgetRegion) effect() {}
func (Watch) effect()        {}
func (Unwatch) effect()      {}
func (Exit) effect()         {}
