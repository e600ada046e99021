package core

import "time"

// Effect is an operation that the host performs, in the order of emission: one of the types below.
type Effect interface{ effect() }

// Effects on attempts.
type (
	// Dial opens an attempt's connection. The previous attempt's connection is closed already.
	Dial struct {
		Client  Handle
		Attempt int
		Server  string
		Address string
		Timeout time.Duration // the host stops dialing after this time unless the reducer stops it earlier
	}
	// SendRequest forwards the request to the server with the time left until the attempt's timeout.
	SendRequest struct {
		Client   Handle
		Attempt  int
		TimeLeft time.Duration
	}
	// CloseAttempt closes an attempt's connection, or cancels its dial.
	CloseAttempt struct {
		Client  Handle
		Attempt int
		Reason  string // for counting
	}
	// Probe requests a server's load report.
	Probe struct {
		Server  string
		Address string
		Timeout time.Duration
	}
	// ForgetServer releases the host's resources for a server that was removed or has another address.
	ForgetServer struct{ Server string }
)

// Effects on clients and their connections.
type (
	// Answer sends the balancer's own final answer: rejected for lack of capacity, or failed.
	Answer struct {
		Client     Handle
		Rejected   bool
		RetryAfter time.Duration // hint when to retry; 0 for none
		Reason     string        // for counting
	}
	// Forward writes bytes to one side of an established connection.
	Forward struct {
		Client   Handle
		ToServer bool
		Data     []byte
	}
	// PauseReading pauses (Paused) or resumes reading from one side.
	PauseReading struct {
		Client     Handle
		FromServer bool
		Paused     bool
	}
	// CloseServer closes the server's side. With CloseEOF, buffered data is flushed first.
	CloseServer struct {
		Client Handle
		Reason CloseReason
	}
	// CloseClient closes the client's side. With CloseEOF, buffered data is flushed first. With CloseUnfinishedLine, the
	// connection is reset: the client would read MOVE as part of the line.
	CloseClient struct {
		Client Handle
		Reason CloseReason
	}
	// FinishServerLine prepares the migration of a client to which the server is sending a line. The host no longer
	// delays the server's data, and delivers it in pieces that end with a line or inside one.
	FinishServerLine struct{ Client Handle }
	// MigrateClient asks the client to reconnect and closes both sides. The server is between two lines.
	MigrateClient struct {
		Client Handle
		Reason string // for counting
	}
)

// Effects on discovery and the process.
type (
	// Watch requests all changes after Version from discovery. The previous watch stays open until this one is
	// answered.
	Watch struct{ Version int64 }
	// StopWatch closes the latest watch.
	StopWatch struct{}
	// Exit ends the process once the last answers have been sent, at the deadline at the latest. The host accepts no
	// more clients.
	Exit struct{ Deadline time.Duration }
)

func (Dial) effect()             {}
func (SendRequest) effect()      {}
func (CloseAttempt) effect()     {}
func (Probe) effect()            {}
func (ForgetServer) effect()     {}
func (Answer) effect()           {}
func (Forward) effect()          {}
func (PauseReading) effect()     {}
func (CloseServer) effect()      {}
func (CloseClient) effect()      {}
func (MigrateClient) effect()    {}
func (FinishServerLine) effect() {}
func (Watch) effect()            {}
func (StopWatch) effect()        {}
func (Exit) effect()             {}
