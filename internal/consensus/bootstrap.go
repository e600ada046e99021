package consensus

import (
	"cmp"
	"hash/fnv"
	"slices"

	"oatloft/internal/failpoint"
)

// SelectVoters returns who holds a vote at the bootstrap: count of the candidates, one zone after the other, so
// that no zone has more than another needs to. The same list gives the same selection. The first one selected
// begins the log.
func SelectVoters(candidates []Candidate, count int) []Candidate {
	var zones []string
	byZone := map[string][]Candidate{}
	for _, c := range candidates {
		if byZone[c.Zone] == nil {
			zones = append(zones, c.Zone)
		}
		byZone[c.Zone] = append(byZone[c.Zone], c)
	}
	var selected []Candidate
	for round := 0; len(selected) < min(count, len(candidates)); round++ {
		for _, zone := range zones {
			if round < len(byZone[zone]) && len(selected) < count {
				selected = append(selected, byZone[zone][round])
			}
		}
	}
	return selected
}

// bootstrap says who votes from the first entry on. All first voters begin with the same one, and messages carry
// its number, so that two logs never mix.
type bootstrap struct {
	ID     uint64   `json:"Number"` // hash of the cluster's name and Voters; 0 for none
	Voters []member `json:"Voters"` // empty at a member that was added later
}

// member is a member with a vote, or about to get one (a learner).
type member struct {
	ID       uint64 `json:"id"`
	Name     string `json:"name"`
	Zone     string `json:"zone,omitempty"`
	Addr     string `json:"addr"`
	Replaces uint64 `json:"for,omitempty"` // of a learner: whose vote it is to get; 0 for an additional one
}

func compareMembers(a, b member) int { return cmp.Compare(a.ID, b.ID) }

func newBootstrap(cluster string, voters []member) bootstrap {
	voters = slices.Clone(voters)
	slices.SortFunc(voters, compareMembers)
	h := fnv.New64a()
	_, _ = h.Write([]byte(cluster))
	var id [8]byte
	for _, v := range voters {
		for i := range id {
			id[i] = byte(v.ID >> (8 * i))
		}
		_, _ = h.Write(id[:])
	}
	return bootstrap{ID: max(h.Sum64(), 1), Voters: voters}
}

// memberStatus is what a candidate says of its folder when asked.
type memberStatus struct {
	Name      string    `json:"Name"`
	ID        uint64    `json:"ID"` // 0 if it has no folder in use yet
	Bootstrap bootstrap `json:"Founded"`
}

// bootstrapStep is what a first voter with a fresh folder does next.
type bootstrapStep struct {
	Begin  *bootstrap // begin with this one, after writing it down
	Rejoin bool       // the log was begun without this folder: ask to come back as a new voter
	Await  string     // the first one that has not answered
}

// decideBootstrap is what a first voter, with a fresh folder of number id, does by what the other first voters
// report. Only the first one selected begins a log, and only when all others have reported that their folders are
// fresh too. The others take its bootstrap over where it names their number. So two bootstraps that name the same
// numbers cannot both get a majority: the first one alone could write a second bootstrap, and only with a new
// folder, hence with another number of its own.
func decideBootstrap(
	cluster string, first []Candidate, name string, id uint64, reported map[string]memberStatus,
) bootstrapStep {
	await := ""
	var fresh []member
	for _, c := range first {
		status, ok := reported[c.Name]
		if c.Name == name {
			status, ok = memberStatus{Name: name, ID: id}, true
		}
		switch {
		case !ok || status.ID == 0:
			if !failpoint.On("founds-alone") || len(fresh) == 0 {
				await = cmp.Or(await, c.Name)
			}
		case status.Bootstrap.ID == 0:
			fresh = append(fresh, member{ID: status.ID, Name: c.Name, Zone: c.Zone, Addr: c.Addr})
		case slices.ContainsFunc(status.Bootstrap.Voters, func(v member) bool { return v.ID == id }):
			return bootstrapStep{Begin: &status.Bootstrap}
		default:
			return bootstrapStep{Rejoin: true}
		}
	}
	switch {
	case await != "":
		return bootstrapStep{Await: await}
	case first[0].Name != name:
		return bootstrapStep{Await: first[0].Name}
	}
	begin := newBootstrap(cluster, fresh)
	return bootstrapStep{Begin: &begin}
}
