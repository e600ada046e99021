// Package subset chooses which servers a balancer looks at and places on by itself, so that the probes a server
// receives follow from the subset's size and not from the number of balancers. Every server is looked at by the
// same number of balancers, within one, and one balancer or server more or less changes as few pairs as possible.
//
// The package is pure: lists in, lists out, the same for all who hold the same lists. It has no clock, socket or
// state. No live server is left out of all subsets: one that nobody looks at would receive no requests.
package subset

import (
	"cmp"

	"github.com/cespare/xxhash/v2"
)

// Member is a balancer.
type Member struct {
	Name         string
	Zone         string
	TrafficShare float64  // of the traffic, relative to the mean; its subset is larger in proportion. 0 counts as 1
	Current      []string // servers of its subset now, as it has announced them; nil for a new member
}

// Server is a live server.
type Server struct {
	ID   string
	Zone string
}

// Config has the settings of a fleet. All its balancers must have the same.
type Config struct {
	Size         int // servers that a balancer with a traffic share of 1 looks at, at least
	MinBalancers int // balancers that look at each server, at least, as far as there are so many
}

// Rank orders servers for a balancer, and balancers for a server: the same for all who ask, lower first.
func Rank(name, server string) uint64 {
	return xxhash.Sum64String(name + "\x00" + server)
}

// compareNear orders what is near before what is far.
func compareNear(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	}
	return 1
}

// comparePreference orders servers as a member prefers them: near ones first, then by rank.
func comparePreference(m Member, a, b Server) int {
	return cmp.Or(
		compareNear(a.Zone == m.Zone, b.Zone == m.Zone),
		cmp.Compare(Rank(m.Name, a.ID), Rank(m.Name, b.ID)),
	)
}
