package apache

import (
	"fmt"
	"regexp"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

func TestMounts(t *testing.T) {
	text := "# mounts\n/app|/*=lb;reply_timeout=10;stopped=n1,n2\n!/app/*.gif=lb\n" +
		"-/old/*=lb\n/exact=w\n/app/admin/*=w\n*.jsp=w\n!-/x=lb\n"
	mounts, err := Mounts("m", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	var got []string
	for _, m := range mounts {
		got = append(got, fmt.Sprintf("%d %s=%s %v %v %v%s", m.Line, m.Pattern, m.Worker, m.Exclude, m.Disabled,
			len(m.Options), m.Fault))
	}
	want := `2 /app=lb false false 2
2 /app/*=lb false false 2
3 /app/*.gif=lb true false 0
4 /old/*=lb false true 0
5 /exact=w false false 0
6 /app/admin/*=w false false 0
7 *.jsp=w false false 0
8 /x=lb true true 0`
	if strings.Join(got, "\n") != want {
		t.Fatal(strings.Join(got, "\n"))
	}
	for path, want := range map[string]string{
		"/app": "lb", "/app/": "lb", "/app/x": "lb", "/apple": "", "/app/a.gif": "", "/app/admin/x": "w",
		"/app/admin/a.gif": "w",
		"/old/x":           "", "/exact": "w", "/exact/": "", "/any/a.jsp": "w", "/app/admin": "lb", "/": "",
	} {
		got := ""
		if m := Choose(mounts, path); m != nil {
			got = m.Worker
		}
		if got != want {
			t.Errorf("%s goes to %q, want %q", path, got, want)
		}
	}
}

func TestMountFaults(t *testing.T) {
	for text, want := range map[string]string{
		"/app":                              "is not PATTERN=WORKER",
		"/app=":                             "names no worker",
		"=lb":                               "has no pattern",
		"app/*=lb":                          "starts with neither / nor *",
		"/a b=lb":                           "contains a space",
		"/a=lb;reply_timeot=1":              `did you mean "reply_timeout"?`,
		"/a=lb;reply_timeout=soon":          `option reply_timeout: "soon" is not a number`,
		"/a=lb;stateless=1;stateless=0":     "sets the option stateless twice",
		"/a\x00=lb":                         "holds a NUL byte",
		"!!/a=lb":                           "starts with neither / nor *",
		"/a=" + strings.Repeat("x", 70<<10): "longer than",
	} {
		mounts, err := Mounts("m", []byte(text))
		if err != nil || len(mounts) != 1 || !strings.Contains(mounts[0].Fault, want) {
			t.Errorf("%.40q: %+v %v, want %s", text, mounts, err, want)
		}
	}
}

// A pattern matches the same paths as the equivalent regular expression.
func TestWildcards(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		pattern := rapid.StringMatching(`[ab*?/]{0,8}`).Draw(t, "pattern")
		path := rapid.StringMatching(`[ab/]{0,10}`).Draw(t, "path")
		re := regexp.MustCompile("(?s)^" + strings.NewReplacer(`\*`, ".*", `\?`,
			".").Replace(regexp.QuoteMeta(pattern)) + "$")
		if matchesWildcard(pattern, path) != re.MatchString(path) {
			t.Fatalf("%q against %q: %v", pattern, path, matchesWildcard(pattern, path))
		}
	})
}
