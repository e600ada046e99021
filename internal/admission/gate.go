// Package admission decides who is let in when descriptors, memory or patience run short. It owns the caps
// per address and network, the reserve for known clients, the ledger of descriptors and memory, the levels,
// the order of sacrifice and the advice when to come back. It is a state machine like policy: time and the
// seed are arguments, and it must never read a clock, touch a socket or a file, start a goroutine, or choose
// a region; that a transaction is let in says nothing about where it goes.
//
// # The order of sacrifice
//
// Refused, from the first to the last:
//
//  1. at every level, an address or network beyond its own caps (connections, silent ones, new ones a second,
//     bytes before a first line); networks that the operator exempts have no caps;
//  2. from level Tight on, strangers of a network that holds more than its share;
//  3. at every level, strangers who would take what is kept for known clients, then those who only name a known
//     client's key from elsewhere (half of what is kept is open to them);
//  4. from level Short on, strangers and claimants of tenants beyond their share;
//  5. at level Full, all strangers and claimants, and known clients of tenants beyond their share;
//  6. known clients, where nothing is left at all.
//
// Sent off to make room: terminals that have said nothing, those of the address with the most of them first and
// the oldest of these first; none that is younger than Youngest. Never sent off: whoever waits for an answer,
// and whoever stands.
package admission

import (
	"net/netip"
	"time"

	"oatloft/internal/hint"
)

// Ticket names one accepted connection from Accept to Closed; later it names nobody, whoever has its place then. The
// zero Ticket is none.
type Ticket uint64

func (t Ticket) place() int32 { return int32(uint32(t)) }

// Use is what a descriptor is held for.
type Use uint8

// The uses. A routed task's descriptor is set aside with the transaction's own: Owed and Standing count two.
const (
	Free     Use = iota
	Silent       // a terminal that has not said what it wants
	Owed         // its transaction was picked up and waits for its answer; its routed task is set aside
	Standing     // up: terminal and region
	Leaving      // answered or ended; the descriptor is still to be closed
	Probe        // the host's own, set by Fixed
	Discovery
	Spare // for answering when the process has none left, and for short good-byes
	uses
)

func (u Use) String() string {
	return [...]string{"free", "silent", "owed", "standing", "leaving", "probe", "discovery", "spare"}[u]
}

// weight is how many descriptors a terminal's use takes.
var weight = [uses]int{Silent: 1, Owed: 2, Standing: 2, Leaving: 1}

// Rank says how well a client is known.
type Rank uint8

// The ranks.
const (
	Stranger Rank = iota
	Claimant      // names a known client's key from a network where that client was not seen
	Known
)

func (r Rank) String() string { return [...]string{"stranger", "claimant", "known"}[r] }

// Level says how short the balancer is.
type Level uint8

// The levels.
const (
	Calm Level = iota
	Tight
	Short
	Full
)

func (l Level) String() string { return [...]string{"calm", "tight", "short", "full"}[l] }

// Reason says why somebody was refused or sent off.
type Reason uint8

// The reasons.
const (
	Admitted Reason = iota
	AddressConnections
	AddressSilent
	AddressRate
	AddressBytes
	NetworkRate
	NetworkShare
	ReserveKept
	TenantShare
	LevelFull
	NoDescriptor
	NoMemory
	Exhaustion // the process had no descriptor left before the ledger knew
	MadeRoom   // sent off
	Impatience // sent off sooner than at a calm time
	NoPermit   // no revision that this balancer may place by
	reasons
)

var reasonNames = [reasons]string{"admitted", "address_connections", "address_silent", "address_rate", "address_bytes",
	"network_rate", "network_share", "reserve_kept", "tenant_share", "level_full", "no_descriptor", "no_memory",
	"exhaustion", "made_room", "impatience", "no_permit"}

func (r Reason) String() string { return reasonNames[r] }

// Verdict is a decision. After is when a refused client should come again, 0 where there is no advice.
type Verdict struct {
	Reason Reason
	After  time.Duration
	Curt   bool // it comes so often that its answer is all it gets: no waiting for it to end
}

// OK tells that the client is let in.
func (v Verdict) OK() bool { return v.Reason == Admitted }

// Who is what a first line says of a client. None of it is proven.
type Who struct{ Key, Tenant string }

// Times that are not for operators to set.
const (
	Youngest   = 10 * time.Millisecond // nobody is sent off sooner: the line may be on its way
	sweepEvery = 250 * time.Millisecond
	cutFor     = 50 * time.Millisecond // exhaustion is met again so soon at the earliest
	slack      = 8                     // descriptors beyond the budget, while those who were sent off are being closed
	strikesMax = 64                    // refusals for rate, leaking at the address's own rate, that cost a client its rank
)

type ticket struct {
	use        Use
	rank       Rank
	exempt     bool
	victim     bool
	peer, net  int32
	prev, next int32  // of the same address's silent ones, oldest first
	turn       uint32 // how often the place was taken
	born       time.Duration
	stood      time.Duration
	bytes      int
	key        uint64
	tenant     int
}

// Counters tell what was decided since the start.
type Counters struct {
	Accepted, Requests, ByKnown, ByClaimants, Promoted, Forgotten, Muted, Evicted, Exhausted, LevelChanges int64
	Refused                                                                                                [reasons]int64
}

// Gate is the decision module. It is not safe for concurrent use.
type Gate struct {
	Counters Counters

	cfg     Config
	now     time.Duration
	rand    uint64
	tickets []ticket
	free    []int32
	ledger  ledger
	peers   *table // by address
	nets    *table // by network
	known   knownTable
	tenants map[string]int
	share   []float64 // of the transactions, by tenant
	holds   [3][]int  // transactions by rank and tenant
	silent  crowd
	victims []Victim
	leaving int // silent terminals that were sent off and are not closed yet
	swept   time.Duration
	advised time.Duration // come-back times are dealt out up to here
}

// New returns a gate, or an error that names the setting that can't work.
func New(cfg Config, seed uint64) (*Gate, error) {
	if err := cfg.check(); err != nil {
		return nil, err
	}
	g := &Gate{rand: mix(seed, 0x9e3779b97f4a7c15), tickets: make([]ticket, 1, 1024)}
	g.peers, g.nets = newTable(cfg.Address.Table, g.random()), newTable(cfg.Network.Table, g.random())
	g.known.init(cfg.Reserve, g.random())
	g.ledger.limit = 1 << 16 // until Limit is called
	g.apply(cfg)
	return g, nil
}

// Reconfigure takes new settings, whole or not at all. What is held stays, whatever the new limits are. The
// sizes of tables are those of the start.
func (g *Gate) Reconfigure(cfg Config) error {
	if err := cfg.check(); err != nil {
		return err
	}
	if cfg.Address.Table != g.cfg.Address.Table || cfg.Network.Table != g.cfg.Network.Table ||
		cfg.Reserve.Max != g.cfg.Reserve.Max {
		return &CantChange{hint.Annotated{Where: "admission", What: "the sizes of tables can't change while serving",
			Do: "restart the balancer to change address.table, network.table or reserve.max"}}
	}
	g.apply(cfg)
	return nil
}

func (g *Gate) apply(cfg Config) {
	old := g.tenants
	g.cfg, g.known.cfg = cfg, cfg.Reserve
	g.tenants = make(map[string]int, len(cfg.Tenants))
	sum := 0.0
	for _, t := range cfg.Tenants {
		sum += t.Weight
	}
	share := make([]float64, len(cfg.Tenants)+1)
	var holds [3][]int
	for rank := range holds {
		holds[rank] = make([]int, len(cfg.Tenants)+1)
	}
	for i, t := range cfg.Tenants {
		g.tenants[t.Name] = i + 1 // 0 are all that nobody configured
		if share[i+1] = 1; sum > 0 && t.Weight > 0 {
			share[i+1] = t.Weight / sum
		}
	}
	if len(cfg.Tenants) == 0 {
		share[0] = 1
	}
	moved := make([]int, len(g.share))
	for name, i := range old {
		moved[i] = g.tenants[name]
	}
	for i := range g.tickets {
		if t := &g.tickets[i]; t.use == Owed || t.use == Standing {
			t.tenant = moved[t.tenant]
			holds[t.rank][t.tenant]++
		}
	}
	g.share, g.holds = share, holds
	g.ledger.cfg = cfg.Descriptors
	g.ledger.memory = cfg.Memory
	g.ledger.reserve = cfg.Reserve.KnownShare
	g.ledger.settle()
}

// Limit sets how many descriptors the process may hold in all, and how much memory in bytes (0: not bounded).
func (g *Gate) Limit(descriptors int, memory int64) {
	g.ledger.limit, g.ledger.memLimit = descriptors, memory
	g.ledger.settle()
	// Entries that hold a connection are pinned: with a place for each, and as many again, a newcomer always
	// finds one to evict.
	g.peers.size = max(g.peers.size, 2*descriptors)
	g.nets.size = max(g.nets.size, 2*descriptors)
	g.ledger.relevel(g)
}

// Fixed tells how many descriptors the host itself holds for a use of its own.
func (g *Gate) Fixed(u Use, n int) {
	g.ledger.held[u] = n
	g.ledger.settle()
}

// Memory tells how much memory the process really holds, in bytes.
func (g *Gate) Memory(used int64) { g.ledger.memUsed = used }

// Level is the present level.
func (g *Gate) Level() Level { return g.ledger.level }

// Held is how many connections there are of a use.
func (g *Gate) Held(u Use) int { return g.ledger.held[u] }

// Pressed tells that descriptors are short enough to end good-byes sooner.
func (g *Gate) Pressed() bool { return g.ledger.level >= Tight }

// Accept decides on a connection from addr before anything is read from it. A refused one has no ticket.
func (g *Gate) Accept(now time.Duration, addr netip.Addr) (Ticket, Verdict) {
	g.tell(now)
	a, n := g.cfg.keys(addr)
	exempt := g.cfg.exempt(addr)
	p := g.peers.touch(a, g.now)
	q := g.nets.touch(n, g.now)
	if p == 0 || q == 0 { // every entry is pinned; Limit sees to it that this can't be
		return g.refuse(NoDescriptor)
	}
	if !exempt {
		c := &g.cfg.Address
		switch peer := &g.peers.list[p]; {
		case !g.peers.take(p, g.now, c.NewPerSecond, c.Burst):
			peer.strike(g.now, c.NewPerSecond)
			_, v := g.refuse(AddressRate)
			v.Curt = peer.strikes(g.now, c.NewPerSecond) >= strikesMax
			return 0, v
		case int(peer.held) >= c.MaxConnections:
			return g.refuse(AddressConnections)
		case int(peer.silent) >= c.MaxSilent:
			return g.refuse(AddressSilent)
		case !g.nets.take(q, g.now, g.cfg.Network.NewPerSecond, g.cfg.Network.Burst):
			return g.refuse(NetworkRate)
		}
	}
	if g.ledger.outOfMemory() {
		return g.refuse(NoMemory)
	}
	// Who makes room still holds its descriptor until it is closed. Strangers that come faster than that is done are
	// refused: they would else use up, in passing, what is kept for networks of known clients.
	known := g.known.seenAt(n)
	if g.ledger.over(1-slack) || !known && g.leaving >= slack || !g.ledger.mayBeSilent(known) && !g.makeRoom(exempt, p) {
		return g.refuse(NoDescriptor)
	}
	var i int32
	if k := len(g.free); k > 0 {
		i, g.free = g.free[k-1], g.free[:k-1]
	} else {
		i = int32(len(g.tickets))
		g.tickets = append(g.tickets, ticket{})
	}
	g.tickets[i] = ticket{use: Silent, exempt: exempt, peer: p, net: q, born: g.now, turn: g.tickets[i].turn + 1}
	g.peers.hold(p, 1)
	g.nets.hold(q, 1)
	g.silent.add(g, i)
	g.ledger.move(Free, Silent)
	g.Counters.Accepted++
	g.ledger.relevel(g)
	return g.name(i), Verdict{}
}

// Bytes tells that n bytes came from a terminal that is silent so far, in vain if not OK: its address keeps
// more than it may, and this one is to be refused.
func (g *Gate) Bytes(now time.Duration, t Ticket, n int) Verdict {
	g.tell(now)
	x := g.at(t, Silent)
	if x == nil {
		return Verdict{}
	}
	x.bytes += n
	peer := &g.peers.list[x.peer]
	peer.bytes += n
	if !x.exempt && peer.bytes > g.cfg.Address.MaxBytes {
		_, v := g.refuse(AddressBytes)
		return v
	}
	return Verdict{}
}

// Request decides on a silent terminal's first line. What the transaction needs is set aside if it is let in;
// if not, the terminal is to be answered, and Answered to be called.
func (g *Gate) Request(now time.Duration, t Ticket, who Who) Verdict {
	g.tell(now)
	x := g.at(t, Silent)
	if x == nil {
		return Verdict{}
	}
	g.Counters.Requests++
	net := g.nets.list[x.net].key
	x.key = g.known.keyOf(g.cfg.Reserve.Identity, who, g.peers.list[x.peer].key)
	x.rank = g.known.rank(x.key, net, g.now)
	if x.rank != Stranger && g.peers.list[x.peer].strikes(g.now, g.cfg.Address.NewPerSecond) >= strikesMax && !x.exempt {
		g.Counters.Muted++
		g.known.mute(x.key, g.now)
		x.rank = Stranger
	}
	x.tenant = g.tenants[who.Tenant]
	if r := g.judge(x, t.place()); r != Admitted {
		if x.rank != Known && !x.exempt && r != NoMemory && r != NoDescriptor {
			// Whoever asks on and on for what there is not costs more than who is turned away at the door.
			g.peers.charge(x.peer, g.now, g.cfg.Address.NewPerSecond, g.cfg.Address.Burst)
		}
		_, v := g.refuse(r)
		return v
	}
	g.silent.remove(g, t.place())
	g.ledger.move(Silent, Owed)
	g.holds[x.rank][x.tenant]++
	g.nets.list[x.net].served++
	switch x.rank {
	case Known:
		g.Counters.ByKnown++
		g.ledger.known++
	case Claimant:
		g.Counters.ByClaimants++
		g.ledger.known++
	}
	g.known.use(x.key, x.rank, 1)
	x.use = Owed
	g.ledger.relevel(g)
	return Verdict{}
}

// judge is the order of sacrifice for transactions.
func (g *Gate) judge(x *ticket, i int32) Reason {
	l := &g.ledger
	beyond := g.beyond(x)
	switch {
	case l.outOfMemory() || l.memoryShort():
		return NoMemory
	case x.rank == Stranger && !x.exempt && l.level >= Tight &&
		float64(g.nets.list[x.net].served) >= max(1, g.cfg.Network.MaxShare*float64(l.transactions/2)):
		return NetworkShare
	case l.level >= Short && beyond && x.rank != Known:
		return TenantShare
	case l.level == Full && x.rank != Known:
		return LevelFull
	case l.level == Full && beyond:
		return TenantShare
	case !l.mayTake(x.rank):
		if x.rank != Known && l.mayTake(Known) {
			return ReserveKept
		}
		return NoDescriptor
	case l.over(1-slack) || l.over(1) && !g.makeRoomFor(i):
		return NoDescriptor
	}
	return Admitted
}

// beyond tells that a tenant holds its share of the transactions. Only what known clients hold counts against those,
// since anybody can name a tenant. A tenant that has the whole is never beyond it.
func (g *Gate) beyond(x *ticket) bool {
	n := g.holds[Known][x.tenant]
	if x.rank != Known {
		n += g.holds[Stranger][x.tenant] + g.holds[Claimant][x.tenant]
	}
	share := g.share[x.tenant]
	return share < 1 && float64(n) >= share*float64(g.ledger.transactions/2)
}

// Stood tells that a transaction is up.
func (g *Gate) Stood(now time.Duration, t Ticket) {
	g.tell(now)
	if x := g.at(t, Owed); x != nil {
		x.use, x.stood = Standing, g.now
		g.ledger.move(Owed, Standing)
	}
}

// Answered tells that a terminal got all it will get; its descriptor is yet to be closed. It may be told twice.
func (g *Gate) Answered(now time.Duration, t Ticket) {
	g.tell(now)
	if x := g.ticket(t); x != nil {
		g.answered(t, x)
		g.ledger.relevel(g)
	}
}

func (g *Gate) answered(t Ticket, x *ticket) {
	switch x.use {
	case Leaving:
		return
	case Silent:
		g.silent.remove(g, t.place())
	case Owed, Standing:
		if x.use == Standing {
			g.remember(x)
		}
		g.holds[x.rank][x.tenant]--
		g.nets.list[x.net].served--
		if x.rank != Stranger {
			g.ledger.known--
			g.known.use(x.key, x.rank, -1)
		}
	}
	g.ledger.move(x.use, Leaving)
	x.use = Leaving
}

// Closed tells that a terminal's descriptor is free again.
func (g *Gate) Closed(now time.Duration, t Ticket) {
	g.tell(now)
	x := g.ticket(t)
	if x == nil {
		return
	}
	g.answered(t, x)
	g.ledger.move(Leaving, Free)
	if x.victim {
		g.leaving--
	}
	g.peers.hold(x.peer, -1)
	g.nets.hold(x.net, -1)
	*x = ticket{turn: x.turn}
	g.free = append(g.free, t.place())
	g.ledger.relevel(g)
}

// Exhausted tells that the process was refused a descriptor though the ledger had one: something else holds
// more than was thought. The limit is cut to what is held, and grows back slowly.
func (g *Gate) Exhausted(now time.Duration) {
	g.tell(now)
	g.Counters.Exhausted++
	g.ledger.cutBack(g.now)
	g.makeRoom(true, 0)
	g.ledger.relevel(g)
}

// Refusal counts a refusal that the host had to make without asking, and gives its advice.
func (g *Gate) Refusal(now time.Duration, r Reason) Verdict {
	g.tell(now)
	_, v := g.refuse(r)
	return v
}

// Tick lets the time pass: clients become known, silent ones are sent off sooner where descriptors are short,
// the levels fall. It is to be called some times a second at least.
func (g *Gate) Tick(now time.Duration) {
	g.tell(now)
	if g.now-g.swept < sweepEvery {
		return
	}
	g.swept = g.now
	g.ledger.growBack()
	g.ledger.relevel(g)
	impatient := g.ledger.level >= Short
	for i := 1; i < len(g.tickets); i++ {
		switch x := &g.tickets[i]; {
		case x.use == Standing:
			g.remember(x)
		case x.use == Silent && impatient && !x.victim && g.now-x.born >= g.cfg.Address.ShortPatience:
			g.sendOff(int32(i), Impatience)
		}
	}
	g.Counters.Forgotten += g.known.expire(g.now)
}

// Victim is a silent terminal that is to be answered BUSY and closed now.
type Victim struct {
	Ticket
	After time.Duration // when it should come again, 0 where there is no advice
}

// Victims returns those who are to make room; each is returned once. The slice is valid until the next call of
// the gate.
func (g *Gate) Victims() []Victim {
	v := g.victims
	g.victims = g.victims[:0]
	return v
}

// remember makes a client known once it has stood for long enough, from its next connection on. Nobody becomes known
// while it is tight: to stand and wait is then what a flood does. Nor does this connection change its rank: it took
// a stranger's place, and to count it against the reserve would open the reserve's place to another stranger.
func (g *Gate) remember(x *ticket) {
	if g.now-x.stood < g.cfg.Reserve.StandFor || g.ledger.level >= Tight && !g.known.has(x.key) {
		return
	}
	if g.known.stood(x.key, g.nets.list[x.net].key, g.now, x.stood) {
		g.Counters.Promoted++
	}
}

// makeRoom chooses a silent terminal to be sent off. A newcomer of the address that has the most of them
// makes room for nobody: it is refused itself.
func (g *Gate) makeRoom(anybody bool, newcomer int32) bool {
	i, ok := g.silent.worst(g)
	if !ok || !anybody && g.tickets[i].peer == newcomer {
		return false
	}
	g.sendOff(i, MadeRoom)
	return true
}

// makeRoomFor chooses one for a silent terminal whose transaction needs a descriptor more: anybody but itself.
func (g *Gate) makeRoomFor(i int32) bool {
	g.silent.remove(g, i)
	ok := g.makeRoom(true, 0)
	g.silent.add(g, i)
	return ok
}

func (g *Gate) sendOff(i int32, why Reason) {
	g.Counters.Refused[why]++
	g.tickets[i].victim = true
	g.leaving++
	g.silent.remove(g, i)
	g.victims = append(g.victims, Victim{g.name(i), g.advice()})
}

func (g *Gate) name(i int32) Ticket { return Ticket(g.tickets[i].turn)<<32 | Ticket(uint32(i)) }

func (g *Gate) refuse(why Reason) (Ticket, Verdict) {
	g.Counters.Refused[why]++
	return 0, Verdict{Reason: why, After: g.advice()}
}

// advice deals out times to come back at the rate that the operator thinks the balancer can bear, so that
// those refused in one burst don't come again in another. Where the times run out it spreads by chance.
func (g *Gate) advice() time.Duration {
	c := &g.cfg.ComeBack
	if !c.Advise || c.PerSecond <= 0 {
		return 0
	}
	step := time.Duration(float64(time.Second) / c.PerSecond)
	first, last := g.now+c.Least, g.now+c.Most
	g.advised = max(g.advised, first) + step
	if g.advised > last {
		g.advised = last // the schedule is full: anywhere in its later half
		return c.Least + (c.Most-c.Least)/2 + time.Duration(g.random()%uint64((c.Most-c.Least)/2+1))
	}
	return g.advised - g.now + time.Duration(g.random()%uint64(step+1))
}

// tell takes the time. It may stand still or go back, which is as if it stood still.
func (g *Gate) tell(now time.Duration) { g.now = max(g.now, now) }

func (g *Gate) ticket(t Ticket) *ticket {
	i := t.place()
	if i <= 0 || int(i) >= len(g.tickets) || g.tickets[i].use == Free || g.name(i) != t {
		return nil
	}
	return &g.tickets[i]
}

func (g *Gate) at(t Ticket, u Use) *ticket {
	if x := g.ticket(t); x != nil && x.use == u {
		return x
	}
	return nil
}

func (g *Gate) random() uint64 {
	g.rand += 0x9e3779b97f4a7c15
	return mix(g.rand, 0xbf58476d1ce4e5b9)
}

// Report is what an operator may see of the gate.
type Report struct {
	Level       string           `json:"Level"`
	Descriptors map[string]int   `json:"Descriptors"`
	Budget      int              `json:"Budget"`
	Cut         int              `json:"Cut"`
	Known       int              `json:"Known"`
	Addresses   int              `json:"Addresses"`
	Networks    int              `json:"Networks"`
	Accepted    int64            `json:"Accepted"`
	Requests    int64            `json:"Requests"`
	Promoted    int64            `json:"Promoted"`
	Muted       int64            `json:"Muted"`
	Exhausted   int64            `json:"Exhausted"`
	ByKnown     int64            `json:"ByKnown"`
	ByClaimants int64            `json:"ByClaimants"`
	Forgotten   int64            `json:"Forgotten"`
	Evicted     int64            `json:"Evicted"`
	Turns       int64            `json:"Turns"`
	Refused     map[string]int64 `json:"Refused"`
}

// Report sums up.
func (g *Gate) Report() Report {
	c := &g.Counters
	r := Report{Level: g.ledger.level.String(), Descriptors: map[string]int{}, Refused: map[string]int64{},
		Budget: g.ledger.budget, Cut: g.ledger.cut, Known: len(g.known.index), Addresses: len(g.peers.index),
		Networks: len(g.nets.index), Accepted: c.Accepted, Requests: c.Requests, Promoted: c.Promoted, Muted: c.Muted,
		Exhausted: c.Exhausted, ByKnown: c.ByKnown, ByClaimants: c.ByClaimants, Forgotten: c.Forgotten,
		Evicted: g.peers.evicted + g.nets.evicted, Turns: c.LevelChanges}
	for u := Silent; u < uses; u++ {
		r.Descriptors[u.String()] = g.ledger.held[u]
	}
	for i, n := range c.Refused {
		if n > 0 {
			r.Refused[Reason(i).String()] = n
		}
	}
	return r
}
