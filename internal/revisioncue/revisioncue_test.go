package revisioncue

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"oatloft/internal/hint"
	"oatloft/internal/revision"
)

const sample = `note: "bulk last, mba drained"
classes: [
	{name: "gold", order: 1, aim: "300ms", attempts: 3},
	{name: "bulk", order: 2, message_aim: "1.5s"},
]
tenants: [{name: "t1", connections: 5000}]
regions: [{id: "r-7", out: true}]
zones: [{id: "mba", weight: 0.25}]
budgets: {retries: 0.2, setups: 100, cold: 0.5}
moves: per_second: 2
links: [{from: "nrb", to: "mba", bytes: 20_000, classes: [` +
	`{name: "gold", priority: 1, least: 0.5}, {name: "bulk", priority: 2}]}]
`

func TestParse(t *testing.T) {
	c, err := Parse("x.cue", []byte(sample))
	if err != nil {
		t.Fatal(err)
	}
	want := &revision.Content{
		FormatVersion: 1,
		Note:          "bulk last, mba drained",
		Classes: []revision.Class{
			{Name: "gold", PriorityRank: 1, LatencyObjective: 300 * time.Millisecond, MaxAttempts: 3},
			{Name: "bulk", PriorityRank: 2, MessageLatencyObjective: 1500 * time.Millisecond},
		},
		Tenants:   []revision.Tenant{{Name: "t1", ConnectionQuota: 5000}},
		Servers:   []revision.Placement{{ID: "r-7", Excluded: true}},
		Zones:     []revision.Placement{{ID: "mba", Weight: 0.25}},
		Budgets:   revision.Budgets{RetryRatio: 0.2, MaxPendingAttempts: 100, WarmUpShare: 0.5},
		Migration: revision.Migration{PerSecond: 2},
		Links: []revision.Link{{From: "nrb", To: "mba", Bytes: 20000, Classes: []revision.LinkClass{
			{Name: "gold", Priority: 1, MinShare: 0.5, Weight: 1},
			{Name: "bulk", Priority: 2, Weight: 1},
		}}},
	}
	if diff := cmp.Diff(want, c); diff != "" {
		t.Fatal(diff)
	}
	if again, err := Parse("x.json", revision.Encode(c)); err != nil || !cmp.Equal(again, c) {
		t.Errorf("as balancers write it: %v %s", err, cmp.Diff(c, again))
	}
	for _, empty := range []string{"", "{}", "\n// nothing\n"} {
		if c, err := Parse("x.cue", []byte(empty)); err != nil ||
			revision.Hash(c) != revision.Hash(&revision.Content{FormatVersion: revision.FormatVersion}) {
			t.Errorf("%q: %v", empty, err)
		}
	}
}

// Parse returns the content that Format was given, for generated contents.
func TestFormat(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := func() time.Duration {
			return time.Duration(rapid.Int64Range(int64(revision.MinObjective), int64(revision.MaxObjective)).Draw(t, "aim"))
		}
		c := &revision.Content{
			FormatVersion: revision.FormatVersion,
			Note:          rapid.StringMatching(`[ -~]{0,40}`).Draw(t, "note"),
			Classes: []revision.Class{
				{Name: "gold", LatencyObjective: d(), MessageLatencyObjective: d().Round(time.Second)},
			},
			Tenants: []revision.Tenant{{Name: "if"}},
			Servers: []revision.Placement{{
				ID:     rapid.StringMatching(`[!-~]{1,12}`).Draw(t, "id"),
				Weight: rapid.Float64Range(1e-5, 100).Draw(t, "weight"),
			}},
			Zones:   []revision.Placement{{ID: "mba", Excluded: true}},
			Budgets: revision.Budgets{WarmUpShare: rapid.Float64Range(0, 1).Draw(t, "cold")},
			Links: []revision.Link{{
				From:    "a",
				To:      "b",
				Bytes:   rapid.Float64Range(1, 1e12).Draw(t, "bytes"),
				Classes: []revision.LinkClass{{Name: "gold", Priority: 3, Weight: 1}},
			}},
		}
		text := Format(c)
		back, err := Parse("x.cue", text)
		if diff := cmp.Diff(c, back); err != nil || diff != "" {
			t.Fatalf("%v\n%s\n%s", err, text, diff)
		}
	})
}

// A fault contains its file, line, column, field and hint.
func TestFaults(t *testing.T) {
	for text, want := range map[string]string{
		"classes: [\n\t{name: \"a\", order: 0},\n]": "x.cue:2:21: classes[0].order: invalid value 0 " +
			"(out of bound >=1); do: see",
		"\nclases: []":                     "x.cue:2:1: clases: field not allowed; do: take the field out",
		`classes: [{name: "a", aim: "5"}]`: `x.cue:1:28: classes[0].aim: invalid value "5" (out of bound`,
		`classes: [{name: "a", aim: "0.5ms"}]`: `x.cue:1:23: classes[0].aim: 500µs is outside 1ms to 1h0m0s ` +
			`(of "a"); do: set a time`,
		`classes: [{name: "a", aim: "0s"}]`: `x.cue:1:23: classes[0].aim: 1ns is outside`,
		`classes: [{name: "a", aim: "999999999h"}]`: `x.cue:1:23: classes[0].aim: "999999999h" is too long; ` +
			`do: set a time`,
		`classes: [{aim: "5s"}]`: `classes[0].name: incomplete value`,
		"classes: [{name: \"a\"},\n {name: \"a\"}]": `x.cue:2:3: classes[1].name: "a" is already ` +
			`in classes[0]; do: combine`,
		"regions: [{id: \"a\", out: true,\n weight: 2}]": `x.cue:2:2: regions[0].weight: 2 is set on an excluded entry`,
		"zones: [{id: \"b\"}]":                           `x.cue:1:9: zones[0].weight: is not set, and the entry is not excluded`,
		`tenants: [{name: "t", connections: -1}]`:        "x.cue:1:36: tenants[0].connections: invalid value -1",
		`budgets: setups: 1.5`:                           "x.cue:1:18: budgets.setups: ",
		`budgets: retries: "x"`:                          "x.cue:1:19: budgets.retries: conflicting values",
		`links: [{from: "a", to: "a", bytes: 5}]`:        `x.cue:1:21: links[0].to: "a" is also the zone that the link starts from (of "a>a")`,
		`links: [{from: "a", to: "b", bytes: 0}]`:        "x.cue:1:37: links[0].bytes: invalid value 0",
		`links: [{from: "a", to: "b"}]`:                  "links[0].bytes: incomplete value",

		`links: [{from: "a", to: "b", bytes: 5, classes: [{name: "x", least: 0.6}, {name: "y", least: 0.6}]}]`: `x.cue:` +
			`1:40: links[0].classes: have minimum shares (least) that sum to 1.2`,
		`links: [{from: "a", to: "b", bytes: 5, classes: [{name: "x", least: 1.6}]}]`: "x.cue:1:69: " +
			"links[0].classes[0].least: ",

		"classes: [":          "x.cue:1:11: expected",
		"[1]":                 "x.cue:1:1: no fields",
		"oatloft_revision: 1": "oatloft_revision: field not allowed",
		`{"oatloft_revision":1,"zones":[{"id":"a"}]}`: "x.cue: zones[0].weight: is not set, and the entry is not excluded",
		`{"oatloft_revision":2}`:                      "x.cue: invalid revision text: oatloft_revision: format version 2",
		strings.Repeat(" ", MaxBytes+1):               "more than",
	} {
		_, err := Parse("x.cue", []byte(text))
		var all Faults
		var one Fault
		if !errors.As(err, &all) || !errors.As(err, &one) || !strings.Contains(hint.Line(err), want) ||
			one.Remedy == "" || strings.Contains(hint.Line(err), "%!") {
			t.Errorf("%.80q: %s\nwant %s", text, hint.Line(err), want)
		}
	}
}

// Position finds the field that a balancer's answer names in the operator's own file.
func TestPosition(t *testing.T) {
	c, err := Parse("x.cue", []byte(sample))
	if err != nil {
		t.Fatal(err)
	}
	answer := "k-1 ended nowhere, for b2: " +
		hint.Line(revision.Check(c, revision.Environment{Classes: []string{"gold"}, MaxAttempts: 3}))
	for text, want := range map[string]string{
		answer:                   "x.cue:4:3",
		"classes[7].name: lost":  "x.cue:2:1",
		"budgets.setups: 100 is": "x.cue:9:25",
		"later: nobody leads":    "x.cue",
	} {
		if got := Position("x.cue", []byte(sample), text); got != want {
			t.Errorf("%s: %s, not %s", text, got, want)
		}
	}
}

// The example in docs/operators/revisions.md is valid.
func TestDocumentedExample(t *testing.T) {
	page, err := os.ReadFile(filepath.Join("..", "..", "docs", "operators", "revisions.md"))
	if err != nil {
		t.Fatal(err)
	}
	_, rest, ok := strings.Cut(string(page), "```cue\n")
	text, _, _ := strings.Cut(rest, "```")
	if _, err := Parse("revisions.md", []byte(text)); err != nil || !ok {
		t.Fatalf("%v\n%s", err, text)
	}
}
