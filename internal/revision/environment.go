package revision

import "oatloft/policy"

// Environment is what a balancer has now, and a revision has to fit.
type Environment struct {
	Classes     []string // of its settings
	Tenants     []string // of its settings
	Zones       []string // its own, those of its settings, those of its list
	Servers     []string // the ids of its list, whatever their state
	ZoneOf      map[string]string
	HasList     bool // it has had a list; without one nothing can be said of places
	MaxAttempts int
}

// NewEnvironment returns the environment of a balancer with these settings and this list. zones are further ones
// that its settings name; hasList tells whether there has been a list at all.
func NewEnvironment(settings policy.Config, zones []string, list []policy.Server, hasList bool) Environment {
	env := Environment{MaxAttempts: settings.MaxAttempts, HasList: hasList, ZoneOf: map[string]string{}}
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
