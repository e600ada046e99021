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

// side is many balancers' parts side by side; each sees what the others said late looks ago.
type side struct {
	t       *testing.T
	parts   []*Coordinator
	said    [][]Announcement // by balancer, latest last
	regions []Server
	group   []int
	late    int
	now     time.Duration
	got     []map[reflect.Type]policy.Event // latest by kind
	heard   []map[string]policy.PeerReading
	read    func(by int, region string) stagger.Report
}

func newSide(t *testing.T, n, regions int, set Config) *side {
	s := &side{
		t:     t,
		now:   time.Minute,
		late:  2,
		said:  make([][]Announcement, n),
		group: make([]int, n),
		got:   make([]map[reflect.Type]policy.Event, n),
		heard: make(
			[]map[string]policy.PeerReading,
			n,
		),
		read: func(int, string) stagger.Report { return stagger.Report{Load: 0.5} },
	}
	set.Balancers, set.PeerTimeout = n, 3*time.Second
	for i := range n {
		set.Name, set.Zone = fmt.Sprintf("b%03d", i), fmt.Sprint("z", i%2)
		s.parts = append(s.parts, New(set))
		s.got[i], s.heard[i] = map[reflect.Type]policy.Event{}, map[string]policy.PeerReading{}
	}
	for j := range regions {
		s.regions = append(s.regions, Server{ID: fmt.Sprintf("r%03d", j), Zone: fmt.Sprint("z", j%2), Live: true})
	}
	return s
}

func (s *side) look() {
	s.now += 500 * time.Millisecond
	words := make([]Announcement, len(s.parts))
	for i, p := range s.parts {
		v := View{Known: 1}
		for j := range s.parts {
			if j == i || s.group[i] != s.group[j] || s.group[j] < 0 {
				continue
			}
			v.Known++
			m := Member{Name: s.parts[j].cfg.Name, Zone: s.parts[j].cfg.Zone}
			if n := len(s.said[j]); n > 0 {
				w := s.said[j][max(0, n-1-s.late)]
				m.Reported, m.Subset = true, w.Subset
				m.ExplorationSlots, m.SlotAge, m.Demand = w.ExplorationSlots, w.SlotAge, w.Demand
				m.ReferenceSize = w.ReferenceSize
				m.Readings = map[string]stagger.Report{}
				for _, id := range w.Readings {
					m.Readings[id] = s.read(j, id)
				}
			}
			v.Members = append(v.Members, m)
		}
		events, w := p.Update(
			s.now,
			v,
			Local{Servers: s.regions, ExplorationSlots: 10, SlotAge: time.Second, SlotPeriod: 16 * time.Second, Demand: 1},
		)
		words[i] = w
		for _, e := range events {
			if h, ok := e.(policy.PeerReading); ok {
				s.heard[i][h.Server] = h
			} else {
				s.got[i][reflect.TypeOf(e)] = e
			}
		}
	}
	for i, w := range words {
		s.said[i] = append(s.said[i], w)
	}
}

func (s *side) spread() (least, most, seen int) {
	at := map[string]int{}
	for i := range s.parts {
		c, _ := s.got[i][reflect.TypeFor[policy.CandidateSubset]()].(policy.CandidateSubset)
		seen = max(seen, len(c.Servers))
		for _, id := range c.Servers {
			at[id]++
		}
	}
	least = 1 << 30
	for _, r := range s.regions {
		least, most = min(least, at[r.ID]), max(most, at[r.ID])
	}
	return least, most, seen
}

// Thirty balancers settle on subsets that cover thirty regions alike; a cut in two halves has each half cover all
// again, and after it the whole fleet does, all within twelve looks (6 s), with words that are three looks old.
func TestSubsetsSettleThroughACut(t *testing.T) {
	s := newSide(t, 30, 30, Config{SubsetSize: 6})
	settle := func(what string) {
		for range 12 {
			s.look()
		}
		if least, most, seen := s.spread(); most-least > 1 || seen > 7 {
			t.Errorf("%s: %d to %d balancers at a region, up to %d looked at", what, least, most, seen)
		}
	}
	settle("at first")
	for i := range s.group {
		s.group[i] = i % 2
	}
	settle("in halves")
	for half := range 2 {
		at := map[string]int{}
		for i := range s.parts {
			if c, ok := s.got[i][reflect.TypeFor[policy.CandidateSubset]()].(policy.CandidateSubset); ok && s.group[i] == half {
				for _, id := range c.Servers {
					at[id]++
				}
			}
		}
		for _, r := range s.regions {
			if at[r.ID] < minBalancers {
				t.Errorf("half %d has %d balancers at %s", half, at[r.ID], r.ID)
			}
		}
	}
	for i := range s.group {
		s.group[i] = 0
	}
	settle("together again")
	s.regions = append(
		s.regions[10:],
		Server{ID: "new1", Zone: "z0", Live: true},
		Server{ID: "new2", Zone: "z1", Live: true},
	)
	settle("with a third of the regions gone")
}

// Peers gone altogether, or a view that is old: within one look all servers are candidates, no reading of others
// counts, and the settings' shares hold.
func TestAloneAgain(t *testing.T) {
	s := newSide(t, 12, 20, Config{SubsetSize: 4, ShareReadings: true, Stagger: true})
	for range 12 {
		s.look()
	}
	if f := s.got[0][reflect.TypeFor[policy.FleetState]()].(policy.FleetState); f.BudgetDivisor != 12 || f.Demand != 12 ||
		f.StaggerOffset <= 0 {
		t.Fatalf("among twelve: %+v", f)
	}
	own := Local{Servers: s.regions, SlotPeriod: 16 * time.Second}
	for _, v := range []View{{Stale: true, Known: 12, Members: []Member{{Name: "b001", Reported: true}}}, {Known: 12}} {
		events, _ := s.parts[0].Update(s.now+time.Second, v, own)
		for _, e := range events {
			switch e := e.(type) {
			case policy.CandidateSubset:
				if n := len(e.Servers); n != 0 && n != len(s.regions) {
					t.Errorf("%+v: %d candidates", v, n)
				}
			case policy.PeerReading:
				t.Errorf("%+v: heard %+v", v, e)
			case policy.FleetState:
				if e.BudgetDivisor != 12 || e.Demand != 0 || len(e.AssignedServers) != 0 {
					t.Errorf("%+v: %+v", v, e)
				}
			}
		}
	}
}

// Each region is read by three, and all others hear of it. One of the readers that says all regions are empty moves
// nobody.
func TestOneProbeServesAll(t *testing.T) {
	s := newSide(t, 40, 12, Config{ShareReadings: true})
	s.read = func(by int, region string) stagger.Report {
		if by == 7 {
			return stagger.Report{Load: 0, Age: 200 * time.Millisecond}
		}
		return stagger.Report{Load: 0.7, Age: 300 * time.Millisecond}
	}
	for range 6 {
		s.look()
	}
	readers := map[string]int{}
	for i := range s.parts {
		f := s.got[i][reflect.TypeFor[policy.FleetState]()].(policy.FleetState)
		for _, id := range f.AssignedServers {
			readers[id]++
		}
		if f.BudgetDivisor != 0 || f.Demand != 0 {
			t.Errorf("turns are off: %+v", f)
		}
	}
	for _, r := range s.regions {
		if readers[r.ID] != stagger.ReadersPerServer {
			t.Errorf("%s has %d readers", r.ID, readers[r.ID])
		}
		for i := range s.parts {
			if h := s.heard[i][r.ID]; h.Server == "" &&
				!slices.Contains(s.got[i][reflect.TypeFor[policy.FleetState]()].(policy.FleetState).AssignedServers, r.ID) ||
				h.Server != "" && h.Load != 0.7 {
				t.Errorf("%s heard %+v of %s", s.parts[i].cfg.Name, h, r.ID)
			}
		}
	}
}

// By number alone, every far region is looked at by as many as each other, within one, near ones by all of the
// zone, and each has a turn of its own.
func TestByNumber(t *testing.T) {
	var regions []policy.Server
	for i := range 30 {
		regions = append(regions, policy.Server{ID: fmt.Sprint("r", i), Zone: fmt.Sprint("z", i%3)})
	}
	regions[4].State = policy.Draining
	at, turnsTaken := map[string]int{}, map[float64]bool{}
	for i := range 45 {
		events := Numbered{Number: i, Count: 45, Zone: "z9", SubsetSize: 5}.Events(regions)
		turnsTaken[events[0].(policy.FleetState).StaggerOffset] = true
		for _, id := range events[1].(policy.CandidateSubset).Servers {
			at[id]++
		}
	}
	for i, r := range regions {
		if n := at[r.ID]; i == 4 && n != 0 || i != 4 && (n < 7 || n > 8) {
			t.Errorf("%s is looked at by %d", r.ID, n)
		}
	}
	if len(turnsTaken) != 45 {
		t.Errorf("%d turns", len(turnsTaken))
	}
	near := Numbered{Number: 3, Count: 45, Zone: "z1", SubsetSize: 5}.Events(regions)[1].(policy.CandidateSubset).Servers
	if len(near) != 9+5 && len(near) != 9+6 {
		t.Errorf("looks at %d, of which 9 are near", len(near))
	}
	if n, err := ParseNumber("n17"); n != 17 || err != nil {
		t.Error(n, err)
	}
	if _, err := ParseNumber("edge-west"); err == nil {
		t.Error("a name without a number has one")
	}
}

// Words come back as they were said; what no balancer would say is left out.
func TestWordsTravel(t *testing.T) {
	w := Announcement{
		Zone:             "nairobi west",
		ExplorationSlots: 12,
		SlotAge:          1500 * time.Millisecond,
		Demand:           3.25,
		ReferenceSize:    30,
		Subset:           []uint32{1, 1 << 31},
	}
	p := membership.View{Members: []membership.MemberView{
		{Record: membership.Record{Name: "a", State: membership.Alive}, Signals: []membership.SignalView{
			{Key: AnnouncementKey, Value: w.Encode(), Age: time.Second}, {Key: SubsetKey, Value: w.EncodeSubset()},
			{
				Key:   membership.ServerKey + "r1",
				Value: membership.Reading{Load: 0.5, Age: time.Second}.Encode(),
				Age:   2 * time.Second,
			},
			{Key: membership.ServerKey + "r2", Value: []byte("NaN 1 1")}}},
		{
			Record:  membership.Record{Name: "b", State: membership.Gone},
			Signals: []membership.SignalView{{Key: AnnouncementKey, Value: w.Encode()}},
		},
		{
			Record: membership.Record{Name: "c", State: membership.Leaving},
			Signals: []membership.SignalView{
				{Key: AnnouncementKey, Value: []byte("1 2 -3 4 z")},
				{Key: SubsetKey, Value: []byte("abc")},
			},
		},
	}}
	v, malformed := ParseView(p)
	if len(v.Members) != 2 || v.Known != 4 || malformed != 3 {
		t.Fatalf("%d malformed, %+v", malformed, v)
	}
	a := v.Members[0]
	if a.Zone != w.Zone || a.ExplorationSlots != 12 || a.SlotAge != 2500*time.Millisecond || a.Demand != 3.25 ||
		a.ReferenceSize != 30 ||
		!slices.Equal(a.Subset, w.Subset) ||
		a.Readings["r1"] != (stagger.Report{Load: 0.5, Age: 3 * time.Second}) ||
		len(a.Readings) != 1 {
		t.Errorf("%+v", a)
	}
	if c := v.Members[1]; c.Reported || !c.Leaving {
		t.Errorf("%+v", c)
	}
}

func FuzzWords(f *testing.F) {
	f.Add([]byte("12 1500 3.25 30 nairobi"), []byte{0, 0, 0, 1}, []byte("0.500 100 0"))
	f.Fuzz(func(t *testing.T, words, holds, reading []byte) {
		v, _ := ParseView(
			membership.View{
				Members: []membership.MemberView{{Record: membership.Record{Name: "a"}, Signals: []membership.SignalView{
					{
						Key:   AnnouncementKey,
						Value: words,
					}, {Key: SubsetKey, Value: holds}, {Key: membership.ServerKey + "r", Value: reading}}}},
			},
		)
		m := v.Members[0]
		if m.ExplorationSlots < 0 || m.ExplorationSlots > maxExplorationSlots || m.Demand < 0 || m.Demand > maxDemand ||
			m.SlotAge < 0 ||
			m.ReferenceSize < 0 {
			t.Errorf("%+v", m)
		}
		part := New(
			Config{Name: "b", PeerTimeout: time.Second, Balancers: 2, SubsetSize: 2, ShareReadings: true, Stagger: true},
		)
		part.Update(time.Minute, v, Local{Servers: []Server{{ID: "r", Live: true}}})
	})
}
