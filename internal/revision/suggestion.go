package revision

import (
	"fmt"
	"slices"
	"strings"
)

// suggestion suggests a known name for an unknown one: the nearest by edit distance, or else the first few of the list.
func suggestion(name, kind string, list []string) string {
	nearest, limit := "", min(3, len(name)/3+1) // every name is within a small distance of a short name
	for _, candidate := range list {
		if distance := editDistance(strings.ToLower(name), strings.ToLower(candidate)); distance < limit {
			nearest, limit = candidate, distance
		}
	}
	switch {
	case nearest != "":
		return fmt.Sprintf("remove this entry, or write %q if that was meant", nearest)
	case len(list) == 0:
		return fmt.Sprintf("remove this entry: there is no %s", kind)
	}
	names := slices.Sorted(slices.Values(list))
	more := ""
	if len(names) > 8 {
		names, more = names[:8], fmt.Sprintf(" and %d more", len(list)-8)
	}
	return fmt.Sprintf("remove this entry, or use one of %s%s", strings.Join(names, ", "), more)
}

// editDistance returns the Levenshtein distance of a and b in bytes.
func editDistance(a, b string) int {
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := range len(a) {
		diagonal := row[0]
		row[0] = i + 1
		for j := range len(b) {
			cost := 1
			if a[i] == b[j] {
				cost = 0
			}
			diagonal, row[j+1] = row[j+1], min(row[j+1]+1, row[j]+1, diagonal+cost)
		}
	}
	return row[len(b)]
}
