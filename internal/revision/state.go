package revision

import (
	"cmp"
	"encoding/json"
	"maps"
	"slices"

	"oatloft/internal/failpoint"
)

// State is the replicated state that every member builds from the same log of commands. It depends on nothing but the
// log, in particular not on time. Apply rejects a command that no longer matches the state, whoever proposed it, so
// that a deposed leader, or a command that is committed late or twice, can do no harm.
type State struct {
	LeaderTerm     uint64            `json:"reign"`
	Leader         string            `json:"leader"`
	Epoch          uint64            `json:"epoch"`          // increases when the right to place requests may change
	HoldersVersion uint64            `json:"roster"`         // increases whenever Holders changes
	Holders        []HolderEntry     `json:"holders"`        // sorted by name and generation
	MinGenerations map[string]uint64 `json:"floors"`         // by name: processes of earlier generations have ended
	EndedProcesses []Holder          `json:"over,omitempty"` // processes reported as ended individually
	LastProposal   uint64            `json:"last"`           // id of the last proposal
	Pending        *Proposal         `json:"pending"`
	History        []Revision        `json:"history"` // consecutive numbers; the last one is in force
	Outcomes       []Outcome         `json:"outcomes"`
	Guard          *GuardWindow      `json:"watch"`

	historyBytes int64 // of the texts in History
}

// Result is the result of applying a command.
type Result struct {
	Err    error  // nil if the command took effect or had taken effect before
	Number uint64 // of the revision of a proposal committed earlier, or of the term that begins
}

// NewState returns the state of a cluster without any committed command: revision 0, which equals the settings.
func NewState() *State {
	c := &Content{FormatVersion: FormatVersion}
	r := Revision{Hash: Hash(c), Kind: KindProposed, Text: Encode(c), Note: "the settings alone"}
	return &State{History: []Revision{r}, MinGenerations: map[string]uint64{}, Epoch: 1, historyBytes: int64(len(r.Text))}
}

// InForce returns the revision in force, the last one in the history.
func (s *State) InForce() *Revision { return &s.History[len(s.History)-1] }

// Stopped reports whether granting leases is stopped.
func (s *State) Stopped() bool { return s.Pending != nil && s.Pending.Stopped }

// Revision returns revision n of the history. The error is a *NotRetained or a *NotFound.
func (s *State) Revision(n uint64) (*Revision, error) {
	first := s.History[0].Number
	switch {
	case n < first:
		return nil, &NotRetained{n, first}
	case n > s.InForce().Number:
		return nil, &NotFound{n, s.InForce().Number}
	}
	return &s.History[n-first], nil
}

// Outcome returns the outcome of the proposal with this key, or nil if there was none or its outcome is no longer kept.
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

// HasEnded reports whether a process is known to have ended and is no longer listed.
func (s *State) HasEnded(h Holder) bool {
	return !s.HasHolder(h) && (h.Generation < s.MinGenerations[h.Name] || slices.Contains(s.EndedProcesses, h))
}

// markEnded records that a process has ended, so that its join is rejected if it is committed later.
func (s *State) markEnded(h Holder) {
	if h.Generation < s.MinGenerations[h.Name] || slices.Contains(s.EndedProcesses, h) {
		return
	}
	s.EndedProcesses = append(slices.Clip(s.EndedProcesses), h)
	s.EndedProcesses = s.EndedProcesses[max(0, len(s.EndedProcesses)-maxEnded):]
}

// HasHolder reports whether a holder is listed.
func (s *State) HasHolder(h Holder) bool { _, ok := s.indexOf(h); return ok }

func (s *State) indexOf(h Holder) (int, bool) {
	return slices.BinarySearchFunc(s.Holders, h, func(r HolderEntry, h Holder) int { return r.compare(h) })
}

// Apply applies the next command of the log.
func (s *State) Apply(c Command) Result {
	if c.isTermBound() && c.LeaderTerm != s.LeaderTerm && !failpoint.On("old-reign") {
		return Result{Err: &StaleCommand{string(c.Op), "the leader term that it belongs to is over"}}
	}
	switch c.Op {
	case OpBeginTerm:
		s.LeaderTerm++
		s.Leader = c.By
		return Result{Number: s.LeaderTerm}
	case OpJoin:
		return Result{Err: s.join(c)}
	case OpLeave, OpExpire:
		s.remove(c.Holder)
		if c.Op == OpLeave && c.Ended {
			s.markEnded(c.Holder)
		}
		return Result{}
	case OpForget:
		return Result{Err: s.forget(c.Name)}
	case OpPropose:
		return s.propose(c)
	case OpEndGuard:
		s.endGuard(c.Source)
		return Result{}
	}
	return Result{Err: s.advance(c)}
}

// isTermBound reports whether a command is valid only during the leader term in which it was decided.
func (c Command) isTermBound() bool {
	switch c.Op {
	case OpExpire, OpForget, OpAbort, OpStop, OpResume, OpCommit, OpEndGuard:
		return true
	}
	return false
}

func (s *State) join(c Command) error {
	h := c.Holder
	if h.Generation < s.MinGenerations[h.Name] {
		return &Superseded{h.Name, s.MinGenerations[h.Name]}
	}
	if slices.Contains(s.EndedProcesses, h) { // the join was committed late
		return &Superseded{h.Name, h.Generation + 1}
	}
	if c.Ended {
		s.MinGenerations[h.Name] = h.Generation
		s.Holders = slices.DeleteFunc(slices.Clone(s.Holders), func(e HolderEntry) bool {
			return e.Name == h.Name && e.Generation < h.Generation
		})
	}
	if i, listed := s.indexOf(h); !listed {
		s.Holders = slices.Insert(slices.Clone(s.Holders), i, HolderEntry{h, c.KeepLeaseOnPartition})
	}
	s.HoldersVersion++
	return nil
}

func (s *State) remove(h Holder) {
	if i, listed := s.indexOf(h); listed {
		s.Holders = slices.Delete(slices.Clone(s.Holders), i, i+1)
		s.HoldersVersion++
	}
}

func (s *State) forget(name string) error {
	remaining := slices.DeleteFunc(slices.Clone(s.Holders), func(e HolderEntry) bool { return e.Name == name })
	if len(remaining) == len(s.Holders) {
		return &UnknownHolder{name}
	}
	s.Holders = remaining
	s.HoldersVersion++
	return nil
}

func (s *State) propose(c Command) Result {
	if o := s.Outcome(c.Key); o != nil && !failpoint.On("key-unseen") {
		return Result{Number: o.Number}
	}
	inForce := s.InForce()
	if p := s.Pending; p != nil {
		if p.Key == c.Key {
			return Result{}
		}
		return Result{Err: &ProposalPending{p.Key, p.Kind, p.By}}
	}
	if c.Base != inForce.Number && !failpoint.On("from-unseen") {
		return Result{Err: &BaseChanged{c.Base, inForce.Number, inForce.Hash}}
	}
	if g := s.Guard; g != nil && !g.Ended && g.FailedRollbacks < MaxFailedRollbacks && c.Kind == KindProposed {
		return Result{Err: &GuardActive{g.Number, g.Duration}}
	}
	r := Revision{
		Hash:       c.Hash,
		Kind:       c.Kind,
		Source:     c.Source,
		Base:       c.Base,
		Key:        c.Key,
		By:         c.By,
		Note:       c.Note,
		ProposedAt: c.ProposedAt,
		Text:       c.Text,
	}
	if c.Kind != KindProposed {
		source, err := s.Revision(c.Source)
		if err != nil {
			return Result{Err: err}
		}
		r.Text, r.Hash, r.Note = source.Text, source.Hash, source.Note
	}
	s.LastProposal++
	r.ID = s.LastProposal
	s.Pending = &Proposal{Revision: r, GuardDuration: c.GuardDuration, Deadline: c.Deadline}
	return Result{}
}

// endGuard ends the guard of a revision.
func (s *State) endGuard(number uint64) {
	if g := s.Guard; g != nil && g.Number == number {
		kept := *g
		kept.Ended = true
		s.Guard = &kept
	}
}

// advance applies the next step of the proposal: abort, stop, resume or commit.
func (s *State) advance(c Command) error {
	p := s.Pending
	if p == nil || p.ID != c.ProposalID {
		return &StaleCommand{string(c.Op), "its proposal has ended"}
	}
	inOrder := c.Op == OpAbort || p.Stopped == (c.Op != OpStop)
	if c.Epoch != s.Epoch || !inOrder {
		return &StaleCommand{string(c.Op), "another step was committed after it was decided"}
	}
	needsAll := c.Op == OpStop || c.Op == OpCommit
	if needsAll && c.HoldersVersion != s.HoldersVersion && !failpoint.On("roster-unseen") {
		return &StaleCommand{string(c.Op), "the list of lease holders has changed since it was decided"}
	}
	if c.Op != OpStop || !failpoint.On("stop-same-epoch") {
		s.Epoch++
	}
	switch c.Op {
	case OpStop, OpResume:
		changed := *p
		changed.Stopped = c.Op == OpStop
		s.Pending = &changed
	case OpAbort:
		s.abort(p, c)
	case OpCommit:
		s.commit(p, c)
	}
	return nil
}

func (s *State) abort(p *Proposal, c Command) {
	s.Pending = nil
	s.addOutcome(Outcome{Key: p.Key, Members: c.Members, Reason: c.Reason})
	if p.Kind == KindGuard && s.Guard != nil {
		guard := *s.Guard
		guard.FailedRollbacks++
		s.Guard = &guard
	}
}

// commit puts the proposal into force and drops the oldest revisions beyond the limits of the history.
func (s *State) commit(p *Proposal, c Command) {
	r := p.Revision
	previous := s.InForce().Number
	r.Number = previous + 1
	s.Pending, s.Guard = nil, nil
	s.History = append(s.History, r)
	s.historyBytes += int64(len(r.Text))
	s.addOutcome(Outcome{Key: p.Key, Number: r.Number})
	if p.GuardDuration > 0 {
		s.Guard = &GuardWindow{Number: r.Number, RollbackTo: previous, Duration: p.GuardDuration, Baseline: c.Baseline}
	}
	maxRevisions, maxBytes := cmp.Or(c.MaxRevisions, defaultKeepRevisions), cmp.Or(c.MaxHistoryBytes, defaultKeepBytes)
	for len(s.History) > 2 && (len(s.History) > maxRevisions || s.historyBytes > maxBytes) {
		s.historyBytes -= int64(len(s.History[0].Text))
		s.History = s.History[1:]
	}
}

func (s *State) addOutcome(o Outcome) {
	s.Outcomes = append(s.Outcomes, o)
	if drop := len(s.Outcomes) - maxOutcomes; drop > 0 {
		s.Outcomes = s.Outcomes[drop:]
	}
}

// Clone returns a copy that shares no data that Apply modifies.
func (s *State) Clone() *State {
	c := *s
	c.History = slices.Clip(s.History)
	c.Outcomes = slices.Clip(s.Outcomes)
	c.EndedProcesses = slices.Clip(s.EndedProcesses)
	c.MinGenerations = maps.Clone(s.MinGenerations)
	return &c
}

// Snapshot returns the encoded state.
func (s *State) Snapshot() []byte {
	b, err := json.Marshal(s)
	if err != nil { // possible only if a text is not JSON, which Validate rejects
		panic(err)
	}
	return b
}

// Restore replaces the state by a snapshot. The error is a *Corrupt.
func (s *State) Restore(snapshot []byte) error {
	restored := &State{}
	if err := json.Unmarshal(snapshot, restored); err != nil {
		return &Corrupt{err.Error()}
	}
	if len(restored.History) == 0 {
		return &Corrupt{"the snapshot has no revision in force"}
	}
	if restored.MinGenerations == nil {
		restored.MinGenerations = map[string]uint64{}
	}
	for i := range restored.History {
		restored.historyBytes += int64(len(restored.History[i].Text))
	}
	*s = *restored
	return nil
}
