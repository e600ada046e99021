// Package clientstore keeps who is known across a restart, in one file. It owns the file's form and its checks; it
// must never decide who counts as known (that is internal/admission's), and never let a damaged or foreign file do
// more than be refused in one line.
//
// The file is a bbolt database that is written whole beside its place, followed by a page of our own with a
// checksum of all before it, and then renamed. So a reader meets a whole file or the one before, and no page is
// given to bbolt that isn't as it was written: bbolt sums up its two head pages only, and would follow a
// damaged pointer out of the file. The checksum is against damage, not against malice; the mode is 0600, and a
// file that others may write is refused.
package clientstore

import (
	"encoding/binary"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/cespare/xxhash/v2"
	bolt "go.etcd.io/bbolt"

	"oatloft/internal/admission"
	"oatloft/internal/hint"
)

const (
	page    = 4096
	magic   = "oatloft known clients 1\n"
	entry   = 33       // bytes of one client: identity, network, age, tenure
	maxFile = 64 << 20 // a larger file is not ours
)

var bucket = []byte("known")

// Snapshot is what a file holds.
type Snapshot struct {
	At      time.Time // when it was taken
	Seed    uint64    // that the identities hang on
	Clients []admission.KnownClient
}

// Damaged is a file that isn't what Save wrote. Nothing of it is used: clients that were known are strangers at first.
type Damaged struct{ hint.Annotated }

// Unwritable is a place where who is known can't be kept.
type Unwritable struct{ hint.Annotated }

const aside = "move the file away; one is written again, and clients are known again once they have stood for a while"

// Save writes s to path, whole or not at all.
func Save(path string, s Snapshot) (err error) {
	if err := save(path, s); err != nil {
		return &Unwritable{hint.Annotated{Where: path, Cause: err, Do: "see that the folder of admission.reserve.snapshot.path is there and can be written"}}
	}
	return nil
}

func save(path string, s Snapshot) (err error) {
	dir, err := os.MkdirTemp(filepath.Dir(path), ".known-*")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	temp := filepath.Join(dir, "db")
	db, err := bolt.Open(temp, 0o600, &bolt.Options{NoSync: true, NoFreelistSync: true, PageSize: page, Timeout: time.Second})
	if err != nil {
		return err
	}
	err = db.Update(func(tx *bolt.Tx) error {
		b, err := tx.CreateBucket(bucket)
		if err != nil {
			return err
		}
		b.FillPercent = 1 // keys come in order
		var key [8]byte
		for i, c := range s.Clients {
			binary.BigEndian.PutUint64(key[:], uint64(i))
			if err := b.Put(key[:], appendClient(nil, c)); err != nil {
				return err
			}
		}
		return nil
	})
	if e := db.Close(); err == nil {
		err = e
	}
	if err != nil {
		return err
	}
	f, err := os.OpenFile(temp, os.O_RDWR, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = f.Close() }()
	body, err := os.ReadFile(temp)
	if err != nil {
		return err
	}
	if len(body)+page > maxFile {
		return &Unwritable{hint.Annotated{What: fmt.Sprintf("%d clients don't fit into %d bytes", len(s.Clients), maxFile), Do: "set admission.reserve.max lower"}}
	}
	if _, err := f.WriteAt(appendTrailer(nil, body, s), int64(len(body))); err != nil {
		return err
	}
	if err := f.Sync(); err != nil {
		return err
	}
	return os.Rename(temp, path)
}

// Load reads what Save wrote. A file that is not there is an empty snapshot; one that can't be trusted is an error
// of one line, and nothing of it is used. Ages count up to now; clients older than maxAge are left out.
func Load(path string, now time.Time, maxAge time.Duration) (Snapshot, error) {
	s, err := load(path)
	switch {
	case errors.Is(err, os.ErrNotExist):
		return Snapshot{}, nil
	case err != nil:
		return Snapshot{}, &Damaged{hint.Annotated{Where: path, Cause: err, Do: aside}}
	}
	since := max(0, now.Sub(s.At)) // the clock may have been set back
	keep := s.Clients[:0]
	for _, c := range s.Clients {
		if c.Age += since; c.Age <= maxAge {
			keep = append(keep, c)
		}
	}
	s.Clients = keep
	return s, nil
}

func load(path string) (s Snapshot, err error) {
	info, err := os.Lstat(path)
	switch {
	case err != nil:
		return s, err
	case !info.Mode().IsRegular():
		return s, &Damaged{hint.Annotated{What: "not a plain file", Do: "name a file of its own by admission.reserve.snapshot.path"}}
	case info.Mode().Perm()&0o022 != 0:
		return s, &Damaged{hint.Annotated{What: fmt.Sprintf("others may write it (mode %#o); 0600 is wanted", info.Mode().Perm()), Do: "look who wrote it, and chmod 600 if it is sound"}}
	case info.Size() > maxFile:
		return s, &Damaged{hint.Annotated{What: fmt.Sprintf("longer than %d bytes", maxFile), Do: aside}}
	}
	body, err := os.ReadFile(path)
	if err != nil {
		return s, err
	}
	count, err := s.check(body)
	if err != nil {
		return s, err
	}
	defer func() { // what the checksum let through is ours; should that be wrong, it is still only a line
		if x := recover(); x != nil {
			s, err = Snapshot{}, &Damaged{hint.Annotated{What: fmt.Sprintf("the database is damaged: %v", x), Do: aside}}
		}
	}()
	db, err := bolt.Open(path, 0o600, &bolt.Options{ReadOnly: true, Timeout: time.Second, PageSize: page})
	if err != nil {
		return s, err
	}
	defer func() { _ = db.Close() }()
	err = db.View(func(tx *bolt.Tx) error {
		b := tx.Bucket(bucket)
		if b == nil {
			return &Damaged{hint.Annotated{What: "holds no clients' list", Do: aside}}
		}
		c := b.Cursor()
		for key, value := c.First(); key != nil; key, value = c.Next() {
			client, err := parseClient(value)
			if err != nil {
				return err
			}
			if len(s.Clients) == count {
				return &Damaged{hint.Annotated{What: fmt.Sprintf("more clients than the %d it tells", count), Do: aside}}
			}
			s.Clients = append(s.Clients, client)
		}
		if len(s.Clients) != count {
			return &Damaged{hint.Annotated{What: fmt.Sprintf("%d clients of the %d it tells", len(s.Clients), count), Do: aside}}
		}
		return nil
	})
	return s, err
}

// appendTrailer appends the page that closes the file: the magic, the time in Unix milliseconds, the seed, the number
// of clients, the length of what stands before, and the checksum of all that and these.
func appendTrailer(dst, body []byte, s Snapshot) []byte {
	t := make([]byte, page)
	n := copy(t, magic)
	for i, x := range []uint64{uint64(s.At.UnixMilli()), s.Seed, uint64(len(s.Clients)), uint64(len(body))} {
		binary.BigEndian.PutUint64(t[n+8*i:], x)
	}
	binary.BigEndian.PutUint64(t[page-8:], sum(body, t[:page-8]))
	return append(dst, t...)
}

func sum(parts ...[]byte) uint64 {
	d := xxhash.New()
	for _, p := range parts {
		_, _ = d.Write(p)
	}
	return d.Sum64()
}

// check reads the trailer and tells the number of clients.
func (s *Snapshot) check(file []byte) (int, error) {
	if len(file) < 2*page || len(file)%page != 0 {
		return 0, &Damaged{hint.Annotated{What: "not a whole file of known clients", Do: aside}}
	}
	body, t := file[:len(file)-page], file[len(file)-page:]
	if string(t[:len(magic)]) != magic {
		return 0, &Damaged{hint.Annotated{What: "not a file of known clients, or of another version", Do: aside}}
	}
	if sum(body, t[:page-8]) != binary.BigEndian.Uint64(t[page-8:]) {
		return 0, &Damaged{hint.Annotated{What: "damaged: the checksum doesn't fit", Do: aside}}
	}
	x := func(i int) uint64 { return binary.BigEndian.Uint64(t[len(magic)+8*i:]) }
	if x(3) != uint64(len(body)) || x(2) > uint64(len(body)/entry) {
		return 0, &Damaged{hint.Annotated{What: "damaged: its lengths don't fit", Do: aside}}
	}
	s.At, s.Seed = time.UnixMilli(int64(x(0))), x(1)
	return int(x(2)), nil
}

func appendClient(dst []byte, c admission.KnownClient) []byte {
	for _, x := range []uint64{c.ID, c.Net[0], c.Net[1], uint64(c.Age)} {
		dst = binary.BigEndian.AppendUint64(dst, x)
	}
	if c.Tenured {
		return append(dst, 1)
	}
	return append(dst, 0)
}

func parseClient(b []byte) (c admission.KnownClient, err error) {
	if len(b) != entry || b[entry-1] > 1 {
		return c, &Damaged{hint.Annotated{What: "holds a client in an unknown form", Do: aside}}
	}
	x := func(i int) uint64 { return binary.BigEndian.Uint64(b[8*i:]) }
	c = admission.KnownClient{ID: x(0), Net: [2]uint64{x(1), x(2)}, Age: time.Duration(x(3)), Tenured: b[entry-1] == 1}
	if c.Age < 0 || c.Age > 10*365*24*time.Hour {
		return c, &Damaged{hint.Annotated{What: "holds a client of an impossible age", Do: aside}}
	}
	return c, nil
}
