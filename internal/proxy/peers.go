package proxy

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"oatloft/internal/coordination"
	"oatloft/internal/core"
	"oatloft/internal/failpoint"
	"oatloft/internal/membership"
	"oatloft/policy"
)

const (
	// maxReadings is how many readings are signalled at a time; the next time continues after the last one, so that
	// all servers are covered.
	maxReadings = 48
	// subsetRepeats is how many times an unchanged subset is signalled within a signal's lifetime.
	subsetRepeats = 3
	// failpointStall is how long the failpoint loop-waits blocks the loop.
	failpointStall = 2500 * time.Millisecond
)

// Peers configures the exchange of signals between balancers.
type Peers struct {
	Config         membership.Config
	Listen         string
	SignalInterval time.Duration
	SignalLifetime time.Duration
	Coordination   coordination.Config
}

// equal reports whether both have the same settings, apart from the generation and the seed, which differ in each
// process.
func (p *Peers) equal(other *Peers) bool {
	if p == nil || other == nil {
		return p == other
	}
	return p.Listen == other.Listen &&
		p.SignalInterval == other.SignalInterval &&
		p.SignalLifetime == other.SignalLifetime &&
		p.Coordination == other.Coordination &&
		equalMembership(p.Config, other.Config)
}

func equalMembership(a, b membership.Config) bool {
	return a.Cluster == b.Cluster &&
		a.Name == b.Name &&
		a.Addr == b.Addr &&
		slices.Equal(a.Join, b.Join) &&
		maps.Equal(a.Routes, b.Routes) &&
		a.PeerTimeout == b.PeerTimeout &&
		a.MaxMembers == b.MaxMembers &&
		a.SignalBytes == b.SignalBytes
}

// startPeers joins the other balancers, if peers are configured.
func (b *Balancer) startPeers() (err error) {
	if b.cfg.Peers == nil {
		return nil
	}
	b.peers, err = membership.Start(b.cfg.Peers.Config, b.cfg.Peers.Listen, b.inherited != nil, b.log)
	if err != nil {
		return err
	}
	if b.cfg.Peers.Coordination.Enabled() {
		b.coordinator = coordination.New(b.cfg.Peers.Coordination)
	}
	return nil
}

// sentSignals is what was last signalled to the other balancers.
type sentSignals struct {
	nextAt      time.Time
	readings    map[string]time.Duration // time of the last reading signalled, by server
	nextReading int
	draining    bool
	subset      string
	subsetAt    time.Time
}

// sendSignals publishes this balancer's signals once per signal interval: its exploration slots, its load, whether
// it drains, and new readings. It does not wait for the other balancers.
func (b *Balancer) sendSignals(now time.Time) {
	draining := b.core.ShuttingDown() || b.core.DrainRequested()
	if draining != b.sentSignals.draining {
		b.sentSignals.draining = draining
		b.peers.Leave(draining)
	}
	if now.Before(b.sentSignals.nextAt) {
		return
	}
	b.sentSignals.nextAt = now.Add(b.cfg.Peers.SignalInterval)
	if failpoint.On("loop-waits") && b.peers.Counts().Gone > 0 {
		time.Sleep(failpointStall)
	}
	lifetime := b.cfg.Peers.SignalLifetime
	b.peers.Set(membership.ExplorationSlotsKey, fmt.Append(nil, b.core.Activity().ExplorationSlots), lifetime)
	b.peers.Set(membership.LoadKey, fmt.Append(nil, b.establishedFlows(), " ", b.core.Unanswered()), lifetime)
	b.peers.Set(membership.DrainKey, fmt.Append(nil, draining), lifetime)
	readings := b.core.LoadReadings()
	assigned := func(string) bool { return true }
	if b.coordinator != nil && !draining { // a draining balancer is assigned nothing, and this may run within a step
		assigned = b.coordinate(now, readings)
	}
	b.sendReadings(readings, assigned)
}

// sendReadings signals the new readings of servers that are assigned to this balancer, at most maxReadings at a
// time.
func (b *Balancer) sendReadings(readings []policy.ServerReading, assigned func(server string) bool) {
	sent := &b.sentSignals
	if sent.readings == nil {
		sent.readings = map[string]time.Duration{}
	}
	count := 0
	for i := range readings {
		r := readings[(sent.nextReading+i)%len(readings)]
		at, known := sent.readings[r.Server]
		if !assigned(r.Server) || known && at == r.At && r.FailedProbes == 0 {
			continue
		}
		if count == maxReadings {
			sent.nextReading = (sent.nextReading + i) % len(readings)
			break
		}
		count++
		sent.readings[r.Server] = r.At
		reading := membership.Reading{Load: r.Load, Age: b.now() - r.At, FailedProbes: r.FailedProbes}
		b.peers.Set(membership.ServerKey+r.Server, reading.Encode(), b.cfg.Peers.SignalLifetime)
	}
	if len(sent.readings) > 2*len(readings)+16 {
		clear(sent.readings)
	}
}

// coordinate passes the events that follow from the others' announcements to the reducer, publishes this balancer's
// announcement, and returns a function that reports whether this balancer signals a server's readings.
func (b *Balancer) coordinate(now time.Time, readings []policy.ServerReading) (assigned func(server string) bool) {
	view, malformed := coordination.ParseView(b.peers.View())
	b.counters.MalformedSignals += int64(malformed)
	events, announcement := b.coordinator.Update(b.now(), view, b.localState(readings))
	b.step(core.FleetEvents{Events: events})
	lifetime := b.cfg.Peers.SignalLifetime
	b.peers.Set(coordination.AnnouncementKey, announcement.Encode(), lifetime)
	b.sendSubset(now, string(announcement.EncodeSubset()), lifetime)
	return func(server string) bool { return slices.Contains(announcement.Readings, server) }
}

// localState returns this balancer's own state and its view of the servers.
func (b *Balancer) localState(readings []policy.ServerReading) coordination.LocalState {
	activity := b.core.Activity()
	local := coordination.LocalState{
		ExplorationSlots: activity.ExplorationSlots,
		SlotAge:          activity.SlotAge,
		SlotPeriod:       activity.SlotPeriod,
		Demand:           activity.Demand,
		Rejected:         b.core.Counters.Rejected,
	}
	byServer := make(map[string]policy.ServerReading, len(readings))
	for _, r := range readings {
		byServer[r.Server] = r
	}
	for _, listed := range b.core.ListedServers() {
		r := byServer[listed.ID]
		local.Servers = append(local.Servers, coordination.Server{
			ID:           listed.ID,
			Zone:         listed.Zone,
			Live:         listed.State == policy.Live,
			WarmingUp:    listed.StartedAt > 0 && b.now()-listed.StartedAt < b.cfg.Core.Policy.WarmUpDuration,
			Load:         r.Load,
			ReadAt:       r.At,
			FailedProbes: r.FailedProbes,
		})
	}
	return local
}

// sendSubset signals the subset when it has changed, and repeats it before the signal expires.
func (b *Balancer) sendSubset(now time.Time, subset string, lifetime time.Duration) {
	sent := &b.sentSignals
	if subset == sent.subset && now.Sub(sent.subsetAt) <= lifetime/subsetRepeats {
		return
	}
	sent.subset, sent.subsetAt = subset, now
	if len(subset) > 0 {
		b.peers.Set(coordination.SubsetKey, []byte(subset), lifetime)
	}
}

// updateNumbered recomputes the servers assigned by this balancer's number when the list of servers has changed.
func (b *Balancer) updateNumbered() {
	list := b.core.ListedServers()
	if b.numberedServers != nil && slices.Equal(list, b.numberedServers) {
		return
	}
	b.numberedServers = list
	b.step(core.FleetEvents{Events: b.cfg.Numbered.Events(list)})
}

// announceLeaving notifies the other balancers that this one shuts down.
func (b *Balancer) announceLeaving() {
	if b.peers != nil {
		b.sendSignals(time.Now())
	}
}
