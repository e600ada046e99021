package management

import (
	"bytes"
	"errors"
	"io"
	"time"
)

// lineTimeout is the time after which a caller with an incomplete line is disconnected.
const lineTimeout = 5 * time.Second

// lineReader reads a caller's line. A line longer than MaxLine requires a slot, which release returns.
type lineReader struct {
	server *Server
	caller *caller
	data   []byte
	isLong bool
}

// read returns the caller's line, or why it is malformed. ok is false if no caller is left to be answered.
func (r *lineReader) read() (line []byte, malformed error, ok bool) {
	_ = r.caller.conn.SetReadDeadline(r.caller.connectedAt.Add(lineTimeout)) // fails only with the connection
	for {
		if len(r.data) == cap(r.data) && !r.grow() {
			return nil, nil, false
		}
		n, err := r.caller.conn.Read(r.data[len(r.data):cap(r.data)])
		r.data = r.data[:len(r.data)+n]
		if err == nil && r.stillIncomplete(n) {
			continue
		}
		line, complete, malformed := CutLine(r.data, err != nil)
		switch {
		case !complete && err == nil:
			continue
		case len(r.data) == 0 || err != nil && !errors.Is(err, io.EOF): // disconnected, reset or timed out
			return nil, nil, false
		}
		return line, malformed, true
	}
}

// stillIncomplete reports whether a long line is incomplete because none of the last n bytes is a line end, so that the
// whole line is not searched again for each chunk.
func (r *lineReader) stillIncomplete(n int) bool {
	return IsRevisionCall(r.data) && len(r.data) < MaxRevisionLine && bytes.IndexByte(r.data[len(r.data)-n:], '\n') < 0
}

// grow enlarges the buffer to the maximum line length once a slot is available.
func (r *lineReader) grow() bool {
	if !r.server.acquireSlot(r.caller, r.server.longLines) {
		return false
	}
	r.isLong = true
	r.data = append(make([]byte, 0, MaxRevisionLine+1), r.data...)
	return true
}

func (r *lineReader) release() {
	if r.isLong {
		<-r.server.longLines
	}
}
