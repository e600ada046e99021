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
		cfg.Log = lease.Log{
			Cluster:    "t",
			Name:       b.name,
			Listen:     candidates[i].Addr,
			Candidates: candidates,
			Voters:     voters,
			Folder:     folder + "/" + b.name,
			Tick:       10 * time.Millisecond,
		}
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
				all[i%n].mustSettle(t, key, fmt.Sprintf("propose %s %d - - op %s", key, i, text(key)), i+1)
			}
			waitFor(t, "all at work by 5", func() bool { return allBy(all, 5) })
			by := leaderEnds(t, all, restart)
			rollBack(t, all, by)
			if n == 5 {
				replaceVoter(t, all, by)
			}
		})
	}
}

// leaderEnds ends the leader right after it has taken a proposal; the others settle it, everywhere.
func leaderEnds(t *testing.T, all []*balancer, restart func(i int)) (by *balancer) {
	t.Helper()
	gone := leader(all)
	by = all[(gone+1)%len(all)]
	words := "propose k6 5 - 5s op " + text("six")
	go by.Operate(context.Background(), words)
	time.Sleep(15 * time.Millisecond)
	all[gone].close()
	by.mustSettle(t, "k6", words, 6)
	restart(gone)
	waitFor(t, "all at work by 6", func() bool { return allBy(all, 6) })
	return by
}

// rollBack goes back to the second revision.
func rollBack(t *testing.T, all []*balancer, by *balancer) {
	t.Helper()
	by.mustSettle(t, "r", "rollback r 6 - - op 2", 7)
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
}

// replaceVoter gives the vote of a member that doesn't lead to one that has none.
func replaceVoter(t *testing.T, all []*balancer, by *balancer) {
	t.Helper()
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

var revisions = flag.Int("revisions", 40, "settled by TestHistoryThroughTheLog")

// single is one member over the real log, whose process ends and starts again with the same folder.
type single struct {
	*balancer
	addr, folder string
	keep         int   // revisions
	keepBytes    int64 // of their texts
}

func newSingle(t *testing.T, keep int, keepBytes int64) *single {
	l, err := net.Listen("tcp", "127.123.2.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return &single{addr: l.Addr().String(), folder: t.TempDir(), keep: keep, keepBytes: keepBytes}
}

// begin starts the next process of the member.
func (s *single) begin(t *testing.T, generation int) {
	t.Helper()
	if s.balancer != nil {
		s.balancer.close()
	}
	b := newBalancer("a")
	cfg := b.config(false)
	cfg.Generation, cfg.PredecessorEnded, cfg.Lease = uint64(generation), true, 200*time.Millisecond
	cfg.History, cfg.HistoryBytes = s.keep, s.keepBytes
	cfg.Log = lease.Log{
		Cluster: "t", Name: "a", Listen: s.addr, Candidates: []lease.Candidate{{Name: "a", Addr: s.addr}}, Voters: 1,
		Folder: s.folder, Tick: 5 * time.Millisecond,
	}
	h, err := Start(cfg, quiet())
	if err != nil {
		t.Fatal(err)
	}
	b.Host = h
	go b.loop()
	t.Cleanup(b.close)
	s.balancer = b
}

// call repeats an order while its error says so.
func (s *single) call(t *testing.T, words string) (got string, err error) {
	t.Helper()
	waitFor(t, words, func() bool {
		got, err = s.Operate(context.Background(), words)
		return err == nil || !strings.HasPrefix(err.Error(), revision.RetryLaterPrefix)
	})
	return got, err
}

// mustHave checks that the revisions from first to last are kept with their texts, and earlier ones forgotten.
func (s *single) mustHave(t *testing.T, first, last int) {
	t.Helper()
	got, err := s.call(t, "list 0")
	forgotten := fmt.Sprintf(" forgotten=..%d ", first-1)
	if err != nil || !strings.HasPrefix(got, fmt.Sprint(first, " hash=")) || !strings.Contains(got, forgotten) {
		t.Error(got, err)
	}
	_, err = s.call(t, fmt.Sprintf("get %d", first-1))
	if !errors.As(err, new(*revision.NotRetained)) || hint.Of(err) == "" {
		t.Errorf("%d: %v", first-1, err)
	}
	for i := first; i <= last; i++ {
		if got, err := s.call(t, fmt.Sprintf("get %d", i)); err != nil || got != text(fmt.Sprint("k", i)) {
			t.Fatal(i, got, err)
		}
	}
}

// A history through the real log, its folder and its snapshots, with restarts in between: what is kept is what was
// settled, number by number; what is over the bound in number, or later in bytes, is forgotten and said to be; a
// revision that is kept can be gone back to.
func TestHistoryThroughTheLog(t *testing.T) {
	n := max(20, *revisions)
	keep := n / 2
	s := newSingle(t, keep, 8<<20)
	began := time.Now()
	for i := 1; i <= n; i++ {
		if i%(n/4) == 1 {
			s.begin(t, i)
		}
		key := fmt.Sprint("k", i)
		s.mustSettle(t, key, fmt.Sprintf("propose %s %d - - op %s", key, i-1, text(key)), i)
	}
	status := s.node.Status()
	t.Logf("%d revisions in %v; the folder has entries from %d to %d",
		n, time.Since(began).Round(time.Millisecond), status.FirstEntry, status.Applied)
	s.mustHave(t, n-keep+1, n)
	s.begin(t, n+1)
	s.mustHave(t, n-keep+1, n)
	s.keepBytes = int64(10 * len(text(fmt.Sprint("k", n))))
	s.begin(t, n+2)
	line, err := s.call(t, fmt.Sprintf("list %d", n-6))
	if err != nil {
		t.Fatal(err)
	}
	hash := line[len(fmt.Sprint(n-5, " hash=")):][:16]
	got, err := s.settled(t, "back", fmt.Sprintf("rollback back %d - - op %d", n, n-5))
	if err != nil || !strings.HasPrefix(got, fmt.Sprintf("settled %d %s ", n+1, hash)) {
		t.Fatal(got, err)
	}
	s.mustHave(t, n-8, n) // nine of them and the one that went back
	_, err = s.call(t, fmt.Sprintf("rollback gone %d - - op %d", n+1, n-9))
	if !errors.As(err, new(*revision.NotRetained)) {
		t.Error(err)
	}
}
