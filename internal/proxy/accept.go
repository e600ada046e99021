package proxy

import (
	"errors"
	"net"
	"net/netip"
	"runtime"
	"syscall"
	"time"

	"github.com/lesismal/nbio"

	"oatloft/internal/admission"
)

const (
	// maxRejectionsPerBurst is the number of connections that the accepting goroutine rejects before it pauses.
	maxRejectionsPerBurst = 8
	// rejectionPause is the length of that pause, during which the runtime polls the network.
	rejectionPause = 50 * time.Microsecond
)

// accept returns the next admitted connection. Rejected connections are answered here, which costs a few system calls
// each. After each rejection the goroutine yields: on a single core a flood of connections would otherwise occupy the
// core for 10 ms at a time. Yielding alone is not enough: while any goroutine is runnable, the runtime polls the
// network (for completed dials, for example) only every 10 ms. The goroutine therefore also pauses after
// maxRejectionsPerBurst rejections.
func (a *admissionController) accept(listener syscall.RawConn) (net.Conn, error) {
	for {
		if a.rejectedInBurst >= maxRejectionsPerBurst {
			a.rejectedInBurst = 0
			a.timer.sleep(rejectionPause)
		}
		fd, from, err := acceptRaw(listener, true, a.shared)
		switch {
		case errors.Is(err, net.ErrClosed):
			return nil, err
		case isDescriptorExhaustion(err):
			a.rejectWithSpare(listener)
			continue
		case err != nil:
			time.Sleep(acceptRetry)
			continue
		}
		conn, verdict := a.admit(fd, from)
		if conn != nil {
			return conn, nil
		}
		a.rejectedInBurst++
		a.rejectAndLinger(fd, from, verdict)
		runtime.Gosched()
	}
}

// admit returns the connection of an accepted descriptor if admission allows it, or nil and the verdict.
func (a *admissionController) admit(fd int, from netip.Addr) (net.Conn, admission.Verdict) {
	a.mu.Lock()
	if a.lastTicket != 0 { // nbio failed to open the previous connection
		a.controller.Closed(a.now(), a.lastTicket)
	}
	var verdict admission.Verdict
	a.lastTicket, verdict = a.controller.Accept(a.now(), from)
	a.mu.Unlock()
	if !verdict.OK() {
		return nil, verdict
	}
	if conn := toPolledConn(fd); conn != nil {
		return conn, verdict
	}
	a.descriptorsExhausted(false)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.controller.Closed(a.now(), a.lastTicket)
	a.lastTicket = 0
	return nil, a.immediateRejection()
}

// immediateRejection returns the verdict for a connection that is closed right after its answer, because no descriptor
// is left for a lingering close. The caller holds mu.
func (a *admissionController) immediateRejection() admission.Verdict {
	verdict := a.controller.CountRefusal(a.now(), admission.Exhaustion)
	verdict.CloseAtOnce = true
	return verdict
}

// toPolledConn wraps a descriptor in an nbio connection, or returns nil if the second descriptor that this takes is not
// available.
func toPolledConn(fd int) net.Conn {
	conn, err := newConn(fd)
	if err != nil {
		return nil
	}
	polled, err := nbio.NBConn(conn)
	if err != nil {
		_ = conn.Close()
		return nil
	}
	return polled
}

// rejectWithSpare releases the spare descriptors to accept and reject a connection when the process has run out of
// descriptors.
func (a *admissionController) rejectWithSpare(listener syscall.RawConn) {
	a.descriptorsExhausted(true)
	fd, from, err := acceptRaw(listener, false, a.shared)
	if err == nil {
		a.mu.Lock()
		verdict := a.immediateRejection()
		a.mu.Unlock()
		a.rejectAndLinger(fd, from, verdict)
	} else {
		time.Sleep(descriptorRetryInterval)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.refillSpares()
}
