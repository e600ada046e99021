package bandwidth

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"oatloft/internal/golden"
)

// TestMessageEncoding checks that messages to and from balancers of another version keep their encoding.
func TestMessageEncoding(t *testing.T) {
	var asks, readAsks Request
	golden.Fill(&asks)
	golden.Check(t, "demand.bin", asks.encode())
	if err := readAsks.decode(golden.Read(t, "demand.bin")); err != nil || cmp.Diff(asks, readAsks) != "" {
		t.Error(err, cmp.Diff(asks, readAsks))
	}
	var grants, readGrants Response
	golden.Fill(&grants)
	golden.Check(t, "grants.bin", grants.encode())
	if err := readGrants.decode(golden.Read(t, "grants.bin")); err != nil || cmp.Diff(grants, readGrants) != "" {
		t.Error(err, cmp.Diff(grants, readGrants))
	}
}
