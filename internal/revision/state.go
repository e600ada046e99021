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
	Name       string `json:"n"`
	Generation uint64 `json:"g"`
}

func (h Holder) String() string { return h.Name + "/" + strconv.FormatUint(h.Generation, 10) }

func (h Holder) compare(o Holder) int {
	return cmp.Or(cmp.Compare(h.Name, o.Name), cmp.Compare(h.Generation, o.Generation))
}

// Op is what a command does.
type Op string

// The commands. Those of a reign count only while it lasts.
const (
	OpBeginTerm Op = "reign"   // By coordinates from now on; ends every earlier reign
	OpJoin      Op = "join"    // Holder comes into the roster; Ended: no earlier process of its name is there any more
	OpLeave     Op = "leave"   // Holder has given its permission up for good; Ended: its process is over, and never comes again
	OpExpire    Op = "lapse"   // of a reign: Holder's permission is over for sure
	OpForget    Op = "forget"  // of a reign: an operator says that Name is off
	OpPropose   Op = "propose" // Text, or the text of revision Of, is to be the next revision after From
	OpAbort     Op = "end"     // of a reign: the proposal ends nowhere
	OpStop      Op = "stop"    // of a reign: all have said yes; nobody is granted anything until settle, resume or end
	OpResume    Op = "resume"  // of a reign: not all have stopped in time; the one in force is at work again
	OpCommit    Op = "settle"  // of a reign: all have stopped; the proposal is in force
	OpKeep      Op = "keep"    // of a reign: revision Of has stood its watch
)

// Totals are sums over members: newcomers and routed tasks asked for, and of these refused, failed and late.
type Totals struct {
	Requests int64 `json:"a,omitempty"`
	Rejected int64 `json:"r,omitempty"`
	Failed   int64 `json:"f,omitempty"`
	Late     int64 `json:"l,omitempty"`
}

func (f Totals) plus(o Totals) Totals {
	return Totals{f.Requests + o.Requests, f.Rejected + o.Rejected, f.Failed + o.Failed, f.Late + o.Late}
}

func (f Totals) minus(o Totals) Totals {
	return Totals{f.Requests - o.Requests, f.Rejected - o.Rejected, f.Failed - o.Failed, f.Late - o.Late}
}

// Command is one entry of the log.
type Command struct {
	Op              Op              `json:"op"`
	LeaderTerm      uint64          `json:"reign,omitempty"`
	By              string          `json:"by,omitempty"` // leader of a reign, operator of a proposal
	Holder          Holder          `json:"holder,omitzero"`
	HoldOnPartition bool            `json:"hold,omitempty"`
	Ended           bool            `json:"ended,omitempty"`
	Name            string          `json:"name,omitempty"`
	Key             string          `json:"key,omitempty"`
	Base            uint64          `json:"from,omitempty"`
	Source          uint64          `json:"of,omitempty"`
	Kind            Kind            `json:"kind,omitempty"`
	Text            json.RawMessage `json:"text,omitempty"` // as Encode gives it
	Hash            string          `json:"hash,omitempty"`
	Note            string          `json:"note,omitempty"`
	GuardFor        int64           `json:"watch,omitempty"`  // ns; 0 for none
	Deadline        int64           `json:"within,omitempty"` // ns; 0 for the leader's own
	ProposedAt      int64           `json:"at,omitempty"`     // ms of wall clock, for operators to read only
	KeepRevisions   int             `json:"keep,omitempty"`   // revisions of history
	KeepBytes       int64           `json:"keep_b,omitempty"` // bytes of history
	ProposalID      uint64          `json:"id,omitempty"`     // of the proposal meant
	Epoch           uint64          `json:"epoch,omitempty"`  // at which the coordinator decided
	HoldersVersion  uint64          `json:"roster,omitempty"` // version of the roster at which it did
	Members         []string        `json:"who,omitempty"`    // members that are the reason
	Reason          string          `json:"why,omitempty"`
	Before          Totals          `json:"before,omitzero"`
	Nonce           uint64          `json:"nonce,omitempty"` // by which the proposing process knows its own again
}

// Kind is how a revision came to be.
type Kind string

// The kinds.
const (
	KindProposed Kind = "propose"
	KindRollback Kind = "rollback"
	KindGuard    Kind = "guard"
)

// Revision is one of the history.
type Revision struct {
	Number     uint64          `json:"n"`
	ID         uint64          `json:"id,omitempty"` // of the proposal that it was
	Hash       string          `json:"hash"`
	Kind       Kind            `json:"kind"`
	Source     uint64          `json:"of,omitempty"` // whose text it has, of a rollback or the guard's
	Base       uint64          `json:"from"`
	Key        string          `json:"key"`
	By         string          `json:"by"`
	Note       string          `json:"note,omitempty"`
	ProposedAt int64           `json:"at"`
	Text       json.RawMessage `json:"text"`
}

// Proposal is the one under way.
type Proposal struct {
	Revision
	GuardFor int64 `json:"watch,omitempty"`
	Deadline int64 `json:"within,omitempty"`
	Stopped  bool  `json:"stopped,omitempty"`
}

// Outcome is what became of a proposal.
type Outcome struct {
	Key     string   `json:"key"`
	Number  uint64   `json:"n,omitempty"` // in force as this one, or 0: nowhere
	Members []string `json:"who,omitempty"`
	Reason  string   `json:"why,omitempty"`
}

// GuardWindow is the guard of the revision in force.
type GuardWindow struct {
	Number          uint64 `json:"n"`
	RollbackTo      uint64 `json:"back"` // to which the guard goes back
	Duration        int64  `json:"for"`  // ns
	Before          Totals `json:"before"`
	FailedRollbacks int    `json:"tries,omitempty"` // ways back that ended nowhere
	Kept            bool   `json:"kept,omitempty"`
}

// Bounds of the state.
const (
	maxOutcomes          = 1000
	maxFloors            = 2000
	maxEnded             = 1000
	MaxFailedRollbacks   = 5 // of the guard to go back
	defaultKeepRevisions = 1000
	defaultKeepBytes     = 8 << 20
)

// HolderEntry is what the roster says of a holder.
type HolderEntry struct {
	Holder
	HoldOnPartition bool `json:"hold,omitempty"`
}

// State is what the log's commands add up to.
type State struct {
	LeaderTerm     uint64            `json:"reign"`
	Leader         string            `json:"leader"`
	Epoch          uint64            `json:"epoch"`          // grows whenever who may route by what changes
	HoldersVersion uint64            `json:"roster"`         // grows whenever Holders changes
	Holders        []HolderEntry     `json:"holders"`        // by name and generation
	MinGenerations map[string]uint64 `json:"floors"`         // processes of a name before this generation have ended
	EndedProcesses []Holder          `json:"over,omitempty"` // processes that have ended, and were told so one by one
	LastProposal   uint64            `json:"last"`           // id of the last proposal
	Pending        *Proposal         `json:"pending"`
	History        []Revision        `json:"history"` // without holes; the last is in force
	Outcomes       []Outcome         `json:"outcomes"`
	Guard          *GuardWindow      `json:"watch"`

	bytes int64
}

// Result is what became of a command.
type Result struct {
	Err    error  // nil if it did what it says, or had been done already
	Number uint64 // of a proposal that was settled before
}

// NewState is that of a cluster in which nothing is settled: revision 0, the settings alone.
func NewState() *State {
	c := &Content{Form: Form}
	r := Revision{Hash: Hash(c), Kind: KindProposed, Text: Encode(c), Note: "the settings alone"}
	return &State{History: []Revision{r}, MinGenerations: map[string]uint64{}, Epoch: 1, bytes: int64(len(r.Text))}
}

// InForce is the last of the history.
func (s *State) InForce() *Revision { return &s.History[len(s.History)-1] }

// Stopped tells that nobody may be granted anything.
func (s *State) Stopped() bool { return s.Pending != nil && s.Pending.Stopped }

// Revision is revision n of the history.
func (s *State) Revision(n uint64) (*Revision, error) {
	first := s.History[0].Number
	switch {
	case n < first:
		return nil, &RevisionForgotten{n, first}
	case n > s.InForce().Number:
		return nil, &RevisionMissing{n, s.InForce().Number}
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

// HasEnded tells that a process is known to have ended, and is in the roster no more.
func (s *State) HasEnded(h Holder) bool {
	return !s.HasHolder(h) && (h.Generation < s.MinGenerations[h.Name] || slices.Contains(s.EndedProcesses, h))
}

// markEnded notes that a process has ended, so that a join of its which is settled later is refused.
func (s *State) markEnded(h Holder) {
	if h.Generation < s.MinGenerations[h.Name] || slices.Contains(s.EndedProcesses, h) {
		return
	}
	s.EndedProcesses = append(slices.Clip(s.EndedProcesses), h)
	s.EndedProcesses = s.EndedProcesses[max(0, len(s.EndedProcesses)-maxEnded):]
}

// HasHolder tells whether h is in the roster.
func (s *State) HasHolder(h Holder) bool { _, ok := s.indexOf(h); return ok }

func (s *State) indexOf(h Holder) (int, bool) {
	return slices.BinarySearchFunc(s.Holders, h, func(r HolderEntry, h Holder) int { return r.Holder.compare(h) })
}

// Apply takes the log's next command.
func (s *State) Apply(c Command) Result {
	switch c.Op {
	case OpExpire, OpForget, OpAbort, OpStop, OpResume, OpCommit, OpKeep:
		if c.LeaderTerm != s.LeaderTerm && !failpoint.On("old-reign") {
			return Result{Err: &StaleCommand{string(c.Op), "the reign it was decided in is over"}}
		}
	}
	switch c.Op {
	case OpBeginTerm:
		s.LeaderTerm++
		s.Leader = c.By
		return Result{Number: s.LeaderTerm}
	case OpJoin:
		return s.join(c)
	case OpLeave, OpExpire:
		if i, ok := s.indexOf(c.Holder); ok {
			s.Holders = slices.Delete(slices.Clone(s.Holders), i, i+1)
			s.HoldersVersion++
		}
		if c.Op == OpLeave && c.Ended {
			s.markEnded(c.Holder)
		}
		return Result{}
	case OpForget:
		left := slices.DeleteFunc(slices.Clone(s.Holders), func(r HolderEntry) bool { return r.Name == c.Name })
		if len(left) == len(s.Holders) {
			return Result{Err: &UnknownHolder{c.Name}}
		}
		s.Holders = left
		s.HoldersVersion++
		return Result{}
	case OpPropose:
		return s.propose(c)
	case OpKeep:
		if w := s.Guard; w != nil && w.Number == c.Source {
			kept := *w
			kept.Kept = true
			s.Guard = &kept
		}
		return Result{}
	}
	p := s.Pending // end, stop, resume and settle
	if p == nil || p.ID != c.ProposalID {
		return Result{Err: &StaleCommand{string(c.Op), "its proposal has ended"}}
	}
	if c.Epoch != s.Epoch || c.Op != OpAbort && p.Stopped == (c.Op == OpStop) {
		return Result{Err: &StaleCommand{string(c.Op), "it was decided before another step was settled"}}
	}
	if (c.Op == OpStop || c.Op == OpCommit) && c.HoldersVersion != s.HoldersVersion && !failpoint.On("roster-unseen") {
		return Result{Err: &StaleCommand{string(c.Op), "somebody has come or gone since it was decided"}}
	}
	if c.Op != OpStop || !failpoint.On("stop-same-epoch") {
		s.Epoch++
	}
	switch c.Op {
	case OpStop, OpResume:
		q := *p
		q.Stopped = c.Op == OpStop
		s.Pending = &q
	case OpAbort:
		s.Pending = nil
		s.addOutcome(Outcome{Key: p.Key, Members: c.Members, Reason: c.Reason})
		if p.Kind == KindGuard && s.Guard != nil {
			w := *s.Guard
			w.FailedRollbacks++
			s.Guard = &w
		}
	case OpCommit:
		s.commit(p, c)
	}
	return Result{}
}

func (s *State) join(c Command) Result {
	if c.Holder.Generation < s.MinGenerations[c.Holder.Name] {
		return Result{Err: &Superseded{c.Holder.Name, s.MinGenerations[c.Holder.Name]}}
	}
	if slices.Contains(s.EndedProcesses, c.Holder) { // settled late
		return Result{Err: &Superseded{c.Holder.Name, c.Holder.Generation + 1}}
	}
	if c.Ended {
		s.MinGenerations[c.Holder.Name] = c.Holder.Generation
		s.Holders = slices.DeleteFunc(slices.Clone(s.Holders), func(r HolderEntry) bool {
			return r.Name == c.Holder.Name && r.Generation < c.Holder.Generation
		})
	}
	if i, ok := s.indexOf(c.Holder); !ok {
		s.Holders = slices.Insert(slices.Clone(s.Holders), i, HolderEntry{c.Holder, c.HoldOnPartition})
	}
	s.HoldersVersion++
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
		return Result{Err: &ProposalPending{p.Key, p.Kind, p.By}}
	}
	if c.Base != now && !failpoint.On("from-unseen") {
		return Result{Err: &BaseChanged{c.Base, now, s.InForce().Hash}}
	}
	if w := s.Guard; w != nil && !w.Kept && w.FailedRollbacks < MaxFailedRollbacks && c.Kind == KindProposed {
		return Result{Err: &GuardActive{w.Number, w.Duration}}
	}
	r := Revision{Hash: c.Hash, Kind: c.Kind, Source: c.Source, Base: c.Base, Key: c.Key, By: c.By, Note: c.Note, ProposedAt: c.ProposedAt, Text: c.Text}
	if c.Kind != KindProposed {
		old, err := s.Revision(c.Source)
		if err != nil {
			return Result{Err: err}
		}
		r.Text, r.Hash, r.Note = old.Text, old.Hash, old.Note
	}
	s.LastProposal++
	r.ID = s.LastProposal
	s.Pending = &Proposal{Revision: r, GuardFor: c.GuardFor, Deadline: c.Deadline}
	return Result{}
}

func (s *State) commit(p *Proposal, c Command) {
	r := p.Revision
	back := s.InForce().Number
	r.Number = back + 1
	s.Pending, s.Guard = nil, nil
	s.History = append(s.History, r)
	s.bytes += int64(len(r.Text))
	s.addOutcome(Outcome{Key: p.Key, Number: r.Number})
	if p.GuardFor > 0 {
		s.Guard = &GuardWindow{Number: r.Number, RollbackTo: back, Duration: p.GuardFor, Before: c.Before}
	}
	keep, most := cmp.Or(c.KeepRevisions, defaultKeepRevisions), cmp.Or(c.KeepBytes, defaultKeepBytes)
	drop := 0
	for n := len(s.History); n-drop > 2 && (n-drop > keep || s.bytes > most); drop++ {
		s.bytes -= int64(len(s.History[drop].Text))
	}
	s.History = s.History[drop:]
}

func (s *State) addOutcome(o Outcome) {
	s.Outcomes = append(s.Outcomes, o)
	if drop := len(s.Outcomes) - maxOutcomes; drop > 0 {
		s.Outcomes = s.Outcomes[drop:]
	}
}

// Clone is a copy that shares nothing that Apply changes.
func (s *State) Clone() *State {
	c := *s
	c.History, c.Outcomes, c.EndedProcesses = slices.Clip(s.History), slices.Clip(s.Outcomes), slices.Clip(s.EndedProcesses)
	c.MinGenerations = make(map[string]uint64, len(s.MinGenerations))
	for k, v := range s.MinGenerations {
		c.MinGenerations[k] = v
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
		return &Corrupt{err.Error()}
	}
	if len(n.History) == 0 {
		return &Corrupt{"it has no revision in force"}
	}
	if n.MinGenerations == nil {
		n.MinGenerations = map[string]uint64{}
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
		return c, &Corrupt{err.Error()}
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
