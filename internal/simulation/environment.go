// Package simulation runs hundreds to thousands of balancer policies against simulated servers, without sockets, to
// measure the combined effect of their decisions. Load reports are late and noisy, updates from peers arrive late,
// servers warm up and fail when overloaded; balancers are killed and restarted, are added, lose contact with their
// peers, and send false readings.
//
// Environment implements the simulated servers and traffic and collects statistics; all decisions are those of packages
// policy and coordination. The same seed gives the same run on any machine, whatever the number of cores.
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

// Settings are the parameters of a run.
type Settings struct {
	Balancers, Servers, Zones int
	Seed                      uint64
	ServerCapacity            float64       // connections that fill a server
	Load                      float64       // mean load of all servers at the start, as a fraction of their capacity
	ConnectionLifetime        time.Duration // mean lifetime
	ReportDelay               time.Duration // longest delay of load reports; the shortest is half of it
	PeerDelay                 time.Duration // delay of updates from peers
	Skew                      float64       // traffic of the first balancer over the mean of the others; 0 for 1
	SubsetSize                int
	ShareReadings, Stagger    bool
	MissingCapacity           float64 // fraction of its capacity that each server of the first tenth lacks from the start
}

// Time step, update interval, and the servers' warm-up and overload behavior.
const (
	stepDuration          = 100 * time.Millisecond
	minUpdateInterval     = 500 * time.Millisecond
	warmUpInitialCapacity = 0.34 // fraction of the full capacity
	warmUpDuration        = 8600 * time.Millisecond
	// A server that is warming up fails when its load stays above this multiple of its current capacity for
	// overloadWindow.
	overloadMultiple = 4.0
	overloadWindow   = time.Second
	reportNoise      = 0.05 // standard deviation of reported loads, as a fraction
)

// fleetServer is a simulated server.
type fleetServer struct {
	policy.Server
	warmingSince   time.Duration // start of the warm-up; negative for a warmed-up server
	connections    float64
	slowdown       float64
	history        []float64 // number of connections after each step, latest last
	newConnections int       // in the current second
	probes         int       // in the current second
	overloadedFor  time.Duration
	byBalancer     map[*balancer]int // number of connections by balancer
	downUntil      time.Duration
}

func (srv *fleetServer) warmUpFactor(now time.Duration) float64 {
	if srv.warmingSince < 0 || now-srv.warmingSince >= warmUpDuration {
		return 1
	}
	return warmUpInitialCapacity + (1-warmUpInitialCapacity)*float64(now-srv.warmingSince)/float64(warmUpDuration)
}

type conn struct {
	server  *fleetServer
	key     string
	attempt int
}

// balancer is one policy with its coordinator.
type balancer struct {
	name, zone     string
	policy         *policy.Balancer
	coordinator    *coordination.Coordinator
	conns          map[string]*conn // established connections, and those without an answer yet (server is nil)
	readings       map[string]reading
	sentReports    []sentReport // latest last
	group          int          // partition whose members it sees; negative if it sees nobody
	dead           bool
	falseLoad      float64 // load that it sends as the reading of every server if sendsFalseLoad is set
	sendsFalseLoad bool
	rng            *rand.Rand
	effects        []effect
	nextUpdate     time.Duration
	listVersion    int
	candidates     []string
	rejected       int64
}

type reading struct {
	load         float64
	readAt       time.Duration
	failedProbes int
}

type sentReport struct {
	sentAt time.Duration
	coordination.Member
}

// effect is a change of the environment, applied in a fixed order after all balancers have been stepped. With a server,
// it is a probe or an established connection; without one, a rejection or a migration.
type effect struct {
	probe, migrate bool
	id             string
	server         *fleetServer
}

// Environment is the state of one run.
type Environment struct {
	Now      time.Duration
	Settings Settings
	Counts   Counts
	Seconds  []SecondStats

	balancers        []*balancer
	byID             map[string]*fleetServer
	servers          []*fleetServer
	rng              *rand.Rand
	layouts          coordination.Layouts
	nextServer       int
	lastID           int
	listVersion      int // of the endpoint list
	endpoints        []policy.Server
	endpointsVersion int // list version from which endpoints was built
	departures       map[time.Duration][]departure
	reconnects       map[time.Duration][]string // keys of the connections that clients open again, by time
	current          SecondStats
	trafficFactor    float64 // multiple of the traffic at the start
	received         [][]coordination.Member
}

type departure struct {
	balancer *balancer
	connID   string
}

// Counts are totals over the run.
type Counts struct {
	Requests, Established, Rejected, RejectedWithCapacity, Migrations, Overloaded, Plans int
}

// SecondStats are the statistics of one second.
type SecondStats struct {
	Probes                       int     // of all servers
	MaxServerProbes              int     // at the server that was probed most
	LoadImbalance                float64 // highest load of a warmed-up server over their mean load
	MaxBalancersPerServer        int     // largest number of balancers with connections at one server
	Rejected                     int
	RejectedWithCapacity         int     // while a server had free capacity
	MinCandidates, MaxCandidates int     // number of balancers that have a server in their subset
	MaxWarmUpLoad                float64 // highest load of a server that is warming up, over its current capacity
	newConnections               map[string]int
}

// InvalidSettingsError reports settings that cannot be simulated.
type InvalidSettingsError struct{ hint.Annotated }

// NewEnvironment starts an environment in a steady state, with established connections spread evenly over the servers.
func NewEnvironment(set Settings) (*Environment, error) {
	if set.Balancers < 1 || set.Servers < 2 || set.Zones < 1 || !(set.ServerCapacity > 1) || !(set.Load > 0) ||
		set.ConnectionLifetime < time.Second {
		return nil, &InvalidSettingsError{hint.Annotated{
			What: fmt.Sprintf(
				"invalid settings: %d balancers, %d servers, %d zones, server capacity %v, load %v, connection lifetime %v",
				set.Balancers, set.Servers, set.Zones, set.ServerCapacity, set.Load, set.ConnectionLifetime),
			Do: "give at least 1 balancer, 2 servers, 1 zone, a server capacity above 1, a load above 0, a lifetime of 1s"}}
	}
	e := &Environment{Settings: set, Now: time.Hour, byID: map[string]*fleetServer{},
		rng: rand.New(rand.NewPCG(set.Seed, 11)), departures: map[time.Duration][]departure{},
		reconnects: map[time.Duration][]string{}, trafficFactor: 1, endpointsVersion: -1}
	e.AddServers(set.Servers, false)
	for i := range int(float64(set.Servers) * 0.1) {
		e.servers[i].slowdown = set.MissingCapacity
	}
	if err := e.AddBalancers(set.Balancers); err != nil {
		return nil, err
	}
	for i := range int(set.Load * set.ServerCapacity * float64(set.Servers)) { // connections that are established already
		b, srv := e.balancers[i%len(e.balancers)], e.servers[i%len(e.servers)]
		id := e.newID()
		e.handleEvent(b, policy.AdoptedConnection{Request: policy.Request{ID: id, Key: id, Class: "c", Timeout: time.Second},
			Server: srv.ID})
		b.conns[id] = &conn{key: id}
		e.establish(b, id, srv)
	}
	e.recordStep()
	return e, nil
}

func (e *Environment) newID() string {
	e.lastID++
	return fmt.Sprint("c", e.lastID)
}

func nextStep(t time.Duration) time.Duration { return t.Truncate(stepDuration) + stepDuration }

// AddServers adds n servers. With warmingUp set, they start to warm up.
func (e *Environment) AddServers(n int, warmingUp bool) {
	for range n {
		id := fmt.Sprintf("r%05d", e.nextServer)
		srv := &fleetServer{Server: policy.Server{ID: id, Zone: fmt.Sprint("z", e.nextServer%e.Settings.Zones), Weight: 1},
			warmingSince: -1, byBalancer: map[*balancer]int{}, history: []float64{0}}
		e.nextServer++
		if warmingUp {
			srv.warmingSince, srv.StartedAt = e.Now, e.Now
		}
		e.byID[id] = srv
		e.servers = append(e.servers, srv)
	}
	e.listVersion++
}

// RemoveServers removes the n oldest servers. Their clients connect again.
func (e *Environment) RemoveServers(n int) {
	for _, srv := range e.servers[:n] {
		delete(e.byID, srv.ID)
	}
	e.servers = slices.Clone(e.servers[n:])
	e.listVersion++
	for _, b := range e.balancers {
		for _, id := range slices.Sorted(maps.Keys(b.conns)) {
			if c := b.conns[id]; c.server != nil && e.byID[c.server.ID] == nil {
				e.endConnection(b, id)
				e.reconnect(c.key)
			}
		}
	}
}

// AddBalancers starts n balancers at the same time.
func (e *Environment) AddBalancers(n int) error {
	for range n {
		i := len(e.balancers)
		b := &balancer{name: fmt.Sprintf("b%05d", i), zone: fmt.Sprint("z", i%e.Settings.Zones),
			rng: rand.New(rand.NewPCG(e.Settings.Seed, uint64(100+i)))}
		if err := e.startBalancer(b); err != nil {
			return err
		}
		e.balancers = append(e.balancers, b)
	}
	return nil
}

func (e *Environment) startBalancer(b *balancer) (err error) {
	policyConfig := policy.Config{Zone: b.zone, Balancers: e.Settings.Balancers,
		Classes: []policy.Class{
			{Name: "c", LatencyObjective: 500 * time.Millisecond, MessageLatencyObjective: time.Second}},
		TimerResolution: stepDuration, MaxAttempts: 4, ProbesEnabled: true, PollInterval: 10 * time.Second,
		CrossZoneCost: 0.02, WarmUpInitialCapacity: warmUpInitialCapacity, WarmUpDuration: warmUpDuration,
		OverloadMultiple: overloadMultiple, OverloadWindow: overloadWindow}
	if b.policy, err = policy.New(policyConfig, int64(b.rng.Uint64()>>1)); err != nil {
		return err
	}
	b.conns, b.readings, b.sentReports, b.dead, b.listVersion, b.coordinator, b.candidates =
		map[string]*conn{}, map[string]reading{}, nil, false, -1, nil, nil
	config := coordination.Config{Name: b.name, Zone: b.zone, Balancers: e.Settings.Balancers,
		PeerTimeout: 3 * time.Second, SubsetSize: e.Settings.SubsetSize, ShareReadings: e.Settings.ShareReadings,
		Stagger: e.Settings.Stagger}
	if config.Enabled() {
		b.coordinator = coordination.New(config)
		b.coordinator.Layouts = &e.layouts
	}
	e.buildEndpoints()
	b.nextUpdate = e.Now + time.Duration(b.rng.Float64()*float64(e.updateInterval()))
	e.deliverList(b)
	return nil
}

// buildEndpoints builds the endpoint list of the current version.
func (e *Environment) buildEndpoints() {
	if e.endpointsVersion != e.listVersion {
		e.endpointsVersion, e.endpoints = e.listVersion, nil
		for _, srv := range e.servers {
			e.endpoints = append(e.endpoints, srv.Server)
		}
	}
}

// updateInterval returns the time between two updates from peers. It grows with the fleet when there are thousands of
// balancers.
func (e *Environment) updateInterval() time.Duration {
	return max(minUpdateInterval, time.Duration(len(e.balancers)/1000)*time.Second/2)
}

func (e *Environment) deliverList(b *balancer) {
	if b.listVersion == e.listVersion {
		return
	}
	b.listVersion = e.listVersion
	e.handleEvent(b, policy.ServerList{Kind: policy.ListFull, Servers: e.endpoints})
}

// KillBalancers kills n balancers at the same time. Their clients connect again.
func (e *Environment) KillBalancers(n int) {
	for _, b := range e.balancers {
		if n <= 0 || b.dead {
			continue
		}
		n--
		b.dead = true
		for _, id := range slices.Sorted(maps.Keys(b.conns)) {
			c := b.conns[id]
			e.release(b, c)
			e.reconnect(c.key)
		}
		b.conns = map[string]*conn{}
	}
}

// RestartBalancers starts all balancers that were killed.
func (e *Environment) RestartBalancers() error {
	for _, b := range e.balancers {
		if b.dead {
			if err := e.startBalancer(b); err != nil {
				return err
			}
		}
	}
	return nil
}

// Partition splits the balancers into n groups that see only their own members. 1 joins all balancers again, 0 isolates
// each one.
func (e *Environment) Partition(n int) {
	for i, b := range e.balancers {
		if b.group = -1; n > 0 {
			b.group = i % n
		}
	}
}

// SendFalseLoad makes the first n balancers send load as their reading of every server.
func (e *Environment) SendFalseLoad(n int, load float64) {
	for _, b := range e.balancers[:n] {
		b.falseLoad, b.sendsFalseLoad = load, true
	}
}

// SetTraffic sets the traffic as a multiple of that at the start.
func (e *Environment) SetTraffic(factor float64) { e.trafficFactor = factor }

// reconnect makes a client connect again within a second.
func (e *Environment) reconnect(key string) {
	t := nextStep(e.Now + time.Duration(e.rng.Float64()*float64(time.Second)))
	e.reconnects[t] = append(e.reconnects[t], key)
}

// establish records that a connection is established, and schedules its end.
func (e *Environment) establish(b *balancer, id string, srv *fleetServer) {
	c := b.conns[id]
	c.server = srv
	srv.connections++
	srv.byBalancer[b]++
	t := nextStep(e.Now + time.Duration(e.rng.ExpFloat64()*float64(e.Settings.ConnectionLifetime)))
	e.departures[t] = append(e.departures[t], departure{b, id})
}

func (e *Environment) release(b *balancer, c *conn) {
	if srv := c.server; srv != nil {
		srv.connections--
		if srv.byBalancer[b]--; srv.byBalancer[b] <= 0 {
			delete(srv.byBalancer, b)
		}
	}
}

// endConnection ends an established connection.
func (e *Environment) endConnection(b *balancer, id string) {
	c := b.conns[id]
	if c == nil || c.server == nil || b.dead {
		return
	}
	e.release(b, c)
	delete(b.conns, id)
	e.handleEvent(b, policy.AttemptEnded{ID: id, Attempt: c.attempt, Server: c.server.ID, Result: policy.ResultOK,
		Final: true})
}

// loadRatio returns the load of a server with so many connections, as a fraction of its current capacity.
func (e *Environment) loadRatio(srv *fleetServer, connections float64) float64 {
	return connections / (e.Settings.ServerCapacity * (1 - srv.slowdown) * srv.warmUpFactor(e.Now))
}

// handleEvent steps a policy and handles its actions. Changes of the environment are queued until all balancers have
// been stepped.
func (e *Environment) handleEvent(b *balancer, ev policy.Event) {
	for _, action := range b.policy.Step(e.Now, ev, nil) {
		switch a := action.(type) {
		case policy.Probe:
			srv := e.byID[a.Server]
			if srv == nil {
				e.handleEvent(b, policy.ProbeResult{Server: a.Server, Result: policy.ResultUnreachable})
				continue
			}
			b.effects = append(b.effects, effect{probe: true, server: srv})
			delay := 1 + int(float64(e.Settings.ReportDelay/stepDuration)*(0.5+0.5*b.rng.Float64()))
			connections := srv.history[max(0, len(srv.history)-delay)]
			load := max(0, e.loadRatio(srv, connections)*(1+reportNoise*b.rng.NormFloat64()))
			b.readings[srv.ID] = reading{load: load, readAt: e.Now}
			e.handleEvent(b, policy.ProbeResult{Server: a.Server,
				Report: &policy.LoadReport{Load: load, Utilization: -1, InFlight: connections, BacklogSeconds: -1}})
		case policy.Send:
			c, srv := b.conns[a.ID], e.byID[a.Server]
			if c.attempt++; srv == nil || srv.downUntil > e.Now {
				e.handleEvent(b, policy.AttemptEnded{ID: a.ID, Attempt: c.attempt, Server: a.Server,
					Result: policy.ResultUnreachable})
				continue
			}
			b.effects = append(b.effects, effect{id: a.ID, server: srv})
			e.handleEvent(b, policy.AttemptEstablished{ID: a.ID, Attempt: c.attempt, Server: a.Server,
				Latency: 20 * time.Millisecond})
		case policy.Reject:
			b.effects = append(b.effects, effect{id: a.ID})
		case policy.Migrate:
			b.effects = append(b.effects, effect{id: a.ID, migrate: true})
		}
	}
}

// Step advances the time by one step of 100 ms.
func (e *Environment) Step() {
	e.Now += stepDuration
	e.buildEndpoints()
	now := e.Now.Truncate(stepDuration)
	for _, departure := range e.departures[now] {
		e.endConnection(departure.balancer, departure.connID)
	}
	delete(e.departures, now)
	arrivals := e.reconnects[now]
	delete(e.reconnects, now)
	rate := e.trafficFactor * e.Settings.Load * e.Settings.ServerCapacity * float64(e.Settings.Servers) /
		e.Settings.ConnectionLifetime.Seconds() * stepDuration.Seconds()
	for n := int(rate + e.rng.Float64()); n > 0; n-- {
		arrivals = append(arrivals, "")
	}
	var alive []*balancer
	for _, b := range e.balancers {
		if !b.dead {
			alive = append(alive, b)
		}
	}
	requests := map[*balancer][]string{}
	for _, key := range arrivals {
		if len(alive) == 0 {
			e.reconnect(key)
			continue
		}
		b := alive[e.rng.IntN(len(alive))]
		if skew := e.Settings.Skew; skew > 1 && e.rng.Float64() < (skew-1)/(skew-1+float64(len(alive))) {
			b = alive[0]
		}
		e.Counts.Requests++
		requests[b] = append(requests[b], key)
	}
	e.collectReports(alive)
	var all sync.WaitGroup
	cores := runtime.GOMAXPROCS(0)
	for k := range cores {
		all.Add(1)
		go func() {
			defer all.Done()
			for i := k; i < len(alive); i += cores {
				e.stepBalancer(alive[i], requests[alive[i]])
			}
		}()
	}
	all.Wait()
	e.applyEffects(alive)
	e.recordStep()
}

// stepBalancer runs one balancer's part of a step. Balancers run concurrently, so it changes only the balancer's state.
func (e *Environment) stepBalancer(b *balancer, requests []string) {
	e.deliverList(b)
	if b.coordinator != nil && e.Now >= b.nextUpdate {
		b.nextUpdate += e.updateInterval()
		e.coordinate(b)
	}
	for i, key := range requests {
		id := fmt.Sprint(b.name, "/", e.Now.Milliseconds(), "/", i)
		b.conns[id] = &conn{key: cmp.Or(key, id), attempt: -1}
		e.handleEvent(b, policy.Request{ID: id, Key: cmp.Or(key, id), Class: "c", Timeout: 2 * time.Second})
	}
	e.handleEvent(b, policy.TimerFired{Token: "tick"})
}

// collectReports collects what peers have received from each balancer by now: its latest report that is at least
// PeerDelay old.
func (e *Environment) collectReports(alive []*balancer) {
	e.received = e.received[:0]
	if e.Settings.SubsetSize == 0 && !e.Settings.ShareReadings && !e.Settings.Stagger {
		return
	}
	for _, b := range alive {
		if b.group < 0 {
			continue
		}
		for len(e.received) <= b.group {
			e.received = append(e.received, nil)
		}
		member := coordination.Member{Name: b.name, Zone: b.zone}
		for i := len(b.sentReports) - 1; i >= 0; i-- {
			if age := e.Now - b.sentReports[i].sentAt; age >= e.Settings.PeerDelay && age < 5*time.Second {
				member = b.sentReports[i].Member
				member.SlotAge += age
				break
			}
		}
		e.received[b.group] = append(e.received[b.group], member)
	}
}

// peerView returns what a balancer has received from its peers.
func (e *Environment) peerView(b *balancer) coordination.View {
	view := coordination.View{Known: 1}
	if b.group >= 0 && b.group < len(e.received) {
		view.Known = len(e.received[b.group])
		view.Members = make([]coordination.Member, 0, view.Known)
		for _, member := range e.received[b.group] {
			if member.Name != b.name {
				view.Members = append(view.Members, member)
			}
		}
	}
	return view
}

func (e *Environment) localState(b *balancer) coordination.LocalState {
	activity := b.policy.Activity()
	own := coordination.LocalState{ExplorationSlots: activity.ExplorationSlots, SlotAge: activity.SlotAge,
		SlotPeriod: activity.SlotPeriod, Demand: activity.Demand, Rejected: b.rejected}
	for _, s := range e.endpoints {
		r := b.readings[s.ID]
		own.Servers = append(own.Servers, coordination.Server{ID: s.ID, Zone: s.Zone, Live: true,
			WarmingUp: s.StartedAt > 0 && e.Now-s.StartedAt < warmUpDuration,
			Load:      r.load, ReadAt: r.readAt, FailedProbes: r.failedProbes})
	}
	return own
}

func (e *Environment) coordinate(b *balancer) {
	events, state := b.coordinator.Update(e.Now, e.peerView(b), e.localState(b))
	for _, ev := range events {
		if c, ok := ev.(policy.CandidateSubset); ok {
			b.candidates = c.Servers
		}
		e.handleEvent(b, ev)
	}
	member := coordination.Member{Name: b.name, Zone: b.zone, Reported: true, ExplorationSlots: state.ExplorationSlots,
		SlotAge: state.SlotAge, Demand: state.Demand, ReferenceSize: state.ReferenceSize, Subset: state.Subset}
	if e.Settings.ShareReadings {
		member.Readings = map[string]stagger.Report{}
		for _, id := range state.Readings {
			switch r, ok := b.readings[id]; {
			case b.sendsFalseLoad:
				member.Readings[id] = stagger.Report{Load: b.falseLoad, Age: e.Settings.PeerDelay}
			case ok && e.Now-r.readAt < 5*time.Second:
				member.Readings[id] = stagger.Report{Load: r.load, Age: e.Now - r.readAt + e.Settings.PeerDelay,
					FailedProbes: r.failedProbes}
			}
		}
	}
	b.sentReports = append(b.sentReports, sentReport{e.Now, member})
	if len(b.sentReports) > 16 {
		b.sentReports = slices.Delete(b.sentReports, 0, 8)
	}
}

// applyEffects applies the queued effects of all balancers, in the order of the balancers' names.
func (e *Environment) applyEffects(alive []*balancer) {
	for _, b := range alive {
		effects := b.effects
		b.effects = nil
		for _, eff := range effects {
			switch {
			case eff.probe:
				e.current.Probes++
				eff.server.probes++
			case eff.migrate:
				e.Counts.Migrations++
				c := b.conns[eff.id]
				e.endConnection(b, eff.id)
				t := nextStep(e.Now + 300*time.Millisecond)
				e.reconnects[t] = append(e.reconnects[t], c.key)
			case eff.server != nil:
				e.Counts.Established++
				e.establish(b, eff.id, eff.server)
				eff.server.newConnections++
			default:
				e.Counts.Rejected++
				e.current.Rejected++
				b.rejected++
				if e.hasCapacity() {
					e.Counts.RejectedWithCapacity++
					e.current.RejectedWithCapacity++
				}
				e.reconnect(b.conns[eff.id].key)
				delete(b.conns, eff.id)
			}
		}
	}
}

// hasCapacity reports whether a warmed-up server has capacity for more than one new connection.
func (e *Environment) hasCapacity() bool {
	return slices.ContainsFunc(e.servers, func(srv *fleetServer) bool {
		return srv.warmUpFactor(e.Now) >= 1 && e.loadRatio(srv, srv.connections) < 0.75
	})
}

// recordStep records the load of each server, detects overloaded servers, and completes the statistics of each second.
func (e *Environment) recordStep() {
	for _, srv := range e.servers {
		srv.history = append(srv.history, srv.connections)
		if len(srv.history) > 64 {
			srv.history = slices.Delete(srv.history, 0, 32)
		}
		load := e.loadRatio(srv, srv.connections)
		if srv.warmUpFactor(e.Now) < 1 {
			e.current.MaxWarmUpLoad = max(e.current.MaxWarmUpLoad, load)
		}
		if load <= overloadMultiple || srv.warmUpFactor(e.Now) >= 1 {
			srv.overloadedFor = 0
		} else if srv.overloadedFor += stepDuration; srv.overloadedFor >= overloadWindow && srv.downUntil < e.Now {
			srv.downUntil = e.Now + 5*time.Second
			e.Counts.Overloaded++
		}
	}
	if e.Now%time.Second != 0 {
		return
	}
	candidates := map[string]int{}
	for _, b := range e.balancers {
		for _, id := range b.candidates {
			candidates[id]++
		}
	}
	total, maxLoad, warmedUp := 0.0, 0.0, 0.0
	e.current.MinCandidates, e.current.newConnections = math.MaxInt, map[string]int{}
	for _, srv := range e.servers {
		e.current.MaxServerProbes = max(e.current.MaxServerProbes, srv.probes)
		e.current.MaxBalancersPerServer = max(e.current.MaxBalancersPerServer, len(srv.byBalancer))
		e.current.MinCandidates, e.current.MaxCandidates = min(e.current.MinCandidates, candidates[srv.ID]),
			max(e.current.MaxCandidates, candidates[srv.ID])
		e.current.newConnections[srv.ID] = srv.newConnections
		srv.probes, srv.newConnections = 0, 0
		if srv.warmUpFactor(e.Now) >= 1 {
			load := e.loadRatio(srv, srv.connections)
			total, maxLoad, warmedUp = total+load, max(maxLoad, load), warmedUp+1
		}
	}
	if total > 0 {
		e.current.LoadImbalance = maxLoad / (total / warmedUp)
	}
	e.Seconds = append(e.Seconds, e.current)
	e.current = SecondStats{}
}

// Run advances the time by d.
func (e *Environment) Run(d time.Duration) {
	for end := e.Now + d; e.Now < end; {
		e.Step()
	}
}

// Mean returns the mean of a figure over seconds.
func Mean(list []SecondStats, figure func(SecondStats) float64) float64 {
	total := 0.0
	for _, s := range list {
		total += figure(s)
	}
	return total / float64(max(1, len(list)))
}

// ArrivalConcentration returns the highest number of new connections at one server over the mean of all servers, within
// a slot of eight seconds.
func ArrivalConcentration(list []SecondStats) (worst float64) {
	for from := 0; from+8 <= len(list); from += 8 {
		arrivals, total := map[string]int{}, 0
		for _, s := range list[from : from+8] {
			for id, n := range s.newConnections {
				arrivals[id] += n
				total += n
			}
		}
		for _, n := range arrivals {
			worst = max(worst, float64(n)*float64(len(arrivals))/float64(max(1, total)))
		}
	}
	return worst
}

// SecondsUntilStable returns the number of seconds until a figure stayed within its bound for three seconds in a row,
// or the length of the list if it never did.
func SecondsUntilStable(list []SecondStats, withinBound func(SecondStats) bool) int {
	for i := range list {
		if i+3 <= len(list) && withinBound(list[i]) && withinBound(list[i+1]) && withinBound(list[i+2]) {
			return i
		}
	}
	return len(list)
}
