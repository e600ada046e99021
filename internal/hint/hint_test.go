package hint

import (
	"errors"
	"fmt"
	"io/fs"
	"syscall"
	"testing"
)

type hintedError struct{}

func (hintedError) Error() string { return "off" }
func (hintedError) Hint() string  { return "switch it on" }

func TestLine(t *testing.T) {
	if got := Line(fmt.Errorf("at b2: %w", hintedError{})); got != "at b2: off; do: switch it on" {
		t.Error(got)
	}
	if got := Line(errors.New("plain")); got != "plain" {
		t.Error(got)
	}
}

type namedError struct{ Annotated }

// The hint of a cause or of a system error replaces the error's own, and errors.Is and errors.As find the cause.
func TestAnnotated(t *testing.T) {
	full := &fs.PathError{Op: "write", Path: "/x", Err: syscall.ENOSPC}
	for _, x := range []struct {
		err        Annotated
		text, hint string
	}{
		{Annotated{Where: "a.b", What: "too long", Do: "cut it"}, "a.b: too long", "cut it"},
		{Annotated{What: "too long", Do: "cut it"}, "too long", "cut it"},
		{Annotated{Where: "f", Cause: hintedError{}, Do: "mend f"}, "f: off", "switch it on"},
		{
			Annotated{Where: "f", What: "not kept", Cause: full, Do: "mend f"},
			"f: not kept: write /x: no space left on device", "free disk space",
		},
		{Annotated{Cause: errors.New("plain"), Do: "mend f"}, "plain", "mend f"},
	} {
		err := fmt.Errorf("%w", &namedError{x.err})
		if err.Error() != x.text || Of(err) != x.hint {
			t.Errorf("%+v: %s", x.err, Line(err))
		}
		var named *namedError
		if !errors.As(err, &named) || x.err.Cause != nil && !errors.Is(err, x.err.Cause) {
			t.Errorf("%+v cannot be unwrapped", x.err)
		}
	}
}
