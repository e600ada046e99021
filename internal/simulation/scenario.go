package simulation

import (
	"cmp"
	"time"
)

// Row is what one fleet came to over the same course of events: calm, seven in ten balancers killed and back two seconds
// later, half as many balancers more, a third of the regions gone at once, and half as many new, cold ones.
type ScenarioResult struct {
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
	Elapsed      time.Duration
}

// Play runs the course.
func Play(set Settings) (ScenarioResult, error) {
	began := time.Now()
	result := ScenarioResult{Settings: set}
	env, err := NewEnvironment(set)
	if err != nil {
		return result, err
	}
	env.Run(32 * time.Second)
	steady := env.Seconds[8:]
	result.Probes = Mean(steady, func(s SecondStats) float64 { return float64(s.MaxServerProbes) })
	result.AllProbes = Mean(steady, func(s SecondStats) float64 { return float64(s.Probes) })
	result.Owners = Mean(steady, func(s SecondStats) float64 { return float64(s.MaxBalancersPerServer) })
	result.Worst = Mean(steady, func(s SecondStats) float64 { return s.LoadImbalance })
	result.Crowded = ArrivalConcentration(steady)
	balanced := func(s SecondStats) bool { return s.LoadImbalance < result.Worst+0.25 }
	from := len(env.Seconds)
	env.KillBalancers(set.Balancers * 7 / 10)
	env.Run(2 * time.Second)
	if err := env.RestartBalancers(); err != nil {
		return result, err
	}
	env.Run(18 * time.Second)
	result.Wave = SecondsUntilStable(env.Seconds[from:], balanced)
	if err := env.AddBalancers(set.Balancers / 2); err != nil {
		return result, err
	}
	env.Run(10 * time.Second)
	from = len(env.Seconds)
	env.RemoveServers(set.Servers / 3)
	env.AddServers(set.Servers/2, true)
	env.Run(25 * time.Second)
	result.Shrunk = SecondsUntilStable(env.Seconds[from:], balanced)
	last := env.Seconds[len(env.Seconds)-1]
	result.Spread = last.MaxCandidates - last.MinCandidates
	result.Beside, result.Refused, result.Fell, result.Moves = env.Counts.RejectedWithCapacity, env.Counts.Rejected, env.Counts.Overloaded, env.Counts.Migrations
	result.Elapsed = time.Since(began)
	return result, nil
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
		{"subsets", func(s *Settings) { s.SubsetSize = size }},
		{"readings", func(s *Settings) { s.ShareReadings = true }},
		{"turns", func(s *Settings) { s.Stagger = true }},
		{"all", func(s *Settings) { s.SubsetSize, s.ShareReadings, s.Stagger = size, true, true }},
	}
}

// Default is a fleet in the middle of what deployments have, of that size.
func Default(balancers, regions int, seed uint64) Settings {
	return Settings{Balancers: balancers, Servers: regions, Zones: min(3, max(1, regions/4)), Seed: seed, ServerCapacity: 100, Load: 0.55, ConnectionLifetime: 40 * time.Second,
		ReportDelay: 400 * time.Millisecond, Lag: time.Second, Skew: cmp.Or(0.0, 1)}
}
