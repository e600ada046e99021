package hotrestart

import "oatloft/internal/hint"

// DamagedFile is the error that a file of the state directory cannot be taken for what it should be. It is passed
// over.
type DamagedFile struct{ hint.Annotated }

// WriteFailed is the error that something could not be kept in the state directory. What was asked for has not been
// done.
type WriteFailed struct{ hint.Annotated }

// TooManyProcesses is the error that as many processes of the balancer are running as may be.
type TooManyProcesses struct{ hint.Annotated }

const (
	damagedFileHint  = "move the file away; what it held is gone: make the calls maint-on again that still hold"
	makeWritableHint = "see that the state directory ($TMPDIR) is there and can be written, then call again"
)
