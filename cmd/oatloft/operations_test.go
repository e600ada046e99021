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

// service is a balancer as the operators' staff run it: a listening socket that the platform holds, and as many
// processes on it as there are versions at work.
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

// upgrade starts the next process, and returns the one before.
func (s *service) upgrade() (old *fake.Process) {
	s.t.Helper()
	l, err := net.Listen("tcp", "127.8.4.2:0") // a new second address for each
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

// startMaintenance has a region left startMaintenance, and the checker hold the balancer to it.
func (s *service) startMaintenance(region string) {
	s.t.Helper()
	s.call("maint-on "+region, "+OK")
	s.Saw(rules.Told, "", region, "draining")
}

func (s *service) endMaintenance(region string) {
	s.t.Helper()
	s.Saw(rules.Told, "", region, "ready")
	s.call("maint-off "+region, "+OK")
}

func (s *service) checkInvariants() {
	s.t.Helper()
	if v := s.Violations(); v != "" {
		s.t.Error(v)
	}
}

// openOnce opens a transaction and closes it; it returns the region that took it, or the answer.
func (s *service) openOnce(key string) string {
	s.t.Helper()
	c, err := s.Connect("", s.launch.Addr)
	if err != nil {
		s.t.Fatal(err)
	}
	defer c.Break()
	return serverOrAnswer(c.Open(fake.Ask{Key: strings.ReplaceAll(key, " ", "-")}))
}

func serverOrAnswer(a fake.Answer) string {
	if receipt, up := strings.CutPrefix(a.Line, "UP "); up {
		region, _, _ := strings.Cut(receipt, "-")
		return region
	}
	return a.What
}

// A region called out gets nothing, whatever discovery says of it; its terminals are moved; it comes back by one
// call.
func TestMaintenance(t *testing.T) {
	s := newService(t, fake.Options{Sockets: 512, MemoryMB: 64, PassThrough: true})
	s.call("maint-on nobody", "-ERR nobody was never listed")
	var standing []*fake.Terminal
	at := 0
	for i := range 24 {
		c, err := s.Connect("", s.launch.Addr)
		if err != nil {
			t.Fatal(err)
		}
		if serverOrAnswer(c.Open(fake.Ask{Key: fmt.Sprint("s", i)})) == "r1" {
			at++
			standing = append(standing, c)
		}
	}
	if at == 0 {
		t.Fatal("nobody stands at r1")
	}
	s.startMaintenance("r1")
	s.startMaintenance("r1") // calls out may come more than once
	for _, c := range standing {
		if err := c.Moved(3 * time.Second); err != nil {
			t.Fatal("a terminal at the region left out:", err)
		}
	}
	for _, health := range []string{"draining", "ready", "gone", "ready", "ready"} {
		s.Discovery.Tell("r1", health)
		s.Saw(rules.Told, "", "r1", "draining") // what discovery says is not what holds
		for i := range 15 {
			if got := s.openOnce(fmt.Sprint(health, i)); got == "r1" || !strings.HasPrefix(got, "r") {
				t.Fatalf("discovery says %s: %s", health, got)
			}
		}
	}
	for _, r := range []string{"r2", "r3", "r4"} {
		s.startMaintenance(r)
	}
	time.Sleep(600 * time.Millisecond)
	if got := s.openOnce("none left"); got != "BUSY" && got != "ERR" {
		t.Fatal("with all regions left out:", got)
	}
	s.endMaintenance("r1")
	s.waitFor("r1 is used again", func() bool { return s.openOnce("back") == "r1" })
	if err := os.RemoveAll(s.dir); err != nil {
		t.Fatal(err)
	}
	s.call("maint-on r1", "-ERR nothing changed: handover") // it can't be kept: nothing has changed
	if got := s.openOnce("still"); got != "r1" {
		t.Fatal("after a no:", got)
	}
	s.checkInvariants()
}

// A drained balancer says no to the front, serves who comes all the same, has standing terminals make way in time
// where their connections end here, and is back at a call.
func TestStandby(t *testing.T) {
	for _, pass := range []bool{false, true} {
		s := newService(t, fake.Options{Sockets: 512, MemoryMB: 64, PassThrough: pass})
		var standing []*fake.Terminal
		for i := range 20 {
			c, err := s.Connect("", s.launch.Addr)
			if err != nil {
				t.Fatal(err)
			}
			if a := c.Open(fake.Ask{Key: fmt.Sprint(i)}); a.What != "UP" {
				t.Fatal(a)
			}
			standing = append(standing, c)
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
			t.Fatal("who comes all the same:", got)
		}
		for i, c := range standing {
			switch err := c.Moved(4*time.Second - time.Since(began)); {
			case pass && !errors.Is(err, os.ErrDeadlineExceeded):
				t.Fatal("packets pass through, and yet:", err)
			case !pass && (err != nil || i == 0 && time.Since(began) < 200*time.Millisecond):
				t.Fatalf("terminal %d after %v: %v", i, time.Since(began), err)
			}
			if pass {
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

// Two upgrades in a row under traffic: every connection gets its answer, whoever accepted it; a region left out stays
// so; standing terminals are moved and come back where they stood; the old process leaves early and by itself.
func TestUpgrade(t *testing.T) {
	s := newService(t, fake.Options{Sockets: 512, MemoryMB: 64, PassThrough: true})
	s.startMaintenance("r2")
	time.Sleep(600 * time.Millisecond)
	stood := map[string]string{}
	standing := map[string]*fake.Terminal{}
	stand := func(key string) string {
		c, err := s.Connect("", s.launch.Addr)
		if err != nil {
			t.Fatal(err)
		}
		standing[key] = c
		return serverOrAnswer(c.Open(fake.Ask{Key: key}))
	}
	for i := range 40 {
		key := fmt.Sprint("k", i)
		stood[key] = stand(key)
	}
	var stop atomic.Bool
	var wait sync.WaitGroup
	var asked atomic.Int64
	for i := range 4 {
		wait.Add(1)
		go func() {
			defer wait.Done()
			for n := 0; !stop.Load(); n++ {
				c, err := s.Connect("", s.launch.Addr)
				if err != nil {
					t.Error("at the door:", err)
					return
				}
				if a := c.Open(fake.Ask{Key: fmt.Sprintf("t%d-%d", i, n)}); a.What != "UP" {
					t.Error("under way:", a)
				}
				c.Break()
				asked.Add(1)
			}
		}()
	}
	for round := range 2 {
		old := s.upgrade()
		s.call("maint-on r2", "+OK") // known to the new one, and in force before its yes
		time.Sleep(100 * time.Millisecond)
		began := time.Now()
		for i := range 60 { // a burst is in the queue when the signal comes
			wait.Add(1)
			go func() {
				defer wait.Done()
				c, err := s.Connect("", s.launch.Addr)
				if err != nil {
					t.Error("at the door:", err)
					return
				}
				if a := c.Open(fake.Ask{Key: fmt.Sprintf("burst%d-%d", round, i)}); a.What != "UP" && a.What != "BUSY" {
					t.Error("in the burst:", a)
				}
				c.Break()
			}()
		}
		old.Signal(syscall.SIGTERM)
		same := 0
		for key, c := range standing {
			if err := c.Moved(4 * time.Second); err != nil {
				t.Fatalf("round %d, %s: %v", round, key, err)
			}
			if got := stand(key); got == stood[key] {
				same++
			} else {
				stood[key] = got
			}
		}
		if same < len(standing)*3/4 {
			t.Errorf("round %d: %d of %d came back where they stood", round, same, len(standing))
		}
		if err := old.Over(4 * time.Second); err != nil || time.Since(began) > 4*time.Second {
			t.Errorf("the old process: %v after %v\n%s", err, time.Since(began), old.Log())
		}
	}
	// A file that is damaged, or a later version's, is one line and an empty start, and no more.
	s.Saw(rules.Told, "", "r2", "ready")
	for _, name := range []string{"maintenance", "left"} {
		s.write(filepath.Join(s.dir, "oatloft-n1-"+name+".json"), `{"form":"oatloft","version":9}`)
	}
	old := s.upgrade()
	if strings.Count(s.process.Log(), "not read") != 2 {
		t.Error("files of a later version:", s.process.Log())
	}
	old.Signal(syscall.SIGTERM)
	if err := old.Over(4 * time.Second); err != nil {
		t.Error(err)
	}
	// One that can't start leaves the other at work.
	bad := s.launch
	bad.Config, bad.Management = filepath.Join(s.dir, "none.json"), ""
	if out, err := runToExit(bad); err == nil || strings.Count(out, "\n") != 1 {
		t.Errorf("a configuration that isn't there: %v %q", err, out)
	}
	stop.Store(true)
	wait.Wait()
	if asked.Load() < 100 {
		t.Error("little traffic:", asked.Load())
	}
	s.checkInvariants()
}

// runToExit starts a balancer that is not expected to last, and returns what it wrote.
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

// A descriptor that can't be what it should ends the start with one line, and so does an operators' address.
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
	elsewhere, err := other.(*net.TCPListener).File()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _, _ = elsewhere.Close(), other.Close() }()
	for _, x := range []struct {
		file      *os.File
		env, want string
	}{
		{s.listener, "PROXY_FD=three", "PROXY_FD: "}, {s.listener, "PROXY_FD=1", "PROXY_FD: "}, {s.listener, "PROXY_FD=200", "is not open"},
		{file, "X=", "is no socket"}, {idle, "X=", "does not listen"}, {elsewhere, "X=", "not on " + s.launch.Addr},
		{s.listener, "PROXY_MANAGEMENT=nowhere", "management: "}, {s.listener, "PROXY_MANAGEMENT=192.0.2.1:9", "management: "},
	} {
		l := s.launch
		l.Listener = x.file
		out, err := runToExit(l, x.env)
		var exit *exec.ExitError
		if !errors.As(err, &exit) || exit.ExitCode() != 1 || strings.Count(out, "\n") != 1 || !strings.Contains(out, x.want) {
			t.Errorf("%s: %v, %q", x.env, err, out)
		}
	}
	if got := s.openOnce("still served"); !strings.HasPrefix(got, "r") {
		t.Error(got)
	}
}

// A flood of terminals and hundreds of silent callers keep no operator from an answer within a second.
func TestCallsUnderLoad(t *testing.T) {
	s := newService(t, fake.Options{Sockets: 128, MemoryMB: 64, PassThrough: true})
	var held []io.Closer
	defer func() {
		for _, c := range held {
			_ = c.Close()
		}
	}()
	for i := range 400 {
		addr := s.launch.Addr
		if i%2 == 0 {
			addr = s.launch.Management
		}
		if c, err := net.DialTimeout("tcp", addr, time.Second); err == nil {
			held = append(held, c)
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

// Who asked while the process stood still has waited since then: its answer comes within the time that it waits,
// counted from its asking, also where no region answers.
func TestRequestWhileSuspended(t *testing.T) {
	r := newHarness(t, fake.Options{Sockets: 256, MemoryMB: 64}, fake.Launch{Management: freeAddress(t)})
	for _, g := range r.Regions {
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
	if a := c.Open(fake.Ask{Key: "k"}); a.What != "ERR" && a.What != "BUSY" {
		t.Errorf("%+v", a)
	}
	d, err := r.Connect("", r.process.Addr) // who asks now has waited for nothing
	if err != nil {
		t.Fatal(err)
	}
	defer d.Break()
	if a := d.Open(fake.Ask{Key: "k"}); a.Took < time.Second || a.What == "none" {
		t.Errorf("later: %+v", a)
	}
}
