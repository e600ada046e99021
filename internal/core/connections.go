package core

import (
	"time"

	"oatloft/policy"
)

// Times that the platform's rules set; the figures leave room for the way to the other side.
const (
	// silenceLimit is when a connection that returns nothing from a running server has to be closed or migrated.
	silenceLimit = 7 * time.Second
	// maxMigrationDelay is how long a client that is to be migrated waits for the end of its server's line; the host
	// keeps to it.
	maxMigrationDelay = time.Second
	// silentAfter is when an established connection without a returned line counts as silent ...
	silentAfter = silenceLimit - maxMigrationDelay - 2*checkInterval
	// ... if a line has waited for its reply for unansweredAfter; clients send one every 2 s.
	unansweredAfter = 3 * time.Second
	// delayReportInterval is how often a server's message delay is reported while it is long.
	delayReportInterval = time.Second
)

// Reasons of a MigrateClient beside the module's. Operators' tools count them by these texts.
const (
	reasonUnanswered = "unanswered" // its server returns nothing
	reasonDrained    = "cleared"    // for maintenance or a drain
	reasonShutdown   = "leaving"    // this process ends
)

// traffic is what an established connection has exchanged.
type traffic struct {
	unansweredSince time.Duration // when the oldest line without a reply passed; 0 if there is none
	lastLineAt      time.Duration // when the server returned its last line
}

// dataReceived hands bytes on at once, and learns from them how quickly the server replies.
func (r *Reducer) dataReceived(event DataReceived) {
	q := r.requests.established(event.Client)
	if q == nil {
		return
	}
	r.emit(Forward{Client: q.client, ToServer: !event.FromServer, Data: event.Data})
	switch {
	case event.FromServer:
		if q.clientEndedAt > 0 { // half a connection, but an active one
			q.clientEndedAt = r.now
		}
		if event.Lines > 0 {
			r.lineReturned(q)
		}
		r.reportLoad(q, event.Payload)
	case event.Lines > 0 && q.traffic.unansweredSince == 0:
		q.traffic.unansweredSince = r.now
	}
}

// lineReturned notes that a server has replied on a connection.
func (r *Reducer) lineReturned(q *request) {
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

// reportLoad tells the module the load that a connection has told.
func (r *Reducer) reportLoad(q *request, payload Payload) {
	if payload.HasLoad {
		r.Counters.LoadsReported++
		r.decide(policy.ConnectionLoad{ID: q.ID, Load: payload.Load})
	}
}

// reportDelay tells the module of a message's delay as the platform's settings ask: once a second for a server
// while it is above the threshold, and once more when it is back below.
func (r *Reducer) reportDelay(q *request, delay time.Duration) {
	e := r.endpoints.byID[q.attempt.server]
	if e == nil || r.classes.delayThreshold == 0 {
		return
	}
	long := delay > r.classes.delayThreshold
	reportedLately := e.longDelay && r.now < e.delayReportedAt+delayReportInterval
	if long && reportedLately || !long && !e.longDelay {
		return
	}
	e.longDelay = long
	e.delayReportedAt = r.now
	r.Counters.DelaysReported++
	r.decide(policy.MessageDelay{ID: q.ID, Server: e.ID, Delay: delay})
}

func (r *Reducer) backpressureChanged(event BackpressureChanged) {
	if q := r.requests.established(event.Client); q != nil {
		r.emit(PauseReading{Client: q.client, OfServer: !event.ToServer, On: event.Full})
	}
}

// serverDataQueued keeps a server from being taken for silent while its data waits here.
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

// closedByServer ends an established connection that its server has closed.
func (r *Reducer) closedByServer(q *request, reason CloseReason) {
	r.Counters.ClosedByServer++
	result := policy.ResultReset
	switch {
	case reason == CloseFinished:
		result = policy.ResultOK
	case reason == CloseMigrated || q.clientEndedAt > 0:
		result = policy.ResultCanceled
	}
	if reason != CloseReset {
		reason = CloseEOF
	}
	r.emit(CloseClient{Client: q.client, Reason: reason})
	r.connectionClosed(q, result)
}

// checkConnection ends or migrates a connection that has fallen silent: a server's machine that vanished keeps its
// connections open and says nothing. One that waits for a reply reports the delay so far, unless another client who
// asked later was answered: then it is this connection alone.
func (r *Reducer) checkConnection(q *request) {
	if q.state != established {
		return
	}
	if q.clientEndedAt > 0 && r.now-q.clientEndedAt > silentAfter {
		r.emit(CloseClient{Client: q.client, Reason: CloseEOF})
		r.abandon(q)
		return
	}
	since := q.traffic.unansweredSince
	if since == 0 {
		return
	}
	delay := r.now - since
	e := r.endpoints.byID[q.attempt.server]
	if delay > unansweredAfter && r.now-q.traffic.lastLineAt > silentAfter {
		r.Counters.MigratedOffSilent++
		r.migrate(q, reasonUnanswered)
	} else if delay > r.classes.delayThreshold && e != nil && e.answeredUpTo <= since {
		r.reportDelay(q, delay)
	}
}

// migrateRequest carries out the module's Migrate.
func (r *Reducer) migrateRequest(action policy.Migrate) {
	if q := r.requests.byID[action.ID]; q != nil && q.state == established {
		r.migrate(q, action.Reason)
	}
}

// migrate closes a connection politely; its client comes again.
func (r *Reducer) migrate(q *request, reason string) {
	r.Counters.Migrated++
	r.emit(MigrateClient{Client: q.client, Reason: reason})
	r.connectionClosed(q, policy.ResultCanceled)
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
