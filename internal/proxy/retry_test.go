package proxy

import (
	"bytes"
	"fmt"
	"net"
	"os"
	"sync"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

const (
	testConnectTimeout   = 100 * time.Second // connect timeout
	testLatencyObjective = 300 * time.Second // latency objective, which bounds an attempt
	testTimeout          = 20 * time.Second  // how long a test waits for what has to happen
)

// A connection is established in the same turn of the loop in which its attempt times out. The test handles both
// events in either order: an attempt that has timed out sends nothing, its connection is closed, and the request gets
// another attempt or its answer.
func TestConnectedAsAttemptTimesOut(t *testing.T) {
	for _, x := range []struct {
		name         string
		timeout      time.Duration
		timeoutAfter time.Duration // when the attempt times out
		timerFirst   bool          // the timer is handled first, else the connection
		sent         bool          // the request's line is sent
		answered     bool          // the request has no time left for another attempt
	}{
		{"connect timeout, timer first", time.Hour, testConnectTimeout, true, false, false},
		{"connect timeout, connection first", time.Hour, testConnectTimeout, false, true, false},
		{"deadline, timer first", testConnectTimeout / 2, testConnectTimeout / 2, true, false, true},
		{"deadline, connection first", testConnectTimeout / 2, testConnectTimeout / 2, false, false, true},
		{"attempt's time, timer first", time.Hour, testLatencyObjective, true, false, false},
		{"attempt's time, connection first", time.Hour, testLatencyObjective, false, false, false},
	} {
		t.Run(x.name, func(t *testing.T) {
			h := newAttemptHarness(t, "safe")
			client := h.startRequest("1", x.timeout)
			first, server := h.attemptConn("1"), h.acceptedAttempt()
			h.awaitConnState(first, live) // and its event waits in the queue
			h.advanceClock(x.timeoutAfter)
			if x.timerFirst {
				h.tick()
			}
			h.balancer.handleEvents()
			if x.sent {
				h.runLoopUntil("the line", func() bool { server.read(); return bytes.HasSuffix(server.received, []byte("\r\n")) })
				h.answerAttempt(client, server, "1")
				return
			}
			h.expectEnd("the server that was given up", server, "")
			h.awaitConnState(first, ended)
			h.tick()
			if x.answered {
				h.expectEnd("the client", client, "BUSY*")
			} else {
				h.answerAttempt(client, h.awaitAttempt(), "2")
			}
		})
	}
}

// UP waits in the queue as its attempt times out. If the timer is handled first, the client does not receive it.
func TestAnswerAsAttemptTimesOut(t *testing.T) {
	for _, timerFirst := range []bool{true, false} {
		h := newAttemptHarness(t, "safe")
		client := h.startRequest("1", time.Hour)
		server := h.awaitAttempt()
		server.send(t, "UP old\r\n")
		h.waitUntil("UP in the queue", func() bool { return h.queuedEvents(eventData) > 0 })
		h.advanceClock(testLatencyObjective)
		if !timerFirst {
			h.balancer.handleEvents()
			h.tick()
			h.expectReceived("the client", client, "UP old\r\n")
			continue
		}
		h.tick()
		h.balancer.handleEvents()
		h.answerAttempt(client, h.awaitAttempt(), "new")
	}
}

// When the next attempt arrives, the connection of the one before is already closed, as its server sees it.
func TestNoConcurrentAttempts(t *testing.T) {
	h := newAttemptHarness(t, "safe")
	client := h.startRequest("1", time.Hour)
	first := h.awaitAttempt()
	h.advanceClock(testLatencyObjective)
	h.tick()
	var second *attemptPeer
	h.runLoopUntil("the next attempt", func() bool {
		select {
		case second = <-h.acceptedConns:
			first.read() // at once: a FIN sent before the next connection was opened has arrived
			return true
		default:
			return false
		}
	})
	if first.endErr == nil {
		t.Fatal("the next attempt's connection arrived while the one before was open")
	}
	h.runLoopUntil("its line", func() bool { second.read(); return len(second.received) > 0 })
	h.answerAttempt(client, second, "2")
}

// resetPoints are points of an attempt at which its server resets it, and whether the request may have been executed by
// then.
var resetPoints = []struct {
	name       string
	reset      func(h *attemptHarness)
	mayHaveRun bool
}{
	{"before the line, met before it is written", func(h *attemptHarness) {
		first := h.attemptConn("1")
		server := h.acceptedAttempt()
		h.awaitConnState(first, live)
		server.reset()
		h.awaitConnState(first, ended)
		h.balancer.handleEvents()
	}, false},
	{"after the line, unread", func(h *attemptHarness) {
		first, server := h.attemptConn("1"), h.acceptedAttempt()
		h.awaitConnState(first, live)
		h.balancer.handleEvents() // the line is written
		server.reset()
		h.awaitConnState(first, ended)
		h.balancer.handleEvents()
	}, true},
	{"after the line", func(h *attemptHarness) { h.awaitAttempt().reset() }, true},
	{"ended after the line", func(h *attemptHarness) { _ = h.awaitAttempt().conn.Close() }, true},
	{"after the answer's first byte", func(h *attemptHarness) {
		server := h.awaitAttempt()
		server.send(h.t, "U")
		h.waitUntil("the byte in the queue", func() bool { return h.queuedEvents(eventData) > 0 })
		h.balancer.handleEvents()
		server.reset()
	}, true},
	{"with half an answer, both in one turn", func(h *attemptHarness) {
		first, server := h.attemptConn("1"), h.awaitAttempt()
		server.send(h.t, "UP 1")
		server.reset()
		h.awaitConnState(first, ended)
		h.balancer.handleEvents()
	}, true},
	{"long after", func(h *attemptHarness) {
		server := h.awaitAttempt()
		h.advanceClock(testLatencyObjective - 10*time.Second)
		h.tick()
		server.reset()
	}, true},
}

// A connection breaks at each point of an attempt. A request that may have been executed is repeated only where that
// is allowed.
func TestResetsAtEachPoint(t *testing.T) {
	for _, x := range resetPoints {
		for _, class := range []struct {
			semantics string
			repeated  bool // even if it may have been executed
		}{{"safe", true}, {"unsafe", false}} {
			t.Run(x.name+", "+class.semantics, func(t *testing.T) {
				h := newAttemptHarness(t, class.semantics)
				client := h.startRequest("1", time.Hour)
				x.reset(h)
				if x.mayHaveRun && !class.repeated {
					h.expectEnd("the client", client, "ERR\r\n")
					if n := h.balancer.core.Counters.Attempts; n != 1 {
						t.Fatal(n, "attempts")
					}
					return
				}
				h.answerAttempt(client, h.awaitAttempt(), "2")
			})
		}
	}
}

// No server listens: each attempt counts against the maximum, and the client is rejected at once.
func TestUnreachableUpToMaxAttempts(t *testing.T) {
	h := newAttemptHarness(t, "unsafe")
	for _, l := range h.listeners {
		_ = l.Close()
	}
	client := h.connectClient("OPEN 1 k c=chat,d=3600000\r\n")
	h.awaitAdmitted(1)
	h.expectEnd("the client", client, "BUSY*")
	if n := h.balancer.core.Counters; n.Attempts != 3 || n.AttemptsUnreachable != 3 {
		t.Fatalf("%d attempts, %d unreachable", n.Attempts, n.AttemptsUnreachable)
	}
}

// No attempt follows the last one allowed, and the client gets its answer.
func TestLastAttemptAllowed(t *testing.T) {
	h := newAttemptHarness(t, "unsafe")
	client := h.startRequest("1", time.Hour)
	for range 3 {
		h.awaitAttempt().send(t, "BUSY\r\n")
	}
	h.expectEnd("the client", client, "BUSY*")
	if n := h.balancer.core.Counters; n.Attempts != 3 || n.AttemptsRejected != 3 {
		t.Fatalf("%d attempts, %d rejected", n.Attempts, n.AttemptsRejected)
	}
}

// The window for repeats ends while the next attempt connects: the request's line is not sent. No attempt begins once
// the window has ended.
func TestRetryWindowEnds(t *testing.T) {
	const window = 40 * time.Second
	keyed := fmt.Sprintf(`"keyed","key-ttl-ms":%d,"x":"`, window.Milliseconds())
	h := newAttemptHarness(t, "safe", `"safe"`, keyed+`"`)
	client := h.startRequest("1", time.Hour)
	h.awaitAttempt().reset()
	var second *attemptPeer
	h.runLoopUntil("the second attempt dialed", func() bool { x := h.attemptConn("1"); return x != nil && x.attempt == 1 })
	second = h.acceptedAttempt()
	h.awaitConnState(h.attemptConn("1"), live)
	h.advanceClock(window)
	h.balancer.handleEvents()
	h.expectEnd("the second server", second, "")
	h.advanceClock(testLatencyObjective) // until then the reducer keeps the request in case it may be repeated
	h.expectEnd("the client", client, "BUSY*")

	client = h.startRequest("2", time.Hour)
	server := h.awaitAttempt()
	h.advanceClock(window + time.Second)
	h.tick()
	server.reset()
	h.runLoopUntil("the reset", func() bool { return h.balancer.core.Counters.AttemptsReset == 2 })
	h.advanceClock(testLatencyObjective)
	h.expectEnd("the second client", client, "BUSY*")
	if n := h.balancer.core.Counters.Attempts; n != 3 {
		t.Fatal(n, "attempts")
	}
}

// fillSocket fills the socket buffers on both ends of a connection that no one reads, so that the line has to wait.
// They are full once everything sent has been acknowledged, more is waiting, and a write still takes nothing.
func fillSocket(h *attemptHarness, conn *connection) (filled int) {
	h.t.Helper()
	junk := bytes.Repeat([]byte("x"), 8<<10)
	h.waitUntil("a full socket", func() (full bool) {
		conn.mu.Lock()
		defer conn.mu.Unlock()
		withDescriptor(conn.conn, func(fd int) {
			info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
			settled := err == nil && info.Unacked == 0 && info.Notsent_bytes > 0
			n := 0
			for m := 1; m > 0; n += max(0, m) {
				m, _ = syscall.Write(fd, junk)
			}
			full = settled && n == 0
			filled += n
		})
		return full
	})
	return filled
}

// The request's line waits for a full socket, and the connection breaks or the attempt times out. The request may
// have been executed only if the line's last byte was sent.
func TestRequestWaitsForFullSocket(t *testing.T) {
	for _, x := range []struct {
		name       string
		end        func(h *attemptHarness, server *attemptPeer, filled int)
		mayHaveRun bool
	}{
		{"reset before its last byte", func(h *attemptHarness, server *attemptPeer, filled int) { server.reset() }, false},
		{"reset after its last byte", func(h *attemptHarness, server *attemptPeer, filled int) {
			h.runLoopUntil("the line", func() bool { server.read(); return bytes.HasSuffix(server.received, []byte("\r\n")) })
			server.reset()
		}, true},
		{"given up before its last byte", func(h *attemptHarness, server *attemptPeer, filled int) {
			h.advanceClock(testLatencyObjective)
			h.tick()
			h.runLoopUntil("the end", func() bool { server.read(); return server.endErr != nil })
			if bytes.Contains(server.received, []byte("OPEN")) {
				h.t.Fatal("the line was sent after its attempt had been given up")
			}
		}, true}, // the balancer cannot rule it out: the system may still have sent its buffer
	} {
		t.Run(x.name, func(t *testing.T) {
			h := newAttemptHarness(t, "unsafe")
			client := h.startRequest("1", time.Hour)
			first, server := h.attemptConn("1"), h.acceptedAttempt()
			h.awaitConnState(first, live)
			filled := fillSocket(h, first)
			h.balancer.handleEvents()
			if first.backlog() == 0 {
				t.Fatal("the line did not have to wait behind", filled, "bytes")
			}
			x.end(h, server, filled)
			if x.mayHaveRun {
				h.expectEnd("the client", client, "ERR\r\n")
				return
			}
			h.answerAttempt(client, h.awaitAttempt(), "2")
		})
	}
}

// listenWithFullBacklog listens with a full backlog, so that further connections are established only once the test
// accepts.
func listenWithFullBacklog(t *testing.T, ip byte) (addr string, accept func(*attemptHarness)) {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	if err = syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 8, 2, ip}}); err == nil {
		err = syscall.Listen(fd, 0)
	}
	if err != nil {
		t.Fatal(err)
	}
	f := os.NewFile(uintptr(fd), "late")
	l, err := net.FileListener(f)
	_ = f.Close()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	addr = l.Addr().String()
	fillers := map[string]bool{}
	for full := false; !full; {
		c, err := net.DialTimeout("tcp", addr, 300*time.Millisecond)
		if full = err != nil; !full {
			fillers[c.LocalAddr().String()] = true
			t.Cleanup(func() { _ = c.Close() })
		}
	}
	var once sync.Once
	return addr, func(h *attemptHarness) {
		once.Do(func() {
			go func() {
				for {
					c, err := l.Accept()
					if err != nil {
						return
					}
					if !fillers[c.RemoteAddr().String()] {
						h.acceptedConns <- &attemptPeer{conn: c.(*net.TCPConn)}
					}
				}
			}()
		})
	}
}

// Connections are established after the connect timeout: attempts that were given up send nothing, and only the
// current attempt sends the request's line.
func TestConnectionsEstablishedLate(t *testing.T) {
	one, acceptOne := listenWithFullBacklog(t, 11)
	two, acceptTwo := listenWithFullBacklog(t, 12)
	h := &attemptHarness{t: t, acceptedConns: make(chan *attemptPeer, 99)}
	discovery, err := net.Listen("tcp", "127.8.2.3:0")
	if err != nil {
		t.Fatal(err)
	}
	defer discovery.Close()
	h.startBalancer("unsafe", "$r1", one, "$r2", two, "$discovery", discovery.Addr().String())
	client := h.startRequest("1", time.Hour)
	first := h.attemptConn("1")
	h.advanceClock(testConnectTimeout)
	h.tick()
	h.runLoopUntil("the second attempt dialed", func() bool { x := h.attemptConn("1"); return x != nil && x.attempt == 1 })
	h.awaitConnState(first, ended)
	acceptOne(h)
	acceptTwo(h)
	server := h.awaitAttempt()
	h.answerAttempt(client, server, "2")
	if n := h.balancer.core.Counters; n.Attempts != 2 || n.AttemptsUnreachable != 1 {
		t.Fatalf("%d attempts, %d unreachable", n.Attempts, n.AttemptsUnreachable)
	}
	for done := false; !done; {
		select {
		case late := <-h.acceptedConns:
			if h.waitUntil("its end", func() bool { late.read(); return late.endErr != nil }); len(late.received) > 0 {
				t.Fatalf("sent on a connection that was given up: %q", late.received)
			}
		default:
			done = true
		}
	}
}
