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

// TestDefectsAreFound runs generated deployments without and with each failpoint that fits the program to one
// deployment, until the failpoint causes a violation that does not occur without it, or much less is served. Only
// deployments are used whose own settings differ from the value that the failpoint hard-codes, and which are small
// enough to run quickly.
func TestDefectsAreFound(t *testing.T) {
	defer failpoint.Choose("")
	const maxTries, minDifference = 12, 0.15 // deployments per failpoint; least drop of the share
	for _, defect := range []struct {
		name  string
		where func(*generate.Deployment) bool
	}{
		{"fit-timeout", func(d *generate.Deployment) bool {
			return d.ConnectTimeout < 200*time.Millisecond && d.HasIncident(generate.ServerLoss)
		}},
		{"fit-zones", func(d *generate.Deployment) bool { return d.Zones > 4 && d.Load > 0.4 }},
		{"fit-class", func(d *generate.Deployment) bool { return d.MaxAttempts > 1 && d.HasIncident(generate.ServerErrors) }},
		{"fit-cold", func(d *generate.Deployment) bool {
			return d.Balancers > 60 && d.HasIncident(generate.RollingReplacement)
		}},
		{"fit-field", func(d *generate.Deployment) bool {
			return d.ProbesEnabled && !slices.Contains(d.ReportFields, "x0") && d.Load > 0.5
		}},
		{"fit-attempts", func(d *generate.Deployment) bool { return d.MaxAttempts < 4 }},
		{"fit-list", func(d *generate.Deployment) bool { return d.IndentedLists }},
		{"fit-push", func(d *generate.Deployment) bool {
			return d.PushUpdates && d.HasIncident(generate.DiscoveryOutage) && d.DrainGrace < d.PollInterval/8
		}},
		{"task-kept", anyDeployment},
		{"drain-unheard", func(d *generate.Deployment) bool { return d.HasIncident(generate.RollingReplacement) }},
	} {
		found, tried := "", 0
		for seed := 0; found == "" && tried < maxTries; seed++ {
			d := generate.FromSeed(seed)
			if connections := d.ServerCapacity * d.Load * float64(d.Servers); d.Balancers > 150 || connections > 2500 ||
				connections/d.ConnectionLifetime.Seconds() > 150 || !defect.where(&d) {
				continue
			}
			tried++
			var results [2]Comparison
			for i, chosen := range []string{"", defect.name} {
				failpoint.Choose(chosen)
				var err error
				if results[i], err = CompareDeployment(d); err != nil {
					t.Fatal(err)
				}
			}
			without, with := &results[0], &results[1]
			for _, rule := range slices.Sorted(maps.Keys(with.Own.Violations)) {
				if without.Own.Violations[rule] == 0 {
					found += fmt.Sprintf("%s (%d) ", rule, with.Own.Violations[rule])
				}
			}
			if with.Share() < without.Share()-minDifference {
				found += fmt.Sprintf("served %.2f instead of %.2f", with.Share(), without.Share())
			}
			if found != "" {
				t.Logf("| %s | %d | %s | %s |", defect.name, seed, found, Describe(d))
			}
		}
		if found == "" {
			t.Errorf("%s: not detected by %d deployments", defect.name, tried)
		}
	}
}
