package proxy

import (
	"errors"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"oatloft/internal/admission"
)

const (
	// acceptRetry is the interval between attempts to accept while no descriptor is available.
	acceptRetry = 2 * time.Millisecond
	// closedListenerPause is the delay before Accept returns that the listener is closed.
	closedListenerPause = 50 * time.Millisecond
)

// clientListener accepts clients only while descriptors are available. Without it nbio's accept loop would spin when
// descriptors run out, and close connections that it cannot open.
type clientListener struct {
	net.Listener
	balancer *Balancer
	file     *os.File // the same socket, for acceptRaw; nil if the standard library accepts
}

// listen opens the listener that nbio accepts from.
func (b *Balancer) listen(network, addr string) (net.Listener, error) {
	listener, err := b.inherited, error(nil)
	if listener == nil {
		listener, err = net.Listen(network, addr)
	}
	if err != nil {
		return nil, err
	}
	if b.admission == nil && b.inherited == nil {
		b.listener = clientListener{Listener: listener, balancer: b}
		return b.listener, nil
	}
	file, err := listener.(*net.TCPListener).File()
	if err != nil {
		_ = listener.Close()
		return nil, err
	}
	b.listener = clientListener{listener, b, file}
	return b.listener, nil
}

// acceptLoop tracks whether nbio's accept loop has ended. The loop handles connections one after the other: once it has
// encountered the closed listener, the event queue holds all connections that it accepted.
type acceptLoop struct {
	closed atomic.Bool // the listener is closed
	once   sync.Once
	done   chan struct{} // closed once the accept loop has encountered the closed listener
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

// Close closes the listener and stops accepting.
func (l clientListener) Close() error {
	l.balancer.acceptLoop.closed.Store(true)
	if l.file != nil {
		_ = l.file.Close()
	}
	return l.Listener.Close()
}

// Accept returns the next client's connection. nbio's accept loop does not end with its listener, but calls Accept
// again immediately: without the pause it would use processor time that the last answers need.
func (l clientListener) Accept() (net.Conn, error) {
	conn, err := l.acceptNext()
	if errors.Is(err, net.ErrClosed) {
		l.balancer.acceptLoop.finish()
		time.Sleep(closedListenerPause)
	}
	return conn, err
}

func (l clientListener) acceptNext() (net.Conn, error) {
	b := l.balancer
	if b.admission != nil {
		raw, err := l.file.SyscallConn()
		if err != nil {
			return nil, net.ErrClosed
		}
		for !b.queue.hasCapacityForClients() && !b.acceptLoop.closed.Load() {
			time.Sleep(acceptRetry)
		}
		return b.admission.accept(raw)
	}
	for !b.acceptLoop.closed.Load() {
		if b.queue.hasCapacityForClients() && b.basicLimits().MayOpen(int(b.sockets.Load())) {
			conn, err := l.acceptOne()
			if err == nil || errors.Is(err, net.ErrClosed) {
				return conn, err
			}
		}
		time.Sleep(acceptRetry)
	}
	return nil, net.ErrClosed
}

// acceptOne accepts one connection.
func (l clientListener) acceptOne() (net.Conn, error) {
	if l.file == nil {
		return l.Listener.Accept()
	}
	raw, err := l.file.SyscallConn()
	if err != nil {
		return nil, net.ErrClosed
	}
	fd, _, err := acceptRaw(raw, true, true)
	if err != nil {
		return nil, err
	}
	conn, err := newConn(fd)
	if err != nil {
		_ = syscall.Close(fd)
	}
	return conn, err
}

// basicLimits returns the limits in effect if admission is not configured.
func (b *Balancer) basicLimits() admission.BasicLimits {
	return admission.BasicLimits{Limit: int(b.descriptorLimit.Load())}
}
