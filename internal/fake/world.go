// Package fake implements the servers, the discovery service and the clients that a balancer talks to, on loopback
// sockets, by the published protocol and with faults on demand, for tests and tools. They report what they observe to a
// rules.Checker. The package does not use the balancer's own parsers or state, since an error in those would then go
// unnoticed, and it sends no traffic off loopback.
//
// A World is one run: all fakes in it share its clock and its checker, and Close stops them.
package fake

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"oatloft/internal/rules"
)

// World is the state that the fakes of one run share.
type World struct {
	Checker   *rules.Checker
	Servers   []*Server
	Discovery Discovery
	// Who returns the name of the balancer that a connection comes from, if several run; "" stands for any of them.
	Who func(from net.Addr) string
	// Carried, if set, is called with the number of bytes of a class that a server has read from a balancer. It must
	// not block.
	Carried func(by, server, class string, bytes int)
	// Watch, if set, is called with every event before the checker gets it. It must not block.
	Watch      func(rules.Event)
	start      time.Time
	mu         sync.Mutex
	closers    []func()
	goroutines sync.WaitGroup
}

// New starts a world with the given number of servers, named r1, r2 and so on, and a discovery service that lists them.
// Each server listens on its own address within 127.9.0.0/16, so that none is reached by mistake.
func New(servers int) (*World, error) {
	w := &World{
		Checker: rules.New(rules.Limits{Grace: 500 * time.Millisecond, Slack: 50 * time.Millisecond}),
		start:   time.Now(),
	}
	for i := range servers {
		if err := w.AddServer(fmt.Sprintf("r%d", i+1), fmt.Sprintf("127.9.%d.%d:0", i/250, i%250+1)); err != nil {
			w.Close()
			return nil, err
		}
	}
	if err := w.Discovery.listenDefault(w); err != nil {
		w.Close()
		return nil, err
	}
	return w, nil
}

// AddServer starts another server. Discovery does not list it until Discovery.Tell is called.
func (w *World) AddServer(name, addr string) error {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	r := &Server{Name: name, Addr: l.Addr().String(), w: w, listener: l, conns: map[net.Conn]bool{}}
	r.weight.Store(5)
	w.Servers = append(w.Servers, r)
	w.OnClose(func() { r.Terminate() })
	w.Go(r.accept)
	return nil
}

// Now returns the time since the start of the run.
func (w *World) Now() time.Duration { return time.Since(w.start) }

// Saw reports an event to the checker.
func (w *World) Saw(kind rules.Kind, id, server, text string) {
	w.SawBy("", kind, id, server, text)
}

// SawBy reports an event that concerns one balancer to the checker.
func (w *World) SawBy(balancer string, kind rules.Kind, id, server, text string) {
	e := rules.Event{At: w.Now(), Kind: kind, ID: id, Server: server, Text: text, By: balancer}
	if w.Watch != nil {
		w.Watch(e)
	}
	w.Checker.Add(e)
}

func (w *World) balancerOf(c net.Conn) string {
	if w.Who == nil {
		return ""
	}
	return w.Who(c.RemoteAddr())
}

// OnClose registers a function for Close, which calls them in reverse order.
func (w *World) OnClose(f func()) {
	w.mu.Lock()
	w.closers = append(w.closers, f)
	w.mu.Unlock()
}

// Go runs f in a goroutine that Close waits for.
func (w *World) Go(f func()) {
	w.goroutines.Add(1)
	go func() { defer w.goroutines.Done(); f() }()
}

// Close stops all fakes and waits for their goroutines.
func (w *World) Close() {
	w.mu.Lock()
	closers := w.closers
	w.closers = nil
	w.mu.Unlock()
	for i := len(closers) - 1; i >= 0; i-- {
		closers[i]()
	}
	w.goroutines.Wait()
}

// Host is a server in the format of the discovery list.
type Host struct {
	Host   string  `json:"host"`
	Dial   string  `json:"dial"`
	Site   string  `json:"site"`
	Class  string  `json:"class"`
	Block  int     `json:"block"`
	Health string  `json:"health"`
	Share  float64 `json:"share"`
	BornMS int64   `json:"born_ms"`
}

// Hosts returns all servers as ready.
func (w *World) Hosts() []Host {
	var hosts []Host
	for _, r := range w.Servers {
		hosts = append(hosts, Host{Host: r.Name, Dial: r.Addr, Site: r.zone(), Class: "m", Health: "ready", Share: 1})
	}
	return hosts
}

// Options are the settings of a balancer in this world, apart from its address.
type Options struct {
	Sockets, MemoryMB int
	Attempts          int  // attempts per request; 3 if 0
	RetryAfter        bool // clients follow the hint in BUSY MS
	PassThrough       bool // pass-through mode
	Tenants           map[string]float64
	Discovery         string            // address of discovery for this balancer; the world's own if ""
	Dial              map[string]string // address of a server for this balancer, by name; the server's own if missing
	Balancers         int               // number of balancers; 1 if 0
	Zone              string            // zone of the balancer; "here" if ""
	Bulk              bool              // adds a second class, bulk, with a lower priority weight
}

const defaultZone = "here"

// Config returns a balancer's PROXY_CONFIG. The balancer listens on the address listen.
func (w *World) Config(name, listen string, o Options) []byte {
	if o.Attempts == 0 {
		o.Attempts = 3
	}
	if len(o.Tenants) == 0 {
		o.Tenants = map[string]float64{"acme": 1}
	}
	var tenants []map[string]any
	var quotas []float64
	for name, share := range o.Tenants {
		tenants = append(tenants, map[string]any{"name": name, "fraction": share})
		quotas = append(quotas, 1000*share)
	}
	if o.Discovery == "" {
		o.Discovery = w.Discovery.Addr
	}
	known := w.Hosts()
	for i, h := range known {
		if address := o.Dial[h.Host]; address != "" {
			known[i].Dial = address
		}
	}
	if o.Zone == "" {
		o.Zone = defaultZone
	}
	classes := []map[string]any{{
		"name": "chat", "aim-ms": 800.0, "give-up-ms": 2000.0, "semantics": "safe", "group": "all", "stream": true,
	}}
	if o.Bulk {
		classes = append(classes, map[string]any{
			"name": "bulk", "aim-ms": 2000.0, "give-up-ms": 4000.0, "semantics": "safe", "group": "all", "stream": true,
		})
	}
	mode := "proxy"
	if o.PassThrough {
		mode = "pass"
	}
	body, err := json.Marshal(map[string]any{
		"name": name, "listen": listen, "discovery": o.Discovery, "seed": "8c1f30d27a5be964",
		"limits": map[string]any{"cores": 1, "memory_mb": o.MemoryMB, "sockets": o.Sockets},
		"known":  map[string]any{"seq": 0, "whole": true, "hosts": known},
		"settings": map[string]any{
			"zone": o.Zone, "balancers": max(1, o.Balancers), "granularity-ms": 5.0, "membership-mode": "on_request",
			"limits": map[string]any{"max-attempts": o.Attempts, "probes": true, "retry-after": o.RetryAfter,
				"max-retry-after-ms": 2000.0, "connect-timeout-ms": 250.0},
			"reporting": map[string]any{"how": "pull", "columns": []string{"lat_ms", "rif", "x0"}},
			"family-info": map[string]any{"groups": true, "mode": mode, "message-aim-ms": []float64{150},
				"tenant-quota-connections": quotas},
			"rules": map[string]any{"ask-every-ms": 10000.0, "cold-from": warmUpInitialShare,
				"cold-ms": float64(warmUpDuration.Milliseconds()), "fall-multiple": overloadFactor,
				"tip-after-ms": float64(overloadDuration.Milliseconds())},
			"tenants": tenants,
			"classes": classes,
		}})
	if err != nil {
		panic(err) // all values can be marshalled
	}
	return body
}

// WriteConfig writes Config to dir, with a free port of host, and returns its path and the listening address.
func (w *World) WriteConfig(dir, name, host string, o Options) (path, addr string, err error) {
	l, err := net.Listen("tcp", host+":0")
	if err != nil {
		return "", "", err
	}
	addr = l.Addr().String()
	_ = l.Close()
	path = filepath.Join(dir, name+".json")
	return path, addr, os.WriteFile(path, w.Config(name, addr, o), 0o600)
}

// Violations ends the checker's run and returns its first violations as text, "" if there are none.
func (w *World) Violations() string {
	return w.ViolationsBut(func(rules.Violation) bool { return false })
}

// ViolationsBut is Violations without those for which excused returns true.
func (w *World) ViolationsBut(excused func(rules.Violation) bool) string {
	var b strings.Builder
	for i, v := range slices.DeleteFunc(w.Checker.End(w.Now()), excused) {
		if i == 5 {
			fmt.Fprintf(&b, "... and more\n")
			break
		}
		b.WriteString(v.String())
	}
	return b.String()
}
