package core

import (
	"testing"
	"time"

	"oatloft/policy"
)

// After SIGHUP the call to the new discovery failed, and the old watch, which goes on until the new one has
// answered, brought a change in the back-off. The module took that for its own watch's and asked no more: deaf once
// the old one ended.
func TestFormerWatchStandsForNoWatch(t *testing.T) {
	b := newBed(t, nil)
	b.watch()
	b.do(WatchHeartbeat{})
	cfg := b.r.config
	find[Watch](b, b.do(ConfigChanged{Config: cfg, DiscoveryMoved: true}))
	find[StopWatch](b, b.do(WatchClosed{}))
	l := EndpointsListed{Kind: policy.ListDelta, Version: 8, FromPreviousWatch: true, Endpoints: []Endpoint{
		{Address: "r1:1", Server: policy.Server{ID: "r1", Zone: "a", Weight: 1, State: policy.Draining}}}}
	b.do(l)
	if w := b.watch(); w.Version != 8 {
		t.Fatal(w)
	}
	if d := find[Dial](b, b.open(1, 2*time.Second)); d.Server != "r2" {
		t.Fatal("sent to", d.Server, "which the old watch told of as draining")
	}
}

// What a silent watch misses counts as told 6 s after the silence began, however long the settings let a balancer go
// without asking: by then a second call must have been possible, even where the first is not answered for 1 s.
func TestSilentWatchIsBegunAnewInTime(t *testing.T) {
	for _, within := range []time.Duration{2 * time.Second, 10 * time.Second, time.Minute} {
		for seed := range int64(20) {
			b := newBed(t, func(c *Config) { c.Policy.PollInterval, c.Seed = within, seed })
			for range 8000 {
				if len(all[Watch](b.pass(TickInterval))) > 0 {
					break
				}
			}
			b.do(WatchHeartbeat{})
			if b.none(withoutWatch(b.pass(2200 * time.Millisecond))); b.r.Counters.Watches != 1 {
				t.Fatal("a watch that is a little late was begun anew")
			}
			b.do(WatchHeartbeat{})
			silent := b.now
			b.watch()
			b.pass(time.Second)
			b.do(WatchClosed{})
			b.watch()
			if took := b.now - silent; took > 5700*time.Millisecond {
				t.Fatalf("asked within %v, seed %d: the second call came %v after the last word", within, seed, took)
			}
		}
	}
}

// A balancer that is given no list of before calls for one though no terminal has come: the first ones would all be
// refused.
func TestTheListIsAskedForBeforeTheFirstTerminal(t *testing.T) {
	r, err := New(newBed(t, func(c *Config) { c.Policy.PollInterval = 10 * time.Second }).r.config)
	if err != nil {
		t.Fatal(err)
	}
	for now := time.Hour; now < time.Hour+3*time.Second; now += TickInterval {
		for _, e := range r.Step(now, Tick{}, nil) {
			if _, asks := e.(Watch); asks {
				return
			}
		}
	}
	t.Error("no call to discovery in three seconds")
}

// Discovery may be down for as long as it likes: once it is back, two calls are possible within the six seconds after
// which what it has to tell counts as told, however rarely the settings have a balancer ask.
func TestCallsFollowSoonAfterManyHaveFailed(t *testing.T) {
	for _, within := range []time.Duration{2 * time.Second, 10 * time.Second, 2 * time.Minute} {
		for seed := range int64(20) {
			b := newBed(t, func(c *Config) { c.Policy.PollInterval, c.Seed = within, seed })
			for range 8 {
				b.watch()
				b.do(WatchClosed{})
			}
			back := b.now
			b.watch()
			b.pass(unansweredLimit + 2*TickInterval) // the first call hangs until it is given up
			b.watch()
			if took := b.now - back; took > 4600*time.Millisecond {
				t.Fatalf("asked within %v, seed %d: the second call after discovery was back began %v later", within, seed, took)
			}
		}
	}
}

// A process that starts with no list asks for one soon, however rarely the settings have it ask.
func TestANewProcessAsksSoon(t *testing.T) {
	for seed := range int64(20) {
		b := newBed(t, func(c *Config) { c.Policy.PollInterval, c.Seed = 2*time.Minute, seed })
		began := b.now
		if b.watch(); b.now-began > 2*time.Second {
			t.Fatalf("seed %d: the first call %v after the start", seed, b.now-began)
		}
	}
}

// listTrickle brings a piece of an unfinished answer every half second, for as long as given or until a call
// begins. It fails where the call that brings them is ended.
func (b *bed) listTrickle(d time.Duration) (called bool) {
	b.t.Helper()
	for end := b.now + d; b.now < end; {
		out := b.do(WatchDataReceived{})
		for range 100 {
			out = append(out, b.pass(TickInterval)...)
			if len(all[StopWatch](out)) > 0 {
				b.t.Fatal("a call by which bytes come was ended")
			}
			if len(all[Watch](out)) > 0 {
				return true
			}
		}
	}
	return false
}

// A list may come in pieces over longer than a call may be silent: the answer to a call, and one by a watch that
// stands.
func TestListInPiecesIsWaitedFor(t *testing.T) {
	b := newBed(t, nil)
	b.watch()
	if b.listTrickle(3 * time.Second) {
		t.Fatal("called again while the answer came")
	}
	b.list(policy.ListFull, 8, policy.Live, "r1", "r2")
	if b.listTrickle(3 * time.Second) {
		t.Fatal("called again while a list came")
	}
	b.list(policy.ListDelta, 9, policy.Draining, "r1")
	if d := find[Dial](b, b.open(1, 2*time.Second)); d.Server != "r2" || b.r.Counters.Watches != 1 {
		t.Fatal(d, b.r.Counters)
	}
}

// A list without end stands for no life: the next call begins beside it while the rest of six seconds is left for
// the answer, after any number of failures before, and again for as long as no list is whole. None of them is ended
// for it.
func TestListWithoutEndIsNoLife(t *testing.T) {
	for _, within := range []time.Duration{500 * time.Millisecond, 10 * time.Second, 2 * time.Minute} {
		for seed := range int64(20) {
			b := newBed(t, func(c *Config) { c.Policy.PollInterval, c.Seed = within, seed })
			for range 5 {
				b.watch()
				b.do(WatchClosed{})
			}
			b.watch()
			for range 3 {
				began := b.now
				if !b.listTrickle(time.Minute) || b.now-began > 5500*time.Millisecond {
					t.Fatalf("asked within %v, seed %d: the next call came after %v", within, seed, b.now-began)
				}
			}
			b.do(WatchHeartbeat{})
			began := b.now
			if !b.listTrickle(time.Minute) || b.now-began > 5500*time.Millisecond {
				t.Fatalf("asked within %v, seed %d: the next call came %v after the last whole line", within, seed, b.now-began)
			}
		}
	}
}

// Silence in the middle of a list is silence like any other, of a call and of a watch that stands.
func TestSilenceInsideAListIsMinded(t *testing.T) {
	for _, answered := range []bool{false, true} {
		b := newBed(t, nil)
		b.watch()
		quiet := unansweredLimit
		if answered {
			b.do(WatchHeartbeat{})
			quiet = watchSilenceLimit
		}
		b.pass(300 * time.Millisecond)
		b.do(WatchDataReceived{})
		silent := b.now
		b.watch()
		if took := b.now - silent; took < quiet || took > quiet+checkInterval+700*time.Millisecond {
			t.Errorf("answered %v: called again %v after the last byte", answered, took)
		}
	}
}

// Where the slow list is whole before the next call begins, its watch stands like any other: nobody calls beside
// it, and its silence is minded.
func TestSlowListInTheBackOffStands(t *testing.T) {
	for _, seed := range []int64{1, 2, 3} {
		b := newBed(t, func(c *Config) { c.Seed = seed })
		b.watch()
		for b.r.watch.open {
			b.do(WatchDataReceived{})
			b.pass(checkInterval)
		}
		if seed == 2 {
			b.do(WatchHeartbeat{})
		} else {
			b.list(policy.ListFull, 8, policy.Live, "r1", "r2")
		}
		if len(all[Watch](b.pass(2*time.Second))) > 0 {
			t.Fatal("a call beside a watch that stands")
		}
		heard := b.now
		b.watch()
		if b.now-heard > 1700*time.Millisecond {
			t.Fatal("nobody minds the silence of the watch that came late")
		}
	}
}

// A watch that follows another is asked from the version held when its call began. What the earlier one has brought
// since is newer than what the answer begins with: a server that drains again must not be used for as long as the
// answer's rest is under way.
func TestAnswerThatWasOvertaken(t *testing.T) {
	former := func(b *bed, seq int64, state policy.ServerState) {
		b.do(EndpointsListed{Kind: policy.ListDelta, Version: seq, FromPreviousWatch: true, Endpoints: []Endpoint{
			{Address: "r1:1", Server: policy.Server{ID: "r1", Zone: "a", Weight: 1, State: state}}}})
	}
	for name, answer := range map[string]func(*bed){
		"delta":      func(b *bed) { b.list(policy.ListDelta, 8, policy.Live, "r1") },
		"whole":      func(b *bed) { b.list(policy.ListFull, 8, policy.Live, "r1", "r2") },
		"as asked":   func(b *bed) { b.list(policy.ListFull, 7, policy.Live, "r1", "r2") },
		"empty line": func(b *bed) { b.do(WatchHeartbeat{}) },
		"as held":    func(b *bed) { b.list(policy.ListDelta, 9, policy.Draining, "r1") },
		"former": func(b *bed) {
			b.do(EndpointsListed{Kind: policy.ListFull, Version: 8, FromPreviousWatch: true, Endpoints: []Endpoint{
				{Address: "r1:1", Server: policy.Server{ID: "r1", Zone: "a", Weight: 1}},
				{Address: "r2:1", Server: policy.Server{ID: "r2", Zone: "a", Weight: 1}}}})
			b.do(WatchHeartbeat{})
		},
	} {
		t.Run(name, func(t *testing.T) {
			b := newBed(t, nil)
			b.watch()
			b.do(WatchHeartbeat{})
			cfg := b.r.config
			find[Watch](b, b.do(ConfigChanged{Config: cfg, DiscoveryMoved: true}))
			b.do(WatchClosed{}) // the module waits for the answer to the next one
			if w := b.watch(); w.Version != 7 {
				t.Fatal(w)
			}
			former(b, 8, policy.Live)
			former(b, 9, policy.Draining)
			answer(b)
			for h := range Handle(9) {
				if d := find[Dial](b, b.open(h+1, 2*time.Second)); d.Server != "r2" {
					t.Fatal("sent to a server that drains since version 9")
				}
			}
			for range 3 { // the call counts as answered
				if b.do(WatchHeartbeat{}); len(all[Watch](b.pass(2*time.Second))) > 0 {
					t.Fatal("called again")
				}
			}
			b.list(policy.ListDelta, 10, policy.Live, "r1")
			if b.r.endpoints.byID["r1"].State != policy.Live {
				t.Fatal("version 10 isn't believed")
			}
		})
	}
}

// A discovery that was set up anew counts from the beginning: what it says is believed, though its versions are
// lower.
func TestVersionsThatBeginAnew(t *testing.T) {
	for _, kind := range []policy.ListKind{policy.ListDelta, policy.ListFull} {
		b := newBed(t, nil)
		b.watch()
		b.do(WatchClosed{})
		if w := b.watch(); w.Version != 7 {
			t.Fatal(w)
		}
		b.list(kind, 2, policy.Draining, "r1", "r2")
		if b.r.endpoints.byID["r1"].State != policy.Draining {
			t.Fatal("news of a lower version were passed over")
		}
		if b.list(policy.ListFull, 3, policy.Draining, "r1"); b.r.endpoints.version != 3 || b.r.endpoints.byID["r2"] != nil {
			t.Fatal("a whole list of a lower version was passed over", b.r.endpoints.version)
		}
	}
}

// A list that comes twice changes nothing, and one server named several times in a list is what its last entry says.
func TestTheSameTwice(t *testing.T) {
	server := func(id string, state policy.ServerState) Endpoint {
		return Endpoint{Address: id + ":1", Server: policy.Server{ID: id, Zone: "a", Weight: 1, State: state}}
	}
	b := newBed(t, nil)
	b.watch()
	for range 2 {
		b.list(policy.ListDelta, 8, policy.Draining, "r1")
		b.list(policy.ListFull, 8, policy.Live, "r2", "r3")
	}
	if len(b.r.endpoints.byID) != 2 || b.r.endpoints.version != 8 {
		t.Fatal(b.r.endpoints.byID)
	}
	client := Handle(0)
	for _, kind := range []policy.ListKind{policy.ListDelta, policy.ListFull} {
		for _, x := range []struct{ first, last policy.ServerState }{
			{policy.Live, policy.Draining}, {policy.Draining, policy.Live}, {policy.Gone, policy.Live},
			{policy.Live, policy.Gone}, {policy.Gone, policy.Draining}} {
			b.do(
				EndpointsListed{
					Kind:      kind,
					Version:   9,
					Endpoints: []Endpoint{server("r2", policy.Draining), server("r3", x.first), server("r3", x.last)},
				},
			)
			client++
			effects := b.open(client, time.Second)
			if sent := len(all[Dial](effects)) > 0; sent != (x.last == policy.Live) {
				t.Errorf("first %v, last %v: sent %v", x.first, x.last, sent)
			}
			b.do(ClientClosed{Client: client, Reason: CloseReset})
		}
	}
}

// An entry that can't be read changes nothing of what is held of its server, also where the list is whole.
func TestUnreadEntryKeepsWhatIsHeld(t *testing.T) {
	b := newBed(t, nil)
	b.watch()
	b.do(EndpointsListed{Kind: policy.ListFull, Version: 8, Malformed: []string{"r1", "never listed"},
		Endpoints: []Endpoint{
			{Address: "r2:1", Server: policy.Server{ID: "r2", Zone: "a", Weight: 1, State: policy.Draining}},
		}})
	if d := find[Dial](b, b.open(1, 2*time.Second)); d.Server != "r1" || len(b.r.endpoints.byID) != 2 {
		t.Fatal(d, b.r.endpoints.byID)
	}
}

// A server whose start lies ahead, by a clock that is off, counts as started now: until then, it would be as cold as
// before its start, for however long.
func TestStartThatLiesAhead(t *testing.T) {
	b := newBed(t, nil)
	b.watch()
	b.do(EndpointsListed{Kind: policy.ListDelta, Version: 8, Endpoints: []Endpoint{
		{Address: "r1:1", Server: policy.Server{ID: "r1", Zone: "a", Weight: 1, StartedAt: b.now + 24*time.Hour}}}})
	if at := b.r.endpoints.byID["r1"].StartedAt; at != b.now {
		t.Fatal("started", at-b.now, "from now")
	}
}
