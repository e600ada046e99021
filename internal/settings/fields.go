// Package settings owns the one mapping from the names of the platform's settings to policy.Config. It
// serves both forms in which they come: the dotted pairs of the bench's wire, and the nested JSON of a
// balancer's configuration, which Flatten turns into such pairs. It must never know where settings come
// from, and never decide by them.
package settings

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"oatloft/internal/hint"
)

// Fields are the name=value parts of one line. The first bad or missing value stays in err, so that a
// line can be read in one go and checked once.
type Fields struct {
	values map[string]string
	Err    error
}

// Parse splits the parts of a line. A field of free text takes up the rest of the line, and so do
// the settings, whose paths stand there without a name in front.
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

// Unfit is a setting of the platform, or a part of a line, that is missing or can't be read.
type Unfit struct{ hint.Annotated }

// Fail keeps the first fault.
func (f *Fields) Fail(format string, args ...any) {
	if f.Err == nil {
		f.Err = &Unfit{hint.Annotated{What: fmt.Sprintf(format, args...), Do: "mend it where the settings come from"}}
	}
}

// Has tells whether a part is there.
func (f *Fields) Has(name string) bool { _, ok := f.values[name]; return ok }

// Text is the part as it came.
func (f *Fields) Text(name string) string { return f.values[name] }

// Required is a part that must be there.
func (f *Fields) Required(name string) string {
	v := f.values[name]
	if v == "" || v == Null {
		f.Fail("%s is missing", name)
	}
	return v
}

// Null stands where a figure is not known, in lists above all.
const Null = "null"

// Number reads a finite figure; absent counts as 0.
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

// ParseNumber reads a finite number.
func ParseNumber(v string) (float64, error) {
	x, err := strconv.ParseFloat(v, 64)
	if err != nil || math.IsNaN(x) || math.IsInf(x, 0) {
		return 0, &Unfit{hint.Annotated{What: fmt.Sprintf("%q is not a number", v), Do: "write a finite figure"}}
	}
	return x, nil
}

// Integer reads a whole number; absent counts as 0.
func (f *Fields) Integer(name string) int {
	x := f.Number(name)
	if x != math.Trunc(x) || math.Abs(x) > math.MaxInt32 {
		f.Fail("%s: %q is not a whole number", name, f.values[name])
		return 0
	}
	return int(x)
}

// maxMillis keeps every time, and sums of a few, within a time.Duration.
const maxMillis = 1e12

// Millis reads a time in milliseconds.
func (f *Fields) Millis(name string) time.Duration {
	x := f.Number(name)
	if math.Abs(x) > maxMillis {
		f.Fail("%s: %q is out of range", name, f.values[name])
		return 0
	}
	return time.Duration(math.Round(x*1000)) * time.Microsecond
}

// Flag reads 1 or 0.
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

// OneOf looks a word up; an unknown word is an error, because acting on a guess could break a rule.
func OneOf[T any](f *Fields, name string, words map[string]T) T {
	v, ok := words[f.Required(name)]
	if !ok {
		f.Fail("%s: unknown word %q", name, f.values[name])
	}
	return v
}
