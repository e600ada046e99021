// The decisions of the balancer. api.go, beside this file, declares the types, events and actions.

package policy

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Settings that hold for every deployment. X is a server's load over its capacity.
const (
	defaultBeta    = 0.75                    // decay of exploration, mid-way in the paper's range
	defaultExplore = 0.05                    // the design's cap on it, a slot
	farFactor      = 2.0                     // what crossing zones costs, as load, over its price
	fullX, escapeX = 0.8, 0.8                // no newcomers above the first; escapes leave the second ...
	overX          = 0.95                    // ... and begin where a server stays above this one
	missPart       = 0.4                     // of the guesses in mid-flow, as counted over whole fleets
	usualColdPart  = 0.6                     // of the bound at which a cold server falls over
	overShareX     = 0.6                     // newcomers beyond a share stay off above this one
	slotMin        = 8 * time.Second         // a move breaks a connection for about a second
	settleMin      = 2 * time.Second         // moved connections stand elsewhere by then
	showMin        = 800 * time.Millisecond  // a change of load takes this or longer to show in reports
	doubtFor       = 8 * time.Second         // each overload halves a server's room; that fades over this
	tieMargin      = 0.15                    // loads this close are equal: the first drawn has it
	drainIn        = 2 * time.Second         // a backlog, or who stands on a draining server, is gone by then
	lagFor         = 1500 * time.Millisecond // late messages are told of once a second while they are late
	tickEvery      = 20 * time.Millisecond   // held requests and slots are looked at so often
	redrawEvery    = 100 * time.Millisecond  // a held request draws again after this
	checkEvery     = 10 * time.Second        // servers with own connections are read so often at least
	planFor        = 5 * time.Second         // a moved client is expected back within this
	manyFail       = 0.25                    // share of requests that fail by more than their content
	maxWindow      = 64                      // set-ups under way at most
	retriesAtOnce  = 16.0                    // of a budget of retries that nobody has used
	minAge, maxAge = 50 * time.Millisecond, 2 * time.Second

	fewConns  = 10.0 // so many at a cold server tell as much as others' steps
	fallSlack = 2.0  // a cold server bears N + 2 x root of N + 2 of a budget of N
	minRamp   = 1e-3 // figures stay finite where a server that starts can do nothing
)

// New returns a balancer, or an error that names the setting that cannot work.
func New(cfg Config, seed int64) (*Balancer, error) {
	b := &Balancer{rng: rand.New(rand.NewPCG(uint64(seed), 1)), age: 4 * minAge, window: 16,
		servers: map[string]*server{}, requests: map[string]*request{}, plans: map[string]plan{},
		loads: map[string]*mean{}, groups: map[string]int{}}
	return b, b.configure(cfg)
}

// configure takes settings, unless there is one among them that can't work.
func (b *Balancer) configure(cfg Config) error {
	cfg.ExplorationDecay, cfg.MaxExploration = cmp.Or(cfg.ExplorationDecay, defaultBeta), cmp.Or(cfg.MaxExploration, defaultExplore)
	cfg.WarmUpBudgetShare, cfg.MaxPendingAttempts = cmp.Or(cfg.WarmUpBudgetShare, usualColdPart), cmp.Or(cfg.MaxPendingAttempts, maxWindow)
	if err := cfg.check(); err != nil {
		return err
	}
	b.cfg, b.tick = cfg, max(tickEvery, cfg.TimerResolution)
	b.index()
	return nil
}

// Step takes one event and appends the actions it calls for. Events that do not fit (an outcome of an
// unknown request, a second request with a known id) change nothing; time that goes back stands still.
func (b *Balancer) Step(now time.Duration, ev Event, out []Action) []Action {
	b.now, b.out = max(b.now, now), out
	if !b.started {
		b.begin()
	}
	switch ev := ev.(type) {
	case ServerList:
		b.list(ev)
	case Request:
		b.arrive(ev)
	case AdoptedConnection, PredecessorFlow, CandidateSubset, FleetState, LeaseState, SaturatedLinks, ClientDisconnected:
		b.note(ev)
	case PeerReading:
		b.hear(ev)
	case AttemptEstablished:
		if r := b.requests[ev.ID]; r != nil && r.out && ev.Attempt == r.attempts-1 {
			r.on.fails, r.on.heldOff, r.on.heardAt = 0, 0, b.now
			b.settled(r, true, ev.Latency)
			b.stand(r)
		}
	case AttemptEnded:
		b.outcome(ev)
	case ConnectionLoad:
		if r := b.requests[ev.ID]; r != nil && r.open {
			r.on.heardAt = b.now
			b.weigh(r.Class, ev.Load)
		}
	case MessageDelay:
		if s := b.servers[ev.Server]; s != nil {
			if s.lag, s.lagAt, s.heardAt = ev.Delay, b.now, b.now; b.lagging(s, b.messageAim) {
				b.read(s, nil)
			}
		}
	case ProbeResult:
		b.probed(ev)
	case ConfigUpdate:
		_ = b.configure(ev.Config) // New, which reports it, has checked them
	case TimerFired:
		b.wake()
	}
	return b.out
}

// begin spreads what would meet if all balancers started together: calls for the list, and slots.
func (b *Balancer) begin() {
	b.started = true
	b.askWait, b.askAt = b.firstWait(), b.now+b.inTurn(5*b.firstWait())
	b.slotAt = b.now + b.jitter(2*b.slotLength())
	b.do(SetTimer{"tick", b.tick})
}

func (b *Balancer) wake() {
	b.do(SetTimer{"tick", b.tick})
	for _, r := range slices.Clone(b.held) {
		if b.requests[r.ID] == r && !r.out && (b.now >= r.chooseAt || b.late(r)) {
			b.choose(r)
		}
	}
	if b.cfg.PollEndpointList && !b.subscribed && b.now >= b.askAt {
		b.do(Subscribe{})
		b.askAt = b.now + min(b.cfg.PollInterval, toldAfter)/2
	}
	for _, s := range b.order { // one reading that is over can be noise, or set-ups that are over soon
		if s.State == Draining { // not all at once: they are a wave where they go
			b.leave(s, b.tick.Seconds()/drainIn.Seconds())
		} else if s.share == 0 && b.cfg.MigrationsPerSecond > 0 {
			b.leave(s, b.tick.Seconds()*b.cfg.MigrationsPerSecond/float64(max(1, s.open)))
		} else if s.overSince > 0 || b.due(s) {
			b.read(s, nil)
		}
	}
	if b.now >= b.slotAt {
		b.slot()
	}
}

// due tells that s should be read though no newcomer asks: for others, or as it has own connections. At thin
// traffic nothing else reads it, and the closer to full it was, the sooner it can be over.
func (b *Balancer) due(s *server) bool {
	watch := max(b.settle(), time.Duration((1-s.x)*float64(checkEvery)))
	return s.duty && b.now-s.askedAt > b.shows() || s.open > 0 && b.now-max(s.askedAt, s.toldAt) > watch
}

// list follows discovery.
func (b *Balancer) list(l ServerList) {
	if l.Kind == ListFailed { // calls that fail together must not come again together
		b.subscribed, b.askWait = false, min(2*b.askWait, b.cfg.PollInterval*3/4, toldAfter/4)
		b.askAt = b.now + b.askWait/2 + b.inTurn(b.askWait/2)
		return
	}
	if l.Kind != ListCached {
		b.subscribed, b.askWait = true, b.firstWait()
	}
	b.merge(l)
}

// chill marks a server as cold. Its budget starts at a random level: one send can be more than this
// balancer's part, and all balancers would spend theirs at the same moment.
func (b *Balancer) chill(s *server, since time.Duration) {
	s.coldSince, s.tokens, s.tokensAt, s.known = since, b.rng.Float64(), b.now, false
}

// ramp is the part of its capacity that a server can do now at the least. Its start may be told ahead of now.
func (b *Balancer) ramp(s *server) float64 {
	if s.coldSince == 0 || b.now-s.coldSince >= b.cfg.WarmUpDuration {
		return 1
	}
	warm := float64(max(0, b.now-s.coldSince)) / float64(b.cfg.WarmUpDuration)
	return max(minRamp, b.cfg.WarmUpInitialCapacity+(1-b.cfg.WarmUpInitialCapacity)*warm)
}

// step estimates what one mean connection adds to X at s: from its own report, or else from those of the
// others, since one that is not known yet would not be drawn for want of budget, and so never be known.
func (b *Balancer) step(s *server) float64 {
	typical := max(b.meanX, math.Ceil(1-b.ramp(s))*fullX/2) // a cold one's budget can't rest on nothing
	guess := typical * float64(len(b.order)) / float64(b.cfg.Balancers*max(1, len(b.conns)))
	return cmp.Or(s.step, b.meanStep/b.ramp(s), min(0.2, guess)/b.ramp(s))
}

// budget refills and returns the sends of mean work that this balancer may make to a cold server: its part of
// what that bears. The slack is chance's, unless whole sends are left for each, of uneven work (3/4 of their
// root), one beside: 1.25 of a rate and one make the next whole. What nobody wanted lapses: all would save
// one up. Heavy classes go elsewhere while the budget is small: all balancers may send one at once.
func (b *Balancer) budget(s *server) float64 {
	within, all := max(b.cfg.OverloadWindow, b.tick).Seconds(), b.sharers()
	part := b.cfg.WarmUpBudgetShare * b.cfg.OverloadMultiple / max(b.step(s), 1e-3) / b.cfg.WarmUpDuration.Seconds() * within
	root := (math.Sqrt(0.5625+4*max(0, part+fallSlack*(1+math.Sqrt(part/b.cfg.WarmUpBudgetShare))-1)) - 0.75) / 2
	rate := max(part/all, 0.79*math.Floor(root*root/all)) / within
	s.tokens, s.tokensAt = s.tokens+rate*(b.now-s.tokensAt).Seconds(), b.now
	s.heaviest, s.chance = 1.5+part/4, rate*within/4
	s.tokens -= math.Ceil(max(0, s.tokens-1-s.chance))
	return s.tokens
}

// usable tells whether r may be sent to s at all: rules first, then what the revision in force and full links
// leave out. What stands there already, in mid-flow, goes on.
func (b *Balancer) usable(s *server, r *request) bool {
	last, full := b.full[s.Zone]
	open := r.MidFlow || s.share > 0 && (!full || r.class.PriorityRank <= last)
	return open && b.permit == LeaseActive && s.State == Live && s != r.avoid && b.mayRepeat(s, r) &&
		(b.ramp(s) >= 1 || b.budget(s) >= 1 && b.weight(r.Class) <= s.heaviest)
}

// mayRepeat keeps a request that may have run to where its repeats do no harm.
func (b *Balancer) mayRepeat(s *server, r *request) bool {
	k := r.class
	if r.ranAt < 0 || k.Idempotency == Idempotent {
		return true
	}
	in, ran := k.KeyScope, r.ranOn
	apart := in == KeyScopeZone && s.Zone != ran.Zone || in == KeyScopeCell && s.Cell != ran.Cell
	return !apart && k.Idempotency == IdempotentByKey && b.now-r.ranAt <= k.KeyTTL
}

// panicking tells that so many servers look bad that the cause lies elsewhere.
func (b *Balancer) panicking() bool {
	return 2*b.count(func(s *server) bool { return s.fails > 1 }) > len(b.order)
}

// draw picks two servers at random, with less weight for those that cross zones or are cold. The draws of
// a group, or the first one of a key, hang on that alone: a balancer that gets a connection in mid-flow may
// find its server, which another one chose. What a group's first two have no room for spills in its order.
func (b *Balancer) draw(r *request) []*server {
	salt := hashOf(cmp.Or(r.Group, r.Key))
	if r.draws++; r.Group == "" && (r.draws > 1 || r.Key == "") {
		salt = b.rng.Uint64()
	}
	panicking, near := b.panicking(), r.draws == 1 && (!r.MidFlow || b.shared())
	drawn := slices.DeleteFunc(slices.Clone(b.order), func(s *server) bool {
		beyond := b.outside(s) && r.draws < 3 // whoever finds no room twice looks at all
		return beyond || !b.usable(s, r) || (b.now < s.heldOff && !panicking)
	})
	for _, s := range drawn {
		weight := s.share * b.ramp(s) / b.odds(s) // few may send to a cold one: they draw it sooner
		if s.Zone != b.cfg.Zone && near {
			weight *= math.Exp(-40 * b.cfg.CrossZoneCost)
		}
		s.rank = -math.Log(mix(s.hash+salt)) / weight
	}
	slices.SortFunc(drawn, func(x, y *server) int { return cmp.Compare(x.rank, y.rank) })
	if n := len(drawn); n > 2 {
		i := 2 * max(0, r.draws-2)
		return []*server{drawn[i%n], drawn[(i+1)%n]}
	}
	return drawn
}

// shared tells that a zone has balancers enough for some to be left when others stop: then connections in
// mid-flow come from one of the own zone, which drew as this one draws. Else their zone is unknown.
func (b *Balancer) shared() bool {
	zones := map[string]bool{b.cfg.Zone: true}
	for _, s := range b.order {
		zones[s.Zone] = true
	}
	return b.cfg.Balancers >= 4*len(zones)
}

// arrive takes a new request. The client of a moved connection goes where the move meant it to, a newcomer
// to a server that is back from a drain: far or cold, it would hardly be drawn at thin traffic.
func (b *Balancer) arrive(q Request) {
	k := b.classes[q.Class]
	if known := b.requests[q.ID] != nil; known || k == nil {
		if !known { // nothing is known of the effect of its class, and nothing was sent
			b.do(Reject{ID: q.ID, Reason: "class"})
		}
		return
	}
	r := b.accept(q, k)
	if p, ok := b.plans[q.Key]; ok && b.now < p.until {
		r.plan = p
		delete(b.plans, q.Key)
	} else if len(b.back) > 0 && !q.MidFlow && b.mayStart() && b.usable(b.back[0], r) {
		r.target, b.back = b.back[0], b.back[1:]
	}
	b.place(r)
}

// place looks for a server: it draws two and reads their loads.
func (b *Balancer) place(r *request) {
	switch b.hold(r); {
	case b.exhausted(r) || !b.mayStart() && b.late(r):
		b.finish(r)
	case !b.mayStart():
		r.choice, r.chooseAt = nil, b.now+b.tick
	case r.target != nil && b.usable(r.target, r):
		b.send(r, r.target)
	default:
		r.choice, r.chooseAt = b.draw(r), b.now+r.class.LatencyObjective/8
		for _, s := range r.choice {
			b.read(s, r)
		}
		if len(r.choice) > 0 {
			b.chooseIfRead(r)
		}
	}
}

// exhausted tells that r gets no further attempt: for its time, their number, or what all retries may be.
func (b *Balancer) exhausted(r *request) bool {
	spent := b.cfg.RetryRatio > 0 && b.retries < 1 && r.attempts > 0
	return spent || b.overdue(r) || r.attempts >= r.class.MaxAttempts || r.ranAt >= 0 && r.class.Idempotency == NotIdempotent
}

// read gets a reading of s, for r if not nil: it is there already where true comes back, else a probe
// is under way.
func (b *Balancer) read(s *server, r *request) bool {
	fresh := b.now - b.shows()/2 // also an answer that told nothing counts: errors must bring no more probes
	good := s.known && s.readAt >= fresh-s.grace || !s.probing && s.askedAt >= fresh
	if good || !b.cfg.ProbesEnabled || s.State == Gone {
		return true
	}
	if r != nil {
		s.waiters = append(s.waiters, r)
	}
	if !s.probing {
		s.probing, s.askedAt = true, b.now
		b.do(Probe{s.ID})
	}
	return false
}

func (b *Balancer) chooseIfRead(r *request) {
	if !slices.ContainsFunc(r.choice, func(s *server) bool { return s.probing }) {
		b.choose(r)
	}
}

// load is X as this balancer knows it.
func (b *Balancer) load(s *server) float64 {
	switch {
	case !b.cfg.ProbesEnabled:
		return float64(s.open) / max(s.Weight, 1e-6) // only own connections are known
	case !s.known:
		return b.meanX + s.placed
	}
	return s.x + s.placed
}

// counts is what r finds as load at s. If its group is known to stand elsewhere, s would do the group's work
// once more, and for those that follow: groups open at a further server only where there is room for more.
func (b *Balancer) counts(s *server, r *request) float64 {
	if s.groups[r.Group] > 0 || b.groups[r.Group] == 0 {
		return b.load(s)
	}
	return b.load(s) + tieMargin
}

// far is what standing in another zone costs, as load that is as bad.
func (b *Balancer) far(s *server) float64 {
	if s.Zone == b.cfg.Zone {
		return 0
	}
	return farFactor * b.cfg.CrossZoneCost
}

// choose places r on the better of its two servers, holds it while both are full, and refuses it
// before its wait is in vain.
func (b *Balancer) choose(r *request) {
	var best *server
	stays := r.MidFlow && len(r.choice) > 0 && b.keeps(r.choice[0])
	for _, s := range r.choice {
		better := best == nil || !stays && b.counts(s, r)+b.far(s)+tieMargin < b.counts(best, r)+b.far(best)
		if silent := s.probing && s.fails > 0 && len(r.choice) > 1; better && !silent && b.usable(s, r) {
			best = s
		}
	}
	switch {
	case b.overdue(r):
		b.finish(r)
	case best != nil && (stays || b.admit(best, r)):
		b.send(r, best)
	case b.late(r):
		b.finish(r)
	case r.choice == nil || b.now >= r.chooseAt:
		b.place(r)
	default:
		r.choice, r.chooseAt = nil, b.now+redrawEvery/2+b.jitter(redrawEvery)
	}
}

// overdue tells that an attempt could end too late for an answer in time.
func (b *Balancer) overdue(r *request) bool { return b.now >= r.deadline-3*b.tick }

// late tells that a held request should be refused, so that no worth is lost after its aim.
func (b *Balancer) late(r *request) bool {
	return b.permit == LeaseExpired || b.now >= r.since+r.class.LatencyObjective || b.overdue(r)
}

// lagging tells that messages at s lately took longer than aim: a backlog has to drain first.
func (b *Balancer) lagging(s *server, aim time.Duration) bool {
	return aim > 0 && s.lag > aim && b.now-s.lagAt < lagFor
}

// admit tells whether s has room for r. All balancers see the same late report, so the room goes by lot:
// each admits its part of what they all want to send before the load shows. A cold server's room has been
// shared out already: by the budget.
func (b *Balancer) admit(s *server, r *request) bool {
	yields := float64(max(0, r.class.PriorityRank-1)) / float64(max(1, b.lastOrder)) // the last class first
	limit := fullX - yields*(fullX-overShareX)
	if t := r.tenant; t != nil && t.ConnectionQuota > 0 && float64(t.open*b.cfg.Balancers) > 1.2*t.ConnectionQuota {
		limit = overShareX
	}
	room := (limit - b.counts(s, r)) / max(b.step(s)*b.weight(r.Class), 1e-6) / (1 + s.doubt)
	lags := b.lagging(s, r.class.MessageLatencyObjective)
	return !b.cfg.ProbesEnabled || room >= 1 && !lags && (b.ramp(s) < 1 || b.lot(room))
}

// keeps tells whether a connection in mid-flow is sent to where it is likely to stand. It adds nothing there
// if it does, but the guesses that miss do: they go by lot as well, or a wave of them fills one server up.
func (b *Balancer) keeps(s *server) bool {
	return b.load(s) < 1 && (!b.shared() || b.lot((overX-b.load(s))/max(b.step(s), 1e-6)/missPart))
}

// lot gives one choice its chance of a room that all balancers see. Newcomers are shared by those with room:
// servers that look full get none, and what would have gone there goes to the others.
func (b *Balancer) lot(room float64) bool {
	b.demand, b.demandAt = 1+b.demand*math.Exp(-(b.now-b.demandAt).Seconds()), b.now
	roomy := b.count(func(s *server) bool { return s.State == Live && b.ramp(s) >= 1 && b.load(s) < fullX })
	return b.rng.Float64()*b.wanted()/float64(max(1, roomy))*b.shows().Seconds() < room
}

// mayStart keeps set-ups within the window: what all set-ups share (a session store, the network) may be
// the bottleneck, and more of them at once would only end in errors.
func (b *Balancer) mayStart() bool {
	return b.permit == LeaseActive && b.now >= b.pauseTill && float64(b.outs) < max(1, b.window)
}

// mayExplore keeps connections where they are while set-ups are scarce: each move takes another one.
func (b *Balancer) mayExplore(r *request) bool {
	scarce := b.cutAt > 0 && b.now < b.cutAt+settleMin || b.setup > float64(r.class.LatencyObjective.Milliseconds())/2
	return !scarce && b.permit == LeaseActive && r.from == nil && r.Key != ""
}

// settled follows an attempt that ended or stands. Failures at one server say nothing of the others.
func (b *Balancer) settled(r *request, ok bool, took time.Duration) {
	r.out = false
	b.outs--
	b.setup += 0.1 * (float64(took.Milliseconds()) - b.setup)
	if ok {
		b.window = min(float64(b.cfg.MaxPendingAttempts), b.window+min(b.window, 1/b.window))
		b.failing -= 0.1 * b.failing
		return
	}
	if r.failures++; r.failures == 1 { // one that fails everywhere may be itself to blame
		b.failing += 0.1 * (1 - b.failing)
	}
	if b.lastBad != nil && r.on != b.lastBad && b.now >= b.cutAt && b.failing > manyFail {
		b.window = max(1.0/16, min(b.window, float64(b.outs+1))/2)
		b.cutAt = b.now + time.Duration(max(100, b.setup))*time.Millisecond
		b.pauseTill = b.now + b.jitter(time.Duration(float64(100*time.Millisecond)/b.window))
	}
	b.lastBad = r.on
}

func (b *Balancer) send(r *request, s *server) {
	b.unhold(r)
	r.on, r.out, r.choice, r.sentAt = s, true, nil, b.now
	b.retries -= float64(min(1, r.attempts))
	r.attempts++
	b.outs++
	s.tokens -= b.weight(r.Class) // only counts while s is cold
	s.placed += b.step(s) * b.weight(r.Class)
	// One attempt should leave time for another, unless set-ups take long everywhere.
	until := b.now + max(r.class.LatencyObjective, time.Duration(4*b.setup)*time.Millisecond)
	if until >= r.deadline-r.class.LatencyObjective/2 {
		until = 0
	}
	b.do(Send{r.ID, s.ID, until})
}

// finish answers a request without an attempt out for good. A refusal says that a new try is harmless.
func (b *Balancer) finish(r *request) {
	if k := r.class; r.ranAt < 0 || k.Idempotency == Idempotent || k.Idempotency == IdempotentByKey && k.KeyScope == KeyScopeAll {
		b.do(Reject{r.ID, b.cfg.MaxRetryAfter/2 + b.jitter(b.cfg.MaxRetryAfter/2), b.why(r)})
	} else {
		b.do(Fail{r.ID, b.why(r)})
	}
	b.forget(r)
}

func (b *Balancer) outcome(o AttemptEnded) {
	r := b.requests[o.ID]
	if r == nil || o.Attempt != r.attempts-1 || !r.out && !r.open {
		return
	}
	if r.open || o.Final {
		b.forget(r)
		return
	}
	s, from := r.on, r.from
	took := time.Duration(b.setup) * time.Millisecond
	if o.Result == ResultTimedOut || o.Result == ResultUnreachable {
		took = r.class.LatencyObjective
		b.read(s, nil) // one server, or all? its probe will tell
	}
	b.settled(r, o.Result != ResultTimedOut && o.Result != ResultFailed, took)
	if o.Result.MayHaveRun() && r.ranAt < 0 {
		r.ranAt, r.ranOn = r.sentAt, s
	}
	r.avoid, r.from, r.target = s, nil, nil
	// A failed exploration counts as a reading above the old one: back it goes.
	if from != nil && b.usable(from, r) && !b.exhausted(r) && b.mayStart() {
		b.send(r, from)
		return
	}
	b.place(r)
}

// probed takes a reading, or the lack of one.
func (b *Balancer) probed(p ProbeResult) {
	s := b.servers[p.Server]
	if s == nil {
		return
	}
	if s.probing = false; p.Result != ResultOK { // else one that is gone would be asked again at each tick
		s.overSince = 0
	}
	switch {
	case p.Result == ResultOK && p.Report != nil:
		b.reading(s, *p.Report)
	case !p.ServerActive && (p.Result == ResultTimedOut || p.Result == ResultUnreachable): // else the way to it was slow
		s.fails++
		s.heldOff = b.now + b.jitter(time.Duration(min(s.fails, 8))*500*time.Millisecond)
		if s.fails == 1 && s.open > 0 { // once can be chance, but connections are at stake
			s.known, s.askedAt = false, -b.shows()
			b.read(s, nil)
		}
	}
	waiters := s.waiters
	s.waiters = nil
	for _, r := range waiters {
		b.resume(r, s, p.Result == ResultOK)
	}
	b.escape(s)
}

func (b *Balancer) reading(s *server, p LoadReport) {
	x := b.loadOf(p, s.Weight)
	if s.known { // learn how often reports change: an equal one means that asking was too early
		if b.age = max(minAge, b.age*98/100); x == s.x {
			b.age = min(maxAge, b.age*112/100)
		}
		s.placed *= math.Exp(-(b.now - s.readAt).Seconds() / b.shows().Seconds())
	}
	s.fails, s.heldOff, s.heardAt = 0, 0, b.now
	s.doubt *= math.Exp(-(b.now - s.readAt).Seconds() / doubtFor.Seconds())
	s.own, s.ownAt, s.grace = x, b.now, 0
	if s.x, s.known, s.readAt, s.overSince = x, true, b.now, cmp.Or(s.overSince, b.now); x <= overX {
		s.overSince = 0
	}
	if p.BacklogSeconds > 0 {
		s.lag, s.lagAt = time.Duration(p.BacklogSeconds*float64(time.Second)), b.now
	}
	switch tells := p.InFlight >= 3 && x > 0.02; {
	case tells && b.ramp(s) >= 1:
		s.step = cmp.Or(s.step, x/p.InFlight)/2 + x/p.InFlight/2 // reports are noisy
		if x <= 1 {                                              // above that it tells how slow this one is
			b.meanStep = 0.95*cmp.Or(b.meanStep, s.step) + 0.05*s.step
		}
	case p.InFlight >= 0 && p.InFlight < 3 && b.ramp(s) >= 1: // empty: it need not be slow any more
		s.step = 0
	case tells: // of a few connections it tells little
		s.step = (x + fewConns*cmp.Or(b.meanStep/b.ramp(s), x/p.InFlight)) / (p.InFlight + fewConns)
	}
	b.meanX += 0.05 * (x - b.meanX)
}

// hear takes what others read, as old as it is. The more room that is, the longer it is as good as asking:
// what is sent meanwhile matters less. A server that they find dead is asked, whatever is known of it.
func (b *Balancer) hear(h PeerReading) {
	s := b.servers[h.Server]
	switch at := b.now - h.Age; {
	case s == nil:
	case h.Unreachable && s.fails == 0:
		s.known, s.askedAt = false, -b.shows()
		b.read(s, nil)
	case !h.Unreachable && at > s.readAt: // else it knows better
		s.placed *= math.Exp(-(at - s.readAt).Seconds() / b.shows().Seconds())
		s.x, s.known, s.readAt, s.toldAt = h.Load, true, at, b.now
		s.grace = time.Duration(max(0, fullX-h.Load) / fullX * float64(settleMin))
	}
}

// resume goes on with r, which waited for a reading of s.
func (b *Balancer) resume(r *request, s *server, ok bool) {
	switch {
	case b.requests[r.ID] != r || r.out || r.moving || r.open && r.on != s:
	case !r.open:
		if slices.Contains(r.choice, s) {
			b.chooseIfRead(r)
		}
	case r.drawn != nil:
		if ok {
			b.move(r, plan{target: r.drawn, from: s, fromX: b.load(s)})
		}
		r.drawn = nil
	case r.from != nil:
		b.backtrack(r, ok)
	}
}

// shows is how long a change of load takes to show in reports, settle until what was moved stands again.
func (b *Balancer) shows() time.Duration { return max(showMin, 3*b.age) }

func (b *Balancer) settle() time.Duration { return max(settleMin, 3*b.age) }

func (b *Balancer) slotLength() time.Duration { return max(slotMin, b.settle()) }

// gamma is the chance that a connection explores in this slot.
func (b *Balancer) gamma() float64 {
	return min(b.cfg.MaxExploration, math.Pow(float64(max(b.t, 1)), -b.cfg.ExplorationDecay))
}

// slot runs the mechanism: connections explore in one slot, and go back or stay in the next.
func (b *Balancer) slot() {
	b.slotAt = b.now + b.slotLength()
	if b.exploring = !b.exploring; b.exploring {
		b.t, b.exploredAt = b.t+1, b.now
	}
	for _, r := range slices.Clone(b.conns) {
		if b.exploring && !r.moving && b.mayExplore(r) && b.rng.Float64() < b.gamma() {
			r.drawn = b.other(r)
		}
		if !r.moving && (r.drawn != nil || !b.exploring && r.from != nil) && b.read(r.on, r) {
			b.resume(r, r.on, true)
		}
	}
	b.dropOldPlans()
}

// other draws the explore target uniformly.
func (b *Balancer) other(r *request) *server {
	all := slices.DeleteFunc(slices.Clone(b.order), func(s *server) bool {
		return s == r.on || b.outside(s) || b.now < s.heldOff || !b.usable(s, r)
	})
	return append(all, nil)[b.rng.IntN(max(1, len(all)))]
}

// backtrack sends an explorer back or lets it stay. No answer counts as a reading above the old one.
func (b *Balancer) backtrack(r *request, ok bool) {
	from := r.from
	r.from = nil
	p := returnProbability(r.fromX, b.load(r.on), b.gamma(), b.looked())
	if from.State == Live && (!ok || b.rng.Float64() < p) {
		b.move(r, plan{target: from})
	}
}

// returnProbability is the paper's Proposition 1: the chance that an explorer with load xj goes back to
// where it had load xi, for exploration probability gamma and n servers.
func returnProbability(xi, xj, gamma float64, n int) float64 {
	if xj >= xi || n < 2 || gamma <= 0 {
		return 1
	}
	return max(0, 1-float64(n-1)/(float64(n)*gamma)*(1-xj/xi))
}

// spare is the part of what is too much at some servers that others have room for.
func (b *Balancer) spare() float64 {
	room, excess := 0.0, 0.0
	for _, s := range b.order {
		room += max(0, fullX-b.load(s)) * math.Floor(b.ramp(s)) // a cold one's waits for its budget
		excess += max(0, b.load(s)-escapeX)
	}
	return min(1, room/max(excess, 1e-6))
}

// escape is the exception for a server that is silent, overloaded or behind with its messages: its
// connections leave faster than gamma would let them, in proportion to the excess.
func (b *Balancer) escape(s *server) {
	excess := 0.0
	switch {
	case s.fails > 1 && !b.panicking():
		excess = 1
	case s.known && (s.overSince > 0 && b.now-s.overSince >= showMin || b.lagging(s, b.messageAim)):
		target := escapeX
		if b.now-s.lagAt < lagFor {
			target = min(target, max(0.2, 1-s.lag.Seconds()/drainIn.Seconds()))
		}
		excess = 1 - target/s.x
	}
	if s.fails < 2 && s.x <= 1 {
		excess *= b.spare()
	}
	if excess <= 0 || b.now < s.escapeAt || s.State == Draining {
		return
	}
	s.escapeAt, s.doubt = b.now+b.settle(), 2*s.doubt+1
	b.leave(s, excess)
}

// leave moves a part of a server's connections elsewhere.
func (b *Balancer) leave(s *server, part float64) {
	for _, r := range b.conns {
		if r.on == s && !r.moving && r.from == nil && b.rng.Float64() < part {
			b.move(r, plan{avoid: s})
		}
	}
}
