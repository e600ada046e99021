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

// balancer is a host with a loop that acknowledges leases at once, unless it is stopped.
type balancer struct {
	*Host
	name    string
	stopped atomic.Bool
	unfit   atomic.Pointer[string] // note that its settings don't fit
	rung    chan struct{}
	end     chan struct{}
	once    sync.Once
}

type unfit struct{ note string }

func (e *unfit) Error() string { return "class " + e.note + " is unknown here" }
func (e *unfit) Hint() string  { return "load the settings that have it" }

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
			if u := b.unfit.Load(); u != nil && *u == c.Note {
				return &unfit{c.Note}
			}
			return nil
		},
		LeaseChanged: func() {
			select {
			case b.rung <- struct{}{}:
			default:
			}
		},
	}
}

func (b *balancer) loop() {
	for {
		select {
		case <-b.rung:
			if !b.stopped.Load() {
				b.Acknowledge(b.Lease().Seq)
			}
		case <-b.end:
			return
		}
	}
}

func newBalancer(name string) *balancer {
	return &balancer{name: name, rung: make(chan struct{}, 1), end: make(chan struct{})}
}

func (b *balancer) close() {
	b.once.Do(func() { b.Close(); close(b.end) })
}

func quiet() *slog.Logger { return slog.New(slog.DiscardHandler) }

// fleet starts members a, b, ... over a fake log, led by a.
func fleet(t *testing.T, n int, hold bool) (*fakeLog, []*balancer) {
	l := newFakeLog()
	var all []*balancer
	for i := range n {
		b := newBalancer(string(rune('a' + i)))
		h, err := start(b.config(hold), quiet(), l.node(b.name))
		if err != nil {
			t.Fatal(err)
		}
		b.Host = h
		go b.loop()
		t.Cleanup(b.close)
		all = append(all, b)
	}
	l.lead("a")
	waitFor(t, "all at work by 0", func() bool { return allBy(all, 0) })
	return l, all
}

func allBy(all []*balancer, n uint64) bool {
	for _, b := range all {
		if p := b.Lease(); !p.Allows(time.Now()) || p.Number != n {
			return false
		}
	}
	return true
}

func waitFor(t *testing.T, what string, done func() bool) {
	t.Helper()
	for end := time.Now().Add(8 * time.Second); !done(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("not in time: " + what)
		}
	}
}

func text(note string) string {
	return string(revision.Encode(&revision.Content{FormatVersion: revision.FormatVersion, Note: note}))
}

// settled hands a proposal in and waits for its end.
func (b *balancer) settled(t *testing.T, key, words string) (string, error) {
	t.Helper()
	var got string
	var err error
	waitFor(t, key+" ends", func() bool {
		if got, err = b.Operate(context.Background(), words); err != nil &&
			strings.HasPrefix(err.Error(), revision.RetryLaterPrefix) {
			return false
		}
		words = "outcome " + key
		return !strings.HasPrefix(got, "pending ")
	})
	return got, err
}

// mustSettle hands a proposal in, and fails the test unless it makes the revision of a number.
func (b *balancer) mustSettle(t *testing.T, key, words string, number int) {
	t.Helper()
	got, err := b.settled(t, key, words)
	if err != nil || !strings.HasPrefix(got, fmt.Sprintf("settled %d ", number)) {
		t.Fatal(key, got, err)
	}
}

func TestEverywhereOrNowhere(t *testing.T) {
	_, all := fleet(t, 3, false)
	got, err := all[1].settled(t, "k1", "propose k1 0 - - op "+text("one"))
	if err != nil || !strings.HasPrefix(got, "settled 1 ") {
		t.Fatal(got, err)
	}
	waitFor(t, "all at work by 1", func() bool { return allBy(all, 1) })
	if p := all[2].Lease(); p.Content == nil || p.Content.Note != "one" {
		t.Fatalf("%+v", p)
	}
	note := "two"
	all[2].unfit.Store(&note)
	if got, err = all[0].settled(t, "k2", "propose k2 1 - - op "+text("two")); err == nil ||
		!strings.Contains(err.Error(), "for c: class two is unknown here") {
		t.Fatal(got, err)
	}
	if !allBy(all, 1) {
		waitFor(t, "all at work by 1 again", func() bool { return allBy(all, 1) })
	}
	if got, err = all[0].settled(t, "k1", "propose k1 0 - - op "+text("one")); err != nil ||
		!strings.HasPrefix(got, "settled 1 ") {
		t.Fatal("the same key again:", got, err)
	}
	if _, err = all[0].settled(t, "k3", "rollback k3 0 - - op 0"); err == nil ||
		!strings.Contains(err.Error(), "revision 1 is in force") {
		t.Fatal(err)
	}
	if got, err = all[2].settled(t, "k4", "rollback k4 1 - - op 0"); err != nil || !strings.HasPrefix(got, "settled 2 ") {
		t.Fatal(got, err)
	}
	waitFor(t, "all at work by 2", func() bool { return allBy(all, 2) })
	line, err := all[1].Operate(context.Background(), "list 1")
	if err != nil || !strings.HasPrefix(line, "2 hash=") || !strings.Contains(line, "kind=rollback-of-0") {
		t.Fatal(line, err)
	}
	if s, _ := all[1].Operate(context.Background(), "status"); !strings.Contains(s, "in-force=2") ||
		!strings.Contains(s, "members=3(a,b,c)") {
		t.Fatal(s)
	}
}

// A leader that goes between any two steps leaves a proposal that its successor ends.
func TestLeadersEnd(t *testing.T) {
	l, all := fleet(t, 3, false)
	for i := range 12 {
		key := fmt.Sprintf("k%d", i)
		words := fmt.Sprintf("propose %s - - - op %s", key, text(key))
		go all[i%3].Operate(context.Background(), words)
		time.Sleep(time.Duration(i) * 3 * time.Millisecond)
		l.lead(all[(i+1)%3].name)
		if got, err := all[(i+2)%3].settled(t, key, words); err != nil {
			t.Fatal(key, got, err)
		}
		waitFor(t, "all at work", func() bool { return allBy(all, uint64(i+1)) })
	}
}

// One that is cut off has lost its permission before the others go on, with refuse; with hold they don't.
func TestPartition(t *testing.T) {
	for _, hold := range []bool{false, true} {
		l, all := fleet(t, 3, hold)
		l.cut("c", true)
		got, err := all[0].settled(t, "k", "propose k 0 - - op "+text("x"))
		if hold {
			if err == nil || !strings.Contains(err.Error(), "for c: no answer") || !allBy(all, 0) {
				t.Fatal(got, err)
			}
		} else if err != nil || all[2].Lease().Allows(time.Now()) {
			t.Fatal(got, err)
		}
		l.cut("c", false)
		if !hold {
			waitFor(t, "c has come back", func() bool { return allBy(all, 1) })
		}
	}
}

// names tells whether an end nowhere names a balancer; on a busy machine it may name others too.
func names(err error, name string) bool {
	return err != nil && (strings.Contains(err.Error(), " "+name+":") || strings.Contains(err.Error(), " "+name+","))
}

// A loop that doesn't take up the stop keeps the revision from being settled, or lapses.
func TestStopWaitsForAcknowledgement(t *testing.T) {
	_, all := fleet(t, 3, true)
	all[1].stopped.Store(true)
	if got, err := all[0].settled(t, "k", "propose k 0 - 1s op "+text("x")); !names(err, "b") {
		t.Fatal(got, err)
	}
	all[1].stopped.Store(false)
	all[1].Acknowledge(all[1].Lease().Seq)
	if got, err := all[0].settled(t, "k2", "propose k2 0 - 1s op "+text("x")); err != nil {
		t.Fatal(got, err)
	}
}

func TestLeave(t *testing.T) {
	_, all := fleet(t, 3, true)
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	all[2].Leave(ctx)
	if ctx.Err() != nil || all[2].Lease().Phase != Expired {
		t.Fatal("left", ctx.Err(), all[2].Lease())
	}
	if got, err := all[0].settled(t, "k", "propose k 0 - - op "+text("x")); err != nil {
		t.Fatal(got, err)
	}
	all[1].close()
	if _, err := all[0].settled(t, "k2", "propose k2 1 - 300ms op "+text("y")); err == nil {
		t.Fatal("went on without b")
	}
	if got, err := all[0].Operate(ctx, "forget b"); err != nil {
		t.Fatal(got, err)
	}
	if got, err := all[0].settled(t, "k3", "propose k3 1 - 300ms op "+text("y")); err != nil {
		t.Fatal(got, err)
	}
}

// The guard goes back by itself, once.
func TestGuard(t *testing.T) {
	l, all := fleet(t, 3, false)
	var asked int64
	figures := func(bad bool) {
		asked += 100
		for _, b := range all {
			if bad {
				b.SetTotals(asked, asked/2, 0, 0)
			} else {
				b.SetTotals(asked, 0, 0, 0)
			}
		}
	}
	figures(false)
	if got, err := all[0].settled(t, "k", "propose k 0 20s - op "+text("x")); err != nil {
		t.Fatal(got, err)
	}
	if _, err := all[0].settled(t, "k2", "propose k2 1 - - op "+text("y")); err == nil ||
		!strings.Contains(err.Error(), "is watched") {
		t.Fatal(err)
	}
	waitFor(t, "the way back", func() bool {
		figures(true)
		if asked == 300 {
			l.lead("b")
		}
		return allBy(all, 2)
	})
	if line, err := all[1].Operate(context.Background(), "list 1"); err != nil ||
		!strings.Contains(line, "kind=guard-back-to-0") {
		t.Fatal(line, err)
	}
}

// The log tells of each lease that the loop went by, also where it has gone over to the next before the holder's
// goroutine ran.
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
	for _, seq := range []uint64{10, 11, 13} { // it never saw the twelfth
		h.Acknowledge(seq)
	}
	h.collectAcks()
	if got := b.String(); strings.Count(got, `"revision at work"`) != 1 || strings.Count(got, `"revision let go"`) != 1 {
		t.Error(got)
	}
}
