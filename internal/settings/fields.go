// Package settings maps the names of the platform's settings to policy.Config, in both forms that they have: the dotted
// pairs of the bench's wire format, and the nested JSON of a balancer's configuration, which Flatten converts to such
// pairs. It neither reads settings from their source nor makes decisions by them.
package settings

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"oatloft/internal/hint"
)

// Fields are the name=value pairs of one line. Err keeps the first missing or invalid value, so that a line can be read
// completely and checked once.
type Fields struct {
	values map[string]string
	Err    error
}

// Parse splits a line at spaces into name=value pairs; the dotted paths of settings are names like any other. It
// records an error for a part without an equals sign and stops there.
func Parse(rest string) *Fields {
	f := &Fields{values: make(map[string]string, 12)}
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
			f.Fail("%q is not name=value", part)
			return f
		}
		f.values[name] = value
	}
	return f
}

// Invalid is a platform setting, or a part of a line, that is missing or cannot be parsed.
type Invalid struct{ hint.Annotated }

// Fail records an error, unless there is one already.
func (f *Fields) Fail(format string, args ...any) {
	if f.Err == nil {
		f.Err = &Invalid{hint.Annotated{What: fmt.Sprintf(format, args...), Do: "correct it in the source of the settings"}}
	}
}

// Has reports whether the line has a value of that name.
func (f *Fields) Has(name string) bool { _, ok := f.values[name]; return ok }

// Text returns a value unchanged, or an empty string.
func (f *Fields) Text(name string) string { return f.values[name] }

// Required returns a value, and records an error if it is missing.
func (f *Fields) Required(name string) string {
	v := f.values[name]
	if v == "" || v == Null {
		f.Fail("%s is missing", name)
	}
	return v
}

// Null stands for a value that is not known, mostly in lists.
const Null = "null"

// Number parses a finite number; a missing value is 0.
func (f *Fields) Number(name string) float64 {
	v, ok := f.values[name]
	if !ok || v == Null {
		return 0
	}
	x, err := ParseNumber(v)
	if err != nil {
		f.Fail("%s: %v", name, err)
	}
	return x
}

// ParseNumber parses a finite number.
func ParseNumber(v string) (float64, error) {
	x, err := strconv.ParseFloat(v, 64)
	if err != nil || math.IsNaN(x) || math.IsInf(x, 0) {
		return 0, &Invalid{hint.Annotated{What: fmt.Sprintf("%q is not a number", v), Do: "write a finite number"}}
	}
	return x, nil
}

// Integer parses a whole number; a missing value is 0.
func (f *Fields) Integer(name string) int {
	x := f.Number(name)
	if x != math.Trunc(x) || math.Abs(x) > math.MaxInt32 {
		f.Fail("%s: %q is not a whole number", name, f.values[name])
		return 0
	}
	return int(x)
}

// maxMillis, in milliseconds, keeps each duration, and sums of a few, within the range of time.Duration.
const maxMillis = 1e12

// Millis parses a duration in milliseconds.
func (f *Fields) Millis(name string) time.Duration {
	x := f.Number(name)
	if math.Abs(x) > maxMillis {
		f.Fail("%s: %q is out of range", name, f.values[name])
		return 0
	}
	return time.Duration(math.Round(x*1000)) * time.Microsecond
}

// Flag parses 1 or true as true, and 0, false or a missing value as false.
func (f *Fields) Flag(name string) bool {
	switch f.values[name] {
	case "1", "true":
		return true
	case "0", "false", "":
		return false
	}
	f.Fail("%s: %q is not 1 or 0", name, f.values[name])
	return false
}

// OneOf returns the value that words has for a required field. An unknown word is an error, since acting on a guess
// could break a rule.
func OneOf[T any](f *Fields, name string, words map[string]T) T {
	v, ok := words[f.Required(name)]
	if !ok {
		f.Fail("%s: unknown word %q", name, f.values[name])
	}
	return v
}
