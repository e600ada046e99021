// The routing revision in force, and what it lets this balancer do. This file owns the way between the loop and
// internal/revision/host: a permit is read by one atomic load before each event, and what it says is told to the reducer as the
// module's events, before anything else happens. It must never wait for the others, and never let a newcomer in without a
// permit. Off unless the edge file has the section revisions.

package proxy

import (
	"context"
	"fmt"
	"log/slog"
	"maps"
	"math"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"oatloft/internal/bandwidth"
	"oatloft/internal/core"
	"oatloft/internal/edgeconfig"
	"oatloft/internal/hint"
	"oatloft/internal/management"
	"oatloft/internal/revision"
	"oatloft/internal/revision/lease"
	"oatloft/policy"
)

const (
	environmentInterval = 200 * time.Millisecond // what a proposal is checked with is at most so old
	leaveTimeout        = 300 * time.Millisecond // to give the permit back at the end; it lapses by itself otherwise
	operateTimeout      = 2 * time.Second
	maxHistoryBytes     = 32 << 20 // bytes
)

// Revisions is what the host is told, but for what the loop knows.
type Revisions struct {
	Host  lease.Config
	Zones []string // of the members, beside those of the list
	Links *edgeconfig.Links
}

// SetRevisions adds the sections revisions and links of the edge file.
func (c *Config) setRevisions(e *edgeconfig.Settings) error {
	if e.Revisions == nil {
		if e.Links != nil {
			return &MissingRevisions{}
		}
		return nil
	}
	x := e.Revisions
	if x.HistoryBytes > maxHistoryBytes {
		return &LongHistory{int64(x.HistoryBytes)}
	}
	if l := e.Links; l != nil && 4*l.Lease < x.Lease {
		return &ShortLease{time.Duration(l.Lease), time.Duration(x.Lease)}
	}
	r := &Revisions{Links: e.Links, Host: lease.Config{Name: c.Name, Generation: uint64(time.Now().UnixMilli()), PredecessorEnded: c.InheritedFD == "",
		HoldOnPartition: x.OnCut == "hold", Lease: time.Duration(x.Lease), Deadline: time.Duration(x.Deadline), History: x.History, HistoryBytes: int64(x.HistoryBytes),
		Log: lease.Log{Cluster: x.Cluster, Name: c.Name, Listen: x.Listen, Voters: x.Voters, Reach: x.Reach, Folder: x.Folder,
			ReplaceAfter: time.Duration(x.ReplaceAfter), Seed: uint64(c.Core.Seed)}}}
	candidate := false
	for _, m := range x.Members {
		r.Host.Log.Candidates = append(r.Host.Log.Candidates, lease.Candidate{Name: m.Name, Zone: m.Zone, Addr: m.Addr})
		candidate = candidate || m.Name == c.Name
		if m.Zone != "" && !slices.Contains(r.Zones, m.Zone) {
			r.Zones = append(r.Zones, m.Zone)
		}
	}
	if !candidate { // it follows the log, and nobody calls it
		r.Host.Log.Listen = ""
	}
	c.Revisions = r
	return nil
}

// MissingRevisions is the error that links are on, and no revision could say which.
type MissingRevisions struct{}

func (*MissingRevisions) Error() string {
	return "links: there is no section revisions, whose table says which links there are"
}

// Hint is what an operator can do.
func (*MissingRevisions) Hint() string { return "add the section revisions, or leave links out" }

// RevisionsNotBuilt is the error that this program was built without the agreement.
type RevisionsNotBuilt struct{}

func (*RevisionsNotBuilt) Error() string { return "revisions: this program holds no agreement" }

// Hint is what an operator can do.
func (*RevisionsNotBuilt) Hint() string {
	return "start oatloft-revisions, or leave the section revisions out"
}

// ShortLease is the error that parts of links would lapse between two renewals.
type ShortLease struct{ Links, Revisions time.Duration }

func (e *ShortLease) Error() string {
	return fmt.Sprintf("links.lease: %v is under a quarter of revisions.lease, %v: parts would lapse between two renewals", e.Links, e.Revisions)
}

// Hint is what an operator can do.
func (e *ShortLease) Hint() string {
	return fmt.Sprintf("set links.lease to %v or more, or make revisions.lease shorter", e.Revisions/4)
}

// LongHistory is the error that revisions of so many bytes don't fit into one message between voters.
type LongHistory struct{ Bytes int64 }

func (e *LongHistory) Error() string {
	return fmt.Sprintf("revisions.history_bytes: %d is above %d: a voter that lags gets all of it in one message", e.Bytes, maxHistoryBytes)
}

// Hint is what an operator can do.
func (e *LongHistory) Hint() string {
	return "set it to 32MiB or less; what is forgotten is said to be"
}

// ImmutableSetting is the error that a section of the edge file is another at a reload.
type ImmutableSetting struct{ Section string }

func (e *ImmutableSetting) Error() string { return e.Section + ": can't change while serving" }

// Hint is what an operator can do.
func (e *ImmutableSetting) Hint() string {
	return "restart the balancer, one after the other, to change this section"
}

// equal tells that two say the same but for the generation, which is of the process.
func (r *Revisions) equal(o *Revisions) bool {
	if r == nil || o == nil {
		return r == o
	}
	a, b := r.Host, o.Host
	x, y := a.Log, b.Log
	links := r.Links == nil && o.Links == nil || r.Links != nil && o.Links != nil && *r.Links == *o.Links
	return links && a.Name == b.Name && a.HoldOnPartition == b.HoldOnPartition && a.Lease == b.Lease && a.Deadline == b.Deadline && a.History == b.History &&
		a.HistoryBytes == b.HistoryBytes && x.Cluster == y.Cluster && x.Listen == y.Listen && x.Voters == y.Voters && x.Folder == y.Folder &&
		x.ReplaceAfter == y.ReplaceAfter && slices.Equal(x.Candidates, y.Candidates)
}

// revisionState is the loop's side of it.
type revisionState struct {
	host              lease.Host
	seenSeq           uint64 // of the permit that the loop goes by ...
	phase             lease.Phase
	inForce           *lease.Lease  // ... which is this one
	plain             policy.Config // of the settings, nothing laid over it
	environment       atomic.Pointer[revision.Environment]
	nextEnvironmentAt time.Time // when today is looked at again
	environmentList   []policy.Server
	environmentStale  bool           // the settings are others since today was made
	saturatedZones    map[string]int // zones behind full links, as the module was told
	rejected          int64          // newcomers turned away for want of a permit
}

// startRevisions joins the others. Until they have told what is in force nobody is taken.
func (s *Balancer) startRevisions() (err error) {
	r := &revisionState{plain: s.cfg.Core.Policy, phase: lease.Learning}
	s.revisions = r
	s.renewEnvironment(time.Now())
	cfg := s.cfg.Revisions.Host
	cfg.Check = func(c *revision.Content) error { return revision.Check(c, *r.environment.Load()) }
	cfg.LeaseChanged = s.queue.signal
	if e := s.cfg.Revisions.Links; e != nil { // two processes of a balancer, in an upgrade, are two that carry bytes
		set := bandwidth.Settings{Lease: time.Duration(e.Lease), SafePart: e.SafePart, Holders: 2 * max(1, s.cfg.Core.Policy.Balancers)}
		if s.zoneLinks, err = newZoneLinks(s, set, int(e.Buffer)); err != nil {
			return err
		}
		cfg.Bandwidth = s.zoneLinks.part
	}
	if lease.Start == nil {
		return &RevisionsNotBuilt{}
	}
	if r.host, err = lease.Start(cfg, s.log); err != nil {
		return err
	}
	s.step(core.LeaseChanged{Lease: policy.LeaseExpired})
	return nil
}

// applyLease takes up what the permit says now. It stands before every event, and not among an event's effects: what was decided is
// carried out before another permit is said to be taken up. So a process that stood still finds its permit
// lapsed before it sends anything.
func (s *Balancer) applyLease(now time.Time) {
	r := s.revisions
	p := r.host.Lease()
	phase := p.Phase
	if phase == lease.Active && !p.Allows(now) {
		phase = lease.Expired
	}
	if p.Seq == r.seenSeq && phase == r.phase {
		return
	}
	another := phase == lease.Active && (r.inForce == nil || r.inForce.Hash != p.Hash)
	moved := p.Seq != r.seenSeq
	if phase == lease.Active {
		r.inForce = p
	}
	r.seenSeq, r.phase = p.Seq, phase // before the steps below, which come here again
	says := policy.LeaseExpired
	switch phase {
	case lease.Active:
		says = policy.LeaseActive
	case lease.Suspended:
		says = policy.LeaseSuspended
	}
	if another {
		s.applyRevision()
	}
	s.step(core.LeaseChanged{Lease: says})
	if moved {
		r.host.Acknowledge(p.Seq)
	}
}

// applyRevision lays the revision in force over the settings.
func (s *Balancer) applyRevision() {
	cfg := s.cfg.Core
	cfg.Policy = s.overlay(cfg.Policy)
	s.step(core.ConfigChanged{Config: cfg})
	s.setLinks(s.revisions.inForce.Content.Links)
}

// reportSaturatedLinks tells the module which zones are behind full links, once that is another than before.
func (s *Balancer) reportSaturatedLinks() {
	orders := map[string]int{}
	for _, k := range s.overlay(s.cfg.Core.Policy).Classes {
		orders[k.Name] = k.PriorityRank
	}
	if full := s.zoneLinks.saturated(orders); !maps.Equal(full, s.revisions.saturatedZones) {
		s.revisions.saturatedZones = full
		s.step(core.FleetEvents{Events: []policy.Event{policy.SaturatedLinks{Zones: full}}})
	}
}

// overlay is what the module decides by under the revision in force.
func (s *Balancer) overlay(plain policy.Config) policy.Config {
	if s.revisions == nil || s.revisions.inForce == nil {
		return plain
	}
	return revision.Overlay(plain, s.revisions.inForce.Content)
}

// mayPlaceClients tells whether newcomers are taken; those who come between two revisions wait.
func (s *Balancer) mayPlaceClients() bool {
	return s.revisions == nil || s.revisions.phase == lease.Active || s.revisions.phase == lease.Suspended
}

// retryAfterNoLease is when a terminal should come again that was turned away for want of a permit; 0 where none heeds it.
func (s *Balancer) retryAfterNoLease() time.Duration {
	s.revisions.rejected++
	return s.cfg.Core.Policy.MaxRetryAfter
}

// updateHost tells the figures that revisions are watched by, and renews what proposals are checked with.
func (s *Balancer) updateHost(now time.Time) {
	c := &s.core.Counters
	s.revisions.host.SetTotals(c.Requests+s.revisions.rejected, c.Rejected+s.revisions.rejected, c.Failed, c.EstablishedLate)
	s.renewEnvironment(now)
}

func (s *Balancer) renewEnvironment(now time.Time) {
	r := s.revisions
	if now.Before(r.nextEnvironmentAt) {
		return
	}
	r.nextEnvironmentAt = now.Add(environmentInterval)
	if s.zoneLinks != nil {
		s.reportSaturatedLinks()
	}
	list := s.core.ListedServers()
	if t := r.environment.Load(); t != nil && t.HasList == s.core.HasEndpoints() && slices.Equal(list, r.environmentList) && !r.environmentStale {
		return
	}
	r.environmentList, r.environmentStale = list, false
	t := revision.NewEnvironment(s.cfg.Core.Policy, s.cfg.Revisions.Zones, list, s.core.HasEndpoints())
	r.environment.Store(&t)
}

// closeRevisions gives the permit back: from here on nobody is placed.
func (s *Balancer) closeRevisions() {
	if s.revisions == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	s.revisions.host.Acknowledge(math.MaxUint64) // the loop is over, and goes by nothing any more
	s.revisions.host.Leave(ctx)
	s.revisions.host.Close()
}

// handleRevisionCall answers an operator's call about revisions, on the caller's goroutine. The loop isn't asked: these calls are answered
// also by a balancer that may place nobody.
func (s *Balancer) handleRevisionCall(words string) management.Answer {
	if s.revisions == nil {
		return refuse("revisions are off: the edge file has no such section", "add it and restart, or call a balancer that has it")
	}
	ctx, cancel := context.WithTimeout(context.Background(), operateTimeout)
	defer cancel()
	text, err := s.revisions.host.Operate(ctx, words)
	if err != nil {
		return management.No("%s", hint.Line(err))
	}
	if word, _, _ := strings.Cut(words, " "); word != "status" && word != "list" && word != "get" && word != "outcome" {
		s.log.Info("operators' call", "call", slog.StringValue("revision "+word), "answer", text)
	}
	return management.Yes("%s", text)
}
