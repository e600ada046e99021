//go:build defects

package consensus

import (
	"os"
	"os/exec"
	"strings"
	"testing"
)

// TestDefectsAreFound runs the tests again with each defect of this package enabled, which the tests must detect.
func TestDefectsAreFound(t *testing.T) {
	if os.Getenv("OATLOFT_DEFECT") != "" {
		t.Skip("a defect is enabled already")
	}
	for _, defect := range []struct{ name, run, seed string }{
		{"ack-before-write", "TestSimulation/3_of_3", "22"},
		{"write-error-ignored", "TestSimulation/1_of_1", "1"},
		{"vote-with-lost-folder", "TestSimulation/3_of_3", "6"},
		{"confirm-unasked", "TestSimulation/3_of_3", "15"},
		{"sums-unchecked", "TestCorruptFolder", "0"},
		{"founds-alone", "TestSimulation/3_of_3", "60"},
	} {
		t.Run(defect.name, func(t *testing.T) {
			t.Parallel()
			for _, seed := range []string{defect.seed, "0"} { // the listed seed first, then any
				args := []string{"-test.run", defect.run, "-test.failfast", "-seeds", "40"}
				if seed != "0" {
					args = append(args, "-seed", seed)
				}
				cmd := exec.Command(os.Args[0], args...)
				cmd.Env = append(os.Environ(), "OATLOFT_DEFECT="+defect.name)
				out, err := cmd.CombinedOutput()
				if err != nil && strings.Contains(string(out), "FAIL") {
					t.Logf("detected with seed %s", seed)
					return
				}
			}
			t.Error("defect not detected")
		})
	}
}
