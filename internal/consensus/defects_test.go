//go:build defects

package consensus

import (
	"os"
	"os/exec"
	"strings"
	"testing"
)

// TestDefectsAreFound runs the tests again with each defect of this package built in: they must fail.
func TestDefectsAreFound(t *testing.T) {
	if os.Getenv("OATLOFT_DEFECT") != "" {
		t.Skip("one is chosen already")
	}
	for _, d := range []struct{ name, run, seed string }{
		{"ack-before-write", "TestStepped/3_of_3", "22"},
		{"write-error-ignored", "TestStepped/1_of_1", "1"},
		{"vote-with-lost-folder", "TestStepped/3_of_3", "6"},
		{"confirm-unasked", "TestStepped/3_of_3", "15"},
		{"sums-unchecked", "TestDamage", "0"},
		{"founds-alone", "TestStepped/3_of_3", "60"},
	} {
		t.Run(d.name, func(t *testing.T) {
			t.Parallel()
			for _, seed := range []string{d.seed, "0"} { // the one told in the list; and if it isn't that any more, any
				args := []string{"-test.run", d.run, "-test.failfast", "-seeds", "40"}
				if seed != "0" {
					args = append(args, "-seed", seed)
				}
				c := exec.Command(os.Args[0], args...)
				c.Env = append(os.Environ(), "OATLOFT_DEFECT="+d.name)
				out, err := c.CombinedOutput()
				if err != nil && strings.Contains(string(out), "FAIL") {
					t.Logf("found by seed %s", seed)
					return
				}
			}
			t.Error("not found")
		})
	}
}
