package proxy

import (
	"fmt"
	"slices"
	"time"

	"oatloft/internal/edgeconfig"
	"oatloft/internal/revision/lease"
)

const (
	// maxHistoryBytes bounds the texts of the revisions kept: a voter that lags receives all of them in one message.
	maxHistoryBytes = 32 << 20
	// minLinksLeaseDivisor bounds the lease of links from below: at least a quarter of the revisions' lease.
	minLinksLeaseDivisor = 4
	// onPartitionHold is the value of on_cut with which a partitioned balancer keeps its revision.
	onPartitionHold = "hold"
)

// Revisions configures revisions.
type Revisions struct {
	Host  lease.Config
	Zones []string // of the members, in addition to those of the list
	Links *edgeconfig.Links
}

// setRevisions applies the sections revisions and links of the edge file. The error is *MissingRevisions,
// *LongHistory or *ShortLease.
func (c *Config) setRevisions(e *edgeconfig.Settings) error {
	if e.Revisions == nil {
		if e.Links != nil {
			return &MissingRevisions{}
		}
		return nil
	}
	section := e.Revisions
	if section.HistoryBytes > maxHistoryBytes {
		return &LongHistory{int64(section.HistoryBytes)}
	}
	if links := e.Links; links != nil && minLinksLeaseDivisor*links.Lease < section.Lease {
		return &ShortLease{time.Duration(links.Lease), time.Duration(section.Lease)}
	}
	r := &Revisions{Links: e.Links, Host: c.hostConfig(section)}
	candidate := false
	for _, m := range section.Members {
		r.Host.Log.Candidates = append(r.Host.Log.Candidates, lease.Candidate{Name: m.Name, Zone: m.Zone, Addr: m.Addr})
		candidate = candidate || m.Name == c.Name
		if m.Zone != "" && !slices.Contains(r.Zones, m.Zone) {
			r.Zones = append(r.Zones, m.Zone)
		}
	}
	if !candidate { // a learner only follows the log, and no member calls it
		r.Host.Log.Listen = ""
	}
	c.Revisions = r
	return nil
}

func (c *Config) hostConfig(section *edgeconfig.Revisions) lease.Config {
	return lease.Config{
		Name:                 c.Name,
		Generation:           uint64(time.Now().UnixMilli()),
		PredecessorEnded:     c.InheritedFD == "",
		KeepLeaseOnPartition: section.OnCut == onPartitionHold,
		Lease:                time.Duration(section.Lease),
		Deadline:             time.Duration(section.Deadline),
		History:              section.History,
		HistoryBytes:         int64(section.HistoryBytes),
		Log: lease.Log{
			Cluster:          section.Cluster,
			Name:             c.Name,
			Listen:           section.Listen,
			Voters:           section.Voters,
			AddressOverrides: section.Reach,
			Folder:           section.Folder,
			ReplaceAfter:     time.Duration(section.ReplaceAfter),
			Seed:             uint64(c.Core.Seed),
		},
	}
}

// equal reports whether both have the same settings, apart from the generation, which differs in each process.
func (r *Revisions) equal(other *Revisions) bool {
	if r == nil || other == nil {
		return r == other
	}
	return equalLinks(r.Links, other.Links) && equalHost(r.Host, other.Host) && equalLog(r.Host.Log, other.Host.Log)
}

func equalLinks(a, b *edgeconfig.Links) bool {
	if a == nil || b == nil {
		return a == b
	}
	return *a == *b
}

func equalHost(a, b lease.Config) bool {
	return a.Name == b.Name &&
		a.KeepLeaseOnPartition == b.KeepLeaseOnPartition &&
		a.Lease == b.Lease &&
		a.Deadline == b.Deadline &&
		a.History == b.History &&
		a.HistoryBytes == b.HistoryBytes
}

func equalLog(a, b lease.Log) bool {
	return a.Cluster == b.Cluster &&
		a.Listen == b.Listen &&
		a.Voters == b.Voters &&
		a.Folder == b.Folder &&
		a.ReplaceAfter == b.ReplaceAfter &&
		slices.Equal(a.Candidates, b.Candidates)
}

// MissingRevisions reports that links are configured without revisions, which define them.
type MissingRevisions struct{}

// Error describes the problem.
func (*MissingRevisions) Error() string {
	return "links: requires the section revisions, whose table defines the links"
}

// Hint returns what an operator can do.
func (*MissingRevisions) Hint() string {
	return "add the section revisions, or remove the section links"
}

// RevisionsNotBuilt reports that this program was built without revisions.
type RevisionsNotBuilt struct{}

// Error describes the problem.
func (*RevisionsNotBuilt) Error() string {
	return "revisions: not built into this program"
}

// Hint returns what an operator can do.
func (*RevisionsNotBuilt) Hint() string {
	return "start oatloft-revisions, or remove the section revisions"
}

// ShortLease reports that leases of links would expire between two renewals.
type ShortLease struct{ Links, Revisions time.Duration }

// Error describes the problem.
func (e *ShortLease) Error() string {
	return fmt.Sprintf(
		"links.lease: %v is under a quarter of revisions.lease, %v: grants would expire between two renewals",
		e.Links,
		e.Revisions,
	)
}

// Hint returns what an operator can do.
func (e *ShortLease) Hint() string {
	return fmt.Sprintf("set links.lease to %v or more, or make revisions.lease shorter", e.Revisions/4)
}

// LongHistory reports that so many bytes of revisions do not fit into one message between voters.
type LongHistory struct{ Bytes int64 }

// Error describes the problem.
func (e *LongHistory) Error() string {
	return fmt.Sprintf(
		"revisions.history_bytes: %d is above %d: a voter that lags receives all of it in one message",
		e.Bytes,
		maxHistoryBytes,
	)
}

// Hint returns what an operator can do.
func (e *LongHistory) Hint() string {
	return "set it to 32MiB or less; calls about a dropped revision report that it is no longer kept"
}

// ImmutableSetting reports that a section of the edge file was changed at a reload.
type ImmutableSetting struct{ Section string }

// Error describes the problem.
func (e *ImmutableSetting) Error() string { return e.Section + ": can't change while serving" }

// Hint returns what an operator can do.
func (e *ImmutableSetting) Hint() string {
	return "restart the balancers, one after the other, to change this section"
}
