// Package clientstore keeps the known clients across a restart, in one file. It checks the file; who counts as
// known is decided by internal/admission. A damaged or foreign file is refused with an error, and nothing of it is
// used.
//
// The file is a bbolt database that is written whole beside its place, followed by a page of our own (the trailer)
// with a checksum of all before it, and then renamed. So a reader finds a whole file or the one before, and bbolt
// is given no page that is not as it was written: bbolt has checksums for its two head pages only, and would follow
// a damaged pointer out of the file. The checksum is against damage, not against malice; the mode is 0600, and a
// file that others may write is refused.
package clientstore

import (
	"errors"
	"os"
	"time"

	"oatloft/internal/admission"
	"oatloft/internal/hint"
)

const (
	maxFileBytes = 64 << 20 // a larger file is not ours
	fileMode     = 0o600
	dbTimeout    = time.Second
)

var bucketName = []byte("known")

// Snapshot is what a file holds.
type Snapshot struct {
	CreatedAt time.Time
	Seed      uint64 // from which the clients' identities are derived
	Clients   []admission.KnownClient
}

// DamagedFile is the error that a file is not what Save wrote. Nothing of it is used: clients that were known are
// unknown at first.
type DamagedFile struct{ hint.Annotated }

// WriteFailed is the error that the known clients cannot be kept.
type WriteFailed struct{ hint.Annotated }

const damagedFileHint = "move the file away; one is written again, " +
	"and clients are known again once they have stood for a while"

// Save writes a snapshot to path, whole or not at all. The error is *WriteFailed.
func Save(path string, s Snapshot) error {
	if err := save(path, s); err != nil {
		return &WriteFailed{
			hint.Annotated{
				Where: path,
				Cause: err,
				Do:    "see that the folder of admission.reserve.snapshot.path is there and can be written",
			},
		}
	}
	return nil
}

// Load reads what Save wrote. A file that is not there is an empty snapshot. Ages count up to now; clients older
// than maxAge are left out. The error is *DamagedFile.
func Load(path string, now time.Time, maxAge time.Duration) (Snapshot, error) {
	s, err := load(path)
	switch {
	case errors.Is(err, os.ErrNotExist):
		return Snapshot{}, nil
	case err != nil:
		return Snapshot{}, &DamagedFile{hint.Annotated{Where: path, Cause: err, Do: damagedFileHint}}
	}
	s.advance(max(0, now.Sub(s.CreatedAt)), maxAge) // the clock may have been set back
	return s, nil
}

// advance lets the clients grow older, and leaves out those older than maxAge.
func (s *Snapshot) advance(elapsed, maxAge time.Duration) {
	kept := s.Clients[:0]
	for _, client := range s.Clients {
		client.Age += elapsed
		if client.Age <= maxAge {
			kept = append(kept, client)
		}
	}
	s.Clients = kept
}
