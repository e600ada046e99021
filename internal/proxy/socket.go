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

// withDescriptor does something to a socket, unless nbio has closed it, which only a write tells: the descriptor's
// number may be another connection's by now.
func withDescriptor(polled *nbio.Conn, do func(fd int)) {
	if _, err := polled.Write(nil); err != nil {
		return
	}
	if raw, err := polled.SyscallConn(); err == nil {
		_ = raw.Control(func(fd uintptr) { do(int(fd)) })
	}
}

// States of a socket in which the other side has not closed (include/net/tcp_states.h). In the last two only this
// side has.
const (
	tcpEstablished = 1
	tcpSynRecv     = 3
	tcpFinWait1    = 4
	tcpFinWait2    = 5
	tcpStateMask   = 0xff // of what TCP_INFO begins with
)

// peerHasClosed tells whether the other side has ended, though bytes from before may still wait to be read.
func peerHasClosed(polled *nbio.Conn) bool {
	closed := true
	withDescriptor(polled, func(fd int) {
		state, err := syscall.GetsockoptInt(fd, syscall.IPPROTO_TCP, syscall.TCP_INFO)
		switch state & tcpStateMask {
		case tcpEstablished, tcpSynRecv, tcpFinWait1, tcpFinWait2:
			closed = err != nil
		}
	})
	return closed
}

// removeFromEpoll takes a connection out of nbio's epoll. nbio leaves that to close(2), which does it only for the
// last descriptor of a socket; while the tail writer has another, events would go on coming under the old number,
// and nbio would close whoever has got it since. The poller's descriptor is not exported.
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

// sinceLastData returns how long the latest bytes have waited to be read, by the system's own account; 0 where it
// does not tell.
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

// dupConn returns the standard library's connection of a copy of fd.
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

// newConn returns the standard library's connection of fd, which it closes if that has worked.
func newConn(fd int) (net.Conn, error) {
	conn, err := dupConn(fd)
	if err == nil {
		_ = syscall.Close(fd)
	}
	return conn, err
}

// acceptRaw accepts a connection without what the standard library does for each: most of those that are refused
// live for three system calls. It waits for one if told to.
//
// Whether a call to a socket blocks is a property that all processes share which hold it. Whoever hands a listener
// to the next process may make it block by that (os/exec does); this one's thread would then stay in accept4 until
// another connection comes, and hold up the listener's closing. So a shared listener is set not to block before
// each call.
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

// accept4 accepts a connection that does not block, and repeats the call if a signal interrupts it.
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

// noDescriptor tells whether an error says that the process or the machine has no descriptor left.
func noDescriptor(err error) bool {
	return errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE)
}

const (
	usualDescriptorLimit = 1024 // where the system does not tell
	maxDescriptorLimit   = 1 << 20
)

// systemDescriptorLimit returns how many descriptors there may be, by the configuration (0 for no limit) and by the
// system.
func systemDescriptorLimit(configured int) int64 {
	limit := int64(usualDescriptorLimit)
	var r syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &r) == nil {
		limit = int64(min(r.Cur, maxDescriptorLimit))
	}
	if configured > 0 {
		limit = min(limit, int64(configured))
	}
	return limit
}
