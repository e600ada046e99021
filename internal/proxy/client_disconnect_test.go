package proxy

import (
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"oatloft/policy"
)

// startWithProbes starts a balancer whose time-outs are far longer than the grace period for disconnected clients, so
// that only the client's disconnect can end a request early.
func startWithProbes(t *testing.T, probes bool) *exchange {
	t.Helper()
	return startWithLongTimeouts(t, "", func(cfg *Config) { cfg.Core.Policy.ProbesEnabled = probes })
}

// discoveryServer answers every watch with the latest list and sends keep-alives. On a slow machine the balancer may
// open several watches.
type discoveryServer struct {
	mu      sync.Mutex
	list    string
	watches []net.Conn
}

func newDiscoveryServer(p *exchange, list string) *discoveryServer {
	d := &discoveryServer{list: list}
	go func() {
		alive := time.NewTicker(500 * time.Millisecond)
		defer alive.Stop()
		for {
			select {
			case watch := <-p.watchCalls:
				d.mu.Lock()
				_, _ = io.WriteString(watch.conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"+discoveryChunk(d.list))
				d.watches = append(d.watches, watch.conn)
				d.mu.Unlock()
			case <-alive.C:
				d.publish("")
			case <-p.t.Context().Done():
				return
			}
		}
	}()
	return d
}

func discoveryChunk(line string) string { return fmt.Sprintf("%x\r\n%s\n\r\n", len(line)+1, line) }

// publish writes a line to all watches. A non-empty list is also the first line for later watches.
func (d *discoveryServer) publish(list string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if list != "" {
		d.list = list
	}
	for _, c := range d.watches {
		_, _ = io.WriteString(c, discoveryChunk(list))
	}
}

// publishServer publishes a list of one server in the given state and waits until the balancer has applied it. It
// creates the discovery service if d is nil.
func publishServer(
	t *testing.T,
	p *exchange,
	d *discoveryServer,
	seq int,
	addr, health string,
	state policy.ServerState,
) *discoveryServer {
	t.Helper()
	list := fmt.Sprintf(`{"seq":%d,"whole":true,"hosts":[{"host":"own","dial":%q,"site":"a","class":"m","block":0,`+
		`"health":%q,"share":1.0,"born_ms":0}]}`, seq, addr, health)
	if d == nil {
		d = newDiscoveryServer(p, list)
	} else {
		d.publish(list)
	}
	eventually(t, p.balancer, "the list", func() bool {
		list := p.balancer.core.ListedServers()
		return len(list) == 1 && list[0].ID == "own" && list[0].State == state
	})
	return d
}

// sendPendingRequest sends a request and waits until the balancer has admitted it.
func sendPendingRequest(t *testing.T, p *exchange) (*net.TCPConn, *client) {
	t.Helper()
	c, x := connectIdle(t, p)
	if _, err := io.WriteString(c, "OPEN 1 k c=chat,d=120000\r\n"); err != nil {
		t.Fatal(err)
	}
	eventually(t, p.balancer, "the request", func() bool { return x.requestRead && p.balancer.core.Unanswered() == 1 })
	return c, x
}

// disconnect disconnects the client and returns once the grace period, in which an attempt may still begin, has passed
// since the balancer noticed the disconnect.
func disconnect(t *testing.T, p *exchange, c *net.TCPConn, x *client, reset bool) {
	t.Helper()
	if reset {
		_ = c.SetLinger(0)
		_ = c.Close()
		eventually(
			t,
			p.balancer,
			"the client's reset",
			func() bool { return x.finished && p.balancer.core.OpenRequests() == 0 },
		)
		return
	}
	_ = c.CloseWrite()
	eventually(t, p.balancer, "the client's end", func() bool {
		x.conn.mu.Lock()
		defer x.conn.mu.Unlock()
		return x.conn.tail != nil
	})
	for range 50 { // the end was posted before the hand-over; at least one event is handled between two calls
		runOnLoop(t, p.balancer, func() {})
	}
	time.Sleep(policy.DisconnectGrace + 50*time.Millisecond)
}

// expectBusy checks that a client that closed only its sending side gets exactly one answer.
func expectBusy(t *testing.T, c *net.TCPConn, reset bool) {
	t.Helper()
	if reset {
		return
	}
	if got, err := io.ReadAll(c); !strings.HasPrefix(string(got), "BUSY") || strings.Count(string(got), "\n") != 1 ||
		err != nil {
		t.Fatalf("got %q, %v", got, err)
	}
}

// countingServer is a server that counts its requests and leaves probes to be answered by the test.
type countingServer struct {
	net.Listener
	probes   chan net.Conn
	requests atomic.Int64
}

func newCountingServer(t *testing.T) *countingServer {
	t.Helper()
	l, err := net.Listen("tcp", "127.8.1.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	v := &countingServer{Listener: l, probes: make(chan net.Conn, 99)}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go v.serve(c)
		}
	}()
	return v
}

func (v *countingServer) serve(c net.Conn) {
	in := newTestPeer(c).in
	for {
		line, err := in.ReadString('\n')
		switch {
		case err != nil:
			return
		case strings.HasPrefix(line, "STATS"):
			v.probes <- c
		default:
			v.requests.Add(1)
		}
	}
}

// expectNothingSent checks that the request has ended after the given number of attempts without being sent to the
// server. After its end it cannot be sent any more.
func expectNothingSent(t *testing.T, p *exchange, v *countingServer, attempts int64) {
	t.Helper()
	eventually(t, p.balancer, "the request's end", func() bool { return p.balancer.core.OpenRequests() == 0 })
	runOnLoop(t, p.balancer, func() {
		if n := p.balancer.core.Counters.Attempts; n != attempts {
			t.Errorf("%d attempts, want %d", n, attempts)
		}
	})
	if n := v.requests.Load(); n != 0 {
		t.Errorf("the server got %d requests", n)
	}
}

// A request whose client disconnects while it is queued for capacity must not be sent when capacity becomes available.
func TestClientDisconnectsWhileRequestIsQueued(t *testing.T) {
	for _, reset := range []bool{false, true} {
		p, v := startWithProbes(t, false), newCountingServer(t)
		d := publishServer(t, p, nil, 9, v.Addr().String(), "draining", policy.Draining)
		c, x := sendPendingRequest(t, p)
		disconnect(t, p, c, x, reset)
		publishServer(t, p, d, 10, v.Addr().String(), "ready", policy.Live)
		expectBusy(t, c, reset)
		expectNothingSent(t, p, v, 0)
	}
}

// A request whose client disconnects while it waits for a probe's answer must not be sent when the answer arrives.
func TestClientDisconnectsWhileRequestWaitsForProbe(t *testing.T) {
	for _, reset := range []bool{false, true} {
		p, v := startWithProbes(t, true), newCountingServer(t)
		publishServer(t, p, nil, 9, v.Addr().String(), "ready", policy.Live)
		c, x := sendPendingRequest(t, p)
		var probe net.Conn
		select {
		case probe = <-v.probes:
		case <-time.After(eventTimeout):
			t.Fatal("no probe")
		}
		disconnect(t, p, c, x, reset)
		_, _ = io.WriteString(probe, "PONG latency_ms=3.5,inflight=1,x0=0.1\r\n")
		expectBusy(t, c, reset)
		expectNothingSent(t, p, v, 0)
	}
}

// newFullListener returns a listener whose accept queue is full: further connections are established only once the
// test accepts from the queue.
func newFullListener(t *testing.T) *net.TCPListener {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	file := os.NewFile(uintptr(fd), "listener")
	defer func() { _ = file.Close() }()
	if err = syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 8, 1, 1}}); err == nil {
		err = syscall.Listen(fd, 0)
	}
	if err != nil {
		t.Fatal(err)
	}
	l, err := net.FileListener(file)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	if err = syscall.Listen(fd, 0); err != nil { // net.FileListener has increased the backlog
		t.Fatal(err)
	}
	for range 9 {
		c, err := net.DialTimeout("tcp", l.Addr().String(), 300*time.Millisecond)
		if err != nil {
			return l.(*net.TCPListener)
		}
		t.Cleanup(func() { _ = c.Close() })
	}
	t.Fatal("the accept queue is never full")
	return nil
}

// A request whose client disconnects while its attempt dials must not be sent once the connection is established.
func TestClientDisconnectsWhileAttemptDials(t *testing.T) {
	for _, reset := range []bool{false, true} {
		p := startWithProbes(t, false)
		l := newFullListener(t)
		publishServer(t, p, nil, 9, l.Addr().String(), "ready", policy.Live)
		c, x := sendPendingRequest(t, p)
		eventually(t, p.balancer, "the dial", func() bool { return x.server != nil })
		disconnect(t, p, c, x, reset)
		v := &countingServer{Listener: l, probes: make(chan net.Conn, 99)}
		go func() { // drain the accept queue
			for {
				c, err := l.Accept()
				if err != nil {
					return
				}
				go v.serve(c)
			}
		}()
		expectBusy(t, c, reset)
		expectNothingSent(t, p, v, 1)
	}
}

// No further attempt is made for a disconnected client when its attempt is rejected, fails or is reset, although the
// request may be retried and a second server is available.
func TestClientDisconnectsBetweenAttempts(t *testing.T) {
	for _, end := range []string{"task1 > BUSY", "task1 > ERR", "task1 FIN", "task1 RST"} {
		p := startWithProbes(t, true)
		c, x := sendPendingRequest(t, p)
		playSteps(t, p, "task1 < OPEN 1 *")
		disconnect(t, p, c, x, false)
		playSteps(t, p, end)
		expectBusy(t, c, false)
		expectNothingSent(t, p, &countingServer{}, 1)
	}
	p := startWithProbes(t, true)
	c, x := sendPendingRequest(t, p)
	playSteps(t, p, "task1 < OPEN 1 *")
	disconnect(t, p, c, x, true)
	readToEnd(t, p, "task1", "", false)
	expectNothingSent(t, p, &countingServer{}, 1)
}
