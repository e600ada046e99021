// Package fake plays what a balancer meets on the platform: regions, discovery and terminals, on loopback sockets,
// by the published protocol and with faults on demand. Tests and tools build on it. It owns the parties' sides of
// the conversation and tells a rules.Checker what they see; it must never use the balancer's own parsers or state,
// since both would then be wrong together, and never send traffic off loopback.
//
// A World is one run: its parties share its clock and its checker. All that they start ends with Close.
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

// World holds what the parties of one run share.
type World struct {
	Checker   *rules.Checker
	Regions   []*Region
	Discovery Discovery
	// Who names the balancer that a connection comes from, where several run; "" is all of them.
	Who func(from net.Addr) string
	// Carried, if set, is told the bytes of a class that a region has read from a balancer. It must not block.
	Carried func(by, region, class string, bytes int)
	// Watch, if set, is told every event that the checker is told, before it. It must not block.
	Watch      func(rules.Event)
	start      time.Time
	mu         sync.Mutex
	closers    []func()
	goroutines sync.WaitGroup
}

// New starts a world with so many regions, r1 and on, and a discovery that lists them. The regions listen on
// addresses of their own within 127.9.0.0/16, so that none is reached by mistake.
func New(regions int) (*World, error) {
	w := &World{Checker: rules.New(rules.Limits{Grace: 500 * time.Millisecond, Slack: 50 * time.Millisecond}), start: time.Now()}
	for i := range regions {
		if err := w.AddRegion(fmt.Sprintf("r%d", i+1), fmt.Sprintf("127.9.%d.%d:0", i/250, i%250+1)); err != nil {
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

// AddRegion starts another region; Discovery doesn't list it until it is told to.
func (w *World) AddRegion(name, addr string) error {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	r := &Region{Name: name, Addr: l.Addr().String(), w: w, listener: l, conns: map[net.Conn]bool{}}
	r.weight.Store(5)
	w.Regions = append(w.Regions, r)
	w.OnClose(func() { r.Terminate() })
	w.Go(r.accept)
	return nil
}

// Now is the run's time.
func (w *World) Now() time.Duration { return time.Since(w.start) }

// Saw tells the checker of something.
func (w *World) Saw(kind rules.Kind, id, region, text string) {
	w.SawBy("", kind, id, region, text)
}

// SawBy tells the checker of something that one balancer did or was told.
func (w *World) SawBy(by string, kind rules.Kind, id, region, text string) {
	e := rules.Event{At: w.Now(), Kind: kind, ID: id, Region: region, Text: text, By: by}
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

// OnClose has something ended with the world, the last first.
func (w *World) OnClose(f func()) {
	w.mu.Lock()
	w.closers = append(w.closers, f)
	w.mu.Unlock()
}

// Go runs f until it ends, which Close waits for.
func (w *World) Go(f func()) {
	w.goroutines.Add(1)
	go func() { defer w.goroutines.Done(); f() }()
}

// Close ends all parties and waits until they have gone.
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

// Host is a region in discovery's form.
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

// Hosts lists all regions as ready.
func (w *World) Hosts() []Host {
	var list []Host
	for _, r := range w.Regions {
		list = append(list, Host{Host: r.Name, Dial: r.Addr, Site: r.zone(), Class: "m", Health: "ready", Share: 1})
	}
	return list
}

// Options are what a balancer in this world is told beside its address.
type Options struct {
	Sockets, MemoryMB int
	Attempts          int  // for a transaction; 3 if 0
	Advice            bool // terminals heed BUSY MS
	PassThrough       bool // packets pass through
	Tenants           map[string]float64
	Discovery         string            // where this balancer finds it; the world's own address if ""
	Dial              map[string]string // where this balancer reaches a region, by name; its own address if none
	Balancers         int               // 1 if 0
	Zone              string            // the balancer's; "here" if ""
	Bulk              bool              // there is a second class, bulk, that is worth less
}

const defaultZone = "here"

// Config is a balancer's PROXY_CONFIG. It listens on a free port of listen.
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
		if to := o.Dial[h.Host]; to != "" {
			known[i].Dial = to
		}
	}
	if o.Zone == "" {
		o.Zone = defaultZone
	}
	classes := []map[string]any{{"name": "chat", "aim-ms": 800.0, "give-up-ms": 2000.0, "semantics": "safe", "group": "all", "stream": true}}
	if o.Bulk {
		classes = append(classes, map[string]any{"name": "bulk", "aim-ms": 2000.0, "give-up-ms": 4000.0, "semantics": "safe", "group": "all", "stream": true})
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
			"limits": map[string]any{"max-attempts": o.Attempts, "probes": true, "retry-after": o.Advice,
				"max-retry-after-ms": 2000.0, "connect-timeout-ms": 250.0},
			"reporting":   map[string]any{"how": "pull", "columns": []string{"lat_ms", "rif", "x0"}},
			"family-info": map[string]any{"groups": true, "mode": mode, "message-aim-ms": []float64{150}, "tenant-quota-connections": quotas},
			"rules": map[string]any{"ask-every-ms": 10000.0, "cold-from": warmUpInitialShare, "cold-ms": float64(warmUpDuration.Milliseconds()), "fall-multiple": overloadFactor,
				"tip-after-ms": float64(overloadDuration.Milliseconds())},
			"tenants": tenants,
			"classes": classes,
		}})
	if err != nil {
		panic(err) // nothing in it can fail
	}
	return body
}

// WriteConfig writes Config to dir and returns its path and the address that it names.
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

// Violations ends the checker's run and writes what it found, "" if nothing.
func (w *World) Violations() string {
	return w.ViolationsBut(func(rules.Violation) bool { return false })
}

// ViolationsBut leaves out what is excused.
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
