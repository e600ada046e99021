package proxy

import (
	"errors"
	"log/slog"
	"net"
	"testing"
	"time"

	"oatloft/internal/core"
)

// nbio keeps calling Accept on a closed listener. Without a pause the accept loop would spin while the last answers are
// being written.
func TestClosedListenerDoesNotSpin(t *testing.T) {
	b := startExchange(t, "").balancer
	l := clientListener{Listener: closedListener{}, balancer: b}
	began := time.Now()
	if _, err := l.Accept(); !errors.Is(err, net.ErrClosed) || time.Since(began) < closedListenerPause {
		t.Fatal(err, time.Since(began))
	}
}

type closedListener struct{ net.Listener }

func (closedListener) Accept() (net.Conn, error) { return nil, net.ErrClosed }

// Once the reducer has finished, no connection is accepted any more: a request admitted after that would be lost when
// the process exits.
func TestNoConnectionIsAcceptedAfterExit(t *testing.T) {
	b, err := New(startExchange(t, "").balancer.cfg, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	if err := b.Start(); err != nil {
		t.Fatal(err)
	}
	b.carryOut(core.Exit{})
	if c, err := net.DialTimeout("tcp", b.Addr(), time.Second); err == nil {
		_ = c.Close()
		t.Fatal("a connection was accepted after the reducer had finished")
	}
}
