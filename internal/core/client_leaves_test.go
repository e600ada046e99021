package core

import (
	"testing"
	"time"

	"oatloft/policy"
)

// A client that ended its sending while its first connection came up has left: the line isn't sent once the
// connection is up, and no further attempt begins. It is still answered, once, since it may read on.
func TestNoLineIsSentForAClientThatLeft(t *testing.T) {
	b := newBed(t, nil)
	d := find[Dial](b, b.open(1, 2*time.Second))
	b.do(ClientClosed{Client: 1, Reason: CloseEOF})
	out := b.pass(120 * time.Millisecond)
	out = append(out, b.do(AttemptConnected{1, d.Attempt})...)
	if n := len(all[SendRequest](out)); n != 0 {
		t.Fatalf("%d lines sent 120 ms after the client had left", n)
	}
	out = append(out, b.pass(3*time.Second)...)
	if dials, answers := all[Dial](out), all[Answer](out); len(dials) != 0 || len(answers) != 1 || !answers[0].Rejected {
		t.Fatal("further attempts:", dials, "answers:", answers)
	}
}

// A further attempt doesn't begin either, whatever ended the one before.
func TestNoFurtherAttemptForAClientThatLeft(t *testing.T) {
	for name, how := range map[string]CloseReason{
		"refused": CloseRefused, "rejected": CloseRejected, "failed": CloseFailed, "reset": CloseReset,
	} {
		b := newBed(t, nil)
		d := find[Dial](b, b.open(1, 2*time.Second))
		if how != CloseRefused {
			b.do(AttemptConnected{1, d.Attempt})
			b.do(RequestSent{1, d.Attempt})
		}
		b.do(ClientClosed{Client: 1, Reason: CloseEOF})
		out := b.pass(110 * time.Millisecond)
		out = append(out, b.do(AttemptClosed{1, d.Attempt, how})...)
		out = append(out, b.pass(3*time.Second)...)
		if dials, answers := all[Dial](out), all[Answer](out); len(dials) != 0 || len(answers) != 1 {
			t.Errorf("%s: further attempts %v, answers %v", name, dials, answers)
		}
	}
}

// A request that waits for room, whose client has left, is answered and sent nowhere when room comes.
func TestAWaitingRequestEndsWithItsClient(t *testing.T) {
	b := newBed(t, nil)
	b.list(policy.ListFull, 8, policy.Draining, "r1", "r2")
	b.open(1, 2*time.Second)
	b.do(ClientClosed{Client: 1, Reason: CloseEOF})
	out := b.pass(110 * time.Millisecond)
	out = append(out, b.list(policy.ListFull, 9, policy.Live, "r1", "r2")...)
	out = append(out, b.pass(3*time.Second)...)
	if dials, answers := all[Dial](out), all[Answer](out); len(dials) != 0 || len(answers) != 1 || !answers[0].Rejected {
		t.Fatal("attempts:", dials, "answers:", answers)
	}
}

// A client that closes its sending behind its line and waits is served where an attempt is out: it may have left,
// or not.
func TestAHalfClosedClientIsServedByTheAttemptThatIsOut(t *testing.T) {
	b := newBed(t, nil)
	d := find[Dial](b, b.open(1, 2*time.Second))
	b.do(ClientClosed{Client: 1, Reason: CloseEOF})
	b.pass(20 * time.Millisecond)
	find[SendRequest](b, b.do(AttemptConnected{1, d.Attempt}))
	b.do(RequestSent{1, d.Attempt})
	b.pass(400 * time.Millisecond)
	find[Forward](b, b.do(AttemptAccepted{Client: 1, Attempt: d.Attempt, Payload: Payload{Data: []byte("UP\r\n")}}))
}
