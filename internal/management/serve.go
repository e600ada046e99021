package management

import (
	"bytes"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"oatloft/internal/hint"
)

// Bounds on callers. Descriptors is what a balancer has to keep free for all this: the listener, the callers, and one
// that is being turned away.
const (
	callers     = 16
	Descriptors = callers + 2
	silentLeast = 20 * time.Millisecond  // a caller is not cut for room before: its line may be on its way
	lineWait    = 5 * time.Second        // a caller that has said nothing for so long is cut in any case
	answerWait  = 800 * time.Millisecond // a call that nobody has taken up by then is answered no: a second is promised
	goodbyeWait = 300 * time.Millisecond // a caller reads its answer within this
	surplus     = 64 << 10               // read away behind a line, so that a reset doesn't swallow the answer
	turnWait    = 5 * time.Millisecond
)

// Bounds on calls about revisions, which are longer and take longer. They never have more than some of the callers' places, so
// that other calls keep their second; what all of them hold in memory is revisionTurns answers and longLines lines.
const (
	revisionTurns = 6                       // such calls under way or being answered at once
	longLines     = 3                       // of these, with a line longer than MaxLine; those that are still coming count
	turnPatience  = 500 * time.Millisecond  // one that has no turn by then is told so
	revisionWait  = 2500 * time.Millisecond // such a call has to be over by then, for answerWait
	longGoodbye   = 2 * time.Second         // and its answer is read within this, for goodbyeWait
)

// Counters count what callers did.
type Counters struct{ Calls, Yes, No, Cut, Late atomic.Int64 }

// Server is the second address.
type Server struct {
	Counters Counters

	listener net.Listener
	do       func(Call, <-chan struct{}) Answer
	mu       sync.Mutex
	held     []*caller // the oldest first
	closed   bool
	over     chan struct{} // closed by Close
	wait     sync.WaitGroup

	turns chan struct{} // one for each call about revisions
	long  chan struct{} // and for each long line
}

type caller struct {
	conn net.Conn
	came time.Time
	busy bool // its line is whole and not answered yet: it is not cut
	cut  chan struct{}
}

// Listen opens the address. do answers a call; it is told by its channel when the caller's time is over, and has to
// return at once then, with nothing changed.
func Listen(addr string, do func(Call, <-chan struct{}) Answer) (*Server, error) {
	l, err := net.Listen("tcp4", addr)
	if err != nil {
		return nil, &NoAddress{hint.Annotated{Where: "management", Cause: err, Do: elsewhere}}
	}
	return &Server{listener: l, do: do, over: make(chan struct{}), turns: make(chan struct{}, revisionTurns), long: make(chan struct{}, longLines)}, nil
}

// Addr is where it listens.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Serve takes callers until Close.
func (s *Server) Serve() {
	s.wait.Add(1)
	go func() {
		defer s.wait.Done()
		for {
			c, err := s.listener.Accept()
			switch {
			case errors.Is(err, net.ErrClosed):
				return
			case err != nil: // no descriptor left: the caller waits in the queue, and the loop must not spin
				time.Sleep(turnWait)
				continue
			}
			s.admit(c)
		}
	}()
}

// Close ends it and all callers.
func (s *Server) Close() {
	s.mu.Lock()
	if !s.closed {
		s.closed = true
		close(s.over)
	}
	_ = s.listener.Close()
	for _, c := range s.held {
		if !c.busy {
			_ = c.conn.Close()
		}
	}
	s.mu.Unlock()
	s.wait.Wait()
}

// admit gives a caller its place; where none is free, the one that has been silent longest makes room.
func (s *Server) admit(conn net.Conn) {
	c := &caller{conn: conn, came: time.Now(), cut: make(chan struct{})}
	for {
		s.mu.Lock()
		if s.closed {
			s.mu.Unlock()
			_ = conn.Close()
			return
		}
		if len(s.held) < callers {
			s.held = append(s.held, c)
			s.wait.Add(1)
			s.mu.Unlock()
			go func() {
				defer s.wait.Done()
				s.serve(c)
			}()
			return
		}
		for i, old := range s.held {
			if !old.busy && time.Since(old.came) >= silentLeast {
				s.held = append(s.held[:i], s.held[i+1:]...)
				s.Counters.Cut.Add(1)
				close(old.cut)
				_ = old.conn.Close()
				break
			}
		}
		full := len(s.held) >= callers
		s.mu.Unlock()
		if full {
			time.Sleep(turnWait)
		}
	}
}

func (s *Server) leave(c *caller) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, o := range s.held {
		if o == c {
			s.held = append(s.held[:i], s.held[i+1:]...)
			break
		}
	}
	_ = c.conn.Close()
}

// taken keeps a caller from being cut while its call is under way. It is false for one that was cut already: what a
// caller won't hear of must not be done.
func (s *Server) taken(c *caller) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, o := range s.held {
		if o == c {
			c.busy = true
			return !s.closed
		}
	}
	return false
}

func (s *Server) serve(c *caller) {
	defer s.leave(c)
	_ = c.conn.SetReadDeadline(c.came.Add(lineWait))
	data := make([]byte, 0, MaxLine)
	for {
		if len(data) == cap(data) { // a line that may be longer than all others
			if !s.turn(c, s.long) {
				return
			}
			defer func() { <-s.long }()
			data = append(make([]byte, 0, MaxRevision+1), data...)
		}
		n, err := c.conn.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		if err == nil && About(data) && len(data) < MaxRevision && bytes.IndexByte(data[len(data)-n:], '\n') < 0 {
			continue // not read over again for each piece
		}
		line, whole, wrong := Cut(data, err != nil)
		switch {
		case !whole && err == nil:
			continue
		case len(data) == 0 || err != nil && !errors.Is(err, io.EOF): // it left, broke, or took too long
			return
		}
		most, bye := answerWait, goodbyeWait
		if wrong == nil && About(line) {
			if !s.turn(c, s.turns) {
				return
			}
			defer func() { <-s.turns }()
			most, bye = revisionWait, longGoodbye
		}
		if !s.taken(c) {
			return
		}
		s.Counters.Calls.Add(1)
		s.answer(c, s.call(line, wrong, most), bye)
		return
	}
}

// Busy is that as many calls about revisions are under way as may be. Nothing has changed.
type Busy struct{ hint.Annotated }

var busy error = &Busy{hint.Annotated{What: "busy: other calls about revisions are under way, nothing changed", Do: "make the call again"}}

// turn waits for a place in turns. It is false where there was none in time, of which the caller is told, or the caller was cut.
func (s *Server) turn(c *caller, turns chan struct{}) bool {
	select {
	case turns <- struct{}{}:
		return true
	default:
	}
	timer := time.NewTimer(turnPatience)
	defer timer.Stop()
	select {
	case turns <- struct{}{}:
		return true
	case <-c.cut:
	case <-s.over:
	case <-timer.C:
		if s.taken(c) {
			s.Counters.Calls.Add(1)
			s.answer(c, No("%s", hint.Line(busy)), goodbyeWait)
		}
	}
	return false
}

// call does what a line asks for. It is over after most; one about revisions ends with the server as any other would.
func (s *Server) call(line []byte, wrong error, most time.Duration) Answer {
	call, err := Call{}, wrong
	if err == nil {
		call, err = Parse(line)
	}
	if err != nil {
		return No("%s", hint.Line(err))
	}
	over := make(chan struct{})
	var once sync.Once
	end := func() { once.Do(func() { close(over) }) }
	timer := time.AfterFunc(most, end)
	defer timer.Stop()
	if most > answerWait {
		done := make(chan struct{})
		defer close(done)
		go func() {
			select {
			case <-done:
			case <-s.over:
				defer time.AfterFunc(answerWait, end).Stop()
				<-done
			}
		}()
	}
	a := s.do(call, over)
	select {
	case <-over:
		s.Counters.Late.Add(1)
	default:
	}
	return a
}

func (s *Server) answer(c *caller, a Answer, bye time.Duration) {
	if a.OK {
		s.Counters.Yes.Add(1)
	} else {
		s.Counters.No.Add(1)
	}
	_ = c.conn.SetDeadline(time.Now().Add(bye))
	if _, err := c.conn.Write(a.Line()); err != nil {
		return
	}
	_ = c.conn.SetDeadline(time.Now().Add(goodbyeWait))
	s.mu.Lock()
	c.busy = false // it has its answer, and may make room
	s.mu.Unlock()
	if t, ok := c.conn.(*net.TCPConn); ok {
		_ = t.CloseWrite()
	}
	_, _ = io.CopyN(io.Discard, c.conn, surplus)
}

// Report is the counters as they go into the log.
func (s *Server) Report() map[string]int64 {
	n := &s.Counters
	return map[string]int64{"Calls": n.Calls.Load(), "Yes": n.Yes.Load(), "No": n.No.Load(), "Cut": n.Cut.Load(), "Late": n.Late.Load()}
}

const elsewhere = "give an IPv4 address and port of this machine that nobody else has (management, PROXY_MANAGEMENT)"

// Check tells whether addr can be listened on, by the machine's own word. One that is in use may be this balancer's,
// which serves while its configuration is checked.
func Check(addr string, inUse func(error) bool) error {
	l, err := net.Listen("tcp4", addr)
	switch {
	case err == nil:
		return l.Close()
	case inUse(err):
		return nil
	}
	return &NoAddress{hint.Annotated{Where: "management", Cause: err, Do: elsewhere}}
}
