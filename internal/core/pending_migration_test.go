package core

import (
	"fmt"
	"testing"
	"time"

	"oatloft/policy"
)

// migrationCause makes a balancer migrate its clients. Within limit, each is migrated or closed.
type migrationCause struct {
	name  string
	begin func(b *testbed) []Effect
	limit time.Duration
}

// migrationCauses returns the causes for a balancer with the given longest client timeout.
func migrationCauses(clientTimeout time.Duration) []migrationCause {
	lastMove := min(maxCountedTimeout, clientTimeout) + killDelay - exitMargin - lastMoveMargin
	return []migrationCause{
		{"shutdown", func(b *testbed) []Effect { return b.step(ShutdownRequested{}) }, lastMove},
		{"handover", func(b *testbed) []Effect { return b.step(ShutdownRequested{HandedOver: true}) }, lastMove},
		{"drain", func(b *testbed) []Effect { return b.step(DrainSet{On: true}) }, maxDrainDuration},
		{"maintenance", func(b *testbed) []Effect {
			return append(b.step(MaintenanceSet{"r1", true}), b.step(MaintenanceSet{"r2", true})...)
		}, migrationDuration + lineEndTimeout},
		{"drained servers", func(b *testbed) []Effect {
			return b.listEndpoints(policy.ListDelta, 20, policy.Draining, "r1", "r2")
		}, 30 * time.Second},
	}
}

const unfinishedLines = 4

// newUnfinishedLineTestbed returns a testbed with established connections whose servers have sent half a line.
func newUnfinishedLineTestbed(t *testing.T, clientTimeout time.Duration) *testbed {
	b := newTestbed(t, func(c *Config) { c.MaxClientTimeout, c.PassThrough = clientTimeout, false })
	for client := Handle(1); client <= unfinishedLines; client++ {
		b.establish(client)
		b.step(DataReceived{client, true, Payload{Data: []byte("half"), InsideLine: true}})
	}
	return b
}

// endLine delivers the rest of a server's line.
func (b *testbed) endLine(client Handle, closing CloseReason) []Effect {
	return b.step(DataReceived{client, true, Payload{Data: []byte(" a line\r\n"), Lines: 1, CloseReason: closing}})
}

// expectEnds checks how many clients were migrated and how many were closed without MOVE.
func expectEnds(t *testing.T, effects []Effect, migrated, closed int) {
	t.Helper()
	m, c := effectsOf[MigrateClient](effects), effectsOf[CloseClient](effects)
	if len(m) != migrated || len(c) != closed {
		t.Errorf("%d migrated, %d closed without MOVE, want %d and %d: %+v", len(m), len(c), migrated, closed, c)
	}
}

// Guards against clients that are reset inside a line though their server ends it while the balancer still has time: a
// migration waited 1 s at most, whatever caused it and whatever the client timeouts were.
func TestMigrationWaitsForLineEnd(t *testing.T) {
	for _, clientTimeout := range handoverTimeouts {
		for _, cause := range migrationCauses(clientTimeout) {
			// The end of a line is waited for until shortly before the limit.
			longest := min(cause.limit, lineEndTimeout) - 2*lineEndCheckInterval
			for _, hang := range []time.Duration{0, longest / 3, longest} {
				t.Run(fmt.Sprint(clientTimeout, cause.name, hang), func(t *testing.T) {
					b := newUnfinishedLineTestbed(t, clientTimeout)
					effects := append(cause.begin(b), b.advance(hang)...)
					expectEnds(t, effects, 0, 0)
					for client := Handle(1); client <= unfinishedLines; client++ {
						effects = append(effects, b.endLine(client, CloseEOF)...)
					}
					effects = append(effects, b.advance(cause.limit-hang)...)
					expectEnds(t, effects, unfinishedLines, 0)
				})
			}
		}
	}
}

// Guards against connections that are held too long: a client whose server does not end its line is reset in time, for
// a shutdown before the process exits.
func TestMigrationFromUnfinishedLineIsBounded(t *testing.T) {
	for _, clientTimeout := range handoverTimeouts {
		for _, cause := range migrationCauses(clientTimeout) {
			b := newUnfinishedLineTestbed(t, clientTimeout)
			effects := append(cause.begin(b), b.advance(cause.limit+lineEndCheckInterval)...)
			expectEnds(t, effects, 0, unfinishedLines)
			if b.r.OpenRequests() > 0 {
				t.Error(clientTimeout, cause.name, b.r.OpenRequests(), "connections are left")
			}
		}
	}
}

// Guards against a silent server that delays a migration beyond the platform's limit: a server that returns nothing is
// left within silenceLimit of its last line.
func TestSilentServerEndsPendingMigration(t *testing.T) {
	b := newUnfinishedLineTestbed(t, 12*time.Second)
	for client := Handle(1); client <= unfinishedLines; client++ {
		b.step(DataReceived{Client: client, Payload: Payload{Data: []byte("x\r\n"), Lines: 1}})
	}
	effects := append(b.step(MaintenanceSet{"r1", true}), b.step(MaintenanceSet{"r2", true})...)
	expectEnds(t, append(effects, b.advance(silenceLimit)...), 0, unfinishedLines)
}

// Guards against MOVE after a line with which the server itself has closed the connection.
func TestNoMoveAfterClosingLine(t *testing.T) {
	for _, closing := range []CloseReason{CloseFinished, CloseMigrated} {
		b := newUnfinishedLineTestbed(t, 12*time.Second)
		b.step(ShutdownRequested{})
		effects := b.endLine(1, closing)
		expectEnds(t, effects, 0, 1)
		if reason := single[CloseClient](b, effects).Reason; reason != CloseEOF {
			t.Error(reason)
		}
	}
}

// Guards against limits that are fixed when a migration begins to wait: a later shutdown or drain shortens the wait, and
// the end of the drain lifts its limit. Data is forwarded meanwhile.
func TestLimitsOfPendingMigrationsFollowTheBalancer(t *testing.T) {
	begin := func() *testbed {
		b := newUnfinishedLineTestbed(t, time.Second)
		b.step(MaintenanceSet{"r1", true})
		b.step(MaintenanceSet{"r2", true})
		b.advance(2 * time.Second)
		single[Forward](b, b.step(DataReceived{Client: 1, Payload: Payload{Data: []byte("x\r\n"), Lines: 1}}))
		return b
	}
	b := begin()
	b.step(ShutdownRequested{})
	expectEnds(t, b.advance(1700*time.Millisecond), 0, unfinishedLines)
	b = begin()
	b.step(DrainSet{On: true})
	// The platform counts a connection as lost that is held 4 s after the call.
	expectEnds(t, b.advance(4*time.Second-TickInterval), 0, unfinishedLines)
	b = begin()
	b.step(DrainSet{On: true})
	b.advance(time.Second)
	b.step(DrainSet{On: false})
	expectEnds(t, b.advance(3*time.Second), 0, 0)
	for client := Handle(1); client <= unfinishedLines; client++ {
		expectEnds(t, b.endLine(client, CloseEOF), 1, 0)
	}
}

// Guards against clients that are reset at once because they were accepted after the time in which a drain ends the
// connections: their servers get a second to end the line.
func TestClientAcceptedLateInDrainWaitsForLineEnd(t *testing.T) {
	b := newTestbed(t, func(c *Config) { c.PassThrough = false })
	b.step(DrainSet{On: true})
	b.advance(10 * time.Second)
	b.establish(1)
	effects := b.step(DataReceived{1, true, Payload{Data: []byte("half"), InsideLine: true}})
	effects = append(effects, b.advance(900*time.Millisecond)...)
	expectEnds(t, effects, 0, 0)
	expectEnds(t, b.endLine(1, CloseEOF), 1, 0)
}
