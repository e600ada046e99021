package revision

import (
	"fmt"
	"math"
	"strings"
	"time"
	"unicode/utf8"
)

// Bounds of the fields of a revision.
const (
	MaxPriorityRank        = 255       // rank; 1 is the highest priority
	MaxLinkPriority        = 16        // priority level of a class on a link; 1 is served first
	MaxWeight              = 100       // relative to the weight 1 of other placements or classes
	MaxRetryRatio          = 10.0      // retries per first attempt
	MaxPendingAttempts     = 1_000_000 // attempts at one balancer
	MaxMigrationsPerSecond = 10_000.0  // connections per second at one balancer
	MaxLinkBytes           = 1e12      // bytes per second
	MaxNoteBytes           = 1000
	MinObjective           = time.Millisecond
	MaxObjective           = time.Hour

	maxConnectionQuota = 1e9 // connections over all balancers
	maxIDBytes         = 256
	minWeight          = 1e-6 // relative weight; a smaller one excludes a server in effect
	shareTolerance     = 1e-9 // rounding error allowed in a sum of shares
)

// validator keeps the first error.
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

// checkRange reports a number that is out of its bounds or NaN.
func (v *validator) checkRange(field, name string, value, low, high float64) {
	if !(value >= low && value <= high) {
		v.report(field, name, value, fmt.Sprintf("is outside %g to %g", low, high),
			"set a value from %g to %g, or leave it out", low, high)
	}
}

func (v *validator) checkObjective(field, name string, d time.Duration) {
	if d != 0 && (d < MinObjective || d > MaxObjective) {
		v.report(field, name, d, fmt.Sprintf("is outside %v to %v", MinObjective, MaxObjective),
			"set a time from %v to %v, or leave it out to use the settings' value", MinObjective, MaxObjective)
	}
}

// checkNames reports invalid and duplicate names in a list of n entries.
func (v *validator) checkNames(list, field string, n int, name func(int) string) {
	seen := make(map[string]int, n)
	for i := range n {
		at := fmt.Sprintf("%s[%d].%s", list, i, field)
		value := name(i)
		previous, duplicate := seen[value]
		switch {
		case value == "":
			v.report(at, "", "", "is empty", "set a name, or remove the entry")
		case !isName(value, maxIDBytes):
			v.report(at, "", fmt.Sprintf("%.64q", value), "is not a valid name",
				"use at most 256 bytes of printable text without spaces")
		case duplicate:
			v.report(at, "", fmt.Sprintf("%q", value), fmt.Sprintf("is already in %s[%d]", list, previous),
				"combine the entries for it into one entry")
		}
		seen[value] = i
	}
}

// isName reports whether s is valid UTF-8 of at most maxBytes bytes without spaces and control characters.
func isName(s string, maxBytes int) bool {
	return len(s) <= maxBytes && utf8.ValidString(s) && !strings.ContainsFunc(s, isSpaceOrControl)
}

func isSpaceOrControl(r rune) bool { return r == ' ' || isControl(r) }

func isControl(r rune) bool { return r < ' ' || r == 0x7f }

// Validate returns an *Incompatible for the first field that is invalid regardless of the settings, or nil.
func Validate(c *Content) error {
	v := &validator{}
	v.checkHeader(c)
	v.checkAllNames(c)
	v.checkClasses(c.Classes)
	v.checkTenants(c.Tenants)
	v.checkPlacements("regions", c.Servers)
	v.checkPlacements("zones", c.Zones)
	v.checkRange("budgets.retries", "", c.Budgets.RetryRatio, 0, MaxRetryRatio)
	v.checkRange("budgets.setups", "", float64(c.Budgets.MaxPendingAttempts), 0, MaxPendingAttempts)
	v.checkRange("budgets.cold", "", c.Budgets.WarmUpShare, 0, 1)
	v.checkRange("moves.per_second", "", c.Migration.PerSecond, 0, MaxMigrationsPerSecond)
	v.checkLinks(c.Links)
	if v.firstError == nil {
		if n := len(Encode(c)); n > MaxTextBytes {
			v.report("", "", n, fmt.Sprintf("bytes of text exceed the limit of %d", MaxTextBytes),
				"shorten the revision: leave out fields that equal the settings")
		}
	}
	return v.err()
}

func (v *validator) checkHeader(c *Content) {
	if c.FormatVersion != FormatVersion {
		v.report("oatloft_revision", "", c.FormatVersion, "is not a supported format version",
			"write the revision with oatctl of this version, which writes format version %d", FormatVersion)
	}
	if len(c.Note) > MaxNoteBytes || !utf8.ValidString(c.Note) || strings.ContainsFunc(c.Note, isControl) {
		v.report("note", "", fmt.Sprintf("%.64q", c.Note), "is not a valid note",
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
				"has the prefix reserved for zones", "list the zone in zones, by its name without the prefix")
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

// checkPlacements reports entries that do not set exactly one of exclusion and weight.
func (v *validator) checkPlacements(list string, placements []Placement) {
	for i, placement := range placements {
		at := fmt.Sprintf("%s[%d].", list, i)
		switch {
		case placement.Excluded && placement.Weight != 0:
			v.report(at+"weight", placement.ID, placement.Weight, "is set on an excluded entry", "remove one of the two")
		case !placement.Excluded && placement.Weight == 0:
			v.report(at+"weight", placement.ID, "", "is not set, and the entry is not excluded",
				"set out: true or a weight, or remove the entry to leave the weight unchanged")
		case !placement.Excluded && placement.Weight > 0 && placement.Weight <= minWeight:
			v.report(at+"weight", placement.ID, placement.Weight, "is too small to have an effect", "set out: true")
		}
		v.checkRange(at+"weight", placement.ID, placement.Weight, 0, MaxWeight)
	}
}

func (v *validator) checkLinks(links []Link) {
	seen := map[string]int{}
	for i, link := range links {
		at := fmt.Sprintf("links[%d].", i)
		previous, duplicate := seen[link.name()]
		switch {
		case link.From == "" || !isName(link.From, maxIDBytes):
			v.report(at+"from", "", fmt.Sprintf("%.64q", link.From), "is not a valid zone name",
				"name the zone that the traffic leaves")
		case link.To == "" || !isName(link.To, maxIDBytes):
			v.report(at+"to", "", fmt.Sprintf("%.64q", link.To), "is not a valid zone name",
				"name the zone that the traffic enters")
		case link.From == link.To:
			v.report(at+"to", link.name(), fmt.Sprintf("%q", link.To), "is also the zone that the link starts from",
				"name another zone: traffic within a zone is not limited")
		case duplicate:
			v.report(at+"from", link.name(), fmt.Sprintf("%q", link.From),
				fmt.Sprintf("with the same destination is already in links[%d]", previous),
				"combine the entries for this direction into one entry")
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
		v.report(at+"classes", link.name(), "", fmt.Sprintf("have minimum shares (least) that sum to %.4g", sum),
			"lower some of them: the sum may be at most 1, the whole link")
	}
}
