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
func small(n int, is func(*generate.Deployment) bool) (list []generate.Deployment) {
	for seed := 0; len(list) < n; seed++ {
		d := generate.Of(seed)
		if stand := d.Fill * d.Load * float64(d.Regions); d.Balancers <= 25 && stand < 800 && stand/d.Life.Seconds() < 60 && is(&d) {
			list = append(list, d)
		}
	}
	return list
}

func whatever(*generate.Deployment) bool { return true }

// No rule breaks in drawn deployments, and as much is served as a day's gate asks. oatlab crowd --drawn plays more.
func TestDrawnDeployments(t *testing.T) {
	served := 0.0
	for _, d := range small(8, whatever) {
		p, err := PlayDeployment(d)
		if err != nil {
			t.Fatal(err)
		}
		served += p.Share()
		if broke := p.Broke(); len(broke) > 0 {
			t.Errorf("seed %d: %v\n%s\n%s", d.Seed, broke, Describe(d), p.Own.First)
		}
		if p.Own.Placed == 0 || p.Own.Wanted == 0 || p.Seer.Wanted == 0 {
			t.Errorf("seed %d plays nothing: %+v", d.Seed, p.Own)
		}
	}
	if served < 8*0.7 {
		t.Errorf("served %.2f of what the policy serves that sees all, in the mean", served/8)
	}
}

// The same seed gives the same play.
func TestSameDeploymentSamePlay(t *testing.T) {
	d := small(1, whatever)[0]
	a, err := PlayDeployment(d)
	if err != nil {
		t.Fatal(err)
	}
	b, err := PlayDeployment(d)
	if diff := cmp.Diff(a, b, cmp.Exporter(func(reflect.Type) bool { return true })); err != nil || diff != "" {
		t.Errorf("%v: two plays differ: %s", err, diff)
	}
}

// Breaks that one deployment's figures hide are found by the rules, each by the one that it breaks.
func TestDrawnDeploymentsFindBreaks(t *testing.T) {
	for _, c := range []struct {
		name, rule string
		broken     Break
		where      func(*generate.Deployment) bool // the figure that is put in isn't the deployment's
	}{
		{"news of a drain count only after 1.5 s", "drains", Break{News: 1500 * time.Millisecond}, whatever},
		{"a literal cold bound", "cold", Break{Told: func(c *core.Config) {
			c.Policy.Balancers, c.Policy.OverloadMultiple, c.Policy.OverloadWindow, c.Policy.WarmUpDuration = 1, 8, 5*time.Second, time.Second
		}}, whatever},
		{"a literal number of attempts", "attempts", Break{Told: func(c *core.Config) { c.Policy.MaxAttempts = 6 }}, func(d *generate.Deployment) bool { return d.Attempts < 4 }},
		{"a literal advice", "advice", Break{Told: func(c *core.Config) { c.Policy.MaxRetryAfter = 2 * time.Second }}, func(d *generate.Deployment) bool { return d.Advice < time.Second }},
		{"probes whatever the settings say", "probes", Break{Told: func(c *core.Config) { c.Policy.ProbesEnabled = true }}, func(d *generate.Deployment) bool { return !d.Probes }},
		{"a literal effect", "repeats", Break{Told: func(c *core.Config) {
			for i := range c.Policy.Classes {
				c.Policy.Classes[i].Idempotency = 0
			}
		}}, whatever},
		{"a literal connect time-out", "connect time-out", Break{Told: func(c *core.Config) { c.ConnectTimeout = 2 * time.Second }}, func(d *generate.Deployment) bool {
			return d.ConnectTimeout < 600*time.Millisecond && d.Has(generate.Lost)
		}},
		{"standing connections go on elsewhere, they don't", "moved at the end", Break{Told: func(c *core.Config) { c.PassThrough = true }}, func(d *generate.Deployment) bool { return !d.Pass && d.Has(generate.Restart) }},
	} {
		found, tried := 0, 0
		for _, d := range small(12, c.where) {
			if found > 0 {
				break
			}
			p, err := Open(d, false, c.broken)
			if err != nil {
				t.Fatal(err)
			}
			p.Run()
			found += p.Judge.Faults[c.rule]
			tried++
		}
		if t.Logf("%s: %d in %d", c.name, found, tried); found == 0 {
			t.Errorf("%s is not found by %d deployments", c.name, tried)
		}
	}
}

// FuzzDrawnDeployments looks for deployments that break a rule.
func FuzzDrawnDeployments(f *testing.F) {
	f.Fuzz(rapid.MakeFuzz(func(t *rapid.T) {
		p, err := Open(generate.Draw(t), false, Break{})
		if err != nil {
			t.Fatal(err)
		}
		if p.Run(); p.Judge.Broken() > 0 {
			t.Errorf("%v\n%s", p.Judge.First, Describe(p.D))
		}
	}))
}
