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

// triesLoop is a balancer whose loop the test turns by hand, so that what the sockets tell and what the clock tells
// can be handled in either order. Its clock runs by itself, and is put forward by the test; the times in its
// configuration are so long that nothing else ends an attempt.
type triesLoop struct {
	t         *testing.T
	s         *Balancer
	listeners []net.Listener  // two servers'
	came      chan *triesPeer // attempts, as the servers accept them
}

// triesStart starts a balancer with two servers and one class.
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

// startWith starts the balancer itself. changes are pairs of texts in the configuration; the first ones are done
// first.
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

// until waits, without turning the loop.
func (h *triesLoop) until(what string, is func() bool) {
	h.t.Helper()
	for end := time.Now().Add(triesWait); !is(); time.Sleep(100 * time.Microsecond) {
		if time.Now().After(end) {
			h.t.Fatalf("never came: %s; counters %+v, %+v; %d terminals, %d sockets", what, h.s.counters, h.s.core.Counters,
				len(h.s.clients), h.s.sockets.Load())
		}
	}
}

// turning waits, and turns the loop meanwhile, with its timers.
func (h *triesLoop) turning(what string, is func() bool) {
	h.t.Helper()
	h.until(what, func() bool {
		h.s.handleEvents()
		h.tick()
		return is()
	})
}

// later puts the clock forward, and by a tick more, which timers are rounded up to; nothing is told of it yet.
func (h *triesLoop) later(d time.Duration) {
	h.s.cfg.StartOfClock = h.s.cfg.StartOfClock.Add(-d - core.TickInterval)
}

// tick has the timers fire that are due.
func (h *triesLoop) tick() { h.s.step(core.Tick{}) }

// triesPeer is the far side of one of the balancer's connections. It is read by the test alone.
type triesPeer struct {
	conn *net.TCPConn
	got  []byte
	end  error
}

// read takes what there is, without waiting for more.
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

// ask has a client connect and send its first line, and turns the loop until an attempt's connection is up: that it
// is up waits in the queue. No timer fires meanwhile, see taken.
func (h *triesLoop) ask(id string, patience time.Duration) *triesPeer {
	h.t.Helper()
	client := h.client(fmt.Sprintf("OPEN %s k%s c=chat,d=%d\r\n", id, id, patience.Milliseconds()))
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

// taken turns the loop until a request is taken, and has no timer fire: on a busy machine the line may be read so
// late that the client would be sent off for saying nothing.
func (h *triesLoop) taken(n int64) {
	h.t.Helper()
	h.until("a request", func() bool { h.s.handleEvents(); return h.s.core.Counters.Requests == n })
}

// terminal finds a request at the balancer.
func (h *triesLoop) terminal(id string) *client {
	for _, x := range h.s.clients {
		if x.requestRead && x.request.ID == id {
			return x
		}
	}
	return nil
}

// task is the attempt that is out.
func (h *triesLoop) task(id string) *connection {
	if x := h.terminal(id); x != nil {
		return x.server
	}
	return nil
}

// reached waits, without turning the loop, until an attempt's connection is in a state.
func (h *triesLoop) reached(conn *connection, want connectionState) {
	h.t.Helper()
	h.until("the connection's state", func() bool {
		conn.mu.Lock()
		defer conn.mu.Unlock()
		return conn.state == want
	})
}

// accepted is the next attempt as its server sees it.
func (h *triesLoop) accepted() *triesPeer {
	h.t.Helper()
	select {
	case p := <-h.came:
		return p
	case <-time.After(triesWait):
		h.t.Fatal("no attempt came")
		return nil
	}
}

// attempt turns the loop until the next attempt has come with its whole line.
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

// ends turns the loop until a side has met its end, and compares what came before it.
func (h *triesLoop) ends(who string, p *triesPeer, want string) {
	h.t.Helper()
	h.turning("the end of "+who, func() bool { p.read(); return p.end != nil })
	if got := string(p.got); got != want && !strings.HasSuffix(want, "*") ||
		!strings.HasPrefix(got, strings.TrimSuffix(want, "*")) {
		h.t.Fatalf("%s got %q, want %q", who, got, want)
	}
}

// gets turns the loop until a side has got just what is wanted so far.
func (h *triesLoop) gets(who string, p *triesPeer, want string) {
	h.t.Helper()
	h.turning("what "+who+" gets", func() bool { p.read(); return len(p.got) >= len(want) || p.end != nil })
	if string(p.got) != want {
		h.t.Fatalf("%s got %q, %v; want %q", who, p.got, p.end, want)
	}
}

// served answers an attempt, and checks that its client gets just that.
func (h *triesLoop) served(client, server *triesPeer, receipt string) {
	h.t.Helper()
	server.send(h.t, "UP "+receipt+"\r\n")
	h.gets("the client", client, "UP "+receipt+"\r\n")
}

// queued counts the events of a kind that wait for the loop.
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
