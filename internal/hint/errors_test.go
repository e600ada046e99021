package hint

// This file owns two checks over the types of all packages: that each error says what an operator can do, and that
// docs/operators/errors.md says what the code says. It must never list errors by hand.

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

var update = flag.Bool("update", false, "write docs/operators/errors.md anew")

const (
	module = "oatloft/"
	page   = "../../docs/operators/errors.md"
)

// programs are told one after the other: each with what those before don't hold.
var programs = []string{"oatloft", "oatloft-revisions", "oatctl", "oatlab"}

// mayReturnPlainErrors are the functions ("oatloft/internal/x.F") that may make an error of no type of their own, and why.
var mayReturnPlainErrors = map[string]string{
	"oatloft/internal/apache.Lines":    "no command reaches the importer: its parsers wait, and its errors with them",
	"oatloft/internal/apache.Settings": "no command reaches the importer: its parsers wait, and its errors with them",
	"oatloft/internal/apache.read":     "no command reaches the importer: its parsers wait, and its errors with them",
}

// analysis is all that the checks walk over.
type analysis struct {
	fset         *token.FileSet
	pkgs         []*pkg
	calls        map[types.Object][]call // by callee, of our own functions and of those that a variable holds
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
	programs  []string // programs that hold it
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

// load reads and checks the types of all packages; those of other modules come as the compiler wrote them.
func load(t *testing.T) *analysis {
	t.Helper()
	if loaded != nil {
		return loaded
	}
	list := func(args ...string) [][]string {
		cmd := exec.Command("go", append([]string{"list"}, args...)...)
		cmd.Dir = "../.."
		var said bytes.Buffer
		cmd.Stderr = &said
		out, err := cmd.Output()
		if err != nil {
			t.Fatalf("go list %v: %v\n%s", args, err, said.String())
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
	for _, row := range list("-export", "-deps", "-f", "{{.ImportPath}}\t{{.Export}}\t{{.Dir}}\t{{range .GoFiles}}{{.}} {{end}}", "./...") {
		exports[row[0]] = row[1]
		if !strings.HasPrefix(row[0], module) {
			continue
		}
		p := &pkg{path: row[0], dir: row[2], info: &types.Info{Types: map[ast.Expr]types.TypeAndValue{},
			Defs: map[*ast.Ident]types.Object{}, Uses: map[*ast.Ident]types.Object{}, Selections: map[*ast.SelectorExpr]*types.Selection{}}}
		for _, name := range strings.Fields(row[3]) {
			f, err := parser.ParseFile(c.fset, filepath.Join(p.dir, name), nil, parser.ParseComments)
			if err != nil {
				t.Fatal(err)
			}
			p.files = append(p.files, f)
		}
		var err error // packages come after those that they import
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

// markImports notes that a program holds a package, and what that imports.
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

// packageImporter imports our own packages as they were checked, and all others from gc.
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

// errorKind is an error type.
type errorKind struct {
	p        *pkg
	name     *types.TypeName
	doc      string
	messages [][2]string // what is said, what to do
}

// errorKinds are the error types of a package. Each has to be a Giver.
func (c *analysis) errorKinds(p *pkg, wrong func(token.Pos, string, ...any)) (list []errorKind) {
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
					wrong(s.Pos(), "%s gives no advice", name.Name())
					continue
				}
				doc := s.Doc
				if doc == nil {
					doc = d.Doc
				}
				k := errorKind{p: p, name: name, doc: strings.Join(strings.Fields(doc.Text()), " ")}
				if k.doc == "" {
					wrong(s.Pos(), "%s has no comment that says when it comes", name.Name())
				}
				c.collectMessages(&k, wrong)
				list = append(list, k)
			}
			return true
		})
	}
	return list
}

// binding is what stands for a parameter or a field while an expression is read: an expression at another place.
type binding struct {
	p   *pkg
	x   ast.Expr // nil for a field that is left empty
	env env
}

type env map[types.Object]binding

// collectMessages reads what a type says, from the places that make it.
func (c *analysis) collectMessages(k *errorKind, wrong func(token.Pos, string, ...any)) {
	add := func(at token.Pos, said, do []string) {
		do = slices.DeleteFunc(do, func(s string) bool { return strings.TrimSpace(s) == "" })
		if len(do) == 0 {
			wrong(at, "%s without advice", k.name.Name())
		}
		row := [2]string{tableCell(said, true), tableCell(do, false)}
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
			var do []string
			said := []string{""}
			if i := slices.IndexFunc(l.x.Elts, func(x ast.Expr) bool { return isAnnotated(l.p, x) }); i >= 0 {
				parts := fieldValues(l.x.Elts[i].(*ast.CompositeLit), nil)
				for _, name := range []string{"Where", "What", "Cause"} {
					if x := parts[name]; x != nil {
						part := []string{"‹cause›"}
						if name != "Cause" {
							part = c.evalText(l.p, x, e, 4)
						}
						if said[0] != "" {
							said = product(said, []string{": "})
						}
						said = product(said, part)
					}
				}
				if x := parts["Do"]; x != nil {
					do = c.evalText(l.p, x, e, 4)
				}
			} else {
				given, of := fieldValues(l.x, st), env{}
				for i := range st.NumFields() {
					of[st.Field(i)] = binding{l.p, given[st.Field(i).Name()], e}
				}
				said, do = c.methodResults(k, "Error", of), c.methodResults(k, "Hint", of)
			}
			add(l.x.Pos(), said, do)
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

// fieldValues are the values of a literal by their fields' names; st names those that are given without.
func fieldValues(x *ast.CompositeLit, st *types.Struct) map[string]ast.Expr {
	of := map[string]ast.Expr{}
	for i, e := range x.Elts {
		if kv, ok := e.(*ast.KeyValueExpr); ok {
			of[kv.Key.(*ast.Ident).Name] = kv.Value
		} else if st != nil {
			of[st.Field(i).Name()] = e
		}
	}
	return of
}

// callEnvs are the calls of the function that holds a literal, as far as the literal hangs on its parameters; else one
// that is empty.
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

// results are what a function's body returns.
func (c *analysis) results(p *pkg, body *ast.BlockStmt, e env, depth int) (list []string) {
	over := false
	ast.Inspect(body, func(n ast.Node) bool {
		switch x := n.(type) {
		case *ast.IfStmt:
			switch c.evalEmptyCheck(p, x.Cond, e, depth) {
			case "yes":
				in := c.results(p, x.Body, e, depth)
				list, over = append(list, in...), len(in) > 0
				return false
			case "no":
				return false
			}
		case *ast.ReturnStmt:
			if !over && len(x.Results) == 1 {
				list = append(list, c.evalText(p, x.Results[0], e, depth)...)
			}
		}
		return !over
	})
	return list
}

// evalEmptyCheck tells whether a comparison with "" evalEmptyCheck, as far as it can be seen.
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

const maxTexts = 24 // of one expression, and calls of one function; more are said by a name

// evalText is what an expression may say: its value where that is constant, the parts that vary as ‹name›.
func (c *analysis) evalText(p *pkg, x ast.Expr, e env, depth int) []string {
	if tv := p.info.Types[x]; tv.Value != nil && tv.Value.Kind() == constant.String {
		return []string{constant.StringVal(tv.Value)}
	}
	name := []string{"‹" + lastName(x) + "›"}
	if depth == 0 {
		return name
	}
	// through reads what stands for a parameter or a field; where that is no more than another name, this one is kept.
	through := func(obj types.Object) []string {
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
		if out := product(c.evalPart(p, x.X, e, depth), c.evalPart(p, x.Y, e, depth)); x.Op == token.ADD && len(out) > 0 && len(out) <= maxTexts {
			return out
		}
	case *ast.Ident:
		return through(p.info.Uses[x])
	case *ast.SelectorExpr:
		return through(p.info.Uses[x.Sel])
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
			if id, ok := x.Args[len(x.Args)-1].(*ast.Ident); ok && x.Ellipsis.IsValid() { // the caller's own
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
			for _, form := range c.evalText(p, x.Args[0], e, depth) {
				forms := []string{""}
				for i, at := 0, 0; ; i++ {
					loc := verb.FindStringIndex(form[at:])
					if loc == nil {
						forms = product(forms, []string{form[at:]})
						break
					}
					put := []string{"‹…›"}
					if form[at+loc[1]-1] == '%' {
						put, i = []string{"%"}, i-1
					} else if i < len(args) {
						put = c.evalPart(p, args[i], e, depth-1)
					}
					forms = product(forms, []string{form[at : at+loc[0]]})
					if forms, at = product(forms, put), at+loc[1]; len(forms) > maxTexts {
						return name
					}
				}
				out = append(out, forms...)
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
		if d := c.declarations[f]; d.d != nil && d.d.Body != nil && d.p.path != module+"internal/hint" && c.signatures[f].Results().Len() == 1 &&
			c.signatures[f].Results().At(0).Type() == types.Typ[types.String] {
			if out := c.results(d.p, d.d.Body, c.bind(f, call{p, x}, e), depth-1); len(out) > 0 && len(out) <= maxTexts {
				return out
			}
		}
	}
	return name
}

// evalPart is text for a piece of a longer one: what may be empty is said by its name.
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

// lastName is the last name in an expression, which says best what stands there.
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

// reporter collects what the walk finds.
func (c *analysis) reporter(t *testing.T) func(token.Pos, string, ...any) {
	return func(at token.Pos, format string, args ...any) {
		t.Errorf("%v: %s", c.fset.Position(at), fmt.Sprintf(format, args...))
	}
}

// Every error type of every package says what an operator can do, and no code outside tests makes an error of no
// such type.
func TestAllErrorsHaveHints(t *testing.T) {
	c := load(t)
	found, left := 0, map[string]bool{}
	for name := range mayReturnPlainErrors {
		left[name] = true
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
					if f, ok := p.info.Uses[id].(*types.Func); ok && (f.FullName() == "errors.New" || f.FullName() == "fmt.Errorf") {
						if _, may := mayReturnPlainErrors[name]; !may {
							c.reporter(t)(id.Pos(), "%s makes an error that gives no advice", name)
						}
						delete(left, name)
					}
					return true
				})
			}
		}
	}
	if found < 50 {
		t.Errorf("%d error types found", found)
	}
	for name := range left {
		t.Errorf("%s makes no bare error any more: take it out of the list", name)
	}
}

// The page says what the code says. -update writes it.
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
		t.Errorf("docs/operators/errors.md is old (%v): go test ./internal/hint -run TestPage -update", err)
	}
}

// page writes docs/operators/errors.md.
func (c *analysis) page(t *testing.T) []byte {
	var b bytes.Buffer
	b.WriteString(`# Errors

What the programs say when something is wrong, and what to do about it. This page is made from the code; a test fails when it is old.

An error reads ` + "`where: what: cause; do: advice`" + `, in one line: in the log (field ` + "`err`" + `), as the last line of a program that ends (exit 1) and behind
` + "`-ERR`" + ` in the answer to a call. Search this page for a piece of the line that doesn't vary; what varies stands here as ‹name›. Where a cause is
given that has advice of its own, the line ends with the cause's advice, which is nearer to the fault. Answers to ` + "`status`" + ` (` + "`starting`" + `, ` + "`standby`" + `,
` + "`leaving`" + `) are states, not errors: see [day-to-day.md](day-to-day.md).

## Whatever failed

What the machine itself says has the same advice everywhere.

| cause | what to do |
| --- | --- |
`)
	for _, s := range systemErrors {
		fmt.Fprintf(&b, "| `%v` | %s |\n", s.errno, s.hint)
	}
	for _, part := range []struct {
		program, title, intro string
	}{
		{"oatloft", "The balancer", "`oatloft serve` and `oatloft check`, in logs, at exit and in answers to calls; `oatctl` says the same where it checks the same."},
		{"oatloft-revisions", "The balancer with routing revisions", "`oatloft-revisions`, in whose place `oatloft` starts where the edge file has the section `revisions`; besides what is said above."},
		{"oatctl", "The operator's desk", "`oatctl`, besides what a balancer answers."},
		{"oatlab", "The laboratory", "`oatlab` and its stand-ins; none of it is part of a deployment."},
		{"", "The rest", "What no program above holds: readers of other servers' files, the bench's link."},
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
				fmt.Fprintf(&b, "\n**%s.** %s\n\n| what is said | what to do |\n| --- | --- |\n", k.name.Name(), description(k))
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

// description is a type's comment as a sentence of its own.
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

// tableCell is one cell of a table: what may be said, one below the other.
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
