package clientstore

import (
	"fmt"
	"os"

	bolt "go.etcd.io/bbolt"

	"oatloft/internal/hint"
)

// load reads a file. The error matches os.ErrNotExist if there is none.
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
	defer func() { // bbolt panics on damage, should the checksum not have detected it
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

// checkFile validates a file's type, mode and size before it is read.
func checkFile(path string) error {
	info, err := os.Lstat(path)
	switch {
	case err != nil:
		return err
	case !info.Mode().IsRegular():
		return &DamagedFile{
			hint.Annotated{What: "not a plain file", Do: "set admission.reserve.snapshot.path to a file used for nothing else"},
		}
	case info.Mode().Perm()&0o022 != 0:
		return &DamagedFile{
			hint.Annotated{
				What: fmt.Sprintf("others may write it (mode %#o); mode 0600 is required", info.Mode().Perm()),
				Do:   "find out who wrote it, and run chmod 600 on it if its content is sound",
			},
		}
	case info.Size() > maxFileBytes:
		return &DamagedFile{hint.Annotated{What: fmt.Sprintf("larger than %d bytes", maxFileBytes), Do: damagedFileHint}}
	}
	return nil
}

// readClients reads the clients from the bucket, which must contain exactly count.
func (s *Snapshot) readClients(tx *bolt.Tx, count int) error {
	bucket := tx.Bucket(bucketName)
	if bucket == nil {
		return &DamagedFile{hint.Annotated{What: "contains no list of clients", Do: damagedFileHint}}
	}
	cursor := bucket.Cursor()
	for key, value := cursor.First(); key != nil; key, value = cursor.Next() {
		client, err := parseClient(value)
		if err != nil {
			return err
		}
		if len(s.Clients) == count {
			return &DamagedFile{
				hint.Annotated{What: fmt.Sprintf("more clients than the %d in its trailer", count), Do: damagedFileHint},
			}
		}
		s.Clients = append(s.Clients, client)
	}
	if len(s.Clients) != count {
		return &DamagedFile{
			hint.Annotated{What: fmt.Sprintf("%d clients, but %d in its trailer", len(s.Clients), count), Do: damagedFileHint},
		}
	}
	return nil
}
