// What a balancer remembers, and how it keeps count. No decision is made here.

package policy

import (
	"cmp"
	"hash/fnv"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

type server struct {
	Server
	hash            uint64
	rank            float64 // in the draw under way
	doubt           float64 // grows with each overload; its room is divided by 1 + doubt
	x, step, placed float64 // reading of X, what a mean connection adds, what was added here since
	known, probing  bool
	readAt, heardAt time.Duration  // last reading, last sign of life
	askedAt         time.Duration  // last probe
	waiters         []*request     // they wait for the probe
	lag             time.Duration  // what a message took there, or the backlog reported ...
	lagAt           time.Duration  // ... at this time
	open, fails     int            // own connections; probes without an answer, in a row
	groups          map[string]int // own connections by group
	heldOff         time.Duration  // not drawn before this
	overSince       time.Duration  // it reads overloaded since then; 0 if it doesn't
	escapeAt        time.Duration  // no escape before this: the last one has to show first
	coldSince       time.Duration  // 0 if warm
	heaviest        float64        // weight of a class whose sends the cold budget allows
	chance          float64        // part of the time in which a budget as small as this one allows a send
	tokens          float64        // sends that the cold budget allows ...
	tokensAt        time.Duration  // ... at this time
	own             float64        // own last reading of X ...
	ownAt, toldAt   time.Duration  // ... and its time; when others' reading was last taken
	grace           time.Duration  // others' reading is good for so much longer than an own one
	share           float64        // weight of its draws, by the revision in force: 0 takes nothing new
	beyond, duty    bool           // not one of the candidates; this balancer reads it for others as well
}

type tenant struct {
	Tenant
	open int
}

// mean is the running mean of the loads that connections told.
type mean struct {
	load float64
	told int
}

// plan says what a move was for: its client goes to target, or anywhere but to avoid. A move that
// explores has the server it left in from.
type plan struct {
	target, from, avoid *server
	fromX               float64
	until               time.Duration
}

type request struct {
	Request
	plan              // of the move that brought it here
	class             *Class
	tenant            *tenant
	since, deadline   time.Duration
	out, open, moving bool // an attempt is out; the connection stands; it was told to move
	attempts, draws   int
	sentAt, ranAt     time.Duration // last send; send of the first attempt that may have run, or -1
	ranOn, on         *server
	failures          int           // set-ups that failed
	choice            []*server     // held: drawn, and waiting for readings
	chooseAt          time.Duration // held: choose or draw again at this time
	drawn             *server       // open: explore target of this slot
}

// Balancer decides for one balancer. It is not safe for concurrent use.
type Balancer struct {
	cfg                    Config
	classes                map[string]*Class
	tenants                map[string]*tenant
	rng                    *rand.Rand
	now, tick, messageAim  time.Duration
	out                    []Action
	servers                map[string]*server
	order                  []*server // sorted by id
	requests               map[string]*request
	held, conns            []*request // no attempt out, by arrival; open, by set-up
	plans                  map[string]plan
	groups                 map[string]int   // own connections by group
	loads                  map[string]*mean // by class, and of all under ""
	back                   []*server        // back from a drain, and not sent to since
	t                      int              // explore slots so far
	started, exploring     bool
	subscribed             bool
	slotAt, askAt, askWait time.Duration
	exploredAt             time.Duration // begin of the last explore slot
	fleet                  FleetState         // what is known of the other balancers, all 0 for nothing
	candidates             map[string]bool
	bare                   bool          // no candidate is live and warm: all servers count
	age                    time.Duration // a reading older than this has likely been renewed
	setup, meanX, meanStep float64       // running means: set-up time in ms, X, step of warm servers ...
	meanHeld               float64       // ... and connections over registered size, where no load is reported
	outs                   int           // set-ups under way ...
	window                 float64       // ... and how many there may be
	cutAt, pauseTill       time.Duration // no second cut before this; no set-up before this
	lastBad                *server       // where a set-up failed last
	failing                float64       // running share of requests whose first set-up failed
	demand                 float64       // running rate of choices, a second ...
	demandAt               time.Duration // ... at this time
	permit                 LeaseState
	full                   map[string]int // by zone, the last order of classes that a full link lets through
	retries                float64        // further attempts that all requests' budget allows now
	lastOrder              int            // of the classes' orders
}

func (b *Balancer) accept(q Request, k *Class) *request {
	r := &request{Request: q, class: k, tenant: b.tenants[q.Tenant], since: b.now,
		deadline: b.now + q.Timeout, ranAt: -1}
	b.requests[q.ID] = r
	b.retries = min(retriesAtOnce, b.retries+b.cfg.RetryRatio)
	return r
}

func without(list []*request, r *request) []*request {
	return slices.DeleteFunc(list, func(o *request) bool { return o == r })
}

func (b *Balancer) hold(r *request) {
	if !slices.Contains(b.held, r) {
		b.held = append(b.held, r)
	}
}

func (b *Balancer) unhold(r *request) { b.held = without(b.held, r) }

// forget drops a request that is closed.
func (b *Balancer) forget(r *request) {
	delete(b.requests, r.ID)
	b.unhold(r)
	if r.out {
		b.outs--
	}
	if r.open {
		r.on.open--
		for _, groups := range []map[string]int{r.on.groups, b.groups} {
			if groups[r.Group]--; groups[r.Group] <= 0 { // also the connections that belong to none
				delete(groups, r.Group)
			}
		}
		b.conns = without(b.conns, r)
		if r.tenant != nil {
			r.tenant.open--
		}
	}
	r.out, r.open = false, false
}

func (b *Balancer) stand(r *request) {
	r.open = true
	r.on.open++
	if r.Group != "" {
		r.on.groups[r.Group]++
		b.groups[r.Group]++
	}
	b.conns = append(b.conns, r)
	if r.tenant != nil {
		r.tenant.open++
	}
}

// weigh takes the load that a connection of a class told.
func (b *Balancer) weigh(class string, load float64) {
	if load <= 0 { // an idle one: what it asks when it goes on is not known
		return
	}
	for _, name := range []string{class, ""} {
		m := b.loads[name]
		if m == nil {
			m = &mean{}
			b.loads[name] = m
		}
		m.told = min(m.told+1, manyTold)
		m.load += (load - m.load) / float64(m.told)
	}
}

// weight is the load of a class's connections over that of all, 1 until enough have told theirs.
func (b *Balancer) weight(class string) float64 {
	if m := b.loads[class]; m != nil && m.told >= fewTold {
		return m.load / b.loads[""].load
	}
	return 1
}

const (
	fewTold  = 8   // loads are uneven: the mean of so many is right within a half
	manyTold = 200 // a mean follows what changes within so many
)

func hashOf(text string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(text))
	return h.Sum64()
}

// mix turns a sum of hashes into a number that is uniform in (0, 1).
func mix(x uint64) float64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return (float64((x^x>>31)>>11) + 0.5) / (1 << 53)
}

func (b *Balancer) adopt(a AdoptedConnection) {
	k, s := b.classes[a.Class], b.servers[a.Server]
	if k == nil || s == nil || b.requests[a.ID] != nil {
		return
	}
	r := b.accept(a.Request, k)
	r.on, r.attempts = s, 1
	b.stand(r)
}

// expect notes where the connection of a key stands, as the process that held it before has told.
func (b *Balancer) expect(e PredecessorFlow) {
	if s := b.servers[e.Server]; s != nil {
		b.plans[e.Key] = plan{target: s, until: b.now + planFor}
	}
}

// merge brings the servers up to a list or to the changes of one.
func (b *Balancer) merge(l ServerList) {
	listed := make(map[string]bool, len(l.Servers))
	for _, e := range l.Servers {
		listed[e.ID] = true
		s := b.servers[e.ID]
		if s == nil {
			s = &server{hash: hashOf(e.ID), heardAt: b.now, groups: map[string]int{}}
			b.servers[e.ID] = s
			b.order = append(b.order, s)
		}
		if s.State == Draining && e.State == Live {
			b.back = append(b.back, s)
		}
		s.Server = e
		if e.StartedAt > s.coldSince && b.now-e.StartedAt < b.cfg.WarmUpDuration {
			b.chill(s, e.StartedAt)
		}
	}
	for _, s := range b.order {
		if l.Kind != ListDelta && !listed[s.ID] {
			s.State = Gone
		}
		if s.State == Gone {
			delete(b.servers, s.ID)
		}
	}
	b.order = slices.DeleteFunc(b.order, func(s *server) bool { return s.State == Gone })
	b.back = slices.DeleteFunc(b.back, func(s *server) bool { return s.State != Live })
	slices.SortFunc(b.order, func(x, y *server) int { return cmp.Compare(x.ID, y.ID) })
	b.mark()
}

// note takes what is only remembered.
func (b *Balancer) note(ev Event) {
	switch ev := ev.(type) {
	case AdoptedConnection:
		b.adopt(ev)
	case PredecessorFlow:
		b.expect(ev)
	case CandidateSubset:
		b.candidates = nil
		if len(ev.Servers) > 0 {
			b.candidates = map[string]bool{}
		}
		for _, id := range ev.Servers {
			b.candidates[id] = true
		}
		b.mark()
	case FleetState:
		if b.fleet = ev; ev.ExplorationSlots > b.t {
			b.t = ev.ExplorationSlots
		}
		if left := b.slotAt - b.now; left > 0 { // never into the past, nor further off than a slot is long
			b.slotAt = b.now + min(max(left+ev.SlotShift, b.tick), max(left, b.slotLength()))
		}
		b.mark()
	case LeaseState:
		b.permit = ev
	case SaturatedLinks:
		b.full = ev.Zones
	case ClientDisconnected:
		if r := b.requests[ev.ID]; r != nil && !ev.HalfClosed {
			b.forget(r)
		} else if r != nil && !r.open {
			r.deadline = min(r.deadline, b.now+DisconnectGrace)
		}
	}
}

// shareOf is the weight of a server's draws: its own times its zone's.
func (b *Balancer) shareOf(s *server) float64 {
	share := 1.0
	for _, name := range []string{s.ID, "zone/" + s.Zone} {
		if w, ok := b.cfg.Weights[name]; ok {
			share *= w
		}
	}
	return share
}

// mark sets which servers are candidates, and which this balancer reads for others.
func (b *Balancer) mark() {
	b.bare = true
	for _, s := range b.order {
		s.beyond = b.candidates != nil && !b.candidates[s.ID]
		s.duty, s.share = slices.Contains(b.fleet.AssignedServers, s.ID), b.shareOf(s)
		b.bare = b.bare && (s.beyond || s.State != Live || b.ramp(s) < 1)
	}
}

func (b *Balancer) outside(s *server) bool { return s.beyond && !b.bare }

// looked is the number of servers that connections are moved between.
func (b *Balancer) looked() int { return b.count(func(s *server) bool { return !b.outside(s) }) }

func (b *Balancer) count(is func(s *server) bool) (n int) {
	for _, s := range b.order {
		if is(s) {
			n++
		}
	}
	return n
}

// sharers is by how many a sum is divided that all balancers' sends must keep to.
func (b *Balancer) sharers() float64 {
	if b.fleet.BudgetSharers < 0 {
		return math.Inf(1)
	}
	return float64(cmp.Or(b.fleet.BudgetSharers, b.cfg.Balancers) * (1 + b.cfg.OverlappingProcesses))
}

// odds is the part of the time in which this balancer's budget allows a send to s, 1 where it needs none.
func (b *Balancer) odds(s *server) float64 {
	if b.ramp(s) >= 1 {
		return 1
	}
	return min(1, max(s.chance, 1e-3))
}

// wanted is how many choices a second all balancers make: as they told, or as if all were like this one.
func (b *Balancer) wanted() float64 {
	if b.fleet.Demand > 0 {
		return max(b.demand, b.fleet.Demand)
	}
	return b.demand * float64(b.cfg.Balancers*(1+b.cfg.OverlappingProcesses))
}

// toldAfter is when news count as told though they did not arrive, from the moment in which discovery fell silent.
const toldAfter = 6 * time.Second

// firstWait is half of the longest wait before the first call that follows a broken watch: however long the settings let
// a balancer go without asking, two calls have to be possible before what a silent watch missed counts as told.
func (b *Balancer) firstWait() time.Duration { return min(b.cfg.PollInterval, toldAfter) / 20 }

// inTurn is this balancer's place in a time in which all do something once: its turn, or drawn where it has none.
func (b *Balancer) inTurn(d time.Duration) time.Duration {
	if b.fleet.StaggerOffset > 0 {
		return time.Duration(b.fleet.StaggerOffset * float64(d))
	}
	return b.jitter(d)
}

func (b *Balancer) move(r *request, p plan) {
	r.moving = true
	p.until = b.now + planFor
	if r.Key != "" {
		b.plans[r.Key] = p
	}
	why := "leave"
	switch {
	case p.from != nil:
		why = "explore"
	case p.target != nil:
		why = "back"
	case r.on.State == Draining:
		why = "drain"
	case r.on.fails > 1:
		why = "silent"
	case r.on.known && r.on.x > overX:
		why = "over"
	}
	b.do(Migrate{r.ID, why})
}

// why names what kept r from being placed, for those who count.
func (b *Balancer) why(r *request) string {
	switch k := r.class; {
	case b.permit != LeaseActive:
		return "permit"
	case r.ranAt >= 0 && k.Idempotency == NotIdempotent:
		return "ran"
	case r.attempts >= k.MaxAttempts:
		return "attempts"
	case b.cfg.RetryRatio > 0 && b.retries < 1 && r.attempts > 0:
		return "retries"
	case !b.mayStart():
		return "window"
	case slices.ContainsFunc(r.choice, func(s *server) bool { return s.probing }):
		return "unread"
	}
	best, most := "none", -1 // of the servers it had drawn, or else of all, what came nearest to taking it
	for _, s := range b.order {
		if s.State != Live || s.share == 0 || len(r.choice) > 0 && !slices.Contains(r.choice, s) {
			continue
		}
		room := (fullX - b.counts(s, r)) / max(b.step(s)*b.weight(r.Class), 1e-6)
		for i, is := range []bool{b.outside(s), s == r.avoid, b.now < s.heldOff, b.lagging(s, r.class.MessageLatencyObjective),
			room < 1, room < 1+s.doubt, b.ramp(s) < 1 && b.budget(s) < 1, true} {
			if is {
				if i > most {
					best, most = []string{"outside", "tried", "held-off", "lags", "full", "doubt", "budget", "lot"}[i], i
				}
				break
			}
		}
	}
	return best
}

// dropOldPlans forgets the clients that went elsewhere.
func (b *Balancer) dropOldPlans() {
	for key, p := range b.plans {
		if b.now >= p.until {
			delete(b.plans, key)
		}
	}
}

// loadOf is the X of a report, from the best figure that it has. How many connections a server can hold nobody
// tells: where reports hold nothing else, twice the mean of all counts as full, by registered size.
func (b *Balancer) loadOf(p LoadReport, weight float64) float64 {
	switch held := max(0, p.InFlight) / max(weight, 1e-6); {
	case p.Load >= 0:
		return p.Load
	case p.Utilization >= 0:
		return p.Utilization
	default:
		b.meanHeld += 0.05 * (held - cmp.Or(b.meanHeld, held))
		b.meanHeld = cmp.Or(b.meanHeld, held)
		return fullX / 2 * held / max(b.meanHeld, 1)
	}
}

func (b *Balancer) do(a Action) { b.out = append(b.out, a) }

func (b *Balancer) jitter(d time.Duration) time.Duration {
	return time.Duration(b.rng.Float64() * float64(d))
}

// index finds classes and tenants by name, and the tightest of the message aims. What was placed under
// earlier settings keeps its class, and counts for its tenant.
func (b *Balancer) index() {
	b.cfg.Classes, b.window = slices.Clone(b.cfg.Classes), min(b.window, float64(b.cfg.MaxPendingAttempts))
	b.classes, b.messageAim, b.lastOrder = map[string]*Class{}, 0, 0
	old := b.tenants
	b.tenants = map[string]*tenant{}
	for i := range b.cfg.Classes {
		k := &b.cfg.Classes[i]
		k.MaxAttempts = min(cmp.Or(k.MaxAttempts, b.cfg.MaxAttempts), b.cfg.MaxAttempts)
		b.classes[k.Name], b.lastOrder = k, max(b.lastOrder, k.PriorityRank)
		if b.messageAim == 0 || k.MessageLatencyObjective > 0 && k.MessageLatencyObjective < b.messageAim {
			b.messageAim = k.MessageLatencyObjective
		}
	}
	for _, t := range b.cfg.Tenants {
		if b.tenants[t.Name] = old[t.Name]; b.tenants[t.Name] == nil {
			b.tenants[t.Name] = &tenant{}
		}
		b.tenants[t.Name].Tenant = t
	}
	b.mark()
}

// LoadReadings tells of each server that this balancer read itself or found silent: X, when it was read, probes without an answer
// in a row. What others told is not told on.
func (b *Balancer) LoadReadings(of func(id string, x float64, at time.Duration, fails int)) {
	for _, s := range b.order {
		if s.ownAt > 0 || s.fails > 0 {
			of(s.ID, s.own, s.ownAt, s.fails)
		}
	}
}

// ExplorationSchedule tells how long ago the last explore slot began, how long it is from one to the next, and how many choices a
// second this balancer makes.
func (b *Balancer) ExplorationSchedule() (since, period time.Duration, demand float64) {
	return b.now - b.exploredAt, 2 * b.slotLength(), b.demand * math.Exp(-(b.now - b.demandAt).Seconds())
}

// ExplorationSlots is the number of explore slots so far.
func (b *Balancer) ExplorationSlots() int { return b.t }
