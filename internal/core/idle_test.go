package core

import (
	"testing"
	"time"
)

// Clients that send no request must not keep their descriptors for ever. They are answered within the required 3 s,
// or at once, oldest first, when descriptors run short; a client that has just connected is not closed for that.
func TestIdleClientsAreAnswered(t *testing.T) {
	b := newTestbed(t, nil)
	for h := Handle(1); h <= 5; h++ {
		b.step(ConnectionAccepted{h})
		b.advance(20 * time.Millisecond)
	}
	b.request(2, time.Second)
	b.step(ClientClosed{3, CloseReset})
	if e := single[Answer](b, b.step(DescriptorsScarce{Missing: 1})); e.Client != 1 || !e.Rejected {
		t.Fatal(e)
	}
	b.step(ConnectionAccepted{6})
	if got := effectsOf[Answer](b.step(DescriptorsScarce{Missing: 9})); len(got) != 2 ||
		got[0].Client != 4 || got[1].Client != 5 {
		t.Fatalf("%+v", got)
	}
	if got := effectsOf[Answer](b.advance(1900 * time.Millisecond)); len(got) != 1 || got[0].Client != 2 {
		t.Fatalf("%+v", got)
	}
	if e := single[Answer](b, b.advance(400*time.Millisecond)); e.Client != 6 || e.Rejected {
		t.Fatal(e)
	}
	if len(b.r.idle.waiting)+len(b.r.idle.arrivals) > 0 {
		t.Fatal(b.r.idle.waiting, b.r.idle.arrivals)
	}
}
