// The list of servers and the watch that brings it. This file owns the version held, and what tells a sound watch from one
// that has to be begun anew; when the next call begins is the module's decision.

package core

import (
	"maps"
	"slices"

	"oatloft/internal/defects"
	"oatloft/policy"
)

func (r *Reducer) list(ev EndpointsListed) {
	r.Counters.Lists++
	r.listed = true
	if ev.Kind != policy.ListCached && !ev.FromPreviousWatch {
		r.watching, r.watchUp, r.watchHeard = true, true, r.now
	}
	if r.overtaken(ev) {
		if !ev.FromPreviousWatch { // no news, but an answer
			r.feed(policy.ServerList{Kind: policy.ListDelta})
		}
		return
	}
	r.seq = max(r.seq, ev.Version)
	if ev.Kind != policy.ListDelta {
		r.seq = ev.Version
	}
	servers := make([]policy.Server, 0, len(ev.Endpoints))
	named := make(map[string]bool, len(ev.Endpoints))
	for _, g := range ev.Endpoints {
		if g.State == policy.Draining && defects.On("drain-unheard") {
			g.State = policy.Live
		}
		if defects.On("fit-zones") && r.zoneBeyond(3, g.Zone) {
			continue
		}
		g.StartedAt = min(g.StartedAt, r.now) // one that starts in the future would be cold until then, and longer
		listed := g.State
		if listed == policy.Live && (r.maint[g.ID] || r.returning[g.ID]) {
			g.State = policy.Draining
		}
		servers = append(servers, g.Server)
		named[g.ID] = true
		r.known.add(g.ID)
		switch known := r.regions[g.ID]; {
		case g.State == policy.Gone:
			r.forget(g.ID)
		case known == nil:
			r.regions[g.ID] = &region{Endpoint: g, listed: listed}
		default:
			if known.Address != g.Address {
				r.do(ForgetServer{g.ID})
			}
			known.Endpoint, known.listed = g, listed
		}
	}
	for _, id := range ev.Malformed {
		if g := r.regions[id]; g != nil && !named[id] {
			servers = append(servers, g.Server)
			named[id] = true
		}
	}
	if ev.Kind != policy.ListDelta {
		for _, id := range slices.Sorted(maps.Keys(r.regions)) {
			if !named[id] {
				r.forget(id)
			}
		}
	}
	if ev.FromPreviousWatch { // it says nothing of the watch that is to follow: that one may have failed
		r.relist()
	} else {
		r.feed(policy.ServerList{Kind: ev.Kind, Servers: servers})
	}
	r.takeBack()
	for _, t := range r.inOrder() {
		if t.at != "" {
			r.goBack(t)
		}
	}
}

// overtaken tells of a list that is older than what is held, though its call was for newer: the call that it came by
// named an earlier version, and the other one (the watch that this one follows, or the one that follows it) has brought
// more meanwhile. What it says may be over, and nothing in it is missing here. A version below the one that the
// call named is another matter: discovery counts anew.
func (r *Reducer) overtaken(ev EndpointsListed) bool {
	if ev.Kind == policy.ListCached || ev.Version >= r.seq {
		return false
	}
	return ev.FromPreviousWatch || ev.Version >= r.watchFrom
}

// zoneBeyond tells of a zone that comes after as many others: a defect passes it over.
func (r *Reducer) zoneBeyond(n int, zone string) bool {
	zones := map[string]bool{}
	for _, g := range r.regions {
		zones[g.Zone] = true
	}
	return len(zones) >= n && !zones[zone]
}

func (r *Reducer) forget(id string) {
	if r.regions[id] != nil {
		delete(r.regions, id)
		r.do(ForgetServer{id})
	}
}

// watch calls discovery for what has changed since the last version heard of.
func (r *Reducer) watch() {
	r.Counters.Watches++
	r.watching, r.watchUp = true, false
	r.watchHeard, r.watchPiece, r.watchFrom = r.now, 0, r.seq
	r.watchCalls++
	r.wheel.set(r.now+watchOpen, timer{kind: watchTimer, attempt: r.watchCalls})
	r.do(Watch{Version: r.seq})
}

// watchAlive takes an empty line: nothing has changed. As the first word by a call it is the answer.
func (r *Reducer) watchAlive() {
	answer := !r.watching || !r.watchUp
	r.watching, r.watchUp, r.watchHeard = true, true, r.now
	if answer {
		r.feed(policy.ServerList{Kind: policy.ListDelta})
	}
}

func (r *Reducer) watchEnded() {
	if !r.watching {
		return
	}
	r.do(StopWatch{})
	r.callAnew()
}

// callAnew has the module begin the next call. The one that stood counts as failed, whether or not it goes on.
func (r *Reducer) callAnew() {
	r.Counters.WatchesBroken++
	r.watching = false
	r.feed(policy.ServerList{Kind: policy.ListFailed})
}

// checkWatch ends a call by which nothing comes any more. One by which a list comes too slowly goes on beside the next,
// as the former one: else a list that takes its time would never be had. A list without end keeps nobody deaf so.
func (r *Reducer) checkWatch() {
	if !r.watching {
		return
	}
	quiet := watchOpen
	if r.watchUp {
		quiet = watchSilent
	}
	switch {
	case r.now-max(r.watchHeard, r.watchPiece) >= quiet:
		r.watchEnded()
	case r.watchPiece > r.watchHeard && r.now-r.watchHeard >= listSlowest:
		r.callAnew()
	}
}
