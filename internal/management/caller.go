package management

import (
	"io"
	"net"
	"sync"
	"time"

	"oatloft/internal/hint"
)

const (
	callTimeout   = 800 * time.Millisecond // a call that is not done by then is answered no: a second is promised
	answerTimeout = 300 * time.Millisecond // a caller reads its answer within this
	maxDiscarded  = 64 << 10               // bytes read behind a line, so that a reset does not take the answer with it

	revisionTurnTimeout   = 500 * time.Millisecond  // a call about revisions that has no turn by then is told so
	revisionCallTimeout   = 2500 * time.Millisecond // in place of callTimeout
	revisionAnswerTimeout = 2 * time.Second         // in place of answerTimeout
)

// caller is one connection.
type caller struct {
	conn        net.Conn
	connectedAt time.Time
	busy        bool          // its line is complete and not answered yet: it is not cut; guarded by the server's mu
	cut         chan struct{} // closed once it is cut
}

// Busy is the error that as many calls about revisions are under way as may be. Nothing has changed.
type Busy struct{ hint.Annotated }

var errBusy error = &Busy{
	hint.Annotated{What: "busy: other calls about revisions are under way, nothing changed", Do: "make the call again"},
}

// serve reads a caller's line, has it carried out, and answers.
func (s *Server) serve(c *caller) {
	defer s.remove(c)
	reader := &lineReader{server: s, caller: c, data: make([]byte, 0, MaxLine)}
	defer reader.release()
	line, malformed, ok := reader.read()
	if !ok {
		return
	}
	timeout, answerWithin := callTimeout, answerTimeout
	if malformed == nil && IsRevisionCall(line) {
		if !s.takeTurn(c, s.revisionCalls) {
			return
		}
		defer func() { <-s.revisionCalls }()
		timeout, answerWithin = revisionCallTimeout, revisionAnswerTimeout
	}
	if !s.markBusy(c) {
		return
	}
	s.Counters.Calls.Add(1)
	s.answer(c, s.call(line, malformed, timeout), answerWithin)
}

// markBusy keeps a caller from being cut while its call is under way. It is false for one that was cut already:
// what a caller will not hear of must not be done.
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

// takeTurn waits for a place in turns. It is false if there was none in time, which the caller is told, or if the
// caller was cut.
func (s *Server) takeTurn(c *caller, turns chan struct{}) bool {
	select {
	case turns <- struct{}{}:
		return true
	default:
	}
	timer := time.NewTimer(revisionTurnTimeout)
	defer timer.Stop()
	select {
	case turns <- struct{}{}:
		return true
	case <-c.cut:
	case <-s.closing:
	case <-timer.C:
		if s.markBusy(c) {
			s.Counters.Calls.Add(1)
			s.answer(c, No("%s", hint.Line(errBusy)), answerTimeout)
		}
	}
	return false
}

// call has a line's call carried out within a time, and returns its answer.
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

// expireOnClose gives a long call no more time than any other once the server closes. It returns when done is closed.
func (s *Server) expireOnClose(done <-chan struct{}, expire func()) {
	select {
	case <-done:
	case <-s.closing:
		defer time.AfterFunc(callTimeout, expire).Stop()
		<-done
	}
}

// answer writes the answer, and reads on until the caller has closed, so that a reset does not take the answer with
// it.
func (s *Server) answer(c *caller, a Answer, within time.Duration) {
	if a.OK {
		s.Counters.Yes.Add(1)
	} else {
		s.Counters.No.Add(1)
	}
	_ = c.conn.SetDeadline(time.Now().Add(within)) // fails only with the connection
	if _, err := c.conn.Write(a.Line()); err != nil {
		return
	}
	_ = c.conn.SetDeadline(time.Now().Add(answerTimeout))
	s.mu.Lock()
	c.busy = false // it has its answer, and may be cut
	s.mu.Unlock()
	if t, ok := c.conn.(*net.TCPConn); ok {
		_ = t.CloseWrite()
	}
	_, _ = io.CopyN(io.Discard, c.conn, maxDiscarded)
}
