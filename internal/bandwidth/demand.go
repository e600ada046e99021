package bandwidth

import (
	"math"
	"time"
)

// Demand returns what each class and tenant would send without shaping, in bytes per second since the last measurement.
// A flow that was backlogged nearly all of the time may demand any amount, and is taken to demand the whole link.
func (s *Shaper[W]) Demand(now time.Duration) LinkRequest {
	s.refill(now)
	a := LinkRequest{Link: LinkName(s.link.From, s.link.To), SafeRate: s.safeRate}
	if s.grantExpiry > 0 {
		a.GrantedRate = s.rate
	}
	if now-s.measuredSince < minMeasureTime { // an early request: over so short a time the figures are chance
		a.Demands = s.lastDemands
		return a
	}
	span := (now - s.measuredSince).Seconds()
	for _, c := range s.classes {
		for _, f := range c.flows {
			waitTime := f.waitTime
			if f.waiting() > 0 {
				waitTime += now - max(f.waitingSince, s.measuredSince)
			}
			if f.measuredBytes > 0 || waitTime > 0 {
				waitShare := waitTime.Seconds() / span
				d := Demand{c.name, f.tenant, s.link.Bytes, f.maxWaiting}
				idle := now - f.emptiedAt
				if f.waiting() > 0 {
					idle = 0
				}
				switch {
				case idle <= requeueGap && now-f.backloggedSince >= minBacklogTime || waitShare >= 0.9 && idle < minBacklogTime:
				case waitShare >= 0.5 && idle >= minBacklogTime: // its backlog has ended
					d.Rate = minQuantumBytes
				default:
					d.Rate = min(s.link.Bytes, 1.1*float64(max(0, f.measuredBytes))/span/(1-waitShare)+float64(minQuantumBytes))
				}
				a.Demands = append(a.Demands, d)
			}
			f.measuredBytes, f.waitTime, f.maxWaiting = 0, 0, f.waiting()
		}
	}
	s.measuredSince, s.lastDemands = now, a.Demands
	return a
}

// Saturated returns the classes for which the link is saturated: as the grant reports, or without a grant those waiting
// here.
func (s *Shaper[W]) Saturated() []string {
	if s.grantExpiry > 0 {
		return s.saturated
	}
	var list []string
	for _, c := range s.classes {
		if c.waiting > 0 {
			list = append(list, c.name)
		}
	}
	return list
}

// LinkStats are a link's counters and state.
type LinkStats struct {
	Link    string           `json:"link"`
	Rate    float64          `json:"bytes_per_second"`
	Granted bool             `json:"lent"` // and not expired
	Waiting int              `json:"waiting"`
	Bytes   map[string]int64 `json:"bytes"` // by class
}

// Stats returns the counters and state.
func (s *Shaper[W]) Stats(now time.Duration) LinkStats {
	s.refill(now)
	f := LinkStats{Link: LinkName(s.link.From, s.link.To), Rate: math.Round(s.rate), Granted: s.grantExpiry > 0,
		Waiting: s.waiting, Bytes: map[string]int64{}}
	for _, c := range s.classes {
		for _, x := range c.flows {
			f.Bytes[c.name] += x.totalBytes
		}
	}
	return f
}
