package core

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"oatloft/policy"
)

// testbed drives a reducer. Its clock advances only when a test advances it.
type testbed struct {
	t   *testing.T
	r   *Reducer
	now time.Duration
}

// newTestbed returns a testbed with a module that needs no probes, and with the servers r1 and r2 listed.
func newTestbed(t *testing.T, configure func(*Config)) *testbed {
	cfg := Config{ConnectTimeout: 250 * time.Millisecond, ProbeTimeout: 300 * time.Millisecond, PassThrough: true,
		Policy: policy.Config{Zone: "a", Balancers: 1, MaxAttempts: 3, TimerResolution: 5 * time.Millisecond,
			PollEndpointList: true, PollInterval: 10 * time.Second, Classes: []policy.Class{
				{Name: "chat", LatencyObjective: 800 * time.Millisecond, MessageLatencyObjective: 60 * time.Millisecond}}}}
	if configure != nil {
		configure(&cfg)
	}
	r, err := New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	b := &testbed{t: t, r: r, now: time.Hour}
	b.listEndpoints(policy.ListCached, 7, policy.Live, "r1", "r2")
	return b
}

func (b *testbed) listEndpoints(kind policy.ListKind, seq int64, state policy.ServerState, ids ...string) []Effect {
	l := EndpointsListed{Kind: kind, Version: seq}
	for _, id := range ids {
		l.Endpoints = append(
			l.Endpoints,
			Endpoint{Address: id + ":1", Server: policy.Server{ID: id, Zone: "a", Weight: 1, State: state}},
		)
	}
	return b.step(l)
}

func (b *testbed) step(ev Event) []Effect { return b.r.Step(b.now, ev, nil) }

// advance lets time pass in steps of the host's tick interval.
func (b *testbed) advance(d time.Duration) (out []Effect) {
	for end := b.now + d; b.now < end; {
		b.now += TickInterval
		out = append(out, b.step(Tick{})...)
	}
	return out
}

func (b *testbed) request(from Handle, d time.Duration) []Effect {
	return b.step(
		RequestReceived{
			Client:  from,
			Request: policy.Request{ID: fmt.Sprint("id", from), Key: "k", Class: "chat", Timeout: d},
		},
	)
}

// establish sends a request, establishes its connection and returns its server.
func (b *testbed) establish(from Handle) string {
	d := single[Dial](b, b.request(from, 2*time.Second))
	b.step(AttemptConnected{from, d.Attempt})
	b.step(RequestSent{from, d.Attempt})
	single[Forward](b, b.step(AttemptAccepted{Client: from, Attempt: d.Attempt, Payload: Payload{Data: []byte("UP\r\n")}}))
	return d.Server
}

// awaitWatch advances the time until a watch begins.
func (b *testbed) awaitWatch() Watch {
	for range 1000 {
		if w := effectsOf[Watch](b.advance(TickInterval)); len(w) > 0 {
			return w[0]
		}
	}
	b.t.Fatal("no watch")
	return Watch{}
}

func effectsOf[E Effect](effects []Effect) (found []E) {
	for _, e := range effects {
		if e, ok := e.(E); ok {
			found = append(found, e)
		}
	}
	return found
}

// single returns the only effect of its type and fails if there is another number of them.
func single[E Effect](b *testbed, effects []Effect) E {
	b.t.Helper()
	found := effectsOf[E](effects)
	if len(found) != 1 {
		b.t.Fatalf("%d of %T in %+v", len(found), *new(E), effects)
	}
	return found[0]
}

func (b *testbed) expectNone(effects []Effect) {
	b.t.Helper()
	effects = slices.DeleteFunc(effects, func(e Effect) bool { _, watch := e.(Watch); return watch })
	if len(effects) > 0 {
		b.t.Fatalf("unexpected: %+v", effects)
	}
}

// The way in which an attempt ends determines the result under which it is counted.
func TestAttemptResults(t *testing.T) {
	for _, x := range []struct {
		name    string
		end     func(b *testbed, d Dial)
		counter func(c Counters) int64
	}{
		{"refused", func(b *testbed, d Dial) {
			b.step(AttemptClosed{1, d.Attempt, CloseRefused})
		}, func(c Counters) int64 { return c.AttemptsUnreachable }},
		{"connect timeout", func(b *testbed, _ Dial) {
			b.advance(260 * time.Millisecond)
		}, func(c Counters) int64 { return c.AttemptsUnreachable }},
		{"reset before the request was sent", func(b *testbed, d Dial) {
			b.step(AttemptConnected{1, d.Attempt})
			b.step(AttemptClosed{1, d.Attempt, CloseReset})
		}, func(c Counters) int64 { return c.AttemptsUnreachable }},
		{"closed after the request was sent", func(b *testbed, d Dial) {
			b.step(AttemptConnected{1, d.Attempt})
			b.step(RequestSent{1, d.Attempt})
			b.step(AttemptClosed{1, d.Attempt, CloseEOF})
		}, func(c Counters) int64 { return c.AttemptsReset }},
		{"rejected", func(b *testbed, d Dial) {
			b.step(AttemptConnected{1, d.Attempt})
			b.step(RequestSent{1, d.Attempt})
			b.step(AttemptClosed{1, d.Attempt, CloseRejected})
		}, func(c Counters) int64 { return c.AttemptsRejected }},
		{"no answer", func(b *testbed, d Dial) {
			b.step(AttemptConnected{1, d.Attempt})
			b.step(RequestSent{1, d.Attempt})
			b.advance(850 * time.Millisecond)
		}, func(c Counters) int64 { return c.AttemptsTimedOut }},
	} {
		t.Run(x.name, func(t *testing.T) {
			b := newTestbed(t, nil)
			d := single[Dial](b, b.request(1, 4*time.Second))
			x.end(b, d)
			if c := b.r.Counters; x.counter(c) < 1 ||
				c.AttemptsUnreachable+c.AttemptsReset+c.AttemptsRejected+c.AttemptsTimedOut != x.counter(c) {
				t.Fatalf("%+v", c)
			}
		})
	}
}

// One attempt at a time: the previous one is closed before the next is dialed, and late events of the previous one
// are ignored.
func TestOneAttemptAtATime(t *testing.T) {
	b := newTestbed(t, nil)
	first := single[Dial](b, b.request(1, 4*time.Second))
	effects := b.advance(300 * time.Millisecond)
	next := single[Dial](b, effects)
	closed := slices.Index(effects, Effect(CloseAttempt{1, first.Attempt, "connect"}))
	if closed < 0 || closed > slices.Index(effects, Effect(next)) {
		t.Fatalf("%+v", effects)
	}
	b.expectNone(b.step(AttemptConnected{1, first.Attempt}))
	b.expectNone(b.step(AttemptClosed{1, first.Attempt, CloseReset}))
	b.expectNone(b.step(AttemptAccepted{Client: 1, Attempt: first.Attempt}))
	single[SendRequest](b, b.step(AttemptConnected{1, next.Attempt}))
}

// A request gets exactly one final answer: here the server doesn't answer in time, and then UP and resets arrive late.
func TestOneAnswerAtDeadline(t *testing.T) {
	b := newTestbed(t, nil)
	d := single[Dial](b, b.request(1, 400*time.Millisecond))
	b.step(AttemptConnected{1, d.Attempt})
	b.step(RequestSent{1, d.Attempt})
	single[Answer](b, b.advance(400*time.Millisecond))
	b.expectNone(b.step(AttemptAccepted{Client: 1, Attempt: d.Attempt}))
	b.expectNone(b.step(AttemptClosed{1, d.Attempt, CloseReset}))
	b.expectNone(b.step(ClientClosed{1, CloseReset}))
	b.expectNone(b.advance(time.Second))
	if b.r.Unanswered() != 0 || b.r.OpenRequests() != 0 {
		t.Fatal(b.r.Unanswered(), b.r.OpenRequests())
	}
}

// A client's reset races UP: whichever comes first, the server's connection is closed and no answer is outstanding.
func TestClientResetRacesAcceptance(t *testing.T) {
	for _, acceptedFirst := range []bool{true, false} {
		b := newTestbed(t, nil)
		d := single[Dial](b, b.request(1, time.Second))
		b.step(AttemptConnected{1, d.Attempt})
		b.step(RequestSent{1, d.Attempt})
		if acceptedFirst {
			b.step(AttemptAccepted{Client: 1, Attempt: d.Attempt})
			single[CloseServer](b, b.step(ClientClosed{1, CloseReset}))
		} else {
			single[CloseAttempt](b, b.step(ClientClosed{1, CloseReset}))
			b.expectNone(b.step(AttemptAccepted{Client: 1, Attempt: d.Attempt}))
		}
		if b.expectNone(b.advance(2 * time.Second)); b.r.Unanswered() != 0 || b.r.OpenRequests() != 0 {
			t.Fatal(b.r.Unanswered(), b.r.OpenRequests())
		}
	}
}

// A server that is listed as draining or gone during the dial is not sent the request, although the module chose it
// before.
func TestNoRequestSentToDrainingServer(t *testing.T) {
	for _, state := range []policy.ServerState{policy.Draining, policy.Gone} {
		b := newTestbed(t, nil)
		d := single[Dial](b, b.request(1, 2*time.Second))
		b.listEndpoints(policy.ListDelta, 8, state, d.Server)
		effects := b.step(AttemptConnected{1, d.Attempt})
		if len(effectsOf[SendRequest](effects)) > 0 || single[Dial](b, effects).Server == d.Server {
			t.Fatalf("%+v", effects)
		}
	}
}

// A watch on which even the heartbeats have stopped is broken; the next one is requested from the latest version.
func TestSilentWatch(t *testing.T) {
	b := newTestbed(t, nil)
	if w := b.awaitWatch(); w.Version != 7 {
		t.Fatal(w)
	}
	b.listEndpoints(policy.ListDelta, 12, policy.Live, "r3")
	for range 5 {
		b.expectNone(b.advance(2 * time.Second))
		b.step(WatchHeartbeat{})
	}
	single[StopWatch](b, b.advance(4400*time.Millisecond))
	if w := b.awaitWatch(); w.Version != 12 {
		t.Fatal(w)
	}
	// A watch that is never answered doesn't block the next one; the module's backoff determines the interval.
	if n := len(effectsOf[Watch](b.advance(20 * time.Second))); n < 2 || n > 10 {
		t.Fatal(n, "watches")
	}
}

// A watch that is answered with a heartbeat only is established: the module begins no further one.
func TestHeartbeatAnswersWatch(t *testing.T) {
	b := newTestbed(t, nil)
	b.awaitWatch()
	for range 10 {
		b.step(WatchHeartbeat{})
		b.expectNone(withoutWatchEffects(b.advance(2 * time.Second)))
	}
	if b.r.Counters.Watches != 1 {
		t.Fatal(b.r.Counters.Watches, "watches")
	}
}

// A connection from before this process returns to its server, and the module knows it from then on.
func TestAdoptedConnection(t *testing.T) {
	b := newTestbed(t, nil)
	ev := RequestReceived{
		Client:            1,
		EstablishedServer: "r2",
		Request:           policy.Request{ID: "x", Class: "chat", Timeout: 30 * time.Second},
	}
	d := single[Dial](b, b.step(ev))
	b.expectNone(withoutWatchEffects(b.advance(2 * time.Second))) // all are dialed at once, so dials may be slow
	if single[SendRequest](b, b.step(AttemptConnected{1, d.Attempt})); d.Server != "r2" || d.Timeout < 20*time.Second {
		t.Fatal(d)
	}
	b.step(AttemptAccepted{Client: 1, Attempt: d.Attempt})
	if b.r.Counters.Adopted != 1 || b.r.Unanswered() != 0 {
		t.Fatalf("%+v", b.r.Counters)
	}
	if e := single[CloseClient](b, b.step(AttemptClosed{1, d.Attempt, CloseReset})); e.Reason != CloseReset {
		t.Fatal(e)
	}
}

// withoutWatchEffects returns the effects without those on discovery.
func withoutWatchEffects(effects []Effect) []Effect {
	return slices.DeleteFunc(effects, func(e Effect) bool {
		switch e.(type) {
		case Watch, StopWatch:
			return true
		}
		return false
	})
}

// Servers recognize a repeat of a request with an idempotency key only until the key expires: the repeat isn't sent
// if the retry was decided in time but its connection was established too late.
func TestNoRetryAfterKeyExpiry(t *testing.T) {
	for late, sent := range map[time.Duration]int{20 * time.Millisecond: 1, 200 * time.Millisecond: 0} {
		b := newTestbed(t, func(c *Config) {
			c.Policy.Classes[0].Idempotency, c.Policy.Classes[0].KeyTTL = policy.IdempotentByKey, time.Second
		})
		d := single[Dial](b, b.request(1, 4*time.Second))
		single[SendRequest](b, b.step(AttemptConnected{1, d.Attempt}))
		b.step(RequestSent{1, d.Attempt})
		b.advance(700 * time.Millisecond) // the attempt's timeout is 800 ms
		b.now += 200 * time.Millisecond
		d = single[Dial](b, b.step(AttemptClosed{1, d.Attempt, CloseReset}))
		b.now += late
		if n := len(effectsOf[SendRequest](b.step(AttemptConnected{1, d.Attempt}))); n != sent {
			t.Errorf("%v late: %d repeats", late, n)
		}
	}
}
