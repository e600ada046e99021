package coordination

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"oatloft/internal/stagger"
	"oatloft/internal/subset"
	"oatloft/policy"
)

const (
	// minBalancers is how many balancers look at each server at least: as many as read it for the others.
	minBalancers = stagger.ReadersPerServer
	// fullLoad is the load from which on a server has no capacity for new requests, as the decision module holds it.
	fullLoad = 0.8
	// widenAfter and narrowAfter are the times of subset.Widening.
	widenAfter  = time.Second
	narrowAfter = 10 * time.Second
	// startParts of the peer timeout: a new balancer waits so long before it plans with others or takes a share.
	startParts = 3
	// readingMemory is how long the time of a reading is remembered that was passed on.
	readingMemory = time.Minute
)

// noShare is the divisor by which the decision module takes nothing of bounded budgets.
const noShare = -1

// Counts add up what a coordinator has done.
type Counts struct {
	Plans    int64 // layouts planned
	Changes  int64 // of the candidates
	Widened  int64
	Narrowed int64
	Received int64 // others' readings passed on
	Unsure   int64 // servers of which no reading was usable
	Dead     int64 // servers that the others cannot reach
	Nudged   int64 // exploration slots shifted
	Resumed  int64 // counts of exploration slots taken from the others
}

// Coordinator is one balancer's part. It is not safe for concurrent use.
type Coordinator struct {
	cfg           Config
	share         stagger.BudgetShare
	trust         stagger.Trust
	widening      subset.Widening
	subset        []string // of this balancer
	startedAt     time.Duration
	passedOn      map[string]time.Duration // time of the reading that was passed on last, by server
	slotAge       time.Duration            // at the last update
	candidates    []string                 // given last
	assigned      []string                 // servers that this balancer reads for all
	digestInput   []byte                   // of the latest digest, kept for its memory
	layoutDigest  uint64                   // of what subset and assigned follow from
	totalRejected int64                    // at the last update

	Layouts *Layouts // nil unless others in this process share them
	Counts  Counts
}

// New returns the part of one balancer.
func New(cfg Config) *Coordinator {
	return &Coordinator{
		cfg: cfg,
		share: stagger.BudgetShare{
			Configured:  cfg.Balancers,
			ShrinkDelay: cfg.PeerTimeout,
			StartDelay:  cfg.PeerTimeout / startParts,
		},
		widening: subset.Widening{WidenAfter: widenAfter, NarrowAfter: narrowAfter},
		passedOn: map[string]time.Duration{},
	}
}

// Update takes what is known at a time, and returns events for the decision module and this balancer's announcement.
func (c *Coordinator) Update(now time.Duration, v View, local Local) (events []policy.Event, a Announcement) {
	if c.startedAt == 0 {
		c.startedAt = max(now, 1)
	}
	if v.Stale {
		v.Members = nil
	}
	slices.SortFunc(v.Members, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	readings := map[string]stagger.CombinedReading{}
	if c.cfg.ShareReadings {
		readings = c.combineReadings(now, v, local)
		events = c.passReadingsOn(now, local, readings)
	}
	if c.cfg.SubsetSize > 0 || c.cfg.ShareReadings {
		c.updateLayout(now, v, local)
	}
	if c.cfg.SubsetSize > 0 {
		if list := c.selectCandidates(now, local, readings); !slices.Equal(list, c.candidates) {
			c.candidates = list
			c.Counts.Changes++
			events = append(events, policy.CandidateSubset{Servers: list})
		}
	}
	fleet := policy.FleetState{AssignedServers: c.assigned}
	if c.cfg.Stagger {
		c.setStagger(now, v, local, &fleet)
	}
	if c.cfg.Stagger || c.cfg.ShareReadings {
		events = append(events, fleet)
	}
	return events, c.announcement(local)
}

// combineReadings weighs the others' reports, and checks them against this balancer's readings.
func (c *Coordinator) combineReadings(now time.Duration, v View, local Local) map[string]stagger.CombinedReading {
	present := make(map[string]bool, len(v.Members))
	reports := map[string][]stagger.Report{}
	for _, m := range v.Members {
		present[m.Name] = true
		for id, report := range m.Readings {
			report.Reporter = m.Name
			reports[id] = append(reports[id], report)
		}
	}
	c.trust.Forget(func(name string) bool { return present[name] })
	combined := map[string]stagger.CombinedReading{}
	for _, s := range local.Servers {
		if list := reports[s.ID]; len(list) > 0 {
			own := stagger.OwnReading{Load: s.Load, At: s.ReadAt}
			c.trust.Check(now, own, list)
			combined[s.ID] = c.trust.Combine(now, own, list)
		}
	}
	maps.DeleteFunc(c.passedOn, func(_ string, at time.Duration) bool { return now-at > readingMemory })
	return combined
}

// passReadingsOn returns events for readings that are newer than this balancer's own and than those passed on before.
func (c *Coordinator) passReadingsOn(
	now time.Duration, local Local, readings map[string]stagger.CombinedReading,
) (events []policy.Event) {
	for _, s := range local.Servers {
		reading, ok := readings[s.ID]
		at := now - reading.Age
		switch {
		case !ok:
		case reading.Unreachable:
			c.Counts.Dead++
			events = append(events, policy.PeerReading{Server: s.ID, Unreachable: true})
		case !reading.Usable:
			c.Counts.Unsure++
		case at > s.ReadAt && at > c.passedOn[s.ID]:
			c.passedOn[s.ID] = at
			c.Counts.Received++
			events = append(events, policy.PeerReading{Server: s.ID, Load: reading.Load, Age: reading.Age})
		}
	}
	return events
}

// selectCandidates lists the candidates: the subset, and what lies beyond while that has no capacity. Without a
// subset the list is empty, which means all servers.
func (c *Coordinator) selectCandidates(
	now time.Duration, local Local, readings map[string]stagger.CombinedReading,
) []string {
	if len(c.subset) == 0 {
		return nil
	}
	self := subset.Member{Name: c.cfg.Name, Zone: c.cfg.Zone}
	servers := local.liveServers()
	own := observations(now, c.subset, local, readings)
	all := observations(now, subset.Candidates(self, c.subset, servers, c.widening.Step), local, readings)
	before := c.widening.Step
	c.widening.Update(now, own, all, local.Rejected > c.totalRejected)
	c.totalRejected = local.Rejected
	c.widening.Limit(len(c.subset), len(servers))
	switch {
	case c.widening.Step > before:
		c.Counts.Widened++
	case c.widening.Step < before:
		c.Counts.Narrowed++
	}
	list := slices.Clone(subset.Candidates(self, c.subset, servers, c.widening.Step))
	slices.Sort(list)
	return list
}

// observations returns what is known of the servers with some ids, by the newer of own and others' readings.
func observations(
	now time.Duration, ids []string, local Local, readings map[string]stagger.CombinedReading,
) (list []subset.Observation) {
	for _, id := range ids {
		i := slices.IndexFunc(local.Servers, func(s Server) bool { return s.ID == id })
		if i < 0 {
			continue
		}
		s, reading := local.Servers[i], readings[id]
		load := s.Load
		if reading.Usable && now-reading.Age > s.ReadAt {
			load = reading.Load
		}
		list = append(list, subset.Observation{
			ID:          id,
			HasCapacity: load < fullLoad && !s.WarmingUp,
			Failing:     s.FailedProbes > 1 || reading.Unreachable || !s.Live,
		})
	}
	return list
}

// setStagger fills in the share of bounded budgets, and what balancers are to do one after the other.
func (c *Coordinator) setStagger(now time.Duration, v View, local Local, fleet *policy.FleetState) {
	size := stagger.FleetSize{Present: 1 + len(v.Members), Known: v.Known, Stale: v.Stale}
	var slotAges []time.Duration
	var slotCounts []int
	var demands []float64
	var present []string
	for _, m := range v.Members {
		size.Reported = max(size.Reported, m.ReferenceSize)
		present = append(present, m.Name)
		if m.Reported {
			slotAges = append(slotAges, m.SlotAge)
			slotCounts = append(slotCounts, m.ExplorationSlots)
			demands = append(demands, m.Demand)
		}
	}
	fleet.BudgetDivisor = c.share.Update(now, size)
	if fleet.BudgetDivisor == 0 {
		fleet.BudgetDivisor = noShare
	}
	if len(present) == 0 {
		return
	}
	fleet.StaggerOffset = stagger.Offset(c.cfg.Name, present)
	fleet.Demand = stagger.TotalDemand(local.Demand, demands, len(present)-len(demands))
	if slots := stagger.ResumedSlots(local.ExplorationSlots, slotCounts); slots > local.ExplorationSlots {
		c.Counts.Resumed++
		fleet.ExplorationSlots = slots
	}
	if local.SlotAge < c.slotAge { // once a slot: the others have to see where it is now
		fleet.SlotShift = stagger.SlotShift(local.SlotAge, slotAges, local.SlotPeriod)
		if fleet.SlotShift != 0 {
			c.Counts.Nudged++
		}
	}
	c.slotAge = local.SlotAge
}

// announcement returns what this balancer tells the others.
func (c *Coordinator) announcement(local Local) Announcement {
	a := Announcement{
		Zone:             c.cfg.Zone,
		ExplorationSlots: local.ExplorationSlots,
		SlotAge:          local.SlotAge,
		Demand:           local.Demand,
		ReferenceSize:    c.share.ReferenceSize(),
	}
	for _, id := range c.subset {
		a.Subset = append(a.Subset, ServerHash(id))
	}
	for _, s := range local.Servers {
		if !c.cfg.ShareReadings || slices.Contains(c.assigned, s.ID) {
			a.Readings = append(a.Readings, s.ID)
		}
	}
	return a
}
