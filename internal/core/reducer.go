package core

import (
	"time"

	"oatloft/policy"
)

// Reducer holds the state of one balancer. It is not safe for concurrent use.
type Reducer struct {
	Counters Counters

	config   Config
	classes  classTable
	now      time.Duration
	effects  []Effect // of the current step
	timers   timerWheel
	balancer *policy.Balancer
	actions  []policy.Action // of the module's latest step; its memory is reused
	pending  []policy.Event  // queued for the module, in order
	deciding bool            // decide is passing events to the module

	requests    requestTable
	recent      recentRequests
	idle        idleClients
	endpoints   endpointTable
	watch       watchState
	maintenance maintenanceState
	migrations  pacedMigrations
	predecessor predecessorFlows
	shutdown    shutdownState
	drain       drainState
	lease       policy.LeaseState
}

// New returns a reducer. The error is *policy.ConfigError.
func New(config Config) (*Reducer, error) {
	balancer, err := policy.New(config.Policy, config.Seed)
	if err != nil {
		return nil, err
	}
	return &Reducer{
		config:      config,
		classes:     newClassTable(config.Policy.Classes),
		balancer:    balancer,
		requests:    requestTable{byClient: map[Handle]*request{}, byID: map[string]*request{}},
		idle:        idleClients{waiting: map[Handle]struct{}{}},
		endpoints:   endpointTable{byID: map[string]*endpoint{}},
		maintenance: maintenanceState{servers: map[string]bool{}, returning: map[string]bool{}},
		migrations:  pacedMigrations{windows: map[string]migrationWindow{}},
	}, nil
}

// Step processes one event and appends the resulting effects to effects.
func (r *Reducer) Step(now time.Duration, event Event, effects []Effect) []Effect {
	if r.now == 0 {
		r.start(now, effects)
	} else {
		r.now, r.effects = max(r.now, now), effects
	}
	r.dispatch(event)
	effects = r.effects
	r.effects = nil
	return effects
}

// start starts the timers and the module, whose first request for the endpoint list must not wait for a client.
func (r *Reducer) start(now time.Duration, effects []Effect) {
	r.timers.start(now)
	r.timers.set(now+checkInterval, timer{kind: checkTimer})
	r.now, r.effects = now, effects
	r.decide(policy.PredecessorFlow{})
}

func (r *Reducer) dispatch(event Event) {
	if r.dispatchClient(event) || r.dispatchAttempt(event) || r.dispatchDiscovery(event) {
		return
	}
	switch event := event.(type) {
	case ConfigChanged:
		r.configChanged(event)
	case ShutdownRequested:
		r.beginShutdown(event)
	case MaintenanceSet:
		r.setMaintenance(event)
	case DrainSet:
		r.setDrain(event.On)
	case PredecessorState:
		r.predecessorState(event)
	case OverlappingProcesses:
		r.setOverlappingProcesses(event.Count)
	case FleetEvents:
		r.decideAll(event.Events)
	case LeaseChanged:
		r.leaseChanged(event)
	case Tick:
		r.timers.advance(r.now, r.timerFired, r.isObsolete)
	}
}

// dispatchClient handles the events of clients and reports whether the event is one.
func (r *Reducer) dispatchClient(event Event) bool {
	switch event := event.(type) {
	case ConnectionAccepted:
		r.idle.add(event.Client, r.now)
	case DescriptorsScarce:
		r.Counters.IdleClosed += r.closeOldestIdle(event.Missing, minIdleAge, true)
	case CloseIdle:
		r.closeIdle(event)
	case RequestReceived:
		r.requestReceived(event)
	case ClientClosed:
		r.clientClosed(event)
	case InvalidRequest:
		r.invalidRequest(event)
	case DataReceived:
		r.dataReceived(event)
	case BackpressureChanged:
		r.backpressureChanged(event)
	case ServerDataQueued:
		r.serverDataQueued(event)
	default:
		return false
	}
	return true
}

// dispatchAttempt handles the events of attempts and probes and reports whether the event is one.
func (r *Reducer) dispatchAttempt(event Event) bool {
	switch event := event.(type) {
	case AttemptConnected:
		r.attemptConnected(event)
	case SentByOtherProcess:
		r.sentByOtherProcess(event)
	case RequestSent:
		r.requestSent(event)
	case AttemptAccepted:
		r.attemptAccepted(event)
	case AttemptClosed:
		r.attemptClosed(event)
	case ProbeFinished:
		r.probeFinished(event)
	default:
		return false
	}
	return true
}

// dispatchDiscovery handles the events of discovery and reports whether the event is one.
func (r *Reducer) dispatchDiscovery(event Event) bool {
	switch event := event.(type) {
	case EndpointsListed:
		r.endpointsListed(event)
	case WatchDataReceived:
		r.watch.lastPartialAt = r.now
	case WatchHeartbeat:
		r.watchHeartbeat()
	case WatchClosed:
		r.watchClosed()
	default:
		return false
	}
	return true
}

func (r *Reducer) emit(effect Effect) { r.effects = append(r.effects, effect) }

// decide passes one event to the module and performs its actions. Events that result from these are queued, so the
// module is never re-entered.
func (r *Reducer) decide(event policy.Event) {
	r.pending = append(r.pending, event)
	if r.deciding {
		return
	}
	r.deciding = true
	for len(r.pending) > 0 {
		next := r.pending[0]
		r.pending = r.pending[1:]
		r.actions = r.balancer.Step(r.now, next, r.actions[:0])
		for _, action := range r.actions {
			r.perform(action)
		}
	}
	r.pending, r.deciding = r.pending[:0], false
}

// perform turns one of the module's actions into effects.
func (r *Reducer) perform(action policy.Action) {
	switch action := action.(type) {
	case policy.Send:
		r.sendAttempt(action)
	case policy.Reject:
		r.rejectRequest(action)
	case policy.Fail:
		r.failRequest(action)
	case policy.Migrate:
		r.migrateRequest(action)
	case policy.Probe:
		r.sendProbe(action)
	case policy.Subscribe:
		r.subscribe()
	case policy.SetTimer:
		r.timers.set(r.now+action.After, timer{kind: policyTimer, token: action.Token})
	}
}

func (r *Reducer) timerFired(t timer) {
	switch t.kind {
	case policyTimer:
		r.decide(policy.TimerFired{Token: t.token})
	case connectTimer:
		r.connectTimedOut(t)
	case attemptTimer:
		r.attemptTimedOut(t)
	case deadlineTimer:
		r.deadlinePassed(r.requests.byClient[t.client])
	case checkTimer:
		r.timers.set(r.now+checkInterval, timer{kind: checkTimer})
		r.check()
	case watchTimer:
		if t.number == r.watch.sequence {
			r.checkWatch()
		}
	case migrationTimer:
		r.runMigrations()
	case shutdownTimer:
		r.advanceShutdown()
	case lineEndTimer:
		r.checkPendingMigration(r.requests.established(t.client))
	}
}

// isObsolete reports whether a timer belongs to a request that is closed. A client may name a time of 71 minutes, so
// the timers of closed requests would add up.
func (r *Reducer) isObsolete(t timer) bool {
	switch t.kind {
	case connectTimer, attemptTimer, deadlineTimer, lineEndTimer:
		return r.requests.byClient[t.client] == nil
	}
	return false
}

// checkInterval is how often the reducer checks for idle clients, silent servers and silent watches.
const checkInterval = 250 * time.Millisecond

func (r *Reducer) check() {
	r.Counters.IdleTimedOut += r.closeOldestIdle(r.idle.count(), requestTimeout, false)
	for _, q := range r.requests.sorted() {
		r.checkConnection(q)
	}
	r.predecessor.expire(r.now)
	r.checkWatch()
}

// configChanged applies new settings. It begins a new watch at once if discovery has a new address.
func (r *Reducer) configChanged(event ConfigChanged) {
	event.Policy.OverlappingProcesses = r.config.Policy.OverlappingProcesses
	r.config = event.Config
	r.classes = newClassTable(event.Policy.Classes)
	r.decide(policy.ConfigUpdate{Config: event.Policy})
	if event.DiscoveryMoved {
		r.beginWatch()
	}
}

func (r *Reducer) leaseChanged(event LeaseChanged) {
	r.lease = event.Lease
	r.decide(event.Lease)
}

func (r *Reducer) decideAll(events []policy.Event) {
	for _, event := range events {
		r.decide(event)
	}
}

// setOverlappingProcesses has the module divide this balancer's share of the fleet's limits among its processes.
func (r *Reducer) setOverlappingProcesses(count int) {
	if r.config.Policy.OverlappingProcesses == count {
		return
	}
	r.config.Policy.OverlappingProcesses = count
	r.decide(policy.ConfigUpdate{Config: r.config.Policy})
}

// LoadReadings returns the load readings of all servers that this balancer has probed itself or found silent, by id.
func (r *Reducer) LoadReadings() []policy.ServerReading { return r.balancer.LoadReadings() }

// Activity returns the module's own activity, which is reported to other balancers.
func (r *Reducer) Activity() policy.Activity { return r.balancer.Activity() }
