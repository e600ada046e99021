// Package membership tells balancers of each other: who is there, and the signals that each spreads. It is a SWIM membership
// with Lifeguard's care for a slow self: probes in turn, probes by way of others, suspicions that the suspect can
// refute, and news that ride on every packet.
//
// Machine is the pure part: an event and the time in, effects out, no socket, clock or goroutine. Host (host.go) gives
// it a UDP socket and a goroutine of its own, beside the data's. It must never decide anything about terminals or
// regions, and never stand in the way of the goroutine that does: that one reads a View and leaves signals, both at once.
//
// Clocks of members are never compared: only ages travel, and a generation is only compared with others of its name.
package membership

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"oatloft/internal/hint"
)

// State is what is held of a member, the order that of what wins at one generation and incarnation.
type State uint8

// The states. Leaving is said by a member itself, Suspect and Gone by others, who it can refute.
const (
	Alive State = iota
	Leaving
	Suspect
	Gone
)

func (s State) String() string {
	return [...]string{"alive", "leaving", "suspect", "gone"}[min(s, Gone)]
}

// Record is what is told of a member. Generation is new at each start of it, Incarnation grows as it refutes.
type Record struct {
	Name        string
	Addr        string
	Generation  uint64
	Incarnation uint32
	State       State
}

// newer tells that r says more than o of the same member. Two of one generation and incarnation and state differ in
// nothing that counts, unless a name is used twice: then the address decides, so that all hold the same.
func (r Record) newer(o Record) bool {
	return cmp.Or(cmp.Compare(r.Generation, o.Generation), cmp.Compare(r.Incarnation, o.Incarnation),
		cmp.Compare(r.State, o.State), cmp.Compare(r.Addr, o.Addr)) > 0
}

// SignalRecord is a signal as it travels: AgeMS is how long ago its owner gave it, counted by those who passed it on.
type SignalRecord struct {
	Owner      string
	Generation uint64
	Key        string
	Version    uint64 // of all signals of the owner's generation
	AgeMS      uint32
	LifeMS     uint32
	Value      []byte
}

// Kind is what a message wants.
type Kind uint8

// The kinds of message. A Ping names who it is for: an address can have another owner by now.
const (
	Ping Kind = iota
	Ack
	PingBy // ping Target for me
	Nack   // Target did not answer me either
	Sync   // tell me all
	Tell   // some of all, or news
	kinds
)

// Message is a datagram. Its head says who sent it, which counts as a record of the sender.
type Message struct {
	Form    uint8
	Cluster string
	From    Record
	Kind    Kind
	Seq     uint32
	Target  string
	Last    bool // of the messages that answer a Sync
	Members []Record
	Signals []SignalRecord
}

// Config is what a member is told.
type Config struct {
	Cluster string
	Name    string
	Addr    string // where the others reach it
	Join    []string
	Reach   map[string]string // where to send to a member in place of its own address, by name

	// SilentAfter is how long a member may be silent until it is held to be gone; the other times follow from it.
	SilentAfter time.Duration
	MaxMembers  int
	SignalBytes int // of one member's signals, keys included
	Generation  uint64
	Seed        uint64
}

// Unfit is a setting of the members' part that can't work.
type Unfit struct{ hint.Annotated }

// Check names the first field that can't work.
func (c Config) Check() error {
	if c.Cluster == "" || len(c.Cluster) > MaxName {
		return &Unfit{hint.Annotated{Where: "peers.cluster", What: fmt.Sprintf("needs 1 to %d bytes", MaxName), Do: "give the same short name at all balancers"}}
	}
	if c.Name == "" || len(c.Name) > MaxName {
		return &Unfit{hint.Annotated{Where: "peers", What: fmt.Sprintf("the balancer's name needs 1 to %d bytes", MaxName), Do: "give a name by the configuration or PROXY_NAME"}}
	}
	if a, err := netip.ParseAddrPort(c.Addr); err != nil || !a.Addr().Is4() || a.Port() == 0 || a.Addr().IsUnspecified() {
		return &Unfit{hint.Annotated{Where: "peers.listen", What: fmt.Sprintf("%q is no IPv4 address and port that others could reach", c.Addr), Do: "give one, or name it by peers.advertise"}}
	}
	for i, j := range c.Join {
		if a, err := netip.ParseAddrPort(j); err != nil || !a.Addr().Is4() || a.Port() == 0 {
			return &Unfit{hint.Annotated{Where: fmt.Sprintf("peers.join[%d]", i), What: fmt.Sprintf("%q is no IPv4 address and port", j), Do: "give some other balancers' addresses, such as 10.0.0.5:9200"}}
		}
	}
	for name, to := range c.Reach {
		if a, err := netip.ParseAddrPort(to); err != nil || !a.Addr().Is4() || a.Port() == 0 {
			return &Unfit{hint.Annotated{Where: "peers.reach." + name, What: fmt.Sprintf("%q is no IPv4 address and port", to), Do: "give the one under which that balancer is reached from here"}}
		}
	}
	switch {
	case c.SilentAfter < 300*time.Millisecond || c.SilentAfter > time.Hour:
		return &Unfit{hint.Annotated{Where: "peers.silent_after", What: fmt.Sprintf("%v is outside 300ms to 1h", c.SilentAfter), Do: "set a time within"}}
	case c.MaxMembers < 2 || c.MaxMembers > 1<<16:
		return &Unfit{hint.Annotated{Where: "peers.max_members", What: fmt.Sprintf("%d is outside 2 to 65536", c.MaxMembers), Do: "set more than there will be balancers"}}
	case c.SignalBytes < 64 || c.SignalBytes > 1<<16:
		return &Unfit{hint.Annotated{Where: "peers.signal_bytes", What: fmt.Sprintf("%d is outside 64 to 65536", c.SignalBytes), Do: "set a size within"}}
	case c.Generation == 0:
		return &Unfit{hint.Annotated{Where: "peers", What: "no generation", Do: "set the machine's clock: it stands before 1970"}}
	}
	return nil
}

// Times that follow from SilentAfter. A death is met by a probe after one period or two, suspected after another, and
// told gone after a third to two thirds of SilentAfter more.
func (c Config) probeEvery() time.Duration   { return c.SilentAfter / 6 }
func (c Config) ackWithin() time.Duration    { return c.SilentAfter / 18 }
func (c Config) suspectLeast() time.Duration { return c.SilentAfter / 3 }
func (c Config) suspectMost() time.Duration  { return c.SilentAfter * 2 / 3 }
func (c Config) gossipEvery() time.Duration  { return c.SilentAfter / 15 }
func (c Config) syncEvery() time.Duration    { return 5 * c.SilentAfter }
func (c Config) forgetAfter() time.Duration  { return 100 * c.SilentAfter }

// gap is how long nothing may have happened here without the view counting as old.
func (c Config) gap() time.Duration { return c.SilentAfter / 2 }

// Bounds of what travels.
const (
	Form        = 1
	MaxName     = 64
	MaxPacket   = 1200 // bytes: no link on the way has to cut it
	MaxSignal   = 512  // bytes of one value
	MaxKeys     = 256  // signals of one member
	via         = 3    // members asked to probe for one
	fanout      = 3    // members told news at once
	manyMembers = 50   // up to so many the times are as they are told
	mostSlow    = 8    // how much slower a slow self may become, in further times its pace
)

// Counters count by reason.
type Counters struct {
	In, Out, BytesIn, BytesOut                                         int64
	Malformed, OtherCluster, NotForMe, FromMyself, TooMany, TooLarge   int64
	Probes, ProbesFailed, Suspected, Refuted, Gone, Joined, Syncs, Old int64
	SignalsSet, SignalsRefused, SignalsDropped, Displaced              int64
}

// Event is something that happened: one of the types below.
type Event interface{ event() }

type (
	// Tick lets time pass.
	Tick struct{}
	// Received is a message that came. Size is its length in bytes.
	Received struct {
		Message Message
		Size    int
	}
	// SetSignal gives a signal of this member's own, in place of the one with its key.
	SetSignal struct {
		Key   string
		Value []byte
		Life  time.Duration
	}
	// Leave tells the others that this member leaves, On, or stays after all.
	Leave struct{ On bool }
)

func (Tick) event()      {}
func (Received) event()  {}
func (SetSignal) event() {}
func (Leave) event()     {}

// Effect is what the host has to do.
type Effect interface{ effect() }

type (
	// Send is a datagram to an address.
	Send struct {
		To      string
		Message *Message
	}
	// Changed tells that a member's state is another now.
	Changed struct {
		Record
		Was    State
		Fresh  bool // it was not known before
		Reason string
	}
	// Aged tells that the view is old (On), after a time in which nothing happened here, or is good again.
	Aged struct{ On bool }
)

func (Send) effect()    {}
func (Changed) effect() {}
func (Aged) effect()    {}

// View is what is known, at one time.
type View struct {
	At         time.Duration
	Self       Record
	Old        bool // this process stood still: nothing here may be acted on yet
	Alone      bool // nobody has been heard for as long as a member may be silent
	Displaced  bool // another process goes by this name
	Members    []MemberView
	Slow       int // further times its pace that this member has slowed down to
	SignalsOut int
}

// MemberView is one other member.
type MemberView struct {
	Record
	Since   time.Duration // in this state
	Heard   time.Duration // last sign of life here; 0 if none
	Signals []SignalView
}

// SignalView is a signal that is still good.
type SignalView struct {
	Key     string
	Version uint64
	Age     time.Duration
	Life    time.Duration
	Value   []byte
}

func newRand(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, 0x9ee5)) }
