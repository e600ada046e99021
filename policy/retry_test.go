package policy

import (
	"fmt"
	"testing"
	"time"
)

// Incident rules-3: a retry sent 60 ms before the deadline ended after the deadline, so the client got no answer in
// time.
func TestNoAttemptCloseToTheDeadline(t *testing.T) {
	h := newHarness(t, testConfig(), servers(4)...)
	h.request("x", "safe")
	first, _ := lastAction[Send](h)
	h.advance(1980 * ms)
	h.actions = nil
	h.feed(AttemptEnded{ID: "x", Server: first.Server, Result: ResultFailed})
	if len(h.actions) != 1 {
		t.Fatalf("actions %v, want a final answer only", h.actions)
	}
	if _, ok := h.actions[0].(Reject); !ok {
		t.Errorf("%T instead of the final answer", h.actions[0])
	}
}

// A faulty session store answered nine of ten set-ups with an error, and each of them was retried at once.
func TestErrorsAtManyServersReduceSetups(t *testing.T) {
	h := newHarness(t, testConfig(), servers(10)...)
	sent := 0
	for i := range 40 {
		h.request(fmt.Sprint(i), "safe")
		for _, a := range h.actions {
			if s, ok := a.(Send); ok {
				sent++
				h.feed(
					AttemptEnded{ID: s.ID, Attempt: h.b.requests.byID[s.ID].attempts - 1, Server: s.Server, Result: ResultFailed},
				)
			}
		}
		h.actions = nil
		h.advance(5 * ms)
	}
	if sent > 40 {
		t.Errorf("%d sends in 200 ms while every set-up fails", sent)
	}
	if h.b.setups.limit > 4 {
		t.Errorf("%v set-ups may still be pending", h.b.setups.limit)
	}
	if h.b.mayExplore(&request{Request: Request{Key: "k"}, class: h.b.classes.byName["safe"]}) {
		t.Error("connections may still be migrated to explore")
	}
}

func TestErrorsAtOneServerKeepTheLimit(t *testing.T) {
	h := newHarness(t, testConfig(), servers(10)...)
	limit := h.b.setups.limit
	faulty := h.b.servers.sorted[0]
	for range 20 {
		h.b.setups.pending++
		h.b.recordFailedAttempt(&request{server: faulty, class: h.b.classes.byName["safe"]}, ResultFailed)
	}
	if h.b.setups.limit < limit {
		t.Errorf("the limit fell from %v to %v", limit, h.b.setups.limit)
	}
}

// Invalid requests are answered with an error by every server. Eight of them among valid ones reduced the limit of
// pending set-ups to 1 and made all clients wait.
func TestInvalidRequestsKeepTheLimit(t *testing.T) {
	h := newHarness(t, testConfig(), servers(5)...)
	for i := range 40 {
		id := fmt.Sprint(i)
		h.request(id, "safe")
		for try := 0; h.b.requests.byID[id] != nil && !h.b.requests.byID[id].established && try < 9; try++ {
			s, ok := lastAction[Send](h)
			if !ok || s.ID != id {
				h.advance(20 * ms)
				continue
			}
			h.actions = nil
			if attempt := h.b.requests.byID[id].attempts - 1; i%5 == 4 {
				h.feed(AttemptEnded{ID: id, Attempt: attempt, Server: s.Server, Result: ResultFailed})
			} else {
				h.feed(AttemptEstablished{ID: id, Attempt: attempt, Server: s.Server})
			}
		}
		if h.b.setups.limit < 8 || h.b.setups.pausedUntil > h.now {
			t.Fatalf("after %d requests the limit is %v", i+1, h.b.setups.limit)
		}
	}
}

// Clients that reconnected in a burst were rejected after 0.75 of the latency objective and reconnected at once, while
// servers had capacity or were about to report it.
func TestRequestsWaitUntilTheLatencyObjective(t *testing.T) {
	h := newHarness(t, testConfig(), servers(2)...)
	h.loads["s00"], h.loads["s01"] = 0.95, 0.95
	for i := range 9 {
		h.request(fmt.Sprint(i), "safe")
	}
	h.advance(390 * ms)
	h.loads["s00"] = 0.2
	h.advance(105 * ms)
	if s, ok := lastAction[Send](h); !ok || s.Server != "s00" {
		t.Errorf("actions %v, want a send to the server with capacity", h.actions)
	}
	h.loads["s00"] = 0.95
	h.advance(2 * time.Second)
	h.actions = nil
	h.request("y", "safe")
	h.advance(510 * ms)
	if _, ok := lastAction[Reject](h); !ok {
		t.Errorf("actions %v, want a rejection at the latency objective", h.actions)
	}
}
