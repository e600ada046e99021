package simulation

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"oatloft/internal/coordination"
	"oatloft/policy"
)

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
