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

// due is an event of the random world, at its time.
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

// ledger is what the world knows of a request.
type ledger struct {
	class    Class
	deadline time.Duration
	out      bool
	onServer string
	attempts int
	ran      []string      // servers on which an attempt may have run
	ranAt    time.Duration // send of the first of these
	sentAt   time.Duration
	answered bool
	stands   bool
}

// coldSend is a send to a cold server, with the rate of sends that its reports then spoke for.
type coldSend struct {
	at       time.Duration
	capacity float64
}

// world feeds one balancer with legal events at random and checks the rules from the outside.
type world struct {
	others   bool // they say things
	t        interface{ Errorf(string, ...any) }
	rng      *rand.Rand
	cfg      Config
	b        *Balancer
	now      time.Duration
	q        queue
	seq      int
	requests map[string]*ledger
	state    map[string]Server        // as the balancer was told
	toldAt   map[string]time.Duration // of draining or gone
	coldSent map[string][]coldSend
	actions  []Action
	broken   int
	life     time.Duration                     // of a connection, at most
	groups   int                               // that connections belong to
	grace    time.Duration                     // after a draining server was told, in which sends still may reach it
	news     time.Duration                     // after which what discovery tells is told on (a deliberate break)
	report   func(x, held float64) *LoadReport // the fields that reports have here
	loads    float64                           // highest X that servers report
	truth    map[*LoadReport]float64           // X of the reports under way
	reads    map[string]float64                // X of the latest report
	over     int                               // sends of newcomers to a server that reads overloaded
	goaway   bool                              // draining servers send their connections away
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

const slack = 16 * ms // a final answer may come this much after the deadline

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

// worldOf lets a balancer live under settings, which need not be those that it was told. Requests are up to gap
// milliseconds apart.
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

// zoned are servers of two zones, each with both cells. A server never changes its zone.
func zoned(n int) []Server {
	list := servers(n)
	for i := range list {
		list[i].Zone = string(rune('a' + i/2%2))
	}
	return list
}

// change is a random event about the list.
func (w *world) change() Event {
	if w.rng.IntN(4) == 0 {
		return ServerList{Kind: ListFailed}
	}
	l := ServerList{Kind: ListDelta}
	for _, s := range zoned(12) {
		if w.rng.IntN(4) == 0 {
			s.State = ServerState(w.rng.IntN(3))
			if s.State == Live && w.rng.IntN(2) == 0 {
				s.StartedAt = -1 // now, see step
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
			w.fault("%s never got an answer", id)
		}
	}
}

// said is anything that other balancers may tell, true or not. Sharers are as many as the settings' balancers at
// the least: the sum of all parts is not this module's to keep.
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

// before keeps the world's own account of an event, and drops events that are out of date.
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
				delete(w.coldSent, s.ID) // a new start, a new budget
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

// lateList is a list whose news reach the balancer late.
type lateList struct{ ServerList }

// sendAway has a draining server end its connections.
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
			w.fault("%s (%s) got no answer in its time", id, r.class.Name)
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
			w.fault("%s (%s) refused though it may have run", a.ID, k.Name)
		}
		if a.RetryAfter > w.cfg.MaxRetryAfter {
			w.fault("%s is to stay away for %v, longer than %v", a.ID, a.RetryAfter, w.cfg.MaxRetryAfter)
		}
		w.final(a.ID)
	case Fail:
		w.final(a.ID)
	case Migrate:
		r := w.requests[a.ID]
		if !r.stands || r.answered {
			w.fault("%s moved though it does not stand", a.ID)
		}
		w.after(0, AttemptEnded{ID: a.ID, Attempt: r.attempts - 1, Server: r.onServer, Result: ResultCanceled})
	case Probe:
		if !w.cfg.ProbesEnabled {
			w.fault("probe where none is allowed")
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
		w.fault("%s answered with an attempt out", id)
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
		w.fault("%s sent with an attempt out", a.ID)
	case r.attempts >= w.cfg.MaxAttempts:
		w.fault("%s sent too often", a.ID)
	case !listed:
		w.fault("%s sent to %s, which no list has named", a.ID, a.Server)
	case len(r.ran) > 0 && !w.mayRepeat(r, s):
		w.fault("%s (%s) repeated at %s after %v", a.ID, r.class.Name, a.Server, r.ran)
	}
	if told, bad := w.toldAt[a.Server]; bad && w.now > told+w.grace {
		w.fault("%s sent to %s, told to drain at %v", a.ID, a.Server, told)
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

// cold checks the budget of a server that just started: a server that no report has told of holds at
// most 1000 connections here, the figure the balancer falls back to.
func (w *world) cold(s Server) {
	if s.StartedAt == 0 || w.now-s.StartedAt > w.cfg.WarmUpDuration {
		return
	}
	capacity := 1 / max(1e-3, w.b.loadStep(w.b.servers.byID[s.ID])) / w.cfg.WarmUpDuration.Seconds()
	recent := []coldSend{{w.now, capacity}}
	for _, c := range w.coldSent[s.ID] {
		if c.at > w.now-w.cfg.OverloadWindow {
			recent = append(recent, c)
			capacity = max(capacity, c.capacity) // random reports let it jump
		}
	}
	w.coldSent[s.ID] = recent
	// The step is of what the server can do now: no further part for its warmth.
	// A balancer's part and one more, or what all could send like this one without the server's fall.
	n, all := w.cfg.OverloadMultiple*capacity*w.cfg.OverloadWindow.Seconds(), float64(w.cfg.Balancers)
	bound := max(n/all+1, (n+2*math.Sqrt(n)+2)/all)
	if float64(len(recent)) > bound {
		w.fault("%d sends to cold %s within %v, at most %.1f are its part", len(recent), s.ID, w.cfg.OverloadWindow, bound)
	}
}
