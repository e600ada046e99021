package main

import (
	"cmp"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"oatloft/internal/hint"
	"oatloft/internal/simulation"
)

// crowdCmd steps many balancers' modules side by side, each alone, with each of the means of acting together, and with all.
type crowdCmd struct {
	Balancers []int         `default:"3,30,300" help:"Numbers of balancers."`
	Regions   []int         `default:"10,90" help:"Numbers of regions."`
	Subset    int           `default:"8" help:"Regions that a balancer looks at by itself, where subsets are on."`
	Seed      uint64        `default:"1"`
	Load      float64       `default:"0.55" help:"Load of the regions over what they can do."`
	Skew      float64       `default:"1" help:"Traffic of one balancer, over the mean."`
	Lag       time.Duration `default:"1s" help:"Age of what balancers hear of each other."`
	Slow      float64       `default:"0" help:"Part of its capacity that each tenth region lacks."`
	Means     []string      `help:"Only these: alone, subsets, readings, turns, all."`
	Plots     string        `type:"path" help:"Directory for PNG plots over the number of balancers."`
	Drawn     int           `help:"Play so many drawn deployments instead, from --seed on: rules, and what is served beside a policy that sees the true state late."`
}

// drawn plays drawn deployments, and names the worst tenth with what was lost there and not by the policy that sees all.
func (c *crowdCmd) drawn() error {
	fmt.Println("| seed | served | by who sees all, late | part | placed | refused | failed | late | attempts a placement | probes | cold regions fallen | broken |")
	fmt.Println("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |")
	var all []simulation.Comparison
	broken, total := 0, 0.0
	err := simulation.CompareMany(int(c.Seed), c.Drawn, func(p simulation.Comparison) {
		j := &p.Own
		broke := p.Failures()
		fmt.Printf("| %d | %.3f | %.3f | %.2f | %d | %d | %d | %d | %.2f | %d | %d | %s |\n", p.Deployment.Seed, j.Score(), p.Baseline.Score(), p.Share(), j.Established, j.Rejected, j.Failed, j.Late,
			float64(j.Attempts)/float64(max(1, j.Established)), j.ProbesSent, j.Overloaded, strings.Join(broke, ", "))
		broken += min(1, j.ViolationCount())
		total += p.Share()
		all = append(all, p)
	})
	if err != nil {
		return err
	}
	slices.SortStableFunc(all, func(a, b simulation.Comparison) int { return cmp.Compare(a.Share(), b.Share()) })
	fmt.Printf("\n%d deployments, mean part %.3f, median %.3f; a rule broke in %d.\n\n| worst | part | lost here, and not by who sees all | deployment | first faults |\n| --- | --- | --- | --- | --- |\n",
		len(all), total/float64(len(all)), all[len(all)/2].Share(), broken)
	for i, p := range all {
		if i < (len(all)+9)/10 || p.Own.ViolationCount() > 0 {
			fmt.Printf("| %d | %.2f | %s | %s | %s |\n", p.Deployment.Seed, p.Share(), p.LossCauses(), simulation.Describe(p.Deployment), strings.Join(p.Own.FirstViolations, "; "))
		}
	}
	if broken > 0 {
		return &failed{hint.Annotated{What: fmt.Sprintf("a rule broke in %d of %d deployments", broken, len(all)), Do: lookAt}}
	}
	return nil
}

func (c *crowdCmd) Run() error {
	if c.Subset < 1 || c.Subset > 128 || c.Load <= 0 || c.Load > 2 || c.Slow < 0 || c.Slow >= 1 || c.Lag < 0 {
		return &unfit{hint.Annotated{What: "--subset has to be 1 to 128, --load above 0 and up to 2, --slow 0 to 1, --lag not negative", Do: "set the flags within these"}}
	}
	if c.Drawn > 0 {
		return c.drawn()
	}
	wanted := func(name string) bool {
		for _, m := range c.Means {
			if m == name {
				return true
			}
		}
		return len(c.Means) == 0
	}
	fmt.Printf("seed %d, load %v, subset %d, words %v old, skew %v, slow %v\n\n", c.Seed, c.Load, c.Subset, c.Lag, c.Skew, c.Slow)
	fmt.Println("| balancers | regions | together | probes a second, all | ... at the region asked most | balancers with connections at a region, most | newcomers at a region in a slot, most over mean | load, fullest over mean | looked at by, most less fewest | s until even after the kill | ... after the change of regions | refused | ... beside room | moves | fell |")
	fmt.Println("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |")
	lines := map[string]plotter.XYs{}
	for _, regions := range c.Regions {
		for _, n := range c.Balancers {
			for _, m := range simulation.CoordinationModes(c.Subset) {
				if !wanted(m.Name) {
					continue
				}
				set := simulation.DefaultSettings(n, regions, c.Seed)
				set.Load, set.Skew, set.PeerDelay, set.MissingCapacity = c.Load, c.Skew, c.Lag, c.Slow
				m.With(&set)
				r, err := simulation.RunScenario(set)
				if err != nil {
					return err
				}
				fmt.Printf("| %d | %d | %s | %.0f | %.1f | %.0f | %.2f | %.2f | %d | %d | %d | %d | %d | %d | %d |\n", n, regions, m.Name, r.AllProbes, r.MaxServerProbes, r.MaxBalancersPerServer,
					r.ArrivalConcentration, r.LoadImbalance, r.SubsetSpread, r.KillRecoverySeconds, r.ServerChangeRecoverySeconds, r.Rejected, r.RejectedWithCapacity, r.Migrations, r.Overloaded)
				name := fmt.Sprintf("%s, %d regions", m.Name, regions)
				lines[name] = append(lines[name], plotter.XY{X: float64(n), Y: max(0.1, r.MaxServerProbes)})
			}
		}
	}
	if c.Plots == "" {
		return nil
	}
	if err := os.MkdirAll(c.Plots, 0o755); err != nil {
		return err
	}
	for _, regions := range c.Regions {
		p := plot.New()
		p.Title.Text = fmt.Sprintf("probes a second at the region asked most, %d regions", regions)
		p.X.Label.Text, p.Y.Label.Text = "balancers", "probes a second"
		p.X.Scale, p.Y.Scale = plot.LogScale{}, plot.LogScale{}
		p.X.Tick.Marker, p.Y.Tick.Marker = plot.LogTicks{Prec: -1}, plot.LogTicks{Prec: -1}
		var args []any
		for _, m := range simulation.CoordinationModes(c.Subset) {
			if list := lines[fmt.Sprintf("%s, %d regions", m.Name, regions)]; len(list) > 1 {
				args = append(args, m.Name, list)
			}
		}
		if len(args) == 0 {
			continue
		}
		if err := plotutil.AddLinePoints(p, args...); err != nil {
			return err
		}
		if err := p.Save(16*vg.Centimeter, 10*vg.Centimeter, filepath.Join(c.Plots, fmt.Sprintf("probes-%d.png", regions))); err != nil {
			return err
		}
	}
	return nil
}
