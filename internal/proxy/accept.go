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
	// maxRejections is how many connections are refused in one turn of the goroutine that accepts.
	maxRejections = 8
	// rejectionPause is the pause between two turns, in which the runtime polls the network.
	rejectionPause = 50 * time.Microsecond
)

// accept returns the next connection that is let in. The others get their answer here, at the price of some system
// calls. Between two of them other goroutines get their turn: with one core a flood would have it for 10 ms at a
// time. That is not enough, since as long as any goroutine can run, the runtime polls the network (the ends of
// dials, for one) every 10 ms only. So this goroutine pauses after some refusals, and a flood is accepted in turns.
func (a *admissionController) accept(listener syscall.RawConn) (net.Conn, error) {
	for {
		if a.rejectedInTurn >= maxRejections {
			a.rejectedInTurn = 0
			a.timer.sleep(rejectionPause)
		}
		fd, from, err := acceptRaw(listener, true, a.shared)
		switch {
		case errors.Is(err, net.ErrClosed):
			return nil, err
		case noDescriptor(err):
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
		a.rejectedInTurn++
		a.sayGoodbye(fd, from, verdict)
		runtime.Gosched()
	}
}

// admit asks whether a connection is let in, and returns it then.
func (a *admissionController) admit(fd int, from netip.Addr) (net.Conn, admission.Verdict) {
	a.mu.Lock()
	if a.lastTicket != 0 { // nbio could not open the connection before
		a.gate.Closed(a.now(), a.lastTicket)
	}
	var verdict admission.Verdict
	a.lastTicket, verdict = a.gate.Accept(a.now(), from)
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
	a.gate.Closed(a.now(), a.lastTicket)
	a.lastTicket = 0
	return nil, a.curtRefusal()
}

// curtRefusal is the verdict for a connection that there is no descriptor to wait with. With mu held.
func (a *admissionController) curtRefusal() admission.Verdict {
	verdict := a.gate.Refusal(a.now(), admission.Exhaustion)
	verdict.Curt = true
	return verdict
}

// toPolledConn returns nbio's connection of a descriptor, or nil if there is no other descriptor for it.
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

// rejectWithSpare answers a connection that the process has no descriptor for: the spare ones make room for it.
func (a *admissionController) rejectWithSpare(listener syscall.RawConn) {
	a.descriptorsExhausted(true)
	fd, from, err := acceptRaw(listener, false, a.shared)
	if err == nil {
		a.mu.Lock()
		verdict := a.curtRefusal()
		a.mu.Unlock()
		a.sayGoodbye(fd, from, verdict)
	} else {
		time.Sleep(exhaustedRetry)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.refillSpares()
}
