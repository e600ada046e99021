package revision

import (
	"fmt"
	"slices"
	"strings"
)

// Incompatible reports that a revision cannot be in force. It names the first invalid field, its value, the problem
// and the remedy.
type Incompatible struct {
	Field     string // path as in the text, such as "classes[2].aim"; "" for the whole revision
	Name      string // of the entry that contains the field; "" if there is none
	Value     string
	Problem   string
	Remedy    string
	MayChange bool // the check may pass once this balancer has a discovery list: not a reason to reject
}

// Error returns the field and the problem.
func (e *Incompatible) Error() string {
	if e.Field == "" {
		return e.Message()
	}
	return e.Field + ": " + e.Message()
}

// Message returns the error without the field.
func (e *Incompatible) Message() string {
	message := strings.TrimSpace(e.Value + " " + e.Problem)
	if e.Name != "" {
		message += fmt.Sprintf(" (of %q)", e.Name)
	}
	return message
}

// Hint returns what an operator can do about it.
func (e *Incompatible) Hint() string { return e.Remedy }

// Check returns an *Incompatible for the first field that is incompatible with a balancer's environment, or nil. It
// includes all checks of Validate. It is applied to proposals and rollbacks alike.
func Check(c *Content, env Environment) error {
	if err := Validate(c); err != nil {
		return err
	}
	v := &validator{}
	v.checkKnownClasses(c.Classes, env)
	for i, tenant := range c.Tenants {
		v.checkKnown(fmt.Sprintf("tenants[%d].name", i), tenant.Name, "tenant", inSettings, env.Tenants)
	}
	if field := c.firstPlacementField(); !env.HasDiscoveryList && field != "" {
		v.report(field, "", "", "can't be checked: this balancer has not received a discovery list yet",
			"check why discovery does not answer this balancer, or wait and propose again")
		v.firstError.MayChange = true
		return v.err()
	}
	for i, server := range c.Servers {
		v.checkKnown(fmt.Sprintf("regions[%d].id", i), server.ID, "region", "discovery's list", env.Servers)
	}
	for i, zone := range c.Zones {
		v.checkKnown(fmt.Sprintf("zones[%d].id", i), zone.ID, "zone", inSettingsOrList, env.Zones)
	}
	if field := fieldExcludingAll(c, env); field != "" {
		v.report(field, "", "", "exclude every listed region from new requests",
			"keep at least one listed region that is excluded neither by its id nor by its zone")
	}
	v.checkKnownLinks(c.Links, env)
	return v.err()
}

// Sources of names, for error messages.
const (
	inSettings       = "the settings"
	inSettingsOrList = "the settings or discovery's list"
)

func (v *validator) checkKnownClasses(classes []Class, env Environment) {
	for i, class := range classes {
		v.checkKnown(fmt.Sprintf("classes[%d].name", i), class.Name, "class", inSettings, env.Classes)
		if class.MaxAttempts > env.MaxAttempts {
			v.report(fmt.Sprintf("classes[%d].attempts", i), class.Name, class.MaxAttempts,
				fmt.Sprintf("is above the settings' %d", env.MaxAttempts),
				"set at most %d, or first raise limits.max-attempts in the settings of all balancers", env.MaxAttempts)
		}
	}
}

func (v *validator) checkKnownLinks(links []Link, env Environment) {
	for i, link := range links {
		at := fmt.Sprintf("links[%d].", i)
		v.checkKnown(at+"from", link.From, "zone", inSettingsOrList, env.Zones)
		v.checkKnown(at+"to", link.To, "zone", inSettingsOrList, env.Zones)
		for j, class := range link.Classes {
			v.checkKnown(fmt.Sprintf("%sclasses[%d].name", at, j), class.Name, "class", inSettings, env.Classes)
		}
	}
}

// checkKnown reports a name that is not in the list and suggests another one.
func (v *validator) checkKnown(field, name, kind, source string, list []string) {
	if v.firstError != nil || slices.Contains(list, name) {
		return
	}
	v.report(field, "", fmt.Sprintf("%q", name), fmt.Sprintf("is not a %s in %s", kind, source),
		"%s; or restore the %s first", suggestion(name, kind, list), kind)
}

// firstPlacementField returns the first field that names servers or zones, or "" if there is none.
func (c *Content) firstPlacementField() string {
	switch {
	case len(c.Servers) > 0:
		return "regions"
	case len(c.Zones) > 0:
		return "zones"
	case len(c.Links) > 0:
		return "links"
	}
	return ""
}

// fieldExcludingAll returns the field that excludes the last remaining server of the list, or "" if any remains.
func fieldExcludingAll(c *Content, env Environment) string {
	excluded := map[string]bool{}
	byZone, byID := false, false
	for _, zone := range c.Zones {
		if zone.Excluded {
			excluded[ZonePrefix+zone.ID] = true
			byZone = true
		}
	}
	for _, server := range c.Servers {
		if server.Excluded {
			excluded[server.ID] = true
			byID = true
		}
	}
	remains := func(id string) bool { return !excluded[id] && !excluded[ZonePrefix+env.ZoneOf[id]] }
	switch {
	case len(env.Servers) == 0 || slices.ContainsFunc(env.Servers, remains):
		return ""
	case byZone && !byID:
		return "zones"
	}
	return "regions"
}
