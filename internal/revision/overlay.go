package revision

import (
	"cmp"
	"maps"
	"slices"

	"oatloft/policy"
)

// ZonePrefix begins the name of a zone in policy.Config.Weights.
const ZonePrefix = "zone/"

// Overlay returns the settings with the revision applied. base is not modified, since it is shared with other readers.
// Classes and tenants that base lacks are skipped: Check found them when the revision was accepted, and settings that
// lose one later must not stop a balancer.
func Overlay(base policy.Config, c *Content) policy.Config {
	base.Classes = overlayClasses(base.Classes, c.Classes)
	base.Tenants = overlayTenants(base.Tenants, c.Tenants)
	if len(c.Servers)+len(c.Zones) > 0 {
		base.Weights = overlayWeights(base.Weights, c)
	}
	base.RetryRatio = cmp.Or(c.Budgets.RetryRatio, base.RetryRatio)
	base.MaxPendingAttempts = cmp.Or(c.Budgets.MaxPendingAttempts, base.MaxPendingAttempts)
	base.WarmUpBudgetShare = cmp.Or(c.Budgets.WarmUpShare, base.WarmUpBudgetShare)
	base.MigrationsPerSecond = cmp.Or(c.Migration.PerSecond, base.MigrationsPerSecond)
	return base
}

func overlayClasses(base []policy.Class, changes []Class) []policy.Class {
	if len(changes) == 0 {
		return base
	}
	classes := slices.Clone(base)
	for _, change := range changes {
		i := slices.IndexFunc(classes, func(class policy.Class) bool { return class.Name == change.Name })
		if i < 0 {
			continue
		}
		class := &classes[i]
		class.PriorityRank = cmp.Or(change.PriorityRank, class.PriorityRank)
		class.LatencyObjective = cmp.Or(change.LatencyObjective, class.LatencyObjective)
		class.MessageLatencyObjective = cmp.Or(change.MessageLatencyObjective, class.MessageLatencyObjective)
		if change.MaxAttempts > 0 && (class.MaxAttempts == 0 || change.MaxAttempts < class.MaxAttempts) {
			class.MaxAttempts = change.MaxAttempts
		}
	}
	return classes
}

func overlayTenants(base []policy.Tenant, changes []Tenant) []policy.Tenant {
	if len(changes) == 0 {
		return base
	}
	tenants := slices.Clone(base)
	for _, change := range changes {
		i := slices.IndexFunc(tenants, func(tenant policy.Tenant) bool { return tenant.Name == change.Name })
		if i >= 0 {
			tenants[i].ConnectionQuota = change.ConnectionQuota
		}
	}
	return tenants
}

func overlayWeights(base map[string]float64, c *Content) map[string]float64 {
	weights := make(map[string]float64, len(base)+len(c.Servers)+len(c.Zones))
	maps.Copy(weights, base)
	for _, server := range c.Servers {
		weights[server.ID] = server.weight()
	}
	for _, zone := range c.Zones {
		weights[ZonePrefix+zone.ID] = zone.weight()
	}
	return weights
}

// weight returns 0 for an excluded placement, and 1 if no weight is set.
func (p Placement) weight() float64 {
	if p.Excluded {
		return 0
	}
	return cmp.Or(p.Weight, 1)
}
