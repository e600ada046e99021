package revision

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"time"
)

// Diff lists the differences of b from a, one line per field, sorted by field name. It returns none if their hashes
// are equal.
func Diff(a, b *Content) []string {
	before, after := describe(a), describe(b)
	names := maps.Clone(before)
	maps.Copy(names, after)
	var lines []string
	for _, name := range slices.Sorted(maps.Keys(names)) {
		valueBefore, inBefore := before[name]
		valueAfter, inAfter := after[name]
		switch {
		case valueBefore == valueAfter && inBefore == inAfter:
		case !inBefore:
			lines = append(lines, fmt.Sprintf("%s: %s, not set before", name, valueAfter))
		case !inAfter:
			lines = append(lines, fmt.Sprintf("%s: no longer set, %s before", name, valueBefore))
		default:
			lines = append(lines, fmt.Sprintf("%s: %s -> %s", name, valueBefore, valueAfter))
		}
	}
	return lines
}

// description maps every field that a revision sets to its value, under a name that does not depend on the order of
// lists. Zero fields are omitted, but an entry that sets nothing is still listed.
type description map[string]string

func describe(c *Content) description {
	d := description{}
	d.number("form", float64(c.FormatVersion))
	if c.Note != "" {
		d["note"] = strconv.Quote(c.Note)
	}
	d.classes(c.Classes)
	for _, tenant := range c.Tenants {
		quota := "no limit"
		if tenant.ConnectionQuota != 0 {
			quota = formatFloat(tenant.ConnectionQuota)
		}
		d["tenants "+tenant.Name+" connections"] = quota
	}
	d.placements("regions ", c.Servers)
	d.placements("zones ", c.Zones)
	d.number("budgets retries", c.Budgets.RetryRatio)
	d.number("budgets setups", float64(c.Budgets.MaxPendingAttempts))
	d.number("budgets cold", c.Budgets.WarmUpShare)
	d.number("moves per_second", c.Migration.PerSecond)
	d.links(c.Links)
	return d
}

func formatFloat(x float64) string { return strconv.FormatFloat(x, 'g', -1, 64) }

func (d description) number(field string, x float64) {
	if x != 0 {
		d[field] = formatFloat(x)
	}
}

func (d description) duration(field string, x time.Duration) {
	if x != 0 {
		d[field] = x.String()
	}
}

// emptyEntry describes an entry that sets nothing but its name.
func (d description) emptyEntry(field string, empty bool) {
	if empty {
		d[field] = "named"
	}
}

func (d description) classes(classes []Class) {
	for _, class := range classes {
		at := "classes " + class.Name
		d.number(at+" order", float64(class.PriorityRank))
		d.duration(at+" aim", class.LatencyObjective)
		d.duration(at+" message_aim", class.MessageLatencyObjective)
		d.number(at+" attempts", float64(class.MaxAttempts))
		d.emptyEntry(at, class == Class{Name: class.Name})
	}
}

func (d description) placements(list string, placements []Placement) {
	for _, placement := range placements {
		at := list + placement.ID
		if placement.Excluded {
			d[at] = "excluded"
		}
		d.number(at+" weight", placement.Weight)
		d.emptyEntry(at, placement == Placement{ID: placement.ID})
	}
}

func (d description) links(links []Link) {
	for _, link := range links {
		at := "links " + link.name()
		d[at+" bytes"] = strconv.FormatFloat(link.Bytes, 'f', -1, 64)
		for _, class := range link.Classes {
			at := at + " " + class.Name
			d.number(at+" priority", float64(class.Priority))
			d.number(at+" least", class.MinShare)
			d.number(at+" weight", class.Weight)
			d.emptyEntry(at, class == LinkClass{Name: class.Name})
		}
	}
}
