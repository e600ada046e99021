package faultinjection

import (
	"testing"
	"time"

	"oatloft/internal/fake"
	"oatloft/internal/rules"
)

// An answer that is late by no more than the machine makes the run void. A later or missing answer, and a violation
// that does not concern time, counts whatever the delay of the machine.
func TestLateMachineExcuses(t *testing.T) {
	parties, err := fake.New(1)
	if err != nil {
		t.Fatal(err)
	}
	defer parties.Close()
	time.Sleep(50 * ms)
	w := &Scenario{World: parties, Schedule: &Schedule{Balancers: 2}, disturbances: make([][]span, 2)}
	now := w.Now()
	w.late.m = &machine{late: []waits{{{0, 0}, {now, 10 * ms}}, nil}}
	w.late.waits = []waits{{{0, 0}, {now, 30 * ms}}, nil}
	late := func(d time.Duration) fake.Answer { return fake.Answer{What: "none", Late: d} }
	for of, x := range map[string]struct {
		got, want bool
	}{
		"later than processors":   {w.excuse(0, 0)(late(41 * ms)), false},
		"as late as processors":   {w.excuse(0, 0)(late(39 * ms)), true},
		"another balancer's":      {w.excuse(1, 0)(late(39 * ms)), false},
		"delay of this process":   {w.excuse(1, 0)(late(9 * ms)), true},
		"late after that":         {w.excuse(0, now+1)(late(9 * ms)), false},
		"never":                   {w.excuse(0, 0)(late(0)), false},
		"a connection that broke": {w.excuse(0, 0)(fake.Answer{What: "reset"}), false},
		"not about time": {w.excusedViolation(rules.Violation{Event: rules.Event{At: now, By: "b01"}}),
			false},
		"disconnected, and nothing was read": {w.excusedViolation(rules.Violation{Event: rules.Event{At: now,
			Kind: rules.Lost, Text: "b01: EOF"}}), false},
		"a time limit": {w.excusedViolation(rules.Violation{Event: rules.Event{At: now, By: "b01"},
			History: []rules.Event{{}}, Over: 39 * ms}), true},
		"a time limit, exceeded by more": {w.excusedViolation(rules.Violation{Event: rules.Event{At: now, By: "b01"},
			History: []rules.Event{{}}, Over: 41 * ms}), false},
	} {
		if x.got != x.want {
			t.Errorf("%s: excused %v", of, x.got)
		}
	}
	if r := (&Report{Schedule: w.Schedule, Void: w.machineCauses}); len(w.machineCauses) != 3 ||
		r.Line()[len(r.Line())-len("late"):] != "late" {
		t.Errorf("%d: %s", len(w.machineCauses), r.Line())
	}
}

// A fault run that could not begin while the disk stalled is excused, whether the write has completed or not. A run
// that failed at its start with a disk on time is a failure.
func TestLateDiskExcuses(t *testing.T) {
	parties, err := fake.New(1)
	if err != nil {
		t.Fatal(err)
	}
	defer parties.Close()
	time.Sleep(40 * ms)
	w := &Scenario{World: parties, Schedule: &Schedule{Balancers: 1}}
	now := w.Now()
	for name, x := range map[string]struct {
		m    *machine
		void bool
	}{
		"on time":                     {&machine{disk: waits{{0, 0}, {now, now / 10}}}, false},
		"late":                        {&machine{disk: waits{{0, 0}, {now, now}}}, true},
		"a write in progress":         {&machine{disk: waits{{0, 0}}, writeSince: 1}, true},
		"a write that has just begun": {&machine{disk: waits{{0, 0}}, writeSince: now}, false},
	} {
		w.late.m = x.m
		if err := w.overloadError("no PONG"); (err != nil) != x.void {
			t.Errorf("%s: %v", name, err)
		}
	}
}
