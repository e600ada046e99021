package revision

import (
	"slices"
	"strings"
	"time"
)

// Bounds of the guard.
const (
	maxRateFactor          = 1.5  // limit of a rate relative to its baseline
	maxRateIncrease        = 0.02 // added to that limit: two percentage points
	minRequests            = 50   // requests below which a rate is not judged: a small sample is not significant
	maxRateWithoutBaseline = 0.25 // limit if the baseline has fewer than minRequests requests
	sampleInterval         = time.Second
	maxSamples             = 30 // samples kept as the baseline
)

// guard compares the members' totals since a revision came into force with those of the time before.
type guard struct {
	since       time.Duration // when this leader began to guard the revision
	number      uint64        // of the guarded revision
	startTotals Totals        // totals at since
	samples     []Totals      // running totals, one every sampleInterval
	nextSample  time.Duration
}

func (g *guard) reset(now time.Duration) { *g = guard{nextSample: now} }

// sample records the running totals once every sampleInterval.
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

// baseline returns the totals over the time that the samples span.
func (g *guard) baseline() Totals {
	if len(g.samples) < 2 {
		return Totals{}
	}
	return g.samples[len(g.samples)-1].minus(g.samples[0])
}

// addTotals adds the increase of a holder's running totals. The first totals of a holder only set the starting point.
func (l *Leader) addTotals(h *holderState, totals Totals) {
	if h.hasTotals {
		l.totals = l.totals.plus(totals.minus(h.totals))
	}
	h.hasTotals, h.totals = true, totals
}

// checkGuard returns the command that the guarded revision requires, if any, while no proposal is pending: a rollback
// if a rate has exceeded its limit, or the end of the guard.
func (l *Leader) checkGuard(now time.Duration, s *State) []Command {
	g := &l.guard
	g.sample(now, l.totals)
	window := s.Guard
	if window == nil || window.Ended || window.FailedRollbacks >= MaxFailedRollbacks {
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

// RateAboveLimit describes the first rate that exceeds its limit, or returns "" if none does.
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

// percent formats a rate as a percentage with one decimal.
func percent(rate float64) string {
	tenths := uint64(rate*1000 + 0.5)
	return formatUint(tenths/10) + "." + formatUint(tenths%10) + "%"
}
