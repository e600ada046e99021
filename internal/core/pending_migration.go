package core

import (
	"time"

	"oatloft/policy"
)

const (
	// lineEndTimeout is how long a migration waits for the end of the server's current line while nothing else limits
	// the time. The connection is served meanwhile, and if the server falls silent, the limit of that applies.
	lineEndTimeout = silenceLimit
	// lateLineEndTimeout is how long it waits at least, though the drain of the balancer should have ended by then. It
	// applies to clients that were accepted late.
	lateLineEndTimeout = time.Second
	// lineEndCheckInterval is how often the limits of a pending migration are checked: they change if the balancer
	// begins to drain or to shut down.
	lineEndCheckInterval = 4 * TickInterval
)

// pendingMigration is a migration that waits until the server has ended its current line, since the client would read
// MOVE as part of it. Data is forwarded in both directions meanwhile.
type pendingMigration struct {
	reason      string // "" if no migration is pending
	since       time.Duration
	silentSince time.Duration // when the server was found to be silent; 0 if it was not
}

func (m *pendingMigration) pending() bool { return m.reason != "" }

// migrate closes a connection with a request to the client to reconnect, as soon as the server is between two lines.
func (r *Reducer) migrate(q *request, reason string) {
	if !q.migration.pending() && !q.traffic.insideLine {
		r.completeMigration(q, reason)
		return
	}
	if !q.migration.pending() {
		q.migration = pendingMigration{reason: reason, since: r.now}
		r.timers.set(r.now+lineEndCheckInterval, timer{kind: lineEndTimer, client: q.client})
		r.emit(FinishServerLine{Client: q.client})
	}
	if reason == reasonUnanswered {
		q.migration.silentSince = r.now
	}
}

func (r *Reducer) completeMigration(q *request, reason string) {
	r.Counters.Migrated++
	r.emit(MigrateClient{Client: q.client, Reason: reason})
	r.connectionClosed(q, policy.ResultCanceled)
}

// serverLineEnded completes a pending migration if the server has ended its line. After the server's own closing line
// the client is closed without MOVE.
func (r *Reducer) serverLineEnded(q *request, closing CloseReason) {
	switch {
	case !q.migration.pending() || q.traffic.insideLine:
	case closing != CloseEOF:
		r.closedByServer(q, closing)
	default:
		r.completeMigration(q, q.migration.reason)
	}
}

// checkPendingMigration resets a client whose server has not ended its line within the limits. q may be nil.
func (r *Reducer) checkPendingMigration(q *request) {
	if q == nil || !q.migration.pending() {
		return
	}
	if r.now < r.lineEndDeadline(q) {
		r.timers.set(r.now+lineEndCheckInterval, timer{kind: lineEndTimer, client: q.client})
		return
	}
	r.emit(CloseClient{Client: q.client, Reason: CloseUnfinishedLine})
	r.connectionClosed(q, policy.ResultCanceled)
}

// lineEndDeadline returns until when a pending migration may wait. A shutdown and a drain end all connections at fixed
// times.
func (r *Reducer) lineEndDeadline(q *request) time.Duration {
	deadline := q.migration.since + lineEndTimeout
	if q.migration.silentSince > 0 {
		deadline = min(deadline, q.migration.silentSince+silentLineTimeout)
	}
	if r.drain.connectionsEnd > 0 {
		deadline = min(deadline, max(r.drain.connectionsEnd, q.migration.since+lateLineEndTimeout))
	}
	if r.shutdown.breaksConnections {
		deadline = min(deadline, r.shutdown.exitDeadline-lastMoveMargin)
	}
	return deadline
}
