package bandwidth

import (
	"math"
	"slices"
	"time"

	"golang.org/x/time/rate"

	"oatloft/internal/failpoint"
	"oatloft/internal/revision"
)

// Of one turn, in bytes and times of the link's present rate.
const (
	turnTime   = 1 * time.Millisecond
	turnLeast  = 128
	turnMost   = 8 << 10
	depthTime  = 20 * time.Millisecond   // of what may have piled up unused
	depthLeast = 2 << 10                 // so that a message of the first priority finds room
	laterPart  = 0.35                    // of what piled up in depthTime: all that later priorities may have of it
	pressGap   = 5 * time.Millisecond    // within which one that had its turn waits again, if it has more
	pressLeast = 50 * time.Millisecond   // from then on one that waits may want any amount, or one that doesn't no more
	wantsLeast = 100 * time.Millisecond  // of a time that figures are taken of
	calmTime   = 250 * time.Microsecond  // a later priority's turn ...
	calmPile   = 1500 * time.Microsecond // ... and what may pile up for it at least, while the first priority sends
	calmFor    = 500 * time.Millisecond  // and so long after it did
	calmLook   = 100 * time.Millisecond  // after which what may pile up is set anew ...
	calmMore   = 0.015                   // ... higher where more of the rate than that was lost, lower where a third of it was
)

// Shaper says whose turn it is to send over one link, at one balancer. Its rate is what was lent while that lasts, then the safe part.
// Each class is first sure of its least part, as far as it asks, then turns go by priority, within one by weight, within a class to its
// tenants by theirs, and among those that wait in one tenant's queue in their order. Of what may pile up while nobody sends, most is kept
// for the first priority, so that its messages don't wait behind what others have just sent; this gives a later rank nothing less, since
// what it is kept from is filled once.
//
// W is who waits. A Shaper is not safe for concurrent use. Times are any clock's that never goes back.
type Shaper[W any] struct {
	link    revision.Link
	shares  map[string]float64
	safe    float64
	rate    float64
	until   time.Duration // of what was lent; 0 if nothing
	tokens  float64
	last    time.Duration
	quantum float64
	depth   float64
	kept    float64       // of it for earlier priorities, from the last's view
	calm    bool          // turns are small, since the first priority has sent
	calmTo  time.Duration // until then
	pile    time.Duration // what may pile up for later priorities then
	lost    float64       // bytes that found no room though somebody waited, since ...
	look    time.Duration // ... which is looked at then
	classes []*class[W]   // in order
	waiting int
	measure time.Duration // since when the flows' figures count
	wants   []Want        // the figures before these
	short   []string
	clocks  map[int]float64 // by priority: the turns of the class that was served last
}

type class[W any] struct {
	rule
	rank    float64 // of its priority, 0 for the first, 1 for the last
	sure    *rate.Limiter
	share   float64 // weight by which its priority's turns go
	turns   float64 // served over weight
	clock   float64 // the turns of the flow that was served last
	flows   []*Flow[W]
	waiting int
}

// Flow is one class's and tenant's queue. It stays valid for as long as the Shaper does.
type Flow[W any] struct {
	class   *class[W]
	tenant  string
	weight  float64
	turns   float64
	queue   []W
	head    int
	used    int64 // bytes since the figures were last taken
	total   int64
	since   time.Duration // when somebody began to wait
	waited  time.Duration // of the time since the figures were last taken
	left    time.Duration // when the last one that waited had its turn
	pressed time.Duration // since when somebody waits but for moments
	senders int           // most that waited at once
	given   int           // last, and how much of that it was sure of
	sure    int
}

// NewShaper is one with nothing lent.
func NewShaper[W any](now time.Duration) *Shaper[W] {
	return &Shaper[W]{last: now, measure: now, pile: calmPile, clocks: map[int]float64{}}
}

// SetLink takes the link's table, this process's safe part in bytes a second, and the tenants' shares. Who waits goes on waiting.
func (s *Shaper[W]) SetLink(now time.Duration, l revision.Link, safe float64, shares map[string]float64) {
	s.refill(now)
	s.link, s.safe, s.shares = l, safe, shares
	s.order()
	if s.until == 0 {
		s.fall()
	}
}

// order sorts the classes by the table.
func (s *Shaper[W]) order() {
	names := make([]string, len(s.classes))
	for i, c := range s.classes {
		names[i] = c.name
	}
	var list []*class[W]
	ranks := 0
	for i, r := range rules(&s.link, names) {
		if i > 0 && r.priority != list[i-1].priority {
			ranks++
		}
		c := &class[W]{sure: rate.NewLimiter(0, turnMost)}
		if j := slices.IndexFunc(s.classes, func(c *class[W]) bool { return c.name == r.name }); j >= 0 {
			c = s.classes[j]
		}
		c.rule, c.rank = r, float64(ranks)
		for _, f := range c.flows {
			f.weight = share(s.shares, f.tenant)
		}
		list = append(list, c)
	}
	for _, c := range list {
		c.rank /= float64(max(1, ranks))
	}
	s.classes = list
}

// Flow is the queue of a class and tenant, made where it is new.
func (s *Shaper[W]) Flow(name, tenant string) *Flow[W] {
	for range 2 {
		for _, c := range s.classes {
			if c.name != name {
				continue
			}
			for _, f := range c.flows {
				if f.tenant == tenant {
					return f
				}
			}
			f := &Flow[W]{class: c, tenant: tenant, weight: share(s.shares, tenant)}
			c.flows = append(c.flows, f)
			return f
		}
		s.classes = append(s.classes, &class[W]{rule: rule{name: name}, sure: rate.NewLimiter(0, turnMost)})
		s.order()
		if s.until == 0 {
			s.fall()
		} else {
			s.assure(s.last, nil)
		}
	}
	panic("links: a class that was added is not there")
}

// Lend takes what was lent until a time.
func (s *Shaper[W]) Lend(now time.Duration, g Grant, until time.Duration) {
	s.refill(now)
	if until <= now {
		return
	}
	s.until, s.short = until, g.Short
	s.pace(g.Bytes)
	for _, c := range s.classes {
		c.share = 0
	}
	for _, x := range g.Got {
		for _, c := range s.classes {
			if c.name == x.Class {
				c.share += x.Bytes
			}
		}
	}
	for _, c := range s.classes { // one that has just begun isn't in the plan yet
		c.share = max(c.share, c.weight*g.Bytes/100)
	}
	s.assure(now, g.Sure)
}

// assure sets what classes are sure of: what the plan says, then, as far as the rate goes, their least part of it for those that weren't
// there when it was made.
func (s *Shaper[W]) assure(now time.Duration, sure []Sure) {
	left := s.rate
	for _, planned := range []bool{true, false} {
		for _, c := range s.classes {
			i := slices.IndexFunc(sure, func(x Sure) bool { return x.Class == c.name })
			if (i >= 0) != planned {
				continue
			}
			bytes := c.least * s.rate
			if planned {
				bytes = sure[i].Bytes
			}
			bytes = max(0, min(bytes, left))
			left -= bytes
			c.sure.SetLimitAt(at(now), rate.Limit(bytes))
			c.sure.SetBurstAt(at(now), int(math.Ceil(max(quantum(s.rate, turnTime), bytes*depthTime.Seconds()))))
		}
	}
}

// fall has the safe part hold, divided by the table alone.
func (s *Shaper[W]) fall() {
	s.until, s.short = 0, nil
	s.pace(s.safe)
	for _, c := range s.classes {
		c.share = c.weight
	}
	s.assure(s.last, nil)
}

func (s *Shaper[W]) pace(bytes float64) {
	s.rate = bytes
	s.depth = max(bytes*depthTime.Seconds(), depthLeast)
	s.tokens = min(s.tokens, s.depth)
	s.settle()
}

// settle sets turns, and what may pile up for later priorities. Whatever they send in one go the next message of the first priority waits
// behind: a wire that is used nearly whole works off what came late only slowly. So what later priorities may have at once is as little as
// this process can make use of, by how late it gets its processor.
func (s *Shaper[W]) settle() {
	turn, pile := turnTime, time.Duration(laterPart*float64(depthTime))
	if s.calm {
		turn, pile = calmTime, s.pile
	}
	s.quantum = quantum(s.rate, turn)
	s.kept = s.depth - max(s.rate*pile.Seconds(), 2*s.quantum)
}

func quantum(bytes float64, turn time.Duration) float64 {
	return min(max(bytes*turn.Seconds(), turnLeast), turnMost)
}

// at puts a time on the bucket's clock.
func at(t time.Duration) time.Time { return time.Unix(0, 0).Add(t) }

func (s *Shaper[W]) refill(now time.Duration) {
	if s.until > 0 && now >= s.until && !failpoint.On("links-held-on") { // first of all, so that a process that was stopped sends nothing by what has lapsed
		s.grow(s.until)
		s.fall()
	}
	s.grow(now)
	calm := now < s.calmTo
	if calm && now >= s.look {
		switch lost := s.lost / max(s.rate*calmLook.Seconds(), 1); {
		case lost > calmMore:
			s.pile = min(s.pile*3/2, time.Duration(laterPart*float64(depthTime)))
		case lost < calmMore/3:
			s.pile = max(s.pile*19/20, calmPile)
		}
		s.lost, s.look = 0, now+calmLook
		s.calm = false
	}
	if calm != s.calm {
		s.calm = calm
		s.settle()
	}
}

func (s *Shaper[W]) grow(now time.Duration) {
	if now > s.last {
		s.tokens += s.rate * (now - s.last).Seconds()
		if over := s.tokens - s.depth; over > 0 {
			s.tokens = s.depth
			if s.waiting > 0 {
				s.lost += over
			}
		}
		s.last = now
	}
}

// free is what a class may have now.
func (s *Shaper[W]) free(c *class[W]) float64 { return s.tokens - c.rank*s.kept }

// Take asks for up to most bytes at once: so many may pass now, or none if somebody waits whose turn comes before, or too little is there.
func (s *Shaper[W]) Take(now time.Duration, f *Flow[W], most int) int {
	s.refill(now)
	free := s.free(f.class)
	if s.waiting > 0 {
		for _, c := range s.classes {
			if c.waiting == 0 {
				continue
			}
			if c.priority <= f.class.priority {
				return 0
			}
			free -= max(0, min(c.sure.TokensAt(at(now)), s.quantum)) // that is sure of its turn first
		}
	}
	if free < min(s.quantum, float64(most)) {
		return 0
	}
	n := min(float64(most), free, turnMost)
	if f.class.rank > 0 {
		n = min(n, s.quantum)
	}
	s.begin(f)
	return s.give(f, int(n), now)
}

// Wait puts one at the end of its queue.
func (s *Shaper[W]) Wait(now time.Duration, f *Flow[W], w W) {
	if f.waiting() == 0 {
		if f.since = now; now-f.left > pressGap {
			f.pressed = now
		}
	}
	s.begin(f)
	if f.head > 32 && f.head > len(f.queue)/2 {
		f.queue = slices.Delete(f.queue, 0, f.head)
		f.head = 0
	}
	f.queue = append(f.queue, w)
	f.senders = max(f.senders, f.waiting())
	f.class.waiting++
	s.waiting++
}

// begin has who comes after a rest begin where the others are: nobody saves up turns.
func (s *Shaper[W]) begin(f *Flow[W]) {
	if f.waiting() == 0 {
		f.turns = max(f.turns, f.class.clock)
	}
	if f.class.waiting == 0 {
		f.class.turns = max(f.class.turns, s.clocks[f.class.priority])
	}
}

func (f *Flow[W]) waiting() int { return len(f.queue) - f.head }

// Next takes the one out of its queue whose turn it is now, and says how many bytes may pass. It is false if nobody's is.
func (s *Shaper[W]) Next(now time.Duration) (w W, f *Flow[W], n int, ok bool) {
	if s.waiting == 0 {
		return w, nil, 0, false
	}
	s.refill(now)
	var next *class[W]
	for _, c := range s.classes {
		if c.waiting > 0 && s.tokens >= s.quantum && c.sure.TokensAt(at(now)) >= s.quantum {
			next = c
			break
		}
	}
	if next == nil {
		for _, c := range s.classes {
			if c.waiting == 0 || next != nil && c.priority != next.priority {
				continue
			}
			if next == nil || c.turns < next.turns {
				next = c
			}
		}
		if s.free(next) < s.quantum {
			return w, nil, 0, false
		}
	}
	for _, x := range next.flows {
		if x.waiting() > 0 && (f == nil || x.turns < f.turns) {
			f = x
		}
	}
	w = f.queue[f.head]
	var none W
	f.queue[f.head] = none
	f.head++
	next.waiting--
	s.waiting--
	if f.waiting() == 0 {
		f.waited += now - max(f.since, s.measure)
		f.left = now
		f.queue, f.head = f.queue[:0], 0
	}
	return w, f, s.give(f, int(s.quantum), now), true
}

func (s *Shaper[W]) give(f *Flow[W], n int, now time.Duration) int {
	s.tokens -= float64(n)
	if f.class.rank == 0 && s.classes[len(s.classes)-1].rank > 0 {
		s.calmTo = now + calmFor
	}
	s.clocks[f.class.priority], f.class.clock = f.class.turns, f.turns
	s.count(f, n)
	f.given, f.sure = n, 0
	if sure := int(f.class.sure.TokensAt(at(now))); sure > 0 {
		f.sure = min(n, sure)
		f.class.sure.AllowN(at(now), f.sure)
	}
	return n
}

func (s *Shaper[W]) count(f *Flow[W], n int) {
	f.used += int64(n)
	f.total += int64(n)
	f.class.turns += float64(n) / max(f.class.share, 1e-9)
	f.turns += float64(n) / f.weight
}

// Return gives back what was given and not used.
func (s *Shaper[W]) Return(f *Flow[W], n int) {
	s.tokens = min(s.depth, s.tokens+float64(n))
	s.count(f, -n)
	if back := f.sure - max(0, f.given-n); back > 0 { // what was used counts as sure first
		f.class.sure.AllowN(at(s.last), -back)
		f.sure -= back
	}
}

// Owe counts bytes that passed without asking, such as first lines: they are saved later.
func (s *Shaper[W]) Owe(now time.Duration, f *Flow[W], n int) {
	s.refill(now)
	s.give(f, n, now)
}

// Soon is how long it takes until Next can say more, an hour if nobody waits.
func (s *Shaper[W]) Soon(now time.Duration) time.Duration {
	if s.waiting == 0 {
		return time.Hour
	}
	s.refill(now)
	lacks := math.Inf(1)
	first := 0
	for _, c := range s.classes {
		if c.waiting == 0 {
			continue
		}
		if first == 0 || c.priority == first {
			first = c.priority
			lacks = min(lacks, (s.quantum-s.free(c))/max(s.rate, 1))
		}
		sure := (s.quantum - c.sure.TokensAt(at(now))) / max(float64(c.sure.Limit()), 1e-9)
		lacks = min(lacks, max(sure, (s.quantum-s.tokens)/max(s.rate, 1)))
	}
	soon := time.Duration(min(max(lacks, 0), 1) * float64(time.Second))
	if s.until > 0 {
		soon = min(soon, s.until-now)
	}
	return max(soon, 100*time.Microsecond)
}

// Waiting is how many wait.
func (s *Shaper[W]) Waiting() int { return s.waiting }

// Drain takes out all that wait: the link is bounded no more.
func (s *Shaper[W]) Drain() (all []W) {
	for _, c := range s.classes {
		for _, f := range c.flows {
			all = append(all, f.queue[f.head:]...)
			f.queue, f.head = nil, 0
		}
		c.waiting = 0
	}
	s.waiting = 0
	return all
}

// Wants are the figures since they were last taken: what each class and tenant would send if it were not held back, in bytes a second.
// One that was held back for nearly all of the time may want any amount, and is taken to want the link.
func (s *Shaper[W]) Wants(now time.Duration) Ask {
	s.refill(now)
	a := Ask{Link: Name(s.link.From, s.link.To), Safe: s.safe}
	if s.until > 0 {
		a.Held = s.rate
	}
	if now-s.measure < wantsLeast { // a question out of turn: what so short a time tells is chance
		a.Wants = s.wants
		return a
	}
	span := (now - s.measure).Seconds()
	for _, c := range s.classes {
		for _, f := range c.flows {
			waited := f.waited
			if f.waiting() > 0 {
				waited += now - max(f.since, s.measure)
			}
			if f.used > 0 || waited > 0 {
				part := waited.Seconds() / span
				w := Want{c.name, f.tenant, s.link.Bytes, f.senders}
				idle := now - f.left
				if f.waiting() > 0 {
					idle = 0
				}
				switch {
				case idle <= pressGap && now-f.pressed >= pressLeast || part >= 0.9 && idle < pressLeast:
				case part >= 0.5 && idle >= pressLeast: // it pressed, and has ended
					w.Bytes = turnLeast
				default:
					w.Bytes = min(s.link.Bytes, 1.1*float64(max(0, f.used))/span/(1-part)+float64(turnLeast))
				}
				a.Wants = append(a.Wants, w)
			}
			f.used, f.waited, f.senders = 0, 0, f.waiting()
		}
	}
	s.measure, s.wants = now, a.Wants
	return a
}

// Short are the classes for which the link is full: by what was told with the grant, or, where none counts, those that wait here.
func (s *Shaper[W]) Short() []string {
	if s.until > 0 {
		return s.short
	}
	var list []string
	for _, c := range s.classes {
		if c.waiting > 0 {
			list = append(list, c.name)
		}
	}
	return list
}

// Figures are what a link's shaper has let pass, and holds.
type Figures struct {
	Link    string           `json:"link"`
	Rate    float64          `json:"bytes_per_second"`
	Lent    bool             `json:"lent"` // and not lapsed
	Waiting int              `json:"waiting"`
	Bytes   map[string]int64 `json:"bytes"` // by class
}

// Figures tells them.
func (s *Shaper[W]) Figures(now time.Duration) Figures {
	s.refill(now)
	f := Figures{Link: Name(s.link.From, s.link.To), Rate: math.Round(s.rate), Lent: s.until > 0, Waiting: s.waiting, Bytes: map[string]int64{}}
	for _, c := range s.classes {
		for _, x := range c.flows {
			f.Bytes[c.name] += x.total
		}
	}
	return f
}
