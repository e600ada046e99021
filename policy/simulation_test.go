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
	cfg                 Config
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
	maxLifetime         time.Duration                     // maximum lifetime of a connection
	groups              int                               // number of connection groups
	drainGrace          time.Duration                     // after a notification of draining, in which attempts may still be sent
	updateDelay         time.Duration                     // delay of endpoint list updates (fault injection)
	newReport           func(x, held float64) *LoadReport // builds the load reports
	maxReportedLoad     float64                           // highest load that servers report, if above 1.2
	pendingLoads        map[*LoadReport]float64           // loads of the reports in flight
	lastLoads           map[string]float64                // load of the latest report
	overloadedAttempts  int                               // attempts sent to a server whose latest report shows overload
	serversCloseOnDrain bool                              // draining servers close their connections
	attempts            int
}

func (w *simulation) schedule(d time.Duration, ev Event) {
	w.seq++
	heap.Push(&w.events, scheduledEvent{w.now + d, w.seq, ev})
}

func (w *simulation) violation(format string, args ...any) {
	if w.violations++; w.violations < 5 {
		w.t.Errorf("at %v: %s", w.now, fmt.Sprintf(format, args...))
	}
}

func (w *simulation) randomMillis(low, high int) time.Duration {
	return time.Duration(low+w.rng.IntN(high-low)) * ms
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

// newSimulationOf returns a simulation of a balancer under the given settings, which may differ from the balancer's own.
// Requests are up to gap milliseconds apart.
func newSimulationOf(t interface{ Errorf(string, ...any) }, cfg Config, b *Balancer, seed uint64, seconds, gap int) *simulation {
	w := &simulation{t: t, rng: rand.New(rand.NewPCG(seed, 7)), cfg: cfg, b: b, now: time.Hour,
		requests: map[string]*requestRecord{}, servers: map[string]Server{}, drainNotifiedAt: map[string]time.Duration{},
		warmUpAttempts: map[string][]warmUpAttempt{}, maxLifetime: 20 * time.Second, lastLoads: map[string]float64{},
		pendingLoads: map[*LoadReport]float64{}, groups: 5, newReport: report}
	w.schedule(0, ServerList{Kind: ListCached, Servers: zonedServers(8)})
	end := time.Duration(seconds) * time.Second
	for at := time.Duration(0); at < end; at += w.randomMillis(1, gap) {
		k := cfg.Classes[w.rng.IntN(len(cfg.Classes))]
		id := fmt.Sprintf("r%d-%d", seed, w.seq)
		q := Request{ID: id, Key: fmt.Sprint("key", w.rng.IntN(300)), Class: k.Name, MidFlow: w.rng.IntN(20) == 0,
			Timeout: w.randomMillis(5, 3000)}
		if w.rng.IntN(4) == 0 {
			q.Group = fmt.Sprint("group", w.rng.IntN(w.groups))
		}
		if w.rng.IntN(3) == 0 {
			q.Tenant = "t"
		}
		w.schedule(at, q)
	}
	for at := time.Second; at < end; at += w.randomMillis(300, 3000) {
		w.schedule(at, w.randomListEvent())
	}
	return w
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
func (w *simulation) randomListEvent() Event {
	if w.rng.IntN(4) == 0 {
		return ServerList{Kind: ListFailed}
	}
	l := ServerList{Kind: ListDelta}
	for _, s := range zonedServers(12) {
		if w.rng.IntN(4) == 0 {
			s.State = ServerState(w.rng.IntN(3))
			if s.State == Live && w.rng.IntN(2) == 0 {
				s.StartedAt = -1 // replaced by the current time when the event is delivered
			}
			l.Servers = append(l.Servers, s)
		}
	}
	return l
}

func (w *simulation) run() {
	for len(w.events) > 0 {
		d := heap.Pop(&w.events).(scheduledEvent)
		w.now = d.at
		if w.peersActive && w.rng.IntN(8) == 0 {
			for _, a := range w.b.Step(w.now, w.randomPeerEvent(), nil) {
				w.actions = append(w.actions, a)
				w.handleAction(a)
			}
		}
		if ev, ok := w.recordEvent(d.event); ok {
			for _, a := range w.b.Step(w.now, ev, nil) {
				w.actions = append(w.actions, a)
				w.handleAction(a)
			}
		}
		w.checkDeadlines()
	}
	for id, r := range w.requests {
		if !r.answered && !r.established {
			w.violation("%s got no answer", id)
		}
	}
}

// randomPeerEvent returns a random event from other balancers, right or wrong. BudgetDivisor is at least the number of balancers
// in the settings, because this package does not guarantee the sum over all balancers.
func (w *simulation) randomPeerEvent() Event {
	ids := []string{"nobody"}
	for id := range w.servers {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	randomServers := func() (list []string) {
		for _, id := range ids {
			if w.rng.IntN(3) == 0 {
				list = append(list, id)
			}
		}
		return list
	}
	switch w.rng.IntN(3) {
	case 0:
		return CandidateSubset{Servers: randomServers()}
	case 1:
		return PeerReading{
			Server:      ids[w.rng.IntN(len(ids))],
			Load:        3 * w.rng.Float64(),
			Age:         w.randomMillis(0, 6000),
			Unreachable: w.rng.IntN(8) == 0,
		}
	}
	return FleetState{
		BudgetDivisor:    []int{-1, 0, w.cfg.Balancers, 3 * w.cfg.Balancers}[w.rng.IntN(4)],
		Demand:           1e4 * w.rng.Float64(),
		ExplorationSlots: w.rng.IntN(1 << 20),
		SlotShift:        w.randomMillis(0, 60000) - 30*time.Second,
		StaggerOffset:    w.rng.Float64(),
		AssignedServers:  randomServers(),
	}
}

// recordEvent updates the simulation's records for an event, and reports false for events that must not be delivered.
func (w *simulation) recordEvent(ev Event) (Event, bool) {
	switch ev := ev.(type) {
	case TimerFired:
		return ev, w.now < 2*time.Hour && w.pending()
	case Request:
		r := &requestRecord{deadline: w.now + ev.Timeout}
		for _, k := range w.cfg.Classes {
			if k.Name == ev.Class {
				r.class = k
			}
		}
		w.requests[ev.ID] = r
	case ProbeResult:
		if ev.Report != nil {
			w.lastLoads[ev.Server] = w.pendingLoads[ev.Report]
			delete(w.pendingLoads, ev.Report)
		}
	case delayedList:
		return ev.ServerList, true
	case ServerList:
		if w.updateDelay > 0 {
			w.schedule(w.updateDelay, delayedList{ev})
		}
		for i := range ev.Servers {
			s := &ev.Servers[i]
			if s.StartedAt < 0 {
				s.StartedAt = w.now
				delete(w.warmUpAttempts, s.ID) // each start has its own budget
			}
			if s.State == Live {
				delete(w.drainNotifiedAt, s.ID)
			} else if _, notified := w.drainNotifiedAt[s.ID]; !notified {
				w.drainNotifiedAt[s.ID] = w.now
			}
			w.servers[s.ID] = *s
			if w.serversCloseOnDrain && s.State != Live {
				w.closeConnections(s.ID)
			}
		}
		return ev, w.updateDelay == 0
	case AttemptEstablished:
		w.requests[ev.ID].established = true
	case AttemptEnded:
		r := w.requests[ev.ID]
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
func (w *simulation) closeConnections(server string) {
	for _, id := range slices.Sorted(maps.Keys(w.requests)) {
		if r := w.requests[id]; r.established && !r.answered && r.server == server {
			w.schedule(w.randomMillis(1, 500), AttemptEnded{ID: id, Attempt: r.attempts - 1, Server: server, Result: ResultCanceled})
		}
	}
}

func (w *simulation) pending() bool {
	for _, d := range w.events {
		if _, ok := d.event.(TimerFired); !ok {
			return true
		}
	}
	for _, r := range w.requests {
		if !r.answered && !r.established {
			return true
		}
	}
	return false
}

func (w *simulation) checkDeadlines() {
	for id, r := range w.requests {
		if !r.answered && !r.established && w.now > r.deadline+answerTolerance {
			w.violation("%s (%s) got no answer before its deadline", id, r.class.Name)
			r.answered = true
		}
	}
}

func (w *simulation) handleAction(a Action) {
	switch a := a.(type) {
	case SetTimer:
		w.schedule(a.After, TimerFired{a.Token})
	case Send:
		w.handleSend(a)
	case Reject:
		r := w.requests[a.ID]
		k := r.class
		if len(r.mayHaveRunOn) > 0 && k.Idempotency != Idempotent && (k.Idempotency != IdempotentByKey || k.KeyScope != KeyScopeAll) {
			w.violation("%s (%s) rejected although it may have run", a.ID, k.Name)
		}
		if a.RetryAfter > w.cfg.MaxRetryAfter {
			w.violation("%s rejected with a retry time of %v, more than %v", a.ID, a.RetryAfter, w.cfg.MaxRetryAfter)
		}
		w.recordFinalAnswer(a.ID)
	case Fail:
		w.recordFinalAnswer(a.ID)
	case Migrate:
		r := w.requests[a.ID]
		if !r.established || r.answered {
			w.violation("%s migrated although it is not established", a.ID)
		}
		w.schedule(0, AttemptEnded{ID: a.ID, Attempt: r.attempts - 1, Server: r.server, Result: ResultCanceled})
	case Probe:
		if !w.cfg.ProbesEnabled {
			w.violation("probe of %s although probes are disabled", a.Server)
		}
		if w.rng.IntN(6) == 0 {
			w.schedule(w.randomMillis(1, 300), ProbeResult{Server: a.Server, Result: Result(1 + w.rng.IntN(5))})
			return
		}
		x := w.rng.Float64() * max(1.2, w.maxReportedLoad)
		r := w.newReport(x, float64(w.rng.IntN(40)))
		w.pendingLoads[r] = x
		w.schedule(w.randomMillis(1, 60), ProbeResult{Server: a.Server, Report: r})
	}
}

func (w *simulation) recordFinalAnswer(id string) {
	r := w.requests[id]
	if r.answered || r.established {
		w.violation("%s answered twice", id)
	}
	if r.attemptPending {
		w.violation("%s answered while an attempt is pending", id)
	}
	r.answered = true
}

func (w *simulation) handleSend(a Send) {
	r := w.requests[a.ID]
	s, listed := w.servers[a.Server]
	switch {
	case r.answered || r.established:
		w.violation("%s sent after its final answer", a.ID)
	case r.attemptPending:
		w.violation("%s sent while an attempt is pending", a.ID)
	case r.attempts >= w.cfg.MaxAttempts:
		w.violation("%s sent more than %d times", a.ID, w.cfg.MaxAttempts)
	case !listed:
		w.violation("%s sent to %s, which is in no list", a.ID, a.Server)
	case len(r.mayHaveRunOn) > 0 && !w.mayRepeat(r, s):
		w.violation("%s (%s) repeated at %s after %v", a.ID, r.class.Name, a.Server, r.mayHaveRunOn)
	}
	if notifiedAt, unavailable := w.drainNotifiedAt[a.Server]; unavailable && w.now > notifiedAt+w.drainGrace {
		w.violation("%s sent to %s, reported as draining or gone at %v", a.ID, a.Server, notifiedAt)
	}
	w.checkWarmUpBudget(s)
	if w.attempts++; w.lastLoads[a.Server] > 1 {
		w.overloadedAttempts++
	}
	r.attempts++
	r.attemptPending, r.server, r.sentAt = true, a.Server, w.now
	end := r.deadline
	if a.TimeoutAt > 0 {
		end = min(end, a.TimeoutAt)
	}
	wait := w.randomMillis(1, 1500)
	if attempt := r.attempts - 1; w.now+wait >= end {
		w.schedule(end-w.now, AttemptEnded{ID: a.ID, Attempt: attempt, Server: a.Server, Result: ResultTimedOut})
	} else if w.rng.IntN(2) == 0 {
		w.schedule(wait, AttemptEnded{ID: a.ID, Attempt: attempt, Server: a.Server, Result: Result(1 + w.rng.IntN(7))})
	} else {
		w.schedule(wait, AttemptEstablished{ID: a.ID, Attempt: attempt, Server: a.Server, Latency: wait})
		w.schedule(wait+w.randomMillis(10, int(w.maxLifetime.Milliseconds())), AttemptEnded{ID: a.ID, Attempt: attempt, Server: a.Server})
	}
}

func (w *simulation) mayRepeat(r *requestRecord, s Server) bool {
	k := r.class
	if k.Idempotency == IdempotentByKey && w.now-r.mayHaveRunAt > k.KeyTTL || k.Idempotency == NotIdempotent {
		return false
	}
	first := w.servers[r.mayHaveRunOn[0]]
	switch {
	case k.Idempotency == Idempotent || k.KeyScope == KeyScopeAll:
		return true
	case k.KeyScope == KeyScopeZone:
		return s.Zone == first.Zone
	}
	return s.Cell == first.Cell
}

// checkWarmUpBudget checks the warm-up budget of a server. A server without reports holds at most 1000 connections here, which is
// the balancer's default.
func (w *simulation) checkWarmUpBudget(s Server) {
	if s.StartedAt == 0 || w.now-s.StartedAt > w.cfg.WarmUpDuration {
		return
	}
	capacity := 1 / max(1e-3, w.b.loadStep(w.b.servers.byID[s.ID])) / w.cfg.WarmUpDuration.Seconds()
	recent := []warmUpAttempt{{w.now, capacity}}
	for _, c := range w.warmUpAttempts[s.ID] {
		if c.at > w.now-w.cfg.OverloadWindow {
			recent = append(recent, c)
			capacity = max(capacity, c.capacity) // random reports cause jumps
		}
	}
	w.warmUpAttempts[s.ID] = recent
	// The load step is relative to the current capacity, so the warm-up fraction is not applied again.
	// The bound is a balancer's share plus one request, or an equal share of what the server bears.
	budget, balancers := w.cfg.OverloadMultiple*capacity*w.cfg.OverloadWindow.Seconds(), float64(w.cfg.Balancers)
	bound := max(budget/balancers+1, (budget+2*math.Sqrt(budget)+2)/balancers)
	if float64(len(recent)) > bound {
		w.violation("%d requests to warming %s within %v, its share is %.1f", len(recent), s.ID, w.cfg.OverloadWindow, bound)
	}
}
