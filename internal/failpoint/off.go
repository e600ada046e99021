//go:build !defects

// Package failpoint provides deliberate defects, to verify that the tests and the simulation find them. Released
// programs contain none: without the build tag defects, On is constantly false, and the code that depends on it is not
// compiled in.
package failpoint

// On reports whether a defect is built in and chosen.
func On(string) bool { return false }
