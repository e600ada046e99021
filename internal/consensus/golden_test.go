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

// A folder of an earlier version is opened whole, and its head is written again to the same bytes.
func TestFormOfFolder(t *testing.T) {
	folder := filepath.Join(t.TempDir(), "state")
	if os.Getenv("GOLDEN_UPDATE") != "" {
		if _, err := os.Stat("testdata/golden/folder.db"); err != nil {
			made, _ := filled(t)
			body, err := os.ReadFile(filepath.Join(made, fileName))
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
	snap, err := s.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	list, err := s.Entries(first, last+1, 1<<30)
	if err != nil {
		t.Fatal(err)
	}
	text := fmt.Sprintln(first, last, len(snap.GetData()), string(snap.GetData()[:40]))
	for _, e := range list {
		text += fmt.Sprintln(e.GetIndex(), e.GetTerm(), string(e.GetData()))
	}
	golden.Check(t, "folder.txt", []byte(text))
	err = s.db.View(func(tx *bolt.Tx) error {
		stored, ok := verifyChecksum(keyHeader, tx.Bucket(bucketMeta).Get(keyHeader))
		if !ok {
			return fmt.Errorf("the head's sum doesn't fit")
		}
		again, err := json.Marshal(s.header)
		if string(stored) != string(again) {
			t.Errorf("head is written as %s, was %s", again, stored)
		}
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
}

// Calls between members of two versions keep their bytes.
func TestFormOfCalls(t *testing.T) {
	w := newTransport(&Config{Cluster: "c", Name: "m"}, nil)
	golden.Check(t, "call.bin", w.packCall([]byte("body")))
	if from, body, err := w.unpackCall(golden.Read(t, "call.bin")); err != nil || from != "m" || string(body) != "body" {
		t.Error(from, string(body), err)
	}
	for name, err := range map[string]error{
		"answer.bin":        nil,
		"answer-leader.bin": &NotLeader{Leader: LeaderInfo{Name: "n"}},
		"answer-load.bin":   &Overloaded{What: "calls", Limit: 3},
		"answer-error.bin":  &RemoteError{Name: "m", Text: "no", Do: "wait"},
	} {
		golden.Check(t, name, packAnswer([]byte("out"), err))
		_, back := w.unpackAnswer("n", "x", golden.Read(t, name))
		if (back == nil) != (err == nil) {
			t.Error(name, back)
		}
	}
	golden.JSON[remoteErrorMessage](t, "error.json")
	golden.JSON[header](t, "head.json")
	golden.JSON[bootstrap](t, "founding.json")
	golden.JSON[memberStatus](t, "standing.json")
	golden.JSON[memberAnswer](t, "member.json")
	golden.JSON[member](t, "seat.json")
	var told reportedStatus
	golden.Fill(&told.memberStatus)
	told.Leader, told.Term = "leader", 9
	body, err := json.Marshal(told)
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
