package stagger

import (
	"cmp"
	"slices"

	"oatloft/internal/subset"
)

// ReadersPerServer is how many members read each server for all. The middle one of three readings stands, whatever
// one reader says.
const ReadersPerServer = 3

// readerRankPrefix keeps the ranks of readers apart from those of subsets. Members of all versions have to use the
// same.
const readerRankPrefix = "d"

// AssignReaders returns those of the members who read a server for all: the ones that rank it first, so that a
// member more or less moves few of these tasks. The members given should be those that look at the server anyway.
func AssignReaders(server string, members []string) []string {
	type ranked struct {
		rank uint64
		name string
	}
	first := make([]ranked, 0, ReadersPerServer+1)
	for _, name := range members {
		r := ranked{subset.Rank(name, readerRankPrefix+server), name}
		if len(first) == ReadersPerServer && r.rank >= first[ReadersPerServer-1].rank {
			continue
		}
		i, _ := slices.BinarySearchFunc(first, r, func(a, b ranked) int {
			return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.name, b.name))
		})
		first = slices.Insert(first, i, r)
		first = first[:min(len(first), ReadersPerServer)]
	}
	names := make([]string, len(first))
	for i, r := range first {
		names[i] = r.name
	}
	return names
}
