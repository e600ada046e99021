package consensus

import (
	"context"
	"encoding/json"
	"slices"
	"time"
)

// Methods of the calls between members. The names are part of the wire protocol between versions.
const (
	methodRaft    = "agree.raft"     // messages between voters
	methodStatus  = "agree.standing" // returns the known leader and the status of the member's folder
	methodPrepare = "agree.enlist"   // a leader asks a candidate to prepare for a vote
	methodRejoin  = "agree.return"   // a member rejoins with a new folder
	methodMember  = "agree.member"   // reports whether a voter still has its vote
)

// memberAnswer is the leader's answer to methodMember.
type memberAnswer struct {
	IsMember    bool   `json:"Has"`
	BootstrapID uint64 `json:"Founding"` // bootstrap that the leader belongs to
}

// serve answers another member's call. Methods other than the package's own go to the handler.
func (n *Node) serve(ctx context.Context, from, method string, body []byte) ([]byte, error) {
	switch method {
	case methodRaft:
		return nil, n.serveRaft(ctx, from, body)
	case methodStatus:
		return n.serveStatus(len(body) > 0)
	case methodPrepare:
		return n.servePrepare(ctx, body)
	case methodRejoin:
		var m member
		if err := json.Unmarshal(body, &m); err != nil || m.ID == 0 || m.Name != from {
			return nil, n.malformedCall()
		}
		return n.handleRejoin(ctx, m)
	case methodMember:
		return n.serveMember(ctx, body)
	}
	return n.handler(ctx, from, method, body)
}

func (n *Node) malformedCall() error {
	return &RemoteError{Name: n.cfg.Name, Text: "malformed call"}
}

// serveRaft queues another voter's messages.
func (n *Node) serveRaft(ctx context.Context, from string, body []byte) error {
	bootstrapID, messages, err := unpackBatch(body)
	if err != nil {
		return err
	}
	r := n.runner.Load()
	if r == nil || r.state.Load().bootstrapID != bootstrapID {
		return &RemoteError{Name: n.cfg.Name, Text: n.cfg.Name + " is not a voter of that bootstrap"}
	}
	select {
	case r.incoming <- batch{from: from, messages: messages}:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(callTimeout):
		return &Overloaded{What: "messages between voters", Limit: incomingQueueBatches}
	}
}

// serveStatus returns the known leader and, withFolder, the status of the folder.
func (n *Node) serveStatus(withFolder bool) ([]byte, error) {
	reported := reportedStatus{memberStatus: memberStatus{Name: n.cfg.Name}}
	if own := n.status.Load(); own != nil && withFolder {
		reported.memberStatus = *own
	}
	leader := n.Leader()
	reported.Leader, reported.Term = leader.Name, leader.Term
	return json.Marshal(reported)
}

// servePrepare passes the request to the voter's goroutine and returns the status of the folder once it is prepared.
func (n *Node) servePrepare(ctx context.Context, body []byte) ([]byte, error) {
	var bootstrapID uint64
	if err := json.Unmarshal(body, &bootstrapID); err != nil || bootstrapID == 0 {
		return nil, n.malformedCall()
	}
	request := prepareRequest{bootstrapID: bootstrapID, reply: make(chan error, 1)}
	select {
	case n.prepareRequests <- request:
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-n.ctx.Done():
		return nil, &Closed{}
	case <-time.After(callTimeout):
		if own := n.status.Load(); own == nil || own.Bootstrap.ID != bootstrapID {
			return nil, &RemoteError{
				Name: n.cfg.Name,
				Text: n.cfg.Name + " cannot hold a vote at present",
				Do:   "check its log for messages that begin with revisions",
			}
		}
		return json.Marshal(n.status.Load())
	}
	select {
	case err := <-request.reply:
		if err != nil {
			return nil, err
		}
		return json.Marshal(n.status.Load())
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// serveMember reports, at the leader, whether a voter has its vote or is about to get one.
func (n *Node) serveMember(ctx context.Context, body []byte) ([]byte, error) {
	var id uint64
	if err := json.Unmarshal(body, &id); err != nil {
		return nil, n.malformedCall()
	}
	return queryReplica(ctx, n, func(r *replica) memberAnswer {
		_, isMember := r.members[id]
		requested := slices.ContainsFunc(r.requests, func(o queuedRequest) bool { return o.Member.ID == id })
		return memberAnswer{IsMember: isMember || requested, BootstrapID: r.bootstrapID}
	})
}

// handleRejoin queues, at the leader, the request of a member that rejoins with a new folder. The answer is the ID of
// the leader's bootstrap, or 0 if no voter has the member's name.
func (n *Node) handleRejoin(ctx context.Context, m member) ([]byte, error) {
	return queryReplica(ctx, n, func(r *replica) uint64 {
		for id, other := range r.members {
			switch {
			case other.Name != m.Name || id == m.ID:
			case other.Replaces != 0: // it had rejoined before and is still a learner
				m.Replaces = other.Replaces
			case m.Replaces == 0:
				m.Replaces = id
			}
		}
		if m.Replaces == 0 {
			return 0
		}
		r.addRequest(memberRequest{Member: m})
		return r.bootstrapID
	})
}

// queryReplica runs answer on the goroutine of the leader's replica and returns the result as JSON.
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
		return nil, &Overloaded{What: "requests to the leader", Limit: maxQueuedCalls}
	}
	select {
	case a := <-answers:
		return json.Marshal(a)
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}
