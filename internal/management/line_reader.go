package management

import (
	"bytes"
	"errors"
	"io"
	"time"
)

// lineTimeout is the time after which a caller is cut whose line is not complete.
const lineTimeout = 5 * time.Second

// lineReader reads a caller's line. A line longer than MaxLine needs a turn, which release gives back.
type lineReader struct {
	server *Server
	caller *caller
	data   []byte
	isLong bool
}

// read returns the caller's line, or why it is none. ok is false if there is nobody to answer.
func (r *lineReader) read() (line []byte, malformed error, ok bool) {
	_ = r.caller.conn.SetReadDeadline(r.caller.connectedAt.Add(lineTimeout)) // fails only with the connection
	for {
		if len(r.data) == cap(r.data) && !r.grow() {
			return nil, nil, false
		}
		n, err := r.caller.conn.Read(r.data[len(r.data):cap(r.data)])
		r.data = r.data[:len(r.data)+n]
		if err == nil && r.surelyIncomplete(n) {
			continue
		}
		line, complete, malformed := CutLine(r.data, err != nil)
		switch {
		case !complete && err == nil:
			continue
		case len(r.data) == 0 || err != nil && !errors.Is(err, io.EOF): // it left, broke, or took too long
			return nil, nil, false
		}
		return line, malformed, true
	}
}

// surelyIncomplete tells of a long line to which n bytes were added, none of them its end, so that it isn't
// searched again for each piece.
func (r *lineReader) surelyIncomplete(n int) bool {
	return IsRevisionCall(r.data) && len(r.data) < MaxRevision && bytes.IndexByte(r.data[len(r.data)-n:], '\n') < 0
}

// grow makes room for a line of any length, once there is a turn for it.
func (r *lineReader) grow() bool {
	if !r.server.takeTurn(r.caller, r.server.longLines) {
		return false
	}
	r.isLong = true
	r.data = append(make([]byte, 0, MaxRevision+1), r.data...)
	return true
}

func (r *lineReader) release() {
	if r.isLong {
		<-r.server.longLines
	}
}
