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
	fullAt       = 64 << 10 // a link with more than this to write stops the other side's reading ...
	roomAt       = 16 << 10 // ... until it has less than this
	socketBuffer = 64 << 10 // of the system, for what waits while the other side is full
	moveWait     = time.Second
	dialLonger   = 50 * time.Millisecond  // dialing sockets outlive the reducer's patience by this
	checkEvery   = 250 * time.Millisecond // how often memory is looked at
	readWait     = 5 * time.Second        // a link that ends waits so long for the other side to read on
	gateWait     = 2 * time.Millisecond
	closedWait   = 50 * time.Millisecond
	endSooner    = 950 * time.Millisecond // so much less a link that ends has where descriptors run short: what crosses the end is here sooner
	moreFiles    = 4096                   // nbio's table of connections is as much longer than the limit at the start
	stoodStill   = 50 * time.Millisecond  // a turn of the loop that comes so late tells that this process did not run
	behindFor    = time.Second            // what came meanwhile is read by then
)

// Server is a running balancer.
type Server struct {
	cfg       Config
	engine    *nbio.Engine
	listener  net.Listener
	inherit   net.Listener         // the platform's, shared with other processes; nil where this one listens by itself
	manage    *management.Server   // nil where operators have no address to call
	asks      chan func()          // operators' calls, run between two events
	over      chan struct{}        // closed once the loop has ended
	accepts   bool                 // terminals are taken in
	beside    *hotrestart.Presence // nil where no other process can be there
	others    hotrestart.Usage     // what those take
	dir       *hotrestart.Dir      // nil where neither operators nor another process share anything with this one
	keeping   chan struct{}        // calls that change the file go one by one
	followAt  time.Time
	queue     queue
	core      *core.Reducer
	sockets   atomic.Int64 // connections, and dials under way
	published atomic.Int64

	terminals map[core.Handle]*terminal
	next      core.Handle
	probes    map[string]*probe
	watch     *watch
	former    *watch // goes on until the one that follows it has answered
	finishing map[*link]struct{}
	moving    map[*terminal]struct{}
	effects   []core.Effect
	out       []byte
	batch     []event
	exit      bool // nobody is taken in any more: whoever comes is turned away
	closing   closing
	slack     time.Duration // more time for what ends this server: tests mustn't depend on the machine's speed
	accepting acceptLoop
	limit     atomic.Int64     // of descriptors
	door      *door            // nil where no admission is configured
	peers     *membership.Host // nil where this balancer knows of no other
	told      toldPeers
	together  *coordination.Coordinator // nil where it acts alone
	revisions *ruled                    // nil where it goes by its settings alone
	links     *linkage                  // nil where no link between zones is bounded
	numbered  []policy.Server           // regions when its part by number was taken last
	byTicket  map[admission.Ticket]*terminal
	sendOff   []admission.Victim
	short     bool // of memory
	checkAt   time.Time
	turnAt    time.Time // the loop's latest turn
	behind    time.Time // until then lines may be read that have waited, since this process stood still or got no processor
	counters  counters
	log       *slog.Logger
	tracing   bool
	said      *logs.Limited
}

// New prepares a balancer and listens on its address.
func New(cfg Config, log *slog.Logger) (*Server, error) {
	r, err := core.New(cfg.Core)
	if err != nil {
		return nil, err
	}
	s := &Server{cfg: cfg, core: r, terminals: map[core.Handle]*terminal{}, probes: map[string]*probe{},
		finishing: map[*link]struct{}{}, moving: map[*terminal]struct{}{}, log: log, tracing: tracing(log), said: logs.Limit(log, time.Second),
		queue: queue{bell: make(chan struct{}, 1)}, asks: make(chan func()), over: make(chan struct{}),
		accepting: acceptLoop{over: make(chan struct{})},
		keeping:   make(chan struct{}, 1)}
	s.limit.Store(s.descriptors(cfg))
	if cfg.Admission != nil {
		s.byTicket = map[admission.Ticket]*terminal{}
		if s.door, err = newDoor(*cfg.Admission, uint64(cfg.Core.Seed), s.now, log, s.said); err != nil {
			return nil, err
		}
		s.door.limit(int(s.limit.Load()), cfg.MemoryMB)
	}
	if err := s.open(); err != nil {
		return nil, err
	}
	if s.door != nil {
		s.door.shared = s.inherit != nil
	}
	if cfg.Peers != nil {
		if s.peers, err = membership.Start(cfg.Peers.Config, cfg.Peers.Listen, s.inherit != nil, log); err != nil {
			return nil, err
		}
		if cfg.Peers.Together.Enabled() {
			s.together = coordination.New(cfg.Peers.Together)
		}
	}
	if cfg.Revisions != nil {
		if err := s.startRevisions(); err != nil {
			return nil, err
		}
	}
	logging.SetLevel(logging.LevelNone)
	nbio.MaxOpenFiles = int(s.limit.Load()) + moreFiles
	s.engine = nbio.NewEngine(nbio.Config{Network: "tcp", Addrs: []string{cfg.Listen}, NPoller: 1,
		EpollMod: nbio.EPOLLET, ReadBufferSize: 1024,
		Listen: s.listen})
	s.engine.OnOpen(func(c *nbio.Conn) {
		s.sockets.Add(1)
		_ = c.SetReadBuffer(s.linkOf(c).readBuffer())
		_ = c.SetWriteBuffer(socketBuffer)
		if c.Session() != nil { // dialed
			return
		}
		l := &link{s: s, role: terminalRole, c: c, state: live}
		if s.door != nil {
			l.ticket, l.from = s.door.ticket(), c.RemoteAddr()
		}
		s.publish(c, l)
		s.queue.post(event{kind: evOpened, link: l})
	})
	s.engine.OnRead(s.onRead)
	s.engine.OnWrittenSize(func(c *nbio.Conn, _ []byte, n int) {
		if l := s.linkOf(c); l != nil {
			l.wrote(n)
		}
	})
	s.engine.OnClose(func(c *nbio.Conn, _ error) { s.onClose(c) })
	return s, nil
}

// publish ties a link to nbio's connection, linkOf finds it again. nbio's goroutines meet in epoll, which
// orders nothing in Go's memory model; the count does.
func (s *Server) publish(c *nbio.Conn, l *link) {
	c.SetSession(l)
	s.published.Add(1)
}

func (s *Server) linkOf(c *nbio.Conn) *link {
	l, _ := c.Session().(*link)
	s.published.Load()
	return l
}

// onClose is nbio's last word on a connection: it tells of ends that no read met.
func (s *Server) onClose(c *nbio.Conn) {
	s.sockets.Add(-1)
	l := s.linkOf(c)
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ticket != 0 && l.tail == nil { // a tail's descriptor is closed by the tail
		s.door.closed(l.ticket)
	}
	l.gone = l.gone || l.tail == nil // a tail tells of its own end, which may have come before
	if l.c == c && l.state == live {
		l.state = ended
		s.queue.post(event{kind: evBroken, link: l})
	}
}

// SetLimits fits the Go runtime to the machine that the configuration describes.
func (c Config) SetLimits() {
	runtime.GOMAXPROCS(max(1, int(c.Cores+0.5)))
	if c.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(c.MemoryMB) << 20 * 6 / 10)
	}
}

// heap is the memory that the Go runtime holds, in bytes.
func heap() uint64 {
	sample := []metrics.Sample{{Name: "/memory/classes/total:bytes"}, {Name: "/memory/classes/heap/released:bytes"}}
	metrics.Read(sample)
	return sample[0].Value.Uint64() - sample[1].Value.Uint64()
}

func (s *Server) now() time.Duration { return time.Since(s.cfg.Zero) }

// Start tells the reducer what is known and listens. Run has to follow.
func (s *Server) Start() error {
	s.follow() // before the first list: a region that is left out gets nothing at all
	if s.cfg.Known != nil {
		s.step(*s.cfg.Known)
	}
	if err := s.engine.Start(); err != nil {
		return &NoAddress{hint.Annotated{Where: "listen", Cause: err, Do: "give an address of this machine and a free port (listen, PROXY_LISTEN)"}}
	}
	s.accepts = true
	if s.manage != nil {
		s.manage.Serve()
	}
	return nil
}

// Addr is where terminals connect.
func (s *Server) Addr() string { return s.engine.Addrs[0] }

// Run serves until the reducer says that all is done, or ctx ends. leave and report are the operator's
// signals, reload brings configurations read anew.
func (s *Server) Run(ctx context.Context, leave, report <-chan struct{}, reload <-chan Config) error {
	tick := time.NewTicker(core.TickInterval)
	defer tick.Stop()
	if s.door != nil {
		stop, kept := make(chan struct{}), make(chan struct{})
		go func() { s.door.keep(stop); close(kept) }()
		defer func() { close(stop); <-kept }()
	}
	if s.manage != nil {
		defer s.manage.Close()
	}
	if s.peers != nil {
		defer s.peers.Close()
	}
	if s.beside != nil {
		defer s.beside.Close()
	}
	if s.links != nil {
		defer s.links.close()
	}
	defer s.endRevisions()
	defer close(s.over)
	for !s.closed(time.Now()) {
		select {
		case <-s.queue.bell:
		case <-tick.C:
			s.step(core.Tick{})
			s.ticked(time.Now())
		case f := <-s.asks:
			f()
		case <-leave:
			leave = nil
			s.leave()
		case <-report:
			s.Report()
		case cfg := <-reload:
			s.reload(cfg)
		case <-ctx.Done():
			return ctx.Err()
		}
		now := time.Now()
		if !s.turnAt.IsZero() && now.Sub(s.turnAt) > stoodStill {
			s.behind = now.Add(behindFor)
		}
		s.turnAt = now
		s.work()
	}
	s.Report()
	return nil
}

// reload takes a configuration read anew, in whole or not at all. Connections, load reports and what is
// known of the regions stay; the list that the file holds is older than what a watch has brought since.
func (s *Server) reload(cfg Config) {
	if s.exit {
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
	if err := s.reloadDoor(cfg.Admission); err != nil {
		s.log.Error("not reloaded, the old configuration stays", "err", err)
		return
	}
	if !cfg.Peers.same(s.cfg.Peers) {
		s.log.Error("not reloaded, the old configuration stays", "err", "peers: can't change while serving")
		return
	}
	if !cfg.Revisions.same(s.cfg.Revisions) {
		s.log.Error("not reloaded, the old configuration stays", "err", hint.Line(&CantChange{"revisions"}))
		return
	}
	moved := cfg.Discovery != s.cfg.Discovery
	cfg.Zero, cfg.Peers, cfg.Revisions = s.cfg.Zero, s.cfg.Peers, s.cfg.Revisions
	s.cfg = cfg
	s.counters.Reloads++
	s.limit.Store(min(s.descriptors(cfg)-s.others.Sockets, int64(nbio.MaxOpenFiles)-moreFiles/2))
	cfg.SetLimits()
	if s.door != nil {
		s.door.limit(int(s.limit.Load()), cfg.MemoryMB)
	}
	over := cfg.Core
	over.Policy = s.overlaid(over.Policy)
	if s.revisions != nil {
		s.revisions.older = true
	}
	s.step(core.ConfigChanged{Config: over, DiscoveryMoved: moved})
	if s.revisions != nil && s.revisions.at != nil {
		s.setLinks(s.revisions.at.Content.Links) // tenants' shares may be others
	}
	s.log.Info("reloaded", "discovery", cfg.Discovery)
}

// reloadDoor takes new settings of admission. What is held was never counted where it was off.
func (s *Server) reloadDoor(a *Admission) error {
	switch {
	case (a == nil) != (s.door == nil):
		return &Unfit{hint.Annotated{Where: "admission", What: "can't be switched on or off while serving", Do: "restart the balancers, one after the other"}}
	case a == nil:
		return nil
	}
	return s.door.reconfigure(*a)
}

// Report logs the counters, as one object of JSON in one line.
func (s *Server) Report() {
	all := map[string]any{"name": s.cfg.Name, "sockets": s.sockets.Load(),
		"open": s.core.OpenRequests(), "owed": s.core.Unanswered(), "core": s.core.Counters, "net": s.counters}
	if s.door != nil {
		all["admission"] = s.door.report()
	}
	if s.manage != nil {
		all["management"] = s.manage.Report()
	}
	if s.peers != nil {
		all["peers"] = s.peers.Counts()
	}
	if s.links != nil {
		all["links"] = s.links.report()
	}
	if line, err := json.Marshal(all); err == nil {
		s.log.Info("counters", "all", json.RawMessage(line))
	}
}

// work handles what the callbacks have posted so far. What comes meanwhile rings the bell again, so that
// a flood of events can't keep the clock from ticking.
func (s *Server) work() {
	batch, starved := s.queue.take(s.batch)
	s.batch = batch
	for i, e := range batch {
		select {
		case f := <-s.asks: // an operator's call doesn't stand in the data's queue
			f()
		default:
		}
		s.handle(e)
		batch[i] = event{}
	}
	for _, l := range starved {
		l.feed()
	}
	s.makeRoom()
}

// makeRoom sends off the silent terminals that the gate has chosen.
func (s *Server) makeRoom() {
	if s.door == nil {
		return
	}
	s.sendOff = s.door.victims(func(t admission.Ticket) bool { return s.byTicket[t] != nil }, s.sendOff[:0])
	for _, v := range s.sendOff {
		if t := s.byTicket[v.Ticket]; t != nil {
			s.step(core.CloseIdle{Client: t.handle, RetryAfter: v.After})
		}
	}
}

func (s *Server) handle(e event) {
	l := e.link
	switch e.kind {
	case evFlushed:
		l.onFlushed()
		s.flushed(l)
		return
	case evOpened:
		s.accepted(l)
		return
	case evData:
		l.waiting.Add(-1)
		defer release(e.data)
	}
	switch l.role {
	case terminalRole:
		s.fromTerminal(l.term, e)
	case taskRole:
		s.fromRegion(l.term, l, e)
	case probeRole:
		s.fromProbe(s.probes[l.region], l, e)
	case watchRole:
		switch {
		case s.watch != nil && s.watch.l == l:
			s.fromWatch(s.watch, e)
		case s.former != nil && s.former.l == l:
			s.fromFormer(e)
		}
	}
}

// ticked does what sockets need by the clock.
func (s *Server) ticked(now time.Time) {
	if s.exit {
		s.closeListener()
	}
	if now.After(s.followAt) {
		s.followAt = now.Add(followEvery)
		s.follow()
	}
	if s.peers != nil {
		s.signal(now)
	}
	if s.revisions != nil {
		s.tellHost(now)
	}
	if s.links != nil {
		s.links.ticked(now)
	}
	if s.cfg.Numbered != nil {
		s.byNumber()
	}
	for region, p := range s.probes {
		if p.busy && now.After(p.due) {
			s.probed(region, p, policy.ResultTimedOut, nil)
		}
	}
	for t := range s.moving {
		if now.After(t.moveBy) { // the region has stopped inside a line: MOVE would be taken for its rest
			s.endMoving(t, core.CloseReset)
		}
	}
	used := int64(0)
	if now.After(s.checkAt) {
		s.checkAt = now.Add(checkEvery)
		used = int64(heap())
		s.meet(used)
		s.short = s.basic().MemoryShort(used+s.others.Memory, int64(s.cfg.MemoryMB)<<20)
		s.said.Flush(now)
	}
	s.dropGone(now)
	grace := time.Duration(0)
	if s.door != nil {
		if s.door.tick(len(s.probes), used) {
			grace = endSooner
		}
	} else if over := s.basic().Crowded(int(s.sockets.Load()) - len(s.finishing)); over > 0 {
		s.step(core.DescriptorsScarce{Missing: over})
		grace = endSooner
	}
	s.closeFinishing(now, grace)
}
