package policy

import (
	"cmp"
	"time"
)

const (
	minReportLag     = 800 * time.Millisecond // a change of load takes this or longer to show in reports
	minSettleTime    = 2 * time.Second        // migrated connections are established elsewhere by then
	minRenewalAge    = 50 * time.Millisecond
	maxRenewalAge    = 2 * time.Second
	penaltyDecay     = 8 * time.Second // by a factor of e
	priorConnections = 10.0            // connections at a warming server that tell as much as other servers' load steps
	maxGuessedStep   = 0.2
	minLoadSamples   = 8   // loads are uneven: the mean of so many is right within a half
	maxLoadSamples   = 200 // a mean follows what changes within so many
)

// estimate is what a balancer works out of a server beside its load report.
type estimate struct {
	step    float64 // load that a mean connection adds; 0 if unknown
	placed  float64 // load that was placed here and does not show in the reading yet
	penalty float64 // grows with each overload and fades; the server's capacity left is divided by 1 + penalty
}

// fleetMeans are running means over all servers, used where one server's own figures are not known.
type fleetMeans struct {
	load        float64
	step        float64       // of servers that have warmed up
	connections float64       // over registered size, where reports hold no load
	renewalAge  time.Duration // a reading older than this has likely been renewed
}

// learnRenewal adapts the age at which reports renew: a report that has not changed was asked for too early.
func (m *fleetMeans) learnRenewal(unchanged bool) {
	m.renewalAge = max(minRenewalAge, m.renewalAge*98/100)
	if unchanged {
		m.renewalAge = min(maxRenewalAge, m.renewalAge*112/100)
	}
}

// reportLag is how long a change of load takes to show in reports.
func (b *Balancer) reportLag() time.Duration { return max(minReportLag, 3*b.means.renewalAge) }

// settleTime is how long it takes until migrated connections are established again and show.
func (b *Balancer) settleTime() time.Duration { return max(minSettleTime, 3*b.means.renewalAge) }

// estimatedLoad is a server's load as this balancer knows it.
func (b *Balancer) estimatedLoad(s *server) float64 {
	switch {
	case !b.config.ProbesEnabled: // only its own connections are known
		return float64(s.openConnections) / max(s.Weight, minLoadStep)
	case !s.reading.known:
		return b.means.load + s.estimate.placed
	}
	return s.reading.load + s.estimate.placed
}

// effectiveLoad is the load that the request finds at a server. If its group is established elsewhere only, the
// server would do the group's work once more: groups open at a further server only where there is capacity left.
func (b *Balancer) effectiveLoad(s *server, r *request) float64 {
	if s.groupConnections[r.Group] > 0 || b.groupConnections[r.Group] == 0 {
		return b.estimatedLoad(s)
	}
	return b.estimatedLoad(s) + tieMargin
}

// loadStep estimates the load that one mean connection adds to a server: from its own reports, or else from those
// of the others, since a server without an estimate would not be sampled for want of a budget, and so never be
// known.
func (b *Balancer) loadStep(s *server) float64 {
	capacity := b.warmUpCapacity(s)
	typicalLoad := b.means.load
	if capacity < 1 { // the budget of a warming server cannot rest on 0
		typicalLoad = max(typicalLoad, newcomerLoadLimit/2)
	}
	guess := typicalLoad * float64(len(b.servers.sorted)) / float64(b.config.Balancers*max(1, len(b.requests.established)))
	return cmp.Or(s.estimate.step, b.means.step/capacity, min(maxGuessedStep, guess)/capacity)
}

// learnStep takes what a load report tells of the load step. Reports are noisy, and those of a few connections tell
// little.
func (b *Balancer) learnStep(s *server, load, inFlight float64) {
	capacity := b.warmUpCapacity(s)
	telling := inFlight >= 3 && load > 0.02
	switch {
	case telling && capacity >= 1:
		s.estimate.step = cmp.Or(s.estimate.step, load/inFlight)/2 + load/inFlight/2
		if load <= 1 { // above that it tells how slow this server is
			b.means.step = 0.95*cmp.Or(b.means.step, s.estimate.step) + 0.05*s.estimate.step
		}
	case inFlight >= 0 && inFlight < 3 && capacity >= 1: // an empty server need not be slow any more
		s.estimate.step = 0
	case telling:
		prior := cmp.Or(b.means.step/capacity, load/inFlight)
		s.estimate.step = (load + priorConnections*prior) / (inFlight + priorConnections)
	}
}

// reportedLoad is the load of a report, from the best figure that it has. How many connections a server can hold is
// told nowhere: where reports hold nothing else, twice the mean of all counts as full, by registered size.
func (b *Balancer) reportedLoad(report LoadReport, weight float64) float64 {
	switch {
	case report.Load >= 0:
		return report.Load
	case report.Utilization >= 0:
		return report.Utilization
	}
	connections := max(0, report.InFlight) / max(weight, minLoadStep)
	b.means.connections += 0.05 * (connections - cmp.Or(b.means.connections, connections))
	b.means.connections = cmp.Or(b.means.connections, connections)
	return newcomerLoadLimit / 2 * connections / max(b.means.connections, 1)
}

// runningMean is a mean that follows changes.
type runningMean struct {
	value   float64
	samples int
}

func (m *runningMean) add(value float64) {
	m.samples = min(m.samples+1, maxLoadSamples)
	m.value += (value - m.value) / float64(m.samples)
}

// allClasses is the entry of classLoads for all connections.
const allClasses = ""

// classLoads are the mean loads of connections, by class.
type classLoads map[string]*runningMean

func (c classLoads) add(class string, load float64) {
	for _, name := range []string{class, allClasses} {
		if c[name] == nil {
			c[name] = &runningMean{}
		}
		c[name].add(load)
	}
}

// weight is the load of a class's connections over that of all, 1 until enough have told theirs.
func (c classLoads) weight(class string) float64 {
	if mean := c[class]; mean != nil && mean.samples >= minLoadSamples {
		return mean.value / c[allClasses].value
	}
	return 1
}

// takeConnectionLoad learns from the load that a connection tells. An idle one tells nothing of what it asks when
// it goes on.
func (b *Balancer) takeConnectionLoad(event ConnectionLoad) {
	r := b.requests.byID[event.ID]
	if r != nil && r.established && event.Load > 0 {
		b.classLoads.add(r.Class, event.Load)
	}
}
