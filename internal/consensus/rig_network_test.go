package consensus

import (
	"slices"

	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// hears tells whether a call of from reaches to, and its answer from.
func (r *rig) hears(from, to int) bool {
	b := r.boxes[to]
	return b.st != nil && !b.stopped && !r.cut[[2]int{from, to}] && !r.cut[[2]int{to, from}]
}

// send puts messages into the bag.
func (r *rig) send(b *box, msgs []*pb.Message) {
	for _, m := range msgs {
		body, e := proto.Marshal(m)
		if e != nil {
			r.t.Fatal(e)
		}
		s, known := b.c.members[m.GetTo()]
		to, heard := b.names[m.GetTo()]
		for _, o := range r.boxes {
			if known && o.cfg.Name == s.Name || !known && heard && o.i == to {
				r.bag = append(r.bag, packet{from: b.i, to: o.i, founding: b.st.header.Bootstrap.ID, body: body})
			}
		}
	}
}

func (r *rig) deliver() {
	if len(r.bag) == 0 {
		return
	}
	i := r.r.IntN(min(len(r.bag), 8)) // out of order, by little
	p := r.bag[i]
	r.bag = slices.Delete(r.bag, i, i+1)
	b := r.boxes[p.to]
	m := new(pb.Message)
	if err := proto.Unmarshal(p.body, m); err != nil {
		r.t.Fatal(err)
	}
	gone := r.cut[[2]int{p.from, p.to}] || r.r.IntN(100) < r.loss || b.c == nil || p.founding != b.st.header.Bootstrap.ID
	if from := r.boxes[p.from]; m.GetType() == pb.MsgSnap && from.c != nil && !b.stopped {
		how := raft.SnapshotFinish
		if gone {
			how = raft.SnapshotFailure
		}
		from.c.raw.ReportSnapshot(m.GetTo(), how)
	}
	if gone {
		return
	}
	if b.stopped {
		if len(r.bag) < 2000 {
			r.bag = append(r.bag, p) // it reads that when it wakes
		}
		return
	}
	b.names[m.GetFrom()] = p.from
	b.c.step(m)
	r.work(b)
}
