package hint

// This file has two checks over the types of all packages: that every error has a hint for the operator, and that
// docs/operators/errors.md agrees with the code. The errors are found in the code and never listed by hand.

import (
	"bytes"
	"flag"
	"fmt"
	"go/ast"
	"go/constant"
	"go/importer"
	"go/parser"
	"go/token"
	"go/types"
	"io"
	"maps"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
)

var update = flag.Bool("update", false, "regenerate docs/operators/errors.md")

const (
	module = "oatloft/"
	page   = "../../docs/operators/errors.md"
)

// programs lists the programs in the page's order: each section has the packages that no earlier program contains.
var programs = []string{"oatloft", "oatloft-revisions", "oatctl", "oatlab"}

// mayReturnPlainErrors maps each function ("oatloft/internal/x.F") that may create an error without a type of its own
// to the reason.
var mayReturnPlainErrors = map[string]string{
	"oatloft/internal/apache.Lines":    "no command uses the importer yet, so no operator sees its errors",
	"oatloft/internal/apache.Settings": "no command uses the importer yet, so no operator sees its errors",
	"oatloft/internal/apache.read":     "no command uses the importer yet, so no operator sees its errors",
}

// analysis holds the syntax and types of all packages, indexed for the checks.
type analysis struct {
	fset         *token.FileSet
	pkgs         []*pkg
	calls        map[types.Object][]call // by callee: this module's functions and variables that hold functions
	literals     map[*types.TypeName][]literal
	hinter       *types.Interface
	params       map[types.Object]param
	declarations map[types.Object]decl
	signatures   map[types.Object]*types.Signature
}

type decl struct {
	p *pkg
	d *ast.FuncDecl
}

type pkg struct {
	path, dir string
	programs  []string // programs that contain it
	files     []*ast.File
	types     *types.Package
	info      *types.Info
}

type call struct {
	p *pkg
	x *ast.CallExpr
}

type literal struct {
	p *pkg
	x *ast.CompositeLit
}

type param struct {
	function types.Object // the function, or the variable that holds it
	index    int
}

var loaded *analysis

// load parses and type-checks all packages of this module; those of other modules are read from the compiler's export
// data.
func load(t *testing.T) *analysis {
	t.Helper()
	if loaded != nil {
		return loaded
	}
	list := func(args ...string) [][]string {
		cmd := exec.Command("go", append([]string{"list"}, args...)...)
		cmd.Dir = "../.."
		var stderr bytes.Buffer
		cmd.Stderr = &stderr
		out, err := cmd.Output()
		if err != nil {
			t.Fatalf("go list %v: %v\n%s", args, err, stderr.String())
		}
		var rows [][]string
		for line := range strings.Lines(string(out)) {
			rows = append(rows, strings.Split(strings.TrimSuffix(line, "\n"), "\t"))
		}
		return rows
	}
	c := &analysis{
		fset:         token.NewFileSet(),
		calls:        map[types.Object][]call{},
		literals:     map[*types.TypeName][]literal{},
		params:       map[types.Object]param{},
		declarations: map[types.Object]decl{},
		signatures:   map[types.Object]*types.Signature{},
	}
	exports, own := map[string]string{}, map[string]*types.Package{}
	gc := importer.ForCompiler(c.fset, "gc", func(path string) (io.ReadCloser, error) { return os.Open(exports[path]) })
	for _, row := range list("-export", "-deps", "-f",
		"{{.ImportPath}}\t{{.Export}}\t{{.Dir}}\t{{range .GoFiles}}{{.}} {{end}}", "./...") {
		exports[row[0]] = row[1]
		if !strings.HasPrefix(row[0], module) {
			continue
		}
		p := &pkg{path: row[0], dir: row[2], info: &types.Info{Types: map[ast.Expr]types.TypeAndValue{},
			Defs: map[*ast.Ident]types.Object{}, Uses: map[*ast.Ident]types.Object{},
			Selections: map[*ast.SelectorExpr]*types.Selection{}}}
		for _, name := range strings.Fields(row[3]) {
			f, err := parser.ParseFile(c.fset, filepath.Join(p.dir, name), nil, parser.ParseComments)
			if err != nil {
				t.Fatal(err)
			}
			p.files = append(p.files, f)
		}
		var err error // go list prints packages after those that they import
		p.types, err = (&types.Config{Importer: packageImporter{own, gc}}).Check(p.path, c.fset, p.files, p.info)
		if err != nil {
			t.Fatal(err)
		}
		own[p.path] = p.types
		c.pkgs = append(c.pkgs, p)
		if p.path == module+"internal/hint" {
			c.hinter = p.types.Scope().Lookup("Hinter").Type().Underlying().(*types.Interface)
		}
	}
	for _, p := range c.pkgs {
		for _, f := range p.files {
			ast.Inspect(f, func(n ast.Node) bool { c.record(p, n); return true })
		}
	}
	for _, program := range programs {
		c.markImports(program, own[module+"cmd/"+program], map[*types.Package]bool{})
	}
	slices.SortFunc(c.pkgs, func(a, b *pkg) int { return strings.Compare(a.path, b.path) })
	loaded = c
	return c
}

// markImports records that a program contains a package and all that it imports.
func (c *analysis) markImports(program string, t *types.Package, seen map[*types.Package]bool) {
	if seen[t] || !strings.HasPrefix(t.Path(), module) {
		return
	}
	seen[t] = true
	for _, p := range c.pkgs {
		if p.types == t {
			p.programs = append(p.programs, program)
		}
	}
	for _, i := range t.Imports() {
		c.markImports(program, i, seen)
	}
}

// packageImporter imports this module's packages as they were checked, and all others from export data.
type packageImporter struct {
	own map[string]*types.Package
	gc  types.Importer
}

func (c packageImporter) Import(path string) (*types.Package, error) {
	if p := c.own[path]; p != nil {
		return p, nil
	}
	return c.gc.Import(path)
}

func (c *analysis) record(p *pkg, n ast.Node) {
	switch x := n.(type) {
	case *ast.CallExpr:
		if f := callee(p, x); f != nil && f.Pkg() != nil && strings.HasPrefix(f.Pkg().Path(), module) {
			c.calls[f] = append(c.calls[f], call{p, x})
		}
	case *ast.CompositeLit:
		if n, ok := types.Unalias(p.info.TypeOf(x)).(*types.Named); ok {
			c.literals[n.Obj()] = append(c.literals[n.Obj()], literal{p, x})
		}
	case *ast.FuncDecl:
		f := p.info.Defs[x.Name].(*types.Func)
		c.declarations[f] = decl{p, x}
		c.recordParams(f, f.Signature())
	case *ast.AssignStmt:
		for i, v := range x.Rhs {
			if f, ok := v.(*ast.FuncLit); ok && len(x.Lhs) == len(x.Rhs) {
				if id, ok := x.Lhs[i].(*ast.Ident); ok {
					c.recordParams(p.info.ObjectOf(id), p.info.TypeOf(f).(*types.Signature))
				}
			}
		}
	}
}

func (c *analysis) recordParams(f types.Object, s *types.Signature) {
	for i := range s.Params().Len() {
		c.params[s.Params().At(i)] = param{f, i}
	}
	c.signatures[f] = s
}

func callee(p *pkg, x *ast.CallExpr) types.Object {
	var id *ast.Ident
	switch f := x.Fun.(type) {
	case *ast.Ident:
		id = f
	case *ast.SelectorExpr:
		id = f.Sel
	default:
		return nil
	}
	return p.info.Uses[id]
}

// errorKind is an error type and its messages.
type errorKind struct {
	p        *pkg
	name     *types.TypeName
	doc      string
	messages [][2]string // message and hint
}

// errorKinds returns the error types of a package. Each has to implement Hinter.
func (c *analysis) errorKinds(p *pkg, report func(token.Pos, string, ...any)) (list []errorKind) {
	errorType := types.Universe.Lookup("error").Type().Underlying().(*types.Interface)
	for _, f := range p.files {
		ast.Inspect(f, func(n ast.Node) bool {
			d, ok := n.(*ast.GenDecl)
			if !ok {
				return true
			}
			for _, s := range d.Specs {
				s, ok := s.(*ast.TypeSpec)
				if !ok {
					continue
				}
				name := p.info.Defs[s.Name].(*types.TypeName)
				ptr := types.NewPointer(name.Type())
				if types.IsInterface(name.Type()) || !types.Implements(ptr, errorType) || p.path == module+"internal/hint" {
					continue
				}
				if !types.Implements(ptr, c.hinter) {
					report(s.Pos(), "%s has no hint", name.Name())
					continue
				}
				doc := s.Doc
				if doc == nil {
					doc = d.Doc
				}
				k := errorKind{p: p, name: name, doc: strings.Join(strings.Fields(doc.Text()), " ")}
				if k.doc == "" {
					report(s.Pos(), "%s has no comment that describes when it occurs", name.Name())
				}
				c.collectMessages(&k, report)
				list = append(list, k)
			}
			return true
		})
	}
	return list
}

// binding is the expression that is the value of a parameter or field while another expression is evaluated.
type binding struct {
	p   *pkg
	x   ast.Expr // nil for a field that is not set
	env env
}

type env map[types.Object]binding

// collectMessages determines the messages and hints of an error type from the places that create it.
func (c *analysis) collectMessages(k *errorKind, report func(token.Pos, string, ...any)) {
	add := func(at token.Pos, messages, hints []string) {
		hints = slices.DeleteFunc(hints, func(s string) bool { return strings.TrimSpace(s) == "" })
		if len(hints) == 0 {
			report(at, "%s without a hint", k.name.Name())
		}
		row := [2]string{tableCell(messages, true), tableCell(hints, false)}
		if !slices.Contains(k.messages, row) {
			k.messages = append(k.messages, row)
		}
	}
	st, _ := k.name.Type().Underlying().(*types.Struct)
	for _, l := range c.literals[k.name] {
		if st == nil {
			continue
		}
		for _, e := range c.callEnvs(l) {
			var hints []string
			messages := []string{""}
			if i := slices.IndexFunc(l.x.Elts, func(x ast.Expr) bool { return isAnnotated(l.p, x) }); i >= 0 {
				parts := fieldValues(l.x.Elts[i].(*ast.CompositeLit), nil)
				for _, name := range []string{"Where", "What", "Cause"} {
					if x := parts[name]; x != nil {
						part := []string{"‹cause›"}
						if name != "Cause" {
							part = c.evalText(l.p, x, e, 4)
						}
						if messages[0] != "" {
							messages = product(messages, []string{": "})
						}
						messages = product(messages, part)
					}
				}
				if x := parts["Do"]; x != nil {
					hints = c.evalText(l.p, x, e, 4)
				}
			} else {
				values, bindings := fieldValues(l.x, st), env{}
				for i := range st.NumFields() {
					bindings[st.Field(i)] = binding{l.p, values[st.Field(i).Name()], e}
				}
				messages, hints = c.methodResults(k, "Error", bindings), c.methodResults(k, "Hint", bindings)
			}
			add(l.x.Pos(), messages, hints)
		}
	}
	if len(k.messages) == 0 {
		add(k.name.Pos(), c.methodResults(k, "Error", nil), c.methodResults(k, "Hint", nil))
	}
}

func isAnnotated(p *pkg, x ast.Expr) bool {
	_, ok := x.(*ast.CompositeLit)
	return ok && p.info.TypeOf(x).String() == module+"internal/hint.Annotated"
}

// fieldValues returns the values of a literal by field name; st names the fields of an unkeyed literal.
func fieldValues(x *ast.CompositeLit, st *types.Struct) map[string]ast.Expr {
	values := map[string]ast.Expr{}
	for i, e := range x.Elts {
		if kv, ok := e.(*ast.KeyValueExpr); ok {
			values[kv.Key.(*ast.Ident).Name] = kv.Value
		} else if st != nil {
			values[st.Field(i).Name()] = e
		}
	}
	return values
}

// callEnvs returns the bindings of each call of the function that contains a literal, if the literal depends on its
// parameters, and otherwise one without bindings.
func (c *analysis) callEnvs(l literal) []env {
	var f types.Object
	ast.Inspect(l.x, func(n ast.Node) bool {
		if id, ok := n.(*ast.Ident); ok {
			if from, ok := c.params[l.p.info.Uses[id]]; ok {
				f = from.function
			}
		}
		return true
	})
	if f == nil || len(c.calls[f]) == 0 || len(c.calls[f]) > maxTexts {
		return []env{nil}
	}
	var list []env
	for _, call := range c.calls[f] {
		list = append(list, c.bind(f, call, nil))
	}
	return list
}

func (c *analysis) bind(f types.Object, x call, outer env) env {
	e := maps.Clone(outer)
	if e == nil {
		e = env{}
	}
	for i := range min(c.signatures[f].Params().Len(), len(x.x.Args)) {
		e[c.signatures[f].Params().At(i)] = binding{x.p, x.x.Args[i], outer}
	}
	return e
}

func (c *analysis) methodResults(k *errorKind, method string, e env) (list []string) {
	for _, f := range k.p.files {
		for _, d := range f.Decls {
			d, ok := d.(*ast.FuncDecl)
			if !ok || d.Recv == nil || d.Name.Name != method {
				continue
			}
			t := k.p.info.TypeOf(d.Recv.List[0].Type)
			if ptr, ok := t.(*types.Pointer); ok {
				t = ptr.Elem()
			}
			if n, ok := t.(*types.Named); ok && n.Obj() == k.name {
				list = append(list, c.results(k.p, d.Body, e, 4)...)
			}
		}
	}
	return list
}

// results returns the texts that a function's body may return.
func (c *analysis) results(p *pkg, body *ast.BlockStmt, e env, depth int) (list []string) {
	returned := false
	ast.Inspect(body, func(n ast.Node) bool {
		switch x := n.(type) {
		case *ast.IfStmt:
			switch c.evalEmptyCheck(p, x.Cond, e, depth) {
			case "yes":
				in := c.results(p, x.Body, e, depth)
				list, returned = append(list, in...), len(in) > 0
				return false
			case "no":
				return false
			}
		case *ast.ReturnStmt:
			if !returned && len(x.Results) == 1 {
				list = append(list, c.evalText(p, x.Results[0], e, depth)...)
			}
		}
		return !returned
	})
	return list
}

// evalEmptyCheck returns "yes" or "no" if the result of a comparison with "" is known, and otherwise "".
func (c *analysis) evalEmptyCheck(p *pkg, x ast.Expr, e env, depth int) string {
	b, ok := x.(*ast.BinaryExpr)
	if !ok || b.Op != token.EQL && b.Op != token.NEQ {
		return ""
	}
	if v := p.info.Types[b.Y].Value; v == nil || v.Kind() != constant.String || constant.StringVal(v) != "" {
		return ""
	}
	list := c.evalText(p, b.X, e, depth)
	switch {
	case len(list) == 0 || slices.ContainsFunc(list, placeholderOnly.MatchString):
		return ""
	case slices.Index(list, "") < 0 == (b.Op == token.NEQ):
		return "yes"
	case !slices.ContainsFunc(list, func(s string) bool { return s != "" }) || b.Op == token.EQL:
		return "no"
	}
	return ""
}

func product(a, b []string) (out []string) {
	for _, x := range a {
		for _, y := range b {
			out = append(out, x+y)
		}
	}
	return out
}

var verb = regexp.MustCompile(`%[-+# 0]*[0-9]*(\.[0-9]+)?[a-zA-Z%]`)

const maxTexts = 24 // texts of one expression, and calls of one function; if there are more, a placeholder is used

// evalText returns the texts that an expression may have: its value if that is constant, with varying parts as ‹name›.
func (c *analysis) evalText(p *pkg, x ast.Expr, e env, depth int) []string {
	if tv := p.info.Types[x]; tv.Value != nil && tv.Value.Kind() == constant.String {
		return []string{constant.StringVal(tv.Value)}
	}
	name := []string{"‹" + lastName(x) + "›"}
	if depth == 0 {
		return name
	}
	// resolve evaluates the binding of a parameter or field; if that is only another placeholder, this name is kept.
	resolve := func(obj types.Object) []string {
		b, ok := e[obj]
		if !ok {
			return name
		}
		if b.x == nil {
			return []string{""}
		}
		out := c.evalText(b.p, b.x, b.env, depth-1)
		if len(out) == 0 || len(out) > maxTexts ||
			slices.ContainsFunc(out, func(s string) bool { return placeholderOnly.MatchString(s) }) {
			return name
		}
		return out
	}
	switch x := x.(type) {
	case *ast.ParenExpr:
		return c.evalText(p, x.X, e, depth)
	case *ast.BinaryExpr:
		if out := product(c.evalPart(p, x.X, e, depth), c.evalPart(p, x.Y, e, depth)); x.Op == token.ADD &&
			len(out) > 0 && len(out) <= maxTexts {
			return out
		}
	case *ast.Ident:
		return resolve(p.info.Uses[x])
	case *ast.SelectorExpr:
		return resolve(p.info.Uses[x.Sel])
	case *ast.CallExpr:
		f := callee(p, x)
		if f == nil {
			break
		}
		if f.Pkg() == nil {
			break
		}
		switch f.Pkg().Name() + "." + f.Name() {
		case "fmt.Sprintf":
			args := x.Args[1:]
			if id, ok := x.Args[len(x.Args)-1].(*ast.Ident); ok && x.Ellipsis.IsValid() { // passed on from the caller
				args = nil
				if from, ok := c.params[p.info.Uses[id]]; ok {
					if b, ok := e[p.info.Uses[id]]; ok {
						for _, call := range c.calls[from.function] {
							if from.index < len(call.x.Args) && call.x.Args[from.index] == b.x {
								args = call.x.Args[from.index:]
							}
						}
					}
				}
			}
			var out []string
			for _, format := range c.evalText(p, x.Args[0], e, depth) {
				texts := []string{""}
				for i, at := 0, 0; ; i++ {
					loc := verb.FindStringIndex(format[at:])
					if loc == nil {
						texts = product(texts, []string{format[at:]})
						break
					}
					values := []string{"‹…›"}
					if format[at+loc[1]-1] == '%' {
						values, i = []string{"%"}, i-1
					} else if i < len(args) {
						values = c.evalPart(p, args[i], e, depth-1)
					}
					texts = product(texts, []string{format[at : at+loc[0]]})
					if texts, at = product(texts, values), at+loc[1]; len(texts) > maxTexts {
						return name
					}
				}
				out = append(out, texts...)
			}
			if len(out) == 0 {
				return name
			}
			return out
		case "cmp.Or":
			var out []string
			for _, a := range x.Args {
				out = append(out, c.evalText(p, a, e, depth-1)...)
			}
			return out
		}
		if d := c.declarations[f]; d.d != nil && d.d.Body != nil && d.p.path != module+"internal/hint" &&
			c.signatures[f].Results().Len() == 1 &&
			c.signatures[f].Results().At(0).Type() == types.Typ[types.String] {
			if out := c.results(d.p, d.d.Body, c.bind(f, call{p, x}, e), depth-1); len(out) > 0 &&
				len(out) <= maxTexts {
				return out
			}
		}
	}
	return name
}

// evalPart is evalText for a part of a longer text: a varying part that may be empty becomes a placeholder.
func (c *analysis) evalPart(p *pkg, x ast.Expr, e env, depth int) []string {
	list := c.evalText(p, x, e, depth)
	for i, s := range list {
		if s == "" && p.info.Types[x].Value == nil {
			list[i] = "‹" + lastName(x) + "›"
		}
	}
	return list
}

var placeholderOnly = regexp.MustCompile(`^‹[^›]*›$`)

// lastName returns the last name in an expression, which describes its value best.
func lastName(x ast.Expr) string {
	switch x := x.(type) {
	case *ast.Ident:
		return x.Name
	case *ast.SelectorExpr:
		if x.Sel.Name == "Error" || x.Sel.Name == "String" {
			return lastName(x.X)
		}
		return x.Sel.Name
	case *ast.CallExpr:
		if len(x.Args) > 0 {
			return lastName(x.Args[0])
		}
		return lastName(x.Fun)
	case *ast.IndexExpr:
		return lastName(x.X)
	case *ast.SliceExpr:
		return lastName(x.X)
	case *ast.StarExpr:
		return lastName(x.X)
	}
	return "…"
}

// reporter returns a function that reports a test error at a position in the source.
func (c *analysis) reporter(t *testing.T) func(token.Pos, string, ...any) {
	return func(at token.Pos, format string, args ...any) {
		t.Errorf("%v: %s", c.fset.Position(at), fmt.Sprintf(format, args...))
	}
}

// Every error type of every package has a hint for the operator, and no code outside tests creates an error of another
// type.
func TestAllErrorsHaveHints(t *testing.T) {
	c := load(t)
	found, unused := 0, map[string]bool{}
	for name := range mayReturnPlainErrors {
		unused[name] = true
	}
	for _, p := range c.pkgs {
		found += len(c.errorKinds(p, c.reporter(t)))
		for _, f := range p.files {
			for _, d := range f.Decls {
				name := p.path
				if fn, ok := d.(*ast.FuncDecl); ok {
					name += "." + fn.Name.Name
				}
				ast.Inspect(d, func(n ast.Node) bool {
					id, ok := n.(*ast.Ident)
					if !ok {
						return true
					}
					if f, ok := p.info.Uses[id].(*types.Func); ok &&
						(f.FullName() == "errors.New" || f.FullName() == "fmt.Errorf") {
						if _, may := mayReturnPlainErrors[name]; !may {
							c.reporter(t)(id.Pos(), "%s creates an error without a hint", name)
						}
						delete(unused, name)
					}
					return true
				})
			}
		}
	}
	if found < 50 {
		t.Errorf("%d error types found", found)
	}
	for name := range unused {
		t.Errorf("%s creates no plain error any more: remove it from mayReturnPlainErrors", name)
	}
}

// The page agrees with the code. -update regenerates it.
func TestPage(t *testing.T) {
	c := load(t)
	want := c.page(t)
	if *update {
		if err := os.WriteFile(page, want, 0o644); err != nil {
			t.Fatal(err)
		}
	}
	have, err := os.ReadFile(page)
	if err != nil || !bytes.Equal(have, want) {
		t.Errorf("docs/operators/errors.md is out of date (%v): go test ./internal/hint -run TestPage -update", err)
	}
}

// page returns the contents of docs/operators/errors.md.
func (c *analysis) page(t *testing.T) []byte {
	var b bytes.Buffer
	b.WriteString(`# Errors

The errors of the programs, and what to do about them. This page is generated from the code; a test fails when it is
out of date.

An error has the form ` + "`where: what: cause; do: hint`" + `, in one line: in the log (field ` + "`err`" + `),
as the last line of a program that ends with exit code 1, and after ` + "`-ERR`" + ` in the answer to a call. Search
this page for a constant part of the line; varying parts are shown as ‹name›. If the cause has a hint of its own, the
line ends with that hint, which is closer to the fault. Answers to ` + "`status`" + ` (` + "`starting`" + `,
` + "`standby`" + `, ` + "`leaving`" + `) are states, not errors: see [day-to-day.md](day-to-day.md).

## System errors

Errors of the operating system have the same hint everywhere.

| cause | what to do |
| --- | --- |
`)
	for _, s := range systemErrors {
		fmt.Fprintf(&b, "| `%v` | %s |\n", s.errno, s.hint)
	}
	for _, part := range []struct {
		program, title, intro string
	}{
		{"oatloft", "The balancer", "`oatloft serve` and `oatloft check`, in logs, at exit and in answers to calls; " +
			"`oatctl` reports the same errors where it makes the same checks."},
		{"oatloft-revisions", "The balancer with routing revisions", "`oatloft-revisions`, which `oatloft` executes " +
			"in its own place if the edge file has the section `revisions`; in addition to the errors above."},
		{"oatctl", "The operator's tool", "`oatctl`, in addition to a balancer's answers."},
		{"oatlab", "The test laboratory", "`oatlab` and its simulated servers; none of it is part of a deployment."},
		{"", "Other packages", "Packages that no program above contains: " +
			"parsers of other servers' files, the bench's link."},
	} {
		fmt.Fprintf(&b, "\n## %s\n\n%s\n", part.title, part.intro)
		for _, p := range c.pkgs {
			if firstProgram(p.programs) != part.program {
				continue
			}
			kinds := c.errorKinds(p, c.reporter(t))
			if len(kinds) == 0 {
				continue
			}
			slices.SortFunc(kinds, func(a, b errorKind) int { return strings.Compare(a.name.Name(), b.name.Name()) })
			fmt.Fprintf(&b, "\n### %s\n", strings.TrimPrefix(p.path, module))
			for _, k := range kinds {
				fmt.Fprintf(&b, "\n**%s.** %s\n\n| message | what to do |\n| --- | --- |\n", k.name.Name(), description(k))
				slices.SortFunc(k.messages, func(a, b [2]string) int { return strings.Compare(a[0], b[0]) })
				for _, s := range k.messages {
					fmt.Fprintf(&b, "| %s | %s |\n", s[0], s[1])
				}
			}
		}
	}
	return b.Bytes()
}

func firstProgram(list []string) string {
	for _, name := range programs {
		if slices.Contains(list, name) {
			return name
		}
	}
	return ""
}

// description returns a type's comment as a sentence without the type's name.
func description(k errorKind) string {
	s := strings.TrimPrefix(k.doc, k.name.Name()+" ")
	for _, head := range []string{"is the error that ", "is that ", "says that ", "is "} {
		if rest, ok := strings.CutPrefix(s, head); ok {
			s = rest
			break
		}
	}
	return strings.ToUpper(s[:1]) + s[1:]
}

// tableCell returns one cell of a table, with the texts one below the other.
func tableCell(list []string, quoted bool) string {
	var out []string
	for _, s := range list {
		if s = strings.ReplaceAll(strings.Join(strings.Fields(s), " "), "|", "\\|"); s == "" {
			continue
		}
		if quoted {
			s = "`" + s + "`"
		}
		if !slices.Contains(out, s) {
			out = append(out, s)
		}
	}
	return strings.Join(out, "<br>")
}
