package proxy

import (
	"fmt"

	"github.com/lesismal/nbio"

	"oatloft/internal/core"
	"oatloft/internal/hint"
)

// reload applies a configuration that was read again, completely or not at all. Connections, load reports and the
// servers' state are kept. The list in the file is ignored: it is older than what a watch has received since.
func (b *Balancer) reload(cfg Config) {
	if b.exiting {
		return // the reducer has finished
	}
	if !cfg.ReloadFollowed {
		b.announceReload()
	}
	if problem := b.cannotReload(cfg); problem != nil {
		b.log.Error("reload failed, the old configuration stays in force", "err", problem)
		return
	}
	if cfg.Name != b.cfg.Name {
		b.log.Warn("name: can't change while serving, the old one stays", "name", b.cfg.Name, "file", cfg.Name)
		cfg.Name = b.cfg.Name
	}
	choice := b.discovery.afterReload(b.cfg.Discovery, cfg.Discovery)
	discoveryMoved := choice.first != b.discovery.first || choice.second != ""
	b.discovery = choice
	cfg.ClockOrigin, cfg.Peers, cfg.Revisions = b.cfg.ClockOrigin, b.cfg.Peers, b.cfg.Revisions
	b.cfg = cfg
	b.counters.Reloads++
	b.descriptorLimit.Store(
		min(b.availableDescriptors(cfg)-b.otherProcesses.Sockets, int64(nbio.MaxOpenFiles)-extraConnections/2),
	)
	cfg.SetLimits()
	if b.admission != nil {
		b.admission.setLimits(int(b.descriptorLimit.Load()), cfg.MemoryMB)
	}
	coreConfig := cfg.Core
	coreConfig.Policy = b.overlay(coreConfig.Policy)
	if b.revisions != nil {
		b.revisions.environmentStale = true
	}
	b.step(core.ConfigChanged{Config: coreConfig, DiscoveryMoved: discoveryMoved})
	if b.revisions != nil && b.revisions.inForce != nil {
		b.setLinks(b.revisions.inForce.Content.Links) // tenants' shares may have changed
	}
	b.logDiscovery("reloaded")
}

// cannotReload returns why a configuration cannot be applied while serving, as a text or an error for the log. If it
// returns nil, admission's settings have been applied already.
func (b *Balancer) cannotReload(cfg Config) any {
	if cfg.Listen != b.cfg.Listen {
		return fmt.Sprintf("listen: can't change from %s to %s while serving", b.cfg.Listen, cfg.Listen)
	}
	if cfg.Management != b.cfg.Management {
		return fmt.Sprintf("management: can't change from %q to %q while serving", b.cfg.Management, cfg.Management)
	}
	if !cfg.Peers.equal(b.cfg.Peers) {
		return "peers: can't change while serving"
	}
	if !cfg.Revisions.equal(b.cfg.Revisions) {
		return hint.Line(&ImmutableSetting{"revisions"})
	}
	if err := b.reloadAdmission(cfg.Admission); err != nil {
		return err // not the method's result itself: a nil error in an any is not nil
	}
	return nil
}

// reloadAdmission applies new settings of admission. Admission cannot be switched on while serving: connections
// opened before were never counted.
func (b *Balancer) reloadAdmission(a *Admission) error {
	switch {
	case (a == nil) != (b.admission == nil):
		return &ConfigError{
			hint.Annotated{
				Where: "admission",
				What:  "can't be switched on or off while serving",
				Do:    "restart the balancers, one after the other",
			},
		}
	case a == nil:
		return nil
	}
	return b.admission.reconfigure(*a)
}
