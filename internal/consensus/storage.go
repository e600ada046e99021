package consensus

import (
	"encoding/binary"
	"encoding/json"

	pb "go.etcd.io/raft/v3/raftpb"

	bolt "go.etcd.io/bbolt"
	"go.etcd.io/raft/v3"
	"google.golang.org/protobuf/proto"
)

// InitialState implements raft.Storage.
func (s *store) InitialState() (*pb.HardState, *pb.ConfState, error) {
	h := s.state().header
	return &pb.HardState{Term: new(h.Term), Vote: new(h.Vote), Commit: new(h.Commit)}, h.Conf.pb(), nil
}

// Entries implements raft.Storage.
func (s *store) Entries(lo, hi, maxSize uint64) ([]*pb.Entry, error) {
	d := s.state()
	switch {
	case lo <= d.header.Base:
		return nil, raft.ErrCompacted
	case hi > d.header.Last+1:
		return nil, raft.ErrUnavailable
	}
	part := d.entries[lo-d.header.Base-1 : hi-d.header.Base-1]
	var size uint64
	for i, e := range part {
		if size += uint64(proto.Size(e)); size > maxSize && i > 0 {
			return part[:i:i], nil
		}
	}
	return part[:len(part):len(part)], nil
}

// Term implements raft.Storage.
func (s *store) Term(i uint64) (uint64, error) {
	d := s.state()
	switch {
	case i == d.header.Base:
		return d.header.BaseTerm, nil
	case i < d.header.Base:
		return 0, raft.ErrCompacted
	case i > d.header.Last:
		return 0, raft.ErrUnavailable
	}
	return d.entries[i-d.header.Base-1].GetTerm(), nil
}

// LastIndex implements raft.Storage.
func (s *store) LastIndex() (uint64, error) { return s.state().header.Last, nil }

// FirstIndex implements raft.Storage.
func (s *store) FirstIndex() (uint64, error) { return s.state().header.Base + 1, nil }

// Snapshot implements raft.Storage.
func (s *store) Snapshot() (*pb.Snapshot, error) {
	if s.state().header.SnapIndex == 0 {
		return &pb.Snapshot{}, nil
	}
	snapshot, err := s.readSnapshot()
	if err != nil {
		return nil, raft.ErrSnapshotTemporarilyUnavailable
	}
	return snapshot, nil
}

// readSnapshot reads the snapshot from disk.
func (s *store) readSnapshot() (snapshot *pb.Snapshot, err error) {
	err = s.db.View(func(tx *bolt.Tx) error {
		b, ok := verifyChecksum(keySnapshot, tx.Bucket(bucketMeta).Get(keySnapshot))
		snapshot = &pb.Snapshot{Metadata: new(pb.SnapshotMetadata)}
		if !ok || len(b) < 4 || uint64(len(b)-4) < uint64(binary.BigEndian.Uint32(b)) {
			return s.corruptError("snapshot checksum mismatch")
		}
		n := 4 + binary.BigEndian.Uint32(b)
		if err := proto.Unmarshal(b[4:n], snapshot.Metadata); err != nil {
			return s.corruptError("snapshot metadata can't be decoded")
		}
		snapshot.Data = append(snapshot.Data, b[n:]...)
		return nil
	})
	return snapshot, err
}

// packSnapshot encodes a snapshot: the length of the members as JSON, the members, and the machine's own snapshot.
func packSnapshot(members []member, machine []byte) []byte {
	packed, err := json.Marshal(members)
	if err != nil { // impossible: a member consists of numbers and strings
		panic(err)
	}
	b := binary.BigEndian.AppendUint32(nil, uint32(len(packed)))
	b = append(b, packed...)
	return append(b, machine...)
}

func unpackSnapshot(data []byte) (members []member, machine []byte, err error) {
	if len(data) < 4 || uint64(len(data)-4) < uint64(binary.BigEndian.Uint32(data)) {
		return nil, nil, &ReplicaFailed{Why: "malformed snapshot"}
	}
	n := 4 + binary.BigEndian.Uint32(data)
	if err := json.Unmarshal(data[4:n], &members); err != nil {
		return nil, nil, &ReplicaFailed{Why: "malformed snapshot"}
	}
	return members, data[n:], nil
}
