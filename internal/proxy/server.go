// The loop between sockets and reducer: what a link brings becomes a reducer's event by way of the platform's
// parsers, all on one goroutine. This file owns the server's state, its start and its end; it must never keep
// anything back or send anything unasked.

package proxy

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net"
	"runtime"
	"runtime/debug"
	"runtime/metrics"
	"sync/atomic"
	"time"

	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/logging"

	"oatloft/internal/admission"
	"oatloft/internal/coordination"
	"oatloft/internal/core"
	"oatloft/internal/hint"
	"oatloft/internal/hotrestart"
	"oatloft/internal/logs"
	"oatloft/internal/management"
	"oatloft/internal/membership"
	"oatloft/policy"
)

const (
	backpressureBytes   = 64 << 10 // a link with more than this to write stops the other side's reading ...
	resumeBytes         = 16 << 10 // ... until it has less than this
	socketBuffer        = 64 << 10 // of the system, for what waits while the other side is full
	migrateTimeout      = time.Second
	dialMargin          = 50 * time.Millisecond  // dialing sockets outlive the reducer's patience by this
	memoryCheckInterval = 250 * time.Millisecond // how often memory is looked at
	peerReadTimeout     = 5 * time.Second        // a link that ends waits so long for the other side to read on
	acceptRetry         = 2 * time.Millisecond
	closedListenerPause = 50 * time.Millisecond
	finishSooner        = 950 * time.Millisecond // so much less a link that ends has where descriptors run short: what crosses the end is here sooner
	extraConnections    = 4096                   // nbio's table of connections is as much longer than the limit at the start
	stallThreshold      = 50 * time.Millisecond  // a turn of the loop that comes so late tells that this process did not run
	backlogTime         = time.Second            // what came meanwhile is read by then
)

// Balancer is a running balancer.
type Balancer struct {
	cfg             Config
	engine          *nbio.Engine
	listener        net.Listener
	inherited       net.Listener         // the platform's, shared with other processes; nil where this one listens by itself
	operators       *management.Server   // nil where operators have no address to call
	calls           chan func()          // operators' calls, run between two events
	loopEnded       chan struct{}        // closed once the loop has ended
	serving         bool                 // terminals are taken in
	presence        *hotrestart.Presence // nil where no other process can be there
	otherProcesses  hotrestart.Usage     // what those take
	stateDir        *hotrestart.Dir      // nil where neither operators nor another process share anything with this one
	maintenanceLock chan struct{}        // calls that change the file go one by one
	nextFollowAt    time.Time
	queue           eventQueue
	core            *core.Reducer
	sockets         atomic.Int64 // connections, and dials under way
	publishedConns  atomic.Int64

	clients           map[core.Handle]*client
	lastHandle        core.Handle
	probes            map[string]*probe
	watch             *watch
	previousWatch     *watch // goes on until the one that follows it has answered
	finishing         map[*connection]struct{}
	migrating         map[*client]struct{}
	effects           []core.Effect
	lineBuffer        []byte
	batch             []event
	exiting           bool // nobody is taken in any more: whoever comes is turned away
	closing           closing
	testSlack         time.Duration // more time for what ends this server: tests mustn't depend on the machine's speed
	acceptLoop        acceptLoop
	descriptorLimit   atomic.Int64         // of descriptors
	admission         *admissionController // nil where no admission is configured
	peers             *membership.Host     // nil where this balancer knows of no other
	sentSignals       sentSignals
	coordinator       *coordination.Coordinator // nil where it acts alone
	revisions         *revisionState            // nil where it goes by its settings alone
	zoneLinks         *zoneLinks                // nil where no link between zones is bounded
	numberedServers   []policy.Server           // regions when its part by number was taken last
	clientsByTicket   map[admission.Ticket]*client
	victims           []admission.Victim
	memoryShort       bool // of memory
	nextMemoryCheckAt time.Time
	lastTurnAt        time.Time // the loop's latest turn
	backloggedUntil   time.Time // until then lines may be read that have waited, since this process stood still or got no processor
	counters          counters
	log               *slog.Logger
	tracing           bool
	limitedLog        *logs.Limited
}

// New prepares a balancer and listens on its address.
func New(cfg Config, log *slog.Logger) (*Balancer, error) {
	r, err := core.New(cfg.Core)
	if err != nil {
		return nil, err
	}
	s := &Balancer{cfg: cfg, core: r, clients: map[core.Handle]*client{}, probes: map[string]*probe{},
		finishing: map[*connection]struct{}{}, migrating: map[*client]struct{}{}, log: log, tracing: tracing(log), limitedLog: logs.Limit(log, time.Second),
		queue: eventQueue{wake: make(chan struct{}, 1)}, calls: make(chan func()), loopEnded: make(chan struct{}),
		acceptLoop:      acceptLoop{done: make(chan struct{})},
		maintenanceLock: make(chan struct{}, 1)}
	s.descriptorLimit.Store(s.availableDescriptors(cfg))
	if cfg.Admission != nil {
		s.clientsByTicket = map[admission.Ticket]*client{}
		if s.admission, err = newAdmissionController(*cfg.Admission, uint64(cfg.Core.Seed), s.now, log, s.limitedLog); err != nil {
			return nil, err
		}
		s.admission.setLimits(int(s.descriptorLimit.Load()), cfg.MemoryMB)
	}
	if err := s.openSockets(); err != nil {
		return nil, err
	}
	if s.admission != nil {
		s.admission.shared = s.inherited != nil
	}
	if cfg.Peers != nil {
		if s.peers, err = membership.Start(cfg.Peers.Config, cfg.Peers.Listen, s.inherited != nil, log); err != nil {
			return nil, err
		}
		if cfg.Peers.Coordination.Enabled() {
			s.coordinator = coordination.New(cfg.Peers.Coordination)
		}
	}
	if cfg.Revisions != nil {
		if err := s.startRevisions(); err != nil {
			return nil, err
		}
	}
	logging.SetLevel(logging.LevelNone)
	nbio.MaxOpenFiles = int(s.descriptorLimit.Load()) + extraConnections
	s.engine = nbio.NewEngine(nbio.Config{Network: "tcp", Addrs: []string{cfg.Listen}, NPoller: 1,
		EpollMod: nbio.EPOLLET, ReadBufferSize: 1024,
		Listen: s.listen})
	s.engine.OnOpen(func(c *nbio.Conn) {
		s.sockets.Add(1)
		_ = c.SetReadBuffer(s.connectionOf(c).receiveBufferSize())
		_ = c.SetWriteBuffer(socketBuffer)
		if c.Session() != nil { // dialed
			return
		}
		l := &connection{balancer: s, role: clientRole, conn: c, state: live}
		if s.admission != nil {
			l.ticket, l.remoteAddr = s.admission.takeTicket(), c.RemoteAddr()
		}
		s.attachSession(c, l)
		s.queue.post(event{kind: eventAccepted, conn: l})
	})
	s.engine.OnRead(s.onRead)
	s.engine.OnWrittenSize(func(c *nbio.Conn, _ []byte, n int) {
		if l := s.connectionOf(c); l != nil {
			l.wrote(n)
		}
	})
	s.engine.OnClose(func(c *nbio.Conn, _ error) { s.onClose(c) })
	return s, nil
}

// attachSession ties a link to nbio's connection, linkOf finds it again. nbio's goroutines meet in epoll, which
// orders nothing in Go's memory model; the count does.
func (s *Balancer) attachSession(c *nbio.Conn, l *connection) {
	c.SetSession(l)
	s.publishedConns.Add(1)
}

func (s *Balancer) connectionOf(c *nbio.Conn) *connection {
	l, _ := c.Session().(*connection)
	s.publishedConns.Load()
	return l
}

// onClose is nbio's last word on a connection: it tells of ends that no read met.
func (s *Balancer) onClose(c *nbio.Conn) {
	s.sockets.Add(-1)
	l := s.connectionOf(c)
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ticket != 0 && l.tail == nil { // a tail's descriptor is closed by the tail
		s.admission.closed(l.ticket)
	}
	l.descriptorFreed = l.descriptorFreed || l.tail == nil // a tail tells of its own end, which may have come before
	if l.conn == c && l.state == live {
		l.state = ended
		s.queue.post(event{kind: eventReset, conn: l})
	}
}

// SetLimits fits the Go runtime to the machine that the configuration describes.
func (c Config) SetLimits() {
	runtime.GOMAXPROCS(max(1, int(c.Cores+0.5)))
	if c.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(c.MemoryMB) << 20 * 6 / 10)
	}
}

// heapBytes is the memory that the Go runtime holds, in bytes.
func heapBytes() uint64 {
	sample := []metrics.Sample{{Name: "/memory/classes/total:bytes"}, {Name: "/memory/classes/heap/released:bytes"}}
	metrics.Read(sample)
	return sample[0].Value.Uint64() - sample[1].Value.Uint64()
}

func (s *Balancer) now() time.Duration { return time.Since(s.cfg.StartOfClock) }

// Start tells the reducer what is known and listens. Run has to follow.
func (s *Balancer) Start() error {
	s.readOtherProcess() // before the first list: a region that is left out gets nothing at all
	if s.cfg.KnownEndpoints != nil {
		s.step(*s.cfg.KnownEndpoints)
	}
	if err := s.engine.Start(); err != nil {
		return &ListenFailed{hint.Annotated{Where: "listen", Cause: err, Do: "give an address of this machine and a free port (listen, PROXY_LISTEN)"}}
	}
	s.serving = true
	if s.operators != nil {
		s.operators.Serve()
	}
	return nil
}

// Addr is where terminals connect.
func (s *Balancer) Addr() string { return s.engine.Addrs[0] }

// Run serves until the reducer says that all is done, or ctx ends. leave and report are the operator's
// signals, reload brings configurations read anew.
func (s *Balancer) Run(ctx context.Context, leave, report <-chan struct{}, reload <-chan Config) error {
	tick := time.NewTicker(core.TickInterval)
	defer tick.Stop()
	if s.admission != nil {
		stop, kept := make(chan struct{}), make(chan struct{})
		go func() { s.admission.saveSnapshots(stop); close(kept) }()
		defer func() { close(stop); <-kept }()
	}
	if s.operators != nil {
		defer s.operators.Close()
	}
	if s.peers != nil {
		defer s.peers.Close()
	}
	if s.presence != nil {
		defer s.presence.Close()
	}
	if s.zoneLinks != nil {
		defer s.zoneLinks.close()
	}
	defer s.closeRevisions()
	defer close(s.loopEnded)
	for !s.mayExit(time.Now()) {
		select {
		case <-s.queue.wake:
		case <-tick.C:
			s.step(core.Tick{})
			s.handleTick(time.Now())
		case f := <-s.calls:
			f()
		case <-leave:
			leave = nil
			s.beginShutdown()
		case <-report:
			s.Report()
		case cfg := <-reload:
			s.reload(cfg)
		case <-ctx.Done():
			return ctx.Err()
		}
		now := time.Now()
		if !s.lastTurnAt.IsZero() && now.Sub(s.lastTurnAt) > stallThreshold {
			s.backloggedUntil = now.Add(backlogTime)
		}
		s.lastTurnAt = now
		s.handleEvents()
	}
	s.Report()
	return nil
}

// reload takes a configuration read anew, in whole or not at all. Connections, load reports and what is
// known of the regions stay; the list that the file holds is older than what a watch has brought since.
func (s *Balancer) reload(cfg Config) {
	if s.exiting {
		return // nothing is decided any more
	}
	if cfg.Listen != s.cfg.Listen {
		s.log.Error("not reloaded, the old configuration stays", "err",
			fmt.Sprintf("listen: can't change from %s to %s while serving", s.cfg.Listen, cfg.Listen))
		return
	}
	if cfg.Management != s.cfg.Management {
		s.log.Error("not reloaded, the old configuration stays", "err",
			fmt.Sprintf("management: can't change from %q to %q while serving", s.cfg.Management, cfg.Management))
		return
	}
	if err := s.reloadAdmission(cfg.Admission); err != nil {
		s.log.Error("not reloaded, the old configuration stays", "err", err)
		return
	}
	if !cfg.Peers.equal(s.cfg.Peers) {
		s.log.Error("not reloaded, the old configuration stays", "err", "peers: can't change while serving")
		return
	}
	if !cfg.Revisions.equal(s.cfg.Revisions) {
		s.log.Error("not reloaded, the old configuration stays", "err", hint.Line(&ImmutableSetting{"revisions"}))
		return
	}
	moved := cfg.Discovery != s.cfg.Discovery
	cfg.StartOfClock, cfg.Peers, cfg.Revisions = s.cfg.StartOfClock, s.cfg.Peers, s.cfg.Revisions
	s.cfg = cfg
	s.counters.Reloads++
	s.descriptorLimit.Store(min(s.availableDescriptors(cfg)-s.otherProcesses.Sockets, int64(nbio.MaxOpenFiles)-extraConnections/2))
	cfg.SetLimits()
	if s.admission != nil {
		s.admission.setLimits(int(s.descriptorLimit.Load()), cfg.MemoryMB)
	}
	over := cfg.Core
	over.Policy = s.overlay(over.Policy)
	if s.revisions != nil {
		s.revisions.environmentStale = true
	}
	s.step(core.ConfigChanged{Config: over, DiscoveryMoved: moved})
	if s.revisions != nil && s.revisions.inForce != nil {
		s.setLinks(s.revisions.inForce.Content.Links) // tenants' shares may be others
	}
	s.log.Info("reloaded", "discovery", cfg.Discovery)
}

// reloadAdmission takes new settings of admission. What is held was never counted where it was off.
func (s *Balancer) reloadAdmission(a *Admission) error {
	switch {
	case (a == nil) != (s.admission == nil):
		return &ConfigError{hint.Annotated{Where: "admission", What: "can't be switched on or off while serving", Do: "restart the balancers, one after the other"}}
	case a == nil:
		return nil
	}
	return s.admission.reconfigure(*a)
}

// Report logs the counters, as one object of JSON in one line.
func (s *Balancer) Report() {
	all := map[string]any{"name": s.cfg.Name, "sockets": s.sockets.Load(),
		"open": s.core.OpenRequests(), "owed": s.core.Unanswered(), "core": s.core.Counters, "net": s.counters}
	if s.admission != nil {
		all["admission"] = s.admission.report()
	}
	if s.operators != nil {
		all["management"] = s.operators.Report()
	}
	if s.peers != nil {
		all["peers"] = s.peers.Counts()
	}
	if s.zoneLinks != nil {
		all["links"] = s.zoneLinks.report()
	}
	if line, err := json.Marshal(all); err == nil {
		s.log.Info("counters", "all", json.RawMessage(line))
	}
}

// handleEvents handles what the callbacks have posted so far. What comes meanwhile rings the bell again, so that
// a flood of events can't keep the clock from ticking.
func (s *Balancer) handleEvents() {
	batch, starved := s.queue.take(s.batch)
	s.batch = batch
	for i, e := range batch {
		select {
		case f := <-s.calls: // an operator's call doesn't stand in the data's queue
			f()
		default:
		}
		s.handleEvent(e)
		batch[i] = event{}
	}
	for _, l := range starved {
		l.resumeDeferred()
	}
	s.closeVictims()
}

// closeVictims sends off the silent terminals that the gate has chosen.
func (s *Balancer) closeVictims() {
	if s.admission == nil {
		return
	}
	s.victims = s.admission.victims(func(t admission.Ticket) bool { return s.clientsByTicket[t] != nil }, s.victims[:0])
	for _, v := range s.victims {
		if t := s.clientsByTicket[v.Ticket]; t != nil {
			s.step(core.CloseIdle{Client: t.handle, RetryAfter: v.After})
		}
	}
}

func (s *Balancer) handleEvent(e event) {
	l := e.conn
	switch e.kind {
	case eventFlushed:
		l.onFlushed()
		s.handleFlushed(l)
		return
	case eventAccepted:
		s.handleAccepted(l)
		return
	case eventData:
		l.queuedEvents.Add(-1)
		defer releaseBuffer(e.data)
	}
	switch l.role {
	case clientRole:
		s.handleClientEvent(l.client, e)
	case serverRole:
		s.handleServerEvent(l.client, l, e)
	case probeRole:
		s.handleProbeEvent(s.probes[l.server], l, e)
	case watchRole:
		switch {
		case s.watch != nil && s.watch.conn == l:
			s.handleWatchEvent(s.watch, e)
		case s.previousWatch != nil && s.previousWatch.conn == l:
			s.handlePreviousWatchEvent(e)
		}
	}
}

// handleTick does what sockets need by the clock.
func (s *Balancer) handleTick(now time.Time) {
	if s.exiting {
		s.closeListener()
	}
	if now.After(s.nextFollowAt) {
		s.nextFollowAt = now.Add(followInterval)
		s.readOtherProcess()
	}
	if s.peers != nil {
		s.sendSignals(now)
	}
	if s.revisions != nil {
		s.updateHost(now)
	}
	if s.zoneLinks != nil {
		s.zoneLinks.handleTick(now)
	}
	if s.cfg.Numbered != nil {
		s.updateNumbered()
	}
	for region, p := range s.probes {
		if p.pending && now.After(p.deadline) {
			s.finishProbe(region, p, policy.ResultTimedOut, nil)
		}
	}
	for t := range s.migrating {
		if now.After(t.migrateBy) { // the region has stopped inside a line: MOVE would be taken for its rest
			s.endMigrating(t, core.CloseReset)
		}
	}
	used := int64(0)
	if now.After(s.nextMemoryCheckAt) {
		s.nextMemoryCheckAt = now.Add(memoryCheckInterval)
		used = int64(heapBytes())
		s.exchangeUsage(used)
		s.memoryShort = s.basicLimits().MemoryShort(used+s.otherProcesses.Memory, int64(s.cfg.MemoryMB)<<20)
		s.limitedLog.Flush(now)
	}
	s.collectClosed(now)
	grace := time.Duration(0)
	if s.admission != nil {
		if s.admission.tick(len(s.probes), used) {
			grace = finishSooner
		}
	} else if over := s.basicLimits().Crowded(int(s.sockets.Load()) - len(s.finishing)); over > 0 {
		s.step(core.DescriptorsScarce{Missing: over})
		grace = finishSooner
	}
	s.closeFinishing(now, grace)
}
