package hotrestart

import (
	"bytes"
	"errors"
	"os"
	"regexp"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"oatloft/internal/golden"
)

var writtenAt = regexp.MustCompile(`"written_ms":\d+`)

// Files written by an earlier version are read, and newly written files have the same bytes except for the time.
func TestFileFormats(t *testing.T) {
	m := Maintenance{Servers: []string{"s-1", "s-2"}, KnownServers: []string{"s-1", "s-2", "s-3"}}
	l := PredecessorState{KnownServers: []string{"s-1"}, FlowServers: map[string]string{"key-a": "s-1", "key-b": "s-3"}}
	a := DiscoveryRecord{Override: "127.0.0.1:1", File: "127.0.0.1:2", Answered: "127.0.0.1:2", StartedMillis: 1700000000000}
	d := Open(t.TempDir(), "lb 1/a")
	err := errors.Join(d.write(maintenanceKind, m), d.write(predecessorKind, l), d.WriteDiscovery(a), d.AnnounceReload())
	if err != nil {
		t.Fatal(err)
	}
	for _, kind := range []string{maintenanceKind, predecessorKind, discoveryKind, reloadKind} {
		body, err := os.ReadFile(d.statePath(kind))
		if err != nil {
			t.Fatal(err)
		}
		golden.Check(t, kind+".json", writtenAt.ReplaceAll(body, []byte(`"written_ms":1700000000000`)))
		if err := os.WriteFile(d.statePath(kind), golden.Read(t, kind+".json"), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	gotM, err := d.ReadMaintenance()
	if diff := cmp.Diff(m, gotM); err != nil || diff != "" {
		t.Error(err, diff)
	}
	gotL, ok, err := d.ReadPredecessor(100 * 365 * 24 * time.Hour)
	if diff := cmp.Diff(l, gotL); err != nil || !ok || diff != "" {
		t.Error(ok, err, diff)
	}
	gotA, ok, err := d.ReadDiscovery()
	if diff := cmp.Diff(a, gotA); err != nil || !ok || diff != "" {
		t.Error(ok, err, diff)
	}
	if !d.ReloadAnnounced(time.UnixMilli(1700000000000)) || d.ReloadAnnounced(time.Time{}) {
		t.Error("a reload counts once")
	}
}

// A presence file may be read by a process of another version while both run.
func TestPresenceFormat(t *testing.T) {
	d := Open(t.TempDir(), "lb")
	p, err := d.Register()
	if err != nil {
		t.Fatal(err)
	}
	defer p.Close()
	if err := p.Write(Usage{Sockets: 300, Memory: 1 << 40, ShuttingDown: 1}); err != nil {
		t.Fatal(err)
	}
	body, err := os.ReadFile(d.presenceFile(p.number))
	if err != nil {
		t.Fatal(err)
	}
	golden.Check(t, "presence.use", body)
	q, err := d.Register()
	if err != nil {
		t.Fatal(err)
	}
	defer q.Close()
	if _, err := p.file.WriteAt(golden.Read(t, "presence.use"), 0); err != nil {
		t.Fatal(err)
	}
	if others := q.Others(); len(others) != 1 || others[0] != (Usage{300, 1 << 40, 1}) {
		t.Errorf("%+v", others)
	}
	if _, err := os.Stat(d.path + "/oatloft-lb-0.use"); err != nil ||
		!bytes.HasSuffix([]byte(d.presenceFile(0)), []byte("/oatloft-lb-0.use")) {
		t.Error("the file has another name:", d.presenceFile(0), err)
	}
}
