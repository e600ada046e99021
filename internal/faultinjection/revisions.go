package faultinjection

import (
	"fmt"
	"path/filepath"
	"time"

	"oatloft/internal/edgeconfig"
)

// This file holds what a fault run with revisions adds to a balancer: the edge file's sections, and a stream relay for
// each direction of the consensus traffic between members, so that a fault between members disturbs this traffic too.

// Judge is an invariant that is checked at the end of the run.
type Judge interface {
	// Judge returns the violations.
	Judge(w *Scenario) []string
}

// finalOnly is embedded in invariants that check nothing before the end of the run.
type finalOnly struct{}

// During checks nothing.
func (finalOnly) During(*Scenario) {}

// Settled reports nothing missing.
func (finalOnly) Settled(*Scenario) string { return "" }

const agreementPort = 7100

// voters returns the number of voters among a number of balancers.
func voters(balancers int) int {
	switch {
	case balancers >= 5:
		return 5
	case balancers >= 3:
		return 3
	}
	return 1
}

// maxFolderLosses returns how many of the first balancers may lose their folders in one fault run: fewer than half of
// the voters, whichever balancers vote.
func maxFolderLosses(balancers int) int { return max(1, (voters(balancers)-1)/2) }

// revisions returns the edge file's section for balancer i, and opens the relays that it names.
func (w *Scenario) revisions(i int) (*edgeconfig.Revisions, error) {
	n := w.Schedule.Balancers
	w.agreementLinks = append(w.agreementLinks, make([]*streams, n))
	reach := map[string]string{}
	var members []edgeconfig.Candidate
	for j := range n {
		members = append(members, edgeconfig.Candidate{Name: w.name(j), Zone: w.zone(j), Addr: w.addr(0, j+1, agreementPort)})
		if i == j {
			continue
		}
		at := w.addr(i+1, j+1, agreementPort)
		s, err := w.openRelay(at, "", w.addr(0, j+1, agreementPort))
		if err != nil {
			return nil, err
		}
		w.agreementLinks[i][j] = s
		reach[w.name(j)] = at
	}
	onCut := w.Schedule.OnCut
	if onCut == "" {
		onCut = "refuse"
	}
	r := &edgeconfig.Revisions{Cluster: "faults", Listen: w.addr(0, i+1, agreementPort), Members: members,
		Voters: voters(n), Reach: reach, Folder: w.folder(i),
		Lease: edgeconfig.Duration(w.options.Lease), OnCut: onCut, Deadline: edgeconfig.Duration(3 * w.options.Lease),
		History: 1000, HistoryBytes: 4 << 20}
	if p := w.options.Plan; p != nil { // all revisions are kept, to be judged
		r.History, r.HistoryBytes = maxChanges, 32<<20
	}
	if n > voters(n) {
		r.ReplaceAfter = edgeconfig.Duration(4 * time.Second)
	}
	return r, nil
}

// folder returns the folder of balancer i's copy of the log.
func (w *Scenario) folder(i int) string { return filepath.Join(w.temp, w.name(i)+".agree") }

// linksBetween returns all relays from i to j, of datagrams and of streams.
func (w *Scenario) linksBetween(i, j int) (list []*link) {
	if w.peerLinks[i][j] != nil {
		list = append(list, &w.peerLinks[i][j].link)
	}
	if len(w.agreementLinks) > i && w.agreementLinks[i][j] != nil {
		list = append(list, &w.agreementLinks[i][j].link)
	}
	return list
}

// checkCalls returns an error for the first invalid call.
func (s *Schedule) checkCalls() error {
	for i, c := range s.Calls {
		valid := false
		for _, k := range callKinds {
			valid = valid || c.Kind == k
		}
		switch {
		case !valid:
			return &InvalidSchedule{fmt.Sprintf("calls[%d].kind", i), fmt.Sprintf("%q is not one of %v", c.Kind, callKinds)}
		case c.To < 1 || c.To > s.Balancers:
			return &InvalidSchedule{fmt.Sprintf("calls[%d].to", i), fmt.Sprintf("there is no balancer %d", c.To)}
		case c.Also < 0 || c.Also > s.Balancers:
			return &InvalidSchedule{fmt.Sprintf("calls[%d].also", i), fmt.Sprintf("there is no balancer %d", c.Also)}
		case c.Kind == "replace" && (c.Out < 1 || c.Out > s.Balancers || c.Back < 1 || c.Back > s.Balancers):
			return &InvalidSchedule{fmt.Sprintf("calls[%d]", i), "out and back must be balancers"}
		case c.Out < 0 || c.Back < 0 || c.Back > 1000:
			return &InvalidSchedule{fmt.Sprintf("calls[%d]", i), fmt.Sprintf("out %d, back %d", c.Out, c.Back)}
		case time.Duration(c.At).Seconds() > s.Seconds:
			return &InvalidSchedule{fmt.Sprintf("calls[%d].at", i),
				fmt.Sprintf("%v, the run ends after %vs", time.Duration(c.At), s.Seconds)}
		case !(c.Bytes >= 0 && c.Bytes <= 1e9):
			return &InvalidSchedule{fmt.Sprintf("calls[%d].bytes", i), fmt.Sprintf("%v", c.Bytes)}
		}
	}
	if s.OnCut != "" && s.OnCut != "refuse" && s.OnCut != "hold" {
		return &InvalidSchedule{"on_cut", fmt.Sprintf("%q is not one of refuse, hold", s.OnCut)}
	}
	return nil
}
