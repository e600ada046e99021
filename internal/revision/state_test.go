package revision

import (
	"bytes"
	_ "crypto/sha256" // for Hash
	"errors"
	"fmt"
	"testing"
	"time"
)

// commitRevision proposes, stops and commits a revision.
func commitRevision(t *testing.T, s *State, c Command) {
	t.Helper()
	c.Base = s.InForce().Number
	for _, op := range []Op{OpPropose, OpStop, OpCommit} {
		c.Op = op
		if p := s.Pending; p != nil {
			c.ProposalID, c.Epoch, c.HoldersVersion, c.LeaderTerm = p.ID, s.Epoch, s.HoldersVersion, s.LeaderTerm
		}
		if r := s.Apply(c); r.Err != nil {
			t.Fatal(op, r.Err)
		}
	}
}

// TestHistoryRetention commits 10,000 revisions. The retained ones must survive snapshots unchanged, and older ones
// must be reported as NotRetained.
func TestHistoryRetention(t *testing.T) {
	s := NewState()
	hash := func(n int) string {
		return Hash(&Content{FormatVersion: FormatVersion, Note: fmt.Sprint(n)})
	}
	for i := 1; i <= 10_000; i++ {
		c := &Content{FormatVersion: FormatVersion, Note: fmt.Sprint(i)}
		commitRevision(
			t,
			s,
			Command{
				Kind:            KindProposed,
				Key:             fmt.Sprint("k", i),
				Text:            Encode(c),
				Hash:            Hash(c),
				MaxRevisions:    1000,
				MaxHistoryBytes: 1 << 20,
			},
		)
		if i%1700 == 0 {
			n := &State{}
			if err := n.Restore(s.Snapshot()); err != nil || !bytes.Equal(n.Snapshot(), s.Snapshot()) ||
				n.historyBytes != s.historyBytes {
				t.Fatal("the restored state differs", err)
			}
			s = n
		}
	}
	if len(s.History) != 1000 || s.InForce().Number != 10_000 {
		t.Fatal(len(s.History), s.InForce().Number)
	}
	for n := 9001; n <= 10_000; n++ {
		r, err := s.Revision(uint64(n))
		if err != nil {
			t.Fatal(err)
		}
		if c, err := Decode(r.Text); err != nil || r.Hash != hash(n) || Hash(c) != r.Hash || r.Key != fmt.Sprint("k", n) {
			t.Fatalf("revision %d differs from the committed one: %+v", n, r)
		}
	}
	if _, err := s.Revision(9000); !errors.As(err, new(*NotRetained)) {
		t.Fatal(err)
	}
	commitRevision(t, s, Command{Kind: KindRollback, Key: "back", Source: 9500,
		MaxRevisions: 1000, MaxHistoryBytes: 20_000})
	if s.InForce().Hash != hash(9500) || s.historyBytes > 20_000 {
		t.Fatal(s.InForce().Hash, s.historyBytes)
	}
	if o := s.Outcome("k9700"); o == nil || o.Number != 9700 {
		t.Fatal("the outcome of a revision outlives it in the history", o)
	}
}

// TestApplyErrors checks the errors of proposals, joins and OpForget.
func TestApplyErrors(t *testing.T) {
	s := NewState()
	commitRevision(
		t,
		s,
		Command{Kind: KindProposed, Key: "k", Text: Encode(&Content{FormatVersion: FormatVersion}),
			GuardDuration: int64(time.Minute)},
	)
	propose := func(kind Kind, from, of uint64) error {
		return s.Apply(
			Command{
				Op:     OpPropose,
				Key:    fmt.Sprint(kind, from, of),
				Kind:   kind,
				Base:   from,
				Source: of,
				Text:   Encode(&Content{FormatVersion: FormatVersion}),
			},
		).Err
	}
	if err := propose(KindProposed, 1, 0); !errors.As(err, new(*GuardActive)) {
		t.Error(err)
	}
	if err := propose(KindRollback, 0, 0); !errors.As(err, new(*BaseChanged)) {
		t.Error(err)
	}
	if err := propose(KindRollback, 1, 7); !errors.As(err, new(*NotFound)) {
		t.Error(err)
	}
	if err := propose(KindRollback, 1, 0); err != nil {
		t.Error(err)
	}
	if err := propose(KindRollback, 1, 1); !errors.As(err, new(*ProposalPending)) {
		t.Error(err)
	}
	join := func(gen uint64, ended bool) error {
		return s.Apply(Command{Op: OpJoin, Holder: Holder{"a", gen}, Ended: ended}).Err
	}
	if join(1, true) != nil || join(2, false) != nil || len(s.Holders) != 2 {
		t.Error("two processes during an upgrade must be two holders", s.Holders)
	}
	if join(3, true) != nil || len(s.Holders) != 1 {
		t.Error("earlier processes must be removed", s.Holders)
	}
	if err := join(2, true); !errors.As(err, new(*Superseded)) {
		t.Error(err)
	}
	if err := s.Apply(Command{Op: OpForget, Name: "x", LeaderTerm: s.LeaderTerm}).Err; !errors.As(
		err,
		new(*UnknownHolder),
	) {
		t.Error(err)
	}
}

// TestGuard checks that the guard rolls back a revision whose rates are worse and keeps one whose rates are not, also
// after a change of leader.
func TestGuard(t *testing.T) {
	before := Totals{Requests: 1000, Rejected: 20, Late: 50}
	for _, x := range []struct {
		now   Totals
		worse bool
	}{
		{Totals{Requests: 49, Failed: 49}, false},
		{Totals{Requests: 100, Rejected: 4}, false},
		{Totals{Requests: 100, Rejected: 6}, true},
		{Totals{Requests: 100, Late: 9}, false},
		{Totals{Requests: 100, Late: 10}, true},
		{Totals{Requests: 1000, Failed: 21}, true},
	} {
		if reason := RateAboveLimit(before, x.now); (reason != "") != x.worse {
			t.Errorf("%+v: %q", x.now, reason)
		}
	}
	if reason := RateAboveLimit(Totals{Requests: 10}, Totals{Requests: 100, Rejected: 20}); reason != "" {
		t.Error("rejection rate below the limit that applies without a baseline:", reason)
	}

	s := NewState()
	l := NewLeader("a", testConfig)
	l.BeginTerm(0, s.Apply(Command{Op: OpBeginTerm}).Number)
	s.Apply(Command{Op: OpJoin, Holder: Holder{"a", 1}})
	commitRevision(
		t,
		s,
		Command{
			Kind:          KindProposed,
			Key:           "k",
			Text:          Encode(&Content{FormatVersion: FormatVersion}),
			GuardDuration: int64(time.Minute),
			Baseline:      before,
		},
	)
	renew := func(now time.Duration, f Totals) []Command {
		l.Renew(now, s, RenewRequest{Holder: Holder{"a", 1}, Totals: f})
		return l.NextCommands(now, s)
	}
	renew(0, Totals{})
	if c := renew(time.Second, Totals{Requests: 100}); len(c) != 0 {
		t.Fatal(c)
	}
	if c := renew(2*time.Second, Totals{Requests: 200, Failed: 50}); len(c) != 1 || c[0].Kind != KindGuard ||
		c[0].Source != 0 ||
		c[0].Key != "guard-1" {
		t.Fatal(c)
	}
	successor := NewLeader("b", testConfig) // a new leader restarts the guard period
	successor.BeginTerm(3*time.Second, s.Apply(Command{Op: OpBeginTerm}).Number)
	l = successor
	renew(3*time.Second, Totals{Requests: 200, Failed: 50})
	if c := renew(62*time.Second, Totals{Requests: 300, Failed: 50}); len(c) != 0 {
		t.Fatal(c)
	}
	if c := renew(64*time.Second, Totals{Requests: 300, Failed: 50}); len(c) != 1 || c[0].Op != OpEndGuard {
		t.Fatal(c)
	}
}

// TestJoinCommittedAfterProcessEnded checks that a join which is committed after its process has been reported as ended
// does not add a holder, also after a snapshot.
func TestJoinCommittedAfterProcessEnded(t *testing.T) {
	s := NewState()
	h, later := Holder{"a", 5}, Holder{"a", 7}
	s.Apply(Command{Op: OpJoin, Holder: later})
	if s.HasEnded(h) {
		t.Error("the process is reported as ended before its leave")
	}
	for range 2 {
		s.Apply(Command{Op: OpLeave, Holder: h, Ended: true})
	}
	if err := s.Restore(s.Snapshot()); err != nil {
		t.Fatal(err)
	}
	if r := s.Apply(Command{Op: OpJoin, Holder: h}); !errors.As(r.Err, new(*Superseded)) || s.HasHolder(h) ||
		!s.HasEnded(h) ||
		len(s.EndedProcesses) != 1 {
		t.Error(r.Err, s.Holders, s.EndedProcesses)
	}
	if s.HasEnded(later) || !s.HasHolder(later) {
		t.Error("the later process was removed")
	}
	for i := range uint64(2 * maxEnded) {
		s.Apply(Command{Op: OpLeave, Holder: Holder{"b", i}, Ended: true})
	}
	if len(s.EndedProcesses) != maxEnded {
		t.Errorf("%d ended processes are kept", len(s.EndedProcesses))
	}
}
