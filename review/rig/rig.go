// Package rig has what the cases of the second review share: it starts the balancer as the deploy file says, writes the
// record, and plays the platform's side: relays, configurations, and a discovery and servers for large fleets. Other
// servers, clients and discoveries are those of internal/fake.
package rig

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"oatloft/internal/fake"
	"oatloft/internal/rules"
)

// Exit codes of a case.
const (
	Held   = 0
	Broken = 1
	Void   = 2
)

// Rig is one run of a case.
type Rig struct {
	*fake.World
	Trouble bool   // the disruption is played; TROUBLE=0 leaves it out
	Dir     string // temporary folder
	Sockets int    // the balancer's descriptors
	Memory  int    // the balancer's memory, in MB
	Known   []fake.Host

	mu     sync.Mutex
	record *os.File
	start  time.Time
	broken []string
	procs  []*Process
}

// Trouble reports whether the disruption is played.
func Trouble() bool { return os.Getenv("TROUBLE") != "0" }

// New starts a world with so many servers in the zone nrb. The record is written to the file that the first argument
// names.
func New(servers int) *Rig {
	if len(os.Args) != 2 {
		fmt.Println("usage: CASE record.txt")
		os.Exit(Void)
	}
	record, err := os.Create(os.Args[1])
	r := &Rig{Trouble: Trouble(), Sockets: 1024, Memory: 192, record: record, start: time.Now()}
	r.Must(err)
	r.Dir, err = os.MkdirTemp("", "review-")
	r.Must(err)
	r.World, err = fake.New(servers)
	r.Must(err)
	for _, s := range r.Servers {
		s.Zone = "nrb"
	}
	r.Known = r.Hosts()
	r.World.Watch = func(e rules.Event) {
		r.Note("%v %s %s %s %s", e.Kind, e.ID, e.Server, e.Text, e.By)
	}
	r.Note("trouble: %v", r.Trouble)
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGTERM, syscall.SIGINT)
	go func() { r.Void("stopped by %v", <-stopped) }()
	return r
}

// Note writes a line to the record.
func (r *Rig) Note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := strings.TrimRight(fmt.Sprintf(format, args...), " ")
	_, _ = fmt.Fprintf(r.record, "%9.3f  %s\n", time.Since(r.start).Seconds(), line)
}

// Break records that the rule was broken.
func (r *Rig) Break(format string, args ...any) {
	r.Note("BROKEN: "+format, args...)
	r.mu.Lock()
	r.broken = append(r.broken, fmt.Sprintf(format, args...))
	r.mu.Unlock()
}

// Must ends the run as void if err is not nil.
func (r *Rig) Must(err error) {
	if err != nil {
		r.Void("cannot run: %v", err)
	}
}

// Void ends the run without a verdict.
func (r *Rig) Void(format string, args ...any) {
	r.Note("VOID: "+format, args...)
	fmt.Printf("void: "+format+"\n", args...)
	r.stop()
	os.Exit(Void)
}

// Finish ends the run with its verdict.
func (r *Rig) Finish() {
	r.stop()
	r.mu.Lock()
	broken := r.broken
	r.mu.Unlock()
	if len(broken) == 0 {
		r.Note("HELD")
		fmt.Println("held")
		os.Exit(Held)
	}
	fmt.Printf("broken %d times, first: %s\n", len(broken), broken[0])
	os.Exit(Broken)
}

// stop ends all processes that the run has started and removes its files.
func (r *Rig) stop() {
	r.mu.Lock()
	procs := r.procs
	r.mu.Unlock()
	for _, p := range procs {
		p.Kill()
	}
	_ = os.RemoveAll(r.Dir)
}

// Process is a balancer's process.
type Process struct {
	Name string
	cmd  *exec.Cmd
	over chan struct{}
}

// Start runs the deploy file's command with these variables. The file, if not nil, is passed as descriptor 3.
func (r *Rig) Start(name string, env map[string]string, file *os.File) *Process {
	p := &Process{Name: name, cmd: exec.Command("/bin/sh", "-c", deployRun()), over: make(chan struct{})}
	for _, v := range os.Environ() {
		if !strings.HasPrefix(v, "PROXY_") && !strings.HasPrefix(v, "TMPDIR=") {
			p.cmd.Env = append(p.cmd.Env, v)
		}
	}
	for k, v := range env {
		p.cmd.Env = append(p.cmd.Env, k+"="+v)
	}
	if file != nil {
		p.cmd.ExtraFiles = []*os.File{file}
		p.cmd.Env = append(p.cmd.Env, "PROXY_FD=3")
	}
	log, err := os.Create(filepath.Join(r.Dir, name+".log"))
	r.Must(err)
	p.cmd.Stdout, p.cmd.Stderr = log, log
	r.Must(p.cmd.Start())
	r.Note("%s: started with %v", name, env)
	r.mu.Lock()
	r.procs = append(r.procs, p)
	r.mu.Unlock()
	go func() {
		err := p.cmd.Wait()
		r.Note("%s: ended: %v", name, err)
		body, _ := os.ReadFile(log.Name())
		for line := range strings.SplitSeq(strings.TrimSpace(string(body)), "\n") {
			r.Note("%s: log: %.400s", name, line)
		}
		_ = log.Close()
		close(p.over)
	}()
	return p
}

// deployRun returns the command run of the deploy file.
func deployRun() string {
	body, _ := os.ReadFile("deploy/balancer.toml")
	for line := range strings.SplitSeq(string(body), "\n") {
		if rest, ok := strings.CutPrefix(line, `run = "`); ok {
			command, _, _ := strings.Cut(rest, `"`)
			return command
		}
	}
	return "exit 2"
}

// PrivateKB returns the process's private resident memory, in KiB.
func (p *Process) PrivateKB() (n int) {
	body, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	for line := range strings.SplitSeq(string(body), "\n") {
		if rest, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			_, _ = fmt.Sscan(rest, &n)
		}
	}
	return n
}

// Signal sends a signal to the process.
func (p *Process) Signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// Kill kills the process and waits for its end.
func (p *Process) Kill() {
	_ = p.cmd.Process.Kill()
	<-p.over
}

// Ended reports whether the process ends within d.
func (p *Process) Ended(d time.Duration) bool {
	select {
	case <-p.over:
		return true
	case <-time.After(d):
		return false
	}
}

// Until waits until ok returns true; after d the run is void.
func (r *Rig) Until(what string, d time.Duration, ok func() bool) {
	for end := time.Now().Add(d); !ok(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			r.Void("%s: not within %v", what, d)
		}
	}
	r.Note("%s", what)
}

// FreeAddress returns a free address on loopback.
func (r *Rig) FreeAddress() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	r.Must(err)
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

// Relay passes connections on to another address.
type Relay struct {
	Addr     string
	Accepted func() // called for each connection, if set
	target   string
	listener net.Listener
	mu       sync.Mutex
	conns    []net.Conn
}

// NewRelay starts a relay at a free address.
func (r *Rig) NewRelay(target string) *Relay {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	r.Must(err)
	relay := &Relay{Addr: l.Addr().String(), target: target, listener: l}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			if relay.Accepted != nil {
				relay.Accepted()
			}
			go relay.pass(c)
		}
	}()
	return relay
}

func (l *Relay) pass(c net.Conn) {
	out, err := net.Dial("tcp", l.target)
	if err != nil {
		_ = c.Close()
		return
	}
	l.mu.Lock()
	l.conns = append(l.conns, c, out)
	l.mu.Unlock()
	go func() { _, _ = io.Copy(out, c); _ = out.Close(); _ = c.Close() }()
	_, _ = io.Copy(c, out)
	_ = out.Close()
	_ = c.Close()
}

// Close takes no new connections from now on, and closes the open ones after d.
func (l *Relay) Close(d time.Duration) {
	_ = l.listener.Close()
	time.AfterFunc(d, func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		for _, c := range l.conns {
			_ = c.Close()
		}
	})
}

// Object is a JSON object.
type Object = map[string]any

// Settings returns the settings of a small deployment: those of msimbo-ke-prod for one balancer. Mode is proxy or pass.
func Settings(mode string) Object {
	class := func(name string, aim, giveUp float64) Object {
		return Object{"name": name, "aim-ms": aim, "give-up-ms": giveUp, "semantics": "safe", "group": "all",
			"stream": true, "key-ttl-ms": 5000.0, "points": 3.0, "late-worth": 0.0}
	}
	return Object{
		"zone": "nrb", "areas": []string{"nrb", "mba", "ksm"}, "balancers": 1, "position": 0, "granularity-ms": 5.0,
		"membership-mode": "on_request", "counted-by": "request", "family": "conn", "weights": "silent",
		"clients": Object{"marks-retry": false},
		"limits": Object{"cancel": true, "connect-timeout-ms": 250.0, "cpu-us-per-request": 0.0, "cpu-us-per-s": 500000,
			"idle-close-ms": 15000.0, "max-attempts": 6, "max-retry-after-ms": 2000.0, "may-duplicate": false,
			"may-tell": false, "most-held": 1000000, "probes": true, "retry-after": false, "streams-per-conn": 1048576},
		"reporting": Object{"how": "pull", "columns": []string{"lat_ms", "rif", "x0"}},
		"family-info": Object{"groups": true, "mode": mode, "message-aim-ms": []float64{150, 100, 60},
			"park-ms": 7926.244, "tells-delay": true, "tells-load": true,
			"tenant-quota-connections": []float64{778, 475, 187}},
		"rules": Object{"ask-every-ms": 10000.0, "cold-from": 0.34, "cold-ms": 8600.0, "drain-grace-ms": 500.0,
			"fall-multiple": 4.0, "grace-to-answer-ms": 20.0, "tip-after-ms": 3000.0},
		"penalties": Object{"cross-zone": 0.16, "late-fail": 0.076, "moves": 0.0068, "probe": 0.0019, "waste": 0.18},
		"tenants": []Object{{"name": "pesa-grid", "fraction": 0.54, "quota-rps": 6.0},
			{"name": "shamba-soft", "fraction": 0.33, "quota-rps": 4.0},
			{"name": "boda-route", "fraction": 0.13, "quota-rps": 1.0}},
		"classes": []Object{class("text-search", 800, 4800), class("suggest", 500, 2000), class("goto-def", 300, 1200)},
	}
}

// WriteConfig replaces a balancer's configuration.
func (r *Rig) WriteConfig(path, name, listen, discovery string, settings Object) {
	body, err := json.Marshal(Object{
		"name": name, "listen": listen, "discovery": discovery, "seed": fmt.Sprintf("%x", rand.Uint64()),
		"limits":   Object{"cores": 1.0, "memory_mb": r.Memory, "sockets": r.Sockets},
		"known":    Object{"seq": 0, "whole": true, "hosts": r.Known},
		"settings": settings,
	})
	r.Must(err)
	r.Must(os.WriteFile(path+".new", body, 0o600))
	r.Must(os.Rename(path+".new", path))
}

// RandomRequest returns a request of any class and tenant.
func RandomRequest() fake.Request {
	classes := []string{"text-search", "suggest", "goto-def"}
	waits := []time.Duration{4800 * time.Millisecond, 2 * time.Second, 1200 * time.Millisecond}
	i := rand.IntN(len(classes))
	return fake.Request{Key: fmt.Sprintf("%016x", rand.Uint64()), Class: classes[i], Tenant: "pesa-grid", Wait: waits[i],
		More: fmt.Sprintf(",g=%016x", rand.Uint64())}
}
