// Package revisioncue reads and writes routing revisions as operators do: CUE, or JSON, which is CUE. It owns the schema, and
// where in an operator's file a fault is; it must never be linked into a balancer, which reads what revision.Encode writes.
package revisioncue

import (
	"bytes"
	"cmp"
	_ "crypto/sha256" // revision.Hash, for who reads a revision from CUE
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

// Most is how long an operator's text may be, in bytes.
const Most = 1 << 20

// Fault is one thing that is wrong with an operator's text.
type Fault struct {
	File         string
	Line, Column int // from 1; 0 where it is nowhere in particular
	Field        string
	What         string
	Do           string
}

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

// Hint is what an operator can do.
func (f Fault) Hint() string { return f.Do }

// Faults is the error that a text is no revision: all that is wrong with it, at least one thing.
type Faults []Fault

func (l Faults) Error() string {
	lines := make([]string, len(l))
	for i, f := range l {
		lines[i] = f.Error()
	}
	return strings.Join(lines, "\n")
}

// Hint is what to do about the first of them.
func (l Faults) Hint() string { return l[0].Do }

// Unwrap gives errors.As the first of them.
func (l Faults) Unwrap() error { return l[0] }

// text is the record as operators write it: times with their units, without the form, which is this program's.
type text struct {
	Note    string               `json:"note,omitzero"`
	Classes []class              `json:"classes,omitempty"`
	Tenants []revision.Tenant    `json:"tenants,omitempty"`
	Regions []revision.Placement `json:"regions,omitempty"`
	Zones   []revision.Placement `json:"zones,omitempty"`
	Budgets revision.Budgets     `json:"budgets,omitzero"`
	Moves   revision.Migration   `json:"moves,omitzero"`
	Links   []revision.Link      `json:"links,omitempty"`
}

type class struct {
	Name       string `json:"name"`
	Order      int    `json:"order,omitzero"`
	Aim        string `json:"aim,omitzero"`
	MessageAim string `json:"message_aim,omitzero"`
	Attempts   int    `json:"attempts,omitzero"`
}

// Parse reads an operator's text, or a balancer's, of which path is the name, and holds it to all that doesn't hang on a balancer's settings.
// The error is Faults.
func Parse(path string, body []byte) (*revision.Content, error) {
	if len(body) > Most {
		return nil, Faults{{path, 0, 0, "", fmt.Sprintf("%d bytes, more than %d", len(body), Most), "say less in one revision: leave out what is as the settings have it"}}
	}
	if bytes.HasPrefix(bytes.TrimSpace(body), []byte(`{"oatloft_revision"`)) { // as balancers write it
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
		return nil, faults(path, err, "write it as in docs/operators/revisions.md; oatctl revision show prints one that is sound")
	}
	if given.IncompleteKind() != cue.StructKind {
		return nil, Faults{{path, 1, 1, "", "no fields, but a " + given.IncompleteKind().String(), "write fields such as note: \"why\""}}
	}
	whole := rules.LookupPath(cue.ParsePath("#Revision")).Unify(given)
	if err := whole.Validate(cue.Concrete(true), cue.Final(), cue.All()); err != nil {
		return nil, faults(path, err, "")
	}
	values, err := whole.MarshalJSON()
	if err != nil {
		return nil, faults(path, err, "")
	}
	t := text{}
	if err := json.Unmarshal(values, &t); err != nil {
		return nil, Faults{{path, 0, 0, "", err.Error(), "use whole numbers within the bounds where the schema asks for int"}}
	}
	c := revision.Content{FormatVersion: revision.FormatVersion, Note: t.Note, Tenants: t.Tenants, Servers: t.Regions, Zones: t.Zones, Budgets: t.Budgets, Migration: t.Moves, Links: t.Links}
	for i, k := range t.Classes {
		x := revision.Class{Name: k.Name, PriorityRank: k.Order, MaxAttempts: k.Attempts}
		for _, at := range []struct {
			field, text string
			to          *time.Duration
		}{{"aim", k.Aim, &x.LatencyObjective}, {"message_aim", k.MessageAim, &x.MessageLatencyObjective}} {
			if at.text == "" {
				continue
			}
			d, err := time.ParseDuration(at.text)
			if err == nil && d == 0 {
				d = 1 // told as too small: 0 would read as not said
			}
			if err != nil {
				return nil, Faults{place(path, given, fmt.Sprintf("classes[%d].%s", i, at.field), fmt.Sprintf("%q is too long", at.text), "set a time of 1ms to 1h")}
			}
			*at.to = d
		}
		c.Classes = append(c.Classes, x)
	}
	var wrong *revision.Incompatible
	if err := revision.Validate(&c); errors.As(err, &wrong) {
		return nil, Faults{place(path, given, wrong.Field, wrong.Message(), wrong.Remedy)}
	}
	return &c, nil
}

var named = regexp.MustCompile(`\b(note|classes|tenants|regions|zones|budgets|moves|links)(\[\d+\]|\.[a-z_]+)*: `)

// Where is the place in the operator's text, "path:line:column", of the first field that a balancer's answer names; path alone where
// it names none that the text has.
func Where(path string, body []byte, answer string) string {
	field := strings.TrimSuffix(named.FindString(answer), ": ")
	if line, column := stands(path, cuecontext.New().CompileBytes(body, cue.Filename(path)), field); line > 0 {
		return fmt.Sprintf("%s:%d:%d", path, line, column)
	}
	return path
}

// place is a fault at a field.
func place(path string, given cue.Value, field, what, do string) Fault {
	line, column := stands(path, given, field)
	return Fault{path, line, column, field, what, do}
}

// stands is where a field stands, or the nearest around it; 0 where that is nowhere in particular.
func stands(path string, given cue.Value, field string) (line, column int) {
	for at := field; at != ""; {
		if pos := given.LookupPath(cue.ParsePath(at)).Pos(); pos.Filename() == path && pos != token.NoPos {
			return pos.Line(), pos.Column()
		}
		at = at[:max(0, strings.LastIndexAny(at, ".["))]
	}
	return 0, 0
}

// Format is c as an operator would write it; Parse gives c back if it is sound.
func Format(c *revision.Content) []byte {
	t := text{Note: c.Note, Tenants: c.Tenants, Regions: c.Servers, Zones: c.Zones, Budgets: c.Budgets, Moves: c.Migration, Links: c.Links}
	for _, k := range c.Classes {
		t.Classes = append(t.Classes, class{k.Name, k.PriorityRank, length(k.LatencyObjective), length(k.MessageLatencyObjective), k.MaxAttempts})
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

// length is a time in the unit that the schema knows it by.
func length(d time.Duration) string {
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

// faults is what CUE tells, one a field. Of a field with a default it tells once for each way in which the value doesn't fit;
// that it isn't the default is no news.
func faults(path string, err error, do string) error {
	var list Faults
	weights := map[string]int{}
	for _, e := range errors.Errors(err) {
		form, args := e.Msg()
		at, what := field(e.Path()), strings.ReplaceAll(fmt.Sprintf(form, args...), "\n", " ")
		f := Fault{File: path, Field: at, What: what, Do: cmp.Or(do, remedy(what, at))}
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
		list = Faults{{File: path, What: err.Error(), Do: "write it as in docs/operators/revisions.md"}}
	}
	return list
}

// field is a path of CUE's as operators and revision write it: "classes[0].aim".
func field(path []string) string {
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

// remedy is what to do about a fault that CUE words.
func remedy(what, field string) string {
	switch {
	case strings.Contains(what, "not allowed"):
		return "take the field out, or write it as docs/operators/revisions.md names it"
	case strings.Contains(what, "incomplete") || strings.Contains(what, "required"):
		return "say what " + field + " is"
	case strings.Contains(field, "aim"):
		return "write a time of 1ms to 1h with its unit, such as \"300ms\""
	}
	return "see docs/operators/revisions.md for what " + field + " may hold"
}
