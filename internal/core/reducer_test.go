package core

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"oatloft/policy"
)

// bed drives a reducer by hand: time passes only when a test lets it.
type bed struct {
	t   *testing.T
	r   *Reducer
	now time.Duration
}

// newBed has a module that needs no probes and is told of regions r1 and r2; patience is the caller's.
func newBed(t *testing.T, change func(*Config)) *bed {
	cfg := Config{ConnectTimeout: 250 * time.Millisecond, ProbeTimeout: 300 * time.Millisecond, PassThrough: true,
		Policy: policy.Config{Zone: "a", Balancers: 1, MaxAttempts: 3, TimerResolution: 5 * time.Millisecond,
			PollEndpointList: true, PollInterval: 10 * time.Second, Classes: []policy.Class{
				{Name: "chat", LatencyObjective: 800 * time.Millisecond, MessageLatencyObjective: 60 * time.Millisecond}}}}
	if change != nil {
		change(&cfg)
	}
	r, err := New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	b := &bed{t: t, r: r, now: time.Hour}
	b.list(policy.ListCached, 7, policy.Live, "r1", "r2")
	return b
}

func (b *bed) list(kind policy.ListKind, seq int64, state policy.ServerState, ids ...string) []Effect {
	l := EndpointsListed{Kind: kind, Version: seq}
	for _, id := range ids {
		l.Endpoints = append(
			l.Endpoints,
			Endpoint{Address: id + ":1", Server: policy.Server{ID: id, Zone: "a", Weight: 1, State: state}},
		)
	}
	return b.do(l)
}

func (b *bed) do(ev Event) []Effect { return b.r.Step(b.now, ev, nil) }

// pass lets time go by, in the host's ticks.
func (b *bed) pass(d time.Duration) (out []Effect) {
	for end := b.now + d; b.now < end; {
		b.now += TickInterval
		out = append(out, b.do(Tick{})...)
	}
	return out
}

func (b *bed) open(from Handle, d time.Duration) []Effect {
	return b.do(
		RequestReceived{
			Client:  from,
			Request: policy.Request{ID: fmt.Sprint("id", from), Key: "k", Class: "chat", Timeout: d},
		},
	)
}

// up opens a transaction and brings it up; it returns its region.
func (b *bed) up(from Handle) string {
	d := find[Dial](b, b.open(from, 2*time.Second))
	b.do(AttemptConnected{from, d.Attempt})
	b.do(RequestSent{from, d.Attempt})
	find[Forward](b, b.do(AttemptAccepted{Client: from, Attempt: d.Attempt, Payload: Payload{Data: []byte("UP\r\n")}}))
	return d.Server
}

// watch lets time pass until the module asks for the list.
func (b *bed) watch() Watch {
	for range 1000 {
		if w := all[Watch](b.pass(TickInterval)); len(w) > 0 {
			return w[0]
		}
	}
	b.t.Fatal("no watch")
	return Watch{}
}

func all[E Effect](effects []Effect) (found []E) {
	for _, e := range effects {
		if e, ok := e.(E); ok {
			found = append(found, e)
		}
	}
	return found
}

// find returns the one effect of its kind.
func find[E Effect](b *bed, effects []Effect) E {
	b.t.Helper()
	found := all[E](effects)
	if len(found) != 1 {
		b.t.Fatalf("%d of %T in %+v", len(found), *new(E), effects)
	}
	return found[0]
}

func (b *bed) none(effects []Effect) {
	b.t.Helper()
	effects = slices.DeleteFunc(effects, func(e Effect) bool { _, watch := e.(Watch); return watch })
	if len(effects) > 0 {
		b.t.Fatalf("unwanted: %+v", effects)
	}
}

// How a routed task ended decides whether it may have run. Each ending comes to a fresh one.
func TestOutcomes(t *testing.T) {
	for _, x := range []struct {
		name string
		end  func(b *bed, d Dial)
		of   func(c Counters) int64
	}{
		{"refused", func(b *bed, d Dial) {
			b.do(AttemptClosed{1, d.Attempt, CloseRefused})
		}, func(c Counters) int64 { return c.AttemptsUnreachable }},
		{"never up", func(b *bed, _ Dial) {
			b.pass(260 * time.Millisecond)
		}, func(c Counters) int64 { return c.AttemptsUnreachable }},
		{"broken before the line left", func(b *bed, d Dial) {
			b.do(AttemptConnected{1, d.Attempt})
			b.do(AttemptClosed{1, d.Attempt, CloseReset})
		}, func(c Counters) int64 { return c.AttemptsUnreachable }},
		{"broken after", func(b *bed, d Dial) {
			b.do(AttemptConnected{1, d.Attempt})
			b.do(RequestSent{1, d.Attempt})
			b.do(AttemptClosed{1, d.Attempt, CloseEOF})
		}, func(c Counters) int64 { return c.AttemptsReset }},
		{"turned away", func(b *bed, d Dial) {
			b.do(AttemptConnected{1, d.Attempt})
			b.do(RequestSent{1, d.Attempt})
			b.do(AttemptClosed{1, d.Attempt, CloseRejected})
		}, func(c Counters) int64 { return c.AttemptsRejected }},
		{"no answer", func(b *bed, d Dial) {
			b.do(AttemptConnected{1, d.Attempt})
			b.do(RequestSent{1, d.Attempt})
			b.pass(850 * time.Millisecond)
		}, func(c Counters) int64 { return c.AttemptsTimedOut }},
	} {
		t.Run(x.name, func(t *testing.T) {
			b := newBed(t, nil)
			d := find[Dial](b, b.open(1, 4*time.Second))
			x.end(b, d)
			if c := b.r.Counters; x.of(c) < 1 ||
				c.AttemptsUnreachable+c.AttemptsReset+c.AttemptsRejected+c.AttemptsTimedOut != x.of(c) {
				t.Fatalf("%+v", c)
			}
		})
	}
}

// One routed task at a time: the one before is dropped before the next is dialed, and news of the old
// one, which may still be on its way, changes nothing.
func TestOneTaskAtATime(t *testing.T) {
	b := newBed(t, nil)
	first := find[Dial](b, b.open(1, 4*time.Second))
	effects := b.pass(300 * time.Millisecond)
	next := find[Dial](b, effects)
	closed := slices.Index(effects, Effect(CloseAttempt{1, first.Attempt, "connect"}))
	if closed < 0 || closed > slices.Index(effects, Effect(next)) {
		t.Fatalf("%+v", effects)
	}
	b.none(b.do(AttemptConnected{1, first.Attempt}))
	b.none(b.do(AttemptClosed{1, first.Attempt, CloseReset}))
	b.none(b.do(AttemptAccepted{Client: 1, Attempt: first.Attempt}))
	find[SendRequest](b, b.do(AttemptConnected{1, next.Attempt}))
}

// Whatever happens, one final answer: here nothing does, and then an UP and a reset come too late.
func TestOneAnswerAtTheDeadline(t *testing.T) {
	b := newBed(t, nil)
	d := find[Dial](b, b.open(1, 400*time.Millisecond))
	b.do(AttemptConnected{1, d.Attempt})
	b.do(RequestSent{1, d.Attempt})
	find[Answer](b, b.pass(400*time.Millisecond))
	b.none(b.do(AttemptAccepted{Client: 1, Attempt: d.Attempt}))
	b.none(b.do(AttemptClosed{1, d.Attempt, CloseReset}))
	b.none(b.do(ClientClosed{1, CloseReset}))
	b.none(b.pass(time.Second))
	if b.r.Unanswered() != 0 || b.r.OpenRequests() != 0 {
		t.Fatal(b.r.Unanswered(), b.r.OpenRequests())
	}
}

// A terminal's reset racing UP: whichever comes first, the region's connection ends and nothing is owed.
func TestTerminalResetRacesUp(t *testing.T) {
	for _, upFirst := range []bool{true, false} {
		b := newBed(t, nil)
		d := find[Dial](b, b.open(1, time.Second))
		b.do(AttemptConnected{1, d.Attempt})
		b.do(RequestSent{1, d.Attempt})
		if upFirst {
			b.do(AttemptAccepted{Client: 1, Attempt: d.Attempt})
			find[CloseServer](b, b.do(ClientClosed{1, CloseReset}))
		} else {
			find[CloseAttempt](b, b.do(ClientClosed{1, CloseReset}))
			b.none(b.do(AttemptAccepted{Client: 1, Attempt: d.Attempt}))
		}
		if b.none(b.pass(2 * time.Second)); b.r.Unanswered() != 0 || b.r.OpenRequests() != 0 {
			t.Fatal(b.r.Unanswered(), b.r.OpenRequests())
		}
	}
}

// A region told draining while the dial was under way gets no line, even if the module chose it before.
func TestNothingSentToADrainingRegion(t *testing.T) {
	for _, state := range []policy.ServerState{policy.Draining, policy.Gone} {
		b := newBed(t, nil)
		d := find[Dial](b, b.open(1, 2*time.Second))
		b.list(policy.ListDelta, 8, state, d.Server)
		effects := b.do(AttemptConnected{1, d.Attempt})
		if len(all[SendRequest](effects)) > 0 || find[Dial](b, effects).Server == d.Server {
			t.Fatalf("%+v", effects)
		}
	}
}

func TestSilentWatch(t *testing.T) {
	b := newBed(t, nil)
	if w := b.watch(); w.Version != 7 {
		t.Fatal(w)
	}
	b.list(policy.ListDelta, 12, policy.Live, "r3")
	for range 5 {
		b.none(b.pass(2 * time.Second))
		b.do(WatchHeartbeat{})
	}
	find[StopWatch](b, b.pass(4400*time.Millisecond))
	if w := b.watch(); w.Version != 12 {
		t.Fatal(w)
	}
	// Neither does one that never answers hold up the next; the module's back-off sets the pace.
	if n := len(all[Watch](b.pass(20 * time.Second))); n < 2 || n > 10 {
		t.Fatal(n, "calls")
	}
}

// A call that is answered with nothing but an empty line stands: the module need not ask again.
func TestNothingChanged(t *testing.T) {
	b := newBed(t, nil)
	b.watch()
	for range 10 {
		b.do(WatchHeartbeat{})
		b.none(withoutWatch(b.pass(2 * time.Second)))
	}
	if b.r.Counters.Watches != 1 {
		t.Fatal(b.r.Counters.Watches, "calls")
	}
}

// A connection from before the run goes back, and is the module's from then on.
func TestAdopted(t *testing.T) {
	b := newBed(t, nil)
	ev := RequestReceived{
		Client:        1,
		EstablishedAt: "r2",
		Request:       policy.Request{ID: "x", Class: "chat", Timeout: 30 * time.Second},
	}
	d := find[Dial](b, b.do(ev))
	b.none(withoutWatch(b.pass(2 * time.Second))) // slow at the start of a run, when all come at once
	if find[SendRequest](b, b.do(AttemptConnected{1, d.Attempt})); d.Server != "r2" || d.Timeout < 20*time.Second {
		t.Fatal(d)
	}
	b.do(AttemptAccepted{Client: 1, Attempt: d.Attempt})
	if b.r.Counters.Adopted != 1 || b.r.Unanswered() != 0 {
		t.Fatalf("%+v", b.r.Counters)
	}
	if e := find[CloseClient](b, b.do(AttemptClosed{1, d.Attempt, CloseReset})); e.Reason != CloseReset {
		t.Fatal(e)
	}
}

// withoutWatch leaves out the effects on discovery.
func withoutWatch(effects []Effect) []Effect {
	return slices.DeleteFunc(effects, func(e Effect) bool {
		switch e.(type) {
		case Watch, StopWatch:
			return true
		}
		return false
	})
}

// A repeat of a keyed request counts as one only while its key is remembered: not when the decision was made in
// time and the connection came up late.
func TestNoRepeatOnceTheKeyIsForgotten(t *testing.T) {
	for late, sent := range map[time.Duration]int{20 * time.Millisecond: 1, 200 * time.Millisecond: 0} {
		b := newBed(t, func(c *Config) {
			c.Policy.Classes[0].Idempotency, c.Policy.Classes[0].KeyTTL = policy.IdempotentByKey, time.Second
		})
		d := find[Dial](b, b.open(1, 4*time.Second))
		find[SendRequest](b, b.do(AttemptConnected{1, d.Attempt}))
		b.do(RequestSent{1, d.Attempt})
		b.pass(700 * time.Millisecond) // the attempt's own time is 800 ms
		b.now += 200 * time.Millisecond
		d = find[Dial](b, b.do(AttemptClosed{1, d.Attempt, CloseReset}))
		b.now += late
		if n := len(all[SendRequest](b.do(AttemptConnected{1, d.Attempt}))); n != sent {
			t.Errorf("%v late: %d repeats", late, n)
		}
	}
}
