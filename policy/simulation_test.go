package policy

import (
	"container/heap"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// scheduledEvent is a scheduled event of the simulation.
type scheduledEvent struct {
	at    time.Duration
	seq   int
	event Event
}

// eventQueue is a heap of events, ordered by time and then by sequence number.
type eventQueue []scheduledEvent

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(scheduledEvent)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// requestRecord is the simulation's record of a request.
type requestRecord struct {
	class          Class
	deadline       time.Duration
	attemptPending bool
	server         string
	attempts       int
	mayHaveRunOn   []string      // servers on which an attempt may have run
	mayHaveRunAt   time.Duration // when the first of these was sent
	sentAt         time.Duration
	answered       bool
	established    bool
}

// warmUpAttempt is an attempt sent to a warming server, with the rate of requests that its reports allowed then.
type warmUpAttempt struct {
	at       time.Duration
	capacity float64
}

// simulation passes random valid events to one balancer and checks its actions against the rules.
type simulation struct {
	peersActive         bool // random events from other balancers are added
	t                   interface{ Errorf(string, ...any) }
	rng                 *rand.Rand
	config              Config
	b                   *Balancer
	now                 time.Duration
	events              eventQueue
	seq                 int
	requests            map[string]*requestRecord
	servers             map[string]Server        // by id, as last sent to the balancer
	drainNotifiedAt     map[string]time.Duration // when the balancer was notified that the server is draining or gone
	warmUpAttempts      map[string][]warmUpAttempt
	actions             []Action
	violations          int
	maxLifetime         time.Duration                            // maximum lifetime of a connection
	groups              int                                      // number of connection groups
	drainGrace          time.Duration                            // for attempts after a notification of draining
	updateDelay         time.Duration                            // delay of endpoint list updates (fault injection)
	newReport           func(load, inFlight float64) *LoadReport // builds the load reports
	maxReportedLoad     float64                                  // highest load that servers report, if above 1.2
	pendingLoads        map[*LoadReport]float64                  // loads of the reports in flight
	lastLoads           map[string]float64                       // load of the latest report
	overloadedAttempts  int                                      // attempts to servers whose latest report shows overload
	serversCloseOnDrain bool                                     // draining servers close their connections
	sentAttempts        int
}

func (sim *simulation) schedule(d time.Duration, ev Event) {
	sim.seq++
	heap.Push(&sim.events, scheduledEvent{sim.now + d, sim.seq, ev})
}

func (sim *simulation) violation(format string, args ...any) {
	if sim.violations++; sim.violations < 5 {
		sim.t.Errorf("at %v: %s", sim.now, fmt.Sprintf(format, args...))
	}
}

func (sim *simulation) randomMillis(low, high int) time.Duration {
	return time.Duration(low+sim.rng.IntN(high-low)) * ms
}

const answerTolerance = 16 * ms // a final answer may be this late after the deadline

func newSimulation(t *testing.T, seed uint64, seconds int) *simulation {
	cfg := testConfig()
	cfg.Balancers = 1 + int(seed%7)
	cfg.PollEndpointList = seed%2 == 0
	cfg.PollInterval = 10 * time.Second
	cfg.ProbesEnabled = seed%5 != 0
	cfg.Tenants = []Tenant{{Name: "t", ConnectionQuota: 50}}
	cfg.CrossZoneCost = float64(seed%3) / 20
	b, err := New(cfg, int64(seed))
	if err != nil {
		t.Fatal(err)
	}
	return newSimulationOf(t, cfg, b, seed, seconds, 60)
}

// newSimulationOf returns a simulation of a balancer under the given settings, which may differ from the balancer's
// own. Requests are up to gap milliseconds apart.
func newSimulationOf(
	t interface{ Errorf(string, ...any) },
	cfg Config,
	b *Balancer,
	seed uint64,
	seconds, gap int,
) *simulation {
	sim := &simulation{t: t, rng: rand.New(rand.NewPCG(seed, 7)), config: cfg, b: b, now: time.Hour,
		requests: map[string]*requestRecord{}, servers: map[string]Server{}, drainNotifiedAt: map[string]time.Duration{},
		warmUpAttempts: map[string][]warmUpAttempt{}, maxLifetime: 20 * time.Second, lastLoads: map[string]float64{},
		pendingLoads: map[*LoadReport]float64{}, groups: 5, newReport: report}
	sim.schedule(0, ServerList{Kind: ListCached, Servers: zonedServers(8)})
	end := time.Duration(seconds) * time.Second
	for at := time.Duration(0); at < end; at += sim.randomMillis(1, gap) {
		k := cfg.Classes[sim.rng.IntN(len(cfg.Classes))]
		id := fmt.Sprintf("r%d-%d", seed, sim.seq)
		q := Request{ID: id, Key: fmt.Sprint("key", sim.rng.IntN(300)), Class: k.Name, MidFlow: sim.rng.IntN(20) == 0,
			Timeout: sim.randomMillis(5, 3000)}
		if sim.rng.IntN(4) == 0 {
			q.Group = fmt.Sprint("group", sim.rng.IntN(sim.groups))
		}
		if sim.rng.IntN(3) == 0 {
			q.Tenant = "t"
		}
		sim.schedule(at, q)
	}
	for at := time.Second; at < end; at += sim.randomMillis(300, 3000) {
		sim.schedule(at, sim.randomListEvent())
	}
	return sim
}

// zonedServers returns n servers in two zones, each with both cells. A server never changes its zone.
func zonedServers(n int) []Server {
	list := servers(n)
	for i := range list {
		list[i].Zone = string(rune('a' + i/2%2))
	}
	return list
}

// randomListEvent returns a random event of the endpoint list.
func (sim *simulation) randomListEvent() Event {
	if sim.rng.IntN(4) == 0 {
		return ServerList{Kind: ListFailed}
	}
	l := ServerList{Kind: ListDelta}
	for _, s := range zonedServers(12) {
		if sim.rng.IntN(4) == 0 {
			s.State = ServerState(sim.rng.IntN(3))
			if s.State == Live && sim.rng.IntN(2) == 0 {
				s.StartedAt = -1 // replaced by the current time when the event is delivered
			}
			l.Servers = append(l.Servers, s)
		}
	}
	return l
}

func (sim *simulation) run() {
	for len(sim.events) > 0 {
		d := heap.Pop(&sim.events).(scheduledEvent)
		sim.now = d.at
		if sim.peersActive && sim.rng.IntN(8) == 0 {
			for _, a := range sim.b.Step(sim.now, sim.randomPeerEvent(), nil) {
				sim.actions = append(sim.actions, a)
				sim.handleAction(a)
			}
		}
		if ev, ok := sim.recordEvent(d.event); ok {
			for _, a := range sim.b.Step(sim.now, ev, nil) {
				sim.actions = append(sim.actions, a)
				sim.handleAction(a)
			}
		}
		sim.checkDeadlines()
	}
	for id, r := range sim.requests {
		if !r.answered && !r.established {
			sim.violation("%s got no answer", id)
		}
	}
}

// randomPeerEvent returns a random event from other balancers, right or wrong. BudgetDivisor is at least the number of
// balancers in the settings, because this package does not guarantee the sum over all balancers.
func (sim *simulation) randomPeerEvent() Event {
	ids := []string{"nobody"}
	for id := range sim.servers {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	randomServers := func() (list []string) {
		for _, id := range ids {
			if sim.rng.IntN(3) == 0 {
				list = append(list, id)
			}
		}
		return list
	}
	switch sim.rng.IntN(3) {
	case 0:
		return CandidateSubset{Servers: randomServers()}
	case 1:
		return PeerReading{
			Server:      ids[sim.rng.IntN(len(ids))],
			Load:        3 * sim.rng.Float64(),
			Age:         sim.randomMillis(0, 6000),
			Unreachable: sim.rng.IntN(8) == 0,
		}
	}
	return FleetState{
		BudgetDivisor:    []int{-1, 0, sim.config.Balancers, 3 * sim.config.Balancers}[sim.rng.IntN(4)],
		Demand:           1e4 * sim.rng.Float64(),
		ExplorationSlots: sim.rng.IntN(1 << 20),
		SlotShift:        sim.randomMillis(0, 60000) - 30*time.Second,
		StaggerOffset:    sim.rng.Float64(),
		AssignedServers:  randomServers(),
	}
}

// recordEvent updates the simulation's records for an event, and reports false for events that must not be delivered.
func (sim *simulation) recordEvent(ev Event) (Event, bool) {
	switch ev := ev.(type) {
	case TimerFired:
		return ev, sim.now < 2*time.Hour && sim.pending()
	case Request:
		r := &requestRecord{deadline: sim.now + ev.Timeout}
		for _, k := range sim.config.Classes {
			if k.Name == ev.Class {
				r.class = k
			}
		}
		sim.requests[ev.ID] = r
	case ProbeResult:
		if ev.Report != nil {
			sim.lastLoads[ev.Server] = sim.pendingLoads[ev.Report]
			delete(sim.pendingLoads, ev.Report)
		}
	case delayedList:
		return ev.ServerList, true
	case ServerList:
		if sim.updateDelay > 0 {
			sim.schedule(sim.updateDelay, delayedList{ev})
		}
		for i := range ev.Servers {
			s := &ev.Servers[i]
			if s.StartedAt < 0 {
				s.StartedAt = sim.now
				delete(sim.warmUpAttempts, s.ID) // each start has its own budget
			}
			if s.State == Live {
				delete(sim.drainNotifiedAt, s.ID)
			} else if _, notified := sim.drainNotifiedAt[s.ID]; !notified {
				sim.drainNotifiedAt[s.ID] = sim.now
			}
			sim.servers[s.ID] = *s
			if sim.serversCloseOnDrain && s.State != Live {
				sim.closeConnections(s.ID)
			}
		}
		return ev, sim.updateDelay == 0
	case AttemptEstablished:
		sim.requests[ev.ID].established = true
	case AttemptEnded:
		r := sim.requests[ev.ID]
		r.attemptPending = false
		if r.established || r.answered {
			r.answered = true
			ev.Final = true
			return ev, true
		}
		if ev.Result.MayHaveRun() {
			if len(r.mayHaveRunOn) == 0 {
				r.mayHaveRunAt = r.sentAt
			}
			r.mayHaveRunOn = append(r.mayHaveRunOn, ev.Server)
		}
		return ev, true
	}
	return ev, true
}

// delayedList is a list whose delivery to the balancer was delayed.
type delayedList struct{ ServerList }

// closeConnections closes the connections of a draining server.
func (sim *simulation) closeConnections(server string) {
	for _, id := range slices.Sorted(maps.Keys(sim.requests)) {
		if r := sim.requests[id]; r.established && !r.answered && r.server == server {
			sim.schedule(
				sim.randomMillis(1, 500),
				AttemptEnded{ID: id, Attempt: r.attempts - 1, Server: server, Result: ResultCanceled},
			)
		}
	}
}

func (sim *simulation) pending() bool {
	for _, d := range sim.events {
		if _, ok := d.event.(TimerFired); !ok {
			return true
		}
	}
	for _, r := range sim.requests {
		if !r.answered && !r.established {
			return true
		}
	}
	return false
}

func (sim *simulation) checkDeadlines() {
	for id, r := range sim.requests {
		if !r.answered && !r.established && sim.now > r.deadline+answerTolerance {
			sim.violation("%s (%s) got no answer before its deadline", id, r.class.Name)
			r.answered = true
		}
	}
}

func (sim *simulation) handleAction(a Action) {
	switch a := a.(type) {
	case SetTimer:
		sim.schedule(a.After, TimerFired{a.Token})
	case Send:
		sim.handleSend(a)
	case Reject:
		r := sim.requests[a.ID]
		k := r.class
		if len(r.mayHaveRunOn) > 0 && k.Idempotency != Idempotent &&
			(k.Idempotency != IdempotentByKey || k.KeyScope != KeyScopeAll) {
			sim.violation("%s (%s) rejected although it may have run", a.ID, k.Name)
		}
		if a.RetryAfter > sim.config.MaxRetryAfter {
			sim.violation("%s rejected with a retry time of %v, more than %v", a.ID, a.RetryAfter, sim.config.MaxRetryAfter)
		}
		sim.recordFinalAnswer(a.ID)
	case Fail:
		sim.recordFinalAnswer(a.ID)
	case Migrate:
		r := sim.requests[a.ID]
		if !r.established || r.answered {
			sim.violation("%s migrated although it is not established", a.ID)
		}
		sim.schedule(0, AttemptEnded{ID: a.ID, Attempt: r.attempts - 1, Server: r.server, Result: ResultCanceled})
	case Probe:
		if !sim.config.ProbesEnabled {
			sim.violation("probe although probes are disabled")
		}
		if sim.rng.IntN(6) == 0 {
			sim.schedule(sim.randomMillis(1, 300), ProbeResult{Server: a.Server, Result: Result(1 + sim.rng.IntN(5))})
			return
		}
		x := sim.rng.Float64() * max(1.2, sim.maxReportedLoad)
		r := sim.newReport(x, float64(sim.rng.IntN(40)))
		sim.pendingLoads[r] = x
		sim.schedule(sim.randomMillis(1, 60), ProbeResult{Server: a.Server, Report: r})
	}
}

func (sim *simulation) recordFinalAnswer(id string) {
	r := sim.requests[id]
	if r.answered || r.established {
		sim.violation("%s answered twice", id)
	}
	if r.attemptPending {
		sim.violation("%s answered while an attempt is pending", id)
	}
	r.answered = true
}

func (sim *simulation) handleSend(a Send) {
	r := sim.requests[a.ID]
	s, listed := sim.servers[a.Server]
	switch {
	case r.answered || r.established:
		sim.violation("%s sent after its final answer", a.ID)
	case r.attemptPending:
		sim.violation("%s sent while an attempt is pending", a.ID)
	case r.attempts >= sim.config.MaxAttempts:
		sim.violation("%s sent more often than MaxAttempts", a.ID)
	case !listed:
		sim.violation("%s sent to %s, which is in no list", a.ID, a.Server)
	case len(r.mayHaveRunOn) > 0 && !sim.mayRepeat(r, s):
		sim.violation("%s (%s) repeated at %s after %v", a.ID, r.class.Name, a.Server, r.mayHaveRunOn)
	}
	if notifiedAt, unavailable := sim.drainNotifiedAt[a.Server]; unavailable && sim.now > notifiedAt+sim.drainGrace {
		sim.violation("%s sent to %s, reported as draining or gone at %v", a.ID, a.Server, notifiedAt)
	}
	sim.checkWarmUpBudget(s)
	if sim.sentAttempts++; sim.lastLoads[a.Server] > 1 {
		sim.overloadedAttempts++
	}
	r.attempts++
	r.attemptPending, r.server, r.sentAt = true, a.Server, sim.now
	end := r.deadline
	if a.TimeoutAt > 0 {
		end = min(end, a.TimeoutAt)
	}
	wait := sim.randomMillis(1, 1500)
	if attempt := r.attempts - 1; sim.now+wait >= end {
		sim.schedule(end-sim.now, AttemptEnded{ID: a.ID, Attempt: attempt, Server: a.Server, Result: ResultTimedOut})
	} else if sim.rng.IntN(2) == 0 {
		sim.schedule(wait, AttemptEnded{ID: a.ID, Attempt: attempt, Server: a.Server, Result: Result(1 + sim.rng.IntN(7))})
	} else {
		sim.schedule(wait, AttemptEstablished{ID: a.ID, Attempt: attempt, Server: a.Server, Latency: wait})
		sim.schedule(
			wait+sim.randomMillis(10, int(sim.maxLifetime.Milliseconds())),
			AttemptEnded{ID: a.ID, Attempt: attempt, Server: a.Server},
		)
	}
}

func (sim *simulation) mayRepeat(r *requestRecord, s Server) bool {
	k := r.class
	if k.Idempotency == IdempotentByKey && sim.now-r.mayHaveRunAt > k.KeyTTL || k.Idempotency == NotIdempotent {
		return false
	}
	first := sim.servers[r.mayHaveRunOn[0]]
	switch {
	case k.Idempotency == Idempotent || k.KeyScope == KeyScopeAll:
		return true
	case k.KeyScope == KeyScopeZone:
		return s.Zone == first.Zone
	}
	return s.Cell == first.Cell
}

// checkWarmUpBudget checks the warm-up budget of a server. A server without reports holds at most 1000 connections
// here, which is the balancer's default.
func (sim *simulation) checkWarmUpBudget(s Server) {
	if s.StartedAt == 0 || sim.now-s.StartedAt > sim.config.WarmUpDuration {
		return
	}
	capacity := 1 / max(1e-3, sim.b.loadStep(sim.b.servers.byID[s.ID])) / sim.config.WarmUpDuration.Seconds()
	recent := []warmUpAttempt{{sim.now, capacity}}
	for _, c := range sim.warmUpAttempts[s.ID] {
		if c.at > sim.now-sim.config.OverloadWindow {
			recent = append(recent, c)
			capacity = max(capacity, c.capacity) // random reports cause jumps
		}
	}
	sim.warmUpAttempts[s.ID] = recent
	// The load step is relative to the current capacity, so the warm-up fraction is not applied again.
	// The bound is a balancer's share plus one request, or an equal share of what the server bears.
	budget, balancers := sim.config.OverloadMultiple*capacity*sim.config.OverloadWindow.Seconds(),
		float64(sim.config.Balancers)
	bound := max(budget/balancers+1, (budget+2*math.Sqrt(budget)+2)/balancers)
	if float64(len(recent)) > bound {
		sim.violation(
			"%d requests to warming %s within %v, its share is %.1f",
			len(recent),
			s.ID,
			sim.config.OverloadWindow,
			bound,
		)
	}
}
