// Command descriptors plays a fleet with more servers than a balancer may hold descriptors, whose servers
// forget idle connections. Without the disruption they close them.
package main

import (
	"fmt"
	"path/filepath"
	"sync"
	"time"

	"oatloft/internal/fake"
	"oatloft/review/rig"
)

const (
	servers   = 480 // sixteen times 30
	balancers = 3
	standing  = 40 // connections that stand at a balancer
	sockets   = 256 + 2*standing
	pause     = 50 * time.Millisecond // between two clients of a balancer
	life      = 2 * time.Second       // of a connection
	idleTime  = 15 * time.Second      // limits.idle-close-ms
	span      = 4 * time.Second       // the rule's
	least     = 15                    // the rule's
	length    = 60 * time.Second
)

// front follows what one balancer answers.
type front struct {
	name, addr string

	mu       sync.Mutex
	since    time.Time // of the first rejection after the last attempt or other answer
	rejected int       // since then
	answers  map[string]int
	worst    time.Duration // the longest time in which it has rejected all, with no attempt
	most     int           // the rejections in that time
}

// attempted records an attempt, or an answer that is no rejection.
func (f *front) attempted() {
	f.mu.Lock()
	f.rejected = 0
	f.mu.Unlock()
}

func (f *front) answered(a fake.Answer) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.answers[a.What]++
	if a.What != "BUSY" {
		f.rejected = 0
		return
	}
	if f.rejected == 0 {
		f.since = time.Now()
	}
	f.rejected++
	if on := time.Since(f.since); on > f.worst {
		f.worst, f.most = on, f.rejected
	}
}

func main() {
	r := rig.New(0)
	var byClient sync.Map // the front that a client's request went to
	routed := func(id string) {
		if f, ok := byClient.Load(id); ok {
			f.(*front).attempted()
		}
	}
	for i := range servers {
		r.AddPlainServer(i, &rig.Server{IdleTime: idleTime, Forgets: r.Trouble, Routed: routed})
	}
	discovery := r.StartDiscovery(r.Known).Addr
	settings := rig.Settings("pass")
	settings["balancers"] = balancers
	r.Sockets = sockets
	var fronts []*front
	for i := range balancers {
		f := &front{name: fmt.Sprintf("n%d", i+1), addr: r.FreeAddress(), answers: map[string]int{}}
		config := filepath.Join(r.Dir, f.name+".json")
		r.WriteConfig(config, f.name, f.addr, discovery, settings)
		r.Start(f.name, map[string]string{"PROXY_NAME": f.name, "PROXY_LISTEN": f.addr, "PROXY_DISCOVERY": discovery,
			"PROXY_CONFIG": config, "TMPDIR": r.Dir}, nil)
		r.Until(f.name+" answers PONG", 10*time.Second, func() bool { return fake.Ping(f.addr) == "PONG" })
		fronts = append(fronts, f)
	}
	for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(pause) {
		for _, f := range fronts {
			go visit(r, f, &byClient)
		}
	}
	time.Sleep(5 * time.Second)
	over := 0
	for _, f := range fronts {
		f.mu.Lock()
		r.Note("%s: answers %v; with no attempt in between it rejected %d on end, for %v", f.name, f.answers, f.most,
			f.worst.Round(time.Millisecond))
		if f.worst >= span && f.most >= least {
			over++
		}
		f.mu.Unlock()
	}
	if 10*over > balancers {
		r.Break("%d of %d balancers rejected all that they got for %v on end or longer, with no attempt in between",
			over, balancers, span)
	}
	r.Finish()
}

// visit is one client.
func visit(r *rig.Rig, f *front, byClient *sync.Map) {
	c, err := r.Connect("", f.addr)
	if err != nil {
		r.Note("%s: connect: %v", f.name, err)
		return
	}
	byClient.Store(c.ID, f)
	a := c.Open(rig.RandomRequest())
	f.answered(a)
	if a.What == "UP" {
		time.Sleep(life)
	}
	c.Close()
}
