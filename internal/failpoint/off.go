//go:build !defects

// Package failpoint holds faults that are built in on purpose, to show that the proving ground finds them. The
// shipped program has none: without the build tag defects, On is a constant false, and what hangs on it is not
// compiled in.
package failpoint

// On tells whether a defect is built in and chosen.
func On(string) bool { return false }
