package core

import (
	"slices"
	"testing"
	"time"
)

// leaving is a reducer whose clients wait for longest at most, and that is told to leave now.
func leaving(t *testing.T, longest time.Duration, passes bool) *bed {
	b := newBed(t, func(c *Config) {
		c.MaxClientTimeout, c.PassThrough = longest, passes
		c.Policy.Classes[0].LatencyObjective = max(longest, 50*time.Millisecond)
	})
	d := find[Dial](b, b.open(9, longest))
	b.do(AttemptConnected{9, d.Attempt})
	b.do(RequestSent{9, d.Attempt})
	b.do(ConnectionAccepted{Client: 8})
	b.do(ShutdownRequested{})
	return b
}

// From SIGTERM on the phases follow each other, none is left out and none comes back, and each answer is given
// before the closing: who is owed one in the draining, who rests at its end.
func TestPhasesOfAShutdown(t *testing.T) {
	b := newBed(t, func(c *Config) {
		c.MaxClientTimeout, c.PassThrough, c.Policy.Classes[0].LatencyObjective = 2*time.Second, false, 2*time.Second
	})
	b.do(ConnectionAccepted{Client: 1})
	d := find[Dial](b, b.open(2, 2*time.Second))
	b.do(AttemptConnected{2, d.Attempt})
	b.do(RequestSent{2, d.Attempt})
	if b.r.Phase() != Serving || b.r.ShuttingDown() {
		t.Fatal(b.r.Phase())
	}
	b.do(ShutdownRequested{})
	if out := b.pass(900 * time.Millisecond); b.r.Phase() != Draining || len(all[Exit](out)) > 0 {
		t.Fatal("it closes though an answer is owed:", out)
	}
	find[MigrateClient](b, b.do(AttemptAccepted{Client: 2, Attempt: d.Attempt, Payload: Payload{Data: []byte("UP\r\n")}}))
	out := b.pass(time.Second)
	exit, answers := all[Exit](out), all[Answer](out)
	if b.r.Phase() != Closing || len(exit) != 1 || len(answers) != 1 || answers[0].Client != 1 || !answers[0].Rejected {
		t.Fatal(b.r.Phase(), out)
	}
	b.do(ShutdownRequested{})
	if out := b.pass(5 * time.Second); b.r.Phase() != Closing || len(all[Exit](out)) > 0 {
		t.Fatal("it closes again:", b.r.Phase(), out)
	}
}

// A second SIGTERM changes nothing: neither the times that the first one has fixed, nor what was done.
func TestASecondSIGTERMChangesNothing(t *testing.T) {
	b := leaving(t, 2*time.Second, true)
	fixed := b.r.shutdown
	b.pass(300 * time.Millisecond)
	if out := b.do(ShutdownRequested{}); len(out) > 0 || b.r.shutdown != fixed {
		t.Fatal(out, b.r.shutdown, fixed)
	}
	b.do(ShutdownRequested{HandedOver: true})
	if b.r.shutdown != fixed {
		t.Fatal(b.r.shutdown, fixed)
	}
}

// Whatever the classes' longest deadline, all answers are given, and the process has ended, before SIGKILL may
// come. It ended 0.3 s after that where clients rested, and as late as 0.8 s where the deadline was 0.1 s.
func TestTheEndComesBeforeSIGKILL(t *testing.T) {
	for _, longest := range []time.Duration{
		100 * time.Millisecond, 290 * time.Millisecond, time.Second, 3 * time.Second, 12 * time.Second,
	} {
		for _, passes := range []bool{true, false} {
			b := leaving(t, longest, passes)
			killed := b.now + min(longest, 3*time.Second) + 700*time.Millisecond
			answered := map[Handle]bool{}
			var exit []Exit
			for b.now < killed {
				out := b.pass(TickInterval)
				for _, a := range all[Answer](out) {
					if answered[a.Client] {
						t.Errorf("longest %v, passes %v: %d is answered twice", longest, passes, a.Client)
					}
					answered[a.Client] = true
				}
				exit = append(exit, all[Exit](out)...)
			}
			if !answered[9] || !answered[8] || len(exit) != 1 || exit[0].Deadline >= killed {
				t.Errorf("longest %v, passes %v: answered %v, exits %v, killed at %v", longest, passes, answered, exit, killed)
			}
		}
	}
}

// The last words get some time in any case, also where this process got no processor for so long that SIGKILL may
// come.
func TestTheEndIsNeverInThePast(t *testing.T) {
	b := leaving(t, time.Second, false)
	b.now += time.Minute
	if exit := find[Exit](b, b.do(Tick{})); exit.Deadline < b.now+lastBytesTimeout {
		t.Fatal(exit.Deadline - b.now)
	}
}

// Leaving waits for what is owed, and for those who still come; where connections end at the balancer,
// their clients are moved first.
func TestLeave(t *testing.T) {
	for _, through := range []bool{true, false} {
		b := newBed(t, func(c *Config) { c.PassThrough = through })
		b.up(1)
		b.open(2, 1500*time.Millisecond)
		if moved := len(all[MigrateClient](b.do(ShutdownRequested{}))); moved != map[bool]int{true: 0, false: 1}[through] {
			t.Fatal(moved, "moved")
		}
		effects := b.pass(map[bool]time.Duration{true: 11 * time.Second, false: 3 * time.Second}[through])
		answer := slices.IndexFunc(effects, func(e Effect) bool { _, ok := e.(Answer); return ok })
		exit := slices.IndexFunc(effects, func(e Effect) bool { _, ok := e.(Exit); return ok })
		if answer < 0 || exit < answer {
			t.Fatalf("%+v", effects)
		}
	}
}

// Where packets pass through, standing connections go on through a balancer that leaves for as long as it may stay:
// it once left after 0.8 s, while the next one had not taken over, and then 0.2 s before the front led 100 of them
// elsewhere unbroken. The platform ends it by force when it will; it waits for nothing else, and not for ever.
func TestLeavingServesWhatStands(t *testing.T) {
	b := newBed(t, func(c *Config) { c.MaxClientTimeout = 2 * time.Second })
	b.up(1)
	b.do(ShutdownRequested{})
	if early := b.pass(9900 * time.Millisecond); len(all[Exit](early))+len(all[MigrateClient](early)) > 0 {
		t.Fatalf("%+v", early)
	}
	line := Payload{Data: []byte("x\r\n"), Lines: 1}
	find[Forward](b, b.do(DataReceived{Client: 1, Payload: line}))
	find[Exit](b, b.pass(150*time.Millisecond))
	b = newBed(t, func(c *Config) { c.MaxClientTimeout = time.Minute })
	b.up(1)
	b.do(ShutdownRequested{})
	b.pass(time.Second)
	b.do(AttemptClosed{1, 0, CloseFinished})
	find[Exit](b, b.pass(2*TickInterval))
	// Where connections end here, what was not moved by then is given up: killed 3.7 s after SIGTERM at the earliest.
	b = newBed(t, func(c *Config) { c.MaxClientTimeout, c.PassThrough = time.Minute, false })
	b.up(1)
	b.do(ShutdownRequested{})
	find[Exit](b, b.pass(3550*time.Millisecond))
}

// Where packets pass through, the balancer stays until the platform ends it, 3.7 s after SIGTERM at the earliest,
// however long a request may wait: it has answered all of them by then.
func TestLeavingAnswersBeforeTheEndByForce(t *testing.T) {
	for _, through := range []bool{true, false} {
		for _, wait := range []time.Duration{1200 * time.Millisecond, 4800 * time.Millisecond} {
			b := newBed(t, func(c *Config) {
				c.PassThrough, c.MaxClientTimeout = through, wait
				c.Policy.Classes[0].LatencyObjective = wait
			})
			d := find[Dial](b, b.open(1, wait))
			b.do(AttemptConnected{1, d.Attempt})
			b.do(RequestSent{1, d.Attempt})
			b.do(ShutdownRequested{})
			effects := b.pass(300 * time.Millisecond)
			d = find[Dial](b, b.open(2, wait))
			b.do(AttemptConnected{2, d.Attempt})
			b.do(RequestSent{2, d.Attempt})
			effects = append(effects, b.pass(min(3*time.Second, wait)+350*time.Millisecond)...)
			if n := len(all[Answer](effects)); n != 2 || b.r.Unanswered() != 0 {
				t.Fatalf("passes through %v, wait %v: %d answered, %d owed", through, wait, n, b.r.Unanswered())
			}
		}
	}
}
