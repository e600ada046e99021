package membership

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"oatloft/internal/golden"
)

// Balancers of different versions exchange messages, so the encoding of a message must not change and recorded messages
// must still decode.
func TestMessageEncoding(t *testing.T) {
	var filled Message
	golden.Fill(&filled)
	filled.FormatVersion, filled.Kind, filled.From.State, filled.Members[0].State = FormatVersion, Gossip, Leaving, Suspect
	for name, message := range map[string]Message{
		"message-full.bin": filled,
		"message-ping.bin": {
			FormatVersion: FormatVersion,
			Cluster:       "c",
			From:          Record{Name: "lb-1", Addr: "10.0.0.1:7000", Generation: 1 << 40},
			Kind:          Ping,
			Sequence:      9,
			Target:        "lb-2",
		},
	} {
		body, err := Encode(&message)
		if err != nil {
			t.Fatal(err)
		}
		golden.Check(t, name, body)
		read, err := Decode(golden.Read(t, name))
		if diff := cmp.Diff(message, read); err != nil || diff != "" {
			t.Error(name, err, diff)
		}
	}
}

func TestCountersJSON(t *testing.T) { golden.JSON[Counters](t, "counters.json") }
