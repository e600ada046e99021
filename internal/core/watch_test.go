package core

import (
	"testing"
	"time"

	"oatloft/policy"
)

// After SIGHUP the watch on the new discovery address fails, and the previous watch, which stays open until the new one
// is answered, delivers a change during the backoff. If the module attributed that change to the new watch, it would
// begin no further watch and receive no updates once the previous one closes.
func TestPreviousWatchIsNotTheNewWatch(t *testing.T) {
	b := newTestbed(t, nil)
	b.awaitWatch()
	b.step(WatchHeartbeat{})
	cfg := b.r.config
	single[Watch](b, b.step(ConfigChanged{Config: cfg, DiscoveryMoved: true}))
	single[StopWatch](b, b.step(WatchClosed{}))
	l := EndpointsListed{Kind: policy.ListDelta, Version: 8, FromPreviousWatch: true, Endpoints: []Endpoint{
		{Address: "r1:1", Server: policy.Server{ID: "r1", Zone: "a", Weight: 1, State: policy.Draining}}}}
	b.step(l)
	if w := b.awaitWatch(); w.Version != 8 {
		t.Fatal(w)
	}
	if d := single[Dial](b, b.request(1, 2*time.Second)); d.Server != "r2" {
		t.Fatal("sent to", d.Server, "which the previous watch listed as draining")
	}
}

// The balancer is considered notified of a change 6 s after its watch fell silent, whatever the configured poll
// interval. By then a second watch must have been possible, even if the first is not answered for 1 s.
func TestSilentWatchIsReplacedInTime(t *testing.T) {
	for _, pollInterval := range []time.Duration{2 * time.Second, 10 * time.Second, time.Minute} {
		for seed := range int64(20) {
			b := newTestbed(t, func(c *Config) { c.Policy.PollInterval, c.Seed = pollInterval, seed })
			for range 8000 {
				if len(effectsOf[Watch](b.advance(TickInterval))) > 0 {
					break
				}
			}
			b.step(WatchHeartbeat{})
			if b.expectNone(withoutWatchEffects(b.advance(2200 * time.Millisecond))); b.r.Counters.Watches != 1 {
				t.Fatal("a watch whose heartbeat is slightly late was replaced")
			}
			b.step(WatchHeartbeat{})
			silentSince := b.now
			b.awaitWatch()
			b.advance(time.Second)
			b.step(WatchClosed{})
			b.awaitWatch()
			if took := b.now - silentSince; took > 5700*time.Millisecond {
				t.Fatalf("poll interval %v, seed %d: second watch %v after the last heartbeat", pollInterval, seed, took)
			}
		}
	}
}

// A balancer without a cached list requests one before any client has connected; otherwise the first clients would
// all be rejected.
func TestWatchBeginsBeforeFirstClient(t *testing.T) {
	r, err := New(newTestbed(t, func(c *Config) { c.Policy.PollInterval = 10 * time.Second }).r.config)
	if err != nil {
		t.Fatal(err)
	}
	for now := time.Hour; now < time.Hour+3*time.Second; now += TickInterval {
		for _, e := range r.Step(now, Tick{}, nil) {
			if _, isWatch := e.(Watch); isWatch {
				return
			}
		}
	}
	t.Error("no watch within 3 s")
}

// However long discovery was unreachable and whatever the configured poll interval, two watches are possible within
// the 6 s after its return at which the balancer is considered notified.
func TestWatchBackoffIsBounded(t *testing.T) {
	for _, pollInterval := range []time.Duration{2 * time.Second, 10 * time.Second, 2 * time.Minute} {
		for seed := range int64(20) {
			b := newTestbed(t, func(c *Config) { c.Policy.PollInterval, c.Seed = pollInterval, seed })
			for range 8 {
				b.awaitWatch()
				b.step(WatchClosed{})
			}
			reachableAt := b.now
			b.awaitWatch()
			b.advance(watchAnswerTimeout + 2*TickInterval) // the first watch is unanswered until it times out
			b.awaitWatch()
			if took := b.now - reachableAt; took > 4600*time.Millisecond {
				t.Fatalf("poll interval %v, seed %d: second watch %v after discovery was back", pollInterval, seed, took)
			}
		}
	}
}

// A process that starts without a list requests one soon, whatever the configured poll interval.
func TestNewProcessBeginsWatchSoon(t *testing.T) {
	for seed := range int64(20) {
		b := newTestbed(t, func(c *Config) { c.Policy.PollInterval, c.Seed = 2*time.Minute, seed })
		began := b.now
		if b.awaitWatch(); b.now-began > 2*time.Second {
			t.Fatalf("seed %d: first watch %v after the start", seed, b.now-began)
		}
	}
}

// trickleList delivers a chunk of an incomplete list every 0.5 s, for the given duration or until another watch
// begins. It fails the test if the watch that delivers them is closed.
func (b *testbed) trickleList(d time.Duration) (called bool) {
	b.t.Helper()
	for end := b.now + d; b.now < end; {
		out := b.step(WatchDataReceived{})
		for range 100 {
			out = append(out, b.advance(TickInterval)...)
			if len(effectsOf[StopWatch](out)) > 0 {
				b.t.Fatal("a watch that delivers data was closed")
			}
			if len(effectsOf[Watch](out)) > 0 {
				return true
			}
		}
	}
	return false
}

// A list may arrive in chunks for longer than a watch may be silent, both as the first answer and on an established
// watch.
func TestSlowListIsAwaited(t *testing.T) {
	b := newTestbed(t, nil)
	b.awaitWatch()
	if b.trickleList(3 * time.Second) {
		t.Fatal("another watch while the answer arrived")
	}
	b.listEndpoints(policy.ListFull, 8, policy.Live, "r1", "r2")
	if b.trickleList(3 * time.Second) {
		t.Fatal("another watch while a list arrived")
	}
	b.listEndpoints(policy.ListDelta, 9, policy.Draining, "r1")
	if d := single[Dial](b, b.request(1, 2*time.Second)); d.Server != "r2" || b.r.Counters.Watches != 1 {
		t.Fatal(d, b.r.Counters)
	}
}

// A list that never completes doesn't count as activity: the next watch begins in parallel, early enough for its answer
// to arrive within 6 s, after any number of earlier failures, and again as long as no list is complete. None of the
// slow watches is closed for that.
func TestEndlessListDoesNotBlockNextWatch(t *testing.T) {
	for _, pollInterval := range []time.Duration{500 * time.Millisecond, 10 * time.Second, 2 * time.Minute} {
		for seed := range int64(20) {
			b := newTestbed(t, func(c *Config) { c.Policy.PollInterval, c.Seed = pollInterval, seed })
			for range 5 {
				b.awaitWatch()
				b.step(WatchClosed{})
			}
			b.awaitWatch()
			for range 3 {
				began := b.now
				if !b.trickleList(time.Minute) || b.now-began > 5500*time.Millisecond {
					t.Fatalf("poll interval %v, seed %d: next watch after %v", pollInterval, seed, b.now-began)
				}
			}
			b.step(WatchHeartbeat{})
			began := b.now
			if !b.trickleList(time.Minute) || b.now-began > 5500*time.Millisecond {
				t.Fatalf("poll interval %v, seed %d: next watch %v after the last heartbeat", pollInterval, seed, b.now-began)
			}
		}
	}
}

// Silence in the middle of a list is detected like any other silence, on an unanswered and on an established watch.
func TestSilenceWithinList(t *testing.T) {
	for _, answered := range []bool{false, true} {
		b := newTestbed(t, nil)
		b.awaitWatch()
		limit := watchAnswerTimeout
		if answered {
			b.step(WatchHeartbeat{})
			limit = watchSilenceTimeout
		}
		b.advance(300 * time.Millisecond)
		b.step(WatchDataReceived{})
		silentSince := b.now
		b.awaitWatch()
		if took := b.now - silentSince; took < limit || took > limit+checkInterval+700*time.Millisecond {
			t.Errorf("answered %v: next watch %v after the last byte", answered, took)
		}
	}
}

// If a slow list completes before the next watch begins, its watch counts as established: no parallel watch begins,
// and its silence is detected.
func TestSlowListCompletedDuringBackoff(t *testing.T) {
	for _, seed := range []int64{1, 2, 3} {
		b := newTestbed(t, func(c *Config) { c.Seed = seed })
		b.awaitWatch()
		for b.r.watch.open {
			b.step(WatchDataReceived{})
			b.advance(checkInterval)
		}
		if seed == 2 {
			b.step(WatchHeartbeat{})
		} else {
			b.listEndpoints(policy.ListFull, 8, policy.Live, "r1", "r2")
		}
		if len(effectsOf[Watch](b.advance(2*time.Second))) > 0 {
			t.Fatal("a watch in parallel with an established one")
		}
		completedAt := b.now
		b.awaitWatch()
		if b.now-completedAt > 1700*time.Millisecond {
			t.Fatal("the silence of the late watch was not detected")
		}
	}
}

// A watch that replaces another is requested from the version that was current when it began. Changes that the
// previous watch delivers later are newer than the start of the new watch's answer: a server that drains again must
// not be used while the rest of that answer is in transit.
func TestOutdatedAnswer(t *testing.T) {
	listFromPrevious := func(b *testbed, seq int64, state policy.ServerState) {
		b.step(EndpointsListed{Kind: policy.ListDelta, Version: seq, FromPreviousWatch: true, Endpoints: []Endpoint{
			{Address: "r1:1", Server: policy.Server{ID: "r1", Zone: "a", Weight: 1, State: state}}}})
	}
	for name, answer := range map[string]func(*testbed){
		"delta":     func(b *testbed) { b.listEndpoints(policy.ListDelta, 8, policy.Live, "r1") },
		"full list": func(b *testbed) { b.listEndpoints(policy.ListFull, 8, policy.Live, "r1", "r2") },
		"requested": func(b *testbed) { b.listEndpoints(policy.ListFull, 7, policy.Live, "r1", "r2") },
		"heartbeat": func(b *testbed) { b.step(WatchHeartbeat{}) },
		"current":   func(b *testbed) { b.listEndpoints(policy.ListDelta, 9, policy.Draining, "r1") },
		"previous watch": func(b *testbed) {
			b.step(EndpointsListed{Kind: policy.ListFull, Version: 8, FromPreviousWatch: true, Endpoints: []Endpoint{
				{Address: "r1:1", Server: policy.Server{ID: "r1", Zone: "a", Weight: 1}},
				{Address: "r2:1", Server: policy.Server{ID: "r2", Zone: "a", Weight: 1}}}})
			b.step(WatchHeartbeat{})
		},
	} {
		t.Run(name, func(t *testing.T) {
			b := newTestbed(t, nil)
			b.awaitWatch()
			b.step(WatchHeartbeat{})
			cfg := b.r.config
			single[Watch](b, b.step(ConfigChanged{Config: cfg, DiscoveryMoved: true}))
			b.step(WatchClosed{}) // the module awaits the answer to the next watch
			if w := b.awaitWatch(); w.Version != 7 {
				t.Fatal(w)
			}
			listFromPrevious(b, 8, policy.Live)
			listFromPrevious(b, 9, policy.Draining)
			answer(b)
			for h := range Handle(9) {
				if d := single[Dial](b, b.request(h+1, 2*time.Second)); d.Server != "r2" {
					t.Fatal("sent to a server that has been draining since version 9")
				}
			}
			for range 3 { // the watch counts as answered
				if b.step(WatchHeartbeat{}); len(effectsOf[Watch](b.advance(2*time.Second))) > 0 {
					t.Fatal("another watch began")
				}
			}
			b.listEndpoints(policy.ListDelta, 10, policy.Live, "r1")
			if b.r.endpoints.byID["r1"].State != policy.Live {
				t.Fatal("version 10 was not applied")
			}
		})
	}
}

// A discovery service that was set up anew restarts its version numbers: its lists are applied although their versions
// are lower.
func TestVersionReset(t *testing.T) {
	for _, kind := range []policy.ListKind{policy.ListDelta, policy.ListFull} {
		b := newTestbed(t, nil)
		b.awaitWatch()
		b.step(WatchClosed{})
		if w := b.awaitWatch(); w.Version != 7 {
			t.Fatal(w)
		}
		b.listEndpoints(kind, 2, policy.Draining, "r1", "r2")
		if b.r.endpoints.byID["r1"].State != policy.Draining {
			t.Fatal("a delta with a lower version was ignored")
		}
		if b.listEndpoints(policy.ListFull, 3, policy.Draining, "r1"); b.r.endpoints.version != 3 ||
			b.r.endpoints.byID["r2"] != nil {
			t.Fatal("a full list with a lower version was ignored", b.r.endpoints.version)
		}
	}
}

// A repeated list changes nothing, and of several entries for one server in a list the last one applies.
func TestRepeatedListsAndEntries(t *testing.T) {
	server := func(id string, state policy.ServerState) Endpoint {
		return Endpoint{Address: id + ":1", Server: policy.Server{ID: id, Zone: "a", Weight: 1, State: state}}
	}
	b := newTestbed(t, nil)
	b.awaitWatch()
	for range 2 {
		b.listEndpoints(policy.ListDelta, 8, policy.Draining, "r1")
		b.listEndpoints(policy.ListFull, 8, policy.Live, "r2", "r3")
	}
	if len(b.r.endpoints.byID) != 2 || b.r.endpoints.version != 8 {
		t.Fatal(b.r.endpoints.byID)
	}
	client := Handle(0)
	for _, kind := range []policy.ListKind{policy.ListDelta, policy.ListFull} {
		for _, x := range []struct{ first, last policy.ServerState }{
			{policy.Live, policy.Draining}, {policy.Draining, policy.Live}, {policy.Gone, policy.Live},
			{policy.Live, policy.Gone}, {policy.Gone, policy.Draining}} {
			b.step(
				EndpointsListed{
					Kind:      kind,
					Version:   9,
					Endpoints: []Endpoint{server("r2", policy.Draining), server("r3", x.first), server("r3", x.last)},
				},
			)
			client++
			effects := b.request(client, time.Second)
			if sent := len(effectsOf[Dial](effects)) > 0; sent != (x.last == policy.Live) {
				t.Errorf("first %v, last %v: sent %v", x.first, x.last, sent)
			}
			b.step(ClientClosed{Client: client, Reason: CloseReset})
		}
	}
}

// A malformed entry leaves the current state of its server unchanged, also in a full list.
func TestMalformedEntryKeepsServer(t *testing.T) {
	b := newTestbed(t, nil)
	b.awaitWatch()
	b.step(EndpointsListed{Kind: policy.ListFull, Version: 8, Malformed: []string{"r1", "never listed"},
		Endpoints: []Endpoint{
			{Address: "r2:1", Server: policy.Server{ID: "r2", Zone: "a", Weight: 1, State: policy.Draining}},
		}})
	if d := single[Dial](b, b.request(1, 2*time.Second)); d.Server != "r1" || len(b.r.endpoints.byID) != 2 {
		t.Fatal(d, b.r.endpoints.byID)
	}
}

// A server whose start time is in the future, because of clock skew, counts as started now: otherwise it would be
// warming up until that time, however far ahead.
func TestStartTimeInFuture(t *testing.T) {
	b := newTestbed(t, nil)
	b.awaitWatch()
	b.step(EndpointsListed{Kind: policy.ListDelta, Version: 8, Endpoints: []Endpoint{
		{Address: "r1:1", Server: policy.Server{ID: "r1", Zone: "a", Weight: 1, StartedAt: b.now + 24*time.Hour}}}})
	if at := b.r.endpoints.byID["r1"].StartedAt; at != b.now {
		t.Fatal("start time", at-b.now, "in the future")
	}
}
