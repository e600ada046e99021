package core

import (
	"fmt"
	"testing"
	"time"
)

// handoverTimeouts are client timeouts on both sides of the one from which on a handover's usual window fits in.
var handoverTimeouts = []time.Duration{
	50 * time.Millisecond, 100 * time.Millisecond, 400 * time.Millisecond, 800 * time.Millisecond,
	1150 * time.Millisecond, 1200 * time.Millisecond, 2 * time.Second, 3 * time.Second, 12 * time.Second,
}

// newHandoverTestbed returns a testbed with established connections, and the time of the earliest SIGKILL if it is told
// now to shut down.
func newHandoverTestbed(
	t *testing.T, connections int, clientTimeout time.Duration, passThrough bool,
) (b *testbed, killAt time.Duration) {
	b = newTestbed(t, func(c *Config) { c.MaxClientTimeout, c.PassThrough = clientTimeout, passThrough })
	for i := range connections {
		b.establish(Handle(i + 1))
	}
	return b, b.now + min(clientTimeout, 3*time.Second) + 700*time.Millisecond
}

// advanceToExit advances the time until the reducer asks for the exit, and returns the effects and the exit.
func (b *testbed) advanceToExit(limit time.Duration) (effects []Effect, exit Exit) {
	b.t.Helper()
	for b.now < limit {
		out := b.advance(TickInterval)
		effects = append(effects, out...)
		if exits := effectsOf[Exit](out); len(exits) == 1 {
			return effects, exits[0]
		}
	}
	b.t.Fatal("no exit before SIGKILL")
	return nil, Exit{}
}

// Guards against clients that a handover cuts off without MOVE: with short client timeouts the process exited before
// the end of its migrations, which took 1.65 s whatever the timeouts were.
func TestHandoverMigratesAllClientsBeforeExit(t *testing.T) {
	for _, clientTimeout := range handoverTimeouts {
		for _, passThrough := range []bool{true, false} {
			t.Run(fmt.Sprint(clientTimeout, passThrough), func(t *testing.T) {
				b, killAt := newHandoverTestbed(t, 60, clientTimeout, passThrough)
				b.step(ShutdownRequested{HandedOver: true})
				effects, exit := b.advanceToExit(killAt)
				if n := len(effectsOf[MigrateClient](effects)); n != 60 || b.r.OpenRequests() != 0 {
					t.Error(n, "of 60 clients were migrated")
				}
				if exit.Deadline >= killAt {
					t.Error("exits", exit.Deadline-killAt, "after SIGKILL")
				}
			})
		}
	}
}

// Guards against a wave of reconnections: also where client timeouts are short, a handover spreads its migrations over
// the time that there is, and leaves servers some of it to end their lines.
func TestHandoverSpreadsMigrations(t *testing.T) {
	for _, clientTimeout := range handoverTimeouts {
		b, killAt := newHandoverTestbed(t, 60, clientTimeout, false)
		available := killAt - answerMargin - minShutdownHandedOver - b.now
		window := min(migrationDuration, available-min(time.Second, available/2))
		b.step(ShutdownRequested{HandedOver: true})
		early := len(effectsOf[MigrateClient](b.advance(minShutdownHandedOver - TickInterval)))
		first := len(effectsOf[MigrateClient](b.advance(window / 2)))
		second := len(effectsOf[MigrateClient](b.advance(window/2 + migrationInterval)))
		if early > 0 || first < 15 || first > 45 || first+second != 60 {
			t.Errorf("client timeout %v: %d migrated early, then %d and %d in the halves of %v",
				clientTimeout, early, first, second, window)
		}
	}
}

// Guards against clients cut off without MOVE whose server accepts them after the migrations of a handover, just
// before the process exits.
func TestHandoverMigratesClientsEstablishedLast(t *testing.T) {
	for _, clientTimeout := range handoverTimeouts {
		b, killAt := newHandoverTestbed(t, 4, clientTimeout, false)
		b.step(ShutdownRequested{HandedOver: true})
		closeAt := killAt - answerMargin
		for idle := Handle(200); b.now < closeAt-400*time.Millisecond; idle++ { // keep the process from exiting early
			b.step(ConnectionAccepted{Client: idle})
			b.advance(50 * time.Millisecond)
		}
		d := single[Dial](b, b.request(99, 2*time.Second))
		b.step(AttemptConnected{99, d.Attempt})
		b.step(RequestSent{99, d.Attempt})
		b.advance(closeAt - b.now - TickInterval)
		effects := b.step(AttemptAccepted{Client: 99, Attempt: d.Attempt, Payload: Payload{Data: []byte("UP\r\n")}})
		single[Forward](b, effects)
		rest, _ := b.advanceToExit(killAt)
		moved := false
		for _, migration := range effectsOf[MigrateClient](append(effects, rest...)) {
			moved = moved || migration.Client == 99
		}
		if !moved {
			t.Errorf("client timeout %v: the client accepted last was not migrated", clientTimeout)
		}
	}
}
