package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"oatloft/internal/fake"
)

// restartTimeout is how long these tests wait for an expected event. It is not a limit that a rule sets.
const restartTimeout = 30 * time.Second

// newRestartWorld returns a simulated world with the given number of servers, and the options for its balancers.
func newRestartWorld(t *testing.T, servers int) (*fake.World, fake.Options) {
	t.Helper()
	w, err := fake.New(servers)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(w.Close)
	return w, fake.Options{Sockets: 512, MemoryMB: 64}
}

// writeRestartConfig writes a balancer's configuration, with known in place of its list of known servers; "" leaves the
// list as it is.
func writeRestartConfig(t *testing.T, w *fake.World, name string, o fake.Options, known string) fake.Launch {
	t.Helper()
	path, addr, err := w.WriteConfig(t.TempDir(), name, "127.8.5.1", o)
	if err != nil {
		t.Fatal(err)
	}
	if known != "" {
		var file map[string]any
		body, err := os.ReadFile(path)
		if err == nil {
			err = json.Unmarshal(body, &file)
		}
		if err != nil {
			t.Fatal(err)
		}
		file["known"] = json.RawMessage(known)
		if body, err = json.Marshal(file); err == nil {
			err = os.WriteFile(path, body, 0o600)
		}
		if err != nil {
			t.Fatal(err)
		}
	}
	return fake.Launch{Binary: os.Args[0], Config: path, Addr: addr}
}

// waitUntilServing waits until a balancer serves a client: the first requests may be rejected.
func waitUntilServing(t *testing.T, w *fake.World, addr string) {
	t.Helper()
	last := ""
	for end := time.Now().Add(restartTimeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		c, err := w.Connect("", addr)
		if err != nil {
			last = err.Error()
			continue
		}
		a := c.Open(fake.Request{Key: "k"})
		c.Close()
		if last = a.What; last == "UP" {
			return
		}
	}
	t.Errorf("%s is ready and serves no client: %s", addr, last)
}

// silentDiscovery accepts connections and answers no call.
func silentDiscovery(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.8.5.2:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { _ = c.Close() })
		}
	}()
	return l.Addr().String()
}

// A balancer is ready at once, whether discovery is down or silent, and serves from the list that it knows. World.Start
// fails if the balancer does not answer PONG within 10 s.
func TestReadyWithoutDiscovery(t *testing.T) {
	w, o := newRestartWorld(t, 2)
	closed, err := net.Listen("tcp", "127.8.5.2:0")
	if err != nil {
		t.Fatal(err)
	}
	_ = closed.Close()
	for name, discovery := range map[string]string{"down": closed.Addr().String(), "silent": silentDiscovery(t)} {
		for _, known := range []string{"", "null"} {
			t.Run(fmt.Sprintf("%s, known %q", name, known), func(t *testing.T) {
				o.Discovery = discovery
				l := writeRestartConfig(t, w, "n1", o, known)
				p, err := w.Start(l)
				if err != nil {
					t.Fatal(err)
				}
				defer p.Kill()
				if known == "" {
					waitUntilServing(t, w, l.Addr)
				} else if c, err := w.Connect("", l.Addr); err != nil {
					t.Error(err)
				} else if a := c.Open(fake.Request{Key: "k"}); a.What == "UP" || a.Line == "" {
					t.Errorf("knows no server, and answers %+v", a)
				}
			})
		}
	}
}

// A balancer that knows no server, or from an old list only servers that are gone, serves once discovery is reachable.
func TestServesAfterDiscoveryReturns(t *testing.T) {
	for name, known := range map[string]string{"no list": "null", "an old list": `{"seq":0,"whole":true,"hosts":[
		{"host":"gone","dial":"127.8.5.3:1","site":"here","class":"m","block":0,"health":"ready","share":1,"born_ms":0}]}`} {
		t.Run(name, func(t *testing.T) {
			w, o := newRestartWorld(t, 2)
			w.Discovery.Cut(true)
			w.Discovery.Tell("r1", "ready") // makes discovery's list newer than an empty one
			w.Discovery.Tell("r2", "ready")
			l := writeRestartConfig(t, w, "n1", o, known)
			p, err := w.Start(l)
			if err != nil {
				t.Fatal(err)
			}
			defer p.Kill()
			w.Discovery.Cut(false)
			waitUntilServing(t, w, l.Addr)
		})
	}
}

// All balancers may be restarted at once: each becomes ready and serves.
func TestAllRestartedAtOnce(t *testing.T) {
	w, o := newRestartWorld(t, 2)
	o.Balancers = 4
	launches := make([]fake.Launch, o.Balancers)
	for i := range launches {
		launches[i] = writeRestartConfig(t, w, fmt.Sprint("n", i), o, "")
	}
	startAll := func() (list []*fake.Process) {
		var wait sync.WaitGroup
		list = make([]*fake.Process, len(launches))
		for i, l := range launches {
			wait.Add(1)
			go func() {
				defer wait.Done()
				p, err := w.Start(l)
				if err != nil {
					t.Error(err)
					return
				}
				list[i] = p
			}()
		}
		wait.Wait()
		if t.Failed() {
			t.FailNow()
		}
		return list
	}
	for _, p := range startAll() {
		p.Signal(syscall.SIGTERM)
		defer func() {
			if err := p.Over(restartTimeout); err != nil {
				t.Error(err)
			}
		}()
	}
	for _, l := range launches { // the addresses are free again once all processes have ended
		for end := time.Now().Add(restartTimeout); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
			c, err := net.Dial("tcp", l.Addr)
			if err != nil {
				break
			}
			_ = c.Close()
		}
	}
	for i, p := range startAll() {
		waitUntilServing(t, w, launches[i].Addr)
		p.Kill()
	}
}

// manualServer answers probes at once, and leaves the answers to requests to the test.
type manualServer struct {
	addr   string
	opened chan net.Conn // connections on which a request has been read
}

func newManualServer(t *testing.T) *manualServer {
	t.Helper()
	l, err := net.Listen("tcp", "127.8.5.4:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	r := &manualServer{l.Addr().String(), make(chan net.Conn, 9)}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { _ = c.Close() })
			go func() {
				in := bufio.NewReader(c)
				for {
					line, err := in.ReadString('\n')
					if err != nil {
						return
					}
					if strings.HasPrefix(line, "OPEN ") {
						r.opened <- c
						return
					}
					fmt.Fprint(c, "PONG latency_ms=3.5,inflight=1,x0=0.2\r\n")
				}
			}()
		}
	}()
	return r
}

// Signals arrive in several orders, and repeatedly, while a request is unanswered: it gets exactly one answer, and the
// process ends by itself with exit code 0. The test lets the server answer after the last signal.
func TestSignalsDuringUnansweredRequest(t *testing.T) {
	for _, signals := range [][]syscall.Signal{
		{syscall.SIGTERM}, {syscall.SIGTERM, syscall.SIGTERM}, {syscall.SIGTERM, syscall.SIGINT, syscall.SIGTERM},
		{syscall.SIGHUP, syscall.SIGTERM}, {syscall.SIGTERM, syscall.SIGHUP},
		{syscall.SIGHUP, syscall.SIGTERM, syscall.SIGHUP, syscall.SIGTERM},
	} {
		t.Run(fmt.Sprint(signals), func(t *testing.T) {
			w, o := newRestartWorld(t, 1)
			server := newManualServer(t)
			o.PassThrough, o.Dial, o.Discovery = true, map[string]string{"r1": server.addr}, silentDiscovery(t)
			l := writeRestartConfig(t, w, "n1", o, "")
			p, err := w.Start(l)
			if err != nil {
				t.Fatal(err)
			}
			defer func() {
				if t.Failed() {
					t.Log(p.Log())
				}
			}()
			c, err := net.Dial("tcp", l.Addr)
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = c.Close() }()
			_ = c.SetDeadline(time.Now().Add(restartTimeout))
			fmt.Fprint(c, "OPEN 1 k c=chat,t=acme,d=60000\r\n")
			var attempt net.Conn
			select {
			case attempt = <-server.opened:
			case <-time.After(restartTimeout):
				t.Fatal("the server got no request")
			}
			for _, s := range signals {
				p.Signal(s)
			}
			fmt.Fprint(attempt, "UP 1\r\n")
			in := bufio.NewReader(c)
			if line, err := in.ReadString('\n'); line != "UP 1\r\n" {
				t.Fatalf("answered %q, %v", line, err)
			}
			_ = c.(*net.TCPConn).CloseWrite()
			_, _ = io.Copy(io.Discard, attempt)
			_ = attempt.Close()
			if rest, err := io.ReadAll(in); len(rest) > 0 || err != nil {
				t.Errorf("after the answer %q, %v", rest, err)
			}
			if err := p.Over(restartTimeout); err != nil {
				t.Error("the process ended with:", err)
			}
		})
	}
}
