package stagger

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Report is a member's reading of a server.
type Report struct {
	Reporter     string
	Load         float64
	Age          time.Duration
	FailedProbes int // in a row
}

// OwnReading is this balancer's own last reading of a server. A zero At means none.
type OwnReading struct {
	Load float64
	At   time.Duration
}

// CombinedReading is the result of combining the reports of a server.
type CombinedReading struct {
	Load        float64
	Age         time.Duration
	Usable      bool // Load may be used as a reading of that age
	Unreachable bool // more than half of the reporters get no answer, so this balancer should probe the server itself
}

const (
	maxReportAge     = 2 * time.Second  // older reports are not worth using instead of a probe
	maxOwnReadingAge = 10 * time.Second // a single report is compared with an own reading up to this age
	maxDisagreement  = 0.4              // load difference: twice the noise of reports, and the change in one second
	minMedianReports = 3                // reports from which the median is used
)

// Trust tracks members whose reports contradicted this balancer's own readings. The zero value is ready to use.
type Trust struct {
	records map[string]*trustRecord
}

type trustRecord struct {
	disagreements  int // in a row
	distrustedUpTo time.Duration
}

const (
	maxCheckAge      = time.Second // readings of one server within this time should agree
	maxDisagreements = 3           // in a row, after which a member's reports are ignored for distrustTime
	distrustTime     = 30 * time.Second
)

// Check compares reports of a server with an own reading from about the same time.
func (t *Trust) Check(now time.Duration, own OwnReading, reports []Report) {
	if own.At == 0 || now-own.At > maxCheckAge {
		return
	}
	for _, r := range reports {
		if r.Age > maxCheckAge || r.FailedProbes > 0 {
			continue
		}
		t.record(r.Reporter).count(now, agree(r.Load, own.Load))
	}
}

func (t *Trust) record(name string) *trustRecord {
	if t.records == nil {
		t.records = map[string]*trustRecord{}
	}
	if t.records[name] == nil {
		t.records[name] = &trustRecord{}
	}
	return t.records[name]
}

func (r *trustRecord) count(now time.Duration, agreed bool) {
	if agreed {
		r.disagreements = 0
		return
	}
	r.disagreements++
	if r.disagreements >= maxDisagreements {
		r.disagreements, r.distrustedUpTo = 0, now+distrustTime
	}
}

func agree(a, b float64) bool { return math.Abs(a-b) <= maxDisagreement }

// Trusted reports whether a member's reports are used.
func (t *Trust) Trusted(now time.Duration, name string) bool {
	r := t.records[name]
	return r == nil || now >= r.distrustedUpTo
}

// Forget removes the records of members that are no longer present.
func (t *Trust) Forget(present func(name string) bool) {
	for name := range t.records {
		if !present(name) {
			delete(t.records, name)
		}
	}
}

// Combine combines the reports of one server. It uses the median of three or more. Two reports must agree, and the
// higher one is used. A single report must agree with an own reading, and the higher of both is used. Otherwise the
// result is not usable, and this balancer has to probe the server itself.
func (t *Trust) Combine(now time.Duration, own OwnReading, reports []Report) (combined CombinedReading) {
	usable, failing, trusted := t.sort(now, reports)
	combined.Unreachable = 2*failing > trusted && failing > 1
	switch n := len(usable); {
	case n >= minMedianReports:
		combined.Load, combined.Usable = usable[n/2].Load, true
	case n == 2:
		combined.Load, combined.Usable = usable[1].Load, agree(usable[1].Load, usable[0].Load)
	case n == 1 && own.At > 0 && now-own.At <= maxOwnReadingAge:
		combined.Load, combined.Usable = max(usable[0].Load, own.Load), agree(usable[0].Load, own.Load)
	}
	for _, r := range usable {
		combined.Age = max(combined.Age, r.Age) // the age of the oldest usable report
	}
	return combined
}

// sort returns the usable reports ordered by load, the number of reporters that get no answer, and the number of all
// reports of trusted members.
func (t *Trust) sort(now time.Duration, reports []Report) (usable []Report, failing, trusted int) {
	for _, r := range reports {
		if !t.Trusted(now, r.Reporter) {
			continue
		}
		trusted++
		switch {
		case r.FailedProbes > 1:
			failing++
		case r.Age <= maxReportAge && r.Load >= 0 && !math.IsNaN(r.Load):
			usable = append(usable, r)
		}
	}
	slices.SortFunc(usable, func(a, b Report) int {
		return cmp.Or(cmp.Compare(a.Load, b.Load), cmp.Compare(a.Reporter, b.Reporter))
	})
	return usable, failing, trusted
}
