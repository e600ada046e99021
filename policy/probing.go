package policy

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	overloadedLoad    = 0.95                    // a server above this load is monitored, and evacuated if it stays there
	delayMemory       = 1500 * time.Millisecond // validity of a message delay; late messages are reported once a second
	maxProbeInterval  = 10 * time.Second        // for servers with connections from this balancer
	ejectionStep      = 500 * time.Millisecond  // by which each failed probe lengthens the ejection, with jitter
	maxEjectionSteps  = 8
	faultyAfterFailed = 1 // consecutive failed probes; a server with more of them is faulty
)

// reading is the latest reading of a server's load, by this balancer or by another one.
type reading struct {
	load            float64
	known           bool
	at              time.Duration
	overloadedSince time.Duration // 0 if it is not above overloadedLoad
	extraValidity   time.Duration // time for which another balancer's reading stays fresh longer than an own reading
	peerAt          time.Duration // when the latest reading of another balancer was received
	ownLoad         float64       // latest reading of this balancer, which is reported to the others
	ownAt           time.Duration
}

// record records a load that was read at the given time.
func (r *reading) record(load float64, at time.Duration) {
	r.load = load
	r.known = true
	r.at = at
}

// probeState is the state of a server's probes, and of its ejection as an outlier.
type probeState struct {
	pending      bool
	sentAt       time.Duration
	waiters      []*request    // requests that wait for the pending probe
	failures     int           // consecutive probes without an answer
	ejectedUntil time.Duration // the server is not sampled before this time
}

// reset ends the ejection of a server that has answered.
func (p *probeState) reset() {
	p.failures = 0
	p.ejectedUntil = 0
}

// delayState is the latest message delay at a server, or the backlog that the server reported.
type delayState struct {
	value time.Duration
	at    time.Duration
}

func (d *delayState) record(value, now time.Duration) {
	d.value = value
	d.at = now
}

// exceeds reports whether recent messages took longer than the objective. If so, the server has to process a backlog
// first. An objective of 0 is unknown.
func (d *delayState) exceeds(objective, now time.Duration) bool {
	return objective > 0 && d.value > objective && now-d.at < delayMemory
}

// faulty reports whether a server does not answer probes.
func (s *server) faulty() bool { return s.probe.failures > faultyAfterFailed }

// mostServersFaulty reports whether so many servers look faulty that the fault is probably not in the servers.
func (b *Balancer) mostServersFaulty() bool {
	return 2*b.servers.count((*server).faulty) > len(b.servers.sorted)
}

// needsProbe reports whether a server should be probed although no new request needs a reading: for other balancers,
// or because this balancer has connections to it. Under light traffic nothing else probes it, and the closer to full
// it was, the sooner it can be overloaded.
func (b *Balancer) needsProbe(s *server) bool {
	if s.assigned && b.now-s.probe.sentAt > b.reportLag() {
		return true
	}
	interval := max(b.settleTime(), time.Duration((1-s.reading.load)*float64(maxProbeInterval)))
	return s.openConnections > 0 && b.now-max(s.probe.sentAt, s.reading.peerAt) > interval
}

// ensureReading reports whether there is a fresh reading of a server. If not, it sends a probe unless one is pending,
// and registers the request, if not nil, to wait for it. A recent answer without a load counts as fresh too, because
// errors must not cause additional probes.
func (b *Balancer) ensureReading(s *server, r *request) bool {
	freshSince := b.now - b.reportLag()/2
	readingFresh := s.reading.known && s.reading.at >= freshSince-s.reading.extraValidity
	answerFresh := !s.probe.pending && s.probe.sentAt >= freshSince
	if readingFresh || answerFresh || !b.config.ProbesEnabled || s.State == Gone {
		return true
	}
	if r != nil {
		s.probe.waiters = append(s.probe.waiters, r)
	}
	if !s.probe.pending {
		s.probe.pending = true
		s.probe.sentAt = b.now
		b.emit(Probe{s.ID})
	}
	return false
}

// reprobe discards the reading of a server that may be faulty, and probes the server at once.
func (b *Balancer) reprobe(s *server) {
	s.reading.known = false
	s.probe.sentAt = -b.reportLag()
	b.ensureReading(s, nil)
}

// probeFinished processes the result of a probe.
func (b *Balancer) probeFinished(result ProbeResult) {
	s := b.servers.byID[result.Server]
	if s == nil {
		return
	}
	s.probe.pending = false
	if result.Result != ResultOK { // otherwise a server that is down would be probed at every tick
		s.reading.overloadedSince = 0
	}
	unanswered := result.Result == ResultTimedOut || result.Result == ResultUnreachable
	switch {
	case result.Result == ResultOK && result.Report != nil:
		b.applyReport(s, *result.Report)
	case unanswered && !result.ServerActive: // if the server is active, only the path of the probe is slow
		b.probeFailed(s)
	}
	waiters := s.probe.waiters
	s.probe.waiters = nil
	for _, r := range waiters {
		b.resumeAfterProbe(r, s, result.Result == ResultOK)
	}
	b.evacuateIfFaulty(s)
}

// probeFailed ejects a server for some time. A single failure can be chance; if the server has connections from this
// balancer, it is probed again at once.
func (b *Balancer) probeFailed(s *server) {
	s.probe.failures++
	s.probe.ejectedUntil = b.now + b.jitter(time.Duration(min(s.probe.failures, maxEjectionSteps))*ejectionStep)
	if s.probe.failures == 1 && s.openConnections > 0 {
		b.reprobe(s)
	}
}

// applyReport applies a server's load report.
func (b *Balancer) applyReport(s *server, report LoadReport) {
	load := b.reportedLoad(report, s.Weight)
	if s.reading.known {
		b.means.adaptRenewalAge(load == s.reading.load)
		s.estimate.placed *= b.hiddenShare(s, b.now)
	}
	s.probe.reset()
	s.estimate.penalty *= math.Exp(-(b.now - s.reading.at).Seconds() / penaltyDecay.Seconds())
	s.reading.ownLoad = load
	s.reading.ownAt = b.now
	s.reading.extraValidity = 0
	s.reading.record(load, b.now)
	if load > overloadedLoad {
		s.reading.overloadedSince = cmp.Or(s.reading.overloadedSince, b.now)
	} else {
		s.reading.overloadedSince = 0
	}
	if report.BacklogSeconds > 0 {
		s.delay.record(time.Duration(report.BacklogSeconds*float64(time.Second)), b.now)
	}
	b.updateLoadStep(s, load, report.InFlight)
	b.means.load += 0.05 * (load - b.means.load)
}

// hiddenShare returns the fraction of the placed load that does not show yet in a reading taken at the given time.
func (b *Balancer) hiddenShare(s *server, at time.Duration) float64 {
	return math.Exp(-(at - s.reading.at).Seconds() / b.reportLag().Seconds())
}

// applyPeerReading applies another balancer's reading. The more free capacity the server has, the longer the reading
// stays fresh, because the requests sent since then matter less. A server that other balancers report as unreachable
// is probed at once, whatever its last reading.
func (b *Balancer) applyPeerReading(event PeerReading) {
	s := b.servers.byID[event.Server]
	if s == nil {
		return
	}
	readAt := b.now - event.Age
	switch {
	case event.Unreachable && s.probe.failures == 0:
		b.reprobe(s)
	case !event.Unreachable && readAt > s.reading.at:
		s.estimate.placed *= b.hiddenShare(s, readAt)
		s.reading.record(event.Load, readAt)
		s.reading.peerAt = b.now
		s.reading.extraValidity = time.Duration(
			max(0, newRequestLoadLimit-event.Load) / newRequestLoadLimit * float64(minSettleTime),
		)
	}
}

// recordMessageDelay records the delay of a message on an established connection.
func (b *Balancer) recordMessageDelay(event MessageDelay) {
	s := b.servers.byID[event.Server]
	if s == nil {
		return
	}
	s.delay.record(event.Delay, b.now)
	if s.delay.exceeds(b.classes.messageObjective, b.now) {
		b.ensureReading(s, nil)
	}
}

// resumeAfterProbe continues a request that waited for the reading of a server.
func (b *Balancer) resumeAfterProbe(r *request, s *server, answered bool) {
	waits := b.requests.byID[r.ID] == r && !r.attemptPending && !r.migrating && (!r.established || r.server == s)
	switch {
	case !waits:
	case !r.established:
		if slices.Contains(r.sampled, s) {
			b.chooseIfReadingsComplete(r)
		}
	case r.explorationTarget != nil:
		if answered {
			b.migrate(r, migration{target: r.explorationTarget, origin: s, originLoad: b.estimatedLoad(s)})
		}
		r.explorationTarget = nil
	case r.origin != nil:
		b.returnOrStay(r, answered)
	}
}

// ServerReading is this balancer's own reading of a server's load.
type ServerReading struct {
	Server       string
	Load         float64
	At           time.Duration // 0 if the load was never read
	FailedProbes int           // consecutive probes without an answer
}

// LoadReadings returns, sorted by id, this balancer's own readings of all servers that it has read or that have failed
// probes. Readings of other balancers are not included.
func (b *Balancer) LoadReadings() []ServerReading {
	var readings []ServerReading
	for _, s := range b.servers.sorted {
		if s.reading.ownAt > 0 || s.probe.failures > 0 {
			readings = append(readings, ServerReading{s.ID, s.reading.ownLoad, s.reading.ownAt, s.probe.failures})
		}
	}
	return readings
}
