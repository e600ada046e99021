//go:build defects

package bandwidth

import (
	"testing"

	"pgregory.net/rapid"

	"oatloft/internal/failpoint"
)

// TestDefectsAreFound checks that generated runs detect each failpoint built into the allocation.
// Run with: go test -tags defects -run Defects -v ./internal/bandwidth
func TestDefectsAreFound(t *testing.T) {
	defer failpoint.Choose("")
	runs := rapid.Custom(generatedRun)
	for _, name := range []string{"links-freed-early", "links-no-wait", "links-held-on", "links-late-answer"} {
		failpoint.Choose(name)
		seed := 0
		for ; seed < 3000; seed++ {
			if err := runs.Example(seed); err != nil {
				t.Logf("%s: seed %d: %v", name, seed, err)
				break
			}
		}
		if seed == 3000 {
			t.Errorf("%s: not found in %d runs", name, seed)
		}
	}
}
