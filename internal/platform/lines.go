// Package platform encodes and parses the platform's messages: the lines between clients, the balancer and servers in
// this file, and discovery's HTTP in discovery.go. It converts between bytes and values, as slices of the buffer that
// they arrived in. It keeps no state of a request, opens no connection and makes no decisions, so that a second front
// end could be built on the same core.
package platform

import (
	"bytes"
	"math"
	"strconv"
	"time"

	"oatloft/internal/failpoint"
	"oatloft/internal/hint"
	"oatloft/policy"
)

// maxTimeout is the longest timeout that a client may send: the platform's longest time, 2^32 microseconds (71
// minutes), which connections from before the run state if they end at the balancer.
const maxTimeout = 1 << 32 * time.Microsecond

// MaxLine is the greatest length of a line in bytes, with its end.
const MaxLine = 4096

// Lines that the balancer itself sends.
var (
	Pong   = []byte("PONG\r\n")
	No     = []byte("NO\r\n") // the answer to PING in standby
	Failed = []byte("ERR\r\n")
	Move   = []byte("MOVE\r\n")
	Stats  = []byte("STATS\r\n")
)

// Malformed is a line in a form that no part of the platform sends. It is answered with ERR.
type Malformed struct{ hint.Annotated }

// ErrMalformed is returned for a first line in a form that no client sends.
var ErrMalformed error = &Malformed{hint.Annotated{
	What: "malformed first line", Do: "check which program connects: clients begin with OPEN"}}

// Open is a client's first line.
type Open struct {
	policy.Request
	EstablishedAt string // the server that had the connection before the run
	timeoutSpan   [2]int // start and end of the timeout in the line
	template      []byte // the line; shares memory with the buffer until Keep
}

// CutLine returns the first whole line of data with its end, or nil. tooLong reports that data cannot become a line.
func CutLine(data []byte) (line []byte, tooLong bool) {
	i := bytes.IndexByte(data, '\n')
	if i < 0 {
		return nil, len(data) >= MaxLine
	}
	return data[:i+1], i+1 > MaxLine
}

// LineReader collects the first line of a stream that arrives in pieces. It keeps no more than the beginning of that
// line.
type LineReader struct{ partial []byte }

// Read takes the next piece. Once done is true, all is the data so far and first the length of its first line, or 0 if
// the data cannot become a line. The reader is then reset. all shares memory with data, or is valid until the next
// call.
func (r *LineReader) Read(data []byte) (all []byte, first int, done bool) {
	if len(r.partial) > 0 {
		data = append(r.partial, data...)
	}
	line, tooLong := CutLine(data)
	switch {
	case tooLong:
		r.partial = nil
		return data, 0, true
	case line == nil:
		r.partial = append(r.partial[:0], data...)
		return nil, 0, false
	}
	r.partial = nil
	return data, len(line), true
}

// trimLineEnd removes a line's end.
func trimLineEnd(line []byte) []byte {
	return bytes.TrimSuffix(bytes.TrimSuffix(line, []byte("\n")), []byte("\r"))
}

// printable reports whether text holds only the characters that the platform uses in its lines.
func printable(text []byte) bool {
	for _, c := range text {
		if c < ' ' || c > '~' {
			return false
		}
	}
	return true
}

// isPing reports whether a line is the health check of the front.
func isPing(line []byte) bool { return string(trimLineEnd(line)) == "PING" }

// SkipPings returns the number of health checks that data begins with, and the data behind them.
func SkipPings(data []byte) (count int, rest []byte) {
	for {
		line, _ := CutLine(data)
		if !isPing(line) {
			return count, data
		}
		count++
		data = data[len(line):]
	}
}

// ParseOpen parses a client's first line.
func ParseOpen(line []byte) (Open, error) {
	o := Open{template: line}
	if !bytes.HasSuffix(line, []byte("\r\n")) {
		return o, ErrMalformed
	}
	if !printable(line[:len(line)-2]) {
		return o, ErrMalformed
	}
	parts := bytes.SplitN(trimLineEnd(line), []byte(" "), 4)
	if len(parts) != 4 || string(parts[0]) != "OPEN" || len(parts[1]) == 0 || len(parts[2]) == 0 ||
		bytes.IndexByte(parts[3], ' ') >= 0 {
		return o, ErrMalformed
	}
	o.ID, o.Key = string(parts[1]), string(parts[2])
	at := len(trimLineEnd(line)) - len(parts[3])
	for rest := parts[3]; len(rest) > 0; {
		pair := rest
		if i := bytes.IndexByte(rest, ','); i >= 0 {
			pair, rest = rest[:i], rest[i+1:]
		} else {
			rest = nil
		}
		name, value, ok := bytes.Cut(pair, []byte("="))
		if !ok || len(name) == 0 {
			return o, ErrMalformed
		}
		switch string(name) {
		case "c":
			o.Class = string(value)
		case "t":
			o.Tenant = string(value)
		case "g":
			o.Group = string(value)
		case "at":
			o.EstablishedAt = string(value)
		case "mid":
			o.MidFlow = string(value) == "1"
		case "d":
			if len(bytes.Trim(value, "0123456789.")) > 0 || o.timeoutSpan[1] > 0 { // no sign, exponent or name such as inf
				return o, ErrMalformed
			}
			ms, err := strconv.ParseFloat(string(value), 64)
			if err != nil || ms > float64(maxTimeout.Milliseconds()) {
				return o, ErrMalformed
			}
			o.Timeout = time.Duration(ms * float64(time.Millisecond))
			o.timeoutSpan = [2]int{at + 2, at + len(pair)}
		}
		at += len(pair) + 1
	}
	if o.Class == "" || o.timeoutSpan[1] == 0 {
		return o, ErrMalformed
	}
	return o, nil
}

// Keep copies the line, so that it outlives the buffer that it was read into.
func (o *Open) Keep() { o.template = bytes.Clone(o.template) }

// AppendLine appends the first line unchanged, except for the time left.
func (o *Open) AppendLine(dst []byte, left time.Duration) []byte {
	dst = append(dst, o.template[:o.timeoutSpan[0]]...)
	dst = strconv.AppendInt(dst, max(0, left.Milliseconds()), 10)
	return append(dst, o.template[o.timeoutSpan[1]:]...)
}

// AppendRejection appends the rejection for lack of capacity, with the time to retry after.
func AppendRejection(dst []byte, after time.Duration) []byte {
	dst = append(dst, "BUSY"...)
	if after > 0 {
		dst = strconv.AppendInt(append(dst, ' '), max(1, after.Milliseconds()), 10)
	}
	return append(dst, "\r\n"...)
}

// LineKind is the kind of a server's line.
type LineKind int

// Kinds of lines that a server sends. OtherLine is any other line.
const (
	OtherLine LineKind = iota
	Up
	Bye
	MoveLine
	Err
	Busy
	Load
	PongLine
)

// KindOf returns the kind of a server's line, given with or without its end.
func KindOf(line []byte) LineKind {
	word := trimLineEnd(line)
	if end := bytes.IndexByte(word, ' '); end >= 0 {
		word = word[:end]
	}
	switch string(word) {
	case "UP":
		return Up
	case "BYE":
		return Bye
	case "MOVE":
		return MoveLine
	case "ERR":
		return Err
	case "BUSY":
		return Busy
	case "LOAD":
		return Load
	case "PONG":
		return PongLine
	}
	return OtherLine
}

// AnswerKind returns the kind of a server's answer to a first line or a probe: a whole line, as LineReader returned it.
// A malformed line, or an UP without a receipt, is returned as OtherLine, since it proves nothing.
func AnswerKind(line []byte) LineKind {
	text, ended := bytes.CutSuffix(line, []byte("\r\n"))
	if !ended || len(line) > MaxLine || !printable(text) {
		return OtherLine
	}
	word := KindOf(text)
	if _, receipt, _ := bytes.Cut(text, []byte(" ")); word == Up && len(bytes.TrimSpace(receipt)) == 0 {
		return OtherLine
	}
	return word
}

// ParseStats parses the load report in an answer; it returns nil if there is none. Columns are mapped as in the bench's
// wire format, and those without a meaning to the policy are ignored.
func ParseStats(line []byte) *policy.LoadReport {
	_, rest, _ := bytes.Cut(trimLineEnd(line), []byte(" "))
	if len(rest) == 0 {
		return nil
	}
	r := &policy.LoadReport{Load: -1, Utilization: -1, InFlight: -1, BacklogSeconds: -1}
	for _, pair := range bytes.Split(rest, []byte(",")) {
		name, value, _ := bytes.Cut(pair, []byte("="))
		x, err := strconv.ParseFloat(string(value), 64)
		if err != nil || math.IsNaN(x) || math.IsInf(x, 0) {
			continue
		}
		switch string(name) {
		case "x0":
			r.Load = x
		case "x1":
			r.BacklogSeconds = x
		case "util", "busy":
			r.Utilization = x
		case "inflight", "rif":
			r.InFlight = x
		}
	}
	if failpoint.On("fit-field") {
		r.Load = max(0, r.Load)
	}
	return r
}

// parseLoad parses the number in a load report line; it returns 0 if it is not a valid load.
func parseLoad(line []byte) float64 {
	_, figure, _ := bytes.Cut(trimLineEnd(line), []byte(" "))
	x, err := strconv.ParseFloat(string(figure), 64)
	if err != nil || !(x > 0) || math.IsInf(x, 0) {
		return 0
	}
	return x
}

// LineScanner follows a stream of lines that arrives in pieces. It keeps no more than the beginning of a line.
type LineScanner struct {
	lineStart    [32]byte // beginning of the current line; enough for a whole load report line
	lineStartLen int      // bytes in lineStart
}

// BetweenLines reports whether the stream is between two lines.
func (s *LineScanner) BetweenLines() bool { return s.lineStartLen == 0 }

// ScanSummary is a summary of one piece of a stream.
type ScanSummary struct {
	Lines     int      // line ends, except those of load report lines
	Load      bool     // a load report line ended
	LoadValue float64  // by the last load report line, in microseconds of work per second; 0 if it is not a number above 0
	Last      LineKind // kind of the last line but load reports: Bye or MoveLine, or OtherLine for any other or none
}

// Read scans the next piece.
func (s *LineScanner) Read(data []byte) (seen ScanSummary) {
	for len(data) > 0 {
		i := bytes.IndexByte(data, '\n')
		part := data
		if i >= 0 {
			part = data[:i]
		}
		s.lineStartLen += copy(s.lineStart[s.lineStartLen:], part)
		if i < 0 {
			return seen
		}
		switch w := KindOf(s.lineStart[:s.lineStartLen]); w {
		case Load:
			seen.Load, seen.LoadValue = true, parseLoad(s.lineStart[:s.lineStartLen])
			if s.lineStartLen == len(s.lineStart) { // its number may have been cut off
				seen.LoadValue = 0
			}
		case Bye, MoveLine:
			seen.Last = w
			seen.Lines++
		default:
			seen.Last = OtherLine
			seen.Lines++
		}
		s.lineStartLen = 0
		data = data[i+1:]
	}
	return seen
}
