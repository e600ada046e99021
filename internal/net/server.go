// The loop between sockets and reducer. This file owns the terminals, the routed tasks' links, probes and
// the watch, all on one goroutine: what a link brings becomes a reducer's event by way of the platform's
// parsers, and each effect becomes bytes. It must never keep anything back or send anything unasked.

package net

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	stdnet "net"
	"runtime"
	"runtime/debug"
	"runtime/metrics"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/logging"

	"oatloft/internal/core"
	"oatloft/internal/platform"
	"oatloft/policy"
)

const (
	fullAt       = 64 << 10 // a link with more than this to write stops the other side's reading ...
	roomAt       = 16 << 10 // ... until it has less than this
	socketBuffer = 64 << 10 // of the system, for what waits while the other side is full
	reserve      = 48       // descriptors kept for what is not a terminal or a routed task
	moveWait     = time.Second
	dialLonger   = 50 * time.Millisecond  // dialing sockets outlive the reducer's patience by this
	checkEvery   = 250 * time.Millisecond // how often memory is looked at
	readWait     = 5 * time.Second        // a link that ends waits so long for the other side to read on
	gateWait     = 2 * time.Millisecond
	endSooner    = 800 * time.Millisecond // so much less a link that ends has where descriptors run short
	moreFiles    = 4096                   // nbio's table of connections is as much longer than the limit at the start
	exitWait     = 500 * time.Millisecond // the last answers get this long to leave
)

// terminal is one client connection, on the reducer's goroutine.
type terminal struct {
	handle     core.Handle
	l, task    *link
	begun      []byte // of a line that came in parts
	open       platform.Open
	asked      bool // the first line is taken
	up         bool
	over       bool // nothing more is owed nor passed
	answer     []byte
	fromRegion platform.Scan
	toRegion   platform.Scan
	last       platform.Word // closing line of the region
	moveBy     time.Time     // to be moved at the next end of a line; by then at the latest
	full       [2]bool       // the way to the terminal, to the region
}

type probe struct {
	l     *link
	addr  string
	busy  bool
	due   time.Time
	begun []byte
}

// watch is a call to discovery that stays open.
type watch struct {
	l        *link
	in       platform.WatchReader
	seq      int64
	answered bool
}

// Server is a running balancer.
type Server struct {
	cfg       Config
	engine    *nbio.Engine
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
	exit      bool
	limit     atomic.Int64 // of descriptors
	short     bool         // of memory
	checkAt   time.Time
	counters  struct {
		Accepted, LinesIn, BytesToRegions, BytesToTerminals, Pings, Malformed, NoRoom int64
		Reloads                                                                       int64
	}
	log io.Writer
}

// New prepares a balancer and listens on its address.
func New(cfg Config, log io.Writer) (*Server, error) {
	r, err := core.New(cfg.Core)
	if err != nil {
		return nil, err
	}
	s := &Server{cfg: cfg, core: r, terminals: map[core.Handle]*terminal{}, probes: map[string]*probe{},
		finishing: map[*link]struct{}{}, moving: map[*terminal]struct{}{}, log: log,
		queue: queue{bell: make(chan struct{}, 1)}}
	s.limit.Store(openFiles(cfg.Sockets))
	logging.SetLevel(logging.LevelNone)
	nbio.MaxOpenFiles = int(s.limit.Load()) + moreFiles
	s.engine = nbio.NewEngine(nbio.Config{Network: "tcp", Addrs: []string{cfg.Listen}, NPoller: 1,
		EpollMod: nbio.EPOLLET, ReadBufferSize: 1024,
		Listen: func(network, addr string) (stdnet.Listener, error) {
			l, err := stdnet.Listen(network, addr)
			return gate{l, s}, err
		}})
	s.engine.OnOpen(func(c *nbio.Conn) {
		s.sockets.Add(1)
		_ = c.SetReadBuffer(socketBuffer)
		_ = c.SetWriteBuffer(socketBuffer)
		if c.Session() != nil { // dialed
			return
		}
		l := &link{s: s, role: terminalRole, c: c, state: live}
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

// gate lets terminals in while there are descriptors for them. Without it nbio's accept loop would turn
// at full speed where they run out, and close what it can't take in.
type gate struct {
	stdnet.Listener
	s *Server
}

func (g gate) Accept() (stdnet.Conn, error) {
	for {
		if g.s.sockets.Load() <= g.s.limit.Load()-reserve/2 {
			c, err := g.Listener.Accept()
			if err == nil || errors.Is(err, stdnet.ErrClosed) {
				return c, err
			}
		}
		time.Sleep(gateWait)
	}
}

// openFiles is how many descriptors there may be, by configuration and by the system.
func openFiles(limit int) int64 {
	var r syscall.Rlimit
	n := int64(1024)
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &r) == nil {
		n = int64(min(r.Cur, 1<<20))
	}
	if limit > 0 {
		n = min(n, int64(limit))
	}
	return n
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
	if s.cfg.Known != nil {
		s.step(*s.cfg.Known)
	}
	if err := s.engine.Start(); err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	return nil
}

// Addr is where terminals connect.
func (s *Server) Addr() string { return s.engine.Addrs[0] }

// Run serves until the reducer says that all is done, or ctx ends. leave and report are the operator's
// signals, reload brings configurations read anew.
func (s *Server) Run(ctx context.Context, leave, report <-chan struct{}, reload <-chan Config) error {
	tick := time.NewTicker(core.TickEvery)
	defer tick.Stop()
	var exitBy time.Time
	for {
		if s.exit && exitBy.IsZero() {
			exitBy = time.Now().Add(exitWait)
		}
		if s.exit && (len(s.finishing) == 0 || time.Now().After(exitBy)) {
			break
		}
		select {
		case <-s.queue.bell:
		case <-tick.C:
			s.step(core.Tick{})
			s.ticked(time.Now())
		case <-leave:
			leave = nil
			s.step(core.Leave{})
		case <-report:
			s.Report()
		case cfg := <-reload:
			s.reload(cfg)
		case <-ctx.Done():
			return ctx.Err()
		}
		s.work()
	}
	s.Report()
	return nil
}

// reload takes a configuration read anew, in whole or not at all. Connections, load reports and what is
// known of the regions stay; the list that the file holds is older than what a watch has brought since.
func (s *Server) reload(cfg Config) {
	if cfg.Listen != s.cfg.Listen {
		fmt.Fprintf(s.log, "oatloft: reload: listen: can't change from %s to %s while serving; the old configuration stays\n",
			s.cfg.Listen, cfg.Listen)
		return
	}
	moved := cfg.Discovery != s.cfg.Discovery
	cfg.Zero = s.cfg.Zero
	s.cfg = cfg
	s.counters.Reloads++
	s.limit.Store(min(openFiles(cfg.Sockets), int64(nbio.MaxOpenFiles)-moreFiles/2))
	cfg.SetLimits()
	s.step(core.Reconfigured{Config: cfg.Core, Moved: moved})
	fmt.Fprintf(s.log, "oatloft: reloaded, discovery at %s\n", cfg.Discovery)
}

// Report prints the counters as one line of JSON.
func (s *Server) Report() {
	line, err := json.Marshal(map[string]any{"name": s.cfg.Name, "sockets": s.sockets.Load(),
		"open": s.core.Open(), "owed": s.core.Owed(), "core": s.core.Counters, "net": s.counters})
	if err == nil {
		fmt.Fprintf(s.log, "counters %s\n", line)
	}
}

// work handles what the callbacks have posted so far. What comes meanwhile rings the bell again, so that
// a flood of events can't keep the clock from ticking.
func (s *Server) work() {
	batch, starved := s.queue.take(s.batch)
	s.batch = batch
	for i, e := range batch {
		s.handle(e)
		batch[i] = event{}
	}
	for _, l := range starved {
		l.feed()
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

func (s *Server) accepted(l *link) {
	s.counters.Accepted++
	s.next++
	t := &terminal{handle: s.next, l: l}
	l.term = t
	s.terminals[t.handle] = t
	s.step(core.Arrived{From: t.handle})
}

func (s *Server) fromTerminal(t *terminal, e event) {
	switch e.kind {
	case evData:
		switch {
		case t.over:
		case t.up:
			seen := t.toRegion.Read(*e.data)
			s.counters.LinesIn += int64(seen.Lines)
			s.step(core.Passed{Of: t.handle, Bytes: core.Bytes{Data: *e.data, Lines: seen.Lines}})
		default:
			s.firstLine(t, *e.data)
		}
	case evEnded, evBroken:
		how := core.Closed
		if e.kind == evBroken {
			how = core.Broken
		}
		switch {
		case t.over:
		case t.asked:
			s.step(core.TerminalEnded{From: t.handle, How: how})
		case how == core.Closed && len(t.begun) > 0:
			s.invalid(t) // half a line, and no more will come
		default:
			s.step(core.TerminalEnded{From: t.handle, How: how})
			s.closeTerminal(t, core.Closed)
		}
		if how == core.Broken {
			t.over = true
			delete(s.terminals, t.handle)
		}
	}
}

func (s *Server) firstLine(t *terminal, data []byte) {
	if t.asked { // it had to wait for its answer
		s.invalid(t)
		return
	}
	if len(t.begun) > 0 {
		t.begun = append(t.begun, data...)
		data = t.begun
	}
	for len(data) > 0 {
		line, tooLong := platform.Cut(data)
		switch {
		case tooLong:
			s.invalid(t)
			return
		case line == nil:
			t.begun = append([]byte(nil), data...)
			return
		case platform.IsPing(line):
			s.counters.Pings++
			t.l.write(platform.Pong)
			data = data[len(line):]
			continue
		}
		open, err := platform.ParseOpen(line)
		if err != nil || len(data) > len(line) {
			s.invalid(t)
			return
		}
		s.counters.LinesIn++
		t.begun, t.asked = nil, true
		open.Keep()
		t.open = open
		if s.short || s.sockets.Load() > s.limit.Load()-reserve {
			s.counters.NoRoom++
			t.over = true
			s.step(core.TerminalEnded{From: t.handle})
			s.finalAnswer(t, platform.AppendShort(nil, 0))
			return
		}
		s.step(core.Opened{From: t.handle, Request: open.Request, At: open.At})
		return
	}
	t.begun = nil
}

func (s *Server) invalid(t *terminal) {
	s.counters.Malformed++
	t.asked = true
	s.step(core.Invalid{From: t.handle})
}

// finalAnswer is all that a terminal gets. One that has said nothing has nothing left to be read: it is
// closed at once, others when they have ended.
func (s *Server) finalAnswer(t *terminal, line []byte) {
	t.l.write(line)
	s.closeTerminal(t, core.Closed)
	if !t.asked {
		t.l.force()
	}
}

func (s *Server) closeTerminal(t *terminal, how core.Ending) {
	t.over = true
	delete(s.terminals, t.handle)
	delete(s.moving, t)
	if how == core.Broken {
		t.l.reset()
	} else {
		t.l.fin(true)
	}
}

// fromRegion reads a routed task's answer, and passes on what follows it.
func (s *Server) fromRegion(t *terminal, l *link, e event) {
	if t.task != l {
		return
	}
	switch e.kind {
	case evConnected:
		s.step(core.Connected{Of: t.handle, Attempt: l.attempt})
	case evRefused:
		t.task = nil
		s.step(core.TaskEnded{Of: t.handle, Attempt: l.attempt, How: core.Refused})
	case evEnded, evBroken:
		how := core.Closed
		if e.kind == evBroken {
			how = core.Broken
		}
		switch t.last {
		case platform.Bye:
			how = core.Finished
		case platform.MoveAway:
			how = core.MovedAway
		}
		s.step(core.TaskEnded{Of: t.handle, Attempt: l.attempt, How: how})
	case evData:
		data := *e.data
		if !t.up {
			if len(t.answer) > 0 {
				t.answer = append(t.answer, data...)
				data = t.answer
			}
			line, tooLong := platform.Cut(data)
			if line == nil && !tooLong {
				t.answer = append([]byte(nil), data...)
				return
			}
			t.answer = nil
			how := core.Erred
			switch platform.WordOf(line) {
			case platform.Up:
				t.up = true
				t.l.knows()
				seen := t.fromRegion.Read(data[len(line):])
				t.last = seen.Last
				s.step(core.Up{Of: t.handle, Attempt: l.attempt,
					Bytes: core.Bytes{Data: data, Lines: seen.Lines, Load: seen.Load}})
				return
			case platform.Busy:
				how = core.TurnedAway
			case platform.Bye:
				how = core.Finished
			case platform.MoveAway:
				how = core.MovedAway
			}
			s.step(core.TaskEnded{Of: t.handle, Attempt: l.attempt, How: how})
			return
		}
		s.pass(t, data)
	}
}

// pass hands on a region's bytes. A terminal that is to be moved gets no byte behind the next line's end.
func (s *Server) pass(t *terminal, data []byte) {
	if !t.moveBy.IsZero() {
		for i, c := range data {
			if c == '\n' {
				t.l.write(data[:i+1])
				s.moveNow(t)
				return
			}
		}
		t.l.write(data)
		return
	}
	seen := t.fromRegion.Read(data)
	if seen.Last != platform.Line {
		t.last = seen.Last
	}
	s.step(core.Passed{Of: t.handle, FromRegion: true,
		Bytes: core.Bytes{Data: data, Lines: seen.Lines, Load: seen.Load}})
}

func (s *Server) moveNow(t *terminal) {
	t.l.write(platform.Move)
	s.closeTerminal(t, core.Closed)
	if t.task != nil {
		t.task.drop()
		t.task = nil
	}
}

// flushed follows a link that has written all it was given.
func (s *Server) flushed(l *link) {
	t := l.term
	if t == nil {
		return
	}
	if l.role == taskRole && t.task == l && !t.up {
		s.step(core.Sent{Of: t.handle, Attempt: l.attempt})
	}
	s.flow(t)
}

// flow stops the reading of a side while the way to the other is full.
func (s *Server) flow(t *terminal) {
	for i, l := range []*link{t.l, t.task} {
		if l == nil {
			continue
		}
		switch b := l.backlog(); {
		case !t.full[i] && b > fullAt:
			t.full[i] = true
			l.flushed() // asks to be told when all has left
			s.step(core.Flow{Of: t.handle, ToRegion: i == 1, Full: true})
		case t.full[i] && b < roomAt:
			t.full[i] = false
			s.step(core.Flow{Of: t.handle, ToRegion: i == 1})
		}
	}
}

// step feeds the reducer and carries out its effects; effects that make events feed it again.
func (s *Server) step(ev core.Event) {
	base := len(s.effects)
	s.effects = s.core.Step(s.now(), ev, s.effects)
	for i := base; i < len(s.effects); i++ {
		e := s.effects[i]
		s.effects[i] = nil
		s.carryOut(e)
	}
	s.effects = s.effects[:base]
}

func (s *Server) carryOut(e core.Effect) {
	switch e := e.(type) {
	case core.Dial:
		if t := s.terminals[e.Of]; t != nil {
			t.answer, t.last, t.fromRegion = nil, platform.Line, platform.Scan{}
			t.task = &link{s: s, role: taskRole, term: t, attempt: e.Attempt, region: e.Region}
			s.dial(t.task, e.Addr, e.Timeout+dialLonger)
		}
	case core.SendLine:
		if t := s.terminals[e.Of]; t != nil && t.task != nil {
			s.out = t.open.AppendLine(s.out[:0], e.Left)
			t.task.write(s.out)
			if t.task.flushed() {
				s.step(core.Sent{Of: e.Of, Attempt: e.Attempt})
			}
		}
	case core.DropTask:
		if t := s.terminals[e.Of]; t != nil && t.task != nil && t.task.attempt == e.Attempt {
			t.task.drop()
			t.task = nil
		}
	case core.Answer:
		if t := s.terminals[e.To]; t != nil {
			line := platform.Failed
			if e.Short {
				s.out = platform.AppendShort(s.out[:0], e.After)
				line = s.out
			}
			s.finalAnswer(t, line)
		}
	case core.Pass:
		t := s.terminals[e.Of]
		if t == nil {
			return
		}
		if e.ToRegion {
			s.counters.BytesToRegions += int64(len(e.Data))
			if t.task != nil {
				t.task.write(e.Data)
			}
		} else {
			s.counters.BytesToTerminals += int64(len(e.Data))
			t.l.write(e.Data)
		}
		s.flow(t)
	case core.Hold:
		t := s.terminals[e.Of]
		if t == nil {
			return
		}
		l := t.l
		if e.OfRegion {
			l = t.task
		}
		if l != nil && e.On {
			l.pause()
		} else if l != nil {
			l.resume()
		}
	case core.EndRegion:
		if t := s.terminals[e.Of]; t != nil && t.task != nil {
			if e.How == core.Broken {
				t.task.reset()
			} else {
				t.task.fin(false)
			}
		}
	case core.EndTerminal:
		if t := s.terminals[e.Of]; t != nil {
			s.closeTerminal(t, e.How)
			if t.task != nil {
				t.task.drop()
			}
		}
	case core.MoveTerminal:
		if t := s.terminals[e.Of]; t != nil {
			if t.fromRegion.Between() {
				s.moveNow(t)
			} else {
				t.moveBy = time.Now().Add(moveWait)
				s.moving[t] = struct{}{}
			}
		}
	case core.Probe:
		s.probe(e)
	case core.ForgetRegion:
		if p := s.probes[e.Region]; p != nil {
			if p.l != nil {
				p.l.drop()
				p.l = nil
			}
			delete(s.probes, e.Region)
			if p.busy { // nobody will answer it, and the module asks no second time before it has an answer
				s.step(core.Probed{Region: e.Region, Result: policy.Unreachable})
			}
		}
	case core.Watch:
		if s.watch != nil && s.watch.answered {
			drop(&s.former)
			s.former, s.watch = s.watch, nil
		}
		drop(&s.watch)
		s.watch = &watch{l: &link{s: s, role: watchRole}, in: platform.WatchReader{Zero: s.cfg.Zero}, seq: e.Seq}
		s.dial(s.watch.l, s.cfg.Discovery, 2*time.Second)
	case core.Unwatch:
		drop(&s.watch)
	case core.Exit:
		s.exit = true
	}
}

// dial opens a link; an event tells what became of it. The standard library dials and nbio takes the
// connection over: nbio's own DialAsync reads an address's first four bytes, which are zeros in the long
// form that ResolveTCPAddr returns, and so connects to 0.0.0.0.
func (s *Server) dial(l *link, addr string, timeout time.Duration) {
	if s.sockets.Load() > s.limit.Load()-reserve/2 {
		l.state = ended // nobody else knows it yet
		s.queue.post(event{kind: evRefused, link: l})
		return
	}
	s.sockets.Add(1)
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	l.cancel = cancel
	go func() {
		defer s.sockets.Add(-1)
		defer cancel()
		var d stdnet.Dialer
		conn, err := d.DialContext(ctx, "tcp", addr)
		l.mu.Lock()
		defer l.mu.Unlock()
		if err == nil && l.state != dialing {
			_ = conn.Close()
			return
		}
		var c *nbio.Conn
		if err == nil {
			if c, err = nbio.NBConn(conn); err != nil {
				_ = conn.Close()
			}
		}
		if err != nil {
			if l.state == dialing {
				l.state = ended
				s.queue.post(event{kind: evRefused, link: l})
			}
			return
		}
		l.c, l.state = c, live
		s.publish(c, l)
		s.queue.post(event{kind: evConnected, link: l})
		_, _ = s.engine.AddConn(c) // a failure closes c, and onClose tells of it
	}()
}

// probe asks for a load report, over the region's one connection for that.
func (s *Server) probe(e core.Probe) {
	p := s.probes[e.Region]
	if p == nil {
		p = &probe{}
		s.probes[e.Region] = p
	}
	if p.l != nil && p.addr != e.Addr {
		p.l.drop()
		p.l = nil
	}
	p.busy, p.due, p.addr, p.begun = true, time.Now().Add(e.Timeout), e.Addr, nil
	if p.l == nil {
		p.l = &link{s: s, role: probeRole, region: e.Region}
		s.dial(p.l, e.Addr, e.Timeout)
		return
	}
	p.l.write(platform.Stats)
}

func (s *Server) fromProbe(p *probe, l *link, e event) {
	if p == nil || p.l != l {
		return
	}
	switch e.kind {
	case evConnected:
		l.write(platform.Stats)
	case evRefused:
		s.probed(l.region, p, policy.Unreachable, nil)
	case evEnded, evBroken:
		s.probed(l.region, p, policy.Reset, nil)
	case evData:
		p.begun = append(p.begun, *e.data...)
		line, tooLong := platform.Cut(p.begun)
		switch {
		case tooLong:
			s.probed(l.region, p, policy.Failed, nil)
		case line == nil:
		case platform.WordOf(line) == platform.PongBack:
			s.probed(l.region, p, policy.OK, platform.ParseStats(line))
		case platform.WordOf(line) == platform.Busy:
			s.probed(l.region, p, policy.Full, nil)
		default:
			s.probed(l.region, p, policy.Failed, nil)
		}
	}
}

// probed reports a probe's result. The connection stays only where it was answered in good order.
func (s *Server) probed(region string, p *probe, result policy.Result, report *policy.Report) {
	if result != policy.OK {
		p.l.drop()
		p.l = nil
	}
	if p.begun = nil; p.busy {
		p.busy = false
		s.step(core.Probed{Region: region, Result: result, Report: report})
	}
}

func drop(w **watch) {
	if *w != nil {
		(*w).l.drop()
		*w = nil
	}
}

func (s *Server) fromWatch(w *watch, e event) {
	switch e.kind {
	case evConnected:
		w.l.write(platform.AppendWatch(nil, s.cfg.Discovery, w.seq))
	case evRefused, evEnded, evBroken:
		s.watch = nil
		s.step(core.WatchEnded{})
	case evData:
		err := w.in.Read(*e.data, func(list *core.Listed) {
			w.answered = true
			drop(&s.former)
			if list == nil {
				s.step(core.WatchAlive{})
			} else {
				s.step(*list)
			}
		})
		if err != nil && w == s.watch {
			drop(&s.watch)
			s.step(core.WatchEnded{})
		}
	}
}

// fromFormer takes what still comes by the watch that is to be followed. Its end is no loss of news: the
// reducer minds the one that follows.
func (s *Server) fromFormer(e event) {
	var err error
	switch e.kind {
	case evEnded, evBroken:
		s.former = nil
	case evData:
		err = s.former.in.Read(*e.data, func(list *core.Listed) {
			if list != nil {
				list.Former = true
				s.step(*list)
			}
		})
	}
	if err != nil {
		drop(&s.former)
	}
}

// ticked does what sockets need by the clock.
func (s *Server) ticked(now time.Time) {
	for region, p := range s.probes {
		if p.busy && now.After(p.due) {
			s.probed(region, p, policy.TimedOut, nil)
		}
	}
	for t := range s.moving {
		if now.After(t.moveBy) { // the region has stopped inside a line: MOVE would be taken for its rest
			s.closeTerminal(t, core.Broken)
			if t.task != nil {
				t.task.drop()
				t.task = nil
			}
		}
	}
	if now.After(s.checkAt) {
		s.checkAt = now.Add(checkEvery)
		s.short = s.cfg.MemoryMB > 0 && heap() > uint64(s.cfg.MemoryMB)<<20*8/10
	}
	limit, grace := int(s.limit.Load()), time.Duration(0)
	if over := int(s.sockets.Load()) - (limit - reserve - limit/8); over > 0 {
		s.step(core.Crowded{By: over})
		grace = endSooner
	}
	for l := range s.finishing {
		l.mu.Lock()
		over := l.state == ended
		l.mu.Unlock()
		if w := l.written.Load(); w != l.seen { // somebody still reads what is buffered
			l.seen, l.endBy = w, now.Add(readWait)
		}
		if !over && now.After(l.endBy.Add(-grace)) {
			l.force()
			over = true
		}
		if over {
			delete(s.finishing, l)
		}
	}
}
