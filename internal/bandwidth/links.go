// Package bandwidth bounds the bytes that pass between two zones: each link, an ordered pair of zones, is divided among the balancers
// that carry its bytes, and at each of them among classes and tenants. It owns the arithmetic of dividing (this file), who is lent
// how much for how long (keeper.go, at the member that coordinates), whose turn it is (shaper.go, at every balancer), and the words
// between these (part.go). It is pure but for part.go's lock: no socket, no clock, no goroutine. It must never let the parts that are
// lent, together with the safe parts that need no lending, sum to more than a link; and it must never drop or reorder a byte: all
// that it can do is say "not yet".
package bandwidth

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"time"

	"oatloft/internal/revision"
)

// Settings are what all balancers have to hold in common. Check tells what can't work.
type Settings struct {
	Lease    time.Duration // a part that was lent holds so long after it was asked for, by the asking balancer's clock
	SafePart float64       // of a link: what all balancers together have without asking, in (0, 0.5]
	Holders  int           // processes at most over which the safe part is split evenly, two for each balancer that may be upgraded
}

// Unfit is a setting that can't work.
type Unfit struct{ Field, Value, Why, Do string }

// Error names the field, its value and what is wrong with it.
func (e *Unfit) Error() string { return fmt.Sprintf("%s: %s %s", e.Field, e.Value, e.Why) }

// Hint is what an operator can do about it.
func (e *Unfit) Hint() string { return e.Do }

// Check names the first setting that can't work, as an *Unfit.
func (s Settings) Check() error {
	switch {
	case s.Lease < 200*time.Millisecond || s.Lease > time.Minute:
		return &Unfit{"links.lease", s.Lease.String(), "is outside 200ms to 1m", "set a lease of about eight times the time between two renewals"}
	case !(s.SafePart > 0 && s.SafePart <= 0.5):
		return &Unfit{"links.safe_part", fmt.Sprint(s.SafePart), "is outside (0, 0.5]", "set the part of a link that balancers may use without being heard; 0.04 leaves 95% to be lent"}
	case s.Holders < 1:
		return &Unfit{"links holders", fmt.Sprint(s.Holders), "is below 1", "set the settings' number of balancers"}
	}
	return nil
}

// held is how long after a grant was given the giver has to count it: clocks' rates differ by 10% at most, and a little for what is
// rounded.
func (s Settings) held() time.Duration { return s.Lease*12/10 + 100*time.Millisecond }

// safe is one process's part of a link of so many bytes a second that it has without asking.
func (s Settings) safe(bytes float64) float64 { return bytes * s.SafePart / float64(s.Holders) }

// Name is how a link is called in messages, metrics and logs.
func Name(from, to string) string { return from + ">" + to }

// Floor is the part of a link that a class without a least part of its own is sure of while it asks, so that nobody starves.
const Floor = 0.005

// rule is what a link's table says of one class.
type rule struct {
	name          string
	priority      int
	least, weight float64 // least is a part of the link; all sum to 1 at most
}

// rules are those of a link for the classes that are named or ask; a class that the table doesn't name comes last.
func rules(l *revision.Link, asking []string) []rule {
	var list []rule
	last := 0
	for _, c := range l.Classes {
		r := rule{c.Name, max(c.Priority, 1), c.MinShare, c.Weight}
		if r.weight <= 0 {
			r.weight = 1
		}
		last = max(last, r.priority)
		list = append(list, r)
	}
	for _, name := range asking {
		if !slices.ContainsFunc(list, func(r rule) bool { return r.name == name }) {
			list = append(list, rule{name, last + 1, 0, 1})
		}
	}
	sum := 0.0
	for i := range list {
		list[i].least = max(list[i].least, Floor)
		sum += list[i].least
	}
	if sum > 1 {
		for i := range list {
			list[i].least /= sum
		}
	}
	slices.SortStableFunc(list, func(a, b rule) int {
		if a.priority != b.priority {
			return a.priority - b.priority
		}
		return strings.Compare(a.name, b.name)
	})
	return list
}

// item is one of those that something is divided among.
type item struct{ weight, want float64 }

// fill divides total among items by weight, nobody getting more than it wants: what one leaves the others share. The result sums to
// total, or to all wants if that is less.
func fill(total float64, items []item) []float64 {
	got := make([]float64, len(items))
	order := make([]int, 0, len(items))
	for i, x := range items {
		if x.want > 0 && x.weight > 0 {
			order = append(order, i)
		}
	}
	slices.SortFunc(order, func(a, b int) int {
		if d := items[a].want/items[a].weight - items[b].want/items[b].weight; d != 0 && !math.IsNaN(d) {
			return int(math.Copysign(1, d))
		}
		return a - b
	})
	weights := make([]float64, len(order)+1) // of those from here on
	for j := len(order) - 1; j >= 0; j-- {
		weights[j] = weights[j+1] + items[order[j]].weight
	}
	for j, i := range order {
		got[i] = min(max(0, total)*items[i].weight/weights[j], items[i].want)
		total -= got[i]
	}
	return got
}

// divide gives each class its least part of size as far as it wants it, then the rest by priority, within one by weight. total is what
// there is to divide, size what the least parts are parts of. The second result is how much of each is its least part.
func divide(total, size float64, list []rule, wants []float64) (got, least []float64) {
	items := make([]item, len(list))
	for i, r := range list {
		items[i] = item{r.least, min(wants[i], r.least*size)}
	}
	got = fill(total, items)
	least = slices.Clone(got)
	for _, g := range got {
		total -= g
	}
	for from := 0; from < len(list); {
		to := from
		for to < len(list) && list[to].priority == list[from].priority {
			to++
		}
		items = items[:0]
		for i := from; i < to; i++ {
			items = append(items, item{list[i].weight, wants[i] - got[i]})
		}
		for i, more := range fill(total, items) {
			got[from+i] += more
			total -= more
		}
		from = to
	}
	return got, least
}
