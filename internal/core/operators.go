// What operators ask for: regions left out, and the whole balancer drained. This file owns both states and the pace at
// which standing terminals make way. It must never hold back what discovery says, but for a region that is ready and
// left out, and never decide where anybody goes.

package core

import (
	"maps"
	"slices"
	"time"

	"oatloft/policy"
)

const (
	clearEvery = 50 * time.Millisecond
	clearIn    = 1500 * time.Millisecond // a region's terminals make way in this time: all at once would be a wave
	standFirst = 500 * time.Millisecond  // the front sends nobody 0.2 s after a no; who is moved sooner comes back here
	standIn    = 3 * time.Second         // all have made way this long after the call; a second later they must have
	stoodFor   = 30 * time.Second        // what the process before has left is forgotten then
	mostKnown  = 4096
)

// clearance is a time in which standing terminals make way.
type clearance struct{ from, by time.Duration }

// known remembers the regions that were ever listed, the latest of them.
type known struct {
	ids   map[string]bool
	order []string
}

func (k *known) add(ids ...string) {
	for _, id := range ids {
		if k.ids[id] {
			continue
		}
		if k.ids == nil {
			k.ids = map[string]bool{}
		}
		k.ids[id] = true
		if k.order = append(k.order, id); len(k.order) > mostKnown {
			delete(k.ids, k.order[0])
			k.order = k.order[1:]
		}
	}
}

// IsKnownServer tells whether a region was ever listed.
func (r *Reducer) IsKnownServer(id string) bool { return r.known.ids[id] || r.maint[id] }

// KnownServers names all regions that were ever listed.
func (r *Reducer) KnownServers() []string { return r.known.order }

// ServersInMaintenance names the regions that are left out.
func (r *Reducer) ServersInMaintenance() []string { return slices.Sorted(maps.Keys(r.maint)) }

// DrainRequested tells that the balancer is in standby.
func (r *Reducer) DrainRequested() bool { return r.standby }

// EstablishedFlows is the region of each flow that stands.
func (r *Reducer) EstablishedFlows() map[string]string {
	list := map[string]string{}
	for _, t := range r.open {
		if t.state == open && t.Key != "" {
			list[t.Key] = t.region
		}
	}
	return list
}

// maintain has the module see a region drain, or be what discovery says again. It is told by a list of the kind that
// says nothing of the watch: that one may be broken just now.
func (r *Reducer) maintain(ev MaintenanceSet) {
	if r.maint[ev.Server] == ev.On {
		return
	}
	if ev.On {
		r.maint[ev.Server] = true
		delete(r.returning, ev.Server)
	} else {
		delete(r.maint, ev.Server)
	}
	switch g := r.regions[ev.Server]; {
	case g == nil && !ev.On:
		r.returning[ev.Server] = true // away just now: once listed, it comes back as the others do, out of a drain
	case g != nil && g.listed == policy.Live:
		if g.State = policy.Live; ev.On {
			g.State = policy.Draining
		}
		r.relist()
	}
	r.makeWay(ev.Server, ev.On, clearance{r.now, r.now + clearIn})
}

// takeBack ends the drain of regions that were taken back while they were away, once they are listed.
func (r *Reducer) takeBack() {
	found := false
	for id := range r.returning {
		if g := r.regions[id]; g != nil {
			delete(r.returning, id)
			if g.listed == policy.Live {
				g.State, found = policy.Live, true
			}
		}
	}
	if found {
		r.relist()
	}
}

// relist tells the module all regions as they are now.
func (r *Reducer) relist() {
	r.feed(policy.ServerList{Kind: policy.ListCached, Servers: r.ListedServers()})
}

// drain begins or ends the standby. Where packets pass through, standing terminals go on.
func (r *Reducer) drain(on bool) {
	if r.standby == on {
		return
	}
	r.standby = on
	r.makeWay("", on && !r.cfg.PassThrough, clearance{r.now + standFirst, r.now + standIn})
}

func (r *Reducer) makeWay(who string, on bool, c clearance) {
	if !on {
		delete(r.clears, who)
		return
	}
	if r.clears[who] = c; !r.clearing {
		r.clearing = true
		r.wheel.set(r.now+clearEvery, timer{kind: clearTimer})
	}
}

// clear moves as many as have to go in this step for all to be gone in time; who comes up later goes in the next.
func (r *Reducer) clear() {
	if r.clearing = len(r.clears) > 0; !r.clearing {
		return
	}
	again := sweepEvery // for those who come up later, or in mid-flow
	defer func() { r.wheel.set(r.now+again, timer{kind: clearTimer}) }()
	all := r.inOrder()
	for _, who := range slices.Sorted(maps.Keys(r.clears)) {
		c := r.clears[who]
		if r.now < c.by {
			again = clearEvery
		}
		if r.now < c.from {
			continue
		}
		stands := func(t *transaction) bool {
			return r.open[t.from] == t && t.state == open && (who == "" || t.region == who)
		}
		n := 0
		for _, t := range all {
			if stands(t) {
				n++
			}
		}
		steps := 1 + int(max(0, c.by-r.now)/clearEvery)
		for left := (n + steps - 1) / steps; left > 0 && len(all) > 0; {
			t := all[0]
			if all = all[1:]; stands(t) {
				r.Counters.MigratedForDrain++
				r.sendAway(t, "cleared")
				left--
			}
		}
		all = r.inOrder()
	}
}

// Readings are the load readings of all regions that this balancer has read itself or found silent, by id.
func (r *Reducer) Readings() []policy.ServerReading { return r.module.LoadReadings() }

// Activity is the module's own pace, which other balancers are told.
func (r *Reducer) Activity() policy.Activity { return r.module.Activity() }

// ListedServers are the regions as the module has them now, by id.
func (r *Reducer) ListedServers() []policy.Server {
	list := make([]policy.Server, 0, len(r.regions))
	for _, id := range slices.Sorted(maps.Keys(r.regions)) {
		list = append(list, r.regions[id].Server)
	}
	return list
}

// ZoneOf is the zone of a region, "" if it isn't listed.
func (r *Reducer) ZoneOf(id string) string {
	if g := r.regions[id]; g != nil {
		return g.Zone
	}
	return ""
}
