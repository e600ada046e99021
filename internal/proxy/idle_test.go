package proxy

import (
	"bytes"
	"io"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"oatloft/internal/core"
	"oatloft/policy"
)

// eventTimeout bounds waits for expected events. It leaves room for slow machines; normally a few milliseconds suffice.
const eventTimeout = 20 * time.Second

// runOnLoop runs do on the balancer's loop, between two events.
func runOnLoop(t *testing.T, b *Balancer, do func()) {
	t.Helper()
	done := make(chan struct{})
	select {
	case b.calls <- func() { do(); close(done) }:
		<-done
	case <-time.After(eventTimeout):
		t.Fatal("the loop accepts no call")
	}
}

// eventually waits until holds returns true on the balancer's loop.
func eventually(t *testing.T, b *Balancer, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(eventTimeout); ; time.Sleep(time.Millisecond) {
		var ok bool
		runOnLoop(t, b, func() { ok = holds() })
		if ok {
			return
		}
		if time.Now().After(end) {
			t.Fatal("timed out waiting for ", what)
		}
	}
}

// startWithLongTimeouts starts a balancer with time-outs so long that no attempt fails because the machine is slow.
func startWithLongTimeouts(t *testing.T, text string, change func(cfg *Config)) *exchange {
	t.Helper()
	p := startExchange(t, text)
	cfg := p.balancer.cfg // only a reload changes it
	cfg.Core.ConnectTimeout, cfg.Core.ProbeTimeout = time.Minute, time.Minute
	cfg.Core.Policy.Classes = append([]policy.Class(nil), cfg.Core.Policy.Classes...)
	cfg.Core.Policy.Classes[0].LatencyObjective = time.Minute
	if change != nil {
		change(&cfg)
	}
	p.reload <- cfg
	return p
}

// playSteps plays steps of an exchange, each with a time limit of eventTimeout.
func playSteps(t *testing.T, p *exchange, steps ...string) {
	t.Helper()
	for _, step := range steps {
		p.stepTimeout = eventTimeout
		if err := p.runStep(step); err != nil {
			t.Fatalf("%s: %v", step, err)
		}
	}
}

// connectIdle connects without sending anything and returns the connection and the balancer's client for it.
func connectIdle(t *testing.T, p *exchange) (*net.TCPConn, *client) {
	t.Helper()
	c, err := net.Dial("tcp", p.addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(eventTimeout))
	var found *client
	eventually(t, p.balancer, "the client", func() bool {
		for _, x := range p.balancer.clients {
			x.conn.mu.Lock()
			if x.conn.conn != nil && x.conn.conn.RemoteAddr().String() == c.LocalAddr().String() {
				found = x
			}
			x.conn.mu.Unlock()
		}
		return found != nil
	})
	return c.(*net.TCPConn), found
}

// tcpState returns the TCP state of a connection: CLOSE_WAIT once the peer has closed gracefully, CLOSE after a reset.
func tcpState(t *testing.T, c *net.TCPConn) int {
	t.Helper()
	raw, err := c.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	state := 0
	_ = raw.Control(func(fd uintptr) {
		state, err = syscall.GetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_INFO)
	})
	if err != nil {
		t.Fatal(err)
	}
	return state & 0xff
}

// tcpCloseWait is the number of state CLOSE_WAIT in include/net/tcp_states.h.
const tcpCloseWait = 8

// An idle client is closed, and its request crosses the final answer, also in pieces. The request must be read and
// discarded: closing the socket with unread bytes would reset the connection, and the answer might be lost. Both
// reasons for closing idle clients are covered.
func TestRequestCrossingFinalAnswerIsDiscarded(t *testing.T) {
	for answer, closeIdle := range map[string]func(b *Balancer, x *client){
		"BUSY\r\n": func(b *Balancer, x *client) { b.step(core.DescriptorsScarce{Missing: 1}) },
		"ERR\r\n":  func(b *Balancer, x *client) { b.step(core.InvalidRequest{Client: x.handle}) },
	} {
		p := startExchange(t, "")
		c, x := connectIdle(t, p)
		eventually(t, p.balancer, "the idle client to be closed", func() bool {
			closeIdle(p.balancer, x)
			return x.finished
		})
		if got, err := io.ReadAll(c); string(got) != answer || err != nil {
			t.Fatalf("got %q, %v", got, err)
		}
		request := []byte("OPEN 1 k c=chat,d=1500\r\n")
		for _, part := range [][]byte{request[:7], request[7:]} {
			if _, err := c.Write(part); err != nil {
				t.Fatalf("%q crossed by a request: %v", answer, err)
			}
		}
		eventually(t, p.balancer, "the request to be discarded", func() bool {
			x.conn.mu.Lock()
			defer x.conn.mu.Unlock()
			return x.conn.discarded == len(request)
		})
		if state := tcpState(t, c); state != tcpCloseWait {
			t.Fatalf("%q crossed by a request: the connection is in state %d, want %d", answer, state, tcpCloseWait)
		}
		_ = c.Close()
		eventually(t, p.balancer, "the descriptor free again", func() bool { return len(p.balancer.finishing) == 0 })
	}
}

// A closed client that never closes its own side occupies a descriptor for a bounded time only.
func TestClosedClientThatNeverClosesIsForceClosed(t *testing.T) {
	p := startExchange(t, "")
	c, x := connectIdle(t, p)
	runOnLoop(t, p.balancer, func() { p.balancer.step(core.InvalidRequest{Client: x.handle}) })
	if got, err := io.ReadAll(c); string(got) != "ERR\r\n" || err != nil {
		t.Fatalf("got %q, %v", got, err)
	}
	eventually(
		t,
		p.balancer,
		"the descriptor free again",
		func() bool { return len(p.balancer.finishing) == 0 && x.conn.isDescriptorFreed() },
	)
}

// Under an overload of idle clients only as many are closed as descriptors are lacking, although closed clients occupy
// their descriptors for a while longer.
func TestIdleClientsAreClosedOnlyAsNeeded(t *testing.T) {
	p := startExchange(t, "sockets 200") // scarce from 128 on; requests are rejected from 153 on
	const idle = 145
	var clients []net.Conn
	for range idle {
		c, err := net.Dial("tcp", p.addr)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = c.Close() }()
		clients = append(clients, c)
	}
	eventually(t, p.balancer, "all accepted", func() bool { return p.balancer.counters.Accepted >= idle })
	var closed, timedOut int64
	eventually(t, p.balancer, "an answer to each", func() bool {
		closed, timedOut = p.balancer.core.Counters.IdleClosed, p.balancer.core.Counters.IdleTimedOut
		return closed+timedOut == idle
	})
	answers := map[string]int64{}
	for _, c := range clients {
		_ = c.SetReadDeadline(time.Now().Add(eventTimeout))
		got, err := io.ReadAll(c)
		if err != nil {
			t.Errorf("got %q, %v", got, err)
		}
		answers[string(got)]++
	}
	if answers["BUSY\r\n"] != closed || answers["ERR\r\n"] != timedOut {
		t.Errorf("%v answered, %d closed for descriptors, %d timed out as idle", answers, closed, timedOut)
	}
	// The watch, its dial and some probes use a descriptor each.
	if lacking := int64(idle - 127); closed == 0 || closed > lacking+8 {
		t.Errorf("%d of %d idle clients closed; want about %d, as many as descriptors are lacking", closed, idle, lacking)
	}
}

// A client that sends PING without end and reads no answer is closed before the answers fill the memory.
func TestUnreadAnswersToPingsAreBounded(t *testing.T) {
	p := startExchange(t, "")
	c, x := connectIdle(t, p)
	pings := bytes.Repeat([]byte("PING\r\n"), 1<<10)
	go func() {
		for {
			if _, err := c.Write(pings); err != nil {
				return
			}
		}
	}()
	eventually(t, p.balancer, "the flood's end", func() bool {
		if n := x.conn.backlog(); n > 2*backpressureBytes {
			t.Errorf("%d bytes of answers buffered", n)
		}
		return x.finished
	})
}

// Hundreds of PINGs in one segment are answered one by one, and so is the request whose first half arrived with them.
func TestManyPingsAndHalfRequestInOneSegment(t *testing.T) {
	p := startWithLongTimeouts(t, "", nil)
	c, _ := connectIdle(t, p)
	const pings = 300
	if _, err := io.WriteString(c, strings.Repeat("PING\r\n", pings)+"OPEN 1 k c=ch"); err != nil {
		t.Fatal(err)
	}
	got := make([]byte, pings*len("PONG\r\n"))
	if _, err := io.ReadFull(c, got); err != nil || string(got) != strings.Repeat("PONG\r\n", pings) {
		t.Fatalf("%q, %v", got, err)
	}
	if _, err := io.WriteString(c, "at,d=20000\r\n"); err != nil {
		t.Fatal(err)
	}
	playSteps(t, p, "task1 < OPEN 1 k c=chat,d=*", "task1 > UP 1")
	if up := make([]byte, len("UP 1\r\n")); true {
		if _, err := io.ReadFull(c, up); err != nil || string(up) != "UP 1\r\n" {
			t.Fatalf("%q, %v", up, err)
		}
	}
}

// Connections that close immediately after opening leak no descriptor, whether they close gracefully, by reset, or
// with unread bytes.
func TestShortConnectionsLeakNoDescriptor(t *testing.T) {
	p := startExchange(t, "")
	var before int64
	eventually(t, p.balancer, "the watch", func() bool { before = p.balancer.sockets.Load(); return before > 0 })
	for i := range 60 {
		c, err := net.Dial("tcp", p.addr)
		if err != nil {
			t.Fatal(err)
		}
		if i%2 == 1 {
			_, _ = c.Write(bytes.Repeat([]byte("x"), 100<<10))
		}
		if i%3 == 0 {
			_ = c.(*net.TCPConn).SetLinger(0)
		}
		_ = c.Close()
	}
	eventually(t, p.balancer, "all to be closed", func() bool {
		b := p.balancer
		return b.counters.Accepted >= 40 && len(b.clients) == 0 && len(b.finishing) == 0 && b.sockets.Load() <= before+2
	})
}

// Idle clients exhaust the descriptors while discovery is unavailable. They are closed to free descriptors, and a
// client with a request is served from the known endpoints.
func TestDescriptorOverloadWhileDiscoveryIsDown(t *testing.T) {
	p := startWithLongTimeouts(t, "sockets 200", nil) // scarce from 128 on; no connection is accepted from 177 on
	// Each watch is reset. The listener stays open, since a server of another test could be given its port.
	go func() {
		for call := range p.watchCalls {
			_ = call.conn.(*net.TCPConn).SetLinger(0)
			_ = call.conn.Close()
		}
	}()
	for range 250 {
		c, err := net.Dial("tcp", p.addr)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = c.Close() }()
	}
	eventually(t, p.balancer, "free descriptors", func() bool {
		b := p.balancer
		return b.counters.Accepted == 250 && b.basicLimits().MayAdmit(int(b.sockets.Load())+8, false)
	})
	playSteps(t, p, "a > OPEN 1 k c=chat,d=20000", "task1 < OPEN 1 *", "task1 > UP 1", "a < UP 1")
	eventually(t, p.balancer, "the end of all other clients", func() bool {
		return p.balancer.core.OpenRequests() == 1 && len(p.balancer.clients) == 1 && len(p.balancer.finishing) == 0
	})
}

// A server closes its idle probe connection just before or just after STATS is sent. The probe fails, which is reported
// once, and the next probe uses a new connection.
func TestIdleProbeConnectionClosedAsStatsIsSent(t *testing.T) {
	p, v := startWithProbes(t, true), newCountingServer(t)
	b := p.balancer
	nextProbe := func() net.Conn {
		t.Helper()
		select {
		case c := <-v.probes:
			return c
		case <-time.After(eventTimeout):
			t.Fatal("no probe")
			return nil
		}
	}
	answered := func(c net.Conn) {
		t.Helper()
		_, _ = io.WriteString(c, "PONG latency_ms=3.5,inflight=1,x0=0.1\r\n")
		eventually(t, b, "the answer", func() bool { return !b.probes["own"].pending && b.probes["own"].conn != nil })
	}
	failed := func(times int64) {
		t.Helper()
		eventually(
			t,
			b,
			"the failure",
			func() bool { return !b.probes["own"].pending && b.core.Counters.ProbesFailed == times },
		)
	}
	ask := core.Probe{Server: "own", Address: v.Addr().String(), Timeout: time.Minute}
	publishServer(t, p, nil, 9, v.Addr().String(), "ready", policy.Live)
	sendPendingRequest(t, p)
	idle := nextProbe()
	answered(idle)
	runOnLoop(t, b, func() { // the end is read, but its event is handled after the probe has started
		_ = idle.Close()
		conn := b.probes["own"].conn
		for end := time.Now().Add(eventTimeout); !conn.hasEnded() && time.Now().Before(end); {
			time.Sleep(time.Millisecond)
		}
		b.startProbe(ask)
	})
	failed(1)
	runOnLoop(t, b, func() { b.startProbe(ask) })
	answered(nextProbe())
	runOnLoop(t, b, func() { b.startProbe(ask) })
	_ = nextProbe().Close() // it has read STATS
	failed(2)
	runOnLoop(t, b, func() { b.startProbe(ask) })
	answered(nextProbe())
}
