package core

import (
	"fmt"
	"testing"
	"time"

	"oatloft/policy"
)

// When a server's machine is lost, its connections stay open without data: they are migrated within the 7 s that the
// platform's rules allow from the start of the silence. The silence may begin right after the server's last reply, 2 s
// before the next line goes unanswered. Connections with replies stay, and so do idle ones.
func TestMigrationFromSilentServer(t *testing.T) {
	b := newTestbed(t, nil)
	for h := Handle(1); h <= 3; h++ {
		b.establish(h)
	}
	line := Payload{Data: []byte("x\r\n"), Lines: 1}
	b.step(DataReceived{Client: 1, Payload: line})
	b.step(DataReceived{Client: 2, Payload: line})
	b.step(DataReceived{Client: 2, FromServer: true, Payload: Payload{HasLoad: true}}) // a load note is not a reply
	b.advance(time.Second)
	b.step(DataReceived{Client: 2, FromServer: true, Payload: line})
	b.step(DataReceived{Client: 1, Payload: line})
	if e := single[MigrateClient](b, b.advance(5*time.Second)); e.Client != 1 {
		t.Fatal(e)
	}
	b.step(DataReceived{Client: 2, Payload: line})
	b.step(DataReceived{Client: 2, FromServer: true, Payload: line})
	b.expectNone(withoutWatchEffects(b.advance(2 * time.Second)))
	b.step(DataReceived{Client: 2, Payload: line})
	if e := single[MigrateClient](b, b.advance(4*time.Second)); e.Client != 2 {
		t.Fatal(e)
	}
	b.establish(4)
	b.advance(30 * time.Second)
	b.step(DataReceived{Client: 4, Payload: line}) // after an idle time, the server has its full time to reply
	if migrated := effectsOf[MigrateClient](b.advance(2900 * time.Millisecond)); len(migrated) > 0 {
		t.Fatal(migrated)
	}
	b.step(DataReceived{Client: 4, FromServer: true, Payload: line})
	if b.r.OpenRequests() != 2 || b.r.Counters.MigratedFromSilent != 2 {
		t.Fatalf("%+v", b.r.Counters)
	}
}

// A server's message delay is reported once per second while it is long, and once more when it is short again.
func TestMessageDelayReports(t *testing.T) {
	b := newTestbed(t, nil)
	b.establish(1)
	for _, x := range []struct {
		delay   time.Duration
		reports int64
	}{{5, 0}, {40, 1}, {40, 1}, {999, 2}, {5, 3}, {5, 3}} {
		b.step(DataReceived{Client: 1, Payload: Payload{Lines: 1}})
		b.now += x.delay * time.Millisecond
		b.step(DataReceived{Client: 1, FromServer: true, Payload: Payload{Lines: 1}})
		if b.r.Counters.DelaysReported != x.reports {
			t.Fatalf("after %d ms: %d reports, want %d", x.delay, b.r.Counters.DelaysReported, x.reports)
		}
	}
}

// A single stalled connection must not make its server look slow (by up to 5 s) while other connections to it are
// answered at once: the module would migrate up to three quarters of them.
func TestStalledConnectionIsNotItsServer(t *testing.T) {
	b := newTestbed(t, nil)
	first := b.establish(1)
	h := Handle(2)
	for b.establish(h) != first {
		h++
	}
	line := Payload{Lines: 1}
	b.step(DataReceived{Client: 1, Payload: line})
	for range 20 {
		b.advance(100 * time.Millisecond)
		b.step(DataReceived{Client: h, Payload: line})
		b.step(DataReceived{Client: h, FromServer: true, Payload: line})
	}
	if n := b.r.Counters.DelaysReported; n > 1 {
		t.Fatal(n, "delays reported for a server that answers")
	}
	b.step(DataReceived{Client: h, Payload: line}) // now it answers no connection
	b.advance(500 * time.Millisecond)
	if n := b.r.Counters.DelaysReported; n < 1 {
		t.Fatal(n, "delays reported for a server that doesn't answer")
	}
}

// A server whose data is queued at this balancer counts as neither silent nor slow until its queue is empty.
func TestQueuedServerDataIsNotSilence(t *testing.T) {
	b := newTestbed(t, nil)
	b.establish(1)
	b.step(DataReceived{Client: 1, Payload: Payload{Data: []byte("line\r\n"), Lines: 1}})
	for range 1000 {
		b.step(ServerDataQueued{1})
		if migrated := effectsOf[MigrateClient](b.advance(2 * TickInterval)); len(migrated) > 0 {
			t.Fatal("migrated while its server's data was queued here")
		}
	}
	if b.r.Counters.DelaysReported > 0 {
		t.Errorf("%d delays reported", b.r.Counters.DelaysReported)
	}
	if migrated := effectsOf[MigrateClient](b.advance(6 * time.Second)); len(migrated) != 1 {
		t.Errorf("%d migrated once no data was queued", len(migrated))
	}
}

// A server whose probes time out while its established connections still receive replies isn't silent: no client is
// migrated.
func TestLateProbesAreNotSilence(t *testing.T) {
	for _, answers := range []bool{true, false} {
		b := newTestbed(t, func(c *Config) { c.Policy.ProbesEnabled = true })
		lateServer, timeouts := "", []time.Duration{}
		migrated := 0
		var handle func(effects []Effect)
		handle = func(effects []Effect) {
			for _, e := range effects {
				switch e := e.(type) {
				case Probe:
					if e.Server == lateServer {
						timeouts = append(timeouts, b.now+e.Timeout)
						continue
					}
					report := &policy.LoadReport{Load: 0.3, Utilization: -1, InFlight: 9, BacklogSeconds: -1}
					handle(b.step(ProbeFinished{Server: e.Server, Report: report}))
				case Dial:
					handle(b.step(AttemptConnected{e.Client, e.Attempt}))
					handle(b.step(AttemptAccepted{Client: e.Client, Attempt: e.Attempt, Payload: Payload{Data: []byte("UP\r\n")}}))
					lateServer = e.Server
				case MigrateClient:
					migrated++
				}
			}
		}
		handle(b.request(1, 2*time.Second))
		for i := range 600 {
			if i%20 == 0 && answers {
				handle(b.step(DataReceived{Client: 1, FromServer: true, Payload: Payload{Data: []byte("x\r\n"), Lines: 1}}))
			}
			handle(b.advance(TickInterval))
			if len(timeouts) > 0 && b.now >= timeouts[0] {
				timeouts = timeouts[1:]
				handle(b.step(ProbeFinished{Server: lateServer, Result: policy.ResultTimedOut}))
			}
			if i%100 == 0 { // new requests trigger probes
				handle(
					b.step(
						RequestReceived{
							Client:  Handle(10 + i),
							Request: policy.Request{ID: fmt.Sprint("n", i), Key: fmt.Sprint(i), Class: "chat", Timeout: time.Second},
						},
					),
				)
				handle(b.step(ClientClosed{Handle(10 + i), CloseReset}))
			}
		}
		if want := !answers; migrated > 0 != want {
			t.Errorf("answers %v: %d migrated", answers, migrated)
		}
	}
}
