package revision

import (
	"fmt"
	"slices"
	"strings"
)

// Incompatible is the error that a revision cannot be in force: the first field that is at fault, what it holds,
// why that cannot be, and what would make it fit.
type Incompatible struct {
	Field     string // as in the text: "classes[2].aim"; "" for the whole
	Name      string // of the entry, "" where the field is in none
	Value     string
	Problem   string
	Remedy    string
	MayChange bool // it may fit once this balancer knows more: no reason to reject it
}

// Error names the field and what is wrong with it.
func (e *Incompatible) Error() string {
	if e.Field == "" {
		return e.Message()
	}
	return e.Field + ": " + e.Message()
}

// Message is the error without its field.
func (e *Incompatible) Message() string {
	message := strings.TrimSpace(e.Value + " " + e.Problem)
	if e.Name != "" {
		message += fmt.Sprintf(" (of %q)", e.Name)
	}
	return message
}

// Hint is what an operator can do.
func (e *Incompatible) Hint() string { return e.Remedy }

// Check names the first field that does not fit a balancer's environment: an *Incompatible, or nil. What Validate
// refuses fits none. The same check stands before a proposal and before a rollback.
func Check(c *Content, env Environment) error {
	if err := Validate(c); err != nil {
		return err
	}
	v := &validator{}
	v.checkKnownClasses(c.Classes, env)
	for i, tenant := range c.Tenants {
		v.checkKnown(fmt.Sprintf("tenants[%d].name", i), tenant.Name, "tenant", inSettings, env.Tenants)
	}
	if field := c.firstPlacementField(); !env.HasList && field != "" {
		v.report(field, "", "", "can't be checked: this balancer has had no list of regions so far",
			"see why discovery doesn't answer it, or wait and propose again")
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
		v.report(field, "", "", "leave no region for newcomers",
			"leave at least one listed region in, by its id and by its zone")
	}
	v.checkKnownLinks(c.Links, env)
	return v.err()
}

// Where names come from, for errors.
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
				"set %d at most, or raise limits.max-attempts in the settings of all balancers first", env.MaxAttempts)
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

// checkKnown holds a name to a list, and suggests another one.
func (v *validator) checkKnown(field, name, kind, source string, list []string) {
	if v.firstError != nil || slices.Contains(list, name) {
		return
	}
	v.report(field, "", fmt.Sprintf("%q", name), fmt.Sprintf("is no %s of %s", kind, source),
		"%s; or bring the %s back first", suggestion(name, kind, list), kind)
}

// firstPlaceField is the first field that names servers or zones, "" if there is none.
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

// excludesAll is the field that excludes the last server of the list, "" where one stays.
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
