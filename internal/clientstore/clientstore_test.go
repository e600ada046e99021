package clientstore

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"oatloft/internal/admission"
)

func sampleSnapshot(n int) Snapshot {
	s := Snapshot{CreatedAt: time.UnixMilli(1_800_000_000_000), Seed: 42}
	for i := range n {
		s.Clients = append(s.Clients, admission.KnownClient{ID: uint64(i) * 7919, Network: [2]uint64{1, uint64(i % 3)},
			Age: time.Duration(n-i) * time.Second, Tenured: i%2 == 0})
	}
	return s
}

// A saved snapshot is loaded unchanged, apart from the clients' ages.
func TestSaveAndLoad(t *testing.T) {
	path := filepath.Join(t.TempDir(), "known")
	if s, err := Load(path, time.Now(), time.Hour); err != nil || len(s.Clients) != 0 {
		t.Fatal(s, err)
	}
	for _, n := range []int{0, 1, 4096} {
		want := sampleSnapshot(n)
		if err := Save(path, want); err != nil {
			t.Fatal(err)
		}
		got, err := Load(path, want.CreatedAt, 10*365*24*time.Hour)
		if err != nil || fmt.Sprint(got.Clients) != fmt.Sprint(want.Clients) || got.Seed != want.Seed ||
			!got.CreatedAt.Equal(want.CreatedAt) {
			t.Fatal(n, err)
		}
	}
	// Ages advance while no process runs, and clients that became too old are omitted. Setting the clock back makes no
	// client younger.
	got, err := Load(path, sampleSnapshot(0).CreatedAt.Add(time.Hour), time.Hour+10*time.Second)
	if err != nil || len(got.Clients) != 10 || got.Clients[0].Age != time.Hour+10*time.Second {
		t.Fatal(len(got.Clients), err)
	}
	if got, err = Load(path, sampleSnapshot(0).CreatedAt.Add(-time.Hour), 10*time.Second); err != nil ||
		len(got.Clients) != 10 {
		t.Fatal(len(got.Clients), err)
	}
	if leftovers, _ := filepath.Glob(filepath.Join(filepath.Dir(path), ".known-*")); len(leftovers) > 0 {
		t.Fatal("temporary files left:", leftovers)
	}
}

// A file with any kind of damage is rejected with a one-line error.
func TestDamagedFiles(t *testing.T) {
	path := filepath.Join(t.TempDir(), "known")
	if err := Save(path, sampleSnapshot(200)); err != nil {
		t.Fatal(err)
	}
	good, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	other := bytes.Replace(good, []byte(magic), []byte("oatloft known clients 9\n"), 1)
	for name, body := range map[string][]byte{
		"empty":   nil,
		"cut":     good[:len(good)-pageBytes],
		"torn":    good[:len(good)-100],
		"foreign": bytes.Repeat([]byte("x"), 4*pageBytes),
		"version": other, "longer": append(bytes.Clone(good), make([]byte, pageBytes)...),
	} {
		expectRejected(t, path, name, body)
	}
	for at := 0; at < len(good); at += 61 {
		body := bytes.Clone(good)
		body[at] ^= 0x10
		expectRejected(t, path, fmt.Sprint("bit at ", at), body)
	}
	// Valid checksums, but no database, and a trailer with another number of clients than the database.
	for name, x := range map[string]Snapshot{"no database": {}, "count": sampleSnapshot(3)} {
		body := bytes.Repeat([]byte{7}, 8*pageBytes)
		if name == "count" {
			body = good[:len(good)-pageBytes]
		}
		expectRejected(t, path, name, appendTrailer(bytes.Clone(body), body, x))
	}
	if err := os.WriteFile(path, good, 0o600); err != nil {
		t.Fatal(err)
	}
	if err := os.Chmod(path, 0o666); err != nil {
		t.Fatal(err)
	}
	if _, err := Load(path, time.Now(), time.Hour); err == nil || !strings.Contains(err.Error(), "others may write") {
		t.Fatal(err)
	}
	if err := os.Remove(path); err != nil {
		t.Fatal(err)
	}
	if err := os.Symlink("/dev/zero", path); err != nil {
		t.Fatal(err)
	}
	if _, err := Load(path, time.Now(), time.Hour); err == nil || !strings.Contains(err.Error(), "plain file") {
		t.Fatal(err)
	}
}

func expectRejected(t *testing.T, path, name string, body []byte) {
	t.Helper()
	if err := os.WriteFile(path, body, 0o600); err != nil {
		t.Fatal(err)
	}
	s, err := Load(path, time.Now(), time.Hour)
	if err == nil || len(s.Clients) != 0 || strings.Contains(err.Error(), "\n") || !strings.HasPrefix(err.Error(), path) {
		t.Errorf("%s: %d clients, %v", name, len(s.Clients), err)
	}
}

// No input makes the decoders panic, and no file other than the one that Save wrote passes the checks.
func FuzzLoad(f *testing.F) {
	path := filepath.Join(f.TempDir(), "known")
	if err := Save(path, sampleSnapshot(20)); err != nil {
		f.Fatal(err)
	}
	good, err := os.ReadFile(path)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(good)
	f.Add(good[:pageBytes])
	f.Add([]byte(magic))
	f.Fuzz(func(t *testing.T, body []byte) {
		var s Snapshot
		if n, err := s.checkTrailer(body); err == nil && n > len(body) {
			t.Fatal(n, "clients in", len(body), "bytes")
		}
		if c, err := parseClient(body); err == nil && !bytes.Equal(appendClient(nil, c), body) {
			t.Fatal("a client record changed when encoded again")
		}
		if _, err := s.checkTrailer(body); err == nil && !bytes.Equal(body, good) {
			t.Fatal("a file that Save didn't write was accepted")
		}
	})
}
