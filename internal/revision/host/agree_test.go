package host

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"oatloft/internal/hint"
	"oatloft/internal/revision"
	"oatloft/internal/revision/lease"
)

// overSockets starts n members, of which voters hold a vote, over the real log on loopback.
func overSockets(t *testing.T, n, voters int, hold bool) (all []*balancer, restart func(i int)) {
	var candidates []lease.Candidate
	for i := range n {
		l, err := net.Listen("tcp", fmt.Sprintf("127.123.1.%d:0", i+1))
		if err != nil {
			t.Fatal(err)
		}
		candidates = append(candidates, lease.Candidate{Name: string(rune('a' + i)), Zone: "z", Addr: l.Addr().String()})
		l.Close()
	}
	folder := t.TempDir()
	begin := func(i int, gen uint64) *balancer {
		b := newBalancer(candidates[i].Name)
		cfg := b.config(hold)
		cfg.Generation, cfg.PredecessorEnded = gen, true
		cfg.Log = lease.Log{Cluster: "t", Name: b.name, Listen: candidates[i].Addr, Candidates: candidates, Voters: voters, Folder: folder + "/" + b.name, Tick: 10 * time.Millisecond}
		cfg.Lease = 600 * time.Millisecond
		h, err := Start(cfg, quiet())
		if err != nil {
			t.Fatal(err)
		}
		b.Host = h
		go b.loop()
		t.Cleanup(b.close)
		return b
	}
	for i := range n {
		all = append(all, begin(i, 1))
	}
	waitFor(t, "all at work by 0", func() bool { return allBy(all, 0) })
	return all, func(i int) { all[i] = begin(i, 2) }
}

func leader(all []*balancer) int {
	for i, b := range all {
		if b.node.Leader().IsSelf {
			return i
		}
	}
	return -1
}

func TestOverSockets(t *testing.T) {
	for _, n := range []int{3, 5} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			all, restart := overSockets(t, n, 3, false)
			for i := range 5 {
				key := fmt.Sprint("k", i)
				if got, err := all[i%n].settled(t, key, fmt.Sprintf("propose %s %d - - op %s", key, i, text(key))); err != nil || !strings.HasPrefix(got, fmt.Sprintf("settled %d ", i+1)) {
					t.Fatal(got, err)
				}
			}
			waitFor(t, "all at work by 5", func() bool { return allBy(all, 5) })

			// The leader goes right after it has taken a proposal; the others end it, everywhere.
			gone := leader(all)
			words := "propose k6 5 - 5s op " + text("six")
			go all[(gone+1)%n].Operate(context.Background(), words)
			time.Sleep(15 * time.Millisecond)
			all[gone].close()
			by := all[(gone+1)%n]
			if got, err := by.settled(t, "k6", words); err != nil || !strings.HasPrefix(got, "settled 6 ") {
				t.Fatal(got, err)
			}
			restart(gone)
			waitFor(t, "all at work by 6", func() bool { return allBy(all, 6) })

			if got, err := by.settled(t, "r", "rollback r 6 - - op 2"); err != nil || !strings.HasPrefix(got, "settled 7 ") {
				t.Fatal(got, err)
			}
			for i := range all {
				line, err := all[i].Operate(context.Background(), "list 6")
				if err != nil || !strings.HasPrefix(line, "7 hash=") || !strings.Contains(line, "kind=rollback-of-2") {
					t.Fatal(line, err)
				}
			}
			waitFor(t, "all at work by 7", func() bool { return allBy(all, 7) })
			if c := all[0].Lease().Content; c.Note != "k1" {
				t.Fatalf("rolled back to %q", c.Note)
			}
			if n == 5 {
				old, young := "", ""
				votes := map[string]bool{}
				for _, v := range all[leader(all)].node.Status().Voters {
					votes[v.Name] = true
					if v.Name != all[leader(all)].name {
						old = v.Name
					}
				}
				for _, b := range all {
					if !votes[b.name] {
						young = b.name
					}
				}
				if got, err := by.Operate(context.Background(), "replace "+old+" "+young); err != nil {
					t.Fatal(got, err)
				}
				if s, _ := by.Operate(context.Background(), "status"); !strings.Contains(s, young) {
					t.Fatal(s)
				}
				if got, err := by.settled(t, "k8", "propose k8 7 - - op "+text("eight")); err != nil {
					t.Fatal(got, err)
				}
			}
		})
	}
}

var revisions = flag.Int("revisions", 40, "settled by TestHistoryThroughTheLog")

// A history through the real log, its folder and its snapshots, with restarts in between: what is kept is what was settled, number by number;
// what is over the bound in number, or later in bytes, is forgotten and said to be; a revision that is kept can be gone back to.
func TestHistoryThroughTheLog(t *testing.T) {
	l, err := net.Listen("tcp", "127.123.2.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := l.Addr().String()
	_ = l.Close()
	folder, n, keep, bytes := t.TempDir(), max(20, *revisions), max(20, *revisions)/2, int64(8<<20)
	var b *balancer
	begin := func(gen int) {
		if b != nil {
			b.close()
		}
		b = newBalancer("a")
		cfg := b.config(false)
		cfg.Generation, cfg.PredecessorEnded, cfg.Lease, cfg.History, cfg.HistoryBytes = uint64(gen), true, 200*time.Millisecond, keep, bytes
		cfg.Log = lease.Log{Cluster: "t", Name: "a", Listen: addr, Candidates: []lease.Candidate{{Name: "a", Addr: addr}}, Voters: 1, Folder: folder, Tick: 5 * time.Millisecond}
		h, err := Start(cfg, quiet())
		if err != nil {
			t.Fatal(err)
		}
		b.Host = h
		go b.loop()
		t.Cleanup(b.close)
	}
	call := func(words string) string {
		t.Helper()
		got := ""
		waitFor(t, words, func() bool {
			got, err = b.Operate(context.Background(), words)
			return err == nil || !strings.HasPrefix(err.Error(), revision.RetryLaterPrefix)
		})
		return got
	}
	began := time.Now()
	for i := 1; i <= n; i++ {
		if i%(n/4) == 1 {
			begin(i)
		}
		key := fmt.Sprint("k", i)
		if got, err := b.settled(t, key, fmt.Sprintf("propose %s %d - - op %s", key, i-1, text(key))); err != nil || !strings.HasPrefix(got, fmt.Sprintf("settled %d ", i)) {
			t.Fatal(i, got, err)
		}
	}
	t.Logf("%d revisions in %v; the folder has entries from %d to %d", n, time.Since(began).Round(time.Millisecond), b.node.Status().FirstEntry, b.node.Status().Applied)
	check := func(first, last int) {
		t.Helper()
		if got := call("list 0"); err != nil || !strings.HasPrefix(got, fmt.Sprint(first, " hash=")) || !strings.Contains(got, fmt.Sprintf(" forgotten=..%d ", first-1)) {
			t.Error(got, err)
		}
		if call(fmt.Sprintf("get %d", first-1)); !errors.As(err, new(*revision.RevisionForgotten)) || hint.Of(err) == "" {
			t.Errorf("%d: %v", first-1, err)
		}
		for i := first; i <= last; i++ {
			if got := call(fmt.Sprintf("get %d", i)); err != nil || got != text(fmt.Sprint("k", i)) {
				t.Fatal(i, got, err)
			}
		}
	}
	check(n-keep+1, n)
	begin(n + 1)
	check(n-keep+1, n)
	bytes = int64(10 * len(text(fmt.Sprint("k", n))))
	begin(n + 2)
	if got, err := b.settled(t, "back", fmt.Sprintf("rollback back %d - - op %d", n, n-5)); err != nil || !strings.HasPrefix(got, fmt.Sprintf("settled %d %s ", n+1, call(fmt.Sprintf("list %d", n-6))[len(fmt.Sprint(n-5, " hash=")):][:16])) {
		t.Fatal(got, err)
	}
	check(n-8, n) // nine of them and the one that went back
	if call(fmt.Sprintf("rollback gone %d - - op %d", n+1, n-9)); !errors.As(err, new(*revision.RevisionForgotten)) {
		t.Error(err)
	}
}
