package consensus

import (
	"context"
	"errors"
	"fmt"
	"os"
	"slices"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// TestCluster commits entries over TCP with 1, 3 and 5 voters, calls the leader from all members, and restarts them.
func TestCluster(t *testing.T) {
	for _, voters := range []int{1, 3, 5} {
		t.Run(fmt.Sprint(voters), func(t *testing.T) {
			t.Parallel()
			c := newTestCluster(t, voters+1, voters, nil) // one more candidate without a vote
			for i := range c.nodes {
				c.start(i)
			}
			c.commit("one")
			c.commit("two")
			c.checkEntries("one", "two")
			leader := c.leader()
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			if term, err := leader.Confirm(ctx); err != nil || term != leader.Leader().Term {
				t.Fatal(term, err)
			}
			for _, n := range c.nodes {
				c.waitFor("all know the leader", func() bool { return n.Leader().Name == leader.cfg.Name })
				if n != leader {
					var notLeader *NotLeader
					if err := n.Propose(ctx, []byte("x")); !errors.As(err, &notLeader) || notLeader.Leader.Name != leader.cfg.Name {
						t.Fatal(err)
					}
					if _, err := n.Confirm(ctx); !errors.As(err, &notLeader) {
						t.Fatal(err)
					}
				}
				out, err := n.Call(ctx, leader.cfg.Name, "hello", []byte("you"))
				if want := n.cfg.Name + ">" + leader.cfg.Name + " hello you"; err != nil || string(out) != want {
					t.Fatal(string(out), err)
				}
			}
			var remote *RemoteError
			caller := c.nodes[0]
			if caller == leader {
				caller = c.nodes[1]
			}
			if _, err := caller.Call(ctx, leader.cfg.Name, "fail", nil); !errors.As(err, &remote) ||
				remote.Hint() != (&TooLong{}).Hint() {
				t.Fatal(err)
			}
			for i := range c.nodes {
				c.stop(i)
			}
			for i := range c.nodes {
				c.start(i)
			}
			c.commit("three")
			c.checkEntries("one", "two", "three")
		})
	}
}

// TestTwoOfFiveDown stops voters: three of five must go on, two must neither commit nor know a leader.
func TestTwoOfFiveDown(t *testing.T) {
	t.Parallel()
	c := newTestCluster(t, 5, 5, nil)
	for i := range c.nodes {
		c.start(i)
	}
	c.commit("all")
	c.stop(3)
	c.stop(4)
	c.commit("three of five")
	var leader int
	for i, n := range c.nodes {
		if n != nil && n == c.leader() {
			leader = i
		}
	}
	c.stop(leader) // two of five remain
	ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	for _, n := range c.nodes {
		if n != nil && n.Propose(ctx, []byte("two of five")) == nil {
			t.Fatal("committed by two of five")
		}
	}
	for _, n := range c.nodes {
		if n != nil {
			c.waitFor("no leader is known", func() bool { return n.Leader().Name == "" })
		}
	}
	c.start(4) // the third of five, and it lags
	c.commit("with the fifth")
	c.start(3)
	c.start(leader)
	c.commit("all again")
	for i, n := range c.nodes {
		c.waitFor(n.cfg.Name+" has caught up", func() bool {
			entries := c.machines[i].read()
			return len(entries) > 0 && entries[len(entries)-1] == "all again"
		})
		if got := slices.Compact(c.machines[i].read()); !slices.Equal(
			got,
			[]string{"all", "three of five", "with the fifth", "all again"},
		) {
			t.Fatal(got)
		}
	}
}

// TestLostFolder deletes a voter's folder: it must rejoin under a new ID, since its old ID could vote twice.
func TestLostFolder(t *testing.T) {
	t.Parallel()
	c := newTestCluster(t, 3, 3, nil)
	for i := range c.nodes {
		c.start(i)
	}
	c.commit("one")
	id := c.nodes[1].Status().ID
	c.stop(1)
	c.commit("two")
	if err := os.RemoveAll(c.configs[1].Folder); err != nil {
		t.Fatal(err)
	}
	c.start(1)
	c.waitFor("it votes under another ID", func() bool {
		l := c.leader()
		return l != nil &&
			slices.ContainsFunc(l.Status().Voters, func(v Voter) bool { return v.Name == "m1" && v.ID != id && !v.Learner }) &&
			len(l.Status().Voters) == 3
	})
	c.commit("three")
	c.checkEntries("one", "two", "three")
	if now := c.nodes[1].Status().ID; now == id {
		t.Fatal("the new folder has the old ID")
	}
}

// TestFullDisk fills the disk of a follower, then of the leader: the member must stop voting and recover by itself.
func TestFullDisk(t *testing.T) {
	t.Parallel()
	var full [3]atomic.Bool
	c := newTestCluster(t, 3, 3, func(cfg *Config) {
		i := cfg.Name[1] - '0'
		cfg.writeFault = func() error {
			if full[i].Load() {
				return syscall.ENOSPC
			}
			return nil
		}
	})
	for i := range c.nodes {
		c.start(i)
	}
	c.commit("one")
	for round := range 2 { // a follower, then the leader
		for i, n := range c.nodes {
			if (n == c.leader()) != (round == 1) {
				continue
			}
			full[i].Store(true)
			before := n.Status().Applied
			c.commit(fmt.Sprint("with a full disk ", round))
			var unwritable *UnwritableFolder
			c.waitFor("the fault is reported", func() bool {
				s := n.Status()
				return s.Role == Faulty && errors.As(s.Fault, &unwritable)
			})
			if !strings.Contains(unwritable.Hint(), "make room") || n.Leader().IsSelf || n.Status().Applied > before {
				t.Fatalf("%+v", n.Status())
			}
			full[i].Store(false)
			c.waitFor("it votes again", func() bool { r := n.Status().Role; return r == Follower || r == Leading })
			break
		}
	}
	c.commit("two")
	c.checkEntries("one", "with a full disk 0", "with a full disk 1", "two")
}

// TestReplaceVoters replaces voters by an operator's call, after a silence, and at the leader.
func TestReplaceVoters(t *testing.T) {
	t.Parallel()
	c := newTestCluster(t, 5, 3, func(cfg *Config) {
		cfg.ReplaceAfter = 700 * time.Millisecond
		cfg.SnapshotEvery, cfg.KeepEntries = 20, 5
	})
	for i := range c.nodes {
		c.start(i)
	}
	for i := range 30 {
		c.commit(fmt.Sprint(i))
	}
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	c.replaceByOperator(ctx)
	c.replaceSilentVoter()
	c.replaceLeader(ctx)
	c.commit("end")
	for _, n := range c.nodes {
		if slices.Contains(c.voterNames(), n.cfg.Name) {
			i := slices.Index(c.nodes, n)
			c.waitFor(n.cfg.Name+" has caught up", func() bool {
				entries := slices.Compact(c.machines[i].read())
				return len(entries) == 32 && entries[31] == "end"
			})
		}
	}
}

// replaceByOperator gives a follower's vote to m4, as an operator does. A repeated call has no further effect.
func (c *testCluster) replaceByOperator(ctx context.Context) {
	c.t.Helper()
	var old string
	for _, v := range c.voterNames() {
		if v != c.leader().cfg.Name {
			old = v
		}
	}
	if err := c.leader().Replace(ctx, old, "m4"); err != nil {
		c.t.Fatal(err)
	}
	if v := c.voterNames(); len(v) != 3 || !slices.Contains(v, "m4") || slices.Contains(v, old) {
		c.t.Fatal(v)
	}
	if err := c.leader().Replace(ctx, old, "m4"); err != nil {
		c.t.Fatal(err)
	}
	var unknown *UnknownMember
	if err := c.leader().Replace(ctx, "m4", "m9"); !errors.As(err, &unknown) {
		c.t.Fatal(err)
	}
}

// replaceSilentVoter stops a follower: another member must get its vote, and it must restart as a reader.
func (c *testCluster) replaceSilentVoter() {
	c.t.Helper()
	i := slices.IndexFunc(c.nodes, func(n *Node) bool {
		return n != c.leader() && slices.Contains(c.voterNames(), n.cfg.Name) && n.cfg.Name != "m4"
	})
	if i < 0 {
		c.t.Fatal("no voter to stop")
	}
	c.stop(i)
	c.waitFor("another member has its vote", func() bool {
		v := c.voterNames()
		return len(v) == 3 && !slices.Contains(v, c.configs[i].Name)
	})
	c.commit("late")
	c.start(i)
	c.waitFor("it is a reader", func() bool {
		s := c.nodes[i].Status()
		return s.Role == Reader && s.Leader.Name != ""
	})
}

// replaceLeader gives the leader's vote to a member without one.
func (c *testCluster) replaceLeader(ctx context.Context) {
	c.t.Helper()
	leader := c.leader()
	var reader string
	for _, cfg := range c.configs {
		if !slices.Contains(c.voterNames(), cfg.Name) {
			reader = cfg.Name
		}
	}
	var unknown *UnknownOutcome
	if err := leader.Replace(ctx, leader.cfg.Name, reader); err != nil && !errors.As(err, &unknown) {
		c.t.Fatal(err)
	}
	c.waitFor("another member is the leader", func() bool {
		l := c.leader()
		return l != nil && l != leader && slices.Contains(c.voterNames(), reader) && len(c.voterNames()) == 3
	})
}

// TestLongEntries commits more bytes of entries than are kept. A voter that was stopped meanwhile must catch up from a
// snapshot.
func TestLongEntries(t *testing.T) {
	t.Parallel()
	c := newTestCluster(t, 3, 3, func(cfg *Config) { cfg.maxEntryBytes = 400 << 10 })
	for i := range c.nodes {
		c.start(i)
	}
	c.commit("one")
	stopped := 0
	if c.leader() == c.nodes[0] {
		stopped = 1
	}
	c.stop(stopped)
	for i := range 16 {
		c.commit(fmt.Sprint(i) + strings.Repeat("long", 10_000))
		if kept := c.leader().Status().EntryBytes; kept > 600<<10 {
			t.Fatalf("%d bytes are kept", kept)
		}
	}
	c.commit("two")
	c.start(stopped)
	c.waitFor("it has caught up", func() bool {
		entries := slices.Compact(c.machines[stopped].read())
		return len(entries) == 18 && entries[17] == "two"
	})
	var tooLong *TooLong
	if err := c.leader().Propose(context.Background(), make([]byte, maxProposalBytes+1)); !errors.As(err, &tooLong) {
		t.Fatal(err)
	}
}

// TestChangeNumberOfVoters restarts all members with more, then with fewer voters configured. The members must change
// accordingly and keep all entries.
func TestChangeNumberOfVoters(t *testing.T) {
	t.Parallel()
	c := newTestCluster(t, 5, 1, nil)
	var want []string
	for _, voters := range []int{1, 3, 5, 3, 1} {
		for i := range c.nodes {
			c.stop(i)
			c.configs[i].Voters = voters
			c.start(i)
		}
		c.waitFor("the number of voters is as configured", func() bool {
			l := c.leader()
			return l != nil && len(c.voterNames()) == voters && len(l.Status().Voters) == voters
		})
		want = append(want, fmt.Sprint("with ", voters))
		c.commit(want[len(want)-1])
	}
	leader := slices.Index(c.nodes, c.leader())
	c.waitFor("the leader has all entries", func() bool {
		return slices.Equal(slices.Compact(c.machines[leader].read()), want)
	})
}

// TestSecondProcess starts a second process of one member, as an upgrade does: it must wait, know the leader, and take
// over the vote when the first process ends.
func TestSecondProcess(t *testing.T) {
	t.Parallel()
	c := newTestCluster(t, 3, 3, nil)
	for i := range c.nodes {
		c.start(i)
	}
	c.commit("one")
	index := slices.Index(c.nodes, c.leader()) // so that the second process calls its own name
	old, id := c.nodes[index], c.nodes[index].Status().ID
	c.start(index)
	c.waitFor("it waits and knows the leader", func() bool {
		s := c.nodes[index].Status()
		return s.Role == Waiting && s.Leader.Name == old.cfg.Name && !s.Leader.IsSelf
	})
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	if out, err := c.nodes[index].Call(ctx, old.cfg.Name, "run", nil); err != nil || string(out) != fmt.Sprint(index+1) {
		t.Fatal(string(out), err)
	}
	old.Close()
	c.waitFor(
		"it votes",
		func() bool {
			s := c.nodes[index].Status()
			return (s.Role == Follower || s.Role == Leading) && s.ID == id
		},
	)
	c.commit("two")
	c.checkEntries("one", "two")
}

// TestReader has a reader follow two changes of the leader. A member of another cluster must be refused.
func TestReader(t *testing.T) {
	t.Parallel()
	c := newTestCluster(t, 3, 3, nil)
	list := c.configs[0].Candidates
	c.configs = append(
		c.configs,
		Config{Cluster: c.configs[0].Cluster, Name: "reader", Candidates: list},
		Config{Cluster: "other", Name: "foreign", Candidates: list},
	)
	c.nodes, c.machines = append(c.nodes, nil, nil), append(c.machines, nil, nil)
	for i := range c.nodes {
		c.start(i)
	}
	c.commit("one")
	r := c.nodes[3]
	for range 2 {
		c.waitFor("the reader knows the leader", func() bool {
			l := c.leader()
			return l != nil && r.Leader().Name == l.cfg.Name
		})
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		if out, err := r.Call(ctx, r.Leader().Name, "hello", nil); err != nil || !strings.HasPrefix(string(out), "reader>") {
			t.Fatal(string(out), err)
		}
		cancel()
		leader := c.leader()
		for i, n := range c.nodes {
			if n == leader {
				c.stop(i)
			}
		}
		if len(c.voterNames()) == 0 { // the voters have elected no new leader yet
			c.waitFor("another member is the leader", func() bool { return c.leader() != nil })
			c.waitFor("a failed call makes the reader search the new leader", func() bool {
				ctx, cancel := context.WithTimeout(context.Background(), time.Second)
				defer cancel()
				_, _ = r.Call(ctx, leader.cfg.Name, "hello", nil)
				return r.Leader().Name == c.leader().cfg.Name
			})
		}
		for i := range 3 {
			if c.nodes[i] == nil {
				c.start(i)
			}
		}
	}
	var remote *RemoteError
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	if _, err := c.nodes[4].Call(ctx, "m0", "hello", nil); !errors.As(err, &remote) ||
		!strings.Contains(remote.Hint(), "revisions.cluster") {
		t.Fatal(err)
	}
}
