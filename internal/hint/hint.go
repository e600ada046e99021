// Package hint defines errors that carry a hint for the operator: where the error occurred, what is wrong, its cause,
// and what can be done about it. It defines how such an error is formatted in a log, at exit and in the answer to a
// call, and makes no decisions. Each package declares its own error types, so that errors.As distinguishes them, and
// embeds or returns the types of this package.
package hint

import (
	"errors"
	"syscall"
)

// Hinter is an error that describes what an operator can do. Every error type of the packages that use this one
// implements it.
type Hinter interface {
	error
	Hint() string // one sentence without a full stop, never empty
}

// Of returns what an operator can do about err: the hint of the first Hinter in its chain, or "" if there is none.
func Of(err error) string {
	var hinter Hinter
	if errors.As(err, &hinter) {
		return hinter.Hint()
	}
	return ""
}

// Annotated holds the parts of an error. A package embeds it in its own error type, which so gets the methods of
// *Annotated.
type Annotated struct {
	Where string // a setting, a file or an address; "" if What names it
	What  string // what is wrong; "" if the cause describes it
	Cause error
	Do    string // what an operator can do, never empty
}

func (a *Annotated) Error() string {
	s := a.Where
	for _, part := range [...]string{a.What, errorText(a.Cause)} {
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

// Unwrap returns the cause, for errors.Is and errors.As.
func (a *Annotated) Unwrap() error { return a.Cause }

// Hint implements Hinter. The hint of a cause or of a system error takes precedence, because it is closer to the fault.
func (a *Annotated) Hint() string {
	if do := Of(a.Cause); do != "" {
		return do
	}
	for _, s := range systemErrors {
		if errors.Is(a.Cause, s.errno) {
			return s.hint
		}
	}
	return a.Do
}

// systemErrors lists the system errors that determine the hint by themselves, whatever operation failed.
var systemErrors = []struct {
	errno syscall.Errno
	hint  string
}{
	{syscall.ENOSPC, "free disk space"},
	{syscall.EDQUOT, "free disk space, or raise the user's quota"},
	{syscall.EACCES, "grant the program's user access to it"},
	{syscall.EPERM, "grant the program's user access to it"},
	{syscall.EROFS, "set a folder on a writable file system"},
	{syscall.EADDRINUSE, "another process uses this address: stop that process, or set another address"},
	{syscall.EADDRNOTAVAIL, "set an address that this machine has"},
	{syscall.EMFILE, "raise the limit on open files (ulimit -n)"},
	{syscall.ENFILE, "raise the machine's limit on open files (fs.file-max)"},
	{syscall.ECONNREFUSED, "nothing listens on this address: check the address and that the program is running"},
}

// Line returns err in one line, followed by its hint if it has one: "what; do: hint".
func Line(err error) string {
	if do := Of(err); do != "" {
		return err.Error() + "; do: " + do
	}
	return err.Error()
}
