package subset

import (
	"cmp"
	"slices"
)

// Changes counts what differs between two plans in edges taken up and given up, and the least that any way from the
// first to a balanced plan for these members and regions had to change.
func Changes(
	before map[string][]string,
	members []Member,
	regions []Server,
	set Config,
	after map[string][]string,
) (changed, least int) {
	live := map[string]bool{}
	for _, r := range regions {
		live[r.ID] = true
	}
	there := map[string]bool{}
	at, kept := map[string]int{}, 0
	for _, m := range members {
		there[m.Name] = true
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
	// Each region has a quota, of which total%r are one higher: those that have most. What is above it has to go, what a
	// member has above its size as well, and what is missing has to come.
	total, counts := 0, []int{}
	for _, m := range members {
		total += len(after[m.Name])
	}
	for _, r := range regions {
		counts = append(counts, at[r.ID])
	}
	slices.SortFunc(counts, func(a, b int) int { return cmp.Compare(b, a) })
	above := 0
	for n, c := range counts {
		quota := total / len(regions)
		if n < total%len(regions) {
			quota++
		}
		above += max(0, c-quota)
	}
	beyond := 0
	for _, m := range members {
		n := 0
		for _, id := range before[m.Name] {
			if live[id] {
				n++
			}
		}
		beyond += max(0, n-len(after[m.Name]))
	}
	gone := max(above, beyond)
	return changed, gone + total - (kept - gone)
}
