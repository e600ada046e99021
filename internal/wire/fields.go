// Package wire speaks the line protocol of the bench: it turns batches of lines into the policy
// package's events and its actions into lines. It decides nothing.
package wire

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"
)

// fields are the name=value parts of one line. The first bad or missing value stays in err, so that a
// line can be read in one go and checked once.
type fields struct {
	values map[string]string
	err    error
}

// parseFields splits the parts of a line. A field of free text takes up the rest of the line, and so do
// the settings, whose paths stand there without a name in front.
func parseFields(rest string) *fields {
	f := &fields{values: make(map[string]string, 12)}
	for rest != "" {
		part := rest
		if i := strings.IndexByte(rest, ' '); i >= 0 {
			part, rest = rest[:i], rest[i+1:]
		} else {
			rest = ""
		}
		if part == "" {
			continue
		}
		name, value, ok := strings.Cut(part, "=")
		if !ok {
			f.fail("%q is not name=value", part)
			return f
		}
		f.values[name] = value
	}
	return f
}

func (f *fields) fail(format string, args ...any) {
	if f.err == nil {
		f.err = fmt.Errorf(format, args...)
	}
}

func (f *fields) has(name string) bool { _, ok := f.values[name]; return ok }

func (f *fields) text(name string) string { return f.values[name] }

func (f *fields) required(name string) string {
	v := f.values[name]
	if v == "" || v == null {
		f.fail("%s is missing", name)
	}
	return v
}

// null stands where a figure is not known, in lists above all.
const null = "null"

// number reads a finite figure; absent counts as 0.
func (f *fields) number(name string) float64 {
	v, ok := f.values[name]
	if !ok || v == null {
		return 0
	}
	x, err := parseNumber(v)
	if err != nil {
		f.fail("%s: %v", name, err)
	}
	return x
}

func parseNumber(v string) (float64, error) {
	x, err := strconv.ParseFloat(v, 64)
	if err != nil || math.IsNaN(x) || math.IsInf(x, 0) {
		return 0, fmt.Errorf("%q is not a number", v)
	}
	return x, nil
}

func (f *fields) integer(name string) int {
	x := f.number(name)
	if x != math.Trunc(x) || math.Abs(x) > math.MaxInt32 {
		f.fail("%s: %q is not a whole number", name, f.values[name])
		return 0
	}
	return int(x)
}

// maxMillis keeps every time, and sums of a few, within a time.Duration.
const maxMillis = 1e12

func (f *fields) millis(name string) time.Duration {
	x := f.number(name)
	if math.Abs(x) > maxMillis {
		f.fail("%s: %q is out of range", name, f.values[name])
		return 0
	}
	return time.Duration(math.Round(x*1000)) * time.Microsecond
}

func (f *fields) flag(name string) bool {
	switch f.values[name] {
	case "1", "true":
		return true
	case "0", "false", "":
		return false
	}
	f.fail("%s: %q is not 1 or 0", name, f.values[name])
	return false
}

// oneOf looks a word up; an unknown word is an error, because acting on a guess could break a rule.
func oneOf[T any](f *fields, name string, words map[string]T) T {
	v, ok := words[f.required(name)]
	if !ok {
		f.fail("%s: unknown word %q", name, f.values[name])
	}
	return v
}
