package hotrestart

import (
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"
	"os"
	"slices"
	"strings"
	"testing"
	"time"
)

// A process reads what another one wrote, and when both change the file, neither change is lost.
func TestSetMaintenance(t *testing.T) {
	dir := t.TempDir()
	a, b := Open(dir, "n/1"), Open(dir, "n/1")
	for i, err := range []error{
		a.SetMaintenance("x", true, Maintenance{KnownServers: []string{"x", "y"}}),
		b.SetMaintenance("y", true, Maintenance{}),
		b.SetMaintenance("y", true, Maintenance{}), a.SetMaintenance("x", false, Maintenance{}),
	} {
		if err != nil {
			t.Fatal(i, err)
		}
	}
	m, err := a.ReadMaintenance()
	if err != nil || !slices.Equal(m.Servers, []string{"y"}) || !slices.Equal(m.KnownServers, []string{"x", "y"}) {
		t.Fatal(m, err)
	}
	if !a.MaintenanceChanged() || a.MaintenanceChanged() {
		t.Fatal("a change is not reported exactly once")
	}
	if err := b.SetMaintenance("z", true, Maintenance{}); err != nil || !a.MaintenanceChanged() {
		t.Fatal("the other process's change is not reported", err)
	}
	if m, err := Open(dir, "n2").ReadMaintenance(); err != nil || len(m.Servers) > 0 {
		t.Fatal("maintenance of another balancer:", m, err)
	}
	list, err := os.ReadDir(dir)
	if err != nil || len(list) != 2 { // the file and the lock, and no temporary file
		t.Fatal(list, err)
	}
}

// An invalid file results in an error with its path and in empty state; the next change writes a valid one.
func TestInvalidFiles(t *testing.T) {
	dir := t.TempDir()
	d := Open(dir, "n1")
	if err := d.SetMaintenance("x", true, Maintenance{}); err != nil {
		t.Fatal(err)
	}
	good, err := os.ReadFile(d.statePath(maintenanceKind))
	if err != nil {
		t.Fatal(err)
	}
	for name, text := range map[string]string{
		"cut off": string(good[:len(good)/2]), "empty": "", "foreign": `{"form":"other","version":1}`, "no JSON": "\x00\x01",
		"changed":   strings.Replace(string(good), `"x"`, `"z"`, 1),
		"too new":   strings.Replace(string(good), `"version":1`, `"version":2`, 1),
		"another's": strings.Replace(string(good), `"n1"`, `"n2"`, 1), "long": strings.Repeat(" ", maxFileBytes+1),
	} {
		if err := os.WriteFile(d.statePath(maintenanceKind), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if m, err := d.ReadMaintenance(); err == nil || len(m.Servers) > 0 ||
			!strings.Contains(err.Error(), d.statePath(maintenanceKind)) ||
			strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: %v %v", name, m, err)
		}
		if err := d.SetMaintenance("y", true, Maintenance{Servers: []string{"x"}}); err != nil {
			t.Errorf("%s: %v", name, err)
		}
		if m, err := d.ReadMaintenance(); err != nil || !slices.Equal(m.Servers, []string{"x", "y"}) {
			t.Errorf("%s, after a call: %v %v", name, m, err)
		}
	}
	if err := Open(dir+"/none", "n1").SetMaintenance("x", true, Maintenance{}); !errors.Is(err, os.ErrNotExist) {
		t.Error("a directory that isn't there:", err)
	}
}

// State that the predecessor wrote too long ago is ignored, since its connections may no longer exist.
func TestReadPredecessor(t *testing.T) {
	d := Open(t.TempDir(), "n1")
	if _, ok, err := d.ReadPredecessor(time.Minute); ok || err != nil {
		t.Fatal("state without a predecessor:", ok, err)
	}
	if err := d.WriteForSuccessor(PredecessorState{FlowServers: map[string]string{"k": "r"}}); err != nil {
		t.Fatal(err)
	}
	if l, ok, err := d.ReadPredecessor(time.Minute); !ok || err != nil || l.FlowServers["k"] != "r" {
		t.Fatal(l, ok, err)
	}
	time.Sleep(5 * time.Millisecond)
	if _, ok, err := d.ReadPredecessor(time.Millisecond); ok || err != nil {
		t.Fatal("state that is too old:", ok, err)
	}
}

func FuzzFile(f *testing.F) {
	d := Open(f.TempDir(), "n1")
	if err := d.SetMaintenance("x", true, Maintenance{}); err != nil {
		f.Fatal(err)
	}
	good, _ := os.ReadFile(d.statePath(maintenanceKind))
	f.Add(good)
	for _, change := range [][2]string{{`"x"`, `"z"`}, {`"version":1`, `"version":2`}, {`"n1"`, `"n2"`}} {
		f.Add([]byte(strings.Replace(string(good), change[0], change[1], 1)))
	}
	f.Add([]byte(`{"form":"oatloft","version":1,"kind":"maintenance","balancer":"n1","body":null}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		var m Maintenance
		if _, err := d.decode(data, maintenanceKind, &m); err != nil {
			return
		}
		// Accepted data is of this balancer and version and has a valid checksum, as decoded independently by key.
		var e map[string]json.RawMessage
		sum := func() string { return fmt.Sprint(crc32.ChecksumIEEE(e["body"])) }
		if err := json.Unmarshal(data, &e); err == nil && len(e) == 7 &&
			(string(e["version"]) != "1" || string(e["crc32"]) != sum() || string(e["balancer"]) != `"n1"`) {
			t.Fatalf("%q was accepted", data)
		}
	})
}

// Processes of one balancer see each other and each other's usage while they are running.
func TestPresence(t *testing.T) {
	dir := t.TempDir()
	a, err := Open(dir, "n1").Register()
	if err != nil || len(a.Others()) > 0 {
		t.Fatal("others seen by the only process:", err, a.Others())
	}
	b, err := Open(dir, "n1").Register()
	if err != nil {
		t.Fatal(err)
	}
	if _, err := Open(dir, "n2").Register(); err != nil {
		t.Fatal(err)
	}
	use := Usage{Sockets: 700, Memory: 9 << 20, ShuttingDown: 1}
	if err := a.Write(use); err != nil {
		t.Fatal(err)
	}
	if o := b.Others(); len(o) != 1 || o[0] != use {
		t.Fatal("seen from the second:", o)
	}
	if o := a.Others(); len(o) != 1 {
		t.Fatal("seen from the first:", o)
	}
	if a.Close(); len(b.Others()) > 0 {
		t.Fatal("a process that has ended is still seen")
	}
}

// Guards against a record of a process that is about to end in the place of its successor's, which has newer addresses.
func TestDiscoveryRecordOfLatestProcessStays(t *testing.T) {
	d := Open(t.TempDir(), "lb")
	if _, ok, err := d.ReadDiscovery(); ok || err != nil {
		t.Error(ok, err)
	}
	later := DiscoveryRecord{Override: "b", Answered: "b", StartedMillis: 2}
	for _, record := range []DiscoveryRecord{{Override: "a", Answered: "a", StartedMillis: 1}, later, {Override: "a", StartedMillis: 1}} {
		if err := d.WriteDiscovery(record); err != nil {
			t.Fatal(err)
		}
	}
	if got, ok, err := d.ReadDiscovery(); got != later || !ok || err != nil {
		t.Error(got, ok, err)
	}
}

// A reload that another process announces is followed once, unless the file was read after it.
func TestReloadAnnounced(t *testing.T) {
	path := t.TempDir()
	one, other := Open(path, "lb"), Open(path, "lb")
	start := time.Now()
	if err := one.AnnounceReload(); err != nil {
		t.Fatal(err)
	}
	if one.ReloadAnnounced(start) || !other.ReloadAnnounced(start) || other.ReloadAnnounced(start) {
		t.Error("not followed once by the other process")
	}
	if Open(path, "lb").ReloadAnnounced(time.Now().Add(time.Minute)) {
		t.Error("followed by a process that has read the file since")
	}
}
