package core

import (
	"time"

	"oatloft/policy"
)

// Time limits derived from the platform's rules, with a margin for the network delay to the peer.
const (
	// silenceLimit is the time within which a connection without replies from its server must be closed or migrated.
	silenceLimit = 7 * time.Second
	// silentLineTimeout is how long the migration from a silent server waits for the end of the server's current line.
	silentLineTimeout = time.Second
	// silentAfter is the time without a line from the server after which an established connection is silent,
	// provided that a line has been unanswered for unansweredAfter.
	silentAfter = silenceLimit - silentLineTimeout - 2*checkInterval
	// unansweredAfter is how long a line must have been unanswered for silentAfter to apply; clients send one every
	// 2 s.
	unansweredAfter = 3 * time.Second
	// delayReportInterval is the time between reports of a server's message delay while it is above the threshold.
	delayReportInterval = time.Second
)

// Reasons of MigrateClient in addition to the module's. Operators' tools count migrations by these strings.
const (
	reasonUnanswered = "unanswered" // the server does not reply
	reasonDrained    = "cleared"    // for maintenance or a drain
	reasonShutdown   = "leaving"    // the process shuts down
)

// traffic tracks the lines exchanged on an established connection.
type traffic struct {
	unansweredSince time.Duration // when the oldest line without a reply was forwarded; 0 if there is none
	lastLineAt      time.Duration // when the server sent its last line
	insideLine      bool          // the server has sent the beginning of a line
}

// dataReceived forwards bytes at once and measures the server's message delay.
func (r *Reducer) dataReceived(event DataReceived) {
	q := r.requests.established(event.Client)
	if q == nil {
		return
	}
	r.emit(Forward{Client: q.client, ToServer: !event.FromServer, Data: event.Data})
	switch {
	case event.FromServer:
		q.traffic.insideLine = event.InsideLine
		if q.clientHalfClosedAt > 0 { // half-closed, but still active
			q.clientHalfClosedAt = r.now
		}
		if event.Lines > 0 {
			r.serverLineReceived(q)
		}
		r.reportLoad(q, event.Payload)
		r.serverLineEnded(q, event.CloseReason)
	case event.Lines > 0 && q.traffic.unansweredSince == 0:
		q.traffic.unansweredSince = r.now
	}
}

// serverLineReceived records that the server sent a line on a connection.
func (r *Reducer) serverLineReceived(q *request) {
	q.traffic.lastLineAt = r.now
	since := q.traffic.unansweredSince
	if e := r.endpoints.byID[q.attempt.server]; e != nil {
		e.lastLineAt = r.now
		if since > 0 {
			e.answeredUpTo = max(e.answeredUpTo, since)
		}
	}
	if since > 0 {
		r.reportDelay(q, r.now-since)
		q.traffic.unansweredSince = 0
	}
}

// reportLoad reports the load from a connection's note to the module.
func (r *Reducer) reportLoad(q *request, payload Payload) {
	if payload.HasLoad {
		r.Counters.LoadsReported++
		r.decide(policy.ConnectionLoad{ID: q.ID, Load: payload.Load})
	}
}

// reportDelay reports a message's delay to the module as the platform's settings require: once per server and second
// while it is above the threshold, and once more when it has returned below.
func (r *Reducer) reportDelay(q *request, delay time.Duration) {
	e := r.endpoints.byID[q.attempt.server]
	if e == nil || r.classes.delayThreshold == 0 {
		return
	}
	long := delay > r.classes.delayThreshold
	reportedRecently := e.longDelay && r.now < e.delayReportedAt+delayReportInterval
	if long && reportedRecently || !long && !e.longDelay {
		return
	}
	e.longDelay = long
	e.delayReportedAt = r.now
	r.Counters.DelaysReported++
	r.decide(policy.MessageDelay{ID: q.ID, Server: e.ID, Delay: delay})
}

func (r *Reducer) backpressureChanged(event BackpressureChanged) {
	if q := r.requests.established(event.Client); q != nil {
		r.emit(PauseReading{Client: q.client, FromServer: !event.ToServer, Paused: event.Full})
	}
}

// serverDataQueued keeps a server from being treated as silent while its data is queued here.
func (r *Reducer) serverDataQueued(event ServerDataQueued) {
	q := r.requests.established(event.Client)
	if q == nil {
		return
	}
	q.traffic.lastLineAt = r.now
	if q.traffic.unansweredSince > 0 {
		q.traffic.unansweredSince = r.now
	}
}

// closedByServer finishes an established connection that its server closed.
func (r *Reducer) closedByServer(q *request, reason CloseReason) {
	r.Counters.ClosedByServer++
	result := policy.ResultReset
	switch {
	case reason == CloseFinished:
		result = policy.ResultOK
	case reason == CloseMigrated || q.clientHalfClosedAt > 0:
		result = policy.ResultCanceled
	}
	if reason != CloseReset {
		reason = CloseEOF
	}
	r.emit(CloseClient{Client: q.client, Reason: reason})
	r.connectionClosed(q, result)
}

// checkConnection closes or migrates a connection that has fallen silent: when a server's machine is lost, its
// connections stay open but carry no data. For a connection that awaits a reply it reports the delay so far, unless
// the server has replied to a line sent later on another connection: then only this connection is affected.
func (r *Reducer) checkConnection(q *request) {
	if q.state != established {
		return
	}
	if q.clientHalfClosedAt > 0 && r.now-q.clientHalfClosedAt > silentAfter {
		r.emit(CloseClient{Client: q.client, Reason: CloseEOF})
		r.abandonRequest(q)
		return
	}
	since := q.traffic.unansweredSince
	if since == 0 {
		return
	}
	delay := r.now - since
	e := r.endpoints.byID[q.attempt.server]
	silent := delay > unansweredAfter && r.now-q.traffic.lastLineAt > silentAfter
	switch {
	case silent && q.migration.silentSince > 0: // its migration waits for the end of a line
	case silent:
		r.Counters.MigratedFromSilent++
		r.migrate(q, reasonUnanswered)
	case delay > r.classes.delayThreshold && e != nil && e.answeredUpTo <= since:
		r.reportDelay(q, delay)
	}
}

// migrateRequest performs the module's Migrate.
func (r *Reducer) migrateRequest(action policy.Migrate) {
	if q := r.requests.byID[action.ID]; q != nil && q.state == established {
		r.migrate(q, action.Reason)
	}
}

// EstablishedFlows returns the server of each established connection, by the connection's key.
func (r *Reducer) EstablishedFlows() map[string]string {
	flows := map[string]string{}
	for _, q := range r.requests.byClient {
		if q.state == established && q.Key != "" {
			flows[q.Key] = q.attempt.server
		}
	}
	return flows
}
