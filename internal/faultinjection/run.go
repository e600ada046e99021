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

// Report is the outcome of a fault run.
type Report struct {
	Schedule      *Schedule
	Broken        []string
	Settled       time.Duration // time after the last fault until all members agreed
	Served        int
	Members       Membership
	WarmingUpLoad float64         // highest load of a server while warming up, relative to its capacity then
	Settles       int             // requested changes that were settled
	Requested     int             // changes that operators requested
	SettleTimes   []time.Duration // from an operator's call to the answer that the revision is settled
	Calls         []string        // each with its answer
	LinkUse       float64         // share of a link's capacity that was used after the last fault
	PlanResult    *PlanResult     // outcome of Options.Plan, nil without one
	Void          []string        // violations that the machine may have caused: the run proves nothing
	Late          [2]float64      // shares of the time by which timers were late, and balancers waited for processors
	MaxTimerDelay time.Duration   // largest delay of a timer
}

// Invariant checks the processes of a fault run from outside, in addition to the checker of the rules.
type Invariant interface {
	// During checks the processes while faults occur. Settled is called after the last fault: it returns "" once the
	// invariant holds, else what is missing.
	During(w *Scenario)
	Settled(w *Scenario) string
}

// Run plays a schedule: it starts each fault at its time, waits until the balancers have settled, and judges the run.
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
	if o.Plan != nil { // other fault runs check membership more thoroughly
		invariants = append(invariants[1:], PlanOutcome{})
	}
	if o.WithoutPeers {
		invariants = nil
	}
	if missing := w.settle(invariants, 20*w.options.SilentAfter+2*time.Second+w.revisionsSettle()); missing != "" {
		if err := w.overloadError(missing); err != nil {
			return nil, err
		}
		return &Report{Schedule: s, Broken: []string{"before any fault: " + missing}}, nil
	}
	if o.Links { // without a table of links bulk clients have no limit
		w.playCall(0, Call{Kind: "propose", To: 1, Bytes: linkBytes})
		w.startBulkClients()
		if !pause(w.stop, time.Second) {
			return nil, &NotRun{hint.Annotated{What: "the run was interrupted", Do: "run it again"}}
		}
	}
	began := w.Now()
	w.mu.Lock()
	w.began = began
	w.mu.Unlock()
	stopPolling := make(chan struct{})
	var polling sync.WaitGroup
	polling.Add(1)
	go func() {
		defer polling.Done()
		for pause(stopPolling, 300*time.Millisecond) {
			for _, i := range invariants {
				i.During(w)
			}
		}
	}()
	var calls sync.WaitGroup
	if o.Revisions {
		w.startCalls(began, &calls)
	}
	if o.Plan != nil {
		w.playPlan(o.Plan, began)
	} else {
		w.play(began)
	}
	last := w.Now()
	missing := w.settle(invariants, 15*w.options.SilentAfter+3*time.Second+w.revisionsSettle())
	r := &Report{Schedule: s, Settled: w.Now() - last}
	close(stopPolling)
	polling.Wait()
	if missing != "" {
		w.addViolation("%v after the last fault: %s", r.Settled.Round(10*time.Millisecond), missing)
	}
	if calls.Wait(); missing == "" && len(w.record.Ops()) > 0 {
		time.Sleep(w.longestWatch()) // a change may be rolled back until then
		if missing = w.settle([]Invariant{Convergence{}}, w.revisionsSettle()); missing != "" {
			w.addViolation("after the last call of an operator: %s", missing)
		}
	}
	if o.Links {
		share.Measure(w)
	}
	time.Sleep(200 * time.Millisecond)
	r.Broken = w.Judge()
	if missing == "" { // otherwise some balancers may not answer
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
		r.Calls = append(r.Calls, fmt.Sprintf("%v after %v: %s %s: %s %s", (op.Called-began).Round(time.Millisecond),
			(min(op.Returned, w.Now())-op.Called).Round(time.Millisecond),
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
	for _, g := range w.Servers {
		r.WarmingUpLoad = max(r.WarmingUpLoad, g.Pushed())
	}
	if r.Served == 0 && s.Clients > 0 {
		r.Broken = append(r.Broken, "no request was served: the run tests nothing")
	}
	return r, nil
}

// Judge stops the clients, and returns the violations.
func (w *Scenario) Judge() []string {
	w.stopOnce.Do(func() { close(w.stop) })
	w.clients.Wait() // clients with a pending request wait for the answer
	v := w.ViolationsBut(w.excusedViolation)
	broken := w.Violations()
	if v != "" {
		broken = append(broken, v)
	}
	return broken
}

// excusedViolation reports whether a time limit was exceeded by no more than the machine was late.
func (w *Scenario) excusedViolation(v rules.Violation) bool {
	// A client that reads nothing for readTimeout may be disconnected, with a MOVE that it did not read.
	if v.Event.Kind == rules.Lost {
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
			return w.excusedByMachineUntil(i, from, v.Event.At, v.Over, "%s: %s by %v", w.name(i), v.Rule,
				v.Over.Round(time.Millisecond))
		}
	}
	return w.excusedByMachineUntil(-1, from, v.Event.At, v.Over, "%s by %v", v.Rule, v.Over.Round(time.Millisecond))
}

const (
	excuseWindow = 2 * time.Second
	readTimeout  = 5 * time.Second
)

// Count returns the number of requests that servers have accepted so far.
func (w *Scenario) Count() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.Served
}

// StartFault starts a fault outside of the schedule, and returns a function that ends it. The kind must be a known one.
func (w *Scenario) StartFault(f Fault) (end func()) { return kinds[f.Kind].begin(w, f) }

// MembershipViews returns a short text for each balancer with its view of the others.
func (w *Scenario) MembershipViews() (list []string) {
	for i := range w.Schedule.Balancers {
		h, ok := w.queryMembers(i)
		if !ok {
			list = append(list, w.name(i)+" is silent")
			continue
		}
		counts := map[string]int{}
		for _, m := range h.members {
			counts[m["state"]]++
		}
		list = append(list, fmt.Sprintf("%s sees %d alive, %d gone%s", w.name(i), counts["alive"]+counts["leaving"],
			counts["suspect"]+counts["gone"], h.flags))
	}
	return list
}

// play starts and ends the faults in order of time.
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
		// A fault that starts slowly, such as a process that shuts down, must not delay the end of another one.
		list = append(list, moment{time.Duration(f.At), func() { go func() { ended <- kinds[f.Kind].begin(w, f) }() }},
			moment{time.Duration(f.At + f.For), func() {
				go func() { defer ends.Done(); (<-ended)() }() // starting a process is slow
			}})
	}
	slices.SortStableFunc(list, func(a, b moment) int { return int(a.at - b.at) })
	for _, m := range list {
		time.Sleep(max(0, began+m.at-w.Now()))
		m.run()
	}
	ends.Wait()
}

// settle waits until Settled of every invariant returns ""; after the time limit it returns what is missing.
func (w *Scenario) settle(invariants []Invariant, limit time.Duration) (missing string) {
	for began := w.Now(); ; time.Sleep(30 * time.Millisecond) {
		missing = ""
		for _, i := range invariants {
			if missing = i.Settled(w); missing != "" {
				break
			}
		}
		over := w.Now() - began - limit
		if missing == "" {
			if over > 0 { // records the delay as a violation or a machine cause
				w.excusedByMachine(-1, began, over, "settled %v late", over.Round(time.Millisecond))
			}
			return ""
		}
		if over > min(limit, w.lateFor(-1, began, w.Now()))+observationDelay {
			return missing
		}
	}
}

// Shrink looks for the smallest set of faults that still violates an invariant, by leaving out faults. It plays at most
// the given number of runs.
func Shrink(s *Schedule, o Options, plays int) (*Schedule, *Report) {
	var found *Report
	fails := func(faults []Fault) bool {
		if plays--; plays < 0 {
			return false
		}
		smaller := *s
		smaller.Faults = faults
		r, err := Run(&smaller, o)
		if err == nil && len(r.Broken) > 0 {
			found = r
			return true
		}
		return false
	}
	best := slices.Clone(s.Faults)
	for size := max(1, len(best)/2); size >= 1 && len(best) > 0; {
		reduced := false
		for start := 0; start < len(best) && plays > 0; {
			without := slices.Concat(best[:start], best[min(start+size, len(best)):])
			if fails(without) {
				best, reduced = without, true
			} else {
				start += size
			}
		}
		if size == 1 && !reduced || plays <= 0 {
			break
		}
		size = max(1, size/2)
	}
	smaller := *s
	smaller.Name, smaller.Faults = s.Name+"-shrunk", best
	return &smaller, found
}

// Line returns the outcome of a run in one line.
func (r *Report) Line() string {
	verdict := "kept"
	switch {
	case len(r.Broken) > 0:
		verdict = "BROKEN: " + strings.SplitN(r.Broken[0], "\n", 2)[0]
	case len(r.Void) > 0:
		verdict = "VOID: " + r.Void[0]
	}
	details := ""
	if r.Requested > 0 {
		details = fmt.Sprintf(", %d of %d changes settled", r.Settles, r.Requested)
		if n := len(r.SettleTimes); n > 0 {
			slices.Sort(r.SettleTimes)
			details += fmt.Sprintf(" within %v, %v at most", r.SettleTimes[n/2].Round(time.Millisecond),
				r.SettleTimes[n-1].Round(time.Millisecond))
		}
	}
	if r.LinkUse > 0 {
		details += fmt.Sprintf(", a link at %.0f%%", 100*r.LinkUse)
	}
	warmingUp := ""
	if r.WarmingUpLoad > 0 {
		warmingUp = fmt.Sprintf(", a warming-up server at %.1f of its capacity", r.WarmingUpLoad)
	}
	return fmt.Sprintf("%s: %d faults, %d served, settled after %v, %d false ends%s%s, "+
		"timers late %.1f%% and %v at most, processes wait %.0f%%: %s", r.Schedule.Name, len(r.Schedule.Faults), r.Served,
		r.Settled.Round(10*time.Millisecond), r.Members.False, warmingUp, details, 100*r.Late[0],
		r.MaxTimerDelay.Round(time.Millisecond), 100*r.Late[1], verdict)
}
