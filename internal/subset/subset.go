// Package subset chooses the servers that a balancer probes and sends requests to by itself, so that the number of
// probes a server receives depends on the subset size and not on the number of balancers. The numbers of subsets that
// servers are in differ by at most one, and adding or removing a balancer or server changes as few pairs as possible.
//
// All functions are deterministic: balancers with the same lists compute the same subsets. They use no clock, socket or
// global state. Every live server is in some subset, because one in no subset would receive no requests.
package subset

import (
	"cmp"

	"github.com/cespare/xxhash/v2"
)

// Member is a balancer.
type Member struct {
	Name         string
	Zone         string
	TrafficShare float64  // its traffic relative to the mean; the subset size is proportional to it. 0 counts as 1
	Current      []string // IDs of the servers in its current subset, as announced by it; nil for a new member
}

// Server is a live server.
type Server struct {
	ID   string
	Zone string
}

// Config holds the settings of a fleet. They must be the same in all its balancers.
type Config struct {
	Size         int // minimum number of servers in the subset of a balancer with a traffic share of 1
	MinBalancers int // minimum number of subsets that each server is in, if there are that many balancers
}

// Rank returns the preference of a balancer for a server, and of a server for a balancer. Lower ranks come first, and
// all balancers compute the same ranks.
func Rank(name, server string) uint64 {
	return xxhash.Sum64String(name + "\x00" + server)
}

// compareNear orders true, for the same zone, before false.
func compareNear(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	}
	return 1
}

// comparePreference orders servers as a member prefers them: those of its zone first, then by rank.
func comparePreference(m Member, a, b Server) int {
	return cmp.Or(
		compareNear(a.Zone == m.Zone, b.Zone == m.Zone),
		cmp.Compare(Rank(m.Name, a.ID), Rank(m.Name, b.ID)),
	)
}
