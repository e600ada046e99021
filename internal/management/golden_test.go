package management

import (
	"bytes"
	"fmt"
	"testing"

	"oatloft/internal/golden"
)

// Operators' scripts depend on the wording of calls and answers.
func TestCallAndAnswerFormat(t *testing.T) {
	var out bytes.Buffer
	for _, line := range []string{
		"status", "maint-on s-1", "maint-off s-1", "standby", "active", "peers", "peers x", "revision status",
		"maint-on", "status x",
		"maint-on a b", "revision", "nothing", "", "stat\xffus",
	} {
		call, err := Parse([]byte(line))
		fmt.Fprintf(&out, "%q: %d %v %q %v\n", line, call.Verb, call.Verb, call.Argument, err)
	}
	for _, answer := range []Answer{Yes(""), Yes("%v, %d standing", Drain, 3), No("busy: nothing\nchanged")} {
		fmt.Fprintf(&out, "%q\n", answer.Line())
	}
	golden.Check(t, "calls.txt", out.Bytes())
}
