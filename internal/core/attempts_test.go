package core

import (
	"fmt"
	"testing"
	"time"

	"oatloft/policy"
)

// triesFollower reads the effects of one transaction in order: how many attempts are out, how many lines were sent,
// and how many final answers were given.
type triesFollower struct {
	t                           *testing.T
	dials, lines, answers, outs int
	latest                      Dial
}

func (f *triesFollower) read(effects []Effect) {
	f.t.Helper()
	for _, e := range effects {
		switch e := e.(type) {
		case Dial:
			if f.outs > 0 {
				f.t.Fatalf("attempt %d is dialed while the one before is out: %+v", e.Attempt, effects)
			}
			f.outs++
			f.dials++
			f.latest = e
		case CloseAttempt:
			f.outs--
		case SendRequest:
			if e.TimeLeft < time.Millisecond {
				f.t.Fatalf("a line is sent with %v left", e.TimeLeft)
			}
			f.lines++
		case Answer, Forward:
			f.answers++
		}
	}
}

// triesBed has four regions and one class with the given effect.
func triesBed(t *testing.T, effect policy.Idempotency, window time.Duration, change func(*Config)) *bed {
	b := newBed(t, func(c *Config) {
		c.Policy.Classes[0].Idempotency, c.Policy.Classes[0].KeyTTL = effect, window
		if change != nil {
			change(c)
		}
	})
	b.list(policy.ListFull, 8, policy.Live, "r1", "r2", "r3", "r4")
	return b
}

// A connection that comes up when the attempt's time is over, but before the timer says so, gets no line: it would
// tell the server that the client has no time left. Whichever is handled first, the client gets one answer.
func TestNoLineIsSentWhoseTimeIsOver(t *testing.T) {
	for _, x := range []struct {
		name     string
		patience time.Duration
		at       time.Duration // when the connection comes up
		line     bool
	}{
		{"long before the deadline", 300 * time.Millisecond, 200 * time.Millisecond, true},
		{"one millisecond before the deadline", 300 * time.Millisecond, 284 * time.Millisecond, true},
		{"half a millisecond before the deadline", 300 * time.Millisecond, 284500 * time.Microsecond, false},
		{"at the deadline", 300 * time.Millisecond, 285 * time.Millisecond, false},
		{"after the deadline", 300 * time.Millisecond, 289 * time.Millisecond, false},
		{"before the attempt's own time", 9 * time.Second, 799 * time.Millisecond, true},
		{"at the attempt's own time", 9 * time.Second, 800 * time.Millisecond, false},
		{"after the attempt's own time", 9 * time.Second, 804 * time.Millisecond, false},
		{"long after both, where the process stood still", 900 * time.Millisecond, 3 * time.Second, false},
	} {
		for _, tickFirst := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, tick first %v", x.name, tickFirst), func(t *testing.T) {
				b := triesBed(t, policy.Idempotent, 0, func(c *Config) { c.ConnectTimeout = 5 * time.Second })
				f := &triesFollower{t: t}
				f.read(b.open(1, x.patience))
				first := f.latest
				b.now += x.at
				if tickFirst {
					f.read(b.do(Tick{}))
				}
				out := b.do(AttemptConnected{1, first.Attempt})
				f.read(out)
				if sent := len(all[SendRequest](out)) == 1; sent != x.line {
					t.Fatalf("line sent: %v, want %v: %+v", sent, x.line, out)
				}
				f.read(b.pass(10 * time.Second))
				if f.answers != 1 || f.outs != 0 || b.r.Unanswered() != 0 || b.r.OpenRequests() != 0 {
					t.Fatalf("%d answers, %d attempts out, %d owed", f.answers, f.outs, b.r.Unanswered())
				}
			})
		}
	}
}

// The module may decide on an attempt in the very turn in which its time is over: it isn't dialed.
func TestNoAttemptBeginsWhoseTimeIsOver(t *testing.T) {
	b := newBed(t, nil)
	b.list(policy.ListFull, 8, policy.Draining, "r1", "r2")
	b.open(1, 2*time.Second)
	waits := b.r.requests.byClient[1]
	b.r.now = waits.deadline - time.Microsecond
	b.r.sendAttempt(policy.Send{ID: waits.ID, Server: "r1"})
	if dials := all[Dial](b.r.effects); len(dials) > 0 || b.r.Counters.AttemptsNotSent != 1 {
		t.Fatalf("%+v, %+v", dials, b.r.Counters)
	}
}

// attemptEnd is a way in which an attempt ends.
type attemptEnd struct {
	name       string
	end        func(b *bed, d Dial) []Effect
	mayHaveRun bool
}

func attemptEnds() []attemptEnd {
	closed := func(reason CloseReason) func(b *bed, d Dial) []Effect {
		return func(b *bed, d Dial) []Effect { return b.do(AttemptClosed{1, d.Attempt, reason}) }
	}
	up := func(b *bed, d Dial) []Effect { return b.do(AttemptConnected{1, d.Attempt}) }
	sent := func(b *bed, d Dial) []Effect { return append(up(b, d), b.do(RequestSent{1, d.Attempt})...) }
	closedUp := func(reason CloseReason) func(b *bed, d Dial) []Effect {
		return func(b *bed, d Dial) []Effect { return append(up(b, d), closed(reason)(b, d)...) }
	}
	closedSent := func(reason CloseReason) func(b *bed, d Dial) []Effect {
		return func(b *bed, d Dial) []Effect {
			out := append(sent(b, d), b.pass(TickInterval)...) // so that the shortest window has ended
			return append(out, closed(reason)(b, d)...)
		}
	}
	passed := func(d time.Duration) func(b *bed, _ Dial) []Effect {
		return func(b *bed, _ Dial) []Effect { return b.pass(d) }
	}
	return []attemptEnd{
		{"refused", closed(CloseRefused), false},
		{"never up", passed(250 * time.Millisecond), false},
		{"reset while it came up", closed(CloseReset), false},
		{"reset before the request's last byte", closedUp(CloseReset), false},
		{"ended before the request's last byte", closedUp(CloseEOF), false},
		{"rejected", closedSent(CloseRejected), false},
		{"reset after the request", closedSent(CloseReset), true},
		{"ended after the request", closedSent(CloseEOF), true},
		{"error", closedSent(CloseFailed), true},
		{"served to its end before it was up", closedSent(CloseFinished), true},
		{"migrated", closedSent(CloseMigrated), true},
		{"nothing", func(b *bed, d Dial) []Effect {
			return append(sent(b, d), passed(805*time.Millisecond)(b, d)...)
		}, true},
	}
}

// Every way in which an attempt ends, for each kind of class: a request that may have run is repeated only where
// that does no harm, never above the bound on attempts, never with two out, and its client gets one answer.
func TestRepeats(t *testing.T) {
	for _, class := range []struct {
		name   string
		effect policy.Idempotency
		window time.Duration
		after  bool // repeated though it may have run
	}{
		{"idempotent", policy.Idempotent, 0, true},
		{"by key", policy.IdempotentByKey, time.Minute, true},
		{"by key, window over at once", policy.IdempotentByKey, time.Nanosecond, false},
		{"not idempotent", policy.NotIdempotent, 0, false},
	} {
		for _, x := range attemptEnds() {
			t.Run(x.name+", "+class.name, func(t *testing.T) {
				want := 3
				if x.mayHaveRun && !class.after {
					want = 1
				}
				b := triesBed(t, class.effect, class.window, nil)
				f := &triesFollower{t: t}
				f.follow(b, x)
				if f.dials != want || f.answers != 1 || f.outs != 0 || b.r.Unanswered() != 0 {
					t.Fatalf("%d attempts, want %d; %d answers, %d out, %d owed", f.dials, want, f.answers, f.outs, b.r.Unanswered())
				}
			})
		}
	}
}

// follow has each attempt of a request end in the same way, until it is answered.
func (f *triesFollower) follow(b *bed, x attemptEnd) {
	f.read(b.open(1, 30*time.Second))
	for ended := 0; f.answers == 0 && ended < 9; ended++ {
		for waited := 0; f.outs == 0 && f.answers == 0 && waited < 6000; waited++ {
			f.read(b.pass(TickInterval))
		}
		if f.outs == 0 || f.answers > 0 {
			break
		}
		f.read(x.end(b, f.latest))
	}
	f.read(b.pass(31 * time.Second))
}

// The window for repeats ends while the next attempt dials: its line isn't sent. Just before, it is.
func TestWindowEndsWhileTheNextAttemptDials(t *testing.T) {
	const window = 300 * time.Millisecond
	for _, x := range []struct {
		at   time.Duration // from when the first line left
		line bool
	}{{window - time.Millisecond, true}, {window, true}, {window + time.Millisecond, false}} {
		b := triesBed(t, policy.IdempotentByKey, window, nil)
		f := &triesFollower{t: t}
		f.read(b.open(1, 20*time.Second))
		first := f.latest
		f.read(b.do(AttemptConnected{1, first.Attempt}))
		left := b.now
		f.read(b.do(RequestSent{1, first.Attempt}))
		f.read(b.pass(200 * time.Millisecond))
		f.read(b.do(AttemptClosed{1, first.Attempt, CloseReset}))
		for f.dials < 2 && b.now < left+window-10*time.Millisecond {
			f.read(b.pass(TickInterval))
		}
		if f.dials != 2 {
			t.Fatalf("%d attempts", f.dials)
		}
		b.now = left + x.at
		f.read(b.do(AttemptConnected{1, f.latest.Attempt}))
		if sent := f.lines == 2; sent != x.line {
			t.Errorf("%v after the first line the repeat is sent: %v, want %v", x.at, sent, x.line)
		}
		f.read(b.pass(30 * time.Second))
		if f.answers != 1 || f.outs != 0 || !x.line && f.lines != 1 {
			t.Errorf("%v: %d answers, %d attempts out, %d lines", x.at, f.answers, f.outs, f.lines)
		}
	}
}

// UP and the deadline in the same turn: whichever is handled first is the one answer.
func TestUpMeetsTheDeadline(t *testing.T) {
	for _, upFirst := range []bool{true, false} {
		b := triesBed(t, policy.Idempotent, 0, nil)
		f := &triesFollower{t: t}
		f.read(b.open(1, 500*time.Millisecond))
		f.read(b.do(AttemptConnected{1, 0}))
		f.read(b.do(RequestSent{1, 0}))
		b.now += 490 * time.Millisecond
		answer := AttemptAccepted{Client: 1, Payload: Payload{Data: []byte("UP x\r\n")}}
		if upFirst {
			find[Forward](b, b.do(answer))
			b.none(b.do(Tick{}))
			b.none(b.pass(time.Second))
			continue
		}
		out := b.do(Tick{})
		find[Answer](b, out)
		find[CloseAttempt](b, out)
		b.none(b.do(answer))
		b.none(b.pass(time.Second))
	}
}

// UP from an attempt that was given up reaches nobody, also while the next one dials or has been asked.
func TestUpFromAnAttemptGivenUp(t *testing.T) {
	for _, asked := range []bool{false, true} {
		b := triesBed(t, policy.Idempotent, 0, nil)
		f := &triesFollower{t: t}
		f.read(b.open(1, 20*time.Second))
		f.read(b.do(AttemptConnected{1, 0}))
		f.read(b.do(RequestSent{1, 0}))
		for f.dials < 2 && b.now < time.Hour+5*time.Second {
			f.read(b.pass(TickInterval))
		}
		if f.dials != 2 {
			t.Fatalf("%d attempts", f.dials)
		}
		if asked {
			f.read(b.do(AttemptConnected{1, 1}))
			f.read(b.do(RequestSent{1, 1}))
		}
		b.none(b.do(AttemptAccepted{Client: 1, Attempt: 0, Payload: Payload{Data: []byte("UP old\r\n")}}))
		b.none(b.do(AttemptClosed{1, 0, CloseRejected}))
		if f.answers != 0 || f.outs != 1 {
			t.Fatalf("%d answers, %d attempts out", f.answers, f.outs)
		}
	}
}
