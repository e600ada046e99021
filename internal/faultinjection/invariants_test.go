package faultinjection

import (
	"fmt"
	"math/rand/v2"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"oatloft/internal/hint"
	"oatloft/internal/management"
	"oatloft/internal/revision"
	"oatloft/internal/rules"
)

const ms = time.Millisecond

func name(i int) string { return fmt.Sprintf("b%02d", i+1) }

// checkFound checks that the violations found by an invariant contain the text want, or are none if want is "".
func checkFound(t *testing.T, of string, broken []string, want string) {
	t.Helper()
	got := strings.Join(broken, "; ")
	if want == "" && got != "" || !strings.Contains(got, want) {
		t.Errorf("%s: found %q, want %q", of, got, want)
	}
}

// Log lines are parsed into periods of routing, with unrelated lines ignored. A process that was stopped and then
// killed did nothing since the stop. The messages are those of this version and of the previous one.
func TestWorkFromLogLines(t *testing.T) {
	t.Run("this version", func(t *testing.T) { checkWorkFromLogLines(t, "active", "released") })
	t.Run("previous version", func(t *testing.T) { checkWorkFromLogLines(t, "at work", "let go") })
}

func checkWorkFromLogLines(t *testing.T, active, released string) {
	t.Helper()
	r := newRecord(0)
	at := func(d time.Duration) int64 { return r.epoch + d.Microseconds() }
	say := func(process int, what string, n int, d time.Duration, more string) {
		r.parseLine("b01", process,
			fmt.Sprintf(`time=2026-01-01T00:00:00Z level=INFO msg="revision %s" number=%d hash=h%d at=%d%s`,
				what, n, n, at(d), more))
	}
	say(1, active, 0, 10*ms, "")
	say(1, active, 0, 20*ms, "") // renewed
	r.parseLine("b01", 1, `level=INFO msg="something else" number=7 at=1`)
	say(1, released, 0, 50*ms, ` why="in between"`)
	say(1, active, 1, 60*ms, "")
	r.setStopped(1, 70*ms, true)
	r.endProcess(1, 900*ms)
	say(2, active, 2, 80*ms, "")
	say(2, active, 3, 90*ms, "")
	got := ""
	for _, w := range r.Works() {
		to := w.To
		if to == unbounded {
			to = 0
		}
		got += fmt.Sprintf("%d %s %v-%v %s, ", w.Number, w.Hash, w.From, to, w.Why)
	}
	if want := "0 h0 10ms-50ms in between, 1 h1 60ms-70ms the process ended, " +
		"2 h2 80ms-90ms the next one, 3 h3 90ms-0s , "; got != want {
		t.Errorf("got  %s\nwant %s", got, want)
	}
	r.endProcess(3, 200*ms)
	say(3, active, 3, 100*ms, "") // its last log line, read after it was killed
	if w := r.Works(); w[4].To != 200*ms {
		t.Errorf("the last one ends %v", w[4].To)
	}
	r.parseLine("b01", 1, fmt.Sprintf(`msg="revision %s" number=x at=1`, active))
	if len(r.unparsed) != 1 {
		t.Error("an invalid line was not recorded")
	}
}

func TestSingleRevision(t *testing.T) {
	for of, x := range map[string]struct {
		list []Work
		want string
	}{
		"one after the other": {[]Work{{By: "a", Number: 1, To: 10 * ms}, {By: "b", Number: 1, From: ms, To: 12 * ms},
			{By: "a", Number: 2, From: 13 * ms, To: unbounded},
			{By: "b", Number: 2, From: 20 * ms, To: unbounded}}, ""},
		"two at once": {[]Work{{By: "a", Number: 1, To: 10 * ms},
			{By: "b", Number: 2, From: 9 * ms, To: unbounded}}, "two revisions active at once"},
		"two processes of one balancer": {[]Work{{By: "a", Process: 1, Number: 1, To: unbounded},
			{By: "a", Process: 2, Number: 2, From: 9 * ms, To: unbounded}}, "two revisions active at once"},
		"back": {[]Work{{By: "a", Number: 2, To: 10 * ms},
			{By: "b", Number: 1, From: 11 * ms, To: unbounded}}, "activated revision 1"},
	} {
		checkFound(t, of, checkSingleRevision(x.list, 0), x.want)
	}
}

func TestRoutingRevision(t *testing.T) {
	works := []Work{{By: "a", Number: 1, From: 0, To: 1000 * ms}, {By: "a", Number: 2, From: 1010 * ms, To: 2000 * ms}}
	out := summarize([]Op{{Key: "k", Out: "r1"}, {Key: "l", Out: "r2"}},
		[]Entry{{Number: 1, Key: "k", Kind: "propose"}, {Number: 2, Key: "l", Kind: "propose"},
			{Number: 3, Key: "m", Kind: "rollback-of-1"}})
	if out[3].excluded != "r1" {
		t.Fatal(out)
	}
	calm := func(time.Duration) bool { return false }
	for of, x := range map[string]struct {
		e         rules.Event
		disturbed func(time.Duration) bool
		want      string
	}{
		"fits":                 {rules.Event{At: 500 * ms, Server: "r2", By: "a"}, calm, ""},
		"left out":             {rules.Event{At: 500 * ms, Server: "r1", By: "a"}, calm, "active revisions exclude"},
		"under way":            {rules.Event{At: 1200 * ms, Server: "r2", By: "a"}, calm, ""},
		"by the next revision": {rules.Event{At: 1200 * ms, Server: "r1", By: "a"}, calm, ""},
		"too late":             {rules.Event{At: 1600 * ms, Server: "r2", By: "a"}, calm, "active revisions exclude"},
		"over a disturbed link": {rules.Event{At: 1600 * ms, Server: "r2", By: "a"},
			func(time.Duration) bool { return true }, ""},
		"after the lease lapsed": {rules.Event{At: 2600 * ms, Server: "r3", By: "a"}, calm,
			"while it had no active revision"},
		"never at work": {rules.Event{At: 500 * ms, Server: "r3", By: "b"}, calm, "while it had no active revision"},
	} {
		checkFound(t, of, checkRouting([]rules.Event{x.e}, works, out, x.disturbed,
			func(_ string, _, _, over time.Duration) bool { return over < 0 }), x.want)
	}
}

func TestConvergence(t *testing.T) {
	same, ok := readStatus("here=3 phase=at-work until=900ms role=voter in-force=3 hash=x leader=b02 " +
		"reign=4 voters=b01,b02 members=2(b01,b02) pending=none watch=none history=0..3 on_cut=refuse")
	if !ok || same.Leader != "b02" {
		t.Fatalf("%+v", same)
	}
	other, less, between := same, same, same
	other.Hash, less.InForce, less.Number, between.Phase = "y", 2, 2, "between"
	pending, _ := readStatus("here=3 phase=at-work in-force=3 hash=x leader=b02 " +
		"pending=op1:check(waiting for b02,b03) watch=none")
	for of, x := range map[string]struct {
		s    Status
		want string
	}{"same": {same, ""}, "altered": {other, "b02 by 3 (y)"}, "behind": {less, "b02 by 2"},
		"between": {between, "does not route by the revision in force"}, "pending": {pending, "reports a pending change"}} {
		checkFound(t, of, []string{checkConvergence([]Status{same, x.s}, name)}, x.want)
	}
}

func TestDurability(t *testing.T) {
	works := []Work{{Number: 1, Hash: "h1"}, {Number: 2, Hash: "h2"}}
	ops := []Op{{Key: "k1", Result: Settled, Settled: 1}, {Key: "k2", Result: Settled, Settled: 2},
		{Key: "k3", Result: Ended}}
	both := []Entry{{Number: 1, Hash: "h1", Key: "k1"}, {Number: 2, Hash: "h2", Key: "k2"}}
	again := Op{Key: "k1", Result: Settled, Settled: 1,
		Again: management.Answer{OK: true, Text: revision.CommittedText(2, "h2", "k1")}}
	checkFound(t, "another answer later", checkHistories(works, []Op{again}, [][]Entry{both}, name),
		"when submitted again")
	again.Again.Text = revision.CommittedText(1, "h1", "k1")
	checkFound(t, "the same answer later", checkHistories(works, []Op{again}, [][]Entry{both}, name), "")
	for of, x := range map[string]struct {
		second []Entry
		want   string
	}{
		"same": {both, ""},
		"lost": {both[:1], "request k2 was reported as settled as 2; b02 has it as 0"},
		"altered": {[]Entry{{Number: 1, Hash: "h9", Key: "k1"}, {Number: 2, Hash: "h2", Key: "k2"}},
			"revision 1 is reported with several contents: h1, h9"},
		"twice": {append(both[:2:2], Entry{Number: 3, Hash: "h2", Key: "k2"}), "settled twice"},
		"a gap": {[]Entry{{Number: 1, Hash: "h1", Key: "k1"}, {Number: 3, Hash: "h2", Key: "k2"}},
			"has revision 3 directly after 1"},
		"ended but settled": {append(both[:2:2], Entry{Number: 3, Hash: "h3", Key: "k3"}), "request k3 was answered"},
	} {
		checkFound(t, of, checkHistories(works, ops, [][]Entry{both, x.second}, name), x.want)
	}
}

func TestLinearizability(t *testing.T) {
	op := func(key string, from int64, called, returned int, r Result, n uint64) Op {
		o := Op{Key: key, From: from, Called: time.Duration(called), Returned: time.Duration(returned), Result: r, Settled: n}
		if r == Refused {
			o.Settled, o.InForce = 0, n
		}
		return o
	}
	for of, x := range map[string]struct {
		ops     []Op
		history []Entry
		want    string
	}{
		"one wins": {[]Op{op("a", 0, 0, 10, Settled, 1), op("b", 0, 1, 9, Refused, 1)},
			[]Entry{{Number: 1, Hash: "", Key: "a"}}, ""},
		"both win": {[]Op{op("a", 0, 0, 10, Settled, 1), op("b", 0, 1, 9, Settled, 2)},
			[]Entry{{Number: 1, Hash: "", Key: "a"}, {Number: 2, Hash: "", Key: "b"}}, "no sequential order"},
		"refused by an old revision": {[]Op{op("a", -1, 0, 10, Settled, 1), op("b", -1, 11, 12, Settled, 2),
			op("c", 0, 13, 14, Refused, 1)},
			[]Entry{{Number: 1, Hash: "", Key: "a"}, {Number: 2, Hash: "", Key: "b"}}, "no sequential order"},
		"settled before it was asked for": {[]Op{op("b", -1, 0, 5, Settled, 2), op("a", -1, 6, 10, Settled, 1)},
			[]Entry{{Number: 1, Hash: "", Key: "a"}, {Number: 2, Hash: "", Key: "b"}}, "no sequential order"},
		"unknown outcome": {[]Op{op("a", 0, 0, int(unbounded), Unknown, 0), op("b", 1, 5, 6, Settled, 2)},
			[]Entry{{Number: 1, Hash: "", Key: "a"}, {Number: 2, Hash: "", Key: "b"}}, ""},
		"rollback by a guard": {[]Op{op("a", 0, 0, 5, Settled, 1), op("b", 2, 8, 9, Settled, 3)},
			[]Entry{{Number: 1, Hash: "", Key: "a"}, {Number: 2, Hash: "", Key: "guard-1"}, {Number: 3, Hash: "", Key: "b"}},
			""},
		"a number left out": {[]Op{op("a", 0, 0, 5, Settled, 1), op("b", -1, 8, 9, Settled, 3)},
			[]Entry{{Number: 1, Hash: "", Key: "a"}, {Number: 3, Hash: "", Key: "b"}}, "no sequential order"},
		"ended has no effect": {[]Op{op("a", 0, 0, 5, Ended, 0), op("b", 0, 8, 9, Settled, 1)},
			[]Entry{{Number: 1, Hash: "", Key: "b"}}, ""},
	} {
		checkFound(t, of, checkLinear(x.ops, x.history), x.want)
	}
}

func TestLinkSumAndShare(t *testing.T) {
	works := []Work{{By: "a", Number: 1, From: 0, To: unbounded}}
	never := func(_, _ time.Duration) bool { return false }
	onTime := func(_, _ time.Duration) time.Duration { return 0 }
	for of, x := range map[string]struct {
		each       int // bytes per slot, of class bulk
		size       float64
		still      time.Duration
		sum, share string
	}{
		"within": {2400, 60e3, 0, "", ""}, "over": {4000, 60e3, 0, "80000 bytes over east>west", ""},
		"no table":                       {4000, 0, 0, "", ""},
		"less than the guaranteed share": {500, 60e3, 0, "", "guaranteed share is 24000"},
		"one starved":                    {2400, 60e3, 3 * time.Second, "", "got no byte through for 3s"},
	} {
		l := newLedger()
		for at := time.Duration(0); at < 10*time.Second; at += slotLength {
			l.add("east>west", "bulk", at, x.each)
		}
		p := l.startTransfer(0, true)
		p.receive(5*time.Second, 1) // no bytes before the measured period
		for at := 5*time.Second + x.still; at <= 10*time.Second; at += slotLength {
			p.receive(at, 1)
		}
		checkFound(t, of, checkLinkSum(l, works, map[uint64]revisionSummary{1: {linkBytes: x.size}}, 10*time.Second, never,
			onTime), x.sum)
		checkFound(t, of, (&LinkShare{from: 5 * time.Second, to: 8 * time.Second}).judge(l, x.size), x.share)
	}
}

// Answers are parsed into the outcome of the request; an answer without an outcome leaves it unknown.
func TestAnswers(t *testing.T) {
	for text, want := range map[string]string{
		"+" + revision.CommittedText(5, "abcdef", "op1"):                                                         "1 5 0",
		"-" + hint.Line(&revision.BaseChanged{Base: 2, InForce: 4, Hash: "abcdef"}):                              "2 0 4",
		"-" + hint.Line(&revision.ProposalFailed{Key: "op1", Members: []string{"b02"}, Reason: "no such class"}): "3 0 0",
		"+" + revision.PendingText("op1", ""):                                                                    "0 0 0",
		"-" + revision.RetryLaterPrefix + "no leader; do: wait":                                                  "0 0 0",
		"-" + hint.Line(&revision.ProposalPending{Key: "op2", By: "x"}):                                          "0 0 0",
	} {
		o := &Op{}
		o.recordAnswer(management.Answer{OK: text[0] == '+', Text: text[1:]})
		if got := fmt.Sprintf("%d %d %d", o.Result, o.Settled, o.InForce); got != want {
			t.Errorf("%q: %s, want %s", text, got, want)
		}
	}
}

// Every generated schedule is valid, and hits the folders of fewer than half of the voters.
func TestGeneratedSchedules(t *testing.T) {
	seen := map[string]bool{}
	for seed := range uint64(300) {
		n := 1 + int(seed%9)
		s := GenerateRevisions(seed, n, 5, seed%2 == 0)
		if err := s.Check(); err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
		for _, f := range s.Faults {
			seen[f.Kind] = true
			if strings.HasPrefix(f.Kind, "folder-") && 2*f.A > voters(n) {
				t.Fatalf("seed %d: %v of %d voters", seed, f, voters(n))
			}
		}
		for _, f := range Generate(seed, n, 5).Faults {
			if kinds[f.Kind].needs != "" {
				t.Fatalf("seed %d: %v without revisions", seed, f)
			}
		}
	}
	for _, k := range Kinds() {
		if seen[k] == kinds[k].manualOnly {
			t.Errorf("%s: generated %v", k, seen[k])
		}
	}
}

// The files of hard cases are valid schedules.
func TestHardCases(t *testing.T) {
	files, _ := filepath.Glob("hard/*.json")
	if len(files) < 10 {
		t.Fatal(files)
	}
	for _, file := range files {
		if s, err := Load(file); err != nil || len(s.Calls) == 0 {
			t.Errorf("%s: %v", file, err)
		}
	}
}

// A change is in force at all balancers that returned a history, at none, or mixed if two of them differ.
func TestCountOutcomes(t *testing.T) {
	ops := []Op{{Key: "a", Result: Settled, Settled: 1, Called: ms, Returned: 5 * ms}, {Key: "b", Result: Ended},
		{Key: "c", Result: Unknown}, {Key: "d", Result: Rejected}}
	of := func(keys ...string) (h []Entry) {
		for i, k := range keys {
			h = append(h, Entry{Number: uint64(i + 1), Key: k, Hash: "h" + k})
		}
		return h
	}
	for name, x := range map[string]struct {
		one, other               []Entry
		everywhere, nowhere, mix int
		want                     string
	}{
		"all equal":                 {of("a", "c"), of("a", "c"), 2, 1, 0, ""},
		"an unknown one is missing": {of("a"), of("a"), 1, 2, 0, ""},
		"at one only":               {of("a", "c"), of("a"), 1, 1, 1, "request c is settled only at b01"},
		"another number":            {of("a", "c"), of("c", "a"), 0, 1, 2, "or differs"},
	} {
		c := &PlanResult{}
		checkFound(t, name, c.countOutcomes(ops, []leaderHistory{{by: "b01", history: x.one},
			{by: "b02", history: x.other}}), x.want)
		if c.Everywhere != x.everywhere || c.Nowhere != x.nowhere || c.Mixed != x.mix {
			t.Errorf("%s: %d everywhere, %d nowhere, %d mixed", name, c.Everywhere, c.Nowhere, c.Mixed)
		}
	}
}

// A balancer that recovers from a fault routes by the revision in force, not by the one before the fault, even if its
// log does not name it.
func TestFirstRequestsAfterFault(t *testing.T) {
	say := map[uint64]revisionSummary{1: {excluded: "r1,r2"}, 2: {excluded: "r3"}}
	works := []Work{{By: "b01", Number: 1, To: 100 * ms}, {By: "b02", Number: 1, To: 1000 * ms},
		{By: "b02", Number: 2, From: 1100 * ms, To: unbounded},
		{By: "b01", Number: 2, From: 3000 * ms, To: unbounded}}
	late := append([]Work{{By: "b01", Number: 1, From: 2000 * ms, To: 2500 * ms}}, works...)
	for name, x := range map[string]struct {
		works []Work
		by    []arrival
		judge int
		want  string
	}{
		"by what is in force": {works, []arrival{{50 * ms, "r3"}, {3100 * ms, "r1"}}, 1, ""},
		"left out by it": {works, []arrival{{50 * ms, "r1"}, {3100 * ms, "r3"}}, 1,
			"not by the revision in force"},
		"before anything is at work": {works, []arrival{{2500 * ms, "r1"}}, 1, "active there was none"},
		"by an old one":              {late, []arrival{{2400 * ms, "r3"}}, 1, "active there was 1"},
		"nobody came":                {works, []arrival{{50 * ms, "r3"}}, 0, ""},
	} {
		c := &PlanResult{}
		checkFound(t, name, c.judgeFirstRequests([]recovery{{"b01", 1500 * ms}}, map[string][]arrival{"b01": x.by}, x.works,
			say), x.want)
		if c.Recovered != 1 || c.Judged != x.judge {
			t.Errorf("%s: %d of %d judged", name, c.Judged, c.Recovered)
		}
	}
}

// A rollback has the content of the revision that it restores, in the history and in the returned content, at every
// balancer.
func TestRollbackContent(t *testing.T) {
	h := []Entry{{Number: 1, Hash: "x", Kind: "propose"}, {Number: 2, Hash: "y", Kind: "propose"},
		{Number: 3, Hash: "x", Kind: "rollback-of-1"}}
	good := leaderHistory{"b01", h, map[uint64]string{1: "x", 3: "x"}}
	for name, x := range map[string]struct {
		other leaderHistory
		want  string
	}{
		"equal":           {leaderHistory{"b02", h, map[uint64]string{1: "x", 3: "x"}}, ""},
		"another content": {leaderHistory{"b02", h, map[uint64]string{1: "x", 3: "y"}}, "returns a content with hash y"},
		"another in history": {leaderHistory{"b02", []Entry{h[0], h[1], {Number: 3, Hash: "y"}},
			map[uint64]string{1: "x", 3: "x"}}, "b02 has y as revision 3"},
		"not kept": {leaderHistory{"b02", h[:2], map[uint64]string{1: "x"}}, "b02 has no revision 3"},
	} {
		c := &PlanResult{}
		checkFound(t, name, c.judgeRollbacks([]leaderHistory{good, x.other}), x.want)
		if c.Rollbacks != 1 || (c.Equal == 1) != (x.want == "") {
			t.Errorf("%s: %d of %d", name, c.Equal, c.Rollbacks)
		}
	}
}

// An invalid plan is refused with its field. Each fault pattern generates valid faults, and mixed generates one or two
// for different balancers.
func TestPlans(t *testing.T) {
	for _, x := range []struct {
		p    Plan
		want string
	}{{Plan{FaultPattern: "none"}, "how: "}, {Plan{FaultPattern: "calm", Changes: maxChanges + 1}, "changes: "},
		{Plan{FaultPattern: "calm", InitialRevisions: -1}, "changes: "}} {
		if _, err := Run(x.p.Schedule(5, ""), Options{Net: 20, Revisions: true, Plan: &x.p}); err == nil ||
			!strings.HasPrefix(err.Error(), x.want) || hint.Of(err) == "" {
			t.Errorf("%+v: %v", x.p, err)
		}
	}
	if _, err := Run((&Plan{FaultPattern: "calm"}).Schedule(5, ""),
		Options{Net: 20, Plan: &Plan{FaultPattern: "calm"}}); err == nil ||
		!strings.HasPrefix(err.Error(), "plan: ") {
		t.Error(err)
	}
	for _, name := range FaultPatterns() {
		s := (&Plan{FaultPattern: name}).Schedule(5, "hold")
		for seed := range uint64(50) {
			list := faultPatterns[name].generate(rand.New(rand.NewPCG(seed, 1)), s)
			s.Faults = list
			if err := s.Check(); err != nil || name == "mixed" && (len(list) < 1 || len(list) > 2) || len(list) == 2 &&
				list[0].A == list[1].A {
				t.Fatal(name, seed, list, err)
			}
		}
	}
}
