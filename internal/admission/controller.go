// Package admission decides which connections and requests are admitted when descriptors or memory are scarce. It
// contains the caps per address and network, the capacity reserved for known clients, the accounting of descriptors
// and memory, the overload levels, the order in which load is shed, and the retry times given to refused clients.
// It is a deterministic state machine like package policy: time and the seed are arguments, and it uses no clock,
// socket, file or goroutine. It doesn't choose servers either; an admitted request may go to any of them.
//
// # Load shedding order
//
// Refused, from the first to the last:
//
//  1. at every level, clients of an address or network beyond its own caps (connections, silent connections, new
//     connections per second, bytes before the first line); networks that the operator exempts have no caps;
//  2. from level Tight on, unknown clients of a network that uses more than its share;
//  3. at every level, unknown clients that would use the capacity reserved for known clients, then claimants, which
//     present a known client's key from another network (half of the reserved capacity is open to them);
//  4. from level Short on, unknown clients and claimants of tenants beyond their share;
//  5. at level Full, all unknown clients and claimants, and known clients of tenants beyond their share;
//  6. known clients, once nothing is left.
//
// A silent client is one that has not sent its first line. Silent clients are closed to free descriptors: first
// those of the address that has the most of them, and of these the oldest. None is closed that is younger than
// MinVictimAge. Clients with an unanswered request or an established flow are never closed.
package admission

import (
	"net/netip"
	"time"

	"oatloft/internal/hint"
)

// Ticket identifies one accepted connection from Accept to Closed. It is invalid afterwards, even if its index is used
// again for another connection. The zero Ticket means none.
type Ticket uint64

func (t Ticket) index() int32 { return int32(uint32(t)) }

// Use is the purpose that a descriptor is used for.
type Use uint8

// The uses. An attempt's descriptor is reserved together with its client's: Unanswered and Established count two each.
const (
	Free        Use = iota
	Silent          // a client that has not sent its first line
	Unanswered      // its request was admitted and not answered yet; a descriptor is reserved for its attempt
	Established     // client and server are connected
	Closing         // answered or ended; the descriptor is not closed yet
	Probe           // this and the following uses are the caller's own, set by SetReserved
	Discovery
	Spare // for answering when the process has none left, and for closing refused connections gracefully
	useCount
)

// String returns the name of the use in reports.
func (u Use) String() string {
	return [...]string{"free", "silent", "owed", "standing", "leaving", "probe", "discovery", "spare"}[u]
}

// descriptorsPerUse is the number of descriptors that a client takes in each use.
var descriptorsPerUse = [useCount]int{Silent: 1, Unanswered: 2, Established: 2, Closing: 1}

// Rank is how well a client is known.
type Rank uint8

// The ranks.
const (
	Unknown  Rank = iota
	Claimant      // presents a known client's key from another network than that client's
	Known
)

// String returns the name of the rank.
func (r Rank) String() string { return [...]string{"stranger", "claimant", "known"}[r] }

// Level is how scarce the balancer's descriptors and memory are.
type Level uint8

// The levels.
const (
	Normal Level = iota
	Tight
	Short
	Full
)

// String returns the name of the level in logs and reports.
func (l Level) String() string { return [...]string{"calm", "tight", "short", "full"}[l] }

// Reason is why a client was refused or closed.
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
	ReservedForKnown
	TenantShare
	LevelFull
	NoDescriptor
	NoMemory
	Exhaustion       // the process had no descriptor left although the budget was not used up
	Reclaimed        // closed while silent, to free its descriptor
	FirstLineTimeout // closed after Address.FirstLineTimeout because it was silent at level Short or above
	NoLease          // the balancer has no lease for a revision
	reasonCount
)

var reasonNames = [reasonCount]string{"admitted", "address_connections", "address_silent", "address_rate",
	"address_bytes", "network_rate", "network_share", "reserve_kept", "tenant_share", "level_full", "no_descriptor",
	"no_memory", "exhaustion", "made_room", "impatience", "no_permit"}

// String returns the name of the reason in logs and reports.
func (r Reason) String() string { return reasonNames[r] }

// Verdict is a decision. RetryAfter is the time after which a refused client should retry, or 0 for no retry time.
type Verdict struct {
	Reason     Reason
	RetryAfter time.Duration
	// the address connects too often: close right after the answer, without waiting for the client to close
	CloseAtOnce bool
}

// OK reports whether the client is admitted.
func (v Verdict) OK() bool { return v.Reason == Admitted }

// ClaimedIdentity is the identity that a client presents in its first line. It is not authenticated.
type ClaimedIdentity struct{ Key, Tenant string }

// Constants that are not configurable.
const (
	MinVictimAge    = 10 * time.Millisecond  // younger silent clients stay: their first line may be on the way
	minTickInterval = 250 * time.Millisecond // Tick does nothing if called sooner
	minCutInterval  = 50 * time.Millisecond  // minimum time between two cuts of the budget
	victimSlack     = 8                      // descriptors beyond the budget for victims that are not closed yet
	maxStrikes      = 64                     // rate refusals, draining at the address's rate, that make a client unknown
)

// connection is the state of one accepted connection.
type connection struct {
	use              Use
	rank             Rank
	exempt           bool
	victim           bool
	address, network int32
	prev, next       int32  // silent connections of the same address, oldest first
	generation       uint32 // how often the index has been used
	acceptedAt       time.Duration
	establishedAt    time.Duration
	bytes            int
	identity         uint64
	tenant           int
}

// Counters counts the decisions since the start.
type Counters struct {
	Accepted, Requests, ByKnown, ByClaimants, Promoted, Forgotten, Muted, Evicted, Exhausted, LevelChanges int64

	Refused [reasonCount]int64 // by reason
}

// Controller makes the admission decisions. It is not safe for concurrent use.
type Controller struct {
	Counters Counters

	cfg            Config
	now            time.Duration
	randomState    uint64
	connections    []connection
	freeIndexes    []int32
	ledger         ledger
	addresses      *table
	networks       *table
	known          knownTable
	tenants        map[string]int
	share          []float64 // of the request capacity, by tenant
	requests       [3][]int  // requests by rank and tenant
	silent         silentByAddress
	victims        []Victim
	openVictims    int // victims that are not closed yet
	lastTick       time.Duration
	scheduledUntil time.Duration // retries are scheduled up to this time
}

// New returns a Controller, or an error that names the first invalid setting.
func New(cfg Config, seed uint64) (*Controller, error) {
	if err := cfg.validate(); err != nil {
		return nil, err
	}
	g := &Controller{randomState: mix(seed, 0x9e3779b97f4a7c15), connections: make([]connection, 1, 1024)}
	g.addresses, g.networks = newTable(cfg.Address.Table, g.random()), newTable(cfg.Network.Table, g.random())
	g.known.init(cfg.Reserve, g.random())
	g.ledger.limit = 1 << 16 // descriptors, until SetLimits is called
	g.apply(cfg)
	return g, nil
}

// Reconfigure applies all of the new settings or none. Admitted connections stay, even beyond the new limits. The
// table sizes can't be changed.
func (g *Controller) Reconfigure(cfg Config) error {
	if err := cfg.validate(); err != nil {
		return err
	}
	if cfg.Address.Table != g.cfg.Address.Table || cfg.Network.Table != g.cfg.Network.Table ||
		cfg.Reserve.Max != g.cfg.Reserve.Max {
		return &ImmutableSetting{hint.Annotated{Where: "admission", What: "table sizes can't be changed while serving",
			Do: "restart the balancer to change address.table, network.table or reserve.max"}}
	}
	g.apply(cfg)
	return nil
}

func (g *Controller) apply(cfg Config) {
	oldTenants := g.tenants
	g.cfg, g.known.cfg = cfg, cfg.Reserve
	g.tenants = make(map[string]int, len(cfg.Tenants))
	sum := 0.0
	for _, t := range cfg.Tenants {
		sum += t.Weight
	}
	share := make([]float64, len(cfg.Tenants)+1)
	var requests [3][]int
	for rank := range requests {
		requests[rank] = make([]int, len(cfg.Tenants)+1)
	}
	for i, t := range cfg.Tenants {
		g.tenants[t.Name] = i + 1 // 0 is for all tenants that are not configured
		if share[i+1] = 1; sum > 0 && t.Weight > 0 {
			share[i+1] = t.Weight / sum
		}
	}
	if len(cfg.Tenants) == 0 {
		share[0] = 1
	}
	newIndex := make([]int, len(g.share))
	for name, i := range oldTenants {
		newIndex[i] = g.tenants[name]
	}
	for i := range g.connections {
		if t := &g.connections[i]; t.use == Unanswered || t.use == Established {
			t.tenant = newIndex[t.tenant]
			requests[t.rank][t.tenant]++
		}
	}
	g.share, g.requests = share, requests
	g.ledger.cfg = cfg.Descriptors
	g.ledger.memory = cfg.Memory
	g.ledger.knownShare = cfg.Reserve.KnownShare
	g.ledger.recompute()
}

// SetLimits sets how many descriptors the process may use in all, and how much memory in bytes (0 for no limit).
func (g *Controller) SetLimits(descriptors int, memory int64) {
	g.ledger.limit, g.ledger.memoryLimit = descriptors, memory
	g.ledger.recompute()
	// Entries with open connections are pinned. With one entry per descriptor, and as many again, there is always an
	// entry to evict for a new address or network.
	g.addresses.size = max(g.addresses.size, 2*descriptors)
	g.networks.size = max(g.networks.size, 2*descriptors)
	g.ledger.updateLevel(g)
}

// SetReserved sets how many descriptors the caller uses for Probe, Discovery or Spare.
func (g *Controller) SetReserved(u Use, n int) {
	g.ledger.inUse[u] = n
	g.ledger.recompute()
}

// SetMemoryUsed sets the measured memory use of the process, in bytes.
func (g *Controller) SetMemoryUsed(used int64) { g.ledger.memoryUsed = used }

// Level returns the current level.
func (g *Controller) Level() Level { return g.ledger.level }

// InUse returns how many descriptors or connections there are of a use.
func (g *Controller) InUse(u Use) int { return g.ledger.inUse[u] }

// UnderPressure reports whether the level is high enough to close finishing connections sooner.
func (g *Controller) UnderPressure() bool { return g.ledger.level >= Tight }

// Accept decides on a connection from addr before anything is read from it. A refused connection gets no ticket.
func (g *Controller) Accept(now time.Duration, addr netip.Addr) (Ticket, Verdict) {
	g.setTime(now)
	addrKey, netKey := g.cfg.tableKeys(addr)
	exempt := g.cfg.isExempt(addr)
	addrEntry := g.addresses.touch(addrKey, g.now)
	netEntry := g.networks.touch(netKey, g.now)
	if addrEntry == 0 || netEntry == 0 { // all entries pinned; SetLimits makes the tables large enough to rule this out
		return g.refuse(NoDescriptor)
	}
	if !exempt {
		c := &g.cfg.Address
		switch peer := &g.addresses.list[addrEntry]; {
		case !g.addresses.allow(addrEntry, g.now, c.NewPerSecond, c.Burst):
			peer.addStrike(g.now, c.NewPerSecond)
			_, v := g.refuse(AddressRate)
			v.CloseAtOnce = peer.strikeCount(g.now, c.NewPerSecond) >= maxStrikes
			return 0, v
		case int(peer.openConnections) >= c.MaxConnections:
			return g.refuse(AddressConnections)
		case int(peer.silent) >= c.MaxSilent:
			return g.refuse(AddressSilent)
		case !g.networks.allow(netEntry, g.now, g.cfg.Network.NewPerSecond, g.cfg.Network.Burst):
			return g.refuse(NetworkRate)
		}
	}
	if g.ledger.outOfMemory() {
		return g.refuse(NoMemory)
	}
	// A victim uses its descriptor until it is closed. While many victims are not closed yet, connections from networks
	// without known clients are refused: they would use up the descriptors reserved for networks of known clients.
	known := g.known.hasNetwork(netKey)
	if g.ledger.exceeds(1-victimSlack) || !known && g.openVictims >= victimSlack ||
		!g.ledger.mayAccept(known) && !g.evictSilent(exempt, addrEntry) {
		return g.refuse(NoDescriptor)
	}
	var i int32
	if k := len(g.freeIndexes); k > 0 {
		i, g.freeIndexes = g.freeIndexes[k-1], g.freeIndexes[:k-1]
	} else {
		i = int32(len(g.connections))
		g.connections = append(g.connections, connection{})
	}
	g.connections[i] = connection{use: Silent, exempt: exempt, address: addrEntry, network: netEntry, acceptedAt: g.now,
		generation: g.connections[i].generation + 1}
	g.addresses.addConnections(addrEntry, 1)
	g.networks.addConnections(netEntry, 1)
	g.silent.add(g, i)
	g.ledger.move(Free, Silent)
	g.Counters.Accepted++
	g.ledger.updateLevel(g)
	return g.ticketAt(i), Verdict{}
}

// AddBytes adds n bytes received from a silent client. If the verdict is not OK, the client's address exceeds MaxBytes,
// and this client is to be refused.
func (g *Controller) AddBytes(now time.Duration, t Ticket, n int) Verdict {
	g.setTime(now)
	x := g.lookupUse(t, Silent)
	if x == nil {
		return Verdict{}
	}
	x.bytes += n
	peer := &g.addresses.list[x.address]
	peer.bytes += n
	if !x.exempt && peer.bytes > g.cfg.Address.MaxBytes {
		_, v := g.refuse(AddressBytes)
		return v
	}
	return Verdict{}
}

// Request decides on a silent client's first line. If the request is admitted, its descriptors and memory are reserved.
// If not, the caller must answer the client and call Finished.
func (g *Controller) Request(now time.Duration, t Ticket, who ClaimedIdentity) Verdict {
	g.setTime(now)
	x := g.lookupUse(t, Silent)
	if x == nil {
		return Verdict{}
	}
	g.Counters.Requests++
	networkKey := g.networks.list[x.network].key
	x.identity = g.known.keyOf(g.cfg.Reserve.Identity, who, g.addresses.list[x.address].key)
	x.rank = g.known.rank(x.identity, networkKey, g.now)
	if x.rank != Unknown && g.addresses.list[x.address].strikeCount(g.now, g.cfg.Address.NewPerSecond) >= maxStrikes &&
		!x.exempt {
		g.Counters.Muted++
		g.known.mute(x.identity, g.now)
		x.rank = Unknown
	}
	x.tenant = g.tenants[who.Tenant]
	if r := g.decide(x, t.index()); r != Admitted {
		if x.rank != Known && !x.exempt && r != NoMemory && r != NoDescriptor {
			// A request that is refused after its first line costs more than a connection that is refused at Accept.
			g.addresses.chargeRefused(x.address, g.now, g.cfg.Address.NewPerSecond, g.cfg.Address.Burst)
		}
		_, v := g.refuse(r)
		return v
	}
	g.silent.remove(g, t.index())
	g.ledger.move(Silent, Unanswered)
	g.requests[x.rank][x.tenant]++
	g.networks.list[x.network].admitted++
	switch x.rank {
	case Known:
		g.Counters.ByKnown++
		g.ledger.knownRequests++
	case Claimant:
		g.Counters.ByClaimants++
		g.ledger.knownRequests++
	}
	g.known.addRequests(x.identity, x.rank, 1)
	x.use = Unanswered
	g.ledger.updateLevel(g)
	return Verdict{}
}

// decide applies the load shedding order to a request.
func (g *Controller) decide(x *connection, i int32) Reason {
	l := &g.ledger
	exceedsShare := g.exceedsShare(x)
	switch {
	case l.outOfMemory() || l.memoryScarce():
		return NoMemory
	case x.rank == Unknown && !x.exempt && l.level >= Tight &&
		float64(g.networks.list[x.network].admitted) >= max(1, g.cfg.Network.MaxShare*float64(l.requestBudget/2)):
		return NetworkShare
	case l.level >= Short && exceedsShare && x.rank != Known:
		return TenantShare
	case l.level == Full && x.rank != Known:
		return LevelFull
	case l.level == Full && exceedsShare:
		return TenantShare
	case !l.mayAdmit(x.rank):
		if x.rank != Known && l.mayAdmit(Known) {
			return ReservedForKnown
		}
		return NoDescriptor
	case l.exceeds(1-victimSlack) || l.exceeds(1) && !g.evictSilentFor(i):
		return NoDescriptor
	}
	return Admitted
}

// exceedsShare reports whether a tenant uses its whole share of the request capacity. For a known client, only requests
// of known clients count, because any client can name any tenant. It is false for a tenant whose share is the whole
// capacity.
func (g *Controller) exceedsShare(x *connection) bool {
	n := g.requests[Known][x.tenant]
	if x.rank != Known {
		n += g.requests[Unknown][x.tenant] + g.requests[Claimant][x.tenant]
	}
	share := g.share[x.tenant]
	return share < 1 && float64(n) >= share*float64(g.ledger.requestBudget/2)
}

// Established reports that a request's flow is established.
func (g *Controller) Established(now time.Duration, t Ticket) {
	g.setTime(now)
	if x := g.lookupUse(t, Unanswered); x != nil {
		x.use, x.establishedAt = Established, g.now
		g.ledger.move(Unanswered, Established)
	}
}

// Finished reports that a client gets nothing more. Its descriptor is not closed yet. It may be called twice.
func (g *Controller) Finished(now time.Duration, t Ticket) {
	g.setTime(now)
	if x := g.lookup(t); x != nil {
		g.finish(t, x)
		g.ledger.updateLevel(g)
	}
}

func (g *Controller) finish(t Ticket, x *connection) {
	switch x.use {
	case Closing:
		return
	case Silent:
		g.silent.remove(g, t.index())
	case Unanswered, Established:
		if x.use == Established {
			g.promote(x)
		}
		g.requests[x.rank][x.tenant]--
		g.networks.list[x.network].admitted--
		if x.rank != Unknown {
			g.ledger.knownRequests--
			g.known.addRequests(x.identity, x.rank, -1)
		}
	}
	g.ledger.move(x.use, Closing)
	x.use = Closing
}

// Closed reports that a client's descriptor is free again.
func (g *Controller) Closed(now time.Duration, t Ticket) {
	g.setTime(now)
	x := g.lookup(t)
	if x == nil {
		return
	}
	g.finish(t, x)
	g.ledger.move(Closing, Free)
	if x.victim {
		g.openVictims--
	}
	g.addresses.addConnections(x.address, -1)
	g.networks.addConnections(x.network, -1)
	*x = connection{generation: x.generation}
	g.freeIndexes = append(g.freeIndexes, t.index())
	g.ledger.updateLevel(g)
}

// Exhausted reports that the process was refused a descriptor although the budget was not used up, because something
// else uses more descriptors than assumed. The budget is cut to less than is in use and grows back slowly.
func (g *Controller) Exhausted(now time.Duration) {
	g.setTime(now)
	g.Counters.Exhausted++
	g.ledger.cutBudget(g.now)
	g.evictSilent(true, 0)
	g.ledger.updateLevel(g)
}

// CountRefusal counts a refusal that the caller decided by itself, and returns a verdict with its retry time.
func (g *Controller) CountRefusal(now time.Duration, r Reason) Verdict {
	g.setTime(now)
	_, v := g.refuse(r)
	return v
}

// Tick does the periodic work: it promotes clients to known ones, forgets clients, closes silent clients early from
// level Short on, and lets the level fall. It should be called several times a second.
func (g *Controller) Tick(now time.Duration) {
	g.setTime(now)
	if g.now-g.lastTick < minTickInterval {
		return
	}
	g.lastTick = g.now
	g.ledger.restoreBudget()
	g.ledger.updateLevel(g)
	closeEarly := g.ledger.level >= Short
	for i := 1; i < len(g.connections); i++ {
		switch x := &g.connections[i]; {
		case x.use == Established:
			g.promote(x)
		case x.use == Silent && closeEarly && !x.victim && g.now-x.acceptedAt >= g.cfg.Address.FirstLineTimeout:
			g.evict(int32(i), FirstLineTimeout)
		}
	}
	g.Counters.Forgotten += g.known.expire(g.now)
}

// Victim is a silent client that the caller must answer with BUSY and close now.
type Victim struct {
	Ticket
	RetryAfter time.Duration // time after which it should retry, or 0 for no retry time
}

// Victims returns the silent clients to close; each is returned once. The slice is valid until the next call of a
// method of the Controller.
func (g *Controller) Victims() []Victim {
	v := g.victims
	g.victims = g.victims[:0]
	return v
}

// promote makes a client known, from its next connection on, once its flow has been established for long enough. No
// client becomes known from level Tight on, because the clients of a flood keep their flows established too. The
// connection itself keeps its rank: if it counted as a known client's from now on, the free part of the reserve would
// shrink, and another unknown client could take its place.
func (g *Controller) promote(x *connection) {
	if g.now-x.establishedAt < g.cfg.Reserve.EstablishedFor || g.ledger.level >= Tight && !g.known.contains(x.identity) {
		return
	}
	if g.known.recordEstablished(x.identity, g.networks.list[x.network].key, g.now, x.establishedAt) {
		g.Counters.Promoted++
	}
}

// evictSilent chooses a silent client to close. If the new connection comes from the address that has the most silent
// clients, none is closed, and the new connection is to be refused. anyAddress lifts this restriction.
func (g *Controller) evictSilent(anyAddress bool, newAddress int32) bool {
	i, ok := g.silent.victim(g)
	if !ok || !anyAddress && g.connections[i].address == newAddress {
		return false
	}
	g.evict(i, Reclaimed)
	return true
}

// evictSilentFor chooses a silent client to close for another one whose request needs one more descriptor.
func (g *Controller) evictSilentFor(i int32) bool {
	g.silent.remove(g, i)
	ok := g.evictSilent(true, 0)
	g.silent.add(g, i)
	return ok
}

func (g *Controller) evict(i int32, reason Reason) {
	g.Counters.Refused[reason]++
	g.connections[i].victim = true
	g.openVictims++
	g.silent.remove(g, i)
	g.victims = append(g.victims, Victim{g.ticketAt(i), g.retryAfter()})
}

func (g *Controller) ticketAt(i int32) Ticket {
	return Ticket(g.connections[i].generation)<<32 | Ticket(uint32(i))
}

func (g *Controller) refuse(reason Reason) (Ticket, Verdict) {
	g.Counters.Refused[reason]++
	return 0, Verdict{Reason: reason, RetryAfter: g.retryAfter()}
}

// retryAfter returns a retry time. Retries are scheduled at the configured rate, so that clients refused in one burst
// don't retry in another. Once the schedule is full, retry times are random.
func (g *Controller) retryAfter() time.Duration {
	c := &g.cfg.RetrySchedule
	if !c.Enabled || c.PerSecond <= 0 {
		return 0
	}
	step := time.Duration(float64(time.Second) / c.PerSecond)
	first, last := g.now+c.Min, g.now+c.Max
	g.scheduledUntil = max(g.scheduledUntil, first) + step
	if g.scheduledUntil > last {
		g.scheduledUntil = last // the schedule is full: a random time in its later half
		return c.Min + (c.Max-c.Min)/2 + time.Duration(g.random()%uint64((c.Max-c.Min)/2+1))
	}
	return g.scheduledUntil - g.now + time.Duration(g.random()%uint64(step+1))
}

// setTime sets the current time. A time before the current one is ignored.
func (g *Controller) setTime(now time.Duration) { g.now = max(g.now, now) }

func (g *Controller) lookup(t Ticket) *connection {
	i := t.index()
	if i <= 0 || int(i) >= len(g.connections) || g.connections[i].use == Free || g.ticketAt(i) != t {
		return nil
	}
	return &g.connections[i]
}

func (g *Controller) lookupUse(t Ticket, u Use) *connection {
	if x := g.lookup(t); x != nil && x.use == u {
		return x
	}
	return nil
}

func (g *Controller) random() uint64 {
	g.randomState += 0x9e3779b97f4a7c15
	return mix(g.randomState, 0xbf58476d1ce4e5b9)
}

// Report is the state of the Controller as operators see it.
type Report struct {
	Level        string           `json:"Level"`
	Descriptors  map[string]int   `json:"Descriptors"`
	Budget       int              `json:"Budget"`
	Cut          int              `json:"Cut"`
	Known        int              `json:"Known"`
	Addresses    int              `json:"Addresses"`
	Networks     int              `json:"Networks"`
	Accepted     int64            `json:"Accepted"`
	Requests     int64            `json:"Requests"`
	Promoted     int64            `json:"Promoted"`
	Muted        int64            `json:"Muted"`
	Exhausted    int64            `json:"Exhausted"`
	ByKnown      int64            `json:"ByKnown"`
	ByClaimants  int64            `json:"ByClaimants"`
	Forgotten    int64            `json:"Forgotten"`
	Evicted      int64            `json:"Evicted"`
	LevelChanges int64            `json:"Turns"`
	Refused      map[string]int64 `json:"Refused"`
}

// Report returns the current state and counters.
func (g *Controller) Report() Report {
	c := &g.Counters
	r := Report{Level: g.ledger.level.String(), Descriptors: map[string]int{}, Refused: map[string]int64{},
		Budget: g.ledger.budget, Cut: g.ledger.cut, Known: len(g.known.index), Addresses: len(g.addresses.index),
		Networks: len(g.networks.index), Accepted: c.Accepted, Requests: c.Requests, Promoted: c.Promoted, Muted: c.Muted,
		Exhausted: c.Exhausted, ByKnown: c.ByKnown, ByClaimants: c.ByClaimants, Forgotten: c.Forgotten,
		Evicted: g.addresses.evicted + g.networks.evicted, LevelChanges: c.LevelChanges}
	for u := Silent; u < useCount; u++ {
		r.Descriptors[u.String()] = g.ledger.inUse[u]
	}
	for i, n := range c.Refused {
		if n > 0 {
			r.Refused[Reason(i).String()] = n
		}
	}
	return r
}
