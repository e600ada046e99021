package consensus

import (
	"slices"

	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// reachable reports whether a call of one member reaches another, and the answer gets back.
func (s *simulation) reachable(from, to int) bool {
	m := s.members[to]
	return m.store != nil && !m.stopped && !s.partitioned[[2]int{from, to}] && !s.partitioned[[2]int{to, from}]
}

// send puts messages in flight.
func (s *simulation) send(m *simulatedMember, messages []*pb.Message) {
	for _, msg := range messages {
		body, err := proto.Marshal(msg)
		if err != nil {
			s.t.Fatal(err)
		}
		record, isMember := m.replica.members[msg.GetTo()]
		to, isSender := m.senders[msg.GetTo()]
		for _, other := range s.members {
			if isMember && other.cfg.Name == record.Name || !isMember && isSender && other.number == to {
				s.packets = append(
					s.packets,
					packet{from: m.number, to: other.number, bootstrapID: m.store.header.Bootstrap.ID, body: body},
				)
			}
		}
	}
}

// deliver delivers one of the oldest 8 packets, or drops it.
func (s *simulation) deliver() {
	if len(s.packets) == 0 {
		return
	}
	i := s.rng.IntN(min(len(s.packets), 8)) // slightly out of order
	p := s.packets[i]
	s.packets = slices.Delete(s.packets, i, i+1)
	m := s.members[p.to]
	msg := new(pb.Message)
	if err := proto.Unmarshal(p.body, msg); err != nil {
		s.t.Fatal(err)
	}
	lost := s.partitioned[[2]int{p.from, p.to}] || s.rng.IntN(100) < s.lossPercent ||
		m.replica == nil || p.bootstrapID != m.store.header.Bootstrap.ID
	if from := s.members[p.from]; msg.GetType() == pb.MsgSnap && from.replica != nil && !m.stopped {
		status := raft.SnapshotFinish
		if lost {
			status = raft.SnapshotFailure
		}
		from.replica.raw.ReportSnapshot(msg.GetTo(), status)
	}
	if lost {
		return
	}
	if m.stopped {
		if len(s.packets) < 2000 {
			s.packets = append(s.packets, p) // read when the process resumes
		}
		return
	}
	m.senders[msg.GetFrom()] = p.from
	m.replica.step(msg)
	s.advance(m)
}
