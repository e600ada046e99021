package consensus

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"testing"

	bolt "go.etcd.io/bbolt"

	"oatloft/internal/golden"
)

// TestStoredFormat guards the stored format: a folder of an earlier version must be read completely, and its header
// must be encoded to the same bytes.
func TestStoredFormat(t *testing.T) {
	folder := filepath.Join(t.TempDir(), "state")
	if os.Getenv("GOLDEN_UPDATE") != "" {
		if _, err := os.Stat("testdata/golden/folder.db"); err != nil {
			created, _ := fillFolder(t)
			body, err := os.ReadFile(filepath.Join(created, fileName))
			if err != nil {
				t.Fatal(err)
			}
			golden.Check(t, "folder.db", body)
		}
	}
	if err := os.Mkdir(folder, 0o700); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(filepath.Join(folder, fileName), golden.Read(t, "folder.db"), 0o600); err != nil {
		t.Fatal(err)
	}
	s, err := openStore(folder, "c", "m", nil)
	if err != nil {
		t.Fatal(err)
	}
	defer s.close()
	first, _ := s.FirstIndex()
	last, _ := s.LastIndex()
	snapshot, err := s.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	entries, err := s.Entries(first, last+1, 1<<30)
	if err != nil {
		t.Fatal(err)
	}
	text := fmt.Sprintln(first, last, len(snapshot.GetData()), string(snapshot.GetData()[:40]))
	for _, e := range entries {
		text += fmt.Sprintln(e.GetIndex(), e.GetTerm(), string(e.GetData()))
	}
	golden.Check(t, "folder.txt", []byte(text))
	err = s.db.View(func(tx *bolt.Tx) error {
		stored, ok := verifyChecksum(keyHeader, tx.Bucket(bucketMeta).Get(keyHeader))
		if !ok {
			return fmt.Errorf("header checksum mismatch")
		}
		again, err := json.Marshal(s.header)
		if string(stored) != string(again) {
			t.Errorf("header is encoded as %s, want %s", again, stored)
		}
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
}

// TestWireFormat guards the encoding of calls between members, which may run different versions.
func TestWireFormat(t *testing.T) {
	tr := newTransport(&Config{Cluster: "c", Name: "m"}, nil)
	golden.Check(t, "call.bin", tr.packCall([]byte("body")))
	if from, body, err := tr.unpackCall(golden.Read(t, "call.bin")); err != nil || from != "m" || string(body) != "body" {
		t.Error(from, string(body), err)
	}
	for name, err := range map[string]error{
		"answer.bin":        nil,
		"answer-leader.bin": &NotLeader{Leader: LeaderInfo{Name: "n"}},
		"answer-load.bin":   &Overloaded{What: "calls", Limit: 3},
		"answer-error.bin":  &RemoteError{Name: "m", Text: "no", Do: "wait"},
	} {
		golden.Check(t, name, packAnswer([]byte("out"), err))
		_, decoded := tr.unpackAnswer("n", "x", golden.Read(t, name))
		if (decoded == nil) != (err == nil) {
			t.Error(name, decoded)
		}
	}
	golden.JSON[remoteErrorMessage](t, "error.json")
	golden.JSON[header](t, "head.json")
	golden.JSON[bootstrap](t, "founding.json")
	golden.JSON[memberStatus](t, "standing.json")
	golden.JSON[memberAnswer](t, "member.json")
	golden.JSON[member](t, "seat.json")
	var status reportedStatus
	golden.Fill(&status.memberStatus)
	status.Leader, status.Term = "leader", 9
	body, err := json.Marshal(status)
	if err != nil {
		t.Fatal(err)
	}
	golden.Check(t, "standing-told.json", body)
	golden.Check(
		t,
		"snapshot.bin",
		packSnapshot([]member{{ID: 1, Name: "m", Zone: "z", Addr: "10.0.0.1:1", Replaces: 2}}, []byte("machine")),
	)
	golden.Check(
		t,
		"chain.txt",
		fmt.Appendln(nil, chainChecksum(1, 2, []byte("x")), newBootstrap("c", []member{{ID: 1}, {ID: 2}}).ID),
	)
}
