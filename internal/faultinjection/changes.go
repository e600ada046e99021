package faultinjection

import (
	"cmp"
	_ "crypto/sha256" // revision.Hash
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"oatloft/internal/revision"
	"oatloft/internal/rules"
)

// This file runs long series of changes: operators submit one change after the other while faults begin and end, and
// the outcome of each is counted. The invariants of the run judge the changes. In addition, this file checks the first
// request that every balancer routes after its fault, and the contents of rollbacks.

// Plan sets how many changes are made, and which faults occur meanwhile. A fault run with a plan ignores the faults and
// calls of its schedule.
type Plan struct {
	Seed             uint64
	InitialRevisions int           // revisions that are settled first, without faults
	Changes          int           // accepted requests, under faults
	Rollbacks        int           // after the changes, under faults too, to random earlier revisions
	FaultPattern     string        // one of FaultPatterns
	TimeLimit        time.Duration // no change begins later than this after the start
}

// faultPattern describes the faults while changes are made: rounds of a fault at some balancers, with a pause after
// each.
type faultPattern struct {
	fault, pause [2]time.Duration // shortest, longest
	generate     func(rng *rand.Rand, s *Schedule) []Fault
}

// randomFaults returns a generator that gives from least to most balancers a fault each, of random kinds.
func randomFaults(least, most int, kinds ...string) func(rng *rand.Rand, s *Schedule) []Fault {
	return func(rng *rand.Rand, s *Schedule) (list []Fault) {
		for _, i := range rng.Perm(s.Balancers)[:min(s.Balancers, least+rng.IntN(most-least+1))] {
			list = append(list, Fault{Kind: kinds[rng.IntN(len(kinds))], A: i + 1})
		}
		return list
	}
}

// faultPatterns are made for five balancers: two are a minority, three a majority.
var faultPatterns = map[string]faultPattern{
	"calm": {[2]time.Duration{time.Second, time.Second}, [2]time.Duration{},
		func(*rand.Rand, *Schedule) []Fault { return nil }},
	"mixed": {[2]time.Duration{300 * time.Millisecond, 4 * time.Second},
		[2]time.Duration{50 * time.Millisecond, time.Second},
		randomFaults(1, 2, "kill", "stop", "talk-cut", "talk-one-way")},
	"one-down":      {fixedLength, fixedLength, randomFaults(1, 1, "kill")},
	"two-down":      {fixedLength, fixedLength, randomFaults(2, 2, "kill")},
	"one-cut":       {fixedLength, fixedLength, randomFaults(1, 1, "talk-cut")},
	"majority-lost": {fixedLength, fixedLength, randomFaults(3, 3, "kill")},
}

var fixedLength = [2]time.Duration{6 * time.Second, 6 * time.Second}

// FaultPatterns returns the names of the fault patterns.
func FaultPatterns() []string {
	return []string{"mixed", "calm", "one-down", "two-down", "one-cut", "majority-lost"}
}

// Schedule returns the schedule of a run of the plan.
func (p *Plan) Schedule(balancers int, onCut string) *Schedule {
	return &Schedule{Name: fmt.Sprintf("changes-%d-%s", p.Seed, p.FaultPattern), Balancers: balancers, Servers: 6,
		Clients: 4 * balancers, Seconds: 1, OnCut: onCut}
}

func (p *Plan) check() error {
	switch _, ok := faultPatterns[p.FaultPattern]; {
	case !ok:
		return &InvalidSchedule{"how",
			fmt.Sprintf("%q is not one of %s", p.FaultPattern, strings.Join(FaultPatterns(), ", "))}
	case p.Changes < 0 || p.Rollbacks < 0 || p.InitialRevisions < 0 ||
		p.Changes+p.Rollbacks+p.InitialRevisions > maxChanges:
		return &InvalidSchedule{"changes", fmt.Sprintf("%d, %d and %d: the sum exceeds %d, or one is negative",
			p.InitialRevisions, p.Changes, p.Rollbacks, maxChanges)}
	}
	return nil
}

const (
	maxChanges  = 20_000
	planServers = 2 // servers that a revision does not exclude
)

// PlanResult is the outcome of a plan.
type PlanResult struct {
	Everywhere, Nowhere, Mixed int
	SettleTimes                []time.Duration // from each call to the answer that it is settled, sorted
	Answers                    map[string]int  // client requests, by the kind of their answer
	// balancers after a fault; of these, those whose first request reached a server
	Recovered, Judged int
	Faults            int
	Duration          time.Duration
	Rollbacks, Equal  int // rollbacks settled; of these, those that have the old content's hash at all balancers
	Entries           int // of the history at the end
	Leaders           int // balancers that returned their history as the leader
}

// recovery is the end of a balancer's fault.
type recovery struct {
	by string
	at time.Duration
}

// playPlan runs a plan.
func (w *Scenario) playPlan(p *Plan, began time.Duration) {
	rng := rand.New(rand.NewPCG(p.Seed, 31))
	count := 0
	nextCall := func(c Call) Result {
		count++
		return w.playCall(count, c)
	}
	randomServer := func() int { return 1 + rng.IntN(w.Schedule.Servers) }
	for made := 0; made < p.InitialRevisions && w.Now() < began+p.TimeLimit; {
		if nextCall(Call{Kind: "propose", To: 1 + rng.IntN(w.Schedule.Balancers), Only: randomServer()}) == Settled {
			made++
		}
	}
	from, answersBefore := w.Now(), w.answerCounts()
	faultsOver := make(chan struct{})
	var faults sync.WaitGroup
	faults.Go(func() {
		w.playFaultRounds(faultPatterns[p.FaultPattern], rand.New(rand.NewPCG(p.Seed, 37)), faultsOver)
	})
	for made := 0; made < p.Changes+p.Rollbacks && w.Now() < began+p.TimeLimit; {
		c := Call{Kind: "propose", To: 1 + rng.IntN(w.Schedule.Balancers), Only: randomServer(), From: rng.IntN(2) == 0,
			Lost: rng.IntN(3) == 0, Again: rng.IntN(3) == 0}
		if rng.IntN(3) == 0 {
			c.Also = 1 + rng.IntN(w.Schedule.Balancers)
		}
		if made >= p.Changes {
			c.Kind, c.Only, c.Back = "rollback", 0, 1+rng.IntN(max(1, p.InitialRevisions+p.Changes))
		} else if rng.IntN(6) == 0 {
			c.Kind, c.Only, c.Back = "rollback", 0, 1+rng.IntN(3)
		}
		if r := nextCall(c); r == Settled || r == Ended || r == Unknown {
			made++
		}
		if !pause(w.over, time.Duration(rng.IntN(300))*time.Millisecond) {
			break
		}
	}
	close(faultsOver)
	faults.Wait()
	lasted, answers := w.Now()-from, w.answerCounts()
	histories := w.collectLeaderHistories()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.leaderHistories = histories
	w.planResult = &PlanResult{Answers: map[string]int{}, Duration: lasted, Faults: len(w.recoveries)}
	for kind, count := range answers {
		w.planResult.Answers[kind] = count - answersBefore[kind]
	}
}

// playFaultRounds starts and ends faults until over is closed.
func (w *Scenario) playFaultRounds(h faultPattern, rng *rand.Rand, over <-chan struct{}) {
	randomIn := func(span [2]time.Duration) time.Duration {
		return span[0] + time.Duration(rng.Int64N(max(1, int64(span[1]-span[0]))))
	}
	for continues := true; continues; {
		list, faultTime, pauseTime := h.generate(rng, w.Schedule), randomIn(h.fault), randomIn(h.pause)
		var ends []func()
		for _, f := range list {
			ends = append(ends, w.StartFault(f))
		}
		continues = pause(over, faultTime)
		var all sync.WaitGroup
		for i, f := range list {
			w.mu.Lock()
			w.recoveries = append(w.recoveries, recovery{w.name(f.A - 1), w.Now()})
			w.mu.Unlock()
			all.Go(ends[i]) // starting a process is slow
		}
		all.Wait()
		continues = continues && pause(over, pauseTime)
	}
}

// answerCounts returns the number of client requests so far by the kind of their answer.
func (w *Scenario) answerCounts() map[string]int {
	w.mu.Lock()
	defer w.mu.Unlock()
	m := map[string]int{}
	for kind, n := range w.answers {
		m[kind] = n
	}
	return m
}

// PlanOutcome is the invariant of a run of changes: each change is in force at every balancer or at none, every
// balancer routes its first request after a fault by the revision in force, and a rollback has the content of the
// revision that it restores, at every balancer.
type PlanOutcome struct{ finalOnly }

// leaderHistory is the history that one balancer returns as the leader: its own copy, applied from the log in its own
// folder.
type leaderHistory struct {
	by      string
	history []Entry
	hashes  map[uint64]string // of the contents that it returns, by number
}

// Judge counts the outcomes, and returns the violations.
func (PlanOutcome) Judge(w *Scenario) (broken []string) {
	w.mu.Lock()
	result, recoveries, list := w.planResult, slices.Clone(w.recoveries), w.leaderHistories
	w.mu.Unlock()
	if len(list) == 0 {
		return []string{"no balancer returned its history as the leader"}
	}
	result.Leaders = len(list)
	ops := w.record.Ops()
	broken = result.countOutcomes(ops, list)
	w.record.mu.Lock()
	routed := slices.Clone(w.record.routed)
	w.record.mu.Unlock()
	broken = append(broken, result.judgeFirstRequests(recoveries, arrivalsByBalancer(routed), w.record.Works(),
		summarize(ops, list[0].history))...)
	return append(broken, result.judgeRollbacks(list)...)
}

// collectLeaderHistories makes one balancer after the other the leader, by killing the current one, and reads the
// history of each, up to the number of voters. Some balancers may not lead within the rounds, but most should;
// the histories of those that did are judged.
func (w *Scenario) collectLeaderHistories() (list []leaderHistory) {
	for range 4 * w.Schedule.Balancers {
		if w.settle([]Invariant{Convergence{}}, 20*w.options.SilentAfter+w.revisionsSettle()) != "" {
			return list
		}
		i := w.leader(0)
		if i == 0 {
			continue
		}
		if name := w.name(i - 1); !slices.ContainsFunc(list, func(t leaderHistory) bool { return t.by == name }) {
			if t, ok := w.readLeaderHistory(i - 1); ok && w.leader(0) == i {
				list = append(list, t)
			}
		}
		if len(list) == voters(w.Schedule.Balancers) {
			return list
		}
		w.StartFault(Fault{Kind: "kill", A: i})()
	}
	return list
}

// readLeaderHistory reads a history, and the contents of the rollbacks in it and of the revisions that they restore.
func (w *Scenario) readLeaderHistory(i int) (t leaderHistory, ok bool) {
	t = leaderHistory{by: w.name(i), hashes: map[uint64]string{}}
	var err error
	if t.history, err = w.history(i); err != nil {
		return t, false
	}
	for _, e := range t.history {
		if of, ok := e.rollbackTarget(); ok {
			for _, n := range []uint64{of, e.Number} {
				if t.hashes[n] == "" {
					if c, err := w.contentOf(i, n); err == nil {
						t.hashes[n] = revision.HashPrefix(revision.Hash(c))
					}
				}
			}
		}
	}
	return t, true
}

// rollbackTarget returns the revision that a rollback restores.
func (e Entry) rollbackTarget() (of uint64, ok bool) {
	n, _ := fmt.Sscanf(e.Kind, "rollback-of-%d", &of)
	return of, n == 1
}

// countOutcomes counts the changes that are in force at all, at some and at no balancers in the end.
func (c *PlanResult) countOutcomes(ops []Op, list []leaderHistory) (broken []string) {
	byKey := make([]map[string]Entry, len(list))
	for i, t := range list {
		byKey[i] = map[string]Entry{}
		for _, e := range t.history {
			byKey[i][e.Key] = e
		}
		c.Entries = len(t.history)
	}
	for _, o := range ops {
		if o.Result != Settled && o.Result != Ended && o.Result != Unknown {
			continue
		}
		var at []string
		differs := false
		for i := range byKey {
			e, ok := byKey[i][o.Key]
			if ok {
				at = append(at, list[i].by)
			}
			differs = differs || e.Number != byKey[0][o.Key].Number || e.Hash != byKey[0][o.Key].Hash
		}
		switch {
		case len(at) > 0 && len(at) < len(byKey) || differs:
			c.Mixed++
			broken = append(broken, fmt.Sprintf("request %s is settled only at %s, or differs", o.Key, strings.Join(at, ", ")))
		case len(at) == 0:
			c.Nowhere++
		default:
			c.Everywhere++
			if o.Result == Settled {
				c.SettleTimes = append(c.SettleTimes, o.Returned-o.Called)
			}
		}
	}
	slices.Sort(c.SettleTimes)
	return broken
}

// arrival is a request that reached a server.
type arrival struct {
	at     time.Duration
	server string
}

// judgeFirstRequests judges the first request that each balancer routes after its fault: it has to follow the revision
// in force, whatever was in force before the fault. A request arrives at the server up to maxTransit after the
// decision.
func (c *PlanResult) judgeFirstRequests(recoveries []recovery, by map[string][]arrival, works []Work,
	summaries map[uint64]revisionSummary) (broken []string) {
	began := map[uint64]time.Duration{} // by revision: first active at any balancer
	for _, k := range works {
		if at, ok := began[k.Number]; !ok || k.From < at {
			began[k.Number] = k.From
		}
	}
	seen := map[string]time.Duration{}
	for _, b := range recoveries {
		c.Recovered++
		list := by[b.by]
		i, _ := slices.BinarySearchFunc(list, b.at, func(a arrival, at time.Duration) int { return cmp.Compare(a.at, at) })
		if i == len(list) || seen[b.by] == list[i].at && i > 0 {
			continue // another fault came before the first request, or no request came
		}
		e := list[i]
		seen[b.by] = e.at
		c.Judged++
		valid, active := false, ""
		for _, k := range works {
			if k.By != b.by || k.From-logDelay > e.at || e.at-maxTransit > k.To {
				continue
			}
			decided := max(k.From, e.at-maxTransit) // the earliest time of a decision by this revision
			current := true
			for n, at := range began {
				current = current && (n <= k.Number || at > decided)
			}
			active += fmt.Sprintf(" %d", k.Number)
			valid = valid || current && !isExcluded(summaries[k.Number].excluded, e.server)
		}
		if !valid {
			broken = append(broken, fmt.Sprintf("%s recovered at %v and routed its first request at %v to %s, "+
				"not by the revision in force: active there was%s", b.by,
				b.at.Round(time.Millisecond), e.at.Round(time.Millisecond), e.server, cmp.Or(active, " none")))
		}
	}
	return broken
}

// judgeRollbacks compares each rollback with the revision that it restores at every balancer: the hashes in the
// history, and those of the contents that the balancer returns.
func (c *PlanResult) judgeRollbacks(list []leaderHistory) (broken []string) {
	for _, e := range list[0].history {
		of, ok := e.rollbackTarget()
		if !ok {
			continue
		}
		c.Rollbacks++
		why := ""
		for _, t := range list {
			for _, n := range []uint64{of, e.Number} {
				at := slices.IndexFunc(t.history, func(x Entry) bool { return x.Number == n })
				switch {
				case at < 0:
					why = fmt.Sprintf("%s has no revision %d", t.by, n)
				case t.history[at].Hash != e.Hash || t.hashes[n] != e.Hash:
					why = fmt.Sprintf("%s has %s as revision %d, and returns a content with hash %s", t.by, t.history[at].Hash, n,
						cmp.Or(t.hashes[n], "none"))
				}
			}
		}
		if why == "" {
			c.Equal++
		} else {
			broken = append(broken, fmt.Sprintf("revision %d rolls back to %d, hash %s: %s", e.Number, of, e.Hash, why))
		}
	}
	return broken[:min(5, len(broken))]
}

// contentOf reads the content of revision n from balancer i.
func (w *Scenario) contentOf(i int, n uint64) (*revision.Content, error) {
	a, err := callLine(w.managementAddr(i), fmt.Sprintf("revision get %d", n), callWait)
	// Retries while the answer leaves open whether the revision exists.
	for again := 0; again < 5 && (err != nil || !a.OK && isRetryable(a.Text)); again++ {
		a, err = callLine(w.managementAddr(i), fmt.Sprintf("revision get %d", n), callWait)
	}
	if err != nil || !a.OK {
		return nil, &NoAnswer{fmt.Sprint("revision get ", n), a.Text, err}
	}
	return revision.Decode([]byte(a.Text[strings.IndexByte(a.Text, '{'):]))
}

// Row returns the result of a run of changes as a row of a table with the heading RowHeader.
func (r *Report) Row() string {
	c := r.PlanResult
	if c == nil {
		return fmt.Sprintf("| %s | not played: %s |", r.Schedule.Name, strings.Join(r.Broken, "; "))
	}
	median, longest := time.Duration(0), time.Duration(0)
	if n := len(c.SettleTimes); n > 0 {
		median, longest = c.SettleTimes[n/2], c.SettleTimes[n-1]
	}
	served, refused, unanswered := c.Answers["UP"], c.Answers["BUSY"], 0
	for kind, n := range c.Answers {
		if kind != "UP" && kind != "BUSY" {
			unanswered += n
		}
	}
	seconds := c.Duration.Seconds()
	return fmt.Sprintf("| %s | %s | %.0f | %d | %d | %d | %d | %.2f / %.1f | "+
		"%.1f | %.1f | %.1f | %d of %d | %d of %d | %d | %d | %d |",
		r.Schedule.Name, cmp.Or(r.Schedule.OnCut, "refuse"), seconds, c.Faults, c.Everywhere, c.Nowhere, c.Mixed,
		median.Seconds(), longest.Seconds(), float64(served)/seconds,
		float64(refused)/seconds, float64(unanswered)/seconds,
		c.Judged, c.Recovered, c.Equal, c.Rollbacks, c.Entries, c.Leaders, len(r.Broken))
}

// RowHeader is the heading of the table whose rows Report.Row returns.
const RowHeader = "| run | on_cut | s | faults | in force everywhere | nowhere | mixed | " +
	"in force after, median / most, s | requests served /s | refused /s | no answer /s | " +
	"first requests judged | rollbacks equal everywhere | revisions | broken |\n" +
	"| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |"

// arrivalsByBalancer returns the requests that reached servers by balancer, in order of time.
func arrivalsByBalancer(routed []rules.Event) map[string][]arrival {
	by := map[string][]arrival{}
	for _, e := range routed {
		by[e.By] = append(by[e.By], arrival{e.At, e.Server})
	}
	for _, list := range by {
		slices.SortStableFunc(list, func(a, b arrival) int { return cmp.Compare(a.at, b.at) })
	}
	return by
}
