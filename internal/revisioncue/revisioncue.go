// Package revisioncue reads and writes routing revisions in the form that operators use: CUE, of which JSON is a
// subset. It contains the schema and finds the position of faults in an operator's file. It must not be linked into a
// balancer, which reads only what revision.Encode writes.
package revisioncue

import (
	"bytes"
	"cmp"
	_ "crypto/sha256" // for revision.Hash in programs that read revisions from CUE
	_ "embed"
	"encoding/json"
	"fmt"
	"regexp"
	"strconv"
	"strings"
	"time"

	"cuelang.org/go/cue"
	"cuelang.org/go/cue/ast"
	"cuelang.org/go/cue/cuecontext"
	"cuelang.org/go/cue/errors"
	"cuelang.org/go/cue/format"
	"cuelang.org/go/cue/token"

	"oatloft/internal/hint"
	"oatloft/internal/revision"
)

//go:embed schema.cue
var schema string

const schemaFile = "schema.cue"

// MaxBytes is the maximum length of an operator's text, in bytes.
const MaxBytes = 1 << 20

// Fault is one error in an operator's text.
type Fault struct {
	File         string
	Line, Column int // from 1; 0 for a fault without a position
	Field        string
	What         string
	Remedy       string
}

// Error implements error.
func (f Fault) Error() string {
	at := f.File
	if f.Line > 0 {
		at += fmt.Sprintf(":%d:%d", f.Line, f.Column)
	}
	if f.Field != "" {
		at += ": " + f.Field
	}
	return at + ": " + f.What
}

// Hint implements hint.Hinter.
func (f Fault) Hint() string { return f.Remedy }

// Faults is the error of a text that is not a valid revision. It lists all faults and is not empty.
type Faults []Fault

// Error implements error.
func (l Faults) Error() string {
	lines := make([]string, len(l))
	for i, f := range l {
		lines[i] = f.Error()
	}
	return strings.Join(lines, "\n")
}

// Hint returns the hint of the first fault.
func (l Faults) Hint() string { return l[0].Remedy }

// Unwrap returns the first fault, for errors.As.
func (l Faults) Unwrap() error { return l[0] }

// contentText is a revision as operators write it: durations have a unit, and the form's version, which this program
// adds, is left out.
type contentText struct {
	Note      string               `json:"note,omitzero"`
	Classes   []classText          `json:"classes,omitempty"`
	Tenants   []revision.Tenant    `json:"tenants,omitempty"`
	Servers   []revision.Placement `json:"regions,omitempty"`
	Zones     []revision.Placement `json:"zones,omitempty"`
	Budgets   revision.Budgets     `json:"budgets,omitzero"`
	Migration revision.Migration   `json:"moves,omitzero"`
	Links     []revision.Link      `json:"links,omitempty"`
}

// classText is a class as operators write it.
type classText struct {
	Name                    string `json:"name"`
	PriorityRank            int    `json:"order,omitzero"`
	LatencyObjective        string `json:"aim,omitzero"`
	MessageLatencyObjective string `json:"message_aim,omitzero"`
	Attempts                int    `json:"attempts,omitzero"`
}

// Parse reads an operator's or a balancer's text, of which path is the name, and checks everything that does not
// depend on a balancer's settings. The error is Faults.
func Parse(path string, body []byte) (*revision.Content, error) {
	if len(body) > MaxBytes {
		return nil, Faults{{
			path, 0, 0, "", fmt.Sprintf("%d bytes, more than %d", len(body), MaxBytes),
			"make the revision shorter: leave out what equals the settings",
		}}
	}
	if bytes.HasPrefix(bytes.TrimSpace(body), []byte(`{"oatloft_revision"`)) { // a balancer's text
		c, err := revision.Decode(bytes.TrimSpace(body))
		if err == nil {
			err = revision.Validate(c)
		}
		if err != nil {
			return nil, Faults{{path, 0, 0, "", err.Error(), hint.Of(err)}}
		}
		return c, nil
	}
	ctx := cuecontext.New()
	rules := ctx.CompileString(schema, cue.Filename(schemaFile))
	given := ctx.CompileBytes(body, cue.Filename(path))
	if err := given.Err(); err != nil {
		return nil, faults(path, err,
			"write it as in docs/operators/revisions.md; oatctl revision show prints a valid revision")
	}
	if given.IncompleteKind() != cue.StructKind {
		return nil, Faults{{
			path, 1, 1, "", "no fields, but a " + given.IncompleteKind().String(),
			"write fields such as note: \"why\"",
		}}
	}
	merged := rules.LookupPath(cue.ParsePath("#Revision")).Unify(given)
	if err := merged.Validate(cue.Concrete(true), cue.Final(), cue.All()); err != nil {
		return nil, faults(path, err, "")
	}
	values, err := merged.MarshalJSON()
	if err != nil {
		return nil, faults(path, err, "")
	}
	t := contentText{}
	if err := json.Unmarshal(values, &t); err != nil {
		return nil, Faults{{
			path, 0, 0, "", err.Error(), "use whole numbers within the bounds where the schema requires int",
		}}
	}
	c := revision.Content{
		FormatVersion: revision.FormatVersion,
		Note:          t.Note,
		Tenants:       t.Tenants,
		Servers:       t.Servers,
		Zones:         t.Zones,
		Budgets:       t.Budgets,
		Migration:     t.Migration,
		Links:         t.Links,
	}
	for i, k := range t.Classes {
		x := revision.Class{Name: k.Name, PriorityRank: k.PriorityRank, MaxAttempts: k.Attempts}
		for _, at := range []struct {
			field, text string
			to          *time.Duration
		}{
			{"aim", k.LatencyObjective, &x.LatencyObjective},
			{"message_aim", k.MessageLatencyObjective, &x.MessageLatencyObjective},
		} {
			if at.text == "" {
				continue
			}
			d, err := time.ParseDuration(at.text)
			if err == nil && d == 0 {
				d = 1 // reported as too small; 0 would mean that the field is not set
			}
			if err != nil {
				return nil, Faults{faultAt(path, given, fmt.Sprintf("classes[%d].%s", i, at.field),
					fmt.Sprintf("%q is too long", at.text), "set a time of 1ms to 1h")}
			}
			*at.to = d
		}
		c.Classes = append(c.Classes, x)
	}
	var incompatible *revision.Incompatible
	if err := revision.Validate(&c); errors.As(err, &incompatible) {
		return nil, Faults{faultAt(path, given, incompatible.Field, incompatible.Message(), incompatible.Remedy)}
	}
	return &c, nil
}

var fieldName = regexp.MustCompile(`\b(note|classes|tenants|regions|zones|budgets|moves|links)(\[\d+\]|\.[a-z_]+)*: `)

// Position returns the position in the operator's text, "path:line:column", of the first field that a balancer's answer
// names, or path alone if the answer names no field of the text.
func Position(path string, body []byte, answer string) string {
	field := strings.TrimSuffix(fieldName.FindString(answer), ": ")
	if line, column := positionOf(path, cuecontext.New().CompileBytes(body, cue.Filename(path)), field); line > 0 {
		return fmt.Sprintf("%s:%d:%d", path, line, column)
	}
	return path
}

// faultAt returns a fault with the position of a field.
func faultAt(path string, given cue.Value, field, what, do string) Fault {
	line, column := positionOf(path, given, field)
	return Fault{path, line, column, field, what, do}
}

// positionOf returns the position of a field, or of the innermost enclosing field that has one, or 0.
func positionOf(path string, given cue.Value, field string) (line, column int) {
	for at := field; at != ""; {
		if pos := given.LookupPath(cue.ParsePath(at)).Pos(); pos.Filename() == path && pos != token.NoPos {
			return pos.Line(), pos.Column()
		}
		at = at[:max(0, strings.LastIndexAny(at, ".["))]
	}
	return 0, 0
}

// Format returns c in the form that operators use. If c is valid, Parse returns the same content.
func Format(c *revision.Content) []byte {
	t := contentText{
		Note:      c.Note,
		Tenants:   c.Tenants,
		Servers:   c.Servers,
		Zones:     c.Zones,
		Budgets:   c.Budgets,
		Migration: c.Migration,
		Links:     c.Links,
	}
	for _, k := range c.Classes {
		t.Classes = append(t.Classes, classText{
			k.Name,
			k.PriorityRank,
			formatDuration(k.LatencyObjective),
			formatDuration(k.MessageLatencyObjective),
			k.MaxAttempts,
		})
	}
	body, err := json.Marshal(t)
	if err != nil {
		return nil
	}
	syntax := cuecontext.New().CompileBytes(body).Syntax(cue.Final())
	if x, ok := syntax.(*ast.StructLit); ok {
		syntax = &ast.File{Decls: x.Elts}
	}
	out, err := format.Node(syntax, format.Simplify())
	if err != nil {
		return nil
	}
	return out
}

// formatDuration formats a duration in a unit that the schema accepts, or returns "" for 0.
func formatDuration(d time.Duration) string {
	switch {
	case d == 0:
		return ""
	case d%time.Second == 0:
		return strconv.FormatInt(int64(d/time.Second), 10) + "s"
	}
	ms := strconv.FormatInt(int64(d/time.Millisecond), 10)
	if rest := d % time.Millisecond; rest > 0 {
		ms += "." + strings.TrimRight(fmt.Sprintf("%06d", int64(rest)), "0")
	}
	return ms + "ms"
}

// faults converts the errors that CUE reports, with one fault for each field. For a field with a default, CUE reports
// an error for each alternative that the value does not match; that the value differs from the default is omitted.
func faults(path string, err error, do string) error {
	var list Faults
	weights := map[string]int{}
	for _, e := range errors.Errors(err) {
		form, args := e.Msg()
		at, what := fieldPath(e.Path()), strings.ReplaceAll(fmt.Sprintf(form, args...), "\n", " ")
		f := Fault{File: path, Field: at, What: what, Remedy: cmp.Or(do, hintFor(what, at))}
		for _, p := range append(errors.Positions(e), e.Position()) {
			if p.Filename() == path {
				f.Line, f.Column = p.Line(), p.Column()
				break
			}
		}
		weight := 3
		switch {
		case strings.Contains(f.What, "empty disjunction"):
			weight = 1
		case strings.HasPrefix(f.What, "conflicting values") && !strings.Contains(f.What, "mismatched"):
			weight = 2
		}
		i := len(list)
		for j := range list {
			if list[j].Field == f.Field && f.Field != "" {
				i = j
			}
		}
		switch {
		case i == len(list):
			list = append(list, f)
		case weight > weights[f.Field]:
			list[i] = f
		}
		weights[f.Field] = max(weights[f.Field], weight)
	}
	if len(list) == 0 {
		list = Faults{{File: path, What: err.Error(), Remedy: "write it as in docs/operators/revisions.md"}}
	}
	return list
}

// fieldPath converts a CUE path to the notation of operators and package revision: "classes[0].aim".
func fieldPath(path []string) string {
	out := ""
	for _, p := range path {
		switch _, err := strconv.Atoi(p); {
		case p == "#Revision":
		case err == nil:
			out += "[" + p + "]"
		case out == "":
			out = p
		default:
			out += "." + p
		}
	}
	return out
}

// hintFor returns the hint for a fault that CUE reports.
func hintFor(what, field string) string {
	switch {
	case strings.Contains(what, "not allowed"):
		return "take the field out, or use its name in docs/operators/revisions.md"
	case strings.Contains(what, "incomplete") || strings.Contains(what, "required"):
		return "set " + field + " to a value"
	case strings.Contains(field, "aim"):
		return "write a time of 1ms to 1h with its unit, such as \"300ms\""
	}
	return "see docs/operators/revisions.md for what " + field + " may contain"
}
