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

// This file owns long runs of changes: operators who hand in one after the other for as long as faults come and go, and the count
// of what became of each. The run's invariants judge them; what is judged here besides is what comes back: the first newcomer of
// every balancer after its fault, and the contents that were rolled back to.

// Plan says how many changes are made, and what goes on meanwhile. A fault run that has one plays no faults or calls of its schedule.
type Plan struct {
	Seed      uint64
	Before    int           // revisions that are settled in calm first
	Changes   int           // asked for under faults, taken up each
	Rollbacks int           // after them, under faults too, to drawn revisions of all there are
	How       string        // one of Hows
	Within    time.Duration // no change is begun later
}

// how is what goes on while changes are made: rounds of a fault at some balancers, with a pause after each.
type faultPattern struct {
	fault, pause [2]time.Duration // from, to
	generate         func(rng *rand.Rand, s *Schedule) []Fault
}

// drawnOf gives so many balancers a fault each, of drawn kinds.
func randomFaults(least, most int, kinds ...string) func(rng *rand.Rand, s *Schedule) []Fault {
	return func(rng *rand.Rand, s *Schedule) (list []Fault) {
		for _, i := range rng.Perm(s.Balancers)[:min(s.Balancers, least+rng.IntN(most-least+1))] {
			list = append(list, Fault{Kind: kinds[rng.IntN(len(kinds))], A: i + 1})
		}
		return list
	}
}

// hows are made for five balancers: two of them are fewer than half, three are most.
var faultPatterns = map[string]faultPattern{
	"calm": {[2]time.Duration{time.Second, time.Second}, [2]time.Duration{}, func(*rand.Rand, *Schedule) []Fault { return nil }},
	"mixed": {[2]time.Duration{300 * time.Millisecond, 4 * time.Second}, [2]time.Duration{50 * time.Millisecond, time.Second},
		randomFaults(1, 2, "kill", "stop", "talk-cut", "talk-one-way")},
	"one-down":      {fixedLength, fixedLength, randomFaults(1, 1, "kill")},
	"two-down":      {fixedLength, fixedLength, randomFaults(2, 2, "kill")},
	"one-cut":       {fixedLength, fixedLength, randomFaults(1, 1, "talk-cut")},
	"majority-lost": {fixedLength, fixedLength, randomFaults(3, 3, "kill")},
}

var fixedLength = [2]time.Duration{6 * time.Second, 6 * time.Second}

// Hows are the names of what may go on.
func FaultPatterns() []string {
	return []string{"mixed", "calm", "one-down", "two-down", "one-cut", "majority-lost"}
}

// Schedule is the run that a plan is played in.
func (p *Plan) Schedule(balancers int, onCut string) *Schedule {
	return &Schedule{Name: fmt.Sprintf("changes-%d-%s", p.Seed, p.How), Balancers: balancers, Regions: 6, Terminals: 4 * balancers, Seconds: 1, OnCut: onCut}
}

func (p *Plan) check() error {
	switch _, ok := faultPatterns[p.How]; {
	case !ok:
		return &InvalidSchedule{"how", fmt.Sprintf("%q is none of %s", p.How, strings.Join(FaultPatterns(), ", "))}
	case p.Changes < 0 || p.Rollbacks < 0 || p.Before < 0 || p.Changes+p.Rollbacks+p.Before > maxChanges:
		return &InvalidSchedule{"changes", fmt.Sprintf("%d, %d and %d: more than %d, or fewer than none", p.Before, p.Changes, p.Rollbacks, maxChanges)}
	}
	return nil
}

const (
	maxChanges = 20_000
	planServers      = 2 // regions that a revision leaves in
)

// Changed is what a plan came to.
type PlanResult struct {
	Everywhere, Nowhere, Mixed int
	SettleTimes                    []time.Duration // from the call until its operator was told, sorted
	Answers                  map[string]int  // by how they were answered
	Recovered, Judged           int             // balancers after a fault; of these, those whose first newcomer came to a region
	Faults                     int
	Duration                     time.Duration
	Rollbacks, Equal              int // rollbacks settled, and those whose content is the old one's by hash at all
	Entries                    int // in the history at the end
	Leaders                    int // balancers that told their own
}

// comeback is a balancer whose fault has ended.
type recovery struct {
	by string
	at time.Duration
}

// changes plays a plan.
func (w *Scenario) playPlan(p *Plan, began time.Duration) {
	rng := rand.New(rand.NewPCG(p.Seed, 31))
	n := 0
	next := func(c Call) Result {
		n++
		return w.playCall(n, c)
	}
	only := func() int { return 1 + rng.IntN(w.Schedule.Regions) }
	for made := 0; made < p.Before && w.Now() < began+p.Within; {
		if next(Call{Kind: "propose", To: 1 + rng.IntN(w.Schedule.Balancers), Only: only()}) == Settled {
			made++
		}
	}
	from, counted := w.Now(), w.answerCounts()
	over := make(chan struct{})
	var faults sync.WaitGroup
	faults.Go(func() { w.playFaultRounds(faultPatterns[p.How], rand.New(rand.NewPCG(p.Seed, 37)), over) })
	for made := 0; made < p.Changes+p.Rollbacks && w.Now() < began+p.Within; {
		c := Call{Kind: "propose", To: 1 + rng.IntN(w.Schedule.Balancers), Only: only(), From: rng.IntN(2) == 0, Lost: rng.IntN(3) == 0, Again: rng.IntN(3) == 0}
		if rng.IntN(3) == 0 {
			c.Also = 1 + rng.IntN(w.Schedule.Balancers)
		}
		if made >= p.Changes {
			c.Kind, c.Only, c.Back = "rollback", 0, 1+rng.IntN(max(1, p.Before+p.Changes))
		} else if rng.IntN(6) == 0 {
			c.Kind, c.Only, c.Back = "rollback", 0, 1+rng.IntN(3)
		}
		if r := next(c); r == Settled || r == Ended || r == Unknown {
			made++
		}
		if !pause(w.over, time.Duration(rng.IntN(300))*time.Millisecond) {
			break
		}
	}
	close(over)
	faults.Wait()
	lasted, answers := w.Now()-from, w.answerCounts()
	list := w.collectLeaderHistories()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.leaderHistories = list
	w.planResult = &PlanResult{Answers: map[string]int{}, Duration: lasted, Faults: len(w.recoveries)}
	for what, n := range answers {
		w.planResult.Answers[what] = n - counted[what]
	}
}

// rounds begins and ends faults until the changes are over.
func (w *Scenario) playFaultRounds(h faultPattern, rng *rand.Rand, over <-chan struct{}) {
	draw := func(span [2]time.Duration) time.Duration {
		return span[0] + time.Duration(rng.Int64N(max(1, int64(span[1]-span[0]))))
	}
	for goesOn := true; goesOn; {
		list, long, calm := h.generate(rng, w.Schedule), draw(h.fault), draw(h.pause)
		var ends []func()
		for _, f := range list {
			ends = append(ends, w.StartFault(f))
		}
		goesOn = pause(over, long)
		var all sync.WaitGroup
		for i, f := range list {
			w.mu.Lock()
			w.recoveries = append(w.recoveries, recovery{w.name(f.A - 1), w.Now()})
			w.mu.Unlock()
			all.Go(ends[i]) // a process takes its time to start
		}
		all.Wait()
		goesOn = goesOn && pause(over, calm)
	}
}

// answered is how newcomers were answered so far.
func (w *Scenario) answerCounts() map[string]int {
	w.mu.Lock()
	defer w.mu.Unlock()
	m := map[string]int{}
	for what, n := range w.answers {
		m[what] = n
	}
	return m
}

// PlanOutcome is the invariant of a run of changes: each in force everywhere or nowhere, every balancer that comes back routes its first
// newcomer by what is in force, and a rollback has the content of what it goes back to, at all.
type PlanOutcome struct{ finalOnly }

// told is what one balancer, as the leader, gives out of the history: its own copy, applied from its own folder's log.
type leaderHistory struct {
	by      string
	history []Entry
	hashes  map[uint64]string // of the contents that it gives out, by number
}

// Judge counts, and tells what isn't so.
func (PlanOutcome) Judge(w *Scenario) (broken []string) {
	w.mu.Lock()
	c, backs, list := w.planResult, slices.Clone(w.recoveries), w.leaderHistories
	w.mu.Unlock()
	if len(list) == 0 {
		return []string{"no balancer came to tell its history as the leader"}
	}
	c.Leaders = len(list)
	ops := w.record.Ops()
	broken = c.countOutcomes(ops, list)
	w.record.mu.Lock()
	routed := slices.Clone(w.record.routed)
	w.record.mu.Unlock()
	broken = append(broken, c.judgeFirstRequests(backs, arrivalsByBalancer(routed), w.record.Works(), summarize(ops, list[0].history))...)
	return append(broken, c.judgeRollbacks(list)...)
}

// eachLeads has one balancer after the other lead, by ending whoever does, and reads the history that each has. Not all come to lead
// within the rounds that there are: at least most of them have to, and what they tell is judged.
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

// tells reads a history, and the contents of what was rolled back to and from.
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
						t.hashes[n] = revision.ShortHash(revision.Hash(c))
					}
				}
			}
		}
	}
	return t, true
}

// back is what a rollback goes back to.
func (e Entry) rollbackTarget() (of uint64, ok bool) {
	n, _ := fmt.Sscanf(e.Kind, "rollback-of-%d", &of)
	return of, n == 1
}

// places counts where each change is in force in the end.
func (c *PlanResult) countOutcomes(ops []Op, list []leaderHistory) (broken []string) {
	held := make([]map[string]Entry, len(list))
	for i, t := range list {
		held[i] = map[string]Entry{}
		for _, e := range t.history {
			held[i][e.Key] = e
		}
		c.Entries = len(t.history)
	}
	for _, o := range ops {
		if o.Result != Settled && o.Result != Ended && o.Result != Unknown {
			continue
		}
		var at []string
		differs := false
		for i := range held {
			e, ok := held[i][o.Key]
			if ok {
				at = append(at, list[i].by)
			}
			differs = differs || e.Number != held[0][o.Key].Number || e.Hash != held[0][o.Key].Hash
		}
		switch {
		case len(at) > 0 && len(at) < len(held) || differs:
			c.Mixed++
			broken = append(broken, fmt.Sprintf("request %s is settled at %s alone, or differs", o.Key, strings.Join(at, ", ")))
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

// arrival is a newcomer's coming to a region.
type arrival struct {
	at     time.Duration
	server string
}

// firsts judges the first newcomer of each balancer after its fault: it has to go by what is in force, whatever had been in force
// before the fault. A newcomer takes up to underWay from the decision to the region.
func (c *PlanResult) judgeFirstRequests(backs []recovery, by map[string][]arrival, works []Work, say map[uint64]revisionSummary) (broken []string) {
	began := map[uint64]time.Duration{} // number: first at work anywhere
	for _, k := range works {
		if at, ok := began[k.Number]; !ok || k.From < at {
			began[k.Number] = k.From
		}
	}
	seen := map[string]time.Duration{}
	for _, b := range backs {
		c.Recovered++
		list := by[b.by]
		i, _ := slices.BinarySearchFunc(list, b.at, func(a arrival, at time.Duration) int { return cmp.Compare(a.at, at) })
		if i == len(list) || seen[b.by] == list[i].at && i > 0 {
			continue // it had another fault before anybody came, or nobody came any more
		}
		e := list[i]
		seen[b.by] = e.at
		c.Judged++
		may, had := false, ""
		for _, k := range works {
			if k.By != b.by || k.From-logDelay > e.at || e.at-maxTransit > k.To {
				continue
			}
			decided := max(k.From, e.at-maxTransit) // at the earliest, by this one
			current := true
			for n, at := range began {
				current = current && (n <= k.Number || at > decided)
			}
			had += fmt.Sprintf(" %d", k.Number)
			may = may || current && !isExcluded(say[k.Number].excluded, e.server)
		}
		if !may {
			broken = append(broken, fmt.Sprintf("%s came back at %v and sent its first newcomer at %v to %s, not by what is in force: at work there was%s", b.by,
				b.at.Round(time.Millisecond), e.at.Round(time.Millisecond), e.server, cmp.Or(had, " none")))
		}
	}
	return broken
}

// rolled compares each rollback with what it goes back to, as each balancer has both: the hashes in the history, and those of the
// contents that it gives out.
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
					why = fmt.Sprintf("%s keeps no revision %d", t.by, n)
				case t.history[at].Hash != e.Hash || t.hashes[n] != e.Hash:
					why = fmt.Sprintf("%s has %s as revision %d, and gives out a content of %s", t.by, t.history[at].Hash, n, cmp.Or(t.hashes[n], "none"))
				}
			}
		}
		if why == "" {
			c.Equal++
		} else {
			broken = append(broken, fmt.Sprintf("revision %d goes back to %d, hash %s: %s", e.Number, of, e.Hash, why))
		}
	}
	return broken[:min(5, len(broken))]
}

// contentOf is a revision's content as balancer i gives it out.
func (w *Scenario) contentOf(i int, n uint64) (*revision.Content, error) {
	a, err := callLine(w.managementAddr(i), fmt.Sprintf("revision get %d", n), callWait)
	for again := 0; again < 5 && (err != nil || !a.OK && isRetryable(a.Text)); again++ { // it says nothing of the content
		a, err = callLine(w.managementAddr(i), fmt.Sprintf("revision get %d", n), callWait)
	}
	if err != nil || !a.OK {
		return nil, &NoAnswer{fmt.Sprint("revision get ", n), a.Text, err}
	}
	return revision.Decode([]byte(a.Text[strings.IndexByte(a.Text, '{'):]))
}

// Row is a run of changes in one row of a table; RowHead is above it.
func (r *Report) Row() string {
	c := r.PlanResult
	if c == nil {
		return fmt.Sprintf("| %s | not played: %s |", r.Schedule.Name, strings.Join(r.Broken, "; "))
	}
	half, most := time.Duration(0), time.Duration(0)
	if n := len(c.SettleTimes); n > 0 {
		half, most = c.SettleTimes[n/2], c.SettleTimes[n-1]
	}
	served, refused, silent := c.Answers["UP"], c.Answers["BUSY"], 0
	for what, n := range c.Answers {
		if what != "UP" && what != "BUSY" {
			silent += n
		}
	}
	seconds := c.Duration.Seconds()
	return fmt.Sprintf("| %s | %s | %.0f | %d | %d | %d | %d | %.2f / %.1f | %.1f | %.1f | %.1f | %d of %d | %d of %d | %d | %d | %d |", r.Schedule.Name, cmp.Or(r.Schedule.OnCut, "refuse"), seconds,
		c.Faults, c.Everywhere, c.Nowhere, c.Mixed, half.Seconds(), most.Seconds(), float64(served)/seconds, float64(refused)/seconds, float64(silent)/seconds,
		c.Judged, c.Recovered, c.Equal, c.Rollbacks, c.Entries, c.Leaders, len(r.Broken))
}

// RowHead is above rows.
const RowHead = "| run | on_cut | s | faults | in force everywhere | nowhere | mixed | in force after, median / most, s | newcomers served /s | refused /s | no answer /s | " +
	"first newcomers judged | rollbacks equal at all | revisions | broken |\n" +
	"| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |"

// firstRouted is what came to regions by balancer, in the order of time.
func arrivalsByBalancer(routed []rules.Event) map[string][]arrival {
	by := map[string][]arrival{}
	for _, e := range routed {
		by[e.By] = append(by[e.By], arrival{e.At, e.Region})
	}
	for _, list := range by {
		slices.SortStableFunc(list, func(a, b arrival) int { return cmp.Compare(a.at, b.at) })
	}
	return by
}
