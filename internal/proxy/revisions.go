package proxy

import (
	"context"
	"log/slog"
	"maps"
	"math"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"oatloft/internal/bandwidth"
	"oatloft/internal/core"
	"oatloft/internal/hint"
	"oatloft/internal/management"
	"oatloft/internal/revision"
	"oatloft/internal/revision/lease"
	"oatloft/policy"
)

const (
	// environmentInterval is how old what proposals are checked against may be.
	environmentInterval = 200 * time.Millisecond
	// leaveTimeout is how long giving the lease back may take at the end; it expires by itself otherwise.
	leaveTimeout = 300 * time.Millisecond
	// revisionTimeout bounds an operator's call.
	revisionTimeout = 2 * time.Second
)

// revisionState is the loop's part in revisions. The lease is read by an atomic load before each event, and the
// loop never waits for other balancers.
type revisionState struct {
	host           lease.Host
	seenSeq        uint64 // of the lease that the loop goes by
	phase          lease.Phase
	inForce        *lease.Lease   // the last active one; nil for none yet
	rejected       int64          // new clients, for lack of a lease
	saturatedZones map[string]int // as the reducer was told

	environment       atomic.Pointer[revision.Environment] // against which proposals are checked
	environmentList   []policy.Server                      // that it was made of
	environmentStale  bool                                 // the settings have changed since
	nextEnvironmentAt time.Time
}

// startRevisions joins the other balancers. No new client is taken until the revision in force is known. The error is
// *RevisionsNotBuilt, or the host's.
func (b *Balancer) startRevisions() (err error) {
	r := &revisionState{phase: lease.Learning}
	b.revisions = r
	b.renewEnvironment(time.Now())
	cfg := b.cfg.Revisions.Host
	cfg.Check = func(c *revision.Content) error { return revision.Check(c, *r.environment.Load()) }
	cfg.LeaseChanged = b.queue.signal
	if links := b.cfg.Revisions.Links; links != nil {
		settings := bandwidth.Settings{
			Lease:    time.Duration(links.Lease),
			SafePart: links.SafePart,
			Holders:  2 * max(1, b.cfg.Core.Policy.Balancers), // in an upgrade two processes of a balancer carry bytes
		}
		b.zoneLinks, err = newZoneLinks(b, settings, int(links.Buffer))
		if err != nil {
			return err
		}
		cfg.Bandwidth = b.zoneLinks.part
	}
	if lease.Start == nil {
		return &RevisionsNotBuilt{}
	}
	r.host, err = lease.Start(cfg, b.log)
	if err != nil {
		return err
	}
	b.step(core.LeaseChanged{Lease: policy.LeaseExpired})
	return nil
}

// applyLease takes up what the lease says now. It runs before every event, and not among an event's effects: what
// was decided is carried out before another lease is acknowledged. So a process that stood still finds its lease
// expired before it sends anything.
func (b *Balancer) applyLease(now time.Time) {
	r := b.revisions
	current := r.host.Lease()
	phase := current.Phase
	if phase == lease.Active && !current.Allows(now) {
		phase = lease.Expired
	}
	if current.Seq == r.seenSeq && phase == r.phase {
		return
	}
	anotherRevision := phase == lease.Active && (r.inForce == nil || r.inForce.Hash != current.Hash)
	acknowledge := current.Seq != r.seenSeq
	if phase == lease.Active {
		r.inForce = current
	}
	r.seenSeq, r.phase = current.Seq, phase // before the steps below, which come here again
	if anotherRevision {
		b.applyRevision()
	}
	b.step(core.LeaseChanged{Lease: policyLease(phase)})
	if acknowledge {
		r.host.Acknowledge(current.Seq)
	}
}

// policyLease translates a phase for the reducer.
func policyLease(phase lease.Phase) policy.LeaseState {
	switch phase {
	case lease.Active:
		return policy.LeaseActive
	case lease.Suspended:
		return policy.LeaseSuspended
	}
	return policy.LeaseExpired
}

// applyRevision lays the revision in force over the settings.
func (b *Balancer) applyRevision() {
	cfg := b.cfg.Core
	cfg.Policy = b.overlay(cfg.Policy)
	b.step(core.ConfigChanged{Config: cfg})
	b.setLinks(b.revisions.inForce.Content.Links)
}

// overlay returns the settings with the revision in force laid over them.
func (b *Balancer) overlay(settings policy.Config) policy.Config {
	if b.revisions == nil || b.revisions.inForce == nil {
		return settings
	}
	return revision.Overlay(settings, b.revisions.inForce.Content)
}

// reportSaturatedLinks tells the reducer which zones are behind full links, when that has changed.
func (b *Balancer) reportSaturatedLinks() {
	ranks := map[string]int{}
	for _, class := range b.overlay(b.cfg.Core.Policy).Classes {
		ranks[class.Name] = class.PriorityRank
	}
	zones := b.zoneLinks.saturated(ranks)
	if maps.Equal(zones, b.revisions.saturatedZones) {
		return
	}
	b.revisions.saturatedZones = zones
	b.step(core.FleetEvents{Events: []policy.Event{policy.SaturatedLinks{Zones: zones}}})
}

// mayPlaceClients tells whether new clients are taken. Those that come between two revisions wait.
func (b *Balancer) mayPlaceClients() bool {
	return b.revisions == nil || b.revisions.phase == lease.Active || b.revisions.phase == lease.Suspended
}

// retryAfterNoLease returns when a client should come again that is rejected for lack of a lease; 0 where clients
// heed no such time.
func (b *Balancer) retryAfterNoLease() time.Duration {
	b.revisions.rejected++
	return b.cfg.Core.Policy.MaxRetryAfter
}

// updateHost reports the totals by which a guard judges revisions, and renews what proposals are checked against.
func (b *Balancer) updateHost(now time.Time) {
	c, rejected := &b.core.Counters, b.revisions.rejected
	b.revisions.host.SetTotals(c.Requests+rejected, c.Rejected+rejected, c.Failed, c.EstablishedLate)
	b.renewEnvironment(now)
}

// renewEnvironment renews what proposals are checked against, if it has changed.
func (b *Balancer) renewEnvironment(now time.Time) {
	r := b.revisions
	if now.Before(r.nextEnvironmentAt) {
		return
	}
	r.nextEnvironmentAt = now.Add(environmentInterval)
	if b.zoneLinks != nil {
		b.reportSaturatedLinks()
	}
	list, hasList := b.core.ListedServers(), b.core.HasEndpoints()
	current := r.environment.Load()
	if current != nil && current.HasList == hasList && slices.Equal(list, r.environmentList) && !r.environmentStale {
		return
	}
	r.environmentList, r.environmentStale = list, false
	next := revision.NewEnvironment(b.cfg.Core.Policy, b.cfg.Revisions.Zones, list, hasList)
	r.environment.Store(&next)
}

// closeRevisions gives the lease back at the end of the loop, which goes by no lease any more.
func (b *Balancer) closeRevisions() {
	if b.revisions == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	b.revisions.host.Acknowledge(math.MaxUint64)
	b.revisions.host.Leave(ctx)
	b.revisions.host.Close()
}

// handleRevisionCall answers an operator's call about revisions, on the caller's goroutine. It does not need the
// loop, so that a balancer answers it also if it may place no clients.
func (b *Balancer) handleRevisionCall(words string) management.Answer {
	if b.revisions == nil {
		return refuse(
			"revisions are off: the edge file has no such section",
			"add it and restart, or call a balancer that has it",
		)
	}
	ctx, cancel := context.WithTimeout(context.Background(), revisionTimeout)
	defer cancel()
	text, err := b.revisions.host.Operate(ctx, words)
	if err != nil {
		return management.No("%s", hint.Line(err))
	}
	verb, _, _ := strings.Cut(words, " ")
	if !readsOnly(revision.Verb(verb)) {
		b.log.Info("operators' call", "call", slog.StringValue("revision "+verb), "answer", text)
	}
	return management.Yes("%s", text)
}

// readsOnly tells whether a call about revisions changes nothing.
func readsOnly(verb revision.Verb) bool {
	switch verb {
	case revision.VerbStatus, revision.VerbList, revision.VerbGet, revision.VerbOutcome:
		return true
	}
	return false
}
