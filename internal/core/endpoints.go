package core

import (
	"maps"
	"slices"
	"time"

	"oatloft/internal/failpoint"
	"oatloft/policy"
)

// endpoint is a listed server with what this balancer has learnt of its message delay. Its State is what the module
// is told: draining also where discovery says live, but operators have it in maintenance.
type endpoint struct {
	Endpoint
	listedState     policy.ServerState // by discovery
	longDelay       bool               // as last reported
	delayReportedAt time.Duration
	answeredUpTo    time.Duration // when the latest line passed that has been replied to
	lastLineAt      time.Duration // when it returned a line on any established connection
	probedAt        time.Duration
}

// endpointTable holds the endpoint list.
type endpointTable struct {
	byID     map[string]*endpoint
	received bool // a list has come, be it an old one
	version  int64
	known    knownServers
}

// servers lists the servers as the module has them now, by id.
func (t *endpointTable) servers() []policy.Server {
	list := make([]policy.Server, 0, len(t.byID))
	for _, id := range slices.Sorted(maps.Keys(t.byID)) {
		list = append(list, t.byID[id].Server)
	}
	return list
}

// HasEndpoints tells that an endpoint list has come, be it an old one.
func (r *Reducer) HasEndpoints() bool { return r.endpoints.received }

// ListedServers returns the servers as the module has them now, by id.
func (r *Reducer) ListedServers() []policy.Server { return r.endpoints.servers() }

// ZoneOf returns the zone of a server, "" if it is not listed.
func (r *Reducer) ZoneOf(id string) string {
	if e := r.endpoints.byID[id]; e != nil {
		return e.Zone
	}
	return ""
}

// endpointsListed applies an endpoint list, or the changes of one, and passes it to the module.
func (r *Reducer) endpointsListed(event EndpointsListed) {
	r.Counters.Lists++
	r.endpoints.received = true
	if event.Kind != policy.ListCached && !event.FromPreviousWatch {
		r.watch.answered(r.now)
	}
	if r.overtaken(event) {
		if !event.FromPreviousWatch { // nothing new, but an answer
			r.decide(policy.ServerList{Kind: policy.ListDelta})
		}
		return
	}
	r.endpoints.version = max(r.endpoints.version, event.Version)
	if event.Kind != policy.ListDelta {
		r.endpoints.version = event.Version
	}
	servers := r.mergeEndpoints(event)
	if event.FromPreviousWatch { // it says nothing of the watch that is to follow: that one may have failed
		r.listAgain()
	} else {
		r.decide(policy.ServerList{Kind: event.Kind, Servers: servers})
	}
	r.restoreReturned()
	for _, q := range r.requests.sorted() {
		if !q.isNew() {
			r.returnToServer(q)
		}
	}
}

// overtaken tells of a list that is older than what is held, though its call was for newer: the call that it came
// by named an earlier version, and the other one (the watch that this one follows, or the one that follows it) has
// brought more meanwhile. What it says may be over, and nothing in it is missing here. A version below the one that
// the call named is another matter: discovery counts from the start again.
func (r *Reducer) overtaken(event EndpointsListed) bool {
	if event.Kind == policy.ListCached || event.Version >= r.endpoints.version {
		return false
	}
	return event.FromPreviousWatch || event.Version >= r.watch.fromVersion
}

// mergeEndpoints applies a list and returns its servers as the module is to see them. Entries that could not be
// read stay as they are.
func (r *Reducer) mergeEndpoints(event EndpointsListed) []policy.Server {
	servers := make([]policy.Server, 0, len(event.Endpoints))
	named := make(map[string]bool, len(event.Endpoints))
	for _, entry := range event.Endpoints {
		if failpoint.On("drain-unheard") && entry.State == policy.Draining {
			entry.State = policy.Live
		}
		if failpoint.On("fit-zones") && r.endpoints.isZoneBeyond(3, entry.Zone) {
			continue
		}
		servers = append(servers, r.mergeEndpoint(entry))
		named[entry.ID] = true
	}
	for _, id := range event.Malformed {
		if e := r.endpoints.byID[id]; e != nil && !named[id] {
			servers = append(servers, e.Server)
			named[id] = true
		}
	}
	if event.Kind != policy.ListDelta {
		for _, id := range slices.Sorted(maps.Keys(r.endpoints.byID)) {
			if !named[id] {
				r.forgetEndpoint(id)
			}
		}
	}
	return servers
}

// mergeEndpoint applies one entry. One that starts in the future would be warming up until then, and longer: it
// starts now.
func (r *Reducer) mergeEndpoint(entry Endpoint) policy.Server {
	entry.StartedAt = min(entry.StartedAt, r.now)
	listedState := entry.State
	if listedState == policy.Live && r.maintenance.holds(entry.ID) {
		entry.State = policy.Draining
	}
	r.endpoints.known.add(entry.ID)
	e := r.endpoints.byID[entry.ID]
	switch {
	case entry.State == policy.Gone:
		r.forgetEndpoint(entry.ID)
	case e == nil:
		r.endpoints.byID[entry.ID] = &endpoint{Endpoint: entry, listedState: listedState}
	default:
		if e.Address != entry.Address {
			r.emit(ForgetServer{entry.ID})
		}
		e.Endpoint, e.listedState = entry, listedState
	}
	return entry.Server
}

// isZoneBeyond tells of a zone that comes after as many others, for a failpoint that passes it over.
func (t *endpointTable) isZoneBeyond(n int, zone string) bool {
	zones := map[string]bool{}
	for _, e := range t.byID {
		zones[e.Zone] = true
	}
	return len(zones) >= n && !zones[zone]
}

func (r *Reducer) forgetEndpoint(id string) {
	if r.endpoints.byID[id] != nil {
		delete(r.endpoints.byID, id)
		r.emit(ForgetServer{id})
	}
}

// listAgain passes all servers to the module as they are now. The list is of the kind that says nothing of the
// watch, which may be broken just now.
func (r *Reducer) listAgain() {
	r.decide(policy.ServerList{Kind: policy.ListCached, Servers: r.endpoints.servers()})
}

// sendProbe carries out the module's Probe.
func (r *Reducer) sendProbe(action policy.Probe) {
	r.Counters.Probes++
	e := r.endpoints.byID[action.Server]
	if e == nil {
		r.decide(policy.ProbeResult{Server: action.Server, Result: policy.ResultUnreachable})
		return
	}
	e.probedAt = r.now
	r.emit(Probe{Server: action.Server, Address: e.Address, Timeout: r.config.ProbeTimeout})
}

func (r *Reducer) probeFinished(event ProbeFinished) {
	if event.Result != policy.ResultOK {
		r.Counters.ProbesFailed++
	}
	e := r.endpoints.byID[event.Server]
	r.decide(policy.ProbeResult{
		Server:       event.Server,
		Result:       event.Result,
		Report:       event.Report,
		ServerActive: e != nil && e.lastLineAt > e.probedAt,
	})
}
