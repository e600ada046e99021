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
func TestResetWithoutUnspecConnect(t *testing.T) {
	l, err := net.Listen("unix", filepath.Join(t.TempDir(), "s"))
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	remote, err := net.Dial("unix", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer remote.Close()
	accepted, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	log := slog.New(slog.DiscardHandler)
	b := &Balancer{
		finishing:  map[*connection]struct{}{},
		queue:      eventQueue{wake: make(chan struct{}, 1)},
		log:        log,
		limitedLog: logs.Limit(log, time.Second),
	}
	b.engine = nbio.NewEngine(nbio.Config{NPoller: 1, EpollMod: nbio.EPOLLET})
	b.engine.OnRead(b.onRead)
	b.engine.OnClose(func(polled *nbio.Conn, _ error) { b.onClose(polled) })
	if err := b.engine.Start(); err != nil {
		t.Fatal(err)
	}
	defer b.engine.Stop()
	polled, err := nbio.NBConn(accepted)
	if err != nil {
		t.Fatal(err)
	}
	conn := &connection{balancer: b, role: serverRole, conn: polled, state: live}
	b.attachSession(polled, conn)
	if _, err := b.engine.AddConn(polled); err != nil {
		t.Fatal(err)
	}
	conn.reset()
	_ = remote.SetReadDeadline(time.Now().Add(2 * time.Second))
	var buf [1]byte
	var timeout net.Error
	if _, err := remote.Read(buf[:]); err == nil || errors.As(err, &timeout) && timeout.Timeout() {
		t.Fatalf("the peer was not notified of the reset: %v", err)
	}
}

// startUnsafeBalancer starts a balancer without running its loop. Its servers and discovery all have the same address,
// and its class does not allow a request to be executed twice.
func startUnsafeBalancer(t *testing.T, addr string) *Balancer {
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
func TestResetBeforeRequestIsSentIsRetried(t *testing.T) {
	server, err := net.Listen("tcp", "127.8.1.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	b := startUnsafeBalancer(t, server.Addr().String())
	conn := &connection{balancer: b, role: clientRole, state: ended}
	b.handleAccepted(conn)
	b.step(
		core.RequestReceived{
			Client:  conn.client.handle,
			Request: policy.Request{ID: "1", Key: "k", Class: "chat", Timeout: time.Second},
		},
	)
	attempt := conn.client.server
	if attempt == nil {
		t.Fatal("no attempt was started")
	}
	c, err := server.Accept()
	if err != nil {
		t.Fatal(err)
	}
	_ = c.(*net.TCPConn).SetLinger(0)
	_ = c.Close()
	for end := time.Now().Add(2 * time.Second); ; time.Sleep(time.Millisecond) {
		attempt.mu.Lock()
		closed := attempt.state == ended
		attempt.mu.Unlock()
		if closed {
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
