package stagger

import (
	"cmp"
	"slices"

	"oatloft/internal/subset"
)

// ReadersPerServer is the number of members that read each server for all. With three readings the median is used, so
// that a single reader can't falsify it.
const ReadersPerServer = 3

// readerRankPrefix makes the ranks of readers independent of those of subsets. It must be the same in all versions.
const readerRankPrefix = "d"

// AssignReaders returns the members that read a server for all. They are chosen by rank, so that a new or removed
// member changes few assignments. members should be those that look at the server anyway.
func AssignReaders(server string, members []string) []string {
	type ranked struct {
		rank uint64
		name string
	}
	best := make([]ranked, 0, ReadersPerServer+1)
	for _, name := range members {
		r := ranked{subset.Rank(name, readerRankPrefix+server), name}
		if len(best) == ReadersPerServer && r.rank >= best[ReadersPerServer-1].rank {
			continue
		}
		i, _ := slices.BinarySearchFunc(best, r, func(a, b ranked) int {
			return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.name, b.name))
		})
		best = slices.Insert(best, i, r)
		best = best[:min(len(best), ReadersPerServer)]
	}
	names := make([]string, len(best))
	for i, r := range best {
		names[i] = r.name
	}
	return names
}
