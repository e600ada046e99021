package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
)

// slowestShown is the number of slowest tests that the report lists.
const slowestShown = 10

// testEvent is an event of go test -json.
type testEvent struct {
	Action     string
	Package    string
	ImportPath string // of a build that failed
	Test       string // "" for an event of the package
	Output     string
	Elapsed    float64 // seconds
}

// timedTest is a test with its duration.
type timedTest struct {
	pkg, test string
	seconds   float64
}

// report turns the events of go test -json into the output of go test without -json, and keeps the durations of the
// tests.
type report struct {
	out    io.Writer
	output map[string][]string // by package
	tests  []timedTest
}

// read processes all events; lines that are not events are printed unchanged.
func (r *report) read(in io.Reader) error {
	r.output = map[string][]string{}
	lines := bufio.NewReader(in)
	for {
		line, err := lines.ReadString('\n')
		if line != "" {
			r.take(line)
		}
		if err == io.EOF {
			r.flush()
			return nil
		}
		if err != nil {
			return err
		}
	}
}

func (r *report) take(line string) {
	var event testEvent
	if json.Unmarshal([]byte(line), &event) != nil {
		_, _ = fmt.Fprint(r.out, line) // if writing fails, nobody reads the report
		return
	}
	switch event.Action {
	case "output":
		r.output[event.Package] = append(r.output[event.Package], event.Output)
	case "build-output":
		_, _ = fmt.Fprint(r.out, event.Output)
	case "pass", "fail", "skip":
		r.end(event)
	}
}

// end records the end of a test, or prints the package that ended.
func (r *report) end(event testEvent) {
	if event.Test != "" {
		if !strings.Contains(event.Test, "/") {
			r.tests = append(r.tests, timedTest{event.Package, event.Test, event.Elapsed})
		}
		return
	}
	r.printPackage(event.Package, event.Action == "fail")
	delete(r.output, event.Package)
}

// printPackage prints the closing line of a package, and its whole output if it failed.
func (r *report) printPackage(name string, failed bool) {
	for _, line := range joinLines(r.output[name]) {
		if failed && !isProgress(line) || isClosing(line, name) {
			_, _ = fmt.Fprint(r.out, line)
		}
	}
}

// flush prints the output of packages without an end, which remain if go test itself was killed.
func (r *report) flush() {
	for name := range r.output {
		r.printPackage(name, true)
	}
}

// joinLines joins lines that were split over several events.
func joinLines(pieces []string) []string {
	return slices.Collect(strings.Lines(strings.Join(pieces, "")))
}

// isProgress reports whether a line only reports that a test started, paused, continued, passed or was skipped.
func isProgress(line string) bool {
	line = strings.TrimLeft(line, " ")
	for _, prefix := range []string{"=== RUN", "=== PAUSE", "=== CONT", "=== NAME", "--- PASS", "--- SKIP"} {
		if strings.HasPrefix(line, prefix) {
			return true
		}
	}
	return false
}

// isClosing reports whether a line is the one with which go test ends a package.
func isClosing(line, name string) bool {
	fields := strings.Fields(line)
	return len(fields) > 1 && fields[1] == name && (fields[0] == "ok" || fields[0] == "?" || fields[0] == "FAIL") ||
		len(fields) > 0 && fields[0] == name
}

// printSlowest names the slowest tests, the slowest first.
func (r *report) printSlowest() {
	slices.SortStableFunc(r.tests, func(a, b timedTest) int {
		switch {
		case a.seconds > b.seconds:
			return -1
		case a.seconds < b.seconds:
			return 1
		}
		return strings.Compare(a.pkg+a.test, b.pkg+b.test)
	})
	_, _ = fmt.Fprintln(r.out, "slowest tests:")
	for _, test := range r.tests[:min(slowestShown, len(r.tests))] {
		_, _ = fmt.Fprintf(r.out, "%8.2fs  %s  %s\n", test.seconds, test.test, test.pkg)
	}
}
