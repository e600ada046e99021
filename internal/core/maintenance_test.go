package core

import (
	"fmt"
	"testing"
	"time"

	"oatloft/policy"
)

// A server in maintenance gets no requests, whatever state discovery lists and however often maintenance is set, until
// a single call ends it. Then discovery's state applies again, and the next new client is sent there.
func TestMaintenance(t *testing.T) {
	b := newTestbed(t, nil)
	next := Handle(100)
	isUsed := func() bool {
		t.Helper()
		for range 20 {
			next++
			if b.establish(next) == "r1" {
				return true
			}
			b.advance(10 * time.Millisecond)
		}
		return false
	}
	b.step(MaintenanceSet{"r1", true})
	b.step(MaintenanceSet{"r1", true})
	b.awaitWatch()
	for seq, state := range []policy.ServerState{policy.Live, policy.Draining, policy.Live, policy.Gone, policy.Live} {
		b.listEndpoints(policy.ListDelta, int64(8+seq), state, "r1")
		if isUsed() {
			t.Fatalf("used during maintenance, listed as %v", state)
		}
	}
	b.listEndpoints(policy.ListFull, 20, policy.Live, "r1", "r2")
	if isUsed() {
		t.Fatal("used after a full list")
	}
	b.step(MaintenanceSet{"r1", false})
	if next++; b.establish(next) != "r1" {
		t.Fatal("the next new client was not sent to r1")
	}
	// Maintenance ends while the server isn't listed: the same applies once it is listed.
	b.step(MaintenanceSet{"r1", true})
	b.listEndpoints(policy.ListDelta, 21, policy.Gone, "r1")
	b.step(MaintenanceSet{"r1", false})
	if isUsed() {
		t.Fatal("used while gone")
	}
	b.listEndpoints(policy.ListDelta, 22, policy.Live, "r1")
	if next++; b.establish(next) != "r1" {
		t.Fatal("the next new client was not sent to r1 after its return")
	}
	// Discovery drains the server during maintenance: ending maintenance doesn't override that.
	b.step(MaintenanceSet{"r1", true})
	b.listEndpoints(policy.ListDelta, 23, policy.Draining, "r1")
	b.step(MaintenanceSet{"r1", false})
	if isUsed() {
		t.Fatal("used while discovery drains it")
	}
}

// The connections of a server in maintenance are migrated gradually over migrationDuration, not all at once, and
// connections to other servers stay.
func TestMaintenanceMigratesGradually(t *testing.T) {
	b := newTestbed(t, nil)
	connections := map[string]int{}
	for i := range 60 {
		connections[b.establish(Handle(i+1))]++
	}
	b.step(MaintenanceSet{"r1", true})
	first := len(effectsOf[MigrateClient](b.advance(4 * migrationInterval)))
	rest := len(effectsOf[MigrateClient](b.advance(migrationDuration)))
	if connections["r1"] < 10 || first == 0 || first > connections["r1"]/2 || first+rest != connections["r1"] {
		t.Fatalf("established: %v, migrated: %d, then %d", connections, first, rest)
	}
	if n := len(effectsOf[MigrateClient](b.advance(5 * time.Second))); n > 0 {
		t.Fatal(n, "migrated from other servers")
	}
}

// The predecessor's flows determine where its clients are sent, once each, and are forgotten after predecessorFlowTTL.
func TestPredecessorFlows(t *testing.T) {
	b := newTestbed(t, nil)
	state := PredecessorState{Servers: []string{"old"}, Flows: map[string]string{}}
	for i := range 40 {
		state.Flows[fmt.Sprint("k", i)] = "r1"
	}
	b.step(state)
	if !b.r.IsKnownServer("old") || b.r.IsKnownServer("never") {
		t.Fatal("servers that were listed before")
	}
	for i := range 10 { // fewer than the module places at once
		d := single[Dial](
			b,
			b.step(
				RequestReceived{
					Client:  Handle(i + 1),
					Request: policy.Request{ID: fmt.Sprint(i), Key: fmt.Sprint("k", i), Class: "chat", Timeout: 2 * time.Second},
				},
			),
		)
		if d.Server != "r1" {
			t.Fatalf("k%d went to %s", i, d.Server)
		}
	}
	b.advance(predecessorFlowTTL + time.Second)
	if b.r.predecessor.servers != nil {
		t.Fatal("the predecessor's flows were not forgotten")
	}
}
