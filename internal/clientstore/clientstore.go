// Package clientstore persists the known clients across restarts in one file. It validates the file; package admission
// decides which clients count as known. A damaged or foreign file is rejected with an error, and nothing from it is
// used.
//
// The file is a bbolt database followed by one additional page, the trailer, with a checksum of everything before it.
// It is written to a temporary path and then renamed, so a reader finds either the complete new file or the previous
// one. The checksum keeps corrupted pages from bbolt, which has checksums for its two meta pages only and would follow
// a damaged pointer out of the file. It protects against corruption, not against tampering: the file mode is 0600, and
// a file that is writable by others is rejected.
package clientstore

import (
	"errors"
	"os"
	"time"

	"oatloft/internal/admission"
	"oatloft/internal/hint"
)

const (
	maxFileBytes = 64 << 20 // a larger file was not written by Save
	fileMode     = 0o600
	dbTimeout    = time.Second
)

var bucketName = []byte("known")

// Snapshot is the content of a file.
type Snapshot struct {
	CreatedAt time.Time
	Seed      uint64 // from which the clients' identities are derived
	Clients   []admission.KnownClient
}

// DamagedFile is the error for a file that Save did not write. Nothing from it is used: clients known before start out
// as unknown.
type DamagedFile struct{ hint.Annotated }

// WriteFailed is the error for known clients that could not be saved.
type WriteFailed struct{ hint.Annotated }

const damagedFileHint = "move the file away; a new one is written, " +
	"and clients become known again after their connections have been established for a while"

// Save writes a snapshot to path atomically. The error is *WriteFailed.
func Save(path string, s Snapshot) error {
	if err := save(path, s); err != nil {
		return &WriteFailed{
			hint.Annotated{
				Where: path,
				Cause: err,
				Do:    "check that the directory of admission.reserve.snapshot.path exists and is writable",
			},
		}
	}
	return nil
}

// Load reads a snapshot written by Save. A missing file is an empty snapshot. The clients' ages are advanced to now,
// and clients older than maxAge are omitted. The error is *DamagedFile.
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

// advance increases the clients' ages and removes those older than maxAge.
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
