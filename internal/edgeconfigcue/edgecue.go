// Package edgeconfigcue checks and compiles the edge settings against its CUE schema. It must not be linked into the
// balancer, which reads the compiled form only: CUE takes 8 MB of resident memory.
package edgeconfigcue

import (
	_ "embed"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"cuelang.org/go/cue"
	"cuelang.org/go/cue/ast"
	"cuelang.org/go/cue/cuecontext"
	"cuelang.org/go/cue/errors"
	"cuelang.org/go/cue/format"
	"cuelang.org/go/cue/token"

	"oatloft/internal/edgeconfig"
	"oatloft/internal/hint"
)

//go:embed schema.cue
var schema string

const schemaFile = "schema.cue"

// Fault is the error of an invalid settings file: a line for each field, with its position.
type Fault struct{ hint.Annotated }

const correctionHint = "correct the fields; oatctl edge show prints all fields with their defaults"

// Compile checks the settings at path and returns them in the form that the balancer reads, with the defaults filled
// in. The error has a line for each fault, with file, line and field.
func Compile(path string) ([]byte, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, &Fault{hint.Annotated{Cause: err, Do: "give the path of a settings file, such as deploy/edge.cue"}}
	}
	return CompileText(path, text)
}

// CompileText is like Compile for a given text; path is only used as the file's name.
func CompileText(path string, text []byte) ([]byte, error) {
	ctx := cuecontext.New()
	rules := ctx.CompileString(schema, cue.Filename(schemaFile))
	if err := rules.Err(); err != nil {
		return nil, err
	}
	given := ctx.CompileBytes(text, cue.Filename(path))
	if err := given.Err(); err != nil {
		return nil, faults(path, err)
	}
	merged := rules.LookupPath(cue.ParsePath("#Edge")).Unify(given)
	if err := merged.Validate(cue.Concrete(true), cue.Final(), cue.All()); err != nil {
		return nil, faults(path, err)
	}
	values, err := merged.MarshalJSON()
	if err != nil {
		return nil, faults(path, err)
	}
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(values, &fields); err != nil {
		return nil, err
	}
	out := map[string]json.RawMessage{"admission": json.RawMessage("null")}
	for name, value := range fields {
		out[name] = value
	}
	out["oatloft_edge"], _ = json.Marshal(edgeconfig.Form)
	out["source"], _ = json.Marshal(filepath.Base(path))
	body, err := json.MarshalIndent(out, "", "  ")
	if err != nil {
		return nil, err
	}
	body = append(body, '\n')
	// Bounds that depend on several fields are checked by the modules, as at the balancer.
	if _, err := edgeconfig.Parse(body); err != nil {
		field, _, _ := strings.Cut(err.Error(), ":")
		if at := given.LookupPath(cue.ParsePath(field)).Pos(); at != token.NoPos {
			return nil, &Fault{
				hint.Annotated{Where: fmt.Sprintf("%s:%d:%d", path, at.Line(), at.Column()), Cause: err, Do: correctionHint},
			}
		}
		return nil, &Fault{hint.Annotated{Where: path, Cause: err, Do: correctionHint}}
	}
	return body, nil
}

// Show returns the settings as CUE with all defaults filled in; if path is "", only the defaults of the schema.
func Show(path string) ([]byte, error) {
	text := []byte("admission: {}\n")
	if path != "" {
		var err error
		if text, err = os.ReadFile(path); err != nil {
			return nil, &Fault{hint.Annotated{Cause: err, Do: "give the path of a settings file, such as deploy/edge.cue"}}
		}
	}
	body, err := CompileText(path, text)
	if err != nil {
		return nil, err
	}
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(body, &fields); err != nil {
		return nil, err
	}
	delete(fields, "oatloft_edge")
	delete(fields, "source")
	if body, err = json.Marshal(fields); err != nil {
		return nil, err
	}
	syntax := cuecontext.New().CompileBytes(body).Syntax(cue.Final())
	if x, ok := syntax.(*ast.StructLit); ok {
		syntax = &ast.File{Decls: x.Elts}
	}
	return format.Node(syntax, format.Simplify())
}

// faults returns an error with one line for each invalid field. For a field with a default, CUE reports an error for
// each alternative that the value does not match; that the value differs from the default is omitted.
func faults(path string, err error) error {
	type fault struct {
		at, field, what string
		weight          int
	}
	var list []fault
	index := map[string]int{}
	for _, e := range errors.Errors(err) {
		format, args := e.Msg()
		f := fault{
			positionIn(path, e),
			strings.TrimPrefix(strings.Join(e.Path(), "."), "#Edge."),
			fmt.Sprintf(format, args...),
			2,
		}
		switch {
		case strings.Contains(f.what, "empty disjunction"):
			f.weight = 0
		case strings.HasPrefix(f.what, "conflicting values"):
			f.weight = 1
		}
		f.what = strings.ReplaceAll(f.what, "\n", " ")
		i, ok := index[f.field]
		switch {
		case !ok || f.field == "":
			index[f.field] = len(list)
			list = append(list, f)
		case f.weight > list[i].weight || f.weight == list[i].weight && strings.Contains(f.what, "mismatched"):
			list[i] = f
		}
	}
	lines := make([]string, 0, len(list))
	for _, f := range list {
		if f.field != "" {
			f.field += ": "
		}
		lines = append(lines, fmt.Sprintf("%s: %s%s", f.at, f.field, f.what))
	}
	if len(lines) == 0 {
		return &Fault{hint.Annotated{Where: path, Cause: err, Do: correctionHint}}
	}
	return &Fault{hint.Annotated{What: strings.Join(lines, "\n"), Do: correctionHint}}
}

// positionIn returns the position of a fault in the given file, not in the schema.
func positionIn(path string, e errors.Error) string {
	best := token.NoPos
	for _, p := range append(errors.Positions(e), e.Position()) {
		if p.Filename() == path {
			best = p
			break
		}
	}
	if best == token.NoPos {
		return path
	}
	return fmt.Sprintf("%s:%d:%d", path, best.Line(), best.Column())
}
