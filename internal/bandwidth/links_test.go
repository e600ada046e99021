package bandwidth

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"oatloft/internal/revision"
)

// approxEqual reports whether a and b differ by at most the relative tolerance.
func approxEqual(a, b, tolerance float64) bool { return math.Abs(a-b) <= tolerance*max(1, math.Abs(b)) }

// TestDivide checks that a division never gives more than there is or than is demanded, gives each class its minimum
// share as far as it demands it, leaves nothing unassigned that somebody demands, and gives nothing to a later priority
// while an earlier one demands more.
func TestDivide(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.Float64Range(100, 1e7).Draw(t, "size")
		l := revision.Link{From: "a", To: "b", Bytes: size}
		left := 1.0
		for i := range rapid.IntRange(1, 6).Draw(t, "classes") {
			guaranteed := rapid.Float64Range(0, left).Draw(t, "least")
			left -= guaranteed
			l.Classes = append(l.Classes, revision.LinkClass{Name: fmt.Sprint("c", i),
				Priority: rapid.IntRange(1, 3).Draw(t, "priority"), MinShare: guaranteed,
				Weight: rapid.Float64Range(0, 5).Draw(t, "weight")})
		}
		list := classRules(&l, []string{"other"})
		demands, sum := make([]float64, len(list)), 0.0
		for i := range list {
			demands[i] = rapid.SampledFrom([]float64{0, 10, size / 7, size, 3 * size}).Draw(t, "want")
			sum += demands[i]
		}
		rates, guaranteed := divideByPriority(size, size, list, demands)
		all := 0.0
		for i, r := range list {
			all += rates[i]
			if rates[i] > demands[i]*(1+1e-9) || rates[i] < min(demands[i], r.minShare*size)*(1-1e-9) ||
				guaranteed[i] > rates[i]*(1+1e-9) {
				t.Fatalf("%s demands %v with a minimum of %v, but got %v (%v of it guaranteed)",
					r.name, demands[i], r.minShare*size, rates[i], guaranteed[i])
			}
			for j, o := range list {
				if o.priority > r.priority && rates[i] < demands[i]*(1-1e-9) && rates[j] > guaranteed[j]*(1+1e-9) {
					t.Fatalf("%s demands %v and got %v, but %s of a later priority got %v, above its guarantee of %v",
						r.name, demands[i], rates[i], o.name, rates[j], guaranteed[j])
				}
			}
		}
		if !approxEqual(all, min(size, sum), 1e-6) {
			t.Fatalf("allocated %v of %v for a demand of %v", all, size, sum)
		}
	})
}

// process is one balancer's side in a generated run; its clock runs at another rate than real time.
type process struct {
	name      string
	clockRate float64 // of its clock, relative to real time
	part      *Participant
	shapers   []*Shaper[int]
	demands   []Demand
	now       time.Duration // by its own clock
	table     []revision.Link
	stopped   bool
}

func startProcess(
	settings Settings, name string, clockRate float64, table []revision.Link, now time.Duration,
) *process {
	part, err := NewParticipant(settings)
	if err != nil {
		panic(err)
	}
	p := &process{name: name, clockRate: clockRate, part: part}
	p.readClock(now)
	for range table {
		p.shapers = append(p.shapers, NewShaper[int](p.now))
	}
	p.follow(table)
	part.Bind(func() (list []LinkRequest) {
		for _, s := range p.shapers {
			a := s.Demand(p.now)
			a.Demands = p.demands
			list = append(list, a)
		}
		return list
	}, func(grants []Grant, until time.Time) {
		for _, g := range grants {
			for i, l := range p.table {
				if LinkName(l.From, l.To) == g.Link {
					p.shapers[i].ApplyGrant(p.now, g, until.Sub(epoch))
				}
			}
		}
	}, nil)
	return p
}

func (p *process) readClock(now time.Duration) { p.now = time.Duration(float64(now) * p.clockRate) }

func (p *process) follow(table []revision.Link) {
	p.table = table
	for i, s := range p.shapers {
		s.SetLink(p.now, table[i], p.part.SafeRate(table[i].Bytes), nil)
	}
}

// delivery is a response on its way to a process.
type delivery struct {
	at          time.Duration
	to          *process
	body        []byte
	requestedAt time.Duration // by the requester's clock
}

// generatedRun returns an error if all processes together may send more over a link than its rate, while requests and
// responses are late or lost, processes stop, restart or leave, another Allocator is elected, and the link is resized.
// After a resize the bound is the larger of both rates until earlier grants have expired and all follow the new table.
func generatedRun(t *rapid.T) error {
	settings := Settings{Lease: 2 * time.Second,
		SafePart: rapid.SampledFrom([]float64{0.04, 0.3}).Draw(t, "safe"), Holders: 6}
	table := []revision.Link{{From: "a", To: "b", Bytes: 1e5, Classes: []revision.LinkClass{
		{Name: "top", Priority: 1, MinShare: 0.2}, {Name: "bulk", Priority: 2, MinShare: 0.1}}},
		{From: "b", To: "a", Bytes: 3e4}}
	bounds, boundUntil := []float64{1e5, 3e4}, []time.Duration{0, 0}
	now := time.Duration(0)
	allocator := NewAllocator(settings)
	allocator.SetTable(table, nil)
	allocator.Elected(0)
	var processes []*process
	started := 0
	start := func() {
		started++
		processes = append(processes, startProcess(settings, fmt.Sprint("p", started),
			rapid.Float64Range(0.955, 1.045).Draw(t, "rate"), table, now))
	}
	for range rapid.IntRange(1, 5).Draw(t, "processes") {
		start()
	}
	var deliveries []delivery
	for range rapid.IntRange(20, 150).Draw(t, "steps") {
		now += time.Duration(rapid.IntRange(1, 400).Draw(t, "ms")) * time.Millisecond
		var pending []delivery
		for _, d := range deliveries {
			if d.to.stopped || d.at > now {
				pending = append(pending, d)
				continue
			}
			d.to.readClock(now)
			d.to.part.ApplyResponse(d.body, epoch.Add(d.requestedAt))
		}
		deliveries = pending
		p := processes[rapid.IntRange(0, len(processes)-1).Draw(t, "who")]
		switch rapid.SampledFrom([]string{"ask", "ask", "ask", "ask", "ask", "ask",
			"stop", "leave", "lapse", "elect", "size", "start"}).Draw(t, "what") {
		case "ask":
			if p.stopped {
				break
			}
			p.readClock(now)
			p.follow(table)
			p.demands = nil
			for _, c := range []string{"top", "bulk"} {
				p.demands = append(p.demands, Demand{c, "t", rapid.SampledFrom([]float64{0, 100, 1e4, 1e5}).Draw(t, "want"), 1})
			}
			body := p.part.NextRequest()
			var a Request
			if err := a.decode(body); err != nil {
				return err
			}
			if rapid.IntRange(0, 5).Draw(t, "lost") > 0 {
				g, _ := allocator.Allocate(p.name, a, now)
				answer := g.encode()
				if delay := rapid.SampledFrom([]int{0, 0, 5, 200, 2500, -1}).Draw(t, "back"); delay >= 0 {
					deliveries = append(deliveries, delivery{now + time.Duration(delay)*time.Millisecond, p, answer, p.now})
				}
			}
		case "stop":
			p.stopped = !p.stopped
		case "leave":
			allocator.HolderLeft(p.name)
			processes = slices.DeleteFunc(processes, func(x *process) bool { return x == p })
			if len(processes) == 0 {
				start()
			}
		case "lapse": // considered expired, but it goes on using its grants
			allocator.HolderLeft(p.name)
		case "start":
			if len(processes) < settings.Holders {
				start()
			}
		case "elect":
			allocator = NewAllocator(settings)
			allocator.SetTable(table, nil)
			allocator.Elected(now)
		case "size":
			i := rapid.IntRange(0, len(table)-1).Draw(t, "link")
			table = slices.Clone(table)
			table[i].Bytes = rapid.SampledFrom([]float64{2e4, 1e5, 4e5}).Draw(t, "bytes")
			boundUntil[i] = now + settings.grantTTL()
			bounds[i] = max(bounds[i], table[i].Bytes)
			allocator.SetTable(table, nil)
		}
		for i, l := range table {
			sum, allFollow := 0.0, true
			for _, p := range processes {
				allFollow = allFollow && p.table[i].Bytes == l.Bytes
				p.readClock(now)
				p.shapers[i].refill(p.now)
				sum += p.shapers[i].rate
			}
			if !allFollow {
				boundUntil[i] = max(boundUntil[i], now+settings.grantTTL())
			}
			if now > boundUntil[i] {
				bounds[i] = l.Bytes
			}
			if sum > bounds[i]*(1+1e-9) {
				return fmt.Errorf("at %v %d processes may send %v bytes per second over link %d with a bound of %v",
					now, len(processes), sum, i, bounds[i])
			}
		}
	}
	return nil
}

// TestSumNeverAboveLink checks that the rates of all processes never sum to more than the link's.
func TestSumNeverAboveLink(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if err := generatedRun(t); err != nil {
			t.Fatal(err)
		}
	})
}
