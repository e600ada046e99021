package subset

import (
	"cmp"
	"slices"
)

// Changes returns the number of pairs added and removed between two plans, and the minimum number that any change from
// the first one to a balanced plan for these members and servers needs.
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
				continue // the server was removed, which is no change by the plan
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

// excess returns the number of pairs of servers above their quotas, of members above their sizes, and of all pairs
// after the change.
func excess(
	before map[string][]string, members []Member, servers []Server, after map[string][]string,
	live map[string]bool, at map[string]int,
) (above, beyond, total int) {
	// The quotas of total%len(servers) servers are one higher: of those with the most pairs. Pairs above a quota or above
	// a member's size have to be removed, and missing pairs have to be added.
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
