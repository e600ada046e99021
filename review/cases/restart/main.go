// Restart is the program of review/3: a balancer is told to end while a quarter of the servers hang for 1.5 s.
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
	servers = 4 // of which one hangs: a quarter
	clients = 240
	pause   = 150 * time.Millisecond // between the two pieces of a line, when no server hangs
	// hang is how long a server stands still. The earliest SIGKILL is 3.7 s after SIGTERM.
	hang      = 1500 * time.Millisecond
	untilKill = 3700 * time.Millisecond
)

type site struct {
	*standin.Case
	ids      atomic.Int64
	shutdown atomic.Bool // SIGTERM was sent: clients that are sent away do not come again here
	hungTill atomic.Int64

	mu     sync.Mutex
	up     int
	moved  int
	cut    int
	half   map[string]bool // connections at which a server has sent half a line
	killed atomic.Bool
}

// waitHang returns once the server does not hang.
func (s *site) waitHang(server string) {
	for server == "s-1" {
		left := time.Until(time.Unix(0, s.hungTill.Load()))
		if left <= 0 {
			return
		}
		time.Sleep(left)
	}
}

// serve returns each line, in two pieces.
func (s *site) serve(server *standin.Server, q standin.Request, conn net.Conn, in *bufio.Reader) {
	server.Stand(1)
	defer server.Stand(-1)
	if _, err := fmt.Fprintf(conn, "UP %s:%s\r\n", server.ID, q.ID); err != nil {
		return
	}
	for {
		line, err := in.ReadString('\n')
		if err != nil {
			return
		}
		s.waitHang(server.ID)
		middle := len(line) / 2
		if _, err := io.WriteString(conn, line[:middle]); err != nil {
			return
		}
		s.setHalf(q.ID, true)
		time.Sleep(pause)
		s.waitHang(server.ID)
		_, err = io.WriteString(conn, line[middle:])
		if s.shutdown.Load() {
			s.Record.Add("%s sends the rest of a line on %s: error %v", server.ID, q.ID, err)
		}
		s.setHalf(q.ID, false)
	}
}

func (s *site) setHalf(id string, half bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.half[id] = half
}

func (s *site) client(n int, address string) {
	for !s.shutdown.Load() {
		id := fmt.Sprintf("%016x", s.ids.Add(1))
		fields := "c=text-search,t=pesa-grid"
		c := standin.Open(s.Record, address, id, fmt.Sprintf("key-%d", n), fields, 4800*time.Millisecond)
		if receipt, up := c.Up(); up {
			s.stand(c, receipt)
		} else if !s.shutdown.Load() {
			s.Record.Add("client %d: %s answered %q %v", n, id, c.Answer, c.Err)
		}
		c.Close()
		time.Sleep(100*time.Millisecond + rand.N(400*time.Millisecond))
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
				ended <- fmt.Sprintf("%v after %q", err, line)
				return
			case line == "MOVE\r\n":
				ended <- "MOVE"
				return
			}
		}
	}()
	time.Sleep(rand.N(2 * time.Second))
	for n := 0; ; n++ {
		_, _ = fmt.Fprintf(c.Conn, "line %d of %s\r\n", n, c.ID)
		select {
		case how := <-ended:
			s.judge(c.ID, server, how)
			return
		case <-time.After(2 * time.Second):
		}
	}
}

func (s *site) judge(id, server, how string) {
	switch {
	case how == "MOVE":
		s.add(&s.moved, 1)
	case s.killed.Load():
		s.Record.Broken("%s at %s was still held when SIGKILL could come", id, server)
	default:
		s.add(&s.cut, 1)
		s.Record.Broken("%s at %s, whose server has not ended it, was cut off without MOVE: %s", id, server, how)
	}
}

func (s *site) add(n *int, by int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	*n += by
}

// restart sends SIGTERM, in the moment in which a server that has sent half a line on some connections hangs.
func (s *site) restart(p *standin.Process) {
	if s.Trouble {
		s.Record.Add("s-1 hangs for %v", hang)
		s.hungTill.Store(time.Now().Add(hang).UnixNano())
	}
	s.mu.Lock()
	half := 0
	for _, mid := range s.half {
		if mid {
			half++
		}
	}
	s.mu.Unlock()
	s.Record.Add("%d connections are in the middle of a line", half)
	s.shutdown.Store(true)
	p.Signal(syscall.SIGTERM)
	select {
	case <-p.Ended():
	case <-time.After(untilKill):
		s.killed.Store(true)
		p.Signal(syscall.SIGKILL)
	}
	time.Sleep(time.Second)
}

func main() {
	s := &site{Case: standin.NewCase(), half: map[string]bool{}}
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
	settings := standin.Msimbo()
	settings.Mode, settings.Balancers = "proxy", 1
	s.Must(d.WriteConfig(settings, discovery.Addr, &known))
	p := s.Start(d, "n1", discovery.Addr)
	for n := range clients {
		go s.client(n, d.Listen)
		time.Sleep(10 * time.Millisecond)
	}
	time.Sleep(5 * time.Second)
	s.mu.Lock()
	up := s.up
	s.mu.Unlock()
	if up < clients*9/10 {
		s.CannotRun("only %d of %d clients are up", up, clients)
	}
	s.restart(p)
	s.mu.Lock()
	summary := fmt.Sprintf("%d clients were up at SIGTERM, %d told to move in all, %d cut off", up, s.moved, s.cut)
	s.mu.Unlock()
	s.Judge(summary)
}
