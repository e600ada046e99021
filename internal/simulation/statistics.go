package simulation

import (
	"math"
	"slices"
	"time"
)

// Counts are totals over the run.
type Counts struct {
	Requests, Established, Rejected, RejectedWithCapacity, Migrations, Overloaded, Plans int
}

// SecondStats are the statistics of one second.
type SecondStats struct {
	Probes                       int     // of all servers
	MaxServerProbes              int     // at the server that was probed most
	LoadImbalance                float64 // highest load of a warmed-up server over their mean load
	MaxBalancersPerServer        int     // largest number of balancers with connections at one server
	Rejected                     int
	RejectedWithCapacity         int     // while a server had free capacity
	MinCandidates, MaxCandidates int     // number of balancers that have a server in their subset
	MaxWarmUpLoad                float64 // highest load of a server that is warming up, over its current capacity
	newConnections               map[string]int
}

// recordStep records the load of each server, detects overloaded servers, and completes the statistics of each second.
func (e *Environment) recordStep() {
	for _, srv := range e.servers {
		srv.history = append(srv.history, srv.connections)
		if len(srv.history) > 64 {
			srv.history = slices.Delete(srv.history, 0, 32)
		}
		load := e.loadRatio(srv, srv.connections)
		if srv.warmUpFactor(e.Now) < 1 {
			e.current.MaxWarmUpLoad = max(e.current.MaxWarmUpLoad, load)
		}
		if load <= overloadMultiple || srv.warmUpFactor(e.Now) >= 1 {
			srv.overloadedFor = 0
		} else if srv.overloadedFor += stepDuration; srv.overloadedFor >= overloadWindow && srv.downUntil < e.Now {
			srv.downUntil = e.Now + 5*time.Second
			e.Counts.Overloaded++
		}
	}
	if e.Now%time.Second != 0 {
		return
	}
	candidates := map[string]int{}
	for _, b := range e.balancers {
		for _, id := range b.candidates {
			candidates[id]++
		}
	}
	total, maxLoad, warmedUp := 0.0, 0.0, 0.0
	e.current.MinCandidates, e.current.newConnections = math.MaxInt, map[string]int{}
	for _, srv := range e.servers {
		e.current.MaxServerProbes = max(e.current.MaxServerProbes, srv.probes)
		e.current.MaxBalancersPerServer = max(e.current.MaxBalancersPerServer, len(srv.byBalancer))
		e.current.MinCandidates, e.current.MaxCandidates = min(e.current.MinCandidates, candidates[srv.ID]),
			max(e.current.MaxCandidates, candidates[srv.ID])
		e.current.newConnections[srv.ID] = srv.newConnections
		srv.probes, srv.newConnections = 0, 0
		if srv.warmUpFactor(e.Now) >= 1 {
			load := e.loadRatio(srv, srv.connections)
			total, maxLoad, warmedUp = total+load, max(maxLoad, load), warmedUp+1
		}
	}
	if total > 0 {
		e.current.LoadImbalance = maxLoad / (total / warmedUp)
	}
	e.Seconds = append(e.Seconds, e.current)
	e.current = SecondStats{}
}

// Mean returns the mean of a figure over seconds.
func Mean(list []SecondStats, figure func(SecondStats) float64) float64 {
	total := 0.0
	for _, s := range list {
		total += figure(s)
	}
	return total / float64(max(1, len(list)))
}

// ArrivalConcentration returns the highest number of new connections at one server over the mean of all servers, within
// a slot of eight seconds.
func ArrivalConcentration(list []SecondStats) (worst float64) {
	for from := 0; from+8 <= len(list); from += 8 {
		arrivals, total := map[string]int{}, 0
		for _, s := range list[from : from+8] {
			for id, n := range s.newConnections {
				arrivals[id] += n
				total += n
			}
		}
		for _, n := range arrivals {
			worst = max(worst, float64(n)*float64(len(arrivals))/float64(max(1, total)))
		}
	}
	return worst
}

// SecondsUntilStable returns the number of seconds until a figure stayed within its bound for three seconds in a row,
// or the length of the list if it never did.
func SecondsUntilStable(list []SecondStats, withinBound func(SecondStats) bool) int {
	for i := range list {
		if i+3 <= len(list) && withinBound(list[i]) && withinBound(list[i+1]) && withinBound(list[i+2]) {
			return i
		}
	}
	return len(list)
}
