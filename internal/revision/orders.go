package revision

// This file owns how operators' calls about revisions are written, and the first words of their answers: the line after
// "revision" at the management address, as oatctl writes it and a balancer reads it. It must never do what they ask for.

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// Verb is what an order asks for.
type Verb string

// The verbs, with what follows them in a line; "-" stands for what is not said.
const (
	VerbPropose  Verb = "propose"  // KEY FROM WATCH DEADLINE BY TEXT
	VerbRollback Verb = "rollback" // KEY FROM WATCH DEADLINE BY NUMBER
	VerbGet      Verb = "get"      // NUMBER; - for what is in force
	VerbList     Verb = "list"     // AFTER; - for the first that is kept
	VerbStatus   Verb = "status"   //
	VerbOutcome  Verb = "outcome"  // KEY
	VerbReplace  Verb = "replace"  // OLD NEW: a voter by another member
	VerbForget   Verb = "forget"   // NAME: a balancer that is known to be off
)

var verbs = []struct {
	verb Verb
	form string
	more int
}{
	{VerbPropose, "KEY FROM WATCH DEADLINE BY TEXT", 6}, {VerbRollback, "KEY FROM WATCH DEADLINE BY NUMBER", 6}, {VerbGet, "NUMBER", 1}, {VerbList, "AFTER", 1}, {VerbStatus, "", 0},
	{VerbOutcome, "KEY", 1}, {VerbReplace, "OLD NEW", 2}, {VerbForget, "NAME", 1},
}

// Latest is the number by which an order means what is in force.
const Latest = ^uint64(0)

// Order is one operators' call.
type Order struct {
	Verb     Verb
	Key      string        // of a proposal: the same call twice makes one revision
	Base     uint64        // in force as the operator has seen it; Latest where he doesn't mind
	GuardFor time.Duration // 0 for none
	Deadline time.Duration // 0 for the settings'
	By       string
	Text     []byte // of VerbPropose
	Number   uint64 // of VerbRollback and VerbGet; of VerbList: the one before the next, Latest for the first
	Name     string // of VerbForget; of VerbReplace the old one
	NewName  string // of VerbReplace: the new one
}

// MalformedOrder is the error that an operators' line is no order.
type MalformedOrder struct {
	Verb  Verb // "" if that is what is wrong
	Field string
	Cause string
}

func (e *MalformedOrder) Error() string {
	at := "revision"
	if e.Verb != "" {
		at += " " + string(e.Verb)
	}
	if e.Field != "" {
		at += ": " + e.Field
	}
	return at + ": " + e.Cause
}

// Hint is what an operator can do.
func (e *MalformedOrder) Hint() string {
	for _, v := range verbs {
		if v.verb == e.Verb {
			return "use oatctl revision " + string(e.Verb) + ", which writes revision " + strings.TrimSpace(string(v.verb)+" "+v.form)
		}
	}
	return "use oatctl revision, which writes one of propose, rollback, get, list, status, outcome, replace, forget"
}

// Bounds of orders' words.
const (
	maxKeyBytes      = 64
	maxNameBytes     = 64
	maxGuardDuration = time.Hour
)

// String is the line after "revision".
func (o Order) String() string {
	number := func(n uint64) string {
		if n == Latest {
			return "-"
		}
		return strconv.FormatUint(n, 10)
	}
	length := func(d time.Duration) string {
		if d == 0 {
			return "-"
		}
		return d.String()
	}
	head := string(o.Verb)
	switch o.Verb {
	case VerbPropose, VerbRollback:
		by := o.By
		if by == "" {
			by = "-"
		}
		what := string(o.Text)
		if o.Verb == VerbRollback {
			what = number(o.Number)
		}
		return strings.Join([]string{head, o.Key, number(o.Base), length(o.GuardFor), length(o.Deadline), by, what}, " ")
	case VerbGet:
		return head + " " + number(o.Number)
	case VerbList:
		return head + " " + number(o.Number)
	case VerbOutcome:
		return head + " " + o.Key
	case VerbReplace:
		return head + " " + o.Name + " " + o.NewName
	case VerbForget:
		return head + " " + o.Name
	}
	return head
}

// ParseOrder reads the line after "revision". The error is *Misread. The text of a proposal is not read: Decode does.
func ParseOrder(line string) (Order, error) {
	head, rest, _ := strings.Cut(strings.TrimSpace(line), " ")
	o := Order{Verb: Verb(head), Base: Latest, Number: Latest}
	wants := -1
	for _, v := range verbs {
		if v.verb == o.Verb {
			wants = v.more
		}
	}
	if wants < 0 {
		return o, &MalformedOrder{"", "", fmt.Sprintf("%.32q is no call", head)}
	}
	var f []string
	for rest = strings.TrimLeft(rest, " "); rest != "" && len(f) < wants-1; rest = strings.TrimLeft(rest, " ") {
		var word string
		word, rest, _ = strings.Cut(rest, " ")
		f = append(f, word)
	}
	if rest = strings.TrimRight(rest, " "); rest != "" {
		f = append(f, rest)
	}
	if len(f) != wants || o.Verb != VerbPropose && strings.Contains(rest, " ") {
		return o, &MalformedOrder{o.Verb, "", "not the words that it takes"}
	}
	r := orderReader{&o, nil}
	switch o.Verb {
	case VerbPropose, VerbRollback:
		r.name("KEY", f[0], maxKeyBytes, &o.Key)
		r.number("FROM", f[1], &o.Base)
		r.length("WATCH", f[2], maxGuardDuration, &o.GuardFor)
		r.length("DEADLINE", f[3], maxGuardDuration, &o.Deadline)
		if f[4] != "-" {
			r.name("BY", f[4], maxNameBytes, &o.By)
		}
		if o.Verb == VerbPropose {
			o.Text = []byte(f[5])
		} else if r.number("NUMBER", f[5], &o.Number); o.Number == Latest && r.err == nil {
			r.fault("NUMBER", f[5], "is no number of a revision")
		}
	case VerbGet:
		r.number("NUMBER", f[0], &o.Number)
	case VerbList:
		r.number("AFTER", f[0], &o.Number)
	case VerbOutcome:
		r.name("KEY", f[0], maxKeyBytes, &o.Key)
	case VerbReplace:
		r.name("OLD", f[0], maxNameBytes, &o.Name)
		r.name("NEW", f[1], maxNameBytes, &o.NewName)
	case VerbForget:
		r.name("NAME", f[0], maxNameBytes, &o.Name)
	}
	if r.err != nil {
		return o, r.err
	}
	return o, nil
}

type orderReader struct {
	o   *Order
	err *MalformedOrder
}

func (r *orderReader) fault(field, word, cause string) {
	if r.err == nil {
		r.err = &MalformedOrder{r.o.Verb, field, fmt.Sprintf("%.64q %s", word, cause)}
	}
}

func (r *orderReader) name(field, word string, most int, to *string) {
	if *to = word; !isName(word, most) || word == "-" {
		r.fault(field, word, fmt.Sprintf("is no word of at most %d bytes", most))
	}
}

func (r *orderReader) number(field, word string, to *uint64) {
	if word == "-" {
		*to = Latest
		return
	}
	n, err := strconv.ParseUint(word, 10, 63)
	if err != nil {
		r.fault(field, word, "is no number of a revision")
	}
	*to = n
}

func (r *orderReader) length(field, word string, most time.Duration, to *time.Duration) {
	if word == "-" {
		return
	}
	d, err := time.ParseDuration(word)
	if err != nil || d <= 0 || d > most {
		r.fault(field, word, fmt.Sprintf("is no time of up to %v", most))
	}
	*to = d
}

// PendingText is how a proposal's answer begins while it is under way: "pending KEY", with what it waits for behind.
func PendingText(key string, waits string) string {
	return strings.TrimSpace("pending " + key + " " + waits)
}

// SettledText is how it begins once the proposal is in force: "settled NUMBER HASH KEY".
func SettledText(number uint64, hash, key string) string {
	return fmt.Sprintf("settled %d %s %s", number, ShortHash(hash), key)
}

// RetryLaterPrefix is how the answer begins to an order that could not be taken up now, and may be repeated as it is: nothing is known to have
// come of it.
const RetryLaterPrefix = "later: "

// ReadAnswer reads the answer to a proposal or outcome: the number in force, whether it is pending. An answer that is neither is
// that the proposal ended nowhere, or was turned down.
func ReadAnswer(text string) (number uint64, settled, pending bool) {
	f := strings.Fields(text)
	switch {
	case len(f) > 1 && f[0] == "settled":
		n, err := strconv.ParseUint(f[1], 10, 63)
		return n, err == nil, false
	case len(f) > 1 && f[0] == "pending":
		return 0, false, true
	}
	return 0, false, false
}
