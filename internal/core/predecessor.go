package core

import (
	"time"

	"oatloft/policy"
)

const (
	predecessorFlowTTL = 30 * time.Second // what an earlier process has left is forgotten then
	maxKnownServers    = 4096
)

// predecessorFlows are the connections that an earlier process has left, which come here when its clients or their
// packets do.
type predecessorFlows struct {
	servers   map[string]string // by the flow's key
	expiresAt time.Duration
}

func (p *predecessorFlows) expire(now time.Duration) {
	if now > p.expiresAt {
		p.servers = nil
	}
}

// predecessorState takes what an earlier process has left.
func (r *Reducer) predecessorState(event PredecessorState) {
	r.endpoints.known.add(event.Servers...)
	if len(event.Flows) > 0 {
		r.predecessor = predecessorFlows{servers: event.Flows, expiresAt: r.now + predecessorFlowTTL}
	}
}

// takeOverFlow tells the module where a request's connection was established by an earlier process: it adds no load
// there.
func (r *Reducer) takeOverFlow(q *request) {
	server, ok := r.predecessor.servers[q.Key]
	if !ok {
		return
	}
	delete(r.predecessor.servers, q.Key)
	r.Counters.FlowsInherited++
	r.decide(policy.PredecessorFlow{Key: q.Key, Server: server})
}

// knownServers remembers the servers that were listed at some time, the latest of them.
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

// IsKnownServer tells whether a server was listed at some time, or is in maintenance.
func (r *Reducer) IsKnownServer(id string) bool {
	return r.endpoints.known.ids[id] || r.maintenance.servers[id]
}

// KnownServers names the servers that were listed at some time, in the order in which they were first.
func (r *Reducer) KnownServers() []string { return r.endpoints.known.order }
