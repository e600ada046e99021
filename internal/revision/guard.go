package revision

// This file owns the guard: whether the members' own figures since a revision came in force stay within bounds of what was before.
// It must never take few figures for a sign.

import (
	"slices"
	"strings"
	"time"
)

// Bounds of the guard: a rate may be half as much again as before and two points more, and is judged from so many asked on.
const (
	maxRateFactor   = 1.5
	maxRateIncrease = 0.02
	minRequests     = 50
	maxBlindRate    = 0.25 // where hardly anything was asked before, a rate that is taken for bad
	sampleInterval  = time.Second
	maxSamples      = 30 // samples kept of the time before
)

type guard struct {
	since       time.Duration // when this leader began to watch
	number      uint64        // the revision that it watches
	startTotals Totals        // the total then
	samples     []Totals      // totals, one each guardEvery
	nextSample  time.Duration
}

func (g *guard) reset(now time.Duration) { *g = guard{nextSample: now} }

// totalsBefore are the figures of the time that the samples span.
func (g *guard) totalsBefore() Totals {
	if len(g.samples) < 2 {
		return Totals{}
	}
	return g.samples[len(g.samples)-1].minus(g.samples[0])
}

// addTotals takes a holder's running totals; those that it came with don't count.
func (l *Leader) addTotals(x *holderState, f Totals) {
	if x.hasTotals {
		l.totals = l.totals.plus(f.minus(x.totals))
	}
	x.hasTotals, x.totals = true, f
}

// checkGuard is what is to be settled for the sake of the revision that is watched, while no proposal is under way.
func (l *Leader) checkGuard(now time.Duration, s *State) []Command {
	g := &l.guard
	if now >= g.nextSample {
		g.nextSample = now + sampleInterval
		g.samples = append(g.samples, l.totals)
		if len(g.samples) > maxSamples {
			g.samples = slices.Delete(g.samples, 0, 1)
		}
	}
	w := s.Guard
	if w == nil || w.Kept || w.FailedRollbacks >= MaxFailedRollbacks {
		return nil
	}
	if g.number != w.Number {
		g.number, g.since, g.startTotals = w.Number, now, l.totals
	}
	since := l.totals.minus(g.startTotals)
	over := now >= g.since+time.Duration(w.Duration)
	if why := Worse(w.Before, since); why != "" {
		key := "guard-" + formatUint(w.Number) + strings.Repeat("+", w.FailedRollbacks)
		return []Command{{Op: OpPropose, Key: key, Kind: KindGuard, Base: w.Number, Source: w.RollbackTo, By: "guard: " + why}}
	}
	if over {
		return []Command{{Op: OpKeep, LeaderTerm: l.term, Source: w.Number}}
	}
	return nil
}

// Worse says what is out of bounds now, "" for nothing.
func Worse(before, now Totals) string {
	if now.Requests < minRequests {
		return ""
	}
	for _, x := range []struct {
		what     string
		was, now int64
	}{{"refused", before.Rejected, now.Rejected}, {"failed", before.Failed, now.Failed}, {"late", before.Late, now.Late}} {
		was := float64(x.was) / float64(max(before.Requests, 1))
		most := was*maxRateFactor + maxRateIncrease
		if before.Requests < minRequests {
			most = maxBlindRate
		}
		if is := float64(x.now) / float64(now.Requests); is > most {
			return x.what + " " + percent(is) + ", before " + percent(was)
		}
	}
	return ""
}

func percent(x float64) string {
	return formatUint(uint64(x*1000+0.5)/10) + "." + formatUint(uint64(x*1000+0.5)%10) + "%"
}
