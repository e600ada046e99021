// Package bandwidth bounds the bytes that pass between two zones. Each link, an ordered pair of zones, is divided among
// the balancers that send over it, and at each balancer among classes and tenants. links.go holds the arithmetic of the
// division, allocator.go the grants made by the member that coordinates, shaper.go the scheduling at every balancer,
// participant.go the exchange between balancers, and wire.go its encoding. Apart from the lock and the counter in
// participant.go the package is pure: it uses no socket, clock or goroutine.
//
// The granted parts, together with the safe parts that need no grant, never sum to more than a link. Bytes are never
// dropped or reordered, only delayed.
package bandwidth

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"time"

	"oatloft/internal/revision"
)

// Settings must be the same at all balancers. Check validates them.
type Settings struct {
	Lease    time.Duration // of a grant from the time of its request, by the requesting balancer's clock
	SafePart float64       // fraction of a link that all balancers together may use without a grant, in (0, 0.5]
	Holders  int           // most processes that share the safe part evenly, two for each balancer that may be upgraded
}

// InvalidSetting is a setting outside its valid range.
type InvalidSetting struct{ Field, Value, Reason, Remedy string }

// Error returns the field, its value and what is wrong with it.
func (e *InvalidSetting) Error() string { return fmt.Sprintf("%s: %s %s", e.Field, e.Value, e.Reason) }

// Hint returns what an operator can do about it.
func (e *InvalidSetting) Hint() string { return e.Remedy }

// Check returns the first invalid setting as an *InvalidSetting.
func (s Settings) Check() error {
	switch {
	case s.Lease < 200*time.Millisecond || s.Lease > time.Minute:
		return &InvalidSetting{"links.lease", s.Lease.String(), "is outside 200ms to 1m",
			"set a lease of about eight times the interval between two renewals"}
	case !(s.SafePart > 0 && s.SafePart <= 0.5):
		return &InvalidSetting{"links.safe_part", fmt.Sprint(s.SafePart), "is outside (0, 0.5]",
			"set the fraction of a link that balancers may use without a grant; 0.04 leaves 95% to be granted"}
	case s.Holders < 1:
		return &InvalidSetting{"links holders", fmt.Sprint(s.Holders), "is below 1",
			"set the number of balancers in the settings"}
	}
	return nil
}

// grantTTL returns how long the coordinator counts a grant after giving it: the lease plus 20%, since clock rates
// differ by at most 10%, plus 100 ms for rounding.
func (s Settings) grantTTL() time.Duration { return s.Lease*12/10 + 100*time.Millisecond }

// safeRate returns the bytes per second of a link that one process may use without a grant.
func (s Settings) safeRate(linkRate float64) float64 {
	return linkRate * s.SafePart / float64(s.Holders)
}

// LinkName returns a link's name in messages, metrics and logs.
func LinkName(from, to string) string { return from + ">" + to }

// DefaultMinShare is the fraction of a link guaranteed to an active class without a minimum share of its own, so that
// no class starves.
const DefaultMinShare = 0.005

// classRule is a link table's entry for one class.
type classRule struct {
	name             string
	priority         int
	minShare, weight float64 // minShare is a fraction of the link; all sum to at most 1
}

// classRules returns the rules of the configured and the active classes. Active classes that the table does not name
// come last.
func classRules(l *revision.Link, active []string) []classRule {
	var list []classRule
	last := 0
	for _, c := range l.Classes {
		r := classRule{c.Name, max(c.Priority, 1), c.MinShare, c.Weight}
		if r.weight <= 0 {
			r.weight = 1
		}
		last = max(last, r.priority)
		list = append(list, r)
	}
	for _, name := range active {
		if !slices.ContainsFunc(list, func(r classRule) bool { return r.name == name }) {
			list = append(list, classRule{name, last + 1, 0, 1})
		}
	}
	sum := 0.0
	for i := range list {
		list[i].minShare = max(list[i].minShare, DefaultMinShare)
		sum += list[i].minShare
	}
	if sum > 1 {
		for i := range list {
			list[i].minShare /= sum
		}
	}
	slices.SortStableFunc(list, func(a, b classRule) int {
		if a.priority != b.priority {
			return a.priority - b.priority
		}
		return strings.Compare(a.name, b.name)
	})
	return list
}

// claim is one participant in a division.
type claim struct{ weight, demand float64 }

// weightedMaxMin divides total among claims by weighted max-min fairness: no claim gets more than its demand, and what
// it leaves goes to the others. The result sums to total, or to all demands if that is less.
func weightedMaxMin(total float64, claims []claim) []float64 {
	rates := make([]float64, len(claims))
	order := make([]int, 0, len(claims))
	for i, x := range claims {
		if x.demand > 0 && x.weight > 0 {
			order = append(order, i)
		}
	}
	slices.SortFunc(order, func(a, b int) int {
		if d := claims[a].demand/claims[a].weight - claims[b].demand/claims[b].weight; d != 0 && !math.IsNaN(d) {
			return int(math.Copysign(1, d))
		}
		return a - b
	})
	weights := make([]float64, len(order)+1) // sums over this and the following claims
	for j := len(order) - 1; j >= 0; j-- {
		weights[j] = weights[j+1] + claims[order[j]].weight
	}
	for j, i := range order {
		rates[i] = min(max(0, total)*claims[i].weight/weights[j], claims[i].demand)
		total -= rates[i]
	}
	return rates
}

// divideByPriority gives each class its minimum share of size as far as it demands it, then divides the rest by
// priority and, within a priority, by weight. total is the rate to divide, size the rate that the minimum shares are
// fractions of. The second result is the part of each class's rate that comes from its minimum share.
func divideByPriority(total, size float64, rules []classRule, demands []float64) (rates, guaranteed []float64) {
	claims := make([]claim, len(rules))
	for i, r := range rules {
		claims[i] = claim{r.minShare, min(demands[i], r.minShare*size)}
	}
	rates = weightedMaxMin(total, claims)
	guaranteed = slices.Clone(rates)
	for _, rate := range rates {
		total -= rate
	}
	for from := 0; from < len(rules); {
		to := from
		for to < len(rules) && rules[to].priority == rules[from].priority {
			to++
		}
		claims = claims[:0]
		for i := from; i < to; i++ {
			claims = append(claims, claim{rules[i].weight, demands[i] - rates[i]})
		}
		for i, extra := range weightedMaxMin(total, claims) {
			rates[from+i] += extra
			total -= extra
		}
		from = to
	}
	return rates, guaranteed
}
