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

// simulationCommand simulates many balancers: independent ones, ones with each means of coordination, and ones with all
// of them.
type simulationCommand struct {
	Balancers []int         `default:"3,30,300" help:"Numbers of balancers."`
	Regions   []int         `default:"10,90" help:"Numbers of servers."`
	Subset    int           `default:"8" help:"Servers that a balancer probes itself, if subsets are on."`
	Seed      uint64        `default:"1"`
	Load      float64       `default:"0.55" help:"Load of the servers, relative to their capacity."`
	Skew      float64       `default:"1" help:"Traffic of one balancer, relative to the mean."`
	Lag       time.Duration `default:"1s" help:"Age of the information that balancers have of each other."`
	Slow      float64       `default:"0" help:"Fraction of its capacity that every tenth server lacks."`
	Means     []string      `help:"Means of coordination to simulate: alone, subsets, readings, turns, all."`
	Plots     string        `type:"path" help:"Directory for PNG plots over the number of balancers."`
	Drawn     int           `help:"Simulate so many generated deployments instead, starting with --seed."`
}

// runGenerated simulates generated deployments, checks the rules, and compares what is served with a reference policy
// that sees the true state with a delay. It prints the worst tenth with the requests that only the balancers lost.
func (c *simulationCommand) runGenerated() error {
	fmt.Println("| seed | served | by the reference policy | ratio | placed | refused | failed | late " +
		"| attempts per placement | probes | servers failed in warm-up | broken rules |")
	fmt.Println("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |")
	var results []simulation.Comparison
	broken, total := 0, 0.0
	err := simulation.CompareMany(int(c.Seed), c.Drawn, func(p simulation.Comparison) {
		own := &p.Own
		brokenRules := p.Failures()
		fmt.Printf("| %d | %.3f | %.3f | %.2f | %d | %d | %d | %d | %.2f | %d | %d | %s |\n",
			p.Deployment.Seed, own.Score(), p.Baseline.Score(), p.Share(), own.Established, own.Rejected, own.Failed, own.Late,
			float64(own.Attempts)/float64(max(1, own.Established)), own.ProbesSent, own.Overloaded, strings.Join(brokenRules, ", "))
		broken += min(1, own.ViolationCount())
		total += p.Share()
		results = append(results, p)
	})
	if err != nil {
		return err
	}
	slices.SortStableFunc(results, func(a, b simulation.Comparison) int { return cmp.Compare(a.Share(), b.Share()) })
	fmt.Printf("\n%d deployments, mean ratio %.3f, median %.3f; rules broken in %d.\n\n"+
		"| worst | ratio | lost by the balancers only | deployment | first faults |\n"+
		"| --- | --- | --- | --- | --- |\n",
		len(results), total/float64(len(results)), results[len(results)/2].Share(), broken)
	for i, p := range results {
		if i < (len(results)+9)/10 || p.Own.ViolationCount() > 0 {
			fmt.Printf("| %d | %.2f | %s | %s | %s |\n",
				p.Deployment.Seed, p.Share(), p.LossCauses(), simulation.Describe(p.Deployment), strings.Join(p.Own.FirstViolations, "; "))
		}
	}
	if broken > 0 {
		return &failedRun{hint.Annotated{
			What: fmt.Sprintf("rules broken in %d of %d deployments", broken, len(results)),
			Do:   inspectOutput,
		}}
	}
	return nil
}

func (c *simulationCommand) Run() error {
	if c.Subset < 1 || c.Subset > 128 || c.Load <= 0 || c.Load > 2 || c.Slow < 0 || c.Slow >= 1 || c.Lag < 0 {
		return &invalidFlag{hint.Annotated{
			What: "--subset must be 1 to 128, --load above 0 and at most 2, --slow at least 0 and below 1, " +
				"--lag not negative",
			Do: "set the flags within these limits",
		}}
	}
	if c.Drawn > 0 {
		return c.runGenerated()
	}
	isSelected := func(name string) bool {
		for _, m := range c.Means {
			if m == name {
				return true
			}
		}
		return len(c.Means) == 0
	}
	fmt.Printf("seed %d, load %v, subset %d, lag %v, skew %v, slow %v\n\n",
		c.Seed, c.Load, c.Subset, c.Lag, c.Skew, c.Slow)
	fmt.Println("| balancers | servers | coordination | probes per second, all | probes per second, most probed server " +
		"| balancers connected to a server, max | new clients at a server in a slot, max over mean " +
		"| load, max over mean | probing balancers of a server, max minus min | s until balanced after the kill " +
		"| s until balanced after the server change | refused | refused despite free capacity | moves " +
		"| servers failed |")
	fmt.Println("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |")
	series := map[string]plotter.XYs{}
	for _, servers := range c.Regions {
		for _, n := range c.Balancers {
			for _, m := range simulation.CoordinationModes(c.Subset) {
				if !isSelected(m.Name) {
					continue
				}
				settings := simulation.DefaultSettings(n, servers, c.Seed)
				settings.Load, settings.Skew, settings.PeerDelay, settings.MissingCapacity = c.Load, c.Skew, c.Lag, c.Slow
				m.With(&settings)
				r, err := simulation.RunScenario(settings)
				if err != nil {
					return err
				}
				fmt.Printf("| %d | %d | %s | %.0f | %.1f | %.0f | %.2f | %.2f | %d | %d | %d | %d | %d | %d | %d |\n",
					n, servers, m.Name, r.AllProbes, r.MaxServerProbes, r.MaxBalancersPerServer,
					r.ArrivalConcentration, r.LoadImbalance, r.SubsetSpread, r.KillRecoverySeconds, r.ServerChangeRecoverySeconds, r.Rejected, r.RejectedWithCapacity, r.Migrations, r.Overloaded)
				name := fmt.Sprintf("%s, %d servers", m.Name, servers)
				series[name] = append(series[name], plotter.XY{X: float64(n), Y: max(0.1, r.MaxServerProbes)})
			}
		}
	}
	if c.Plots == "" {
		return nil
	}
	if err := os.MkdirAll(c.Plots, 0o755); err != nil {
		return err
	}
	for _, servers := range c.Regions {
		p := plot.New()
		p.Title.Text = fmt.Sprintf("probes per second at the most probed server, %d servers", servers)
		p.X.Label.Text, p.Y.Label.Text = "balancers", "probes per second"
		p.X.Scale, p.Y.Scale = plot.LogScale{}, plot.LogScale{}
		p.X.Tick.Marker, p.Y.Tick.Marker = plot.LogTicks{Prec: -1}, plot.LogTicks{Prec: -1}
		var args []any
		for _, m := range simulation.CoordinationModes(c.Subset) {
			if list := series[fmt.Sprintf("%s, %d servers", m.Name, servers)]; len(list) > 1 {
				args = append(args, m.Name, list)
			}
		}
		if len(args) == 0 {
			continue
		}
		if err := plotutil.AddLinePoints(p, args...); err != nil {
			return err
		}
		if err := p.Save(16*vg.Centimeter, 10*vg.Centimeter,
			filepath.Join(c.Plots, fmt.Sprintf("probes-%d.png", servers))); err != nil {
			return err
		}
	}
	return nil
}
