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

func TestOverSockets(t *testing.T) {
	for _, voters := range []int{1, 3, 5} {
		t.Run(fmt.Sprint(voters), func(t *testing.T) {
			t.Parallel()
			c := newCrew(t, voters+1, voters, nil) // one more that holds no vote
			for i := range c.nodes {
				c.start(i)
			}
			c.settle("one")
			c.settle("two")
			c.same("one", "two")
			lead := c.leader()
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			if term, err := lead.Confirm(ctx); err != nil || term != lead.Leader().Term {
				t.Fatal(term, err)
			}
			for _, n := range c.nodes {
				c.until("all know who leads", func() bool { return n.Leader().Name == lead.cfg.Name })
				if n != lead {
					var no *NotLeader
					if err := n.Propose(ctx, []byte("x")); !errors.As(err, &no) || no.Leader.Name != lead.cfg.Name {
						t.Fatal(err)
					}
					if _, err := n.Confirm(ctx); !errors.As(err, &no) {
						t.Fatal(err)
					}
				}
				out, err := n.Call(ctx, lead.cfg.Name, "hello", []byte("you"))
				if want := n.cfg.Name + ">" + lead.cfg.Name + " hello you"; err != nil || string(out) != want {
					t.Fatal(string(out), err)
				}
			}
			var told *RemoteError
			from := c.nodes[0]
			if from == lead {
				from = c.nodes[1]
			}
			if _, err := from.Call(ctx, lead.cfg.Name, "fail", nil); !errors.As(err, &told) ||
				told.Hint() != (&TooLong{}).Hint() {
				t.Fatal(err)
			}
			for i := range c.nodes {
				c.stop(i)
			}
			for i := range c.nodes {
				c.start(i)
			}
			c.settle("three")
			c.same("one", "two", "three")
		})
	}
}

func TestTwoOfFiveDown(t *testing.T) {
	t.Parallel()
	c := newCrew(t, 5, 5, nil)
	for i := range c.nodes {
		c.start(i)
	}
	c.settle("all")
	c.stop(3)
	c.stop(4)
	c.settle("three of five")
	var lead int
	for i, n := range c.nodes {
		if n != nil && n == c.leader() {
			lead = i
		}
	}
	c.stop(lead) // two of five are left
	ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	for _, n := range c.nodes {
		if n != nil && n.Propose(ctx, []byte("two of five")) == nil {
			t.Fatal("settled by two of five")
		}
	}
	for _, n := range c.nodes {
		if n != nil {
			c.until("nobody leads", func() bool { return n.Leader().Name == "" })
		}
	}
	c.start(4) // which lags, and is the third
	c.settle("with the fifth")
	c.start(3)
	c.start(lead)
	c.settle("all again")
	for i, n := range c.nodes {
		c.until(n.cfg.Name+" is even", func() bool { l := c.m[i].read(); return len(l) > 0 && l[len(l)-1] == "all again" })
		if got := slices.Compact(c.m[i].read()); !slices.Equal(
			got,
			[]string{"all", "three of five", "with the fifth", "all again"},
		) {
			t.Fatal(got)
		}
	}
}

func TestLostFolder(t *testing.T) {
	t.Parallel()
	c := newCrew(t, 3, 3, nil)
	for i := range c.nodes {
		c.start(i)
	}
	c.settle("one")
	id := c.nodes[1].Status().ID
	c.stop(1)
	c.settle("two")
	if err := os.RemoveAll(c.cfg[1].Folder); err != nil {
		t.Fatal(err)
	}
	c.start(1)
	c.until("it votes under another number", func() bool {
		l := c.leader()
		return l != nil &&
			slices.ContainsFunc(l.Status().Voters, func(v Voter) bool { return v.Name == "m1" && v.ID != id && !v.Learner }) &&
			len(l.Status().Voters) == 3
	})
	c.settle("three")
	c.same("one", "two", "three")
	if now := c.nodes[1].Status().ID; now == id {
		t.Fatal("its old number came back")
	}
}

func TestFullDisk(t *testing.T) {
	t.Parallel()
	var full [3]atomic.Bool
	c := newCrew(t, 3, 3, func(cfg *Config) {
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
	c.settle("one")
	for round := range 2 { // a follower, then the leader
		for i, n := range c.nodes {
			if (n == c.leader()) != (round == 1) {
				continue
			}
			full[i].Store(true)
			before := n.Status().Applied
			c.settle(fmt.Sprint("while full ", round))
			var cant *UnwritableFolder
			c.until("it says so", func() bool { s := n.Status(); return s.Role == Faulty && errors.As(s.Fault, &cant) })
			if !strings.Contains(cant.Hint(), "make room") || n.Leader().IsSelf || n.Status().Applied > before {
				t.Fatalf("%+v", n.Status())
			}
			full[i].Store(false)
			c.until("it votes again", func() bool { r := n.Status().Role; return r == Follower || r == Leading })
			break
		}
	}
	c.settle("two")
	c.same("one", "while full 0", "while full 1", "two")
}

func TestReplaced(t *testing.T) {
	t.Parallel()
	c := newCrew(t, 5, 3, func(cfg *Config) {
		cfg.ReplaceAfter = 700 * time.Millisecond
		cfg.SnapshotEvery, cfg.KeepEntries = 20, 5
	})
	for i := range c.nodes {
		c.start(i)
	}
	for i := range 30 {
		c.settle(fmt.Sprint(i))
	}
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	c.replaceByCall(ctx)
	c.replaceByTime()
	c.replaceLeader(ctx)
	c.settle("end")
	for _, n := range c.nodes {
		if slices.Contains(c.voters(), n.cfg.Name) {
			i := slices.Index(c.nodes, n)
			c.until(n.cfg.Name+" is even", func() bool {
				l := slices.Compact(c.m[i].read())
				return len(l) == 32 && l[31] == "end"
			})
		}
	}
}

// replaceByCall gives a follower's vote to m4, as an operator's call does; asked for twice it is done once.
func (c *crew) replaceByCall(ctx context.Context) {
	c.t.Helper()
	var old string
	for _, v := range c.voters() {
		if v != c.leader().cfg.Name {
			old = v
		}
	}
	if err := c.leader().Replace(ctx, old, "m4"); err != nil {
		c.t.Fatal(err)
	}
	if v := c.voters(); len(v) != 3 || !slices.Contains(v, "m4") || slices.Contains(v, old) {
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

// replaceByTime stops a follower: another member gets its vote, and it comes back without one.
func (c *crew) replaceByTime() {
	c.t.Helper()
	i := slices.IndexFunc(c.nodes, func(n *Node) bool {
		return n != c.leader() && slices.Contains(c.voters(), n.cfg.Name) && n.cfg.Name != "m4"
	})
	if i < 0 {
		c.t.Fatal("no voter to stop")
	}
	c.stop(i)
	c.until("another votes in its place", func() bool {
		v := c.voters()
		return len(v) == 3 && !slices.Contains(v, c.cfg[i].Name)
	})
	c.settle("late")
	c.start(i)
	c.until("it doesn't vote any more", func() bool {
		s := c.nodes[i].Status()
		return s.Role == Reader && s.Leader.Name != ""
	})
}

// replaceLeader gives the leader's vote to a member without one.
func (c *crew) replaceLeader(ctx context.Context) {
	c.t.Helper()
	lead := c.leader()
	var spare string
	for _, k := range c.cfg {
		if !slices.Contains(c.voters(), k.Name) {
			spare = k.Name
		}
	}
	var unknown *UnknownOutcome
	if err := lead.Replace(ctx, lead.cfg.Name, spare); err != nil && !errors.As(err, &unknown) {
		c.t.Fatal(err)
	}
	c.until("another leads", func() bool {
		l := c.leader()
		return l != nil && l != lead && slices.Contains(c.voters(), spare) && len(c.voters()) == 3
	})
}

// TestLongEntries settles more bytes than are kept; a member that was away meanwhile gets them by a snapshot.
func TestLongEntries(t *testing.T) {
	t.Parallel()
	c := newCrew(t, 3, 3, func(cfg *Config) { cfg.maxEntryBytes = 400 << 10 })
	for i := range c.nodes {
		c.start(i)
	}
	c.settle("one")
	away := 0
	if c.leader() == c.nodes[0] {
		away = 1
	}
	c.stop(away)
	for i := range 16 {
		c.settle(fmt.Sprint(i) + strings.Repeat("long", 10_000))
		if kept := c.leader().Status().EntryBytes; kept > 600<<10 {
			t.Fatalf("%d bytes are kept", kept)
		}
	}
	c.settle("two")
	c.start(away)
	c.until("it is even", func() bool { l := slices.Compact(c.m[away].read()); return len(l) == 18 && l[17] == "two" })
	var long *TooLong
	if err := c.leader().Propose(context.Background(), make([]byte, maxProposalBytes+1)); !errors.As(err, &long) {
		t.Fatal(err)
	}
}

// TestGrowAndShrink restarts members with more, then fewer voters in their settings, while entries are settled.
func TestGrowAndShrink(t *testing.T) {
	t.Parallel()
	c := newCrew(t, 5, 1, nil)
	var want []string
	for _, voters := range []int{1, 3, 5, 3, 1} {
		for i := range c.nodes {
			c.stop(i)
			c.cfg[i].Voters = voters
			c.start(i)
		}
		c.until("as many vote as are wanted", func() bool {
			l := c.leader()
			return l != nil && len(c.voters()) == voters && len(l.Status().Voters) == voters
		})
		want = append(want, fmt.Sprint("with ", voters))
		c.settle(want[len(want)-1])
	}
	lead := slices.Index(c.nodes, c.leader())
	c.until("all is there", func() bool { return slices.Equal(slices.Compact(c.m[lead].read()), want) })
}

// TestUpgrade starts a second process of one member: it waits, knows who leads, and takes the vote over.
func TestUpgrade(t *testing.T) {
	t.Parallel()
	c := newCrew(t, 3, 3, nil)
	for i := range c.nodes {
		c.start(i)
	}
	c.settle("one")
	at := slices.Index(c.nodes, c.leader()) // which makes it call its own name
	old, id := c.nodes[at], c.nodes[at].Status().ID
	c.start(at)
	c.until("it waits and knows who leads", func() bool {
		s := c.nodes[at].Status()
		return s.Role == Waiting && s.Leader.Name == old.cfg.Name && !s.Leader.IsSelf
	})
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	if out, err := c.nodes[at].Call(ctx, old.cfg.Name, "run", nil); err != nil || string(out) != fmt.Sprint(at+1) {
		t.Fatal(string(out), err)
	}
	old.Close()
	c.until(
		"it votes",
		func() bool { s := c.nodes[at].Status(); return (s.Role == Follower || s.Role == Leading) && s.ID == id },
	)
	c.settle("two")
	c.same("one", "two")
}

func TestReader(t *testing.T) {
	t.Parallel()
	c := newCrew(t, 3, 3, nil)
	list := c.cfg[0].Candidates
	c.cfg = append(
		c.cfg,
		Config{Cluster: c.cfg[0].Cluster, Name: "reader", Candidates: list},
		Config{Cluster: "other", Name: "stranger", Candidates: list},
	)
	c.nodes, c.m = append(c.nodes, nil, nil), append(c.m, nil, nil)
	for i := range c.nodes {
		c.start(i)
	}
	c.settle("one")
	r := c.nodes[3]
	for range 2 {
		c.until("it knows who leads", func() bool { l := c.leader(); return l != nil && r.Leader().Name == l.cfg.Name })
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		if out, err := r.Call(ctx, r.Leader().Name, "hello", nil); err != nil || !strings.HasPrefix(string(out), "reader>") {
			t.Fatal(string(out), err)
		}
		cancel()
		lead := c.leader()
		for i, n := range c.nodes {
			if n == lead {
				c.stop(i)
			}
		}
		if len(c.voters()) == 0 { // the second time nobody is left to lead
			c.until("another leads", func() bool { return c.leader() != nil })
			c.until("a failed call lets it look", func() bool {
				ctx, cancel := context.WithTimeout(context.Background(), time.Second)
				defer cancel()
				_, _ = r.Call(ctx, lead.cfg.Name, "hello", nil)
				return r.Leader().Name == c.leader().cfg.Name
			})
		}
		for i := range 3 {
			if c.nodes[i] == nil {
				c.start(i)
			}
		}
	}
	var no *RemoteError
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	if _, err := c.nodes[4].Call(ctx, "m0", "hello", nil); !errors.As(err, &no) ||
		!strings.Contains(no.Hint(), "revisions.cluster") {
		t.Fatal(err)
	}
}
