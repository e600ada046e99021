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
	triesConnect = 100 * time.Second // connect timeout
	triesAim     = 300 * time.Second // latency objective, which bounds an attempt
	triesWait    = 20 * time.Second  // how long a test waits for what has to happen
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
		{"connect timeout, timer first", time.Hour, triesConnect, true, false, false},
		{"connect timeout, connection first", time.Hour, triesConnect, false, true, false},
		{"deadline, timer first", triesConnect / 2, triesConnect / 2, true, false, true},
		{"deadline, connection first", triesConnect / 2, triesConnect / 2, false, false, true},
		{"attempt's time, timer first", time.Hour, triesAim, true, false, false},
		{"attempt's time, connection first", time.Hour, triesAim, false, false, false},
	} {
		t.Run(x.name, func(t *testing.T) {
			h := triesStart(t, "safe")
			client := h.ask("1", x.timeout)
			first, server := h.task("1"), h.accepted()
			h.reached(first, live) // and its event waits in the queue
			h.later(x.timeoutAfter)
			if x.timerFirst {
				h.tick()
			}
			h.s.handleEvents()
			if x.sent {
				h.turning("the line", func() bool { server.read(); return bytes.HasSuffix(server.got, []byte("\r\n")) })
				h.served(client, server, "1")
				return
			}
			h.ends("the server that was given up", server, "")
			h.reached(first, ended)
			h.tick()
			if x.answered {
				h.ends("the client", client, "BUSY*")
			} else {
				h.served(client, h.attempt(), "2")
			}
		})
	}
}

// UP waits in the queue as its attempt times out. If the timer is handled first, the client does not receive it.
func TestAnswerAsAttemptTimesOut(t *testing.T) {
	for _, timerFirst := range []bool{true, false} {
		h := triesStart(t, "safe")
		client := h.ask("1", time.Hour)
		server := h.attempt()
		server.send(t, "UP old\r\n")
		h.until("UP in the queue", func() bool { return h.queued(eventData) > 0 })
		h.later(triesAim)
		if !timerFirst {
			h.s.handleEvents()
			h.tick()
			h.gets("the client", client, "UP old\r\n")
			continue
		}
		h.tick()
		h.s.handleEvents()
		h.served(client, h.attempt(), "new")
	}
}

// When the next attempt arrives, the connection of the one before is already closed, as its server sees it.
func TestNoConcurrentAttempts(t *testing.T) {
	h := triesStart(t, "safe")
	client := h.ask("1", time.Hour)
	first := h.attempt()
	h.later(triesAim)
	h.tick()
	var second *triesPeer
	h.turning("the next attempt", func() bool {
		select {
		case second = <-h.came:
			first.read() // at once: a FIN sent before the next connection was opened has arrived
			return true
		default:
			return false
		}
	})
	if first.end == nil {
		t.Fatal("the next attempt's connection arrived while the one before was open")
	}
	h.turning("its line", func() bool { second.read(); return len(second.got) > 0 })
	h.served(client, second, "2")
}

// resetPoints are points of an attempt at which its server resets it, and whether the request may have been executed by
// then.
var resetPoints = []struct {
	name       string
	reset      func(h *triesLoop)
	mayHaveRun bool
}{
	{"before the line, met before it is written", func(h *triesLoop) {
		first := h.task("1")
		server := h.accepted()
		h.reached(first, live)
		server.reset()
		h.reached(first, ended)
		h.s.handleEvents()
	}, false},
	{"after the line, unread", func(h *triesLoop) {
		first, server := h.task("1"), h.accepted()
		h.reached(first, live)
		h.s.handleEvents() // the line is written
		server.reset()
		h.reached(first, ended)
		h.s.handleEvents()
	}, true},
	{"after the line", func(h *triesLoop) { h.attempt().reset() }, true},
	{"ended after the line", func(h *triesLoop) { _ = h.attempt().conn.Close() }, true},
	{"after the answer's first byte", func(h *triesLoop) {
		server := h.attempt()
		server.send(h.t, "U")
		h.until("the byte in the queue", func() bool { return h.queued(eventData) > 0 })
		h.s.handleEvents()
		server.reset()
	}, true},
	{"with half an answer, both in one turn", func(h *triesLoop) {
		first, server := h.task("1"), h.attempt()
		server.send(h.t, "UP 1")
		server.reset()
		h.reached(first, ended)
		h.s.handleEvents()
	}, true},
	{"long after", func(h *triesLoop) {
		server := h.attempt()
		h.later(triesAim - 10*time.Second)
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
				h := triesStart(t, class.semantics)
				client := h.ask("1", time.Hour)
				x.reset(h)
				if x.mayHaveRun && !class.repeated {
					h.ends("the client", client, "ERR\r\n")
					if n := h.s.core.Counters.Attempts; n != 1 {
						t.Fatal(n, "attempts")
					}
					return
				}
				h.served(client, h.attempt(), "2")
			})
		}
	}
}

// No server listens: each attempt counts against the maximum, and the client is rejected at once.
func TestUnreachableUpToMaxAttempts(t *testing.T) {
	h := triesStart(t, "unsafe")
	for _, l := range h.listeners {
		_ = l.Close()
	}
	client := h.client("OPEN 1 k c=chat,d=3600000\r\n")
	h.taken(1)
	h.ends("the client", client, "BUSY*")
	if n := h.s.core.Counters; n.Attempts != 3 || n.AttemptsUnreachable != 3 {
		t.Fatalf("%d attempts, %d unreachable", n.Attempts, n.AttemptsUnreachable)
	}
}

// No attempt follows the last one allowed, and the client gets its answer.
func TestLastAttemptAllowed(t *testing.T) {
	h := triesStart(t, "unsafe")
	client := h.ask("1", time.Hour)
	for range 3 {
		h.attempt().send(t, "BUSY\r\n")
	}
	h.ends("the client", client, "BUSY*")
	if n := h.s.core.Counters; n.Attempts != 3 || n.AttemptsRejected != 3 {
		t.Fatalf("%d attempts, %d rejected", n.Attempts, n.AttemptsRejected)
	}
}

// The window for repeats ends while the next attempt connects: the request's line is not sent. No attempt begins once
// the window has ended.
func TestRetryWindowEnds(t *testing.T) {
	const window = 40 * time.Second
	keyed := fmt.Sprintf(`"keyed","key-ttl-ms":%d,"x":"`, window.Milliseconds())
	h := triesStart(t, "safe", `"safe"`, keyed+`"`)
	client := h.ask("1", time.Hour)
	h.attempt().reset()
	var second *triesPeer
	h.turning("the second attempt dialed", func() bool { x := h.task("1"); return x != nil && x.attempt == 1 })
	second = h.accepted()
	h.reached(h.task("1"), live)
	h.later(window)
	h.s.handleEvents()
	h.ends("the second server", second, "")
	h.later(triesAim) // until then the reducer keeps the request in case it may be repeated
	h.ends("the client", client, "BUSY*")

	client = h.ask("2", time.Hour)
	server := h.attempt()
	h.later(window + time.Second)
	h.tick()
	server.reset()
	h.turning("the reset", func() bool { return h.s.core.Counters.AttemptsReset == 2 })
	h.later(triesAim)
	h.ends("the second client", client, "BUSY*")
	if n := h.s.core.Counters.Attempts; n != 3 {
		t.Fatal(n, "attempts")
	}
}

// fillSocket fills the socket buffers on both ends of a connection that no one reads, so that the line has to wait.
// They are full once everything sent has been acknowledged, more is waiting, and a write still takes nothing.
func fillSocket(h *triesLoop, conn *connection) (filled int) {
	h.t.Helper()
	junk := bytes.Repeat([]byte("x"), 8<<10)
	h.until("a full socket", func() (full bool) {
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
		end        func(h *triesLoop, server *triesPeer, filled int)
		mayHaveRun bool
	}{
		{"reset before its last byte", func(h *triesLoop, server *triesPeer, filled int) { server.reset() }, false},
		{"reset after its last byte", func(h *triesLoop, server *triesPeer, filled int) {
			h.turning("the line", func() bool { server.read(); return bytes.HasSuffix(server.got, []byte("\r\n")) })
			server.reset()
		}, true},
		{"given up before its last byte", func(h *triesLoop, server *triesPeer, filled int) {
			h.later(triesAim)
			h.tick()
			h.turning("the end", func() bool { server.read(); return server.end != nil })
			if bytes.Contains(server.got, []byte("OPEN")) {
				h.t.Fatal("the line was sent after its attempt had been given up")
			}
		}, true}, // the balancer cannot rule it out: the system may still have sent its buffer
	} {
		t.Run(x.name, func(t *testing.T) {
			h := triesStart(t, "unsafe")
			client := h.ask("1", time.Hour)
			first, server := h.task("1"), h.accepted()
			h.reached(first, live)
			filled := fillSocket(h, first)
			h.s.handleEvents()
			if first.backlog() == 0 {
				t.Fatal("the line did not have to wait behind", filled, "bytes")
			}
			x.end(h, server, filled)
			if x.mayHaveRun {
				h.ends("the client", client, "ERR\r\n")
				return
			}
			h.served(client, h.attempt(), "2")
		})
	}
}

// listenWithFullBacklog listens with a full backlog, so that further connections are established only once the test
// accepts.
func listenWithFullBacklog(t *testing.T, ip byte) (addr string, accept func(*triesLoop)) {
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
	return addr, func(h *triesLoop) {
		once.Do(func() {
			go func() {
				for {
					c, err := l.Accept()
					if err != nil {
						return
					}
					if !fillers[c.RemoteAddr().String()] {
						h.came <- &triesPeer{conn: c.(*net.TCPConn)}
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
	h := &triesLoop{t: t, came: make(chan *triesPeer, 99)}
	discovery, err := net.Listen("tcp", "127.8.2.3:0")
	if err != nil {
		t.Fatal(err)
	}
	defer discovery.Close()
	h.startWith("unsafe", "$r1", one, "$r2", two, "$discovery", discovery.Addr().String())
	client := h.ask("1", time.Hour)
	first := h.task("1")
	h.later(triesConnect)
	h.tick()
	h.turning("the second attempt dialed", func() bool { x := h.task("1"); return x != nil && x.attempt == 1 })
	h.reached(first, ended)
	acceptOne(h)
	acceptTwo(h)
	server := h.attempt()
	h.served(client, server, "2")
	if n := h.s.core.Counters; n.Attempts != 2 || n.AttemptsUnreachable != 1 {
		t.Fatalf("%d attempts, %d unreachable", n.Attempts, n.AttemptsUnreachable)
	}
	for done := false; !done; {
		select {
		case late := <-h.came:
			if h.until("its end", func() bool { late.read(); return late.end != nil }); len(late.got) > 0 {
				t.Fatalf("sent on a connection that was given up: %q", late.got)
			}
		default:
			done = true
		}
	}
}
