package clientstore

import (
	"fmt"
	"os"

	bolt "go.etcd.io/bbolt"

	"oatloft/internal/hint"
)

// load reads a file. The error is os.ErrNotExist if there is none.
func load(path string) (s Snapshot, err error) {
	if err := checkFile(path); err != nil {
		return s, err
	}
	body, err := os.ReadFile(path)
	if err != nil {
		return s, err
	}
	count, err := s.checkTrailer(body)
	if err != nil {
		return s, err
	}
	defer func() { // the checksum should let no damage through; bbolt panics if it does
		if x := recover(); x != nil {
			s, err = Snapshot{}, &DamagedFile{
				hint.Annotated{What: fmt.Sprintf("the database is damaged: %v", x), Do: damagedFileHint},
			}
		}
	}()
	db, err := bolt.Open(path, fileMode, &bolt.Options{ReadOnly: true, Timeout: dbTimeout, PageSize: pageBytes})
	if err != nil {
		return s, err
	}
	defer func() { _ = db.Close() }()
	err = db.View(func(tx *bolt.Tx) error { return s.readClients(tx, count) })
	return s, err
}

// checkFile checks what can be said of a file before it is read.
func checkFile(path string) error {
	info, err := os.Lstat(path)
	switch {
	case err != nil:
		return err
	case !info.Mode().IsRegular():
		return &DamagedFile{
			hint.Annotated{What: "not a plain file", Do: "name a file of its own by admission.reserve.snapshot.path"},
		}
	case info.Mode().Perm()&0o022 != 0:
		return &DamagedFile{
			hint.Annotated{
				What: fmt.Sprintf("others may write it (mode %#o); 0600 is wanted", info.Mode().Perm()),
				Do:   "look who wrote it, and chmod 600 if it is sound",
			},
		}
	case info.Size() > maxFileBytes:
		return &DamagedFile{hint.Annotated{What: fmt.Sprintf("longer than %d bytes", maxFileBytes), Do: damagedFileHint}}
	}
	return nil
}

// readClients reads the clients of the bucket, of which there have to be count.
func (s *Snapshot) readClients(tx *bolt.Tx, count int) error {
	bucket := tx.Bucket(bucketName)
	if bucket == nil {
		return &DamagedFile{hint.Annotated{What: "holds no clients' list", Do: damagedFileHint}}
	}
	cursor := bucket.Cursor()
	for key, value := cursor.First(); key != nil; key, value = cursor.Next() {
		client, err := parseClient(value)
		if err != nil {
			return err
		}
		if len(s.Clients) == count {
			return &DamagedFile{
				hint.Annotated{What: fmt.Sprintf("more clients than the %d it tells", count), Do: damagedFileHint},
			}
		}
		s.Clients = append(s.Clients, client)
	}
	if len(s.Clients) != count {
		return &DamagedFile{
			hint.Annotated{What: fmt.Sprintf("%d clients of the %d it tells", len(s.Clients), count), Do: damagedFileHint},
		}
	}
	return nil
}
