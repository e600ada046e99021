package membership_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"oatloft/internal/membership"
	"oatloft/internal/membership/stepped"
)

const silent = 3 * time.Second

func world(t *testing.T, n int, seed uint64, net stepped.Net) *stepped.World {
	t.Helper()
	w, err := stepped.New(n, seed, silent, net)
	if err != nil {
		t.Fatal(err)
	}
	settle(t, w, 3*silent)
	return w
}

func settle(t *testing.T, w *stepped.World, most time.Duration) time.Duration {
	t.Helper()
	took, missing := w.Settle(most)
	if missing != "" {
		t.Fatalf("after %v: %s", most, missing)
	}
	if len(w.Faults) > 0 {
		t.Fatal(w.Faults)
	}
	return took
}

var lan = stepped.Net{Delay: time.Millisecond, Jitter: 4 * time.Millisecond}

// A death is known to all within SilentAfter and a half, whatever the number of members, and also with one datagram
// in ten lost; nobody alive is told gone.
func TestADeathIsKnown(t *testing.T) {
	for _, n := range []int{2, 3, 5, 20, 50} {
		for _, loss := range []float64{0, 0.1} {
			net := lan
			net.Loss, net.Double = loss, loss/2
			w := world(t, n, uint64(n), net)
			w.Changes = func(at *stepped.Node, c membership.Changed) {
				if c.State == membership.Gone && c.Name != w.Nodes[n-1].Name {
					t.Errorf("%d members, loss %v: %s holds %s to be gone", n, loss, at.Name, c.Name)
				}
			}
			w.Kill(n - 1)
			if took := settle(t, w, 4*silent); took > silent*3/2 {
				t.Errorf("%d members, loss %v: known after %v", n, loss, took)
			}
		}
	}
}

// Two halves that are cut for 20 s each hold the other to be gone, grow and shrink meanwhile, and are one again
// after.
func TestTwoHalvesComeTogether(t *testing.T) {
	for seed := range uint64(10) {
		w := world(t, 8, seed, lan)
		both := func(on bool) {
			for i := range 8 {
				for j := range 8 {
					if i/4 != j/4 {
						w.Cut(i, j, on)
					}
				}
			}
		}
		both(true)
		w.Run(8 * time.Second)
		w.Kill(2)
		w.Kill(6)
		w.Run(4 * time.Second)
		if err := w.Start(6); err != nil { // by its join list it can reach nobody
			t.Fatal(err)
		}
		w.Run(8 * time.Second)
		both(false)
		if took := settle(t, w, 10*silent); took > 5*silent {
			t.Errorf("seed %d: one again after %v", seed, took)
		}
	}
}

// A link that works one way only makes nobody gone: others probe on behalf.
func TestALinkThatWorksOneWay(t *testing.T) {
	w := world(t, 5, 1, lan)
	gone := 0
	w.Changes = func(_ *stepped.Node, c membership.Changed) {
		if c.State == membership.Gone {
			gone++
		}
	}
	w.Cut(3, 4, true)
	w.Run(60 * time.Second)
	if gone > 0 {
		t.Errorf("%d times somebody was told gone", gone)
	}
	settle(t, w, silent)
}

// A member that stood still for 30 s holds its view to be old before it does anything, tells nothing on and holds
// nobody to be gone for the time in which it could not have heard; the others take it back.
func TestAMemberThatStoodStill(t *testing.T) {
	w := world(t, 5, 2, lan)
	w.Stop(4, true)
	w.Run(30 * time.Second)
	if v := w.Nodes[0].M.View(); v.Members[3].State != membership.Gone {
		t.Fatalf("the others hold the one that stands to be %v", v.Members[3].State)
	}
	w.Kill(0)
	aged := false
	w.Changes = func(at *stepped.Node, c membership.Changed) {
		if at.Name == w.Nodes[4].Name && c.State == membership.Gone && c.Name != w.Nodes[0].Name {
			t.Errorf("it holds %s to be gone", c.Name)
		}
	}
	for _, e := range w.Nodes[4].M.Step(w.Now, membership.Tick{}, nil) {
		if a, ok := e.(membership.ViewStale); ok && a.On {
			aged = true
		}
		if s, ok := e.(membership.Send); ok && len(s.Message.Members)+len(s.Message.Signals) > 0 {
			t.Errorf("it tells on what is old: %+v", s.Message)
		}
	}
	if !aged || !w.Nodes[4].M.View().Stale {
		t.Error("its view is not old")
	}
	w.Stop(4, false)
	settle(t, w, 4*silent)
}

// One member behind 90% loss harms itself: others may lose it, but none of the others.
func TestNinetyPercentLoss(t *testing.T) {
	w := world(t, 8, 3, lan)
	w.Lossy(7, 0.9)
	wrong := map[string]int{}
	w.Changes = func(at *stepped.Node, c membership.Changed) {
		if c.State == membership.Gone && c.Name != w.Nodes[7].Name && at != w.Nodes[7] {
			wrong[c.Name]++
		}
	}
	w.Run(5 * time.Minute)
	if len(wrong) > 0 {
		t.Errorf("held to be gone though they lived: %v", wrong)
	}
	w.Lossy(7, 0)
	settle(t, w, 10*silent)
}

// All killed at once, back within 2 s under the same names: earlier starts are forgotten, and so is what they said.
func TestAllAtOnceUnderTheSameNames(t *testing.T) {
	w := world(t, 6, 4, lan)
	for i := range 6 {
		w.Set(i, "t", []byte{byte(i)}, time.Hour)
	}
	w.Run(silent)
	for i := range 6 {
		w.Kill(i)
	}
	w.Run(2 * time.Second)
	for i := range 6 {
		if err := w.Start(i); err != nil {
			t.Fatal(err)
		}
	}
	settle(t, w, 3*silent)
	for _, o := range w.Nodes[0].M.View().Members {
		if len(o.Signals) > 0 {
			t.Errorf("%s still says %v, of its earlier start", o.Name, o.Signals)
		}
	}
}

// Signals reach all, age on the way, end with their life, and stay within their owner's bound.
func TestSignals(t *testing.T) {
	net := lan
	net.Loss, net.Double = 0.1, 0.1
	w := world(t, 10, 5, net)
	for round := range 40 {
		for i := range 10 {
			for k := range 12 {
				w.Set(i, fmt.Sprint("k", k), fmt.Appendf(nil, "%d", round), 20*time.Second)
			}
		}
		w.Run(500 * time.Millisecond)
		w.Watch()
	}
	w.Run(2 * silent)
	w.Watch()
	for _, d := range w.Nodes {
		for _, o := range d.M.View().Members {
			if len(o.Signals) != 12 || string(o.Signals[0].Value) != "39" || o.Signals[0].Age < 2*silent {
				t.Fatalf("%s holds of %s: %+v", d.Name, o.Name, o.Signals)
			}
		}
	}
	w.Run(20 * time.Second)
	if n := len(w.Nodes[0].M.View().Members[3].Signals); n > 0 {
		t.Errorf("%d signals beyond their lives", n)
	}
	if len(w.Faults) > 0 {
		t.Error(w.Faults)
	}
	for k := range 300 { // more than it may hold: refused here, not thrown away there
		w.Set(1, fmt.Sprint("many", k), make([]byte, 100), time.Hour)
	}
	w.Run(2 * silent)
	w.Watch()
	if c := w.Nodes[1].M.Counters; c.SignalsRefused == 0 || len(w.Faults) > 0 {
		t.Errorf("refused %d, faults %v", c.SignalsRefused, w.Faults)
	}
}

// Two processes with one name, both alive: the later start has it, the other one says so and is nobody until that
// is gone.
func TestANameUsedTwice(t *testing.T) {
	w := world(t, 4, 6, lan)
	late, err := membership.New(
		membership.Config{Cluster: "c", Name: w.Nodes[3].Name, Addr: "127.8.9.9:7000", PeerTimeout: silent, MaxMembers: 100,
			SignalBytes: 1000, Generation: 1 << 40, Seed: 1, Join: []string{w.Nodes[0].Addr}},
	)
	if err != nil {
		t.Fatal(err)
	}
	// The late one tells the others of itself; they tell the early one.
	for i := range 3 {
		w.Nodes[i].M.Step(
			w.Now,
			membership.Received{
				Message: membership.Message{
					FormatVersion: membership.FormatVersion,
					Cluster:       "c",
					From:          late.View().Self,
					Kind:          membership.Gossip,
				},
			},
			nil,
		)
	}
	w.Run(silent)
	if !w.Nodes[3].M.View().Superseded {
		t.Fatal("the early one goes on as if nothing were")
	}
	if o := w.Nodes[0].M.View().Members[2]; o.Addr != "127.8.9.9:7000" {
		t.Errorf("the others hold %+v", o)
	}
	w.Run(6 * silent) // the late one never answers: it is gone, and the name is the early one's again
	if v := w.Nodes[3].M.View(); v.Superseded || v.Self.Generation <= 1<<40 {
		t.Errorf("the name is not taken back: %+v", v)
	}
	settle(t, w, 3*silent)
}

// drawMessages returns messages with records of two members and signals of the sender.
func drawMessages(t *rapid.T) (all []membership.Message) {
	for range rapid.IntRange(1, 12).Draw(t, "messages") {
		g := membership.Message{
			FormatVersion: membership.FormatVersion,
			Cluster:       "c",
			Kind:          membership.Gossip,
			From:          membership.Record{Name: "x", Addr: "127.8.0.9:1", Generation: 1},
		}
		for range rapid.IntRange(0, 3).Draw(t, "members") {
			g.Members = append(
				g.Members,
				membership.Record{Name: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "name"), Addr: "127.8.0.2:1",
					Generation: 7, Incarnation: uint32(rapid.IntRange(0, 3).Draw(t, "incarnation")),
					State: membership.State(rapid.IntRange(0, 3).Draw(t, "state"))},
			)
		}
		for range rapid.IntRange(0, 3).Draw(t, "signals") {
			v := rapid.IntRange(1, 5).Draw(t, "version")
			g.Signals = append(
				g.Signals,
				membership.SignalRecord{Owner: "x", Generation: 1, Key: rapid.SampledFrom([]string{"k", "l"}).Draw(t, "key"),
					Version: uint64(
						v,
					), AgeMS: uint32(rapid.IntRange(0, 900).Draw(t, "age")), LifetimeMS: 1000, Value: []byte{byte(v)}},
			)
		}
		all = append(all, g)
	}
	return all
}

// Merging is commutative and idempotent: what members and signals come to doesn't hang on the order, nor on repeats.
func TestMergeLaws(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := drawMessages(t)
		seed := rapid.Uint64().Draw(t, "seed")
		hold := func(list []membership.Message) string {
			m, err := membership.New(
				membership.Config{
					Cluster:     "c",
					Name:        "me",
					Addr:        "127.8.0.1:1",
					PeerTimeout: silent,
					MaxMembers:  100,
					SignalBytes: 1000,
					Generation:  1,
				},
			)
			if err != nil {
				t.Fatal(err)
			}
			for _, g := range list {
				m.Step(time.Second, membership.Received{Message: g}, nil)
			}
			text := ""
			for _, o := range m.View().Members {
				text += fmt.Sprintf("%v %v\n", o.Record, o.Signals)
			}
			return text
		}
		rng := rand.New(rand.NewPCG(seed, 1))
		other := append(append([]membership.Message{}, all...), all[rng.IntN(len(all))])
		rng.Shuffle(len(other), func(i, j int) { other[i], other[j] = other[j], other[i] })
		if one, two := hold(all), hold(other); one != two {
			t.Fatalf("in one order\n%sin another\n%s", one, two)
		}
	})
}

// Sixty members find each other and learn of a death, each sending no more than a few hundred bytes a second.
func TestSixtyMembers(t *testing.T) {
	if testing.Short() {
		t.Skip("some seconds")
	}
	w, err := stepped.New(60, 1, silent, lan)
	if err != nil {
		t.Fatal(err)
	}
	settle(t, w, 20*silent)
	w.Run(20 * time.Second)
	before := w.Bytes
	w.Run(10 * time.Second)
	if rate := (w.Bytes - before) / 60 / 10; rate > 1000 {
		t.Errorf("%d bytes a second and member when nothing happens", rate)
	}
	w.Kill(50)
	if took := settle(t, w, 4*silent); took > 2*silent {
		t.Errorf("a death is known after %v", took)
	}
}

// Whatever comes from outside is read or refused, never more than a packet's worth, and does no harm.
func FuzzDatagram(f *testing.F) {
	good, err := membership.Encode(
		&membership.Message{
			FormatVersion: membership.FormatVersion,
			Cluster:       "c",
			From:          membership.Record{Name: "a", Addr: "127.8.0.2:1", Generation: 3},
			Members: []membership.Record{
				{Name: "b", Addr: "127.8.0.3:1", Generation: 1},
			},
			Signals: []membership.SignalRecord{{Owner: "a", Generation: 3, Key: "k", Version: 1, LifetimeMS: 9}},
		},
	)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(good)
	f.Add(good[:len(good)/2])
	f.Add([]byte{0x9f})
	f.Add([]byte{0x9b, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, b []byte) {
		g, err := membership.Decode(b)
		if err != nil {
			return
		}
		m, err := membership.New(
			membership.Config{
				Cluster:     "c",
				Name:        "me",
				Addr:        "127.8.0.1:1",
				PeerTimeout: silent,
				MaxMembers:  8,
				SignalBytes: 1000,
				Generation:  1,
			},
		)
		if err != nil {
			t.Fatal(err)
		}
		for now := range 40 {
			for _, e := range m.Step(time.Duration(now)*silent/20, membership.Received{Message: g, Size: len(b)}, nil) {
				if s, ok := e.(membership.Send); ok {
					if _, err := membership.Encode(s.Message); err != nil {
						t.Fatal(err)
					}
				}
			}
			m.Step(time.Duration(now)*silent/20, membership.Tick{}, nil)
		}
		if n := len(m.View().Members); n > 8 {
			t.Fatalf("%d members", n)
		}
	})
}

// All stand still at once, as on a host that was paused: each held its view to be old and waited for one that was
// not, for ever. Found by a drawn storm.
func TestAllStandStillAtOnce(t *testing.T) {
	w := world(t, 4, 7, lan)
	for i := range 4 {
		w.Stop(i, true)
	}
	w.Run(10 * time.Second)
	for i := range 4 {
		w.Stop(i, false)
	}
	if took := settle(t, w, 10*silent); took > 2*silent {
		t.Errorf("after %v", took)
	}
}

// What waited for a member while it stood still is old, whatever age it says: signals that are no longer given
// don't come back by it, neither there nor, told on, elsewhere. Nor does an earlier one that was on its way longer
// than the later one lived.
func TestNothingOldComesBackAfterAStandstill(t *testing.T) {
	for seed := range uint64(20) {
		net := lan
		if net.Double = 0.3; seed%2 == 0 {
			net.Jitter = 600 * time.Millisecond
		}
		w := world(t, 5, seed, net)
		still := int(seed % 5)
		w.Stop(still, true)
		for round := range 90 {
			for i := range 5 {
				if round < 20 {
					w.Set(i, fmt.Sprint("k", round%4), fmt.Appendf(nil, "%d", round), 400*time.Millisecond)
				}
				w.Set(i, "clock", fmt.Appendf(nil, "%d", round), 400*time.Millisecond)
			}
			w.Run(100 * time.Millisecond)
			if w.Watch(); round == 70 {
				w.Stop(still, false)
			}
		}
		if len(w.Faults) > 0 {
			t.Fatalf("seed %d: %v", seed, w.Faults)
		}
	}
}
