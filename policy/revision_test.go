package policy

import (
	"fmt"
	"testing"
	"time"
)

// asks sends n new requests of a class, answers all probes with load x, and counts the attempts at each server. Each
// client disconnects at once. It also returns the number of rejections.
func asks(b *Balancer, now time.Duration, n int, class string, x float64) (at map[string]int, refused int) {
	at = map[string]int{}
	for i := range n {
		now += 10 * time.Second
		q := Request{ID: fmt.Sprint(class, now, i), Key: fmt.Sprint(now), Class: class, Timeout: 2 * time.Second}
		out := b.Step(now, q, nil)
		for k := 0; k < len(out); k++ {
			switch a := out[k].(type) {
			case Probe:
				out = b.Step(now, ProbeResult{Server: a.Server, Report: report(x, 40)}, out)
			case Send:
				at[a.Server]++
			case Reject:
				refused++
			}
		}
		b.Step(now, ClientDisconnected{ID: q.ID}, nil)
	}
	return at, refused
}

// A server or zone of weight 0 gets no new requests, a server of a lower weight is sampled less in proportion, and a
// mid-flow connection is still sent to its server.
func TestRevisionsLeaveOutAndWeigh(t *testing.T) {
	b, now := listed(t, 6, func(c *Config) { c.Weights = map[string]float64{"s1": 0, "s2": 0.05} })
	at, _ := asks(b, now, 400, "safe", 0.2)
	if at["s1"] > 0 || at["s2"] == 0 || at["s2"] > at["s3"]/3 {
		t.Errorf("sent: %v", at)
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
	zone, _ := listed(t, 6, func(c *Config) { c.Weights = map[string]float64{"zone/a": 0} })
	if at, _ := asks(zone, now, 50, "safe", 0.2); len(at) > 0 {
		t.Errorf("sent to a zone of weight 0: %v", at)
	}
}

// While the lease is suspended between two revisions, nothing is placed and nothing is rejected before the latency
// objective. When the lease has expired, all waiting requests are rejected at once; when it is active again, requests
// are placed.
func TestNothingIsPlacedWithoutAPermit(t *testing.T) {
	b, now := listed(t, 4, nil)
	b.Step(now, LeaseSuspended, nil)
	q := Request{ID: "q", Key: "k", Class: "safe", Timeout: 2 * time.Second}
	out := b.Step(now, q, nil)
	out = b.Step(now+50*time.Millisecond, TimerFired{"tick"}, out)
	for _, a := range out {
		switch a.(type) {
		case Send, Reject, Fail:
			t.Fatalf("with a suspended lease: %#v", a)
		}
	}
	out = b.Step(now+60*time.Millisecond, LeaseExpired, nil)
	refused := 0
	for _, a := range b.Step(now+80*time.Millisecond, TimerFired{"tick"}, out) {
		if r, ok := a.(Reject); ok && r.ID == "q" {
			refused++
		}
	}
	if refused != 1 {
		t.Errorf("rejected %d times, want once", refused)
	}
	b.Step(now+time.Second, LeaseActive, nil)
	if at, _ := asks(b, now+time.Second, 20, "safe", 0.2); len(at) == 0 {
		t.Error("nothing was placed with an active lease")
	}
}

// If capacity is scarce, the class of the lowest priority is rejected first, and a saturated link admits only the
// highest priorities.
func TestOrdersOfClasses(t *testing.T) {
	b, now := listed(t, 4, func(c *Config) {
		c.Classes = []Class{
			{Name: "first", LatencyObjective: time.Second, PriorityRank: 1},
			{Name: "last", LatencyObjective: time.Second, PriorityRank: 3},
		}
	})
	first, _ := asks(b, now, 100, "first", 0.72)
	last, _ := asks(b, now+2000*time.Second, 100, "last", 0.72)
	if len(first) == 0 || len(last) > 0 {
		t.Errorf("at a load of 0.72, sent of the first class: %v, of the last: %v", first, last)
	}
	b.Step(now+4000*time.Second, SaturatedLinks{Zones: map[string]int{"a": 1}}, nil)
	first, _ = asks(b, now+4000*time.Second, 50, "first", 0.2)
	last, _ = asks(b, now+6000*time.Second, 50, "last", 0.2)
	if len(first) == 0 || len(last) > 0 {
		t.Errorf("over a saturated link, sent of the first class: %v, of the last: %v", first, last)
	}
}

// The retries of all requests respect the retry budget, and the attempts of a class respect its own limit.
func TestBudgetsOfAttempts(t *testing.T) {
	tries := func(change func(c *Config)) (n int) {
		b, now := listed(t, 8, change)
		for i := range 200 {
			now += 100 * time.Millisecond
			q := Request{ID: fmt.Sprint(i), Key: fmt.Sprint(i), Class: "safe", Timeout: 2 * time.Second}
			out := b.Step(now, q, nil)
			for k := 0; k < len(out); k++ {
				switch a := out[k].(type) {
				case Probe:
					out = b.Step(now, ProbeResult{Server: a.Server, Report: report(0.2, 40)}, out)
				case Send:
					n++
					r := b.requests.byID[a.ID]
					out = b.Step(now, AttemptEnded{ID: a.ID, Attempt: r.attempts - 1, Server: a.Server, Result: ResultRejected}, out)
				}
			}
		}
		return n
	}
	free := tries(nil)
	budget := tries(func(c *Config) { c.RetryRatio = 0.1 })
	own := tries(func(c *Config) { c.Classes[0].MaxAttempts = 1 })
	if free < 300 || budget > 200+int(maxRetryTokens)+21 || own != 200 {
		t.Errorf("attempts: %d without a budget, %d with a ratio of 0.1, %d with one per request", free, budget, own)
	}
}

// Connections established on a server of weight 0 are migrated at the rate of the revision, or stay if the rate is 0.
func TestStandingConnectionsLeaveAtARate(t *testing.T) {
	for _, moves := range []float64{0, 5} {
		b, now := listed(t, 4, nil)
		for i := range 60 {
			b.Step(now, AdoptedConnection{Request{ID: fmt.Sprint(i), Key: fmt.Sprint(i), Class: "safe"}, "s1"}, nil)
		}
		c := b.config
		c.Weights, c.MigrationsPerSecond = map[string]float64{"s1": 0}, moves
		b.Step(now, ConfigUpdate{c}, nil)
		n := 0
		for i := range 200 { // 4 s
			for _, a := range b.Step(now+time.Duration(i+1)*20*time.Millisecond, TimerFired{"tick"}, nil) {
				if _, ok := a.(Migrate); ok {
					n++
				}
			}
		}
		if moves == 0 && n > 3 || moves > 0 && (n < 8 || n > 36) {
			t.Errorf("at %v migrations per second: %d in 4 s", moves, n)
		}
	}
}
