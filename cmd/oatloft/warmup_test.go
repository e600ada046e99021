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

// What the stand-in's settings tell of cold regions, see internal/fake.
const (
	warmCapacity     = 50.0 // connections that fill a region, when warm
	warmUpStart      = 0.34
	warmUpTime       = 8600 * time.Millisecond
	overloadMultiple = 4.0
	boundWindow      = 3 * time.Second
)

// receivedRequests notes when requests reach the cold region.
type receivedRequests struct {
	mu        sync.Mutex
	times     []time.Duration
	startedAt time.Duration
	peakShare float64 // most requests in a window, over the bound
	peakText  string
}

func (c *receivedRequests) start(at time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.startedAt, c.times = at, nil
}

// record holds each request that reaches the region to its bound: N + 2 x root of N + 2 within the window that ends now.
func (c *receivedRequests) record(e rules.Event) {
	if e.Kind != rules.Routed || e.Region != "r5" {
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
	if part := sum / (n + 2*math.Sqrt(n) + 2); part > c.peakShare {
		c.peakShare, c.peakText = part, fmt.Sprintf(
			"%.0f requests within %v, %v after the start; it bears %.1f",
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

// sendLoad opens a transaction each 10 ms at a balancer until stop, and keeps the last 20 open. What fails is not its
// matter: balancers restart meanwhile.
func sendLoad(w *fake.World, addr, name string, stop <-chan struct{}) {
	var open []*fake.Terminal
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
		if a := c.Open(fake.Ask{Key: fmt.Sprint(name, i)}); a.What != "UP" {
			c.Break()
			continue
		}
		if open = append(open, c); len(open) > 20 {
			open[0].Break()
			open = open[1:]
		}
	}
}

// Three balancers in processes of their own, and a region that joins cold while more comes than it bears: the sum
// keeps to its bound, also when a balancer reads its configuration again, when one is killed and starts anew with
// no memory of what was sent, and when the region starts once more while it is cold.
func TestWarmUpBoundAcrossBalancers(t *testing.T) {
	w, err := fake.New(4)
	if err != nil {
		t.Fatal(err)
	}
	defer w.Close()
	sends := &receivedRequests{}
	w.Watch = sends.record
	for _, r := range w.Regions {
		r.SetWeight(1 / warmCapacity)
	}
	var all []*fake.Process
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
		all, launches = append(all, p), append(launches, l)
	}
	stop := make(chan struct{})
	var wait sync.WaitGroup
	for i, l := range launches {
		wait.Go(func() { sendLoad(w, l.Addr, fmt.Sprint("c", i, "-"), stop) })
	}
	defer wait.Wait()
	defer close(stop)
	warmedUp := func() bool {
		took := int64(0)
		for _, r := range w.Regions[:4] {
			took += r.Took()
		}
		return took >= 150
	}
	waitFor(t, "the warm regions serve", warmedUp)
	if err := w.AddRegion("r5", "127.9.0.5:0"); err != nil {
		t.Fatal(err)
	}
	cold := w.Regions[4]
	cold.Set(fake.Lying) // it looks empty: nothing but its budget keeps requests away
	cold.SetWeight(1 / warmCapacity)
	begin := func() {
		sends.start(w.Now())
		w.Discovery.Renew("r5")
	}
	begin()
	waitFor(t, "the cold region is used", func() bool { return sends.count() >= 4 })
	all[0].Signal(syscall.SIGHUP)
	waitFor(t, "it is used after a SIGHUP", func() bool { return sends.count() >= 8 })
	all[1].Kill()
	if all[1], err = w.Start(launches[1]); err != nil {
		t.Fatal(err)
	}
	waitFor(t, "it is used after a restart", func() bool { return sends.count() >= 12 })
	begin()
	whole := func() bool { return sends.count() >= 6 && w.Now()-sends.startedAt > boundWindow+time.Second }
	waitFor(t, "it is used for a window after its second start", whole)
	if sends.mu.Lock(); sends.peakShare > 1 {
		t.Error(sends.peakText)
	}
	t.Logf("%.2f of the bound: %s", sends.peakShare, sends.peakText)
	sends.mu.Unlock()
}

func waitFor(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(30 * time.Second); !ok(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("in vain: ", what)
		}
	}
}
