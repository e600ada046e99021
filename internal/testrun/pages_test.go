package main

import (
	"fmt"
	"go/ast"
	"go/build"
	"go/parser"
	"go/token"
	"io/fs"
	"maps"
	"os"
	"path"
	"path/filepath"
	"reflect"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"
)

// pageFolders are the places of the pages, seen from the root of the tree. Each must hold at least one page.
var pageFolders = []string{"README.md", "docs/*.md", "docs/design/*.md", "docs/operators/*.md"}

// sourceSuffixes end the names of files that the tree holds as source.
var sourceSuffixes = []string{".go", ".cue", ".md", ".toml", ".json"}

// elsewhere are names that the pages have in backticks and that the tree does not hold, each with the reason.
var elsewhere = map[string]string{
	"cenkalti/backoff":         "a library that was measured and not used",
	"go.uber.org/zap":          "a library that was measured and not used",
	"gofrs/flock":              "a library that was measured and not used",
	"hashicorp/golang-lru":     "a library that was measured and not used",
	"hashicorp/memberlist":     "a library that was weighed and not used",
	"hashicorp/raft":           "a library that was measured and not used",
	"magiconair/properties":    "a library that was weighed and not used",
	"prometheus/client_golang": "a library that was measured and not used",
	"valyala/fasthttp":         "a library that was measured and not used",
	"rate.Sometimes":           "a type of golang.org/x/time, which is linked; it was weighed and not used",
	"uriworkermap.properties":  "a file of Apache installations, which internal/apache reads",
	"workers.properties":       "a file of Apache installations, which internal/apache reads",
}

var (
	quoted         = regexp.MustCompile("`([^`]+)`")
	pathForm       = regexp.MustCompile(`^[\w.-]+(/[\w.-]+)*/?$`)
	identifierForm = regexp.MustCompile(`^[A-Za-z]\w*(\.[A-Za-z]\w*)*$`)
	wordForm       = regexp.MustCompile(`[A-Za-z]\w*`)
	cueLabel       = regexp.MustCompile(`(?m)(?:^|[{,\s])"?#?([A-Za-z][\w-]*)"?[?!]?:`)
	placeholder    = regexp.MustCompile(`^[A-Z]+$`)
	notTheTree     = regexp.MustCompile(`^(\.git|journal|bin[^/]*|found|logs)$`) // .gitignore's folders among them
	madeForm       = regexp.MustCompile(`^(\w+)-[A-Z]+-(\w+)\.json$`)
)

// TestPagesNameWhatExists holds that the files, folders and identifiers that the pages name in backticks are in the
// tree.
func TestPagesNameWhatExists(t *testing.T) {
	for _, problem := range readTree(t, "../..").checkPages("../..") {
		t.Error(problem)
	}
}

// TestPagesWithoutNamesAreAProblem holds that the check does not pass where it has nothing to check.
func TestPagesWithoutNamesAreAProblem(t *testing.T) {
	held, root := readTree(t, "../.."), t.TempDir()
	if problems := held.checkPages(root); len(problems) != len(pageFolders)+len(elsewhere) {
		t.Errorf("no pages: %q", problems)
	}
	text := "No name of code, but `BUSY`.\n"
	for _, page := range []string{"README.md", "docs/a.md", "docs/design/a.md", "docs/operators/a.md"} {
		name := filepath.Join(root, page)
		if err := os.MkdirAll(filepath.Dir(name), 0o700); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(name, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	problems := held.checkPages(root)
	if len(problems) != len(pageFolders)+len(elsewhere) || !strings.Contains(problems[0], "no page of README.md names") {
		t.Errorf("pages without names: %q", problems)
	}
	if err := os.WriteFile(filepath.Join(root, "docs/a.md"), []byte("One\n`nowhere.go`."), 0o600); err != nil {
		t.Fatal(err)
	}
	want := "docs/a.md:2: `nowhere.go` is no file or identifier of the tree"
	if problems := held.checkPages(root); !slices.Contains(problems, want) {
		t.Errorf("%q does not say %q", problems, want)
	}
}

// TestDeadNamesAreFound holds the check itself to samples of names that exist and names that do not.
func TestDeadNamesAreFound(t *testing.T) {
	tree := readTree(t, "../..")
	for _, name := range []string{
		"README.md", "internal/core/watch.go", "core/watch.go", "watch.go", "cmd/oatlab", "deploy/", "internal/testrun/",
		"core.Reducer", "core.Reducer.Step", "Reducer.Step", "policy.Balancer.Step", "time.Sleep",
		"net/http", "limits.max-attempts", "go.etcd.io/raft", "bin/oatloft", "r/ID", "oatloft-NAME-maintenance.json",
	} {
		dead, checked := tree.deadNames("The name `" + name + "` stands here.")
		if len(dead) != 0 || checked != 1 {
			t.Errorf("%s: dead %v, %d checked", name, dead, checked)
		}
	}
	for _, name := range []string{
		"nowhere.go", "internal/core/nowhere.go", "internal/nowhere", "policy/nowhere_test.go", "docs/nowhere.md",
		"reWatch.go", "noSuchName", "NoSuchName", "core.NoSuchName", "policy.Reducer", "core.Reducer.NoSuchName",
		"Reducer.NoSuchName", "Nowhere.Step", "core.reducer", "time.NoSuchName", "reducerOfNowhere.step", "noSuchName()",
		"os.noSuchName", "limits.max-nowhere", "bin/nowhere", "noplace/ID", "oatloft-NAME-nokind.json", "nowhere/raft",
	} {
		text := "# Page\n\n    `inCodeBlock`\n\n```\n`inFence`\n```\n\nA sentence that\n" +
			"names `README.md` and `" + name + "` here.\n"
		dead, checked := tree.deadNames(text)
		if len(dead) != 1 || checked != 2 || dead[0].line != 10 || dead[0].text != name {
			t.Errorf("%s: found %v of %d", name, dead, checked)
		}
	}
	for _, text := range []string{
		"settle", "--links", "../given", "/proc", "$TMPDIR", "revision propose", "BUSY", "on_cut", "go test ./...", "a-b",
	} {
		if dead, checked := tree.deadNames("Here `" + text + "`."); len(dead) != 0 || checked != 0 {
			t.Errorf("%q counts as a name of code: dead %v, checked %d", text, dead, checked)
		}
	}
}

// checkPages lists what is wrong with the names in the pages under a root.
func (t *tree) checkPages(root string) (problems []string) {
	unused := maps.Clone(elsewhere)
	for _, folder := range pageFolders {
		pages, err := filepath.Glob(filepath.Join(root, folder))
		if err != nil || len(pages) == 0 {
			problems = append(problems, fmt.Sprintf("no page matches %s: %v", folder, err))
			continue
		}
		checked := 0
		for _, page := range pages {
			text, err := os.ReadFile(page)
			if err != nil {
				problems = append(problems, err.Error())
				continue
			}
			for _, name := range quotedNames(string(text)) {
				delete(unused, name.text)
			}
			dead, names := t.deadNames(string(text))
			checked += names
			shown := strings.TrimPrefix(filepath.ToSlash(page), filepath.ToSlash(root)+"/")
			for _, name := range dead {
				problems = append(problems,
					fmt.Sprintf("%s:%d: `%s` is no file or identifier of the tree", shown, name.line, name.text))
			}
		}
		if checked == 0 {
			problems = append(problems, fmt.Sprintf("no page of %s names a file or an identifier", folder))
		}
	}
	for name := range unused {
		problems = append(problems, fmt.Sprintf("no page names %s: take it out of elsewhere", name))
	}
	return problems
}

// pageName is a name that a page has in backticks.
type pageName struct {
	line int
	text string
}

// tree is what the repository holds: its paths, and what its code declares and says.
type tree struct {
	paths        map[string]bool                // each path, and each end of one that begins at a folder's name
	imports      map[string]bool                // each import path, and each end of one that begins at a slash
	declared     map[string]map[string]bool     // by package: what is declared at package level
	members      map[string]map[string][]string // by package and type, members and embedded types
	words        map[string]bool                // what is declared, members, words of string literals and of settings
	literals     map[string]bool                // whole string literals
	keys         map[string]bool                // JSON keys by struct tags, labels of CUE and of JSON files
	standardRoot string
}

// deadNames lists what a page names and the tree does not hold, and counts the names that it looked up.
func (t *tree) deadNames(text string) (dead []pageName, checked int) {
	for _, name := range quotedNames(text) {
		switch found, held := t.lookUp(name.text); {
		case !held:
		case !found:
			dead = append(dead, name)
			checked++
		default:
			checked++
		}
	}
	return dead, checked
}

// lookUp tells whether a text has the form of a name of code, and whether the tree holds it.
func (t *tree) lookUp(text string) (found, held bool) {
	text = strings.TrimSuffix(text, "()")
	if elsewhere[text] != "" {
		return true, true
	}
	switch {
	case strings.HasPrefix(text, "."):
		return false, false
	case pathForm.MatchString(text) && (isSource(text) || strings.Contains(text, "/")):
		return t.hasPath(text), true
	case !identifierForm.MatchString(text) && !isSettingsPath(text):
		return false, false
	case strings.Contains(text, "."):
		parts := strings.Split(text, ".")
		return t.literals[text] || t.hasMember(parts) || t.hasKeys(parts), true
	case isCamelCase(text):
		return t.words[text], true
	}
	return false, false
}

// hasPath tells whether a path is the end of one in the tree, a program that is built into bin/, an import, a package
// of the standard library, or a path that the program makes at run time, whose last part the pages write in capitals.
func (t *tree) hasPath(text string) bool {
	text = strings.TrimSuffix(text, "/")
	if program, ok := strings.CutPrefix(text, "bin/"); ok {
		return t.paths["cmd/"+program]
	}
	if t.paths[text] || t.imports[text] || t.literals[text] {
		return true
	}
	if made := madeForm.FindStringSubmatch(text); made != nil { // a file that a balancer writes under its name
		return t.literals[made[1]] && t.literals[made[2]]
	}
	folder, last := path.Split(text)
	if placeholder.MatchString(last) {
		return t.literals[folder] || t.literals[strings.TrimSuffix(folder, "/")]
	}
	if strings.HasPrefix(text, "internal/") || strings.HasPrefix(text, "cmd/") || isSource(text) {
		return false
	}
	_, err := os.Stat(filepath.Join(t.standardRoot, filepath.FromSlash(text)))
	return err == nil
}

// isSource tells whether a name ends as those of source files do.
func isSource(text string) bool { return slices.Contains(sourceSuffixes, path.Ext(text)) }

// hasMember tells whether a name with dots is a package with what it declares, or a type with one of its members.
func (t *tree) hasMember(parts []string) bool {
	if declared, ok := t.declared[parts[0]]; ok {
		if len(parts) == 2 && declared[parts[1]] {
			return true
		}
		if len(parts) == 3 && t.typeHas(parts[0]+"."+parts[1], parts[2], 0) {
			return true
		}
	}
	if len(parts) != 2 {
		return false
	}
	for name := range t.members {
		if strings.HasSuffix(name, "."+parts[0]) && t.typeHas(name, parts[1], 0) {
			return true
		}
	}
	return t.standardHas(parts[0], parts[1])
}

// typeHas tells whether a type has a member of its own or of a type that it embeds.
func (t *tree) typeHas(name, member string, depth int) bool {
	if _, ok := t.members[name][member]; ok {
		return true
	}
	if depth > 3 {
		return false
	}
	for _, embedded := range t.members[name][""] {
		if !strings.Contains(embedded, ".") {
			embedded = name[:strings.Index(name, ".")+1] + embedded
		}
		if t.typeHas(embedded, member, depth+1) {
			return true
		}
	}
	return false
}

// standardHas tells whether a package of the standard library that the tree imports declares an exported name.
func (t *tree) standardHas(name, member string) bool {
	if !ast.IsExported(member) {
		return false
	}
	for imported := range t.imports {
		if path.Base(imported) != name {
			continue
		}
		files, err := filepath.Glob(filepath.Join(t.standardRoot, filepath.FromSlash(imported), "*.go"))
		if err != nil {
			return false
		}
		for _, source := range files {
			file, err := parser.ParseFile(token.NewFileSet(), source, nil, parser.SkipObjectResolution)
			if err == nil && slices.Contains(topNames(file), member) {
				return true
			}
		}
	}
	return false
}

// hasKeys tells whether each part of a name with dots is a key of the settings, or of the counters' JSON object.
func (t *tree) hasKeys(parts []string) bool {
	for i, part := range parts {
		if !t.keys[part] && (i > 0 || !t.literals[part]) {
			return false
		}
	}
	return true
}

// isSettingsPath tells whether a text is a path of keys with dashes, such as limits.max-attempts.
func isSettingsPath(text string) bool {
	return strings.Contains(text, ".") && strings.Contains(text, "-") && pathForm.MatchString(text) &&
		!strings.ContainsAny(text, "/*") && identifierForm.MatchString(strings.ReplaceAll(text, "-", "_"))
}

// isCamelCase tells whether a word has capitals and small letters and no underscore.
func isCamelCase(word string) bool {
	return strings.ToUpper(word) != word && strings.ToLower(word) != word && !strings.Contains(word, "_")
}

// quotedNames lists the texts in single backticks of a page, without those in blocks of code.
func quotedNames(page string) (names []pageName) {
	paragraph, first := "", 1
	fenced, indented, blank := false, false, true
	end := func() {
		for _, at := range quoted.FindAllStringSubmatchIndex(paragraph, -1) {
			line := first + strings.Count(paragraph[:at[2]], "\n")
			names = append(names, pageName{line, paragraph[at[2]:at[3]]})
		}
		paragraph = ""
	}
	for i, line := range strings.Split(page, "\n") {
		isFence := strings.HasPrefix(strings.TrimSpace(line), "```")
		isIndented := strings.HasPrefix(line, "    ") || strings.HasPrefix(line, "\t")
		indented = isIndented && (blank || indented)
		blank = strings.TrimSpace(line) == ""
		if isFence {
			fenced = !fenced
		}
		if isFence || fenced || indented || blank {
			end()
			continue
		}
		if paragraph == "" {
			first = i + 1
		}
		paragraph += line + "\n"
	}
	end()
	return names
}

// readTree reads the paths, the Go files, the settings' schemas and the examples of the repository. This file is left
// out, since its samples are names that do not exist.
func readTree(t *testing.T, root string) *tree {
	t.Helper()
	held := &tree{
		paths: map[string]bool{}, imports: map[string]bool{}, declared: map[string]map[string]bool{},
		members: map[string]map[string][]string{}, words: map[string]bool{}, literals: map[string]bool{},
		keys: map[string]bool{}, standardRoot: filepath.Join(build.Default.GOROOT, "src"),
	}
	err := filepath.WalkDir(root, func(name string, entry fs.DirEntry, err error) error {
		if err != nil || name == root {
			return err
		}
		relative, err := filepath.Rel(root, name)
		if err != nil {
			return err
		}
		relative = filepath.ToSlash(relative)
		if entry.IsDir() && notTheTree.MatchString(relative) {
			return filepath.SkipDir
		}
		addEnds(held.paths, relative)
		if entry.IsDir() || entry.Name() == "pages_test.go" {
			return nil
		}
		return held.readFile(name, relative)
	})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := os.Stat(held.standardRoot); err != nil {
		t.Fatal(err)
	}
	return held
}

// addEnds adds a path and each end of it that begins behind a slash.
func addEnds(set map[string]bool, name string) {
	set[name] = true
	for i := range name {
		if name[i] == '/' {
			set[name[i+1:]] = true
		}
	}
}

// readFile takes what one file declares and says.
func (t *tree) readFile(name, relative string) error {
	inData := strings.Contains(relative, "testdata/")
	switch extension := path.Ext(relative); {
	case extension == ".go" && !inData:
		file, err := parser.ParseFile(token.NewFileSet(), name, nil, parser.SkipObjectResolution)
		if err != nil {
			return err
		}
		t.readGo(file)
	case extension == ".cue", strings.HasPrefix(relative, "deploy/"), strings.HasPrefix(relative, "example/"):
		text, err := os.ReadFile(name)
		if err != nil {
			return err
		}
		for _, word := range wordForm.FindAllString(string(text), -1) {
			t.words[word] = true
		}
		for _, label := range cueLabel.FindAllStringSubmatch(string(text), -1) {
			t.keys[label[1]] = true
		}
	}
	return nil
}

// readGo takes the declarations, members, selected names and string literals of a Go file. Names of local variables
// and parameters do not count: a function that is gone often leaves its name to one.
func (t *tree) readGo(file *ast.File) {
	of := strings.TrimSuffix(file.Name.Name, "_test")
	if t.declared[of] == nil {
		t.declared[of] = map[string]bool{}
	}
	for _, name := range topNames(file) {
		t.declared[of][name] = true
		t.words[name] = true
	}
	for _, imported := range file.Imports {
		if name, err := strconv.Unquote(imported.Path.Value); err == nil {
			addEnds(t.imports, name)
			addEnds(t.imports, strings.TrimSuffix(name, "/"+path.Base(name)))
		}
	}
	for _, declaration := range file.Decls {
		if function, ok := declaration.(*ast.FuncDecl); ok && function.Recv != nil {
			t.addMember(of+"."+receiver(function.Recv.List[0].Type).Name, function.Name.Name)
		}
	}
	ast.Inspect(file, func(node ast.Node) bool {
		switch node := node.(type) {
		case *ast.SelectorExpr:
			t.words[node.Sel.Name] = true
		case *ast.BasicLit:
			t.readLiteral(node)
		case *ast.TypeSpec:
			t.readType(of, node)
		case *ast.ValueSpec:
			if shape, ok := node.Type.(*ast.StructType); ok {
				t.readFields(of+"."+node.Names[0].Name, shape.Fields)
			}
		}
		return true
	})
}

// readType takes the fields and methods that a type's declaration lists.
func (t *tree) readType(of string, spec *ast.TypeSpec) {
	name := of + "." + spec.Name.Name
	switch shape := spec.Type.(type) {
	case *ast.StructType:
		t.readFields(name, shape.Fields)
	case *ast.InterfaceType:
		t.readFields(name, shape.Methods)
	default:
		t.embed(name, spec.Type)
	}
}

// readFields takes the names of fields or of an interface's methods, and the types that are embedded.
func (t *tree) readFields(name string, fields *ast.FieldList) {
	for _, field := range fields.List {
		for _, member := range field.Names {
			t.addMember(name, member.Name)
		}
		if len(field.Names) == 0 {
			t.embed(name, field.Type)
		}
		if field.Tag != nil {
			t.readTag(field.Tag.Value)
		}
	}
}

// embed notes that a type has the members of another one.
func (t *tree) embed(name string, expression ast.Expr) {
	if star, ok := expression.(*ast.StarExpr); ok {
		expression = star.X
	}
	other := ""
	switch expression := expression.(type) {
	case *ast.Ident:
		other = expression.Name
	case *ast.SelectorExpr:
		if of, ok := expression.X.(*ast.Ident); ok {
			other = of.Name + "." + expression.Sel.Name
		}
	}
	if other == "" {
		return
	}
	t.addMember(name, other[strings.Index(other, ".")+1:])
	t.members[name][""] = append(t.members[name][""], other)
}

func (t *tree) addMember(of, member string) {
	if t.members[of] == nil {
		t.members[of] = map[string][]string{}
	}
	t.members[of][member] = []string{}
	t.words[member] = true
}

// readTag takes the JSON key of a struct tag.
func (t *tree) readTag(value string) {
	text, err := strconv.Unquote(value)
	if err != nil {
		return
	}
	key, _, _ := strings.Cut(reflect.StructTag(text).Get("json"), ",")
	if key != "" {
		t.keys[key] = true
		t.words[key] = true
	}
}

// readLiteral takes a string literal and its words.
func (t *tree) readLiteral(literal *ast.BasicLit) {
	text, err := strconv.Unquote(literal.Value)
	if literal.Kind != token.STRING || err != nil {
		return
	}
	t.literals[text] = true
	for _, word := range wordForm.FindAllString(text, -1) {
		t.words[word] = true
	}
}

// topNames lists what a file declares at package level, without methods.
func topNames(file *ast.File) (names []string) {
	for _, declaration := range file.Decls {
		switch declaration := declaration.(type) {
		case *ast.FuncDecl:
			if declaration.Recv == nil {
				names = append(names, declaration.Name.Name)
			}
		case *ast.GenDecl:
			for _, spec := range declaration.Specs {
				switch spec := spec.(type) {
				case *ast.TypeSpec:
					names = append(names, spec.Name.Name)
				case *ast.ValueSpec:
					for _, name := range spec.Names {
						names = append(names, name.Name)
					}
				}
			}
		}
	}
	return names
}
