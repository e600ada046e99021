package consensus

import (
	"hash/fnv"
	"slices"

	"oatloft/internal/failpoint"
)

// Draw is who holds a vote at the founding: count of the candidates, one zone after the other, so that no zone has more
// than another needs to. The same list gives the same draw. The first one drawn is the founder.
func Draw(candidates []Candidate, count int) []Candidate {
	var zones []string
	of := map[string][]Candidate{}
	for _, c := range candidates {
		if of[c.Zone] == nil {
			zones = append(zones, c.Zone)
		}
		of[c.Zone] = append(of[c.Zone], c)
	}
	var drawn []Candidate
	for round := 0; len(drawn) < min(count, len(candidates)); round++ {
		for _, z := range zones {
			if round < len(of[z]) && len(drawn) < count {
				drawn = append(drawn, of[z][round])
			}
		}
	}
	return drawn
}

// founding is what the founder writes down: who votes from the first entry on. All voters start from the same one, and
// messages carry its number, so that two foundings never mix.
type founding struct {
	Number uint64 // over the cluster's name and Voters; 0 for none
	Voters []seat // empty at one that was taken in later
}

// seat is one member of the agreement, with a vote or about to get one.
type seat struct {
	ID   uint64 `json:"id"`
	Name string `json:"name"`
	Zone string `json:"zone,omitempty"`
	Addr string `json:"addr"`
	For  uint64 `json:"for,omitempty"` // a learner: whose vote it is to get; 0 for an additional one
}

func found(cluster string, voters []seat) founding {
	voters = slices.Clone(voters)
	slices.SortFunc(voters, func(a, b seat) int { return cmpID(a.ID, b.ID) })
	h := fnv.New64a()
	_, _ = h.Write([]byte(cluster))
	var b [8]byte
	for _, v := range voters {
		for i := range b {
			b[i] = byte(v.ID >> (8 * i))
		}
		_, _ = h.Write(b[:])
	}
	return founding{Number: max(h.Sum64(), 1), Voters: voters}
}

func cmpID(a, b uint64) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

// standing is what a candidate says of itself when asked.
type standing struct {
	Name    string
	ID      uint64 // 0: it has no folder in use yet
	Founded founding
}

// foundStep is what a drawn voter with a fresh folder does next.
type foundStep struct {
	Found  *founding // start from this one, after writing it down
	Return bool      // it was founded without this folder: ask to come back as a new one
	Await  string    // the first that hasn't answered
}

// foundDecision is made by a drawn voter with a fresh folder of number id, from what the other drawn ones said. One alone
// founds, the first one drawn, and only when all others have told that they are fresh too. The others take its founding
// over where it names their number. So two foundings that name the same numbers can't both get most of the votes: the
// founder alone could write a second one, and only with a new folder, hence with another number of its own.
func foundDecision(cluster string, drawn []Candidate, name string, id uint64, said map[string]standing) foundStep {
	var await string
	fresh := []seat{}
	for _, c := range drawn {
		s := standing{Name: name, ID: id}
		if c.Name != name {
			var ok bool
			if s, ok = said[c.Name]; !ok || s.ID == 0 {
				if failpoint.On("founds-alone") && len(fresh) > 0 {
					continue
				}
				if await == "" {
					await = c.Name
				}
				continue
			}
		}
		if s.Founded.Number != 0 {
			if slices.ContainsFunc(s.Founded.Voters, func(v seat) bool { return v.ID == id }) {
				return foundStep{Found: &s.Founded}
			}
			return foundStep{Return: true}
		}
		fresh = append(fresh, seat{ID: s.ID, Name: c.Name, Zone: c.Zone, Addr: c.Addr})
	}
	switch {
	case await != "":
		return foundStep{Await: await}
	case drawn[0].Name != name:
		return foundStep{Await: drawn[0].Name}
	}
	f := found(cluster, fresh)
	return foundStep{Found: &f}
}
