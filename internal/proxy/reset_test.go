package proxy

import (
	"errors"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/lesismal/nbio"

	"oatloft/internal/core"
	"oatloft/internal/logs"
	"oatloft/policy"
)

// A socket must be reset also where connecting to AF_UNSPEC is not supported (some networks fail with EAFNOSUPPORT):
// the peer must learn of the end immediately.
func TestResetNeedsNoUnconnecting(t *testing.T) {
	l, err := net.Listen("unix", filepath.Join(t.TempDir(), "s"))
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	far, err := net.Dial("unix", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer far.Close()
	near, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	log := slog.New(slog.DiscardHandler)
	s := &Balancer{
		finishing:  map[*connection]struct{}{},
		queue:      eventQueue{wake: make(chan struct{}, 1)},
		log:        log,
		limitedLog: logs.Limit(log, time.Second),
	}
	s.engine = nbio.NewEngine(nbio.Config{NPoller: 1, EpollMod: nbio.EPOLLET})
	s.engine.OnRead(s.onRead)
	s.engine.OnClose(func(c *nbio.Conn, _ error) { s.onClose(c) })
	if err := s.engine.Start(); err != nil {
		t.Fatal(err)
	}
	defer s.engine.Stop()
	c, err := nbio.NBConn(near)
	if err != nil {
		t.Fatal(err)
	}
	k := &connection{balancer: s, role: serverRole, conn: c, state: live}
	s.attachSession(c, k)
	if _, err := s.engine.AddConn(c); err != nil {
		t.Fatal(err)
	}
	k.reset()
	_ = far.SetReadDeadline(time.Now().Add(2 * time.Second))
	var b [1]byte
	var timeout net.Error
	if _, err := far.Read(b[:]); err == nil || errors.As(err, &timeout) && timeout.Timeout() {
		t.Fatalf("the peer was not notified of the reset: %v", err)
	}
}

// unsafeBalancer starts a balancer without running its loop. Its servers and discovery all have the same address, and
// its class does not allow a request to be executed twice.
func unsafeBalancer(t *testing.T, addr string) *Balancer {
	t.Helper()
	body, err := os.ReadFile("testdata/config.json")
	if err != nil {
		t.Fatal(err)
	}
	changes := []string{
		"$r1", addr, "$r2", addr, "$discovery", addr,
		`"safe"`, `"unsafe"`, `"probes":true`, `"probes":false`,
	}
	cfg, err := ParseConfig([]byte(strings.NewReplacer(changes...).Replace(string(body))), Overrides{})
	if err != nil {
		t.Fatal(err)
	}
	b, err := New(cfg, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	if err := b.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(b.engine.Stop)
	return b
}

// A server that resets a connection as it is established has received no byte of the request, so that a request that
// must not run twice is sent to another server. The request must not be treated as possibly executed if the poller
// encounters the reset before the line is written.
func TestResetBeforeTheLineNeverRan(t *testing.T) {
	region, err := net.Listen("tcp", "127.8.1.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer region.Close()
	b := unsafeBalancer(t, region.Addr().String())
	conn := &connection{balancer: b, role: clientRole, state: ended}
	b.handleAccepted(conn)
	b.step(
		core.RequestReceived{
			Client:  conn.client.handle,
			Request: policy.Request{ID: "1", Key: "k", Class: "chat", Timeout: time.Second},
		},
	)
	task := conn.client.server
	if task == nil {
		t.Fatal("no attempt was started")
	}
	c, err := region.Accept()
	if err != nil {
		t.Fatal(err)
	}
	_ = c.(*net.TCPConn).SetLinger(0)
	_ = c.Close()
	for end := time.Now().Add(2 * time.Second); ; time.Sleep(time.Millisecond) {
		task.mu.Lock()
		over := task.state == ended
		task.mu.Unlock()
		if over {
			break
		}
		if time.Now().After(end) {
			t.Fatal("the reset was not noticed")
		}
	}
	b.handleEvents()
	if n := b.core.Counters; n.AttemptsUnreachable != 1 || n.AttemptsReset != 0 || n.Failed != 0 || n.Attempts != 2 {
		t.Fatalf("unreachable %d, reset %d, failed %d, attempts %d",
			n.AttemptsUnreachable, n.AttemptsReset, n.Failed, n.Attempts)
	}
}
