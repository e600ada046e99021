package clientstore

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"oatloft/internal/admission"
	"oatloft/internal/golden"
)

// A file of an earlier version of the program is read completely, and the same clients result in the same bytes.
func TestFileFormat(t *testing.T) {
	at := time.Unix(1_700_000_000, 0)
	s := Snapshot{CreatedAt: at, Seed: 7, Clients: []admission.KnownClient{
		{ID: 11, Network: [2]uint64{1, 2}, Age: time.Minute, Tenured: true},
		{ID: 12, Network: [2]uint64{3, 1 << 63}, Age: 0}}}
	path := filepath.Join(t.TempDir(), "known")
	if err := Save(path, s); err != nil {
		t.Fatal(err)
	}
	body, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	golden.Check(t, "clients.db", body)
	if err := os.WriteFile(path, golden.Read(t, "clients.db"), 0o600); err != nil {
		t.Fatal(err)
	}
	got, err := Load(path, at, time.Hour)
	if diff := cmp.Diff(s, got); err != nil || diff != "" {
		t.Error(err, diff)
	}
}
