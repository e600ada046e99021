//go:build defects

package failpoint

import "os"

var chosen = os.Getenv("OATLOFT_DEFECT")

// On reports whether a defect is built in and chosen, by OATLOFT_DEFECT or Choose.
func On(name string) bool { return chosen == name }

// Choose chooses a defect in place of the environment, for tests that try many in one process.
func Choose(name string) { chosen = name }
