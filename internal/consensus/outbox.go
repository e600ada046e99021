package consensus

import (
	"context"
	"encoding/binary"
	"sync/atomic"
	"time"

	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

const (
	outboxQueueMessages    = 256                     // queued for one voter
	maxOutboxBytes         = 4 * maxUncommittedBytes // queued for one voter
	maxBatchBytes          = 512 << 10               // after which a batch gets no further message
	minBatchTimeout        = time.Second
	snapshotTimeout        = 20 * time.Second // plus the time for the snapshot's bytes
	snapshotBytesPerSecond = 20_000           // lowest rate at which a snapshot must be transferred
)

// outbox is the queue of messages to one voter. Its goroutine delivers them until cancel is called.
type outbox struct {
	to              uint64
	name            string
	address         string
	queue           chan *pb.Message
	bytes           atomic.Int64 // size of the queued messages
	snapshotPending atomic.Bool
	cancel          context.CancelFunc
}

// send queues a message for another voter.
func (r *runner) send(ctx context.Context, m *pb.Message) {
	o := r.outboxFor(ctx, m.GetTo())
	switch {
	case o == nil:
		r.node.dropped.Add(1)
	case m.GetType() != pb.MsgSnap:
		if !o.tryPush(m) {
			r.node.dropped.Add(1)
		}
	case o.snapshotPending.CompareAndSwap(false, true):
		go r.deliverSnapshot(ctx, o, m)
	default:
		r.replica.raw.ReportSnapshot(o.to, raft.SnapshotFailure)
	}
}

// outboxFor returns the outbox of a voter, which it creates if there is none for the voter's name; nil if the name is
// unknown.
func (r *runner) outboxFor(ctx context.Context, to uint64) *outbox {
	o, name := r.outboxes[to], r.nameOf(to)
	if o != nil && o.name == name {
		return o
	}
	if o != nil {
		o.cancel()
	}
	if name == "" {
		return nil
	}
	ctx, cancel := context.WithCancel(ctx)
	o = &outbox{
		to:      to,
		name:    name,
		address: r.node.addressOf(name, r.replica.members[to].Addr),
		queue:   make(chan *pb.Message, outboxQueueMessages),
		cancel:  cancel,
	}
	r.outboxes[to] = o
	go r.deliver(ctx, o)
	return o
}

// tryPush queues a message; it returns false if the queue is full.
func (o *outbox) tryPush(m *pb.Message) bool {
	size := int64(proto.Size(m))
	if o.bytes.Add(size) > maxOutboxBytes {
		o.bytes.Add(-size)
		return false
	}
	select {
	case o.queue <- m:
		return true
	default:
		o.bytes.Add(-size)
		return false
	}
}

// pop removes a message from the queue; nil if it is empty.
func (o *outbox) pop() *pb.Message {
	select {
	case m := <-o.queue:
		o.bytes.Add(-int64(proto.Size(m)))
		return m
	default:
		return nil
	}
}

// popBatch returns a first message with further ones from the queue.
func (o *outbox) popBatch(first *pb.Message) []*pb.Message {
	size := proto.Size(first)
	o.bytes.Add(-int64(size))
	messages := []*pb.Message{first}
	for len(messages) < maxBatchMessages && size < maxBatchBytes {
		m := o.pop()
		if m == nil {
			break
		}
		messages = append(messages, m)
		size += proto.Size(m)
	}
	return messages
}

// deliver sends the queued messages to one voter in batches, one call at a time.
func (r *runner) deliver(ctx context.Context, o *outbox) {
	timeout := max(r.node.cfg.Tick*2*electionTicks, minBatchTimeout)
	for {
		var messages []*pb.Message
		select {
		case <-ctx.Done():
			return
		case first := <-o.queue:
			messages = o.popBatch(first)
		}
		err := r.call(ctx, o, timeout, messages)
		if err == nil || ctx.Err() != nil {
			continue
		}
		r.node.dropped.Add(int64(len(messages)))
		for o.pop() != nil { // messages queued during the failed call are outdated
			r.node.dropped.Add(1)
		}
		r.post(func() { r.replica.raw.ReportUnreachable(o.to) })
	}
}

func (r *runner) call(ctx context.Context, o *outbox, timeout time.Duration, messages []*pb.Message) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	_, err := r.node.transport.call(ctx, o.name, o.address, methodRaft, packBatch(r.replica.bootstrapID, messages))
	return err
}

// deliverSnapshot sends a snapshot to a voter and reports the result to raft, which sends that voter nothing else
// until then.
func (r *runner) deliverSnapshot(ctx context.Context, o *outbox, m *pb.Message) {
	size := len(m.GetSnapshot().GetData())
	timeout := snapshotTimeout + time.Duration(size/snapshotBytesPerSecond)*time.Second
	status := raft.SnapshotFinish
	if err := r.call(ctx, o, timeout, []*pb.Message{m}); err != nil {
		status = raft.SnapshotFailure
		r.node.dropped.Add(1)
	}
	delivered := func() {
		o.snapshotPending.Store(false)
		r.replica.raw.ReportSnapshot(o.to, status)
	}
	select {
	case r.calls <- delivered:
	case <-r.done:
	}
}

// packBatch encodes messages for a call: the ID of the bootstrap, then each message preceded by its length.
func packBatch(bootstrapID uint64, messages []*pb.Message) []byte {
	b := binary.BigEndian.AppendUint64(nil, bootstrapID)
	for _, m := range messages {
		b = binary.AppendUvarint(b, uint64(proto.Size(m)))
		b, _ = proto.MarshalOptions{UseCachedSize: true}.MarshalAppend(b, m) // raft's messages can always be encoded
	}
	return b
}

func unpackBatch(b []byte) (bootstrapID uint64, messages []*pb.Message, err error) {
	malformed := &RemoteError{
		Text: "malformed batch of messages between voters",
		Do:   sameVersion,
	}
	if len(b) < 8 {
		return 0, nil, malformed
	}
	bootstrapID, b = binary.BigEndian.Uint64(b), b[8:]
	for len(b) > 0 {
		size, n := binary.Uvarint(b)
		if n <= 0 || size > uint64(len(b)-n) {
			return 0, nil, malformed
		}
		m := new(pb.Message)
		if err := proto.Unmarshal(b[n:n+int(size)], m); err != nil {
			return 0, nil, malformed
		}
		messages, b = append(messages, m), b[n+int(size):]
	}
	return bootstrapID, messages, nil
}
