package faultinjection

import (
	"slices"
	"strconv"
	"strings"

	"oatloft/internal/revision"
)

// This file owns what the revisions of a fault run say: the region that one leaves out, and the size of its links.

type revisionSummary struct {
	excluded   string // with commas between them
	linkBytes float64
}

// content is what a call proposes: a note that names it, and a region left out that betrays who goes by it.
func (w *Scenario) content(key string, c Call) *revision.Content {
	r := &revision.Content{Form: revision.Form, Note: key}
	if c.Out > 0 {
		r.Servers = []revision.Place{{ID: w.Regions[(c.Out-1)%len(w.Regions)].Name, Excluded: true}}
	}
	if n := len(w.Regions); c.Only > 0 {
		for i, g := range w.Regions {
			if at := (i - c.Only + 1 + n) % n; at >= planServers {
				r.Servers = append(r.Servers, revision.Place{ID: g.Name, Excluded: true})
			}
		}
	}
	if c.Bytes > 0 {
		r.Links = w.linkTable(c.Bytes)
	}
	return r
}

// leftOut tells whether a region is among those left out.
func isExcluded(out, region string) bool { return slices.Contains(strings.Split(out, ","), region) }

// contents are those of a history, by number: an operator's as it was asked for, a way back as what it goes back to.
func summarize(ops []Op, history []Entry) map[uint64]revisionSummary {
	asked, list := map[string]revisionSummary{}, map[uint64]revisionSummary{}
	for _, o := range ops {
		asked[o.Key] = revisionSummary{o.Out, o.Bytes}
	}
	for _, e := range history {
		back := e.Kind[strings.LastIndexByte(e.Kind, '-')+1:]
		if n, err := strconv.ParseUint(back, 10, 64); err == nil {
			list[e.Number] = list[n]
		} else {
			list[e.Number] = asked[e.Key]
		}
	}
	return list
}
