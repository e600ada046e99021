package faultinjection

import (
	"regexp"
	"strconv"
	"strings"

	"oatloft/internal/management"
	"oatloft/internal/revision"
)

// This file parses a balancer's answers to operators' calls on revisions.

var inForcePattern = regexp.MustCompile(`^revision (\d+) is in force \(`)

// recordAnswer records the outcome that an answer reports for the request.
func (o *Op) recordAnswer(a management.Answer) {
	if n, settled, _ := revision.ParseAnswer(a.Text); settled && a.OK {
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

// isRetryable reports whether an error answer leaves the outcome of the request open, so that it may be submitted
// again.
func isRetryable(text string) bool {
	return strings.HasPrefix(text, revision.RetryLaterPrefix) || strings.HasPrefix(text, "busy:")
}

// Status is a balancer's answer to the call "revision status".
type Status struct {
	Number  uint64 // the revision that it routes by, or last routed by
	InForce uint64 // as reported by the leader
	Hash    string // of revision Number
	Phase   string
	Pending string // key of the pending request, "" for none
	Leader  string // name of the leader, "" for none
	Text    string
}

// status queries balancer i.
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

// inForce returns the revision that balancer i reports as in force.
func (w *Scenario) inForce(i int) (uint64, bool) {
	s, ok := w.status(i)
	return s.InForce, ok && s.Leader != ""
}
