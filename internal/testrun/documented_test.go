package main

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

// contracts are methods whose meaning the standard library defines.
var contracts = []string{"Error", "String", "Unwrap"}

// TestExportedItemsAreDocumented checks that each exported item of the module has a comment. Constants, variables and
// types may share the comment of their group, or have one at the end of their line.
func TestExportedItemsAreDocumented(t *testing.T) {
	err := filepath.WalkDir("../..", func(path string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if entry.IsDir() && (entry.Name() == "testdata" || entry.Name() == "journal") {
			return filepath.SkipDir
		}
		if !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return nil
		}
		set := token.NewFileSet()
		file, err := parser.ParseFile(set, path, nil, parser.ParseComments|parser.SkipObjectResolution)
		if err != nil {
			return err
		}
		for _, name := range undocumented(file) {
			t.Errorf("%s: exported %s has no doc comment", set.Position(name.Pos()), name.Name)
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
}

// TestUndocumentedItemsAreFound applies the check to samples.
func TestUndocumentedItemsAreFound(t *testing.T) {
	for source, want := range map[string][]string{
		"func F() {}":                             {"F"},
		"// F does.\nfunc F() {}":                 nil,
		"func f() {}":                             nil,
		"type T int":                              {"T"},
		"// T is.\ntype T int":                    nil,
		"type t int\nfunc (t) M() {}":             nil,
		"type t int\nfunc (t *t) M() {}":          nil,
		"// T is.\ntype T int\nfunc (T) M() {}":   {"M"},
		"// T is.\ntype T int\nfunc (*T) M() {}":  {"M"},
		"// T is.\ntype T int\nfunc (T) String()": nil,
		"func String() {}":                        {"String"},
		"type G[X any] int\nfunc (G[X]) M() {}":   {"G", "M"},
		"type (\n A int\n b int\n)":               {"A"},
		"// Group.\ntype (\n A int\n B int\n)":    nil,
		"type (\n A int // is\n)":                 nil,
		"const A, b = 1, 2":                       {"A"},
		"var (\n A int\n // B is.\n B int\n)":     {"A"},
	} {
		file, err := parser.ParseFile(token.NewFileSet(), "", "package x\n"+source, parser.ParseComments)
		if err != nil {
			t.Fatal(err)
		}
		var got []string
		for _, name := range undocumented(file) {
			got = append(got, name.Name)
		}
		if !slices.Equal(got, want) {
			t.Errorf("%s: got %v, want %v", source, got, want)
		}
	}
}

// undocumented returns the exported items of a file that have no comment.
func undocumented(file *ast.File) (names []*ast.Ident) {
	for _, declaration := range file.Decls {
		switch declaration := declaration.(type) {
		case *ast.FuncDecl:
			if declaration.Doc == nil && declaration.Name.IsExported() && isPublic(declaration) {
				names = append(names, declaration.Name)
			}
		case *ast.GenDecl:
			if declaration.Doc == nil {
				names = append(names, undocumentedSpecs(declaration.Specs)...)
			}
		}
	}
	return names
}

// isPublic reports whether other packages can call a function, or whether a method is neither on an unexported type nor
// one of contracts.
func isPublic(function *ast.FuncDecl) bool {
	if function.Recv == nil {
		return true
	}
	return !slices.Contains(contracts, function.Name.Name) && receiver(function.Recv.List[0].Type).IsExported()
}

// receiver returns the name of a receiver's type.
func receiver(expression ast.Expr) *ast.Ident {
	switch expression := expression.(type) {
	case *ast.StarExpr:
		return receiver(expression.X)
	case *ast.IndexExpr:
		return receiver(expression.X)
	case *ast.IndexListExpr:
		return receiver(expression.X)
	case *ast.Ident:
		return expression
	}
	return ast.NewIdent("")
}

func undocumentedSpecs(specs []ast.Spec) (names []*ast.Ident) {
	for _, spec := range specs {
		switch spec := spec.(type) {
		case *ast.TypeSpec:
			if spec.Doc == nil && spec.Comment == nil && spec.Name.IsExported() {
				names = append(names, spec.Name)
			}
		case *ast.ValueSpec:
			if spec.Doc != nil || spec.Comment != nil {
				continue
			}
			for _, name := range spec.Names {
				if name.IsExported() {
					names = append(names, name)
				}
			}
		}
	}
	return names
}
