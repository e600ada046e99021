package core

import (
	"slices"
	"testing"
	"time"
)

// newShutdownTestbed returns a testbed that has just been told to shut down, with the given longest client timeout.
func newShutdownTestbed(t *testing.T, clientTimeout time.Duration, passThrough bool) *testbed {
	b := newTestbed(t, func(c *Config) {
		c.MaxClientTimeout, c.PassThrough = clientTimeout, passThrough
		c.Policy.Classes[0].LatencyObjective = max(clientTimeout, 50*time.Millisecond)
	})
	d := single[Dial](b, b.request(9, clientTimeout))
	b.step(AttemptConnected{9, d.Attempt})
	b.step(RequestSent{9, d.Attempt})
	b.step(ConnectionAccepted{Client: 8})
	b.step(ShutdownRequested{})
	return b
}

// After SIGTERM the phases follow each other in order, none is skipped or repeated. Outstanding requests are answered
// during Draining, idle clients at its end.
func TestShutdownPhases(t *testing.T) {
	b := newTestbed(t, func(c *Config) {
		c.MaxClientTimeout, c.PassThrough, c.Policy.Classes[0].LatencyObjective = 2*time.Second, false, 2*time.Second
	})
	b.step(ConnectionAccepted{Client: 1})
	d := single[Dial](b, b.request(2, 2*time.Second))
	b.step(AttemptConnected{2, d.Attempt})
	b.step(RequestSent{2, d.Attempt})
	if b.r.Phase() != Serving || b.r.ShuttingDown() {
		t.Fatal(b.r.Phase())
	}
	b.step(ShutdownRequested{})
	if out := b.advance(900 * time.Millisecond); b.r.Phase() != Draining || len(effectsOf[Exit](out)) > 0 {
		t.Fatal("closing although an answer is outstanding:", out)
	}
	single[MigrateClient](
		b, b.step(AttemptAccepted{Client: 2, Attempt: d.Attempt, Payload: Payload{Data: []byte("UP\r\n")}}),
	)
	out := b.advance(time.Second)
	exit, answers := effectsOf[Exit](out), effectsOf[Answer](out)
	if b.r.Phase() != Closing || len(exit) != 1 || len(answers) != 1 || answers[0].Client != 1 || !answers[0].Rejected {
		t.Fatal(b.r.Phase(), out)
	}
	b.step(ShutdownRequested{})
	if out := b.advance(5 * time.Second); b.r.Phase() != Closing || len(effectsOf[Exit](out)) > 0 {
		t.Fatal("closing again:", b.r.Phase(), out)
	}
}

// A second SIGTERM has no effect: the times that the first one fixed stay, and nothing is done again.
func TestSecondSIGTERMHasNoEffect(t *testing.T) {
	b := newShutdownTestbed(t, 2*time.Second, true)
	fixed := b.r.shutdown
	b.advance(300 * time.Millisecond)
	if out := b.step(ShutdownRequested{}); len(out) > 0 || b.r.shutdown != fixed {
		t.Fatal(out, b.r.shutdown, fixed)
	}
	b.step(ShutdownRequested{HandedOver: true})
	if b.r.shutdown != fixed {
		t.Fatal(b.r.shutdown, fixed)
	}
}

// Whatever the longest client timeout, all answers are sent and the process has exited before SIGKILL may come. Without
// fixed times it exited 0.3 s too late with idle clients, and up to 0.8 s too late with a client timeout of 0.1 s.
func TestExitBeforeSIGKILL(t *testing.T) {
	for _, clientTimeout := range []time.Duration{
		100 * time.Millisecond, 290 * time.Millisecond, time.Second, 3 * time.Second, 12 * time.Second,
	} {
		for _, passThrough := range []bool{true, false} {
			b := newShutdownTestbed(t, clientTimeout, passThrough)
			killAt := b.now + min(clientTimeout, 3*time.Second) + 700*time.Millisecond
			answered := map[Handle]bool{}
			var exit []Exit
			for b.now < killAt {
				out := b.advance(TickInterval)
				for _, a := range effectsOf[Answer](out) {
					if answered[a.Client] {
						t.Errorf("client timeout %v, pass-through %v: client %d is answered twice", clientTimeout, passThrough, a.Client)
					}
					answered[a.Client] = true
				}
				exit = append(exit, effectsOf[Exit](out)...)
			}
			if !answered[9] || !answered[8] || len(exit) != 1 || exit[0].Deadline >= killAt {
				t.Errorf(
					"client timeout %v, pass-through %v: answered %v, exits %v, killed at %v",
					clientTimeout, passThrough, answered, exit, killAt,
				)
			}
		}
	}
}

// The last bytes are given some time in any case, even if this process was not scheduled for so long that SIGKILL
// may come at any moment.
func TestExitDeadlineAfterStall(t *testing.T) {
	b := newShutdownTestbed(t, time.Second, false)
	b.now += time.Minute
	if exit := single[Exit](b, b.step(Tick{})); exit.Deadline < b.now+lastBytesTimeout {
		t.Fatal(exit.Deadline - b.now)
	}
}

// A shutdown waits for outstanding answers and for clients that still arrive. Where the balancer terminates
// connections, their clients are migrated first.
func TestExitFollowsLastAnswer(t *testing.T) {
	for _, passThrough := range []bool{true, false} {
		b := newTestbed(t, func(c *Config) { c.PassThrough = passThrough })
		b.establish(1)
		b.request(2, 1500*time.Millisecond)
		if migrated := len(effectsOf[MigrateClient](b.step(ShutdownRequested{}))); migrated !=
			map[bool]int{true: 0, false: 1}[passThrough] {
			t.Fatal(migrated, "migrated")
		}
		effects := b.advance(map[bool]time.Duration{true: 11 * time.Second, false: 3 * time.Second}[passThrough])
		answer := slices.IndexFunc(effects, func(e Effect) bool { _, ok := e.(Answer); return ok })
		exit := slices.IndexFunc(effects, func(e Effect) bool { _, ok := e.(Exit); return ok })
		if answer < 0 || exit < answer {
			t.Fatalf("%+v", effects)
		}
	}
}

// In pass-through mode, a balancer that shuts down keeps forwarding established connections for as long as it may run.
// If it exits after 0.8 s, its successor may not have taken over yet; an exit 0.2 s too early broke 100 connections
// that the front end was about to route elsewhere unbroken. It waits for nothing else, and not indefinitely, since the
// platform kills it at some time.
func TestShutdownServesEstablishedConnections(t *testing.T) {
	b := newTestbed(t, func(c *Config) { c.MaxClientTimeout = 2 * time.Second })
	b.establish(1)
	b.step(ShutdownRequested{})
	if early := b.advance(9900 * time.Millisecond); len(effectsOf[Exit](early))+len(effectsOf[MigrateClient](early)) > 0 {
		t.Fatalf("%+v", early)
	}
	line := Payload{Data: []byte("x\r\n"), Lines: 1}
	single[Forward](b, b.step(DataReceived{Client: 1, Payload: line}))
	single[Exit](b, b.advance(150*time.Millisecond))
	b = newTestbed(t, func(c *Config) { c.MaxClientTimeout = time.Minute })
	b.establish(1)
	b.step(ShutdownRequested{})
	b.advance(time.Second)
	b.step(AttemptClosed{1, 0, CloseFinished})
	single[Exit](b, b.advance(2*TickInterval))
	// Without pass-through, connections not migrated by then are abandoned: SIGKILL may come 3.7 s after SIGTERM.
	b = newTestbed(t, func(c *Config) { c.MaxClientTimeout, c.PassThrough = time.Minute, false })
	b.establish(1)
	b.step(ShutdownRequested{})
	single[Exit](b, b.advance(3550*time.Millisecond))
}

// In pass-through mode the balancer runs until the platform kills it, 3.7 s after SIGTERM at the earliest. However long
// the client timeout, it has answered all requests by then.
func TestShutdownAnswersBeforeSIGKILL(t *testing.T) {
	for _, passThrough := range []bool{true, false} {
		for _, clientTimeout := range []time.Duration{1200 * time.Millisecond, 4800 * time.Millisecond} {
			b := newTestbed(t, func(c *Config) {
				c.PassThrough, c.MaxClientTimeout = passThrough, clientTimeout
				c.Policy.Classes[0].LatencyObjective = clientTimeout
			})
			d := single[Dial](b, b.request(1, clientTimeout))
			b.step(AttemptConnected{1, d.Attempt})
			b.step(RequestSent{1, d.Attempt})
			b.step(ShutdownRequested{})
			effects := b.advance(300 * time.Millisecond)
			d = single[Dial](b, b.request(2, clientTimeout))
			b.step(AttemptConnected{2, d.Attempt})
			b.step(RequestSent{2, d.Attempt})
			effects = append(effects, b.advance(min(3*time.Second, clientTimeout)+350*time.Millisecond)...)
			if n := len(effectsOf[Answer](effects)); n != 2 || b.r.Unanswered() != 0 {
				t.Fatalf(
					"pass-through %v, client timeout %v: %d answered, %d unanswered",
					passThrough, clientTimeout, n, b.r.Unanswered(),
				)
			}
		}
	}
}
