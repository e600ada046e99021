package host

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"oatloft/internal/hint"
	"oatloft/internal/revision"
)

// maxStatusMembers is the number of members that a status names.
const maxStatusMembers = 16

// listRevision describes the first kept revision after a number in one line, or returns "-" if there is none.
func listRevision(state *revision.State, after uint64) string {
	first, last := state.History[0].Number, state.InForce().Number
	number := after + 1 // 0 for revision.Latest
	if number > last {
		return "-"
	}
	forgotten := ""
	if number < first {
		number, forgotten = first, fmt.Sprintf(" forgotten=..%d", first-1)
	}
	r := &state.History[number-first]
	age := "-"
	if r.ProposedAt > 0 {
		age = time.Since(time.UnixMilli(r.ProposedAt)).Truncate(time.Second).String()
	}
	return fmt.Sprintf("%d hash=%s age=%s by=%s from=%d kind=%s key=%s%s note=%q",
		r.Number, revision.HashPrefix(r.Hash), age, cmp.Or(quoteIfSpaced(r.By), "-"), r.Base, kindText(r),
		cmp.Or(r.Key, "-"), forgotten, r.Note)
}

func kindText(r *revision.Revision) string {
	switch r.Kind {
	case revision.KindRollback:
		return fmt.Sprintf("rollback-of-%d", r.Source)
	case revision.KindGuard:
		return fmt.Sprintf("guard-back-to-%d", r.Source)
	}
	return string(r.Kind)
}

func quoteIfSpaced(s string) string {
	if strings.ContainsAny(s, " \t") {
		return fmt.Sprintf("%q", s)
	}
	return s
}

// leaderStatus returns the leader's part of a status. It is called with mu held.
func (h *Host) leaderStatus() string {
	s := h.state
	inForce := s.InForce()
	members, onCut := membersText(s)
	pending := "none"
	if p := s.Pending; p != nil {
		pending = p.Key + ":" + h.waitingText()
	}
	return fmt.Sprintf(
		"in-force=%d hash=%s leader=%s reign=%d voters=%s members=%s pending=%s watch=%s history=%d..%d on_cut=%s",
		inForce.Number,
		revision.HashPrefix(inForce.Hash),
		h.cfg.Name,
		s.LeaderTerm,
		h.votersText(),
		members,
		pending,
		guardText(s.Guard),
		s.History[0].Number,
		inForce.Number,
		onCut,
	)
}

// votersText lists the log's voters.
func (h *Host) votersText() string {
	var names []string
	for _, voter := range h.node.Status().Voters {
		name := voter.Name
		if voter.Learner {
			name += "(learning)"
		}
		names = append(names, name)
	}
	return strings.Join(names, ",")
}

// membersText counts and names the balancers that hold leases, and returns "hold" as onCut if any of them keeps its
// lease during a partition, otherwise "refuse".
func membersText(s *revision.State) (members, onCut string) {
	onCut = "refuse"
	var names []string
	for _, holder := range s.Holders {
		if !slices.Contains(names, holder.Name) {
			names = append(names, holder.Name)
		}
		if holder.KeepLeaseOnPartition {
			onCut = "hold"
		}
	}
	listed := strings.Join(names[:min(len(names), maxStatusMembers)], ",")
	return fmt.Sprintf("%d(%s)", len(names), listed), onCut
}

func guardText(guard *revision.GuardWindow) string {
	switch {
	case guard == nil:
		return "none"
	case guard.Ended:
		return "kept"
	case guard.FailedRollbacks >= revision.MaxFailedRollbacks:
		return "no-way-back"
	}
	return "open"
}

// status returns this balancer's own part of a status, followed by the leader's part if a leader can be reached.
func (h *Host) status(ctx context.Context) string {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	own := leaseText(h.Lease(), time.Now())
	node := h.node.Status()
	own += fmt.Sprintf(" role=%s", node.Role)
	if node.Fault != nil {
		own += fmt.Sprintf(" fault=%q", hint.Line(node.Fault))
	}
	leaderPart, err := h.callAnyLeader(ctx, string(revision.VerbStatus))
	if err != nil {
		return own + " leader=none"
	}
	return own + " " + leaderPart
}

// leaseText describes a lease. An active lease past its end is described as expired even before its phase changes.
func leaseText(l *Lease, now time.Time) string {
	phase := l.Phase
	if phase == Active && !l.Allows(now) {
		phase = Expired
	}
	text := fmt.Sprintf("here=%d phase=%s", l.Number, phase)
	switch {
	case l.Phase != Active:
	case l.Until.IsZero():
		text += " until=-"
	default:
		text += " until=" + l.Until.Sub(now).Truncate(time.Millisecond).String()
	}
	if l.Reason != "" {
		text += fmt.Sprintf(" why=%q", l.Reason)
	}
	return text
}
