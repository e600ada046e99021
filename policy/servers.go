package policy

import (
	"cmp"
	"hash/fnv"
	"slices"
	"time"
)

// server is an entry of the endpoint list with what this balancer knows of it.
type server struct {
	Server
	idHash       uint64
	sampleRank   float64 // in the sample being taken
	sampleWeight float64 // by the revision in force; 0 takes no new requests
	excluded     bool    // not one of the candidates
	assigned     bool    // this balancer probes it for the others as well

	openConnections  int
	groupConnections map[string]int // by group

	reading          reading
	estimate         estimate
	probe            probeState
	delay            delayState
	warmUp           warmUpState
	nextEvacuationAt time.Duration // the effect of the last evacuation has to show first
}

// serverSet holds the servers of the endpoint list.
type serverSet struct {
	byID     map[string]*server
	sorted   []*server // by id
	restored []*server // live again after draining, and not sent to since
}

// count returns how many servers satisfy the condition.
func (s *serverSet) count(condition func(*server) bool) (n int) {
	for _, server := range s.sorted {
		if condition(server) {
			n++
		}
	}
	return n
}

// get returns the server of an entry, which it adds if it is new.
func (s *serverSet) get(entry Server) *server {
	known := s.byID[entry.ID]
	if known == nil {
		known = &server{idHash: hashText(entry.ID), groupConnections: map[string]int{}}
		s.byID[entry.ID] = known
		s.sorted = append(s.sorted, known)
	}
	return known
}

// removeGone drops servers that are gone, and restores the order.
func (s *serverSet) removeGone() {
	for _, server := range s.sorted {
		if server.State == Gone {
			delete(s.byID, server.ID)
		}
	}
	s.sorted = slices.DeleteFunc(s.sorted, func(server *server) bool { return server.State == Gone })
	s.restored = slices.DeleteFunc(s.restored, func(server *server) bool { return server.State != Live })
	slices.SortFunc(s.sorted, func(a, b *server) int { return cmp.Compare(a.ID, b.ID) })
}

// mergeServers applies an endpoint list, or the changes of one.
func (b *Balancer) mergeServers(list ServerList) {
	listed := make(map[string]bool, len(list.Servers))
	for _, entry := range list.Servers {
		listed[entry.ID] = true
		s := b.servers.get(entry)
		if s.State == Draining && entry.State == Live {
			b.servers.restored = append(b.servers.restored, s)
		}
		s.Server = entry
		if entry.StartedAt > s.warmUp.since && b.now-entry.StartedAt < b.config.WarmUpDuration {
			b.startWarmUp(s, entry.StartedAt)
		}
	}
	if list.Kind != ListDelta {
		for _, s := range b.servers.sorted {
			if !listed[s.ID] {
				s.State = Gone
			}
		}
	}
	b.servers.removeGone()
	b.markSubset()
}

func hashText(text string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(text))
	return h.Sum64()
}
