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
	Config      membership.Config
	Listen      string
	Every, Life time.Duration
	Together    coordination.Config
}

// same tells that two say the same but for the generation, which is of the process.
func (p *Peers) same(o *Peers) bool {
	if p == nil || o == nil {
		return p == o
	}
	a, b := p.Config, o.Config
	return p.Listen == o.Listen && p.Every == o.Every && p.Life == o.Life && a.Cluster == b.Cluster && a.Name == b.Name && a.Addr == b.Addr &&
		slices.Equal(a.Join, b.Join) && maps.Equal(a.Routes, b.Routes) && a.PeerTimeout == b.PeerTimeout && a.MaxMembers == b.MaxMembers &&
		a.SignalBytes == b.SignalBytes && p.Together == o.Together
}

const signalsAtOnce = 48 // in one go, so that all find their place

// toldPeers is what was told, and when.
type toldPeers struct {
	at      time.Time
	regions map[string]time.Duration // time of the reading that was told
	next    int
	drain   bool
	holds   string
	holdsAt time.Time
}

// signal gives this balancer's signals: its clock, its load, whether it drains, and readings that are new.
func (s *Server) signal(now time.Time) {
	drain := s.core.ShuttingDown() || s.core.DrainRequested()
	if drain != s.told.drain {
		s.told.drain = drain
		s.peers.Leave(drain)
	}
	if now.Before(s.told.at) {
		return
	}
	s.told.at = now.Add(s.cfg.Peers.Every)
	if failpoint.On("loop-waits") && s.peers.Counts().Gone > 0 {
		time.Sleep(2500 * time.Millisecond)
	}
	if s.told.regions == nil {
		s.told.regions = map[string]time.Duration{}
	}
	life := s.cfg.Peers.Life
	s.peers.Set(membership.ClockKey, fmt.Append(nil, s.core.Activity().ExplorationSlots), life)
	s.peers.Set(membership.LoadKey, fmt.Append(nil, s.core.OpenRequests()-s.core.Unanswered(), " ", s.core.Unanswered()), life)
	s.peers.Set(membership.DrainKey, fmt.Append(nil, drain), life)
	readings, tells := s.core.LoadReadings(), func(string) bool { return true }
	if s.together != nil && !drain { // who leaves takes nothing on, and this may be said within a step
		tells = s.actTogether(now, readings)
	}
	left := signalsAtOnce
	for i := range readings {
		r := readings[(s.told.next+i)%len(readings)]
		if !tells(r.Server) {
			continue
		}
		if at, told := s.told.regions[r.Server]; told && at == r.At && r.FailedProbes == 0 {
			continue
		}
		if left--; left < 0 {
			s.told.next = (s.told.next + i) % len(readings)
			break
		}
		s.told.regions[r.Server] = r.At
		reading := membership.Reading{Load: r.Load, Age: s.now() - r.At, FailedProbes: r.FailedProbes}
		s.peers.Set(membership.ServerKey+r.Server, reading.Encode(), life)
	}
	if len(s.told.regions) > 2*len(readings)+16 {
		clear(s.told.regions)
	}
}

// actTogether brings the module what the others tell, tells this balancer's words, and returns whose readings to tell.
func (s *Server) actTogether(now time.Time, readings []policy.ServerReading) func(region string) bool {
	view, malformed := coordination.ParseView(s.peers.View())
	s.counters.PeersWords += int64(malformed)
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
	events, words := s.together.Update(s.now(), view, own)
	s.step(core.FleetEvents{Events: events})
	life := s.cfg.Peers.Life
	s.peers.Set(coordination.AnnouncementKey, words.Encode(), life)
	if holds := string(words.EncodeSubset()); holds != s.told.holds || now.Sub(s.told.holdsAt) > life/3 {
		s.told.holds, s.told.holdsAt = holds, now
		if len(holds) > 0 {
			s.peers.Set(coordination.SubsetKey, []byte(holds), life)
		}
	}
	return func(region string) bool { return slices.Contains(words.Readings, region) }
}

// byNumber takes this balancer's part by its number, once the list of regions is another.
func (s *Server) byNumber() {
	if list := s.core.ListedServers(); s.numbered == nil || !slices.Equal(list, s.numbered) {
		s.numbered = list
		s.step(core.FleetEvents{Events: s.cfg.Numbered.Events(list)})
	}
}

// sayLeaving tells the others before the process ends that it does.
func (s *Server) sayLeaving() {
	if s.peers != nil {
		s.signal(time.Now())
	}
}

// whoIsThere answers the call peers: how many there are, or with a name, or ">" and a name for the one after it, what
// that one says. It reads a view, and never waits for the loop.
func (s *Server) whoIsThere(name string) management.Answer {
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
			return management.Yes("%s", wordsOf(v, m))
		}
	}
	if next {
		return management.Yes("-")
	}
	return refuse("nobody of that name is known", "see the names that peers gives without one")
}

const answerRoom = 3000 // bytes of an answer

func wordsOf(v membership.View, m membership.MemberView) string {
	heard := "never"
	if m.LastReceived > 0 {
		heard = (v.At - m.LastReceived).Round(time.Millisecond).String() + "-ago"
	}
	var b strings.Builder
	fmt.Fprintf(&b, "%s at=%s state=%s since=%v generation=%d heard=%s", m.Name, m.Addr, m.State, m.InState.Round(time.Millisecond), m.Generation, heard)
	for i, s := range m.Signals {
		if b.Len() > answerRoom {
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
