package revision

// This file owns what a revision has to be: sound in itself, and fit for what one balancer has loaded and listed today. The same
// check stands before a proposal and before a rollback. It must never mend what it finds, nor take a name for another.

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"time"
	"unicode/utf8"

	"oatloft/policy"
)

// Bounds of what a revision may say.
const (
	MaxPriorityRank        = 255 // of a class's worth
	MaxLinkPriority        = 16  // of a class on a link
	MaxWeight              = 100
	MaxRetryRatio          = 10.0
	MaxPendingAttempts     = 1_000_000
	MaxMigrationsPerSecond = 10_000.0 // connections a second
	MaxLinkBytes           = 1e12     // a second, of a link
	MaxNoteBytes           = 1000     // bytes
	MinObjective           = time.Millisecond
	MaxObjective           = time.Hour
)

// Environment is what a balancer has now, and a revision has to fit.
type Environment struct {
	Classes     []string // of its settings
	Tenants     []string
	Zones       []string // its own, those of its settings, those of its list
	Servers     []string // the ids of its list, whatever their state
	ZoneOf      map[string]string
	HasList     bool // it has had a list; without one nothing can be said of places
	MaxAttempts int
}

// NewEnvironment is what a balancer with these settings and this list has. zones are further ones that its settings name; listed tells
// whether there has been a list at all.
func NewEnvironment(settings policy.Config, zones []string, list []policy.Server, listed bool) Environment {
	t := Environment{MaxAttempts: settings.MaxAttempts, HasList: listed, ZoneOf: map[string]string{}}
	for _, c := range settings.Classes {
		t.Classes = append(t.Classes, c.Name)
	}
	for _, x := range settings.Tenants {
		t.Tenants = append(t.Tenants, x.Name)
	}
	seen := map[string]bool{"": true}
	zone := func(z string) {
		if !seen[z] {
			seen[z] = true
			t.Zones = append(t.Zones, z)
		}
	}
	zone(settings.Zone)
	for _, z := range zones {
		zone(z)
	}
	for _, s := range list {
		if s.State == policy.Gone {
			continue
		}
		zone(s.Zone)
		t.Servers = append(t.Servers, s.ID)
		t.ZoneOf[s.ID] = s.Zone
	}
	return t
}

// Incompatible is the error that a revision can't be in force: the first field that is at fault, what it holds, why that can't be, and
// what would make it fit.
type Incompatible struct {
	Field     string // as in the text: "classes[2].aim"; "" for the whole
	Name      string // of the entry, "" where the field is in none
	Value     string
	Problem   string
	Remedy    string
	MayChange bool // it may fit once this balancer knows more: no reason to say no
}

func (e *Incompatible) Error() string {
	if e.Field == "" {
		return e.Message()
	}
	return e.Field + ": " + e.Message()
}

// Message is the error without its field.
func (e *Incompatible) Message() string {
	what := strings.TrimSpace(e.Value + " " + e.Problem)
	if e.Name != "" {
		what += fmt.Sprintf(" (of %q)", e.Name)
	}
	return what
}

// Hint is what an operator can do.
func (e *Incompatible) Hint() string { return e.Remedy }

// validator keeps the first fault.
type validator struct{ first *Incompatible }

func (f *validator) report(field, name string, value any, why, do string, args ...any) {
	if f.first == nil {
		f.first = &Incompatible{Field: field, Name: name, Value: fmt.Sprint(value), Problem: why, Remedy: fmt.Sprintf(do, args...)}
	}
}

func (f *validator) err() error {
	if f.first == nil {
		return nil
	}
	return f.first
}

// checkRange holds a figure to its bounds.
func (f *validator) checkRange(field, name string, value, least, most float64) {
	switch {
	case value >= least && value <= most:
	default: // also what is no number
		f.report(field, name, value, fmt.Sprintf("is outside %g to %g", least, most), "set it within %g to %g, or leave it out", least, most)
	}
}

func (f *validator) checkObjective(field, name string, d time.Duration) {
	if d != 0 && (d < MinObjective || d > MaxObjective) {
		f.report(field, name, d, fmt.Sprintf("is outside %v to %v", MinObjective, MaxObjective), "set a time within %v to %v, or leave it out for the settings'", MinObjective, MaxObjective)
	}
}

// checkNames holds a list's names to being there once each.
func (f *validator) checkNames(list, field string, n int, name func(int) string) {
	seen := make(map[string]int, n)
	for i := range n {
		at := fmt.Sprintf("%s[%d].%s", list, i, field)
		x := name(i)
		switch before, again := seen[x]; {
		case x == "":
			f.report(at, "", "", "is empty", "name it, or leave the entry out")
		case !isName(x, 256):
			f.report(at, "", fmt.Sprintf("%.64q", x), "is no name", "use at most 256 bytes of printable text without spaces")
		case again:
			f.report(at, "", fmt.Sprintf("%q", x), fmt.Sprintf("is in %s[%d] already", list, before), "put all that is said of it into one entry")
		}
		seen[x] = i
	}
}

func isName(s string, most int) bool {
	return len(s) <= most && utf8.ValidString(s) && !strings.ContainsFunc(s, func(r rune) bool { return r <= ' ' || r == 0x7f })
}

// Validate names the first field that can't be whatever the settings are: *Unfit, or nil.
func Validate(c *Content) error {
	f := &validator{}
	if c.Form != Form {
		f.report("oatloft_revision", "", c.Form, "is another form", "write it by this version's oatctl, which writes form %d", Form)
	}
	if len(c.Note) > MaxNoteBytes || !utf8.ValidString(c.Note) || strings.ContainsFunc(c.Note, func(r rune) bool { return r < ' ' || r == 0x7f }) {
		f.report("note", "", fmt.Sprintf("%.64q", c.Note), "is no note", "use one line of at most %d bytes", MaxNoteBytes)
	}
	f.checkNames("classes", "name", len(c.Classes), func(i int) string { return c.Classes[i].Name })
	f.checkNames("tenants", "name", len(c.Tenants), func(i int) string { return c.Tenants[i].Name })
	f.checkNames("regions", "id", len(c.Servers), func(i int) string { return c.Servers[i].ID })
	for i, r := range c.Servers {
		if strings.HasPrefix(r.ID, ZonePrefix) {
			f.report(fmt.Sprintf("regions[%d].id", i), "", fmt.Sprintf("%q", r.ID), "is how a zone is named within", "put zones into zones, by their names alone")
		}
	}
	f.checkNames("zones", "id", len(c.Zones), func(i int) string { return c.Zones[i].ID })
	for i, k := range c.Classes {
		at := fmt.Sprintf("classes[%d].", i)
		f.checkRange(at+"order", k.Name, float64(k.PriorityRank), 0, MaxPriorityRank)
		f.checkObjective(at+"aim", k.Name, k.LatencyObjective)
		f.checkObjective(at+"message_aim", k.Name, k.MessageLatencyObjective)
		f.checkRange(at+"attempts", k.Name, float64(k.MaxAttempts), 0, math.MaxInt32)
	}
	for i, t := range c.Tenants {
		f.checkRange(fmt.Sprintf("tenants[%d].connections", i), t.Name, t.ConnectionQuota, 0, 1e9)
	}
	f.checkPlaces("regions", c.Servers)
	f.checkPlaces("zones", c.Zones)
	f.checkRange("budgets.retries", "", c.Budgets.RetryRatio, 0, MaxRetryRatio)
	f.checkRange("budgets.setups", "", float64(c.Budgets.MaxPendingAttempts), 0, MaxPendingAttempts)
	f.checkRange("budgets.cold", "", c.Budgets.WarmUpShare, 0, 1)
	f.checkRange("moves.per_second", "", c.Migration.PerSecond, 0, MaxMigrationsPerSecond)
	seen := map[string]int{}
	for i, l := range c.Links {
		at := fmt.Sprintf("links[%d].", i)
		before, again := seen[l.name()]
		switch {
		case l.From == "" || !isName(l.From, 256):
			f.report(at+"from", "", fmt.Sprintf("%.64q", l.From), "is no zone", "name the zone that the bytes leave")
		case l.To == "" || !isName(l.To, 256):
			f.report(at+"to", "", fmt.Sprintf("%.64q", l.To), "is no zone", "name the zone that the bytes come to")
		case l.From == l.To:
			f.report(at+"to", l.name(), fmt.Sprintf("%q", l.To), "is where it begins", "name another zone: bytes within one are not bounded")
		case again:
			f.report(at+"from", l.name(), fmt.Sprintf("%q", l.From), fmt.Sprintf("with the same end is in links[%d] already", before), "put all that is said of this direction into one entry")
		}
		seen[l.name()] = i
		f.checkRange(at+"bytes", l.name(), l.Bytes, 1, MaxLinkBytes)
		f.checkNames(at+"classes", "name", len(l.Classes), func(i int) string { return l.Classes[i].Name })
		sum := 0.0
		for j, k := range l.Classes {
			at := fmt.Sprintf("%sclasses[%d].", at, j)
			f.checkRange(at+"priority", k.Name, float64(k.Priority), 1, MaxLinkPriority)
			f.checkRange(at+"least", k.Name, k.MinShare, 0, 1)
			f.checkRange(at+"weight", k.Name, k.Weight, 0, MaxWeight)
			sum += k.MinShare
		}
		if sum > 1+1e-9 {
			f.report(at+"classes", l.name(), "", fmt.Sprintf("have least parts of %.4g together", sum), "lower some of them: what is guaranteed can't be more than the link, 1 together")
		}
	}
	if f.first == nil {
		if n := len(Encode(c)); n > MaxTextBytes {
			f.report("", "", n, fmt.Sprintf("bytes as text are more than %d", MaxTextBytes), "say less in one revision: leave out what is as the settings have it")
		}
	}
	return f.err()
}

func (f *validator) checkPlaces(list string, places []Place) {
	for i, p := range places {
		at := fmt.Sprintf("%s[%d].", list, i)
		switch {
		case p.Excluded && p.Weight != 0:
			f.report(at+"weight", p.ID, p.Weight, "is said of what is left out", "leave out one of the two")
		case !p.Excluded && p.Weight == 0:
			f.report(at+"weight", p.ID, "", "is not said, nor that it is left out", "set out: true or a weight; leave the entry out where it is drawn as any other")
		case !p.Excluded && p.Weight > 0 && p.Weight <= 1e-6:
			f.report(at+"weight", p.ID, p.Weight, "is next to nothing", "set out: true")
		}
		f.checkRange(at+"weight", p.ID, p.Weight, 0, MaxWeight)
	}
}

// Check names the first field that doesn't fit a balancer of today: *Unfit, or nil. What is not sound fits none.
func Check(c *Content, today Environment) error {
	if err := Validate(c); err != nil {
		return err
	}
	f := &validator{}
	for i, k := range c.Classes {
		f.checkKnown(fmt.Sprintf("classes[%d].name", i), k.Name, "class", "the settings", today.Classes)
		if k.MaxAttempts > today.MaxAttempts {
			f.report(fmt.Sprintf("classes[%d].attempts", i), k.Name, k.MaxAttempts, fmt.Sprintf("is above the settings' %d", today.MaxAttempts),
				"set %d at most, or raise limits.max-attempts in the settings of all balancers first", today.MaxAttempts)
		}
	}
	for i, t := range c.Tenants {
		f.checkKnown(fmt.Sprintf("tenants[%d].name", i), t.Name, "tenant", "the settings", today.Tenants)
	}
	if !today.HasList && len(c.Servers)+len(c.Zones)+len(c.Links) > 0 {
		field := "regions"
		switch {
		case len(c.Servers) > 0:
		case len(c.Zones) > 0:
			field = "zones"
		default:
			field = "links"
		}
		f.report(field, "", "", "can't be checked: this balancer has had no list of regions so far", "see why discovery doesn't answer it, or wait and propose again")
		f.first.MayChange = true
		return f.err()
	}
	for i, r := range c.Servers {
		f.checkKnown(fmt.Sprintf("regions[%d].id", i), r.ID, "region", "discovery's list", today.Servers)
	}
	for i, z := range c.Zones {
		f.checkKnown(fmt.Sprintf("zones[%d].id", i), z.ID, "zone", "the settings or discovery's list", today.Zones)
	}
	if field := excludesAll(c, today); field != "" {
		f.report(field, "", "", "leave no region for newcomers", "leave at least one listed region in, by its id and by its zone")
	}
	for i, l := range c.Links {
		at := fmt.Sprintf("links[%d].", i)
		f.checkKnown(at+"from", l.From, "zone", "the settings or discovery's list", today.Zones)
		f.checkKnown(at+"to", l.To, "zone", "the settings or discovery's list", today.Zones)
		for j, k := range l.Classes {
			f.checkKnown(fmt.Sprintf("%sclasses[%d].name", at, j), k.Name, "class", "the settings", today.Classes)
		}
	}
	return f.err()
}

// checkKnown holds a name to a list, and says the nearest that is in it.
func (f *validator) checkKnown(field, name, what, where string, list []string) {
	if f.first != nil || slices.Contains(list, name) {
		return
	}
	f.report(field, "", fmt.Sprintf("%q", name), fmt.Sprintf("is no %s of %s", what, where), "%s; or bring the %s back first", suggestion(name, what, list), what)
}

// suggestion says which names there are: the nearest where one is near, else the first few.
func suggestion(name, what string, list []string) string {
	best, least := "", min(3, len(name)/3+1) // a short name is near to all others
	for _, x := range list {
		if d := editDistance(strings.ToLower(name), strings.ToLower(x)); d < least {
			best, least = x, d
		}
	}
	switch {
	case best != "":
		return fmt.Sprintf("take this entry out, or write %q if that is meant", best)
	case len(list) == 0:
		return fmt.Sprintf("take this entry out: there is no %s", what)
	}
	some := slices.Sorted(slices.Values(list))
	more := ""
	if len(some) > 8 {
		some, more = some[:8], fmt.Sprintf(" and %d more", len(list)-8)
	}
	return fmt.Sprintf("take this entry out, or name one that there is: %s%s", strings.Join(some, ", "), more)
}

// editDistance is how many letters have to be changed, put in or taken out to make a into b.
func editDistance(a, b string) int {
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := range len(a) {
		corner := row[0]
		row[0] = i + 1
		for j := range len(b) {
			cost := 1
			if a[i] == b[j] {
				cost = 0
			}
			corner, row[j+1] = row[j+1], min(row[j+1]+1, row[j]+1, corner+cost)
		}
	}
	return row[len(b)]
}

// excludesAll is the field that leaves out the last region that is listed, "" where one stays.
func excludesAll(c *Content, today Environment) string {
	if len(today.Servers) == 0 {
		return ""
	}
	out := map[string]bool{}
	zoned := false
	for _, z := range c.Zones {
		if z.Excluded {
			out["zone/"+z.ID], zoned = true, true
		}
	}
	named := false
	for _, r := range c.Servers {
		if r.Excluded {
			out[r.ID], named = true, true
		}
	}
	for _, id := range today.Servers {
		if !out[id] && !out["zone/"+today.ZoneOf[id]] {
			return ""
		}
	}
	if !named && zoned {
		return "zones"
	}
	return "regions"
}
