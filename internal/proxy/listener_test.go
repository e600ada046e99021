package proxy

import (
	"errors"
	"log/slog"
	"net"
	"oatloft/internal/core"
	"testing"
	"time"
)

// nbio asks a closed listener on and on: that once turned at full speed while the last answers were leaving.
func TestClosedListenerDoesNotSpin(t *testing.T) {
	s := start(t, "").server
	l := clientListener{Listener: closedListener{}, balancer: s}
	began := time.Now()
	if _, err := l.Accept(); !errors.Is(err, net.ErrClosed) || time.Since(began) < closedListenerPause {
		t.Fatal(err, time.Since(began))
	}
}

type closedListener struct{ net.Listener }

func (closedListener) Accept() (net.Conn, error) { return nil, net.ErrClosed }

// Once the reducer has closed its books, nobody more is taken in: a transaction that came then was lost with the process.
func TestNobodyComesInAfterTheEnd(t *testing.T) {
	s, err := New(start(t, "").server.cfg, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	if err := s.Start(); err != nil {
		t.Fatal(err)
	}
	s.carryOut(core.Exit{})
	if c, err := net.DialTimeout("tcp", s.Addr(), time.Second); err == nil {
		_ = c.Close()
		t.Fatal("taken in")
	}
}
