package core

import (
	"testing"
	"time"
)

// Terminals that say nothing once held their descriptors for ever. They are answered within the 3 s that are
// owed, and where descriptors run short at once, the oldest first; one that has just come keeps its chance.
func TestTerminalsThatSayNothing(t *testing.T) {
	b := newBed(t, nil)
	for h := Handle(1); h <= 5; h++ {
		b.do(ConnectionAccepted{h})
		b.pass(20 * time.Millisecond)
	}
	b.open(2, time.Second)
	b.do(ClientClosed{3, CloseReset})
	if e := find[Answer](b, b.do(DescriptorsScarce{Missing: 1})); e.Client != 1 || !e.Rejected {
		t.Fatal(e)
	}
	b.do(ConnectionAccepted{6})
	if got := all[Answer](b.do(DescriptorsScarce{Missing: 9})); len(got) != 2 || got[0].Client != 4 || got[1].Client != 5 {
		t.Fatalf("%+v", got)
	}
	if got := all[Answer](b.pass(1900 * time.Millisecond)); len(got) != 1 || got[0].Client != 2 {
		t.Fatalf("%+v", got)
	}
	if e := find[Answer](b, b.pass(400*time.Millisecond)); e.Client != 6 || e.Rejected {
		t.Fatal(e)
	}
	if len(b.r.idle.waiting)+len(b.r.idle.arrivals) > 0 {
		t.Fatal(b.r.idle.waiting, b.r.idle.arrivals)
	}
}
