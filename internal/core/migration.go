package core

import (
	"maps"
	"slices"
	"time"
)

const (
	migrationInterval = 50 * time.Millisecond
	// migrationDuration is within which a server's clients are migrated: all at once would be a wave.
	migrationDuration = 1500 * time.Millisecond
)

// allServers stands for every server in pacedMigrations.
const allServers = ""

// migrationWindow is a time within which established connections are migrated.
type migrationWindow struct{ from, until time.Duration }

// pacedMigrations are the migrations under way, by server or of allServers.
type pacedMigrations struct {
	windows  map[string]migrationWindow
	timerSet bool
}

func (p *pacedMigrations) stop(server string) { delete(p.windows, server) }

// beginMigrations begins to migrate a server's connections, or all.
func (r *Reducer) beginMigrations(server string, window migrationWindow) {
	r.migrations.windows[server] = window
	if !r.migrations.timerSet {
		r.migrations.timerSet = true
		r.timers.set(r.now+migrationInterval, timer{kind: migrationTimer})
	}
}

// runMigrations does one step of all migrations. Once their time is over it goes on, less often, for connections
// that are established later or arrive in mid-flow.
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

// migrateStep migrates as many connections as have to go in this step for all to be gone in time.
func (r *Reducer) migrateStep(server string, window migrationWindow) {
	affected := func(q *request) bool {
		return r.requests.has(q) && q.state == established && (server == allServers || q.attempt.server == server)
	}
	all := r.requests.sorted()
	count := 0
	for _, q := range all {
		if affected(q) {
			count++
		}
	}
	steps := 1 + int(max(0, window.until-r.now)/migrationInterval)
	left := (count + steps - 1) / steps
	for _, q := range all {
		if left == 0 {
			return
		}
		if affected(q) {
			r.Counters.MigratedForDrain++
			r.migrate(q, reasonDrained)
			left--
		}
	}
}
