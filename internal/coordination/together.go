// Package coordination turns what balancers tell each other into what the decision module knows: candidates (subset), others'
// readings and servers to read for all (readings), and shares, slots, clock and demand (turns). Each of the three works
// without the other two.
//
// It is pure: a view of the members and what this balancer knows itself go in, the module's events and this balancer's own
// words come out. It owns no socket and no clock, and decides no placement. Where the view is old, or nobody is there, it
// must leave the module as it would be alone: all servers, own readings, the settings' shares.
package coordination

import (
	"cmp"
	"encoding/binary"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"oatloft/internal/stagger"
	"oatloft/internal/subset"
	"oatloft/policy"
)

// Settings say which of the three are on. Members of a cluster have to hold the same.
type Settings struct {
	Name, Zone string
	Balancers  int           // by the deployment's settings
	Silent     time.Duration // a member that is silent for so long is held to be gone
	Subset     int           // regions that a balancer looks at by itself; 0 for all
	Readings   bool
	Turns      bool
}

// On tells whether anything is.
func (s Settings) On() bool { return s.Subset > 0 || s.Readings || s.Turns }

// least is how many balancers look at each region at the least: as many as read it for the others.
const least = stagger.Readers

// Full is the load from which on a region has no room for newcomers, as the module holds it.
const full = 0.8

// Member is what another balancer is and has said. What it hasn't said is 0 or nil.
type Member struct {
	Name, Zone string
	Leaving    bool
	Clock      int
	SlotAge    time.Duration // since its last explore slot began
	Demand     float64       // choices a second
	Reference  int
	Holds      []uint32 // regions of its subset, by Mark
	Readings   map[string]stagger.Told
	Told       bool // it has said its words
}

// View is who is there.
type View struct {
	Old     bool // nothing in it counts
	Known   int  // all members not forgotten, those held gone among them, and this one
	Members []Member
}

// Region is what this balancer knows of a region by itself.
type Region struct {
	ID, Zone string
	Live     bool
	Cold     bool // it came up not long ago: what may be sent there hangs on a budget
	X        float64
	At       time.Duration // of its own reading, 0 for none
	Fails    int
}

// Own is what this balancer knows of itself.
type Own struct {
	Regions    []Region
	Clock      int
	SlotAge    time.Duration
	SlotPeriod time.Duration
	Demand     float64
	Refused    int64 // so far
}

// Words are what this balancer is to tell.
type Words struct {
	Zone      string
	Clock     int
	SlotAge   time.Duration
	Demand    float64
	Reference int
	Holds     []uint32
	Readings  []string // regions whose readings are to be told; all if Readings is off
}

// Together is one balancer's part. It is not safe for concurrent use.
type Together struct {
	set     Settings
	share   stagger.Share
	trust   stagger.Trust
	width   subset.Width
	holds   []string
	begun   time.Duration
	heard   map[string]time.Duration // time of the reading that was passed on last, by region
	slot    time.Duration            // age of the own slot at the last look
	now     []string                 // candidates given last
	duty    []string
	text    []byte // of the latest digest, kept for its room
	refused int64  // at the last look
	digest  uint64 // of what subset and duties follow from

	Layouts *Layouts // nil unless others in this process share them
	Counts  struct {
		Plans, Changes, Widened, Narrowed, Heard, Unsure, Dead, Nudged, Resumed int64
	}
}

// New returns the part of one balancer.
func New(set Settings) *Together {
	return &Together{set: set, share: stagger.Share{Settings: set.Balancers, Hold: set.Silent, Begin: set.Silent / 3},
		width: subset.Width{Wait: time.Second, Back: 10 * time.Second}, heard: map[string]time.Duration{}}
}

// Mark is a region as a subset names it to others: ids can be long.
func Mark(region string) uint32 { return uint32(subset.Rank("", region) >> 32) }

// Look takes what is known at a time, and returns the module's events and this balancer's words.
func (t *Together) Look(now time.Duration, v View, own Own) (events []policy.Event, w Words) {
	if t.begun == 0 {
		t.begun = max(now, 1)
	}
	if v.Old {
		v.Members = nil
	}
	slices.SortFunc(v.Members, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	verdicts := map[string]stagger.Verdict{}
	if t.set.Readings {
		verdicts = t.judge(now, v, own)
		for _, r := range own.Regions {
			d, ok := verdicts[r.ID]
			switch at := now - d.Age; {
			case !ok:
			case d.Dead:
				t.Counts.Dead++
				events = append(events, policy.PeerReading{Server: r.ID, Unreachable: true})
			case !d.OK:
				t.Counts.Unsure++
			case at > r.At && at > t.heard[r.ID]:
				t.heard[r.ID] = at
				t.Counts.Heard++
				events = append(events, policy.PeerReading{Server: r.ID, Load: d.X, Age: d.Age})
			}
		}
	}
	if t.set.Subset > 0 || t.set.Readings {
		t.lay(now, v, own)
	}
	if t.set.Subset > 0 {
		if list := t.look(now, own, verdicts); !slices.Equal(list, t.now) {
			t.now = list
			t.Counts.Changes++
			events = append(events, policy.CandidateSubset{Servers: list})
		}
	}
	f := policy.FleetState{AssignedServers: t.duty}
	if t.set.Turns {
		f = t.turn(now, v, own, f)
	}
	if t.set.Turns || t.set.Readings {
		events = append(events, f)
	}
	w = Words{Zone: t.set.Zone, Clock: own.Clock, SlotAge: own.SlotAge, Demand: own.Demand, Reference: t.share.Reference()}
	for _, id := range t.holds {
		w.Holds = append(w.Holds, Mark(id))
	}
	for _, r := range own.Regions {
		if !t.set.Readings || slices.Contains(t.duty, r.ID) {
			w.Readings = append(w.Readings, r.ID)
		}
	}
	return events, w
}

// judge weighs what the others read, and holds it against what this one did.
func (t *Together) judge(now time.Duration, v View, own Own) map[string]stagger.Verdict {
	there, told := make(map[string]bool, len(v.Members)), map[string][]stagger.Told{}
	for _, m := range v.Members {
		there[m.Name] = true
		for id, d := range m.Readings {
			d.By = m.Name
			told[id] = append(told[id], d)
		}
	}
	t.trust.Forget(func(name string) bool { return there[name] })
	out := map[string]stagger.Verdict{}
	for _, r := range own.Regions {
		if list := told[r.ID]; len(list) > 0 {
			mine := stagger.Own{X: r.X, At: r.At}
			t.trust.Check(now, mine, list)
			out[r.ID] = t.trust.Judge(now, mine, list)
		}
	}
	maps.DeleteFunc(t.heard, func(id string, at time.Duration) bool { return now-at > time.Minute })
	return out
}

// layout is who looks at what, and who reads what for all: the same for all who hold the same lists.
type layout struct {
	subsets map[string][]string
	readers map[string][]string
}

// Layouts keeps layouts by what they follow from, for many parts in one process to share. A nil one keeps none.
type Layouts struct {
	mu  sync.Mutex
	all map[uint64]*layout
}

const mostLayouts = 64

func (l *Layouts) get(digest uint64) *layout {
	if l == nil {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.all[digest]
}

func (l *Layouts) put(digest uint64, made *layout) {
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.all) >= mostLayouts || l.all == nil {
		l.all = map[uint64]*layout{}
	}
	l.all[digest] = made
}

// lay sets this balancer's subset and duties, if anything that they follow from has changed. A newcomer waits until it
// knows the others.
func (t *Together) lay(now time.Duration, v View, own Own) {
	if v.Old || now-t.begun < t.set.Silent/3 {
		t.holds, t.duty, t.digest = nil, nil, 0
		return
	}
	// What all follows from, in one figure; most looks end here.
	text := t.text[:0]
	add := func(parts ...string) {
		for _, p := range parts {
			text = append(append(text, p...), 0)
		}
	}
	for _, r := range own.Regions {
		if r.Live {
			add(r.ID, r.Zone)
		}
	}
	add("")
	self := Member{Name: t.set.Name, Zone: t.set.Zone, Told: true}
	for _, id := range t.holds {
		self.Holds = append(self.Holds, Mark(id))
	}
	at, _ := slices.BinarySearchFunc(v.Members, self, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	count := func(m Member) bool { return m.Told && !m.Leaving }
	for i := range len(v.Members) + 1 {
		m := self
		if i < at {
			m = v.Members[i]
		} else if i > at {
			m = v.Members[i-1]
		}
		if !count(m) {
			continue
		}
		add(m.Name, m.Zone)
		for _, mark := range m.Holds {
			text = binary.BigEndian.AppendUint32(text, mark)
		}
		add("")
	}
	t.text = text
	digest := xxhash.Sum64(text)
	if digest == t.digest {
		return
	}
	var regions []subset.Region
	byMark := make(map[uint32]string, len(own.Regions))
	for _, r := range own.Regions {
		if r.Live {
			regions = append(regions, subset.Region{ID: r.ID, Zone: r.Zone})
			byMark[Mark(r.ID)] = r.ID
		}
	}
	made := t.Layouts.get(digest)
	if made == nil {
		members := []subset.Member{{Name: t.set.Name, Zone: t.set.Zone, Holds: t.holds}}
		for _, m := range v.Members {
			if !count(m) {
				continue
			}
			o := subset.Member{Name: m.Name, Zone: m.Zone, Holds: make([]string, 0, len(m.Holds))}
			for _, mark := range m.Holds {
				if id, ok := byMark[mark]; ok {
					o.Holds = append(o.Holds, id)
				}
			}
			members = append(members, o)
		}
		t.Counts.Plans++
		made = t.plan(members, regions)
		t.Layouts.put(digest, made)
	}
	t.digest, t.holds, t.duty = digest, made.subsets[t.set.Name], nil
	for _, r := range regions {
		if slices.Contains(made.readers[r.ID], t.set.Name) {
			t.duty = append(t.duty, r.ID)
		}
	}
}

// plan makes a layout. Those that look at a region read it, three of them; alone nobody reads for others.
func (t *Together) plan(members []subset.Member, regions []subset.Region) *layout {
	made := &layout{readers: map[string][]string{}}
	holders := map[string][]string{}
	if t.set.Subset > 0 {
		made.subsets = subset.Plan(members, regions, subset.Settings{Size: t.set.Subset, Least: least})
		for _, m := range members {
			for _, id := range made.subsets[m.Name] {
				holders[id] = append(holders[id], m.Name)
			}
		}
	}
	if !t.set.Readings || len(members) < 2 {
		return made
	}
	all := make([]string, len(members))
	for i, m := range members {
		all[i] = m.Name
	}
	for _, r := range regions {
		from := all
		if h := holders[r.ID]; len(h) >= min(stagger.Readers, len(all)) {
			from = h
		}
		made.readers[r.ID] = stagger.Duty(r.ID, from)
	}
	return made
}

// look is the list of candidates: the subset, and what lies beyond while that has no room. Without a subset it is empty, for
// all.
func (t *Together) look(now time.Duration, own Own, verdicts map[string]stagger.Verdict) []string {
	if len(t.holds) == 0 {
		return nil
	}
	self := subset.Member{Name: t.set.Name, Zone: t.set.Zone}
	var regions []subset.Region
	for _, r := range own.Regions {
		if r.Live {
			regions = append(regions, subset.Region{ID: r.ID, Zone: r.Zone})
		}
	}
	seen := func(ids []string) (list []subset.Seen) {
		for _, id := range ids {
			i := slices.IndexFunc(own.Regions, func(r Region) bool { return r.ID == id })
			if i < 0 {
				continue
			}
			r := own.Regions[i]
			x := r.X
			if d := verdicts[id]; d.OK && now-d.Age > r.At {
				x = d.X
			}
			list = append(list, subset.Seen{ID: id, Room: x < full && !r.Cold, Failing: r.Fails > 1 || verdicts[id].Dead || !r.Live})
		}
		return list
	}
	before := t.width.Step
	t.width.Look(now, seen(t.holds), seen(subset.Widened(self, t.holds, regions, t.width.Step)), own.Refused > t.refused)
	t.refused = own.Refused
	t.width.Bound(len(t.holds), len(regions))
	if t.width.Step > before {
		t.Counts.Widened++
	} else if t.width.Step < before {
		t.Counts.Narrowed++
	}
	list := slices.Clone(subset.Widened(self, t.holds, regions, t.width.Step))
	slices.Sort(list)
	return list
}

// turn fills in the shares, and what is to be one after the other.
func (t *Together) turn(now time.Duration, v View, own Own, f policy.FleetState) policy.FleetState {
	seen := stagger.Seen{Present: 1 + len(v.Members), Known: v.Known, Old: v.Old}
	var slots []time.Duration
	var clocks []int
	var demands []float64
	present := []string{}
	for _, m := range v.Members {
		seen.Told = max(seen.Told, m.Reference)
		present = append(present, m.Name)
		if m.Told {
			slots, clocks, demands = append(slots, m.SlotAge), append(clocks, m.Clock), append(demands, m.Demand)
		}
	}
	if f.BudgetDivisor = t.share.Look(now, seen); f.BudgetDivisor == 0 {
		f.BudgetDivisor = -1
	}
	if len(present) == 0 {
		return f
	}
	f.StaggerOffset = stagger.Turn(t.set.Name, present)
	f.Demand = stagger.Sum(own.Demand, demands, len(present)-len(demands))
	if c := stagger.Clock(own.Clock, clocks); c > own.Clock {
		t.Counts.Resumed++
		f.ExplorationSlots = c
	}
	if own.SlotAge < t.slot { // once a slot: the others have to see where it is now
		if f.SlotShift = stagger.Nudge(own.SlotAge, slots, own.SlotPeriod); f.SlotShift != 0 {
			t.Counts.Nudged++
		}
	}
	t.slot = own.SlotAge
	return f
}
