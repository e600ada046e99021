package faultinjection

import (
	"slices"
	"strconv"
	"strings"

	"oatloft/internal/revision"
)

// This file builds the contents of the revisions in a fault run: the servers that one excludes, and the size of its
// links.

// revisionSummary is the part of a revision's content that the invariants need.
type revisionSummary struct {
	excluded  string  // excluded servers, separated by commas
	linkBytes float64 // bytes per second; 0 without a table of links
}

// content returns the content that a call proposes. Its note is the key of the request. The server that it excludes
// shows which balancers route by it.
func (w *Scenario) content(key string, c Call) *revision.Content {
	r := &revision.Content{FormatVersion: revision.FormatVersion, Note: key}
	if c.Out > 0 {
		r.Servers = []revision.Placement{{ID: w.Servers[(c.Out-1)%len(w.Servers)].Name, Excluded: true}}
	}
	if n := len(w.Servers); c.Only > 0 {
		for i, g := range w.Servers {
			if at := (i - c.Only + 1 + n) % n; at >= planServers {
				r.Servers = append(r.Servers, revision.Placement{ID: g.Name, Excluded: true})
			}
		}
	}
	if c.Bytes > 0 {
		r.Links = w.linkTable(c.Bytes)
	}
	return r
}

// isExcluded reports whether a server is in the comma-separated list excluded.
func isExcluded(excluded, server string) bool {
	return slices.Contains(strings.Split(excluded, ","), server)
}

// summarize returns the contents of a history by revision: for a proposal what its operator requested, for a rollback
// the content of the revision that it restores.
func summarize(ops []Op, history []Entry) map[uint64]revisionSummary {
	proposed, list := map[string]revisionSummary{}, map[uint64]revisionSummary{}
	for _, o := range ops {
		proposed[o.Key] = revisionSummary{o.Out, o.Bytes}
	}
	for _, e := range history {
		target := e.Kind[strings.LastIndexByte(e.Kind, '-')+1:]
		if n, err := strconv.ParseUint(target, 10, 64); err == nil {
			list[e.Number] = list[n]
		} else {
			list[e.Number] = proposed[e.Key]
		}
	}
	return list
}
