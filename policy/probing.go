package policy

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	overloadedLoad    = 0.95                    // a server above this load is watched, and evacuated if it stays there
	delayMemory       = 1500 * time.Millisecond // while messages are late, their delay is told once a second
	maxProbeInterval  = 10 * time.Second        // of servers with connections from here
	ejectionStep      = 500 * time.Millisecond  // by which each failed probe lengthens the ejection, with jitter
	maxEjectionSteps  = 8
	faultyAfterFailed = 1 // a server is faulty after more failed probes in a row
)

// reading is a server's load as last read, by this balancer or by another one.
type reading struct {
	load            float64
	known           bool
	at              time.Duration
	overloadedSince time.Duration // 0 if it is not above overloadedLoad
	grace           time.Duration // another balancer's reading is good for so much longer than an own one
	peerAt          time.Duration // when the latest reading of another balancer was taken
	own             float64       // latest own reading, which is what others are told
	ownAt           time.Duration
}

// set takes a load that was read at a time.
func (r *reading) set(load float64, at time.Duration) {
	r.load = load
	r.known = true
	r.at = at
}

// probeState is the probing of a server, and its ejection as an outlier.
type probeState struct {
	pending      bool
	sentAt       time.Duration
	waiters      []*request    // for the pending probe
	failures     int           // probes without an answer, in a row
	ejectedUntil time.Duration // not sampled before this
}

// recovered ends the ejection of a server that has answered.
func (p *probeState) recovered() {
	p.failures = 0
	p.ejectedUntil = 0
}

// delayState is what a message lately took at a server, or the backlog that it reported.
type delayState struct {
	value time.Duration
	at    time.Duration
}

func (d *delayState) set(value, now time.Duration) {
	d.value = value
	d.at = now
}

// exceeds tells that messages lately took longer than the objective: a backlog has to drain first. An objective of
// 0 is unknown.
func (d *delayState) exceeds(objective, now time.Duration) bool {
	return objective > 0 && d.value > objective && now-d.at < delayMemory
}

// faulty tells that a server does not answer.
func (s *server) faulty() bool { return s.probe.failures > faultyAfterFailed }

// mostServersFaulty tells that so many servers look faulty that the fault lies elsewhere.
func (b *Balancer) mostServersFaulty() bool {
	return 2*b.servers.count((*server).faulty) > len(b.servers.sorted)
}

// needsProbe tells that a server should be read though no new request asks for it: for other balancers, or because
// it holds connections from here. At thin traffic nothing else reads it, and the closer to full it was, the sooner
// it can be overloaded.
func (b *Balancer) needsProbe(s *server) bool {
	if s.assigned && b.now-s.probe.sentAt > b.reportLag() {
		return true
	}
	interval := max(b.settleTime(), time.Duration((1-s.reading.load)*float64(maxProbeInterval)))
	return s.openConnections > 0 && b.now-max(s.probe.sentAt, s.reading.peerAt) > interval
}

// ensureReading returns true if there is a fresh reading of a server. Otherwise it sends a probe, unless one is
// pending, and has the request wait for it if it is not nil. An answer that told nothing counts as fresh too:
// errors must bring no more probes.
func (b *Balancer) ensureReading(s *server, r *request) bool {
	freshSince := b.now - b.reportLag()/2
	readingFresh := s.reading.known && s.reading.at >= freshSince-s.reading.grace
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
		b.act(Probe{s.ID})
	}
	return false
}

// probeAgain discards the reading of a server that may be faulty, and probes it at once.
func (b *Balancer) probeAgain(s *server) {
	s.reading.known = false
	s.probe.sentAt = -b.reportLag()
	b.ensureReading(s, nil)
}

// probeFinished takes a reading, or the lack of one.
func (b *Balancer) probeFinished(result ProbeResult) {
	s := b.servers.byID[result.Server]
	if s == nil {
		return
	}
	s.probe.pending = false
	if result.Result != ResultOK { // otherwise a server that is gone would be probed at each tick
		s.reading.overloadedSince = 0
	}
	unanswered := result.Result == ResultTimedOut || result.Result == ResultUnreachable
	switch {
	case result.Result == ResultOK && result.Report != nil:
		b.takeReport(s, *result.Report)
	case unanswered && !result.ServerActive: // an active server has only a slow path
		b.probeFailed(s)
	}
	waiters := s.probe.waiters
	s.probe.waiters = nil
	for _, r := range waiters {
		b.resumeAfterProbe(r, s, result.Result == ResultOK)
	}
	b.evacuateIfFaulty(s)
}

// probeFailed ejects a server for a while. One failure can be chance, but where connections are at stake it is
// probed again at once.
func (b *Balancer) probeFailed(s *server) {
	s.probe.failures++
	s.probe.ejectedUntil = b.now + b.jitter(time.Duration(min(s.probe.failures, maxEjectionSteps))*ejectionStep)
	if s.probe.failures == 1 && s.openConnections > 0 {
		b.probeAgain(s)
	}
}

// takeReport takes a server's own load report.
func (b *Balancer) takeReport(s *server, report LoadReport) {
	load := b.reportedLoad(report, s.Weight)
	if s.reading.known {
		b.means.learnRenewal(load == s.reading.load)
		s.estimate.placed *= b.shownShare(s, b.now)
	}
	s.probe.recovered()
	s.estimate.penalty *= math.Exp(-(b.now - s.reading.at).Seconds() / penaltyDecay.Seconds())
	s.reading.own = load
	s.reading.ownAt = b.now
	s.reading.grace = 0
	s.reading.set(load, b.now)
	if load > overloadedLoad {
		s.reading.overloadedSince = cmp.Or(s.reading.overloadedSince, b.now)
	} else {
		s.reading.overloadedSince = 0
	}
	if report.BacklogSeconds > 0 {
		s.delay.set(time.Duration(report.BacklogSeconds*float64(time.Second)), b.now)
	}
	b.learnStep(s, load, report.InFlight)
	b.means.load += 0.05 * (load - b.means.load)
}

// shownShare is the share of the placed load that does not show in a reading of that time.
func (b *Balancer) shownShare(s *server, at time.Duration) float64 {
	return math.Exp(-(at - s.reading.at).Seconds() / b.reportLag().Seconds())
}

// takePeerReading takes another balancer's reading with its age. The more capacity that server has left, the longer
// the reading is as good as an own one: what is sent meanwhile matters less. A server that is unreachable to others
// is probed, whatever is known of it.
func (b *Balancer) takePeerReading(event PeerReading) {
	s := b.servers.byID[event.Server]
	if s == nil {
		return
	}
	readAt := b.now - event.Age
	switch {
	case event.Unreachable && s.probe.failures == 0:
		b.probeAgain(s)
	case !event.Unreachable && readAt > s.reading.at:
		s.estimate.placed *= b.shownShare(s, readAt)
		s.reading.set(event.Load, readAt)
		s.reading.peerAt = b.now
		s.reading.grace = time.Duration(max(0, newcomerLoadLimit-event.Load) / newcomerLoadLimit * float64(minSettleTime))
	}
}

// takeMessageDelay takes what a message took on an established connection.
func (b *Balancer) takeMessageDelay(event MessageDelay) {
	s := b.servers.byID[event.Server]
	if s == nil {
		return
	}
	s.delay.set(event.Delay, b.now)
	if s.delay.exceeds(b.classes.messageObjective, b.now) {
		b.ensureReading(s, nil)
	}
}

// resumeAfterProbe goes on with a request that waited for the reading of a server.
func (b *Balancer) resumeAfterProbe(r *request, s *server, answered bool) {
	waits := b.requests.byID[r.ID] == r && !r.attemptPending && !r.migrating && (!r.established || r.server == s)
	switch {
	case !waits:
	case !r.established:
		if slices.Contains(r.sampled, s) {
			b.chooseWhenRead(r)
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

// ServerReading is a server's load as this balancer itself has read it.
type ServerReading struct {
	Server       string
	Load         float64
	At           time.Duration // 0 if it was never read
	FailedProbes int           // probes without an answer, in a row
}

// LoadReadings returns the readings of all servers that this balancer has read itself or found silent, by id.
// Readings of other balancers are not among them.
func (b *Balancer) LoadReadings() []ServerReading {
	var readings []ServerReading
	for _, s := range b.servers.sorted {
		if s.reading.ownAt > 0 || s.probe.failures > 0 {
			readings = append(readings, ServerReading{s.ID, s.reading.own, s.reading.ownAt, s.probe.failures})
		}
	}
	return readings
}
