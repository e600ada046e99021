package proxy

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"oatloft/internal/core"
)

// shutHold is a listener whose accept loop can be suspended right after accept.
type shutHold struct {
	net.Listener
	mu    sync.Mutex
	taken chan struct{} // receives when a connection has been accepted and is suspended
	free  chan struct{} // closed to resume
}

func (h *shutHold) Accept() (net.Conn, error) {
	c, err := h.Listener.Accept()
	if err == nil {
		h.mu.Lock()
		taken, free := h.taken, h.free
		h.mu.Unlock()
		if taken != nil {
			taken <- struct{}{}
			<-free
		}
	}
	return c, err
}

// hold suspends the accept loop at the next connection.
func (h *shutHold) hold() (taken, free chan struct{}) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.taken, h.free = make(chan struct{}, 99), make(chan struct{})
	return h.taken, h.free
}

// shutBed is a balancer with scripted servers and discovery, as in the exchanges of TestExchanges, and a controlled
// clock.
type shutBed struct {
	*play
	hold  *shutHold
	clock time.Duration // the reducer's, stopped unless a test advances it
	mu    sync.Mutex
	conns []net.Conn // accepted by servers and discovery
	group sync.WaitGroup
}

// takes plays a server, whose probes are answered immediately, or discovery.
func (b *shutBed) takes(l net.Listener, discovery bool) {
	defer b.group.Done()
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		b.mu.Lock()
		b.conns = append(b.conns, c)
		b.mu.Unlock()
		who := newPeer(c)
		if discovery {
			b.watches <- who
			continue
		}
		b.group.Add(1)
		go func() {
			defer b.group.Done()
			for {
				word, err := who.in.Peek(5)
				if err != nil {
					return
				}
				if string(word) != "STATS" {
					b.tasks <- who
					return
				}
				_, _ = who.in.ReadString('\n')
				fmt.Fprint(c, "PONG latency_ms=3.5,inflight=10,x0=0.2\r\n")
			}
		}()
	}
}

// end closes the test's listeners and connections.
func (b *shutBed) end() {
	for _, l := range b.regions {
		_ = l.Close()
	}
	b.mu.Lock()
	for _, c := range b.conns {
		_ = c.Close()
	}
	b.mu.Unlock()
	for _, p := range b.peers {
		_ = p.conn.Close()
	}
	b.group.Wait()
}

func newShutBed(t *testing.T, change func(*Config)) *shutBed {
	t.Helper()
	p := &play{t: t, regions: map[string]net.Listener{}, peers: map[string]*peer{},
		tasks: make(chan *peer, 99), watches: make(chan *peer, 99), leave: make(chan struct{}), reload: make(chan Config),
		ended: make(chan error, 1), limit: shutPatience}
	b := &shutBed{play: p, hold: &shutHold{}}
	t.Cleanup(b.end)
	var vars []string
	for _, name := range []string{"r1", "r2", "discovery", "moved"} {
		l, err := net.Listen("tcp", "127.8.1.2:0")
		if err != nil {
			t.Fatal(err)
		}
		vars = append(vars, "$"+name, l.Addr().String())
		p.regions[name] = l
		b.group.Add(1)
		go b.takes(l, name == "discovery" || name == "moved")
	}
	p.vars = strings.NewReplacer(vars...)
	body, err := os.ReadFile("testdata/config.json")
	if err != nil {
		t.Fatal(err)
	}
	cfg, err := ParseConfig([]byte(p.vars.Replace(string(body))), Overrides{})
	if err != nil {
		t.Fatal(err)
	}
	cfg.Core.Policy.ProbesEnabled, cfg.Core.ConnectTimeout = false, shutPatience
	if change != nil {
		change(&cfg)
	}
	if p.server, err = New(cfg, slog.New(slog.DiscardHandler)); err != nil {
		t.Fatal(err)
	}
	p.server.testSlack = shutPatience
	p.server.engine.Listen = func(network, addr string) (net.Listener, error) {
		b.hold.Listener, err = p.server.listen(network, addr)
		return b.hold, err
	}
	if err := p.server.Start(); err != nil {
		t.Fatal(err)
	}
	p.addr = p.server.Addr()
	b.clock = p.server.now()
	b.stop(p.server)
	ctx, cancel := context.WithCancel(context.Background())
	over := make(chan struct{})
	t.Cleanup(func() { cancel(); <-over; p.server.Close() })
	go func() {
		defer close(over)
		p.ended <- p.server.Run(ctx, p.leave, nil, p.reload)
	}()
	return b
}

// notPassing configures a balancer that migrates its clients when it shuts down.
func notPassing(cfg *Config) { cfg.Core.PassThrough = false }

// stop stops the reducer's clock, by setting its start so far ahead that measured times are earlier than the reducer's
// own, which it ignores.
func (b *shutBed) stop(s *Balancer) { s.cfg.StartOfClock = time.Now().Add(24*time.Hour - b.clock) }

// pass advances the reducer's clock tick by tick.
func (b *shutBed) pass(d time.Duration) {
	b.t.Helper()
	b.onLoop(func(s *Balancer) {
		for end := b.clock + d; b.clock < end; {
			b.clock += core.TickInterval
			s.cfg.StartOfClock = time.Now().Add(-b.clock)
			s.step(core.Tick{})
		}
		b.stop(s)
	})
}

// onLoop runs f between two events.
func (b *shutBed) onLoop(f func(s *Balancer)) {
	b.t.Helper()
	done := make(chan struct{})
	select {
	case b.server.calls <- func() { f(b.server); close(done) }:
		<-done
	case <-b.server.loopEnded:
		b.t.Fatal("the loop has ended")
	case <-time.After(shutPatience):
		b.t.Fatal("the loop accepts no call")
	}
}

// until waits until holds returns true on the loop.
func (b *shutBed) until(what string, holds func(s *Balancer) bool) {
	b.t.Helper()
	for end, ok := time.Now().Add(shutPatience), false; !ok; time.Sleep(time.Millisecond) {
		if b.onLoop(func(s *Balancer) { ok = holds(s) }); time.Now().After(end) {
			b.t.Fatal("timed out waiting for", what)
		}
	}
}

// leaves starts the balancer's shutdown and waits until it drains.
func (b *shutBed) leaves() {
	b.t.Helper()
	b.steps("leave")
	b.until("draining", func(s *Balancer) bool { return s.core.Phase() == core.Draining })
}

// calls advances the clock until discovery is called.
func (b *shutBed) calls() {
	b.t.Helper()
	for over := false; !over; {
		b.pass(core.TickInterval)
		b.onLoop(func(s *Balancer) { over = s.core.Counters.Watches > 0 })
	}
	b.steps("watch1 < GET *")
}

// closes advances the clock until no request is admitted any more.
func (b *shutBed) closes() {
	b.t.Helper()
	for over := false; !over; {
		b.pass(core.TickInterval)
		b.onLoop(func(s *Balancer) { over = s.exiting })
	}
}

func (b *shutBed) steps(lines ...string) {
	b.t.Helper()
	for _, line := range lines {
		b.limit = shutPatience
		if err := b.step(b.vars.Replace(line)); err != nil {
			b.t.Fatalf("%s: %v", line, err)
		}
	}
}

// nobodyAsked checks that no attempt has reached a server.
func (b *shutBed) nobodyAsked() {
	b.t.Helper()
	select {
	case <-b.tasks:
		b.t.Fatal("a request was forwarded")
	default:
	}
}
