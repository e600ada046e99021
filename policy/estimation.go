package policy

import (
	"cmp"
	"time"
)

const (
	minReportLag     = 800 * time.Millisecond // a change of load takes at least this long to show in reports
	minSettleTime    = 2 * time.Second        // after which migrated connections are established at other servers
	minRenewalAge    = 50 * time.Millisecond
	maxRenewalAge    = 2 * time.Second
	penaltyDecay     = 8 * time.Second // time in which a penalty falls by a factor of e
	priorConnections = 10.0            // connections at a warming server that weigh as much as the others' load steps
	maxFallbackStep  = 0.2             // load
	minLoadSamples   = 8               // loads vary: the mean of this many is off by at most a half
	maxLoadSamples   = 200             // the mean follows changes within this many samples
)

// estimate is a balancer's estimate of a server, in addition to the server's load report.
type estimate struct {
	step    float64 // load that a mean connection adds; 0 if unknown
	placed  float64 // load that this balancer has placed and that does not show in the reading yet
	penalty float64 // grows with each overload and decays; the server's free capacity is divided by 1 + penalty
}

// fleetMeans holds running means over all servers, used where the figures of a single server are unknown.
type fleetMeans struct {
	load        float64
	step        float64       // of servers that have warmed up
	connections float64       // per unit of registered size, for reports without a load
	renewalAge  time.Duration // a reading older than this has probably been renewed
}

// adaptRenewalAge adapts the estimated age at which reports renew. An unchanged report was requested too early.
func (m *fleetMeans) adaptRenewalAge(unchanged bool) {
	m.renewalAge = max(minRenewalAge, m.renewalAge*98/100)
	if unchanged {
		m.renewalAge = min(maxRenewalAge, m.renewalAge*112/100)
	}
}

// reportLag returns the time that a change of load takes to show in reports.
func (b *Balancer) reportLag() time.Duration { return max(minReportLag, 3*b.means.renewalAge) }

// settleTime returns the time until migrated connections are established again and show in reports.
func (b *Balancer) settleTime() time.Duration { return max(minSettleTime, 3*b.means.renewalAge) }

// estimatedLoad returns a server's load as far as this balancer knows it.
func (b *Balancer) estimatedLoad(s *server) float64 {
	switch {
	case !b.config.ProbesEnabled: // only this balancer's own connections are known
		return float64(s.openConnections) / max(s.Weight, minLoadStep)
	case !s.reading.known:
		return b.means.load + s.estimate.placed
	}
	return s.reading.load + s.estimate.placed
}

// effectiveLoad returns the load of a server as it counts for the request. If the request's group is established only
// at other servers, this server would do the group's work again, so a margin is added: groups are opened at another
// server only where there is spare capacity.
func (b *Balancer) effectiveLoad(s *server, r *request) float64 {
	if s.groupConnections[r.Group] > 0 || b.groupConnections[r.Group] == 0 {
		return b.estimatedLoad(s)
	}
	return b.estimatedLoad(s) + tieMargin
}

// loadStep estimates the load that one mean connection adds to a server, from the server's own reports or else from
// the other servers' reports. Without an estimate a server would get no warm-up budget, so it would never be sampled
// and its load step would never become known.
func (b *Balancer) loadStep(s *server) float64 {
	capacity := b.warmUpCapacity(s)
	typicalLoad := b.means.load
	if capacity < 1 { // the warm-up budget cannot be computed from a load of 0
		typicalLoad = max(typicalLoad, newRequestLoadLimit/2)
	}
	fallback := typicalLoad * float64(len(b.servers.sorted)) /
		float64(b.config.Balancers*max(1, len(b.requests.established)))
	return cmp.Or(s.estimate.step, b.means.step/capacity, min(maxFallbackStep, fallback)/capacity)
}

// updateLoadStep updates the load step from a load report. Reports are noisy, and those with few connections carry
// little information.
func (b *Balancer) updateLoadStep(s *server, load, inFlight float64) {
	capacity := b.warmUpCapacity(s)
	significant := inFlight >= 3 && load > 0.02
	switch {
	case significant && capacity >= 1:
		s.estimate.step = cmp.Or(s.estimate.step, load/inFlight)/2 + load/inFlight/2
		if load <= 1 { // a higher load measures how slow this server is, not the work of a connection
			b.means.step = 0.95*cmp.Or(b.means.step, s.estimate.step) + 0.05*s.estimate.step
		}
	case inFlight >= 0 && inFlight < 3 && capacity >= 1: // an almost empty server may no longer be slow
		s.estimate.step = 0
	case significant:
		prior := cmp.Or(b.means.step/capacity, load/inFlight)
		s.estimate.step = (load + priorConnections*prior) / (inFlight + priorConnections)
	}
}

// reportedLoad returns the load of a report, from the best figure in it. The number of connections that a server can
// hold is not reported. If reports carry only the number of connections, a server with twice the mean of all servers,
// relative to its registered size, counts as full.
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
	return newRequestLoadLimit / 2 * connections / max(b.means.connections, 1)
}

// runningMean is a mean in which recent samples keep a minimum weight, so that it follows changes.
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

// classLoads holds the mean loads of connections, by class.
type classLoads map[string]*runningMean

func (c classLoads) add(class string, load float64) {
	for _, name := range []string{class, allClasses} {
		if c[name] == nil {
			c[name] = &runningMean{}
		}
		c[name].add(load)
	}
}

// weight returns the mean load of a class's connections relative to that of all connections, or 1 until enough
// connections have reported their load.
func (c classLoads) weight(class string) float64 {
	if mean := c[class]; mean != nil && mean.samples >= minLoadSamples {
		return mean.value / c[allClasses].value
	}
	return 1
}

// recordConnectionLoad records the reported load of a connection. An idle connection is left out, because it gives no
// information on its load when it is active.
func (b *Balancer) recordConnectionLoad(event ConnectionLoad) {
	r := b.requests.byID[event.ID]
	if r != nil && r.established && event.Load > 0 {
		b.classLoads.add(r.Class, event.Load)
	}
}
