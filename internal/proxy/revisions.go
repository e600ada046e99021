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
	// environmentInterval is how old the environment that proposals are checked against may be.
	environmentInterval = 200 * time.Millisecond
	// leaveTimeout bounds returning the lease at the end; otherwise it expires by itself.
	leaveTimeout = 300 * time.Millisecond
	// revisionTimeout bounds an operator's call about revisions.
	revisionTimeout = 2 * time.Second
)

// revisionState is the loop's state of revisions. The lease is read by an atomic load before each event, and the
// loop never waits for other balancers.
type revisionState struct {
	host           lease.Host
	seenSeq        uint64 // of the lease that the loop applies
	phase          lease.Phase
	inForce        *lease.Lease   // the last active one; nil before the first
	rejected       int64          // new clients rejected for lack of a lease
	saturatedZones map[string]int // as last reported to the reducer

	environment       atomic.Pointer[revision.Environment] // that proposals are checked against
	environmentList   []policy.Server                      // servers in the environment
	environmentStale  bool                                 // the settings have changed since
	nextEnvironmentAt time.Time
}

// startRevisions joins the other balancers. No new client is placed until the revision in force is known. The error is
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
			Holders:  2 * max(1, b.cfg.Core.Policy.Balancers), // during an upgrade a balancer has two processes
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

// applyLease applies the current lease. It runs before every event, and not between an event's effects: what was
// decided is carried out before another lease is acknowledged. A process that was paused by the system therefore
// finds its lease expired before it sends anything.
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
	r.seenSeq, r.phase = current.Seq, phase // before the steps below, which call applyLease again
	if anotherRevision {
		b.applyRevision()
	}
	b.step(core.LeaseChanged{Lease: policyLease(phase)})
	if acknowledge {
		r.host.Acknowledge(current.Seq)
	}
}

// policyLease converts a phase for the reducer.
func policyLease(phase lease.Phase) policy.LeaseState {
	switch phase {
	case lease.Active:
		return policy.LeaseActive
	case lease.Suspended:
		return policy.LeaseSuspended
	}
	return policy.LeaseExpired
}

// applyRevision applies the settings overlaid with the revision in force.
func (b *Balancer) applyRevision() {
	cfg := b.cfg.Core
	cfg.Policy = b.overlay(cfg.Policy)
	b.step(core.ConfigChanged{Config: cfg})
	b.setLinks(b.revisions.inForce.Content.Links)
}

// overlay returns the settings overlaid with the revision in force.
func (b *Balancer) overlay(settings policy.Config) policy.Config {
	if b.revisions == nil || b.revisions.inForce == nil {
		return settings
	}
	return revision.Overlay(settings, b.revisions.inForce.Content)
}

// reportSaturatedLinks reports to the reducer the zones behind saturated links, when they have changed.
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

// mayPlaceClients reports whether new clients are accepted. Those that arrive between two revisions wait.
func (b *Balancer) mayPlaceClients() bool {
	return b.revisions == nil || b.revisions.phase == lease.Active || b.revisions.phase == lease.Suspended
}

// retryAfterNoLease counts a client that is rejected for lack of a lease, and returns its retry-after time; 0 where
// clients do not honor one.
func (b *Balancer) retryAfterNoLease() time.Duration {
	b.revisions.rejected++
	return b.cfg.Core.Policy.MaxRetryAfter
}

// updateHost reports the totals by which a guard judges revisions, and renews the environment.
func (b *Balancer) updateHost(now time.Time) {
	c, rejected := &b.core.Counters, b.revisions.rejected
	b.revisions.host.SetTotals(c.Requests+rejected, c.Rejected+rejected, c.Failed, c.EstablishedLate)
	b.renewEnvironment(now)
}

// renewEnvironment renews the environment that proposals are checked against, if it has changed.
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
	if current != nil && current.HasDiscoveryList == hasList && slices.Equal(list, r.environmentList) &&
		!r.environmentStale {
		return
	}
	r.environmentList, r.environmentStale = list, false
	next := revision.NewEnvironment(b.cfg.Core.Policy, b.cfg.Revisions.Zones, list, hasList)
	r.environment.Store(&next)
}

// closeRevisions returns the lease at the end of the loop, which applies no lease from then on.
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
// loop, so a balancer answers it even while it may place no clients.
func (b *Balancer) handleRevisionCall(arguments string) management.Answer {
	if b.revisions == nil {
		return refuse(
			"revisions are off: the edge file has no such section",
			"add it and restart, or call a balancer that has it",
		)
	}
	ctx, cancel := context.WithTimeout(context.Background(), revisionTimeout)
	defer cancel()
	text, err := b.revisions.host.Operate(ctx, arguments)
	if err != nil {
		return management.No("%s", hint.Line(err))
	}
	verb, _, _ := strings.Cut(arguments, " ")
	if !readsOnly(revision.Verb(verb)) {
		b.log.Info("operators' call", "call", slog.StringValue("revision "+verb), "answer", text)
	}
	return management.Yes("%s", text)
}

// readsOnly reports whether a call about revisions changes nothing.
func readsOnly(verb revision.Verb) bool {
	switch verb {
	case revision.VerbStatus, revision.VerbList, revision.VerbGet, revision.VerbOutcome:
		return true
	}
	return false
}
