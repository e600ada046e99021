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
	idleTimeout  = 500 * time.Millisecond // for clients that have got all and rest: they have to read, and end by themselves
	maxAdoptions = 256                    // others get their turn between
)

// closing bounds the last phase of a server.
type closing struct {
	idleDeadline time.Time // clients that only have to end by themselves are waited for until then
	deadline     time.Time // the loop ends then, whatever is left
}

// beginShutdown begins the shutdown. A listener that is the platform's is let go of at once: what waits in its queue, or comes, is
// for the process that follows.
func (s *Balancer) beginShutdown() {
	if s.serving = false; s.inherited != nil {
		_ = s.listener.Close()
	}
	s.step(core.ShutdownRequested{HandedOver: s.inherited != nil})
	s.writeForSuccessor()
	s.announceLeaving()
}

// beginClosing begins the last phase: nobody is owed anything now, and nobody more is to be picked up.
func (s *Balancer) beginClosing(by time.Duration) {
	s.exiting = true
	s.closing = closing{idleDeadline: time.Now().Add(idleTimeout + s.testSlack), deadline: s.cfg.StartOfClock.Add(by + s.testSlack)}
	s.closeListener()
}

// closeListener closes the listener once nobody waits in its queue any more: the system resets those who do, and with them
// a request that was taken. Where they are too many, or there
// are too few descriptors for them, the rest follows at the next tick.
func (s *Balancer) closeListener() {
	if s.acceptLoop.closed.Load() || s.inherited == nil && !s.acceptQueued() {
		return
	}
	_ = s.listener.Close()
}

// acceptQueued takes in who waits in the listener's queue, to be turned away as all that come now. It is false where
// somebody is left in it.
func (s *Balancer) acceptQueued() bool {
	g, ok := s.listener.(clientListener)
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
	for range maxAdoptions {
		fd, err := acceptNow(raw)
		switch {
		case err == nil:
			s.adopt(fd)
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

// adopt has a connection served as one that nbio's accept loop has taken.
func (s *Balancer) adopt(fd int) {
	conn, err := newConn(fd)
	if err != nil {
		rejectRaw(fd)
		return
	}
	c, err := nbio.NBConn(conn)
	if err != nil {
		if tcp, ok := conn.(syscall.Conn); ok {
			if raw, err := tcp.SyscallConn(); err == nil {
				_ = raw.Control(func(fd uintptr) { answerRaw(int(fd)) })
			}
		}
		_ = conn.Close()
		return
	}
	l := &connection{balancer: s, role: clientRole, conn: c, state: live, remoteAddr: c.RemoteAddr()}
	s.attachSession(c, l)
	s.queue.post(event{kind: eventAccepted, conn: l})
	_, _ = s.engine.AddConn(c) // a failure closes c, and onClose tells of it
}

// rejectRaw answers a connection for which there is no second descriptor, and closes it.
func rejectRaw(fd int) {
	answerRaw(fd)
	_ = syscall.Close(fd)
}

// answerRaw reads away what has come, so that closing makes no reset of the answer.
func answerRaw(fd int) {
	var junk [readSize]byte
	for range maxDiscarded / readSize {
		if n, err := syscall.Read(fd, junk[:]); n <= 0 || err != nil {
			break
		}
	}
	_, _ = syscall.Write(fd, platform.AppendShort(nil, 0))
}

// mayExit tells that the loop may end: everybody who was taken in has got all that there is to get, or the time is up.
func (s *Balancer) mayExit(now time.Time) bool {
	switch {
	case !s.exiting:
		return false
	case now.After(s.closing.deadline):
		return true
	case !s.acceptLoop.hasEnded(), !s.queue.empty(): // somebody may have been taken in whom the loop hasn't heard of
		return false
	case len(s.migrating) > 0, s.admission != nil && s.admission.hasGoodbyes():
		return false
	}
	for l := range s.finishing {
		if now.Before(s.closing.idleDeadline) || l.backlog() > 0 {
			return false
		}
	}
	return true
}

// Close lets go of all that Run leaves to the end of the process: sockets, and the goroutines that serve them. Who goes on
// after Run calls it once Run has returned; what somebody is still owed then is lost.
func (s *Balancer) Close() {
	_ = s.listener.Close()
	for _, t := range s.clients {
		if t.server != nil {
			t.server.drop()
		}
		t.conn.reset()
	}
	for l := range s.finishing {
		l.reset()
	}
	for _, p := range s.probes {
		if p.conn != nil {
			p.conn.drop()
		}
	}
	dropWatch(&s.watch)
	dropWatch(&s.previousWatch)
	s.engine.Stop()
	if s.admission != nil {
		s.admission.close()
	}
}
