package proxy

import (
	"errors"
	"fmt"
	"net"
	"os"
	"strconv"
	"syscall"

	"oatloft/internal/hint"
)

const inheritedHint = "make the service manager pass the listening socket " +
	"and set PROXY_FD to its descriptor number"

// firstInheritedFD is the lowest descriptor number that is not a standard stream.
const firstInheritedFD = 3

// takeInherited takes over the listening socket that the platform keeps open for all processes of this balancer. Each
// process closes its copy and none shuts the socket down, so that connections in its queue are left to the next
// process. The error is *ListenFailed.
func takeInherited(fd, addr string) (net.Listener, error) {
	number, err := strconv.Atoi(fd)
	if err != nil || number < firstInheritedFD {
		return nil, &ListenFailed{
			hint.Annotated{Where: "PROXY_FD", What: fmt.Sprintf("%q is not a descriptor above 2", fd), Do: inheritedHint},
		}
	}
	want, err := net.ResolveTCPAddr("tcp", addr)
	if err != nil {
		return nil, &ListenFailed{hint.Annotated{Where: "listen", Cause: err, Do: "use the form host:port"}}
	}
	if err := checkListening(number); err != nil {
		return nil, err
	}
	f := os.NewFile(uintptr(number), "PROXY_FD")
	defer func() { _ = f.Close() }() // the listener has a descriptor of its own
	listener, err := net.FileListener(f)
	if err != nil {
		return nil, &ListenFailed{
			hint.Annotated{Where: "PROXY_FD", What: fmt.Sprintf("descriptor %d", number), Cause: err, Do: inheritedHint},
		}
	}
	if !listensOn(listener, want) {
		_ = listener.Close()
		return nil, &ListenFailed{
			hint.Annotated{
				Where: "PROXY_FD",
				What:  fmt.Sprintf("descriptor %d listens on %v, not on %s (listen)", number, listener.Addr(), addr),
				Do:    "set listen to the address of the passed socket",
			},
		}
	}
	return listener, nil
}

// checkListening checks that a descriptor is a listening socket.
func checkListening(fd int) error {
	listening, err := syscall.GetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_ACCEPTCONN)
	switch {
	case errors.Is(err, syscall.EBADF):
		return &ListenFailed{
			hint.Annotated{Where: "PROXY_FD", What: fmt.Sprintf("descriptor %d is not open", fd), Do: inheritedHint},
		}
	case err != nil:
		return &ListenFailed{
			hint.Annotated{Where: "PROXY_FD", What: fmt.Sprintf("descriptor %d is no socket", fd), Do: inheritedHint},
		}
	case listening == 0:
		return &ListenFailed{
			hint.Annotated{Where: "PROXY_FD", What: fmt.Sprintf("descriptor %d does not listen", fd), Do: inheritedHint},
		}
	}
	return nil
}

// listensOn reports whether a listener has the wanted address. An address without an IP stands for all interfaces.
func listensOn(listener net.Listener, want *net.TCPAddr) bool {
	actual, ok := listener.Addr().(*net.TCPAddr)
	if !ok || actual.Port != want.Port {
		return false
	}
	return actual.IP.Equal(want.IP) || actual.IP.IsUnspecified() && want.IP == nil
}
