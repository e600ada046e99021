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

// OwnReading is this balancer's own last reading of a server; a zero At means none.
type OwnReading struct {
	Load float64
	At   time.Duration
}

// CombinedReading is what the reports of a server are worth together.
type CombinedReading struct {
	Load        float64
	Age         time.Duration
	Usable      bool // Load may be taken as a reading of that age
	Unreachable bool // more than half of the reporters get no answer: this balancer should probe the server itself
}

const (
	maxReportAge     = 2 * time.Second  // an older reading says less than a probe costs
	maxOwnReadingAge = 10 * time.Second // an own reading can contradict a single report for so long
	maxDisagreement  = 0.4              // of loads: twice the noise of reports and what a second brings
	minUsual         = 3                // reports of which the middle one stands
)

// Trust tracks which members have reported what did not hold. The zero value is ready.
type Trust struct {
	records map[string]*trustRecord
}

type trustRecord struct {
	disagreements  int // in a row
	distrustedUpTo time.Duration
}

const (
	maxCheckAge      = time.Second // two readings of one server this close in time should agree
	maxDisagreements = 3           // in a row, after which a member's reports ...
	distrustTime     = 30 * time.Second
)

// Check compares reports of a server with an own reading of about the same time.
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

// Trusted tells whether a member's reports count.
func (t *Trust) Trusted(now time.Duration, name string) bool {
	r := t.records[name]
	return r == nil || now >= r.distrustedUpTo
}

// Forget drops the records of members that are no longer present.
func (t *Trust) Forget(present func(name string) bool) {
	for name := range t.records {
		if !present(name) {
			delete(t.records, name)
		}
	}
}

// Combine weighs the reports of one server. Of three or more the middle one stands. Two have to agree, and the
// higher one stands. A single one has to agree with an own reading, and the higher of both stands. What does not is
// no reading: this balancer has to probe for itself.
func (t *Trust) Combine(now time.Duration, own OwnReading, reports []Report) (combined CombinedReading) {
	usable, failing, trusted := t.sort(now, reports)
	combined.Unreachable = 2*failing > trusted && failing > 1
	switch n := len(usable); {
	case n >= minUsual:
		combined.Load, combined.Usable = usable[n/2].Load, true
	case n == 2:
		combined.Load, combined.Usable = usable[1].Load, agree(usable[1].Load, usable[0].Load)
	case n == 1 && own.At > 0 && now-own.At <= maxOwnReadingAge:
		combined.Load, combined.Usable = max(usable[0].Load, own.Load), agree(usable[0].Load, own.Load)
	}
	for _, r := range usable {
		combined.Age = max(combined.Age, r.Age) // as old as the oldest that it rests on
	}
	return combined
}

// sort returns the usable reports by load, and counts those of members that get no answer, and all of trusted
// members.
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
