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

const peerTimeout = 3 * time.Second

func newCluster(t *testing.T, n int, seed uint64, net stepped.NetworkConditions) *stepped.Cluster {
	t.Helper()
	cluster, err := stepped.New(n, seed, peerTimeout, net)
	if err != nil {
		t.Fatal(err)
	}
	settleWithin(t, cluster, 3*peerTimeout)
	return cluster
}

func settleWithin(t *testing.T, cluster *stepped.Cluster, limit time.Duration) time.Duration {
	t.Helper()
	took, missing := cluster.Settle(limit)
	if missing != "" {
		t.Fatalf("after %v: %s", limit, missing)
	}
	if len(cluster.Violations) > 0 {
		t.Fatal(cluster.Violations)
	}
	return took
}

var lanConditions = stepped.NetworkConditions{Delay: time.Millisecond, Jitter: 4 * time.Millisecond}

// All members learn of a death within one and a half times PeerTimeout, for any cluster size and with 10% packet loss,
// and no live member is declared gone.
func TestFailureDetectionTime(t *testing.T) {
	for _, n := range []int{2, 3, 5, 20, 50} {
		for _, loss := range []float64{0, 0.1} {
			net := lanConditions
			net.LossRate, net.DuplicateRate = loss, loss/2
			cluster := newCluster(t, n, uint64(n), net)
			cluster.OnChange = func(at *stepped.Node, c membership.MemberChanged) {
				if c.State == membership.Gone && c.Name != cluster.Nodes[n-1].Name {
					t.Errorf("%d members, loss %v: %s declared %s gone, which is alive", n, loss, at.Name, c.Name)
				}
			}
			cluster.Kill(n - 1)
			if took := settleWithin(t, cluster, 4*peerTimeout); took > peerTimeout*3/2 {
				t.Errorf("%d members, loss %v: all know of the death only after %v", n, loss, took)
			}
		}
	}
}

// After a 20 s partition into two halves, in which a member of each dies and one of them restarts, all members agree
// again.
func TestPartitionHeals(t *testing.T) {
	for seed := range uint64(10) {
		cluster := newCluster(t, 8, seed, lanConditions)
		setPartition := func(on bool) {
			for i := range 8 {
				for j := range 8 {
					if i/4 != j/4 {
						cluster.SetLinkCut(i, j, on)
					}
				}
			}
		}
		setPartition(true)
		cluster.Run(8 * time.Second)
		cluster.Kill(2)
		cluster.Kill(6)
		cluster.Run(4 * time.Second)
		if err := cluster.Start(6); err != nil { // it can't reach any address of its join list
			t.Fatal(err)
		}
		cluster.Run(8 * time.Second)
		setPartition(false)
		if took := settleWithin(t, cluster, 10*peerTimeout); took > 5*peerTimeout {
			t.Errorf("seed %d: the halves have merged only after %v", seed, took)
		}
	}
}

// A link that is cut in one direction must not get a member declared gone, because indirect probes get through.
func TestOneWayLink(t *testing.T) {
	cluster := newCluster(t, 5, 1, lanConditions)
	gone := 0
	cluster.OnChange = func(_ *stepped.Node, c membership.MemberChanged) {
		if c.State == membership.Gone {
			gone++
		}
	}
	cluster.SetLinkCut(3, 4, true)
	cluster.Run(60 * time.Second)
	if gone > 0 {
		t.Errorf("a live member was declared gone %d times", gone)
	}
	settleWithin(t, cluster, peerTimeout)
}

// A member that was stalled for 30 s must mark its view stale in its first step, disseminate nothing from it, and not
// declare live members gone because of the stall. The others then see it alive again.
func TestStalledMember(t *testing.T) {
	cluster := newCluster(t, 5, 2, lanConditions)
	cluster.SetStalled(4, true)
	cluster.Run(30 * time.Second)
	if v := cluster.Nodes[0].Machine.View(); v.Members[3].State != membership.Gone {
		t.Fatalf("the others see the stalled member as %v", v.Members[3].State)
	}
	cluster.Kill(0)
	becameStale := false
	cluster.OnChange = func(at *stepped.Node, c membership.MemberChanged) {
		if at.Name == cluster.Nodes[4].Name && c.State == membership.Gone && c.Name != cluster.Nodes[0].Name {
			t.Errorf("the stalled member declared %s gone", c.Name)
		}
	}
	for _, e := range cluster.Nodes[4].Machine.Step(cluster.Now, membership.Tick{}, nil) {
		if a, ok := e.(membership.ViewStale); ok && a.On {
			becameStale = true
		}
		if s, ok := e.(membership.Send); ok && len(s.Message.Members)+len(s.Message.Signals) > 0 {
			t.Errorf("the stalled member sent stale updates: %+v", s.Message)
		}
	}
	if !becameStale || !cluster.Nodes[4].Machine.View().Stale {
		t.Error("the stalled member's view is not stale")
	}
	cluster.SetStalled(4, false)
	settleWithin(t, cluster, 4*peerTimeout)
}

// A member with 90% packet loss may itself be declared gone, but must not get the other members declared gone.
func TestMemberWithHeavyLoss(t *testing.T) {
	cluster := newCluster(t, 8, 3, lanConditions)
	cluster.SetLossRate(7, 0.9)
	falselyGone := map[string]int{}
	cluster.OnChange = func(at *stepped.Node, c membership.MemberChanged) {
		if c.State == membership.Gone && c.Name != cluster.Nodes[7].Name && at != cluster.Nodes[7] {
			falselyGone[c.Name]++
		}
	}
	cluster.Run(5 * time.Minute)
	if len(falselyGone) > 0 {
		t.Errorf("live members declared gone, with the number of times: %v", falselyGone)
	}
	cluster.SetLossRate(7, 0)
	settleWithin(t, cluster, 10*peerTimeout)
}

// When all members are killed at once and restart under the same names within 2 s, the records and signals of the
// earlier generations must disappear.
func TestRestartOfAllMembers(t *testing.T) {
	cluster := newCluster(t, 6, 4, lanConditions)
	for i := range 6 {
		cluster.Set(i, "t", []byte{byte(i)}, time.Hour)
	}
	cluster.Run(peerTimeout)
	for i := range 6 {
		cluster.Kill(i)
	}
	cluster.Run(2 * time.Second)
	for i := range 6 {
		if err := cluster.Start(i); err != nil {
			t.Fatal(err)
		}
	}
	settleWithin(t, cluster, 3*peerTimeout)
	for _, o := range cluster.Nodes[0].Machine.View().Members {
		if len(o.Signals) > 0 {
			t.Errorf("%s has signals of its earlier generation: %v", o.Name, o.Signals)
		}
	}
}

// Signals reach all members, carry their age, expire after their lifetime, and stay within the owner's limit.
func TestSignalPropagation(t *testing.T) {
	net := lanConditions
	net.LossRate, net.DuplicateRate = 0.1, 0.1
	cluster := newCluster(t, 10, 5, net)
	for round := range 40 {
		for i := range 10 {
			for k := range 12 {
				cluster.Set(i, fmt.Sprint("k", k), fmt.Appendf(nil, "%d", round), 20*time.Second)
			}
		}
		cluster.Run(500 * time.Millisecond)
		cluster.CheckSignals()
	}
	cluster.Run(2 * peerTimeout)
	cluster.CheckSignals()
	for _, node := range cluster.Nodes {
		for _, o := range node.Machine.View().Members {
			if len(o.Signals) != 12 || string(o.Signals[0].Value) != "39" || o.Signals[0].Age < 2*peerTimeout {
				t.Fatalf("%s has wrong signals of %s: %+v", node.Name, o.Name, o.Signals)
			}
		}
	}
	cluster.Run(20 * time.Second)
	if n := len(cluster.Nodes[0].Machine.View().Members[3].Signals); n > 0 {
		t.Errorf("%d signals are left after their lifetime", n)
	}
	if len(cluster.Violations) > 0 {
		t.Error(cluster.Violations)
	}
	for k := range 300 { // beyond the limit: refused by their owner, not dropped by the others
		cluster.Set(1, fmt.Sprint("many", k), make([]byte, 100), time.Hour)
	}
	cluster.Run(2 * peerTimeout)
	cluster.CheckSignals()
	if c := cluster.Nodes[1].Machine.Counters; c.SignalsRefused == 0 || len(cluster.Violations) > 0 {
		t.Errorf("refused %d, faults %v", c.SignalsRefused, cluster.Violations)
	}
}

// Of two live processes with one name, the later start keeps it. The other one is superseded and takes no part until
// the later one is gone.
func TestDuplicateName(t *testing.T) {
	cluster := newCluster(t, 4, 6, lanConditions)
	successor, err := membership.New(
		membership.Config{Cluster: "c", Name: cluster.Nodes[3].Name, Addr: "127.8.9.9:7000", PeerTimeout: peerTimeout,
			MaxMembers: 100, SignalBytes: 1000, Generation: 1 << 40, Seed: 1, Join: []string{cluster.Nodes[0].Addr}},
	)
	if err != nil {
		t.Fatal(err)
	}
	// The later process announces itself to the others, which tell the earlier one.
	for i := range 3 {
		cluster.Nodes[i].Machine.Step(
			cluster.Now,
			membership.Received{
				Message: membership.Message{
					FormatVersion: membership.FormatVersion,
					Cluster:       "c",
					From:          successor.View().Self,
					Kind:          membership.Gossip,
				},
			},
			nil,
		)
	}
	cluster.Run(peerTimeout)
	if !cluster.Nodes[3].Machine.View().Superseded {
		t.Fatal("the earlier process is not superseded")
	}
	if record := cluster.Nodes[0].Machine.View().Members[2]; record.Addr != "127.8.9.9:7000" {
		t.Errorf("the others have the record %+v", record)
	}
	cluster.Run(6 * peerTimeout) // the later process never answers, is declared gone, and loses the name
	if v := cluster.Nodes[3].Machine.View(); v.Superseded || v.Self.Generation <= 1<<40 {
		t.Errorf("the earlier process has not taken the name back: %+v", v)
	}
	settleWithin(t, cluster, 3*peerTimeout)
}

// generateMessages generates messages with records of two members and signals of the sender.
func generateMessages(t *rapid.T) (messages []membership.Message) {
	for range rapid.IntRange(1, 12).Draw(t, "messages") {
		message := membership.Message{
			FormatVersion: membership.FormatVersion,
			Cluster:       "c",
			Kind:          membership.Gossip,
			From:          membership.Record{Name: "x", Addr: "127.8.0.9:1", Generation: 1},
		}
		for range rapid.IntRange(0, 3).Draw(t, "members") {
			message.Members = append(
				message.Members,
				membership.Record{Name: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "name"), Addr: "127.8.0.2:1",
					Generation: 7, Incarnation: uint32(rapid.IntRange(0, 3).Draw(t, "incarnation")),
					State: membership.State(rapid.IntRange(0, 3).Draw(t, "state"))},
			)
		}
		for range rapid.IntRange(0, 3).Draw(t, "signals") {
			v := rapid.IntRange(1, 5).Draw(t, "version")
			message.Signals = append(
				message.Signals,
				membership.SignalRecord{Owner: "x", Generation: 1, Key: rapid.SampledFrom([]string{"k", "l"}).Draw(t, "key"),
					Version: uint64(
						v,
					), AgeMS: uint32(rapid.IntRange(0, 900).Draw(t, "age")), LifetimeMS: 1000, Value: []byte{byte(v)}},
			)
		}
		messages = append(messages, message)
	}
	return messages
}

// Merging is commutative and idempotent: the resulting members and signals depend neither on the order of messages nor
// on repetitions.
func TestMergeIsCommutativeAndIdempotent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		messages := generateMessages(t)
		seed := rapid.Uint64().Draw(t, "seed")
		merge := func(list []membership.Message) string {
			m, err := membership.New(
				membership.Config{
					Cluster:     "c",
					Name:        "me",
					Addr:        "127.8.0.1:1",
					PeerTimeout: peerTimeout,
					MaxMembers:  100,
					SignalBytes: 1000,
					Generation:  1,
				},
			)
			if err != nil {
				t.Fatal(err)
			}
			for _, message := range list {
				m.Step(time.Second, membership.Received{Message: message}, nil)
			}
			text := ""
			for _, o := range m.View().Members {
				text += fmt.Sprintf("%v %v\n", o.Record, o.Signals)
			}
			return text
		}
		rng := rand.New(rand.NewPCG(seed, 1))
		permuted := append(append([]membership.Message{}, messages...), messages[rng.IntN(len(messages))])
		rng.Shuffle(len(permuted), func(i, j int) { permuted[i], permuted[j] = permuted[j], permuted[i] })
		if one, two := merge(messages), merge(permuted); one != two {
			t.Fatalf("result in one order:\n%sin another order:\n%s", one, two)
		}
	})
}

// Sixty members find each other and learn of a death. At rest each may send at most 1000 bytes per second.
func TestSixtyMembers(t *testing.T) {
	if testing.Short() {
		t.Skip("takes some seconds")
	}
	cluster, err := stepped.New(60, 1, peerTimeout, lanConditions)
	if err != nil {
		t.Fatal(err)
	}
	settleWithin(t, cluster, 20*peerTimeout)
	cluster.Run(20 * time.Second)
	before := cluster.TotalSentBytes
	cluster.Run(10 * time.Second)
	if rate := (cluster.TotalSentBytes - before) / 60 / 10; rate > 1000 {
		t.Errorf("%d bytes per second and member at rest", rate)
	}
	cluster.Kill(50)
	if took := settleWithin(t, cluster, 4*peerTimeout); took > 2*peerTimeout {
		t.Errorf("all know of the death only after %v", took)
	}
}

// Any datagram is decoded or rejected. What is decoded must not make the machine exceed MaxMembers or send messages
// longer than MaxPacket.
func FuzzDatagram(f *testing.F) {
	valid, err := membership.Encode(
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
	f.Add(valid)
	f.Add(valid[:len(valid)/2])
	f.Add([]byte{0x9f})
	f.Add([]byte{0x9b, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, b []byte) {
		message, err := membership.Decode(b)
		if err != nil {
			return
		}
		m, err := membership.New(
			membership.Config{
				Cluster:     "c",
				Name:        "me",
				Addr:        "127.8.0.1:1",
				PeerTimeout: peerTimeout,
				MaxMembers:  8,
				SignalBytes: 1000,
				Generation:  1,
			},
		)
		if err != nil {
			t.Fatal(err)
		}
		for now := range 40 {
			for _, e := range m.Step(
				time.Duration(now)*peerTimeout/20, membership.Received{Message: message, Size: len(b)}, nil,
			) {
				if s, ok := e.(membership.Send); ok {
					if _, err := membership.Encode(s.Message); err != nil {
						t.Fatal(err)
					}
				}
			}
			m.Step(time.Duration(now)*peerTimeout/20, membership.Tick{}, nil)
		}
		if n := len(m.View().Members); n > 8 {
			t.Fatalf("%d members", n)
		}
	})
}

// All members stall at once, as on a paused host. Each then has a stale view, and without a timeout each would wait
// forever for an answer from a member whose view is not stale. Found by generated fault injection.
func TestAllMembersStall(t *testing.T) {
	cluster := newCluster(t, 4, 7, lanConditions)
	for i := range 4 {
		cluster.SetStalled(i, true)
	}
	cluster.Run(10 * time.Second)
	for i := range 4 {
		cluster.SetStalled(i, false)
	}
	if took := settleWithin(t, cluster, 10*peerTimeout); took > 2*peerTimeout {
		t.Errorf("the members agree only after %v", took)
	}
}

// Messages that waited for a stalled member are older than the ages in them. They must not bring expired signals back,
// neither at that member nor, passed on, at others. The same holds for a version that was delayed for longer than the
// lifetime of a later one.
func TestNoStaleSignalAfterStall(t *testing.T) {
	for seed := range uint64(20) {
		net := lanConditions
		if net.DuplicateRate = 0.3; seed%2 == 0 {
			net.Jitter = 600 * time.Millisecond
		}
		cluster := newCluster(t, 5, seed, net)
		stalled := int(seed % 5)
		cluster.SetStalled(stalled, true)
		for round := range 90 {
			for i := range 5 {
				if round < 20 {
					cluster.Set(i, fmt.Sprint("k", round%4), fmt.Appendf(nil, "%d", round), 400*time.Millisecond)
				}
				cluster.Set(i, "clock", fmt.Appendf(nil, "%d", round), 400*time.Millisecond)
			}
			cluster.Run(100 * time.Millisecond)
			if cluster.CheckSignals(); round == 70 {
				cluster.SetStalled(stalled, false)
			}
		}
		if len(cluster.Violations) > 0 {
			t.Fatalf("seed %d: %v", seed, cluster.Violations)
		}
	}
}
