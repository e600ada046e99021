package revision

import (
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"oatloft/internal/hint"
)

// TestOrderRoundTrip checks that ParseCall parses what Call.String returns.
func TestOrderRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		name := func(what string) string { return rapid.StringMatching(`[a-z0-9][a-z0-9-]{0,20}`).Draw(t, what) }
		o := Call{Verb: rapid.SampledFrom(verbs).Draw(t, "verb").verb, Base: Latest, Number: Latest}
		number := rapid.SampledFrom([]uint64{0, 1, 12345, Latest})
		switch o.Verb {
		case VerbPropose, VerbRollback:
			o.Key, o.Base, o.By = name("key"), number.Draw(t, "from"), rapid.SampledFrom([]string{"", "amina"}).Draw(t, "by")
			o.GuardDuration, o.Deadline = rapid.SampledFrom([]time.Duration{0, 1500 * time.Millisecond}).
				Draw(t, "watch"),
				rapid.SampledFrom([]time.Duration{0, time.Minute}).
					Draw(t, "deadline")
			if o.Verb == VerbRollback {
				o.Number = uint64(rapid.IntRange(0, 99).Draw(t, "number"))
			} else {
				o.Text = Encode(&Content{FormatVersion: FormatVersion, Note: rapid.StringMatching(`[ -~]{0,20}`).Draw(t, "note")})
			}
		case VerbGet, VerbList:
			o.Number = number.Draw(t, "number")
		case VerbOutcome:
			o.Key = name("key")
		case VerbReplace:
			o.Name, o.NewName = name("old"), name("new")
		case VerbForget:
			o.Name = name("name")
		}
		if parsed, err := ParseCall(o.String()); err != nil || !cmp.Equal(parsed, o) {
			t.Fatalf("%q: %v\n%+v\n%+v", o, err, o, parsed)
		}
	})
}

// TestParseOrderErrors checks that a malformed call names the invalid argument, and that answers are parsed.
func TestParseOrderErrors(t *testing.T) {
	for line, want := range map[string]string{
		"":                                   `"" is no call`,
		"rollback":                           "wrong number of arguments",
		"undo 5":                             `"undo" is no call`,
		"status now":                         "wrong number of arguments",
		"get":                                "wrong number of arguments",
		"get 1 2":                            "wrong number of arguments",
		"get x":                              "NUMBER",
		"get -3":                             "NUMBER",
		"rollback k - - - me -":              "NUMBER",
		"propose k 1 - - me":                 "wrong number of arguments",
		"propose - 1 - - me {}":              "KEY",
		"propose k x - - me {}":              "FROM",
		"propose k 1 30 - me {}":             "WATCH",
		"propose k 1 - 2h me {}":             "DEADLINE",
		"rollback k 1 -1s - me 3":            "WATCH",
		"rollback k 1 - - me 3 4":            "wrong number of arguments",
		"outcome " + strings.Repeat("k", 65): "KEY",
		"forget -":                           "NAME",
		"replace a":                          "wrong number of arguments",
		"rollback k 1 - - " + strings.Repeat("b", 65) + " 3": "BY",
	} {
		_, err := ParseCall(line)
		var e *MalformedCall
		if !errors.As(err, &e) || !strings.Contains(err.Error(), want) || hint.Of(err) == "" {
			t.Errorf("%q: %v", line, err)
		}
	}
	if n, settled, _ := ParseAnswer(CommittedText(7, "0123456789abcdef0123", "k")); n != 7 || !settled {
		t.Error(n, settled)
	}
	if _, settled, pending := ParseAnswer(PendingText("k", "b2, b3")); settled || !pending {
		t.Error("the answer of a pending proposal is not parsed as pending")
	}
	if _, settled, pending := ParseAnswer("k ended nowhere: b2"); settled || pending {
		t.Error("the answer of an aborted proposal is parsed as settled or pending")
	}
}
