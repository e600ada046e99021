package bandwidth

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"oatloft/internal/golden"
)

// Messages about links to and from balancers of another version keep their bytes.
func TestFormOfMessages(t *testing.T) {
	var asks, readAsks Asks
	golden.Fill(&asks)
	golden.Check(t, "demand.bin", asks.wire())
	if err := readAsks.read(golden.Read(t, "demand.bin")); err != nil || cmp.Diff(asks, readAsks) != "" {
		t.Error(err, cmp.Diff(asks, readAsks))
	}
	var grants, readGrants Grants
	golden.Fill(&grants)
	golden.Check(t, "grants.bin", grants.wire())
	if err := readGrants.read(golden.Read(t, "grants.bin")); err != nil || cmp.Diff(grants, readGrants) != "" {
		t.Error(err, cmp.Diff(grants, readGrants))
	}
}
