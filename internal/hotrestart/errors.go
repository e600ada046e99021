package hotrestart

import "oatloft/internal/hint"

// DamagedFile is the error for a file of the state directory that is not valid for its purpose. The file is ignored.
type DamagedFile struct{ hint.Annotated }

// WriteFailed is the error for state that could not be written to the state directory. The requested change was not
// made.
type WriteFailed struct{ hint.Annotated }

// TooManyProcesses is the error for a process that exceeds the maximum number of processes of the balancer.
type TooManyProcesses struct{ hint.Annotated }

const (
	damagedFileHint  = "move the file away; its content is lost: repeat the maint-on calls that still apply"
	makeWritableHint = "check that the state directory ($TMPDIR) exists and is writable, then call again"
)
