package policy

import (
	"cmp"
	"hash/fnv"
	"slices"
	"time"
)

// server is an entry of the endpoint list, together with this balancer's state for it.
type server struct {
	Server
	idHash       uint64
	sampleRank   float64 // in the current sample
	sampleWeight float64 // in the active revision; a server of weight 0 gets no new requests
	excluded     bool    // not in the candidate subset
	assigned     bool    // this balancer probes the server for the others as well

	openConnections  int
	groupConnections map[string]int // by group

	reading          reading
	estimate         estimate
	probe            probeState
	delay            delayState
	warmUp           warmUpState
	nextEvacuationAt time.Duration // no evacuation before this, so that the effect of the previous one shows first
}

// serverSet holds the servers of the endpoint list.
type serverSet struct {
	byID     map[string]*server
	sorted   []*server // by id
	restored []*server // live again after draining, without a new request since
}

// count returns the number of servers that satisfy the condition.
func (s *serverSet) count(condition func(*server) bool) (n int) {
	for _, server := range s.sorted {
		if condition(server) {
			n++
		}
	}
	return n
}

// getOrAdd returns the server of an entry, and adds it if it is new.
func (s *serverSet) getOrAdd(entry Server) *server {
	known := s.byID[entry.ID]
	if known == nil {
		known = &server{idHash: hashText(entry.ID), groupConnections: map[string]int{}}
		s.byID[entry.ID] = known
		s.sorted = append(s.sorted, known)
	}
	return known
}

// removeGone removes servers in state Gone, and sorts the rest.
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

// mergeServers applies an endpoint list or a delta.
func (b *Balancer) mergeServers(list ServerList) {
	listed := make(map[string]bool, len(list.Servers))
	for _, entry := range list.Servers {
		listed[entry.ID] = true
		s := b.servers.getOrAdd(entry)
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
