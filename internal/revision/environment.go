package revision

import "oatloft/policy"

// Environment describes the balancer that a revision is checked against.
type Environment struct {
	Classes          []string          // in its settings
	Tenants          []string          // in its settings
	Zones            []string          // its own zone, those in its settings and those in its discovery list
	Servers          []string          // ids in its discovery list, in any state but gone
	ZoneOf           map[string]string // zone by server id
	HasDiscoveryList bool              // a discovery list was received; servers and zones cannot be checked without one
	MaxAttempts      int
}

// NewEnvironment returns the environment of a balancer with the given settings and discovery list. zones are further
// zones named in its settings; hasList reports whether a list has been received.
func NewEnvironment(settings policy.Config, zones []string, list []policy.Server, hasList bool) Environment {
	env := Environment{MaxAttempts: settings.MaxAttempts, HasDiscoveryList: hasList, ZoneOf: map[string]string{}}
	for _, class := range settings.Classes {
		env.Classes = append(env.Classes, class.Name)
	}
	for _, tenant := range settings.Tenants {
		env.Tenants = append(env.Tenants, tenant.Name)
	}
	seen := map[string]bool{"": true}
	addZone := func(zone string) {
		if !seen[zone] {
			seen[zone] = true
			env.Zones = append(env.Zones, zone)
		}
	}
	addZone(settings.Zone)
	for _, zone := range zones {
		addZone(zone)
	}
	for _, server := range list {
		if server.State == policy.Gone {
			continue
		}
		addZone(server.Zone)
		env.Servers = append(env.Servers, server.ID)
		env.ZoneOf[server.ID] = server.Zone
	}
	return env
}
