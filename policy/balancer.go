package policy

import (
	"math/rand/v2"
	"slices"
	"time"
)

const (
	tickToken       = "tick"
	minTickInterval = 20 * time.Millisecond // between two checks of waiting requests, servers and exploration slots
)

// Balancer makes the decisions of one balancer process. It is not safe for concurrent use.
type Balancer struct {
	config       Config
	classes      classIndex
	tenants      map[string]*tenantState
	tickInterval time.Duration

	started bool
	now     time.Duration
	rng     *rand.Rand
	actions []Action // of the current step

	servers          serverSet
	requests         requestSet
	migrations       map[string]migration // in progress, by the client's key
	groupConnections map[string]int       // established through this balancer, by group
	classLoads       classLoads

	means       fleetMeans
	setups      setupLimiter
	retries     retryBudget
	demand      demandRate
	exploration exploration
	discovery   discovery
	subset      subset

	fleet          FleetState
	lease          LeaseState
	saturatedLinks map[string]int // by zone, the highest PriorityRank that is still sent there
}

// New returns a balancer, or a *ConfigError if a setting is invalid. The seed determines all random choices.
func New(config Config, seed int64) (*Balancer, error) {
	b := &Balancer{
		rng:              rand.New(rand.NewPCG(uint64(seed), 1)),
		servers:          serverSet{byID: map[string]*server{}},
		requests:         requestSet{byID: map[string]*request{}},
		migrations:       map[string]migration{},
		groupConnections: map[string]int{},
		classLoads:       classLoads{},
		means:            fleetMeans{renewalAge: 4 * minRenewalAge},
		setups:           setupLimiter{limit: initialSetupLimit},
	}
	return b, b.configure(config)
}

// Step processes one event and appends the resulting actions to actions. Events that match no state (the end of an
// unknown request, a second request with a known id) change nothing. If now is earlier than at the previous event,
// the previous time is used.
func (b *Balancer) Step(now time.Duration, event Event, actions []Action) []Action {
	b.now, b.actions = max(b.now, now), actions
	if !b.started {
		b.start()
	}
	switch event := event.(type) {
	case ServerList:
		b.updateEndpoints(event)
	case Request:
		b.receiveRequest(event)
	case AdoptedConnection:
		b.adopt(event)
	case PredecessorFlow:
		b.expectPredecessorFlow(event)
	case AttemptEstablished:
		b.attemptEstablished(event)
	case AttemptEnded:
		b.attemptEnded(event)
	case ConnectionLoad:
		b.recordConnectionLoad(event)
	case MessageDelay:
		b.recordMessageDelay(event)
	case ProbeResult:
		b.probeFinished(event)
	case PeerReading:
		b.applyPeerReading(event)
	case ClientDisconnected:
		b.clientDisconnected(event)
	case ConfigUpdate:
		_ = b.configure(event.Config) // the host has validated the settings with New and reported any error
	case CandidateSubset:
		b.setCandidates(event)
	case FleetState:
		b.updateFleet(event)
	case LeaseState:
		b.lease = event
	case SaturatedLinks:
		b.saturatedLinks = event.Zones
	case TimerFired:
		b.tick()
	}
	return b.actions
}

// start staggers polls of the endpoint list and exploration slots, which would coincide if all balancers started
// together.
func (b *Balancer) start() {
	b.started = true
	b.discovery.backoff = b.initialPollBackoff()
	b.discovery.nextPollAt = b.now + b.staggered(5*b.initialPollBackoff())
	b.exploration.nextSlotAt = b.now + b.jitter(2*b.slotLength())
	b.emit(SetTimer{tickToken, b.tickInterval})
}

// tick does the periodic work.
func (b *Balancer) tick() {
	b.emit(SetTimer{tickToken, b.tickInterval})
	for _, r := range slices.Clone(b.requests.waiting) {
		stillWaiting := b.requests.byID[r.ID] == r && !r.attemptPending
		if stillWaiting && (b.now >= r.nextPlacementAt || b.shouldReject(r)) {
			b.choose(r)
		}
	}
	b.pollIfNeeded()
	for _, s := range b.servers.sorted {
		b.tickServer(s)
	}
	if b.now >= b.exploration.nextSlotAt {
		b.startSlot()
	}
}

// tickServer migrates connections away from a server that takes no new ones, and probes a server whose load should
// be known. The migrations are spread over time, so that they cause no burst at the other servers.
func (b *Balancer) tickServer(s *server) {
	switch {
	case s.State == Draining:
		b.migrateShare(s, b.tickInterval.Seconds()/drainTime.Seconds())
	case s.sampleWeight == 0 && b.config.MigrationsPerSecond > 0:
		b.migrateShare(s, b.tickInterval.Seconds()*b.config.MigrationsPerSecond/float64(max(1, s.openConnections)))
	case s.reading.overloadedSince > 0 || b.needsProbe(s):
		b.ensureReading(s, nil)
	}
}

func (b *Balancer) emit(action Action) { b.actions = append(b.actions, action) }

// jitter returns a random duration in [0, d).
func (b *Balancer) jitter(d time.Duration) time.Duration {
	return time.Duration(b.rng.Float64() * float64(d))
}
