// Package platform owns how the platform's messages look: the lines between terminals, the balancer and
// the regions in this file, and discovery's HTTP in discovery.go. It turns bytes into values and values
// into bytes, as slices of the buffer they came in. It must never keep state of a transaction, open a
// connection or decide anything; a second front would stand beside it and speak to the same core.
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

// maxWait is the longest that a terminal may say it waits: the platform's longest time, 2^32 microseconds (71 minutes), which
// connections from before the run say where they end at the balancer.
const maxWait = 1 << 32 * time.Microsecond

// MaxLine is how long a line may be, its end included.
const MaxLine = 4096

// The lines that the balancer itself sends.
var (
	Pong   = []byte("PONG\r\n")
	No     = []byte("NO\r\n") // in standby, to PING
	Failed = []byte("ERR\r\n")
	Move   = []byte("MOVE\r\n")
	Stats  = []byte("STATS\r\n")
)

// Malformed is a line in a form that nobody of the platform sends. It is answered ERR.
type Malformed struct{ hint.Annotated }

// ErrMalformed tells of a first line in a form that no terminal sends.
var ErrMalformed error = &Malformed{hint.Annotated{What: "malformed first line", Do: "see which program connects: clients begin with OPEN"}}

// Open is a terminal's first line.
type Open struct {
	policy.Request
	At       string // the region that held the connection before the run
	left     [2]int // where the time that the terminal waits stands in the line
	template []byte // the line; shared with the buffer until Keep
}

// Cut returns the first whole line of data, its end included, or nil; tooLong tells that what is there
// can't become a line.
func Cut(data []byte) (line []byte, tooLong bool) {
	i := bytes.IndexByte(data, '\n')
	if i < 0 {
		return nil, len(data) >= MaxLine
	}
	return data[:i+1], i+1 > MaxLine
}

// LineReader gathers the first line of a stream that comes in pieces, and keeps no more than a line's beginning.
type LineReader struct{ begun []byte }

// Read takes the next piece. Once done, all is what has come so far and first the length of its first line, which is 0 where
// what has come can't become a line. The reader is new then. all shares its memory with data, or is valid until the next call.
func (r *LineReader) Read(data []byte) (all []byte, first int, done bool) {
	if len(r.begun) > 0 {
		data = append(r.begun, data...)
	}
	line, tooLong := Cut(data)
	switch {
	case tooLong:
		r.begun = nil
		return data, 0, true
	case line == nil:
		r.begun = append(r.begun[:0], data...)
		return nil, 0, false
	}
	r.begun = nil
	return data, len(line), true
}

// trim takes a line's end off.
func trim(line []byte) []byte {
	return bytes.TrimSuffix(bytes.TrimSuffix(line, []byte("\n")), []byte("\r"))
}

// readable tells that a line's text holds the characters only that the platform's lines are made of.
func readable(text []byte) bool {
	for _, c := range text {
		if c < ' ' || c > '~' {
			return false
		}
	}
	return true
}

// IsPing tells of the front's question whether the balancer is there.
func IsPing(line []byte) bool { return string(trim(line)) == "PING" }

// ParseOpen reads a first line.
func ParseOpen(line []byte) (Open, error) {
	o := Open{template: line}
	if !bytes.HasSuffix(line, []byte("\r\n")) {
		return o, ErrMalformed
	}
	if !readable(line[:len(line)-2]) {
		return o, ErrMalformed
	}
	parts := bytes.SplitN(trim(line), []byte(" "), 4)
	if len(parts) != 4 || string(parts[0]) != "OPEN" || len(parts[1]) == 0 || len(parts[2]) == 0 ||
		bytes.IndexByte(parts[3], ' ') >= 0 {
		return o, ErrMalformed
	}
	o.ID, o.Key = string(parts[1]), string(parts[2])
	at := len(trim(line)) - len(parts[3])
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
			o.At = string(value)
		case "mid":
			o.MidFlow = string(value) == "1"
		case "d":
			if len(bytes.Trim(value, "0123456789.")) > 0 || o.left[1] > 0 { // no sign, no exponent, no word
				return o, ErrMalformed
			}
			ms, err := strconv.ParseFloat(string(value), 64)
			if err != nil || ms > float64(maxWait.Milliseconds()) {
				return o, ErrMalformed
			}
			o.Timeout = time.Duration(ms * float64(time.Millisecond))
			o.left = [2]int{at + 2, at + len(pair)}
		}
		at += len(pair) + 1
	}
	if o.Class == "" || o.left[1] == 0 {
		return o, ErrMalformed
	}
	return o, nil
}

// Keep copies the line, which has to outlive the buffer that it was read into.
func (o *Open) Keep() { o.template = bytes.Clone(o.template) }

// AppendLine appends the first line as it came, but for the time left.
func (o *Open) AppendLine(dst []byte, left time.Duration) []byte {
	dst = append(dst, o.template[:o.left[0]]...)
	dst = strconv.AppendInt(dst, max(0, left.Milliseconds()), 10)
	return append(dst, o.template[o.left[1]:]...)
}

// AppendShort appends the short-on-capacity reply.
func AppendShort(dst []byte, after time.Duration) []byte {
	dst = append(dst, "BUSY"...)
	if after > 0 {
		dst = strconv.AppendInt(append(dst, ' '), max(1, after.Milliseconds()), 10)
	}
	return append(dst, "\r\n"...)
}

// Word says what a region's line means.
type Word int

// The words. Line is any other.
const (
	Line Word = iota
	Up
	Bye
	MoveAway
	Err
	Busy
	Load
	PongBack
)

var words = map[string]Word{"UP": Up, "BYE": Bye, "MOVE": MoveAway, "ERR": Err, "BUSY": Busy, "LOAD": Load, "PONG": PongBack}

// WordOf reads a region's line, whole or without its end.
func WordOf(line []byte) Word {
	word, _, _ := bytes.Cut(trim(line), []byte(" "))
	return words[string(word)]
}

// AnswerOf reads a server's answer to a first line or to a probe: a whole line, as LineReader found it. One that is spoilt, or
// says UP with no receipt, is none of the answers that prove something.
func AnswerOf(line []byte) Word {
	text, ended := bytes.CutSuffix(line, []byte("\r\n"))
	if !ended || len(line) > MaxLine || !readable(text) {
		return Line
	}
	word := WordOf(text)
	if _, receipt, _ := bytes.Cut(text, []byte(" ")); word == Up && len(bytes.TrimSpace(receipt)) == 0 {
		return Line
	}
	return word
}

// ParseStats reads the load report behind an answer; nil where there is none. Columns are mapped as on
// the bench's wire, and those that mean nothing to the module are passed over.
func ParseStats(line []byte) *policy.LoadReport {
	_, rest, _ := bytes.Cut(trim(line), []byte(" "))
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

// loadOf reads a load note's figure, 0 where there is none that could be a load.
func loadOf(line []byte) float64 {
	_, figure, _ := bytes.Cut(trim(line), []byte(" "))
	x, err := strconv.ParseFloat(string(figure), 64)
	if err != nil || !(x > 0) || math.IsInf(x, 0) {
		return 0
	}
	return x
}

// Scan follows one stream of lines piece by piece, without keeping more of it than a line's beginning.
type Scan struct {
	head [32]byte // of the line that has begun: a load note whole
	n    int      // how much of it came, up to len(head)
}

// Between tells that the stream stands between two lines.
func (s *Scan) Between() bool { return s.n == 0 }

// Seen is what a piece of a stream held.
type Seen struct {
	Lines int // ends of lines, load notes apart
	Load  bool
	Told  float64 // by the last load note, in microseconds of work a second; 0 if it is no number above 0
	Last  Word    // what the last line but load notes says: Bye or MoveAway, or Line for any other and where none ended
}

// Read takes the next piece.
func (s *Scan) Read(data []byte) (seen Seen) {
	for len(data) > 0 {
		i := bytes.IndexByte(data, '\n')
		part := data
		if i >= 0 {
			part = data[:i]
		}
		s.n += copy(s.head[s.n:], part)
		if i < 0 {
			return seen
		}
		switch w := WordOf(s.head[:s.n]); w {
		case Load:
			seen.Load, seen.Told = true, loadOf(s.head[:s.n])
			if s.n == len(s.head) { // its figure may have been cut
				seen.Told = 0
			}
		case Bye, MoveAway:
			seen.Last = w
			seen.Lines++
		default:
			seen.Last = Line
			seen.Lines++
		}
		s.n = 0
		data = data[i+1:]
	}
	return seen
}
