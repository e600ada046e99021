package proxy

import (
	"os"
	"strings"
	"testing"

	"oatloft/internal/edgeconfig"
)

// onLoop runs a function on the balancer's loop.
func (p *exchange) onLoop(run func()) {
	done := make(chan struct{})
	p.balancer.calls <- func() { run(); close(done) }
	<-done
}

// Guards against a name from the file that takes effect in a running process, whose successor would look for its files
// under another name than its predecessor.
func TestReloadKeepsName(t *testing.T) {
	p := startExchange(t, "")
	cfg := p.balancer.cfg
	cfg.Name = "other"
	p.reload <- cfg
	p.onLoop(func() {
		if name := p.balancer.cfg.Name; name != "n0" {
			t.Error(name)
		}
	})
}

// Guards against a refused reload that has changed admission's limits all the same.
func TestRefusedReloadChangesNothing(t *testing.T) {
	compiled, err := os.ReadFile("../edgeconfig/testdata/golden/compiled-again.json")
	if err != nil {
		t.Fatal(err)
	}
	withEdge := func(cfg *Config, change *strings.Replacer) {
		edge, err := edgeconfig.Parse([]byte(change.Replace(string(compiled))))
		if err != nil {
			t.Fatal(err)
		}
		edge.Peers = nil
		if err := cfg.SetEdge(edge); err != nil {
			t.Fatal(err)
		}
	}
	p := startConfiguredExchange(t, "", func(_ *exchange, cfg *Config) { withEdge(cfg, strings.NewReplacer()) })
	cfg := p.balancer.cfg
	withEdge(&cfg, strings.NewReplacer(`"good_byes":16`, `"good_byes":17`))
	cfg.Peers = &Peers{}
	p.reload <- cfg
	p.onLoop(func() {
		if n := p.balancer.admission.cfg.MaxLingering; n != 16 || p.balancer.counters.Reloads != 0 {
			t.Errorf("%d, %d reloads", n, p.balancer.counters.Reloads)
		}
	})
}
