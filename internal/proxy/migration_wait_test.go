package proxy

import (
	"fmt"
	"testing"
	"time"

	"oatloft/internal/core"
)

// formerLineTimeout is how long a migration used to wait for the end of a server's line, whatever time there was.
const formerLineTimeout = time.Second

// migrationCauses are what makes a balancer migrate the clients of a server.
var migrationCauses = map[string]func(b *Balancer){
	"shutdown":    func(b *Balancer) { b.beginShutdown() },
	"handover":    func(b *Balancer) { b.step(core.ShutdownRequested{HandedOver: true}) },
	"maintenance": func(b *Balancer) { b.step(core.MaintenanceSet{Server: "r1", On: true}) },
	"drain":       func(b *Balancer) { b.step(core.DrainSet{On: true}) },
}

// startMigrationOfHangingServer establishes a client, and migrates it after its server has sent the beginning of a line.
// The reducer's clock stands from then on, so that the balancer has all the time that it needs to wait for the server.
func startMigrationOfHangingServer(t *testing.T, migrate func(b *Balancer)) *exchange {
	t.Helper()
	p := startMigrating(t)
	playSteps(t, p, "a > OPEN 1 k c=chat,d=20000", "task1 < OPEN 1 *", "task1 > UP 1", "a < UP 1",
		"b > OPEN 2 k c=chat,d=20000", "task2 < OPEN 2 *", `task1 >> "half"`)
	readExactly(t, p, "a", "half")
	runOnLoop(t, p.balancer, func() { migrate(p.balancer) })
	awaitPendingMigration(t, p)
	return p
}

// Guards against clients that are reset without MOVE, though their server goes on after a hang: a migration waited 1 s
// for the rest of a server's line, whatever time the balancer had left.
func TestMigrationWaitsForHangingServer(t *testing.T) {
	for name, migrate := range migrationCauses {
		t.Run(name, func(t *testing.T) {
			p := startMigrationOfHangingServer(t, migrate)
			time.Sleep(formerLineTimeout + 100*time.Millisecond)
			playSteps(t, p, `task1 >> " a line\r\nthe next"`)
			readToEnd(t, p, "a", " a line\r\nMOVE\r\n", false)
		})
	}
}

// Guards against lines that are held back while a migration waits: the client's lines were dropped, and the server may
// need them to end its own.
func TestClientsLinesReachServerDuringMigration(t *testing.T) {
	for name, migrate := range migrationCauses {
		t.Run(name, func(t *testing.T) {
			p := startMigrationOfHangingServer(t, migrate)
			for i := range 3 {
				playSteps(t, p, fmt.Sprintf("a > line %d", i), fmt.Sprintf("task1 < line %d", i))
			}
			playSteps(t, p, `task1 >> " a line\r\n"`)
			readToEnd(t, p, "a", " a line\r\nMOVE\r\n", false)
		})
	}
}
