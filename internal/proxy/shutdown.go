// The end of a server: what is left to do at the sockets once the reducer has said that all is done, and when the loop may
// end. This file must never let the loop end while somebody who was taken in has no answer and there is time to give it.

package proxy

import (
	"errors"
	"net"
	"syscall"
	"time"

	"github.com/lesismal/nbio"

	"oatloft/internal/core"
	"oatloft/internal/platform"
)

const (
	restWait       = 500 * time.Millisecond // for clients that have got all and rest: they have to read, and end by themselves
	takeInsAtATime = 256                    // others get their turn between
)

// closing bounds the last phase of a server.
type closing struct {
	restBy time.Time // clients that only have to end by themselves are waited for until then
	exitBy time.Time // the loop ends then, whatever is left
}

// leave begins the shutdown. A listener that is the platform's is let go of at once: what waits in its queue, or comes, is
// for the process that follows.
func (s *Server) leave() {
	if s.accepts = false; s.inherit != nil {
		_ = s.listener.Close()
	}
	s.step(core.ShutdownRequested{HandedOver: s.inherit != nil})
	s.handOver()
	s.sayLeaving()
}

// close begins the last phase: nobody is owed anything now, and nobody more is to be picked up.
func (s *Server) close(by time.Duration) {
	s.exit = true
	s.closing = closing{restBy: time.Now().Add(restWait + s.slack), exitBy: s.cfg.Zero.Add(by + s.slack)}
	s.closeListener()
}

// closeListener closes the listener once nobody waits in its queue any more: the system resets those who do, and with them
// a request that was taken. Where they are too many, or there
// are too few descriptors for them, the rest follows at the next tick.
func (s *Server) closeListener() {
	if s.accepting.closed.Load() || s.inherit == nil && !s.takeInWaiting() {
		return
	}
	_ = s.listener.Close()
}

// takeInWaiting takes in who waits in the listener's queue, to be turned away as all that come now. It is false where
// somebody is left in it.
func (s *Server) takeInWaiting() bool {
	g, ok := s.listener.(gate)
	if !ok {
		return true
	}
	l, ok := g.Listener.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := l.SyscallConn()
	if err != nil {
		return true
	}
	for range takeInsAtATime {
		fd, err := acceptNow(raw)
		switch {
		case err == nil:
			s.takeIn(fd)
		case errors.Is(err, syscall.ECONNABORTED):
		default:
			return !noDescriptor(err)
		}
	}
	return false
}

// acceptNow accepts a connection that waits, if there is one. The accept loop may wait for one meanwhile.
func acceptNow(l syscall.RawConn) (fd int, err error) {
	closed := l.Control(func(s uintptr) {
		for {
			if fd, _, err = syscall.Accept4(int(s), syscall.SOCK_NONBLOCK|syscall.SOCK_CLOEXEC); !errors.Is(err, syscall.EINTR) {
				return
			}
		}
	})
	if closed != nil {
		return 0, net.ErrClosed
	}
	return fd, err
}

// takeIn has a connection served as one that nbio's accept loop has taken.
func (s *Server) takeIn(fd int) {
	conn, err := asConn(fd)
	if err != nil {
		refuseCurtly(fd)
		return
	}
	c, err := nbio.NBConn(conn)
	if err != nil {
		if tcp, ok := conn.(syscall.Conn); ok {
			if raw, err := tcp.SyscallConn(); err == nil {
				_ = raw.Control(func(fd uintptr) { answerCurtly(int(fd)) })
			}
		}
		_ = conn.Close()
		return
	}
	l := &link{s: s, role: terminalRole, c: c, state: live, from: c.RemoteAddr()}
	s.publish(c, l)
	s.queue.post(event{kind: evOpened, link: l})
	_, _ = s.engine.AddConn(c) // a failure closes c, and onClose tells of it
}

// refuseCurtly answers a connection for which there is no second descriptor, and closes it.
func refuseCurtly(fd int) {
	answerCurtly(fd)
	_ = syscall.Close(fd)
}

// answerCurtly reads away what has come, so that closing makes no reset of the answer.
func answerCurtly(fd int) {
	var junk [readSize]byte
	for range junkAtMost / readSize {
		if n, err := syscall.Read(fd, junk[:]); n <= 0 || err != nil {
			break
		}
	}
	_, _ = syscall.Write(fd, platform.AppendShort(nil, 0))
}

// closed tells that the loop may end: everybody who was taken in has got all that there is to get, or the time is up.
func (s *Server) closed(now time.Time) bool {
	switch {
	case !s.exit:
		return false
	case now.After(s.closing.exitBy):
		return true
	case !s.accepting.isOver(), !s.queue.empty(): // somebody may have been taken in whom the loop hasn't heard of
		return false
	case len(s.moving) > 0, s.door != nil && s.door.bidding():
		return false
	}
	for l := range s.finishing {
		if now.Before(s.closing.restBy) || l.backlog() > 0 {
			return false
		}
	}
	return true
}

// Close lets go of all that Run leaves to the end of the process: sockets, and the goroutines that serve them. Who goes on
// after Run calls it once Run has returned; what somebody is still owed then is lost.
func (s *Server) Close() {
	_ = s.listener.Close()
	for _, t := range s.terminals {
		if t.task != nil {
			t.task.drop()
		}
		t.l.reset()
	}
	for l := range s.finishing {
		l.reset()
	}
	for _, p := range s.probes {
		if p.l != nil {
			p.l.drop()
		}
	}
	drop(&s.watch)
	drop(&s.former)
	s.engine.Stop()
	if s.door != nil {
		s.door.close()
	}
}
