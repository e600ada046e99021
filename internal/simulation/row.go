package simulation

import (
	"cmp"
	"time"
)

// Row is what one fleet came to over the same course of events: calm, seven in ten balancers killed and back two seconds
// later, half as many balancers more, a third of the regions gone at once, and half as many new, cold ones.
type Row struct {
	Settings
	Probes       float64 // a second at the region asked most, in the mean of the calm seconds
	AllProbes    float64
	Owners       float64 // balancers with connections at the region that has most of them
	Crowded      float64 // most newcomers at one region in a slot, over the mean
	Worst        float64 // load of the fullest region over the mean, in the mean of the calm seconds
	Spread       int     // balancers that look at a region, the most less the fewest, at the end
	Wave, Shrunk int     // seconds until the load was spread as before again: after the kill, after the loss of regions
	Beside       int     // refusals while a warm region had room
	Refused      int
	Fell         int // cold regions pushed over
	Moves        int
	Took         time.Duration
}

// Play runs the course.
func Play(set Settings) (Row, error) {
	began := time.Now()
	row := Row{Settings: set}
	w, err := New(set)
	if err != nil {
		return row, err
	}
	w.Run(32 * time.Second)
	calm := w.Seconds[8:]
	row.Probes = Mean(calm, func(s Second) float64 { return float64(s.WorstProbes) })
	row.AllProbes = Mean(calm, func(s Second) float64 { return float64(s.Probes) })
	row.Owners = Mean(calm, func(s Second) float64 { return float64(s.Owners) })
	row.Worst = Mean(calm, func(s Second) float64 { return s.Worst })
	row.Crowded = Crowded(calm)
	spread := func(s Second) bool { return s.Worst < row.Worst+0.25 }
	from := len(w.Seconds)
	w.Kill(set.Balancers * 7 / 10)
	w.Run(2 * time.Second)
	if err := w.Back(); err != nil {
		return row, err
	}
	w.Run(18 * time.Second)
	row.Wave = SettledAfter(w.Seconds[from:], spread)
	if err := w.Add(set.Balancers / 2); err != nil {
		return row, err
	}
	w.Run(10 * time.Second)
	from = len(w.Seconds)
	w.Drop(set.Regions / 3)
	w.AddRegions(set.Regions/2, true)
	w.Run(25 * time.Second)
	row.Shrunk = SettledAfter(w.Seconds[from:], spread)
	last := w.Seconds[len(w.Seconds)-1]
	row.Spread = last.Most - last.Least
	row.Beside, row.Refused, row.Fell, row.Moves = w.Counts.Beside, w.Counts.Refused, w.Counts.Fell, w.Counts.Moves
	row.Took = time.Since(began)
	return row, nil
}

// Means are the ways of acting together that are compared, by name.
func Means(size int) []struct {
	Name string
	With func(*Settings)
} {
	return []struct {
		Name string
		With func(*Settings)
	}{
		{"alone", func(*Settings) {}},
		{"subsets", func(s *Settings) { s.Subset = size }},
		{"readings", func(s *Settings) { s.Readings = true }},
		{"turns", func(s *Settings) { s.Turns = true }},
		{"all", func(s *Settings) { s.Subset, s.Readings, s.Turns = size, true, true }},
	}
}

// Default is a fleet in the middle of what deployments have, of that size.
func Default(balancers, regions int, seed uint64) Settings {
	return Settings{Balancers: balancers, Regions: regions, Zones: min(3, max(1, regions/4)), Seed: seed, Fill: 100, Load: 0.55, Life: 40 * time.Second,
		Late: 400 * time.Millisecond, Lag: time.Second, Skew: cmp.Or(0.0, 1)}
}
