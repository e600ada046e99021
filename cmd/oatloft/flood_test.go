package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"oatloft/internal/fake"
)

// flood is a kind of traffic that clients or operators send at full speed on one connection each, and again when that
// is closed.
type flood struct {
	senders int
	piece   int // bytes per write; 0 for as many as fit
	text    string
	up      bool // sent after UP; the server returns it
	calls   bool // sent to the management address
}

// Guards against requests that are answered late or never while others send much: each usual client has its final answer
// half a second after its time at the latest.
func TestRequestsAnsweredDuringFloods(t *testing.T) {
	for name, f := range map[string]flood{
		"commands":               {senders: 150, text: "PING\r\n"},
		"commands of one client": {senders: 1, text: "PING\r\n"},
		"commands in pieces":     {senders: 40, text: "PING\r\n", piece: 5},
		"unsound lines":          {senders: 60, text: "\r\n"},
		"unsound requests":       {senders: 60, text: "OPEN 1 k c=none,d=4000000\r\n"},
		"lines after UP":         {senders: 60, text: "\n", up: true},
		"load reports after UP":  {senders: 60, text: "LOAD 5\r\n", up: true},
		"bytes after UP":         {senders: 60, text: strings.Repeat("x", 4000), up: true},
		"one client after UP":    {senders: 1, text: "\n", up: true},
		"operators' calls":       {senders: 40, text: "status\r\n", calls: true},
	} {
		t.Run(name, func(t *testing.T) {
			s := newService(t, fake.Options{Sockets: 1024, MemoryMB: 64, PassThrough: true})
			f.start(s)
			time.Sleep(300 * time.Millisecond)
			if lost := requestSteadily(s, 2*time.Second); lost > 0 {
				t.Errorf("%d requests without their answer in time", lost)
			}
		})
	}
}

// start sends the flood until the end of the test.
func (f flood) start(s *service) {
	stop := make(chan struct{})
	var senders sync.WaitGroup
	s.t.Cleanup(func() { close(stop); s.process.Kill(); senders.Wait() })
	addr := s.launch.Addr
	if f.calls {
		addr = s.launch.Management
	}
	for i := range f.senders {
		senders.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				default:
				}
				if c, err := net.Dial("tcp", addr); err == nil {
					f.send(c, fmt.Sprintf("%d-%d", i, n))
				}
			}
		})
	}
}

// send floods one connection until it ends.
func (f flood) send(c net.Conn, id string) {
	defer func() { _ = c.Close() }()
	in := bufio.NewReader(c)
	if f.up {
		_, _ = fmt.Fprintf(c, "OPEN %s k%s c=chat,d=2000\r\n", id, id)
		if answer, err := in.ReadString('\n'); err != nil || !strings.HasPrefix(answer, "UP") {
			time.Sleep(10 * time.Millisecond)
			return
		}
	}
	go func() { _, _ = io.Copy(io.Discard, in) }()
	text := strings.Repeat(f.text, 8192/len(f.text)+1)
	piece := len(text)
	if f.piece > 0 {
		piece = f.piece
	}
	for {
		for rest := text; len(rest) > 0; rest = rest[min(piece, len(rest)):] {
			if _, err := io.WriteString(c, rest[:min(piece, len(rest))]); err != nil {
				return
			}
		}
	}
}

// requestSteadily sends a request every 50 ms, and returns how many had no answer half a second after their time.
func requestSteadily(s *service, d time.Duration) int64 {
	var lost atomic.Int64
	var clients sync.WaitGroup
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		clients.Go(func() {
			c, err := s.Connect("", s.launch.Addr)
			if err != nil {
				lost.Add(1)
				return
			}
			defer c.Break()
			c.After = 450 * time.Millisecond // the client itself waits 50 ms beyond its time
			c.Excuse = func(fake.Answer) bool { return true }
			a := c.Open(fake.Request{Key: c.ID, Wait: time.Second})
			if a.What != "UP" && a.What != "BUSY" && a.What != "ERR" && a.Late == 0 {
				lost.Add(1)
			}
		})
	}
	clients.Wait()
	return lost.Load()
}

// Guards against a request that runs twice when its id comes again, at the same process or at the other one of an
// upgrade, after its client has left or while it is there.
func TestIDRunsOnce(t *testing.T) {
	for name, stays := range map[string]bool{"its client has left": false, "its client is there": true} {
		t.Run(name, func(t *testing.T) {
			s := newService(t, fake.Options{Sockets: 256, MemoryMB: 64, PassThrough: true})
			open := func() (net.Conn, string) {
				c, err := net.Dial("tcp", s.launch.Addr)
				if err != nil {
					t.Fatal(err)
				}
				_ = c.SetDeadline(time.Now().Add(5 * time.Second))
				_, _ = io.WriteString(c, "OPEN the-id k c=chat,d=2000\r\n")
				answer, _ := bufio.NewReader(c).ReadString('\n')
				return c, answer
			}
			first, answer := open()
			if !strings.HasPrefix(answer, "UP") {
				t.Fatalf("answered %q", answer)
			}
			defer func() { _ = first.Close() }()
			if !stays {
				_ = first.Close()
			}
			s.upgrade()
			for range 40 { // to either process
				again, answer := open()
				if answer != "ERR\r\n" {
					t.Fatalf("the id again: answered %q", answer)
				}
				_ = again.Close()
			}
			ran := int64(0)
			for _, server := range s.Servers {
				ran += server.Took()
			}
			if ran != 1 {
				t.Errorf("the request ran %d times", ran)
			}
		})
	}
}
