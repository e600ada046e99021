package bandwidth

import (
	"math"
	"slices"
	"time"

	"golang.org/x/time/rate"

	"oatloft/internal/failpoint"
	"oatloft/internal/revision"
)

// Sizes and times of one quantum, and of the burst, at the link's current rate.
const (
	quantumTime        = 1 * time.Millisecond
	minQuantumBytes    = 128
	maxQuantumBytes    = 8 << 10
	burstTime          = 20 * time.Millisecond // of the burst, which is unused capacity that accumulated
	minBurstBytes      = 2 << 10               // so that a message of the first priority fits
	lowerPriorityShare = 0.35                  // fraction of burstTime that lower priorities may use
	// A flow that queues again within this time after it was served has more to send.
	requeueGap = 5 * time.Millisecond
	// A flow backlogged this long may demand any amount; one idle this long demands no more.
	minBacklogTime        = 50 * time.Millisecond
	minMeasureTime        = 100 * time.Millisecond  // shortest time that demand is measured over
	lowLatencyQuantumTime = 250 * time.Microsecond  // of a quantum while the first priority sends
	minLowerBurstTime     = 1500 * time.Microsecond // least burst of lower priorities while the first priority sends
	lowLatencyTime        = 500 * time.Millisecond  // how long both apply after the first priority last sent
	adaptInterval         = 100 * time.Millisecond  // between two adjustments of the lower priorities' burst
	// The lower priorities' burst grows if more than this fraction of the rate went unused, and shrinks below a third of
	// it.
	highLossShare = 0.015
)

// Shaper schedules the bytes sent over one link at one balancer. Its rate is the granted one until the grant expires,
// then the safe part. Each class first gets its guaranteed rate as far as it demands it. The rest is scheduled by
// priority, within a priority by weight, within a class by the tenants' weights, and within a flow in order of arrival.
// Most of the burst that accumulates while nobody sends is reserved for the first priority, so that its messages don't
// wait behind what others have just sent. Lower priorities lose no rate by this, since the reserve is filled only once.
//
// W is the type of the waiting senders. A Shaper is not safe for concurrent use. Times may come from any clock that
// never goes back.
type Shaper[W any] struct {
	link            revision.Link
	tenantWeights   map[string]float64
	safeRate        float64
	rate            float64
	grantExpiry     time.Duration // 0 if there is no grant
	tokens          float64
	lastRefill      time.Duration
	quantum         float64
	burst           float64
	reservedBurst   float64       // part of the burst reserved for earlier priorities, as the last priority sees it
	lowLatency      bool          // quanta are small, since the first priority has sent
	lowLatencyUntil time.Duration // when lowLatency ends
	lowerBurstTime  time.Duration // burst of lower priorities while lowLatency is set
	overflow        float64       // bytes that exceeded the burst while somebody waited, since the last adjustment
	nextAdapt       time.Duration // when lowerBurstTime is next adjusted
	classes         []*class[W]   // sorted by priority and name
	waiting         int
	measuredSince   time.Duration // start of the current demand measurement
	lastDemands     []Demand      // result of the previous measurement
	saturated       []string
	virtualTimes    map[int]float64 // by priority: that of the class served last
}

// class is the scheduling state of one class.
type class[W any] struct {
	classRule
	rank            float64 // relative rank of its priority, 0 for the first, 1 for the last
	guaranteed      *rate.Limiter
	planWeight      float64 // weight within its priority
	virtualTime     float64 // bytes served over weight
	flowVirtualTime float64 // that of the flow served last
	flows           []*Flow[W]
	waiting         int
}

// Flow is the queue of one class and tenant. It stays valid as long as its Shaper does.
type Flow[W any] struct {
	class           *class[W]
	tenant          string
	weight          float64
	virtualTime     float64
	queue           []W
	head            int
	measuredBytes   int64 // bytes since the last measurement
	totalBytes      int64
	waitingSince    time.Duration // when the queue last became non-empty
	waitTime        time.Duration // time since the last measurement in which the queue was not empty
	emptiedAt       time.Duration // when the queue last became empty
	backloggedSince time.Duration // since when the queue has been non-empty but for gaps of at most requeueGap
	maxWaiting      int           // most senders waiting at once since the last measurement
	lastCharged     int           // bytes last charged
	lastGuaranteed  int           // guaranteed bytes among these
}

// NewShaper returns a Shaper without a grant.
func NewShaper[W any](now time.Duration) *Shaper[W] {
	return &Shaper[W]{lastRefill: now, measuredSince: now, lowerBurstTime: minLowerBurstTime,
		virtualTimes: map[int]float64{}}
}

// SetLink applies the link's table entry, this process's safe part in bytes per second, and the tenants' weights.
// Waiting senders keep waiting.
func (s *Shaper[W]) SetLink(now time.Duration, l revision.Link, safeRate float64, tenantWeights map[string]float64) {
	s.refill(now)
	s.link, s.safeRate, s.tenantWeights = l, safeRate, tenantWeights
	s.sortClasses()
	if s.grantExpiry == 0 {
		s.fallBack()
	}
}

// sortClasses applies the table's rules and sorts the classes by them.
func (s *Shaper[W]) sortClasses() {
	names := make([]string, len(s.classes))
	for i, c := range s.classes {
		names[i] = c.name
	}
	var list []*class[W]
	ranks := 0
	for i, r := range classRules(&s.link, names) {
		if i > 0 && r.priority != list[i-1].priority {
			ranks++
		}
		c := &class[W]{guaranteed: rate.NewLimiter(0, maxQuantumBytes)}
		if j := slices.IndexFunc(s.classes, func(c *class[W]) bool { return c.name == r.name }); j >= 0 {
			c = s.classes[j]
		}
		c.classRule, c.rank = r, float64(ranks)
		for _, f := range c.flows {
			f.weight = tenantWeight(s.tenantWeights, f.tenant)
		}
		list = append(list, c)
	}
	for _, c := range list {
		c.rank /= float64(max(1, ranks))
	}
	s.classes = list
}

// Flow returns the queue of a class and tenant, and creates it if there is none.
func (s *Shaper[W]) Flow(name, tenant string) *Flow[W] {
	for range 2 {
		for _, c := range s.classes {
			if c.name != name {
				continue
			}
			for _, f := range c.flows {
				if f.tenant == tenant {
					return f
				}
			}
			f := &Flow[W]{class: c, tenant: tenant, weight: tenantWeight(s.tenantWeights, tenant)}
			c.flows = append(c.flows, f)
			return f
		}
		s.classes = append(s.classes,
			&class[W]{classRule: classRule{name: name}, guaranteed: rate.NewLimiter(0, maxQuantumBytes)})
		s.sortClasses()
		if s.grantExpiry == 0 {
			s.fallBack()
		} else {
			s.setGuarantees(s.lastRefill, nil)
		}
	}
	panic("links: class missing after it was added")
}

// ApplyGrant applies a grant until its expiry.
func (s *Shaper[W]) ApplyGrant(now time.Duration, g Grant, until time.Duration) {
	s.refill(now)
	if until <= now {
		return
	}
	s.grantExpiry, s.saturated = until, g.Saturated
	s.setRate(g.Rate)
	for _, c := range s.classes {
		c.planWeight = 0
	}
	for _, x := range g.Flows {
		for _, c := range s.classes {
			if c.name == x.Class {
				c.planWeight += x.Rate
			}
		}
	}
	for _, c := range s.classes { // a class that has just become active isn't in the plan yet
		c.planWeight = max(c.planWeight, c.weight*g.Rate/100)
	}
	s.setGuarantees(now, g.Guarantees)
}

// setGuarantees sets the classes' guaranteed rates: the planned ones first, then, as far as the rate goes, the minimum
// share of classes that the plan does not have.
func (s *Shaper[W]) setGuarantees(now time.Duration, guarantees []Guarantee) {
	left := s.rate
	for _, planned := range []bool{true, false} {
		for _, c := range s.classes {
			i := slices.IndexFunc(guarantees, func(x Guarantee) bool { return x.Class == c.name })
			if (i >= 0) != planned {
				continue
			}
			classRate := c.minShare * s.rate
			if planned {
				classRate = guarantees[i].Rate
			}
			classRate = max(0, min(classRate, left))
			left -= classRate
			c.guaranteed.SetLimitAt(limiterTime(now), rate.Limit(classRate))
			c.guaranteed.SetBurstAt(limiterTime(now),
				int(math.Ceil(max(quantumBytes(s.rate, quantumTime), classRate*burstTime.Seconds()))))
		}
	}
}

// fallBack applies the safe part, divided by the table alone.
func (s *Shaper[W]) fallBack() {
	s.grantExpiry, s.saturated = 0, nil
	s.setRate(s.safeRate)
	for _, c := range s.classes {
		c.planWeight = c.weight
	}
	s.setGuarantees(s.lastRefill, nil)
}

// setRate sets the rate and the burst that follows from it.
func (s *Shaper[W]) setRate(bytesPerSecond float64) {
	s.rate = bytesPerSecond
	s.burst = max(bytesPerSecond*burstTime.Seconds(), minBurstBytes)
	s.tokens = min(s.tokens, s.burst)
	s.setQuantum()
}

// setQuantum sets the quantum and the burst of lower priorities. A message of the first priority waits behind whatever
// lower priorities sent in one go, and a nearly saturated wire works off such a delay only slowly. So lower priorities
// get the smallest burst that this process can use, given how late it is scheduled on its processor.
func (s *Shaper[W]) setQuantum() {
	quantumTarget, lowerBurst := quantumTime, time.Duration(lowerPriorityShare*float64(burstTime))
	if s.lowLatency {
		quantumTarget, lowerBurst = lowLatencyQuantumTime, s.lowerBurstTime
	}
	s.quantum = quantumBytes(s.rate, quantumTarget)
	s.reservedBurst = s.burst - max(s.rate*lowerBurst.Seconds(), 2*s.quantum)
}

// quantumBytes returns the bytes of a quantum at a rate.
func quantumBytes(bytesPerSecond float64, target time.Duration) float64 {
	return min(max(bytesPerSecond*target.Seconds(), minQuantumBytes), maxQuantumBytes)
}

// limiterTime converts a time to the rate limiters' clock.
func limiterTime(t time.Duration) time.Time { return time.Unix(0, 0).Add(t) }

// refill adds the tokens up to now. It ends an expired grant and adapts the lower priorities' burst.
func (s *Shaper[W]) refill(now time.Duration) {
	// First of all, so that a process that was stopped sends nothing by an expired grant.
	if s.grantExpiry > 0 && now >= s.grantExpiry && !failpoint.On("links-held-on") {
		s.addTokens(s.grantExpiry)
		s.fallBack()
	}
	s.addTokens(now)
	lowLatency := now < s.lowLatencyUntil
	if lowLatency && now >= s.nextAdapt {
		switch lossShare := s.overflow / max(s.rate*adaptInterval.Seconds(), 1); {
		case lossShare > highLossShare:
			s.lowerBurstTime = min(s.lowerBurstTime*3/2, time.Duration(lowerPriorityShare*float64(burstTime)))
		case lossShare < highLossShare/3:
			s.lowerBurstTime = max(s.lowerBurstTime*19/20, minLowerBurstTime)
		}
		s.overflow, s.nextAdapt = 0, now+adaptInterval
		s.lowLatency = false
	}
	if lowLatency != s.lowLatency {
		s.lowLatency = lowLatency
		s.setQuantum()
	}
}

// addTokens adds the tokens up to now at the present rate.
func (s *Shaper[W]) addTokens(now time.Duration) {
	if now > s.lastRefill {
		s.tokens += s.rate * (now - s.lastRefill).Seconds()
		if excess := s.tokens - s.burst; excess > 0 {
			s.tokens = s.burst
			if s.waiting > 0 {
				s.overflow += excess
			}
		}
		s.lastRefill = now
	}
}

// available returns the bytes that a class may send now.
func (s *Shaper[W]) available(c *class[W]) float64 { return s.tokens - c.rank*s.reservedBurst }

// Take requests up to most bytes without waiting. It returns how many may pass now, or 0 if a waiting sender comes
// first or too little is available.
func (s *Shaper[W]) Take(now time.Duration, f *Flow[W], most int) int {
	s.refill(now)
	available := s.available(f.class)
	if s.waiting > 0 {
		for _, c := range s.classes {
			if c.waiting == 0 {
				continue
			}
			if c.priority <= f.class.priority {
				return 0
			}
			available -= max(0, min(c.guaranteed.TokensAt(limiterTime(now)), s.quantum)) // guaranteed first
		}
	}
	if available < min(s.quantum, float64(most)) {
		return 0
	}
	n := min(float64(most), available, maxQuantumBytes)
	if f.class.rank > 0 {
		n = min(n, s.quantum)
	}
	s.catchUp(f)
	return s.charge(f, int(n), now)
}

// Wait appends a sender to the flow's queue.
func (s *Shaper[W]) Wait(now time.Duration, f *Flow[W], w W) {
	if f.waiting() == 0 {
		if f.waitingSince = now; now-f.emptiedAt > requeueGap {
			f.backloggedSince = now
		}
	}
	s.catchUp(f)
	if f.head > 32 && f.head > len(f.queue)/2 {
		f.queue = slices.Delete(f.queue, 0, f.head)
		f.head = 0
	}
	f.queue = append(f.queue, w)
	f.maxWaiting = max(f.maxWaiting, f.waiting())
	f.class.waiting++
	s.waiting++
}

// catchUp advances the virtual time of a flow or class that was idle to that of the others: idle time earns no credit.
func (s *Shaper[W]) catchUp(f *Flow[W]) {
	if f.waiting() == 0 {
		f.virtualTime = max(f.virtualTime, f.class.flowVirtualTime)
	}
	if f.class.waiting == 0 {
		f.class.virtualTime = max(f.class.virtualTime, s.virtualTimes[f.class.priority])
	}
}

func (f *Flow[W]) waiting() int { return len(f.queue) - f.head }

// Next removes the sender that is served now from its queue and returns how many bytes it may send. ok is false if none
// may send yet.
func (s *Shaper[W]) Next(now time.Duration) (w W, f *Flow[W], n int, ok bool) {
	if s.waiting == 0 {
		return w, nil, 0, false
	}
	s.refill(now)
	var next *class[W]
	for _, c := range s.classes {
		if c.waiting > 0 && s.tokens >= s.quantum && c.guaranteed.TokensAt(limiterTime(now)) >= s.quantum {
			next = c
			break
		}
	}
	if next == nil {
		for _, c := range s.classes {
			if c.waiting == 0 || next != nil && c.priority != next.priority {
				continue
			}
			if next == nil || c.virtualTime < next.virtualTime {
				next = c
			}
		}
		if s.available(next) < s.quantum {
			return w, nil, 0, false
		}
	}
	for _, x := range next.flows {
		if x.waiting() > 0 && (f == nil || x.virtualTime < f.virtualTime) {
			f = x
		}
	}
	w = f.queue[f.head]
	var zero W
	f.queue[f.head] = zero
	f.head++
	next.waiting--
	s.waiting--
	if f.waiting() == 0 {
		f.waitTime += now - max(f.waitingSince, s.measuredSince)
		f.emptiedAt = now
		f.queue, f.head = f.queue[:0], 0
	}
	return w, f, s.charge(f, int(s.quantum), now), true
}

// charge takes n bytes from the link's tokens and the class's guarantee.
func (s *Shaper[W]) charge(f *Flow[W], n int, now time.Duration) int {
	s.tokens -= float64(n)
	if f.class.rank == 0 && s.classes[len(s.classes)-1].rank > 0 {
		s.lowLatencyUntil = now + lowLatencyTime
	}
	s.virtualTimes[f.class.priority], f.class.flowVirtualTime = f.class.virtualTime, f.virtualTime
	s.account(f, n)
	f.lastCharged, f.lastGuaranteed = n, 0
	if guaranteed := int(f.class.guaranteed.TokensAt(limiterTime(now))); guaranteed > 0 {
		f.lastGuaranteed = min(n, guaranteed)
		f.class.guaranteed.AllowN(limiterTime(now), f.lastGuaranteed)
	}
	return n
}

// account adds n bytes to the flow's counters and to the virtual times.
func (s *Shaper[W]) account(f *Flow[W], n int) {
	f.measuredBytes += int64(n)
	f.totalBytes += int64(n)
	f.class.virtualTime += float64(n) / max(f.class.planWeight, 1e-9)
	f.virtualTime += float64(n) / f.weight
}

// Return gives back bytes that were charged and not used.
func (s *Shaper[W]) Return(f *Flow[W], n int) {
	s.tokens = min(s.burst, s.tokens+float64(n))
	s.account(f, -n)
	if refund := f.lastGuaranteed - max(0, f.lastCharged-n); refund > 0 { // used bytes count as guaranteed first
		f.class.guaranteed.AllowN(limiterTime(s.lastRefill), -refund)
		f.lastGuaranteed -= refund
	}
}

// Charge charges bytes that passed without asking, such as first lines; later ones wait for them.
func (s *Shaper[W]) Charge(now time.Duration, f *Flow[W], n int) {
	s.refill(now)
	s.charge(f, n, now)
}

// NextDelay returns the time until Next may serve another sender, an hour if none waits.
func (s *Shaper[W]) NextDelay(now time.Duration) time.Duration {
	if s.waiting == 0 {
		return time.Hour
	}
	s.refill(now)
	seconds := math.Inf(1)
	first := 0
	for _, c := range s.classes {
		if c.waiting == 0 {
			continue
		}
		if first == 0 || c.priority == first {
			first = c.priority
			seconds = min(seconds, (s.quantum-s.available(c))/max(s.rate, 1))
		}
		guaranteed := (s.quantum - c.guaranteed.TokensAt(limiterTime(now))) / max(float64(c.guaranteed.Limit()), 1e-9)
		seconds = min(seconds, max(guaranteed, (s.quantum-s.tokens)/max(s.rate, 1)))
	}
	delay := time.Duration(min(max(seconds, 0), 1) * float64(time.Second))
	if s.grantExpiry > 0 {
		delay = min(delay, s.grantExpiry-now)
	}
	return max(delay, 100*time.Microsecond)
}

// Waiting returns the number of waiting senders.
func (s *Shaper[W]) Waiting() int { return s.waiting }

// Drain removes and returns all waiting senders. It is called when the link is no longer bounded.
func (s *Shaper[W]) Drain() (all []W) {
	for _, c := range s.classes {
		for _, f := range c.flows {
			all = append(all, f.queue[f.head:]...)
			f.queue, f.head = nil, 0
		}
		c.waiting = 0
	}
	s.waiting = 0
	return all
}

// Demand returns what each class and tenant would send without shaping, in bytes per second since the last measurement.
// A flow that was backlogged nearly all of the time may demand any amount, and is taken to demand the whole link.
func (s *Shaper[W]) Demand(now time.Duration) LinkRequest {
	s.refill(now)
	a := LinkRequest{Link: LinkName(s.link.From, s.link.To), SafeRate: s.safeRate}
	if s.grantExpiry > 0 {
		a.GrantedRate = s.rate
	}
	if now-s.measuredSince < minMeasureTime { // an early request: over so short a time the figures are chance
		a.Demands = s.lastDemands
		return a
	}
	span := (now - s.measuredSince).Seconds()
	for _, c := range s.classes {
		for _, f := range c.flows {
			waitTime := f.waitTime
			if f.waiting() > 0 {
				waitTime += now - max(f.waitingSince, s.measuredSince)
			}
			if f.measuredBytes > 0 || waitTime > 0 {
				waitShare := waitTime.Seconds() / span
				d := Demand{c.name, f.tenant, s.link.Bytes, f.maxWaiting}
				idle := now - f.emptiedAt
				if f.waiting() > 0 {
					idle = 0
				}
				switch {
				case idle <= requeueGap && now-f.backloggedSince >= minBacklogTime || waitShare >= 0.9 && idle < minBacklogTime:
				case waitShare >= 0.5 && idle >= minBacklogTime: // its backlog has ended
					d.Rate = minQuantumBytes
				default:
					d.Rate = min(s.link.Bytes, 1.1*float64(max(0, f.measuredBytes))/span/(1-waitShare)+float64(minQuantumBytes))
				}
				a.Demands = append(a.Demands, d)
			}
			f.measuredBytes, f.waitTime, f.maxWaiting = 0, 0, f.waiting()
		}
	}
	s.measuredSince, s.lastDemands = now, a.Demands
	return a
}

// Saturated returns the classes for which the link is saturated: as the grant reports, or without a grant those waiting
// here.
func (s *Shaper[W]) Saturated() []string {
	if s.grantExpiry > 0 {
		return s.saturated
	}
	var list []string
	for _, c := range s.classes {
		if c.waiting > 0 {
			list = append(list, c.name)
		}
	}
	return list
}

// LinkStats are a link's counters and state.
type LinkStats struct {
	Link    string           `json:"link"`
	Rate    float64          `json:"bytes_per_second"`
	Granted bool             `json:"lent"` // and not expired
	Waiting int              `json:"waiting"`
	Bytes   map[string]int64 `json:"bytes"` // by class
}

// Stats returns the counters and state.
func (s *Shaper[W]) Stats(now time.Duration) LinkStats {
	s.refill(now)
	f := LinkStats{Link: LinkName(s.link.From, s.link.To), Rate: math.Round(s.rate), Granted: s.grantExpiry > 0,
		Waiting: s.waiting, Bytes: map[string]int64{}}
	for _, c := range s.classes {
		for _, x := range c.flows {
			f.Bytes[c.name] += x.totalBytes
		}
	}
	return f
}
