package revision

import (
	"slices"
	"strings"
	"time"
)

// Bounds of the guard.
const (
	maxRateFactor          = 1.5  // a rate may be half as much again as before ...
	maxRateIncrease        = 0.02 // ... and two points more
	minRequests            = 50   // from which on a rate is judged: few requests are no sign
	maxRateWithoutBaseline = 0.25 // where hardly anything was requested before
	sampleInterval         = time.Second
	maxSamples             = 30 // of the time before
)

// guard compares the members' totals since a revision came in force with those of the time before.
type guard struct {
	since       time.Duration // when this leader began to watch the revision
	number      uint64        // of the revision
	startTotals Totals        // when it began
	samples     []Totals      // running totals, one each sampleInterval
	nextSample  time.Duration
}

func (g *guard) reset(now time.Duration) { *g = guard{nextSample: now} }

// sample keeps the running totals.
func (g *guard) sample(now time.Duration, totals Totals) {
	if now < g.nextSample {
		return
	}
	g.nextSample = now + sampleInterval
	g.samples = append(g.samples, totals)
	if len(g.samples) > maxSamples {
		g.samples = slices.Delete(g.samples, 0, 1)
	}
}

// totalsBefore are the totals of the time that the samples span.
func (g *guard) baseline() Totals {
	if len(g.samples) < 2 {
		return Totals{}
	}
	return g.samples[len(g.samples)-1].minus(g.samples[0])
}

// addTotals takes a holder's running totals; those that it came with do not count.
func (l *Leader) addTotals(h *holderState, totals Totals) {
	if h.hasTotals {
		l.totals = l.totals.plus(totals.minus(h.totals))
	}
	h.hasTotals, h.totals = true, totals
}

// checkGuard returns what is to be committed for the sake of the guarded revision, while no proposal is under way:
// a rollback if the totals are worse than before, or the end of the guard.
func (l *Leader) checkGuard(now time.Duration, s *State) []Command {
	g := &l.guard
	g.sample(now, l.totals)
	window := s.Guard
	if window == nil || window.Kept || window.FailedRollbacks >= MaxFailedRollbacks {
		return nil
	}
	if g.number != window.Number {
		g.number, g.since, g.startTotals = window.Number, now, l.totals
	}
	if reason := RateAboveLimit(window.Baseline, l.totals.minus(g.startTotals)); reason != "" {
		return []Command{{
			Op:     OpPropose,
			Key:    "guard-" + formatUint(window.Number) + strings.Repeat("+", window.FailedRollbacks),
			Kind:   KindGuard,
			Base:   window.Number,
			Source: window.RollbackTo,
			By:     "guard: " + reason,
		}}
	}
	if now >= g.since+time.Duration(window.Duration) {
		return []Command{{Op: OpEndGuard, LeaderTerm: l.term, Source: window.Number}}
	}
	return nil
}

// Worse says which rate is out of bounds now, "" for none.
func RateAboveLimit(baseline, current Totals) string {
	if current.Requests < minRequests {
		return ""
	}
	for _, check := range []struct {
		rate              string
		baseline, current int64
	}{
		{"refused", baseline.Rejected, current.Rejected},
		{"failed", baseline.Failed, current.Failed},
		{"late", baseline.Late, current.Late},
	} {
		baselineRate := float64(check.baseline) / float64(max(baseline.Requests, 1))
		limit := baselineRate*maxRateFactor + maxRateIncrease
		if baseline.Requests < minRequests {
			limit = maxRateWithoutBaseline
		}
		if rate := float64(check.current) / float64(current.Requests); rate > limit {
			return check.rate + " " + percent(rate) + ", before " + percent(baselineRate)
		}
	}
	return ""
}

// percent writes a rate with one decimal.
func percent(rate float64) string {
	tenths := uint64(rate*1000 + 0.5)
	return formatUint(tenths/10) + "." + formatUint(tenths%10) + "%"
}
