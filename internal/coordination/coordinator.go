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
	// minBalancers is the least number of subsets that each server is in: as many as there are readers of it.
	minBalancers = stagger.ReadersPerServer
	// fullLoad is the load, relative to a server's capacity, from which it has no capacity for new requests. The decision
	// module uses the same value.
	fullLoad = 0.8
	// widenAfter and narrowAfter are the delays of subset.Widening.
	widenAfter  = time.Second
	narrowAfter = 10 * time.Second
	// startDelayDivisor divides the peer timeout: a new balancer waits for that time before it plans subsets and readers
	// or takes a share of budgets.
	startDelayDivisor = 3
	// passedOnRetention is the time for which the time of a passed-on reading is kept.
	passedOnRetention = time.Minute
)

// noBudgetShare is the budget divisor with which the decision module takes nothing from bounded budgets.
const noBudgetShare = -1

// Counts counts the activity of a coordinator.
type Counts struct {
	Plans            int64 // layouts computed
	CandidateChanges int64 // changes of the candidate list
	Widened          int64 // steps by which the candidates were widened
	Narrowed         int64 // steps by which they were narrowed
	PassedOn         int64 // readings of other members passed on
	Unusable         int64 // servers without a usable reading of other members
	Unreachable      int64 // servers that other members report as unreachable
	SlotShifts       int64 // shifts of exploration slots
	ResumedSlots     int64 // exploration slot counts taken over from other members
}

// Coordinator computes one balancer's subset, readings and shares. It is not safe for concurrent use.
type Coordinator struct {
	cfg           Config
	share         stagger.BudgetShare
	trust         stagger.Trust
	widening      subset.Widening
	subset        []string // of this balancer
	startedAt     time.Duration
	passedOn      map[string]time.Duration // time of the last reading passed on, by server
	slotAge       time.Duration            // at the last update
	candidates    []string                 // as in the last event
	assigned      []string                 // servers that this balancer reads for all members
	digestInput   []byte                   // buffer reused by digest
	layoutDigest  uint64                   // of the inputs of subset and assigned
	totalRejected int64                    // rejected requests at the last update

	Layouts *Layouts // nil unless shared with other coordinators in this process
	Counts  Counts
}

// New returns the coordinator of one balancer.
func New(cfg Config) *Coordinator {
	return &Coordinator{
		cfg: cfg,
		share: stagger.BudgetShare{
			Configured:  cfg.Balancers,
			ShrinkDelay: cfg.PeerTimeout,
			StartDelay:  cfg.PeerTimeout / startDelayDivisor,
		},
		widening: subset.Widening{WidenAfter: widenAfter, NarrowAfter: narrowAfter},
		passedOn: map[string]time.Duration{},
	}
}

// Update takes a view of the members and the local state. It returns events for the decision module and this balancer's
// announcement.
func (c *Coordinator) Update(now time.Duration, v View, local LocalState) (events []policy.Event, a Announcement) {
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
			c.Counts.CandidateChanges++
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

// combineReadings combines the other members' readings by server, weighted by the trust in each member, and checks them
// against this balancer's own readings.
func (c *Coordinator) combineReadings(now time.Duration, v View, local LocalState) map[string]stagger.CombinedReading {
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
	maps.DeleteFunc(c.passedOn, func(_ string, at time.Duration) bool { return now-at > passedOnRetention })
	return combined
}

// passReadingsOn returns events for readings that are newer than this balancer's own and than the last one passed on.
func (c *Coordinator) passReadingsOn(
	now time.Duration, local LocalState, readings map[string]stagger.CombinedReading,
) (events []policy.Event) {
	for _, s := range local.Servers {
		reading, ok := readings[s.ID]
		at := now - reading.Age
		switch {
		case !ok:
		case reading.Unreachable:
			c.Counts.Unreachable++
			events = append(events, policy.PeerReading{Server: s.ID, Unreachable: true})
		case !reading.Usable:
			c.Counts.Unusable++
		case at > s.ReadAt && at > c.passedOn[s.ID]:
			c.passedOn[s.ID] = at
			c.Counts.PassedOn++
			events = append(events, policy.PeerReading{Server: s.ID, Load: reading.Load, Age: reading.Age})
		}
	}
	return events
}

// selectCandidates updates the widening and returns the candidates: the subset, widened by other servers while it has
// no capacity. Without a subset the list is empty, which means all servers.
func (c *Coordinator) selectCandidates(
	now time.Duration, local LocalState, readings map[string]stagger.CombinedReading,
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

// observations returns the state of the servers with the given ids, by the newer of own and combined readings.
func observations(
	now time.Duration, ids []string, local LocalState, readings map[string]stagger.CombinedReading,
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

// setStagger sets the divisor of bounded budgets, the stagger offset, the total demand and the exploration slots.
func (c *Coordinator) setStagger(now time.Duration, v View, local LocalState, fleet *policy.FleetState) {
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
		fleet.BudgetDivisor = noBudgetShare
	}
	if len(present) == 0 {
		return
	}
	fleet.StaggerOffset = stagger.Offset(c.cfg.Name, present)
	fleet.Demand = stagger.TotalDemand(local.Demand, demands, len(present)-len(demands))
	if slots := stagger.ResumedSlots(local.ExplorationSlots, slotCounts); slots > local.ExplorationSlots {
		c.Counts.ResumedSlots++
		fleet.ExplorationSlots = slots
	}
	if local.SlotAge < c.slotAge { // once per slot, so that the others see the effect before the next shift
		fleet.SlotShift = stagger.SlotShift(local.SlotAge, slotAges, local.SlotPeriod)
		if fleet.SlotShift != 0 {
			c.Counts.SlotShifts++
		}
	}
	c.slotAge = local.SlotAge
}

// announcement returns this balancer's announcement.
func (c *Coordinator) announcement(local LocalState) Announcement {
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
