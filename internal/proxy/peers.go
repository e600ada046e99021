// What this balancer tells the others of its cluster, and what operators are told of them. This file owns the way between
// the loop and internal/membership: signals are left there without waiting, and what comes back is a view. Off unless the
// edge file has a section for it.

package proxy

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"oatloft/internal/coordination"
	"oatloft/internal/core"
	"oatloft/internal/failpoint"
	"oatloft/internal/management"
	"oatloft/internal/membership"
	"oatloft/policy"
)

// Peers is what internal/membership is told.
type Peers struct {
	Config                         membership.Config
	Listen                         string
	SignalInterval, SignalLifetime time.Duration
	Coordination                   coordination.Config
}

// equal tells that two say the same but for the generation, which is of the process.
func (p *Peers) equal(o *Peers) bool {
	if p == nil || o == nil {
		return p == o
	}
	a, b := p.Config, o.Config
	return p.Listen == o.Listen && p.SignalInterval == o.SignalInterval && p.SignalLifetime == o.SignalLifetime && a.Cluster == b.Cluster && a.Name == b.Name && a.Addr == b.Addr &&
		slices.Equal(a.Join, b.Join) && maps.Equal(a.Routes, b.Routes) && a.PeerTimeout == b.PeerTimeout && a.MaxMembers == b.MaxMembers &&
		a.SignalBytes == b.SignalBytes && p.Coordination == o.Coordination
}

const maxReadings = 48 // in one go, so that all find their place

// sentSignals is what was told, and when.
type sentSignals struct {
	nextAt      time.Time
	readings    map[string]time.Duration // time of the reading that was told
	nextReading int
	draining    bool
	subset      string
	subsetAt    time.Time
}

// sendSignals gives this balancer's signals: its clock, its load, whether it drains, and readings that are new.
func (s *Balancer) sendSignals(now time.Time) {
	drain := s.core.ShuttingDown() || s.core.DrainRequested()
	if drain != s.sentSignals.draining {
		s.sentSignals.draining = drain
		s.peers.Leave(drain)
	}
	if now.Before(s.sentSignals.nextAt) {
		return
	}
	s.sentSignals.nextAt = now.Add(s.cfg.Peers.SignalInterval)
	if failpoint.On("loop-waits") && s.peers.Counts().Gone > 0 {
		time.Sleep(2500 * time.Millisecond)
	}
	if s.sentSignals.readings == nil {
		s.sentSignals.readings = map[string]time.Duration{}
	}
	life := s.cfg.Peers.SignalLifetime
	s.peers.Set(membership.ClockKey, fmt.Append(nil, s.core.Activity().ExplorationSlots), life)
	s.peers.Set(membership.LoadKey, fmt.Append(nil, s.core.OpenRequests()-s.core.Unanswered(), " ", s.core.Unanswered()), life)
	s.peers.Set(membership.DrainKey, fmt.Append(nil, drain), life)
	readings, tells := s.core.LoadReadings(), func(string) bool { return true }
	if s.coordinator != nil && !drain { // who leaves takes nothing on, and this may be said within a step
		tells = s.coordinate(now, readings)
	}
	left := maxReadings
	for i := range readings {
		r := readings[(s.sentSignals.nextReading+i)%len(readings)]
		if !tells(r.Server) {
			continue
		}
		if at, told := s.sentSignals.readings[r.Server]; told && at == r.At && r.FailedProbes == 0 {
			continue
		}
		if left--; left < 0 {
			s.sentSignals.nextReading = (s.sentSignals.nextReading + i) % len(readings)
			break
		}
		s.sentSignals.readings[r.Server] = r.At
		reading := membership.Reading{Load: r.Load, Age: s.now() - r.At, FailedProbes: r.FailedProbes}
		s.peers.Set(membership.ServerKey+r.Server, reading.Encode(), life)
	}
	if len(s.sentSignals.readings) > 2*len(readings)+16 {
		clear(s.sentSignals.readings)
	}
}

// coordinate brings the module what the others tell, tells this balancer's words, and returns whose readings to tell.
func (s *Balancer) coordinate(now time.Time, readings []policy.ServerReading) func(region string) bool {
	view, malformed := coordination.ParseView(s.peers.View())
	s.counters.MalformedSignals += int64(malformed)
	activity := s.core.Activity()
	own := coordination.Local{ExplorationSlots: activity.ExplorationSlots, SlotAge: activity.SlotAge, SlotPeriod: activity.SlotPeriod,
		Demand: activity.Demand, Rejected: s.core.Counters.Rejected}
	read := make(map[string]policy.ServerReading, len(readings))
	for _, r := range readings {
		read[r.Server] = r
	}
	for _, g := range s.core.ListedServers() {
		r := read[g.ID]
		own.Servers = append(own.Servers, coordination.Server{ID: g.ID, Zone: g.Zone, Live: g.State == policy.Live, WarmingUp: g.StartedAt > 0 && s.now()-g.StartedAt < s.cfg.Core.Policy.WarmUpDuration, Load: r.Load, ReadAt: r.At, FailedProbes: r.FailedProbes})
	}
	events, words := s.coordinator.Update(s.now(), view, own)
	s.step(core.FleetEvents{Events: events})
	life := s.cfg.Peers.SignalLifetime
	s.peers.Set(coordination.AnnouncementKey, words.Encode(), life)
	if holds := string(words.EncodeSubset()); holds != s.sentSignals.subset || now.Sub(s.sentSignals.subsetAt) > life/3 {
		s.sentSignals.subset, s.sentSignals.subsetAt = holds, now
		if len(holds) > 0 {
			s.peers.Set(coordination.SubsetKey, []byte(holds), life)
		}
	}
	return func(region string) bool { return slices.Contains(words.Readings, region) }
}

// updateNumbered takes this balancer's part by its number, once the list of regions is another.
func (s *Balancer) updateNumbered() {
	if list := s.core.ListedServers(); s.numberedServers == nil || !slices.Equal(list, s.numberedServers) {
		s.numberedServers = list
		s.step(core.FleetEvents{Events: s.cfg.Numbered.Events(list)})
	}
}

// announceLeaving tells the others before the process ends that it does.
func (s *Balancer) announceLeaving() {
	if s.peers != nil {
		s.sendSignals(time.Now())
	}
}

// describePeers answers the call peers: how many there are, or with a name, or ">" and a name for the one after it, what
// that one says. It reads a view, and never waits for the loop.
func (s *Balancer) describePeers(name string) management.Answer {
	if s.peers == nil {
		return refuse("peers are off: the edge file has no such section", "add it and restart, or call a balancer that has it")
	}
	v := s.peers.View()
	flags := ""
	for _, f := range []struct {
		is   bool
		what string
	}{{v.Stale, " view-is-old"}, {v.Isolated, " alone"}, {v.Superseded, " displaced"}} {
		if f.is {
			flags += f.what
		}
	}
	if name == "" {
		by := map[membership.State]int{}
		for _, m := range v.Members {
			by[m.State]++
		}
		return management.Yes("%s generation=%d members=%d alive=%d leaving=%d suspect=%d gone=%d slow=%d%s", v.Self.Name, v.Self.Generation,
			len(v.Members)+1, by[membership.Alive]+1, by[membership.Leaving], by[membership.Suspect], by[membership.Gone], v.Slowdown, flags)
	}
	after, next := strings.CutPrefix(name, ">")
	for _, m := range v.Members {
		if next && m.Name > after || !next && m.Name == name {
			return management.Yes("%s", describeMember(v, m))
		}
	}
	if next {
		return management.Yes("-")
	}
	return refuse("nobody of that name is known", "see the names that peers gives without one")
}

const maxAnswerBytes = 3000 // bytes of an answer

func describeMember(v membership.View, m membership.MemberView) string {
	heard := "never"
	if m.LastReceived > 0 {
		heard = (v.At - m.LastReceived).Round(time.Millisecond).String() + "-ago"
	}
	var b strings.Builder
	fmt.Fprintf(&b, "%s at=%s state=%s since=%v generation=%d heard=%s", m.Name, m.Addr, m.State, m.InState.Round(time.Millisecond), m.Generation, heard)
	for i, s := range m.Signals {
		if b.Len() > maxAnswerBytes {
			fmt.Fprintf(&b, " and-%d-more", len(m.Signals)-i)
			break
		}
		value := strings.ReplaceAll(string(s.Value), " ", ",")
		if s.Key == coordination.SubsetKey {
			value = fmt.Sprintf("%x", s.Value)
		}
		fmt.Fprintf(&b, " %s=%s/%v#%d", s.Key, value, s.Age.Round(time.Millisecond), s.Version)
	}
	return b.String()
}
