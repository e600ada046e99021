package policy

import (
	"fmt"
	"math"
	"testing"
	"time"
)

// A starting server reports no load, and the new requests of the whole fleet would overload it.
func TestStartingServerGetsItsBudget(t *testing.T) {
	c := testConfig()
	c.Balancers = 20
	list := servers(2)
	list[1].StartedAt = time.Hour
	h := newHarness(t, c, list...)
	h.loads["s00"], h.inFlight["s00"] = 0.6, 30 // 50 connections fill a server
	h.b.applyReport(h.b.servers.byID["s00"], LoadReport{Load: 0.6, InFlight: 30, BacklogSeconds: -1})
	sent := 0
	for i := range 300 {
		id := fmt.Sprint(i)
		h.request(id, "safe")
		h.advance(10 * ms)
		if s, ok := lastAction[Send](h); ok && s.ID == id {
			if s.Server == "s01" {
				sent++
			}
			h.feed(AttemptEstablished{ID: id, Server: s.Server})
		}
		h.feed(ClientDisconnected{ID: id})
	}
	// In 3 s all balancers may send at most 3 * 0.51 * 50/10 * 3 = 23 requests, and this one 1/20 of that.
	if sent > 2 {
		t.Errorf("%d connections within 3 s of the start, want at most 2", sent)
	}
}

// Unused warm-up budget expires. If eighty balancers saved it up, they would all send at the same time.
func TestUnusedWarmUpBudgetExpires(t *testing.T) {
	c := testConfig()
	c.Balancers = 80
	c.OverloadWindow = 3 * time.Second
	list := servers(1)
	list[0].StartedAt = time.Hour
	ready := 0
	for seed := range int64(400) {
		b, _ := New(c, seed)
		b.Step(time.Hour, ServerList{Kind: ListFull, Servers: list}, nil)
		s := b.servers.byID["s00"]
		s.estimate.step = 0.02 // 50 connections fill it
		for at := range 30 {
			b.now = time.Hour + time.Duration(at)*100*ms
			b.refillWarmUpBudget(s)
		}
		if b.refillWarmUpBudget(s) >= 1 {
			ready++
		}
	}
	// A balancer's share is 0.6*3*0.51*50/10/80 = 0.057 requests per second; a quarter of that in 3 s is 0.043.
	if ready == 0 || ready > 40 {
		t.Errorf("%d of 400 balancers could send at once after 3 s without requests", ready)
	}
}

// A balancer without connections must not assume that few connections fill a starting server. Otherwise it would have
// no budget for the server, so it would never probe it and never correct the estimate.
func TestLoadStepOfStartingServerComesFromOthers(t *testing.T) {
	c := testConfig()
	c.Balancers = 80
	list := servers(3)
	list[2].StartedAt = time.Hour
	h := newHarness(t, c, list...)
	for _, id := range []string{"s00", "s01"} {
		for range 20 {
			h.b.applyReport(h.b.servers.byID[id], LoadReport{Load: 0.7, Utilization: -1, InFlight: 140, BacklogSeconds: -1})
		}
	}
	warming := h.b.servers.byID["s02"]
	if got, want := h.b.loadStep(warming), 0.005/h.b.warmUpCapacity(warming); math.Abs(got/want-1) > 0.1 {
		t.Errorf("the load step of a warming server is %.4f, by the other servers' reports it is %.4f", got, want)
	}
	h.b.applyReport(warming, LoadReport{Load: 0.09, Utilization: -1, InFlight: 3, BacklogSeconds: -1}) // three heavy ones
	if got, want := h.b.loadStep(warming), 0.005/h.b.warmUpCapacity(warming); got > 1.4*want {
		t.Errorf("three connections changed the load step to %.4f", got)
	}
}

// During an upgrade two processes send to a starting server for one balancer. Each must use half of the balancer's
// share.
func TestWarmUpBudgetIsDividedBetweenProcesses(t *testing.T) {
	sent := func(overlapping int) (n int) {
		b, err := New(
			Config{
				Zone:                  "a",
				Balancers:             2,
				MaxAttempts:           2,
				ProbesEnabled:         true,
				PollEndpointList:      true,
				OverlappingProcesses:  overlapping,
				PollInterval:          10 * time.Second,
				WarmUpInitialCapacity: 0.4,
				WarmUpDuration:        8 * time.Second,
				OverloadMultiple:      4,
				OverloadWindow:        3 * time.Second,
				Classes:               []Class{{Name: "chat", LatencyObjective: 800 * time.Millisecond}},
			},
			5,
		)
		if err != nil {
			t.Fatal(err)
		}
		now := time.Hour
		b.Step(now, ServerList{Kind: ListFull, Servers: []Server{{ID: "s", Zone: "a", Weight: 1, StartedAt: now}}}, nil)
		for i := range 400 {
			now += 10 * time.Millisecond
			actions := b.Step(
				now,
				Request{ID: fmt.Sprint(i), Key: fmt.Sprint(i), Class: "chat", Timeout: 700 * time.Millisecond},
				nil,
			)
			actions = b.Step(now, TimerFired{Token: "tick"}, actions)
			for j := 0; j < len(actions); j++ {
				switch a := actions[j].(type) {
				case Probe:
					actions = b.Step(now, ProbeResult{Server: a.Server, Result: ResultOK, Report: report(0.2, 20)}, actions)
				case Send:
					n++
					actions = b.Step(now, AttemptEstablished{ID: a.ID, Server: a.Server}, actions)
				}
			}
		}
		return n
	}
	alone, both := sent(0), sent(1)
	if alone < 4 || both > alone*2/3 {
		t.Fatalf("%d requests by a single process, %d by each of two", alone, both)
	}
}
