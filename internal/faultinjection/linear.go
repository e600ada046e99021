package faultinjection

import (
	"fmt"
	"sort"
	"strings"
	"time"

	"github.com/anishathalye/porcupine"
)

// Linearizability is the invariant that the operators' calls behave as operations on one compare-and-set register:
// there is a sequential order, with each operation between its call and its answer, in which every answer is correct. A
// request with an unknown outcome may be in that order or not.
type Linearizability struct{ finalOnly }

// Judge checks the calls, and with them the revisions in the history that no call reported as settled, such as the
// rollback of a guarded change.
func (Linearizability) Judge(w *Scenario) []string {
	h, err := w.history(0)
	if err != nil {
		return nil // Durability reports it
	}
	return checkLinear(w.record.Ops(), h)
}

// casRegister is the state of the model: the revision in force, and the outcome of each key.
type casRegister struct {
	inForce uint64
	done    string // " key=number" for each settled key, " key=0" for each ended one, sorted
}

func (r casRegister) outcome(key string) (uint64, bool) {
	_, rest, ok := strings.Cut(r.done, " "+key+"=")
	var n uint64
	_, _ = fmt.Sscanf(rest, "%d", &n)
	return n, ok
}

func (r casRegister) withOutcome(key string, n uint64) casRegister {
	list := append(strings.Fields(r.done), fmt.Sprintf("%s=%d", key, n))
	sort.Strings(list)
	r.done = " " + strings.Join(list, " ")
	if n > 0 {
		r.inForce = n
	}
	return r
}

var registerModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{casRegister{}} },
	Step: func(state, input, _ any) []any {
		r, o := state.(casRegister), input.(Op)
		n, done := r.outcome(o.Key)
		fits := !done && (o.From < 0 || uint64(o.From) == r.inForce)
		switch o.Result {
		case Settled:
			if done && n == o.Settled {
				return []any{r}
			}
			if fits && o.Settled == r.inForce+1 {
				return []any{r.withOutcome(o.Key, o.Settled)}
			}
			return nil
		case Refused:
			if o.InForce == r.inForce && (o.From < 0 || uint64(o.From) != r.inForce) {
				return []any{r}
			}
			return nil
		case Unknown:
			if fits {
				return []any{r, r.withOutcome(o.Key, r.inForce+1)}
			}
			return []any{r}
		case Ended:
			if done && n > 0 {
				return nil
			}
			if !done {
				r = r.withOutcome(o.Key, 0)
			}
			return []any{r}
		}
		return []any{r}
	},
	Equal: func(a, b any) bool { return a == b },
	DescribeOperation: func(input, _ any) string {
		o := input.(Op)
		return fmt.Sprintf("%s from %d: %d %d %d", o.Key, o.From, o.Result, o.Settled, o.InForce)
	},
}

func checkLinear(ops []Op, history []Entry) []string {
	settled := map[string]bool{}
	byNumber := map[uint64]Op{}
	for _, o := range ops {
		if o.Result == Settled {
			settled[o.Key], byNumber[o.Settled] = true, o
		}
	}
	var list []porcupine.Operation
	add := func(o Op) {
		list = append(list, porcupine.Operation{ClientId: len(list), Input: o, Call: int64(o.Called),
			Return: int64(o.Returned)})
	}
	for _, e := range history {
		if settled[e.Key] {
			continue
		}
		o := Op{Key: e.Key, From: -1, Result: Settled, Settled: e.Number, Returned: unbounded}
		for i := range ops { // its operator gave up before the answer
			if ops[i].Key == e.Key {
				o.From, o.Called = ops[i].From, ops[i].Called
			}
		}
		settled[e.Key] = true
		add(o)
	}
	for _, o := range ops {
		if o.Result == Rejected || o.Result == Unknown { // an unknown one that isn't in the history had no effect
			continue
		}
		add(o)
	}
	model := registerModel.ToModel()
	switch porcupine.CheckOperationsTimeout(model, list, 20*time.Second) {
	case porcupine.Illegal:
		lines := []string{"no sequential order of the operators' calls explains all answers:"}
		for _, o := range list {
			op := o.Input.(Op)
			lines = append(lines, fmt.Sprintf("  %v to %v: %s %s", time.Duration(o.Call).Round(time.Millisecond),
				time.Duration(min(o.Return, int64(time.Hour))).Round(time.Millisecond),
				registerModel.DescribeOperation(op, nil), op.Text))
		}
		return []string{strings.Join(lines, "\n")}
	case porcupine.Unknown:
		return []string{"the linearizability check of the operators' calls did not finish within 20 s"}
	}
	return nil
}
