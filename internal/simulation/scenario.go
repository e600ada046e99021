package simulation

import (
	"cmp"
	"time"
)

// ScenarioResult holds the results of one fleet in a fixed scenario: a steady phase; 70% of the balancers are killed
// and restarted two seconds later; the number of balancers grows by half; a third of the servers is removed at the same
// time and half as many servers as at the start, which are warming up, are added.
type ScenarioResult struct {
	Settings
	MaxServerProbes       float64 // probes per second at the server that is probed most, mean of the steady phase
	AllProbes             float64
	MaxBalancersPerServer float64 // largest number of balancers with connections at one server, mean of the steady phase
	ArrivalConcentration  float64 // most new connections at one server within a slot, over the mean
	LoadImbalance         float64 // highest load of a server over the mean, mean of the steady phase
	SubsetSpread          int     // balancers that have a server in their subset: maximum minus minimum at the end

	// seconds until the load was balanced again: after the kill, after the change of servers
	KillRecoverySeconds, ServerChangeRecoverySeconds int

	RejectedWithCapacity int // rejections while a warmed-up server had capacity
	Rejected             int
	Overloaded           int // servers that were overloaded during their warm-up
	Migrations           int
	Elapsed              time.Duration
}

// RunScenario runs the scenario.
func RunScenario(set Settings) (ScenarioResult, error) {
	began := time.Now()
	result := ScenarioResult{Settings: set}
	env, err := NewEnvironment(set)
	if err != nil {
		return result, err
	}
	env.Run(32 * time.Second)
	steady := env.Seconds[8:]
	result.MaxServerProbes = Mean(steady, func(s SecondStats) float64 { return float64(s.MaxServerProbes) })
	result.AllProbes = Mean(steady, func(s SecondStats) float64 { return float64(s.Probes) })
	result.MaxBalancersPerServer = Mean(steady, func(s SecondStats) float64 { return float64(s.MaxBalancersPerServer) })
	result.LoadImbalance = Mean(steady, func(s SecondStats) float64 { return s.LoadImbalance })
	result.ArrivalConcentration = ArrivalConcentration(steady)
	balanced := func(s SecondStats) bool { return s.LoadImbalance < result.LoadImbalance+0.25 }
	from := len(env.Seconds)
	env.KillBalancers(set.Balancers * 7 / 10)
	env.Run(2 * time.Second)
	if err := env.RestartBalancers(); err != nil {
		return result, err
	}
	env.Run(18 * time.Second)
	result.KillRecoverySeconds = SecondsUntilStable(env.Seconds[from:], balanced)
	if err := env.AddBalancers(set.Balancers / 2); err != nil {
		return result, err
	}
	env.Run(10 * time.Second)
	from = len(env.Seconds)
	env.RemoveServers(set.Servers / 3)
	env.AddServers(set.Servers/2, true)
	env.Run(25 * time.Second)
	result.ServerChangeRecoverySeconds = SecondsUntilStable(env.Seconds[from:], balanced)
	last := env.Seconds[len(env.Seconds)-1]
	result.SubsetSpread = last.MaxCandidates - last.MinCandidates
	result.RejectedWithCapacity, result.Rejected, result.Overloaded, result.Migrations =
		env.Counts.RejectedWithCapacity, env.Counts.Rejected, env.Counts.Overloaded, env.Counts.Migrations
	result.Elapsed = time.Since(began)
	return result, nil
}

// CoordinationModes returns the modes of coordination that are compared, by name.
func CoordinationModes(size int) []struct {
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

// DefaultSettings returns settings that are typical of deployments, for a number of balancers and servers.
func DefaultSettings(balancers, servers int, seed uint64) Settings {
	return Settings{Balancers: balancers, Servers: servers, Zones: min(3, max(1, servers/4)), Seed: seed,
		ServerCapacity: 100, Load: 0.55, ConnectionLifetime: 40 * time.Second,
		ReportDelay: 400 * time.Millisecond, PeerDelay: time.Second, Skew: cmp.Or(0.0, 1)}
}
