package proxy

import "testing"

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
