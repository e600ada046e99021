package bandwidth

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"oatloft/internal/failpoint"
	"oatloft/internal/revision"
)

// Demand is the rate at which one balancer would send the bytes of one class and tenant over a link.
type Demand struct {
	Class   string
	Tenant  string
	Rate    float64 // bytes per second
	Waiting int     // most connections waiting at once; the weight among balancers that get too little
}

// LinkRequest is a balancer's request for its part of one link.
type LinkRequest struct {
	Link        string
	GrantedRate float64 // bytes per second granted to it and not expired; 0 if none
	SafeRate    float64 // bytes per second it falls back to, by the table it follows
	Demands     []Demand
}

// Request is what a balancer sends the coordinator at one time. It carries an increasing number, and the number of the
// last response that the balancer has applied: it never applies an earlier one after that.
type Request struct {
	Number  uint64
	Applied uint64
	Links   []LinkRequest
}

// FlowRate is the planned rate of one class and tenant. The rates are the weights among the flows of one priority.
type FlowRate struct {
	Class  string
	Tenant string
	Rate   float64 // bytes per second
}

// Guarantee is the rate that a class gets before the rest is divided by priority.
type Guarantee struct {
	Class string
	Rate  float64 // bytes per second
}

// Grant is a balancer's part of one link.
type Grant struct {
	Link       string
	Rate       float64 // bytes per second
	Flows      []FlowRate
	Guarantees []Guarantee
	Saturated  []string // classes that get less than they demand, over all balancers
}

// Response answers the Request of the same number.
type Response struct {
	Number uint64
	Links  []Grant
}

// Allocator grants parts of the links; it runs at the member that coordinates. Its invariant for each link of size C:
// the sum over all processes of the highest rate that each may use now (any grant that may still be in force there, or
// its safe part if that is more) is at most C. This holds also where a grant or its response is lost or late, or was
// given by an earlier Allocator.
//
// Times may come from any clock that does not stop. The time passed to Allocate must be read when the request arrives,
// before the check that this member is still the coordinator.
type Allocator struct {
	settings      Settings
	links         map[string]*linkState
	tenantWeights map[string]float64
	learnUntil    time.Duration // until then, grants of an earlier Allocator may be in force
}

// linkState is the allocation of one link.
type linkState struct {
	revision.Link
	holders     map[string]*holderState
	holderNames []string      // keys of holders, sorted
	departed    []grantRecord // safe parts of processes that left: one that was cut off may go on using its part
	committed   float64       // sum over the holders; includes what has expired since the last plan
	dirty       bool
	plannedAt   time.Duration
	saturated   []string
}

// holderState is one process's part of a link.
type holderState struct {
	outstanding []grantRecord
	safeRate    float64
	demands     []Demand
	requestedAt time.Duration
	left        bool
	committed   float64 // highest rate at the last count
	planned     float64
	flows       []FlowRate
	guarantees  []Guarantee
}

// grantRecord is one grant to a process, by the number of the request that it answered.
type grantRecord struct {
	number    uint64
	rate      float64
	grantedAt time.Duration
}

// NewAllocator returns an Allocator that has granted nothing. Elected must be called before Allocate.
func NewAllocator(settings Settings) *Allocator {
	return &Allocator{settings: settings, links: map[string]*linkState{}}
}

// SetTable applies the links of the revision in force and the tenants' weights. A grant stays counted until the process
// acknowledges a lower one or the grant expires.
func (al *Allocator) SetTable(table []revision.Link, tenantWeights map[string]float64) {
	al.tenantWeights = tenantWeights
	before := al.links
	al.links = map[string]*linkState{}
	for _, l := range table {
		state := before[LinkName(l.From, l.To)]
		if state == nil {
			state = &linkState{holders: map[string]*holderState{}}
		}
		state.Link, state.dirty = l, true
		for _, h := range state.holders { // each may follow either table until its next request
			h.safeRate = max(h.safeRate, al.settings.safeRate(l.Bytes))
			state.committed += max(0, h.safeRate-h.committed)
			h.committed = max(h.committed, h.safeRate)
		}
		al.links[LinkName(l.From, l.To)] = state
	}
}

// Elected starts a new term: what earlier coordinators granted is unknown.
func (al *Allocator) Elected(now time.Duration) {
	al.learnUntil = now + al.settings.grantTTL()
	if failpoint.On("links-no-wait") {
		al.learnUntil = now
	}
	for _, l := range al.links {
		l.holders, l.holderNames, l.departed, l.committed, l.dirty = map[string]*holderState{}, nil, nil, 0, true
	}
}

// HolderLeft stops grants to a process that has ended, is about to end, or is unreachable. Its grants count until they
// expire, and its safe part for some time after that, since it may go on serving its connections.
func (al *Allocator) HolderLeft(holder string) {
	for _, l := range al.links {
		if h := l.holders[holder]; h != nil {
			h.left, h.demands, l.dirty = true, nil, true
		}
	}
}

// maxRate returns the highest rate at which a process may send, given the grants that are still in force.
func (h *holderState) maxRate(now, ttl time.Duration) float64 {
	h.outstanding = slices.DeleteFunc(h.outstanding, func(g grantRecord) bool { return now > g.grantedAt+ttl })
	rate := h.safeRate
	for _, g := range h.outstanding {
		rate = max(rate, g.rate)
	}
	return rate
}

// reserved returns the rate reserved on a link for processes that have not asked: each may use its safe part.
func (al *Allocator) reserved(l *linkState) float64 {
	excess, safeRate := 0.0, al.settings.safeRate(l.Bytes)
	for _, d := range l.departed { // an earlier table may have given it more than is reserved for it by this one
		excess += max(0, d.rate-safeRate)
	}
	return float64(max(0, al.settings.Holders-len(l.holders)))*safeRate + min(excess, l.Bytes/2)
}

// recount computes the committed rates again. It removes processes that left once their grants have expired, and after
// departedRetention their safe parts.
func (l *linkState) recount(now, ttl time.Duration, maxDeparted int) {
	l.departed = slices.DeleteFunc(l.departed, func(d grantRecord) bool { return now > d.grantedAt+departedRetention })
	l.holderNames = slices.DeleteFunc(l.holderNames, func(name string) bool {
		h := l.holders[name]
		if !h.left || h.maxRate(now, ttl) > h.safeRate || len(h.outstanding) > 0 {
			return false
		}
		l.departed = append(l.departed, grantRecord{rate: h.safeRate, grantedAt: now})
		delete(l.holders, name)
		return true
	})
	l.committed = 0
	for _, h := range l.holders {
		h.committed = h.maxRate(now, ttl)
		l.committed += h.committed
	}
	l.departed = l.departed[max(0, len(l.departed)-maxDeparted):]
}

const (
	// How long the safe part of a process that left is counted: it may have been cut off and still serve its connections.
	departedRetention = 10 * time.Minute
	// Up to this many holders, each request replans the link; with more, a plan is made at most once per planInterval,
	// since it visits all of them.
	smallHolderCount = 16
	planInterval     = 20 * time.Millisecond
	// An early request needs a change of more than this fraction of the link's rate, and of more than a hundred times this
	// fraction of the process's planned rate.
	minRateChange       = 0.002
	ackDelay            = 20 * time.Millisecond  // until the early request of a process whose rate was cut
	retryDelayPerHolder = 500 * time.Microsecond // between two early requests, over all holders of a link
)

// Allocate answers a process's request; nothing is granted in any other way. again is the time until the process should
// ask again, 0 for its regular interval: short for a process that was granted less than it had, since others wait for
// its acknowledgement, and a little longer for one whose share is still granted to others.
func (al *Allocator) Allocate(
	holder string, request Request, now time.Duration,
) (response Response, again time.Duration) {
	response.Number = request.Number
	names := slices.Sorted(maps.Keys(al.links))
	for _, name := range names {
		l := al.links[name]
		i := slices.IndexFunc(request.Links, func(x LinkRequest) bool { return x.Link == name })
		if i < 0 {
			continue // it sends nothing there or follows an earlier table: a safe part is reserved for it
		}
		linkRequest, h := request.Links[i], l.holders[holder]
		if h == nil {
			h = &holderState{safeRate: al.settings.safeRate(l.Bytes)}
			h.committed = h.safeRate
			l.committed += h.safeRate
			l.holders[holder] = h
			l.holderNames = append(l.holderNames, holder)
			slices.Sort(l.holderNames)
		}
		h.acknowledge(request.Applied, linkRequest.GrantedRate, now)
		h.safeRate, h.demands, h.requestedAt =
			max(linkRequest.SafeRate, al.settings.safeRate(l.Bytes)), linkRequest.Demands, now
		l.dirty, h.left = true, false
		if len(l.holders) <= smallHolderCount || now >= l.plannedAt+planInterval {
			al.replan(l, now)
		}
		free := l.Bytes - al.reserved(l) - (l.committed - h.committed)
		rate := max(h.planned, h.safeRate)
		if now < al.learnUntil { // unknown grants may be in force: it gets no more than it has
			rate = min(rate, max(linkRequest.GrantedRate, h.safeRate))
		}
		rate = max(0, min(rate, free))
		h.outstanding = append(h.outstanding, grantRecord{request.Number, rate, now})
		l.committed -= h.committed
		h.committed = h.maxRate(now, al.settings.grantTTL())
		l.committed += h.committed
		switch minChange := max(minRateChange*l.Bytes, minRateChange*100*h.planned); {
		case linkRequest.GrantedRate-rate > minChange:
			again = ackDelay
		case again == 0 && h.planned-rate > minChange && now >= al.learnUntil:
			again = max(2*ackDelay, time.Duration(len(l.holders))*retryDelayPerHolder)
		}
		response.Links = append(response.Links,
			Grant{Link: name, Rate: rate, Flows: h.flows, Guarantees: h.guarantees, Saturated: l.saturated})
	}
	return response, again
}

// acknowledge replaces the grants up to a number by the rate that the process reports as granted.
func (h *holderState) acknowledge(number uint64, granted float64, now time.Duration) {
	grantedAt, known := now, false
	if failpoint.On("links-freed-early") && len(h.outstanding) > 0 {
		h.outstanding, granted = h.outstanding[:0], 0
	}
	rest := h.outstanding[:0]
	for _, g := range h.outstanding {
		if g.number > number {
			rest = append(rest, g)
		} else if g.number == number {
			grantedAt, known = g.grantedAt, true
		}
	}
	h.outstanding = rest
	if granted > 0 {
		if !known {
			grantedAt = now // granted by another Allocator
		}
		h.outstanding = append(h.outstanding, grantRecord{number, granted, grantedAt})
	}
}

// replan divides a link by the demands of all holders.
func (al *Allocator) replan(l *linkState, now time.Duration) {
	if !l.dirty {
		return
	}
	l.recount(now, al.settings.grantTTL(), al.settings.Holders)
	l.dirty, l.plannedAt = false, now
	var classes []string
	classDemand, flows := map[string]float64{}, map[[2]string]*flowDemand{}
	for _, name := range l.holderNames {
		h := l.holders[name]
		// No recent request: its grants count until they expire, but it gets no share of the plan.
		if now > h.requestedAt+al.settings.Lease/2 {
			h.demands = nil
		}
		for _, d := range h.demands {
			if _, ok := classDemand[d.Class]; !ok {
				classes = append(classes, d.Class)
			}
			classDemand[d.Class] += d.Rate
			f := flows[[2]string{d.Class, d.Tenant}]
			if f == nil {
				f = &flowDemand{class: d.Class, tenant: d.Tenant,
					holders: make([]*holderState, 0, len(l.holderNames)), claims: make([]claim, 0, len(l.holderNames))}
				flows[[2]string{d.Class, d.Tenant}] = f
			}
			f.demand += d.Rate
			f.holders, f.claims = append(f.holders, h), append(f.claims, claim{float64(max(1, d.Waiting)), d.Rate})
		}
	}
	sortedFlows := slices.SortedFunc(maps.Values(flows), func(a, b *flowDemand) int {
		return cmp.Or(cmp.Compare(a.class, b.class), cmp.Compare(a.tenant, b.tenant))
	})
	rules := classRules(&l.Link, classes)
	demands := make([]float64, len(rules))
	for i, r := range rules {
		demands[i] = classDemand[r.name]
	}
	total := l.Bytes - al.reserved(l)
	for range 3 { // a holder planned below its safe part still has that part, which the others must make up for
		classRates, guaranteed := divideByPriority(total, l.Bytes, rules, demands)
		l.saturated = nil
		for _, name := range l.holderNames {
			h := l.holders[name]
			h.planned, h.flows, h.guarantees = 0, nil, nil
			if n := len(h.demands); n > 0 { // new slices: responses refer to the previous ones
				h.flows, h.guarantees = make([]FlowRate, 0, n), make([]Guarantee, 0, n)
			}
		}
		for i, r := range rules {
			if classRates[i] < 0.95*demands[i] {
				l.saturated = append(l.saturated, r.name)
			}
			from := slices.IndexFunc(sortedFlows, func(f *flowDemand) bool { return f.class == r.name })
			to := max(from, 0)
			for from = to; to < len(sortedFlows) && sortedFlows[to].class == r.name; to++ {
			}
			claims := make([]claim, 0, to-from)
			for _, f := range sortedFlows[from:to] {
				claims = append(claims, claim{tenantWeight(al.tenantWeights, f.tenant), f.demand})
			}
			for j, rate := range weightedMaxMin(classRates[i], claims) {
				sortedFlows[from+j].distribute(rate, guaranteed[i]/max(classRates[i], 1e-9))
			}
		}
		missing, sum := 0.0, 0.0
		for _, name := range l.holderNames {
			h := l.holders[name]
			missing += max(0, h.safeRate-h.planned)
			sum += max(h.planned, h.safeRate)
		}
		// The rest that nobody demands is at hand for whoever needs it next.
		if unassigned := l.Bytes - al.reserved(l) - sum; unassigned >= 0 {
			for _, name := range l.holderNames {
				h := l.holders[name]
				h.planned = max(h.planned, h.safeRate) + unassigned/float64(len(l.holderNames))
			}
			return
		}
		total = max(0, l.Bytes-al.reserved(l)-missing)
	}
}

// flowDemand is the demand of one class and tenant over all processes that carry them.
type flowDemand struct {
	class, tenant string
	demand        float64
	holders       []*holderState
	claims        []claim
}

// distribute divides rate among the holders; guaranteedShare is the fraction of it that is guaranteed.
func (f *flowDemand) distribute(rate, guaranteedShare float64) {
	for i, r := range weightedMaxMin(rate, f.claims) {
		h := f.holders[i]
		h.planned += r
		h.flows = append(h.flows, FlowRate{f.class, f.tenant, r})
		if n := len(h.guarantees); n > 0 && h.guarantees[n-1].Class == f.class {
			h.guarantees[n-1].Rate += r * guaranteedShare
		} else {
			h.guarantees = append(h.guarantees, Guarantee{f.class, r * guaranteedShare})
		}
	}
}

// tenantWeight returns a tenant's weight among the others, 1 where none is set.
func tenantWeight(weights map[string]float64, tenant string) float64 {
	if w := weights[tenant]; w > 0 {
		return w
	}
	return 1
}
