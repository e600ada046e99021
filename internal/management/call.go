package management

import (
	"bytes"
	"fmt"
	"strings"

	"oatloft/internal/hint"
)

// MaxLine is how long a call may be, its line end included; MaxRevision is that for a call about revisions, which
// may hold one.
const (
	MaxLine     = 512
	MaxRevision = 128 << 10
)

// revisionPrefix begins the line of a call about revisions.
const revisionPrefix = "revision "

// Verb is what a call asks for.
type Verb uint8

// The verbs.
const (
	Status Verb = iota
	StartMaintenance
	EndMaintenance
	Drain
	Resume
	Peers
	Revision
)

// verbNames are the words of the protocol.
var verbNames = []string{
	Status:           "status",
	StartMaintenance: "maint-on",
	EndMaintenance:   "maint-off",
	Drain:            "standby",
	Resume:           "active",
	Peers:            "peers",
	Revision:         "revision",
}

// String returns the name as it is logged and sent.
func (v Verb) String() string { return verbNames[v] }

// needsServer tells whether the verb takes the id of a server.
func (v Verb) needsServer() bool { return v == StartMaintenance || v == EndMaintenance }

// Request is one call. Argument is the id of a server or a member where the verb takes one; of Revision it is all
// that follows.
type Request struct {
	Verb     Verb
	Argument string
}

// Answer is what a caller is told: yes or no, and a text.
type Answer struct {
	OK   bool
	Text string
}

// Yes returns the answer that a call was done.
func Yes(format string, args ...any) Answer { return Answer{true, fmt.Sprintf(format, args...)} }

// No returns the answer that a call has changed nothing.
func No(format string, args ...any) Answer { return Answer{false, fmt.Sprintf(format, args...)} }

// The first words of an answer.
const (
	okSign    = "+OK"
	errorSign = "-ERR"
	lineEnd   = "\r\n"
)

// Line returns the answer as it is sent: one line of printable ASCII, whatever its text.
func (a Answer) Line() []byte {
	line := errorSign
	if a.OK {
		line = okSign
	}
	text := strings.Map(func(c rune) rune {
		if !isPrintable(c) {
			return ' '
		}
		return c
	}, a.Text)
	if text != "" {
		line += " " + text
	}
	return []byte(line + lineEnd)
}

func isPrintable[T rune | byte](c T) bool { return c >= ' ' && c <= '~' }

// IsRevisionCall tells whether the beginning of a line is that of a call about revisions.
func IsRevisionCall(data []byte) bool { return bytes.HasPrefix(data, []byte(revisionPrefix)) }

// MalformedCall is the error that a call cannot be read. Nothing has changed.
type MalformedCall struct{ hint.Annotated }

var (
	errSeveralLines = &MalformedCall{hint.Annotated{What: "more than one line", Do: "make one call a connection"}}
	errUnendedLine  = &MalformedCall{hint.Annotated{What: "line without its end", Do: "end the line"}}
)

// CutLine returns the call's line without its end once it is complete, or a *MalformedCall if it can no longer
// become one. ended says that nothing more will come. Of several lines none is taken, since it is not known which
// one is meant.
func CutLine(data []byte, ended bool) (line []byte, complete bool, err error) {
	end := bytes.IndexByte(data, '\n')
	limit := MaxLine
	if IsRevisionCall(data) {
		limit = MaxRevision
	}
	switch {
	case end < 0 && len(data) >= limit || end >= limit:
		return nil, true, &MalformedCall{
			hint.Annotated{What: fmt.Sprintf("line longer than %d bytes", limit), Do: "make it shorter"},
		}
	case end < 0 && ended:
		return nil, true, errUnendedLine
	case end < 0:
		return nil, false, nil
	case len(data) > end+1:
		return nil, true, errSeveralLines
	}
	return bytes.TrimSuffix(data[:end], []byte("\r")), true, nil
}

// Parse reads a call's line. The error is *MalformedCall.
func Parse(line []byte) (Request, error) {
	for _, c := range line {
		if !isPrintable(c) {
			return Request{}, &MalformedCall{hint.Annotated{What: "bytes that are no text", Do: "write printable ASCII"}}
		}
	}
	if IsRevisionCall(line) {
		if order := strings.TrimSpace(string(line[len(revisionPrefix):])); order != "" {
			return Request{Revision, order}, nil
		}
	}
	words := strings.Fields(string(line))
	if len(words) == 0 {
		return Request{}, &MalformedCall{
			hint.Annotated{What: "no call in the line; calls are " + strings.Join(verbNames, ", "), Do: "write one of these"},
		}
	}
	for v, name := range verbNames {
		if words[0] == name {
			return parseArguments(Verb(v), words[1:])
		}
	}
	return Request{}, &MalformedCall{
		hint.Annotated{
			What: fmt.Sprintf("unknown call %q; calls are %s", words[0], strings.Join(verbNames, ", ")),
			Do:   "write one of these",
		},
	}
}

// parseArguments reads what follows a verb.
func parseArguments(v Verb, arguments []string) (Request, error) {
	if v == Revision {
		return Request{}, &MalformedCall{
			hint.Annotated{What: "revision needs what to do, behind one space, and begins the line", Do: "use oatctl revision"},
		}
	}
	takesOne := v.needsServer() || v == Peers && len(arguments) > 0
	switch {
	case takesOne && len(arguments) == 0:
		return Request{}, &MalformedCall{
			hint.Annotated{What: v.String() + " needs the id of a server", Do: "give the id, host in discovery's list"},
		}
	case takesOne && len(arguments) > 1:
		return Request{}, &MalformedCall{hint.Annotated{What: v.String() + " takes one id only", Do: "make a call for each"}}
	case !takesOne && len(arguments) > 0:
		return Request{}, &MalformedCall{
			hint.Annotated{What: v.String() + " takes nothing more", Do: "leave out what follows it"},
		}
	case takesOne:
		return Request{v, arguments[0]}, nil
	}
	return Request{Verb: v}, nil
}
