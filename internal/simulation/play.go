// Plays of drawn deployments, and what is asked of one as a whole.

package simulation

import (
	"cmp"
	"fmt"
	"maps"
	"runtime"
	"slices"
	"strings"

	"golang.org/x/sync/errgroup"

	"oatloft/internal/generate"
	"oatloft/internal/hint"
)

// Played is a deployment's play, and the same one with the policy that sees the true state late.
type Played struct {
	D         generate.Deployment
	Own, Seer Judge
}

// PlayDrawn plays the deployment of a seed.
func PlayDrawn(seed int) (Played, error) { return PlayDeployment(generate.Of(seed)) }

// PlayDeployment plays a deployment.
func PlayDeployment(d generate.Deployment) (Played, error) {
	out := Played{D: d}
	for _, seer := range []bool{false, true} {
		p, err := Open(d, seer, Break{})
		if err != nil {
			return out, &NoFleet{hint.Annotated{Where: fmt.Sprintf("deployment %d", d.Seed), Cause: err, Do: "look into what the generator drew: its settings have to be sound"}}
		}
		p.Run()
		if seer {
			out.Seer = p.Judge
		} else {
			out.Own = p.Judge
		}
	}
	return out, nil
}

// Share is what was served of what the seer served.
func (p *Played) Share() float64 { return p.Own.Score() / max(1e-9, p.Seer.Score()) }

// Broke is what broke in a play: rules, and the gate that a day has to pass whatever the deployment: half of what the seer serves, in
// all and of each class with a twentieth of the worth, unless it serves under 0.3 of it, and a third of each such tenant.
func (p *Played) Broke() (list []string) {
	for _, rule := range slices.Sorted(maps.Keys(p.Own.Faults)) {
		list = append(list, fmt.Sprintf("%s (%d)", rule, p.Own.Faults[rule]))
	}
	if p.Own.Score() < 0.5*p.Seer.Score() {
		list = append(list, fmt.Sprintf("served %.2f of %.2f", p.Own.Score(), p.Seer.Score()))
	}
	part := func(what string, own, seer [][2]float64, least float64) {
		for i := range own {
			mine, its := own[i][0]/max(1e-9, own[i][1]), seer[i][0]/max(1e-9, seer[i][1])
			if own[i][1] > p.Own.Wanted/20 && seer[i][1] > p.Seer.Wanted/20 && its >= 0.3 && mine < least*its {
				list = append(list, fmt.Sprintf("%s %d served %.2f of %.2f", what, i, mine, its))
			}
		}
	}
	part("class", p.Own.ByClass, p.Seer.ByClass, 0.5)
	part("tenant", p.Own.ByTenant, p.Seer.ByTenant, 1.0/3)
	return list
}

// PlayMany plays the deployments of seeds, side by side, and hands each over in order.
func PlayMany(from, n int, got func(Played)) error {
	out := make([]chan Played, n)
	for i := range out {
		out[i] = make(chan Played, 1)
	}
	var plays errgroup.Group
	plays.SetLimit(max(1, min(n, runtime.GOMAXPROCS(0))))
	go func() {
		for i := range n {
			plays.Go(func() error {
				defer close(out[i])
				p, err := PlayDrawn(from + i)
				if err == nil {
					out[i] <- p
				}
				return err
			})
		}
	}()
	for _, played := range out {
		for p := range played {
			got(p)
		}
	}
	return plays.Wait()
}

// Describe says in a few words what a deployment is like.
func Describe(d generate.Deployment) string {
	how, fields, advice := "asked for", strings.Join(d.Fields, " "), "no advice"
	if d.Pushed {
		how = "pushed"
	}
	if d.Indented {
		how += ", indented"
	}
	if fields == "" {
		fields = "none"
	}
	if !d.Probes {
		fields = "no probes"
	}
	if d.Advice > 0 {
		advice = "advice"
	}
	kinds := []string{}
	for _, t := range d.Troubles {
		kinds = append(kinds, string(t.Kind))
	}
	return fmt.Sprintf("%d balancers, %d regions, %d zones; fields %s; lists %s; %d attempts, %s; fill %.0f, load %.2f, life %.0f s, cold %.2f for %.0f s, x%.1f; %s",
		d.Balancers, d.Regions, d.Zones, fields, how, d.Attempts, advice, d.Fill, d.Load, d.Life.Seconds(), d.ColdFrom, d.ColdFor.Seconds(), d.FallMultiple,
		strings.Join(kinds, ", "))
}

// Causes are the parts of the worth that were lost here and not by the seer, the largest first.
func (p *Played) Causes() string {
	type part struct {
		l loss
		x float64
	}
	var list []part
	for _, l := range slices.Sorted(maps.Keys(p.Own.Lost)) {
		if x := p.Own.Lost[l]/max(1e-9, p.Own.Wanted) - p.Seer.Lost[l]/max(1e-9, p.Seer.Wanted); x > 0.01 {
			list = append(list, part{l, x})
		}
	}
	slices.SortStableFunc(list, func(a, b part) int { return cmp.Compare(b.x, a.x) })
	words := []string{}
	for _, c := range list {
		words = append(words, fmt.Sprintf("%s %.2f", c.l, c.x))
	}
	return strings.Join(words, ", ")
}
