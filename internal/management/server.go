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
	maxCallers = 16
	// Descriptors is what a balancer has to keep free for this server: the listener, the callers, and one that is being
	// turned away.
	Descriptors = maxCallers + 2
	// minSilence is how long a caller may be silent before it has to make room: its line may be on its way.
	minSilence = 20 * time.Millisecond
	// admitRetry is the time between two tries to accept or to admit a caller.
	admitRetry = 5 * time.Millisecond
)

// Limits of calls about revisions, which are longer and take longer. They never have more than some of the callers'
// places, so that other calls keep their second. In memory they hold at most maxRevisionCalls answers and
// maxLongLines lines.
const (
	maxRevisionCalls = 6 // under way or being answered at once
	maxLongLines     = 3 // of these, with a line longer than MaxLine, complete or not
)

// Counters count what callers did.
type Counters struct{ Calls, Yes, No, Cut, Late atomic.Int64 }

// Handler carries out a call. expired is closed when the caller's time is over; the handler has to return at once
// then, with nothing changed. It may be called by several goroutines at once.
type Handler func(call Request, expired <-chan struct{}) Answer

// Server accepts operators' callers, each in a goroutine of its own.
type Server struct {
	Counters Counters

	listener   net.Listener
	handle     Handler
	closing    chan struct{} // closed by Close
	goroutines sync.WaitGroup

	mu      sync.Mutex
	callers []*caller // the oldest first
	closed  bool

	revisionCalls chan struct{} // an element for each call about revisions
	longLines     chan struct{} // an element for each long line
}

// ListenFailed is the error that the address for operators' calls cannot be listened on.
type ListenFailed struct{ hint.Annotated }

const otherAddressHint = "give an IPv4 address and port of this machine that nobody else has " +
	"(management, PROXY_MANAGEMENT)"

// Listen opens the address. The error is *ListenFailed.
func Listen(addr string, handle Handler) (*Server, error) {
	listener, err := net.Listen("tcp4", addr)
	if err != nil {
		return nil, &ListenFailed{hint.Annotated{Where: "management", Cause: err, Do: otherAddressHint}}
	}
	return &Server{
		listener:      listener,
		handle:        handle,
		closing:       make(chan struct{}),
		revisionCalls: make(chan struct{}, maxRevisionCalls),
		longLines:     make(chan struct{}, maxLongLines),
	}, nil
}

// CheckAddress tells whether an address can be listened on. One that is in use may be this balancer's, which serves
// while its configuration is checked. The error is *ListenFailed.
func CheckAddress(addr string, inUse func(error) bool) error {
	listener, err := net.Listen("tcp4", addr)
	switch {
	case err == nil:
		return listener.Close()
	case inUse(err):
		return nil
	}
	return &ListenFailed{hint.Annotated{Where: "management", Cause: err, Do: otherAddressHint}}
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
			case err != nil: // no descriptor is free: the caller waits in the system's queue
				time.Sleep(admitRetry)
			default:
				s.admit(conn)
			}
		}
	})
}

// Close ends the server and waits for its goroutines. Callers whose calls are under way get their answers.
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

// admit gives a caller a place. Where none is free, it waits until the one that has been silent longest may be cut.
func (s *Server) admit(conn net.Conn) {
	c := &caller{conn: conn, connectedAt: time.Now(), cut: make(chan struct{})}
	for !s.tryAdmit(c) {
		time.Sleep(admitRetry)
	}
}

// tryAdmit tells whether there is nothing more to do: the caller is served, or the server is closed.
func (s *Server) tryAdmit(c *caller) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		_ = c.conn.Close()
		return true
	}
	if len(s.callers) >= maxCallers {
		s.cutSilent()
	}
	if len(s.callers) >= maxCallers {
		return false
	}
	s.callers = append(s.callers, c)
	s.goroutines.Go(func() { s.serve(c) })
	return true
}

// cutSilent cuts the caller that has been silent longest, if one may be. With mu held.
func (s *Server) cutSilent() {
	for i, c := range s.callers {
		if !c.busy && time.Since(c.connectedAt) >= minSilence {
			s.callers = append(s.callers[:i], s.callers[i+1:]...)
			s.Counters.Cut.Add(1)
			close(c.cut)
			_ = c.conn.Close()
			return
		}
	}
}

// remove gives a caller's place back.
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

// Report returns the counters as they are logged.
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
