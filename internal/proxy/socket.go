package proxy

import (
	"errors"
	"net"
	"net/netip"
	"os"
	"reflect"
	"syscall"
	"time"

	"github.com/lesismal/nbio"
	"golang.org/x/sys/unix"
)

// withDescriptor calls do with a socket's descriptor, unless nbio has closed it: the number may then be in use for
// another connection. Only the error of a write shows that nbio has closed the connection.
func withDescriptor(polled *nbio.Conn, do func(fd int)) {
	if _, err := polled.Write(nil); err != nil {
		return
	}
	if raw, err := polled.SyscallConn(); err == nil {
		_ = raw.Control(func(fd uintptr) { do(int(fd)) })
	}
}

// tcpConnState is the state of a TCP connection (include/net/tcp_states.h).
type tcpConnState int

// In the states from tcpEstablished to tcpFinWait2 the peer has not closed; in the two FIN-WAIT states this side has. A
// connection that the peer has reset is in tcpClose.
const (
	tcpEstablished tcpConnState = 1
	tcpSynRecv     tcpConnState = 3
	tcpFinWait1    tcpConnState = 4
	tcpFinWait2    tcpConnState = 5
	tcpClose       tcpConnState = 7
)

const tcpStateMask = 0xff // the state is the first byte of TCP_INFO

// tcpStateOf returns the state of a socket, or tcpClose if it has none.
func tcpStateOf(fd int) tcpConnState {
	info, err := syscall.GetsockoptInt(fd, syscall.IPPROTO_TCP, syscall.TCP_INFO)
	if err != nil {
		return tcpClose
	}
	return tcpConnState(info & tcpStateMask)
}

// stateOf returns the state of a connection, or tcpClose if nbio has closed it.
func stateOf(polled *nbio.Conn) tcpConnState {
	state := tcpClose
	withDescriptor(polled, func(fd int) { state = tcpStateOf(fd) })
	return state
}

// peerHasClosed reports whether the peer has closed its sending side. Bytes sent before may still be unread.
func peerHasClosed(polled *nbio.Conn) bool {
	switch stateOf(polled) {
	case tcpEstablished, tcpSynRecv, tcpFinWait1, tcpFinWait2:
		return false
	}
	return true
}

// wasReset reports whether the peer has reset the connection, or this side has ended it. Bytes that the peer sent
// before may still be unread.
func (c *connection) wasReset() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.tail != nil:
		return c.tail.wasReset()
	case c.conn == nil:
		return false
	}
	return c.state == ended || stateOf(c.conn) == tcpClose
}

// removeFromEpoll removes a connection from nbio's epoll set. nbio relies on close(2), which removes a socket only with
// its last descriptor. While the tail writer holds another one, events would still arrive under the old number, and
// nbio would close the connection that uses that number now. nbio does not export its epoll descriptor, hence the
// reflection.
func removeFromEpoll(polled *nbio.Conn) {
	poller := reflect.ValueOf(polled).Elem().FieldByName("p")
	if !poller.IsValid() || poller.Kind() != reflect.Pointer {
		return
	}
	if epoll := poller.Elem().FieldByName("epfd"); epoll.IsValid() && epoll.CanInt() {
		withDescriptor(polled, func(fd int) {
			_ = syscall.EpollCtl(int(epoll.Int()), syscall.EPOLL_CTL_DEL, fd, nil)
		})
	}
}

// sinceLastData returns the time since the system received the latest bytes, or 0 if the system does not report it.
func (c *connection) sinceLastData() (d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn == nil || c.state == ended {
		return 0
	}
	raw, err := c.conn.SyscallConn()
	if err != nil {
		return 0
	}
	_ = raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		if err == nil {
			d = time.Duration(info.Last_data_recv) * time.Millisecond
		}
	})
	return d
}

// dupConn returns a standard-library connection on a duplicate of fd.
func dupConn(fd int) (net.Conn, error) {
	duplicate, err := syscall.Dup(fd)
	if err != nil {
		return nil, err
	}
	syscall.CloseOnExec(duplicate)
	f := os.NewFile(uintptr(duplicate), "client")
	defer func() { _ = f.Close() }() // the connection has a descriptor of its own
	return net.FileConn(f)
}

// newConn returns a standard-library connection on a duplicate of fd. On success it closes fd.
func newConn(fd int) (net.Conn, error) {
	conn, err := dupConn(fd)
	if err == nil {
		_ = syscall.Close(fd)
	}
	return conn, err
}

// acceptRaw accepts a connection without the standard library's per-connection work, since most rejected connections
// need only three system calls. With wait, it blocks until there is a connection.
//
// O_NONBLOCK is shared by all processes that hold a socket. A process that passes a listener to another one may make it
// blocking thereby (os/exec does). A thread of this process would then stay in accept4 until the next connection
// arrives, and delay the listener's closing. A shared listener is therefore set to non-blocking before each call.
func acceptRaw(listener syscall.RawConn, wait, shared bool) (fd int, from netip.Addr, err error) {
	closed := listener.Read(func(s uintptr) bool {
		if shared {
			_ = syscall.SetNonblock(int(s), true)
		}
		var addr syscall.Sockaddr
		fd, addr, err = accept4(int(s))
		from = ipOf(addr)
		return !wait || !errors.Is(err, syscall.EAGAIN)
	})
	if closed != nil {
		return 0, from, net.ErrClosed
	}
	return fd, from, err
}

// accept4 accepts a connection as a non-blocking socket and repeats the call if a signal interrupts it.
func accept4(listener int) (fd int, addr syscall.Sockaddr, err error) {
	for {
		fd, addr, err = syscall.Accept4(listener, syscall.SOCK_NONBLOCK|syscall.SOCK_CLOEXEC)
		if !errors.Is(err, syscall.EINTR) {
			return fd, addr, err
		}
	}
}

func ipOf(addr syscall.Sockaddr) netip.Addr {
	switch addr := addr.(type) {
	case *syscall.SockaddrInet4:
		return netip.AddrFrom4(addr.Addr)
	case *syscall.SockaddrInet6:
		return netip.AddrFrom16(addr.Addr).Unmap()
	}
	return netip.Addr{}
}

// isDescriptorExhaustion reports whether err means that the process or the machine has no descriptor left.
func isDescriptorExhaustion(err error) bool {
	return errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE)
}

const (
	defaultDescriptorLimit = 1024 // if the system does not report a limit
	maxDescriptorLimit     = 1 << 20
)

// systemDescriptorLimit returns the number of descriptors that the configuration (0 for no limit) and the system allow.
func systemDescriptorLimit(configured int) int64 {
	limit := int64(defaultDescriptorLimit)
	var r syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &r) == nil {
		limit = int64(min(r.Cur, maxDescriptorLimit))
	}
	if configured > 0 {
		limit = min(limit, int64(configured))
	}
	return limit
}
