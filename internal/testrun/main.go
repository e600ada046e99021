// Command testrun runs the project's test command for .ci/run: it skips the tests that KNOWN-RED.txt lists, prints the
// output of go test, and lists the slowest tests at the end. It is not part of the released programs.
package main

import (
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"strings"

	"oatloft/internal/hint"
)

// notRun is the error that a command could not be run, or is not a test command.
type notRun struct{ hint.Annotated }

func main() {
	err := run(os.Stdout, os.Args[1:])
	var failed *exec.ExitError
	if errors.As(err, &failed) {
		os.Exit(max(failed.ExitCode(), 1)) // go test has printed what failed
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "testrun:", hint.Line(err))
		os.Exit(1)
	}
}

// run runs a command such as go test -race ./... in the working directory, which must be the module's root.
func run(out io.Writer, command []string) error {
	if len(command) < 3 || command[0] != "go" || command[1] != "test" {
		return &notRun{hint.Annotated{What: fmt.Sprintf("%q is not a test command", strings.Join(command, " ")),
			Do: "pass go test, its flags and the packages"}}
	}
	list, err := readKnownRed("KNOWN-RED.txt")
	if err != nil {
		return err
	}
	files, err := testFiles(command[len(command)-1])
	if err != nil {
		return err
	}
	if err := checkDeclared(list, files); err != nil {
		return err
	}
	printKnownRed(out, list)
	result := test(out, command, list)
	printKnownRed(out, list)
	return result
}

func printKnownRed(out io.Writer, list []knownRed) {
	for _, red := range list {
		_, _ = fmt.Fprintf(out, "known to fail, skipped: %s (%s, %s)\n", red.test, red.cause, red.issue)
	}
}

// testFiles returns the test files that go test would compile for a package pattern.
func testFiles(packages string) ([]string, error) {
	const format = "{{$d := .Dir}}{{range .TestGoFiles}}{{$d}}/{{.}}\n{{end}}{{range .XTestGoFiles}}{{$d}}/{{.}}\n{{end}}"
	command := exec.Command("go", "list", "-f", format, packages)
	command.Stderr = os.Stderr
	out, err := command.Output()
	if err != nil {
		return nil, &notRun{hint.Annotated{Where: "go list " + packages, Cause: err, Do: "fix the error that it reports"}}
	}
	return strings.Fields(string(out)), nil
}

// test runs the command with -json, and prints the report. It returns the error of go test.
func test(out io.Writer, command []string, list []knownRed) error {
	arguments := append([]string{"test", "-json"}, skipArguments(list)...)
	tests := exec.Command("go", append(arguments, command[2:]...)...)
	tests.Stderr = os.Stderr
	events, err := tests.StdoutPipe()
	if err == nil {
		err = tests.Start()
	}
	if err != nil {
		return &notRun{hint.Annotated{Where: "go test", Cause: err, Do: "check that go is on the path"}}
	}
	lines := report{out: out}
	if err := lines.read(events); err != nil {
		return errors.Join(&notRun{hint.Annotated{Where: "go test", Cause: err, Do: "run it again"}}, tests.Wait())
	}
	lines.printSlowest()
	return tests.Wait()
}
