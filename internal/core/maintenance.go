package core

import (
	"maps"
	"slices"
	"time"

	"oatloft/policy"
)

const (
	// drainDelay is when a drain begins to migrate clients: the front end sends no clients here from 0.2 s after a
	// negative answer to its check, and a client migrated earlier reconnects here.
	drainDelay = 500 * time.Millisecond
	// drainDuration is when a drain has migrated all clients, 1 s before the limit of the platform's rules.
	drainDuration = 3 * time.Second
	// maxDrainDuration is when a drain has ended all connections, 0.1 s before the limit of the platform's rules.
	maxDrainDuration = 3900 * time.Millisecond
)

// drainState is the drain of the balancer at operators' request.
type drainState struct {
	requested      bool
	connectionsEnd time.Duration // established connections have ended by then; 0 if they stay
}

// maintenanceState holds the servers that operators have put into maintenance.
type maintenanceState struct {
	servers   map[string]bool
	returning map[string]bool // maintenance ended while they were not listed
}

// excludes reports whether a server must not be used although discovery lists it as live.
func (m *maintenanceState) excludes(id string) bool { return m.servers[id] || m.returning[id] }

// ServersInMaintenance returns the ids of the servers in maintenance, sorted.
func (r *Reducer) ServersInMaintenance() []string {
	return slices.Sorted(maps.Keys(r.maintenance.servers))
}

// DrainRequested reports whether operators drain the balancer.
func (r *Reducer) DrainRequested() bool { return r.drain.requested }

// setMaintenance reports a server to the module as draining, or with the state listed by discovery again.
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
	case e == nil && !event.On: // its drain ends when it is listed again
		m.returning[event.Server] = true
	case e != nil && e.listedState == policy.Live:
		e.State = policy.Live
		if event.On {
			e.State = policy.Draining
		}
		r.resendServerList()
	}
	if event.On {
		r.beginMigrations(event.Server, migrationWindow{from: r.now, until: r.now + migrationDuration})
	} else {
		r.migrations.stop(event.Server)
	}
}

// restoreReturningServers ends the drain of servers whose maintenance ended while they were not listed, once they are
// listed.
func (r *Reducer) restoreReturningServers() {
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
		r.resendServerList()
	}
}

// setDrain begins or ends the drain of the balancer. In pass-through mode, established connections stay.
func (r *Reducer) setDrain(on bool) {
	if r.drain.requested == on {
		return
	}
	r.drain = drainState{requested: on}
	if on && !r.config.PassThrough {
		r.drain.connectionsEnd = r.now + maxDrainDuration
		r.beginMigrations(allServers, migrationWindow{from: r.now + drainDelay, until: r.now + drainDuration})
	} else {
		r.migrations.stop(allServers)
	}
}
