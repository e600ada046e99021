package policy

import (
	"fmt"
	"testing"
	"time"
)

// placeRequests sends n new requests of a class, answers all probes with the given load, and counts the attempts at
// each server. Each client disconnects at once. It also returns the number of rejections.
func placeRequests(
	b *Balancer,
	now time.Duration,
	n int,
	class string,
	load float64,
) (attempts map[string]int, rejections int) {
	attempts = map[string]int{}
	for i := range n {
		now += 10 * time.Second
		q := Request{ID: fmt.Sprint(class, now, i), Key: fmt.Sprint(now), Class: class, Timeout: 2 * time.Second}
		actions := b.Step(now, q, nil)
		for k := 0; k < len(actions); k++ {
			switch a := actions[k].(type) {
			case Probe:
				actions = b.Step(now, ProbeResult{Server: a.Server, Report: report(load, 40)}, actions)
			case Send:
				attempts[a.Server]++
			case Reject:
				rejections++
			}
		}
		b.Step(now, ClientDisconnected{ID: q.ID}, nil)
	}
	return attempts, rejections
}

// A server or zone of weight 0 gets no new requests, a server of a lower weight is sampled less in proportion, and a
// mid-flow connection is still sent to its server.
func TestServerAndZoneWeights(t *testing.T) {
	b, now := newListedBalancer(t, 6, func(c *Config) { c.Weights = map[string]float64{"s1": 0, "s2": 0.05} })
	attempts, _ := placeRequests(b, now, 400, "safe", 0.2)
	if attempts["s1"] > 0 || attempts["s2"] == 0 || attempts["s2"] > attempts["s3"]/3 {
		t.Errorf("sent: %v", attempts)
	}
	r := &request{
		Request:      Request{ID: "x", Class: "safe", MidFlow: true},
		class:        b.classes.byName["safe"],
		mayHaveRunAt: -1,
	}
	if !b.usable(b.servers.byID["s1"], r) {
		t.Error("a mid-flow connection can't continue on a server of weight 0")
	}
	if r.MidFlow = false; b.usable(b.servers.byID["s1"], r) {
		t.Error("a server of weight 0 is usable for a new request")
	}
	zone, _ := newListedBalancer(t, 6, func(c *Config) { c.Weights = map[string]float64{"zone/a": 0} })
	if attempts, _ := placeRequests(zone, now, 50, "safe", 0.2); len(attempts) > 0 {
		t.Errorf("sent to a zone of weight 0: %v", attempts)
	}
}

// While the lease is suspended between two revisions, nothing is placed and nothing is rejected before the latency
// objective. When the lease has expired, all waiting requests are rejected at once; when it is active again, requests
// are placed.
func TestNothingIsPlacedWithoutALease(t *testing.T) {
	b, now := newListedBalancer(t, 4, nil)
	b.Step(now, LeaseSuspended, nil)
	q := Request{ID: "q", Key: "k", Class: "safe", Timeout: 2 * time.Second}
	actions := b.Step(now, q, nil)
	actions = b.Step(now+50*time.Millisecond, TimerFired{"tick"}, actions)
	for _, a := range actions {
		switch a.(type) {
		case Send, Reject, Fail:
			t.Fatalf("with a suspended lease: %#v", a)
		}
	}
	actions = b.Step(now+60*time.Millisecond, LeaseExpired, nil)
	rejections := 0
	for _, a := range b.Step(now+80*time.Millisecond, TimerFired{"tick"}, actions) {
		if r, ok := a.(Reject); ok && r.ID == "q" {
			rejections++
		}
	}
	if rejections != 1 {
		t.Errorf("rejected %d times, want once", rejections)
	}
	b.Step(now+time.Second, LeaseActive, nil)
	if attempts, _ := placeRequests(b, now+time.Second, 20, "safe", 0.2); len(attempts) == 0 {
		t.Error("nothing was placed with an active lease")
	}
}

// If capacity is scarce, the class of the lowest priority is rejected first, and a saturated link admits only the
// highest priorities.
func TestPriorityRanks(t *testing.T) {
	b, now := newListedBalancer(t, 4, func(c *Config) {
		c.Classes = []Class{
			{Name: "first", LatencyObjective: time.Second, PriorityRank: 1},
			{Name: "last", LatencyObjective: time.Second, PriorityRank: 3},
		}
	})
	first, _ := placeRequests(b, now, 100, "first", 0.72)
	last, _ := placeRequests(b, now+2000*time.Second, 100, "last", 0.72)
	if len(first) == 0 || len(last) > 0 {
		t.Errorf("at a load of 0.72, sent of the first class: %v, of the last: %v", first, last)
	}
	b.Step(now+4000*time.Second, SaturatedLinks{Zones: map[string]int{"a": 1}}, nil)
	first, _ = placeRequests(b, now+4000*time.Second, 50, "first", 0.2)
	last, _ = placeRequests(b, now+6000*time.Second, 50, "last", 0.2)
	if len(first) == 0 || len(last) > 0 {
		t.Errorf("over a saturated link, sent of the first class: %v, of the last: %v", first, last)
	}
}

// The retries of all requests respect the retry budget, and the attempts of a class respect its own limit.
func TestRetryBudgets(t *testing.T) {
	attempts := func(change func(c *Config)) (n int) {
		b, now := newListedBalancer(t, 8, change)
		for i := range 200 {
			now += 100 * time.Millisecond
			q := Request{ID: fmt.Sprint(i), Key: fmt.Sprint(i), Class: "safe", Timeout: 2 * time.Second}
			actions := b.Step(now, q, nil)
			for k := 0; k < len(actions); k++ {
				switch a := actions[k].(type) {
				case Probe:
					actions = b.Step(now, ProbeResult{Server: a.Server, Report: report(0.2, 40)}, actions)
				case Send:
					n++
					r := b.requests.byID[a.ID]
					actions = b.Step(
						now,
						AttemptEnded{ID: a.ID, Attempt: r.attempts - 1, Server: a.Server, Result: ResultRejected},
						actions,
					)
				}
			}
		}
		return n
	}
	unlimited := attempts(nil)
	budget := attempts(func(c *Config) { c.RetryRatio = 0.1 })
	onePerRequest := attempts(func(c *Config) { c.Classes[0].MaxAttempts = 1 })
	if unlimited < 300 || budget > 200+int(maxRetryTokens)+21 || onePerRequest != 200 {
		t.Errorf(
			"attempts: %d without a budget, %d with a ratio of 0.1, %d with one per request",
			unlimited,
			budget,
			onePerRequest,
		)
	}
}

// Connections established on a server of weight 0 are migrated at the rate of the revision, or stay if the rate is 0.
func TestMigrationRateFromServerOfWeightZero(t *testing.T) {
	for _, rate := range []float64{0, 5} {
		b, now := newListedBalancer(t, 4, nil)
		for i := range 60 {
			b.Step(now, AdoptedConnection{Request{ID: fmt.Sprint(i), Key: fmt.Sprint(i), Class: "safe"}, "s1"}, nil)
		}
		c := b.config
		c.Weights, c.MigrationsPerSecond = map[string]float64{"s1": 0}, rate
		b.Step(now, ConfigUpdate{c}, nil)
		n := 0
		for i := range 200 { // 4 s
			for _, a := range b.Step(now+time.Duration(i+1)*20*time.Millisecond, TimerFired{"tick"}, nil) {
				if _, ok := a.(Migrate); ok {
					n++
				}
			}
		}
		if rate == 0 && n > 3 || rate > 0 && (n < 8 || n > 36) {
			t.Errorf("at %v migrations per second: %d in 4 s", rate, n)
		}
	}
}
