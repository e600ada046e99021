package proxy

import (
	"errors"
	"io"
	"log/slog"
	"net"
	"net/netip"
	"slices"
	"syscall"
	"time"

	"oatloft/internal/admission"
	"oatloft/internal/platform"
)

const (
	lingerTimeout  = 250 * time.Millisecond // for a rejected client to read its answer and close
	maxLingerBytes = 64 << 10               // bytes read and discarded meanwhile
	lingerReadSize = 4 << 10                // bytes per read
	maxRejectLine  = 32                     // bytes
)

// rejectAndLinger answers a rejected connection and closes it. Received bytes are read first, and the close is delayed
// until the client closes, for at most lingerTimeout: unread bytes, or bytes that arrive at a closed socket, would
// cause a reset that can destroy the answer. At most MaxLingering connections linger; a further one replaces the
// oldest. With the verdict CloseAtOnce the connection is closed without lingering.
func (a *admissionController) rejectAndLinger(fd int, from netip.Addr, verdict admission.Verdict) {
	a.limitedLog.Say(time.Now(), slog.LevelInfo, verdict.Reason.String(), "refused",
		slog.Any("from", from), slog.Duration("after", verdict.RetryAfter))
	if !discardReceived(fd) {
		_ = syscall.Close(fd)
		return
	}
	var line [maxRejectLine]byte
	// a new socket's send buffer has room for it
	_, _ = syscall.Write(fd, platform.AppendRejection(line[:0], verdict.RetryAfter))
	if verdict.CloseAtOnce || a.cfg.MaxLingering == 0 {
		_ = syscall.Close(fd)
		return
	}
	_ = syscall.Shutdown(fd, syscall.SHUT_WR)
	conn, err := newConn(fd)
	if err != nil {
		_ = syscall.Close(fd)
		return
	}
	a.addLingering(conn)
	_ = conn.SetReadDeadline(time.Now().Add(lingerTimeout))
	go func() {
		_, _ = io.CopyN(io.Discard, conn, maxLingerBytes)
		a.removeLingering(conn)
	}()
}

// discardReceived discards bytes already received. It reports false if the client has reset the connection.
func discardReceived(fd int) bool {
	var buffer [lingerReadSize]byte
	for range maxLingerBytes / len(buffer) {
		n, err := syscall.Read(fd, buffer[:])
		if errors.Is(err, syscall.ECONNRESET) {
			return false
		}
		if n <= 0 || err != nil {
			break
		}
	}
	return true
}

func (a *admissionController) addLingering(conn net.Conn) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.lingering) >= a.cfg.MaxLingering {
		_ = a.lingering[0].Close()
		a.lingering = slices.Delete(a.lingering, 0, 1)
	}
	a.lingering = append(a.lingering, conn)
}

func (a *admissionController) removeLingering(conn net.Conn) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if i := slices.Index(a.lingering, conn); i >= 0 {
		a.lingering = slices.Delete(a.lingering, i, i+1)
	}
	_ = conn.Close()
}

// hasLingering reports whether rejected connections are still in lingering close.
func (a *admissionController) hasLingering() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.lingering) > 0
}
