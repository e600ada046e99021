package main

import (
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
)

// pageFolders are patterns of the pages' paths, relative to the root of the tree. Each must match at least one page.
var pageFolders = []string{"README.md", "docs/*.md", "docs/design/*.md", "docs/operators/*.md", "docs/incidents/*.md"}

// namesOutsideTree are names that pages quote in backticks although the tree does not contain them, with the reason.
var namesOutsideTree = map[string]string{
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

// quoted matches a text in single backticks.
var quoted = regexp.MustCompile("`([^`]+)`")

// TestPagesNameWhatExists checks that the tree contains each file, folder and identifier that the pages quote in
// backticks.
func TestPagesNameWhatExists(t *testing.T) {
	for _, problem := range readTree(t, "../..").checkPages("../..") {
		t.Error(problem)
	}
}

// TestPagesWithoutNamesAreAProblem checks that the check fails if there is nothing to check.
func TestPagesWithoutNamesAreAProblem(t *testing.T) {
	tree, root := readTree(t, "../.."), t.TempDir()
	if problems := tree.checkPages(root); len(problems) != len(pageFolders)+len(namesOutsideTree) {
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
	problems := tree.checkPages(root)
	if len(problems) != len(pageFolders)+len(namesOutsideTree) ||
		!strings.Contains(problems[0], "no page of README.md names") {
		t.Errorf("pages without names: %q", problems)
	}
	if err := os.WriteFile(filepath.Join(root, "docs/a.md"), []byte("One\n`nowhere.go`."), 0o600); err != nil {
		t.Fatal(err)
	}
	want := "docs/a.md:2: `nowhere.go` is no file or identifier of the tree"
	if problems := tree.checkPages(root); !slices.Contains(problems, want) {
		t.Errorf("%q does not say %q", problems, want)
	}
}

// TestMissingNamesAreFound runs the check on samples of names that exist, of names that do not, and of other texts.
func TestMissingNamesAreFound(t *testing.T) {
	tree := readTree(t, "../..")
	for _, name := range []string{
		"README.md", "internal/core/watch.go", "core/watch.go", "watch.go", "cmd/oatlab", "deploy/", "internal/testrun/",
		"core.Reducer", "core.Reducer.Step", "Reducer.Step", "policy.Balancer.Step", "time.Sleep",
		"net/http", "limits.max-attempts", "go.etcd.io/raft", "bin/oatloft", "r/ID", "oatloft-NAME-maintenance.json",
	} {
		missing, checked := tree.missingNames("The name `" + name + "` stands here.")
		if len(missing) != 0 || checked != 1 {
			t.Errorf("%s: missing %v, %d checked", name, missing, checked)
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
		missing, checked := tree.missingNames(text)
		if len(missing) != 1 || checked != 2 || missing[0].line != 10 || missing[0].text != name {
			t.Errorf("%s: found %v of %d", name, missing, checked)
		}
	}
	for _, text := range []string{
		"settle", "--links", "../given", "/proc", "$TMPDIR", "revision propose", "BUSY", "on_cut", "go test ./...", "a-b",
	} {
		if missing, checked := tree.missingNames("Here `" + text + "`."); len(missing) != 0 || checked != 0 {
			t.Errorf("%q counts as a name of code: missing %v, checked %d", text, missing, checked)
		}
	}
}

// checkPages returns the problems of the names in the pages under a root.
func (t *tree) checkPages(root string) (problems []string) {
	unmentioned := maps.Clone(namesOutsideTree)
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
				delete(unmentioned, name.text)
			}
			missing, names := t.missingNames(string(text))
			checked += names
			relative := strings.TrimPrefix(filepath.ToSlash(page), filepath.ToSlash(root)+"/")
			for _, name := range missing {
				problems = append(problems,
					fmt.Sprintf("%s:%d: `%s` is no file or identifier of the tree", relative, name.line, name.text))
			}
		}
		if checked == 0 {
			problems = append(problems, fmt.Sprintf("no page of %s names a file or an identifier", folder))
		}
	}
	for name := range unmentioned {
		problems = append(problems, fmt.Sprintf("no page names %s: remove it from namesOutsideTree", name))
	}
	return problems
}

// pageName is a text that a page quotes in backticks, with its line number.
type pageName struct {
	line int
	text string
}

// missingNames returns the names in a page that the tree does not contain, and the number of names that it looked up.
func (t *tree) missingNames(text string) (missing []pageName, checked int) {
	for _, name := range quotedNames(text) {
		switch found, isName := t.lookUp(name.text); {
		case !isName:
		case !found:
			missing = append(missing, name)
			checked++
		default:
			checked++
		}
	}
	return missing, checked
}

// quotedNames returns the texts in single backticks of a page, except those in code blocks.
func quotedNames(page string) (names []pageName) {
	paragraph, first := "", 1
	fenced, indented, blank := false, false, true
	endParagraph := func() {
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
			endParagraph()
			continue
		}
		if paragraph == "" {
			first = i + 1
		}
		paragraph += line + "\n"
	}
	endParagraph()
	return names
}
