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

// faultsCommand injects faults into several processes of the balancer, by schedules generated from seeds or read from a
// file.
type faultsCommand struct {
	Balancers int     `default:"5" help:"Number of balancer processes."`
	Seed      uint64  `default:"1" help:"First seed."`
	Seeds     int     `default:"5" help:"Number of consecutive seeds."`
	Seconds   float64 `default:"6" help:"Duration of the faults in each run."`
	Schedule  string  `type:"existingfile" help:"Run this schedule --seeds times instead of generated ones."`
	Binary    string  `default:"bin/oatloft" type:"path" help:"Executable of the balancer."`
	Jobs      int     `default:"2" help:"Number of concurrent runs."`
	Again     int     `default:"2" help:"Repetitions of a run that is void because the machine was overloaded."`
	Silent    string  `default:"600ms" help:"silent_after of the members."`
	Shrink    int     `default:"12" help:"Runs to spend on reducing the first failing schedule; 0 for none."`
	Defects   string  `type:"path" help:"Balancer built with -tags defects: run until each defect is found."`
	Net       int     `default:"20" help:"Second byte of the first run's addresses; concurrent runs use the next ones."`
	Logs      string  `type:"path" help:"Directory for the logs, with a subdirectory for each schedule."`
	Only      string  `help:"With --defects: comma-separated names of the defects to test."`
	Print     bool    `help:"Print each schedule too."`
	Subset    int     `help:"Servers that a balancer probes itself; 0 for all."`
	Readings  bool    `help:"Share probe results between balancers."`
	Turns     bool    `help:"Derive shares, slots and clock from the members."`
	Revisions bool    `help:"Use routing revisions, change them, and damage the folders that store them."`
	Links     bool    `help:"Limit the bandwidth between two zones; enables --revisions."`
	Lease     string  `default:"1s" help:"lease of revisions."`
	OnCut     string  `enum:"drawn,refuse,hold,both" default:"drawn" help:"on_cut of revisions; both with --changes."`
	Changes   int     `help:"Make so many revision changes under faults instead, and print a table."`
	Rollbacks int     `help:"Rollbacks to random revisions after the changes; enables --changes."`
	Before    int     `help:"With --changes: revisions settled before the first fault."`
	How       string  `default:"mixed" help:"With --changes, comma-separated: mixed (one or two killed, stopped or cut off), calm, one-down, two-down, one-cut, majority-lost."`
	Within    string  `default:"10m" help:"With --changes: time limit for starting changes."`

	lease time.Duration
}

func (c *faultsCommand) Run() error {
	silent, err := time.ParseDuration(c.Silent)
	if err != nil {
		return &invalidFlag{hint.Annotated{
			Where: "--silent",
			What:  fmt.Sprintf("%q is not a duration", c.Silent),
			Do:    "write it as 1.5s",
		}}
	}
	if c.lease, err = time.ParseDuration(c.Lease); err != nil || c.lease < 100*time.Millisecond {
		return &invalidFlag{hint.Annotated{
			Where: "--lease",
			What:  fmt.Sprintf("%q is not a duration of 100ms or more", c.Lease),
			Do:    "write it as 2s",
		}}
	}
	withChanges := c.Changes > 0 || c.Rollbacks > 0 || c.Before > 0
	c.Revisions = c.Revisions || c.Links || withChanges
	if c.Seeds < 1 || c.Jobs < 1 || c.Jobs > 16 || c.Seeds > 10000 {
		return &invalidFlag{hint.Annotated{
			What: "--seeds must be 1 to 10000, --jobs 1 to 16",
			Do:   "set the flags within these limits",
		}}
	}
	if c.OnCut == "both" && !withChanges {
		return &invalidFlag{hint.Annotated{
			Where: "--on-cut",
			What:  "both requires --changes",
			Do:    "add --changes N, or give one of the two",
		}}
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
		return &invalidFlag{hint.Annotated{Where: "--binary", Cause: err, Do: "build it: go build -o bin/ ./cmd/..."}}
	}
	if c.Defects != "" {
		return c.findDefects(silent)
	}
	if withChanges {
		return c.runChanges(binary, silent)
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
					s = c.generate(c.Seed + uint64(i))
				}
				n := <-nets
				o := c.runOptions(binary, n, silent)
				if c.Logs != "" {
					o.Logs = filepath.Join(c.Logs, s.Name)
				}
				var all []outcome
				for repetition := 0; ; repetition++ {
					r, err := faultinjection.Run(s, o)
					if overloaded := (*faultinjection.MachineOverloaded)(nil); errors.As(err, &overloaded) { // the run did not start
						r, err = &faultinjection.Report{Schedule: s, Void: []string{overloaded.Error()}}, nil
					}
					if all = append(all, outcome{r, err}); err != nil || len(r.Broken) > 0 || len(r.Void) == 0 ||
						repetition >= c.Again {
						break
					}
				}
				nets <- n
				results[i] <- all
			}
		}()
	}
	broken, void, runCount := 0, 0, 0
	var first *faultinjection.Report
	for i := range results {
		repetitions := <-results[i]
		for _, t := range repetitions[:len(repetitions)-1] {
			fmt.Println(t.r.Line() + ": repeated")
		}
		runCount += len(repetitions)
		o := repetitions[len(repetitions)-1]
		if o.err != nil { // the other runs go on, so that their processes are stopped
			fmt.Println("not run:", o.err)
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
		reduced, _ := faultinjection.Shrink(first.Schedule, c.runOptions(binary, c.Net, silent), c.Shrink)
		fmt.Println("reduced schedule that still fails, for --schedule:")
		printSchedule(reduced)
	}
	fmt.Printf("FAULTS seeds=%d broken=%d void=%d plays=%d\n", c.Seeds, broken, void, runCount)
	switch {
	case broken > 0:
		return &failedRun{hint.Annotated{What: fmt.Sprintf("%d of %d fault runs failed", broken, c.Seeds), Do: inspectOutput}}
	case void > 0:
		return &failedRun{hint.Annotated{
			What: fmt.Sprintf("%d of %d fault runs are void: the machine was overloaded", void, c.Seeds),
			Do:   "run them again, or with fewer --jobs",
		}}
	}
	return nil
}

func (c *faultsCommand) runOptions(binary string, net int, silent time.Duration) faultinjection.Options {
	return faultinjection.Options{
		Binary: binary, Net: net, SilentAfter: silent, Subset: c.Subset, SharedProbes: c.Readings, SharedLimits: c.Turns,
		Revisions: c.Revisions, Links: c.Links, Lease: c.lease,
	}
}

func (c *faultsCommand) generate(seed uint64) *faultinjection.Schedule {
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

// findDefects runs a balancer with one defect after the other, each until a run fails or all seeds have been used.
func (c *faultsCommand) findDefects(silent time.Duration) error {
	type found struct {
		seeds int
		what  string
	}
	defects := failpoint.All
	if c.Only != "" {
		names := strings.Split(c.Only, ",")
		defects = slices.DeleteFunc(slices.Clone(defects),
			func(d failpoint.Defect) bool { return !slices.Contains(names, d.Name) })
		if len(defects) != len(names) {
			return &invalidFlag{hint.Annotated{
				Where: "--only",
				What:  fmt.Sprintf("%d of these %d defects are known", len(defects), len(names)),
				Do:    "take names from the table in docs/design/faultinjection.md",
			}}
		}
	}
	results := make([]found, len(defects))
	nets := make(chan int, c.Jobs)
	for n := range c.Jobs {
		nets <- c.Net + n
	}
	var all errgroup.Group
	all.SetLimit(c.Jobs)
	for i := range defects {
		all.Go(func() error {
			n := <-nets
			defer func() { nets <- n }()
			for seed := range c.Seeds {
				o := c.runOptions(c.Defects, n, silent)
				o.Env = []string{"OATLOFT_DEFECT=" + defects[i].Name}
				r, err := faultinjection.Run(c.generate(c.Seed+uint64(seed)), o)
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
	fmt.Println("| defect | effect | expected check | seeds | found |\n| --- | --- | --- | --- | --- |")
	for i, d := range defects {
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
		return &failedRun{hint.Annotated{
			What: fmt.Sprintf("%d defects were not found", missed),
			Do:   "give more --seeds; if they are still not found, a check is missing",
		}}
	}
	return nil
}

// runChanges runs revision changes for each combination of fault kind, on_cut and seed, and prints a row for each run.
func (c *faultsCommand) runChanges(binary string, silent time.Duration) error {
	within, err := time.ParseDuration(c.Within)
	if err != nil || within <= 0 {
		return &invalidFlag{hint.Annotated{
			Where: "--within",
			What:  fmt.Sprintf("%q is not a duration", c.Within),
			Do:    "write it as 10s",
		}}
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
				p := &faultinjection.Plan{
					Seed: c.Seed + uint64(i), InitialRevisions: c.Before, Changes: c.Changes, Rollbacks: c.Rollbacks,
					FaultPattern: how, TimeLimit: within,
				}
				o := c.runOptions(binary, 0, silent)
				o.Plan = p
				runs = append(runs, &run{s: p.Schedule(c.Balancers, cut), o: o})
			}
		}
	}
	next, done := make(chan *run), make([]chan struct{}, len(runs))
	for i := range done {
		done[i] = make(chan struct{})
	}
	finished := map[*run]chan struct{}{}
	for i, r := range runs {
		finished[r] = done[i]
	}
	for n := range c.Jobs {
		go func() {
			for r := range next {
				r.o.Net = c.Net + n
				if c.Logs != "" {
					r.o.Logs = filepath.Join(c.Logs, r.s.Name+"-"+r.s.OnCut)
				}
				r.r, r.e = faultinjection.Run(r.s, r.o)
				close(finished[r])
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
	var failures []string
	for i, r := range runs {
		<-done[i]
		if r.e != nil {
			broken++
			failures = append(failures, fmt.Sprintf("%s %s: not run: %v", r.s.Name, r.s.OnCut, r.e))
			continue
		}
		fmt.Println(r.r.Row())
		for _, b := range r.r.Broken {
			fmt.Println("   ", b)
			failures = append(failures, fmt.Sprintf("%s %s: %s", r.s.Name, r.s.OnCut, strings.SplitN(b, "\n", 2)[0]))
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
		return &failedRun{hint.Annotated{
			What: fmt.Sprintf("%d of %d runs failed:\n%s", broken, len(runs), strings.Join(failures, "\n")),
			Do:   inspectOutput,
		}}
	}
	return nil
}
