// Package faultinjection tests several balancers together: it starts several processes of the balancer with simulated
// servers, discovery and clients on loopback, injects faults between them by a schedule, and checks the behaviour of
// all processes against the rules. Every directed link passes through its own relay. The package inspects a balancer
// only by its management address, and sends nothing beyond loopback.
package faultinjection

import (
	"bufio"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/netip"
	"strings"
	"sync"
	"syscall"
	"time"
)

// LinkFaults describes how a link disturbs its traffic.
type LinkFaults struct {
	Cut             bool          // nothing passes; open connections stay open and silent
	Refuse          bool          // streams only: new connections are reset at once
	Delay           time.Duration // one way
	Jitter          time.Duration // added to Delay, at random from 0 to this
	Loss, Duplicate float64       // probabilities, datagrams only
	Rate            int           // bytes per second, streams only; 0 for no limit
}

// link is one direction of a connection, whose faults can change.
type link struct {
	mu     sync.Mutex
	faults LinkFaults
}

func (l *link) set(w LinkFaults) {
	l.mu.Lock()
	l.faults = w
	l.mu.Unlock()
}

func (l *link) current() LinkFaults {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.faults
}

func (w LinkFaults) wait() time.Duration {
	return w.Delay + time.Duration(rand.Float64()*float64(w.Jitter))
}

// datagrams forwards the datagrams that arrive at its socket to another address.
type datagrams struct {
	link
	conn *net.UDPConn
	to   netip.AddrPort
}

func newDatagrams(at, to string) (*datagrams, error) {
	a, err := netip.ParseAddrPort(at)
	if err != nil {
		return nil, err
	}
	b, err := netip.ParseAddrPort(to)
	if err != nil {
		return nil, err
	}
	c, err := retryInUse(func() (*net.UDPConn, error) { return net.ListenUDP("udp4", net.UDPAddrFromAddrPort(a)) })
	if err != nil {
		return nil, err
	}
	return &datagrams{conn: c, to: b}, nil
}

func (d *datagrams) run() {
	buf := make([]byte, 1<<16)
	for {
		n, _, err := d.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		w := d.current()
		if w.Cut || w.Loss > 0 && rand.Float64() < w.Loss {
			continue
		}
		times := 1
		if w.Duplicate > 0 && rand.Float64() < w.Duplicate {
			times = 2
		}
		for range times {
			if wait := w.wait(); wait > 0 {
				b := append([]byte(nil), buf[:n]...)
				time.AfterFunc(wait, func() { _, _ = d.conn.WriteToUDPAddrPort(b, d.to) })
			} else {
				_, _ = d.conn.WriteToUDPAddrPort(buf[:n], d.to)
			}
		}
	}
}

// streams forwards connections, from the local address from if it is set.
type streams struct {
	link
	listener net.Listener
	from, to string
	// ended is called with the first line of a connection whose near side ended while the link was cut, since the far side
	// can't notice the end.
	ended func(line string)

	open   sync.WaitGroup
	connMu sync.Mutex
	conns  map[net.Conn]bool
	closed bool
}

func newStreams(at, from, to string) (*streams, error) {
	l, err := retryInUse(func() (net.Listener, error) { return net.Listen("tcp", at) })
	if err != nil {
		return nil, err
	}
	return &streams{listener: l, from: from, to: to, conns: map[net.Conn]bool{}}, nil
}

func (s *streams) close() {
	_ = s.listener.Close()
	s.breakAll()
	s.connMu.Lock()
	s.closed = true
	s.connMu.Unlock()
	s.open.Wait()
}

// breakAll resets all open connections.
func (s *streams) breakAll() {
	s.connMu.Lock()
	defer s.connMu.Unlock()
	for c := range s.conns {
		resetConn(c)
	}
}

func resetConn(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

func (s *streams) addConn(c net.Conn) bool {
	s.connMu.Lock()
	defer s.connMu.Unlock()
	if !s.closed {
		s.conns[c] = true
	}
	return !s.closed
}

func (s *streams) removeConn(c net.Conn) {
	s.connMu.Lock()
	delete(s.conns, c)
	s.connMu.Unlock()
	_ = c.Close()
}

func (s *streams) run() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		if s.current().Refuse || !s.addConn(c) {
			resetConn(c)
			continue
		}
		s.open.Add(1)
		go func() {
			defer s.open.Done()
			defer s.removeConn(c)
			s.serve(c)
		}()
	}
}

func (s *streams) serve(near net.Conn) {
	d := net.Dialer{Timeout: 5 * time.Second}
	if s.from != "" {
		d.LocalAddr = &net.TCPAddr{IP: net.ParseIP(s.from)}
	}
	far, err := d.Dial("tcp", s.to)
	if err != nil {
		resetConn(near)
		return
	}
	if !s.addConn(far) {
		resetConn(far)
		return
	}
	defer s.removeConn(far)
	var first string
	var two sync.WaitGroup
	two.Add(2)
	go func() { defer two.Done(); s.copyOneWay(near, far, &first) }()
	go func() { defer two.Done(); s.copyOneWay(far, near, nil) }()
	two.Wait()
}

// copyOneWay copies one direction. A cut delays the bytes, as a network without a route does: the end of the connection
// is not forwarded, and waiting bytes are forwarded when the cut is over.
func (s *streams) copyOneWay(from, to net.Conn, first *string) {
	in := bufio.NewReaderSize(from, 32<<10)
	for {
		b, err := in.Peek(1)
		if len(b) > 0 {
			b, _ = in.Peek(in.Buffered())
			if first != nil && *first == "" && strings.HasPrefix(string(b), "OPEN ") {
				*first, _, _ = strings.Cut(string(b), "\r")
			}
			w := s.current()
			for w.Cut {
				if s.senderClosed(from, in) { // the sender has closed the connection: the bytes never arrive
					s.reportEnd(first)
					resetConn(to)
					return
				}
				w = s.current()
			}
			if wait := w.wait(); wait > 0 {
				time.Sleep(wait)
			}
			if w.Rate > 0 {
				end := time.Now().Add(time.Duration(len(b)) * time.Second / time.Duration(w.Rate))
				// Ends early when the rate of the link changes.
				for s.current().Rate == w.Rate && time.Now().Before(end) && !s.isClosed() {
					time.Sleep(min(20*time.Millisecond, time.Until(end)))
				}
			}
			if _, err := to.Write(b); err != nil {
				resetConn(from)
				return
			}
			_, _ = in.Discard(len(b))
			continue
		}
		s.reportEnd(first)
		for s.current().Cut && !s.isClosed() {
			time.Sleep(5 * time.Millisecond)
		}
		if err == io.EOF {
			if t, ok := to.(*net.TCPConn); ok {
				_ = t.CloseWrite()
			}
		} else {
			resetConn(to)
		}
		return
	}
}

func (s *streams) reportEnd(first *string) {
	if first != nil && *first != "" && s.current().Cut && s.ended != nil {
		s.ended(*first)
	}
}

// senderClosed waits up to 5 ms, and reports whether the sender has closed the connection meanwhile.
func (s *streams) senderClosed(c net.Conn, in *bufio.Reader) bool {
	_ = c.SetReadDeadline(time.Now().Add(5 * time.Millisecond))
	_, err := in.Peek(in.Buffered() + 1)
	_ = c.SetReadDeadline(time.Time{})
	var late net.Error
	switch {
	case err == nil, errors.As(err, &late) && late.Timeout():
		return s.isClosed()
	case errors.Is(err, bufio.ErrBufferFull):
		time.Sleep(5 * time.Millisecond)
		return s.isClosed()
	}
	return true
}

func (s *streams) isClosed() bool {
	s.connMu.Lock()
	defer s.connMu.Unlock()
	return s.closed
}

// retryInUse retries to open an address that the previous run may not have released yet: a write in progress keeps a
// closed socket open.
func retryInUse[T any](open func() (T, error)) (got T, err error) {
	for range 40 {
		if got, err = open(); !errors.Is(err, syscall.EADDRINUSE) {
			return got, err
		}
		time.Sleep(50 * time.Millisecond)
	}
	return got, err
}
