package core

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"oatloft/policy"
)

// The reducer under drawn settings, in a small stepped world: regions that are up, refuse, think, say nothing or break;
// lists that drain, end and bring back; terminals that leave. The module's own test (policy/drawn_test.go) draws more of
// what decides; here the ways between it and the effects are held to the rules.

type drawnTask struct {
	region  string
	attempt int
	sent    bool
}

type drawnTerminal struct {
	due      time.Duration
	answered bool
	gone     bool
	task     *drawnTask
	tasks    int
}

type drawnWorld struct {
	t         interface{ Errorf(string, ...any) }
	rng       *rand.Rand
	r         *Reducer
	cfg       Config
	grace     time.Duration
	late      time.Duration // by which news of the list reach the reducer (a deliberate break)
	now       time.Duration
	todo      map[int64][]func()
	told      map[string]time.Duration // of draining or gone
	terminals map[Handle]*drawnTerminal
	ups       int
}

func (w *drawnWorld) after(d time.Duration, f func()) {
	at := int64((w.now + max(d, TickEvery)) / TickEvery)
	w.todo[at] = append(w.todo[at], f)
}

func (w *drawnWorld) millis(low, high int) time.Duration {
	return time.Duration(low+w.rng.IntN(high-low)) * time.Millisecond
}

func (w *drawnWorld) do(ev Event) {
	for _, e := range w.r.Step(w.now, ev, nil) {
		w.effect(e)
	}
}

func (w *drawnWorld) effect(e Effect) {
	switch e := e.(type) {
	case Probe:
		w.after(w.millis(1, 80), func() {
			if w.rng.IntN(8) == 0 {
				w.do(Probed{Region: e.Region, Result: policy.Result(1 + w.rng.IntN(5))})
			} else {
				w.do(Probed{Region: e.Region, Report: &policy.Report{Load: 1.1 * w.rng.Float64(), Busy: -1, InFlight: float64(w.rng.IntN(50)), Backlog: -1}})
			}
		})
	case Dial:
		t := w.terminals[e.Of]
		if t.task != nil {
			w.t.Errorf("%v: %d dials %s with a task out at %s", w.now, e.Of, e.Region, t.task.region)
		}
		if t.tasks++; t.tasks > w.cfg.Policy.MaxAttempts {
			w.t.Errorf("%v: %d has %d tasks of %d", w.now, e.Of, t.tasks, w.cfg.Policy.MaxAttempts)
		}
		task := &drawnTask{region: e.Region, attempt: e.Attempt}
		t.task = task
		w.after(w.millis(1, 60), func() {
			switch {
			case t.task != task:
			case w.rng.IntN(25) == 0:
				t.task = nil
				w.do(TaskEnded{e.Of, e.Attempt, Refused})
			default:
				w.do(Connected{e.Of, e.Attempt})
			}
		})
	case SendLine:
		t := w.terminals[e.Of]
		if told, is := w.told[t.task.region]; is && w.now-told > w.grace {
			w.t.Errorf("%v: %d is sent to %s, told %v ago", w.now, e.Of, t.task.region, w.now-told)
		}
		t.task.sent = true
		task := t.task
		w.after(TickEvery, func() {
			if t.task == task {
				w.do(Sent{e.Of, e.Attempt})
				w.after(w.millis(1, []int{40, 40, 40, 40, 1500}[w.rng.IntN(5)]), func() { w.answer(e.Of, t, task) })
			}
		})
	case DropTask:
		w.terminals[e.Of].task = nil
	case Answer:
		w.final(e.To)
	case Pass:
		if t := w.terminals[e.Of]; !e.ToRegion && !t.answered {
			w.final(e.Of)
			w.ups++
		}
	case EndRegion:
		w.terminals[e.Of].task = nil
	case EndTerminal:
		w.terminals[e.Of].gone = true
	case MoveTerminal:
		t := w.terminals[e.Of]
		t.gone, t.task = true, nil
	case Watch:
		w.after(w.millis(1, 200), func() { w.do(WatchAlive{}) })
	}
}

func (w *drawnWorld) answer(of Handle, t *drawnTerminal, task *drawnTask) {
	if t.task != task {
		return
	}
	switch w.rng.IntN(20) {
	case 0: // it says nothing
	case 1, 2:
		t.task = nil
		w.do(TaskEnded{of, task.attempt, []Ending{Closed, Broken, TurnedAway, Erred, MovedAway}[w.rng.IntN(5)]})
	default:
		w.do(Up{Of: of, Attempt: task.attempt, Bytes: Bytes{Data: []byte("UP\r\n"), Load: true, Told: 1 + 1000*w.rng.Float64()}})
		w.after(w.millis(10, 6000), func() {
			if t.task == task {
				t.task = nil
				w.do(TaskEnded{of, task.attempt, Finished})
			}
		})
	}
}

func (w *drawnWorld) final(of Handle) {
	t := w.terminals[of]
	if t.answered {
		w.t.Errorf("%v: %d is answered twice", w.now, of)
	}
	t.answered = true
	if w.now > t.due && !t.gone {
		w.t.Errorf("%v: %d is answered %v late", w.now, of, w.now-t.due)
	}
}

func (w *drawnWorld) list() {
	l := Listed{Kind: policy.ListDelta, Seq: int64(w.now)}
	for i := range 6 {
		if w.rng.IntN(3) > 0 {
			continue
		}
		id := fmt.Sprint("r", i)
		state := policy.ServerState(max(0, w.rng.IntN(6)-3)) // mostly live
		if _, was := w.told[id]; state == policy.Live {
			delete(w.told, id)
		} else if !was {
			w.told[id] = w.now
		}
		l.Regions = append(l.Regions, Region{Dial: id + ":1", Server: policy.Server{ID: id, Zone: "a", Weight: 1, State: state}})
	}
	if w.late > 0 {
		w.after(w.late, func() { w.do(l) })
		return
	}
	w.do(l)
}

func playDrawn(t interface{ Errorf(string, ...any) }, d *rapid.T, late time.Duration) int {
	span := func(name string, low, high time.Duration) time.Duration {
		return time.Duration(rapid.Int64Range(int64(low), int64(high)).Draw(d, name))
	}
	cfg := Config{ConnectTimeout: span("connect", 50*time.Millisecond, time.Second), ProbeTimeout: span("probe", 50*time.Millisecond, time.Second),
		PassThrough: rapid.Bool().Draw(d, "pass"), LongestWait: 5 * time.Second, Seed: 1,
		Policy: policy.Config{Zone: "a", Balancers: rapid.IntRange(1, 50).Draw(d, "balancers"), MaxAttempts: rapid.IntRange(1, 8).Draw(d, "attempts"),
			Probes: rapid.Bool().Draw(d, "probes"), Tick: span("tick", time.Millisecond, 20*time.Millisecond), MaxRetryAfter: span("advice", 0, 3*time.Second),
			ColdShare: 0.2, ColdTime: 10 * time.Second, FallMultiple: 3, FallTime: time.Second}}
	for i := range rapid.IntRange(1, 4).Draw(d, "classes") {
		cfg.Policy.Classes = append(cfg.Policy.Classes, policy.Class{Name: fmt.Sprint(i), Aim: span("aim", 50*time.Millisecond, 2*time.Second),
			Effect: policy.Effect(rapid.IntRange(0, 2).Draw(d, "effect")), KeyTTL: 5 * time.Second, MessageAim: span("message", 0, 300*time.Millisecond)})
	}
	r, err := New(cfg)
	if err != nil {
		t.Errorf("%v", err)
		return 0
	}
	w := &drawnWorld{t: t, rng: rand.New(rand.NewPCG(rapid.Uint64().Draw(d, "seed"), 1)), r: r, cfg: cfg, late: late, now: time.Hour,
		grace: span("grace", 0, 2*time.Second), todo: map[int64][]func(){}, told: map[string]time.Duration{}, terminals: map[Handle]*drawnTerminal{}}
	first := Listed{Kind: policy.ListCached}
	for i := range 6 {
		id := fmt.Sprint("r", i)
		first.Regions = append(first.Regions, Region{Dial: id + ":1", Server: policy.Server{ID: id, Zone: "a", Weight: 1}})
	}
	w.do(first)
	for step := range 2400 { // 12 s, the last four of them without newcomers
		w.now += TickEvery
		if step < 1600 && w.rng.IntN(6) == 0 {
			of := Handle(len(w.terminals) + 1)
			wait := w.millis(30, 3000)
			w.terminals[of] = &drawnTerminal{due: w.now + wait}
			w.do(Opened{From: of, Request: policy.Request{ID: fmt.Sprint(of), Key: fmt.Sprint("k", w.rng.IntN(40)), Group: []string{"", "g", "h"}[w.rng.IntN(3)],
				Class: cfg.Policy.Classes[w.rng.IntN(len(cfg.Policy.Classes))].Name, Patience: wait, MidFlow: w.rng.IntN(10) == 0}})
			if w.rng.IntN(8) == 0 {
				w.after(w.millis(5, 1000), func() {
					if t := w.terminals[of]; !t.gone {
						t.gone = true
						w.do(TerminalEnded{of, Broken})
					}
				})
			}
		}
		if w.rng.IntN(150) == 0 {
			w.list()
		}
		for _, f := range w.todo[int64(w.now/TickEvery)] {
			f()
		}
		delete(w.todo, int64(w.now/TickEvery))
		w.do(Tick{})
	}
	for of, x := range w.terminals {
		if !x.answered && !x.gone {
			t.Errorf("%d was never answered", of)
		}
	}
	return w.ups
}

type counted struct{ found int }

func (c *counted) Errorf(string, ...any) { c.found++ }

func TestReducerUnderDrawnSettings(t *testing.T) {
	play := func(t interface{ Errorf(string, ...any) }, late time.Duration) *rapid.Generator[int] {
		return rapid.Custom(func(d *rapid.T) int { return playDrawn(t, d, late) })
	}
	ups := 0
	for seed := range 40 {
		ups += play(t, 0).Example(seed)
		if t.Failed() {
			t.Fatalf("example %d", seed)
		}
	}
	if ups < 2000 {
		t.Errorf("%d tasks came up, the worlds test nothing", ups)
	}
	broken := 0
	for seed := range 20 {
		c := &counted{}
		play(c, 500*time.Millisecond).Example(seed)
		broken += min(1, c.found)
	}
	if broken < 2 {
		t.Errorf("news that count only after a literal 500 ms were found in %d of 20 worlds", broken)
	}
}
