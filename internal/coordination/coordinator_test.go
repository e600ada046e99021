package coordination

import (
	"fmt"
	"reflect"
	"slices"
	"testing"
	"time"

	"oatloft/internal/membership"
	"oatloft/internal/stagger"
	"oatloft/policy"
)

// testFleet runs the coordinators of many balancers. Each sees the announcements of the others with a delay.
type testFleet struct {
	t            *testing.T
	coordinators []*Coordinator
	announced    [][]Announcement // by balancer, the latest last
	servers      []Server
	partition    []int // balancers see only those in the same group; a negative group is absent
	delay        int   // delay of announcements, in updates
	now          time.Duration
	latestEvents []map[reflect.Type]policy.Event // latest by type, per balancer
	peerReadings []map[string]policy.PeerReading // latest by server, per balancer
	report       func(by int, server string) stagger.Report
}

// newTestFleet returns n balancers and servers, alternately in the zones z0 and z1.
func newTestFleet(t *testing.T, n, servers int, cfg Config) *testFleet {
	fleet := &testFleet{
		t:            t,
		now:          time.Minute,
		delay:        2,
		announced:    make([][]Announcement, n),
		partition:    make([]int, n),
		latestEvents: make([]map[reflect.Type]policy.Event, n),
		peerReadings: make(
			[]map[string]policy.PeerReading,
			n,
		),
		report: func(int, string) stagger.Report { return stagger.Report{Load: 0.5} },
	}
	cfg.Balancers, cfg.PeerTimeout = n, 3*time.Second
	for i := range n {
		cfg.Name, cfg.Zone = fmt.Sprintf("b%03d", i), fmt.Sprint("z", i%2)
		fleet.coordinators = append(fleet.coordinators, New(cfg))
		fleet.latestEvents[i], fleet.peerReadings[i] = map[reflect.Type]policy.Event{}, map[string]policy.PeerReading{}
	}
	for j := range servers {
		fleet.servers = append(fleet.servers, Server{ID: fmt.Sprintf("r%03d", j), Zone: fmt.Sprint("z", j%2), Live: true})
	}
	return fleet
}

// update advances the time by 500 ms and updates all coordinators.
func (f *testFleet) update() {
	f.now += 500 * time.Millisecond
	announcements := make([]Announcement, len(f.coordinators))
	for i, coordinator := range f.coordinators {
		v := View{Known: 1}
		for j := range f.coordinators {
			if j == i || f.partition[i] != f.partition[j] || f.partition[j] < 0 {
				continue
			}
			v.Known++
			m := Member{Name: f.coordinators[j].cfg.Name, Zone: f.coordinators[j].cfg.Zone}
			if n := len(f.announced[j]); n > 0 {
				announcement := f.announced[j][max(0, n-1-f.delay)]
				m.Reported, m.Subset = true, announcement.Subset
				m.ExplorationSlots, m.SlotAge, m.Demand = announcement.ExplorationSlots, announcement.SlotAge, announcement.Demand
				m.ReferenceSize = announcement.ReferenceSize
				m.Readings = map[string]stagger.Report{}
				for _, id := range announcement.Readings {
					m.Readings[id] = f.report(j, id)
				}
			}
			v.Members = append(v.Members, m)
		}
		events, announcement := coordinator.Update(
			f.now,
			v,
			LocalState{Servers: f.servers, ExplorationSlots: 10, SlotAge: time.Second, SlotPeriod: 16 * time.Second, Demand: 1},
		)
		announcements[i] = announcement
		for _, e := range events {
			if reading, ok := e.(policy.PeerReading); ok {
				f.peerReadings[i][reading.Server] = reading
			} else {
				f.latestEvents[i][reflect.TypeOf(e)] = e
			}
		}
	}
	for i, announcement := range announcements {
		f.announced[i] = append(f.announced[i], announcement)
	}
}

// coverage returns the least and greatest number of balancers that have a server among their candidates, and the
// greatest number of candidates of a balancer.
func (f *testFleet) coverage() (least, most, largest int) {
	balancers := map[string]int{}
	for i := range f.coordinators {
		c, _ := f.latestEvents[i][reflect.TypeFor[policy.CandidateSubset]()].(policy.CandidateSubset)
		largest = max(largest, len(c.Servers))
		for _, id := range c.Servers {
			balancers[id]++
		}
	}
	least = 1 << 30
	for _, r := range f.servers {
		least, most = min(least, balancers[r.ID]), max(most, balancers[r.ID])
	}
	return least, most, largest
}

// The subsets of 30 balancers cover 30 servers evenly. During a partition into two halves each half covers all servers,
// and after it the whole fleet does so evenly again. Each takes at most twelve updates (6 s), with announcements that
// are up to three updates old.
func TestSubsetsDuringPartition(t *testing.T) {
	fleet := newTestFleet(t, 30, 30, Config{SubsetSize: 6})
	checkAfterUpdates := func(phase string) {
		for range 12 {
			fleet.update()
		}
		if least, most, largest := fleet.coverage(); most-least > 1 || largest > 7 {
			t.Errorf("%s: servers are in %d to %d subsets, and a balancer has up to %d candidates", phase, least, most, largest)
		}
	}
	checkAfterUpdates("after the start")
	for i := range fleet.partition {
		fleet.partition[i] = i % 2
	}
	checkAfterUpdates("during the partition")
	for half := range 2 {
		balancers := map[string]int{}
		for i := range fleet.coordinators {
			if c, ok := fleet.latestEvents[i][reflect.TypeFor[policy.CandidateSubset]()].(policy.CandidateSubset); ok &&
				fleet.partition[i] == half {
				for _, id := range c.Servers {
					balancers[id]++
				}
			}
		}
		for _, r := range fleet.servers {
			if balancers[r.ID] < minBalancers {
				t.Errorf("in half %d, %d balancers have server %s in their subsets", half, balancers[r.ID], r.ID)
			}
		}
	}
	for i := range fleet.partition {
		fleet.partition[i] = 0
	}
	checkAfterUpdates("after the partition")
	fleet.servers = append(
		fleet.servers[10:],
		Server{ID: "new1", Zone: "z0", Live: true},
		Server{ID: "new2", Zone: "z1", Live: true},
	)
	checkAfterUpdates("after a third of the servers has been replaced by two")
}

// Without peers, or with a stale view, the next update makes all servers candidates, uses no readings of other members
// and divides budgets by the configured number of balancers.
func TestWithoutPeers(t *testing.T) {
	fleet := newTestFleet(t, 12, 20, Config{SubsetSize: 4, ShareReadings: true, Stagger: true})
	for range 12 {
		fleet.update()
	}
	if f := fleet.latestEvents[0][reflect.TypeFor[policy.FleetState]()].(policy.FleetState); f.BudgetDivisor != 12 ||
		f.Demand != 12 ||
		f.StaggerOffset <= 0 {
		t.Fatalf("in a fleet of twelve: %+v", f)
	}
	local := LocalState{Servers: fleet.servers, SlotPeriod: 16 * time.Second}
	for _, v := range []View{{Stale: true, Known: 12, Members: []Member{{Name: "b001", Reported: true}}}, {Known: 12}} {
		events, _ := fleet.coordinators[0].Update(fleet.now+time.Second, v, local)
		for _, e := range events {
			switch e := e.(type) {
			case policy.CandidateSubset:
				if n := len(e.Servers); n != 0 && n != len(fleet.servers) {
					t.Errorf("%+v: %d candidates", v, n)
				}
			case policy.PeerReading:
				t.Errorf("%+v: passed on reading %+v", v, e)
			case policy.FleetState:
				if e.BudgetDivisor != 12 || e.Demand != 0 || len(e.AssignedServers) != 0 {
					t.Errorf("%+v: %+v", v, e)
				}
			}
		}
	}
}

// Each server is read by three balancers, and all others get the reading. A single reader that reports all servers as
// empty does not change the result.
func TestSharedReadings(t *testing.T) {
	fleet := newTestFleet(t, 40, 12, Config{ShareReadings: true})
	fleet.report = func(by int, server string) stagger.Report {
		if by == 7 {
			return stagger.Report{Load: 0, Age: 200 * time.Millisecond}
		}
		return stagger.Report{Load: 0.7, Age: 300 * time.Millisecond}
	}
	for range 6 {
		fleet.update()
	}
	readers := map[string]int{}
	for i := range fleet.coordinators {
		f := fleet.latestEvents[i][reflect.TypeFor[policy.FleetState]()].(policy.FleetState)
		for _, id := range f.AssignedServers {
			readers[id]++
		}
		if f.BudgetDivisor != 0 || f.Demand != 0 {
			t.Errorf("staggering is off, got %+v", f)
		}
	}
	for _, r := range fleet.servers {
		if readers[r.ID] != stagger.ReadersPerServer {
			t.Errorf("%s has %d readers", r.ID, readers[r.ID])
		}
		for i := range fleet.coordinators {
			if reading := fleet.peerReadings[i][r.ID]; reading.Server == "" &&
				!slices.Contains(
					fleet.latestEvents[i][reflect.TypeFor[policy.FleetState]()].(policy.FleetState).AssignedServers,
					r.ID,
				) ||
				reading.Server != "" && reading.Load != 0.7 {
				t.Errorf("%s got reading %+v of %s", fleet.coordinators[i].cfg.Name, reading, r.ID)
			}
		}
	}
}

// With numbers only, the numbers of balancers whose candidates include a far server differ by at most one, the servers
// of a balancer's zone are all candidates, and each balancer has its own stagger offset.
func TestNumberedSubsets(t *testing.T) {
	var servers []policy.Server
	for i := range 30 {
		servers = append(servers, policy.Server{ID: fmt.Sprint("r", i), Zone: fmt.Sprint("z", i%3)})
	}
	servers[4].State = policy.Draining
	balancers, offsets := map[string]int{}, map[float64]bool{}
	for i := range 45 {
		events := NumberedBalancer{Number: i, Count: 45, Zone: "z9", SubsetSize: 5}.Events(servers)
		offsets[events[0].(policy.FleetState).StaggerOffset] = true
		for _, id := range events[1].(policy.CandidateSubset).Servers {
			balancers[id]++
		}
	}
	for i, r := range servers {
		if n := balancers[r.ID]; i == 4 && n != 0 || i != 4 && (n < 7 || n > 8) {
			t.Errorf("%s is a candidate of %d balancers", r.ID, n)
		}
	}
	if len(offsets) != 45 {
		t.Errorf("%d different stagger offsets", len(offsets))
	}
	candidates := NumberedBalancer{Number: 3, Count: 45, Zone: "z1", SubsetSize: 5}.
		Events(servers)[1].(policy.CandidateSubset).Servers
	if len(candidates) != 9+5 && len(candidates) != 9+6 {
		t.Errorf("%d candidates, 9 of which are near", len(candidates))
	}
	if n, err := ParseNumber("n17"); n != 17 || err != nil {
		t.Error(n, err)
	}
	if _, err := ParseNumber("edge-west"); err == nil {
		t.Error("no error for a name without a number")
	}
}

// Encoded announcements decode to the same values, and malformed signals are ignored and counted.
func TestAnnouncementRoundTrip(t *testing.T) {
	sent := Announcement{
		Zone:             "nairobi west",
		ExplorationSlots: 12,
		SlotAge:          1500 * time.Millisecond,
		Demand:           3.25,
		ReferenceSize:    30,
		Subset:           []uint32{1, 1 << 31},
	}
	membershipView := membership.View{Members: []membership.MemberView{
		{Record: membership.Record{Name: "a", State: membership.Alive}, Signals: []membership.SignalView{
			{Key: AnnouncementKey, Value: sent.Encode(), Age: time.Second}, {Key: SubsetKey, Value: sent.EncodeSubset()},
			{
				Key:   membership.ServerKey + "r1",
				Value: membership.Reading{Load: 0.5, Age: time.Second}.Encode(),
				Age:   2 * time.Second,
			},
			{Key: membership.ServerKey + "r2", Value: []byte("NaN 1 1")}}},
		{
			Record:  membership.Record{Name: "b", State: membership.Gone},
			Signals: []membership.SignalView{{Key: AnnouncementKey, Value: sent.Encode()}},
		},
		{
			Record: membership.Record{Name: "c", State: membership.Leaving},
			Signals: []membership.SignalView{
				{Key: AnnouncementKey, Value: []byte("1 2 -3 4 z")},
				{Key: SubsetKey, Value: []byte("abc")},
			},
		},
	}}
	v, malformed := ParseView(membershipView)
	if len(v.Members) != 2 || v.Known != 4 || malformed != 3 {
		t.Fatalf("%d malformed, %+v", malformed, v)
	}
	member := v.Members[0]
	if member.Zone != sent.Zone || member.ExplorationSlots != 12 || member.SlotAge != 2500*time.Millisecond ||
		member.Demand != 3.25 ||
		member.ReferenceSize != 30 ||
		!slices.Equal(member.Subset, sent.Subset) ||
		member.Readings["r1"] != (stagger.Report{Load: 0.5, Age: 3 * time.Second}) ||
		len(member.Readings) != 1 {
		t.Errorf("%+v", member)
	}
	if c := v.Members[1]; c.Reported || !c.Leaving {
		t.Errorf("%+v", c)
	}
}

// Any signal values are parsed into announcements within the limits, or ignored, and do not crash a coordinator.
func FuzzParseView(f *testing.F) {
	f.Add([]byte("12 1500 3.25 30 nairobi"), []byte{0, 0, 0, 1}, []byte("0.500 100 0"))
	f.Fuzz(func(t *testing.T, announcement, subsetValue, reading []byte) {
		v, _ := ParseView(
			membership.View{
				Members: []membership.MemberView{{Record: membership.Record{Name: "a"}, Signals: []membership.SignalView{
					{
						Key:   AnnouncementKey,
						Value: announcement,
					}, {Key: SubsetKey, Value: subsetValue}, {Key: membership.ServerKey + "r", Value: reading}}}},
			},
		)
		m := v.Members[0]
		if m.ExplorationSlots < 0 || m.ExplorationSlots > maxExplorationSlots || m.Demand < 0 || m.Demand > maxDemand ||
			m.SlotAge < 0 ||
			m.ReferenceSize < 0 {
			t.Errorf("%+v", m)
		}
		coordinator := New(
			Config{Name: "b", PeerTimeout: time.Second, Balancers: 2, SubsetSize: 2, ShareReadings: true, Stagger: true},
		)
		coordinator.Update(time.Minute, v, LocalState{Servers: []Server{{ID: "r", Live: true}}})
	})
}
