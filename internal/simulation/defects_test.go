//go:build defects

package simulation

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"oatloft/internal/failpoint"
	"oatloft/internal/generate"
)

// TestDefectsAreFound plays drawn deployments with each fit to one deployment built in, until a rule breaks that holds without it, or
// much less is served. Tried are those in which the literal figure isn't the deployment's own, of a size that is soon played.
func TestDefectsAreFound(t *testing.T) {
	defer failpoint.Choose("")
	const tries, much = 12, 0.15
	for _, fit := range []struct {
		name  string
		where func(*generate.Deployment) bool
	}{
		{"fit-timeout", func(d *generate.Deployment) bool {
			return d.ConnectTimeout < 200*time.Millisecond && d.Has(generate.Lost)
		}},
		{"fit-zones", func(d *generate.Deployment) bool { return d.Zones > 4 && d.Load > 0.4 }},
		{"fit-class", func(d *generate.Deployment) bool { return d.Attempts > 1 && d.Has(generate.Errors) }},
		{"fit-cold", func(d *generate.Deployment) bool { return d.Balancers > 60 && d.Has(generate.Roll) }},
		{"fit-field", func(d *generate.Deployment) bool { return d.Probes && !slices.Contains(d.Fields, "x0") && d.Load > 0.5 }},
		{"fit-attempts", func(d *generate.Deployment) bool { return d.Attempts < 4 }},
		{"fit-list", func(d *generate.Deployment) bool { return d.Indented }},
		{"fit-push", func(d *generate.Deployment) bool {
			return d.Pushed && d.Has(generate.Discovery) && d.Grace < d.AskEvery/8
		}},
		{"task-kept", whatever},
		{"drain-unheard", func(d *generate.Deployment) bool { return d.Has(generate.Roll) }},
	} {
		found, tried := "", 0
		for seed := 0; found == "" && tried < tries; seed++ {
			d := generate.Of(seed)
			if stand := d.Fill * d.Load * float64(d.Regions); d.Balancers > 150 || stand > 2500 || stand/d.Life.Seconds() > 150 || !fit.where(&d) {
				continue
			}
			tried++
			var played [2]Played
			for i, chosen := range []string{"", fit.name} {
				failpoint.Choose(chosen)
				var err error
				if played[i], err = PlayDeployment(d); err != nil {
					t.Fatal(err)
				}
			}
			was, is := &played[0], &played[1]
			for _, rule := range slices.Sorted(maps.Keys(is.Own.Faults)) {
				if was.Own.Faults[rule] == 0 {
					found += fmt.Sprintf("%s (%d) ", rule, is.Own.Faults[rule])
				}
			}
			if is.Share() < was.Share()-much {
				found += fmt.Sprintf("serves %.2f in place of %.2f", is.Share(), was.Share())
			}
			if found != "" {
				t.Logf("| %s | %d | %s | %s |", fit.name, seed, found, Describe(d))
			}
		}
		if found == "" {
			t.Errorf("%s is not found by %d deployments", fit.name, tried)
		}
	}
}
