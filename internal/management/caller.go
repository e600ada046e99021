package management

import (
	"io"
	"net"
	"sync"
	"time"

	"oatloft/internal/hint"
)

const (
	callTimeout   = 800 * time.Millisecond // a call not done by then fails: an answer is promised within 1 s
	answerTimeout = 300 * time.Millisecond // for the caller to read its answer
	maxDiscarded  = 64 << 10               // bytes read after a line, so that a reset does not discard the answer

	revisionSlotTimeout   = 500 * time.Millisecond  // a call about revisions without a slot by then is rejected
	revisionCallTimeout   = 2500 * time.Millisecond // in place of callTimeout
	revisionAnswerTimeout = 2 * time.Second         // in place of answerTimeout
)

// caller is one operator connection.
type caller struct {
	conn        net.Conn
	connectedAt time.Time
	busy        bool          // its call is complete and unanswered, so it is not evicted; guarded by the server's mu
	evicted     chan struct{} // closed when the caller is evicted
}

// Busy is the error for a call about revisions that exceeds the limit on concurrent ones. Nothing was changed.
type Busy struct{ hint.Annotated }

var errBusy error = &Busy{
	hint.Annotated{What: "busy: other calls about revisions are under way, nothing changed", Do: "make the call again"},
}

// serve reads a caller's line, carries out the call, and answers it.
func (s *Server) serve(c *caller) {
	defer s.remove(c)
	reader := &lineReader{server: s, caller: c, data: make([]byte, 0, MaxLine)}
	defer reader.release()
	line, malformed, ok := reader.read()
	if !ok {
		return
	}
	timeout, writeTimeout := callTimeout, answerTimeout
	if malformed == nil && IsRevisionCall(line) {
		if !s.acquireSlot(c, s.revisionCalls) {
			return
		}
		defer func() { <-s.revisionCalls }()
		timeout, writeTimeout = revisionCallTimeout, revisionAnswerTimeout
	}
	if !s.markBusy(c) {
		return
	}
	s.Counters.Calls.Add(1)
	s.answer(c, s.call(line, malformed, timeout), writeTimeout)
}

// markBusy keeps a caller from being evicted while its call is in progress. It returns false if the caller was evicted
// already: a call whose answer cannot be delivered must not be carried out.
func (s *Server) markBusy(c *caller) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, other := range s.callers {
		if other == c {
			c.busy = true
			return !s.closed
		}
	}
	return false
}

// acquireSlot waits for a free slot. It returns false if there was none in time, in which case it answers the caller,
// or if the caller was evicted or the server closes.
func (s *Server) acquireSlot(c *caller, slots chan struct{}) bool {
	select {
	case slots <- struct{}{}:
		return true
	default:
	}
	timer := time.NewTimer(revisionSlotTimeout)
	defer timer.Stop()
	select {
	case slots <- struct{}{}:
		return true
	case <-c.evicted:
	case <-s.closing:
	case <-timer.C:
		if s.markBusy(c) {
			s.Counters.Calls.Add(1)
			s.answer(c, No("%s", hint.Line(errBusy)), answerTimeout)
		}
	}
	return false
}

// call carries out a line's call within the timeout and returns its answer.
func (s *Server) call(line []byte, malformed error, timeout time.Duration) Answer {
	request, err := Request{}, malformed
	if err == nil {
		request, err = Parse(line)
	}
	if err != nil {
		return No("%s", hint.Line(err))
	}
	expired := make(chan struct{})
	expire := sync.OnceFunc(func() { close(expired) })
	timer := time.AfterFunc(timeout, expire)
	defer timer.Stop()
	if timeout > callTimeout {
		done := make(chan struct{})
		defer close(done)
		go s.expireOnClose(done, expire)
	}
	answer := s.handle(request, expired)
	select {
	case <-expired:
		s.Counters.Late.Add(1)
	default:
	}
	return answer
}

// expireOnClose limits a long call to callTimeout once the server closes. It returns when done is closed.
func (s *Server) expireOnClose(done <-chan struct{}, expire func()) {
	select {
	case <-done:
	case <-s.closing:
		defer time.AfterFunc(callTimeout, expire).Stop()
		<-done
	}
}

// answer writes the answer and then discards input until the caller closes, so that a reset does not discard the
// answer.
func (s *Server) answer(c *caller, a Answer, writeTimeout time.Duration) {
	if a.OK {
		s.Counters.Yes.Add(1)
	} else {
		s.Counters.No.Add(1)
	}
	_ = c.conn.SetDeadline(time.Now().Add(writeTimeout)) // fails only with the connection
	if _, err := c.conn.Write(a.Line()); err != nil {
		return
	}
	_ = c.conn.SetDeadline(time.Now().Add(answerTimeout))
	s.mu.Lock()
	c.busy = false // it has its answer, and may be evicted
	s.mu.Unlock()
	if t, ok := c.conn.(*net.TCPConn); ok {
		_ = t.CloseWrite()
	}
	_, _ = io.CopyN(io.Discard, c.conn, maxDiscarded)
}
