package core

import (
	"fmt"
	"testing"
	"time"

	"oatloft/policy"
)

// A machine that vanished keeps its connections open and says nothing: they are moved before the rule's
// 7 s, which count from when it fell silent. That can be right behind its last reply, two seconds before the
// next line goes unanswered. One that answers stays, and so does an idle one.
func TestSilentRegionIsLeft(t *testing.T) {
	b := newBed(t, nil)
	for h := Handle(1); h <= 3; h++ {
		b.up(h)
	}
	line := Payload{Data: []byte("x\r\n"), Lines: 1}
	b.do(DataReceived{Client: 1, Payload: line})
	b.do(DataReceived{Client: 2, Payload: line})
	b.do(DataReceived{Client: 2, FromServer: true, Payload: Payload{HasLoad: true}}) // a note is no reply
	b.pass(time.Second)
	b.do(DataReceived{Client: 2, FromServer: true, Payload: line})
	b.do(DataReceived{Client: 1, Payload: line})
	if e := find[MigrateClient](b, b.pass(5*time.Second)); e.Client != 1 {
		t.Fatal(e)
	}
	b.do(DataReceived{Client: 2, Payload: line})
	b.do(DataReceived{Client: 2, FromServer: true, Payload: line})
	b.none(withoutWatch(b.pass(2 * time.Second)))
	b.do(DataReceived{Client: 2, Payload: line})
	if e := find[MigrateClient](b, b.pass(4*time.Second)); e.Client != 2 {
		t.Fatal(e)
	}
	b.up(4)
	b.pass(30 * time.Second)
	b.do(DataReceived{Client: 4, Payload: line}) // one that was idle has its time
	if moved := all[MigrateClient](b.pass(2900 * time.Millisecond)); len(moved) > 0 {
		t.Fatal(moved)
	}
	b.do(DataReceived{Client: 4, FromServer: true, Payload: line})
	if b.r.OpenRequests() != 2 || b.r.Counters.MigratedOffSilent != 2 {
		t.Fatalf("%+v", b.r.Counters)
	}
}

// Message delay is told as note 2 is: once a second while it is long, once more when it is short again.
func TestDelayIsLearnt(t *testing.T) {
	b := newBed(t, nil)
	b.up(1)
	for _, x := range []struct {
		took time.Duration
		told int64
	}{{5, 0}, {40, 1}, {40, 1}, {999, 2}, {5, 3}, {5, 3}} {
		b.do(DataReceived{Client: 1, Payload: Payload{Lines: 1}})
		b.now += x.took * time.Millisecond
		b.do(DataReceived{Client: 1, FromServer: true, Payload: Payload{Lines: 1}})
		if b.r.Counters.DelaysReported != x.told {
			t.Fatalf("after %d ms told %d times, not %d", x.took, b.r.Counters.DelaysReported, x.told)
		}
	}
}

// Day silent: one connection that had stopped made its region look late by up to 5 s, though its neighbours
// were answered at once, and the module sent up to three quarters of them away.
func TestOneStoppedConnectionIsNotItsRegion(t *testing.T) {
	b := newBed(t, nil)
	first := b.up(1)
	h := Handle(2)
	for b.up(h) != first {
		h++
	}
	line := Payload{Lines: 1}
	b.do(DataReceived{Client: 1, Payload: line})
	for range 20 {
		b.pass(100 * time.Millisecond)
		b.do(DataReceived{Client: h, Payload: line})
		b.do(DataReceived{Client: h, FromServer: true, Payload: line})
	}
	if n := b.r.Counters.DelaysReported; n > 1 {
		t.Fatal(n, "delays told of a region that answers")
	}
	b.do(DataReceived{Client: h, Payload: line}) // now it answers nobody
	b.pass(500 * time.Millisecond)
	if n := b.r.Counters.DelaysReported; n < 1 {
		t.Fatal(n, "delays told of a region that doesn't answer")
	}
}

// A watch on which even the empty lines have stopped is broken; the next call asks from the last version.
// A region whose bytes wait at this balancer is neither silent nor slow, and both again once they don't.
func TestHeldBackRegionIsNotLeft(t *testing.T) {
	b := newBed(t, nil)
	b.up(1)
	b.do(DataReceived{Client: 1, Payload: Payload{Data: []byte("line\r\n"), Lines: 1}})
	for range 1000 {
		b.do(ServerDataQueued{1})
		if moved := all[MigrateClient](b.pass(2 * TickInterval)); len(moved) > 0 {
			t.Fatal("moved while its region's bytes were held back")
		}
	}
	if b.r.Counters.DelaysReported > 0 {
		t.Errorf("told for slow %d times", b.r.Counters.DelaysReported)
	}
	if moved := all[MigrateClient](b.pass(6 * time.Second)); len(moved) != 1 {
		t.Errorf("%d moved once nothing was held back", len(moved))
	}
}

// A region whose probes come up late while its open connections answer is no silent one: nobody is led away.
func TestLateProbesAreNoSilence(t *testing.T) {
	for _, answers := range []bool{true, false} {
		b := newBed(t, func(c *Config) { c.Policy.ProbesEnabled = true })
		late, due := "", []time.Duration{}
		moved := 0
		var act func(effects []Effect)
		act = func(effects []Effect) {
			for _, e := range effects {
				switch e := e.(type) {
				case Probe:
					if e.Server == late {
						due = append(due, b.now+e.Timeout)
						continue
					}
					report := &policy.LoadReport{Load: 0.3, Utilization: -1, InFlight: 9, BacklogSeconds: -1}
					act(b.do(ProbeFinished{Server: e.Server, Report: report}))
				case Dial:
					act(b.do(AttemptConnected{e.Client, e.Attempt}))
					act(b.do(AttemptAccepted{Client: e.Client, Attempt: e.Attempt, Payload: Payload{Data: []byte("UP\r\n")}}))
					late = e.Server
				case MigrateClient:
					moved++
				}
			}
		}
		act(b.open(1, 2*time.Second))
		for i := range 600 {
			if i%20 == 0 && answers {
				act(b.do(DataReceived{Client: 1, FromServer: true, Payload: Payload{Data: []byte("x\r\n"), Lines: 1}}))
			}
			act(b.pass(TickInterval))
			if len(due) > 0 && b.now >= due[0] {
				due = due[1:]
				act(b.do(ProbeFinished{Server: late, Result: policy.ResultTimedOut}))
			}
			if i%100 == 0 { // newcomers have it read
				act(
					b.do(
						RequestReceived{
							Client:  Handle(10 + i),
							Request: policy.Request{ID: fmt.Sprint("n", i), Key: fmt.Sprint(i), Class: "chat", Timeout: time.Second},
						},
					),
				)
				act(b.do(ClientClosed{Handle(10 + i), CloseReset}))
			}
		}
		if want := !answers; moved > 0 != want {
			t.Errorf("answers %v: %d moved", answers, moved)
		}
	}
}
