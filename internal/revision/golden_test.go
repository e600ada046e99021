package revision

import (
	"fmt"
	"testing"
	"time"

	"oatloft/internal/golden"
)

// TestFormOfRevisions checks that the encoding and hash of revisions and the messages between members do not change,
// since members of different versions share them.
func TestFormOfRevisions(t *testing.T) {
	var c Content
	golden.Fill(&c)
	c.FormatVersion, c.Note = FormatVersion, "naïve ☃ 𝄞"
	golden.Check(t, "content.json", Encode(&c))
	golden.Check(t, "content.sha256", []byte(Hash(&c)))
	golden.Check(t, "empty.json", Encode(&Content{FormatVersion: FormatVersion}))
	read, err := Decode(golden.Read(t, "content.json"))
	if err != nil {
		t.Fatal(err)
	}
	golden.Check(t, "content.json", Encode(read))
	golden.JSON[Command](t, "command.json")
	golden.JSON[RenewRequest](t, "renew.json")
	golden.JSON[RenewReply](t, "reply.json")
	golden.JSON[Holder](t, "holder.json")
}

// TestFormOfState checks that the encoding of snapshots and log entries does not change.
func TestFormOfState(t *testing.T) {
	var s State
	golden.Fill(&s)
	golden.Check(t, "state.json", s.Snapshot())
	var read State
	if err := read.Restore(golden.Read(t, "state.json")); err != nil {
		t.Fatal(err)
	}
	golden.Check(t, "state.json", read.Snapshot())
	c, err := DecodeCommand(golden.Read(t, "command.json"))
	if err != nil {
		t.Fatal(err)
	}
	golden.Check(t, "command.json", append(c.Encode(), '\n'))
}

// TestFormOfOrders checks that the lines of operators' calls do not change.
func TestFormOfOrders(t *testing.T) {
	out := ""
	for _, o := range []Call{
		{
			Verb:          VerbPropose,
			Key:           "k",
			Base:          3,
			GuardDuration: time.Minute,
			Deadline:      time.Second,
			By:            "ann",
			Text:          []byte(`{"oatloft_revision":1}`),
		},
		{Verb: VerbPropose, Key: "k", Base: Latest, Text: []byte(`{}`)},
		{Verb: VerbRollback, Key: "k", Base: Latest, Number: 2},
		{Verb: VerbGet, Number: Latest},
		{Verb: VerbList, Number: 7},
		{Verb: VerbStatus},
		{Verb: VerbOutcome, Key: "k"},
		{Verb: VerbReplace, Name: "a", NewName: "b"},
		{Verb: VerbForget, Name: "a"}} {
		out += o.String() + "\n"
		if read, err := ParseCall(o.String()); err != nil || read.String() != o.String() {
			t.Error(err, read)
		}
	}
	_, err := ParseCall("settle x")
	golden.Check(t, "orders.txt", []byte(out+fmt.Sprint(err, "\n")))
}
