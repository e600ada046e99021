// Package faultinjection tests several balancers together: it starts several processes of the balancer with stand-in regions, discovery and
// terminals on loopback, puts faults between them by a schedule, and has the rules judge what all of them did together.
// Every directed link passes through a relay of its own. It owns schedules, relays and the judgement over processes; it
// must never look into a balancer but by its second address, and never send anything off loopback.
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

// LinkFaults is what a link does to what passes.
type LinkFaults struct {
	Cut          bool          // nothing passes; what is open stays open and silent
	Refuse       bool          // streams only: new connections are reset at once
	Delay        time.Duration // one way
	Jitter       time.Duration
	Loss, Duplicate float64 // datagrams only
	Rate         int     // bytes a second, streams only; 0 for no bound
}

// link is one directed way, whose weather can change.
type link struct {
	mu sync.Mutex
	faults  LinkFaults
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

// datagrams passes on what comes to at, to another address.
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

// streams passes connections on, from an address of its own if from is set.
type streams struct {
	link
	listener net.Listener
	from, to string
	// ended is told the first line of a connection whose near side has ended while the link was cut: nobody else can know.
	ended func(line string)

	open  sync.WaitGroup
	connMu  sync.Mutex
	conns map[net.Conn]bool
	closed  bool
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

// breakAll resets whatever is open.
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

// pass copies one way. A cut holds what comes, as a network that has lost its way would: nothing is told of an end, and
// what waits goes on when the cut is over.
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
				if s.senderClosed(from, in) { // who sent it has given it up: it never arrives
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
				for s.current().Rate == w.Rate && time.Now().Before(end) && !s.isClosed() { // no longer than the link is slow
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

// gone waits a little, and tells whether a side has ended meanwhile.
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

// patiently opens an address that the run before may not have let go of yet: a write under way keeps a closed socket.
func retryInUse[T any](open func() (T, error)) (got T, err error) {
	for range 40 {
		if got, err = open(); !errors.Is(err, syscall.EADDRINUSE) {
			return got, err
		}
		time.Sleep(50 * time.Millisecond)
	}
	return got, err
}
