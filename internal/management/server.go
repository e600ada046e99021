package management

import (
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"oatloft/internal/hint"
)

const (
	maxCallers = 16 // concurrent connections
	// Descriptors is the number of file descriptors that a balancer has to reserve for this server: the listener, the
	// callers, and one for a caller that awaits admission.
	Descriptors = maxCallers + 2
	// minSilence is how long a caller may be silent before it may be evicted: its line may be in transit.
	minSilence = 20 * time.Millisecond
	// admitRetry is the time between two attempts to accept or admit a caller.
	admitRetry = 5 * time.Millisecond
)

// Limits on calls about revisions, which are longer and take longer. They use only some of the callers' slots, so that
// other calls are still answered within 1 s. Their memory use is at most maxRevisionCalls answers and maxLongLines
// lines.
const (
	maxRevisionCalls = 6 // concurrently in progress or being answered
	maxLongLines     = 3 // concurrent lines longer than MaxLine, complete or not
)

// Counters counts calls, their answers (Yes, No), evicted callers (Cut) and calls that timed out (Late).
type Counters struct{ Calls, Yes, No, Cut, Late atomic.Int64 }

// Handler carries out a call. expired is closed when the call times out; the handler must then return at once, without
// having changed anything. It may be called concurrently.
type Handler func(call Request, expired <-chan struct{}) Answer

// Server accepts operators' connections and serves each in its own goroutine.
type Server struct {
	Counters Counters

	listener   net.Listener
	handle     Handler
	closing    chan struct{} // closed by Close
	goroutines sync.WaitGroup

	mu      sync.Mutex
	callers []*caller // oldest first
	closed  bool

	revisionCalls chan struct{} // holds an element for each call about revisions
	longLines     chan struct{} // holds an element for each long line
}

// ListenFailed is the error for a management address that cannot be listened on.
type ListenFailed struct{ hint.Annotated }

const addressHint = "set an IPv4 address and port of this machine that no other process uses " +
	"(management, PROXY_MANAGEMENT)"

// Listen opens the address. The error is *ListenFailed.
func Listen(addr string, handle Handler) (*Server, error) {
	listener, err := net.Listen("tcp4", addr)
	if err != nil {
		return nil, &ListenFailed{hint.Annotated{Where: "management", Cause: err, Do: addressHint}}
	}
	return &Server{
		listener:      listener,
		handle:        handle,
		closing:       make(chan struct{}),
		revisionCalls: make(chan struct{}, maxRevisionCalls),
		longLines:     make(chan struct{}, maxLongLines),
	}, nil
}

// CheckAddress checks that an address can be listened on. An address that is in use is accepted: it may be in use by
// this balancer, which may be running while its configuration is checked. The error is *ListenFailed.
func CheckAddress(addr string, inUse func(error) bool) error {
	listener, err := net.Listen("tcp4", addr)
	switch {
	case err == nil:
		return listener.Close()
	case inUse(err):
		return nil
	}
	return &ListenFailed{hint.Annotated{Where: "management", Cause: err, Do: addressHint}}
}

// Addr returns the address that the server listens on.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Serve accepts callers until Close. It does not block.
func (s *Server) Serve() {
	s.goroutines.Go(func() {
		for {
			conn, err := s.listener.Accept()
			switch {
			case errors.Is(err, net.ErrClosed):
				return
			case err != nil: // no descriptor is free: the caller waits in the listen backlog
				time.Sleep(admitRetry)
			default:
				s.admit(conn)
			}
		}
	})
}

// Close stops the server and waits for its goroutines. Calls in progress are still answered.
func (s *Server) Close() {
	s.mu.Lock()
	if !s.closed {
		s.closed = true
		close(s.closing)
	}
	_ = s.listener.Close()
	for _, c := range s.callers {
		if !c.busy {
			_ = c.conn.Close()
		}
	}
	s.mu.Unlock()
	s.goroutines.Wait()
}

// admit adds a caller. If the limit is reached, it waits until the caller that has been silent longest may be evicted.
func (s *Server) admit(conn net.Conn) {
	c := &caller{conn: conn, connectedAt: time.Now(), evicted: make(chan struct{})}
	for !s.tryAdmit(c) {
		time.Sleep(admitRetry)
	}
}

// tryAdmit reports whether admission is finished: the caller is being served, or the server is closed.
func (s *Server) tryAdmit(c *caller) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		_ = c.conn.Close()
		return true
	}
	if len(s.callers) >= maxCallers {
		s.evictSilent()
	}
	if len(s.callers) >= maxCallers {
		return false
	}
	s.callers = append(s.callers, c)
	s.goroutines.Go(func() { s.serve(c) })
	return true
}

// evictSilent disconnects the caller that has been silent longest, if any may be evicted. The caller must hold mu.
func (s *Server) evictSilent() {
	for i, c := range s.callers {
		if !c.busy && time.Since(c.connectedAt) >= minSilence {
			s.callers = append(s.callers[:i], s.callers[i+1:]...)
			s.Counters.Cut.Add(1)
			close(c.evicted)
			_ = c.conn.Close()
			return
		}
	}
}

// remove closes a caller's connection and frees its slot.
func (s *Server) remove(c *caller) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, other := range s.callers {
		if other == c {
			s.callers = append(s.callers[:i], s.callers[i+1:]...)
			break
		}
	}
	_ = c.conn.Close()
}

// Report returns the counters by the names under which they are logged.
func (s *Server) Report() map[string]int64 {
	n := &s.Counters
	return map[string]int64{
		"Calls": n.Calls.Load(),
		"Yes":   n.Yes.Load(),
		"No":    n.No.Load(),
		"Cut":   n.Cut.Load(),
		"Late":  n.Late.Load(),
	}
}
