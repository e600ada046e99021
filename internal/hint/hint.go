// Package hint is the one form of errors that tell an operator what to do: what went wrong, where, the cause, and
// what can be done about it. It owns how such an error reads in a log, at exit and in the answer to a call; it must
// never decide anything. Each package keeps error types of its own, so that errors.As tells them apart, and embeds
// or returns the words here.
package hint

import (
	"errors"
	"syscall"
)

// Hinter is an error that says what an operator can do. Every error type of the packages that use this one is a
// Giver.
type Hinter interface {
	error
	Hint() string // one sentence without its full stop, never empty
}

// Of is what an operator can do about err: the advice of the first Giver in its chain, "" if there is none.
func Of(err error) string {
	var g Hinter
	if errors.As(err, &g) {
		return g.Hint()
	}
	return ""
}

// Annotated are the parts of an error. A package embeds them in a type of its own, so that its methods are *Words'.
type Annotated struct {
	Where string // a setting, a file, an address; "" where What says it
	What  string // what is wrong; "" where the cause says it
	Cause error
	Do    string // what an operator can do, never empty
}

func (w *Annotated) Error() string {
	s := w.Where
	for _, part := range [...]string{w.What, errorText(w.Cause)} {
		if s != "" && part != "" {
			s += ": "
		}
		s += part
	}
	return s
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// Unwrap implements errors.Is and errors.As.
func (w *Annotated) Unwrap() error { return w.Cause }

// Hint implements Giver. A cause that gives advice knows better, and so does the system's own error.
func (w *Annotated) Hint() string {
	if do := Of(w.Cause); do != "" {
		return do
	}
	for _, s := range systemErrors {
		if errors.Is(w.Cause, s.errno) {
			return s.hint
		}
	}
	return w.Do
}

// systemErrors is what to do where the systemErrors's error says it, whatever failed.
var systemErrors = []struct {
	errno syscall.Errno
	hint string
}{
	{syscall.ENOSPC, "make room on the disk"},
	{syscall.EDQUOT, "make room on the disk, or raise the user's quota"},
	{syscall.EACCES, "give the program's user the right to it"},
	{syscall.EPERM, "give the program's user the right to it"},
	{syscall.EROFS, "name a folder on a disk that can be written"},
	{syscall.EADDRINUSE, "another process has this address: end that one, or give another address"},
	{syscall.EADDRNOTAVAIL, "give an address that this machine has"},
	{syscall.EMFILE, "raise the limit on open files (ulimit -n)"},
	{syscall.ENFILE, "raise the machine's limit on open files (fs.file-max)"},
	{syscall.ECONNREFUSED, "nobody listens there: see that the address is right and the program runs"},
}

// Line is err in one line, with what can be done about it behind: "what; do: advice".
func Line(err error) string {
	if a := Of(err); a != "" {
		return err.Error() + "; do: " + a
	}
	return err.Error()
}
