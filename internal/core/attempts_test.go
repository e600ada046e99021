package core

import (
	"fmt"
	"testing"
	"time"

	"oatloft/policy"
)

// attemptTracker counts the effects of one request: the attempts dialed and pending, the requests sent, and the final
// answers.
type attemptTracker struct {
	t                                     *testing.T
	dials, requestsSent, answers, pending int
	latestDial                            Dial
}

func (f *attemptTracker) track(effects []Effect) {
	f.t.Helper()
	for _, e := range effects {
		switch e := e.(type) {
		case Dial:
			if f.pending > 0 {
				f.t.Fatalf("attempt %d is dialed while the previous one is pending: %+v", e.Attempt, effects)
			}
			f.pending++
			f.dials++
			f.latestDial = e
		case CloseAttempt:
			f.pending--
		case SendRequest:
			if e.TimeLeft < time.Millisecond {
				f.t.Fatalf("a request is sent with %v left", e.TimeLeft)
			}
			f.requestsSent++
		case Answer, Forward:
			f.answers++
		}
	}
}

// newAttemptTestbed returns a testbed with four servers and one class with the given idempotency.
func newAttemptTestbed(
	t *testing.T, idempotency policy.Idempotency, keyTTL time.Duration, configure func(*Config),
) *testbed {
	b := newTestbed(t, func(c *Config) {
		c.Policy.Classes[0].Idempotency, c.Policy.Classes[0].KeyTTL = idempotency, keyTTL
		if configure != nil {
			configure(c)
		}
	})
	b.listEndpoints(policy.ListFull, 8, policy.Live, "r1", "r2", "r3", "r4")
	return b
}

// If an attempt connects after its timeout but before the timer fires, the request isn't sent: it would tell the
// server that the client has no time left. Whichever event is handled first, the client gets one answer.
func TestNoRequestSentAfterTimeout(t *testing.T) {
	for _, x := range []struct {
		name     string
		timeout  time.Duration
		at       time.Duration // when the attempt connects
		wantSent bool
	}{
		{"long before the deadline", 300 * time.Millisecond, 200 * time.Millisecond, true},
		{"one millisecond before the deadline", 300 * time.Millisecond, 284 * time.Millisecond, true},
		{"half a millisecond before the deadline", 300 * time.Millisecond, 284500 * time.Microsecond, false},
		{"at the deadline", 300 * time.Millisecond, 285 * time.Millisecond, false},
		{"after the deadline", 300 * time.Millisecond, 289 * time.Millisecond, false},
		{"before the attempt's timeout", 9 * time.Second, 799 * time.Millisecond, true},
		{"at the attempt's timeout", 9 * time.Second, 800 * time.Millisecond, false},
		{"after the attempt's timeout", 9 * time.Second, 804 * time.Millisecond, false},
		{"long after both, if the process was suspended", 900 * time.Millisecond, 3 * time.Second, false},
	} {
		for _, tickFirst := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, tick first %v", x.name, tickFirst), func(t *testing.T) {
				b := newAttemptTestbed(t, policy.Idempotent, 0, func(c *Config) { c.ConnectTimeout = 5 * time.Second })
				f := &attemptTracker{t: t}
				f.track(b.request(1, x.timeout))
				first := f.latestDial
				b.now += x.at
				if tickFirst {
					f.track(b.step(Tick{}))
				}
				out := b.step(AttemptConnected{1, first.Attempt})
				f.track(out)
				if sent := len(effectsOf[SendRequest](out)) == 1; sent != x.wantSent {
					t.Fatalf("request sent: %v, want %v: %+v", sent, x.wantSent, out)
				}
				f.track(b.advance(10 * time.Second))
				if f.answers != 1 || f.pending != 0 || b.r.Unanswered() != 0 || b.r.OpenRequests() != 0 {
					t.Fatalf("%d answers, %d attempts pending, %d unanswered", f.answers, f.pending, b.r.Unanswered())
				}
			})
		}
	}
}

// The module may choose a server in the step in which the request's deadline passes: the attempt isn't dialed.
func TestNoAttemptAfterDeadline(t *testing.T) {
	b := newTestbed(t, nil)
	b.listEndpoints(policy.ListFull, 8, policy.Draining, "r1", "r2")
	b.request(1, 2*time.Second)
	q := b.r.requests.byClient[1]
	b.r.now = q.deadline - time.Microsecond
	b.r.sendAttempt(policy.Send{ID: q.ID, Server: "r1"})
	if dials := effectsOf[Dial](b.r.effects); len(dials) > 0 || b.r.Counters.AttemptsNotSent != 1 {
		t.Fatalf("%+v, %+v", dials, b.r.Counters)
	}
}

// attemptEnd is one way for an attempt to end.
type attemptEnd struct {
	name       string
	end        func(b *testbed, d Dial) []Effect
	mayHaveRun bool
}

func attemptEnds() []attemptEnd {
	closed := func(reason CloseReason) func(b *testbed, d Dial) []Effect {
		return func(b *testbed, d Dial) []Effect { return b.step(AttemptClosed{1, d.Attempt, reason}) }
	}
	connected := func(b *testbed, d Dial) []Effect { return b.step(AttemptConnected{1, d.Attempt}) }
	sent := func(b *testbed, d Dial) []Effect {
		return append(connected(b, d), b.step(RequestSent{1, d.Attempt})...)
	}
	closedConnected := func(reason CloseReason) func(b *testbed, d Dial) []Effect {
		return func(b *testbed, d Dial) []Effect { return append(connected(b, d), closed(reason)(b, d)...) }
	}
	closedSent := func(reason CloseReason) func(b *testbed, d Dial) []Effect {
		return func(b *testbed, d Dial) []Effect {
			out := append(sent(b, d), b.advance(TickInterval)...) // so that the shortest key TTL has passed
			return append(out, closed(reason)(b, d)...)
		}
	}
	waited := func(d time.Duration) func(b *testbed, _ Dial) []Effect {
		return func(b *testbed, _ Dial) []Effect { return b.advance(d) }
	}
	return []attemptEnd{
		{"refused", closed(CloseRefused), false},
		{"connect timeout", waited(250 * time.Millisecond), false},
		{"reset during the dial", closed(CloseReset), false},
		{"reset before the request's last byte", closedConnected(CloseReset), false},
		{"closed before the request's last byte", closedConnected(CloseEOF), false},
		{"rejected", closedSent(CloseRejected), false},
		{"reset after the request", closedSent(CloseReset), true},
		{"closed after the request", closedSent(CloseEOF), true},
		{"failed", closedSent(CloseFailed), true},
		{"finished before it was accepted", closedSent(CloseFinished), true},
		{"migrated", closedSent(CloseMigrated), true},
		{"no answer", func(b *testbed, d Dial) []Effect {
			return append(sent(b, d), waited(805*time.Millisecond)(b, d)...)
		}, true},
	}
}

// For every way in which an attempt may end and each kind of class: a request that may have run is repeated only if
// that is safe, the limit on attempts is kept, no two attempts are pending at once, and the client gets one answer.
func TestRetriesByResult(t *testing.T) {
	for _, class := range []struct {
		name        string
		idempotency policy.Idempotency
		keyTTL      time.Duration
		wantRetry   bool // repeated although it may have run
	}{
		{"idempotent", policy.Idempotent, 0, true},
		{"by key", policy.IdempotentByKey, time.Minute, true},
		{"by key, key expired at once", policy.IdempotentByKey, time.Nanosecond, false},
		{"not idempotent", policy.NotIdempotent, 0, false},
	} {
		for _, x := range attemptEnds() {
			t.Run(x.name+", "+class.name, func(t *testing.T) {
				want := 3
				if x.mayHaveRun && !class.wantRetry {
					want = 1
				}
				b := newAttemptTestbed(t, class.idempotency, class.keyTTL, nil)
				f := &attemptTracker{t: t}
				f.runUntilAnswered(b, x)
				if f.dials != want || f.answers != 1 || f.pending != 0 || b.r.Unanswered() != 0 {
					t.Fatalf(
						"%d attempts, want %d; %d answers, %d pending, %d unanswered",
						f.dials, want, f.answers, f.pending, b.r.Unanswered(),
					)
				}
			})
		}
	}
}

// runUntilAnswered lets each attempt of a request end in the same way until the request is answered.
func (f *attemptTracker) runUntilAnswered(b *testbed, x attemptEnd) {
	f.track(b.request(1, 30*time.Second))
	for ended := 0; f.answers == 0 && ended < 9; ended++ {
		for waited := 0; f.pending == 0 && f.answers == 0 && waited < 6000; waited++ {
			f.track(b.advance(TickInterval))
		}
		if f.pending == 0 || f.answers > 0 {
			break
		}
		f.track(x.end(b, f.latestDial))
	}
	f.track(b.advance(31 * time.Second))
}

// If the idempotency key expires while the next attempt is dialing, the request isn't sent; just before, it is.
func TestKeyExpiryDuringDial(t *testing.T) {
	const keyTTL = 300 * time.Millisecond
	for _, x := range []struct {
		at       time.Duration // since the first request was sent
		wantSent bool
	}{{keyTTL - time.Millisecond, true}, {keyTTL, true}, {keyTTL + time.Millisecond, false}} {
		b := newAttemptTestbed(t, policy.IdempotentByKey, keyTTL, nil)
		f := &attemptTracker{t: t}
		f.track(b.request(1, 20*time.Second))
		first := f.latestDial
		f.track(b.step(AttemptConnected{1, first.Attempt}))
		sentAt := b.now
		f.track(b.step(RequestSent{1, first.Attempt}))
		f.track(b.advance(200 * time.Millisecond))
		f.track(b.step(AttemptClosed{1, first.Attempt, CloseReset}))
		for f.dials < 2 && b.now < sentAt+keyTTL-10*time.Millisecond {
			f.track(b.advance(TickInterval))
		}
		if f.dials != 2 {
			t.Fatalf("%d attempts", f.dials)
		}
		b.now = sentAt + x.at
		f.track(b.step(AttemptConnected{1, f.latestDial.Attempt}))
		if sent := f.requestsSent == 2; sent != x.wantSent {
			t.Errorf("%v after the first request the repeat is sent: %v, want %v", x.at, sent, x.wantSent)
		}
		f.track(b.advance(30 * time.Second))
		if f.answers != 1 || f.pending != 0 || !x.wantSent && f.requestsSent != 1 {
			t.Errorf("%v: %d answers, %d attempts pending, %d requests sent", x.at, f.answers, f.pending, f.requestsSent)
		}
	}
}

// UP and the deadline arrive at the same time: whichever is handled first determines the only answer.
func TestAcceptanceRacesDeadline(t *testing.T) {
	for _, acceptedFirst := range []bool{true, false} {
		b := newAttemptTestbed(t, policy.Idempotent, 0, nil)
		f := &attemptTracker{t: t}
		f.track(b.request(1, 500*time.Millisecond))
		f.track(b.step(AttemptConnected{1, 0}))
		f.track(b.step(RequestSent{1, 0}))
		b.now += 490 * time.Millisecond
		accepted := AttemptAccepted{Client: 1, Payload: Payload{Data: []byte("UP x\r\n")}}
		if acceptedFirst {
			single[Forward](b, b.step(accepted))
			b.expectNone(b.step(Tick{}))
			b.expectNone(b.advance(time.Second))
			continue
		}
		out := b.step(Tick{})
		single[Answer](b, out)
		single[CloseAttempt](b, out)
		b.expectNone(b.step(accepted))
		b.expectNone(b.advance(time.Second))
	}
}

// UP from an abandoned attempt is ignored, also while the next attempt is dialing or its request has been sent.
func TestAcceptanceOfAbandonedAttempt(t *testing.T) {
	for _, nextSent := range []bool{false, true} {
		b := newAttemptTestbed(t, policy.Idempotent, 0, nil)
		f := &attemptTracker{t: t}
		f.track(b.request(1, 20*time.Second))
		f.track(b.step(AttemptConnected{1, 0}))
		f.track(b.step(RequestSent{1, 0}))
		for f.dials < 2 && b.now < time.Hour+5*time.Second {
			f.track(b.advance(TickInterval))
		}
		if f.dials != 2 {
			t.Fatalf("%d attempts", f.dials)
		}
		if nextSent {
			f.track(b.step(AttemptConnected{1, 1}))
			f.track(b.step(RequestSent{1, 1}))
		}
		b.expectNone(b.step(AttemptAccepted{Client: 1, Attempt: 0, Payload: Payload{Data: []byte("UP old\r\n")}}))
		b.expectNone(b.step(AttemptClosed{1, 0, CloseRejected}))
		if f.answers != 0 || f.pending != 1 {
			t.Fatalf("%d answers, %d attempts pending", f.answers, f.pending)
		}
	}
}
