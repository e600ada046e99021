package core

import (
	"testing"
	"time"

	"oatloft/policy"
)

// A client that closed its sending direction while its first attempt was dialing has disconnected: the request isn't
// sent once the attempt is connected, and no further attempt begins. The client is still answered, once, since it may
// still be reading.
func TestNoRequestSentForDisconnectedClient(t *testing.T) {
	b := newTestbed(t, nil)
	d := single[Dial](b, b.request(1, 2*time.Second))
	b.step(ClientClosed{Client: 1, Reason: CloseEOF})
	out := b.advance(120 * time.Millisecond)
	out = append(out, b.step(AttemptConnected{1, d.Attempt})...)
	if n := len(effectsOf[SendRequest](out)); n != 0 {
		t.Fatalf("%d requests sent 120 ms after the client had disconnected", n)
	}
	out = append(out, b.advance(3*time.Second)...)
	if dials, answers := effectsOf[Dial](out), effectsOf[Answer](out); len(dials) != 0 ||
		len(answers) != 1 || !answers[0].Rejected {
		t.Fatal("further attempts:", dials, "answers:", answers)
	}
}

// No further attempt begins, whatever the result of the previous one.
func TestNoRetryForDisconnectedClient(t *testing.T) {
	for name, how := range map[string]CloseReason{
		"refused": CloseRefused, "rejected": CloseRejected, "failed": CloseFailed, "reset": CloseReset,
	} {
		b := newTestbed(t, nil)
		d := single[Dial](b, b.request(1, 2*time.Second))
		if how != CloseRefused {
			b.step(AttemptConnected{1, d.Attempt})
			b.step(RequestSent{1, d.Attempt})
		}
		b.step(ClientClosed{Client: 1, Reason: CloseEOF})
		out := b.advance(110 * time.Millisecond)
		out = append(out, b.step(AttemptClosed{1, d.Attempt, how})...)
		out = append(out, b.advance(3*time.Second)...)
		if dials, answers := effectsOf[Dial](out), effectsOf[Answer](out); len(dials) != 0 || len(answers) != 1 {
			t.Errorf("%s: further attempts %v, answers %v", name, dials, answers)
		}
	}
}

// A request that is queued for capacity is answered once its client has disconnected, and is not sent to any server
// when capacity becomes available.
func TestQueuedRequestOfDisconnectedClient(t *testing.T) {
	b := newTestbed(t, nil)
	b.listEndpoints(policy.ListFull, 8, policy.Draining, "r1", "r2")
	b.request(1, 2*time.Second)
	b.step(ClientClosed{Client: 1, Reason: CloseEOF})
	out := b.advance(110 * time.Millisecond)
	out = append(out, b.listEndpoints(policy.ListFull, 9, policy.Live, "r1", "r2")...)
	out = append(out, b.advance(3*time.Second)...)
	if dials, answers := effectsOf[Dial](out), effectsOf[Answer](out); len(dials) != 0 ||
		len(answers) != 1 || !answers[0].Rejected {
		t.Fatal("attempts:", dials, "answers:", answers)
	}
}

// A client that closes its sending direction after its request is served by an attempt that is pending already: it
// may still be waiting for the answer.
func TestHalfClosedClientServedByPendingAttempt(t *testing.T) {
	b := newTestbed(t, nil)
	d := single[Dial](b, b.request(1, 2*time.Second))
	b.step(ClientClosed{Client: 1, Reason: CloseEOF})
	b.advance(20 * time.Millisecond)
	single[SendRequest](b, b.step(AttemptConnected{1, d.Attempt}))
	b.step(RequestSent{1, d.Attempt})
	b.advance(400 * time.Millisecond)
	single[Forward](b, b.step(AttemptAccepted{Client: 1, Attempt: d.Attempt, Payload: Payload{Data: []byte("UP\r\n")}}))
}
