package main

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"oatloft/internal/fake"
	"oatloft/internal/rules"
)

// service runs a balancer as operators do: the platform holds the listening socket, and each running version has a
// process on it.
type service struct {
	*harness
	listener *os.File
	calls    int
}

func newService(t *testing.T, o fake.Options) *service {
	t.Helper()
	w, err := fake.New(4)
	if err != nil {
		t.Fatal(err)
	}
	s := &service{harness: &harness{World: w, t: t, dir: t.TempDir(), options: o}}
	t.Cleanup(func() {
		if s.process != nil && t.Failed() {
			t.Log(s.process.Log())
		}
		w.Close()
	})
	l, err := net.Listen("tcp", "127.8.4.1:0")
	if err != nil {
		t.Fatal(err)
	}
	if s.listener, err = l.(*net.TCPListener).File(); err != nil {
		t.Fatal(err)
	}
	_ = l.Close()
	t.Cleanup(func() { _ = s.listener.Close() })
	s.config = filepath.Join(s.dir, "n1.json")
	s.write(s.config, string(w.Config("n1", l.Addr().String(), o)))
	s.launch = fake.Launch{
		Binary:   os.Args[0],
		Config:   s.config,
		Addr:     l.Addr().String(),
		Listener: s.listener,
		Env:      []string{"TMPDIR=" + s.dir},
	}
	s.upgrade()
	return s
}

// upgrade starts the next process, and returns the previous one.
func (s *service) upgrade() (old *fake.Process) {
	s.t.Helper()
	l, err := net.Listen("tcp", "127.8.4.2:0") // a new management address for each process
	if err != nil {
		s.t.Fatal(err)
	}
	s.launch.Management = l.Addr().String()
	_ = l.Close()
	old = s.process
	s.start()
	return old
}

func (s *service) call(line, want string) {
	s.t.Helper()
	s.calls++
	if got := fake.Call(s.launch.Management, line); !strings.HasPrefix(got, want) {
		s.t.Fatalf("%s: %q, not %q", line, got, want)
	}
}

// startMaintenance puts a server into maintenance, and notifies the checker that it must get no requests.
func (s *service) startMaintenance(server string) {
	s.t.Helper()
	s.call("maint-on "+server, "+OK")
	s.Saw(rules.StateReported, "", server, "draining")
}

func (s *service) endMaintenance(server string) {
	s.t.Helper()
	s.Saw(rules.StateReported, "", server, "ready")
	s.call("maint-off "+server, "+OK")
}

func (s *service) checkInvariants() {
	s.t.Helper()
	if v := s.Violations(); v != "" {
		s.t.Error(v)
	}
}

// openOnce opens a request and closes it. It returns the server that took it, or the answer if none did.
func (s *service) openOnce(key string) string {
	s.t.Helper()
	c, err := s.Connect("", s.launch.Addr)
	if err != nil {
		s.t.Fatal(err)
	}
	defer c.Break()
	return serverOrAnswer(c.Open(fake.Request{Key: strings.ReplaceAll(key, " ", "-")}))
}

func serverOrAnswer(a fake.Answer) string {
	if receipt, up := strings.CutPrefix(a.Line, "UP "); up {
		server, _, _ := strings.Cut(receipt, "-")
		return server
	}
	return a.What
}

// A server in maintenance gets no requests, whatever discovery reports about it; its clients are moved; one call ends
// the maintenance.
func TestMaintenance(t *testing.T) {
	s := newService(t, fake.Options{Sockets: 512, MemoryMB: 64, PassThrough: true})
	s.call("maint-on nobody", "-ERR nobody was never listed")
	var established []*fake.Client
	onR1 := 0
	for i := range 24 {
		c, err := s.Connect("", s.launch.Addr)
		if err != nil {
			t.Fatal(err)
		}
		if serverOrAnswer(c.Open(fake.Request{Key: fmt.Sprint("s", i)})) == "r1" {
			onR1++
			established = append(established, c)
		}
	}
	if onR1 == 0 {
		t.Fatal("no client was placed on r1")
	}
	s.startMaintenance("r1")
	s.startMaintenance("r1") // the call may be repeated
	for _, c := range established {
		if err := c.Moved(3 * time.Second); err != nil {
			t.Fatal("a client on the server in maintenance:", err)
		}
	}
	for _, health := range []string{"draining", "ready", "gone", "ready", "ready"} {
		s.Discovery.Tell("r1", health)
		s.Saw(rules.StateReported, "", "r1", "draining") // maintenance takes precedence over discovery
		for i := range 15 {
			if got := s.openOnce(fmt.Sprint(health, i)); got == "r1" || !strings.HasPrefix(got, "r") {
				t.Fatalf("discovery reports %s: %s", health, got)
			}
		}
	}
	for _, r := range []string{"r2", "r3", "r4"} {
		s.startMaintenance(r)
	}
	time.Sleep(600 * time.Millisecond)
	if got := s.openOnce("none left"); got != "BUSY" && got != "ERR" {
		t.Fatal("with all servers in maintenance:", got)
	}
	s.endMaintenance("r1")
	s.waitFor("r1 is used again", func() bool { return s.openOnce("back") == "r1" })
	if err := os.RemoveAll(s.dir); err != nil {
		t.Fatal(err)
	}
	s.call("maint-on r1", "-ERR nothing changed: handover") // the file cannot be written
	if got := s.openOnce("still"); got != "r1" {
		t.Fatal("after a refused call:", got)
	}
	s.checkInvariants()
}

// A drained balancer answers NO to the platform's front end, and still serves the clients that connect. It moves its
// established clients in time if their connections end at the balancer, and one call ends the drain.
func TestStandby(t *testing.T) {
	for _, passThrough := range []bool{false, true} {
		s := newService(t, fake.Options{Sockets: 512, MemoryMB: 64, PassThrough: passThrough})
		var established []*fake.Client
		for i := range 20 {
			c, err := s.Connect("", s.launch.Addr)
			if err != nil {
				t.Fatal(err)
			}
			if a := c.Open(fake.Request{Key: fmt.Sprint(i)}); a.What != "UP" {
				t.Fatal(a)
			}
			established = append(established, c)
		}
		s.call("active", "+OK")
		s.call("standby", "+OK")
		s.call("standby", "+OK")
		began := time.Now()
		if got := fake.Ping(s.launch.Addr); got != "NO" {
			t.Fatal("PING in standby:", got)
		}
		s.call("status", "-ERR standby")
		if got := s.openOnce("on the way"); !strings.HasPrefix(got, "r") {
			t.Fatal("a new client during the drain:", got)
		}
		for i, c := range established {
			switch err := c.Moved(4*time.Second - time.Since(began)); {
			case passThrough && !errors.Is(err, os.ErrDeadlineExceeded):
				t.Fatal("a client was moved although packets pass through:", err)
			case !passThrough && (err != nil || i == 0 && time.Since(began) < 200*time.Millisecond):
				t.Fatalf("client %d after %v: %v", i, time.Since(began), err)
			}
			if passThrough {
				break
			}
		}
		s.call("active", "+OK")
		if got := fake.Ping(s.launch.Addr); got != "PONG" {
			t.Fatal("PING after active:", got)
		}
		s.call("status", "+OK")
		s.checkInvariants()
	}
}

// Two upgrades in a row under traffic: every connection gets its answer, whichever process accepted it; a server in
// maintenance stays in it; established clients are moved and return to their server; the old process ends early and by
// itself.
func TestUpgrade(t *testing.T) {
	s := newService(t, fake.Options{Sockets: 512, MemoryMB: 64, PassThrough: true})
	s.startMaintenance("r2")
	time.Sleep(600 * time.Millisecond)
	servers := map[string]string{}
	established := map[string]*fake.Client{}
	establish := func(key string) string {
		c, err := s.Connect("", s.launch.Addr)
		if err != nil {
			t.Fatal(err)
		}
		established[key] = c
		return serverOrAnswer(c.Open(fake.Request{Key: key}))
	}
	for i := range 40 {
		key := fmt.Sprint("k", i)
		servers[key] = establish(key)
	}
	var stop atomic.Bool
	var wait sync.WaitGroup
	var requests atomic.Int64
	for i := range 4 {
		wait.Add(1)
		go func() {
			defer wait.Done()
			for n := 0; !stop.Load(); n++ {
				c, err := s.Connect("", s.launch.Addr)
				if err != nil {
					t.Error("cannot connect:", err)
					return
				}
				if a := c.Open(fake.Request{Key: fmt.Sprintf("t%d-%d", i, n)}); a.What != "UP" {
					t.Error("request during the upgrades:", a)
				}
				c.Break()
				requests.Add(1)
			}
		}()
	}
	for round := range 2 {
		old := s.upgrade()
		s.call("maint-on r2", "+OK") // known to the new process, and in force before it answers
		time.Sleep(100 * time.Millisecond)
		began := time.Now()
		for i := range 60 { // a burst that is queued when the signal arrives
			wait.Add(1)
			go func() {
				defer wait.Done()
				c, err := s.Connect("", s.launch.Addr)
				if err != nil {
					t.Error("cannot connect:", err)
					return
				}
				if a := c.Open(fake.Request{Key: fmt.Sprintf("burst%d-%d", round, i)}); a.What != "UP" && a.What != "BUSY" {
					t.Error("in the burst:", a)
				}
				c.Break()
			}()
		}
		old.Signal(syscall.SIGTERM)
		same := 0
		for key, c := range established {
			if err := c.Moved(4 * time.Second); err != nil {
				t.Fatalf("round %d, %s: %v", round, key, err)
			}
			if got := establish(key); got == servers[key] {
				same++
			} else {
				servers[key] = got
			}
		}
		if same < len(established)*3/4 {
			t.Errorf("round %d: %d of %d returned to their server", round, same, len(established))
		}
		if err := old.Over(4 * time.Second); err != nil || time.Since(began) > 4*time.Second {
			t.Errorf("the old process: %v after %v\n%s", err, time.Since(began), old.Log())
		}
	}
	// A file that is damaged or of a later version is reported in one line, and the process starts without it.
	s.Saw(rules.StateReported, "", "r2", "ready")
	for _, name := range []string{"maintenance", "left"} {
		s.write(filepath.Join(s.dir, "oatloft-n1-"+name+".json"), `{"form":"oatloft","version":9}`)
	}
	old := s.upgrade()
	if strings.Count(s.process.Log(), `msg="cannot read the `) != 2 {
		t.Error("files of a later version:", s.process.Log())
	}
	old.Signal(syscall.SIGTERM)
	if err := old.Over(4 * time.Second); err != nil {
		t.Error(err)
	}
	// A process that cannot start leaves the other one running.
	invalid := s.launch
	invalid.Config, invalid.Management = filepath.Join(s.dir, "none.json"), ""
	if out, err := runToExit(invalid); err == nil || strings.Count(out, "\n") != 1 {
		t.Errorf("a missing configuration: %v %q", err, out)
	}
	stop.Store(true)
	wait.Wait()
	if requests.Load() < 100 {
		t.Error("too little traffic:", requests.Load())
	}
	s.checkInvariants()
}

// runToExit runs a balancer that is expected to end by itself within 5 s, and returns its output.
func runToExit(l fake.Launch, env ...string) (string, error) {
	cmd := exec.Command(l.Binary, "serve", "--config", l.Config)
	cmd.Env = append(append(os.Environ(), l.Env...), "PROXY_FD=3")
	cmd.Env = append(cmd.Env, env...)
	cmd.ExtraFiles = []*os.File{l.Listener}
	var out strings.Builder
	cmd.Stdout, cmd.Stderr = &out, &out
	timer := time.AfterFunc(5*time.Second, func() { _ = cmd.Process.Kill() })
	defer timer.Stop()
	err := cmd.Run()
	return out.String(), err
}

// An invalid inherited descriptor or operators' address makes the start fail with one line.
func TestInvalidInheritedDescriptor(t *testing.T) {
	s := newService(t, fake.Options{Sockets: 512, MemoryMB: 64})
	file, err := os.Open(s.config)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = file.Close() }()
	socket, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	idle := os.NewFile(uintptr(socket), "idle")
	defer func() { _ = idle.Close() }()
	other, err := net.Listen("tcp", "127.8.4.3:0")
	if err != nil {
		t.Fatal(err)
	}
	otherListener, err := other.(*net.TCPListener).File()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _, _ = otherListener.Close(), other.Close() }()
	for _, x := range []struct {
		file      *os.File
		env, want string
	}{
		{s.listener, "PROXY_FD=three", "PROXY_FD: "},
		{s.listener, "PROXY_FD=1", "PROXY_FD: "},
		{s.listener, "PROXY_FD=200", "is not open"},
		{file, "X=", "is no socket"},
		{idle, "X=", "does not listen"},
		{otherListener, "X=", "not on " + s.launch.Addr},
		{s.listener, "PROXY_MANAGEMENT=nowhere", "management: "},
		{s.listener, "PROXY_MANAGEMENT=192.0.2.1:9", "management: "},
	} {
		l := s.launch
		l.Listener = x.file
		out, err := runToExit(l, x.env)
		var exit *exec.ExitError
		if !errors.As(err, &exit) || exit.ExitCode() != 1 || strings.Count(out, "\n") != 1 ||
			!strings.Contains(out, x.want) {
			t.Errorf("%s: %v, %q", x.env, err, out)
		}
	}
	if got := s.openOnce("still served"); !strings.HasPrefix(got, "r") {
		t.Error(got)
	}
}

// An operator's call is answered within a second, despite 200 silent clients and 200 silent management connections.
func TestCallsUnderLoad(t *testing.T) {
	s := newService(t, fake.Options{Sockets: 128, MemoryMB: 64, PassThrough: true})
	var open []io.Closer
	defer func() {
		for _, c := range open {
			_ = c.Close()
		}
	}()
	for i := range 400 {
		addr := s.launch.Addr
		if i%2 == 0 {
			addr = s.launch.Management
		}
		if c, err := net.DialTimeout("tcp", addr, time.Second); err == nil {
			open = append(open, c)
		}
	}
	for _, line := range []string{"status", "maint-on r1", "standby", "active", "maint-off r1"} {
		began := time.Now()
		s.call(line, "+OK")
		if took := time.Since(began); took > time.Second {
			t.Errorf("%s took %v", line, took)
		}
	}
}

// A request that arrives while the process is suspended has waited since then: its answer arrives within the client's
// timeout, counted from the time of the request, also if no server answers.
func TestRequestWhileSuspended(t *testing.T) {
	r := newHarness(t, fake.Options{Sockets: 256, MemoryMB: 64}, fake.Launch{Management: freeAddress(t)})
	for _, g := range r.Servers {
		g.Set(fake.Stalled)
	}
	r.process.Signal(syscall.SIGSTOP)
	c, err := r.Connect("", r.process.Addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Break()
	time.AfterFunc(1200*time.Millisecond, func() { r.process.Signal(syscall.SIGCONT) })
	c.After = 4 * time.Second
	c.Excuse = func(fake.Answer) bool { return true }
	if a := c.Open(fake.Request{Key: "k"}); a.What != "ERR" && a.What != "BUSY" {
		t.Errorf("%+v", a)
	}
	later, err := r.Connect("", r.process.Addr) // its whole timeout is left
	if err != nil {
		t.Fatal(err)
	}
	defer later.Break()
	if a := later.Open(fake.Request{Key: "k"}); a.Took < time.Second || a.What == "none" {
		t.Errorf("later: %+v", a)
	}
}
