package core

import (
	"maps"
	"slices"
	"time"

	"oatloft/policy"
)

const (
	// drainDelay is when a drain begins to migrate clients: the front sends nobody here 0.2 s after a no, and a client
	// that is migrated sooner comes back.
	drainDelay = 500 * time.Millisecond
	// drainDuration is when all are migrated; a second later they must be.
	drainDuration = 3 * time.Second
)

// maintenanceState is which servers operators have taken out.
type maintenanceState struct {
	servers   map[string]bool
	returning map[string]bool // taken back while they were not listed
}

// holds tells that a server is not to be used although discovery lists it as live.
func (m *maintenanceState) holds(id string) bool { return m.servers[id] || m.returning[id] }

// ServersInMaintenance names the servers that operators have taken out.
func (r *Reducer) ServersInMaintenance() []string {
	return slices.Sorted(maps.Keys(r.maintenance.servers))
}

// DrainRequested tells that operators drain the balancer.
func (r *Reducer) DrainRequested() bool { return r.draining }

// setMaintenance has the module see a server drain, or be what discovery says again.
func (r *Reducer) setMaintenance(event MaintenanceSet) {
	m := &r.maintenance
	if m.servers[event.Server] == event.On {
		return
	}
	if event.On {
		m.servers[event.Server] = true
		delete(m.returning, event.Server)
	} else {
		delete(m.servers, event.Server)
	}
	e := r.endpoints.byID[event.Server]
	switch {
	case e == nil && !event.On: // once listed, it comes back as others do, out of a drain
		m.returning[event.Server] = true
	case e != nil && e.listedState == policy.Live:
		e.State = policy.Live
		if event.On {
			e.State = policy.Draining
		}
		r.listAgain()
	}
	if event.On {
		r.beginMigrations(event.Server, migrationWindow{from: r.now, until: r.now + migrationDuration})
	} else {
		r.migrations.stop(event.Server)
	}
}

// restoreReturned ends the drain of servers that were taken back while they were not listed, once they are.
func (r *Reducer) restoreReturned() {
	restored := false
	for id := range r.maintenance.returning {
		e := r.endpoints.byID[id]
		if e == nil {
			continue
		}
		delete(r.maintenance.returning, id)
		if e.listedState == policy.Live {
			e.State = policy.Live
			restored = true
		}
	}
	if restored {
		r.listAgain()
	}
}

// setDrain begins or ends the drain of the balancer. Where packets pass through, established connections stay.
func (r *Reducer) setDrain(on bool) {
	if r.draining == on {
		return
	}
	r.draining = on
	if on && !r.config.PassThrough {
		r.beginMigrations(allServers, migrationWindow{from: r.now + drainDelay, until: r.now + drainDuration})
	} else {
		r.migrations.stop(allServers)
	}
}
