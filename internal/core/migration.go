package core

import (
	"maps"
	"slices"
	"time"
)

const (
	migrationInterval = 50 * time.Millisecond
	// migrationDuration is the time over which a server's clients are migrated. Migrating all at once would cause a
	// wave of simultaneous reconnections.
	migrationDuration = 1500 * time.Millisecond
)

// allServers stands for every server in pacedMigrations.
const allServers = ""

// migrationWindow is the period during which established connections are migrated.
type migrationWindow struct{ from, until time.Duration }

// pacedMigrations holds the migrations in progress.
type pacedMigrations struct {
	windows  map[string]migrationWindow // by server, or allServers
	timerSet bool
}

func (p *pacedMigrations) stop(server string) { delete(p.windows, server) }

// beginMigrations starts to migrate the connections of a server, or of allServers.
func (r *Reducer) beginMigrations(server string, window migrationWindow) {
	r.migrations.windows[server] = window
	if !r.migrations.timerSet {
		r.migrations.timerSet = true
		r.timers.set(r.now+migrationInterval, timer{kind: migrationTimer})
	}
}

// runMigrations performs one step of all migrations. After the end of their windows it continues at a longer interval,
// for connections that are established later or arrive in mid-flow.
func (r *Reducer) runMigrations() {
	r.migrations.timerSet = len(r.migrations.windows) > 0
	if !r.migrations.timerSet {
		return
	}
	next := checkInterval
	for _, server := range slices.Sorted(maps.Keys(r.migrations.windows)) {
		window := r.migrations.windows[server]
		if r.now < window.until {
			next = migrationInterval
		}
		if r.now >= window.from {
			r.migrateStep(server, window)
		}
	}
	r.timers.set(r.now+next, timer{kind: migrationTimer})
}

// migrateStep migrates the number of connections required in this step for all to be migrated by the window's end.
func (r *Reducer) migrateStep(server string, window migrationWindow) {
	all := r.requests.sorted()
	count := 0
	for _, q := range all {
		if r.needsMigration(q, server) {
			count++
		}
	}
	steps := 1 + int(max(0, window.until-r.now)/migrationInterval)
	remaining := (count + steps - 1) / steps
	for _, q := range all {
		if remaining == 0 {
			return
		}
		if r.needsMigration(q, server) {
			r.Counters.MigratedForDrain++
			r.migrate(q, reasonDrained)
			remaining--
		}
	}
}

// needsMigration reports whether a connection is established on a server, any one for allServers, and has no pending
// migration.
func (r *Reducer) needsMigration(q *request, server string) bool {
	if !r.requests.has(q) || q.state != established || q.migration.pending() {
		return false
	}
	return server == allServers || q.attempt.server == server
}
