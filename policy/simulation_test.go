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

// due is a scheduled event of the simulation.
type due struct {
	at  time.Duration
	seq int
	ev  Event
}

type queue []due

func (q queue) Len() int { return len(q) }
func (q queue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *queue) Push(x any)   { *q = append(*q, x.(due)) }
func (q *queue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// ledger is the simulation's record of a request.
type ledger struct {
	class    Class
	deadline time.Duration
	out      bool
	onServer string
	attempts int
	ran      []string      // servers on which an attempt may have run
	ranAt    time.Duration // when the first of these was sent
	sentAt   time.Duration
	answered bool
	stands   bool
}

// coldSend is an attempt sent to a warming server, with the rate of requests that its reports allowed then.
type coldSend struct {
	at       time.Duration
	capacity float64
}

// world passes random valid events to one balancer and checks its actions against the rules.
type world struct {
	others   bool // random events from other balancers are added
	t        interface{ Errorf(string, ...any) }
	rng      *rand.Rand
	cfg      Config
	b        *Balancer
	now      time.Duration
	q        queue
	seq      int
	requests map[string]*ledger
	state    map[string]Server        // by id, as last sent to the balancer
	toldAt   map[string]time.Duration // when the balancer was notified that the server is draining or gone
	coldSent map[string][]coldSend
	actions  []Action
	broken   int
	life     time.Duration                     // maximum lifetime of a connection
	groups   int                               // number of connection groups
	grace    time.Duration                     // after a notification of draining, in which attempts may still be sent
	news     time.Duration                     // delay of endpoint list updates (fault injection)
	report   func(x, held float64) *LoadReport // builds the load reports
	loads    float64                           // highest load that servers report, if above 1.2
	truth    map[*LoadReport]float64           // loads of the reports in flight
	reads    map[string]float64                // load of the latest report
	over     int                               // attempts sent to a server whose latest report shows overload
	goaway   bool                              // draining servers close their connections
	sends    int
}

func (w *world) after(d time.Duration, ev Event) {
	w.seq++
	heap.Push(&w.q, due{w.now + d, w.seq, ev})
}

func (w *world) fault(format string, args ...any) {
	if w.broken++; w.broken < 5 {
		w.t.Errorf("at %v: %s", w.now, fmt.Sprintf(format, args...))
	}
}

func (w *world) millis(low, high int) time.Duration {
	return time.Duration(low+w.rng.IntN(high-low)) * ms
}

const slack = 16 * ms // a final answer may be this late after the deadline

func newWorld(t *testing.T, seed uint64, seconds int) *world {
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
	return worldOf(t, cfg, b, seed, seconds, 60)
}

// worldOf returns a simulation of a balancer under the given settings, which may differ from the balancer's own.
// Requests are up to gap milliseconds apart.
func worldOf(t interface{ Errorf(string, ...any) }, cfg Config, b *Balancer, seed uint64, seconds, gap int) *world {
	w := &world{t: t, rng: rand.New(rand.NewPCG(seed, 7)), cfg: cfg, b: b, now: time.Hour,
		requests: map[string]*ledger{}, state: map[string]Server{}, toldAt: map[string]time.Duration{},
		coldSent: map[string][]coldSend{}, life: 20 * time.Second, reads: map[string]float64{},
		truth: map[*LoadReport]float64{}, groups: 5, report: report}
	w.after(0, ServerList{Kind: ListCached, Servers: zoned(8)})
	end := time.Duration(seconds) * time.Second
	for at := time.Duration(0); at < end; at += w.millis(1, gap) {
		k := cfg.Classes[w.rng.IntN(len(cfg.Classes))]
		id := fmt.Sprintf("r%d-%d", seed, w.seq)
		q := Request{ID: id, Key: fmt.Sprint("key", w.rng.IntN(300)), Class: k.Name, MidFlow: w.rng.IntN(20) == 0,
			Timeout: w.millis(5, 3000)}
		if w.rng.IntN(4) == 0 {
			q.Group = fmt.Sprint("group", w.rng.IntN(w.groups))
		}
		if w.rng.IntN(3) == 0 {
			q.Tenant = "t"
		}
		w.after(at, q)
	}
	for at := time.Second; at < end; at += w.millis(300, 3000) {
		w.after(at, w.change())
	}
	return w
}

// zoned returns n servers in two zones, each with both cells. A server never changes its zone.
func zoned(n int) []Server {
	list := servers(n)
	for i := range list {
		list[i].Zone = string(rune('a' + i/2%2))
	}
	return list
}

// change returns a random event of the endpoint list.
func (w *world) change() Event {
	if w.rng.IntN(4) == 0 {
		return ServerList{Kind: ListFailed}
	}
	l := ServerList{Kind: ListDelta}
	for _, s := range zoned(12) {
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

func (w *world) run() {
	for len(w.q) > 0 {
		d := heap.Pop(&w.q).(due)
		w.now = d.at
		if w.others && w.rng.IntN(8) == 0 {
			for _, a := range w.b.Step(w.now, w.said(), nil) {
				w.actions = append(w.actions, a)
				w.act(a)
			}
		}
		if ev, ok := w.before(d.ev); ok {
			for _, a := range w.b.Step(w.now, ev, nil) {
				w.actions = append(w.actions, a)
				w.act(a)
			}
		}
		w.overdue()
	}
	for id, r := range w.requests {
		if !r.answered && !r.stands {
			w.fault("%s got no answer", id)
		}
	}
}

// said returns a random event from other balancers, right or wrong. BudgetDivisor is at least the number of balancers
// in the settings, because this package does not guarantee the sum over all balancers.
func (w *world) said() Event {
	ids := []string{"nobody"}
	for id := range w.state {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	some := func() (list []string) {
		for _, id := range ids {
			if w.rng.IntN(3) == 0 {
				list = append(list, id)
			}
		}
		return list
	}
	switch w.rng.IntN(3) {
	case 0:
		return CandidateSubset{Servers: some()}
	case 1:
		return PeerReading{
			Server:      ids[w.rng.IntN(len(ids))],
			Load:        3 * w.rng.Float64(),
			Age:         w.millis(0, 6000),
			Unreachable: w.rng.IntN(8) == 0,
		}
	}
	return FleetState{
		BudgetDivisor:    []int{-1, 0, w.cfg.Balancers, 3 * w.cfg.Balancers}[w.rng.IntN(4)],
		Demand:           1e4 * w.rng.Float64(),
		ExplorationSlots: w.rng.IntN(1 << 20),
		SlotShift:        w.millis(0, 60000) - 30*time.Second,
		StaggerOffset:    w.rng.Float64(),
		AssignedServers:  some(),
	}
}

// before updates the simulation's records for an event, and reports false for events that must not be delivered.
func (w *world) before(ev Event) (Event, bool) {
	switch ev := ev.(type) {
	case TimerFired:
		return ev, w.now < 2*time.Hour && w.pending()
	case Request:
		r := &ledger{deadline: w.now + ev.Timeout}
		for _, k := range w.cfg.Classes {
			if k.Name == ev.Class {
				r.class = k
			}
		}
		w.requests[ev.ID] = r
	case ProbeResult:
		if ev.Report != nil {
			w.reads[ev.Server] = w.truth[ev.Report]
			delete(w.truth, ev.Report)
		}
	case lateList:
		return ev.ServerList, true
	case ServerList:
		if w.news > 0 {
			w.after(w.news, lateList{ev})
		}
		for i := range ev.Servers {
			s := &ev.Servers[i]
			if s.StartedAt < 0 {
				s.StartedAt = w.now
				delete(w.coldSent, s.ID) // each start has its own budget
			}
			if s.State == Live {
				delete(w.toldAt, s.ID)
			} else if _, told := w.toldAt[s.ID]; !told {
				w.toldAt[s.ID] = w.now
			}
			w.state[s.ID] = *s
			if w.goaway && s.State != Live {
				w.sendAway(s.ID)
			}
		}
		return ev, w.news == 0
	case AttemptEstablished:
		w.requests[ev.ID].stands = true
	case AttemptEnded:
		r := w.requests[ev.ID]
		r.out = false
		if r.stands || r.answered {
			r.answered = true
			ev.Final = true
			return ev, true
		}
		if ev.Result.MayHaveRun() {
			if len(r.ran) == 0 {
				r.ranAt = r.sentAt
			}
			r.ran = append(r.ran, ev.Server)
		}
		return ev, true
	}
	return ev, true
}

// lateList is a list whose delivery to the balancer was delayed.
type lateList struct{ ServerList }

// sendAway closes the connections of a draining server.
func (w *world) sendAway(server string) {
	for _, id := range slices.Sorted(maps.Keys(w.requests)) {
		if r := w.requests[id]; r.stands && !r.answered && r.onServer == server {
			w.after(w.millis(1, 500), AttemptEnded{ID: id, Attempt: r.attempts - 1, Server: server, Result: ResultCanceled})
		}
	}
}

func (w *world) pending() bool {
	for _, d := range w.q {
		if _, ok := d.ev.(TimerFired); !ok {
			return true
		}
	}
	for _, r := range w.requests {
		if !r.answered && !r.stands {
			return true
		}
	}
	return false
}

func (w *world) overdue() {
	for id, r := range w.requests {
		if !r.answered && !r.stands && w.now > r.deadline+slack {
			w.fault("%s (%s) got no answer before its deadline", id, r.class.Name)
			r.answered = true
		}
	}
}

func (w *world) act(a Action) {
	switch a := a.(type) {
	case SetTimer:
		w.after(a.After, TimerFired{a.Token})
	case Send:
		w.send(a)
	case Reject:
		r := w.requests[a.ID]
		k := r.class
		if len(r.ran) > 0 && k.Idempotency != Idempotent && (k.Idempotency != IdempotentByKey || k.KeyScope != KeyScopeAll) {
			w.fault("%s (%s) rejected although it may have run", a.ID, k.Name)
		}
		if a.RetryAfter > w.cfg.MaxRetryAfter {
			w.fault("%s rejected with a retry time of %v, more than %v", a.ID, a.RetryAfter, w.cfg.MaxRetryAfter)
		}
		w.final(a.ID)
	case Fail:
		w.final(a.ID)
	case Migrate:
		r := w.requests[a.ID]
		if !r.stands || r.answered {
			w.fault("%s migrated although it is not established", a.ID)
		}
		w.after(0, AttemptEnded{ID: a.ID, Attempt: r.attempts - 1, Server: r.onServer, Result: ResultCanceled})
	case Probe:
		if !w.cfg.ProbesEnabled {
			w.fault("probe of %s although probes are disabled", a.Server)
		}
		if w.rng.IntN(6) == 0 {
			w.after(w.millis(1, 300), ProbeResult{Server: a.Server, Result: Result(1 + w.rng.IntN(5))})
			return
		}
		x := w.rng.Float64() * max(1.2, w.loads)
		r := w.report(x, float64(w.rng.IntN(40)))
		w.truth[r] = x
		w.after(w.millis(1, 60), ProbeResult{Server: a.Server, Report: r})
	}
}

func (w *world) final(id string) {
	r := w.requests[id]
	if r.answered || r.stands {
		w.fault("%s answered twice", id)
	}
	if r.out {
		w.fault("%s answered while an attempt is pending", id)
	}
	r.answered = true
}

func (w *world) send(a Send) {
	r := w.requests[a.ID]
	s, listed := w.state[a.Server]
	switch {
	case r.answered || r.stands:
		w.fault("%s sent after its final answer", a.ID)
	case r.out:
		w.fault("%s sent while an attempt is pending", a.ID)
	case r.attempts >= w.cfg.MaxAttempts:
		w.fault("%s sent more than %d times", a.ID, w.cfg.MaxAttempts)
	case !listed:
		w.fault("%s sent to %s, which is in no list", a.ID, a.Server)
	case len(r.ran) > 0 && !w.mayRepeat(r, s):
		w.fault("%s (%s) repeated at %s after %v", a.ID, r.class.Name, a.Server, r.ran)
	}
	if told, bad := w.toldAt[a.Server]; bad && w.now > told+w.grace {
		w.fault("%s sent to %s, reported as draining or gone at %v", a.ID, a.Server, told)
	}
	w.cold(s)
	if w.sends++; w.reads[a.Server] > 1 {
		w.over++
	}
	r.attempts++
	r.out, r.onServer, r.sentAt = true, a.Server, w.now
	end := r.deadline
	if a.TimeoutAt > 0 {
		end = min(end, a.TimeoutAt)
	}
	wait := w.millis(1, 1500)
	if attempt := r.attempts - 1; w.now+wait >= end {
		w.after(end-w.now, AttemptEnded{ID: a.ID, Attempt: attempt, Server: a.Server, Result: ResultTimedOut})
	} else if w.rng.IntN(2) == 0 {
		w.after(wait, AttemptEnded{ID: a.ID, Attempt: attempt, Server: a.Server, Result: Result(1 + w.rng.IntN(7))})
	} else {
		w.after(wait, AttemptEstablished{ID: a.ID, Attempt: attempt, Server: a.Server, Latency: wait})
		w.after(wait+w.millis(10, int(w.life.Milliseconds())), AttemptEnded{ID: a.ID, Attempt: attempt, Server: a.Server})
	}
}

func (w *world) mayRepeat(r *ledger, s Server) bool {
	k := r.class
	if k.Idempotency == IdempotentByKey && w.now-r.ranAt > k.KeyTTL || k.Idempotency == NotIdempotent {
		return false
	}
	first := w.state[r.ran[0]]
	switch {
	case k.Idempotency == Idempotent || k.KeyScope == KeyScopeAll:
		return true
	case k.KeyScope == KeyScopeZone:
		return s.Zone == first.Zone
	}
	return s.Cell == first.Cell
}

// cold checks the warm-up budget of a server. A server without reports holds at most 1000 connections here, which is
// the balancer's default.
func (w *world) cold(s Server) {
	if s.StartedAt == 0 || w.now-s.StartedAt > w.cfg.WarmUpDuration {
		return
	}
	capacity := 1 / max(1e-3, w.b.loadStep(w.b.servers.byID[s.ID])) / w.cfg.WarmUpDuration.Seconds()
	recent := []coldSend{{w.now, capacity}}
	for _, c := range w.coldSent[s.ID] {
		if c.at > w.now-w.cfg.OverloadWindow {
			recent = append(recent, c)
			capacity = max(capacity, c.capacity) // random reports cause jumps
		}
	}
	w.coldSent[s.ID] = recent
	// The load step is relative to the current capacity, so the warm-up fraction is not applied again.
	// The bound is a balancer's share plus one request, or an equal share of what the server bears.
	n, all := w.cfg.OverloadMultiple*capacity*w.cfg.OverloadWindow.Seconds(), float64(w.cfg.Balancers)
	bound := max(n/all+1, (n+2*math.Sqrt(n)+2)/all)
	if float64(len(recent)) > bound {
		w.fault("%d requests to warming %s within %v, its share is %.1f", len(recent), s.ID, w.cfg.OverloadWindow, bound)
	}
}
