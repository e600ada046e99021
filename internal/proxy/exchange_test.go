package proxy

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"regexp"
	"runtime/debug"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"oatloft/internal/core"
)

// exchange is a running exchange. Each file in testdata is an exchange of bytes, run against a whole balancer between
// scripted clients (a to g), attempts as servers see them (task1, task2 and so on, in the order of their arrival) and
// discovery's watches (watch1 and so on). A step is one line:
//
//	NAME > TEXT      NAME sends a line           NAME >> "TEXT"   sends exactly these bytes
//	NAME < TEXT      NAME receives a line; * matches any text
//	NAME < FIN       NAME receives FIN, or RST   NAME FIN         NAME sends FIN, or RST
//	nothing NAME MS  NAME receives nothing for that many milliseconds
//	chunk NAME TEXT  NAME sends one chunk that contains one line
//	long NAME N      NAME sends N bytes of a line
//	by MS            timeout of the next step
//	flood NAME N     NAME sends N lines of 1,000 bytes in the background
//	drain NAME N     NAME receives N such lines
//	gone NAME        writes by NAME fail
//	narrow NAME N    NAME has a receive buffer of about N bytes
//	wait MS, leave, ended, down REGION, fill N; sockets N and memory N set limits
//	management       opens the operators' address (a line of its own): op1, op2 and so on are callers
//	reload ADDR      the configuration is read again, with discovery at ADDR
type exchange struct {
	t           *testing.T
	balancer    *Balancer
	addr        string
	vars        *strings.Replacer
	servers     map[string]net.Listener
	peers       map[string]*testPeer
	attempts    chan *testPeer
	watchCalls  chan *testPeer
	leave       chan struct{}
	reload      chan Config
	ended       chan error
	stepTimeout time.Duration
	stoppedAt   time.Duration // the reducer's clock, if a test has stopped it
}

var managementLine = regexp.MustCompile(`(?m)^management$`)

var limitLines = regexp.MustCompile(`(?m)^(sockets|memory) (\d+)$`)

type testPeer struct {
	conn net.Conn
	in   *bufio.Reader
}

func newTestPeer(c net.Conn) *testPeer { return &testPeer{c, bufio.NewReader(c)} }

func TestExchanges(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txt")
	if err != nil || len(files) == 0 {
		t.Fatal("no exchanges:", err)
	}
	for _, file := range files {
		t.Run(strings.TrimSuffix(filepath.Base(file), ".txt"), func(t *testing.T) {
			text, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			p := startExchange(t, string(text))
			for n, line := range strings.Split(string(text), "\n") {
				if line == "" || line[0] == '#' || limitLines.MatchString(line) || managementLine.MatchString(line) {
					continue
				}
				if err := p.runStep(p.vars.Replace(line)); err != nil {
					t.Fatalf("%s:%d: %s: %v", file, n+1, line, err)
				}
			}
		})
	}
}

func startExchange(t *testing.T, text string) *exchange {
	t.Helper()
	return startConfiguredExchange(t, text, func(*exchange, *Config) {})
}

// startConfiguredExchange starts an exchange whose balancer's configuration is changed before.
func startConfiguredExchange(t *testing.T, text string, configure func(*exchange, *Config)) *exchange {
	t.Helper()
	p := &exchange{t: t, servers: map[string]net.Listener{}, peers: map[string]*testPeer{},
		attempts: make(chan *testPeer, 99), watchCalls: make(chan *testPeer, 99),
		leave: make(chan struct{}), reload: make(chan Config), ended: make(chan error, 1), stepTimeout: 3 * time.Second}
	var vars []string
	for _, name := range []string{"r1", "r2", "discovery", "moved"} {
		// Not 127.0.0.1, which nbio's own dialing would reach by mistake, as 0.0.0.0.
		l, err := net.Listen("tcp", "127.8.1.1:0")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = l.Close() })
		vars = append(vars, "$"+name, l.Addr().String())
		p.servers[name] = l
		go p.acceptPeers(l, name == "discovery" || name == "moved")
	}
	p.vars = strings.NewReplacer(vars...)
	body, err := os.ReadFile("testdata/config.json")
	if err != nil {
		t.Fatal(err)
	}
	cfg, err := ParseConfig([]byte(p.vars.Replace(string(body))), Overrides{})
	if err != nil {
		t.Fatal(err)
	}
	for _, m := range limitLines.FindAllStringSubmatch(text, -1) {
		n, _ := strconv.Atoi(m[2])
		if m[1] == "sockets" {
			cfg.Sockets = n
		} else {
			cfg.MemoryMB = n
		}
	}
	if managementLine.MatchString(text) {
		cfg.Management, cfg.StateDir = "127.0.0.1:0", t.TempDir()
	}
	configure(p, &cfg)
	debug.FreeOSMemory() // what earlier tests left counts towards the balancer's memory
	if p.balancer, err = New(cfg, slog.New(slog.DiscardHandler)); err != nil {
		t.Fatal(err)
	}
	if err := p.balancer.Start(); err != nil {
		t.Fatal(err)
	}
	p.addr = p.balancer.Addr()
	// A balancer left running would connect to ports that the next exchange has reused by then.
	ctx, cancel := context.WithCancel(context.Background())
	stopped := make(chan struct{})
	t.Cleanup(func() { cancel(); <-stopped })
	go func() {
		defer close(stopped)
		p.ended <- p.balancer.Run(ctx, p.leave, nil, p.reload)
	}()
	return p
}

// acceptPeers plays the servers, which answer probes at once, and discovery.
func (p *exchange) acceptPeers(l net.Listener, discovery bool) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		peer := newTestPeer(c)
		if discovery {
			p.watchCalls <- peer
			continue
		}
		go func() {
			for {
				word, err := peer.in.Peek(5)
				if err != nil || string(word) != "STATS" {
					p.attempts <- peer
					return
				}
				_, _ = peer.in.ReadString('\n')
				fmt.Fprint(c, "PONG latency_ms=3.5,inflight=10,x0=0.2\r\n")
			}
		}()
	}
}

// peerNamed returns the peer of a name. At the first mention it waits for an attempt or a watch, or connects a client.
func (p *exchange) peerNamed(name string) (*testPeer, error) {
	if known := p.peers[name]; known != nil {
		return known, nil
	}
	from := p.attempts
	switch {
	case strings.HasPrefix(name, "watch"):
		from = p.watchCalls
	case !strings.HasPrefix(name, "task"):
		addr := p.addr
		if strings.HasPrefix(name, "op") {
			addr = p.balancer.managementServer.Addr()
		}
		c, err := net.Dial("tcp", addr)
		if err != nil {
			return nil, err
		}
		p.peers[name] = newTestPeer(c)
		return p.peers[name], nil
	}
	select {
	case p.peers[name] = <-from:
		return p.peers[name], nil
	case <-time.After(p.stepTimeout):
		return nil, errors.New("no connection arrived")
	}
}

// runStep runs one line of an exchange.
func (p *exchange) runStep(line string) error {
	words := strings.SplitN(line, " ", 3)
	number := 0
	if len(words) > 1 {
		number, _ = strconv.Atoi(words[len(words)-1])
	}
	if step := exchangeSteps[words[0]]; step != nil {
		return step(p, words, number)
	}
	switch words[0] {
	case "gone":
		words = []string{words[1], words[0]}
	case "nothing", "long", "chunk", "flood", "drain", "narrow":
		words = []string{words[1], words[0], words[2]}
	}
	side, err := p.peerNamed(words[0])
	if err != nil {
		return err
	}
	step := peerSteps[words[1]]
	if step == nil {
		return errors.New("unknown step")
	}
	return step(p, side, strings.Join(words[2:], ""), number)
}

// exchangeSteps are the steps of the exchange itself; number is the line's last word.
var exchangeSteps map[string]func(p *exchange, words []string, number int) error

func init() { // not an initializer: fill runs steps itself, which would be a cycle
	exchangeSteps = map[string]func(p *exchange, words []string, number int) error{
		"wait": func(_ *exchange, _ []string, number int) error {
			time.Sleep(time.Duration(number) * time.Millisecond)
			return nil
		},
		"by": func(p *exchange, _ []string, number int) error {
			p.stepTimeout = time.Duration(number) * time.Millisecond
			return nil
		},
		"leave": func(p *exchange, _ []string, _ int) error {
			p.leave <- struct{}{}
			return nil
		},
		"reload": func(p *exchange, words []string, _ int) error {
			cfg := p.balancer.cfg // safe: only a reload changes it, and exchanges reload once
			cfg.Discovery.File = words[1]
			p.reload <- cfg
			return nil
		},
		"ended": func(p *exchange, _ []string, _ int) error {
			select {
			case err := <-p.ended:
				return err
			case <-time.After(p.stepTimeout):
				return errors.New("the balancer has not stopped")
			}
		},
		"down": func(p *exchange, words []string, _ int) error { return p.servers[words[1]].Close() },
		"fill": (*exchange).fillSockets,
	}
}

func (p *exchange) fillSockets(_ []string, number int) error {
	for i := range number {
		if err := p.runStep(fmt.Sprintf("filler%d > PING", i)); err != nil {
			return err
		}
	}
	return p.runStep(fmt.Sprintf("filler%d < PONG", number-1))
}

// peerSteps are the steps of one peer; text is the rest of the line, number its last word.
var peerSteps = map[string]func(p *exchange, side *testPeer, text string, number int) error{
	">": func(_ *exchange, side *testPeer, text string, _ int) error {
		_, err := io.WriteString(side.conn, text+"\r\n")
		return err
	},
	">>": func(_ *exchange, side *testPeer, text string, _ int) error {
		text, err := strconv.Unquote(text)
		if err == nil {
			_, err = io.WriteString(side.conn, text)
		}
		return err
	},
	"chunk": func(_ *exchange, side *testPeer, text string, _ int) error {
		_, err := fmt.Fprintf(side.conn, "%x\r\n%s\n\r\n", len(text)+1, text)
		return err
	},
	"long": func(_ *exchange, side *testPeer, _ string, number int) error {
		_, err := io.WriteString(side.conn, strings.Repeat("x", number))
		return err
	},
	"flood": func(_ *exchange, side *testPeer, _ string, number int) error {
		go func() {
			for i := range number {
				fmt.Fprintf(side.conn, "%0998d\r\n", i)
			}
		}()
		return nil
	},
	"narrow": func(_ *exchange, side *testPeer, _ string, number int) error {
		return side.conn.(*net.TCPConn).SetReadBuffer(number)
	},
	"drain": func(p *exchange, side *testPeer, _ string, number int) (err error) {
		for i := 0; i < number && err == nil; i++ {
			err = p.expectLine(side, fmt.Sprintf("%0998d", i))
		}
		return err
	},
	"gone": (*exchange).expectClosed,
	"FIN": func(_ *exchange, side *testPeer, _ string, _ int) error {
		return side.conn.(*net.TCPConn).CloseWrite()
	},
	"RST": func(_ *exchange, side *testPeer, _ string, _ int) error {
		_ = side.conn.(*net.TCPConn).SetLinger(0)
		return side.conn.Close()
	},
	"nothing": func(_ *exchange, side *testPeer, _ string, number int) error {
		_ = side.conn.SetReadDeadline(time.Now().Add(time.Duration(number) * time.Millisecond))
		if b, err := side.in.Peek(1); !errors.Is(err, os.ErrDeadlineExceeded) {
			return fmt.Errorf("got %q, %v", b, err)
		}
		return nil
	},
	"<": func(p *exchange, side *testPeer, text string, _ int) error { return p.expectLine(side, text) },
}

func (p *exchange) expectClosed(side *testPeer, _ string, _ int) (err error) {
	_ = side.conn.SetWriteDeadline(time.Now().Add(time.Second))
	for i := 0; i < 99 && err == nil; i++ {
		_, err = side.conn.Write(make([]byte, 1<<20))
	}
	if !errors.Is(err, syscall.ECONNRESET) && !errors.Is(err, syscall.EPIPE) {
		return fmt.Errorf("writes still succeed: %v", err)
	}
	return nil
}

func (p *exchange) expectLine(side *testPeer, text string) error {
	_ = side.conn.SetReadDeadline(time.Now().Add(p.stepTimeout))
	p.stepTimeout = 3 * time.Second
	got, err := side.in.ReadString('\n')
	switch text {
	case "FIN", "RST":
		if got != "" || text == "FIN" && err != io.EOF || text == "RST" && !errors.Is(err, syscall.ECONNRESET) {
			return fmt.Errorf("got %q, %v", got, err)
		}
		return nil
	}
	if strings.HasPrefix(text, "GET ") && err == nil { // skip the call's header lines
		for next := ""; next != "\r\n" && err == nil; {
			next, err = side.in.ReadString('\n')
		}
	}
	if err == nil && got == text+"\r\n" {
		return nil
	}
	want := "^" + strings.ReplaceAll(regexp.QuoteMeta(text), `\*`, ".*") + "\r\n$"
	if err != nil || !regexp.MustCompile(want).MatchString(got) {
		return fmt.Errorf("got %q, %v", got, err)
	}
	return nil
}

// A probe in flight to a server that is removed or changes its address is reported as finished: the reducer would
// wait for it forever otherwise.
func TestForgottenProbeIsReported(t *testing.T) {
	p := startExchange(t, "")
	b, err := New(p.balancer.cfg, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	b.step(*b.cfg.KnownEndpoints)
	b.probes["r1"] = &probe{pending: true, conn: &connection{balancer: b, role: probeRole, state: ended}}
	if b.carryOut(core.ForgetServer{Server: "r1"}); b.core.Counters.ProbesFailed != 1 || len(b.probes) != 0 {
		t.Fatalf("%+v", b.core.Counters)
	}
}

// startWithoutLoop starts a balancer whose loop does not run, so that no event is handled.
func startWithoutLoop(t *testing.T) *Balancer {
	t.Helper()
	p := startExchange(t, "")
	b, err := New(p.balancer.cfg, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	if err := b.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(b.Close)
	return b
}

// A client that sends endlessly cannot exhaust the memory while the loop is busy.
func TestReadingIsBounded(t *testing.T) {
	b := startWithoutLoop(t)
	c, err := net.Dial("tcp", b.Addr())
	if err != nil {
		t.Fatal(err)
	}
	_ = c.SetWriteDeadline(time.Now().Add(300 * time.Millisecond))
	_, _ = c.Write(make([]byte, 64<<20))
	b.queue.mu.Lock()
	defer b.queue.mu.Unlock()
	if n := len(b.queue.urgent) + len(b.queue.bulk); n > 2*maxReads {
		t.Fatal(n, "events are queued")
	}
}

// The error of an invalid configuration names the field, in one line.
func TestConfigErrorNamesField(t *testing.T) {
	body, err := os.ReadFile("testdata/config.json")
	if err != nil {
		t.Fatal(err)
	}
	good := strings.NewReplacer("$discovery", "127.0.0.1:1", "$r1", "127.0.0.1:2", "$r2", "127.0.0.1:3").
		Replace(string(body))
	if c, err := ParseConfig([]byte(good), Overrides{Name: "n9", Listen: "127.0.0.1:9"}); err != nil || c.Name != "n9" ||
		c.Listen != "127.0.0.1:9" {
		t.Fatal(c, err)
	}
	for _, x := range []struct{ old, new, field string }{
		{`"1f"`, `"x"`, "seed"},
		{`"127.0.0.1:0"`, `"nowhere"`, "listen"},
		{`"127.0.0.1:1"`, `""`, "discovery"},
		{`"ready"`, `"well"`, "known"},
		{`"aim-ms":800.0`, `"aim-ms":"soon"`, "classes.0.aim-ms"},
		{`"max-attempts":3`, `"max-attempts":0`, "attempts"},
		{`"connect-timeout-ms":250.0`, `"x":1`, "connect-timeout-ms"},
		{`"settings"`, `"set"`, "settings"},
		{`{"name"`, `"name"`, "config"},
	} {
		_, err := ParseConfig([]byte(strings.Replace(good, x.old, x.new, 1)), Overrides{})
		if err == nil || !strings.Contains(err.Error(), x.field) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: %v", x.field, err)
		}
	}
}
