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
	idHash            uint64
	sampleRank            float64 // in the draw under way
	estimatePenalty           float64 // grows with each overload; its room is divided by 1 + doubt
	readingLoad, estimateStep, estimatePlaced float64 // reading of X, what a mean connection adds, what was added here since
	readingKnown, probePending  bool
	readingAt, heardAt time.Duration  // last reading, last sign of life
	probeSentAt         time.Duration  // last probe
	probeWaiters         []*request     // they wait for the probe
	delayValue             time.Duration  // what a message took there, or the backlog reported ...
	delayAt           time.Duration  // ... at this time
	openConnections, probeFailures     int            // own connections; probes without an answer, in a row
	groupConnections          map[string]int // own connections by group
	probeEjectedUntil         time.Duration  // not drawn before this
	readingOverloadedSince       time.Duration  // it reads overloaded since then; 0 if it doesn't
	nextEvacuationAt        time.Duration  // no escape before this: the last one has to show first
	warmUpSince       time.Duration  // 0 if warm
	warmUpMaxWeight        float64        // weight of a class whose sends the cold budget allows
	warmUpSendProbability          float64        // part of the time in which a budget as small as this one allows a send
	warmUpTokens          float64        // sends that the cold budget allows ...
	warmUpRefilledAt        time.Duration  // ... at this time
	readingOwn             float64        // own last reading of X ...
	readingOwnAt, readingPeerAt   time.Duration  // ... and its time; when others' reading was last taken
	readingGrace           time.Duration  // others' reading is good for so much longer than an own one
	sampleWeight           float64        // weight of its draws, by the revision in force: 0 takes nothing new
	excluded, assigned    bool           // not one of the candidates; this balancer reads it for others as well
}

type tenantState struct {
	Tenant
	openConnections int
}

// runningMean is the running mean of the loads that connections told.
type runningMean struct {
	value float64
	samples int
}

// migration says what a move was for: its client goes to target, or anywhere but to avoid. A move that
// explores has the server it left in from.
type migration struct {
	target, origin, avoid *server
	originLoad               float64
	expiresAt               time.Duration
}

type request struct {
	Request
	migration              // of the move that brought it here
	class             *Class
	tenant            *tenantState
	receivedAt, deadline   time.Duration
	attemptPending, established, migrating bool // an attempt is out; the connection stands; it was told to move
	attempts, samples   int
	attemptSentAt, mayHaveRunAt     time.Duration // last send; send of the first attempt that may have run, or -1
	mayHaveRunOn, server         *server
	failedSetups          int           // set-ups that failed
	sampled            []*server     // held: drawn, and waiting for readings
	nextPlacementAt          time.Duration // held: choose or draw again at this time
	explorationTarget             *server       // open: explore target of this slot
}

// Balancer decides for one balancer. It is not safe for concurrent use.
type Balancer struct {
	config                    Config
	classes                map[string]*Class
	tenants                map[string]*tenantState
	rng                    *rand.Rand
	now, tickInterval, messageObjective  time.Duration
	actions                    []Action
	servers                map[string]*server
	sortedServers                  []*server // sorted by id
	requests               map[string]*request
	waiting, connections            []*request // no attempt out, by arrival; open, by set-up
	migrations                  map[string]migration
	groupConnections                 map[string]int   // own connections by group
	classLoads                  map[string]*runningMean // by class, and of all under ""
	restoredServers                   []*server        // back from a drain, and not sent to since
	explorationSlots                      int              // explore slots so far
	started, explorationActive     bool
	discoverySubscribed             bool
	explorationNextSlotAt, discoveryNextPollAt, discoveryBackoff time.Duration
	explorationStartedAt             time.Duration // begin of the last explore slot
	fleet                  FleetState         // what is known of the other balancers, all 0 for nothing
	subsetCandidates             map[string]bool
	subsetDisabled                   bool          // no candidate is live and warm: all servers count
	meansRenewalAge                    time.Duration // a reading older than this has likely been renewed
	setupsMeanMillis, meansLoad, meansStep float64       // running means: set-up time in ms, X, step of warm servers ...
	meansConnections               float64       // ... and connections over registered size, where no load is reported
	setupsPending                   int           // set-ups under way ...
	setupsLimit                 float64       // ... and how many there may be
	setupsNextCutAt, setupsPausedUntil       time.Duration // no second cut before this; no set-up before this
	setupsLastFailedOn                *server       // where a set-up failed last
	setupsFailureRate                float64       // running share of requests whose first set-up failed
	demandPerSecond                 float64       // running rate of choices, a second ...
	demandUpdatedAt               time.Duration // ... at this time
	lease                 LeaseState
	saturatedLinks                   map[string]int // by zone, the last order of classes that a full link lets through
	retryTokens                float64        // further attempts that all requests' budget allows now
	lowestPriority              int            // of the classes' orders
}

func (b *Balancer) newRequest(q Request, k *Class) *request {
	r := &request{Request: q, class: k, tenant: b.tenants[q.Tenant], receivedAt: b.now,
		deadline: b.now + q.Timeout, mayHaveRunAt: -1}
	b.requests[q.ID] = r
	b.retryTokens = min(maxRetryTokens, b.retryTokens+b.config.RetryRatio)
	return r
}

func without(list []*request, r *request) []*request {
	return slices.DeleteFunc(list, func(o *request) bool { return o == r })
}

func (b *Balancer) enqueue(r *request) {
	if !slices.Contains(b.waiting, r) {
		b.waiting = append(b.waiting, r)
	}
}

func (b *Balancer) dequeue(r *request) { b.waiting = without(b.waiting, r) }

// forget drops a request that is closed.
func (b *Balancer) forget(r *request) {
	delete(b.requests, r.ID)
	b.dequeue(r)
	if r.attemptPending {
		b.setupsPending--
	}
	if r.established {
		r.server.openConnections--
		for _, groups := range []map[string]int{r.server.groupConnections, b.groupConnections} {
			if groups[r.Group]--; groups[r.Group] <= 0 { // also the connections that belong to none
				delete(groups, r.Group)
			}
		}
		b.connections = without(b.connections, r)
		if r.tenant != nil {
			r.tenant.openConnections--
		}
	}
	r.attemptPending, r.established = false, false
}

func (b *Balancer) establish(r *request) {
	r.established = true
	r.server.openConnections++
	if r.Group != "" {
		r.server.groupConnections[r.Group]++
		b.groupConnections[r.Group]++
	}
	b.connections = append(b.connections, r)
	if r.tenant != nil {
		r.tenant.openConnections++
	}
}

// recordConnectionLoad takes the load that a connection of a class told.
func (b *Balancer) recordConnectionLoad(class string, load float64) {
	if load <= 0 { // an idle one: what it asks when it goes on is not known
		return
	}
	for _, name := range []string{class, ""} {
		m := b.classLoads[name]
		if m == nil {
			m = &runningMean{}
			b.classLoads[name] = m
		}
		m.samples = min(m.samples+1, maxLoadSamples)
		m.value += (load - m.value) / float64(m.samples)
	}
}

// classWeight is the load of a class's connections over that of all, 1 until enough have told theirs.
func (b *Balancer) classWeight(class string) float64 {
	if m := b.classLoads[class]; m != nil && m.samples >= minLoadSamples {
		return m.value / b.classLoads[""].value
	}
	return 1
}

const (
	minLoadSamples  = 8   // loads are uneven: the mean of so many is right within a half
	maxLoadSamples = 200 // a mean follows what changes within so many
)

func hashText(text string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(text))
	return h.Sum64()
}

// uniform turns a sum of hashes into a number that is uniform in (0, 1).
func uniform(x uint64) float64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return (float64((x^x>>31)>>11) + 0.5) / (1 << 53)
}

func (b *Balancer) adopt(a AdoptedConnection) {
	k, s := b.classes[a.Class], b.servers[a.Server]
	if k == nil || s == nil || b.requests[a.ID] != nil {
		return
	}
	r := b.newRequest(a.Request, k)
	r.server, r.attempts = s, 1
	b.establish(r)
}

// expectPredecessorFlow notes where the connection of a key stands, as the process that held it before has told.
func (b *Balancer) expectPredecessorFlow(e PredecessorFlow) {
	if s := b.servers[e.Server]; s != nil {
		b.migrations[e.Key] = migration{target: s, expiresAt: b.now + migrationExpiry}
	}
}

// mergeServers brings the servers up to a list or to the changes of one.
func (b *Balancer) mergeServers(l ServerList) {
	listed := make(map[string]bool, len(l.Servers))
	for _, e := range l.Servers {
		listed[e.ID] = true
		s := b.servers[e.ID]
		if s == nil {
			s = &server{idHash: hashText(e.ID), heardAt: b.now, groupConnections: map[string]int{}}
			b.servers[e.ID] = s
			b.sortedServers = append(b.sortedServers, s)
		}
		if s.State == Draining && e.State == Live {
			b.restoredServers = append(b.restoredServers, s)
		}
		s.Server = e
		if e.StartedAt > s.warmUpSince && b.now-e.StartedAt < b.config.WarmUpDuration {
			b.startWarmUp(s, e.StartedAt)
		}
	}
	for _, s := range b.sortedServers {
		if l.Kind != ListDelta && !listed[s.ID] {
			s.State = Gone
		}
		if s.State == Gone {
			delete(b.servers, s.ID)
		}
	}
	b.sortedServers = slices.DeleteFunc(b.sortedServers, func(s *server) bool { return s.State == Gone })
	b.restoredServers = slices.DeleteFunc(b.restoredServers, func(s *server) bool { return s.State != Live })
	slices.SortFunc(b.sortedServers, func(x, y *server) int { return cmp.Compare(x.ID, y.ID) })
	b.markSubset()
}

// record takes what is only remembered.
func (b *Balancer) record(ev Event) {
	switch ev := ev.(type) {
	case AdoptedConnection:
		b.adopt(ev)
	case PredecessorFlow:
		b.expectPredecessorFlow(ev)
	case CandidateSubset:
		b.subsetCandidates = nil
		if len(ev.Servers) > 0 {
			b.subsetCandidates = map[string]bool{}
		}
		for _, id := range ev.Servers {
			b.subsetCandidates[id] = true
		}
		b.markSubset()
	case FleetState:
		if b.fleet = ev; ev.ExplorationSlots > b.explorationSlots {
			b.explorationSlots = ev.ExplorationSlots
		}
		if left := b.explorationNextSlotAt - b.now; left > 0 { // never into the past, nor further off than a slot is long
			b.explorationNextSlotAt = b.now + min(max(left+ev.SlotShift, b.tickInterval), max(left, b.slotLength()))
		}
		b.markSubset()
	case LeaseState:
		b.lease = ev
	case SaturatedLinks:
		b.saturatedLinks = ev.Zones
	case ClientDisconnected:
		if r := b.requests[ev.ID]; r != nil && !ev.HalfClosed {
			b.forget(r)
		} else if r != nil && !r.established {
			r.deadline = min(r.deadline, b.now+DisconnectGrace)
		}
	}
}

// configuredWeight is the weight of a server's draws: its own times its zone's.
func (b *Balancer) configuredWeight(s *server) float64 {
	share := 1.0
	for _, name := range []string{s.ID, "zone/" + s.Zone} {
		if w, ok := b.config.Weights[name]; ok {
			share *= w
		}
	}
	return share
}

// markSubset sets which servers are candidates, and which this balancer reads for others.
func (b *Balancer) markSubset() {
	b.subsetDisabled = true
	for _, s := range b.sortedServers {
		s.excluded = b.subsetCandidates != nil && !b.subsetCandidates[s.ID]
		s.assigned, s.sampleWeight = slices.Contains(b.fleet.AssignedServers, s.ID), b.configuredWeight(s)
		b.subsetDisabled = b.subsetDisabled && (s.excluded || s.State != Live || b.warmUpCapacity(s) < 1)
	}
}

func (b *Balancer) beyondSubset(s *server) bool { return s.excluded && !b.subsetDisabled }

// subsetSize is the number of servers that connections are moved between.
func (b *Balancer) subsetSize() int { return b.count(func(s *server) bool { return !b.beyondSubset(s) }) }

func (b *Balancer) count(is func(s *server) bool) (n int) {
	for _, s := range b.sortedServers {
		if is(s) {
			n++
		}
	}
	return n
}

// budgetSharers is by how many a sum is divided that all balancers' sends must keep to.
func (b *Balancer) budgetSharers() float64 {
	if b.fleet.BudgetSharers < 0 {
		return math.Inf(1)
	}
	return float64(cmp.Or(b.fleet.BudgetSharers, b.config.Balancers) * (1 + b.config.OverlappingProcesses))
}

// sendProbability is the part of the time in which this balancer's budget allows a send to s, 1 where it needs none.
func (b *Balancer) sendProbability(s *server) float64 {
	if b.warmUpCapacity(s) >= 1 {
		return 1
	}
	return min(1, max(s.warmUpSendProbability, 1e-3))
}

// fleetDemand is how many choices a second all balancers make: as they told, or as if all were like this one.
func (b *Balancer) fleetDemand() float64 {
	if b.fleet.Demand > 0 {
		return max(b.demandPerSecond, b.fleet.Demand)
	}
	return b.demandPerSecond * float64(b.config.Balancers*(1+b.config.OverlappingProcesses))
}

// updateDeadline is when news count as told though they did not arrive, from the moment in which discovery fell silent.
const updateDeadline = 6 * time.Second

// initialPollBackoff is half of the longest wait before the first call that follows a broken watch: however long the settings let
// a balancer go without asking, two calls have to be possible before what a silent watch missed counts as told.
func (b *Balancer) initialPollBackoff() time.Duration { return min(b.config.PollInterval, updateDeadline) / 20 }

// staggered is this balancer's place in a time in which all do something once: its turn, or drawn where it has none.
func (b *Balancer) staggered(d time.Duration) time.Duration {
	if b.fleet.StaggerOffset > 0 {
		return time.Duration(b.fleet.StaggerOffset * float64(d))
	}
	return b.jitter(d)
}

func (b *Balancer) migrate(r *request, p migration) {
	r.migrating = true
	p.expiresAt = b.now + migrationExpiry
	if r.Key != "" {
		b.migrations[r.Key] = p
	}
	why := "leave"
	switch {
	case p.origin != nil:
		why = "explore"
	case p.target != nil:
		why = "back"
	case r.server.State == Draining:
		why = "drain"
	case r.server.probeFailures > 1:
		why = "silent"
	case r.server.readingKnown && r.server.readingLoad > overloadedLoad:
		why = "over"
	}
	b.act(Migrate{r.ID, why})
}

// rejectionReason names what kept r from being placed, for those who count.
func (b *Balancer) rejectionReason(r *request) string {
	switch k := r.class; {
	case b.lease != LeaseActive:
		return "permit"
	case r.mayHaveRunAt >= 0 && k.Idempotency == NotIdempotent:
		return "ran"
	case r.attempts >= k.MaxAttempts:
		return "attempts"
	case b.config.RetryRatio > 0 && b.retryTokens < 1 && r.attempts > 0:
		return "retries"
	case !b.maySetUp():
		return "window"
	case slices.ContainsFunc(r.sampled, func(s *server) bool { return s.probePending }):
		return "unread"
	}
	best, most := "none", -1 // of the servers it had drawn, or else of all, what came nearest to taking it
	for _, s := range b.sortedServers {
		if s.State != Live || s.sampleWeight == 0 || len(r.sampled) > 0 && !slices.Contains(r.sampled, s) {
			continue
		}
		room := (newcomerLoadLimit - b.effectiveLoad(s, r)) / max(b.loadStep(s)*b.classWeight(r.Class), 1e-6)
		for i, is := range []bool{b.beyondSubset(s), s == r.avoid, b.now < s.probeEjectedUntil, b.delayExceeds(s, r.class.MessageLatencyObjective),
			room < 1, room < 1+s.estimatePenalty, b.warmUpCapacity(s) < 1 && b.warmUpBudget(s) < 1, true} {
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

// dropExpiredMigrations forgets the clients that went elsewhere.
func (b *Balancer) dropExpiredMigrations() {
	for key, p := range b.migrations {
		if b.now >= p.expiresAt {
			delete(b.migrations, key)
		}
	}
}

// reportedLoad is the X of a report, from the best figure that it has. How many connections a server can hold nobody
// tells: where reports hold nothing else, twice the mean of all counts as full, by registered size.
func (b *Balancer) reportedLoad(p LoadReport, weight float64) float64 {
	switch held := max(0, p.InFlight) / max(weight, 1e-6); {
	case p.Load >= 0:
		return p.Load
	case p.Utilization >= 0:
		return p.Utilization
	default:
		b.meansConnections += 0.05 * (held - cmp.Or(b.meansConnections, held))
		b.meansConnections = cmp.Or(b.meansConnections, held)
		return newcomerLoadLimit / 2 * held / max(b.meansConnections, 1)
	}
}

func (b *Balancer) act(a Action) { b.actions = append(b.actions, a) }

func (b *Balancer) jitter(d time.Duration) time.Duration {
	return time.Duration(b.rng.Float64() * float64(d))
}

// indexConfig finds classes and tenants by name, and the tightest of the message aims. What was placed under
// earlier settings keeps its class, and counts for its tenant.
func (b *Balancer) indexConfig() {
	b.config.Classes, b.setupsLimit = slices.Clone(b.config.Classes), min(b.setupsLimit, float64(b.config.MaxPendingAttempts))
	b.classes, b.messageObjective, b.lowestPriority = map[string]*Class{}, 0, 0
	old := b.tenants
	b.tenants = map[string]*tenantState{}
	for i := range b.config.Classes {
		k := &b.config.Classes[i]
		k.MaxAttempts = min(cmp.Or(k.MaxAttempts, b.config.MaxAttempts), b.config.MaxAttempts)
		b.classes[k.Name], b.lowestPriority = k, max(b.lowestPriority, k.PriorityRank)
		if b.messageObjective == 0 || k.MessageLatencyObjective > 0 && k.MessageLatencyObjective < b.messageObjective {
			b.messageObjective = k.MessageLatencyObjective
		}
	}
	for _, t := range b.config.Tenants {
		if b.tenants[t.Name] = old[t.Name]; b.tenants[t.Name] == nil {
			b.tenants[t.Name] = &tenantState{}
		}
		b.tenants[t.Name].Tenant = t
	}
	b.markSubset()
}

// LoadReadings tells of each server that this balancer read itself or found silent: X, when it was read, probes without an answer
// in a row. What others told is not told on.
func (b *Balancer) LoadReadings(of func(id string, x float64, at time.Duration, fails int)) {
	for _, s := range b.sortedServers {
		if s.readingOwnAt > 0 || s.probeFailures > 0 {
			of(s.ID, s.readingOwn, s.readingOwnAt, s.probeFailures)
		}
	}
}

// ExplorationSchedule tells how long ago the last explore slot began, how long it is from one to the next, and how many choices a
// second this balancer makes.
func (b *Balancer) ExplorationSchedule() (since, period time.Duration, demand float64) {
	return b.now - b.explorationStartedAt, 2 * b.slotLength(), b.demandPerSecond * math.Exp(-(b.now - b.demandUpdatedAt).Seconds())
}

// ExplorationSlots is the number of explore slots so far.
func (b *Balancer) ExplorationSlots() int { return b.explorationSlots }
