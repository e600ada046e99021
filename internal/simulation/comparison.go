// Comparison of a generated deployment's run with a baseline, and the criteria that a run has to meet.

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

// Comparison holds the results of a deployment's run with its own balancers (Own) and with the baseline (Baseline): one
// policy in place of all balancers that knows the true state with a delay.
type Comparison struct {
	Deployment    generate.Deployment
	Own, Baseline Evaluation
}

// CompareSeed runs the deployment of a seed.
func CompareSeed(seed int) (Comparison, error) { return CompareDeployment(generate.FromSeed(seed)) }

// CompareDeployment runs a deployment with its balancers and with the baseline.
func CompareDeployment(d generate.Deployment) (Comparison, error) {
	result := Comparison{Deployment: d}
	for _, baseline := range []bool{false, true} {
		s, err := NewSite(d, baseline, Defect{})
		if err != nil {
			return result, &InvalidSettingsError{hint.Annotated{
				Where: fmt.Sprintf("deployment %d", d.Seed), Cause: err,
				Do: "check the settings that the generator creates: they have to be valid"}}
		}
		s.Run()
		if baseline {
			result.Baseline = s.Evaluation
		} else {
			result.Own = s.Evaluation
		}
	}
	return result, nil
}

// Share returns the score of the run as a fraction of the baseline's score.
func (p *Comparison) Share() float64 { return p.Own.Score() / max(1e-9, p.Baseline.Score()) }

// Failures returns the violated rules and the missed criteria. Whatever the deployment, a run has to serve half of what
// the baseline serves, in total and for each class; for each tenant, a third. Classes and tenants count if they have
// more than a twentieth of the priority weight and the baseline serves at least 0.3 of it.
func (p *Comparison) Failures() (list []string) {
	for _, rule := range slices.Sorted(maps.Keys(p.Own.Violations)) {
		list = append(list, fmt.Sprintf("%s (%d)", rule, p.Own.Violations[rule]))
	}
	if p.Own.Score() < 0.5*p.Baseline.Score() {
		list = append(list, fmt.Sprintf("served %.2f of %.2f", p.Own.Score(), p.Baseline.Score()))
	}
	compareParts := func(label string, ownSums, baseline [][2]float64, minShare float64) {
		for i := range ownSums {
			ownShare, baselineShare := ownSums[i][0]/max(1e-9, ownSums[i][1]), baseline[i][0]/max(1e-9, baseline[i][1])
			if ownSums[i][1] > p.Own.Demanded/20 && baseline[i][1] > p.Baseline.Demanded/20 && baselineShare >= 0.3 &&
				ownShare < minShare*baselineShare {
				list = append(list, fmt.Sprintf("%s %d served %.2f of %.2f", label, i, ownShare, baselineShare))
			}
		}
	}
	compareParts("class", p.Own.ByClass, p.Baseline.ByClass, 0.5)
	compareParts("tenant", p.Own.ByTenant, p.Baseline.ByTenant, 1.0/3)
	return list
}

// CompareMany runs the deployments of n consecutive seeds concurrently, and calls report for each one in the order of
// seeds.
func CompareMany(from, n int, report func(Comparison)) error {
	results := make([]chan Comparison, n)
	for i := range results {
		results[i] = make(chan Comparison, 1)
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

// Describe summarizes the properties of a deployment in one line.
func Describe(d generate.Deployment) string {
	delivery, fields, retryAfter := "polled", strings.Join(d.ReportFields, " "), "no advice"
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
	for _, incident := range d.Incidents {
		kinds = append(kinds, string(incident.Kind))
	}
	return fmt.Sprintf("%d balancers, %d servers, %d zones; report fields %s; lists %s; %d attempts, %s; "+
		"server capacity %.0f, load %.2f, lifetime %.0f s, warm-up from %.2f in %.0f s, overload at x%.1f; %s",
		d.Balancers, d.Servers, d.Zones, fields, delivery, d.MaxAttempts, retryAfter, d.ServerCapacity, d.Load,
		d.ConnectionLifetime.Seconds(), d.WarmUpInitialCapacity, d.WarmUpDuration.Seconds(), d.OverloadMultiple,
		strings.Join(kinds, ", "))
}

// LossCauses lists the causes of the priority weight that was lost in the run and not in the baseline, the largest loss
// first. Differences up to 0.01 of the demand are left out.
func (p *Comparison) LossCauses() string {
	type loss struct {
		cause lossCause
		share float64
	}
	var list []loss
	for _, cause := range slices.Sorted(maps.Keys(p.Own.LossByCause)) {
		if share := p.Own.LossByCause[cause]/max(1e-9, p.Own.Demanded) -
			p.Baseline.LossByCause[cause]/max(1e-9, p.Baseline.Demanded); share > 0.01 {
			list = append(list, loss{cause, share})
		}
	}
	slices.SortStableFunc(list, func(a, b loss) int { return cmp.Compare(b.share, a.share) })
	parts := []string{}
	for _, c := range list {
		parts = append(parts, fmt.Sprintf("%s %.2f", c.cause, c.share))
	}
	return strings.Join(parts, ", ")
}
