package revision

import (
	"encoding/json"
	"testing"
	"time"
)

// TestMemberWithoutListDoesNotAnswer guards against a process without a discovery list that rejects a proposal and so
// aborts it for all others. It must not answer until it can check the proposal.
func TestMemberWithoutListDoesNotAnswer(t *testing.T) {
	proposed := json.RawMessage(Encode(&Content{FormatVersion: FormatVersion,
		Servers: []Placement{{ID: "r1", Excluded: true}}}))
	env := Environment{Servers: []string{"r1", "r2"}}
	m := NewMember(Holder{Name: "b1", Generation: 1}, false, func(proposed json.RawMessage) error {
		c, err := Decode(proposed)
		if err != nil {
			return err
		}
		return Check(c, env)
	})
	empty := Encode(&Content{FormatVersion: FormatVersion})
	reply := RenewReply{
		Known:        true,
		Epoch:        1,
		Granted:      true,
		Lease:        time.Second,
		Hash:         "h",
		Text:         empty,
		Proposal:     7,
		Proposed:     proposed,
		ProposedHash: "p",
	}
	m.HandleReply(0, 0, m.NextRequest().Seq, reply)
	if r := m.NextRequest(); r.AnsweredProposal != 0 || r.Rejection != "" {
		t.Errorf("without a list: %+v", r)
	}
	env.HasDiscoveryList = true
	m.HandleReply(1, 1, m.NextRequest().Seq, reply)
	if r := m.NextRequest(); r.AnsweredProposal != 7 || r.Rejection != "" {
		t.Errorf("with a list: %+v", r)
	}
	env.Servers = []string{"r2"}
	reply.Proposal = 8
	m.HandleReply(2, 2, m.NextRequest().Seq, reply)
	if r := m.NextRequest(); r.AnsweredProposal != 8 || r.Rejection == "" {
		t.Errorf("server not in the list: %+v", r)
	}
}
