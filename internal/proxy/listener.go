// Taking connections in. This file owns the listener that nbio accepts from and the process's limit on
// descriptors; it must never let the accept loop spin, nor drop a connection without a word.

package proxy

import (
	"errors"
	"fmt"
	"net"
	"oatloft/internal/admission"
	"oatloft/internal/hint"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// clientListener lets terminals in while there are descriptors for them. Without it nbio's accept loop would turn
// at full speed where they run out, and close what it can't take in.
type clientListener struct {
	net.Listener
	balancer *Balancer
	file     *os.File // the same socket, where we accept by ourselves: a listener of the standard library lets nobody else
}

// listen opens the listener that nbio accepts from.
func (s *Balancer) listen(network, addr string) (net.Listener, error) {
	l, err := s.inherited, error(nil)
	if l == nil {
		l, err = net.Listen(network, addr)
	}
	if err != nil {
		return nil, err
	}
	if s.admission == nil && s.inherited == nil {
		s.listener = clientListener{Listener: l, balancer: s}
		return s.listener, nil
	}
	f, err := l.(*net.TCPListener).File()
	if err != nil {
		_ = l.Close()
		return nil, err
	}
	s.listener = clientListener{l, s, f}
	return s.listener, nil
}

const inheritedHint = "see that what starts the balancer hands over the listening socket, and gives its number by PROXY_FD"

// takeInherited takes over the listening socket that the platform holds for all processes of this balancer. It is closed by
// each of them, and shut down by none: what waits in its queue is another one's then.
func takeInherited(fd, addr string) (net.Listener, error) {
	n, err := strconv.Atoi(fd)
	if err != nil || n < 3 {
		return nil, &ListenFailed{hint.Annotated{Where: "PROXY_FD", What: fmt.Sprintf("%q is no descriptor above 2", fd), Do: inheritedHint}}
	}
	want, err := net.ResolveTCPAddr("tcp", addr)
	if err != nil {
		return nil, &ListenFailed{hint.Annotated{Where: "listen", Cause: err, Do: "give host:port"}}
	}
	switch on, err := syscall.GetsockoptInt(n, syscall.SOL_SOCKET, syscall.SO_ACCEPTCONN); {
	case errors.Is(err, syscall.EBADF):
		return nil, &ListenFailed{hint.Annotated{Where: "PROXY_FD", What: fmt.Sprintf("descriptor %d is not open", n), Do: inheritedHint}}
	case err != nil:
		return nil, &ListenFailed{hint.Annotated{Where: "PROXY_FD", What: fmt.Sprintf("descriptor %d is no socket", n), Do: inheritedHint}}
	case on == 0:
		return nil, &ListenFailed{hint.Annotated{Where: "PROXY_FD", What: fmt.Sprintf("descriptor %d does not listen", n), Do: inheritedHint}}
	}
	f := os.NewFile(uintptr(n), "PROXY_FD")
	defer func() { _ = f.Close() }() // the listener has a descriptor of its own
	l, err := net.FileListener(f)
	if err != nil {
		return nil, &ListenFailed{hint.Annotated{Where: "PROXY_FD", What: fmt.Sprintf("descriptor %d", n), Cause: err, Do: inheritedHint}}
	}
	has, ok := l.Addr().(*net.TCPAddr)
	if !ok || has.Port != want.Port || !has.IP.Equal(want.IP) && !(has.IP.IsUnspecified() && want.IP == nil) {
		_ = l.Close()
		return nil, &ListenFailed{hint.Annotated{Where: "PROXY_FD", What: fmt.Sprintf("descriptor %d listens on %v, not on %s (listen)", n, l.Addr(), addr),
			Do: "set listen to the address of the socket that is handed over"}}
	}
	return l, nil
}

// acceptLoop tells how far nbio's accept loop is from its end. It handles one connection after the other: once it has met
// the closed listener, the loop of events has been told of all that it took.
type acceptLoop struct {
	closed atomic.Bool // the listener is
	once   sync.Once
	done   chan struct{} // closed once the accept loop has met that
}

func (a *acceptLoop) finish() { a.once.Do(func() { close(a.done) }) }

func (a *acceptLoop) hasEnded() bool {
	select {
	case <-a.done:
		return true
	default:
		return false
	}
}

// Close ends the accepting as well.
func (g clientListener) Close() error {
	g.balancer.acceptLoop.closed.Store(true)
	if g.file != nil {
		_ = g.file.Close()
	}
	return g.Listener.Close()
}

// Accept returns the next terminal. nbio's accept loop doesn't end with its listener, but asks on without a pause: while
// the last answers leave, it would take the processor from them.
func (g clientListener) Accept() (net.Conn, error) {
	c, err := g.acceptNext()
	if errors.Is(err, net.ErrClosed) {
		g.balancer.acceptLoop.finish()
		time.Sleep(closedListenerPause)
	}
	return c, err
}

func (g clientListener) acceptNext() (net.Conn, error) {
	if g.balancer.admission != nil {
		raw, err := g.file.SyscallConn()
		if err != nil {
			return nil, net.ErrClosed
		}
		return g.balancer.admission.accept(raw)
	}
	for !g.balancer.acceptLoop.closed.Load() {
		if g.balancer.basicLimits().MayOpen(int(g.balancer.sockets.Load())) {
			c, err := g.acceptOne()
			if err == nil || errors.Is(err, net.ErrClosed) {
				return c, err
			}
		}
		time.Sleep(acceptRetry)
	}
	return nil, net.ErrClosed
}

// acceptOne accepts one connection.
func (g clientListener) acceptOne() (net.Conn, error) {
	if g.file == nil {
		return g.Listener.Accept()
	}
	raw, err := g.file.SyscallConn()
	if err != nil {
		return nil, net.ErrClosed
	}
	fd, _, err := acceptRaw(raw, true, true)
	if err != nil {
		return nil, err
	}
	c, err := newConn(fd)
	if err != nil {
		_ = syscall.Close(fd)
	}
	return c, err
}

// basicLimits are the limits that hold where no admission is configured.
func (s *Balancer) basicLimits() admission.Basic {
	return admission.Basic{Limit: int(s.descriptorLimit.Load())}
}

// systemDescriptorLimit is how many descriptors there may be, by configuration and by the system.
func systemDescriptorLimit(limit int) int64 {
	var r syscall.Rlimit
	n := int64(1024)
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &r) == nil {
		n = int64(min(r.Cur, 1<<20))
	}
	if limit > 0 {
		n = min(n, int64(limit))
	}
	return n
}
