package main

import (
	"fmt"
	"math"
	"os"
	"sync"
	"syscall"
	"testing"
	"time"

	"oatloft/internal/fake"
	"oatloft/internal/rules"
)

// Settings of the simulated servers' warm-up, as in internal/fake.
const (
	warmCapacity     = 50.0 // connections that load a warm server fully
	warmUpStart      = 0.34 // share of its warm capacity that a server has at its start
	warmUpTime       = 8600 * time.Millisecond
	overloadMultiple = 4.0 // multiple of its current capacity that overloads a server
	boundWindow      = 3 * time.Second
)

// receivedRequests records when requests reach the server that is warming up.
type receivedRequests struct {
	mu        sync.Mutex
	times     []time.Duration
	startedAt time.Duration
	peakShare float64 // largest share of the bound that the requests of a window took
	peakText  string  // description of that window
}

func (c *receivedRequests) start(at time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.startedAt, c.times = at, nil
}

// record compares the requests in the window that ends now with the server's bound: N + 2 x the square root of N + 2,
// where N is the number that the server can take.
func (c *receivedRequests) record(e rules.Event) {
	if e.Kind != rules.Routed || e.Server != "r5" {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.times = append(c.times, e.At)
	sum := 0.0
	for _, at := range c.times {
		if at > e.At-boundWindow {
			sum++
		}
	}
	ramp := warmUpStart + (1-warmUpStart)*float64(e.At-c.startedAt)/float64(warmUpTime)
	n := overloadMultiple * warmCapacity * ramp / warmUpTime.Seconds() * boundWindow.Seconds()
	if share := sum / (n + 2*math.Sqrt(n) + 2); share > c.peakShare {
		c.peakShare, c.peakText = share, fmt.Sprintf(
			"%.0f requests within %v, %v after the start; the server can take %.1f",
			sum,
			boundWindow,
			e.At-c.startedAt,
			n,
		)
	}
}

func (c *receivedRequests) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.times)
}

// sendLoad opens a request every 10 ms at a balancer until stop, and keeps the last 20 open. Failures are ignored,
// because balancers restart meanwhile.
func sendLoad(w *fake.World, addr, name string, stop <-chan struct{}) {
	var open []*fake.Client
	for i := 0; ; i++ {
		select {
		case <-stop:
			for _, c := range open {
				c.Break()
			}
			return
		case <-time.After(10 * time.Millisecond):
		}
		c, err := w.Connect("", addr)
		if err != nil {
			continue
		}
		if a := c.Open(fake.Request{Key: fmt.Sprint(name, i)}); a.What != "UP" {
			c.Break()
			continue
		}
		if open = append(open, c); len(open) > 20 {
			open[0].Break()
			open = open[1:]
		}
	}
}

// A server joins and warms up while three balancers, each in its own process, receive more load than it can take. The
// sum of their requests stays within the server's bound, also when a balancer reloads its configuration, when one is
// killed and restarts without a record of what it sent, and when the server restarts during its warm-up.
func TestWarmUpBoundAcrossBalancers(t *testing.T) {
	w, err := fake.New(4)
	if err != nil {
		t.Fatal(err)
	}
	defer w.Close()
	received := &receivedRequests{}
	w.Watch = received.record
	for _, r := range w.Servers {
		r.SetWeight(1 / warmCapacity)
	}
	var processes []*fake.Process
	var launches []fake.Launch
	for i := range 3 {
		o := fake.Options{Sockets: 512, MemoryMB: 64, Balancers: 3}
		l := fake.Launch{Binary: os.Args[0]}
		name := fmt.Sprint("n", i+1)
		if l.Config, l.Addr, err = w.WriteConfig(t.TempDir(), name, fmt.Sprintf("127.8.9.%d", i+1), o); err != nil {
			t.Fatal(err)
		}
		p, err := w.Start(l)
		if err != nil {
			t.Fatal(err)
		}
		processes, launches = append(processes, p), append(launches, l)
	}
	stop := make(chan struct{})
	var wait sync.WaitGroup
	for i, l := range launches {
		wait.Go(func() { sendLoad(w, l.Addr, fmt.Sprint("c", i, "-"), stop) })
	}
	defer wait.Wait()
	defer close(stop)
	warmedUp := func() bool {
		requests := int64(0)
		for _, r := range w.Servers[:4] {
			requests += r.Took()
		}
		return requests >= 150
	}
	waitFor(t, "the warm servers take requests", warmedUp)
	if err := w.AddServer("r5", "127.9.0.5:0"); err != nil {
		t.Fatal(err)
	}
	joining := w.Servers[4]
	joining.Set(fake.Lying) // it reports no load, so that only its warm-up budget keeps requests away
	joining.SetWeight(1 / warmCapacity)
	beginWarmUp := func() {
		received.start(w.Now())
		w.Discovery.Renew("r5")
	}
	beginWarmUp()
	waitFor(t, "the new server is used", func() bool { return received.count() >= 4 })
	processes[0].Signal(syscall.SIGHUP)
	waitFor(t, "it is used after a SIGHUP", func() bool { return received.count() >= 8 })
	processes[1].Kill()
	if processes[1], err = w.Start(launches[1]); err != nil {
		t.Fatal(err)
	}
	waitFor(t, "it is used after a restart", func() bool { return received.count() >= 12 })
	beginWarmUp()
	windowPassed := func() bool { return received.count() >= 6 && w.Now()-received.startedAt > boundWindow+time.Second }
	waitFor(t, "it is used for a window after its second start", windowPassed)
	if received.mu.Lock(); received.peakShare > 1 {
		t.Error(received.peakText)
	}
	t.Logf("%.2f of the bound: %s", received.peakShare, received.peakText)
	received.mu.Unlock()
}

func waitFor(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(30 * time.Second); !ok(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("timeout waiting for: ", what)
		}
	}
}
