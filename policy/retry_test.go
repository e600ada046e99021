package policy

import (
	"fmt"
	"testing"
	"time"
)

// Incident rules-3: a retry sent 60 ms before the deadline ended after the deadline, so the client got no answer in
// time.
func TestNoAttemptCloseToTheDeadline(t *testing.T) {
	r := newHarness(t, testConfig(), servers(4)...)
	r.request("x", "safe")
	first, _ := lastAction[Send](r)
	r.advance(1980 * ms)
	r.actions = nil
	r.feed(AttemptEnded{ID: "x", Server: first.Server, Result: ResultFailed})
	if len(r.actions) != 1 {
		t.Fatalf("actions %v, want a final answer only", r.actions)
	}
	if _, ok := r.actions[0].(Reject); !ok {
		t.Errorf("%T instead of the final answer", r.actions[0])
	}
}

// A faulty session store answered nine of ten set-ups with an error, and each of them was retried at once.
func TestErrorsAtManyServersReduceSetups(t *testing.T) {
	r := newHarness(t, testConfig(), servers(10)...)
	sent := 0
	for i := range 40 {
		r.request(fmt.Sprint(i), "safe")
		for _, a := range r.actions {
			if s, ok := a.(Send); ok {
				sent++
				r.feed(
					AttemptEnded{ID: s.ID, Attempt: r.b.requests.byID[s.ID].attempts - 1, Server: s.Server, Result: ResultFailed},
				)
			}
		}
		r.actions = nil
		r.advance(5 * ms)
	}
	if sent > 40 {
		t.Errorf("%d sends in 200 ms while every set-up fails", sent)
	}
	if r.b.setups.limit > 4 {
		t.Errorf("%v set-ups may still be pending", r.b.setups.limit)
	}
	if r.b.mayExplore(&request{Request: Request{Key: "k"}, class: r.b.classes.byName["safe"]}) {
		t.Error("connections may still be migrated to explore")
	}
}

func TestErrorsAtOneServerKeepTheLimit(t *testing.T) {
	r := newHarness(t, testConfig(), servers(10)...)
	limit := r.b.setups.limit
	faulty := r.b.servers.sorted[0]
	for range 20 {
		r.b.setups.pending++
		r.b.recordFailedAttempt(&request{server: faulty, class: r.b.classes.byName["safe"]}, ResultFailed)
	}
	if r.b.setups.limit < limit {
		t.Errorf("the limit fell from %v to %v", limit, r.b.setups.limit)
	}
}

// Invalid requests are answered with an error by every server. Eight of them among valid ones reduced the limit of
// pending set-ups to 1 and made all clients wait.
func TestInvalidRequestsKeepTheLimit(t *testing.T) {
	r := newHarness(t, testConfig(), servers(5)...)
	for i := range 40 {
		id := fmt.Sprint(i)
		r.request(id, "safe")
		for try := 0; r.b.requests.byID[id] != nil && !r.b.requests.byID[id].established && try < 9; try++ {
			s, ok := lastAction[Send](r)
			if !ok || s.ID != id {
				r.advance(20 * ms)
				continue
			}
			r.actions = nil
			if attempt := r.b.requests.byID[id].attempts - 1; i%5 == 4 {
				r.feed(AttemptEnded{ID: id, Attempt: attempt, Server: s.Server, Result: ResultFailed})
			} else {
				r.feed(AttemptEstablished{ID: id, Attempt: attempt, Server: s.Server})
			}
		}
		if r.b.setups.limit < 8 || r.b.setups.pausedUntil > r.now {
			t.Fatalf("after %d requests the limit is %v", i+1, r.b.setups.limit)
		}
	}
}

// Clients that reconnected in a burst were rejected after 0.75 of the latency objective and reconnected at once, while
// servers had capacity or were about to report it.
func TestRequestsWaitUntilTheLatencyObjective(t *testing.T) {
	r := newHarness(t, testConfig(), servers(2)...)
	r.loads["s00"], r.loads["s01"] = 0.95, 0.95
	for i := range 9 {
		r.request(fmt.Sprint(i), "safe")
	}
	r.advance(390 * ms)
	r.loads["s00"] = 0.2
	r.advance(105 * ms)
	if s, ok := lastAction[Send](r); !ok || s.Server != "s00" {
		t.Errorf("actions %v, want a send to the server with capacity", r.actions)
	}
	r.loads["s00"] = 0.95
	r.advance(2 * time.Second)
	r.actions = nil
	r.request("y", "safe")
	r.advance(510 * ms)
	if _, ok := lastAction[Reject](r); !ok {
		t.Errorf("actions %v, want a rejection at the latency objective", r.actions)
	}
}
