package revision

import (
	"fmt"
	"math"
	"strings"
	"time"
	"unicode/utf8"
)

// Bounds of what a revision may say.
const (
	MaxPriorityRank        = 255
	MaxLinkPriority        = 16 // of a class on a link
	MaxWeight              = 100
	MaxRetryRatio          = 10.0
	MaxPendingAttempts     = 1_000_000
	MaxMigrationsPerSecond = 10_000.0
	MaxLinkBytes           = 1e12 // per second
	MaxNoteBytes           = 1000
	MinObjective           = time.Millisecond
	MaxObjective           = time.Hour

	maxConnectionQuota = 1e9
	maxIDBytes         = 256
	minWeight          = 1e-6 // a smaller one leaves a server out in effect
	shareTolerance     = 1e-9 // of sums of shares
)

// validator keeps the first fault.
type validator struct{ firstError *Incompatible }

func (v *validator) report(field, name string, value any, problem, remedy string, args ...any) {
	if v.firstError != nil {
		return
	}
	v.firstError = &Incompatible{
		Field:   field,
		Name:    name,
		Value:   fmt.Sprint(value),
		Problem: problem,
		Remedy:  fmt.Sprintf(remedy, args...),
	}
}

func (v *validator) err() error {
	if v.firstError == nil {
		return nil
	}
	return v.firstError
}

// checkRange holds a figure to its bounds, which NaN is not within.
func (v *validator) checkRange(field, name string, value, low, high float64) {
	if !(value >= low && value <= high) {
		v.report(field, name, value, fmt.Sprintf("is outside %g to %g", low, high),
			"set it within %g to %g, or leave it out", low, high)
	}
}

func (v *validator) checkObjective(field, name string, d time.Duration) {
	if d != 0 && (d < MinObjective || d > MaxObjective) {
		v.report(field, name, d, fmt.Sprintf("is outside %v to %v", MinObjective, MaxObjective),
			"set a time within %v to %v, or leave it out for the settings'", MinObjective, MaxObjective)
	}
}

// checkNames holds each name of a list of n entries to being a name, and there once.
func (v *validator) checkNames(list, field string, n int, name func(int) string) {
	seen := make(map[string]int, n)
	for i := range n {
		at := fmt.Sprintf("%s[%d].%s", list, i, field)
		value := name(i)
		previous, duplicate := seen[value]
		switch {
		case value == "":
			v.report(at, "", "", "is empty", "name it, or leave the entry out")
		case !isName(value, maxIDBytes):
			v.report(at, "", fmt.Sprintf("%.64q", value), "is no name",
				"use at most 256 bytes of printable text without spaces")
		case duplicate:
			v.report(at, "", fmt.Sprintf("%q", value), fmt.Sprintf("is in %s[%d] already", list, previous),
				"put all that is said of it into one entry")
		}
		seen[value] = i
	}
}

// isName tells of text without spaces, of so many bytes at most.
func isName(s string, maxBytes int) bool {
	return len(s) <= maxBytes && utf8.ValidString(s) && !strings.ContainsFunc(s, isSpaceOrControl)
}

func isSpaceOrControl(r rune) bool { return r == ' ' || isControl(r) }

func isControl(r rune) bool { return r < ' ' || r == 0x7f }

// Validate names the first field that cannot be whatever the settings are: an *Incompatible, or nil.
func Validate(c *Content) error {
	v := &validator{}
	v.checkHeader(c)
	v.checkAllNames(c)
	v.checkClasses(c.Classes)
	v.checkTenants(c.Tenants)
	v.checkPlaces("regions", c.Servers)
	v.checkPlaces("zones", c.Zones)
	v.checkRange("budgets.retries", "", c.Budgets.RetryRatio, 0, MaxRetryRatio)
	v.checkRange("budgets.setups", "", float64(c.Budgets.MaxPendingAttempts), 0, MaxPendingAttempts)
	v.checkRange("budgets.cold", "", c.Budgets.WarmUpShare, 0, 1)
	v.checkRange("moves.per_second", "", c.Migration.PerSecond, 0, MaxMigrationsPerSecond)
	v.checkLinks(c.Links)
	if v.firstError == nil {
		if n := len(Encode(c)); n > MaxTextBytes {
			v.report("", "", n, fmt.Sprintf("bytes as text are more than %d", MaxTextBytes),
				"say less in one revision: leave out what is as the settings have it")
		}
	}
	return v.err()
}

func (v *validator) checkHeader(c *Content) {
	if c.Form != Form {
		v.report("oatloft_revision", "", c.Form, "is another form",
			"write it by this version's oatctl, which writes form %d", Form)
	}
	if len(c.Note) > MaxNoteBytes || !utf8.ValidString(c.Note) || strings.ContainsFunc(c.Note, isControl) {
		v.report("note", "", fmt.Sprintf("%.64q", c.Note), "is no note",
			"use one line of at most %d bytes", MaxNoteBytes)
	}
}

func (v *validator) checkAllNames(c *Content) {
	v.checkNames("classes", "name", len(c.Classes), func(i int) string { return c.Classes[i].Name })
	v.checkNames("tenants", "name", len(c.Tenants), func(i int) string { return c.Tenants[i].Name })
	v.checkNames("regions", "id", len(c.Servers), func(i int) string { return c.Servers[i].ID })
	for i, server := range c.Servers {
		if strings.HasPrefix(server.ID, ZonePrefix) {
			v.report(fmt.Sprintf("regions[%d].id", i), "", fmt.Sprintf("%q", server.ID),
				"is how a zone is named within", "put zones into zones, by their names alone")
		}
	}
	v.checkNames("zones", "id", len(c.Zones), func(i int) string { return c.Zones[i].ID })
}

func (v *validator) checkClasses(classes []Class) {
	for i, class := range classes {
		at := fmt.Sprintf("classes[%d].", i)
		v.checkRange(at+"order", class.Name, float64(class.PriorityRank), 0, MaxPriorityRank)
		v.checkObjective(at+"aim", class.Name, class.LatencyObjective)
		v.checkObjective(at+"message_aim", class.Name, class.MessageLatencyObjective)
		v.checkRange(at+"attempts", class.Name, float64(class.MaxAttempts), 0, math.MaxInt32)
	}
}

func (v *validator) checkTenants(tenants []Tenant) {
	for i, tenant := range tenants {
		field := fmt.Sprintf("tenants[%d].connections", i)
		v.checkRange(field, tenant.Name, tenant.ConnectionQuota, 0, maxConnectionQuota)
	}
}

// checkPlaces holds each entry to saying one thing: excluded, or a weight.
func (v *validator) checkPlaces(list string, places []Place) {
	for i, place := range places {
		at := fmt.Sprintf("%s[%d].", list, i)
		switch {
		case place.Excluded && place.Weight != 0:
			v.report(at+"weight", place.ID, place.Weight, "is said of what is left out", "leave out one of the two")
		case !place.Excluded && place.Weight == 0:
			v.report(at+"weight", place.ID, "", "is not said, nor that it is left out",
				"set out: true or a weight; leave the entry out where it is drawn as any other")
		case !place.Excluded && place.Weight > 0 && place.Weight <= minWeight:
			v.report(at+"weight", place.ID, place.Weight, "is next to nothing", "set out: true")
		}
		v.checkRange(at+"weight", place.ID, place.Weight, 0, MaxWeight)
	}
}

func (v *validator) checkLinks(links []Link) {
	seen := map[string]int{}
	for i, link := range links {
		at := fmt.Sprintf("links[%d].", i)
		previous, duplicate := seen[link.name()]
		switch {
		case link.From == "" || !isName(link.From, maxIDBytes):
			v.report(at+"from", "", fmt.Sprintf("%.64q", link.From), "is no zone",
				"name the zone that the bytes leave")
		case link.To == "" || !isName(link.To, maxIDBytes):
			v.report(at+"to", "", fmt.Sprintf("%.64q", link.To), "is no zone",
				"name the zone that the bytes come to")
		case link.From == link.To:
			v.report(at+"to", link.name(), fmt.Sprintf("%q", link.To), "is where it begins",
				"name another zone: bytes within one are not bounded")
		case duplicate:
			v.report(at+"from", link.name(), fmt.Sprintf("%q", link.From),
				fmt.Sprintf("with the same end is in links[%d] already", previous),
				"put all that is said of this direction into one entry")
		}
		seen[link.name()] = i
		v.checkRange(at+"bytes", link.name(), link.Bytes, 1, MaxLinkBytes)
		v.checkLinkClasses(at, link)
	}
}

func (v *validator) checkLinkClasses(at string, link Link) {
	v.checkNames(at+"classes", "name", len(link.Classes), func(i int) string { return link.Classes[i].Name })
	sum := 0.0
	for i, class := range link.Classes {
		at := fmt.Sprintf("%sclasses[%d].", at, i)
		v.checkRange(at+"priority", class.Name, float64(class.Priority), 1, MaxLinkPriority)
		v.checkRange(at+"least", class.Name, class.MinShare, 0, 1)
		v.checkRange(at+"weight", class.Name, class.Weight, 0, MaxWeight)
		sum += class.MinShare
	}
	if sum > 1+shareTolerance {
		v.report(at+"classes", link.name(), "", fmt.Sprintf("have least parts of %.4g together", sum),
			"lower some of them: what is guaranteed can't be more than the link, 1 together")
	}
}
