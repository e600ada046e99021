package faultinjection

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Durability is the invariant that settled revisions are never lost or altered: a number stands for one content at all
// times and at all balancers, each request that was reported as settled is in the history of every balancer exactly
// once, under the reported number, and the numbers in the history have no gap.
type Durability struct{ finalOnly }

// Entry is one revision in a history.
type Entry struct {
	Number uint64
	Hash   string
	Key    string
	Kind   string // propose, rollback-of-N, guard-back-to-N
}

// Judge reads and compares the histories.
func (Durability) Judge(w *Scenario) []string {
	var histories [][]Entry
	for i := range w.Schedule.Balancers {
		h, err := w.history(i)
		if err != nil {
			return []string{fmt.Sprintf("%s does not return its history: %v", w.name(i), err)}
		}
		histories = append(histories, h)
	}
	return append(checkHistories(w.record.Works(), w.record.Ops(), histories, w.name), w.record.unparsed...)
}

// history reads the history of balancer i.
func (w *Scenario) history(i int) (list []Entry, err error) {
	for after := uint64(0); ; {
		a, err := callLine(w.managementAddr(i), fmt.Sprintf("revision list %d", after), callWait)
		// Retries as an operator does.
		for end := w.Now() + operatorWait; (err != nil || isRetryable(a.Text)) && w.Now() < end &&
			pause(w.over, 50*time.Millisecond); {
			a, err = callLine(w.managementAddr(i), fmt.Sprintf("revision list %d", after), callWait)
		}
		if err != nil || !a.OK {
			return nil, &NoAnswer{fmt.Sprint("revision list ", after), a.Text, err}
		}
		if a.Text == "-" || a.Text == "" {
			return list, nil
		}
		head, _, _ := strings.Cut(a.Text, " ")
		n, err := strconv.ParseUint(head, 10, 64)
		if err != nil || n <= after {
			return nil, &NoAnswer{fmt.Sprint("revision list ", after), a.Text, nil}
		}
		f := fields(a.Text)
		after = n
		list = append(list, Entry{n, f["hash"], f["key"], f["kind"]})
	}
}

// checkHistories compares the histories of all balancers with each other, with the periods of routing and with the
// answers to the operators' requests. It returns at most five violations.
func checkHistories(works []Work, ops []Op, histories [][]Entry, name func(int) string) (broken []string) {
	hashes := map[uint64]map[string]bool{}
	mark := func(n uint64, hash string) {
		if hashes[n] == nil {
			hashes[n] = map[string]bool{}
		}
		hashes[n][hash] = true
	}
	for _, k := range works {
		mark(k.Number, k.Hash)
	}
	for i, h := range histories {
		keys := map[string]uint64{}
		for j, e := range h {
			mark(e.Number, e.Hash)
			if other := keys[e.Key]; e.Key != "" && other > 0 {
				broken = append(broken, fmt.Sprintf("%s has request %s settled twice, as %d and %d", name(i), e.Key, other,
					e.Number))
			}
			keys[e.Key] = e.Number
			if j > 0 && e.Number != h[j-1].Number+1 {
				broken = append(broken, fmt.Sprintf("%s has revision %d directly after %d", name(i), e.Number, h[j-1].Number))
			}
		}
		for _, o := range ops {
			if o.Result == Settled && keys[o.Key] != o.Settled {
				broken = append(broken, fmt.Sprintf("request %s was reported as settled as %d; %s has it as %d", o.Key, o.Settled,
					name(i), keys[o.Key]))
			}
			if (o.Result == Ended || o.Result == Refused && o.From >= 0) && keys[o.Key] > 0 {
				broken = append(broken, fmt.Sprintf("request %s was answered %q; %s has it settled as %d", o.Key, o.Text, name(i),
					keys[o.Key]))
			}
		}
		if len(h) != len(histories[0]) {
			broken = append(broken, fmt.Sprintf("%s has %d revisions, %s has %d", name(0), len(histories[0]), name(i), len(h)))
		}
	}
	for _, o := range ops {
		later := Op{}
		if later.recordAnswer(o.Again); o.Again.Text != "" && (later.Result != o.Result || later.Settled != o.Settled) &&
			(later.Result != Unknown || !isRetryable(o.Again.Text)) {
			broken = append(broken, fmt.Sprintf("request %s was answered %q, and when submitted again %q", o.Key, o.Text,
				o.Again.Text))
		}
	}
	for n, list := range hashes {
		if len(list) > 1 {
			broken = append(broken, fmt.Sprintf("revision %d is reported with several contents: %s", n,
				strings.Join(slices.Sorted(maps.Keys(list)), ", ")))
		}
	}
	slices.Sort(broken)
	return broken[:min(5, len(broken))]
}

// NoAnswer is the error that a balancer gave no valid answer to a call.
type NoAnswer struct {
	Call, Answer string
	Cause        error
}

// Error returns the call, its answer and the cause.
func (e *NoAnswer) Error() string { return fmt.Sprintf("%s: %q %v", e.Call, e.Answer, e.Cause) }

// Unwrap returns the cause, if there is one.
func (e *NoAnswer) Unwrap() error { return e.Cause }

// Hint returns what an operator can do.
func (e *NoAnswer) Hint() string {
	return "see what the balancer at that address logs, and whether it is of this version"
}
