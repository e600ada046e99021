package main

import (
	"go/ast"
	"go/build"
	"go/parser"
	"go/token"
	"io/fs"
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

// sourceSuffixes are the extensions of source files.
var sourceSuffixes = []string{".go", ".cue", ".md", ".toml", ".json"}

// checkFiles are the files of this check. They are not read as part of the tree: their samples are names that do not
// exist.
var checkFiles = []string{"pages_test.go", "pages_tree_test.go"}

var (
	pathForm       = regexp.MustCompile(`^[\w.-]+(/[\w.-]+)*/?$`)
	identifierForm = regexp.MustCompile(`^[A-Za-z]\w*(\.[A-Za-z]\w*)*$`)
	wordForm       = regexp.MustCompile(`[A-Za-z]\w*`)
	cueLabel       = regexp.MustCompile(`(?m)(?:^|[{,\s])"?#?([A-Za-z][\w-]*)"?[?!]?:`)
	placeholder    = regexp.MustCompile(`^[A-Z]+$`)
	ignoredFolder  = regexp.MustCompile(`^(\.git|journal|bin[^/]*|found|logs)$`) // .gitignore's folders among them
	stateFileForm  = regexp.MustCompile(`^(\w+)-[A-Z]+-(\w+)\.json$`)
)

// tree contains the paths of the repository, and the names and literals of its code.
type tree struct {
	paths        map[string]bool                // each path, and each suffix that begins after a slash
	imports      map[string]bool                // each import path, and each suffix that begins after a slash
	declared     map[string]map[string]bool     // by package: names declared at package level
	members      map[string]map[string][]string // by package and type, members and embedded types
	words        map[string]bool                // declared names, members, words of string literals and of settings
	literals     map[string]bool                // whole string literals
	keys         map[string]bool                // JSON keys by struct tags, labels of CUE and of JSON files
	standardRoot string
}

// readTree reads the paths, the Go files, the settings' schemas and the examples of the repository, except checkFiles.
func readTree(t *testing.T, root string) *tree {
	t.Helper()
	names := &tree{
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
		if entry.IsDir() && ignoredFolder.MatchString(relative) {
			return filepath.SkipDir
		}
		addEnds(names.paths, relative)
		if entry.IsDir() || slices.Contains(checkFiles, entry.Name()) {
			return nil
		}
		return names.readFile(name, relative)
	})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := os.Stat(names.standardRoot); err != nil {
		t.Fatal(err)
	}
	return names
}

// readFile adds the names and literals of one file.
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

// readGo adds the declarations, members, selected names and string literals of a Go file. It ignores the names of local
// variables and parameters, because such a name often remains after the function with that name was removed.
func (t *tree) readGo(file *ast.File) {
	packageName := strings.TrimSuffix(file.Name.Name, "_test")
	if t.declared[packageName] == nil {
		t.declared[packageName] = map[string]bool{}
	}
	for _, name := range topNames(file) {
		t.declared[packageName][name] = true
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
			t.addMember(packageName+"."+receiver(function.Recv.List[0].Type).Name, function.Name.Name)
		}
	}
	ast.Inspect(file, func(node ast.Node) bool {
		switch node := node.(type) {
		case *ast.SelectorExpr:
			t.words[node.Sel.Name] = true
		case *ast.BasicLit:
			t.readLiteral(node)
		case *ast.TypeSpec:
			t.readType(packageName, node)
		case *ast.ValueSpec:
			if shape, ok := node.Type.(*ast.StructType); ok {
				t.readFields(packageName+"."+node.Names[0].Name, shape.Fields)
			}
		}
		return true
	})
}

// readType adds the fields and methods in a type's declaration.
func (t *tree) readType(packageName string, spec *ast.TypeSpec) {
	name := packageName + "." + spec.Name.Name
	switch shape := spec.Type.(type) {
	case *ast.StructType:
		t.readFields(name, shape.Fields)
	case *ast.InterfaceType:
		t.readFields(name, shape.Methods)
	default:
		t.embed(name, spec.Type)
	}
}

// readFields adds the names of fields or of an interface's methods, and the embedded types.
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

// embed records that a type has the members of another type.
func (t *tree) embed(name string, expression ast.Expr) {
	if star, ok := expression.(*ast.StarExpr); ok {
		expression = star.X
	}
	other := ""
	switch expression := expression.(type) {
	case *ast.Ident:
		other = expression.Name
	case *ast.SelectorExpr:
		if qualifier, ok := expression.X.(*ast.Ident); ok {
			other = qualifier.Name + "." + expression.Sel.Name
		}
	}
	if other == "" {
		return
	}
	t.addMember(name, other[strings.Index(other, ".")+1:])
	t.members[name][""] = append(t.members[name][""], other)
}

func (t *tree) addMember(typeName, member string) {
	if t.members[typeName] == nil {
		t.members[typeName] = map[string][]string{}
	}
	t.members[typeName][member] = []string{}
	t.words[member] = true
}

// readTag adds the JSON key of a struct tag.
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

// readLiteral adds a string literal and its words.
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

// topNames returns the names that a file declares at package level, without methods.
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

// addEnds adds a path and each suffix of it that begins after a slash.
func addEnds(set map[string]bool, name string) {
	set[name] = true
	for i := range name {
		if name[i] == '/' {
			set[name[i+1:]] = true
		}
	}
}

// lookUp reports whether a text has the form of a path, identifier or key (isName), and whether the tree contains it.
func (t *tree) lookUp(text string) (found, isName bool) {
	text = strings.TrimSuffix(text, "()")
	if namesOutsideTree[text] != "" {
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

// hasPath reports whether a path is one of these: a path in the tree or the last parts of one, a program that is built
// into bin/, an import, a package of the standard library, or a path that the program creates at run time. The pages
// write the variable part of such a path in capitals.
func (t *tree) hasPath(text string) bool {
	text = strings.TrimSuffix(text, "/")
	if program, ok := strings.CutPrefix(text, "bin/"); ok {
		return t.paths["cmd/"+program]
	}
	if t.paths[text] || t.imports[text] || t.literals[text] {
		return true
	}
	if made := stateFileForm.FindStringSubmatch(text); made != nil { // a file whose name contains a balancer's
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

// isSource reports whether a file name has an extension of source files.
func isSource(text string) bool { return slices.Contains(sourceSuffixes, path.Ext(text)) }

// hasMember reports whether a dotted name has the form package.name, package.type.member or type.member, and the tree
// or the standard library declares it.
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

// typeHas reports whether a type has a member, either directly or through a type that it embeds.
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

// standardHas reports whether a package of the standard library that the tree imports declares an exported name.
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

// hasKeys reports whether each part of a dotted name is a key of the settings or of the counters' JSON object.
func (t *tree) hasKeys(parts []string) bool {
	for i, part := range parts {
		if !t.keys[part] && (i > 0 || !t.literals[part]) {
			return false
		}
	}
	return true
}

// isSettingsPath reports whether a text is a path of keys with dashes, such as limits.max-attempts.
func isSettingsPath(text string) bool {
	return strings.Contains(text, ".") && strings.Contains(text, "-") && pathForm.MatchString(text) &&
		!strings.ContainsAny(text, "/*") && identifierForm.MatchString(strings.ReplaceAll(text, "-", "_"))
}

// isCamelCase reports whether a word has upper-case and lower-case letters and no underscore.
func isCamelCase(word string) bool {
	return strings.ToUpper(word) != word && strings.ToLower(word) != word && !strings.Contains(word, "_")
}
