// Drain is the program of review/2: servers drain and stop, and clients must have been told to move before.
package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"oatloft/review/standin"
)

const (
	servers   = 9
	balancers = 3
	clients   = 360
	// drained servers: 9 to 6 is 67 % of the fleet, which the pages name as the mildest shrink, within 8 s.
	drained       = 3
	betweenDrains = 4 * time.Second
	// drainTime is the longest that the pages name for a shrink, counted from the moment in which discovery has told.
	drainTime = 6 * time.Second
	settle    = 12 * time.Second
)

type fleet struct {
	*standin.Case
	discovery *standin.Discovery
	servers   []*standin.Server
	addresses []string
	ids       atomic.Int64
	stopping  atomic.Bool

	mu      sync.Mutex
	told    map[string]time.Time // when discovery told that a server drains
	stopped map[string]time.Time
	cut     int
	moved   int
	up      int
}

// serve is a sound server: it takes what comes until it drains, and keeps its connections until it stops.
func (f *fleet) serve(s *standin.Server, q standin.Request, conn net.Conn, in *bufio.Reader) {
	f.mu.Lock()
	_, draining := f.told[s.ID]
	f.mu.Unlock()
	if draining {
		f.Record.Add("%s turns %s away, it drains", s.ID, q.ID)
		_, _ = io.WriteString(conn, "BUSY\r\n")
		return
	}
	s.Stand(1)
	defer s.Stand(-1)
	if _, err := fmt.Fprintf(conn, "UP %s:%s\r\n", s.ID, q.ID); err != nil {
		return
	}
	for {
		line, err := in.ReadString('\n')
		if err != nil {
			return
		}
		if _, err := io.WriteString(conn, line); err != nil {
			return
		}
	}
}

// client keeps one connection; after a move or a break it comes again at any balancer.
func (f *fleet) client(n int) {
	fields := "c=grid-stream,t=delta-growers"
	for !f.stopping.Load() {
		id := fmt.Sprintf("%016x", f.ids.Add(1))
		address, key := f.addresses[rand.IntN(balancers)], fmt.Sprintf("key-%d", n)
		c := standin.Open(f.Record, address, id, key, fields, 3200*time.Millisecond)
		if receipt, up := c.Up(); up {
			f.stand(c, receipt)
			fields = "c=grid-stream,t=delta-growers,again=1"
		} else {
			f.Record.Add("client %d: %s answered %q %v", n, id, c.Answer, c.Err)
		}
		c.Close()
		time.Sleep(100*time.Millisecond + rand.N(900*time.Millisecond))
	}
}

// stand sends a line every 2 s until the connection ends.
func (f *fleet) stand(c *standin.Client, receipt string) {
	server, _, _ := strings.Cut(receipt, ":")
	since := time.Now()
	f.count(&f.up, 1)
	defer f.count(&f.up, -1)
	ended := make(chan string, 1)
	go func() {
		for {
			line, err := c.In.ReadString('\n')
			if err != nil {
				ended <- err.Error()
				return
			}
			if line == "MOVE\r\n" {
				ended <- "MOVE"
				return
			}
		}
	}()
	for n := 0; ; n++ {
		_, _ = fmt.Fprintf(c.Conn, "line %d\r\n", n)
		select {
		case how := <-ended:
			f.judge(c.ID, server, since, how)
			return
		case <-time.After(2 * time.Second):
			if f.stopping.Load() {
				return
			}
		}
	}
}

func (f *fleet) count(n *int, by int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	*n += by
}

// judge holds a connection's end to the rule. Only connections that stood when their server's drain was told count.
func (f *fleet) judge(id, server string, since time.Time, how string) {
	f.mu.Lock()
	told, drains := f.told[server]
	stopped := f.stopped[server]
	f.mu.Unlock()
	f.Record.Add("connection %s at %s ended after %v: %s", id, server, time.Since(since), how)
	if how == "MOVE" {
		f.count(&f.moved, 1)
		return
	}
	f.count(&f.cut, 1)
	switch {
	case f.stopping.Load():
	case !drains:
		f.Record.Broken("%s was cut off at %s, which runs: %s", id, server, how)
	case since.Before(told):
		f.Record.Broken("%s was cut off at %s, told to drain %v before it stopped, without MOVE: %s",
			id, server, stopped.Sub(told), how)
	}
}

// drain has a server listed as draining, and stops it drainTime later.
func (f *fleet) drain(s *standin.Server) {
	f.mu.Lock()
	f.told[s.ID] = time.Now()
	f.mu.Unlock()
	f.discovery.Set(s.Host("cairo", "draining"))
	time.Sleep(drainTime)
	f.mu.Lock()
	f.stopped[s.ID] = time.Now()
	f.mu.Unlock()
	f.Record.Add("%s stops", s.ID)
	s.Stop()
	f.discovery.Set(s.Host("cairo", "gone"))
}

func main() {
	f := &fleet{Case: standin.NewCase(), told: map[string]time.Time{}, stopped: map[string]time.Time{}}
	var hosts []standin.Host
	for i := range servers {
		s, err := standin.NewServer(f.Record, fmt.Sprintf("s-%d", i+1), "127.0.0.1", f.serve)
		f.Must(err)
		f.servers = append(f.servers, s)
		hosts = append(hosts, s.Host("cairo", "ready"))
	}
	var err error
	f.discovery, err = standin.NewDiscovery(f.Record, "127.0.0.1", hosts)
	f.Must(err)
	known := f.discovery.Whole()
	settings := standin.Nile()
	for i := range balancers {
		d := f.Deployment(fmt.Sprintf("n%d", i+1))
		f.Must(d.WriteConfig(settings, f.discovery.Addr, &known))
		f.Start(d, d.Name, f.discovery.Addr)
		f.addresses = append(f.addresses, d.Listen)
	}
	for n := range clients {
		go f.client(n)
		time.Sleep(10 * time.Millisecond)
	}
	time.Sleep(settle)
	f.mu.Lock()
	up := f.up
	f.mu.Unlock()
	if up < clients*9/10 {
		f.CannotRun("only %d of %d clients are up", up, clients)
	}
	var stops sync.WaitGroup
	for _, s := range f.servers[:drained] {
		if f.Trouble {
			stops.Go(func() { f.drain(s) })
		}
		time.Sleep(betweenDrains)
	}
	stops.Wait()
	time.Sleep(2 * time.Second)
	f.stopping.Store(true)
	f.mu.Lock()
	summary := fmt.Sprintf("%d clients, %d up at the end, %d told to move, %d cut off", clients, f.up, f.moved, f.cut)
	f.mu.Unlock()
	f.Judge(summary)
}
