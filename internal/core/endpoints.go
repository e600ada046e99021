package core

import (
	"maps"
	"slices"
	"time"

	"oatloft/internal/failpoint"
	"oatloft/policy"
)

// endpoint is a listed server with its observed message delay. Its State is the one reported to the module: draining
// if discovery lists the server as live while operators have it in maintenance.
type endpoint struct {
	Endpoint
	listedState     policy.ServerState // as listed by discovery
	longDelay       bool               // as last reported
	delayReportedAt time.Duration
	answeredUpTo    time.Duration // when the most recent line that was replied to was forwarded
	lastLineAt      time.Duration // when it last sent a line on any established connection
	probedAt        time.Duration
}

// endpointTable holds the endpoint list.
type endpointTable struct {
	byID     map[string]*endpoint
	received bool // a list was received, possibly a cached one
	version  int64
	known    knownServers
}

// servers returns the servers as currently reported to the module, sorted by id.
func (t *endpointTable) servers() []policy.Server {
	list := make([]policy.Server, 0, len(t.byID))
	for _, id := range slices.Sorted(maps.Keys(t.byID)) {
		list = append(list, t.byID[id].Server)
	}
	return list
}

// HasEndpoints reports whether an endpoint list was received, possibly a cached one.
func (r *Reducer) HasEndpoints() bool { return r.endpoints.received }

// ListedServers returns the servers as currently reported to the module, sorted by id.
func (r *Reducer) ListedServers() []policy.Server { return r.endpoints.servers() }

// ZoneOf returns the zone of a server, or "" if it is not listed.
func (r *Reducer) ZoneOf(id string) string {
	if e := r.endpoints.byID[id]; e != nil {
		return e.Zone
	}
	return ""
}

// endpointsListed applies an endpoint list, or changes to it, and passes it to the module.
func (r *Reducer) endpointsListed(event EndpointsListed) {
	r.Counters.Lists++
	r.endpoints.received = true
	if event.Kind != policy.ListCached && !event.FromPreviousWatch {
		r.watch.answered(r.now)
	}
	if r.isOutdated(event) {
		if !event.FromPreviousWatch { // nothing new, but the watch was answered
			r.decide(policy.ServerList{Kind: policy.ListDelta})
		}
		return
	}
	r.endpoints.version = max(r.endpoints.version, event.Version)
	if event.Kind != policy.ListDelta {
		r.endpoints.version = event.Version
	}
	servers := r.mergeEndpoints(event)
	if event.FromPreviousWatch { // says nothing about the new watch, which may have failed
		r.resendServerList()
	} else {
		r.decide(policy.ServerList{Kind: event.Kind, Servers: servers})
	}
	r.restoreReturningServers()
	for _, q := range r.requests.sorted() {
		if !q.isNew() {
			r.reestablish(q)
		}
	}
}

// isOutdated reports whether a list is older than the current state and has to be ignored: its watch was requested
// from an earlier version, and the other one of two overlapping watches (the previous or its replacement) has
// delivered later changes since. Its entries may no longer apply, and the current state includes all its changes. A
// version lower than the one that the watch was requested from means instead that discovery has restarted its
// version numbers, and is applied.
func (r *Reducer) isOutdated(event EndpointsListed) bool {
	if event.Kind == policy.ListCached || event.Version >= r.endpoints.version {
		return false
	}
	return event.FromPreviousWatch || event.Version >= r.watch.fromVersion
}

// mergeEndpoints applies a list and returns its servers as they are to be reported to the module. Servers whose
// entries could not be read stay as they are.
func (r *Reducer) mergeEndpoints(event EndpointsListed) []policy.Server {
	servers := make([]policy.Server, 0, len(event.Endpoints))
	named := make(map[string]bool, len(event.Endpoints))
	for _, entry := range event.Endpoints {
		if failpoint.On("drain-unheard") && entry.State == policy.Draining {
			entry.State = policy.Live
		}
		if failpoint.On("fit-zones") && r.endpoints.exceedsZoneLimit(3, entry.Zone) {
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

// mergeEndpoint applies one entry. A start time in the future is replaced by the current time, since the server
// would otherwise be warming up until then and longer.
func (r *Reducer) mergeEndpoint(entry Endpoint) policy.Server {
	entry.StartedAt = min(entry.StartedAt, r.now)
	listedState := entry.State
	if listedState == policy.Live && r.maintenance.excludes(entry.ID) {
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

// exceedsZoneLimit reports whether a zone is new while limit others are known, for a failpoint that skips such zones.
func (t *endpointTable) exceedsZoneLimit(limit int, zone string) bool {
	zones := map[string]bool{}
	for _, e := range t.byID {
		zones[e.Zone] = true
	}
	return len(zones) >= limit && !zones[zone]
}

func (r *Reducer) forgetEndpoint(id string) {
	if r.endpoints.byID[id] != nil {
		delete(r.endpoints.byID, id)
		r.emit(ForgetServer{id})
	}
}

// resendServerList passes the current state of all servers to the module. The list has the cached kind, which implies
// nothing about the watch, since that may be broken at present.
func (r *Reducer) resendServerList() {
	r.decide(policy.ServerList{Kind: policy.ListCached, Servers: r.endpoints.servers()})
}

// sendProbe performs the module's Probe.
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
