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
	Own, Seer Evaluation
}

// PlayDrawn plays the deployment of a seed.
func CompareSeed(seed int) (Played, error) { return CompareDeployment(generate.FromSeed(seed)) }

// PlayDeployment plays a deployment.
func CompareDeployment(d generate.Deployment) (Played, error) {
	result := Played{D: d}
	for _, baseline := range []bool{false, true} {
		s, err := NewSite(d, baseline, Defect{})
		if err != nil {
			return result, &InvalidSettingsError{hint.Annotated{Where: fmt.Sprintf("deployment %d", d.Seed), Cause: err, Do: "look into what the generator drew: its settings have to be sound"}}
		}
		s.Run()
		if baseline {
			result.Seer = s.Evaluation
		} else {
			result.Own = s.Evaluation
		}
	}
	return result, nil
}

// Share is what was served of what the seer served.
func (p *Played) Share() float64 { return p.Own.Score() / max(1e-9, p.Seer.Score()) }

// Broke is what broke in a play: rules, and the gate that a day has to pass whatever the deployment: half of what the seer serves, in
// all and of each class with a twentieth of the worth, unless it serves under 0.3 of it, and a third of each such tenant.
func (p *Played) Broke() (list []string) {
	for _, rule := range slices.Sorted(maps.Keys(p.Own.Violations)) {
		list = append(list, fmt.Sprintf("%s (%d)", rule, p.Own.Violations[rule]))
	}
	if p.Own.Score() < 0.5*p.Seer.Score() {
		list = append(list, fmt.Sprintf("served %.2f of %.2f", p.Own.Score(), p.Seer.Score()))
	}
	compareParts := func(label string, own, seer [][2]float64, minShare float64) {
		for i := range own {
			ownShare, baselineShare := own[i][0]/max(1e-9, own[i][1]), seer[i][0]/max(1e-9, seer[i][1])
			if own[i][1] > p.Own.Demanded/20 && seer[i][1] > p.Seer.Demanded/20 && baselineShare >= 0.3 && ownShare < minShare*baselineShare {
				list = append(list, fmt.Sprintf("%s %d served %.2f of %.2f", label, i, ownShare, baselineShare))
			}
		}
	}
	compareParts("class", p.Own.ByClass, p.Seer.ByClass, 0.5)
	compareParts("tenant", p.Own.ByTenant, p.Seer.ByTenant, 1.0/3)
	return list
}

// PlayMany plays the deployments of seeds, side by side, and hands each over in order.
func PlayMany(from, n int, report func(Played)) error {
	results := make([]chan Played, n)
	for i := range results {
		results[i] = make(chan Played, 1)
	}
	var workers errgroup.Group
	workers.SetLimit(max(1, min(n, runtime.GOMAXPROCS(0))))
	go func() {
		for i := range n {
			workers.Go(func() error {
				defer close(results[i])
				p, err := CompareSeed(from + i)
				if err == nil {
					results[i] <- p
				}
				return err
			})
		}
	}()
	for _, result := range results {
		for p := range result {
			report(p)
		}
	}
	return workers.Wait()
}

// Describe says in a few words what a deployment is like.
func Describe(d generate.Deployment) string {
	delivery, fields, retryAfter := "asked for", strings.Join(d.ReportFields, " "), "no advice"
	if d.PushUpdates {
		delivery = "pushed"
	}
	if d.IndentedLists {
		delivery += ", indented"
	}
	if fields == "" {
		fields = "none"
	}
	if !d.ProbesEnabled {
		fields = "no probes"
	}
	if d.MaxRetryAfter > 0 {
		retryAfter = "advice"
	}
	kinds := []string{}
	for _, t := range d.Incidents {
		kinds = append(kinds, string(t.Kind))
	}
	return fmt.Sprintf("%d balancers, %d regions, %d zones; fields %s; lists %s; %d attempts, %s; fill %.0f, load %.2f, life %.0f s, cold %.2f for %.0f s, x%.1f; %s",
		d.Balancers, d.Servers, d.Zones, fields, delivery, d.MaxAttempts, retryAfter, d.ServerCapacity, d.Load, d.ConnectionLifetime.Seconds(), d.WarmUpInitialCapacity, d.WarmUpDuration.Seconds(), d.OverloadMultiple,
		strings.Join(kinds, ", "))
}

// Causes are the parts of the worth that were lost here and not by the seer, the largest first.
func (p *Played) Causes() string {
	type part struct {
		cause lossCause
		share float64
	}
	var list []part
	for _, cause := range slices.Sorted(maps.Keys(p.Own.LossByCause)) {
		if share := p.Own.LossByCause[cause]/max(1e-9, p.Own.Demanded) - p.Seer.LossByCause[cause]/max(1e-9, p.Seer.Demanded); share > 0.01 {
			list = append(list, part{cause, share})
		}
	}
	slices.SortStableFunc(list, func(a, b part) int { return cmp.Compare(b.share, a.share) })
	parts := []string{}
	for _, c := range list {
		parts = append(parts, fmt.Sprintf("%s %.2f", c.cause, c.share))
	}
	return strings.Join(parts, ", ")
}
