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

func sample(n int) Snapshot {
	s := Snapshot{CreatedAt: time.UnixMilli(1_800_000_000_000), Seed: 42}
	for i := range n {
		s.Clients = append(s.Clients, admission.KnownClient{ID: uint64(i) * 7919, Net: [2]uint64{1, uint64(i % 3)},
			Age: time.Duration(n-i) * time.Second, Tenured: i%2 == 0})
	}
	return s
}

func TestThereAndBack(t *testing.T) {
	path := filepath.Join(t.TempDir(), "known")
	if s, err := Load(path, time.Now(), time.Hour); err != nil || len(s.Clients) != 0 {
		t.Fatal(s, err)
	}
	for _, n := range []int{0, 1, 4096} {
		want := sample(n)
		if err := Save(path, want); err != nil {
			t.Fatal(err)
		}
		got, err := Load(path, want.CreatedAt, 10*365*24*time.Hour)
		if err != nil || fmt.Sprint(got.Clients) != fmt.Sprint(want.Clients) || got.Seed != want.Seed ||
			!got.CreatedAt.Equal(want.CreatedAt) {
			t.Fatal(n, err)
		}
	}
	// Ages go on while nobody runs, and what got too old is left out; a clock set back makes nobody younger.
	got, err := Load(path, sample(0).CreatedAt.Add(time.Hour), time.Hour+10*time.Second)
	if err != nil || len(got.Clients) != 10 || got.Clients[0].Age != time.Hour+10*time.Second {
		t.Fatal(len(got.Clients), err)
	}
	if got, err = Load(path, sample(0).CreatedAt.Add(-time.Hour), 10*time.Second); err != nil || len(got.Clients) != 10 {
		t.Fatal(len(got.Clients), err)
	}
	if left, _ := filepath.Glob(filepath.Join(filepath.Dir(path), ".known-*")); len(left) > 0 {
		t.Fatal("left behind:", left)
	}
}

// Whatever was done to the file, it is refused in one line.
func TestDamage(t *testing.T) {
	path := filepath.Join(t.TempDir(), "known")
	if err := Save(path, sample(200)); err != nil {
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
		refused(t, path, name, body)
	}
	for at := 0; at < len(good); at += 61 {
		body := bytes.Clone(good)
		body[at] ^= 0x10
		refused(t, path, fmt.Sprint("bit at ", at), body)
	}
	// Well summed up, but no database; and one whose trailer tells of more than there is.
	for name, x := range map[string]Snapshot{"no database": {}, "count": sample(3)} {
		body := bytes.Repeat([]byte{7}, 8*pageBytes)
		if name == "count" {
			body = good[:len(good)-pageBytes]
		}
		refused(t, path, name, appendTrailer(bytes.Clone(body), body, x))
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

func refused(t *testing.T, path, name string, body []byte) {
	t.Helper()
	if err := os.WriteFile(path, body, 0o600); err != nil {
		t.Fatal(err)
	}
	s, err := Load(path, time.Now(), time.Hour)
	if err == nil || len(s.Clients) != 0 || strings.Contains(err.Error(), "\n") || !strings.HasPrefix(err.Error(), path) {
		t.Errorf("%s: %d clients, %v", name, len(s.Clients), err)
	}
}

// No file makes Load panic, and none that isn't Save's own is taken.
func FuzzLoad(f *testing.F) {
	path := filepath.Join(f.TempDir(), "known")
	if err := Save(path, sample(20)); err != nil {
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
			t.Fatal("a client changed")
		}
		if _, err := s.checkTrailer(body); err == nil && !bytes.Equal(body, good) {
			t.Fatal("a file that Save didn't write was taken")
		}
	})
}
