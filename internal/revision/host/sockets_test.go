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

// startOverSockets starts n members, of which voters hold a vote, over the real log on loopback. It returns them, and a
// function that restarts one.
func startOverSockets(t *testing.T, n, voters int, hold bool) (all []*balancer, restart func(i int)) {
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
	startMember := func(i int, generation uint64) *balancer {
		b := newBalancer(candidates[i].Name)
		cfg := b.config(hold)
		cfg.Generation, cfg.PredecessorEnded = generation, true
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
		h, err := Start(cfg, discardLogger())
		if err != nil {
			t.Fatal(err)
		}
		b.Host = h
		go b.loop()
		t.Cleanup(b.close)
		return b
	}
	for i := range n {
		all = append(all, startMember(i, 1))
	}
	waitFor(t, "all active with revision 0", func() bool { return allActive(all, 0) })
	return all, func(i int) { all[i] = startMember(i, 2) }
}

func leaderIndex(all []*balancer) int {
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
			all, restart := startOverSockets(t, n, 3, false)
			for i := range 5 {
				key := fmt.Sprint("k", i)
				all[i%n].mustSettle(t, key, fmt.Sprintf("propose %s %d - - op %s", key, i, text(key)), i+1)
			}
			waitFor(t, "all active with revision 5", func() bool { return allActive(all, 5) })
			submitter := closeLeader(t, all, restart)
			rollBack(t, all, submitter)
			if n == 5 {
				replaceVoter(t, all, submitter)
			}
		})
	}
}

// closeLeader closes the leader shortly after a proposal was submitted; the others settle it, and it comes into force
// at all members. It returns the member that submitted it.
func closeLeader(t *testing.T, all []*balancer, restart func(i int)) (submitter *balancer) {
	t.Helper()
	oldLeader := leaderIndex(all)
	submitter = all[(oldLeader+1)%len(all)]
	words := "propose k6 5 - 5s op " + text("six")
	go submitter.Operate(context.Background(), words)
	time.Sleep(15 * time.Millisecond)
	all[oldLeader].close()
	submitter.mustSettle(t, "k6", words, 6)
	restart(oldLeader)
	waitFor(t, "all active with revision 6", func() bool { return allActive(all, 6) })
	return submitter
}

// rollBack rolls back to revision 2.
func rollBack(t *testing.T, all []*balancer, submitter *balancer) {
	t.Helper()
	submitter.mustSettle(t, "r", "rollback r 6 - - op 2", 7)
	for i := range all {
		line, err := all[i].Operate(context.Background(), "list 6")
		if err != nil || !strings.HasPrefix(line, "7 hash=") || !strings.Contains(line, "kind=rollback-of-2") {
			t.Fatal(line, err)
		}
	}
	waitFor(t, "all active with revision 7", func() bool { return allActive(all, 7) })
	if c := all[0].Lease().Content; c.Note != "k1" {
		t.Fatalf("rolled back to %q", c.Note)
	}
}

// replaceVoter moves the vote of a member that is not the leader to a member without a vote.
func replaceVoter(t *testing.T, all []*balancer, submitter *balancer) {
	t.Helper()
	oldVoter, newVoter := "", ""
	votes := map[string]bool{}
	for _, v := range all[leaderIndex(all)].node.Status().Voters {
		votes[v.Name] = true
		if v.Name != all[leaderIndex(all)].name {
			oldVoter = v.Name
		}
	}
	for _, b := range all {
		if !votes[b.name] {
			newVoter = b.name
		}
	}
	if got, err := submitter.Operate(context.Background(), "replace "+oldVoter+" "+newVoter); err != nil {
		t.Fatal(got, err)
	}
	if s, _ := submitter.Operate(context.Background(), "status"); !strings.Contains(s, newVoter) {
		t.Fatal(s)
	}
	if got, err := submitter.awaitOutcome(t, "k8", "propose k8 7 - - op "+text("eight")); err != nil {
		t.Fatal(got, err)
	}
}

var revisions = flag.Int("revisions", 40, "number of revisions that TestHistoryOverLog settles")

// restartableMember is one member over the real log that can be restarted with the same folder.
type restartableMember struct {
	*balancer
	addr, folder string
	keep         int   // revisions
	keepBytes    int64 // bound of their texts
}

func newRestartableMember(t *testing.T, keep int, keepBytes int64) *restartableMember {
	l, err := net.Listen("tcp", "127.123.2.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return &restartableMember{addr: l.Addr().String(), folder: t.TempDir(), keep: keep, keepBytes: keepBytes}
}

// restart starts the next process of the member.
func (s *restartableMember) restart(t *testing.T, generation int) {
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
	h, err := Start(cfg, discardLogger())
	if err != nil {
		t.Fatal(err)
	}
	b.Host = h
	go b.loop()
	t.Cleanup(b.close)
	s.balancer = b
}

// operateWithRetry carries out a call, and retries it while its error permits that.
func (s *restartableMember) operateWithRetry(t *testing.T, words string) (got string, err error) {
	t.Helper()
	waitFor(t, words, func() bool {
		got, err = s.Operate(context.Background(), words)
		return err == nil || !strings.HasPrefix(err.Error(), revision.RetryLaterPrefix)
	})
	return got, err
}

// mustKeep checks that the revisions from first to last are kept with their texts, and that earlier ones are not.
func (s *restartableMember) mustKeep(t *testing.T, first, last int) {
	t.Helper()
	got, err := s.operateWithRetry(t, "list 0")
	forgotten := fmt.Sprintf(" forgotten=..%d ", first-1)
	if err != nil || !strings.HasPrefix(got, fmt.Sprint(first, " hash=")) || !strings.Contains(got, forgotten) {
		t.Error(got, err)
	}
	_, err = s.operateWithRetry(t, fmt.Sprintf("get %d", first-1))
	if !errors.As(err, new(*revision.NotRetained)) || hint.Of(err) == "" {
		t.Errorf("%d: %v", first-1, err)
	}
	for i := first; i <= last; i++ {
		if got, err := s.operateWithRetry(t, fmt.Sprintf("get %d", i)); err != nil || got != text(fmt.Sprint("k", i)) {
			t.Fatal(i, got, err)
		}
	}
}

// The history survives restarts through the real log, its folder and its snapshots: the kept revisions equal the
// settled ones, revisions beyond the bound in number, or later in bytes, are reported as forgotten, and a rollback to
// a kept revision succeeds.
func TestHistoryOverLog(t *testing.T) {
	n := max(20, *revisions)
	keep := n / 2
	s := newRestartableMember(t, keep, 8<<20)
	startedAt := time.Now()
	for i := 1; i <= n; i++ {
		if i%(n/4) == 1 {
			s.restart(t, i)
		}
		key := fmt.Sprint("k", i)
		s.mustSettle(t, key, fmt.Sprintf("propose %s %d - - op %s", key, i-1, text(key)), i)
	}
	status := s.node.Status()
	t.Logf("%d revisions in %v; the folder has entries from %d to %d",
		n, time.Since(startedAt).Round(time.Millisecond), status.FirstEntry, status.Applied)
	s.mustKeep(t, n-keep+1, n)
	s.restart(t, n+1)
	s.mustKeep(t, n-keep+1, n)
	s.keepBytes = int64(10 * len(text(fmt.Sprint("k", n))))
	s.restart(t, n+2)
	line, err := s.operateWithRetry(t, fmt.Sprintf("list %d", n-6))
	if err != nil {
		t.Fatal(err)
	}
	hash := line[len(fmt.Sprint(n-5, " hash=")):][:16]
	got, err := s.awaitOutcome(t, "back", fmt.Sprintf("rollback back %d - - op %d", n, n-5))
	if err != nil || !strings.HasPrefix(got, fmt.Sprintf("settled %d %s ", n+1, hash)) {
		t.Fatal(got, err)
	}
	s.mustKeep(t, n-8, n) // nine of them and the rollback
	_, err = s.operateWithRetry(t, fmt.Sprintf("rollback gone %d - - op %d", n+1, n-9))
	if !errors.As(err, new(*revision.NotRetained)) {
		t.Error(err)
	}
}
