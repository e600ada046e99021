package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"oatloft/internal/failpoint"
	"oatloft/internal/faultinjection"
	"oatloft/internal/hint"
)

// faultsCmd puts faults between several processes of the balancer, by schedules drawn from seeds or read from a file.
type faultsCmd struct {
	Balancers int     `default:"5" help:"Processes."`
	Seed      uint64  `default:"1" help:"First seed."`
	Seeds     int     `default:"5" help:"How many, each the one before and one more."`
	Seconds   float64 `default:"6" help:"Of faults, in each faultinjection."`
	Schedule  string  `type:"existingfile" help:"Play this schedule in place of drawn ones, Seeds times."`
	Binary    string  `default:"bin/oatloft" type:"path" help:"The balancer."`
	Jobs      int     `default:"2" help:"Fault runs side by side."`
	Again     int     `default:"2" help:"Plays more of a fault run that is void, since the machine had no processor to give when it mattered."`
	Silent    string  `default:"600ms" help:"silent_after of the members."`
	Shrink    int     `default:"12" help:"Plays to spend on shrinking the first fault run that breaks; 0 for none."`
	Defects   string  `type:"path" help:"A balancer built with -tags defects: play until each of its defects is found, and print a table."`
	Net       int     `default:"20" help:"Second byte of the first run's addresses; those side by side have the next ones."`
	Logs      string  `type:"path" help:"Folder for what the processes log, in one folder for each schedule."`
	Only      string  `help:"With --defects: these only, by name, with commas between them."`
	Print     bool    `help:"Print each drawn schedule too."`
	Subset    int     `help:"Regions that a balancer looks at by itself; 0 for all."`
	Readings  bool    `help:"One probe serves many."`
	Turns     bool    `help:"Shares, slots and clock go by the members."`
	Revisions bool    `help:"One routing revision for all, operators that change it, and faults of the folders."`
	Links     bool    `help:"Scarce links between two zones; switches revisions on."`
	Lease     string  `default:"1s" help:"lease of revisions."`
	OnCut     string  `enum:"drawn,refuse,hold,both" default:"drawn" help:"on_cut of revisions, in place of what the schedule says; both with --changes."`
	Changes   int     `help:"Make so many changes one after the other while faults come and go, in place of drawn schedules; prints a table."`
	Rollbacks int     `help:"After these so many rollbacks to drawn revisions; switches --changes on."`
	Before    int     `help:"With --changes: revisions settled in calm before."`
	How       string  `default:"mixed" help:"With --changes, what goes on meanwhile, several with commas between them: mixed (one or two of all killed, stopped or cut off), calm, one-down, two-down, one-cut, majority-lost."`
	Within    string  `default:"10m" help:"With --changes: none is begun later."`

	lease time.Duration
}

func (c *faultsCmd) Run() error {
	silent, err := time.ParseDuration(c.Silent)
	if err != nil {
		return &unfit{hint.Annotated{Where: "--silent", What: fmt.Sprintf("%q is no time", c.Silent), Do: "write it as 1.5s"}}
	}
	if c.lease, err = time.ParseDuration(c.Lease); err != nil || c.lease < 100*time.Millisecond {
		return &unfit{hint.Annotated{Where: "--lease", What: fmt.Sprintf("%q is no time of 100ms or more", c.Lease), Do: "write it as 2s"}}
	}
	planned := c.Changes > 0 || c.Rollbacks > 0 || c.Before > 0
	c.Revisions = c.Revisions || c.Links || planned
	if c.Seeds < 1 || c.Jobs < 1 || c.Jobs > 16 || c.Seeds > 10000 {
		return &unfit{hint.Annotated{What: "--seeds has to be 1 to 10000, --jobs 1 to 16", Do: "set the flags within these"}}
	}
	if c.OnCut == "both" && !planned {
		return &unfit{hint.Annotated{Where: "--on-cut", What: "both goes with --changes", Do: "add --changes N, or name one of the two"}}
	}
	var fixed *faultinjection.Schedule
	if c.Schedule != "" {
		if fixed, err = faultinjection.Load(c.Schedule); err != nil {
			return err
		}
	}
	binary, err := filepath.Abs(c.Binary)
	if err != nil {
		return err
	}
	if _, err := os.Stat(binary); err != nil {
		return &unfit{hint.Annotated{Where: "--binary", Cause: err, Do: "build it: go build -o bin/ ./cmd/..."}}
	}
	if c.Defects != "" {
		return c.find(silent)
	}
	if planned {
		return c.change(binary, silent)
	}
	type outcome struct {
		r   *faultinjection.Report
		err error
	}
	results := make([]chan []outcome, c.Seeds)
	for i := range results {
		results[i] = make(chan []outcome, 1)
	}
	nets, next := make(chan int, c.Jobs), make(chan int)
	for n := range c.Jobs {
		nets <- c.Net + n
	}
	go func() {
		for i := range c.Seeds {
			next <- i
		}
		close(next)
	}()
	var all sync.WaitGroup
	for range c.Jobs {
		all.Add(1)
		go func() {
			defer all.Done()
			for i := range next {
				s := fixed
				if s == nil {
					s = c.draw(c.Seed + uint64(i))
				}
				n := <-nets
				o := c.options(binary, n, silent)
				if c.Logs != "" {
					o.Logs = filepath.Join(c.Logs, s.Name)
				}
				var all []outcome
				for try := 0; ; try++ {
					r, err := faultinjection.Run(s, o)
					if x := (*faultinjection.MachineOverloaded)(nil); errors.As(err, &x) { // it did not even begin
						r, err = &faultinjection.Report{Schedule: s, Void: []string{x.Error()}}, nil
					}
					if all = append(all, outcome{r, err}); err != nil || len(r.Broken) > 0 || len(r.Void) == 0 || try >= c.Again {
						break
					}
				}
				nets <- n
				results[i] <- all
			}
		}()
	}
	broken, void, plays := 0, 0, 0
	var first *faultinjection.Report
	for i := range results {
		tries := <-results[i]
		for _, t := range tries[:len(tries)-1] {
			fmt.Println(t.r.Line() + ": played again")
		}
		plays += len(tries)
		o := tries[len(tries)-1]
		if o.err != nil { // the others go on: what they have started ends with them
			fmt.Println("not played:", o.err)
			broken++
			continue
		}
		fmt.Println(o.r.Line())
		if c.Print {
			printSchedule(o.r.Schedule)
			for _, call := range o.r.Calls {
				fmt.Println("   ", call)
			}
		}
		if len(o.r.Broken) == 0 && len(o.r.Void) > 0 {
			void++
		}
		if len(o.r.Broken) > 0 {
			if broken++; first == nil {
				first = o.r
			}
			for _, b := range o.r.Broken[:min(3, len(o.r.Broken))] {
				fmt.Println("   ", b)
			}
		}
	}
	all.Wait()
	if first != nil && c.Shrink > 0 {
		less, _ := faultinjection.Shrink(first.Schedule, c.options(binary, c.Net, silent), c.Shrink)
		fmt.Println("the fewest faults found that still break it, a file for --schedule:")
		printSchedule(less)
	}
	fmt.Printf("FAULTS seeds=%d broken=%d void=%d plays=%d\n", c.Seeds, broken, void, plays)
	switch {
	case broken > 0:
		return &failed{hint.Annotated{What: fmt.Sprintf("%d of %d fault runs broke something", broken, c.Seeds), Do: lookAt}}
	case void > 0:
		return &failed{hint.Annotated{What: fmt.Sprintf("%d of %d fault runs show nothing: the machine had no processor to give", void, c.Seeds),
			Do: "play them again, or with fewer --jobs"}}
	}
	return nil
}

func (c *faultsCmd) options(binary string, net int, silent time.Duration) faultinjection.Options {
	return faultinjection.Options{Binary: binary, Net: net, SilentAfter: silent, Subset: c.Subset, SharedProbes: c.Readings, SharedLimits: c.Turns,
		Revisions: c.Revisions, Links: c.Links, Lease: c.lease}
}

func (c *faultsCmd) draw(seed uint64) *faultinjection.Schedule {
	if !c.Revisions {
		return faultinjection.Generate(seed, c.Balancers, c.Seconds)
	}
	s := faultinjection.GenerateRevisions(seed, c.Balancers, c.Seconds, c.Links)
	if c.OnCut != "drawn" {
		s.OnCut = c.OnCut
	}
	return s
}

func printSchedule(s *faultinjection.Schedule) {
	if body, err := json.MarshalIndent(s, "", "  "); err == nil {
		fmt.Println(string(body))
	}
}

// find plays fault runs against a balancer with one defect after the other, until each is found or the seeds are over.
func (c *faultsCmd) find(silent time.Duration) error {
	type found struct {
		seeds int
		what  string
	}
	list := failpoint.All
	if c.Only != "" {
		names := strings.Split(c.Only, ",")
		list = slices.DeleteFunc(slices.Clone(list), func(d failpoint.Defect) bool { return !slices.Contains(names, d.Name) })
		if len(list) != len(names) {
			return &unfit{hint.Annotated{Where: "--only", What: fmt.Sprintf("%d of these %d defects are known", len(list), len(names)), Do: "take names from the table in docs/design/faultinjection.md"}}
		}
	}
	results := make([]found, len(list))
	nets := make(chan int, c.Jobs)
	for n := range c.Jobs {
		nets <- c.Net + n
	}
	var all errgroup.Group
	all.SetLimit(c.Jobs)
	for i := range list {
		all.Go(func() error {
			n := <-nets
			defer func() { nets <- n }()
			for seed := range c.Seeds {
				o := c.options(c.Defects, n, silent)
				o.Env = []string{"OATLOFT_DEFECT=" + list[i].Name}
				r, err := faultinjection.Run(c.draw(c.Seed+uint64(seed)), o)
				if err != nil {
					results[i] = found{seed + 1, "at the start: " + err.Error()}
					break
				}
				if len(r.Broken) > 0 {
					results[i] = found{seed + 1, r.Broken[0]}
					break
				}
			}
			return nil
		})
	}
	_ = all.Wait()
	missed := 0
	fmt.Println("| defect | what it breaks | to be found by | seeds | found |\n| --- | --- | --- | --- | --- |")
	for i, d := range list {
		r := results[i]
		if r.seeds == 0 {
			missed++
			fmt.Printf("| %s | %s | %s | none of %d | - |\n", d.Name, d.Breaks, d.FoundBy, c.Seeds)
			continue
		}
		first, _, _ := strings.Cut(r.what, "\n")
		fmt.Printf("| %s | %s | %s | %d | %s |\n", d.Name, d.Breaks, d.FoundBy, r.seeds, first)
	}
	if missed > 0 {
		return &failed{hint.Annotated{What: fmt.Sprintf("%d defects were not found", missed), Do: "give more --seeds; if they stay hidden, a check is missing"}}
	}
	return nil
}

// change plays runs of changes, each seed with each of what goes on meanwhile and each on_cut, and prints a row for each.
func (c *faultsCmd) change(binary string, silent time.Duration) error {
	within, err := time.ParseDuration(c.Within)
	if err != nil || within <= 0 {
		return &unfit{hint.Annotated{Where: "--within", What: fmt.Sprintf("%q is no time", c.Within), Do: "write it as 10s"}}
	}
	cuts := map[string][]string{"both": {"refuse", "hold"}, "drawn": {"refuse"}}[c.OnCut]
	if cuts == nil {
		cuts = []string{c.OnCut}
	}
	type run struct {
		s *faultinjection.Schedule
		o faultinjection.Options
		r *faultinjection.Report
		e error
	}
	var runs []*run
	for _, how := range strings.Split(c.How, ",") {
		for _, cut := range cuts {
			for i := range c.Seeds {
				p := &faultinjection.Plan{Seed: c.Seed + uint64(i), InitialRevisions: c.Before, Changes: c.Changes, Rollbacks: c.Rollbacks, FaultPattern: how, TimeLimit: within}
				o := c.options(binary, 0, silent)
				o.Plan = p
				runs = append(runs, &run{s: p.Schedule(c.Balancers, cut), o: o})
			}
		}
	}
	next, done := make(chan *run), make([]chan struct{}, len(runs))
	for i := range done {
		done[i] = make(chan struct{})
	}
	at := map[*run]chan struct{}{}
	for i, r := range runs {
		at[r] = done[i]
	}
	for n := range c.Jobs {
		go func() {
			for r := range next {
				r.o.Net = c.Net + n
				if c.Logs != "" {
					r.o.Logs = filepath.Join(c.Logs, r.s.Name+"-"+r.s.OnCut)
				}
				r.r, r.e = faultinjection.Run(r.s, r.o)
				close(at[r])
			}
		}()
	}
	go func() {
		for _, r := range runs {
			next <- r
		}
		close(next)
	}()
	fmt.Println(faultinjection.RowHeader)
	broken := 0
	var why []string
	for i, r := range runs {
		<-done[i]
		if r.e != nil {
			broken++
			why = append(why, fmt.Sprintf("%s %s: not played: %v", r.s.Name, r.s.OnCut, r.e))
			continue
		}
		fmt.Println(r.r.Row())
		for _, b := range r.r.Broken {
			fmt.Println("   ", b)
			why = append(why, fmt.Sprintf("%s %s: %s", r.s.Name, r.s.OnCut, strings.SplitN(b, "\n", 2)[0]))
		}
		if len(r.r.Broken) > 0 {
			broken++
		}
		if c.Print {
			for _, call := range r.r.Calls {
				fmt.Println("   ", call)
			}
		}
	}
	fmt.Printf("CHANGES runs=%d broken=%d\n", len(runs), broken)
	if broken > 0 {
		return &failed{hint.Annotated{What: fmt.Sprintf("%d of %d runs broke something:\n%s", broken, len(runs), strings.Join(why, "\n")), Do: lookAt}}
	}
	return nil
}
