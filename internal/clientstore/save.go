package clientstore

import (
	"encoding/binary"
	"fmt"
	"os"
	"path/filepath"

	bolt "go.etcd.io/bbolt"

	"oatloft/internal/hint"
)

// save writes the database in a temporary directory, appends the trailer, and renames the file.
func save(path string, s Snapshot) error {
	dir, err := os.MkdirTemp(filepath.Dir(path), ".known-*")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	temporary := filepath.Join(dir, "db")
	if err := writeDatabase(temporary, s); err != nil {
		return err
	}
	if err := writeTrailer(temporary, s); err != nil {
		return err
	}
	return os.Rename(temporary, path)
}

func writeDatabase(path string, s Snapshot) error {
	options := &bolt.Options{NoSync: true, NoFreelistSync: true, PageSize: pageBytes, Timeout: dbTimeout}
	db, err := bolt.Open(path, fileMode, options)
	if err != nil {
		return err
	}
	err = db.Update(func(tx *bolt.Tx) error { return putClients(tx, s) })
	if closeErr := db.Close(); err == nil {
		err = closeErr
	}
	return err
}

// putClients writes the clients to the bucket, with their index in the list as the key.
func putClients(tx *bolt.Tx, s Snapshot) error {
	bucket, err := tx.CreateBucket(bucketName)
	if err != nil {
		return err
	}
	bucket.FillPercent = 1 // keys are inserted in order
	var key [8]byte
	for i, client := range s.Clients {
		binary.BigEndian.PutUint64(key[:], uint64(i))
		if err := bucket.Put(key[:], appendClient(nil, client)); err != nil {
			return err
		}
	}
	return nil
}

// writeTrailer appends the trailer to a database, and syncs the file.
func writeTrailer(path string, s Snapshot) error {
	f, err := os.OpenFile(path, os.O_RDWR, fileMode)
	if err != nil {
		return err
	}
	defer func() { _ = f.Close() }()
	body, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	if len(body)+pageBytes > maxFileBytes {
		return &WriteFailed{
			hint.Annotated{
				What: fmt.Sprintf("%d clients do not fit into %d bytes", len(s.Clients), maxFileBytes),
				Do:   "lower admission.reserve.max",
			},
		}
	}
	if _, err := f.WriteAt(appendTrailer(nil, body, s), int64(len(body))); err != nil {
		return err
	}
	return f.Sync()
}
