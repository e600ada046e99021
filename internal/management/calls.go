// Package management is where the operators' staff call a balancer: one line a connection, one line back. This file
// owns how a call and its answer look, without I/O; serve.go owns the callers' sockets. It must never know what a call
// does: it hands a Call on and words what comes back.
package management

import (
	"bytes"
	"fmt"
	"strings"

	"oatloft/internal/hint"
)

// MaxLine is how long a call may be, its end included; MaxRevision is that for a call about revisions, which may hold one.
const (
	MaxLine     = 512
	MaxRevision = 128 << 10
)

// revisions begin with this, and nothing before it.
const revisions = "revision "

// Word is what a call asks for.
type Word uint8

// The words.
const (
	Status Word = iota
	MaintOn
	MaintOff
	Standby
	Active
	Peers
	Revision
)

var words = []string{Status: "status", MaintOn: "maint-on", MaintOff: "maint-off", Standby: "standby", Active: "active", Peers: "peers", Revision: "revision"}

func (w Word) String() string { return words[w] }

// Call is one call. ID names a region where the word takes one; of Revision it is all that follows.
type Call struct {
	Word Word
	ID   string
}

// Answer is what a caller is told: yes or no, and a few words on it.
type Answer struct {
	OK   bool
	Text string
}

// Yes and No make answers.
func Yes(format string, args ...any) Answer { return Answer{true, fmt.Sprintf(format, args...)} }

// No is the answer that a call changed nothing.
func No(format string, args ...any) Answer { return Answer{false, fmt.Sprintf(format, args...)} }

// Line is the answer as it goes to the caller.
func (a Answer) Line() []byte {
	sign := "-ERR"
	if a.OK {
		sign = "+OK"
	}
	text := strings.Map(func(c rune) rune { // one line, whatever an error says
		if c < ' ' || c > '~' {
			return ' '
		}
		return c
	}, a.Text)
	if text != "" {
		sign += " "
	}
	return []byte(sign + text + "\r\n")
}

var (
	errMore = &Misspelt{hint.Annotated{What: "more than one line", Do: "make one call a connection"}}
	errHalf = &Misspelt{hint.Annotated{What: "line without its end", Do: "end the line"}}
)

// About tells whether what came of a line begins a call about revisions.
func About(data []byte) bool { return bytes.HasPrefix(data, []byte(revisions)) }

// Cut returns the call's line without its end once it is whole, or an error where what came can't become one. ended
// tells that nothing more will come.
func Cut(data []byte, ended bool) (line []byte, whole bool, err error) {
	i := bytes.IndexByte(data, '\n')
	most := MaxLine
	if About(data) {
		most = MaxRevision
	}
	switch {
	case i < 0 && len(data) >= most || i >= most:
		return nil, true, &Misspelt{hint.Annotated{What: fmt.Sprintf("line longer than %d bytes", most), Do: "make it shorter"}}
	case i < 0 && ended:
		return nil, true, errHalf
	case i < 0:
		return nil, false, nil
	case len(data) > i+1: // which of the two is meant? neither is done
		return nil, true, errMore
	}
	return bytes.TrimSuffix(data[:i], []byte("\r")), true, nil
}

// Parse reads a call's line.
func Parse(line []byte) (Call, error) {
	for _, c := range line {
		if c < ' ' || c > '~' {
			return Call{}, &Misspelt{hint.Annotated{What: "bytes that are no text", Do: "write printable ASCII"}}
		}
	}
	if About(line) {
		if rest := strings.TrimSpace(string(line[len(revisions):])); rest != "" {
			return Call{Revision, rest}, nil
		}
	}
	parts := strings.Fields(string(line))
	if len(parts) == 0 {
		return Call{}, &Misspelt{hint.Annotated{What: "no call in the line; calls are " + strings.Join(words, ", "), Do: "write one of these"}}
	}
	for w, name := range words {
		if parts[0] != name {
			continue
		}
		c := Call{Word: Word(w)}
		mayID := c.Word == Peers
		if c.Word == Revision {
			return Call{}, &Misspelt{hint.Annotated{What: "revision needs what to do, behind one space, and begins the line", Do: "use oatctl revision"}}
		}
		takesID := c.Word == MaintOn || c.Word == MaintOff || mayID && len(parts) > 1
		switch {
		case takesID && len(parts) == 1:
			return Call{}, &Misspelt{hint.Annotated{What: name + " needs the id of a server", Do: "give the id, host in discovery's list"}}
		case takesID && len(parts) > 2:
			return Call{}, &Misspelt{hint.Annotated{What: name + " takes one id only", Do: "make a call for each"}}
		case !takesID && len(parts) > 1:
			return Call{}, &Misspelt{hint.Annotated{What: name + " takes nothing more", Do: "leave out what follows it"}}
		case takesID:
			c.ID = parts[1]
		}
		return c, nil
	}
	return Call{}, &Misspelt{hint.Annotated{What: fmt.Sprintf("unknown call %q; calls are %s", parts[0], strings.Join(words, ", ")), Do: "write one of these"}}
}

// Misspelt is a call that can't be read. Nothing has changed.
type Misspelt struct{ hint.Annotated }

// NoAddress is an address for operators' calls that can't be listened on.
type NoAddress struct{ hint.Annotated }

// Unheard is that no answer came to a call, or none of a balancer's. Whether it was done isn't known.
type Unheard struct{ hint.Annotated }
