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
	MostOrder    = 255 // of a class's worth
	MostPriority = 16  // of a class on a link
	MostWeight   = 100
	MostRetries  = 10.0
	MostSetups   = 1_000_000
	MostMoves    = 10_000.0 // connections a second
	MostBytes    = 1e12     // a second, of a link
	MostNote     = 1000     // bytes
	LeastAim     = time.Millisecond
	MostAim      = time.Hour
)

// Today is what a balancer has now, and a revision has to fit.
type Today struct {
	Classes     []string // of its settings
	Tenants     []string
	Zones       []string // its own, those of its settings, those of its list
	Regions     []string // the ids of its list, whatever their state
	ZoneOf      map[string]string
	Listed      bool // it has had a list; without one nothing can be said of places
	MaxAttempts int
}

// On is what a balancer with these settings and this list has. zones are further ones that its settings name; listed tells
// whether there has been a list at all.
func On(settings policy.Config, zones []string, list []policy.Server, listed bool) Today {
	t := Today{MaxAttempts: settings.MaxAttempts, Listed: listed, ZoneOf: map[string]string{}}
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
		t.Regions = append(t.Regions, s.ID)
		t.ZoneOf[s.ID] = s.Zone
	}
	return t
}

// Unfit is the error that a revision can't be in force: the first field that is at fault, what it holds, why that can't be, and
// what would make it fit.
type Unfit struct {
	Field string // as in the text: "classes[2].aim"; "" for the whole
	Name  string // of the entry, "" where the field is in none
	Value string
	Why   string
	Do    string
	Later bool // it may fit once this balancer knows more: no reason to say no
}

func (e *Unfit) Error() string {
	if e.Field == "" {
		return e.What()
	}
	return e.Field + ": " + e.What()
}

// What is the error without its field.
func (e *Unfit) What() string {
	what := strings.TrimSpace(e.Value + " " + e.Why)
	if e.Name != "" {
		what += fmt.Sprintf(" (of %q)", e.Name)
	}
	return what
}

// Hint is what an operator can do.
func (e *Unfit) Hint() string { return e.Do }

// finder keeps the first fault.
type finder struct{ found *Unfit }

func (f *finder) fault(field, name string, value any, why, do string, args ...any) {
	if f.found == nil {
		f.found = &Unfit{Field: field, Name: name, Value: fmt.Sprint(value), Why: why, Do: fmt.Sprintf(do, args...)}
	}
}

func (f *finder) err() error {
	if f.found == nil {
		return nil
	}
	return f.found
}

// within holds a figure to its bounds.
func (f *finder) within(field, name string, value, least, most float64) {
	switch {
	case value >= least && value <= most:
	default: // also what is no number
		f.fault(field, name, value, fmt.Sprintf("is outside %g to %g", least, most), "set it within %g to %g, or leave it out", least, most)
	}
}

func (f *finder) aim(field, name string, d time.Duration) {
	if d != 0 && (d < LeastAim || d > MostAim) {
		f.fault(field, name, d, fmt.Sprintf("is outside %v to %v", LeastAim, MostAim), "set a time within %v to %v, or leave it out for the settings'", LeastAim, MostAim)
	}
}

// names holds a list's names to being there once each.
func (f *finder) names(list, field string, n int, name func(int) string) {
	seen := make(map[string]int, n)
	for i := range n {
		at := fmt.Sprintf("%s[%d].%s", list, i, field)
		x := name(i)
		switch before, again := seen[x]; {
		case x == "":
			f.fault(at, "", "", "is empty", "name it, or leave the entry out")
		case !plain(x, 256):
			f.fault(at, "", fmt.Sprintf("%.64q", x), "is no name", "use at most 256 bytes of printable text without spaces")
		case again:
			f.fault(at, "", fmt.Sprintf("%q", x), fmt.Sprintf("is in %s[%d] already", list, before), "put all that is said of it into one entry")
		}
		seen[x] = i
	}
}

func plain(s string, most int) bool {
	return len(s) <= most && utf8.ValidString(s) && !strings.ContainsFunc(s, func(r rune) bool { return r <= ' ' || r == 0x7f })
}

// Sound names the first field that can't be whatever the settings are: *Unfit, or nil.
func Sound(c *Content) error {
	f := &finder{}
	if c.Form != Form {
		f.fault("oatloft_revision", "", c.Form, "is another form", "write it by this version's oatctl, which writes form %d", Form)
	}
	if len(c.Note) > MostNote || !utf8.ValidString(c.Note) || strings.ContainsFunc(c.Note, func(r rune) bool { return r < ' ' || r == 0x7f }) {
		f.fault("note", "", fmt.Sprintf("%.64q", c.Note), "is no note", "use one line of at most %d bytes", MostNote)
	}
	f.names("classes", "name", len(c.Classes), func(i int) string { return c.Classes[i].Name })
	f.names("tenants", "name", len(c.Tenants), func(i int) string { return c.Tenants[i].Name })
	f.names("regions", "id", len(c.Regions), func(i int) string { return c.Regions[i].ID })
	for i, r := range c.Regions {
		if strings.HasPrefix(r.ID, Zone) {
			f.fault(fmt.Sprintf("regions[%d].id", i), "", fmt.Sprintf("%q", r.ID), "is how a zone is named within", "put zones into zones, by their names alone")
		}
	}
	f.names("zones", "id", len(c.Zones), func(i int) string { return c.Zones[i].ID })
	for i, k := range c.Classes {
		at := fmt.Sprintf("classes[%d].", i)
		f.within(at+"order", k.Name, float64(k.Order), 0, MostOrder)
		f.aim(at+"aim", k.Name, k.Aim)
		f.aim(at+"message_aim", k.Name, k.MessageAim)
		f.within(at+"attempts", k.Name, float64(k.Attempts), 0, math.MaxInt32)
	}
	for i, t := range c.Tenants {
		f.within(fmt.Sprintf("tenants[%d].connections", i), t.Name, t.Connections, 0, 1e9)
	}
	f.places("regions", c.Regions)
	f.places("zones", c.Zones)
	f.within("budgets.retries", "", c.Budgets.Retries, 0, MostRetries)
	f.within("budgets.setups", "", float64(c.Budgets.Setups), 0, MostSetups)
	f.within("budgets.cold", "", c.Budgets.Cold, 0, 1)
	f.within("moves.per_second", "", c.Moves.PerSecond, 0, MostMoves)
	seen := map[string]int{}
	for i, l := range c.Links {
		at := fmt.Sprintf("links[%d].", i)
		before, again := seen[l.name()]
		switch {
		case l.From == "" || !plain(l.From, 256):
			f.fault(at+"from", "", fmt.Sprintf("%.64q", l.From), "is no zone", "name the zone that the bytes leave")
		case l.To == "" || !plain(l.To, 256):
			f.fault(at+"to", "", fmt.Sprintf("%.64q", l.To), "is no zone", "name the zone that the bytes come to")
		case l.From == l.To:
			f.fault(at+"to", l.name(), fmt.Sprintf("%q", l.To), "is where it begins", "name another zone: bytes within one are not bounded")
		case again:
			f.fault(at+"from", l.name(), fmt.Sprintf("%q", l.From), fmt.Sprintf("with the same end is in links[%d] already", before), "put all that is said of this direction into one entry")
		}
		seen[l.name()] = i
		f.within(at+"bytes", l.name(), l.Bytes, 1, MostBytes)
		f.names(at+"classes", "name", len(l.Classes), func(i int) string { return l.Classes[i].Name })
		sum := 0.0
		for j, k := range l.Classes {
			at := fmt.Sprintf("%sclasses[%d].", at, j)
			f.within(at+"priority", k.Name, float64(k.Priority), 1, MostPriority)
			f.within(at+"least", k.Name, k.Least, 0, 1)
			f.within(at+"weight", k.Name, k.Weight, 0, MostWeight)
			sum += k.Least
		}
		if sum > 1+1e-9 {
			f.fault(at+"classes", l.name(), "", fmt.Sprintf("have least parts of %.4g together", sum), "lower some of them: what is guaranteed can't be more than the link, 1 together")
		}
	}
	if f.found == nil {
		if n := len(Encode(c)); n > MostText {
			f.fault("", "", n, fmt.Sprintf("bytes as text are more than %d", MostText), "say less in one revision: leave out what is as the settings have it")
		}
	}
	return f.err()
}

func (f *finder) places(list string, places []Place) {
	for i, p := range places {
		at := fmt.Sprintf("%s[%d].", list, i)
		switch {
		case p.Out && p.Weight != 0:
			f.fault(at+"weight", p.ID, p.Weight, "is said of what is left out", "leave out one of the two")
		case !p.Out && p.Weight == 0:
			f.fault(at+"weight", p.ID, "", "is not said, nor that it is left out", "set out: true or a weight; leave the entry out where it is drawn as any other")
		case !p.Out && p.Weight > 0 && p.Weight <= 1e-6:
			f.fault(at+"weight", p.ID, p.Weight, "is next to nothing", "set out: true")
		}
		f.within(at+"weight", p.ID, p.Weight, 0, MostWeight)
	}
}

// Check names the first field that doesn't fit a balancer of today: *Unfit, or nil. What is not sound fits none.
func Check(c *Content, today Today) error {
	if err := Sound(c); err != nil {
		return err
	}
	f := &finder{}
	for i, k := range c.Classes {
		f.known(fmt.Sprintf("classes[%d].name", i), k.Name, "class", "the settings", today.Classes)
		if k.Attempts > today.MaxAttempts {
			f.fault(fmt.Sprintf("classes[%d].attempts", i), k.Name, k.Attempts, fmt.Sprintf("is above the settings' %d", today.MaxAttempts),
				"set %d at most, or raise limits.max-attempts in the settings of all balancers first", today.MaxAttempts)
		}
	}
	for i, t := range c.Tenants {
		f.known(fmt.Sprintf("tenants[%d].name", i), t.Name, "tenant", "the settings", today.Tenants)
	}
	if !today.Listed && len(c.Regions)+len(c.Zones)+len(c.Links) > 0 {
		field := "regions"
		switch {
		case len(c.Regions) > 0:
		case len(c.Zones) > 0:
			field = "zones"
		default:
			field = "links"
		}
		f.fault(field, "", "", "can't be checked: this balancer has had no list of regions so far", "see why discovery doesn't answer it, or wait and propose again")
		f.found.Later = true
		return f.err()
	}
	for i, r := range c.Regions {
		f.known(fmt.Sprintf("regions[%d].id", i), r.ID, "region", "discovery's list", today.Regions)
	}
	for i, z := range c.Zones {
		f.known(fmt.Sprintf("zones[%d].id", i), z.ID, "zone", "the settings or discovery's list", today.Zones)
	}
	if field := allOut(c, today); field != "" {
		f.fault(field, "", "", "leave no region for newcomers", "leave at least one listed region in, by its id and by its zone")
	}
	for i, l := range c.Links {
		at := fmt.Sprintf("links[%d].", i)
		f.known(at+"from", l.From, "zone", "the settings or discovery's list", today.Zones)
		f.known(at+"to", l.To, "zone", "the settings or discovery's list", today.Zones)
		for j, k := range l.Classes {
			f.known(fmt.Sprintf("%sclasses[%d].name", at, j), k.Name, "class", "the settings", today.Classes)
		}
	}
	return f.err()
}

// known holds a name to a list, and says the nearest that is in it.
func (f *finder) known(field, name, what, where string, list []string) {
	if f.found != nil || slices.Contains(list, name) {
		return
	}
	f.fault(field, "", fmt.Sprintf("%q", name), fmt.Sprintf("is no %s of %s", what, where), "%s; or bring the %s back first", instead(name, what, list), what)
}

// instead says which names there are: the nearest where one is near, else the first few.
func instead(name, what string, list []string) string {
	best, least := "", min(3, len(name)/3+1) // a short name is near to all others
	for _, x := range list {
		if d := apart(strings.ToLower(name), strings.ToLower(x)); d < least {
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

// apart is how many letters have to be changed, put in or taken out to make a into b.
func apart(a, b string) int {
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

// allOut is the field that leaves out the last region that is listed, "" where one stays.
func allOut(c *Content, today Today) string {
	if len(today.Regions) == 0 {
		return ""
	}
	out := map[string]bool{}
	zoned := false
	for _, z := range c.Zones {
		if z.Out {
			out["zone/"+z.ID], zoned = true, true
		}
	}
	named := false
	for _, r := range c.Regions {
		if r.Out {
			out[r.ID], named = true, true
		}
	}
	for _, id := range today.Regions {
		if !out[id] && !out["zone/"+today.ZoneOf[id]] {
			return ""
		}
	}
	if !named && zoned {
		return "zones"
	}
	return "regions"
}
