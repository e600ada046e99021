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

// A cause that gives advice is nearer to the fault, and so is the system's own; errors.Is and errors.As see through.
func TestAnnotated(t *testing.T) {
	full := &fs.PathError{Op: "write", Path: "/x", Err: syscall.ENOSPC}
	for _, x := range []struct {
		of         Annotated
		text, does string
	}{
		{Annotated{Where: "a.b", What: "too long", Do: "cut it"}, "a.b: too long", "cut it"},
		{Annotated{What: "too long", Do: "cut it"}, "too long", "cut it"},
		{Annotated{Where: "f", Cause: hintedError{}, Do: "mend f"}, "f: off", "switch it on"},
		{Annotated{Where: "f", What: "not kept", Cause: full, Do: "mend f"}, "f: not kept: write /x: no space left on device", "make room on the disk"},
		{Annotated{Cause: errors.New("plain"), Do: "mend f"}, "plain", "mend f"},
	} {
		err := fmt.Errorf("%w", &namedError{x.of})
		if err.Error() != x.text || Of(err) != x.does {
			t.Errorf("%+v: %s", x.of, Line(err))
		}
		var n *namedError
		if !errors.As(err, &n) || x.of.Cause != nil && !errors.Is(err, x.of.Cause) {
			t.Errorf("%+v is not seen through", x.of)
		}
	}
}
