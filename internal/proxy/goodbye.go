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
	goodbyeTimeout  = 250 * time.Millisecond // for a refused client to read its answer and end
	maxGoodbyeBytes = 64 << 10               // that are read and dropped meanwhile
	goodbyeRead     = 4 << 10
	maxRejectLine   = 32
)

// sayGoodbye answers a refused connection and closes it. What has come is read first, and the other side's end is
// waited for a little: unread bytes, and what comes to a closed socket, would turn the answer into a reset. No more
// than MaxGoodbyes are waited for; the oldest gives up its place. For a curt verdict nobody is waited for.
func (a *admissionController) sayGoodbye(fd int, from netip.Addr, verdict admission.Verdict) {
	a.limitedLog.Say(time.Now(), slog.LevelInfo, verdict.Reason.String(), "refused",
		slog.Any("from", from), slog.Duration("after", verdict.After))
	if !discardReceived(fd) {
		_ = syscall.Close(fd)
		return
	}
	var line [maxRejectLine]byte
	_, _ = syscall.Write(fd, platform.AppendShort(line[:0], verdict.After)) // a new socket takes it at once
	if verdict.Curt || a.cfg.MaxGoodbyes == 0 {
		_ = syscall.Close(fd)
		return
	}
	_ = syscall.Shutdown(fd, syscall.SHUT_WR)
	conn, err := newConn(fd)
	if err != nil {
		_ = syscall.Close(fd)
		return
	}
	a.addGoodbye(conn)
	_ = conn.SetReadDeadline(time.Now().Add(goodbyeTimeout))
	go func() {
		_, _ = io.CopyN(io.Discard, conn, maxGoodbyeBytes)
		a.removeGoodbye(conn)
	}()
}

// discardReceived reads what has come already. It is false if the other side has reset the connection.
func discardReceived(fd int) bool {
	var buffer [goodbyeRead]byte
	for range maxGoodbyeBytes / len(buffer) {
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

func (a *admissionController) addGoodbye(conn net.Conn) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.goodbyes) >= a.cfg.MaxGoodbyes {
		_ = a.goodbyes[0].Close()
		a.goodbyes = slices.Delete(a.goodbyes, 0, 1)
	}
	a.goodbyes = append(a.goodbyes, conn)
}

func (a *admissionController) removeGoodbye(conn net.Conn) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if i := slices.Index(a.goodbyes, conn); i >= 0 {
		a.goodbyes = slices.Delete(a.goodbyes, i, i+1)
	}
	_ = conn.Close()
}

// hasGoodbyes tells whether a refused client may still have to read its answer.
func (a *admissionController) hasGoodbyes() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.goodbyes) > 0
}
