package revision

import (
	"encoding/json"
	"errors"
	"math/rand/v2"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"oatloft/internal/hint"
	"oatloft/policy"
)

var (
	classNames      = []string{"bulk", "gold", "silver", "sw\u00e4hili", "\U0001f98a"}
	zoneNames       = []string{"nrb", "mba", "ksm"}
	testEnvironment = Environment{
		Classes:          classNames,
		Tenants:          []string{"t1", "t2"},
		Zones:            zoneNames,
		Servers:          []string{"r1", "r2", "r3"},
		HasDiscoveryList: true,
		MaxAttempts:      6,
		ZoneOf:           map[string]string{"r1": "nrb", "r2": "mba", "r3": "nrb"},
	}
)

// generateContent generates a revision that is compatible with testEnvironment.
func generateContent(t *rapid.T) *Content {
	c := &Content{
		FormatVersion: FormatVersion,
		Note:          rapid.SampledFrom([]string{"", "a  \"b\" <c> & d\\", "w\u012bki \U0001f98a"}).Draw(t, "note"),
	}
	subset := func(names []string, what string) []string {
		return rapid.SliceOfNDistinct(rapid.SampledFrom(names), 0, len(names), rapid.ID).Draw(t, what)
	}
	objective := rapid.Custom(func(t *rapid.T) time.Duration {
		return time.Duration(
			rapid.SampledFrom([]int64{0, int64(MinObjective), 1500001, 3e8, int64(MaxObjective)}).Draw(t, "aim"),
		)
	})
	weight := func() float64 { return rapid.Float64Range(1e-5, MaxWeight).Draw(t, "weight") }
	for _, n := range subset(classNames, "classes") {
		c.Classes = append(
			c.Classes,
			Class{
				n,
				rapid.IntRange(0, MaxPriorityRank).Draw(t, "order"),
				objective.Draw(t, "aim"),
				objective.Draw(t, "message"),
				rapid.IntRange(0, 6).Draw(t, "attempts"),
			},
		)
	}
	for _, n := range subset(testEnvironment.Tenants, "tenants") {
		c.Tenants = append(c.Tenants, Tenant{n, rapid.Float64Range(0, 1e9).Draw(t, "connections")})
	}
	for _, n := range subset([]string{"r1", "r2"}, "regions") {
		if rapid.Bool().Draw(t, "out") {
			c.Servers = append(c.Servers, Placement{ID: n, Excluded: true})
		} else {
			c.Servers = append(c.Servers, Placement{ID: n, Weight: weight()})
		}
	}
	for _, n := range subset([]string{"mba", "ksm"}, "zones") {
		c.Zones = append(c.Zones, Placement{ID: n, Excluded: true})
	}
	c.Budgets = Budgets{
		rapid.Float64Range(0, MaxRetryRatio).Draw(t, "retries"),
		rapid.IntRange(0, MaxPendingAttempts).Draw(t, "setups"),
		rapid.Float64Range(0, 1).Draw(t, "cold"),
	}
	c.Migration.PerSecond = rapid.Float64Range(0, MaxMigrationsPerSecond).Draw(t, "moves")
	c.Links = generateLinks(t, subset)
	return c
}

// generateLinks generates links from zone nrb.
func generateLinks(t *rapid.T, subset func(names []string, what string) []string) (links []Link) {
	for _, to := range subset(zoneNames[1:], "links") {
		l := Link{From: "nrb", To: to, Bytes: rapid.Float64Range(1, MaxLinkBytes).Draw(t, "bytes")}
		for _, n := range subset(classNames, "of link") {
			l.Classes = append(
				l.Classes,
				LinkClass{
					n,
					rapid.IntRange(1, MaxLinkPriority).Draw(t, "priority"),
					rapid.Float64Range(0, 0.2).Draw(t, "least"),
					rapid.Float64Range(0, MaxWeight).Draw(t, "weight"),
				},
			)
		}
		links = append(links, l)
	}
	return links
}

// shuffled returns a copy of c with every list in random order.
func shuffled(c *Content, seed uint64) *Content {
	r := rand.New(rand.NewPCG(seed, 1))
	o := normalized(c)
	swap := func(list any) { r.Shuffle(reflect.ValueOf(list).Len(), reflect.Swapper(list)) }
	swap(o.Classes)
	swap(o.Tenants)
	swap(o.Servers)
	swap(o.Zones)
	swap(o.Links)
	for _, l := range o.Links {
		swap(l.Classes)
	}
	return o
}

// TestEncodeDecode checks that a revision survives encoding as printable ASCII. The order of entries must not change
// its hash or diff, and any other difference must.
func TestEncodeDecode(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := generateContent(t)
		text := Encode(c)
		if i := strings.IndexFunc(string(text), func(r rune) bool { return r < ' ' || r > '~' }); i >= 0 {
			t.Fatalf("%q", text)
		}
		decoded, err := Decode(text)
		if diff := cmp.Diff(c, decoded); err != nil || diff != "" {
			t.Fatalf("%v\n%s\n%s", err, text, diff)
		}
		o := shuffled(c, rapid.Uint64().Draw(t, "seed"))
		if Hash(o) != Hash(c) || len(Diff(c, o)) > 0 {
			t.Fatalf("the order of entries changes the revision: %v", Diff(c, o))
		}
		if err := Check(c, testEnvironment); err != nil {
			t.Fatal(err)
		}
		other := generateContent(t)
		if equalHashes := Hash(other) == Hash(c); equalHashes != (len(Diff(c, other)) == 0) ||
			len(Diff(c, other)) != len(Diff(other, c)) {
			t.Fatalf("hashes equal: %v, but the differences are %v", equalHashes, Diff(c, other))
		}
	})
}

// TestDecodeErrors checks that invalid texts are rejected with a one-line error that names the cause.
func TestDecodeErrors(t *testing.T) {
	for text, want := range map[string]string{
		"": "EOF", "{": "EOF", "null": "format version 0", "[]": "array instead of", "{}": "format version 0",
		`{"oatloft_revision":2}`:                                             "format version 2",
		`{"oatloft_revision":1} {}`:                                          "unexpected data after",
		`{"oatloft_revision":1,"colour":"red"}`:                              `unknown field "colour"`,
		`{"oatloft_revision":1,"classes":[{"name":"a","aim":"300ms"}]}`:      "classes.aim: string instead of",
		`{"oatloft_revision":1,"note":"a","note":"b"}`:                       `duplicate field "note"`,
		`{"oatloft_revision":1,"note":"a","Note":"b"}`:                       `duplicate field "Note"`,
		`{"oatloft_revision":1,"zones":[{"id":"a","id":"b"}]}`:               `duplicate field "id"`,
		`{"oatloft_revision":1,"note":"` + strings.Repeat("x", MaxTextBytes): "more than",
	} {
		_, err := Decode([]byte(text))
		var e *MalformedText
		if !errors.As(err, &e) || !strings.Contains(err.Error(), want) || strings.Contains(err.Error(), "\n") ||
			hint.Of(err) == "" {
			t.Errorf("%.60s: %v", text, err)
		}
	}
	for _, text := range []string{
		`{"oatloft_revision":1}`,
		` {"note":"note","oatloft_revision":1,"zones":[{"id":"id"},{"id":"id"}]} `,
	} {
		if _, err := Decode([]byte(text)); err != nil {
			t.Errorf("%s: %v", text, err)
		}
	}
}

// incompatibilities lists changes that make a revision incompatible, with the expected field, problem and remedy.
var incompatibilities = []struct {
	alter                  func(c *Content, d *Environment)
	field, problem, remedy string
}{
	{
		func(c *Content, _ *Environment) { c.FormatVersion = 2 },
		"oatloft_revision",
		"not a supported format version",
		"format version 1",
	},
	{func(c *Content, _ *Environment) { c.Note = "a\nb" }, "note", "not a valid note", "one line"},
	{
		func(c *Content, _ *Environment) { c.Note = strings.Repeat("x", MaxNoteBytes+1) },
		"note",
		"not a valid note",
		"1000",
	},
	{func(c *Content, _ *Environment) { c.Classes[1].Name = "golf" }, "classes[1].name", "not a class", `write "gold"`},
	{
		func(c *Content, _ *Environment) { c.Classes[1].Name = "gold" },
		"classes[1].name",
		"already in classes[0]",
		"one entry",
	},
	{func(c *Content, _ *Environment) { c.Classes[0].Name = "" }, "classes[0].name", "empty", "set a name"},
	{
		func(c *Content, _ *Environment) { c.Classes[0].Name = "a b" },
		"classes[0].name",
		"not a valid name",
		"without spaces",
	},
	{
		func(c *Content, _ *Environment) { c.Classes[1].PriorityRank = 256 },
		"classes[1].order",
		"outside 0 to 255",
		"leave it out",
	},
	{func(c *Content, _ *Environment) { c.Classes[1].LatencyObjective = 5 }, "classes[1].aim", "5ns is outside", "1ms"},
	{
		func(c *Content, _ *Environment) { c.Classes[1].MessageLatencyObjective = -1 },
		"classes[1].message_aim",
		"outside",
		"1h",
	},
	{
		func(c *Content, _ *Environment) { c.Classes[1].MaxAttempts = 7 },
		"classes[1].attempts",
		"above the settings' 6",
		"set at most 6",
	},
	{func(c *Content, _ *Environment) { c.Classes[1].MaxAttempts = -1 }, "classes[1].attempts", "outside", "leave it out"},
	{func(c *Content, _ *Environment) { c.Tenants[0].Name = "nobody" }, "tenants[0].name", "not a tenant", "t1, t2"},
	{func(c *Content, _ *Environment) { c.Tenants[0].ConnectionQuota = -1 }, "tenants[0].connections", "outside", "0"},
	{func(c *Content, d *Environment) { d.Tenants = nil }, "tenants[0].name", "not a tenant", "there is no tenant"},
	{
		func(c *Content, _ *Environment) { c.Servers[0].ID = "r9" },
		"regions[0].id",
		"not a region in discovery's list",
		"r1, r2, r3; or restore the region",
	},
	{
		func(c *Content, d *Environment) { d.Servers = d.Servers[1:] },
		"regions[0].id",
		"not a region",
		"restore the region",
	},
	{
		func(c *Content, _ *Environment) { c.Servers[0].ID = "zone/nrb" },
		"regions[0].id",
		"prefix reserved for zones",
		"in zones",
	},
	{
		func(c *Content, _ *Environment) { c.Servers[0].Weight = 1 },
		"regions[0].weight",
		"set on an excluded entry",
		"one of the two",
	},
	{func(c *Content, _ *Environment) { c.Servers[0].Excluded = false }, "regions[0].weight", "not set, and", "out: true"},
	{func(c *Content, _ *Environment) { c.Zones[0].Weight = 101 }, "zones[0].weight", "outside", "100"},
	{func(c *Content, _ *Environment) { c.Zones[0].Weight = -1 }, "zones[0].weight", "outside", "100"},
	{func(c *Content, _ *Environment) { c.Zones[0].ID = "mbs" }, "zones[0].id", "not a zone", `"mba"`},
	{func(c *Content, _ *Environment) {
		c.Servers = append(c.Servers, Placement{ID: "r2", Excluded: true}, Placement{ID: "r3", Excluded: true})
	}, "regions", "exclude every listed region", "at least one"},
	{func(c *Content, _ *Environment) {
		c.Servers = nil
		c.Zones = []Placement{{ID: "mba", Excluded: true}, {ID: "nrb", Excluded: true}}
	}, "zones", "exclude every listed region", "at least one"},
	{func(c *Content, _ *Environment) {
		c.Zones = []Placement{{ID: "mba", Excluded: true}}
		c.Servers = append(c.Servers, Placement{ID: "r3", Excluded: true})
	}, "regions", "exclude every listed region", "by its zone"},
	{func(c *Content, d *Environment) { d.HasDiscoveryList = false },
		"regions", "not received a discovery list", "discovery"},
	{func(c *Content, _ *Environment) { c.Budgets.RetryRatio = 11 }, "budgets.retries", "outside", "10"},
	{func(c *Content, _ *Environment) { c.Budgets.MaxPendingAttempts = -1 }, "budgets.setups", "outside", "0"},
	{func(c *Content, _ *Environment) { c.Budgets.WarmUpShare = 1.5 }, "budgets.cold", "outside", "1"},
	{func(c *Content, _ *Environment) { c.Migration.PerSecond = -3 }, "moves.per_second", "outside", "0"},
	{func(c *Content, _ *Environment) { c.Links[0].Bytes = 0 }, "links[0].bytes", "outside", "1"},
	{
		func(c *Content, _ *Environment) { c.Links[0].To = "nrb" },
		"links[0].to",
		"also the zone that the link starts from",
		"another zone",
	},
	{func(c *Content, _ *Environment) { c.Links[0].From = "xyz" }, "links[0].from", "not a zone", "ksm, mba, nrb"},
	{
		func(c *Content, _ *Environment) { c.Links = append(c.Links, c.Links[0]) },
		"links[1].from",
		"already in links[0]",
		"one entry",
	},
	{
		func(c *Content, _ *Environment) { c.Links[0].Classes[0].MinShare = 0.6 },
		"links[0].classes",
		"sum to 1.1",
		"lower",
	},
	{
		func(c *Content, _ *Environment) { c.Links[0].Classes[0].MinShare = -0.6 },
		"links[0].classes[0].least",
		"outside",
		"1",
	},
	{
		func(c *Content, _ *Environment) { c.Links[0].Classes[0].Priority = 0 },
		"links[0].classes[0].priority",
		"outside 1 to 16",
		"1",
	},
	{func(c *Content, _ *Environment) { c.Links[0].Classes[0].Weight = -1 }, "links[0].classes[0].weight", "outside", "1"},
	{
		func(c *Content, _ *Environment) { c.Links[0].Classes[0].Name = "x" },
		"links[0].classes[0].name",
		"not a class",
		"bulk",
	},
	{
		func(c *Content, _ *Environment) { c.Links[0].Classes[1].Name = "gold" },
		"links[0].classes[1].name",
		"links[0].classes[0]",
		"one entry",
	},
}

// TestCheckErrors checks that Check names the first incompatible field, the problem and the remedy.
func TestCheckErrors(t *testing.T) {
	compatible := Content{
		FormatVersion: FormatVersion,
		Classes:       []Class{{Name: "gold"}, {Name: "bulk"}},
		Tenants:       []Tenant{{Name: "t1"}},
		Servers:       []Placement{{ID: "r1", Excluded: true}},
		Zones: []Placement{
			{ID: "mba", Weight: 2},
		},
		Links: []Link{{"nrb", "mba", 20000, []LinkClass{{"gold", 1, 0.5, 1}, {"bulk", 2, 0.5, 0}}}},
	}
	if err := Check(&compatible, testEnvironment); err != nil {
		t.Fatal(err)
	}
	for _, x := range incompatibilities {
		c, err := Decode(Encode(&compatible))
		if err != nil {
			t.Fatal(err)
		}
		d := testEnvironment
		x.alter(c, &d)
		var e *Incompatible
		if err := Check(c, d); !errors.As(err, &e) || e.Field != x.field || !strings.Contains(err.Error(), x.problem) ||
			!strings.Contains(hint.Of(err), x.remedy) ||
			strings.Contains(hint.Line(err), "%!") {
			t.Errorf("%s: %v; want %s, %s", x.field, hint.Line(err), x.problem, x.remedy)
		}
	}
	oversized := Content{FormatVersion: FormatVersion}
	for i := range 5000 {
		oversized.Servers = append(
			oversized.Servers,
			Placement{ID: strings.Repeat("r", 20) + string(rune('a'+i%26)) + strings.Repeat("x", i/26), Excluded: true},
		)
	}
	if err := Validate(&oversized); err == nil {
		t.Error("a revision longer than MaxTextBytes is accepted")
	}
}

// TestNewEnvironment checks the environment that results from settings and a discovery list.
func TestNewEnvironment(t *testing.T) {
	d := NewEnvironment(
		policy.Config{
			Zone:        "nrb",
			MaxAttempts: 3,
			Classes:     []policy.Class{{Name: "gold"}},
			Tenants:     []policy.Tenant{{Name: "t1"}},
		},
		[]string{"nrb", "ksm"},
		[]policy.Server{
			{ID: "r1", Zone: "mba"},
			{ID: "r2", Zone: "mba", State: policy.Draining},
			{ID: "r3", Zone: "xyz", State: policy.Gone},
		},
		true,
	)
	want := Environment{
		[]string{"gold"},
		[]string{"t1"},
		[]string{"nrb", "ksm", "mba"},
		[]string{"r1", "r2"},
		map[string]string{"r1": "mba", "r2": "mba"},
		true,
		3,
	}
	if diff := cmp.Diff(want, d); diff != "" {
		t.Fatal(diff)
	}
}

// overlayBase returns the settings to which the tests apply revisions.
func overlayBase() policy.Config {
	return policy.Config{
		Zone:                "nrb",
		MaxAttempts:         6,
		RetryRatio:          0.5,
		MaxPendingAttempts:  9,
		WarmUpBudgetShare:   0.3,
		MigrationsPerSecond: 2,
		Weights:             map[string]float64{"r3": 3},
		Classes: []policy.Class{
			{Name: "gold", LatencyObjective: time.Second, MessageLatencyObjective: 7, PriorityRank: 4, MaxAttempts: 2},
			{Name: "bulk", LatencyObjective: time.Minute},
		},
		Tenants: []policy.Tenant{{Name: "t1", ConnectionQuota: 100}, {Name: "t2"}},
	}
}

// TestOverlay checks that an empty revision changes nothing, that Overlay is idempotent and independent of the order of
// entries, and that it does not modify its input.
func TestOverlay(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b, c := overlayBase(), generateContent(t)
		if diff := cmp.Diff(overlayBase(),
			Overlay(b, &Content{FormatVersion: FormatVersion, Note: c.Note, Links: c.Links})); diff != "" {
			t.Fatalf("an empty revision changed the settings: %s", diff)
		}
		overlaid := Overlay(b, c)
		if !cmp.Equal(b, overlayBase()) {
			t.Fatal("the input settings were modified")
		}
		if other := Overlay(overlayBase(), shuffled(c, 3)); !cmp.Equal(overlaid, other) ||
			!cmp.Equal(overlaid, Overlay(overlaid, c)) {
			t.Fatal("the order of entries or a second Overlay changes the result")
		}
		if again := Overlay(overlaid, &Content{FormatVersion: FormatVersion}); !cmp.Equal(overlaid, again) {
			t.Fatal("an empty revision changed the settings of another one")
		}
		if len(overlaid.Classes) != 2 || len(overlaid.Tenants) != 2 || overlaid.Classes[0].MaxAttempts > 2 {
			t.Fatalf("%+v", overlaid)
		}
	})
}

// TestOverlayEachField checks that each field of a revision replaces the field of the settings.
func TestOverlayEachField(t *testing.T) {
	got := Overlay(
		overlayBase(),
		&Content{
			FormatVersion: FormatVersion,
			Classes:       []Class{{"bulk", 9, 2, 3, 4}, {"gold", 0, 0, 0, 1}, {Name: "lost", PriorityRank: 1}},
			Tenants:       []Tenant{{"t1", 0}, {"t2", 8}, {"t3", 1}},
			Servers: []Placement{
				{ID: "r1", Excluded: true},
				{ID: "r3", Weight: 0.5},
			},
			Zones:     []Placement{{ID: "mba", Excluded: true}},
			Budgets:   Budgets{0.1, 5, 0.2},
			Migration: Migration{1},
		},
	)
	want := overlayBase()
	want.Classes = []policy.Class{
		{Name: "gold", LatencyObjective: time.Second, MessageLatencyObjective: 7, PriorityRank: 4, MaxAttempts: 1},
		{Name: "bulk", LatencyObjective: 2, MessageLatencyObjective: 3, PriorityRank: 9, MaxAttempts: 4},
	}
	want.Tenants = []policy.Tenant{{Name: "t1"}, {Name: "t2", ConnectionQuota: 8}}
	want.RetryRatio, want.MaxPendingAttempts, want.WarmUpBudgetShare, want.MigrationsPerSecond = 0.1, 5, 0.2, 1
	want.Weights = map[string]float64{"r1": 0, "r3": 0.5, "zone/mba": 0}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Fatal(diff)
	}
}

// FuzzDecode checks that every text that Decode accepts is JSON and keeps its hash when encoded again.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"oatloft_revision":1,"note":"a","zones":[{"id":"a","out":true}]}`))
	f.Add([]byte(`{"a":[[{}],{"b":1}]}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		c, err := Decode(text)
		if err != nil {
			return
		}
		if !json.Valid(text) {
			t.Fatal("decoded a text that is not valid JSON")
		}
		again, err := Decode(Encode(c))
		if err != nil || Hash(again) != Hash(c) {
			t.Fatalf("%v: %s was encoded again as %s", err, text, Encode(c))
		}
	})
}
