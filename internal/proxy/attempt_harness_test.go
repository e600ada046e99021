package proxy

import (
	"bytes"
	"fmt"
	"log/slog"
	"net"
	"os"
	"runtime/debug"
	"strings"
	"syscall"
	"testing"
	"time"

	"oatloft/internal/core"
)

// attemptHarness is a balancer whose event loop is driven by the test, so that socket events and timers can be handled
// in either order. Its clock runs normally and can be advanced by the test. The time-outs in its configuration are so
// long that no attempt ends because of them unless the clock is advanced.
type attemptHarness struct {
	t             *testing.T
	balancer      *Balancer
	listeners     []net.Listener    // of the two servers
	acceptedConns chan *attemptPeer // the servers' accepted attempts
}

// newAttemptHarness starts a balancer with two servers, one class and a discovery listener.
func newAttemptHarness(t *testing.T, semantics string, changes ...string) *attemptHarness {
	t.Helper()
	h := &attemptHarness{t: t, acceptedConns: make(chan *attemptPeer, 99)}
	var vars []string
	for i, name := range []string{"$r1", "$r2", "$discovery"} {
		l, err := net.Listen("tcp", fmt.Sprintf("127.8.2.%d:0", i+1))
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = l.Close() })
		vars = append(vars, name, l.Addr().String())
		if name != "$discovery" {
			h.listeners = append(h.listeners, l)
		}
		go func() {
			for {
				c, err := l.Accept()
				if err != nil {
					return
				}
				t.Cleanup(func() { _ = c.Close() })
				if name != "$discovery" {
					h.acceptedConns <- &attemptPeer{conn: c.(*net.TCPConn)}
				}
			}
		}()
	}
	h.startBalancer(semantics, append(vars, changes...)...)
	return h
}

// startBalancer starts the balancer. changes are pairs of old and new text in the configuration; earlier pairs take
// precedence.
func (h *attemptHarness) startBalancer(semantics string, changes ...string) {
	h.t.Helper()
	body, err := os.ReadFile("testdata/config.json")
	if err != nil {
		h.t.Fatal(err)
	}
	text := strings.NewReplacer(changes...).Replace(string(body))
	text = strings.NewReplacer(`"safe"`, `"`+semantics+`"`, `"probes":true`, `"probes":false`,
		`"connect-timeout-ms":250.0`, fmt.Sprintf(`"connect-timeout-ms":%d`, testConnectTimeout.Milliseconds()),
		`"aim-ms":800.0`, fmt.Sprintf(`"aim-ms":%d`, testLatencyObjective.Milliseconds())).Replace(text)
	cfg, err := ParseConfig([]byte(text), Overrides{})
	if err != nil {
		h.t.Fatal(err)
	}
	debug.FreeOSMemory() // what earlier tests left counts towards the balancer's memory
	if h.balancer, err = New(cfg, slog.New(slog.DiscardHandler)); err != nil {
		h.t.Fatal(err)
	}
	if err := h.balancer.Start(); err != nil {
		h.t.Fatal(err)
	}
	h.t.Cleanup(h.balancer.Close)
}

// waitUntil waits for a condition without running the loop.
func (h *attemptHarness) waitUntil(what string, is func() bool) {
	h.t.Helper()
	for end := time.Now().Add(testTimeout); !is(); time.Sleep(100 * time.Microsecond) {
		if time.Now().After(end) {
			h.t.Fatalf("timed out waiting for %s; counters %+v, %+v; %d clients, %d sockets",
				what, h.balancer.counters, h.balancer.core.Counters, len(h.balancer.clients), h.balancer.sockets.Load())
		}
	}
}

// runLoopUntil waits for a condition and meanwhile runs the loop, including its timers.
func (h *attemptHarness) runLoopUntil(what string, is func() bool) {
	h.t.Helper()
	h.waitUntil(what, func() bool {
		h.balancer.handleEvents()
		h.tick()
		return is()
	})
}

// advanceClock advances the clock by d and by one tick more, since timers are rounded up to ticks. No timer fires
// before the next tick call.
func (h *attemptHarness) advanceClock(d time.Duration) {
	h.balancer.cfg.ClockOrigin = h.balancer.cfg.ClockOrigin.Add(-d - core.TickInterval)
}

// tick fires the timers that are due.
func (h *attemptHarness) tick() { h.balancer.step(core.Tick{}) }

// attemptPeer is the remote end of one of the balancer's connections. Only the test's goroutine reads it.
type attemptPeer struct {
	conn     *net.TCPConn
	received []byte
	endErr   error
}

// read reads the available bytes without blocking.
func (p *attemptPeer) read() {
	raw, err := p.conn.SyscallConn()
	if err != nil {
		p.endErr = err
		return
	}
	b := make([]byte, 32<<10)
	_ = raw.Control(func(fd uintptr) {
		for p.endErr == nil {
			n, _, err := syscall.Recvfrom(int(fd), b, syscall.MSG_DONTWAIT)
			switch {
			case err == syscall.EAGAIN:
				return
			case err == syscall.EINTR:
			case err != nil:
				p.endErr = err
			case n == 0:
				p.endErr = syscall.ENODATA // FIN
			default:
				p.received = append(p.received, b[:n]...)
			}
		}
	})
}

func (p *attemptPeer) send(t *testing.T, text string) {
	t.Helper()
	if _, err := p.conn.Write([]byte(text)); err != nil {
		t.Fatal(err)
	}
}

func (p *attemptPeer) reset() {
	_ = p.conn.SetLinger(0)
	_ = p.conn.Close()
}

// startRequest connects a client, sends its request, and runs the loop until an attempt has been started. The event
// that the attempt's connection is established stays in the queue. No timer fires meanwhile, see awaitAdmitted.
func (h *attemptHarness) startRequest(id string, timeout time.Duration) *attemptPeer {
	h.t.Helper()
	client := h.connectClient(fmt.Sprintf("OPEN %s k%s c=chat,d=%d\r\n", id, id, timeout.Milliseconds()))
	h.waitUntil("the request", func() bool { h.balancer.handleEvents(); return h.attemptConn(id) != nil })
	return client
}

func (h *attemptHarness) connectClient(text string) *attemptPeer {
	h.t.Helper()
	c, err := net.Dial("tcp", h.balancer.Addr())
	if err != nil {
		h.t.Fatal(err)
	}
	h.t.Cleanup(func() { _ = c.Close() })
	client := &attemptPeer{conn: c.(*net.TCPConn)}
	client.send(h.t, text)
	return client
}

// awaitAdmitted runs the loop until n requests are admitted, without firing timers: on a busy machine the line may be
// read so late that the client would be closed as idle.
func (h *attemptHarness) awaitAdmitted(n int64) {
	h.t.Helper()
	h.waitUntil("a request", func() bool { h.balancer.handleEvents(); return h.balancer.core.Counters.Requests == n })
}

// clientOf returns the client with a request id, or nil if there is none.
func (h *attemptHarness) clientOf(id string) *client {
	for _, x := range h.balancer.clients {
		if x.requestRead && x.request.ID == id {
			return x
		}
	}
	return nil
}

// attemptConn returns the connection of a request's current attempt, or nil if there is none.
func (h *attemptHarness) attemptConn(id string) *connection {
	if x := h.clientOf(id); x != nil {
		return x.server
	}
	return nil
}

// awaitConnState waits, without running the loop, until a connection is in a state.
func (h *attemptHarness) awaitConnState(conn *connection, want connectionState) {
	h.t.Helper()
	h.waitUntil("the connection's state", func() bool {
		conn.mu.Lock()
		defer conn.mu.Unlock()
		return conn.state == want
	})
}

// acceptedAttempt returns the server's end of the next attempt.
func (h *attemptHarness) acceptedAttempt() *attemptPeer {
	h.t.Helper()
	select {
	case p := <-h.acceptedConns:
		return p
	case <-time.After(testTimeout):
		h.t.Fatal("no attempt arrived")
		return nil
	}
}

// awaitAttempt runs the loop until the next attempt has arrived with its complete request line.
func (h *attemptHarness) awaitAttempt() *attemptPeer {
	h.t.Helper()
	var p *attemptPeer
	h.runLoopUntil("an attempt", func() bool {
		select {
		case p = <-h.acceptedConns:
			return true
		default:
			return false
		}
	})
	h.runLoopUntil(
		"the attempt's line",
		func() bool { p.read(); return bytes.HasSuffix(p.received, []byte("\r\n")) || p.endErr != nil },
	)
	if !bytes.HasPrefix(p.received, []byte("OPEN ")) {
		h.t.Fatalf("the attempt brought %q, %v", p.received, p.endErr)
	}
	return p
}

// expectEnd runs the loop until a peer's connection has ended, and checks the bytes received before. A final * in want
// matches any rest.
func (h *attemptHarness) expectEnd(name string, p *attemptPeer, want string) {
	h.t.Helper()
	h.runLoopUntil("the end of "+name, func() bool { p.read(); return p.endErr != nil })
	if got := string(p.received); got != want && !strings.HasSuffix(want, "*") ||
		!strings.HasPrefix(got, strings.TrimSuffix(want, "*")) {
		h.t.Fatalf("%s got %q, want %q", name, got, want)
	}
}

// expectReceived runs the loop until a peer has received as many bytes as wanted, and checks them.
func (h *attemptHarness) expectReceived(name string, p *attemptPeer, want string) {
	h.t.Helper()
	h.runLoopUntil("what "+name+" gets", func() bool { p.read(); return len(p.received) >= len(want) || p.endErr != nil })
	if string(p.received) != want {
		h.t.Fatalf("%s got %q, %v; want %q", name, p.received, p.endErr, want)
	}
}

// answerAttempt answers an attempt with UP and checks that the client receives exactly that answer.
func (h *attemptHarness) answerAttempt(client, server *attemptPeer, receipt string) {
	h.t.Helper()
	server.send(h.t, "UP "+receipt+"\r\n")
	h.expectReceived("the client", client, "UP "+receipt+"\r\n")
}

// queuedEvents returns the number of queued events of a kind.
func (h *attemptHarness) queuedEvents(kind eventKind) (n int) {
	h.balancer.queue.mu.Lock()
	defer h.balancer.queue.mu.Unlock()
	for _, list := range [][]event{h.balancer.queue.urgent, h.balancer.queue.bulk} {
		for _, e := range list {
			if e.kind == kind {
				n++
			}
		}
	}
	return n
}
