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

// maxKnownRed is how many tests may be known to fail at a time.
const maxKnownRed = 3

// knownRed is a test that fails for a real fault which is not mended yet.
type knownRed struct {
	test  string
	cause string
	issue string
}

// badList is a list of known failures that can't be taken as it stands.
type badList struct{ hint.Annotated }

func badLine(where, what, do string) error {
	return &badList{hint.Annotated{Where: where, What: what, Do: do}}
}

var (
	knownRedTest  = regexp.MustCompile(`^(Test|Fuzz|Example)\w*$`)
	knownRedIssue = regexp.MustCompile(`^issue [1-9][0-9]*$`)
)

// readKnownRed reads the list in a file; a file that isn't there is an empty list.
func readKnownRed(file string) ([]knownRed, error) {
	text, err := os.ReadFile(file)
	if os.IsNotExist(err) {
		return nil, nil
	}
	if err != nil {
		return nil, &badList{hint.Annotated{Where: file, Cause: err, Do: "make the file readable, or remove it"}}
	}
	return parseKnownRed(filepath.Base(file), string(text))
}

// parseKnownRed takes lines of the form "TestName | cause | issue N"; empty lines are passed over.
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
			return nil, badLine(where, fmt.Sprintf("more than %d tests are listed", maxKnownRed), "mend one of them first")
		}
	}
	return list, nil
}

func parseKnownRedLine(where, line string) (knownRed, error) {
	fields := strings.Split(line, "|")
	if len(fields) != 3 {
		return knownRed{}, badLine(where, "the line is not of the form TestName | cause | issue N", "write it so")
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
			fmt.Sprintf("%q is no test's name", red.test),
			"name one test, without its subtests",
		)
	case red.cause == "":
		return knownRed{}, badLine(where, red.test+" has no cause", "say why it fails")
	case !knownRedIssue.MatchString(red.issue):
		return knownRed{}, badLine(where, red.test+" names no issue", "file one, and end the line with issue N")
	}
	return red, nil
}

// checkDeclared refuses tests that no file declares, and names that more than one package declares: -skip would pass
// over all of them.
func checkDeclared(list []knownRed, files []string) error {
	declared, err := countTests(list, files)
	if err != nil {
		return err
	}
	for _, red := range list {
		switch n := declared[red.test]; {
		case n == 0:
			return badLine(red.test, "no package has a test of this name", "mend the name, or remove the line")
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
			return nil, &badList{hint.Annotated{Where: file, Cause: err, Do: "mend the test file"}}
		}
		for _, declaration := range parsed.Decls {
			if function, ok := declaration.(*ast.FuncDecl); ok && function.Recv == nil {
				declared[function.Name.Name]++
			}
		}
	}
	return declared, nil
}

// skipArguments are the arguments that make go test pass over the listed tests and no others.
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
