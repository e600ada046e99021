package proxy

import (
	"bytes"
	"fmt"
	"log/slog"
	"net"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"oatloft/internal/core"
)

// triesLoop is a balancer whose event loop is driven by the test, so that socket events and timers can be handled in
// either order. Its clock runs normally and can be advanced by the test. The time-outs in its configuration are so long
// that no attempt ends because of them unless the clock is advanced.
type triesLoop struct {
	t         *testing.T
	s         *Balancer
	listeners []net.Listener  // of the two servers
	came      chan *triesPeer // the servers' accepted attempts
}

// triesStart starts a balancer with two servers, one class and a discovery listener.
func triesStart(t *testing.T, semantics string, changes ...string) *triesLoop {
	t.Helper()
	h := &triesLoop{t: t, came: make(chan *triesPeer, 99)}
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
					h.came <- &triesPeer{conn: c.(*net.TCPConn)}
				}
			}
		}()
	}
	h.startWith(semantics, append(vars, changes...)...)
	return h
}

// startWith starts the balancer. changes are pairs of old and new text in the configuration; earlier pairs take
// precedence.
func (h *triesLoop) startWith(semantics string, changes ...string) {
	h.t.Helper()
	body, err := os.ReadFile("testdata/config.json")
	if err != nil {
		h.t.Fatal(err)
	}
	text := strings.NewReplacer(changes...).Replace(string(body))
	text = strings.NewReplacer(`"safe"`, `"`+semantics+`"`, `"probes":true`, `"probes":false`,
		`"connect-timeout-ms":250.0`, fmt.Sprintf(`"connect-timeout-ms":%d`, triesConnect.Milliseconds()),
		`"aim-ms":800.0`, fmt.Sprintf(`"aim-ms":%d`, triesAim.Milliseconds())).Replace(text)
	cfg, err := ParseConfig([]byte(text), Overrides{})
	if err != nil {
		h.t.Fatal(err)
	}
	if h.s, err = New(cfg, slog.New(slog.DiscardHandler)); err != nil {
		h.t.Fatal(err)
	}
	if err := h.s.Start(); err != nil {
		h.t.Fatal(err)
	}
	h.t.Cleanup(func() {
		for _, x := range h.s.clients {
			if x.server != nil {
				x.server.drop()
			}
		}
		_ = h.s.listener.Close()
	})
}

// until waits for a condition without running the loop.
func (h *triesLoop) until(what string, is func() bool) {
	h.t.Helper()
	for end := time.Now().Add(triesWait); !is(); time.Sleep(100 * time.Microsecond) {
		if time.Now().After(end) {
			h.t.Fatalf("timed out waiting for %s; counters %+v, %+v; %d clients, %d sockets",
				what, h.s.counters, h.s.core.Counters, len(h.s.clients), h.s.sockets.Load())
		}
	}
}

// turning waits for a condition and meanwhile runs the loop, including its timers.
func (h *triesLoop) turning(what string, is func() bool) {
	h.t.Helper()
	h.until(what, func() bool {
		h.s.handleEvents()
		h.tick()
		return is()
	})
}

// later advances the clock by d and by one tick more, since timers are rounded up to ticks. No timer fires before the
// next tick call.
func (h *triesLoop) later(d time.Duration) {
	h.s.cfg.ClockOrigin = h.s.cfg.ClockOrigin.Add(-d - core.TickInterval)
}

// tick fires the timers that are due.
func (h *triesLoop) tick() { h.s.step(core.Tick{}) }

// triesPeer is the remote end of one of the balancer's connections. Only the test's goroutine reads it.
type triesPeer struct {
	conn *net.TCPConn
	got  []byte
	end  error
}

// read reads the available bytes without blocking.
func (p *triesPeer) read() {
	raw, err := p.conn.SyscallConn()
	if err != nil {
		p.end = err
		return
	}
	b := make([]byte, 32<<10)
	_ = raw.Control(func(fd uintptr) {
		for p.end == nil {
			n, _, err := syscall.Recvfrom(int(fd), b, syscall.MSG_DONTWAIT)
			switch {
			case err == syscall.EAGAIN:
				return
			case err == syscall.EINTR:
			case err != nil:
				p.end = err
			case n == 0:
				p.end = syscall.ENODATA // FIN
			default:
				p.got = append(p.got, b[:n]...)
			}
		}
	})
}

func (p *triesPeer) send(t *testing.T, text string) {
	t.Helper()
	if _, err := p.conn.Write([]byte(text)); err != nil {
		t.Fatal(err)
	}
}

func (p *triesPeer) reset() {
	_ = p.conn.SetLinger(0)
	_ = p.conn.Close()
}

// ask connects a client, sends its request, and runs the loop until an attempt has been started. The event that the
// attempt's connection is established stays in the queue. No timer fires meanwhile, see taken.
func (h *triesLoop) ask(id string, timeout time.Duration) *triesPeer {
	h.t.Helper()
	client := h.client(fmt.Sprintf("OPEN %s k%s c=chat,d=%d\r\n", id, id, timeout.Milliseconds()))
	h.until("the request", func() bool { h.s.handleEvents(); return h.task(id) != nil })
	return client
}

func (h *triesLoop) client(text string) *triesPeer {
	h.t.Helper()
	c, err := net.Dial("tcp", h.s.Addr())
	if err != nil {
		h.t.Fatal(err)
	}
	h.t.Cleanup(func() { _ = c.Close() })
	client := &triesPeer{conn: c.(*net.TCPConn)}
	client.send(h.t, text)
	return client
}

// taken runs the loop until n requests are admitted, without firing timers: on a busy machine the line may be read so
// late that the client would be closed as idle.
func (h *triesLoop) taken(n int64) {
	h.t.Helper()
	h.until("a request", func() bool { h.s.handleEvents(); return h.s.core.Counters.Requests == n })
}

// terminal returns the client with a request id, or nil if there is none.
func (h *triesLoop) terminal(id string) *client {
	for _, x := range h.s.clients {
		if x.requestRead && x.request.ID == id {
			return x
		}
	}
	return nil
}

// task returns the connection of a request's current attempt, or nil if there is none.
func (h *triesLoop) task(id string) *connection {
	if x := h.terminal(id); x != nil {
		return x.server
	}
	return nil
}

// reached waits, without running the loop, until a connection is in a state.
func (h *triesLoop) reached(conn *connection, want connectionState) {
	h.t.Helper()
	h.until("the connection's state", func() bool {
		conn.mu.Lock()
		defer conn.mu.Unlock()
		return conn.state == want
	})
}

// accepted returns the server's end of the next attempt.
func (h *triesLoop) accepted() *triesPeer {
	h.t.Helper()
	select {
	case p := <-h.came:
		return p
	case <-time.After(triesWait):
		h.t.Fatal("no attempt arrived")
		return nil
	}
}

// attempt runs the loop until the next attempt has arrived with its complete request line.
func (h *triesLoop) attempt() *triesPeer {
	h.t.Helper()
	var p *triesPeer
	h.turning("an attempt", func() bool {
		select {
		case p = <-h.came:
			return true
		default:
			return false
		}
	})
	h.turning(
		"the attempt's line",
		func() bool { p.read(); return bytes.HasSuffix(p.got, []byte("\r\n")) || p.end != nil },
	)
	if !bytes.HasPrefix(p.got, []byte("OPEN ")) {
		h.t.Fatalf("the attempt brought %q, %v", p.got, p.end)
	}
	return p
}

// ends runs the loop until a peer's connection has ended, and checks the bytes received before. A final * in want
// matches any rest.
func (h *triesLoop) ends(name string, p *triesPeer, want string) {
	h.t.Helper()
	h.turning("the end of "+name, func() bool { p.read(); return p.end != nil })
	if got := string(p.got); got != want && !strings.HasSuffix(want, "*") ||
		!strings.HasPrefix(got, strings.TrimSuffix(want, "*")) {
		h.t.Fatalf("%s got %q, want %q", name, got, want)
	}
}

// gets runs the loop until a peer has received as many bytes as wanted, and checks them.
func (h *triesLoop) gets(name string, p *triesPeer, want string) {
	h.t.Helper()
	h.turning("what "+name+" gets", func() bool { p.read(); return len(p.got) >= len(want) || p.end != nil })
	if string(p.got) != want {
		h.t.Fatalf("%s got %q, %v; want %q", name, p.got, p.end, want)
	}
}

// served answers an attempt with UP and checks that the client receives exactly that answer.
func (h *triesLoop) served(client, server *triesPeer, receipt string) {
	h.t.Helper()
	server.send(h.t, "UP "+receipt+"\r\n")
	h.gets("the client", client, "UP "+receipt+"\r\n")
}

// queued returns the number of queued events of a kind.
func (h *triesLoop) queued(kind eventKind) (n int) {
	h.s.queue.mu.Lock()
	defer h.s.queue.mu.Unlock()
	for _, e := range h.s.queue.list {
		if e.kind == kind {
			n++
		}
	}
	return n
}
