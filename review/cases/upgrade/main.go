// Upgrade is the program of review/1: a second process takes over a balancer whose classes have short deadlines.
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
	"syscall"
	"time"

	"oatloft/review/standin"
)

const (
	servers = 4
	clients = 200
	longest = 800 * time.Millisecond // deadline of any class
	// untilKill is when the platform may kill the earlier process: the longest deadline and 0.7 s after SIGTERM.
	untilKill = longest + 700*time.Millisecond
)

type site struct {
	*standin.Case
	address string
	ids     atomic.Int64
	ending  atomic.Bool // the case is over
	killed  atomic.Bool
	termAt  atomic.Int64

	mu    sync.Mutex
	up    int
	moved int
	cut   int
}

// serve returns each line at once.
func (s *site) serve(server *standin.Server, q standin.Request, conn net.Conn, in *bufio.Reader) {
	server.Stand(1)
	defer server.Stand(-1)
	if _, err := fmt.Fprintf(conn, "UP %s:%s\r\n", server.ID, q.ID); err != nil {
		return
	}
	for {
		line, err := in.ReadString('\n')
		if err != nil {
			s.Record.Add("%s: %s ended by the balancer: %v", server.ID, q.ID, err)
			return
		}
		if _, err := io.WriteString(conn, line); err != nil {
			return
		}
	}
}

// client keeps one connection; after a move or a break it comes again.
func (s *site) client(n int) {
	fields := "c=text-search,t=pesa-grid"
	for !s.ending.Load() {
		id := fmt.Sprintf("%016x", s.ids.Add(1))
		c := standin.Open(s.Record, s.address, id, fmt.Sprintf("key-%d", n), fields, longest)
		if receipt, up := c.Up(); up {
			s.stand(c, receipt)
			fields = "c=text-search,t=pesa-grid,again=1"
		}
		c.Close()
		time.Sleep(62*time.Millisecond + rand.N(1438*time.Millisecond))
	}
}

// stand sends a line every 2 s until the connection ends, and holds its end to the rule.
func (s *site) stand(c *standin.Client, receipt string) {
	server, _, _ := strings.Cut(receipt, ":")
	s.add(&s.up, 1)
	defer s.add(&s.up, -1)
	ended := make(chan string, 1)
	go func() {
		for {
			line, err := c.In.ReadString('\n')
			switch {
			case err != nil:
				ended <- err.Error()
				return
			case line == "MOVE\r\n":
				ended <- "MOVE"
				return
			}
		}
	}()
	for n := 0; ; n++ {
		_, _ = fmt.Fprintf(c.Conn, "line %d\r\n", n)
		select {
		case how := <-ended:
			s.judge(c.ID, server, how)
			return
		case <-time.After(2 * time.Second):
		}
	}
}

func (s *site) judge(id, server, how string) {
	if s.ending.Load() {
		return
	}
	after := time.Since(time.Unix(0, s.termAt.Load()))
	switch {
	case how == "MOVE":
		s.Record.Add("%s at %s is told to move", id, server)
		s.add(&s.moved, 1)
	case s.killed.Load():
		s.Record.Broken("%s at %s was still held at SIGKILL, %v after SIGTERM: %s", id, server, after, how)
	default:
		s.add(&s.cut, 1)
		s.Record.Broken("%s at %s, whose server runs, was cut off without MOVE %v after SIGTERM: %s", id, server, after, how)
	}
}

func (s *site) add(n *int, by int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	*n += by
}

// upgrade starts the next process, and ends the earlier one once the next says yes.
func (s *site) upgrade(d *standin.Deployment, earlier *standin.Process, discovery string) {
	s.Start(d, "n1-second", discovery)
	time.Sleep(time.Second) // SIGTERM comes within 6 s
	s.termAt.Store(time.Now().UnixNano())
	earlier.Signal(syscall.SIGTERM)
	select {
	case <-earlier.Ended():
	case <-time.After(untilKill):
		s.killed.Store(true)
		earlier.Signal(syscall.SIGKILL)
	}
}

func main() {
	s := &site{Case: standin.NewCase()}
	var hosts []standin.Host
	for i := range servers {
		server, err := standin.NewServer(s.Record, fmt.Sprintf("s-%d", i+1), "127.0.0.1", s.serve)
		s.Must(err)
		hosts = append(hosts, server.Host("nrb", "ready"))
	}
	discovery, err := standin.NewDiscovery(s.Record, "127.0.0.1", hosts)
	s.Must(err)
	known := discovery.Whole()
	d := s.Deployment("n1")
	s.Must(d.HoldListener())
	s.address = d.Listen
	settings := standin.Msimbo()
	settings.Mode, settings.Balancers = "proxy", 1
	for i, giveUp := range []time.Duration{longest, 600 * time.Millisecond, 400 * time.Millisecond} {
		settings.Classes[i].GiveUpMS = float64(giveUp.Milliseconds())
		settings.Classes[i].AimMS = float64(giveUp.Milliseconds()) / 2
	}
	s.Must(d.WriteConfig(settings, discovery.Addr, &known))
	first := s.Start(d, "n1", discovery.Addr)
	for n := range clients {
		go s.client(n)
		time.Sleep(10 * time.Millisecond)
	}
	time.Sleep(6 * time.Second)
	s.mu.Lock()
	up := s.up
	s.mu.Unlock()
	if up < clients*9/10 {
		s.CannotRun("only %d of %d clients are up", up, clients)
	}
	if s.Trouble {
		s.upgrade(d, first, discovery.Addr)
	}
	time.Sleep(4 * time.Second)
	s.ending.Store(true)
	s.mu.Lock()
	summary := fmt.Sprintf("%d clients up before, %d at the end, %d told to move, %d cut off", up, s.up, s.moved, s.cut)
	s.mu.Unlock()
	s.Judge(summary)
}
