package core

import "time"

// Effect is what the host has to carry out, in order: one of the types below.
type Effect interface{ effect() }

// Effects on attempts.
type (
	// Dial opens an attempt's connection. That of the attempt before is closed already.
	Dial struct {
		Client  Handle
		Attempt int
		Server  string
		Address string
		Timeout time.Duration // when the dialing stops by itself, should the reducer not stop it before
	}
	// SendRequest passes the request on to the server, telling the time left.
	SendRequest struct {
		Client   Handle
		Attempt  int
		TimeLeft time.Duration
	}
	// CloseAttempt closes an attempt's connection, or stops its dialing.
	CloseAttempt struct {
		Client  Handle
		Attempt int
		Reason  string // for counting
	}
	// Probe asks a server for its load report.
	Probe struct {
		Server  string
		Address string
		Timeout time.Duration
	}
	// ForgetServer releases what is kept for a server that is gone.
	ForgetServer struct{ Server string }
)

// Effects on clients and their connections.
type (
	// Answer is the final answer that is not a server's: rejected for lack of capacity, or failed.
	Answer struct {
		Client     Handle
		Rejected   bool
		RetryAfter time.Duration // 0 for no advice
		Reason     string        // for counting
	}
	// Forward writes bytes to one side of an established connection.
	Forward struct {
		Client   Handle
		ToServer bool
		Data     []byte
	}
	// PauseReading stops (On) or resumes the reading of one side.
	PauseReading struct {
		Client   Handle
		OfServer bool
		On       bool
	}
	// CloseServer ends the server's side, after what is buffered if the reason is CloseEOF.
	CloseServer struct {
		Client Handle
		Reason CloseReason
	}
	// CloseClient ends the client's side, after what is buffered if the reason is CloseEOF.
	CloseClient struct {
		Client Handle
		Reason CloseReason
	}
	// MigrateClient sends the client away between two lines and closes both sides.
	MigrateClient struct {
		Client Handle
		Reason string // for counting
	}
)

// Effects on discovery and the process.
type (
	// Watch asks discovery for all changes after Version; an earlier watch goes on until this one has answered.
	Watch struct{ Version int64 }
	// StopWatch ends the watch.
	StopWatch struct{}
	// Exit ends the program once the last answers have left, and at the deadline at the latest. No client is accepted
	// any more.
	Exit struct{ Deadline time.Duration }
)

func (Dial) effect()          {}
func (SendRequest) effect()   {}
func (CloseAttempt) effect()  {}
func (Probe) effect()         {}
func (ForgetServer) effect()  {}
func (Answer) effect()        {}
func (Forward) effect()       {}
func (PauseReading) effect()  {}
func (CloseServer) effect()   {}
func (CloseClient) effect()   {}
func (MigrateClient) effect() {}
func (Watch) effect()         {}
func (StopWatch) effect()     {}
func (Exit) effect()          {}
