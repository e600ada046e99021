package simulation

import (
	"reflect"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"oatloft/internal/core"
	"oatloft/internal/generate"
)

// smallDeployments returns the first n deployments that match and are small enough to run quickly on a busy machine.
func smallDeployments(n int, matches func(*generate.Deployment) bool) (list []generate.Deployment) {
	for seed := 0; len(list) < n; seed++ {
		d := generate.FromSeed(seed)
		if connections := d.ServerCapacity * d.Load * float64(d.Servers); d.Balancers <= 25 && connections < 800 &&
			connections/d.ConnectionLifetime.Seconds() < 60 && matches(&d) {
			list = append(list, d)
		}
	}
	return list
}

func anyDeployment(*generate.Deployment) bool { return true }

// Generated deployments violate no rule, and the balancers serve as much as the criteria require. oatlab crowd --drawn
// runs more deployments.
func TestGeneratedDeployments(t *testing.T) {
	served := 0.0
	for _, d := range smallDeployments(8, anyDeployment) {
		p, err := CompareDeployment(d)
		if err != nil {
			t.Fatal(err)
		}
		served += p.Share()
		if failures := p.Failures(); len(failures) > 0 {
			t.Errorf("seed %d: %v\n%s\n%s", d.Seed, failures, Describe(d), p.Own.FirstViolations)
		}
		if p.Own.Established == 0 || p.Own.Demanded == 0 || p.Baseline.Demanded == 0 {
			t.Errorf("seed %d: no connection was established or demanded: %+v", d.Seed, p.Own)
		}
	}
	if served < 8*0.7 {
		t.Errorf("served %.2f of what the baseline serves, in the mean", served/8)
	}
}

// The same seed gives the same results.
func TestSameDeploymentSameResult(t *testing.T) {
	d := smallDeployments(1, anyDeployment)[0]
	a, err := CompareDeployment(d)
	if err != nil {
		t.Fatal(err)
	}
	b, err := CompareDeployment(d)
	if diff := cmp.Diff(a, b, cmp.Exporter(func(reflect.Type) bool { return true })); err != nil || diff != "" {
		t.Errorf("%v: two runs differ: %s", err, diff)
	}
}

// Each defect, such as a setting replaced by a fixed value, violates the rule that it breaks in deployments whose own
// settings differ from that value.
func TestDefectsBreakTheirRule(t *testing.T) {
	for _, c := range []struct {
		name, rule string
		defect     Defect
		where      func(*generate.Deployment) bool // selects deployments whose own setting differs from the defect's value
	}{
		{"drain notifications take effect only after 1.5 s", "drains", Defect{UpdateDelay: 1500 * time.Millisecond},
			anyDeployment},
		{"a fixed warm-up bound", "cold", Defect{Alter: func(c *core.Config) {
			c.Policy.Balancers, c.Policy.OverloadMultiple, c.Policy.OverloadWindow, c.Policy.WarmUpDuration = 1, 8,
				5*time.Second, time.Second
		}}, anyDeployment},
		{"a fixed number of attempts", "attempts", Defect{Alter: func(c *core.Config) { c.Policy.MaxAttempts = 6 }},
			func(d *generate.Deployment) bool { return d.MaxAttempts < 4 }},
		{"a fixed retry-after", "advice", Defect{Alter: func(c *core.Config) { c.Policy.MaxRetryAfter = 2 * time.Second }},
			func(d *generate.Deployment) bool { return d.MaxRetryAfter < time.Second }},
		{"probes despite the settings", "probes", Defect{Alter: func(c *core.Config) { c.Policy.ProbesEnabled = true }},
			func(d *generate.Deployment) bool { return !d.ProbesEnabled }},
		{"a fixed idempotency", "repeats", Defect{Alter: func(c *core.Config) {
			for i := range c.Policy.Classes {
				c.Policy.Classes[i].Idempotency = 0
			}
		}}, anyDeployment},
		{"a fixed connect time-out", "connect time-out",
			Defect{Alter: func(c *core.Config) { c.ConnectTimeout = 2 * time.Second }}, func(d *generate.Deployment) bool {
				return d.ConnectTimeout < 600*time.Millisecond && d.HasIncident(generate.ServerLoss)
			}},
		{"pass-through assumed where it is disabled", "migrated before exit",
			Defect{Alter: func(c *core.Config) { c.PassThrough = true }},
			func(d *generate.Deployment) bool { return !d.PassThrough && d.HasIncident(generate.PlannedRestart) }},
	} {
		found, tried := 0, 0
		for _, d := range smallDeployments(12, c.where) {
			if found > 0 {
				break
			}
			s, err := NewSite(d, false, c.defect)
			if err != nil {
				t.Fatal(err)
			}
			s.Run()
			found += s.Evaluation.Violations[c.rule]
			tried++
		}
		if t.Logf("%s: %d in %d", c.name, found, tried); found == 0 {
			t.Errorf("%s: no violation in %d deployments", c.name, tried)
		}
	}
}

// FuzzGeneratedDeployments searches for deployments that violate a rule.
func FuzzGeneratedDeployments(f *testing.F) {
	f.Fuzz(rapid.MakeFuzz(func(t *rapid.T) {
		s, err := NewSite(generate.NewDeployment(t), false, Defect{})
		if err != nil {
			t.Fatal(err)
		}
		if s.Run(); s.Evaluation.ViolationCount() > 0 {
			t.Errorf("%v\n%s", s.Evaluation.FirstViolations, Describe(s.Deployment))
		}
	}))
}
