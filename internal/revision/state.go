package revision

// This file owns what is settled: the state that every member builds from the same log of commands. It decides nothing by time and
// asks nobody; a command that doesn't fit the state any more is refused here, whoever proposed it, so that a coordinator that was
// deposed, or a command that was settled late or twice, can do no harm. It must never do anything that isn't in the log.

import (
	"cmp"
	"encoding/json"
	"slices"
	"strconv"

	"oatloft/internal/failpoint"
)

// Holder is a process that may hold the permission to route newcomers: a member by name, and which of its processes.
type Holder struct {
	Name string `json:"n"`
	Gen  uint64 `json:"g"`
}

func (h Holder) String() string { return h.Name + "/" + strconv.FormatUint(h.Gen, 10) }

func (h Holder) compare(o Holder) int {
	return cmp.Or(cmp.Compare(h.Name, o.Name), cmp.Compare(h.Gen, o.Gen))
}

// Op is what a command does.
type Op string

// The commands. Those of a reign count only while it lasts.
const (
	OpReign   Op = "reign"   // By coordinates from now on; ends every earlier reign
	OpJoin    Op = "join"    // Holder comes into the roster; Ended: no earlier process of its name is there any more
	OpLeave   Op = "leave"   // Holder has given its permission up for good; Ended: its process is over, and never comes again
	OpLapse   Op = "lapse"   // of a reign: Holder's permission is over for sure
	OpForget  Op = "forget"  // of a reign: an operator says that Name is off
	OpPropose Op = "propose" // Text, or the text of revision Of, is to be the next revision after From
	OpEnd     Op = "end"     // of a reign: the proposal ends nowhere
	OpStop    Op = "stop"    // of a reign: all have said yes; nobody is granted anything until settle, resume or end
	OpResume  Op = "resume"  // of a reign: not all have stopped in time; the one in force is at work again
	OpSettle  Op = "settle"  // of a reign: all have stopped; the proposal is in force
	OpKeep    Op = "keep"    // of a reign: revision Of has stood its watch
)

// Figures are sums over members: newcomers and routed tasks asked for, and of these refused, failed and late.
type Figures struct {
	Asked   int64 `json:"a,omitempty"`
	Refused int64 `json:"r,omitempty"`
	Failed  int64 `json:"f,omitempty"`
	Late    int64 `json:"l,omitempty"`
}

func (f Figures) plus(o Figures) Figures {
	return Figures{f.Asked + o.Asked, f.Refused + o.Refused, f.Failed + o.Failed, f.Late + o.Late}
}

func (f Figures) minus(o Figures) Figures {
	return Figures{f.Asked - o.Asked, f.Refused - o.Refused, f.Failed - o.Failed, f.Late - o.Late}
}

// Command is one entry of the log.
type Command struct {
	Op     Op              `json:"op"`
	Reign  uint64          `json:"reign,omitempty"`
	By     string          `json:"by,omitempty"` // leader of a reign, operator of a proposal
	Holder Holder          `json:"holder,omitzero"`
	Hold   bool            `json:"hold,omitempty"`
	Ended  bool            `json:"ended,omitempty"`
	Name   string          `json:"name,omitempty"`
	Key    string          `json:"key,omitempty"`
	From   uint64          `json:"from,omitempty"`
	Of     uint64          `json:"of,omitempty"`
	Kind   Kind            `json:"kind,omitempty"`
	Text   json.RawMessage `json:"text,omitempty"` // as Encode gives it
	Hash   string          `json:"hash,omitempty"`
	Note   string          `json:"note,omitempty"`
	Watch  int64           `json:"watch,omitempty"`  // ns; 0 for none
	Within int64           `json:"within,omitempty"` // ns; 0 for the leader's own
	At     int64           `json:"at,omitempty"`     // ms of wall clock, for operators to read only
	Keep   int             `json:"keep,omitempty"`   // revisions of history
	KeepB  int64           `json:"keep_b,omitempty"` // bytes of history
	ID     uint64          `json:"id,omitempty"`     // of the proposal meant
	Epoch  uint64          `json:"epoch,omitempty"`  // at which the coordinator decided
	Roster uint64          `json:"roster,omitempty"` // version of the roster at which it did
	Who    []string        `json:"who,omitempty"`    // members that are the reason
	Why    string          `json:"why,omitempty"`
	Before Figures         `json:"before,omitzero"`
	Nonce  uint64          `json:"nonce,omitempty"` // by which the proposing process knows its own again
}

// Kind is how a revision came to be.
type Kind string

// The kinds.
const (
	Proposed Kind = "propose"
	Rollback Kind = "rollback"
	Guard    Kind = "guard"
)

// Revision is one of the history.
type Revision struct {
	Number uint64          `json:"n"`
	ID     uint64          `json:"id,omitempty"` // of the proposal that it was
	Hash   string          `json:"hash"`
	Kind   Kind            `json:"kind"`
	Of     uint64          `json:"of,omitempty"` // whose text it has, of a rollback or the guard's
	From   uint64          `json:"from"`
	Key    string          `json:"key"`
	By     string          `json:"by"`
	Note   string          `json:"note,omitempty"`
	At     int64           `json:"at"`
	Text   json.RawMessage `json:"text"`
}

// Proposal is the one under way.
type Proposal struct {
	Revision
	Watch   int64 `json:"watch,omitempty"`
	Within  int64 `json:"within,omitempty"`
	Stopped bool  `json:"stopped,omitempty"`
}

// Outcome is what became of a proposal.
type Outcome struct {
	Key    string   `json:"key"`
	Number uint64   `json:"n,omitempty"` // in force as this one, or 0: nowhere
	Who    []string `json:"who,omitempty"`
	Why    string   `json:"why,omitempty"`
}

// Watch is the guard of the revision in force.
type Watch struct {
	Number uint64  `json:"n"`
	Back   uint64  `json:"back"` // to which the guard goes back
	For    int64   `json:"for"`  // ns
	Before Figures `json:"before"`
	Tries  int     `json:"tries,omitempty"` // ways back that ended nowhere
	Kept   bool    `json:"kept,omitempty"`
}

// Bounds of the state.
const (
	mostOutcomes = 1000
	mostFloors   = 2000
	mostOver     = 1000
	MostTries    = 5 // of the guard to go back
	defaultKeep  = 1000
	defaultBytes = 8 << 20
)

// Rostered is what the roster says of a holder.
type Rostered struct {
	Holder
	Hold bool `json:"hold,omitempty"`
}

// State is what the log's commands add up to.
type State struct {
	Reign    uint64            `json:"reign"`
	Leader   string            `json:"leader"`
	Epoch    uint64            `json:"epoch"`          // grows whenever who may route by what changes
	Roster   uint64            `json:"roster"`         // grows whenever Holders changes
	Holders  []Rostered        `json:"holders"`        // by name and generation
	Floors   map[string]uint64 `json:"floors"`         // processes of a name before this generation have ended
	Over     []Holder          `json:"over,omitempty"` // processes that have ended, and were told so one by one
	Last     uint64            `json:"last"`           // id of the last proposal
	Pending  *Proposal         `json:"pending"`
	History  []Revision        `json:"history"` // without holes; the last is in force
	Outcomes []Outcome         `json:"outcomes"`
	Watch    *Watch            `json:"watch"`

	bytes int64
}

// Result is what became of a command.
type Result struct {
	Refused error  // nil if it did what it says, or had been done already
	Number  uint64 // of a proposal that was settled before
}

// NewState is that of a cluster in which nothing is settled: revision 0, the settings alone.
func NewState() *State {
	c := &Content{Form: Form}
	r := Revision{Hash: Hash(c), Kind: Proposed, Text: Encode(c), Note: "the settings alone"}
	return &State{History: []Revision{r}, Floors: map[string]uint64{}, Epoch: 1, bytes: int64(len(r.Text))}
}

// InForce is the last of the history.
func (s *State) InForce() *Revision { return &s.History[len(s.History)-1] }

// Stopped tells that nobody may be granted anything.
func (s *State) Stopped() bool { return s.Pending != nil && s.Pending.Stopped }

// Find is revision n of the history.
func (s *State) Find(n uint64) (*Revision, error) {
	first := s.History[0].Number
	switch {
	case n < first:
		return nil, &Forgotten{n, first}
	case n > s.InForce().Number:
		return nil, &Missing{n, s.InForce().Number}
	}
	return &s.History[n-first], nil
}

// Outcome is what became of the proposal with this key; nil if none has ended under it, or that has been forgotten.
func (s *State) Outcome(key string) *Outcome {
	for i := len(s.Outcomes) - 1; i >= 0; i-- {
		if s.Outcomes[i].Key == key {
			return &s.Outcomes[i]
		}
	}
	for i := len(s.History) - 1; i >= 0; i-- {
		if r := &s.History[i]; r.Key == key && r.Number > 0 {
			return &Outcome{Key: key, Number: r.Number}
		}
	}
	return nil
}

// Ended tells that a process is known to have ended, and is in the roster no more.
func (s *State) Ended(h Holder) bool {
	return !s.Has(h) && (h.Gen < s.Floors[h.Name] || slices.Contains(s.Over, h))
}

// over notes that a process has ended, so that a join of its which is settled later is refused.
func (s *State) over(h Holder) {
	if h.Gen < s.Floors[h.Name] || slices.Contains(s.Over, h) {
		return
	}
	s.Over = append(slices.Clip(s.Over), h)
	s.Over = s.Over[max(0, len(s.Over)-mostOver):]
}

// Has tells whether h is in the roster.
func (s *State) Has(h Holder) bool { _, ok := s.at(h); return ok }

func (s *State) at(h Holder) (int, bool) {
	return slices.BinarySearchFunc(s.Holders, h, func(r Rostered, h Holder) int { return r.Holder.compare(h) })
}

// Apply takes the log's next command.
func (s *State) Apply(c Command) Result {
	switch c.Op {
	case OpLapse, OpForget, OpEnd, OpStop, OpResume, OpSettle, OpKeep:
		if c.Reign != s.Reign && !failpoint.On("old-reign") {
			return Result{Refused: &Stale{string(c.Op), "the reign it was decided in is over"}}
		}
	}
	switch c.Op {
	case OpReign:
		s.Reign++
		s.Leader = c.By
		return Result{Number: s.Reign}
	case OpJoin:
		return s.join(c)
	case OpLeave, OpLapse:
		if i, ok := s.at(c.Holder); ok {
			s.Holders = slices.Delete(slices.Clone(s.Holders), i, i+1)
			s.Roster++
		}
		if c.Op == OpLeave && c.Ended {
			s.over(c.Holder)
		}
		return Result{}
	case OpForget:
		left := slices.DeleteFunc(slices.Clone(s.Holders), func(r Rostered) bool { return r.Name == c.Name })
		if len(left) == len(s.Holders) {
			return Result{Refused: &NoMember{c.Name}}
		}
		s.Holders = left
		s.Roster++
		return Result{}
	case OpPropose:
		return s.propose(c)
	case OpKeep:
		if w := s.Watch; w != nil && w.Number == c.Of {
			kept := *w
			kept.Kept = true
			s.Watch = &kept
		}
		return Result{}
	}
	p := s.Pending // end, stop, resume and settle
	if p == nil || p.ID != c.ID {
		return Result{Refused: &Stale{string(c.Op), "its proposal has ended"}}
	}
	if c.Epoch != s.Epoch || c.Op != OpEnd && p.Stopped == (c.Op == OpStop) {
		return Result{Refused: &Stale{string(c.Op), "it was decided before another step was settled"}}
	}
	if (c.Op == OpStop || c.Op == OpSettle) && c.Roster != s.Roster && !failpoint.On("roster-unseen") {
		return Result{Refused: &Stale{string(c.Op), "somebody has come or gone since it was decided"}}
	}
	if c.Op != OpStop || !failpoint.On("stop-same-epoch") {
		s.Epoch++
	}
	switch c.Op {
	case OpStop, OpResume:
		q := *p
		q.Stopped = c.Op == OpStop
		s.Pending = &q
	case OpEnd:
		s.Pending = nil
		s.ended(Outcome{Key: p.Key, Who: c.Who, Why: c.Why})
		if p.Kind == Guard && s.Watch != nil {
			w := *s.Watch
			w.Tries++
			s.Watch = &w
		}
	case OpSettle:
		s.settle(p, c)
	}
	return Result{}
}

func (s *State) join(c Command) Result {
	if c.Holder.Gen < s.Floors[c.Holder.Name] {
		return Result{Refused: &Superseded{c.Holder.Name, s.Floors[c.Holder.Name]}}
	}
	if slices.Contains(s.Over, c.Holder) { // settled late
		return Result{Refused: &Superseded{c.Holder.Name, c.Holder.Gen + 1}}
	}
	if c.Ended {
		s.Floors[c.Holder.Name] = c.Holder.Gen
		s.Holders = slices.DeleteFunc(slices.Clone(s.Holders), func(r Rostered) bool {
			return r.Name == c.Holder.Name && r.Gen < c.Holder.Gen
		})
	}
	if i, ok := s.at(c.Holder); !ok {
		s.Holders = slices.Insert(slices.Clone(s.Holders), i, Rostered{c.Holder, c.Hold})
	}
	s.Roster++
	return Result{}
}

func (s *State) propose(c Command) Result {
	if o := s.Outcome(c.Key); o != nil && !failpoint.On("key-unseen") {
		return Result{Number: o.Number}
	}
	now := s.InForce().Number
	if p := s.Pending; p != nil {
		if p.Key == c.Key {
			return Result{}
		}
		return Result{Refused: &Busy{p.Key, p.Kind, p.By}}
	}
	if c.From != now && !failpoint.On("from-unseen") {
		return Result{Refused: &Moved{c.From, now, s.InForce().Hash}}
	}
	if w := s.Watch; w != nil && !w.Kept && w.Tries < MostTries && c.Kind == Proposed {
		return Result{Refused: &Watched{w.Number, w.For}}
	}
	r := Revision{Hash: c.Hash, Kind: c.Kind, Of: c.Of, From: c.From, Key: c.Key, By: c.By, Note: c.Note, At: c.At, Text: c.Text}
	if c.Kind != Proposed {
		old, err := s.Find(c.Of)
		if err != nil {
			return Result{Refused: err}
		}
		r.Text, r.Hash, r.Note = old.Text, old.Hash, old.Note
	}
	s.Last++
	r.ID = s.Last
	s.Pending = &Proposal{Revision: r, Watch: c.Watch, Within: c.Within}
	return Result{}
}

func (s *State) settle(p *Proposal, c Command) {
	r := p.Revision
	back := s.InForce().Number
	r.Number = back + 1
	s.Pending, s.Watch = nil, nil
	s.History = append(s.History, r)
	s.bytes += int64(len(r.Text))
	s.ended(Outcome{Key: p.Key, Number: r.Number})
	if p.Watch > 0 {
		s.Watch = &Watch{Number: r.Number, Back: back, For: p.Watch, Before: c.Before}
	}
	keep, most := cmp.Or(c.Keep, defaultKeep), cmp.Or(c.KeepB, defaultBytes)
	drop := 0
	for n := len(s.History); n-drop > 2 && (n-drop > keep || s.bytes > most); drop++ {
		s.bytes -= int64(len(s.History[drop].Text))
	}
	s.History = s.History[drop:]
}

func (s *State) ended(o Outcome) {
	s.Outcomes = append(s.Outcomes, o)
	if drop := len(s.Outcomes) - mostOutcomes; drop > 0 {
		s.Outcomes = s.Outcomes[drop:]
	}
}

// Clone is a copy that shares nothing that Apply changes.
func (s *State) Clone() *State {
	c := *s
	c.History, c.Outcomes, c.Over = slices.Clip(s.History), slices.Clip(s.Outcomes), slices.Clip(s.Over)
	c.Floors = make(map[string]uint64, len(s.Floors))
	for k, v := range s.Floors {
		c.Floors[k] = v
	}
	return &c
}

// Snapshot is the whole state.
func (s *State) Snapshot() []byte {
	b, err := json.Marshal(s)
	if err != nil { // a text that is no JSON was let in: Command.Sound bars it
		panic(err)
	}
	return b
}

// Restore takes a snapshot for all that was before.
func (s *State) Restore(b []byte) error {
	n := &State{}
	if err := json.Unmarshal(b, n); err != nil {
		return &Torn{err.Error()}
	}
	if len(n.History) == 0 {
		return &Torn{"it has no revision in force"}
	}
	if n.Floors == nil {
		n.Floors = map[string]uint64{}
	}
	for i := range n.History {
		n.bytes += int64(len(n.History[i].Text))
	}
	*s = *n
	return nil
}

// ReadCommand is the command of a log's entry. One that can't be read is refused by all alike, and does nothing.
func ReadCommand(entry []byte) (Command, error) {
	var c Command
	if err := json.Unmarshal(entry, &c); err != nil {
		return c, &Torn{err.Error()}
	}
	return c, nil
}

// Entry is the command as it stands in the log.
func (c Command) Entry() []byte {
	b, err := json.Marshal(c)
	if err != nil {
		panic(err) // only a text that Encode didn't write
	}
	return b
}
