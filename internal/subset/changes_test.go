package subset

import (
	"cmp"
	"slices"
)

// Changes counts what differs between two plans in edges taken up and given up, and the least that any way from the
// first to a balanced plan for these members and servers had to change.
func Changes(
	before map[string][]string,
	members []Member,
	servers []Server,
	set Config,
	after map[string][]string,
) (changed, least int) {
	live := map[string]bool{}
	for _, r := range servers {
		live[r.ID] = true
	}
	at, kept := map[string]int{}, 0
	for _, m := range members {
		now := map[string]bool{}
		for _, id := range after[m.Name] {
			now[id] = true
		}
		for _, id := range before[m.Name] {
			if !live[id] {
				continue // gone by itself
			}
			if kept++; now[id] {
				delete(now, id)
			} else {
				changed++
			}
			at[id]++
		}
		changed += len(now)
	}
	above, beyond, total := excess(before, members, servers, after, live, at)
	gone := max(above, beyond)
	return changed, gone + total - (kept - gone)
}

// excess counts what has to go: what servers have above their quotas, and members above their sizes; and all pairs
// after.
func excess(
	before map[string][]string, members []Member, servers []Server, after map[string][]string,
	live map[string]bool, at map[string]int,
) (above, beyond, total int) {
	// Each region has a quota, of which total%r are one higher: those that have most. What is above it has to go, what a
	// member has above its size as well, and what is missing has to come.
	counts := []int{}
	for _, m := range members {
		total += len(after[m.Name])
	}
	for _, r := range servers {
		counts = append(counts, at[r.ID])
	}
	slices.SortFunc(counts, func(a, b int) int { return cmp.Compare(b, a) })
	for n, c := range counts {
		quota := total / len(servers)
		if n < total%len(servers) {
			quota++
		}
		above += max(0, c-quota)
	}
	for _, m := range members {
		n := 0
		for _, id := range before[m.Name] {
			if live[id] {
				n++
			}
		}
		beyond += max(0, n-len(after[m.Name]))
	}
	return above, beyond, total
}
