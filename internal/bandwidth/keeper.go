package bandwidth

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"oatloft/internal/failpoint"
	"oatloft/internal/revision"
)

// Want is what one class and tenant ask for at one balancer.
type Want struct {
	Class   string
	Tenant  string
	Bytes   float64 // a second
	Senders int     // connections that wait; those that get less than they want share by these
}

// Ask is what a balancer says of one link when it asks for its part.
type Ask struct {
	Link  string
	Held  float64 // bytes a second lent to it and not lapsed; 0 if none
	Safe  float64 // what it falls back to, by the table that it follows
	Wants []Want
}

// Asks are what a balancer says at one time. It numbers them, and tells the last number whose answer it has taken up: it never takes up
// one before that any more.
type Asks struct {
	Number uint64
	Took   uint64
	Links  []Ask
}

// Got is how a class and tenant stand in what was lent: Bytes a second by plan, which are the weights among those of one priority.
type Got struct {
	Class  string
	Tenant string
	Bytes  float64
}

// Sure is what a class is sure of, in bytes a second, before others come by priority.
type Sure struct {
	Class string
	Bytes float64
}

// Grant is a balancer's part of one link.
type Grant struct {
	Link  string
	Bytes float64 // a second
	Got   []Got
	Sure  []Sure
	Short []string // classes that get less than they ask for, over all balancers
}

// Grants answer Asks of one number.
type Grants struct {
	Number uint64
	Links  []Grant
}

// Keeper is the side that lends, at the member that coordinates. What it holds to, for each link of size C: the sum over all processes
// of the most that each may send now (grants that may still count there, or its safe part if that is more) is C at most, also where a
// grant or its answer is lost, comes late, or was given by the Keeper before.
//
// Now is any clock that doesn't stand; in Ask it has to be read when the question came, before it was made sure that this member still
// coordinates.
type Keeper struct {
	set    Settings
	table  map[string]*lending
	shares map[string]float64
	learn  time.Duration // until then grants of an earlier Keeper may count
}

// lending is one link.
type lending struct {
	revision.Link
	parts   map[string]*part
	names   []string // of parts, sorted
	away    []lent   // safe parts of those that left: one that was cut off may go on with it
	counted float64  // of the parts, together; what has lapsed since the last plan still counts
	dirty   bool
	planned time.Duration
	short   []string
}

// part is one process's on a link.
type part struct {
	out     []lent
	safe    float64
	wants   []Want
	asked   time.Duration
	left    bool
	counted float64 // most at the last look
	plan    float64
	got     []Got
	sure    []Sure
}

type lent struct {
	number uint64
	bytes  float64
	at     time.Duration
}

// NewKeeper is a Keeper that was never told to lend; Elected has to come first.
func NewKeeper(set Settings) *Keeper {
	return &Keeper{set: set, table: map[string]*lending{}}
}

// SetTable takes the links of the revision that is in force, and the tenants' shares. What was lent stays counted until it is acknowledged
// to be less, or lapses.
func (k *Keeper) SetTable(table []revision.Link, shares map[string]float64) {
	k.shares = shares
	before := k.table
	k.table = map[string]*lending{}
	for _, l := range table {
		n := before[Name(l.From, l.To)]
		if n == nil {
			n = &lending{parts: map[string]*part{}}
		}
		n.Link, n.dirty = l, true
		for _, p := range n.parts { // each may follow either table until it says by which it asks
			p.safe = max(p.safe, k.set.safe(l.Bytes))
			n.counted += max(0, p.safe-p.counted)
			p.counted = max(p.counted, p.safe)
		}
		k.table[Name(l.From, l.To)] = n
	}
}

// Elected begins anew: nothing is known of what was lent by others.
func (k *Keeper) Elected(now time.Duration) {
	k.learn = now + k.set.held()
	if failpoint.On("links-no-wait") {
		k.learn = now
	}
	for _, l := range k.table {
		l.parts, l.names, l.away, l.counted, l.dirty = map[string]*part{}, nil, nil, 0, true
	}
}

// Left has nothing more lent to a process that has ended, is about to, or can't be reached. What it was lent counts until it has lapsed,
// its safe part for some time beyond that: it may go on with its connections.
func (k *Keeper) Left(holder string) {
	for _, l := range k.table {
		if p := l.parts[holder]; p != nil {
			p.left, p.wants, l.dirty = true, nil, true
		}
	}
}

// most is what a process may send by what counts now.
func (p *part) most(now, held time.Duration) float64 {
	p.out = slices.DeleteFunc(p.out, func(l lent) bool { return now > l.at+held })
	most := p.safe
	for _, l := range p.out {
		most = max(most, l.bytes)
	}
	return most
}

// aside is what is set aside on a link for those that haven't asked: each may be there with its safe part.
func (k *Keeper) aside(l *lending) float64 {
	beyond, safe := 0.0, k.set.safe(l.Bytes)
	for _, a := range l.away { // by an earlier table it may have more than is set aside for it by this one
		beyond += max(0, a.bytes-safe)
	}
	return float64(max(0, k.set.Holders-len(l.parts)))*safe + min(beyond, l.Bytes/2)
}

// tidy counts all anew, and lets go of those that have left, once what they had has lapsed, and in the end of their safe parts.
func (l *lending) tidy(now, held time.Duration, holders int) {
	l.away = slices.DeleteFunc(l.away, func(a lent) bool { return now > a.at+awayFor })
	l.names = slices.DeleteFunc(l.names, func(h string) bool {
		p := l.parts[h]
		if !p.left || p.most(now, held) > p.safe || len(p.out) > 0 {
			return false
		}
		l.away = append(l.away, lent{bytes: p.safe, at: now})
		delete(l.parts, h)
		return true
	})
	l.counted = 0
	for _, p := range l.parts {
		p.counted = p.most(now, held)
		l.counted += p.counted
	}
	l.away = l.away[max(0, len(l.away)-holders):]
}

const (
	awayFor    = 10 * time.Minute // a process that was cut off and went on with its connections is counted so long
	fewHolders = 16
	planEvery  = 20 * time.Millisecond // with more than that; planning goes over all of them
	changes    = 0.002                 // of a link, and a hundred times that of a part: that much has to change hands for a question out of turn
	ackAfter   = 20 * time.Millisecond
	perHolder  = 500 * time.Microsecond // between two questions out of turn, over all
)

// Ask answers a process's question. It is the one way in which something is lent. Again is when to ask next, 0 for as always: soon for one
// that was lent less than it had, since others wait for its word, and a little later for one whose share others still hold.
func (k *Keeper) Ask(holder string, a Asks, now time.Duration) (g Grants, again time.Duration) {
	g.Number = a.Number
	names := slices.Sorted(maps.Keys(k.table))
	for _, name := range names {
		l := k.table[name]
		i := slices.IndexFunc(a.Links, func(x Ask) bool { return x.Link == name })
		if i < 0 {
			continue // it carries nothing there, or follows an earlier table: a safe part is set aside for it
		}
		said, p := a.Links[i], l.parts[holder]
		if p == nil {
			p = &part{safe: k.set.safe(l.Bytes)}
			p.counted = p.safe
			l.counted += p.safe
			l.parts[holder] = p
			l.names = append(l.names, holder)
			slices.Sort(l.names)
		}
		p.took(a.Took, said.Held, now)
		p.safe, p.wants, p.asked = max(said.Safe, k.set.safe(l.Bytes)), said.Wants, now
		l.dirty, p.left = true, false
		if len(l.parts) <= fewHolders || now >= l.planned+planEvery {
			k.plan(l, now)
		}
		free := l.Bytes - k.aside(l) - (l.counted - p.counted)
		bytes := max(p.plan, p.safe)
		if now < k.learn { // others may hold what isn't known here: no more than it has
			bytes = min(bytes, max(said.Held, p.safe))
		}
		bytes = max(0, min(bytes, free))
		p.out = append(p.out, lent{a.Number, bytes, now})
		l.counted -= p.counted
		p.counted = p.most(now, k.set.held())
		l.counted += p.counted
		switch much := max(changes*l.Bytes, changes*100*p.plan); {
		case said.Held-bytes > much:
			again = ackAfter
		case again == 0 && p.plan-bytes > much && now >= k.learn:
			again = max(2*ackAfter, time.Duration(len(l.parts))*perHolder)
		}
		g.Links = append(g.Links, Grant{Link: name, Bytes: bytes, Got: p.got, Sure: p.sure, Short: l.short})
	}
	return g, again
}

// took has what was lent up to a number count as what the process says that it holds.
func (p *part) took(number uint64, held float64, now time.Duration) {
	at, known := now, false
	if failpoint.On("links-freed-early") && len(p.out) > 0 {
		p.out, held = p.out[:0], 0
	}
	rest := p.out[:0]
	for _, l := range p.out {
		if l.number > number {
			rest = append(rest, l)
		} else if l.number == number {
			at, known = l.at, true
		}
	}
	p.out = rest
	if held > 0 {
		if !known {
			at = now // from another Keeper
		}
		p.out = append(p.out, lent{number, held, at})
	}
}

// plan divides a link by what all ask for.
func (k *Keeper) plan(l *lending, now time.Duration) {
	if !l.dirty {
		return
	}
	l.tidy(now, k.set.held(), k.set.Holders)
	l.dirty, l.planned = false, now
	var classes []string
	wants, flows := map[string]float64{}, map[[2]string]*flow{}
	for _, h := range l.names {
		p := l.parts[h]
		if now > p.asked+k.set.Lease/2 { // not heard: what it has counts until it lapses, but nothing more is planned for it
			p.wants = nil
		}
		for _, w := range p.wants {
			if _, ok := wants[w.Class]; !ok {
				classes = append(classes, w.Class)
			}
			wants[w.Class] += w.Bytes
			f := flows[[2]string{w.Class, w.Tenant}]
			if f == nil {
				f = &flow{class: w.Class, tenant: w.Tenant, who: make([]*part, 0, len(l.names)), items: make([]item, 0, len(l.names))}
				flows[[2]string{w.Class, w.Tenant}] = f
			}
			f.bytes += w.Bytes
			f.who, f.items = append(f.who, p), append(f.items, item{float64(max(1, w.Senders)), w.Bytes})
		}
	}
	order := slices.SortedFunc(maps.Values(flows), func(a, b *flow) int {
		return cmp.Or(cmp.Compare(a.class, b.class), cmp.Compare(a.tenant, b.tenant))
	})
	list := rules(&l.Link, classes)
	asked := make([]float64, len(list))
	for i, r := range list {
		asked[i] = wants[r.name]
	}
	total := l.Bytes - k.aside(l)
	for range 3 { // those that get less than their safe part have that all the same, and it has to come from the others
		got, least := divide(total, l.Bytes, list, asked)
		l.short = nil
		for _, h := range l.names {
			p := l.parts[h]
			p.plan, p.got, p.sure = 0, nil, nil
			if n := len(p.wants); n > 0 { // new ones: those from before are in answers
				p.got, p.sure = make([]Got, 0, n), make([]Sure, 0, n)
			}
		}
		for i, r := range list {
			if got[i] < 0.95*asked[i] {
				l.short = append(l.short, r.name)
			}
			from := slices.IndexFunc(order, func(f *flow) bool { return f.class == r.name })
			to := max(from, 0)
			for from = to; to < len(order) && order[to].class == r.name; to++ {
			}
			items := make([]item, 0, to-from)
			for _, f := range order[from:to] {
				items = append(items, item{share(k.shares, f.tenant), f.bytes})
			}
			for j, bytes := range fill(got[i], items) {
				order[from+j].divide(bytes, least[i]/max(got[i], 1e-9))
			}
		}
		lacks, sum := 0.0, 0.0
		for _, h := range l.names {
			p := l.parts[h]
			lacks += max(0, p.safe-p.plan)
			sum += max(p.plan, p.safe)
		}
		if room := l.Bytes - k.aside(l) - sum; room >= 0 { // nobody asks for the rest: whoever needs it next has it at hand
			for _, h := range l.names {
				p := l.parts[h]
				p.plan = max(p.plan, p.safe) + room/float64(len(l.names))
			}
			return
		}
		total = max(0, l.Bytes-k.aside(l)-lacks)
	}
}

// flow is what a class and tenant ask for at all processes that carry them.
type flow struct {
	class, tenant string
	bytes         float64
	who           []*part
	items         []item
}

// divide gives each of them its part, and of that what is sure.
func (f *flow) divide(bytes, sure float64) {
	for i, b := range fill(bytes, f.items) {
		p := f.who[i]
		p.plan += b
		p.got = append(p.got, Got{f.class, f.tenant, b})
		if n := len(p.sure); n > 0 && p.sure[n-1].Class == f.class {
			p.sure[n-1].Bytes += b * sure
		} else {
			p.sure = append(p.sure, Sure{f.class, b * sure})
		}
	}
}

// share is a tenant's among others; one of which nothing is said has 1.
func share(shares map[string]float64, tenant string) float64 {
	if s := shares[tenant]; s > 0 {
		return s
	}
	return 1
}
