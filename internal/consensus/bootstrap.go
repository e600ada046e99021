package consensus

import (
	"cmp"
	"hash/fnv"
	"slices"

	"oatloft/internal/failpoint"
)

// SelectVoters returns the candidates that vote from the bootstrap on. It selects count of them round-robin over the
// zones, so that votes are spread as evenly as possible. The same list gives the same selection. The first one
// selected begins the log.
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

// bootstrap lists the members that vote from the first entry on. All first voters begin with the same one, and
// messages carry its ID, so that two logs never mix.
type bootstrap struct {
	ID     uint64   `json:"Number"` // hash of the cluster's name and Voters; 0 for none
	Voters []member `json:"Voters"` // empty at a member that was added later
}

// member is a voter, or a learner that is about to become one.
type member struct {
	ID       uint64 `json:"id"`
	Name     string `json:"name"`
	Zone     string `json:"zone,omitempty"`
	Addr     string `json:"addr"`
	Replaces uint64 `json:"for,omitempty"` // of a learner: ID of the voter that it replaces; 0 for an additional voter
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

// memberStatus is the status of a candidate's folder as sent to other members.
type memberStatus struct {
	Name      string    `json:"Name"`
	ID        uint64    `json:"ID"` // 0 if no folder is open yet
	Bootstrap bootstrap `json:"Founded"`
}

// bootstrapStep is the next action of a first voter with a fresh folder.
type bootstrapStep struct {
	Begin  *bootstrap // record this bootstrap and begin
	Rejoin bool       // the log was begun without this folder: rejoin as a new voter
	Await  string     // name of the first voter to wait for
}

// decideBootstrap returns the next action of a first voter whose fresh folder has the given ID, based on the statuses
// that the other first voters report. Only the first one selected begins a log, and only after all others have
// reported that their folders are fresh too. The others adopt its bootstrap if it contains their ID. So two bootstraps
// that contain the same IDs cannot both get a majority: only the first one could write a second bootstrap, and only
// with a new folder, hence with another ID of its own.
func decideBootstrap(
	cluster string, firstVoters []Candidate, name string, id uint64, reported map[string]memberStatus,
) bootstrapStep {
	await := ""
	var fresh []member
	for _, c := range firstVoters {
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
	case firstVoters[0].Name != name:
		return bootstrapStep{Await: firstVoters[0].Name}
	}
	begin := newBootstrap(cluster, fresh)
	return bootstrapStep{Begin: &begin}
}
