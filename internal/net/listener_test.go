package net

import (
	"errors"
	stdnet "net"
	"testing"
	"time"
)

// nbio asks a closed listener on and on: that once turned at full speed while the last answers were leaving.
func TestClosedListenerDoesNotSpin(t *testing.T) {
	s := start(t, "").server
	l := gate{Listener: closedListener{}, s: s}
	began := time.Now()
	if _, err := l.Accept(); !errors.Is(err, stdnet.ErrClosed) || time.Since(began) < closedWait {
		t.Fatal(err, time.Since(began))
	}
}

type closedListener struct{ stdnet.Listener }

func (closedListener) Accept() (stdnet.Conn, error) { return nil, stdnet.ErrClosed }
