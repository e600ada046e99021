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

// small are the first deployments that a busy machine plays in a moment, picked by size and by what a test is about.
func smallDeployments(n int, matches func(*generate.Deployment) bool) (list []generate.Deployment) {
	for seed := 0; len(list) < n; seed++ {
		d := generate.FromSeed(seed)
		if connections := d.ServerCapacity * d.Load * float64(d.Servers); d.Balancers <= 25 && connections < 800 && connections/d.ConnectionLifetime.Seconds() < 60 && matches(&d) {
			list = append(list, d)
		}
	}
	return list
}

func anyDeployment(*generate.Deployment) bool { return true }

// No rule breaks in drawn deployments, and as much is served as a day's gate asks. oatlab crowd --drawn plays more.
func TestGeneratedDeployments(t *testing.T) {
	served := 0.0
	for _, d := range smallDeployments(8, anyDeployment) {
		p, err := CompareDeployment(d)
		if err != nil {
			t.Fatal(err)
		}
		served += p.Share()
		if failures := p.Broke(); len(failures) > 0 {
			t.Errorf("seed %d: %v\n%s\n%s", d.Seed, failures, Describe(d), p.Own.First)
		}
		if p.Own.Placed == 0 || p.Own.Demanded == 0 || p.Seer.Demanded == 0 {
			t.Errorf("seed %d plays nothing: %+v", d.Seed, p.Own)
		}
	}
	if served < 8*0.7 {
		t.Errorf("served %.2f of what the policy serves that sees all, in the mean", served/8)
	}
}

// The same seed gives the same play.
func TestSameDeploymentSameResult(t *testing.T) {
	d := smallDeployments(1, anyDeployment)[0]
	a, err := CompareDeployment(d)
	if err != nil {
		t.Fatal(err)
	}
	b, err := CompareDeployment(d)
	if diff := cmp.Diff(a, b, cmp.Exporter(func(reflect.Type) bool { return true })); err != nil || diff != "" {
		t.Errorf("%v: two plays differ: %s", err, diff)
	}
}

// Breaks that one deployment's figures hide are found by the rules, each by the one that it breaks.
func TestDefectsBreakTheirRule(t *testing.T) {
	for _, c := range []struct {
		name, rule string
		defect     Defect
		where      func(*generate.Deployment) bool // the figure that is put in isn't the deployment's
	}{
		{"news of a drain count only after 1.5 s", "drains", Defect{UpdateDelay: 1500 * time.Millisecond}, anyDeployment},
		{"a literal cold bound", "cold", Defect{Alter: func(c *core.Config) {
			c.Policy.Balancers, c.Policy.OverloadMultiple, c.Policy.OverloadWindow, c.Policy.WarmUpDuration = 1, 8, 5*time.Second, time.Second
		}}, anyDeployment},
		{"a literal number of attempts", "attempts", Defect{Alter: func(c *core.Config) { c.Policy.MaxAttempts = 6 }}, func(d *generate.Deployment) bool { return d.MaxAttempts < 4 }},
		{"a literal advice", "advice", Defect{Alter: func(c *core.Config) { c.Policy.MaxRetryAfter = 2 * time.Second }}, func(d *generate.Deployment) bool { return d.MaxRetryAfter < time.Second }},
		{"probes whatever the settings say", "probes", Defect{Alter: func(c *core.Config) { c.Policy.ProbesEnabled = true }}, func(d *generate.Deployment) bool { return !d.ProbesEnabled }},
		{"a literal effect", "repeats", Defect{Alter: func(c *core.Config) {
			for i := range c.Policy.Classes {
				c.Policy.Classes[i].Idempotency = 0
			}
		}}, anyDeployment},
		{"a literal connect time-out", "connect time-out", Defect{Alter: func(c *core.Config) { c.ConnectTimeout = 2 * time.Second }}, func(d *generate.Deployment) bool {
			return d.ConnectTimeout < 600*time.Millisecond && d.HasIncident(generate.ServerLoss)
		}},
		{"standing connections go on elsewhere, they don't", "moved at the end", Defect{Alter: func(c *core.Config) { c.PassThrough = true }}, func(d *generate.Deployment) bool { return !d.PassThrough && d.HasIncident(generate.PlannedRestart) }},
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
			t.Errorf("%s is not found by %d deployments", c.name, tried)
		}
	}
}

// FuzzDrawnDeployments looks for deployments that break a rule.
func FuzzGeneratedDeployments(f *testing.F) {
	f.Fuzz(rapid.MakeFuzz(func(t *rapid.T) {
		s, err := NewSite(generate.NewDeployment(t), false, Defect{})
		if err != nil {
			t.Fatal(err)
		}
		if s.Run(); s.Evaluation.Broken() > 0 {
			t.Errorf("%v\n%s", s.Evaluation.First, Describe(s.Deployment))
		}
	}))
}
