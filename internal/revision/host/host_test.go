package host

import (
	"context"
	"fmt"
	"log/slog"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"oatloft/internal/revision"
)

// balancer is a host with a loop that acknowledges leases immediately, unless it is stopped.
type balancer struct {
	*Host
	name             string
	stopped          atomic.Bool
	incompatibleNote atomic.Pointer[string] // note of the revision that is incompatible with its settings
	leaseChanged     chan struct{}
	loopEnd          chan struct{}
	once             sync.Once
}

type incompatibleError struct{ note string }

func (e *incompatibleError) Error() string { return "class " + e.note + " is unknown here" }
func (e *incompatibleError) Hint() string  { return "load settings with this class" }

func (b *balancer) config(hold bool) Config {
	return Config{
		Name:                 b.name,
		Generation:           1,
		KeepLeaseOnPartition: hold,
		Lease:                300 * time.Millisecond,
		Deadline:             2 * time.Second,
		History:              10,
		HistoryBytes:         1 << 20,
		Check: func(c *revision.Content) error {
			if note := b.incompatibleNote.Load(); note != nil && *note == c.Note {
				return &incompatibleError{c.Note}
			}
			return nil
		},
		LeaseChanged: func() {
			select {
			case b.leaseChanged <- struct{}{}:
			default:
			}
		},
	}
}

func (b *balancer) loop() {
	for {
		select {
		case <-b.leaseChanged:
			if !b.stopped.Load() {
				b.Acknowledge(b.Lease().Seq)
			}
		case <-b.loopEnd:
			return
		}
	}
}

func newBalancer(name string) *balancer {
	return &balancer{name: name, leaseChanged: make(chan struct{}, 1), loopEnd: make(chan struct{})}
}

func (b *balancer) close() {
	b.once.Do(func() { b.Close(); close(b.loopEnd) })
}

func discardLogger() *slog.Logger { return slog.New(slog.DiscardHandler) }

// startBalancers starts n members, named from a on, over a fake log with a as the leader.
func startBalancers(t *testing.T, n int, hold bool) (*fakeLog, []*balancer) {
	l := newFakeLog()
	var all []*balancer
	for i := range n {
		b := newBalancer(string(rune('a' + i)))
		h, err := start(b.config(hold), discardLogger(), l.node(b.name))
		if err != nil {
			t.Fatal(err)
		}
		b.Host = h
		go b.loop()
		t.Cleanup(b.close)
		all = append(all, b)
	}
	l.setLeader("a")
	waitFor(t, "all active with revision 0", func() bool { return allActive(all, 0) })
	return l, all
}

func allActive(all []*balancer, n uint64) bool {
	for _, b := range all {
		if p := b.Lease(); !p.Allows(time.Now()) || p.Number != n {
			return false
		}
	}
	return true
}

func waitFor(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(8 * time.Second); !condition(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("timed out waiting: " + what)
		}
	}
}

func text(note string) string {
	return string(revision.Encode(&revision.Content{FormatVersion: revision.FormatVersion, Note: note}))
}

// awaitOutcome submits a proposal and waits for its outcome.
func (b *balancer) awaitOutcome(t *testing.T, key, words string) (string, error) {
	t.Helper()
	var got string
	var err error
	waitFor(t, key+" has an outcome", func() bool {
		if got, err = b.Operate(context.Background(), words); err != nil &&
			strings.HasPrefix(err.Error(), revision.RetryLaterPrefix) {
			return false
		}
		words = "outcome " + key
		return !strings.HasPrefix(got, "pending ")
	})
	return got, err
}

// mustSettle submits a proposal, and fails the test unless it becomes the revision with a number.
func (b *balancer) mustSettle(t *testing.T, key, words string, number int) {
	t.Helper()
	got, err := b.awaitOutcome(t, key, words)
	if err != nil || !strings.HasPrefix(got, fmt.Sprintf("settled %d ", number)) {
		t.Fatal(key, got, err)
	}
}

// A proposal comes into force at all members, or at none if one of them is incompatible with it.
func TestProposalAppliesToAllOrNone(t *testing.T) {
	_, all := startBalancers(t, 3, false)
	got, err := all[1].awaitOutcome(t, "k1", "propose k1 0 - - op "+text("one"))
	if err != nil || !strings.HasPrefix(got, "settled 1 ") {
		t.Fatal(got, err)
	}
	waitFor(t, "all active with revision 1", func() bool { return allActive(all, 1) })
	if p := all[2].Lease(); p.Content == nil || p.Content.Note != "one" {
		t.Fatalf("%+v", p)
	}
	note := "two"
	all[2].incompatibleNote.Store(&note)
	if got, err = all[0].awaitOutcome(t, "k2", "propose k2 1 - - op "+text("two")); err == nil ||
		!strings.Contains(err.Error(), "for c: class two is unknown here") {
		t.Fatal(got, err)
	}
	if !allActive(all, 1) {
		waitFor(t, "all active with revision 1 again", func() bool { return allActive(all, 1) })
	}
	if got, err = all[0].awaitOutcome(t, "k1", "propose k1 0 - - op "+text("one")); err != nil ||
		!strings.HasPrefix(got, "settled 1 ") {
		t.Fatal("the same key again:", got, err)
	}
	if _, err = all[0].awaitOutcome(t, "k3", "rollback k3 0 - - op 0"); err == nil ||
		!strings.Contains(err.Error(), "revision 1 is in force") {
		t.Fatal(err)
	}
	if got, err = all[2].awaitOutcome(t, "k4", "rollback k4 1 - - op 0"); err != nil ||
		!strings.HasPrefix(got, "settled 2 ") {
		t.Fatal(got, err)
	}
	waitFor(t, "all active with revision 2", func() bool { return allActive(all, 2) })
	line, err := all[1].Operate(context.Background(), "list 1")
	if err != nil || !strings.HasPrefix(line, "2 hash=") || !strings.Contains(line, "kind=rollback-of-0") {
		t.Fatal(line, err)
	}
	if s, _ := all[1].Operate(context.Background(), "status"); !strings.Contains(s, "in-force=2") ||
		!strings.Contains(s, "members=3(a,b,c)") {
		t.Fatal(s)
	}
}

// A proposal whose leader loses leadership between any two steps is completed by the next leader.
func TestProposalSurvivesLeaderChange(t *testing.T) {
	l, all := startBalancers(t, 3, false)
	for i := range 12 {
		key := fmt.Sprintf("k%d", i)
		words := fmt.Sprintf("propose %s - - - op %s", key, text(key))
		go all[i%3].Operate(context.Background(), words)
		time.Sleep(time.Duration(i) * 3 * time.Millisecond)
		l.setLeader(all[(i+1)%3].name)
		if got, err := all[(i+2)%3].awaitOutcome(t, key, words); err != nil {
			t.Fatal(key, got, err)
		}
		waitFor(t, "all active", func() bool { return allActive(all, uint64(i+1)) })
	}
}

// With on_cut refuse, a partitioned member's lease has expired before the others proceed; with hold, they do not
// proceed.
func TestPartition(t *testing.T) {
	for _, hold := range []bool{false, true} {
		l, all := startBalancers(t, 3, hold)
		l.setPartitioned("c", true)
		got, err := all[0].awaitOutcome(t, "k", "propose k 0 - - op "+text("x"))
		if hold {
			if err == nil || !strings.Contains(err.Error(), "for c: no answer") || !allActive(all, 0) {
				t.Fatal(got, err)
			}
		} else if err != nil || all[2].Lease().Allows(time.Now()) {
			t.Fatal(got, err)
		}
		l.setPartitioned("c", false)
		if !hold {
			waitFor(t, "c has rejoined", func() bool { return allActive(all, 1) })
		}
	}
}

// namesBalancer reports whether the error of a failed proposal contains a balancer's name; on a busy machine it may
// contain others too.
func namesBalancer(err error, name string) bool {
	return err != nil && (strings.Contains(err.Error(), " "+name+":") || strings.Contains(err.Error(), " "+name+","))
}

// A member whose loop does not acknowledge the suspension keeps a revision from being settled until it acknowledges
// or its lease expires.
func TestSuspensionWaitsForAcknowledgement(t *testing.T) {
	_, all := startBalancers(t, 3, true)
	all[1].stopped.Store(true)
	if got, err := all[0].awaitOutcome(t, "k", "propose k 0 - 1s op "+text("x")); !namesBalancer(err, "b") {
		t.Fatal(got, err)
	}
	all[1].stopped.Store(false)
	all[1].Acknowledge(all[1].Lease().Seq)
	if got, err := all[0].awaitOutcome(t, "k2", "propose k2 0 - 1s op "+text("x")); err != nil {
		t.Fatal(got, err)
	}
}

func TestLeave(t *testing.T) {
	_, all := startBalancers(t, 3, true)
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	all[2].Leave(ctx)
	if ctx.Err() != nil || all[2].Lease().Phase != Expired {
		t.Fatal("left", ctx.Err(), all[2].Lease())
	}
	if got, err := all[0].awaitOutcome(t, "k", "propose k 0 - - op "+text("x")); err != nil {
		t.Fatal(got, err)
	}
	all[1].close()
	if _, err := all[0].awaitOutcome(t, "k2", "propose k2 1 - 300ms op "+text("y")); err == nil {
		t.Fatal("settled without b")
	}
	if got, err := all[0].Operate(ctx, "forget b"); err != nil {
		t.Fatal(got, err)
	}
	if got, err := all[0].awaitOutcome(t, "k3", "propose k3 1 - 300ms op "+text("y")); err != nil {
		t.Fatal(got, err)
	}
}

// The guard rolls a revision back without an operator, once, when rejections rise, also after a change of leader.
func TestGuard(t *testing.T) {
	l, all := startBalancers(t, 3, false)
	var requests int64
	setTotals := func(bad bool) {
		requests += 100
		for _, b := range all {
			if bad {
				b.SetTotals(requests, requests/2, 0, 0)
			} else {
				b.SetTotals(requests, 0, 0, 0)
			}
		}
	}
	setTotals(false)
	if got, err := all[0].awaitOutcome(t, "k", "propose k 0 20s - op "+text("x")); err != nil {
		t.Fatal(got, err)
	}
	if _, err := all[0].awaitOutcome(t, "k2", "propose k2 1 - - op "+text("y")); err == nil ||
		!strings.Contains(err.Error(), "is watched") {
		t.Fatal(err)
	}
	waitFor(t, "the rollback", func() bool {
		setTotals(true)
		if requests == 300 {
			l.setLeader("b")
		}
		return allActive(all, 2)
	})
	if line, err := all[1].Operate(context.Background(), "list 1"); err != nil ||
		!strings.Contains(line, "kind=guard-back-to-0") {
		t.Fatal(line, err)
	}
}

// Each acknowledged lease is logged, even if the loop has acknowledged the next one before the lease holder's
// goroutine collects the acknowledgements.
func TestEachAcknowledgedLeaseIsLogged(t *testing.T) {
	var b strings.Builder
	host := &Host{
		wakeHolder:      make(chan struct{}, 1),
		wakeCoordinator: make(chan struct{}, 1),
		log:             slog.New(slog.NewTextHandler(&b, nil)),
	}
	h := newLeaseHolder(host, revision.NewMember(revision.Holder{Name: "a", Generation: 1}, false, nil))
	for seq, phase := range []revision.LeasePhase{revision.Active, revision.Expired, revision.Active, revision.Suspended} {
		h.published.unacknowledged = append(
			h.published.unacknowledged,
			revision.Lease{Seq: uint64(10 + seq), Number: 7, Phase: phase},
		)
	}
	for _, seq := range []uint64{10, 11, 13} { // the loop never saw the lease with Seq 12
		h.Acknowledge(seq)
	}
	h.collectAcks()
	if got := b.String(); strings.Count(got, `"revision active"`) != 1 || strings.Count(got, `"revision released"`) != 1 {
		t.Error(got)
	}
}
