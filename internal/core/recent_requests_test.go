package core

import (
	"fmt"
	"testing"
	"time"

	"oatloft/policy"
)

// Guards against a request that runs twice because its id comes again after its client has left: it is answered as
// failed if a server may have run it, and handled as usual if not.
func TestIDThatComesAgain(t *testing.T) {
	sent := func(b *testbed, d Dial) {
		b.step(AttemptConnected{1, d.Attempt})
		b.step(RequestSent{1, d.Attempt})
	}
	up := func(b *testbed, d Dial) {
		sent(b, d)
		b.step(AttemptAccepted{Client: 1, Attempt: d.Attempt})
	}
	leave := func(b *testbed) { b.step(ClientClosed{Client: 1, Reason: CloseReset}) }
	for name, c := range map[string]struct {
		first func(b *testbed, d Dial)
		runs  bool // the request with the same id is sent
	}{
		"left before it was sent": {func(b *testbed, _ Dial) { leave(b) }, true},
		"left while it was sent":  {func(b *testbed, d Dial) { b.step(AttemptConnected{1, d.Attempt}); leave(b) }, false},
		"left after it was sent":  {func(b *testbed, d Dial) { sent(b, d); leave(b) }, false},
		"left after UP":           {func(b *testbed, d Dial) { up(b, d); leave(b) }, false},
		"ended by the server":     {func(b *testbed, d Dial) { up(b, d); b.step(AttemptClosed{1, d.Attempt, CloseFinished}) }, false},
		"still open":              {up, false},
		"left, and 25 s went by":  {func(b *testbed, d Dial) { up(b, d); leave(b); b.advance(25 * time.Second) }, false},
		"left, and others came": {func(b *testbed, d Dial) {
			up(b, d)
			leave(b)
			for other := range Handle(2) {
				b.advance(recentRequestsAge)
				b.establish(10 + other)
				b.step(ClientClosed{Client: 10 + other, Reason: CloseReset})
			}
		}, true},
	} {
		t.Run(name, func(t *testing.T) {
			b := newTestbed(t, nil)
			c.first(b, single[Dial](b, b.request(1, 2*time.Second)))
			again := b.step(RequestReceived{
				Client:  2,
				Request: policy.Request{ID: "id1", Key: "k", Class: "chat", Timeout: 2 * time.Second},
			})
			dials, answers := effectsOf[Dial](again), effectsOf[Answer](again)
			if ran := len(dials) == 1 && len(answers) == 0; ran != c.runs {
				t.Fatalf("dials %v, answers %v", dials, answers)
			}
			if !c.runs && (len(answers) != 1 || answers[0].Rejected) {
				t.Fatalf("answers %v, want one failure", answers)
			}
		})
	}
}

// Guards against memory that grows with every new id.
func TestRecentRequestsAreBounded(t *testing.T) {
	var recent recentRequests
	for i := range 10 * maxRecentRequests {
		recent.add(fmt.Sprint(i), 0)
		if first := max(0, i-maxRecentRequests+1); !recent.has(fmt.Sprint(first)) || !recent.has(fmt.Sprint(i)) {
			t.Fatalf("after %d ids, one of the latest %d is forgotten", i, maxRecentRequests)
		}
	}
	if n := len(recent.current) + len(recent.earlier); n > 2*maxRecentRequests {
		t.Fatal(n, "ids are kept")
	}
}

// Guards against memory that grows with every closed request whose client had named a long time.
func TestTimersOfClosedRequestsAreDropped(t *testing.T) {
	b := newTestbed(t, nil)
	for i := range 50 {
		single[Dial](b, b.request(Handle(i+1), time.Hour))
		b.step(ClientClosed{Client: Handle(i + 1), Reason: CloseReset})
	}
	b.advance(2 * wheelSlots * TickInterval)
	n := 0
	for _, slot := range b.r.timers.slots {
		for _, timer := range slot {
			if timer.client > 0 {
				n++
			}
		}
	}
	if n > 0 {
		t.Fatal(n, "timers of closed requests are left")
	}
}

// Guards against a request that runs at both processes of an upgrade: it is answered as failed where the other process
// has sent it, and no other attempt begins.
func TestRequestSentByOtherProcess(t *testing.T) {
	b := newTestbed(t, nil)
	single[Dial](b, b.request(1, 2*time.Second))
	out := append(b.step(SentByOtherProcess{Client: 1}), b.advance(3*time.Second)...)
	answers := effectsOf[Answer](out)
	if len(answers) != 1 || answers[0].Rejected || len(effectsOf[Dial](out))+len(effectsOf[SendRequest](out)) > 0 {
		t.Fatalf("%v", out)
	}
	if b.r.Unanswered() != 0 || b.r.OpenRequests() != 0 {
		t.Fatal("the request is still open")
	}
}
