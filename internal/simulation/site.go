// Simulation of a generated deployment: one core reducer with its policy for each balancer, against simulated servers,
// discovery and clients. Each balancer parses its configuration and its endpoint lists with oatloft's own parsers, and
// receives only what it could receive through sockets. The rules that are checked are in evaluation.go.

package simulation

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"oatloft/internal/core"
	"oatloft/internal/generate"
	"oatloft/internal/platform"
	"oatloft/internal/proxy"
	"oatloft/policy"
)

const (
	settlePeriod         = 3 * time.Second  // before the evaluation starts
	runDuration          = 24 * time.Second // of the evaluated part of a run
	sampleInterval       = 100 * time.Millisecond
	historyInterval      = 50 * time.Millisecond // resolution of the load history for reports
	overloadDowntime     = 5 * time.Second
	maxRequestsPerClient = 12
)

// siteServer is a simulated server.
type siteServer struct {
	generate.Endpoint
	index, zoneIndex          int
	capacity                  float64 // connections of mean load that fill it
	speed                     float64 // fraction of its capacity that is available
	startedAt                 time.Duration
	state                     policy.ServerState // as known to discovery
	listVersion, startVersion int64              // list versions of its last change and of its last start
	unavailableVersion        int64              // list version of the first change since it was ready
	unavailableSince          time.Duration      // when discovery published that change; 0 if not yet
	down, hung                bool
	errorRate                 float64
	load                      float64
	attempts                  []*attempt
	history                   []loadSample // latest last
	warmUpArrivals            []warmUpArrival
	overloadedBefore          bool // it was overloaded before; later overloads are not reported as violations
	impaired, knownImpaired   bool // actual state, and state known to the baseline
}

type loadSample struct{ load, inFlight float64 }

type warmUpArrival struct {
	at       time.Duration
	load     float64
	informed bool
}

// attempt is one attempt of a request at a server.
type attempt struct {
	request          *request
	number           int
	server           *siteServer
	startedAt        time.Duration
	connected        bool
	sent, mayHaveRun bool // the request was sent; the server may have executed it
	inFlight         bool // the server has accepted it
	index            int  // in the server's list of attempts
	lastReceived     time.Duration
	awaitingReply    bool // data was sent to the server and not yet answered
}

// client is a client that wants to be connected for a time.
type client struct {
	key, group, tenant      string
	class                   *generate.Class
	classIndex, tenantIndex int
	zone                    int
	start, end              time.Duration
	requests                int
	request                 *request
	established             *attempt // the attempt by which it is connected
	// Server of its established connection, whose packets now arrive at another balancer.
	movedFrom *siteServer
	cause     lossCause
}

// request is one connection of a client to a balancer.
type request struct {
	id            string
	client        *client
	balancer      *balancerProcess
	handle        core.Handle
	deadline      time.Duration
	receivedAt    time.Duration
	answered      bool
	closed        bool
	attempt       *attempt
	attempts      int
	reestablished bool        // it names the server to which it was connected before the run
	mayHaveRunOn  *siteServer // the first server that may have executed it
	mayHaveRunAt  time.Duration
}

// balancerProcess is one process of a balancer.
type balancerProcess struct {
	slot, zone            int
	reducer               *core.Reducer
	dead, closedToClients bool // closedToClients: it gets no new requests
	startedAt             time.Duration
	requests              map[core.Handle]*request
	requestOrder          []*request
	watch, previousWatch  *watch
	watchRequestedAt      time.Duration
	watchFailed           bool
	watchSilentSince      time.Duration
	receivedVersion       int64
	notified              map[*siteServer]time.Duration // when it was notified that a server is unavailable
	shuttingDown          bool
}

type watch struct {
	reader         platform.WatchReader
	open, answered bool
	silent         bool
	version        int64
}

// Site is a running simulation of a deployment.
type Site struct {
	Deployment generate.Deployment
	// Trace is called before a balancer's effects are applied; it may be nil.
	Trace                           func(slot int, now time.Duration, effects []core.Effect)
	Evaluation                      Evaluation
	baseline                        bool
	defect                          Defect
	now                             time.Duration
	epoch                           time.Time
	rng                             *rand.Rand
	scheduled                       [][]func()
	ticks                           int
	servers                         []*siteServer
	listVersion                     int64 // version of the endpoint list
	published                       []publication
	discoveryDown                   bool // discovery is unavailable
	discoveryUpAt                   time.Duration
	balancers                       []*balancerProcess
	trafficWeights                  []float64
	clients                         []*client
	lastID                          int
	lastHandle                      core.Handle
	trafficFactor, slowConnectShare float64
	maxConnectDelay                 time.Duration
}

type publication struct {
	version  int64
	server   *siteServer
	endpoint generate.Endpoint
}

func (s *Site) schedule(d time.Duration, f func()) {
	at := s.ticks + max(1, int(d/core.TickInterval))
	for len(s.scheduled) <= at {
		s.scheduled = append(s.scheduled, nil)
	}
	s.scheduled[at] = append(s.scheduled[at], f)
}

// randomDuration returns a random duration between low and high.
func (s *Site) randomDuration(low, high time.Duration) time.Duration {
	return low + time.Duration(s.rng.Float64()*float64(high-low))
}

// Defect is a deliberate defect of the balancers: Alter changes their configuration, UpdateDelay delays list updates.
type Defect struct {
	Alter       func(*core.Config)
	UpdateDelay time.Duration
}

// NewSite starts a deployment with its balancers or, if baseline is set, with one policy in place of all of them that
// knows the true state with a delay.
func NewSite(d generate.Deployment, baseline bool, defect Defect) (*Site, error) {
	s := &Site{Deployment: d, baseline: baseline, defect: defect, now: time.Hour, epoch: time.Unix(1_700_000_000, 0),
		rng: rand.New(rand.NewPCG(uint64(d.Seed), 77)), trafficFactor: 1}
	s.Evaluation.reset(s)
	for i := range d.Servers {
		s.addServer(s.Deployment.ServerZone(i), -1)
	}
	for i := range d.Balancers {
		s.trafficWeights = append(s.trafficWeights, 1)
		if i == 0 {
			s.trafficWeights[0] = d.TrafficSkew
		}
		s.balancers = append(s.balancers, nil)
		if err := s.startBalancer(i, true); err != nil {
			return nil, err
		}
	}
	connections := int(d.Load * d.ServerCapacity * float64(d.Servers))
	for i := range connections {
		c := s.newClient(s.now)
		at := s.servers[i%len(s.servers)]
		s.schedule(s.randomDuration(0, time.Second), func() { s.connect(c, at) })
	}
	rate := float64(connections) / d.ConnectionLifetime.Seconds()
	for step := 0; step < int((settlePeriod+runDuration)/core.TickInterval); step++ {
		s.schedule(time.Duration(step)*core.TickInterval, func() {
			for n := int(rate*s.trafficFactor*core.TickInterval.Seconds() + s.rng.Float64()); n > 0; n-- {
				c := s.newClient(s.now)
				s.connect(c, nil)
			}
		})
	}
	for _, incident := range d.Incidents {
		s.schedule(incident.At, func() { s.startIncident(incident) })
	}
	return s, nil
}

func (s *Site) newClient(start time.Duration) *client {
	c := &client{key: fmt.Sprint("k", s.lastID), start: start,
		end: start + time.Duration(s.rng.ExpFloat64()*float64(s.Deployment.ConnectionLifetime)) +
			500*time.Millisecond,
		tenantIndex: -1}
	s.lastID++
	at := s.rng.Float64()
	for c.classIndex = 0; c.classIndex < len(s.Deployment.Classes)-1 &&
		at > s.Deployment.Classes[c.classIndex].RequestShare; c.classIndex++ {
		at -= s.Deployment.Classes[c.classIndex].RequestShare
	}
	c.class = &s.Deployment.Classes[c.classIndex]
	at = s.rng.Float64()
	for i, share := range s.Deployment.TenantShares {
		if at < share {
			c.tenantIndex, c.tenant = i, s.Deployment.Tenants[i].Name
			break
		}
		at -= share
	}
	if s.Deployment.Groups > 0 && s.rng.IntN(2) == 0 {
		c.group = fmt.Sprint("g", s.rng.IntN(s.Deployment.Groups))
	}
	c.zone = s.Deployment.BalancerZone(s.rng.IntN(s.Deployment.Balancers))
	s.clients = append(s.clients, c)
	return c
}

func (s *Site) addServer(zone int, startedAt time.Duration) *siteServer {
	n := len(s.servers)
	weight := []float64{1, 1, 1.5, 0.6}[n%4]
	srv := &siteServer{Endpoint: generate.Endpoint{
		ID: fmt.Sprintf("s-%04x%02d", (n*40503+s.Deployment.Seed*977)%65536, n%100), Zone: s.Deployment.ZoneName(zone),
		Class: "m", Cell: n % s.Deployment.Cells, Health: "ready", Weight: weight},
		index: n, zoneIndex: zone, capacity: weight * s.Deployment.ServerCapacity, speed: 1, startedAt: startedAt,
		history: []loadSample{{}}}
	srv.Address = fmt.Sprintf("10.0.%d.%d:9000", n/250, n%250)
	if startedAt > 0 {
		srv.StartedAtMS = s.unixMillis(startedAt)
	}
	s.servers = append(s.servers, srv)
	s.changeState(srv, policy.Live, startedAt > 0)
	return srv
}

func (s *Site) unixMillis(at time.Duration) float64 {
	return float64(s.epoch.Add(at).UnixMicro()) / 1000
}

// warmUpFactor returns the available fraction of a server's capacity during its warm-up, and 1 after it.
func (s *Site) warmUpFactor(srv *siteServer) float64 {
	if srv.startedAt < 0 || s.now-srv.startedAt >= s.Deployment.WarmUpDuration {
		return 1
	}
	return s.Deployment.WarmUpInitialCapacity +
		(1-s.Deployment.WarmUpInitialCapacity)*float64(s.now-srv.startedAt)/float64(s.Deployment.WarmUpDuration)
}

func (s *Site) currentCapacity(srv *siteServer) float64 {
	return srv.capacity * srv.speed * s.warmUpFactor(srv)
}

func (s *Site) loadRatio(srv *siteServer) float64 { return srv.load / s.currentCapacity(srv) }

// responsive reports whether a server replies.
func (srv *siteServer) responsive() bool { return !srv.down && !srv.hung }

// changeState changes a server's state in discovery, which publishes it after the discovery delay.
func (s *Site) changeState(srv *siteServer, to policy.ServerState, started bool) {
	srv.state = to
	srv.Health = []string{"ready", "draining", "gone"}[to]
	s.listVersion++
	version, entry := s.listVersion, srv.Endpoint
	if s.ticks > 0 {
		s.schedule(s.Deployment.DiscoveryDelay, func() { s.publish(publication{version, srv, entry}, started) })
		return
	}
	s.published = append(s.published, publication{version, srv, entry})
	srv.listVersion = version
}

// publish writes a change to all open watches.
func (s *Site) publish(pub publication, started bool) {
	if s.discoveryDown {
		s.schedule(max(core.TickInterval, s.discoveryUpAt-s.now), func() { s.publish(pub, started) })
		return
	}
	pub.version = int64(len(s.published)) + 1
	s.published = append(s.published, pub)
	pub.server.listVersion = pub.version
	if started {
		pub.server.startVersion = pub.version
	}
	if pub.endpoint.Health == "ready" {
		pub.server.unavailableVersion, pub.server.unavailableSince = 0, 0
	} else if pub.server.unavailableSince == 0 {
		pub.server.unavailableVersion, pub.server.unavailableSince = pub.version, s.now
	}
	body := s.Deployment.ListJSON(pub.version, false, []generate.Endpoint{pub.endpoint})
	for _, b := range s.balancers {
		if w := b.watch; w != nil && w.open && !w.silent && !b.dead {
			s.deliverWatchData(b, w, httpChunk(body), pub.version)
		}
	}
}

func httpChunk(body []byte) []byte { return fmt.Appendf(nil, "%x\r\n%s\r\n", len(body), body) }

// fullList returns the endpoint list as published by discovery.
func (s *Site) fullList() []byte {
	at, endpoints := map[*siteServer]int{}, []generate.Endpoint{}
	for _, pub := range s.published {
		if i, ok := at[pub.server]; ok {
			endpoints[i] = pub.endpoint
		} else {
			at[pub.server] = len(endpoints)
			endpoints = append(endpoints, pub.endpoint)
		}
	}
	endpoints = slices.DeleteFunc(endpoints, func(endpoint generate.Endpoint) bool { return endpoint.Health == "gone" })
	return s.Deployment.ListJSON(int64(len(s.published)), true, endpoints)
}

// startBalancer starts a new process of a balancer.
func (s *Site) startBalancer(slot int, first bool) error {
	zone := s.Deployment.BalancerZone(slot)
	var cachedList []byte
	if first || s.Deployment.CachedList {
		cachedList = s.fullList()
	}
	cfg, err := proxy.ParseConfig(s.Deployment.ConfigJSON(zone, s.rng.Uint64()>>2, cachedList), proxy.Overrides{})
	if err != nil {
		return err
	}
	if s.defect.Alter != nil {
		s.defect.Alter(&cfg.Core)
	}
	reducer, err := core.New(cfg.Core)
	if err != nil {
		return err
	}
	b := &balancerProcess{slot: slot, zone: zone, reducer: reducer, startedAt: s.now, watchRequestedAt: s.now,
		requests: map[core.Handle]*request{}, notified: map[*siteServer]time.Duration{}}
	s.balancers[slot] = b
	if cachedList != nil {
		list, err := platform.ParseServerList(cachedList, s.epoch)
		if err != nil {
			return err
		}
		list.Kind = policy.ListCached
		s.recordNotification(b, int64(len(s.published)))
		s.dispatch(b, list)
	}
	s.dispatch(b, core.Tick{})
	return nil
}

// dispatch passes an event to a balancer, or schedules it if the defect delays updates.
func (s *Site) dispatch(b *balancerProcess, ev core.Event) {
	if b.dead || s.baseline {
		return
	}
	if list, ok := ev.(core.EndpointsListed); ok && s.defect.UpdateDelay > 0 && list.Kind == policy.ListDelta {
		s.schedule(s.defect.UpdateDelay, func() { s.stepBalancer(b, list) })
		return
	}
	s.stepBalancer(b, ev)
}

func (s *Site) stepBalancer(b *balancerProcess, ev core.Event) {
	if b.dead {
		return
	}
	effects := b.reducer.Step(s.now, ev, nil)
	if s.Trace != nil {
		s.Trace(b.slot, s.now, effects)
	}
	for _, e := range effects {
		s.applyEffect(b, e)
	}
}

// Run runs the deployment to its end.
func (s *Site) Run() {
	for end := s.now + settlePeriod + runDuration; s.now < end; {
		s.now += core.TickInterval
		s.ticks++
		if s.ticks < len(s.scheduled) {
			list := s.scheduled[s.ticks]
			s.scheduled[s.ticks] = nil
			for _, f := range list {
				f()
			}
		}
		if s.ticks%int(historyInterval/core.TickInterval) == 0 {
			for _, srv := range s.servers {
				srv.history = append(srv.history, loadSample{s.loadRatio(srv), float64(len(srv.attempts))})
			}
		}
		if s.ticks%int(sampleInterval/core.TickInterval) == 0 {
			s.Evaluation.sample(s)
			if s.baseline {
				s.updateBaseline()
			}
		}
		if !s.baseline {
			for _, b := range s.balancers {
				s.dispatch(b, core.Tick{})
			}
		}
	}
}

// connect makes a client send a request to a balancer. If not nil, at is the server of its connection before the run.
func (s *Site) connect(c *client, at *siteServer) {
	if s.now >= c.end || c.request != nil || c.established != nil {
		return
	}
	if s.baseline {
		s.placeByBaseline(c, at)
		return
	}
	b := s.pickBalancer(c.zone)
	if b == nil {
		c.cause = lossNoBalancer
		s.schedule(100*time.Millisecond, func() { s.connect(c, at) })
		return
	}
	s.lastHandle++
	s.lastID++
	c.requests++
	timeout := time.Duration((0.5 + 0.5*s.rng.Float64()) * float64(c.class.ClientTimeout)).Truncate(time.Millisecond)
	r := &request{id: fmt.Sprint("r", s.lastID), client: c, balancer: b, handle: s.lastHandle, deadline: s.now + timeout,
		receivedAt: s.now}
	c.request, c.cause = r, lossConnecting
	b.requests[r.handle] = r
	b.requestOrder = append(b.requestOrder, r)
	ev := core.RequestReceived{Client: r.handle,
		Request: policy.Request{ID: r.id, Key: c.key, Group: c.group, Class: c.class.Name, Tenant: c.tenant,
			Timeout: timeout, MidFlow: c.movedFrom != nil}}
	if r.reestablished = at != nil; r.reestablished {
		ev.EstablishedServer = at.Endpoint.ID
	}
	s.Evaluation.requests++
	s.dispatch(b, ev)
	s.schedule(timeout+core.TickInterval, func() { s.Evaluation.checkDeadline(s, r) })
}

// pickBalancer returns a random balancer of a zone, or of any zone if that zone has none.
func (s *Site) pickBalancer(zone int) *balancerProcess {
	for _, anyZone := range []bool{false, true} {
		total := 0.0
		for i, b := range s.balancers {
			if !b.dead && !b.closedToClients && (anyZone || b.zone == zone) {
				total += s.trafficWeights[i]
			}
		}
		rest := s.rng.Float64() * total
		for i, b := range s.balancers {
			if !b.dead && !b.closedToClients && (anyZone || b.zone == zone) {
				if rest -= s.trafficWeights[i]; rest <= 0 {
					return b
				}
			}
		}
	}
	return nil
}

// retry makes a client connect again after a delay.
func (s *Site) retry(c *client, wait time.Duration) {
	if c.requests > maxRequestsPerClient && c.cause != lossMigrating && c.cause != lossDisconnected {
		return // the client gives up
	}
	s.schedule(wait, func() { s.connect(c, nil) })
}

// release removes an attempt from its server.
func (s *Site) release(a *attempt) {
	if a == nil || !a.inFlight {
		return
	}
	a.inFlight = false
	srv := a.server
	last := len(srv.attempts) - 1
	srv.attempts[a.index] = srv.attempts[last]
	srv.attempts[a.index].index = a.index
	srv.attempts = srv.attempts[:last]
	if srv.load -= a.request.client.class.RelativeLoad; last == 0 {
		srv.load = 0
	}
}

func (s *Site) occupy(a *attempt) {
	a.inFlight, a.index = true, len(a.server.attempts)
	a.server.attempts = append(a.server.attempts, a)
	a.server.load += a.request.client.class.RelativeLoad
}

// endRequest ends a client's connection to its balancer. The client connects again after a delay if it still wants to
// be connected.
func (s *Site) endRequest(r *request, cause lossCause, delay time.Duration) {
	if r.closed {
		return
	}
	r.closed = true
	s.release(r.attempt)
	r.attempt = nil
	delete(r.balancer.requests, r.handle)
	c := r.client
	if c.request == r {
		c.request, c.established, c.cause = nil, nil, cause
		s.retry(c, delay)
	}
}

// applyEffect applies an effect of a balancer.
func (s *Site) applyEffect(b *balancerProcess, e core.Effect) {
	switch e := e.(type) {
	case core.Probe:
		s.answerProbe(b, e)
	case core.Dial:
		s.connectAttempt(b, e)
	case core.SendRequest:
		s.sendRequest(b, e)
	case core.CloseAttempt:
		if r := b.requests[e.Client]; r != nil {
			if a := r.attempt; a != nil {
				s.recordPossibleRun(r, a)
			}
			s.release(r.attempt)
			r.attempt = nil
		}
	case core.Answer:
		r := b.requests[e.Client]
		s.Evaluation.checkAnswer(s, r, &e)
		if r == nil {
			return
		}
		cause := s.Evaluation.recordRejection(s, r, e.Rejected)
		wait := s.randomDuration(s.Deployment.RetryDelay/2, s.Deployment.RetryDelay)
		if e.RetryAfter > 0 {
			wait = e.RetryAfter
		}
		s.endRequest(r, cause, wait)
	case core.Forward:
		r := b.requests[e.Client]
		switch {
		case r == nil || r.attempt == nil:
		case e.ToServer:
			s.receiveData(r, r.attempt)
		case !r.answered:
			s.Evaluation.checkAnswer(s, r, nil)
			r.client.established = r.attempt
		}
	case core.CloseServer:
		if r := b.requests[e.Client]; r != nil {
			s.release(r.attempt)
			r.attempt = nil
			if e.Reason == core.CloseEOF && r.client.end > s.now { // the client still waits for the server to close
				s.endRequest(r, lossDisconnected, s.Deployment.ReconnectDelay)
			}
		}
	case core.CloseClient:
		if r := b.requests[e.Client]; r != nil {
			s.endRequest(r, lossDisconnected, s.randomDuration(s.Deployment.ReconnectDelay/2, s.Deployment.ReconnectDelay))
		}
	case core.MigrateClient:
		r := b.requests[e.Client]
		if r == nil || r.client.established == nil {
			s.Evaluation.violation(s, "moved", "client %d is migrated but not connected", e.Client)
			return
		}
		s.Evaluation.migrations++
		s.endRequest(r, lossMigrating, s.randomDuration(s.Deployment.ReconnectDelay/2, s.Deployment.ReconnectDelay))
	case core.Watch:
		s.openWatch(b, e.Version)
	case core.StopWatch:
		b.watch = nil
	case core.Exit:
		s.exitBalancer(b)
	}
}

func (s *Site) recordPossibleRun(r *request, a *attempt) {
	if a.mayHaveRun && r.mayHaveRunOn == nil {
		r.mayHaveRunOn, r.mayHaveRunAt = a.server, a.startedAt
	}
}

func (s *Site) serverByID(id string) *siteServer {
	for _, srv := range s.servers {
		if srv.Endpoint.ID == id {
			return srv
		}
	}
	return nil
}

func (s *Site) latency(b *balancerProcess, srv *siteServer) time.Duration {
	if b.zone != srv.zoneIndex {
		return s.randomDuration(s.Deployment.NetworkLatency/2, s.Deployment.NetworkLatency)
	}
	return s.Deployment.NetworkLatency / 8
}

func (s *Site) answerProbe(b *balancerProcess, e core.Probe) {
	srv := s.serverByID(e.Server)
	s.Evaluation.recordProbe(s, b)
	wait, ev := s.latency(b, srv)*2+s.randomDuration(time.Millisecond, 10*time.Millisecond),
		core.ProbeFinished{Server: e.Server}
	switch {
	case srv.hung, srv.down && srv.state != policy.Gone:
		wait, ev.Result = e.Timeout, policy.ResultTimedOut
	case srv.down:
		ev.Result = policy.ResultUnreachable
	case s.rng.Float64() < srv.errorRate/4:
		ev.Result = policy.ResultFailed
	default:
		samplesAgo := int((s.Deployment.ReportDelay + s.randomDuration(0, s.Deployment.ReportInterval)) / historyInterval)
		sample := srv.history[max(0, len(srv.history)-1-samplesAgo)]
		ev.Report = platform.ParseStats([]byte(s.Deployment.ReportLine(
			max(0, sample.load*(1+reportNoise*s.rng.NormFloat64())), sample.inFlight)))
	}
	s.schedule(wait, func() { s.dispatch(b, ev) })
}

func (s *Site) connectAttempt(b *balancerProcess, e core.Dial) {
	r, srv := b.requests[e.Client], s.serverByID(e.Server)
	if r == nil || srv == nil {
		s.Evaluation.violation(s, "nobody", "attempt for unknown client %d or server %s", e.Client, e.Server)
		return
	}
	if r.attempt != nil {
		s.Evaluation.violation(s, "one attempt at a time", "%s connects to %s while an attempt at %s is in progress", r.id,
			e.Server, r.attempt.server.Endpoint.ID)
		s.release(r.attempt)
	}
	s.Evaluation.recordConnect(s, r)
	a := &attempt{request: r, number: e.Attempt, server: srv, startedAt: s.now}
	r.attempt = a
	delay, outcome := s.latency(b, srv)+time.Millisecond,
		core.Event(core.AttemptConnected{Client: e.Client, Attempt: e.Attempt})
	if s.rng.Float64() < s.slowConnectShare {
		delay += s.randomDuration(0, s.maxConnectDelay)
	}
	if srv.down {
		if srv.state != policy.Gone {
			outcome = nil // a lost machine does not respond
		} else {
			outcome = core.AttemptClosed{Client: e.Client, Attempt: e.Attempt, Reason: core.CloseRefused}
		}
	}
	if outcome != nil {
		s.schedule(delay, func() {
			if r.attempt != a {
				return
			}
			if _, connected := outcome.(core.AttemptConnected); !connected {
				r.attempt = nil
			} else if srv.down {
				return
			}
			a.connected = true
			s.dispatch(b, outcome)
		})
	}
	if !r.reestablished {
		s.schedule(s.Deployment.ConnectTimeout+2*core.TickInterval, func() {
			if r.attempt == a && !a.connected && !b.dead {
				s.Evaluation.violation(s, "connect time-out", "%s has been connecting to %s for longer than %v", r.id, e.Server,
					s.Deployment.ConnectTimeout)
			}
		})
	}
}

// sendRequest sends a request to its server. From then on the server may execute it.
func (s *Site) sendRequest(b *balancerProcess, e core.SendRequest) {
	r := b.requests[e.Client]
	if r == nil || r.attempt == nil {
		s.Evaluation.violation(s, "nobody", "request sent without an attempt for client %d", e.Client)
		return
	}
	a := r.attempt
	s.Evaluation.checkSend(s, b, r, a)
	a.sent, a.mayHaveRun, a.startedAt = true, true, s.now // the TTL of an idempotency key starts here
	s.schedule(core.TickInterval, func() {
		if r.attempt != a {
			return
		}
		if !s.receiveRequest(b, a) {
			return
		}
		s.dispatch(b, core.RequestSent{Client: e.Client, Attempt: e.Attempt})
	})
}

// endAttempt notifies a balancer of the end of an attempt.
func (s *Site) endAttempt(a *attempt, reason core.CloseReason, mayHaveRun bool) {
	r := a.request
	if r.attempt != a {
		return
	}
	if s.baseline {
		s.disconnect(a, lossMigrating)
		return
	}
	if mayHaveRun {
		s.recordPossibleRun(r, a)
	}
	s.release(a)
	if r.attempt = nil; r.client.established == a {
		r.client.established = nil
	}
	s.dispatch(r.balancer, core.AttemptClosed{Client: r.handle, Attempt: a.number, Reason: reason})
}

// receiveRequest makes a server accept or reject a request.
func (s *Site) receiveRequest(b *balancerProcess, a *attempt) bool {
	srv, r := a.server, a.request
	latency := s.latency(b, srv)
	if s.warmUpFactor(srv) < 1 && !srv.down {
		s.Evaluation.recordWarmUpArrival(s, b, srv, a)
	}
	movedFrom := r.client.movedFrom
	r.client.movedFrom = nil
	switch {
	case srv.down && srv.state == policy.Gone:
		s.schedule(latency, func() { s.endAttempt(a, core.CloseReset, true) })
		return true
	case srv.down || srv.hung:
		return true
	case movedFrom != nil && movedFrom != srv: // the connection is established at another server
		s.schedule(latency, func() { s.endAttempt(a, core.CloseReset, true) })
		return true
	case movedFrom == nil && (srv.state != policy.Live || srv.load > 1.3*s.currentCapacity(srv)):
		a.mayHaveRun = false
		s.schedule(latency, func() { s.endAttempt(a, core.CloseRejected, false) })
		return true
	}
	s.occupy(a)
	if s.rng.Float64() < srv.errorRate {
		reason := []core.CloseReason{core.CloseFailed, core.CloseReset}[s.rng.IntN(2)]
		s.schedule(latency+s.Deployment.SetupTime, func() { s.endAttempt(a, reason, true) })
		return true
	}
	setup := time.Duration(float64(s.Deployment.SetupTime) * (0.5 + s.rng.Float64()) *
		(1 + 8*max(0, s.loadRatio(srv)-0.8)) / max(0.1, srv.speed))
	s.schedule(latency+setup, func() { s.acceptAttempt(a) })
	return true
}

// acceptAttempt makes a server accept an attempt. A hung server does so when it recovers.
func (s *Site) acceptAttempt(a *attempt) {
	r := a.request
	if r.attempt != a || !a.inFlight {
		return
	}
	if a.server.hung {
		s.schedule(250*time.Millisecond, func() { s.acceptAttempt(a) })
		return
	}
	a.lastReceived = s.now
	payload := core.Payload{Data: []byte("UP 1\r\n"), Lines: 1}
	if s.Deployment.ConnectionLoads {
		payload.HasLoad, payload.Load = true, r.client.class.RelativeLoad*1000
	}
	if s.dispatch(r.balancer,
		core.AttemptAccepted{Client: r.handle, Attempt: a.number, Payload: payload}); r.attempt != a ||
		r.client.established != a {
		return
	}
	s.schedule(s.randomDuration(0, 2*time.Second), func() { s.sendClientData(a) })
	s.schedule(max(0, r.client.end-s.now), func() {
		switch {
		case r.attempt != a || r.client.established != a:
		case s.rng.IntN(2) == 0 && a.server.responsive():
			s.endAttempt(a, core.CloseFinished, true)
		default:
			s.closeClient(r)
		}
	})
}

// closeClient makes a client close its connection at the end of its lifetime.
func (s *Site) closeClient(r *request) {
	s.dispatch(r.balancer, core.ClientClosed{Client: r.handle, Reason: core.CloseReset})
	s.endRequest(r, lossNone, 0)
}

var sampleLine = core.Payload{Data: []byte("x\r\n"), Lines: 1}

// sendClientData makes a client send data every two seconds.
func (s *Site) sendClientData(a *attempt) {
	if r := a.request; r.attempt == a && r.client.established == a && !r.balancer.dead {
		s.schedule(2*time.Second, func() { s.sendClientData(a) })
		s.dispatch(r.balancer, core.DataReceived{Client: r.handle, Payload: sampleLine})
	}
}

// receiveData makes a server receive data and reply to it.
func (s *Site) receiveData(r *request, a *attempt) {
	a.awaitingReply = true
	s.schedule(
		s.latency(r.balancer, a.server)*2+time.Duration(max(0, s.loadRatio(a.server)-1)*float64(400*time.Millisecond)),
		func() { s.replyData(r, a) })
}

func (s *Site) replyData(r *request, a *attempt) {
	switch {
	case r.attempt != a || r.balancer.dead || a.server.down:
	case a.server.hung:
		s.schedule(250*time.Millisecond, func() { s.replyData(r, a) })
	default:
		a.lastReceived, a.awaitingReply = s.now, false
		s.dispatch(r.balancer, core.DataReceived{Client: r.handle, FromServer: true, Payload: sampleLine})
	}
}

// openWatch handles a balancer's request for a watch at discovery.
func (s *Site) openWatch(b *balancerProcess, version int64) {
	if b.watch != nil && b.watch.answered {
		b.previousWatch = b.watch
	}
	w := &watch{reader: platform.WatchReader{ClockStart: s.epoch}, version: version}
	b.watch, b.watchRequestedAt = w, s.now
	s.Evaluation.watchRequests++
	s.schedule(s.randomDuration(2*time.Millisecond, 60*time.Millisecond), func() {
		if b.watch != w || b.dead {
			return
		}
		if s.discoveryDown {
			b.watch, b.watchFailed = nil, true
			s.dispatch(b, core.WatchClosed{})
			return
		}
		var body []byte
		if version == 0 || s.rng.IntN(4) == 0 {
			body = httpChunk(s.fullList())
		} else {
			endpoints := []generate.Endpoint{}
			for _, pub := range s.published[min(len(s.published), int(version)):] {
				endpoints = append(endpoints, pub.endpoint)
			}
			body = httpChunk(s.Deployment.ListJSON(int64(len(s.published)), false, endpoints))
		}
		w.open, b.watchFailed, b.watchSilentSince, b.previousWatch = true, false, 0, nil
		s.deliverWatchData(b, w, append([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"), body...),
			int64(len(s.published)))
		s.schedule(2*time.Second, func() { s.sendHeartbeat(b, w) })
	})
}

// sendHeartbeat sends the empty line that keeps an idle watch alive.
func (s *Site) sendHeartbeat(b *balancerProcess, w *watch) {
	if b.dead || !w.open || w.silent || b.watch != w && b.previousWatch != w {
		return
	}
	s.deliverWatchData(b, w, httpChunk([]byte("\n")), 0)
	s.schedule(2*time.Second, func() { s.sendHeartbeat(b, w) })
}

func (s *Site) recordNotification(b *balancerProcess, version int64) {
	for _, srv := range s.servers {
		if srv.unavailableSince > 0 && srv.unavailableVersion <= version && srv.unavailableVersion > b.receivedVersion {
			b.notified[srv] = s.now
		}
	}
	b.receivedVersion = max(b.receivedVersion, version)
}

// deliverWatchData delivers data of a watch in random pieces.
func (s *Site) deliverWatchData(b *balancerProcess, w *watch, data []byte, version int64) {
	s.recordNotification(b, version)
	for len(data) > 0 {
		n := min(len(data), 1+s.rng.IntN(900))
		err := w.reader.Read(data[:n], func(list *core.EndpointsListed) {
			w.answered = true
			switch {
			case w == b.previousWatch:
				if list != nil {
					list.FromPreviousWatch = true
					s.dispatch(b, *list)
				}
			case list == nil:
				s.dispatch(b, core.WatchHeartbeat{})
			default:
				s.dispatch(b, *list)
			}
		})
		if data = data[n:]; err != nil {
			if w.open = false; b.watch == w {
				b.watch = nil
				s.dispatch(b, core.WatchClosed{})
			}
			return
		}
	}
}

// exitBalancer handles a balancer's own exit.
func (s *Site) exitBalancer(b *balancerProcess) { s.stopBalancer(b, true) }

// stopBalancer ends a process. Its clients connect again; with pass-through, established connections continue through
// another balancer.
func (s *Site) stopBalancer(b *balancerProcess, graceful bool) {
	if b.dead {
		return
	}
	if graceful {
		s.Evaluation.checkExit(s, b)
	}
	b.dead = true
	for _, r := range b.requestOrder {
		if r.closed {
			continue
		}
		if a := r.client.established; s.Deployment.PassThrough && a != nil && a.inFlight && r.client.request == r {
			r.client.movedFrom = a.server
			r.closed, r.client.cause = true, lossMigrating
			r.client.request, r.client.established = nil, nil
			c := r.client
			s.schedule(s.randomDuration(50*time.Millisecond, 400*time.Millisecond), func() {
				s.release(a)
				s.connect(c, nil)
			})
			continue
		}
		s.endRequest(r, lossDisconnected,
			s.randomDuration(50*time.Millisecond, s.Deployment.ReconnectDelay+100*time.Millisecond))
	}
	b.requestOrder = nil
}

// pickServers returns a random selection of the eligible servers, at least one if there is any.
func (s *Site) pickServers(share float64, eligible func(*siteServer) bool) (list []*siteServer) {
	for _, srv := range s.servers {
		if eligible(srv) {
			list = append(list, srv)
		}
	}
	s.rng.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list[:min(len(list), max(1, int(math.Round(share*float64(len(list))))))]
}

func available(srv *siteServer) bool { return srv.state == policy.Live && !srv.down }

// drainServer drains a server, adds a replacement that is warming up at once, and stops the server after a while.
func (s *Site) drainServer(srv *siteServer) {
	if !available(srv) {
		return
	}
	s.changeState(srv, policy.Draining, false)
	s.addServer(srv.zoneIndex, s.now)
	if s.Deployment.CloseOnDrain {
		for _, a := range slices.Clone(srv.attempts) {
			s.schedule(s.randomDuration(100*time.Millisecond, 3*time.Second), func() {
				if r := a.request; r.attempt == a && r.client.established == a && srv.responsive() {
					s.endAttempt(a, core.CloseMigrated, true)
				}
			})
		}
	}
	s.schedule(s.Deployment.DrainDuration, func() {
		s.Evaluation.checkDrained(s, srv)
		s.crashServer(srv)
		s.changeState(srv, policy.Gone, false)
	})
}

// crashServer resets all connections of a server whose machine still responds.
func (s *Site) crashServer(srv *siteServer) {
	srv.down = true
	for _, a := range slices.Clone(srv.attempts) {
		if s.baseline {
			s.disconnect(a, lossDisconnected)
			continue
		}
		s.endAttempt(a, core.CloseReset, true)
	}
}

// restartServer restarts a server that was down. It is warming up again.
func (s *Site) restartServer(srv *siteServer) {
	srv.down, srv.hung, srv.startedAt, srv.warmUpArrivals = false, false, s.now, nil
	srv.StartedAtMS, srv.startVersion = s.unixMillis(s.now), math.MaxInt64 // no balancer is notified yet
	s.changeState(srv, policy.Live, true)
}

func (s *Site) startIncident(incident generate.Incident) {
	spread := func(period time.Duration, n int, f func(i int)) {
		for i := range n {
			s.schedule(period*time.Duration(i)/time.Duration(max(1, n))+core.TickInterval, func() { f(i) })
		}
	}
	drainSome := func(delay time.Duration) {
		s.schedule(delay, func() {
			for _, srv := range s.pickServers(incident.AffectedShare/2, available) {
				s.drainServer(srv)
			}
		})
	}
	switch incident.Kind {
	case generate.RollingReplacement:
		list := s.pickServers(incident.AffectedShare, available)
		spread(incident.Duration, len(list), func(i int) { s.drainServer(list[i]) })
	case generate.ServerLoss:
		for _, srv := range s.pickServers(incident.AffectedShare, available) {
			srv.down = true // the machine is lost and does not respond
			s.schedule(incident.Duration, func() {
				s.crashServer(srv) // existing connections are reset when the machine is back
				s.restartServer(srv)
			})
		}
	case generate.ServerHang:
		for _, srv := range s.pickServers(incident.AffectedShare, available) {
			srv.hung = true
			s.schedule(2*incident.Duration, func() { srv.hung = false })
		}
	case generate.ServerSlowdown:
		for _, srv := range s.pickServers(incident.AffectedShare, available) {
			srv.speed = 0.5
			s.schedule(2*incident.Duration, func() { srv.speed = 1 })
		}
	case generate.SlowConnects:
		s.slowConnectShare, s.maxConnectDelay = incident.AffectedShare,
			time.Duration(incident.Factor*float64(600*time.Millisecond))
		s.schedule(2*incident.Duration, func() { s.slowConnectShare = 0 })
	case generate.ServerErrors:
		for _, srv := range s.pickServers(incident.AffectedShare/2, available) {
			srv.errorRate = 0.5
			s.schedule(incident.Duration, func() { srv.errorRate = 0 })
		}
	case generate.SilentWatches:
		for _, b := range s.balancers {
			if b.watch != nil && b.watch.open {
				if b.watch.silent = true; b.watchSilentSince == 0 {
					b.watchSilentSince = s.now
				}
			}
		}
		drainSome(time.Duration(s.rng.IntN(3000)) * time.Millisecond)
	case generate.BrokenWatches:
		s.breakWatches()
		drainSome(time.Duration(s.rng.IntN(2000)) * time.Millisecond)
	case generate.DiscoveryOutage:
		s.discoveryDown, s.discoveryUpAt = true, max(s.discoveryUpAt, s.now+incident.Duration)
		s.breakWatches()
		// Outages may overlap.
		s.schedule(incident.Duration, func() { s.discoveryDown = s.now+core.TickInterval < s.discoveryUpAt })
		drainSome(incident.Duration)
	case generate.PlannedRestart:
		spread(incident.Duration+8*time.Second, len(s.balancers), func(i int) { s.shutDownBalancer(i) })
	case generate.ProcessKill:
		for i, b := range s.balancers {
			if s.rng.Float64() < incident.AffectedShare+0.1 {
				s.stopBalancer(b, false)
				s.schedule(s.randomDuration(500*time.Millisecond, 3*time.Second), func() { s.restartBalancer(i) })
			}
		}
	case generate.TrafficBurst:
		s.trafficFactor *= incident.Factor
		s.schedule(incident.Duration, func() { s.trafficFactor /= incident.Factor })
	}
}

func (s *Site) restartBalancer(slot int) {
	if s.balancers[slot].dead {
		if err := s.startBalancer(slot, false); err != nil {
			s.Evaluation.violation(s, "start", "balancer %d failed to restart: %v", slot, err)
		}
	}
}

func (s *Site) breakWatches() {
	for _, b := range s.balancers {
		if w := b.watch; w != nil && w.open {
			b.watch = nil
			s.schedule(core.TickInterval, func() { s.dispatch(b, core.WatchClosed{}) })
		}
	}
}

// shutDownBalancer shuts a balancer down for a planned restart.
func (s *Site) shutDownBalancer(slot int) {
	b := s.balancers[slot]
	if b.dead || b.shuttingDown {
		return
	}
	b.shuttingDown = true
	s.schedule(s.randomDuration(200*time.Millisecond, 400*time.Millisecond), func() { b.closedToClients = true })
	s.schedule(min(s.Deployment.MaxClientTimeout(), 3*time.Second)+700*time.Millisecond, func() {
		s.stopBalancer(b, true)
		s.schedule(300*time.Millisecond, func() { s.restartBalancer(slot) })
	})
	s.dispatch(b, core.ShutdownRequested{})
}
