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

func near(a, b, by float64) bool { return math.Abs(a-b) <= by*max(1, math.Abs(b)) }

// A division never gives more than there is or than is wanted, serves every least part that is asked for, leaves nothing that somebody
// wants, and nothing to a later priority while an earlier one wants more.
func TestDivide(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.Float64Range(100, 1e7).Draw(t, "size")
		l := revision.Link{From: "a", To: "b", Bytes: size}
		left := 1.0
		for i := range rapid.IntRange(1, 6).Draw(t, "classes") {
			least := rapid.Float64Range(0, left).Draw(t, "least")
			left -= least
			l.Classes = append(l.Classes, revision.LinkClass{Name: fmt.Sprint("c", i), Priority: rapid.IntRange(1, 3).Draw(t, "priority"), MinShare: least,
				Weight: rapid.Float64Range(0, 5).Draw(t, "weight")})
		}
		list := rules(&l, []string{"other"})
		wants, sum := make([]float64, len(list)), 0.0
		for i := range list {
			wants[i] = rapid.SampledFrom([]float64{0, 10, size / 7, size, 3 * size}).Draw(t, "want")
			sum += wants[i]
		}
		got, least := divide(size, size, list, wants)
		all := 0.0
		for i, r := range list {
			all += got[i]
			if got[i] > wants[i]*(1+1e-9) || got[i] < min(wants[i], r.least*size)*(1-1e-9) || least[i] > got[i]*(1+1e-9) {
				t.Fatalf("%s wants %v, has least %v, got %v (%v of it least)", r.name, wants[i], r.least*size, got[i], least[i])
			}
			for j, o := range list {
				if o.priority > r.priority && got[i] < wants[i]*(1-1e-9) && got[j] > least[j]*(1+1e-9) {
					t.Fatalf("%s wants %v and got %v, but %s of a later priority got %v over its least %v", r.name, wants[i], got[i], o.name, got[j], least[j])
				}
			}
		}
		if !near(all, min(size, sum), 1e-6) {
			t.Fatalf("%v of %v given, %v wanted", all, size, sum)
		}
	})
}

// process is one balancer's side in a drawn run: its clock's rate differs from the world's.
type process struct {
	name    string
	rate    float64 // of its clock
	part    *Part
	shapers []*Shaper[int]
	wants   []Want
	now     time.Duration // by its clock
	table   []revision.Link
	stopped bool
}

func startProcess(set Settings, name string, rate float64, table []revision.Link, now time.Duration) *process {
	part, err := NewPart(set)
	if err != nil {
		panic(err)
	}
	p := &process{name: name, rate: rate, part: part}
	p.read(now)
	for range table {
		p.shapers = append(p.shapers, NewShaper[int](p.now))
	}
	p.follow(table)
	part.Bind(func() (list []Ask) {
		for _, s := range p.shapers {
			a := s.Wants(p.now)
			a.Wants = p.wants
			list = append(list, a)
		}
		return list
	}, func(grants []Grant, until time.Time) {
		for _, g := range grants {
			for i, l := range p.table {
				if Name(l.From, l.To) == g.Link {
					p.shapers[i].Lend(p.now, g, until.Sub(epoch))
				}
			}
		}
	}, nil)
	return p
}

func (p *process) read(now time.Duration) { p.now = time.Duration(float64(now) * p.rate) }

func (p *process) follow(table []revision.Link) {
	p.table = table
	for i, s := range p.shapers {
		s.SetLink(p.now, table[i], p.part.Safe(table[i].Bytes), nil)
	}
}

type onTheWay struct {
	at    time.Duration
	to    *process
	body  []byte
	asked time.Duration // by the asker's clock
}

// drawnRun tells when all together may send more over a link than it takes: while questions and answers are late or lost, processes stop,
// start anew or leave, another Keeper is elected, and the link is made larger or smaller (where the bound is the larger of both until what
// was lent before has lapsed and all follow the new table).
func drawnRun(t *rapid.T) error {
	set := Settings{Lease: 2 * time.Second, SafePart: rapid.SampledFrom([]float64{0.04, 0.3}).Draw(t, "safe"), Holders: 6}
	table := []revision.Link{{From: "a", To: "b", Bytes: 1e5, Classes: []revision.LinkClass{{Name: "top", Priority: 1, MinShare: 0.2}, {Name: "bulk", Priority: 2, MinShare: 0.1}}},
		{From: "b", To: "a", Bytes: 3e4}}
	bound, lapses := []float64{1e5, 3e4}, []time.Duration{0, 0}
	now := time.Duration(0)
	keeper := NewKeeper(set)
	keeper.SetTable(table, nil)
	keeper.Elected(0)
	var all []*process
	started := 0
	start := func() {
		started++
		all = append(all, startProcess(set, fmt.Sprint("p", started), rapid.Float64Range(0.955, 1.045).Draw(t, "rate"), table, now))
	}
	for range rapid.IntRange(1, 5).Draw(t, "processes") {
		start()
	}
	var way []onTheWay
	for range rapid.IntRange(20, 150).Draw(t, "steps") {
		now += time.Duration(rapid.IntRange(1, 400).Draw(t, "ms")) * time.Millisecond
		var later []onTheWay
		for _, w := range way {
			if w.to.stopped || w.at > now {
				later = append(later, w)
				continue
			}
			w.to.read(now)
			w.to.part.Granted(w.body, epoch.Add(w.asked))
		}
		way = later
		p := all[rapid.IntRange(0, len(all)-1).Draw(t, "who")]
		switch rapid.SampledFrom([]string{"ask", "ask", "ask", "ask", "ask", "ask", "stop", "leave", "lapse", "elect", "size", "start"}).Draw(t, "what") {
		case "ask":
			if p.stopped {
				break
			}
			p.read(now)
			p.follow(table)
			p.wants = nil
			for _, c := range []string{"top", "bulk"} {
				p.wants = append(p.wants, Want{c, "t", rapid.SampledFrom([]float64{0, 100, 1e4, 1e5}).Draw(t, "want"), 1})
			}
			body := p.part.Demand()
			var a Asks
			if err := a.read(body); err != nil {
				return err
			}
			if rapid.IntRange(0, 5).Draw(t, "lost") > 0 {
				g, _ := keeper.Ask(p.name, a, now)
				answer := g.wire()
				if back := rapid.SampledFrom([]int{0, 0, 5, 200, 2500, -1}).Draw(t, "back"); back >= 0 {
					way = append(way, onTheWay{now + time.Duration(back)*time.Millisecond, p, answer, p.now})
				}
			}
		case "stop":
			p.stopped = !p.stopped
		case "leave":
			keeper.Left(p.name)
			all = slices.DeleteFunc(all, func(x *process) bool { return x == p })
			if len(all) == 0 {
				start()
			}
		case "lapse": // held to have lapsed, though it goes on with what it has
			keeper.Left(p.name)
		case "start":
			if len(all) < set.Holders {
				start()
			}
		case "elect":
			keeper = NewKeeper(set)
			keeper.SetTable(table, nil)
			keeper.Elected(now)
		case "size":
			i := rapid.IntRange(0, len(table)-1).Draw(t, "link")
			table = slices.Clone(table)
			table[i].Bytes = rapid.SampledFrom([]float64{2e4, 1e5, 4e5}).Draw(t, "bytes")
			lapses[i] = now + set.held()
			bound[i] = max(bound[i], table[i].Bytes)
			keeper.SetTable(table, nil)
		}
		for i, l := range table {
			sum, follow := 0.0, true
			for _, p := range all {
				follow = follow && p.table[i].Bytes == l.Bytes
				p.read(now)
				p.shapers[i].refill(p.now)
				sum += p.shapers[i].rate
			}
			if !follow {
				lapses[i] = max(lapses[i], now+set.held())
			}
			if now > lapses[i] {
				bound[i] = l.Bytes
			}
			if sum > bound[i]*(1+1e-9) {
				return fmt.Errorf("at %v %d processes may send %v over link %d, which takes %v", now, len(all), sum, i, bound[i])
			}
		}
	}
	return nil
}

// What all may send over a link never sums to more than its size.
func TestSumNeverAboveLink(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if err := drawnRun(t); err != nil {
			t.Fatal(err)
		}
	})
}
