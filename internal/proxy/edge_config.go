package proxy

import (
	"time"

	"oatloft/internal/admission"
	"oatloft/internal/coordination"
	"oatloft/internal/edgeconfig"
	"oatloft/internal/hint"
)

// SetEdge replaces the settings of the edge file; nil for none. Some of them also depend on the platform's settings:
// the tenants, and whether clients honor a retry-after time. The error is *ConfigError, or the error of a section's
// package.
func (c *Config) SetEdge(e *edgeconfig.Settings) error {
	c.Admission, c.Peers, c.Numbered, c.Revisions = nil, nil, nil, nil
	if e == nil {
		return nil
	}
	if err := c.setRevisions(e); err != nil {
		return err
	}
	if err := c.setPeers(e.Peers); err != nil {
		return err
	}
	if err := c.setNumbered(e.Numbered); err != nil {
		return err
	}
	return c.setAdmission(e.Admission)
}

func (c *Config) setPeers(section *edgeconfig.Peers) error {
	if section == nil {
		return nil
	}
	cfg, err := section.Config(c.Name)
	if err != nil {
		return err
	}
	cfg.Generation = uint64(time.Now().UnixMilli())
	cfg.Seed = uint64(c.Core.Seed) ^ cfg.Generation
	c.Peers = &Peers{
		Config:         cfg,
		Listen:         section.Listen,
		SignalInterval: time.Duration(section.SignalEvery),
		SignalLifetime: time.Duration(section.SignalLife),
		Coordination: coordination.Config{
			Name:          c.Name,
			Zone:          c.Core.Policy.Zone,
			Balancers:     c.Core.Policy.Balancers,
			PeerTimeout:   cfg.PeerTimeout,
			SubsetSize:    section.Subset,
			ShareReadings: section.Readings,
			Stagger:       section.Turns,
		},
	}
	return nil
}

// setNumbered applies the section that assigns servers by the balancer's number. A negative number stands for the
// one at the end of the balancer's name.
func (c *Config) setNumbered(section *edgeconfig.Numbered) (err error) {
	if section == nil {
		return nil
	}
	numbered := coordination.NumberedBalancer{
		Number:     section.Number,
		Count:      c.Core.Policy.Balancers,
		Zone:       c.Core.Policy.Zone,
		SubsetSize: section.Subset,
	}
	if numbered.Number < 0 {
		numbered.Number, err = coordination.ParseNumber(c.Name)
		if err != nil {
			return err
		}
	}
	if c.Peers != nil && c.Peers.Coordination.Enabled() {
		return &ConfigError{
			hint.Annotated{
				Where: "numbered",
				What:  "conflicts with peers.subset, readings or turns, which coordinate by the balancers' current state",
				Do:    "remove the section numbered",
			},
		}
	}
	c.Numbered = &numbered
	return nil
}

// setAdmission applies the settings of admission. Its retry-after times are capped at the platform's limit.
func (c *Config) setAdmission(section *edgeconfig.Admission) error {
	if section == nil {
		return nil
	}
	cfg, err := section.Config()
	if err != nil {
		return err
	}
	maxRetryAfter := c.Core.Policy.MaxRetryAfter
	cfg.RetrySchedule.Enabled = cfg.RetrySchedule.Enabled && maxRetryAfter > 0
	if maxRetryAfter > 0 {
		cfg.RetrySchedule.Max = min(cfg.RetrySchedule.Max, maxRetryAfter)
		cfg.RetrySchedule.Min = min(cfg.RetrySchedule.Min, cfg.RetrySchedule.Max)
	}
	for _, t := range c.Core.Policy.Tenants {
		cfg.Tenants = append(cfg.Tenants, admission.Tenant{Name: t.Name, Weight: t.ConnectionQuota})
	}
	snapshot := &section.Reserve.Snapshot
	c.Admission = &Admission{
		Config:           cfg,
		MaxLingering:     section.Descriptors.GoodByes,
		SnapshotPath:     snapshot.Path,
		SnapshotInterval: time.Duration(snapshot.Every),
		SnapshotMaxAge:   time.Duration(snapshot.MaxAge),
	}
	_, err = admission.New(cfg, 0)
	return err
}
