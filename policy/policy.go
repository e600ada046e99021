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
	defaultExplorationDecay    = 0.75                    // decay of exploration, mid-way in the paper's range
	defaultMaxExploration = 0.05                    // the design's cap on it, a slot
	crossZoneFactor      = 2.0                     // what crossing zones costs, as load, over its price
	newcomerLoadLimit, evacuationTarget = 0.8, 0.8                // no newcomers above the first; escapes leave the second ...
	overloadedLoad          = 0.95                    // ... and begin where a server stays above this one
	stickyMissShare       = 0.4                     // of the guesses in mid-flow, as counted over whole fleets
	defaultWarmUpBudgetShare  = 0.6                     // of the bound at which a cold server falls over
	overQuotaLoadLimit     = 0.6                     // newcomers beyond a share stay off above this one
	minSlotLength        = 8 * time.Second         // a move breaks a connection for about a second
	minSettleTime      = 2 * time.Second         // moved connections stand elsewhere by then
	minReportLag        = 800 * time.Millisecond  // a change of load takes this or longer to show in reports
	penaltyDecay       = 8 * time.Second         // each overload halves a server's room; that fades over this
	tieMargin      = 0.15                    // loads this close are equal: the first drawn has it
	drainTime        = 2 * time.Second         // a backlog, or who stands on a draining server, is gone by then
	delayMemory         = 1500 * time.Millisecond // late messages are told of once a second while they are late
	minTickInterval      = 20 * time.Millisecond   // held requests and slots are looked at so often
	resampleInterval    = 100 * time.Millisecond  // a held request draws again after this
	maxProbeInterval     = 10 * time.Second        // servers with own connections are read so often at least
	migrationExpiry        = 5 * time.Second         // a moved client is expected back within this
	highFailureRate       = 0.25                    // share of requests that fail by more than their content
	maxPendingAttempts      = 64                      // set-ups under way at most
	maxRetryTokens  = 16.0                    // of a budget of retries that nobody has used
	minRenewalAge, maxRenewalAge = 50 * time.Millisecond, 2 * time.Second

	priorConnections  = 10.0 // so many at a cold server tell as much as others' steps
	overloadSlack = 2.0  // a cold server bears N + 2 x root of N + 2 of a budget of N
	minWarmUpCapacity   = 1e-3 // figures stay finite where a server that starts can do nothing
)

// New returns a balancer, or an error that names the setting that cannot work.
func New(cfg Config, seed int64) (*Balancer, error) {
	b := &Balancer{rng: rand.New(rand.NewPCG(uint64(seed), 1)), meansRenewalAge: 4 * minRenewalAge, setupsLimit: 16,
		servers: map[string]*server{}, requests: map[string]*request{}, migrations: map[string]migration{},
		classLoads: map[string]*runningMean{}, groupConnections: map[string]int{}}
	return b, b.configure(cfg)
}

// configure takes settings, unless there is one among them that can't work.
func (b *Balancer) configure(cfg Config) error {
	cfg.ExplorationDecay, cfg.MaxExploration = cmp.Or(cfg.ExplorationDecay, defaultExplorationDecay), cmp.Or(cfg.MaxExploration, defaultMaxExploration)
	cfg.WarmUpBudgetShare, cfg.MaxPendingAttempts = cmp.Or(cfg.WarmUpBudgetShare, defaultWarmUpBudgetShare), cmp.Or(cfg.MaxPendingAttempts, maxPendingAttempts)
	if err := cfg.check(); err != nil {
		return err
	}
	b.config, b.tickInterval = cfg, max(minTickInterval, cfg.TimerResolution)
	b.indexConfig()
	return nil
}

// Step takes one event and appends the actions it calls for. Events that do not fit (an outcome of an
// unknown request, a second request with a known id) change nothing; time that goes back stands still.
func (b *Balancer) Step(now time.Duration, ev Event, out []Action) []Action {
	b.now, b.actions = max(b.now, now), out
	if !b.started {
		b.start()
	}
	switch ev := ev.(type) {
	case ServerList:
		b.updateEndpoints(ev)
	case Request:
		b.receive(ev)
	case AdoptedConnection, PredecessorFlow, CandidateSubset, FleetState, LeaseState, SaturatedLinks, ClientDisconnected:
		b.record(ev)
	case PeerReading:
		b.takePeerReading(ev)
	case AttemptEstablished:
		if r := b.requests[ev.ID]; r != nil && r.attemptPending && ev.Attempt == r.attempts-1 {
			r.server.probeFailures, r.server.probeEjectedUntil, r.server.heardAt = 0, 0, b.now
			b.setupFinished(r, true, ev.Latency)
			b.establish(r)
		}
	case AttemptEnded:
		b.attemptEnded(ev)
	case ConnectionLoad:
		if r := b.requests[ev.ID]; r != nil && r.established {
			r.server.heardAt = b.now
			b.recordConnectionLoad(r.Class, ev.Load)
		}
	case MessageDelay:
		if s := b.servers[ev.Server]; s != nil {
			if s.delayValue, s.delayAt, s.heardAt = ev.Delay, b.now, b.now; b.delayExceeds(s, b.messageObjective) {
				b.ensureReading(s, nil)
			}
		}
	case ProbeResult:
		b.probeFinished(ev)
	case ConfigUpdate:
		_ = b.configure(ev.Config) // New, which reports it, has checked them
	case TimerFired:
		b.tick()
	}
	return b.actions
}

// start spreads what would meet if all balancers started together: calls for the list, and slots.
func (b *Balancer) start() {
	b.started = true
	b.discoveryBackoff, b.discoveryNextPollAt = b.initialPollBackoff(), b.now+b.staggered(5*b.initialPollBackoff())
	b.explorationNextSlotAt = b.now + b.jitter(2*b.slotLength())
	b.act(SetTimer{"tick", b.tickInterval})
}

func (b *Balancer) tick() {
	b.act(SetTimer{"tick", b.tickInterval})
	for _, r := range slices.Clone(b.waiting) {
		if b.requests[r.ID] == r && !r.attemptPending && (b.now >= r.nextPlacementAt || b.shouldReject(r)) {
			b.choose(r)
		}
	}
	if b.config.PollEndpointList && !b.discoverySubscribed && b.now >= b.discoveryNextPollAt {
		b.act(Subscribe{})
		b.discoveryNextPollAt = b.now + min(b.config.PollInterval, updateDeadline)/2
	}
	for _, s := range b.sortedServers { // one reading that is over can be noise, or set-ups that are over soon
		if s.State == Draining { // not all at once: they are a wave where they go
			b.migrateShare(s, b.tickInterval.Seconds()/drainTime.Seconds())
		} else if s.sampleWeight == 0 && b.config.MigrationsPerSecond > 0 {
			b.migrateShare(s, b.tickInterval.Seconds()*b.config.MigrationsPerSecond/float64(max(1, s.openConnections)))
		} else if s.readingOverloadedSince > 0 || b.needsProbe(s) {
			b.ensureReading(s, nil)
		}
	}
	if b.now >= b.explorationNextSlotAt {
		b.runSlot()
	}
}

// needsProbe tells that s should be read though no newcomer asks: for others, or as it has own connections. At thin
// traffic nothing else reads it, and the closer to full it was, the sooner it can be over.
func (b *Balancer) needsProbe(s *server) bool {
	watch := max(b.settleTime(), time.Duration((1-s.readingLoad)*float64(maxProbeInterval)))
	return s.assigned && b.now-s.probeSentAt > b.reportLag() || s.openConnections > 0 && b.now-max(s.probeSentAt, s.readingPeerAt) > watch
}

// updateEndpoints follows discovery.
func (b *Balancer) updateEndpoints(l ServerList) {
	if l.Kind == ListFailed { // calls that fail together must not come again together
		b.discoverySubscribed, b.discoveryBackoff = false, min(2*b.discoveryBackoff, b.config.PollInterval*3/4, updateDeadline/4)
		b.discoveryNextPollAt = b.now + b.discoveryBackoff/2 + b.staggered(b.discoveryBackoff/2)
		return
	}
	if l.Kind != ListCached {
		b.discoverySubscribed, b.discoveryBackoff = true, b.initialPollBackoff()
	}
	b.mergeServers(l)
}

// startWarmUp marks a server as cold. Its budget starts at a random level: one send can be more than this
// balancer's part, and all balancers would spend theirs at the same moment.
func (b *Balancer) startWarmUp(s *server, since time.Duration) {
	s.warmUpSince, s.warmUpTokens, s.warmUpRefilledAt, s.readingKnown = since, b.rng.Float64(), b.now, false
}

// warmUpCapacity is the part of its capacity that a server can do now at the least. Its start may be told ahead of now.
func (b *Balancer) warmUpCapacity(s *server) float64 {
	if s.warmUpSince == 0 || b.now-s.warmUpSince >= b.config.WarmUpDuration {
		return 1
	}
	warm := float64(max(0, b.now-s.warmUpSince)) / float64(b.config.WarmUpDuration)
	return max(minWarmUpCapacity, b.config.WarmUpInitialCapacity+(1-b.config.WarmUpInitialCapacity)*warm)
}

// loadStep estimates what one mean connection adds to X at s: from its own report, or else from those of the
// others, since one that is not known yet would not be drawn for want of budget, and so never be known.
func (b *Balancer) loadStep(s *server) float64 {
	typical := max(b.meansLoad, math.Ceil(1-b.warmUpCapacity(s))*newcomerLoadLimit/2) // a cold one's budget can't rest on nothing
	guess := typical * float64(len(b.sortedServers)) / float64(b.config.Balancers*max(1, len(b.connections)))
	return cmp.Or(s.estimateStep, b.meansStep/b.warmUpCapacity(s), min(0.2, guess)/b.warmUpCapacity(s))
}

// warmUpBudget refills and returns the sends of mean work that this balancer may make to a cold server: its part of
// what that bears. The slack is chance's, unless whole sends are left for each, of uneven work (3/4 of their
// root), one beside: 1.25 of a rate and one make the next whole. What nobody wanted lapses: all would save
// one up. Heavy classes go elsewhere while the budget is small: all balancers may send one at once.
func (b *Balancer) warmUpBudget(s *server) float64 {
	within, all := max(b.config.OverloadWindow, b.tickInterval).Seconds(), b.budgetSharers()
	part := b.config.WarmUpBudgetShare * b.config.OverloadMultiple / max(b.loadStep(s), 1e-3) / b.config.WarmUpDuration.Seconds() * within
	root := (math.Sqrt(0.5625+4*max(0, part+overloadSlack*(1+math.Sqrt(part/b.config.WarmUpBudgetShare))-1)) - 0.75) / 2
	rate := max(part/all, 0.79*math.Floor(root*root/all)) / within
	s.warmUpTokens, s.warmUpRefilledAt = s.warmUpTokens+rate*(b.now-s.warmUpRefilledAt).Seconds(), b.now
	s.warmUpMaxWeight, s.warmUpSendProbability = 1.5+part/4, rate*within/4
	s.warmUpTokens -= math.Ceil(max(0, s.warmUpTokens-1-s.warmUpSendProbability))
	return s.warmUpTokens
}

// usable tells whether r may be sent to s at all: rules first, then what the revision in force and full links
// leave out. What stands there already, in mid-flow, goes on.
func (b *Balancer) usable(s *server, r *request) bool {
	last, full := b.saturatedLinks[s.Zone]
	open := r.MidFlow || s.sampleWeight > 0 && (!full || r.class.PriorityRank <= last)
	return open && b.lease == LeaseActive && s.State == Live && s != r.avoid && b.mayRepeat(s, r) &&
		(b.warmUpCapacity(s) >= 1 || b.warmUpBudget(s) >= 1 && b.classWeight(r.Class) <= s.warmUpMaxWeight)
}

// mayRepeat keeps a request that may have run to where its repeats do no harm.
func (b *Balancer) mayRepeat(s *server, r *request) bool {
	k := r.class
	if r.mayHaveRunAt < 0 || k.Idempotency == Idempotent {
		return true
	}
	in, ran := k.KeyScope, r.mayHaveRunOn
	apart := in == KeyScopeZone && s.Zone != ran.Zone || in == KeyScopeCell && s.Cell != ran.Cell
	return !apart && k.Idempotency == IdempotentByKey && b.now-r.mayHaveRunAt <= k.KeyTTL
}

// mostServersEjected tells that so many servers look bad that the cause lies elsewhere.
func (b *Balancer) mostServersEjected() bool {
	return 2*b.count(func(s *server) bool { return s.probeFailures > 1 }) > len(b.sortedServers)
}

// sample picks two servers at random, with less weight for those that cross zones or are cold. The draws of
// a group, or the first one of a key, hang on that alone: a balancer that gets a connection in mid-flow may
// find its server, which another one chose. What a group's first two have no room for spills in its order.
func (b *Balancer) sample(r *request) []*server {
	salt := hashText(cmp.Or(r.Group, r.Key))
	if r.samples++; r.Group == "" && (r.samples > 1 || r.Key == "") {
		salt = b.rng.Uint64()
	}
	panicking, near := b.mostServersEjected(), r.samples == 1 && (!r.MidFlow || b.zonesHaveManyBalancers())
	drawn := slices.DeleteFunc(slices.Clone(b.sortedServers), func(s *server) bool {
		beyond := b.beyondSubset(s) && r.samples < 3 // whoever finds no room twice looks at all
		return beyond || !b.usable(s, r) || (b.now < s.probeEjectedUntil && !panicking)
	})
	for _, s := range drawn {
		weight := s.sampleWeight * b.warmUpCapacity(s) / b.sendProbability(s) // few may send to a cold one: they draw it sooner
		if s.Zone != b.config.Zone && near {
			weight *= math.Exp(-40 * b.config.CrossZoneCost)
		}
		s.sampleRank = -math.Log(uniform(s.idHash+salt)) / weight
	}
	slices.SortFunc(drawn, func(x, y *server) int { return cmp.Compare(x.sampleRank, y.sampleRank) })
	if n := len(drawn); n > 2 {
		i := 2 * max(0, r.samples-2)
		return []*server{drawn[i%n], drawn[(i+1)%n]}
	}
	return drawn
}

// zonesHaveManyBalancers tells that a zone has balancers enough for some to be left when others stop: then connections in
// mid-flow come from one of the own zone, which drew as this one draws. Else their zone is unknown.
func (b *Balancer) zonesHaveManyBalancers() bool {
	zones := map[string]bool{b.config.Zone: true}
	for _, s := range b.sortedServers {
		zones[s.Zone] = true
	}
	return b.config.Balancers >= 4*len(zones)
}

// receive takes a new request. The client of a moved connection goes where the move meant it to, a newcomer
// to a server that is back from a drain: far or cold, it would hardly be drawn at thin traffic.
func (b *Balancer) receive(q Request) {
	k := b.classes[q.Class]
	if known := b.requests[q.ID] != nil; known || k == nil {
		if !known { // nothing is known of the effect of its class, and nothing was sent
			b.act(Reject{ID: q.ID, Reason: "class"})
		}
		return
	}
	r := b.newRequest(q, k)
	if p, ok := b.migrations[q.Key]; ok && b.now < p.expiresAt {
		r.migration = p
		delete(b.migrations, q.Key)
	} else if len(b.restoredServers) > 0 && !q.MidFlow && b.maySetUp() && b.usable(b.restoredServers[0], r) {
		r.target, b.restoredServers = b.restoredServers[0], b.restoredServers[1:]
	}
	b.place(r)
}

// place looks for a server: it draws two and reads their loads.
func (b *Balancer) place(r *request) {
	switch b.enqueue(r); {
	case b.exhausted(r) || !b.maySetUp() && b.shouldReject(r):
		b.answerFinally(r)
	case !b.maySetUp():
		r.sampled, r.nextPlacementAt = nil, b.now+b.tickInterval
	case r.target != nil && b.usable(r.target, r):
		b.send(r, r.target)
	default:
		r.sampled, r.nextPlacementAt = b.sample(r), b.now+r.class.LatencyObjective/8
		for _, s := range r.sampled {
			b.ensureReading(s, r)
		}
		if len(r.sampled) > 0 {
			b.chooseWhenRead(r)
		}
	}
}

// exhausted tells that r gets no further attempt: for its time, their number, or what all retries may be.
func (b *Balancer) exhausted(r *request) bool {
	spent := b.config.RetryRatio > 0 && b.retryTokens < 1 && r.attempts > 0
	return spent || b.overdue(r) || r.attempts >= r.class.MaxAttempts || r.mayHaveRunAt >= 0 && r.class.Idempotency == NotIdempotent
}

// ensureReading gets a reading of s, for r if not nil: it is there already where true comes back, else a probe
// is under way.
func (b *Balancer) ensureReading(s *server, r *request) bool {
	fresh := b.now - b.reportLag()/2 // also an answer that told nothing counts: errors must bring no more probes
	good := s.readingKnown && s.readingAt >= fresh-s.readingGrace || !s.probePending && s.probeSentAt >= fresh
	if good || !b.config.ProbesEnabled || s.State == Gone {
		return true
	}
	if r != nil {
		s.probeWaiters = append(s.probeWaiters, r)
	}
	if !s.probePending {
		s.probePending, s.probeSentAt = true, b.now
		b.act(Probe{s.ID})
	}
	return false
}

func (b *Balancer) chooseWhenRead(r *request) {
	if !slices.ContainsFunc(r.sampled, func(s *server) bool { return s.probePending }) {
		b.choose(r)
	}
}

// estimatedLoad is X as this balancer knows it.
func (b *Balancer) estimatedLoad(s *server) float64 {
	switch {
	case !b.config.ProbesEnabled:
		return float64(s.openConnections) / max(s.Weight, 1e-6) // only own connections are known
	case !s.readingKnown:
		return b.meansLoad + s.estimatePlaced
	}
	return s.readingLoad + s.estimatePlaced
}

// effectiveLoad is what r finds as load at s. If its group is known to stand elsewhere, s would do the group's work
// once more, and for those that follow: groups open at a further server only where there is room for more.
func (b *Balancer) effectiveLoad(s *server, r *request) float64 {
	if s.groupConnections[r.Group] > 0 || b.groupConnections[r.Group] == 0 {
		return b.estimatedLoad(s)
	}
	return b.estimatedLoad(s) + tieMargin
}

// crossZonePenalty is what standing in another zone costs, as load that is as bad.
func (b *Balancer) crossZonePenalty(s *server) float64 {
	if s.Zone == b.config.Zone {
		return 0
	}
	return crossZoneFactor * b.config.CrossZoneCost
}

// choose places r on the better of its two servers, holds it while both are full, and refuses it
// before its wait is in vain.
func (b *Balancer) choose(r *request) {
	var best *server
	stays := r.MidFlow && len(r.sampled) > 0 && b.staysSticky(r.sampled[0])
	for _, s := range r.sampled {
		better := best == nil || !stays && b.effectiveLoad(s, r)+b.crossZonePenalty(s)+tieMargin < b.effectiveLoad(best, r)+b.crossZonePenalty(best)
		if silent := s.probePending && s.probeFailures > 0 && len(r.sampled) > 1; better && !silent && b.usable(s, r) {
			best = s
		}
	}
	switch {
	case b.overdue(r):
		b.answerFinally(r)
	case best != nil && (stays || b.admit(best, r)):
		b.send(r, best)
	case b.shouldReject(r):
		b.answerFinally(r)
	case r.sampled == nil || b.now >= r.nextPlacementAt:
		b.place(r)
	default:
		r.sampled, r.nextPlacementAt = nil, b.now+resampleInterval/2+b.jitter(resampleInterval)
	}
}

// overdue tells that an attempt could end too late for an answer in time.
func (b *Balancer) overdue(r *request) bool { return b.now >= r.deadline-3*b.tickInterval }

// shouldReject tells that a held request should be refused, so that no worth is lost after its aim.
func (b *Balancer) shouldReject(r *request) bool {
	return b.lease == LeaseExpired || b.now >= r.receivedAt+r.class.LatencyObjective || b.overdue(r)
}

// delayExceeds tells that messages at s lately took longer than aim: a backlog has to drain first.
func (b *Balancer) delayExceeds(s *server, aim time.Duration) bool {
	return aim > 0 && s.delayValue > aim && b.now-s.delayAt < delayMemory
}

// admit tells whether s has room for r. All balancers see the same late report, so the room goes by lot:
// each admits its part of what they all want to send before the load shows. A cold server's room has been
// shared out already: by the budget.
func (b *Balancer) admit(s *server, r *request) bool {
	yields := float64(max(0, r.class.PriorityRank-1)) / float64(max(1, b.lowestPriority)) // the last class first
	limit := newcomerLoadLimit - yields*(newcomerLoadLimit-overQuotaLoadLimit)
	if t := r.tenant; t != nil && t.ConnectionQuota > 0 && float64(t.openConnections*b.config.Balancers) > 1.2*t.ConnectionQuota {
		limit = overQuotaLoadLimit
	}
	room := (limit - b.effectiveLoad(s, r)) / max(b.loadStep(s)*b.classWeight(r.Class), 1e-6) / (1 + s.estimatePenalty)
	lags := b.delayExceeds(s, r.class.MessageLatencyObjective)
	return !b.config.ProbesEnabled || room >= 1 && !lags && (b.warmUpCapacity(s) < 1 || b.winsShare(room))
}

// staysSticky tells whether a connection in mid-flow is sent to where it is likely to stand. It adds nothing there
// if it does, but the guesses that miss do: they go by lot as well, or a wave of them fills one server up.
func (b *Balancer) staysSticky(s *server) bool {
	return b.estimatedLoad(s) < 1 && (!b.zonesHaveManyBalancers() || b.winsShare((overloadedLoad-b.estimatedLoad(s))/max(b.loadStep(s), 1e-6)/stickyMissShare))
}

// winsShare gives one choice its chance of a room that all balancers see. Newcomers are shared by those with room:
// servers that look full get none, and what would have gone there goes to the others.
func (b *Balancer) winsShare(room float64) bool {
	b.demandPerSecond, b.demandUpdatedAt = 1+b.demandPerSecond*math.Exp(-(b.now-b.demandUpdatedAt).Seconds()), b.now
	roomy := b.count(func(s *server) bool { return s.State == Live && b.warmUpCapacity(s) >= 1 && b.estimatedLoad(s) < newcomerLoadLimit })
	return b.rng.Float64()*b.fleetDemand()/float64(max(1, roomy))*b.reportLag().Seconds() < room
}

// maySetUp keeps set-ups within the window: what all set-ups share (a session store, the network) may be
// the bottleneck, and more of them at once would only end in errors.
func (b *Balancer) maySetUp() bool {
	return b.lease == LeaseActive && b.now >= b.setupsPausedUntil && float64(b.setupsPending) < max(1, b.setupsLimit)
}

// mayExplore keeps connections where they are while set-ups are scarce: each move takes another one.
func (b *Balancer) mayExplore(r *request) bool {
	scarce := b.setupsNextCutAt > 0 && b.now < b.setupsNextCutAt+minSettleTime || b.setupsMeanMillis > float64(r.class.LatencyObjective.Milliseconds())/2
	return !scarce && b.lease == LeaseActive && r.origin == nil && r.Key != ""
}

// setupFinished follows an attempt that ended or stands. Failures at one server say nothing of the others.
func (b *Balancer) setupFinished(r *request, ok bool, took time.Duration) {
	r.attemptPending = false
	b.setupsPending--
	b.setupsMeanMillis += 0.1 * (float64(took.Milliseconds()) - b.setupsMeanMillis)
	if ok {
		b.setupsLimit = min(float64(b.config.MaxPendingAttempts), b.setupsLimit+min(b.setupsLimit, 1/b.setupsLimit))
		b.setupsFailureRate -= 0.1 * b.setupsFailureRate
		return
	}
	if r.failedSetups++; r.failedSetups == 1 { // one that fails everywhere may be itself to blame
		b.setupsFailureRate += 0.1 * (1 - b.setupsFailureRate)
	}
	if b.setupsLastFailedOn != nil && r.server != b.setupsLastFailedOn && b.now >= b.setupsNextCutAt && b.setupsFailureRate > highFailureRate {
		b.setupsLimit = max(1.0/16, min(b.setupsLimit, float64(b.setupsPending+1))/2)
		b.setupsNextCutAt = b.now + time.Duration(max(100, b.setupsMeanMillis))*time.Millisecond
		b.setupsPausedUntil = b.now + b.jitter(time.Duration(float64(100*time.Millisecond)/b.setupsLimit))
	}
	b.setupsLastFailedOn = r.server
}

func (b *Balancer) send(r *request, s *server) {
	b.dequeue(r)
	r.server, r.attemptPending, r.sampled, r.attemptSentAt = s, true, nil, b.now
	b.retryTokens -= float64(min(1, r.attempts))
	r.attempts++
	b.setupsPending++
	s.warmUpTokens -= b.classWeight(r.Class) // only counts while s is cold
	s.estimatePlaced += b.loadStep(s) * b.classWeight(r.Class)
	// One attempt should leave time for another, unless set-ups take long everywhere.
	until := b.now + max(r.class.LatencyObjective, time.Duration(4*b.setupsMeanMillis)*time.Millisecond)
	if until >= r.deadline-r.class.LatencyObjective/2 {
		until = 0
	}
	b.act(Send{r.ID, s.ID, until})
}

// answerFinally answers a request without an attempt out for good. A refusal says that a new try is harmless.
func (b *Balancer) answerFinally(r *request) {
	if k := r.class; r.mayHaveRunAt < 0 || k.Idempotency == Idempotent || k.Idempotency == IdempotentByKey && k.KeyScope == KeyScopeAll {
		b.act(Reject{r.ID, b.config.MaxRetryAfter/2 + b.jitter(b.config.MaxRetryAfter/2), b.rejectionReason(r)})
	} else {
		b.act(Fail{r.ID, b.rejectionReason(r)})
	}
	b.forget(r)
}

func (b *Balancer) attemptEnded(o AttemptEnded) {
	r := b.requests[o.ID]
	if r == nil || o.Attempt != r.attempts-1 || !r.attemptPending && !r.established {
		return
	}
	if r.established || o.Final {
		b.forget(r)
		return
	}
	s, from := r.server, r.origin
	took := time.Duration(b.setupsMeanMillis) * time.Millisecond
	if o.Result == ResultTimedOut || o.Result == ResultUnreachable {
		took = r.class.LatencyObjective
		b.ensureReading(s, nil) // one server, or all? its probe will tell
	}
	b.setupFinished(r, o.Result != ResultTimedOut && o.Result != ResultFailed, took)
	if o.Result.MayHaveRun() && r.mayHaveRunAt < 0 {
		r.mayHaveRunAt, r.mayHaveRunOn = r.attemptSentAt, s
	}
	r.avoid, r.origin, r.target = s, nil, nil
	// A failed exploration counts as a reading above the old one: back it goes.
	if from != nil && b.usable(from, r) && !b.exhausted(r) && b.maySetUp() {
		b.send(r, from)
		return
	}
	b.place(r)
}

// probeFinished takes a reading, or the lack of one.
func (b *Balancer) probeFinished(p ProbeResult) {
	s := b.servers[p.Server]
	if s == nil {
		return
	}
	if s.probePending = false; p.Result != ResultOK { // else one that is gone would be asked again at each tick
		s.readingOverloadedSince = 0
	}
	switch {
	case p.Result == ResultOK && p.Report != nil:
		b.takeReport(s, *p.Report)
	case !p.ServerActive && (p.Result == ResultTimedOut || p.Result == ResultUnreachable): // else the way to it was slow
		s.probeFailures++
		s.probeEjectedUntil = b.now + b.jitter(time.Duration(min(s.probeFailures, 8))*500*time.Millisecond)
		if s.probeFailures == 1 && s.openConnections > 0 { // once can be chance, but connections are at stake
			s.readingKnown, s.probeSentAt = false, -b.reportLag()
			b.ensureReading(s, nil)
		}
	}
	waiters := s.probeWaiters
	s.probeWaiters = nil
	for _, r := range waiters {
		b.resumeAfterProbe(r, s, p.Result == ResultOK)
	}
	b.evacuate(s)
}

func (b *Balancer) takeReport(s *server, p LoadReport) {
	x := b.reportedLoad(p, s.Weight)
	if s.readingKnown { // learn how often reports change: an equal one means that asking was too early
		if b.meansRenewalAge = max(minRenewalAge, b.meansRenewalAge*98/100); x == s.readingLoad {
			b.meansRenewalAge = min(maxRenewalAge, b.meansRenewalAge*112/100)
		}
		s.estimatePlaced *= math.Exp(-(b.now - s.readingAt).Seconds() / b.reportLag().Seconds())
	}
	s.probeFailures, s.probeEjectedUntil, s.heardAt = 0, 0, b.now
	s.estimatePenalty *= math.Exp(-(b.now - s.readingAt).Seconds() / penaltyDecay.Seconds())
	s.readingOwn, s.readingOwnAt, s.readingGrace = x, b.now, 0
	if s.readingLoad, s.readingKnown, s.readingAt, s.readingOverloadedSince = x, true, b.now, cmp.Or(s.readingOverloadedSince, b.now); x <= overloadedLoad {
		s.readingOverloadedSince = 0
	}
	if p.BacklogSeconds > 0 {
		s.delayValue, s.delayAt = time.Duration(p.BacklogSeconds*float64(time.Second)), b.now
	}
	switch tells := p.InFlight >= 3 && x > 0.02; {
	case tells && b.warmUpCapacity(s) >= 1:
		s.estimateStep = cmp.Or(s.estimateStep, x/p.InFlight)/2 + x/p.InFlight/2 // reports are noisy
		if x <= 1 {                                              // above that it tells how slow this one is
			b.meansStep = 0.95*cmp.Or(b.meansStep, s.estimateStep) + 0.05*s.estimateStep
		}
	case p.InFlight >= 0 && p.InFlight < 3 && b.warmUpCapacity(s) >= 1: // empty: it need not be slow any more
		s.estimateStep = 0
	case tells: // of a few connections it tells little
		s.estimateStep = (x + priorConnections*cmp.Or(b.meansStep/b.warmUpCapacity(s), x/p.InFlight)) / (p.InFlight + priorConnections)
	}
	b.meansLoad += 0.05 * (x - b.meansLoad)
}

// takePeerReading takes what others read, as old as it is. The more room that is, the longer it is as good as asking:
// what is sent meanwhile matters less. A server that they find dead is asked, whatever is known of it.
func (b *Balancer) takePeerReading(h PeerReading) {
	s := b.servers[h.Server]
	switch at := b.now - h.Age; {
	case s == nil:
	case h.Unreachable && s.probeFailures == 0:
		s.readingKnown, s.probeSentAt = false, -b.reportLag()
		b.ensureReading(s, nil)
	case !h.Unreachable && at > s.readingAt: // else it knows better
		s.estimatePlaced *= math.Exp(-(at - s.readingAt).Seconds() / b.reportLag().Seconds())
		s.readingLoad, s.readingKnown, s.readingAt, s.readingPeerAt = h.Load, true, at, b.now
		s.readingGrace = time.Duration(max(0, newcomerLoadLimit-h.Load) / newcomerLoadLimit * float64(minSettleTime))
	}
}

// resumeAfterProbe goes on with r, which waited for a reading of s.
func (b *Balancer) resumeAfterProbe(r *request, s *server, ok bool) {
	switch {
	case b.requests[r.ID] != r || r.attemptPending || r.migrating || r.established && r.server != s:
	case !r.established:
		if slices.Contains(r.sampled, s) {
			b.chooseWhenRead(r)
		}
	case r.explorationTarget != nil:
		if ok {
			b.migrate(r, migration{target: r.explorationTarget, origin: s, originLoad: b.estimatedLoad(s)})
		}
		r.explorationTarget = nil
	case r.origin != nil:
		b.returnOrStay(r, ok)
	}
}

// reportLag is how long a change of load takes to show in reports, settle until what was moved stands again.
func (b *Balancer) reportLag() time.Duration { return max(minReportLag, 3*b.meansRenewalAge) }

func (b *Balancer) settleTime() time.Duration { return max(minSettleTime, 3*b.meansRenewalAge) }

func (b *Balancer) slotLength() time.Duration { return max(minSlotLength, b.settleTime()) }

// explorationProbability is the chance that a connection explores in this slot.
func (b *Balancer) explorationProbability() float64 {
	return min(b.config.MaxExploration, math.Pow(float64(max(b.explorationSlots, 1)), -b.config.ExplorationDecay))
}

// runSlot runs the mechanism: connections explore in one slot, and go back or stay in the next.
func (b *Balancer) runSlot() {
	b.explorationNextSlotAt = b.now + b.slotLength()
	if b.explorationActive = !b.explorationActive; b.explorationActive {
		b.explorationSlots, b.explorationStartedAt = b.explorationSlots+1, b.now
	}
	for _, r := range slices.Clone(b.connections) {
		if b.explorationActive && !r.migrating && b.mayExplore(r) && b.rng.Float64() < b.explorationProbability() {
			r.explorationTarget = b.explorationServer(r)
		}
		if !r.migrating && (r.explorationTarget != nil || !b.explorationActive && r.origin != nil) && b.ensureReading(r.server, r) {
			b.resumeAfterProbe(r, r.server, true)
		}
	}
	b.dropExpiredMigrations()
}

// explorationServer draws the explore target uniformly.
func (b *Balancer) explorationServer(r *request) *server {
	all := slices.DeleteFunc(slices.Clone(b.sortedServers), func(s *server) bool {
		return s == r.server || b.beyondSubset(s) || b.now < s.probeEjectedUntil || !b.usable(s, r)
	})
	return append(all, nil)[b.rng.IntN(max(1, len(all)))]
}

// returnOrStay sends an explorer back or lets it stay. No answer counts as a reading above the old one.
func (b *Balancer) returnOrStay(r *request, ok bool) {
	from := r.origin
	r.origin = nil
	p := returnProbability(r.originLoad, b.estimatedLoad(r.server), b.explorationProbability(), b.subsetSize())
	if from.State == Live && (!ok || b.rng.Float64() < p) {
		b.migrate(r, migration{target: from})
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

// spareShare is the part of what is too much at some servers that others have room for.
func (b *Balancer) spareShare() float64 {
	room, excess := 0.0, 0.0
	for _, s := range b.sortedServers {
		room += max(0, newcomerLoadLimit-b.estimatedLoad(s)) * math.Floor(b.warmUpCapacity(s)) // a cold one's waits for its budget
		excess += max(0, b.estimatedLoad(s)-evacuationTarget)
	}
	return min(1, room/max(excess, 1e-6))
}

// evacuate is the exception for a server that is silent, overloaded or behind with its messages: its
// connections leave faster than gamma would let them, in proportion to the excess.
func (b *Balancer) evacuate(s *server) {
	excess := 0.0
	switch {
	case s.probeFailures > 1 && !b.mostServersEjected():
		excess = 1
	case s.readingKnown && (s.readingOverloadedSince > 0 && b.now-s.readingOverloadedSince >= minReportLag || b.delayExceeds(s, b.messageObjective)):
		target := evacuationTarget
		if b.now-s.delayAt < delayMemory {
			target = min(target, max(0.2, 1-s.delayValue.Seconds()/drainTime.Seconds()))
		}
		excess = 1 - target/s.readingLoad
	}
	if s.probeFailures < 2 && s.readingLoad <= 1 {
		excess *= b.spareShare()
	}
	if excess <= 0 || b.now < s.nextEvacuationAt || s.State == Draining {
		return
	}
	s.nextEvacuationAt, s.estimatePenalty = b.now+b.settleTime(), 2*s.estimatePenalty+1
	b.migrateShare(s, excess)
}

// migrateShare moves a part of a server's connections elsewhere.
func (b *Balancer) migrateShare(s *server, part float64) {
	for _, r := range b.connections {
		if r.server == s && !r.migrating && r.origin == nil && b.rng.Float64() < part {
			b.migrate(r, migration{avoid: s})
		}
	}
}
