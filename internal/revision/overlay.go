package revision

// This file owns how a revision is laid over a balancer's settings. What the revision doesn't say stays as it is; it must never
// change what it is given, which others read at the same time, nor add a class or tenant that the settings don't have.

import (
	"maps"
	"slices"

	"oatloft/policy"
)

// ZonePrefix is the name by which policy.Config.Weights knows a zone, between the regions' ids.
const ZonePrefix = "zone/"

// Overlay is base as the revision has it. Classes and tenants that base lacks are passed over: Check found them when the
// revision was agreed on, and settings that lose one later must not stop a balancer.
func Overlay(base policy.Config, c *Content) policy.Config {
	if len(c.Classes) > 0 {
		base.Classes = slices.Clone(base.Classes)
	}
	for _, k := range c.Classes {
		i := slices.IndexFunc(base.Classes, func(x policy.Class) bool { return x.Name == k.Name })
		if i < 0 {
			continue
		}
		b := &base.Classes[i]
		b.PriorityRank, b.LatencyObjective, b.MessageLatencyObjective = orDefault(k.PriorityRank, b.PriorityRank), orDefault(k.LatencyObjective, b.LatencyObjective), orDefault(k.MessageLatencyObjective, b.MessageLatencyObjective)
		if k.MaxAttempts > 0 && (b.MaxAttempts == 0 || k.MaxAttempts < b.MaxAttempts) {
			b.MaxAttempts = k.MaxAttempts
		}
	}
	if len(c.Tenants) > 0 {
		base.Tenants = slices.Clone(base.Tenants)
	}
	for _, t := range c.Tenants {
		if i := slices.IndexFunc(base.Tenants, func(x policy.Tenant) bool { return x.Name == t.Name }); i >= 0 {
			base.Tenants[i].ConnectionQuota = t.ConnectionQuota
		}
	}
	if len(c.Servers)+len(c.Zones) > 0 {
		base.Weights = maps.Clone(base.Weights)
		if base.Weights == nil {
			base.Weights = make(map[string]float64, len(c.Servers)+len(c.Zones))
		}
	}
	for _, p := range c.Servers {
		base.Weights[p.ID] = p.weight()
	}
	for _, p := range c.Zones {
		base.Weights[ZonePrefix+p.ID] = p.weight()
	}
	base.RetryRatio, base.MaxPendingAttempts, base.WarmUpBudgetShare = orDefault(c.Budgets.RetryRatio, base.RetryRatio), orDefault(c.Budgets.MaxPendingAttempts, base.MaxPendingAttempts), orDefault(c.Budgets.WarmUpShare, base.WarmUpBudgetShare)
	base.MigrationsPerSecond = orDefault(c.Migration.PerSecond, base.MigrationsPerSecond)
	return base
}

// weight is what a place counts for: nothing where it is left out, and 1 where nothing is said.
func (p Place) weight() float64 {
	if p.Excluded {
		return 0
	}
	return orDefault(p.Weight, 1)
}

func orDefault[T comparable](said, settings T) T {
	var nothing T
	if said == nothing {
		return settings
	}
	return said
}
