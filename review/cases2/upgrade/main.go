// Command upgrade plays an upgrade after a new configuration has moved discovery. The second process is started
// with everything unchanged but its management address.
package main

import (
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"oatloft/internal/fake"
	"oatloft/internal/rules"
	"oatloft/review/rig"
)

const (
	grace     = 550 * time.Millisecond // rules.drain-grace-ms and 50 ms
	toldAfter = 6 * time.Second        // whatever discovery has to tell counts as told then
	pause     = 80 * time.Millisecond  // between two clients
	killAfter = 3700 * time.Millisecond
)

// draining records what reaches the server that drains.
type draining struct {
	mu     sync.Mutex
	server string
	since  time.Time // when discovery had the change
}

// check checks the rule for one event.
func (d *draining) check(r *rig.Rig, e rules.Event) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if e.Kind != rules.Routed || e.Server != d.server {
		return
	}
	if late := time.Since(d.since) - toldAfter - grace; late > 0 {
		r.Break("%s drains since %v and got request %s, %v past the grace", e.Server,
			time.Since(d.since).Round(time.Millisecond), e.ID, late.Round(time.Millisecond))
	}
}

func main() {
	r := rig.New(4)
	var d draining
	record := r.Watch
	r.Watch = func(e rules.Event) { record(e); d.check(r, e) }
	before, after := r.NewRelay(r.Discovery.Addr), r.NewRelay(r.Discovery.Addr)
	var callsAfter atomic.Int64
	after.Accepted = func() { callsAfter.Add(1); r.Note("a call at discovery's new address") }
	l, err := net.Listen("tcp", "127.0.0.1:0")
	r.Must(err)
	listening, err := l.(*net.TCPListener).File()
	r.Must(err)
	listen := l.Addr().String()
	_ = l.Close()
	config := filepath.Join(r.Dir, "config.json")
	tmp := filepath.Join(r.Dir, "tmp")
	r.Must(os.Mkdir(tmp, 0o700))
	r.WriteConfig(config, "n1", listen, before.Addr, rig.Settings("pass"))
	env := map[string]string{"PROXY_NAME": "n1", "PROXY_LISTEN": listen, "PROXY_DISCOVERY": before.Addr,
		"PROXY_CONFIG": config, "TMPDIR": tmp, "PROXY_MANAGEMENT": r.FreeAddress()}
	yes := func() bool { return strings.HasPrefix(fake.Call(env["PROXY_MANAGEMENT"], "status"), "+OK") }
	first := r.Start("first", env, listening)
	r.Until("the first process says yes", 10*time.Second, yes)
	stop := make(chan struct{})
	go clients(r, listen, stop)
	time.Sleep(3 * time.Second)

	if r.Trouble {
		r.WriteConfig(config, "n1", listen, after.Addr, rig.Settings("pass"))
		first.Signal(syscall.SIGHUP)
		r.Note("new configuration: discovery moves from %s to %s; SIGHUP", before.Addr, after.Addr)
		before.Close(1500 * time.Millisecond)
		r.Until("the first process calls discovery at its new address", 4*time.Second,
			func() bool { return callsAfter.Load() > 0 })
		time.Sleep(2 * time.Second)
	}

	env["PROXY_MANAGEMENT"] = r.FreeAddress()
	r.Start("second", env, listening)
	r.Until("the second process says yes", 10*time.Second, yes)
	time.Sleep(time.Second)
	first.Signal(syscall.SIGTERM)
	r.Note("SIGTERM to the first process")
	if !first.Ended(killAfter) {
		first.Kill()
	}
	time.Sleep(time.Second)

	d.mu.Lock()
	d.server, d.since = "r2", time.Now()
	d.mu.Unlock()
	r.Discovery.Tell("r2", "draining")
	r.Note("discovery has: r2 drains. It stays up to the end")
	time.Sleep(toldAfter + 6*time.Second)
	close(stop)
	r.Finish()
}

// clients opens connections one after the other, each for a short time.
func clients(r *rig.Rig, addr string, stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(pause):
		}
		go func() {
			c, err := r.Connect("", addr)
			if err != nil {
				return
			}
			c.Open(rig.RandomRequest())
			time.Sleep(time.Second)
			c.Close()
		}()
	}
}
