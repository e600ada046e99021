package core

import (
	"time"

	"oatloft/policy"
)

const (
	predecessorFlowTTL = 30 * time.Second // flows of the predecessor are forgotten after it
	maxKnownServers    = 4096
)

// predecessorFlows holds the flows of connections that an earlier process had established and whose clients or
// packets may arrive here.
type predecessorFlows struct {
	servers   map[string]string // by flow key
	expiresAt time.Duration
}

func (p *predecessorFlows) expire(now time.Duration) {
	if now > p.expiresAt {
		p.servers = nil
	}
}

// predecessorState records the state left by an earlier process.
func (r *Reducer) predecessorState(event PredecessorState) {
	r.endpoints.known.add(event.Servers...)
	if len(event.Flows) > 0 {
		r.predecessor = predecessorFlows{servers: event.Flows, expiresAt: r.now + predecessorFlowTTL}
	}
}

// takeOverFlow reports to the module the server on which an earlier process had established a request's connection:
// the request adds no load there.
func (r *Reducer) takeOverFlow(q *request) {
	server, ok := r.predecessor.servers[q.Key]
	if !ok {
		return
	}
	delete(r.predecessor.servers, q.Key)
	r.Counters.FlowsInherited++
	r.decide(policy.PredecessorFlow{Key: q.Key, Server: server})
}

// knownServers remembers the servers that were ever listed, up to maxKnownServers; the oldest are evicted first.
type knownServers struct {
	ids   map[string]bool
	order []string
}

func (k *knownServers) add(ids ...string) {
	for _, id := range ids {
		if k.ids[id] {
			continue
		}
		if k.ids == nil {
			k.ids = map[string]bool{}
		}
		k.ids[id] = true
		k.order = append(k.order, id)
		if len(k.order) > maxKnownServers {
			delete(k.ids, k.order[0])
			k.order = k.order[1:]
		}
	}
}

// IsKnownServer reports whether a server was ever listed, or is in maintenance.
func (r *Reducer) IsKnownServer(id string) bool {
	return r.endpoints.known.ids[id] || r.maintenance.servers[id]
}

// KnownServers returns the ids of the servers that were ever listed, ordered by when they were first listed.
func (r *Reducer) KnownServers() []string { return r.endpoints.known.order }
