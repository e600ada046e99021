package consensus

import (
	"context"
	"encoding/json"
	"slices"
	"time"
)

// Methods of the calls between members. Other versions know them by these names.
const (
	methodRaft    = "agree.raft"     // messages between voters
	methodStatus  = "agree.standing" // who leads, and the status of the member's folder
	methodRecruit = "agree.enlist"   // a leader asks a candidate to get ready for a vote
	methodRejoin  = "agree.return"   // a member comes back with a new folder
	methodMember  = "agree.member"   // whether a voter still has its vote
)

// memberAnswer is the leader's answer to methodMember.
type memberAnswer struct {
	Has      bool   `json:"Has"`
	Founding uint64 `json:"Founding"` // number of the bootstrap that the leader belongs to
}

// serve answers another member's call. Methods that are not the package's own go to the handler.
func (n *Node) serve(ctx context.Context, from, method string, body []byte) ([]byte, error) {
	switch method {
	case methodRaft:
		return nil, n.serveRaft(ctx, from, body)
	case methodStatus:
		return n.serveStatus(len(body) > 0)
	case methodRecruit:
		return n.serveRecruit(ctx, body)
	case methodRejoin:
		var m member
		if err := json.Unmarshal(body, &m); err != nil || m.ID == 0 || m.Name != from {
			return nil, n.malformedCall()
		}
		return n.acceptRejoin(ctx, m)
	case methodMember:
		return n.serveMember(ctx, body)
	}
	return n.handler(ctx, from, method, body)
}

func (n *Node) malformedCall() error {
	return &RemoteError{Name: n.cfg.Name, Text: "a call has an unknown form"}
}

// serveRaft queues another voter's messages.
func (n *Node) serveRaft(ctx context.Context, from string, body []byte) error {
	bootstrapID, messages, err := unpackBatch(body)
	if err != nil {
		return err
	}
	r := n.runner.Load()
	if r == nil || r.state.Load().bootstrapID != bootstrapID {
		return &RemoteError{Name: n.cfg.Name, Text: n.cfg.Name + " isn't a voter of that founding"}
	}
	select {
	case r.incoming <- batch{from: from, msgs: messages}:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(callTimeout):
		return &Overloaded{What: "messages between voters", Limit: incomingQueue}
	}
}

// serveStatus tells who leads and, if the caller asks for it, the status of the folder.
func (n *Node) serveStatus(withFolder bool) ([]byte, error) {
	reported := reportedStatus{memberStatus: memberStatus{Name: n.cfg.Name}}
	if own := n.status.Load(); own != nil && withFolder {
		reported.memberStatus = *own
	}
	leader := n.Leader()
	reported.Leader, reported.Term = leader.Name, leader.Term
	return json.Marshal(reported)
}

// serveRecruit has the voter's goroutine get ready for a vote, and answers with the status of its folder.
func (n *Node) serveRecruit(ctx context.Context, body []byte) ([]byte, error) {
	var bootstrapID uint64
	if err := json.Unmarshal(body, &bootstrapID); err != nil || bootstrapID == 0 {
		return nil, n.malformedCall()
	}
	r := recruitment{bootstrapID: bootstrapID, reply: make(chan error, 1)}
	select {
	case n.recruits <- r:
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-n.ctx.Done():
		return nil, &Closed{}
	case <-time.After(callTimeout):
		if own := n.status.Load(); own == nil || own.Bootstrap.ID != bootstrapID {
			return nil, &RemoteError{
				Name: n.cfg.Name,
				Text: n.cfg.Name + " can hold no vote at present",
				Do:   "see what its log says of revisions",
			}
		}
		return json.Marshal(n.status.Load())
	}
	select {
	case err := <-r.reply:
		if err != nil {
			return nil, err
		}
		return json.Marshal(n.status.Load())
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// serveMember tells, as the leader, whether a voter has its vote or is about to get one.
func (n *Node) serveMember(ctx context.Context, body []byte) ([]byte, error) {
	var id uint64
	if err := json.Unmarshal(body, &id); err != nil {
		return nil, n.malformedCall()
	}
	return queryReplica(ctx, n, func(r *replica) memberAnswer {
		_, isMember := r.members[id]
		requested := slices.ContainsFunc(r.requests, func(o timedRequest) bool { return o.Member.ID == id })
		return memberAnswer{Has: isMember || requested, Founding: r.bootstrapID}
	})
}

// acceptRejoin notes, as the leader, that a member has come back with a new folder. The answer is the number of the
// bootstrap that it belongs to, or 0 if no voter has its name.
func (n *Node) acceptRejoin(ctx context.Context, m member) ([]byte, error) {
	return queryReplica(ctx, n, func(r *replica) uint64 {
		for id, other := range r.members {
			switch {
			case other.Name != m.Name || id == m.ID:
			case other.Replaces != 0: // it had come back before, and not got its vote yet
				m.Replaces = other.Replaces
			case m.Replaces == 0:
				m.Replaces = id
			}
		}
		if m.Replaces == 0 {
			return 0
		}
		r.request(memberRequest{Member: m})
		return r.bootstrapID
	})
}

// queryReplica has the leader's replica answer a question on its goroutine, and returns the answer as JSON.
func queryReplica[T any](ctx context.Context, n *Node, answer func(*replica) T) ([]byte, error) {
	if _, err := n.Confirm(ctx); err != nil {
		return nil, err
	}
	r := n.runner.Load()
	if r == nil {
		return nil, &NotLeader{Leader: n.Leader()}
	}
	answers := make(chan T, 1)
	if !r.post(func() { answers <- answer(r.replica) }) {
		return nil, &Overloaded{What: "questions to the leader", Limit: callQueue}
	}
	select {
	case a := <-answers:
		return json.Marshal(a)
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}
