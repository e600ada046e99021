package main

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

func TestKnownRedIsEmptyWithoutAFile(t *testing.T) {
	list, err := readKnownRed(filepath.Join(t.TempDir(), "KNOWN-RED.txt"))
	if err != nil || len(list) != 0 || skipArguments(list) != nil {
		t.Fatalf("got %v, %v, skip %v", list, err, skipArguments(list))
	}
}

func TestKnownRedIsReadFromItsFile(t *testing.T) {
	file := filepath.Join(t.TempDir(), "KNOWN-RED.txt")
	text := "TestOne | the first fault | issue 7\n\nTestTwo | the second | issue 12\n"
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	got, err := readKnownRed(file)
	want := []knownRed{{"TestOne", "the first fault", "issue 7"}, {"TestTwo", "the second", "issue 12"}}
	if err != nil || !slices.Equal(got, want) {
		t.Fatalf("got %v, %v", got, err)
	}
	if skip := skipArguments(got); !slices.Equal(skip, []string{"-skip", "^TestOne$|^TestTwo$"}) {
		t.Fatalf("skip %q", skip)
	}
}

func TestInvalidKnownRedLinesAreRefused(t *testing.T) {
	four := ""
	for i := range maxKnownRed + 1 {
		four += fmt.Sprintf("Test%d | cause | issue 1\n", i)
	}
	for _, row := range []struct{ text, want string }{
		{four, "KNOWN-RED.txt:4: more than 3"},
		{"TestOne", "not of the form"},
		{"TestOne | cause", "not of the form"},
		{"TestOne | cause | issue 1 | more", "not of the form"},
		{"TestOne |  | issue 1", "no cause"},
		{"TestOne | cause | ", "names no issue"},
		{"TestOne | cause | issue", "names no issue"},
		{"TestOne | cause | issue 0", "names no issue"},
		{"TestOne | cause | issue 1 and 2", "names no issue"},
		{"Test.* | cause | issue 1", "not a test's name"},
		{"TestOne/part | cause | issue 1", "not a test's name"},
		{" | cause | issue 1", "not a test's name"},
		{"one | cause | issue 1", "not a test's name"},
		{"TestOne | cause | issue 1\nTestOne | other | issue 2", "twice"},
	} {
		list, err := parseKnownRed("KNOWN-RED.txt", row.text)
		if err == nil || !strings.Contains(err.Error(), row.want) {
			t.Errorf("%q: got %v, %v, want %q", row.text, list, err, row.want)
		}
	}
}

func TestKnownRedNamesExactlyOneTest(t *testing.T) {
	folder := t.TempDir()
	write := func(name, body string) string {
		file := filepath.Join(folder, name)
		if err := os.WriteFile(file, []byte("package x\n"+body), 0o600); err != nil {
			t.Fatal(err)
		}
		return file
	}
	files := []string{
		write("a_test.go", "func TestOne() {}\nfunc TestTwo() {}\ntype bed struct{}\nfunc (bed) TestMethod() {}\n"),
		write("b_test.go", "func TestTwo() {}\n"),
	}
	for test, want := range map[string]string{
		"TestOne":    "",
		"TestTwo":    "2 packages",
		"TestThree":  "no package",
		"TestMethod": "no package",
		"TestOn":     "no package",
	} {
		err := checkDeclared([]knownRed{{test: test}}, files)
		if want == "" && err != nil || want != "" && (err == nil || !strings.Contains(err.Error(), want)) {
			t.Errorf("%s: got %v, want %q", test, err, want)
		}
	}
}

// TestReport reads the output of go test -json for a package that passed, one that failed, one without tests, one whose
// build failed and one that never ended.
func TestReport(t *testing.T) {
	events := `not an event
{"Action":"run","Package":"m/good","Test":"TestSlow"}
{"Action":"output","Package":"m/good","Test":"TestSlow","Output":"=== RUN   TestSlow\n"}
{"Action":"output","Package":"m/good","Test":"TestSlow","Output":"chatter\n"}
{"Action":"pass","Package":"m/good","Test":"TestSlow/part","Elapsed":9}
{"Action":"pass","Package":"m/good","Test":"TestSlow","Elapsed":9.5}
{"Action":"output","Package":"m/good","Output":"PASS\n"}
{"Action":"output","Package":"m/good","Output":"ok  \tm/good\t9.6s\n"}
{"Action":"pass","Package":"m/good","Elapsed":9.6}
{"Action":"output","Package":"m/bad","Test":"TestBad","Output":"=== RUN   TestBad\n"}
{"Action":"output","Package":"m/bad","Test":"TestBad","Output":"    bad_test.go:3: "}
{"Action":"output","Package":"m/bad","Test":"TestBad","Output":"wrong\n"}
{"Action":"output","Package":"m/bad","Test":"TestBad","Output":"--- FAIL: TestBad (0.10s)\n"}
{"Action":"fail","Package":"m/bad","Test":"TestBad","Elapsed":0.1}
{"Action":"output","Package":"m/bad","Test":"TestFine","Output":"WARNING: DATA RACE\n"}
{"Action":"pass","Package":"m/bad","Test":"TestFine","Elapsed":0.2}
{"Action":"output","Package":"m/bad","Output":"FAIL\tm/bad\t0.3s\n"}
{"Action":"fail","Package":"m/bad","Elapsed":0.3}
{"Action":"output","Package":"m/none","Output":"?   \tm/none\t[no test files]\n"}
{"Action":"skip","Package":"m/none","Elapsed":0}
{"Action":"build-output","ImportPath":"m/broken","Output":"broken.go:1: undefined: x\n"}
{"Action":"build-fail","ImportPath":"m/broken"}
{"Action":"output","Package":"m/broken","Output":"FAIL\tm/broken [build failed]\n"}
{"Action":"fail","Package":"m/broken","Elapsed":0}
{"Action":"output","Package":"m/open","Test":"TestOpen","Output":"panic: out of time\n"}
`
	want := "not an event\n" +
		"ok  \tm/good\t9.6s\n" +
		"    bad_test.go:3: wrong\n--- FAIL: TestBad (0.10s)\nWARNING: DATA RACE\nFAIL\tm/bad\t0.3s\n" +
		"?   \tm/none\t[no test files]\n" +
		"broken.go:1: undefined: x\nFAIL\tm/broken [build failed]\n" +
		"panic: out of time\n" +
		"slowest tests:\n" +
		"    9.50s  TestSlow  m/good\n" +
		"    0.20s  TestFine  m/bad\n" +
		"    0.10s  TestBad  m/bad\n"
	var got strings.Builder
	r := report{out: &got}
	if err := r.read(strings.NewReader(events)); err != nil {
		t.Fatal(err)
	}
	r.printSlowest()
	if got.String() != want {
		t.Errorf("got\n%s\nwant\n%s", got.String(), want)
	}
}

// TestOtherCommandsAreRefused checks that commands other than go test, which README.md might name by mistake, are
// refused.
func TestOtherCommandsAreRefused(t *testing.T) {
	for _, command := range [][]string{nil, {"go"}, {"go", "test"}, {"go", "vet", "./..."}, {"true", "test", "./..."}} {
		if err := run(io.Discard, command); err == nil || !strings.Contains(err.Error(), "not a test command") {
			t.Errorf("%q: got %v", command, err)
		}
	}
}

// TestRunSkipsOnlyTheListedTest runs go test in a small module: the listed test fails and is skipped, a test whose name
// has the same prefix runs, and without the list the run fails.
func TestRunSkipsOnlyTheListedTest(t *testing.T) {
	t.Chdir(t.TempDir())
	write := func(name, body string) {
		if err := os.WriteFile(name, []byte(body), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write("go.mod", "module small\n")
	write("small_test.go", "package small\nimport \"testing\"\n"+
		"func TestRed(t *testing.T) { t.Fatal(\"still broken\") }\nfunc TestRedder(t *testing.T) {}\n")
	command := []string{"go", "test", "-count=1", "./..."}

	write("KNOWN-RED.txt", "TestRed | it is broken | issue 5\n")
	var out strings.Builder
	if err := run(&out, command); err != nil {
		t.Fatalf("with the list: %v\n%s", err, out.String())
	}
	const skipped = "known to fail, skipped: TestRed (it is broken, issue 5)\n"
	if got := out.String(); !strings.HasSuffix(got, skipped) || !strings.Contains(got, "s  TestRedder  small\n") {
		t.Errorf("with the list: %q", got)
	}

	write("KNOWN-RED.txt", "")
	out.Reset()
	if err := run(&out, command); err == nil || !strings.Contains(out.String(), "still broken") {
		t.Errorf("without the list: %v, %q", err, out.String())
	}

	write("KNOWN-RED.txt", "TestGreen | it is broken | issue 5\n")
	if err := run(io.Discard, command); err == nil || !strings.Contains(err.Error(), "no package has a test") {
		t.Errorf("with a name that no test has: %v", err)
	}
}
