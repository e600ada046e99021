// Package simulation steps hundreds to thousands of balancers' modules side by side against stepped regions, without sockets: how
// their choices add up. Reports are late and noisy, words of other balancers come late, regions are cold at first and fall
// over when pushed; balancers are killed and come back, grow, shrink, lose sight of each other, lie.
//
// It owns the stepped world and counts what happens there. All decisions are policy's and together's; the same seed gives
// the same run on any machine, however many cores step it.
package simulation

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"runtime"
	"slices"
	"sync"
	"time"

	"oatloft/internal/coordination"
	"oatloft/internal/hint"
	"oatloft/internal/stagger"
	"oatloft/policy"
)

// Settings of a run.
type Settings struct {
	Balancers, Regions, Zones int
	Seed                      uint64
	Fill                      float64       // connections that fill a region
	Load                      float64       // of all regions, in the mean, before anything happens
	Life                      time.Duration // of a connection
	Late                      time.Duration // of reports, half of it at least
	Lag                       time.Duration // of words
	Skew                      float64       // traffic of the first balancer, over the mean of the others; 0 for 1
	Subset                    int
	Readings, Turns           bool
	Slow                      float64 // part of the regions' capacity that is gone at the first tenth of them, from the start
}

// The step, and what happens with each.
const (
	step      = 100 * time.Millisecond
	lookEvery = 500 * time.Millisecond
	coldFrom  = 0.34
	coldFor   = 8600 * time.Millisecond
	fallAt    = 4.0 // a region that is sent so many times what it can do now ...
	fallAfter = time.Second
	noise     = 0.05
)

// region is a stepped server.
type region struct {
	policy.Server
	began    time.Duration // cold since then, below 0 for warm
	held     float64
	slow     float64
	past     []float64 // held, latest last, one a step
	came     int       // newcomers in this second
	probes   int       // in this second
	over     time.Duration
	owners   map[*balancer]int // connections there
	downTill time.Duration
}

func (r *region) ramp(now time.Duration) float64 {
	if r.began < 0 || now-r.began >= coldFor {
		return 1
	}
	return coldFrom + (1-coldFrom)*float64(now-r.began)/float64(coldFor)
}

type conn struct {
	on      *region
	key     string
	attempt int
}

// balancer is one module with its part of the talk.
type balancer struct {
	name, zone string
	b          *policy.Balancer
	t          *coordination.Coordinator
	conns      map[string]*conn // those that stand, and those that have no answer yet (on is nil)
	own        map[string]reading
	words      []said // latest last
	group      int    // sees those of its group; below 0 nobody
	dead       bool
	lies       float64 // says that all regions read this; 0 for no lie
	lying      bool
	rng        *rand.Rand
	todo       []want
	lookAt     time.Duration
	listed     int
	candidates []string
	refused    int64
}

type reading struct {
	x     float64
	at    time.Duration
	fails int
}

type said struct {
	at time.Duration
	coordination.Member
}

// want is an effect on the world, carried out in order once all have been stepped: with a region a probe, or a connection
// that stands; without one a refusal, or a move.
type want struct {
	probe, move bool
	id          string
	on          *region
}

// World is one run.
type World struct {
	Now     time.Duration
	Set     Settings
	Counts  Counts
	Seconds []Second

	all     []*balancer
	regions map[string]*region
	order   []*region
	rng     *rand.Rand
	layouts coordination.Layouts
	next    int
	ids     int
	version int // of the list of regions
	servers []policy.Server
	made    int // version that servers are of
	ends    map[time.Duration][]leaves
	comes   map[time.Duration][]string // keys
	second  Second
	traffic float64 // over what was at the start
	told    [][]coordination.Member
}

type leaves struct {
	d  *balancer
	id string
}

// Counts add up over the run.
type Counts struct {
	Came, Placed, Refused, Beside, Moves, Fell, Plans int
}

// Second is what one second came to.
type Second struct {
	Probes      int     // of all
	WorstProbes int     // at the region asked most
	Worst       float64 // load of the fullest warm region over the mean
	Owners      int     // most balancers with connections at one region
	Refused     int
	Beside      int     // of these, while a region had room
	Least, Most int     // balancers that look at a region
	Cold        float64 // most that a cold region was sent over what it could do
	came        map[string]int
}

// NoFleet is a fleet that can't be stepped.
type NoFleet struct{ hint.Annotated }

// New starts a fleet that has been at work for a while: connections stand where the load is even.
func New(set Settings) (*World, error) {
	if set.Balancers < 1 || set.Regions < 2 || set.Zones < 1 || !(set.Fill > 1) || !(set.Load > 0) || set.Life < time.Second {
		return nil, &NoFleet{hint.Annotated{What: fmt.Sprintf("%d balancers, %d regions, %d zones, fill %v, load %v, life %v: no such fleet", set.Balancers, set.Regions, set.Zones, set.Fill, set.Load, set.Life),
			Do: "give at least 1 balancer, 2 regions, 1 zone, a fill above 1, a load above 0, a life of 1s"}}
	}
	w := &World{Set: set, Now: time.Hour, regions: map[string]*region{}, rng: rand.New(rand.NewPCG(set.Seed, 11)), ends: map[time.Duration][]leaves{},
		comes: map[time.Duration][]string{}, traffic: 1, made: -1}
	w.AddRegions(set.Regions, false)
	for i := range int(float64(set.Regions) * 0.1) {
		w.order[i].slow = set.Slow
	}
	if err := w.Add(set.Balancers); err != nil {
		return nil, err
	}
	for i := range int(set.Load * set.Fill * float64(set.Regions)) { // who stands already
		d, r := w.all[i%len(w.all)], w.order[i%len(w.order)]
		id := w.id()
		w.event(d, policy.AdoptedConnection{Request: policy.Request{ID: id, Key: id, Class: "c", Timeout: time.Second}, Server: r.ID})
		d.conns[id] = &conn{key: id}
		w.stands(d, id, r)
	}
	w.note()
	return w, nil
}

func (w *World) id() string {
	w.ids++
	return fmt.Sprint("c", w.ids)
}

func at(t time.Duration) time.Duration { return t.Truncate(step) + step }

// AddRegions has regions come up.
func (w *World) AddRegions(n int, cold bool) {
	for range n {
		id := fmt.Sprintf("r%05d", w.next)
		r := &region{Server: policy.Server{ID: id, Zone: fmt.Sprint("z", w.next%w.Set.Zones), Weight: 1}, began: -1, owners: map[*balancer]int{}, past: []float64{0}}
		w.next++
		if cold {
			r.began, r.StartedAt = w.Now, w.Now
		}
		w.regions[id] = r
		w.order = append(w.order, r)
	}
	w.version++
}

// Drop has regions go, the oldest first: their connections come again.
func (w *World) Drop(n int) {
	for _, r := range w.order[:n] {
		delete(w.regions, r.ID)
	}
	w.order = slices.Clone(w.order[n:])
	w.version++
	for _, d := range w.all {
		for _, id := range slices.Sorted(maps.Keys(d.conns)) {
			if c := d.conns[id]; c.on != nil && w.regions[c.on.ID] == nil {
				w.ended(d, id)
				w.again(c.key)
			}
		}
	}
}

// Add has balancers start, all at once.
func (w *World) Add(n int) error {
	for range n {
		i := len(w.all)
		d := &balancer{name: fmt.Sprintf("b%05d", i), zone: fmt.Sprint("z", i%w.Set.Zones), rng: rand.New(rand.NewPCG(w.Set.Seed, uint64(100+i)))}
		if err := w.start(d); err != nil {
			return err
		}
		w.all = append(w.all, d)
	}
	return nil
}

func (w *World) start(d *balancer) (err error) {
	cfg := policy.Config{Zone: d.zone, Balancers: w.Set.Balancers, Classes: []policy.Class{{Name: "c", LatencyObjective: 500 * time.Millisecond, MessageLatencyObjective: time.Second}},
		TimerResolution: step, MaxAttempts: 4, ProbesEnabled: true, PollInterval: 10 * time.Second, CrossZoneCost: 0.02, WarmUpInitialCapacity: coldFrom, WarmUpDuration: coldFor, OverloadMultiple: fallAt, OverloadWindow: fallAfter}
	if d.b, err = policy.New(cfg, int64(d.rng.Uint64()>>1)); err != nil {
		return err
	}
	d.conns, d.own, d.words, d.dead, d.listed, d.t, d.candidates = map[string]*conn{}, map[string]reading{}, nil, false, -1, nil, nil
	s := coordination.Config{Name: d.name, Zone: d.zone, Balancers: w.Set.Balancers, PeerTimeout: 3 * time.Second, SubsetSize: w.Set.Subset, ShareReadings: w.Set.Readings, Stagger: w.Set.Turns}
	if s.Enabled() {
		d.t = coordination.New(s)
		d.t.Layouts = &w.layouts
	}
	w.refresh()
	d.lookAt = w.Now + time.Duration(d.rng.Float64()*float64(w.every()))
	w.list(d)
	return nil
}

// refresh makes the list that discovery gives.
func (w *World) refresh() {
	if w.made != w.version {
		w.made, w.servers = w.version, nil
		for _, r := range w.order {
			w.servers = append(w.servers, r.Server)
		}
	}
}

// every is how often a balancer looks at what the others say: with thousands of them, less often.
func (w *World) every() time.Duration {
	return max(lookEvery, time.Duration(len(w.all)/1000)*time.Second/2)
}

func (w *World) list(d *balancer) {
	if d.listed == w.version {
		return
	}
	d.listed = w.version
	w.event(d, policy.ServerList{Kind: policy.ListFull, Servers: w.servers})
}

// Kill ends balancers at once; their connections come again. Back starts all of them that are dead.
func (w *World) Kill(n int) {
	for _, d := range w.all {
		if n <= 0 || d.dead {
			continue
		}
		n--
		d.dead = true
		for _, id := range slices.Sorted(maps.Keys(d.conns)) {
			c := d.conns[id]
			w.gone(d, c)
			w.again(c.key)
		}
		d.conns = map[string]*conn{}
	}
}

// Back starts all balancers that are dead.
func (w *World) Back() error {
	for _, d := range w.all {
		if d.dead {
			if err := w.start(d); err != nil {
				return err
			}
		}
	}
	return nil
}

// Split has every nth balancer see its own kind alone; 1 joins all again, 0 leaves each alone.
func (w *World) Split(n int) {
	for i, d := range w.all {
		if d.group = -1; n > 0 {
			d.group = i % n
		}
	}
}

// Lie has the first balancers say that all regions read x.
func (w *World) Lie(n int, x float64) {
	for _, d := range w.all[:n] {
		d.lies, d.lying = x, true
	}
}

// Traffic sets how many come, over what came at the start.
func (w *World) Traffic(times float64) { w.traffic = times }

// again has a client come back within a second.
func (w *World) again(key string) {
	t := at(w.Now + time.Duration(w.rng.Float64()*float64(time.Second)))
	w.comes[t] = append(w.comes[t], key)
}

// stands notes a connection that stands from now on.
func (w *World) stands(d *balancer, id string, r *region) {
	c := d.conns[id]
	c.on = r
	r.held++
	r.owners[d]++
	t := at(w.Now + time.Duration(w.rng.ExpFloat64()*float64(w.Set.Life)))
	w.ends[t] = append(w.ends[t], leaves{d, id})
}

func (w *World) gone(d *balancer, c *conn) {
	if r := c.on; r != nil {
		r.held--
		if r.owners[d]--; r.owners[d] <= 0 {
			delete(r.owners, d)
		}
	}
}

// ended has a connection end.
func (w *World) ended(d *balancer, id string) {
	c := d.conns[id]
	if c == nil || c.on == nil || d.dead {
		return
	}
	w.gone(d, c)
	delete(d.conns, id)
	w.event(d, policy.AttemptEnded{ID: id, Attempt: c.attempt, Server: c.on.ID, Result: policy.ResultOK, Final: true})
}

// x is what a region holds over what it can do.
func (w *World) x(r *region, held float64) float64 {
	return held / (w.Set.Fill * (1 - r.slow) * r.ramp(w.Now))
}

// event steps a module, and answers what can be answered at once; what changes the world is kept for later.
func (w *World) event(d *balancer, ev policy.Event) {
	for _, a := range d.b.Step(w.Now, ev, nil) {
		switch a := a.(type) {
		case policy.Probe:
			r := w.regions[a.Server]
			if r == nil {
				w.event(d, policy.ProbeResult{Server: a.Server, Result: policy.ResultUnreachable})
				continue
			}
			d.todo = append(d.todo, want{probe: true, on: r})
			late := 1 + int(float64(w.Set.Late/step)*(0.5+0.5*d.rng.Float64()))
			held := r.past[max(0, len(r.past)-late)]
			x := max(0, w.x(r, held)*(1+noise*d.rng.NormFloat64()))
			d.own[r.ID] = reading{x: x, at: w.Now}
			w.event(d, policy.ProbeResult{Server: a.Server, Report: &policy.LoadReport{Load: x, Utilization: -1, InFlight: held, BacklogSeconds: -1}})
		case policy.Send:
			c, r := d.conns[a.ID], w.regions[a.Server]
			if c.attempt++; r == nil || r.downTill > w.Now {
				w.event(d, policy.AttemptEnded{ID: a.ID, Attempt: c.attempt, Server: a.Server, Result: policy.ResultUnreachable})
				continue
			}
			d.todo = append(d.todo, want{id: a.ID, on: r})
			w.event(d, policy.AttemptEstablished{ID: a.ID, Attempt: c.attempt, Server: a.Server, Latency: 20 * time.Millisecond})
		case policy.Reject:
			d.todo = append(d.todo, want{id: a.ID})
		case policy.Migrate:
			d.todo = append(d.todo, want{id: a.ID, move: true})
		}
	}
}

// Step lets a tenth of a second pass.
func (w *World) Step() {
	w.Now += step
	w.refresh()
	now := w.Now.Truncate(step)
	for _, l := range w.ends[now] {
		w.ended(l.d, l.id)
	}
	delete(w.ends, now)
	come := w.comes[now]
	delete(w.comes, now)
	rate := w.traffic * w.Set.Load * w.Set.Fill * float64(w.Set.Regions) / w.Set.Life.Seconds() * step.Seconds()
	for n := int(rate + w.rng.Float64()); n > 0; n-- {
		come = append(come, "")
	}
	var alive []*balancer
	for _, d := range w.all {
		if !d.dead {
			alive = append(alive, d)
		}
	}
	asks := map[*balancer][]string{}
	for _, key := range come {
		if len(alive) == 0 {
			w.again(key)
			continue
		}
		d := alive[w.rng.IntN(len(alive))]
		if s := w.Set.Skew; s > 1 && w.rng.Float64() < (s-1)/(s-1+float64(len(alive))) {
			d = alive[0]
		}
		w.Counts.Came++
		asks[d] = append(asks[d], key)
	}
	w.tell(alive)
	var all sync.WaitGroup
	cores := runtime.GOMAXPROCS(0)
	for k := range cores {
		all.Add(1)
		go func() {
			defer all.Done()
			for i := k; i < len(alive); i += cores {
				w.turn(alive[i], asks[alive[i]])
			}
		}()
	}
	all.Wait()
	w.apply(alive)
	w.note()
}

// turn is one balancer's part of a step. It touches nothing but its own.
func (w *World) turn(d *balancer, asks []string) {
	w.list(d)
	if d.t != nil && w.Now >= d.lookAt {
		d.lookAt += w.every()
		w.look(d)
	}
	for i, key := range asks {
		id := fmt.Sprint(d.name, "/", w.Now.Milliseconds(), "/", i)
		d.conns[id] = &conn{key: cmp.Or(key, id), attempt: -1}
		w.event(d, policy.Request{ID: id, Key: cmp.Or(key, id), Class: "c", Timeout: 2 * time.Second})
	}
	w.event(d, policy.TimerFired{Token: "tick"})
}

// tell gathers what each said a lag ago: what the others know of it now.
func (w *World) tell(alive []*balancer) {
	w.told = w.told[:0]
	if w.Set.Subset == 0 && !w.Set.Readings && !w.Set.Turns {
		return
	}
	for _, d := range alive {
		if d.group < 0 {
			continue
		}
		for len(w.told) <= d.group {
			w.told = append(w.told, nil)
		}
		m := coordination.Member{Name: d.name, Zone: d.zone}
		for i := len(d.words) - 1; i >= 0; i-- {
			if age := w.Now - d.words[i].at; age >= w.Set.Lag && age < 5*time.Second {
				m = d.words[i].Member
				m.SlotAge += age
				break
			}
		}
		w.told[d.group] = append(w.told[d.group], m)
	}
}

// view is what a balancer sees of the others, own what it knows itself.
func (w *World) view(d *balancer) coordination.View {
	v := coordination.View{Known: 1}
	if d.group >= 0 && d.group < len(w.told) {
		v.Known = len(w.told[d.group])
		v.Members = make([]coordination.Member, 0, v.Known)
		for _, m := range w.told[d.group] {
			if m.Name != d.name {
				v.Members = append(v.Members, m)
			}
		}
	}
	return v
}

func (w *World) own(d *balancer) coordination.LocalState {
	activity := d.b.Activity()
	own := coordination.LocalState{ExplorationSlots: activity.ExplorationSlots, SlotAge: activity.SlotAge, SlotPeriod: activity.SlotPeriod,
		Demand: activity.Demand, Rejected: d.refused}
	for _, s := range w.servers {
		r := d.own[s.ID]
		own.Servers = append(own.Servers, coordination.Server{ID: s.ID, Zone: s.Zone, Live: true, WarmingUp: s.StartedAt > 0 && w.Now-s.StartedAt < coldFor, Load: r.x, ReadAt: r.at, FailedProbes: r.fails})
	}
	return own
}

func (w *World) look(d *balancer) {
	events, words := d.t.Update(w.Now, w.view(d), w.own(d))
	for _, ev := range events {
		if c, ok := ev.(policy.CandidateSubset); ok {
			d.candidates = c.Servers
		}
		w.event(d, ev)
	}
	m := coordination.Member{Name: d.name, Zone: d.zone, Reported: true, ExplorationSlots: words.ExplorationSlots, SlotAge: words.SlotAge, Demand: words.Demand,
		ReferenceSize: words.ReferenceSize, Subset: words.Subset}
	if w.Set.Readings {
		m.Readings = map[string]stagger.Report{}
		for _, id := range words.Readings {
			switch r, ok := d.own[id]; {
			case d.lying:
				m.Readings[id] = stagger.Report{Load: d.lies, Age: w.Set.Lag}
			case ok && w.Now-r.at < 5*time.Second:
				m.Readings[id] = stagger.Report{Load: r.x, Age: w.Now - r.at + w.Set.Lag, FailedProbes: r.fails}
			}
		}
	}
	d.words = append(d.words, said{w.Now, m})
	if len(d.words) > 16 {
		d.words = slices.Delete(d.words, 0, 8)
	}
}

// apply carries out what all wanted, in the order of their names.
func (w *World) apply(alive []*balancer) {
	for _, d := range alive {
		todo := d.todo
		d.todo = nil
		for _, o := range todo {
			switch {
			case o.probe:
				w.second.Probes++
				o.on.probes++
			case o.move:
				w.Counts.Moves++
				c := d.conns[o.id]
				w.ended(d, o.id)
				t := at(w.Now + 300*time.Millisecond)
				w.comes[t] = append(w.comes[t], c.key)
			case o.on != nil:
				w.Counts.Placed++
				w.stands(d, o.id, o.on)
				o.on.came++
			default:
				w.Counts.Refused++
				w.second.Refused++
				d.refused++
				if w.room() {
					w.Counts.Beside++
					w.second.Beside++
				}
				w.again(d.conns[o.id].key)
				delete(d.conns, o.id)
			}
		}
	}
}

// room tells whether a warm region could take more newcomers than one.
func (w *World) room() bool {
	return slices.ContainsFunc(w.order, func(r *region) bool { return r.ramp(w.Now) >= 1 && w.x(r, r.held) < 0.75 })
}

// note ends a step: what is reported from now on, who falls over, and once a second the figures.
func (w *World) note() {
	for _, r := range w.order {
		r.past = append(r.past, r.held)
		if len(r.past) > 64 {
			r.past = slices.Delete(r.past, 0, 32)
		}
		x := w.x(r, r.held)
		if r.ramp(w.Now) < 1 {
			w.second.Cold = max(w.second.Cold, x)
		}
		if x <= fallAt || r.ramp(w.Now) >= 1 {
			r.over = 0
		} else if r.over += step; r.over >= fallAfter && r.downTill < w.Now {
			r.downTill = w.Now + 5*time.Second
			w.Counts.Fell++
		}
	}
	if w.Now%time.Second != 0 {
		return
	}
	looks := map[string]int{}
	for _, d := range w.all {
		for _, id := range d.candidates {
			looks[id]++
		}
	}
	total, most, warm := 0.0, 0.0, 0.0
	w.second.Least, w.second.came = math.MaxInt, map[string]int{}
	for _, r := range w.order {
		w.second.WorstProbes = max(w.second.WorstProbes, r.probes)
		w.second.Owners = max(w.second.Owners, len(r.owners))
		w.second.Least, w.second.Most = min(w.second.Least, looks[r.ID]), max(w.second.Most, looks[r.ID])
		w.second.came[r.ID] = r.came
		r.probes, r.came = 0, 0
		if r.ramp(w.Now) >= 1 {
			x := w.x(r, r.held)
			total, most, warm = total+x, max(most, x), warm+1
		}
	}
	if total > 0 {
		w.second.Worst = most / (total / warm)
	}
	w.Seconds = append(w.Seconds, w.second)
	w.second = Second{}
}

// Run lets time pass.
func (w *World) Run(d time.Duration) {
	for end := w.Now + d; w.Now < end; {
		w.Step()
	}
}

// Mean is the mean of a figure over seconds.
func Mean(list []Second, of func(Second) float64) float64 {
	total := 0.0
	for _, s := range list {
		total += of(s)
	}
	return total / float64(max(1, len(list)))
}

// Crowded is the most newcomers that one region got in a slot of eight seconds, over the mean of all regions.
func Crowded(list []Second) (worst float64) {
	for from := 0; from+8 <= len(list); from += 8 {
		by, total := map[string]int{}, 0
		for _, s := range list[from : from+8] {
			for id, n := range s.came {
				by[id] += n
				total += n
			}
		}
		for _, n := range by {
			worst = max(worst, float64(n)*float64(len(by))/float64(max(1, total)))
		}
	}
	return worst
}

// SettledAfter is how many seconds it took until a figure stayed within its bound for three, or all of them.
func SettledAfter(list []Second, good func(Second) bool) int {
	for i := range list {
		if i+3 <= len(list) && good(list[i]) && good(list[i+1]) && good(list[i+2]) {
			return i
		}
	}
	return len(list)
}
