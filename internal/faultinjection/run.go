package faultinjection

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"oatloft/internal/hint"
	"oatloft/internal/rules"
)

// Report is what a fault run came to.
type Report struct {
	Schedule *Schedule
	Broken   []string
	Settled  time.Duration // after the last fault, until all members agreed
	Served   int
	Members  Membership
	WarmingUpLoad     float64         // most that a region was sent while cold, over what it could do
	Settles  int             // revisions settled, where they are on
	Requested    int             // changes that operators asked for
	SettleTimes  []time.Duration // from an operator's call to its being told that the revision is settled
	Calls    []string        // each with what its operator was told
	LinkUse     float64         // of a link, in the calm after the last fault
	PlanResult  *PlanResult        // where a plan was played
	Void     []string        // what the machine may have caused: the run shows nothing
	Late     [2]float64      // parts of the time by which this process's timers were late, and balancers waited for processors
	MaxTimerDelay    time.Duration   // by which a timer was late
}

// Invariant judges the processes of a fault run from outside, beside the checker of the rules. Later work registers its own.
type Invariant interface {
	// During looks while faults go on, Settled after the last: "" once all is as it should be, else what is missing.
	During(w *Scenario)
	Settled(w *Scenario) string
}

// Run plays a schedule: faults, each at its time, then time to settle, then the judgement.
func Run(s *Schedule, o Options) (*Report, error) {
	w, err := Open(s, o)
	if err != nil {
		return nil, err
	}
	defer w.Close()
	members := &Membership{}
	invariants := []Invariant{members}
	if o.Subset > 0 {
		invariants = append(invariants, Coverage{})
	}
	share := &LinkShare{}
	if o.Revisions {
		invariants = append(invariants, Convergence{}, SingleRevision{}, RoutingRevision{}, Durability{}, Linearizability{})
	}
	if o.Links {
		invariants = append(invariants, LinkSum{}, share)
	}
	if o.Plan != nil { // of the members' own rules other fault runs tell more
		invariants = append(invariants[1:], PlanOutcome{})
	}
	if o.Off {
		invariants = nil
	}
	if missing := w.settle(invariants, 20*w.options.SilentAfter+2*time.Second+w.revisionsSettle()); missing != "" {
		if err := w.overloadError(missing); err != nil {
			return nil, err
		}
		return &Report{Schedule: s, Broken: []string{"before any fault: " + missing}}, nil
	}
	if o.Links { // who pours without a table is bounded by nothing
		w.playCall(0, Call{Kind: "propose", To: 1, Bytes: linkBytes})
		w.startBulkClients()
		if !pause(w.stop, time.Second) {
			return nil, &NotRun{hint.Annotated{What: "it was ended", Do: "play it again"}}
		}
	}
	began := w.Now()
	w.mu.Lock()
	w.began = began
	w.mu.Unlock()
	over := make(chan struct{})
	var looking sync.WaitGroup
	looking.Add(1)
	go func() {
		defer looking.Done()
		for pause(over, 300*time.Millisecond) {
			for _, i := range invariants {
				i.During(w)
			}
		}
	}()
	var operators sync.WaitGroup
	if o.Revisions {
		w.startCalls(began, &operators)
	}
	if o.Plan != nil {
		w.playPlan(o.Plan, began)
	} else {
		w.play(began)
	}
	last := w.Now()
	missing := w.settle(invariants, 15*w.options.SilentAfter+3*time.Second+w.revisionsSettle())
	r := &Report{Schedule: s, Settled: w.Now() - last}
	close(over)
	looking.Wait()
	if missing != "" {
		w.addViolation("%v after the last fault: %s", r.Settled.Round(10*time.Millisecond), missing)
	}
	if operators.Wait(); missing == "" && len(w.record.Ops()) > 0 {
		time.Sleep(w.longestWatch()) // a change may be taken back until then
		if missing = w.settle([]Invariant{Convergence{}}, w.revisionsSettle()); missing != "" {
			w.addViolation("after the last call of an operator: %s", missing)
		}
	}
	if o.Links {
		share.Measure(w)
	}
	time.Sleep(200 * time.Millisecond)
	r.Broken = w.Judge()
	if missing == "" { // otherwise there is nobody to ask
		for _, i := range invariants {
			if j, ok := i.(Judge); ok {
				r.Broken = append(r.Broken, j.Judge(w)...)
			}
		}
	}
	r.Late[0], r.Late[1], r.MaxTimerDelay = w.overallLateness()
	r.Void = w.machineCauses
	if r.Late[0] > maxLateShare {
		r.Void = append(r.Void, fmt.Sprintf("timers were late for %.0f%% of the time", 100*r.Late[0]))
	}
	for _, op := range w.record.Ops() {
		r.Calls = append(r.Calls, fmt.Sprintf("%v after %v: %s %s: %s %s", (op.Called-began).Round(time.Millisecond), (min(op.Returned, w.Now())-op.Called).Round(time.Millisecond),
			op.Key, op.Kind, op.Result, op.Text))
		if r.Requested++; op.Result == Settled {
			r.Settles++
			r.SettleTimes = append(r.SettleTimes, op.Returned-op.Called)
		}
	}
	r.LinkUse = share.LinkUse
	r.PlanResult = w.planResult
	r.Served = w.Count()
	r.Members = *members
	for _, g := range w.Regions {
		r.WarmingUpLoad = max(r.WarmingUpLoad, g.Pushed())
	}
	if r.Served == 0 && s.Terminals > 0 {
		r.Broken = append(r.Broken, "nobody was served: the run tests nothing")
	}
	return r, nil
}

// Judge ends the terminals' part, and tells what was broken.
func (w *Scenario) Judge() []string {
	w.stopOnce.Do(func() { close(w.stop) })
	w.clients.Wait() // whoever has asked gets an answer
	v := w.ViolationsBut(w.excusedViolation)
	broken := w.Violations()
	if v != "" {
		broken = append(broken, v)
	}
	return broken
}

// byTheMachine tells that a rule of time was broken by no more than the machine was late.
func (w *Scenario) excusedViolation(v rules.Violation) bool {
	if v.Event.Kind == rules.Lost { // a terminal that reads nothing for so long may be cut, with the MOVE that it didn't read
		v.Over = readTimeout
		v.Event.By, _, _ = strings.Cut(v.Event.Text, ":")
	}
	if v.Over <= 0 {
		return false
	}
	from := v.Event.At - v.Over
	for _, e := range v.History {
		from = min(from, max(e.At, v.Event.At-excuseWindow-v.Over))
	}
	for i := range w.Schedule.Balancers {
		if w.name(i) == v.Event.By {
			return w.excusedByMachineUntil(i, from, v.Event.At, v.Over, "%s: %s by %v", w.name(i), v.Rule, v.Over.Round(time.Millisecond))
		}
	}
	return w.excusedByMachineUntil(-1, from, v.Event.At, v.Over, "%s by %v", v.Rule, v.Over.Round(time.Millisecond))
}

const (
	excuseWindow  = 2 * time.Second
	readTimeout = 5 * time.Second
)

// Count is how many transactions a region took so far.
func (w *Scenario) Count() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.Served
}

// StartFault starts a fault by hand; what it returns ends it. The fault has to be of a known kind.
func (w *Scenario) StartFault(f Fault) (end func()) { return kinds[f.Kind].begin(w, f) }

// MembershipViews is what each living balancer says of the others, in a few words.
func (w *Scenario) MembershipViews() (list []string) {
	for i := range w.Schedule.Balancers {
		h, ok := w.queryMembers(i)
		if !ok {
			list = append(list, w.name(i)+" is silent")
			continue
		}
		by := map[string]int{}
		for _, m := range h.members {
			by[m["state"]]++
		}
		list = append(list, fmt.Sprintf("%s sees %d alive, %d gone%s", w.name(i), by["alive"]+by["leaving"], by["suspect"]+by["gone"], h.flags))
	}
	return list
}

// play begins and ends the faults in their order of time.
func (w *Scenario) play(began time.Duration) {
	type moment struct {
		at  time.Duration
		run func()
	}
	var ends sync.WaitGroup
	var list []moment
	for _, f := range w.Schedule.Faults {
		ended := make(chan func(), 1)
		ends.Add(1)
		// A fault that takes its time, as a process that leaves, must not put off the end of another one.
		list = append(list, moment{time.Duration(f.At), func() { go func() { ended <- kinds[f.Kind].begin(w, f) }() }},
			moment{time.Duration(f.At + f.For), func() {
				go func() { defer ends.Done(); (<-ended)() }() // a process takes its time to start
			}})
	}
	slices.SortStableFunc(list, func(a, b moment) int { return int(a.at - b.at) })
	for _, m := range list {
		time.Sleep(max(0, began+m.at-w.Now()))
		m.run()
	}
	ends.Wait()
}

// settle waits until every invariant says that all is as it should be; it returns what is missing when the time is over.
func (w *Scenario) settle(list []Invariant, most time.Duration) (missing string) {
	for began := w.Now(); ; time.Sleep(30 * time.Millisecond) {
		missing = ""
		for _, i := range list {
			if missing = i.Settled(w); missing != "" {
				break
			}
		}
		over := w.Now() - began - most
		if missing == "" {
			if over > 0 { // it says what it finds
				w.excusedByMachine(-1, began, over, "settled %v late", over.Round(time.Millisecond))
			}
			return ""
		}
		if over > min(most, w.lateFor(-1, began, w.Now()))+observationDelay {
			return missing
		}
	}
}

// Shrink looks for the fewest faults that still break, by leaving out what isn't needed. It plays at most so many times.
func Shrink(s *Schedule, o Options, plays int) (*Schedule, *Report) {
	var found *Report
	breaks := func(faults []Fault) bool {
		if plays--; plays < 0 {
			return false
		}
		less := *s
		less.Faults = faults
		r, err := Run(&less, o)
		if err == nil && len(r.Broken) > 0 {
			found = r
			return true
		}
		return false
	}
	best := slices.Clone(s.Faults)
	for part := max(1, len(best)/2); part >= 1 && len(best) > 0; {
		smaller := false
		for at := 0; at < len(best) && plays > 0; {
			without := slices.Concat(best[:at], best[min(at+part, len(best)):])
			if breaks(without) {
				best, smaller = without, true
			} else {
				at += part
			}
		}
		if part == 1 && !smaller || plays <= 0 {
			break
		}
		part = max(1, part/2)
	}
	less := *s
	less.Name, less.Faults = s.Name+"-shrunk", best
	return &less, found
}

// Line is a run's outcome in one line.
func (r *Report) Line() string {
	verdict := "kept"
	switch {
	case len(r.Broken) > 0:
		verdict = "BROKEN: " + strings.SplitN(r.Broken[0], "\n", 2)[0]
	case len(r.Void) > 0:
		verdict = "VOID: " + r.Void[0]
	}
	more := ""
	if r.Requested > 0 {
		more = fmt.Sprintf(", %d of %d changes settled", r.Settles, r.Requested)
		if n := len(r.SettleTimes); n > 0 {
			slices.Sort(r.SettleTimes)
			more += fmt.Sprintf(" within %v, %v at most", r.SettleTimes[n/2].Round(time.Millisecond), r.SettleTimes[n-1].Round(time.Millisecond))
		}
	}
	if r.LinkUse > 0 {
		more += fmt.Sprintf(", a link at %.0f%%", 100*r.LinkUse)
	}
	cold := ""
	if r.WarmingUpLoad > 0 {
		cold = fmt.Sprintf(", a cold region at %.1f of what it can do", r.WarmingUpLoad)
	}
	return fmt.Sprintf("%s: %d faults, %d served, settled after %v, %d false ends%s%s, timers late %.1f%% and %v at most, processes wait %.0f%%: %s", r.Schedule.Name, len(r.Schedule.Faults), r.Served,
		r.Settled.Round(10*time.Millisecond), r.Members.False, cold, more, 100*r.Late[0], r.MaxTimerDelay.Round(time.Millisecond), 100*r.Late[1], verdict)
}
