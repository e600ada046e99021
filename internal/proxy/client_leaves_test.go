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

// leavesPlay has a balancer whose waits are far longer than a client's grace: whatever ends a request early, it was
// its client.
func leavesPlay(t *testing.T, probes bool) *play {
	t.Helper()
	return patientPlay(t, "", func(cfg *Config) { cfg.Core.Policy.ProbesEnabled = probes })
}

// patientDiscovery answers every watch with the latest list, and keeps it alive: a slow machine may need several.
type patientDiscovery struct {
	mu      sync.Mutex
	list    string
	watches []net.Conn
}

func newPatientDiscovery(p *play, list string) *patientDiscovery {
	d := &patientDiscovery{list: list}
	go func() {
		alive := time.NewTicker(500 * time.Millisecond)
		defer alive.Stop()
		for {
			select {
			case watch := <-p.watches:
				d.mu.Lock()
				_, _ = io.WriteString(watch.conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"+patientChunk(d.list))
				d.watches = append(d.watches, watch.conn)
				d.mu.Unlock()
			case <-alive.C:
				d.tell("")
			case <-p.t.Context().Done():
				return
			}
		}
	}()
	return d
}

func patientChunk(line string) string { return fmt.Sprintf("%x\r\n%s\n\r\n", len(line)+1, line) }

// tell writes a line to all watches; a list is what later ones get first.
func (d *patientDiscovery) tell(list string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if list != "" {
		d.list = list
	}
	for _, c := range d.watches {
		_, _ = io.WriteString(c, patientChunk(list))
	}
}

// leavesList has discovery tell one server, in this state, and waits until the balancer has it.
func leavesList(
	t *testing.T,
	p *play,
	d *patientDiscovery,
	seq int,
	addr, health string,
	state policy.ServerState,
) *patientDiscovery {
	t.Helper()
	list := fmt.Sprintf(`{"seq":%d,"whole":true,"hosts":[{"host":"own","dial":%q,"site":"a","class":"m","block":0,`+
		`"health":%q,"share":1.0,"born_ms":0}]}`, seq, addr, health)
	if d == nil {
		d = newPatientDiscovery(p, list)
	} else {
		d.tell(list)
	}
	idleEventually(t, p.server, "the list", func() bool {
		list := p.server.core.ListedServers()
		return len(list) == 1 && list[0].ID == "own" && list[0].State == state
	})
	return d
}

// leavesRequest sends a request, and waits until the balancer has it.
func leavesRequest(t *testing.T, p *play) (*net.TCPConn, *client) {
	t.Helper()
	c, x := idleClient(t, p)
	if _, err := io.WriteString(c, "OPEN 1 k c=chat,d=120000\r\n"); err != nil {
		t.Fatal(err)
	}
	idleEventually(t, p.server, "the request", func() bool { return x.requestRead && p.server.core.Unanswered() == 1 })
	return c, x
}

// leavesBy has the client leave, and returns once the balancer has known it for longer than an attempt may still
// begin.
func leavesBy(t *testing.T, p *play, c *net.TCPConn, x *client, reset bool) {
	t.Helper()
	if reset {
		_ = c.SetLinger(0)
		_ = c.Close()
		idleEventually(
			t,
			p.server,
			"the client's reset",
			func() bool { return x.finished && p.server.core.OpenRequests() == 0 },
		)
		return
	}
	_ = c.CloseWrite()
	idleEventually(t, p.server, "the client's end", func() bool {
		x.conn.mu.Lock()
		defer x.conn.mu.Unlock()
		return x.conn.tail != nil
	})
	for range 50 { // the end was posted before that; an event at least is handled between two of these
		onServerLoop(t, p.server, func() {})
	}
	time.Sleep(policy.DisconnectGrace + 50*time.Millisecond)
}

// leavesAnswered takes the one answer that is owed to a client that left.
func leavesAnswered(t *testing.T, c *net.TCPConn, reset bool) {
	t.Helper()
	if reset {
		return
	}
	if got, err := io.ReadAll(c); !strings.HasPrefix(string(got), "BUSY") || strings.Count(string(got), "\n") != 1 ||
		err != nil {
		t.Fatalf("got %q, %v", got, err)
	}
}

// leavesServer is a server on cue: it counts the requests that it gets, and keeps probes waiting until it is told.
type leavesServer struct {
	net.Listener
	probes   chan net.Conn
	requests atomic.Int64
}

func newLeavesServer(t *testing.T) *leavesServer {
	t.Helper()
	l, err := net.Listen("tcp", "127.8.1.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	v := &leavesServer{Listener: l, probes: make(chan net.Conn, 99)}
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

func (v *leavesServer) serve(c net.Conn) {
	in := newPeer(c).in
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

// leavesNothingSent tells that the request is over and no line went to a server for it. With the request over none
// can follow.
func leavesNothingSent(t *testing.T, p *play, v *leavesServer, tasks int64) {
	t.Helper()
	idleEventually(t, p.server, "the request's end", func() bool { return p.server.core.OpenRequests() == 0 })
	onServerLoop(t, p.server, func() {
		if n := p.server.core.Counters.Attempts; n != tasks {
			t.Errorf("%d attempts, want %d", n, tasks)
		}
	})
	if n := v.requests.Load(); n != 0 {
		t.Errorf("the server got %d requests", n)
	}
}

// A client leaves while its request waits for room. When room comes, the request goes nowhere.
func TestAClientLeavesWhileItsRequestWaitsForRoom(t *testing.T) {
	for _, reset := range []bool{false, true} {
		p, v := leavesPlay(t, false), newLeavesServer(t)
		d := leavesList(t, p, nil, 9, v.Addr().String(), "draining", policy.Draining)
		c, x := leavesRequest(t, p)
		leavesBy(t, p, c, x, reset)
		leavesList(t, p, d, 10, v.Addr().String(), "ready", policy.Live)
		leavesAnswered(t, c, reset)
		leavesNothingSent(t, p, v, 0)
	}
}

// A client leaves while its request waits for a probe's answer. When that comes, the request goes nowhere.
func TestAClientLeavesWhileItsRequestWaitsForAProbe(t *testing.T) {
	for _, reset := range []bool{false, true} {
		p, v := leavesPlay(t, true), newLeavesServer(t)
		leavesList(t, p, nil, 9, v.Addr().String(), "ready", policy.Live)
		c, x := leavesRequest(t, p)
		var probe net.Conn
		select {
		case probe = <-v.probes:
		case <-time.After(idleLimit):
			t.Fatal("no probe")
		}
		leavesBy(t, p, c, x, reset)
		_, _ = io.WriteString(probe, "PONG latency_ms=3.5,inflight=1,x0=0.1\r\n")
		leavesAnswered(t, c, reset)
		leavesNothingSent(t, p, v, 0)
	}
}

// leavesFullListener listens without accepting, and its queue is full: a connection to it comes up when the queue is
// taken, and no sooner.
func leavesFullListener(t *testing.T) *net.TCPListener {
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
	if err = syscall.Listen(fd, 0); err != nil { // the library has made it longer
		t.Fatal(err)
	}
	for range 9 {
		c, err := net.DialTimeout("tcp", l.Addr().String(), 300*time.Millisecond)
		if err != nil {
			return l.(*net.TCPListener)
		}
		t.Cleanup(func() { _ = c.Close() })
	}
	t.Fatal("the queue takes all")
	return nil
}

// A client leaves while the connection to a server comes up. Once it is up, the line isn't sent.
func TestAClientLeavesWhileItsConnectionComesUp(t *testing.T) {
	for _, reset := range []bool{false, true} {
		p := leavesPlay(t, false)
		l := leavesFullListener(t)
		leavesList(t, p, nil, 9, l.Addr().String(), "ready", policy.Live)
		c, x := leavesRequest(t, p)
		idleEventually(t, p.server, "the dial", func() bool { return x.server != nil })
		leavesBy(t, p, c, x, reset)
		v := &leavesServer{Listener: l, probes: make(chan net.Conn, 99)}
		go func() { // the queue is taken now
			for {
				c, err := l.Accept()
				if err != nil {
					return
				}
				go v.serve(c)
			}
		}()
		leavesAnswered(t, c, reset)
		leavesNothingSent(t, p, v, 1)
	}
}

// A client leaves while its request is at a server, which then turns it away, fails or breaks: no further attempt
// begins, though one were allowed and a second server is there.
func TestAClientLeavesBetweenTwoAttempts(t *testing.T) {
	for _, end := range []string{"task1 > BUSY", "task1 > ERR", "task1 FIN", "task1 RST"} {
		p := leavesPlay(t, true)
		c, x := leavesRequest(t, p)
		playSteps(t, p, "task1 < OPEN 1 *")
		leavesBy(t, p, c, x, false)
		playSteps(t, p, end)
		leavesAnswered(t, c, false)
		leavesNothingSent(t, p, &leavesServer{}, 1)
	}
	p := leavesPlay(t, true)
	c, x := leavesRequest(t, p)
	playSteps(t, p, "task1 < OPEN 1 *")
	leavesBy(t, p, c, x, true)
	movesEnd(t, p, "task1", "", false)
	leavesNothingSent(t, p, &leavesServer{}, 1)
}
