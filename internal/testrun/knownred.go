package main

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"regexp"
	"strings"

	"oatloft/internal/hint"
)

// maxKnownRed is the maximum number of tests in the list of known failures.
const maxKnownRed = 3

// knownRed is a test that fails because of a real fault that is not fixed yet.
type knownRed struct {
	test  string
	cause string
	issue string
}

// invalidList is the error that a list of known failures is invalid.
type invalidList struct{ hint.Annotated }

func badLine(where, what, do string) error {
	return &invalidList{hint.Annotated{Where: where, What: what, Do: do}}
}

var (
	knownRedTest  = regexp.MustCompile(`^(Test|Fuzz|Example)\w*$`)
	knownRedIssue = regexp.MustCompile(`^issue [1-9][0-9]*$`)
)

// readKnownRed reads the list in a file; a missing file is an empty list.
func readKnownRed(file string) ([]knownRed, error) {
	text, err := os.ReadFile(file)
	if os.IsNotExist(err) {
		return nil, nil
	}
	if err != nil {
		return nil, &invalidList{hint.Annotated{Where: file, Cause: err, Do: "make the file readable, or remove it"}}
	}
	return parseKnownRed(filepath.Base(file), string(text))
}

// parseKnownRed parses lines of the form "TestName | cause | issue N", and ignores empty lines.
func parseKnownRed(file, text string) ([]knownRed, error) {
	var list []knownRed
	seen := map[string]bool{}
	for i, line := range strings.Split(text, "\n") {
		line = strings.TrimSpace(line)
		if line == "" {
			continue
		}
		where := fmt.Sprintf("%s:%d", file, i+1)
		red, err := parseKnownRedLine(where, line)
		if err != nil {
			return nil, err
		}
		if seen[red.test] {
			return nil, badLine(where, red.test+" is listed twice", "leave one line for it")
		}
		seen[red.test] = true
		list = append(list, red)
		if len(list) > maxKnownRed {
			return nil, badLine(where, fmt.Sprintf("more than %d tests are listed", maxKnownRed), "fix one of them first")
		}
	}
	return list, nil
}

func parseKnownRedLine(where, line string) (knownRed, error) {
	fields := strings.Split(line, "|")
	if len(fields) != 3 {
		return knownRed{}, badLine(where, "the line is not of the form TestName | cause | issue N", "write it in this form")
	}
	red := knownRed{
		test:  strings.TrimSpace(fields[0]),
		cause: strings.TrimSpace(fields[1]),
		issue: strings.TrimSpace(fields[2]),
	}
	switch {
	case !knownRedTest.MatchString(red.test):
		return knownRed{}, badLine(
			where,
			fmt.Sprintf("%q is not a test's name", red.test),
			"name one test, without subtests",
		)
	case red.cause == "":
		return knownRed{}, badLine(where, red.test+" has no cause", "state why it fails")
	case !knownRedIssue.MatchString(red.issue):
		return knownRed{}, badLine(where, red.test+" names no issue", "file one, and end the line with issue N")
	}
	return red, nil
}

// checkDeclared returns an error for a test that no file declares, and for a name that more than one package declares:
// -skip would skip all of them.
func checkDeclared(list []knownRed, files []string) error {
	declared, err := countTests(list, files)
	if err != nil {
		return err
	}
	for _, red := range list {
		switch n := declared[red.test]; {
		case n == 0:
			return badLine(red.test, "no package has a test of this name", "correct the name, or remove the line")
		case n > 1:
			return badLine(red.test, fmt.Sprintf("%d packages have a test of this name", n), "rename the one that fails")
		}
	}
	return nil
}

// countTests counts the declarations of each listed test.
func countTests(list []knownRed, files []string) (map[string]int, error) {
	declared := map[string]int{}
	if len(list) == 0 {
		return declared, nil
	}
	for _, file := range files {
		parsed, err := parser.ParseFile(token.NewFileSet(), file, nil, parser.SkipObjectResolution)
		if err != nil {
			return nil, &invalidList{hint.Annotated{Where: file, Cause: err, Do: "correct the test file"}}
		}
		for _, declaration := range parsed.Decls {
			if function, ok := declaration.(*ast.FuncDecl); ok && function.Recv == nil {
				declared[function.Name.Name]++
			}
		}
	}
	return declared, nil
}

// skipArguments returns the arguments that make go test skip the listed tests and no others.
func skipArguments(list []knownRed) []string {
	if len(list) == 0 {
		return nil
	}
	patterns := make([]string, len(list))
	for i, red := range list {
		patterns[i] = "^" + red.test + "$"
	}
	return []string{"-skip", strings.Join(patterns, "|")}
}
