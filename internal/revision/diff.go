package revision

// This file owns how two revisions differ, in words for operators. Two whose hashes are equal differ in nothing; it must never
// say that two are alike that aren't.

import (
	"fmt"
	"slices"
	"strconv"
	"time"
)

// Diff is what b says otherwise than a, one line for each field, in the order of the names; none where their hashes are equal.
func Diff(a, b *Content) []string {
	was, is := describe(a), describe(b)
	var lines []string
	for _, name := range fieldNames(was, is) {
		old, had := was[name]
		now, has := is[name]
		switch {
		case old == now && had == has:
		case !had:
			lines = append(lines, fmt.Sprintf("%s: %s, not said before", name, now))
		case !has:
			lines = append(lines, fmt.Sprintf("%s: not said any more, %s before", name, old))
		default:
			lines = append(lines, fmt.Sprintf("%s: %s -> %s", name, old, now))
		}
	}
	return lines
}

func fieldNames(maps ...map[string]string) []string {
	all := map[string]bool{}
	for _, m := range maps {
		for name := range m {
			all[name] = true
		}
	}
	names := make([]string, 0, len(all))
	for name := range all {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// describe is every field that c says, by a name that doesn't hang on the order of lists. What is left at zero isn't said, but an
// entry that says nothing is still an entry.
func describe(c *Content) map[string]string {
	m := map[string]string{}
	number := func(field string, x float64) {
		if x != 0 {
			m[field] = strconv.FormatFloat(x, 'g', -1, 64)
		}
	}
	length := func(field string, d time.Duration) {
		if d != 0 {
			m[field] = d.String()
		}
	}
	entry := func(field string, bare bool) {
		if bare {
			m[field] = "named"
		}
	}
	number("form", float64(c.Form))
	if c.Note != "" {
		m["note"] = strconv.Quote(c.Note)
	}
	for _, k := range c.Classes {
		at := "classes " + k.Name
		number(at+" order", float64(k.PriorityRank))
		length(at+" aim", k.LatencyObjective)
		length(at+" message_aim", k.MessageLatencyObjective)
		number(at+" attempts", float64(k.MaxAttempts))
		entry(at, k == Class{Name: k.Name})
	}
	for _, t := range c.Tenants {
		m["tenants "+t.Name+" connections"] = strconv.FormatFloat(t.ConnectionQuota, 'g', -1, 64)
		if t.ConnectionQuota == 0 {
			m["tenants "+t.Name+" connections"] = "no limit"
		}
	}
	for list, places := range map[string][]Place{"regions ": c.Servers, "zones ": c.Zones} {
		for _, p := range places {
			if p.Excluded {
				m[list+p.ID] = "left out"
			}
			number(list+p.ID+" weight", p.Weight)
			entry(list+p.ID, p == Place{ID: p.ID})
		}
	}
	number("budgets retries", c.Budgets.RetryRatio)
	number("budgets setups", float64(c.Budgets.MaxPendingAttempts))
	number("budgets cold", c.Budgets.WarmUpShare)
	number("moves per_second", c.Migration.PerSecond)
	for _, l := range c.Links {
		at := "links " + l.name()
		m[at+" bytes"] = strconv.FormatFloat(l.Bytes, 'f', -1, 64)
		for _, k := range l.Classes {
			at := at + " " + k.Name
			number(at+" priority", float64(k.Priority))
			number(at+" least", k.MinShare)
			number(at+" weight", k.Weight)
			entry(at, k == LinkClass{Name: k.Name})
		}
	}
	return m
}
