package hint

import (
	"errors"
	"fmt"
	"io/fs"
	"syscall"
	"testing"
)

type wrong struct{}

func (wrong) Error() string { return "off" }
func (wrong) Hint() string  { return "switch it on" }

func TestLine(t *testing.T) {
	if got := Line(fmt.Errorf("at b2: %w", wrong{})); got != "at b2: off; do: switch it on" {
		t.Error(got)
	}
	if got := Line(errors.New("plain")); got != "plain" {
		t.Error(got)
	}
}

type named struct{ Annotated }

// A cause that gives advice is nearer to the fault, and so is the system's own; errors.Is and errors.As see through.
func TestWords(t *testing.T) {
	full := &fs.PathError{Op: "write", Path: "/x", Err: syscall.ENOSPC}
	for _, x := range []struct {
		of         Annotated
		text, does string
	}{
		{Annotated{Where: "a.b", What: "too long", Do: "cut it"}, "a.b: too long", "cut it"},
		{Annotated{What: "too long", Do: "cut it"}, "too long", "cut it"},
		{Annotated{Where: "f", Cause: wrong{}, Do: "mend f"}, "f: off", "switch it on"},
		{Annotated{Where: "f", What: "not kept", Cause: full, Do: "mend f"}, "f: not kept: write /x: no space left on device", "make room on the disk"},
		{Annotated{Cause: errors.New("plain"), Do: "mend f"}, "plain", "mend f"},
	} {
		err := fmt.Errorf("%w", &named{x.of})
		if err.Error() != x.text || Of(err) != x.does {
			t.Errorf("%+v: %s", x.of, Line(err))
		}
		var n *named
		if !errors.As(err, &n) || x.of.Cause != nil && !errors.Is(err, x.of.Cause) {
			t.Errorf("%+v is not seen through", x.of)
		}
	}
}
