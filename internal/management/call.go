package management

import (
	"bytes"
	"fmt"
	"strings"

	"oatloft/internal/hint"
)

const (
	// MaxLine is the maximum length of a call in bytes, including its line end.
	MaxLine = 512
	// MaxRevisionLine is the maximum length in bytes of a call about revisions, which may contain a revision.
	MaxRevisionLine = 128 << 10
)

// revisionPrefix is the prefix of a call about revisions.
const revisionPrefix = "revision "

// Verb is the operation that a call requests.
type Verb uint8

// The verbs.
const (
	Status           Verb = iota // returns the balancer's status
	StartMaintenance             // puts a server into maintenance
	EndMaintenance               // ends a server's maintenance
	Drain                        // drains the balancer
	Resume                       // ends the balancer's drain
	Peers                        // returns the other balancers' status
	Revision                     // manages routing revisions
)

// verbNames are the verbs as they appear in the protocol.
var verbNames = []string{
	Status:           "status",
	StartMaintenance: "maint-on",
	EndMaintenance:   "maint-off",
	Drain:            "standby",
	Resume:           "active",
	Peers:            "peers",
	Revision:         "revision",
}

// String returns the verb's name in logs and in the protocol.
func (v Verb) String() string { return verbNames[v] }

// needsServer reports whether the verb requires the id of a server.
func (v Verb) needsServer() bool { return v == StartMaintenance || v == EndMaintenance }

// Request is a parsed call. Argument is the id of a server or a member if the verb takes one. For Revision it is the
// rest of the line.
type Request struct {
	Verb     Verb
	Argument string
}

// Answer is the answer to a call: success or error, and a text.
type Answer struct {
	OK   bool
	Text string
}

// Yes returns the answer to a call that was carried out.
func Yes(format string, args ...any) Answer { return Answer{true, fmt.Sprintf(format, args...)} }

// No returns the answer to a call that failed and changed nothing.
func No(format string, args ...any) Answer { return Answer{false, fmt.Sprintf(format, args...)} }

// The protocol's fixed parts of an answer: its first word, and its end.
const (
	okPrefix    = "+OK"
	errorPrefix = "-ERR"
	lineEnd     = "\r\n"
)

// Line returns the encoded answer: one line of printable ASCII, with other characters of the text replaced by spaces.
func (a Answer) Line() []byte {
	line := errorPrefix
	if a.OK {
		line = okPrefix
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

// IsRevisionCall reports whether a line, or the beginning of one, is a call about revisions.
func IsRevisionCall(data []byte) bool { return bytes.HasPrefix(data, []byte(revisionPrefix)) }

// MalformedCall is the error for a call that cannot be parsed. Nothing was changed.
type MalformedCall struct{ hint.Annotated }

var (
	errSeveralLines = &MalformedCall{hint.Annotated{What: "more than one line", Do: "make one call a connection"}}
	errUnendedLine  = &MalformedCall{hint.Annotated{What: "line without its end", Do: "end the line with CR LF or LF"}}
)

// CutLine returns the call's line without its end once it is complete, or a *MalformedCall if the data cannot become a
// valid call. ended reports that no more data will arrive. If there are several lines, none is accepted, since it is
// unknown which one was intended.
func CutLine(data []byte, ended bool) (line []byte, complete bool, err error) {
	end := bytes.IndexByte(data, '\n')
	limit := MaxLine
	if IsRevisionCall(data) {
		limit = MaxRevisionLine
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

// Parse parses a call's line. The error is *MalformedCall.
func Parse(line []byte) (Request, error) {
	for _, c := range line {
		if !isPrintable(c) {
			return Request{}, &MalformedCall{hint.Annotated{What: "bytes that are no text", Do: "write printable ASCII"}}
		}
	}
	if IsRevisionCall(line) {
		if operation := strings.TrimSpace(string(line[len(revisionPrefix):])); operation != "" {
			return Request{Revision, operation}, nil
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

// parseArguments parses the arguments that follow a verb.
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
		return Request{}, &MalformedCall{hint.Annotated{What: v.String() + " takes one id only", Do: "make one call per id"}}
	case !takesOne && len(arguments) > 0:
		return Request{}, &MalformedCall{
			hint.Annotated{What: v.String() + " takes nothing more", Do: "leave out what follows it"},
		}
	case takesOne:
		return Request{v, arguments[0]}, nil
	}
	return Request{Verb: v}, nil
}
