package core

import (
	"fmt"
	"testing"
	"time"

	"oatloft/policy"
)

// Whatever discovery says of a region that is left out, and however often it is called out, it gets nothing until one
// call takes it back; then discovery's word holds again, and the next newcomer goes there.
func TestMaintain(t *testing.T) {
	b := newBed(t, nil)
	next := Handle(100)
	used := func() bool {
		t.Helper()
		for range 20 {
			next++
			if b.up(next) == "r1" {
				return true
			}
			b.pass(10 * time.Millisecond)
		}
		return false
	}
	b.do(MaintenanceSet{"r1", true})
	b.do(MaintenanceSet{"r1", true})
	b.watch()
	for seq, state := range []policy.ServerState{policy.Live, policy.Draining, policy.Live, policy.Gone, policy.Live} {
		b.list(policy.ListDelta, int64(8+seq), state, "r1")
		if used() {
			t.Fatalf("used while left out, listed %v", state)
		}
	}
	b.list(policy.ListFull, 20, policy.Live, "r1", "r2")
	if used() {
		t.Fatal("used after a whole list")
	}
	b.do(MaintenanceSet{"r1", false})
	if next++; b.up(next) != "r1" {
		t.Fatal("not the next newcomer's")
	}
	// Taken back while it is away: the same once it is listed.
	b.do(MaintenanceSet{"r1", true})
	b.list(policy.ListDelta, 21, policy.Gone, "r1")
	b.do(MaintenanceSet{"r1", false})
	if used() {
		t.Fatal("used while gone")
	}
	b.list(policy.ListDelta, 22, policy.Live, "r1")
	if next++; b.up(next) != "r1" {
		t.Fatal("not the next newcomer's after its return")
	}
	// Discovery drains it while it is left out: the call back doesn't overrule that.
	b.do(MaintenanceSet{"r1", true})
	b.list(policy.ListDelta, 23, policy.Draining, "r1")
	b.do(MaintenanceSet{"r1", false})
	if used() {
		t.Fatal("used while discovery drains it")
	}
}

// Those who stand at a region left out make way over the time set, not at once; who came up later goes as well.
func TestMakeWay(t *testing.T) {
	b := newBed(t, nil)
	at := map[string]int{}
	for i := range 60 {
		at[b.up(Handle(i+1))]++
	}
	b.do(MaintenanceSet{"r1", true})
	first := len(all[MigrateClient](b.pass(4 * migrationInterval)))
	rest := len(all[MigrateClient](b.pass(migrationDuration)))
	if at["r1"] < 10 || first == 0 || first > at["r1"]/2 || first+rest != at["r1"] {
		t.Fatalf("%v stood, %d then %d moved", at, first, rest)
	}
	if n := len(all[MigrateClient](b.pass(5 * time.Second))); n > 0 {
		t.Fatal(n, "moved from elsewhere")
	}
}

// What the process before has left is where its terminals go, once each, and no longer than it can tell anything.
func TestLeft(t *testing.T) {
	b := newBed(t, nil)
	left := PredecessorState{Servers: []string{"old"}, Flows: map[string]string{}}
	for i := range 40 {
		left.Flows[fmt.Sprint("k", i)] = "r1"
	}
	b.do(left)
	if !b.r.IsKnownServer("old") || b.r.IsKnownServer("never") {
		t.Fatal("ids that were listed before")
	}
	for i := range 10 { // fewer than the module sets up at once
		d := find[Dial](
			b,
			b.do(
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
	b.pass(predecessorFlowTTL + time.Second)
	if b.r.predecessor.servers != nil {
		t.Fatal("kept for good")
	}
}
