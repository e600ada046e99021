package faultinjection

import (
	"regexp"
	"strconv"
	"strings"

	"oatloft/internal/management"
	"oatloft/internal/revision"
)

// This file owns how the answers of a balancer to operators' calls on revisions are read.

var inForcePattern = regexp.MustCompile(`^revision (\d+) is in force \(`)

// told takes what an answer says of a request.
func (o *Op) recordAnswer(a management.Answer) {
	if n, settled, _ := revision.ReadAnswer(a.Text); settled && a.OK {
		o.Result, o.Settled = Settled, n
		return
	}
	switch m := inForcePattern.FindStringSubmatch(a.Text); {
	case m != nil && !a.OK:
		o.InForce, _ = strconv.ParseUint(m[1], 10, 64)
		o.Result = Refused
	case strings.Contains(a.Text, " ended nowhere"):
		o.Result = Ended
	}
}

// asksAgain tells whether a no says nothing of the request itself: it may be handed in again.
func isRetryable(text string) bool {
	return strings.HasPrefix(text, revision.RetryLaterPrefix) || strings.HasPrefix(text, "busy:")
}

// Status is what a balancer says of revisions.
type Status struct {
	Number  uint64 // by which it routes, or did last
	InForce uint64 // as the leader has it
	Hash    string // of that
	Phase   string
	Pending string // the key of what is pending, "" for nothing
	Leader  string // who leads, by name
	Text    string
}

// status asks balancer i.
func (w *Scenario) status(i int) (s Status, ok bool) {
	a, err := callLine(w.managementAddr(i), "revision status", callWait)
	if err != nil || !a.OK {
		return Status{Text: a.Text}, false
	}
	return readStatus(a.Text)
}

func readStatus(text string) (s Status, ok bool) {
	f := fields(text)
	n, err := strconv.ParseUint(f["here"], 10, 64)
	s = Status{Number: n, Hash: f["hash"], Phase: f["phase"], Leader: f["leader"], Text: text}
	s.InForce, _ = strconv.ParseUint(f["in-force"], 10, 64)
	if p, _, _ := strings.Cut(f["pending"], ":"); p != "none" {
		s.Pending = p
	}
	if s.Leader == "none" {
		s.Leader = ""
	}
	return s, err == nil
}

// inForce is what balancer i holds to be in force.
func (w *Scenario) inForce(i int) (uint64, bool) {
	s, ok := w.status(i)
	return s.InForce, ok && s.Leader != ""
}
