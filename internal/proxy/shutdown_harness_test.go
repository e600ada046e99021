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

// suspendableListener is a listener whose accept loop can be suspended right after accept.
type suspendableListener struct {
	net.Listener
	mu       sync.Mutex
	accepted chan struct{} // receives when a connection has been accepted and is suspended
	resume   chan struct{} // closed to resume
}

func (h *suspendableListener) Accept() (net.Conn, error) {
	c, err := h.Listener.Accept()
	if err == nil {
		h.mu.Lock()
		accepted, resume := h.accepted, h.resume
		h.mu.Unlock()
		if accepted != nil {
			accepted <- struct{}{}
			<-resume
		}
	}
	return c, err
}

// suspend suspends the accept loop at the next connection.
func (h *suspendableListener) suspend() (accepted, resume chan struct{}) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.accepted, h.resume = make(chan struct{}, 99), make(chan struct{})
	return h.accepted, h.resume
}

// shutdownHarness is a balancer with scripted servers and discovery, as in the exchanges of TestExchanges, and a
// controlled clock.
type shutdownHarness struct {
	*exchange
	listener *suspendableListener
	clock    time.Duration // the reducer's, stopped unless a test advances it
	mu       sync.Mutex
	conns    []net.Conn // accepted by servers and discovery
	group    sync.WaitGroup
}

// acceptPeers plays a server, whose probes are answered immediately, or discovery.
func (b *shutdownHarness) acceptPeers(l net.Listener, discovery bool) {
	defer b.group.Done()
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		b.mu.Lock()
		b.conns = append(b.conns, c)
		b.mu.Unlock()
		remote := newTestPeer(c)
		if discovery {
			b.watchCalls <- remote
			continue
		}
		b.group.Add(1)
		go func() {
			defer b.group.Done()
			for {
				word, err := remote.in.Peek(5)
				if err != nil {
					return
				}
				if string(word) != "STATS" {
					b.attempts <- remote
					return
				}
				_, _ = remote.in.ReadString('\n')
				fmt.Fprint(c, "PONG latency_ms=3.5,inflight=10,x0=0.2\r\n")
			}
		}()
	}
}

// close closes the test's listeners and connections.
func (b *shutdownHarness) close() {
	for _, l := range b.servers {
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

func newShutdownHarness(t *testing.T, change func(*Config)) *shutdownHarness {
	t.Helper()
	p := &exchange{t: t, servers: map[string]net.Listener{}, peers: map[string]*testPeer{},
		attempts: make(chan *testPeer, 99), watchCalls: make(chan *testPeer, 99),
		leave: make(chan struct{}), reload: make(chan Config), ended: make(chan error, 1), stepTimeout: shutdownTestTimeout}
	b := &shutdownHarness{exchange: p, listener: &suspendableListener{}}
	t.Cleanup(b.close)
	var vars []string
	for _, name := range []string{"r1", "r2", "discovery", "moved"} {
		l, err := net.Listen("tcp", "127.8.1.2:0")
		if err != nil {
			t.Fatal(err)
		}
		vars = append(vars, "$"+name, l.Addr().String())
		p.servers[name] = l
		b.group.Add(1)
		go b.acceptPeers(l, name == "discovery" || name == "moved")
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
	cfg.Core.Policy.ProbesEnabled, cfg.Core.ConnectTimeout = false, shutdownTestTimeout
	if change != nil {
		change(&cfg)
	}
	if p.balancer, err = New(cfg, slog.New(slog.DiscardHandler)); err != nil {
		t.Fatal(err)
	}
	p.balancer.testSlack = shutdownTestTimeout
	p.balancer.engine.Listen = func(network, addr string) (net.Listener, error) {
		b.listener.Listener, err = p.balancer.listen(network, addr)
		return b.listener, err
	}
	if err := p.balancer.Start(); err != nil {
		t.Fatal(err)
	}
	p.addr = p.balancer.Addr()
	b.clock = p.balancer.now()
	b.stopClock(p.balancer)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	t.Cleanup(func() { cancel(); <-done; p.balancer.Close() })
	go func() {
		defer close(done)
		p.ended <- p.balancer.Run(ctx, p.leave, nil, p.reload)
	}()
	return b
}

// withoutPassThrough configures a balancer that migrates its clients when it shuts down.
func withoutPassThrough(cfg *Config) { cfg.Core.PassThrough = false }

// stopClock stops the reducer's clock, by setting its start so far ahead that measured times are earlier than the
// reducer's own, which it ignores.
func (b *shutdownHarness) stopClock(s *Balancer) {
	s.cfg.ClockOrigin = time.Now().Add(24*time.Hour - b.clock)
}

// advanceClock advances the reducer's clock tick by tick.
func (b *shutdownHarness) advanceClock(d time.Duration) {
	b.t.Helper()
	b.onLoop(func(s *Balancer) {
		for end := b.clock + d; b.clock < end; {
			b.clock += core.TickInterval
			s.cfg.ClockOrigin = time.Now().Add(-b.clock)
			s.step(core.Tick{})
		}
		b.stopClock(s)
	})
}

// onLoop runs f between two events.
func (b *shutdownHarness) onLoop(f func(s *Balancer)) {
	b.t.Helper()
	done := make(chan struct{})
	select {
	case b.balancer.calls <- func() { f(b.balancer); close(done) }:
		<-done
	case <-b.balancer.loopEnded:
		b.t.Fatal("the loop has ended")
	case <-time.After(shutdownTestTimeout):
		b.t.Fatal("the loop accepts no call")
	}
}

// eventually waits until holds returns true on the loop.
func (b *shutdownHarness) eventually(what string, holds func(s *Balancer) bool) {
	b.t.Helper()
	for end, ok := time.Now().Add(shutdownTestTimeout), false; !ok; time.Sleep(time.Millisecond) {
		if b.onLoop(func(s *Balancer) { ok = holds(s) }); time.Now().After(end) {
			b.t.Fatal("timed out waiting for", what)
		}
	}
}

// beginShutdown starts the balancer's shutdown and waits until it drains.
func (b *shutdownHarness) beginShutdown() {
	b.t.Helper()
	b.steps("leave")
	b.eventually("draining", func(s *Balancer) bool { return s.core.Phase() == core.Draining })
}

// awaitDiscoveryCall advances the clock until discovery is called.
func (b *shutdownHarness) awaitDiscoveryCall() {
	b.t.Helper()
	for called := false; !called; {
		b.advanceClock(core.TickInterval)
		b.onLoop(func(s *Balancer) { called = s.core.Counters.Watches > 0 })
	}
	b.steps("watch1 < GET *")
}

// awaitClosing advances the clock until no request is admitted any more.
func (b *shutdownHarness) awaitClosing() {
	b.t.Helper()
	for exiting := false; !exiting; {
		b.advanceClock(core.TickInterval)
		b.onLoop(func(s *Balancer) { exiting = s.exiting })
	}
}

func (b *shutdownHarness) steps(lines ...string) {
	b.t.Helper()
	for _, line := range lines {
		b.stepTimeout = shutdownTestTimeout
		if err := b.runStep(b.vars.Replace(line)); err != nil {
			b.t.Fatalf("%s: %v", line, err)
		}
	}
}

// expectNoAttempt checks that no attempt has reached a server.
func (b *shutdownHarness) expectNoAttempt() {
	b.t.Helper()
	select {
	case <-b.attempts:
		b.t.Fatal("a request was forwarded")
	default:
	}
}
