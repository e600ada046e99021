package rig

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"sync/atomic"
	"time"

	"oatloft/internal/fake"
)

// Server is a server that closes a connection that brings nothing for IdleTime, or forgets it: what comes on it later
// gets no answer. It serves every request: it answers UP at once and returns each line.
type Server struct {
	Name, Addr string
	IdleTime   time.Duration
	Forgets    bool
	Routed     func(id string) // called for each request; must not block
	Push       <-chan struct{} // once it is closed, the server sends Data on each connection; may be nil
	Data       []byte

	r        *Rig
	open     atomic.Int64
	requests atomic.Int64
}

const weight = 0.002 // load that a connection adds

// AddPlainServer starts the server on an address of its own and adds it to the list that the configuration carries.
func (r *Rig) AddPlainServer(number int, s *Server) {
	l, err := net.Listen("tcp", fmt.Sprintf("127.10.%d.%d:0", number/250, number%250+1))
	r.Must(err)
	s.r, s.Name, s.Addr = r, fmt.Sprintf("s%d", number+1), l.Addr().String()
	r.Known = append(r.Known, fake.Host{Host: s.Name, Dial: s.Addr, Site: "nrb", Class: "c6-fast", Health: "ready",
		Share: 1})
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() { s.serve(c); _ = c.Close() }()
		}
	}()
}

func (s *Server) serve(c net.Conn) {
	in := bufio.NewReader(c)
	for {
		_ = c.SetReadDeadline(time.Now().Add(s.IdleTime))
		line, err := in.ReadString('\n')
		if errors.Is(err, os.ErrDeadlineExceeded) && s.Forgets {
			_ = c.SetReadDeadline(time.Time{})
			_, _ = io.Copy(io.Discard, c)
		}
		if err != nil {
			return
		}
		line = strings.TrimRight(line, "\r\n")
		words := strings.Split(line, " ")
		switch {
		case len(words) == 4 && words[0] == "OPEN":
			s.serveRequest(c, in, words[1])
			return
		case line == "STATS":
			n := s.open.Load()
			_, _ = fmt.Fprintf(c, "PONG latency_ms=1.5,inflight=%d,x0=%.3f\r\n", n, weight*float64(n))
		case line == "PING":
			_, _ = fmt.Fprint(c, "PONG\r\n")
		default:
			_, _ = fmt.Fprint(c, "SYNTAX\r\n")
			return
		}
	}
}

func (s *Server) serveRequest(c net.Conn, in *bufio.Reader, id string) {
	_ = c.SetReadDeadline(time.Time{})
	s.open.Add(1)
	defer s.open.Add(-1)
	n := s.requests.Add(1)
	s.r.Note("routed %s %s", id, s.Name)
	s.Routed(id)
	_, err := fmt.Fprintf(c, "UP %s-%d\r\n", s.Name, n)
	if s.Push != nil {
		go func() {
			<-s.Push
			_, _ = c.Write(s.Data)
		}()
	}
	for err == nil {
		var line string
		if line, err = in.ReadString('\n'); err == nil {
			_, err = fmt.Fprint(c, line)
		}
	}
}
