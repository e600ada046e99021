package revision

import (
	"cmp"
	"fmt"
	"slices"
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

// verbForm is what follows a verb.
type verbForm struct {
	verb  Verb
	form  string
	words int
}

var verbs = []verbForm{
	{VerbPropose, "KEY FROM WATCH DEADLINE BY TEXT", 6},
	{VerbRollback, "KEY FROM WATCH DEADLINE BY NUMBER", 6},
	{VerbGet, "NUMBER", 1},
	{VerbList, "AFTER", 1},
	{VerbStatus, "", 0},
	{VerbOutcome, "KEY", 1},
	{VerbReplace, "OLD NEW", 2},
	{VerbForget, "NAME", 1},
}

// Latest is the number by which an order means the revision in force.
const Latest = ^uint64(0)

// Order is one operator's call: the line after "revision" at the management address.
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

// MalformedOrder is the error that an operator's line is no order.
type MalformedOrder struct {
	Verb  Verb // "" if that is what is wrong
	Field string
	Cause string
}

// Error says which word is wrong.
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
			return "use oatctl revision " + string(
				e.Verb,
			) + ", which writes revision " + strings.TrimSpace(
				string(v.verb)+" "+v.form,
			)
		}
	}
	return "use oatctl revision, which writes one of propose, rollback, get, list, status, outcome, replace, forget"
}

// Limits of orders' words.
const (
	maxNameBytes     = 64 // of a key, too
	maxGuardDuration = time.Hour
)

// unsaid stands for a word that an order does not say.
const unsaid = "-"

// String returns the line after "revision".
func (o Order) String() string {
	words := []string{string(o.Verb)}
	switch o.Verb {
	case VerbPropose, VerbRollback:
		what := string(o.Text)
		if o.Verb == VerbRollback {
			what = formatNumber(o.Number)
		}
		words = append(words, o.Key, formatNumber(o.Base), formatDuration(o.GuardFor), formatDuration(o.Deadline),
			cmp.Or(o.By, unsaid), what)
	case VerbGet, VerbList:
		words = append(words, formatNumber(o.Number))
	case VerbOutcome:
		words = append(words, o.Key)
	case VerbReplace:
		words = append(words, o.Name, o.NewName)
	case VerbForget:
		words = append(words, o.Name)
	}
	return strings.Join(words, " ")
}

func formatNumber(n uint64) string {
	if n == Latest {
		return unsaid
	}
	return formatUint(n)
}

func formatDuration(d time.Duration) string {
	if d == 0 {
		return unsaid
	}
	return d.String()
}

// ParseOrder reads the line after "revision". The error is a *MalformedOrder. The text of a proposal is left to
// Decode.
func ParseOrder(line string) (Order, error) {
	verb, rest, _ := strings.Cut(strings.TrimSpace(line), " ")
	o := Order{Verb: Verb(verb), Base: Latest, Number: Latest}
	i := slices.IndexFunc(verbs, func(v verbForm) bool { return v.verb == o.Verb })
	if i < 0 {
		return o, &MalformedOrder{"", "", fmt.Sprintf("%.32q is no call", verb)}
	}
	words := splitWords(rest, verbs[i].words)
	textHasSpaces := len(words) > 0 && strings.Contains(words[len(words)-1], " ")
	if len(words) != verbs[i].words || o.Verb != VerbPropose && textHasSpaces {
		return o, &MalformedOrder{o.Verb, "", "not the words that it takes"}
	}
	r := orderReader{order: &o}
	r.read(words)
	if r.err != nil {
		return o, r.err
	}
	return o, nil
}

// splitWords cuts text into so many words at most; the last one is the rest.
func splitWords(text string, most int) (words []string) {
	rest := strings.TrimLeft(text, " ")
	for rest != "" && len(words) < most-1 {
		var word string
		word, rest, _ = strings.Cut(rest, " ")
		words = append(words, word)
		rest = strings.TrimLeft(rest, " ")
	}
	if rest = strings.TrimRight(rest, " "); rest != "" {
		words = append(words, rest)
	}
	return words
}

// orderReader reads an order's words, and keeps the first fault.
type orderReader struct {
	order *Order
	err   *MalformedOrder
}

func (r *orderReader) read(words []string) {
	o := r.order
	switch o.Verb {
	case VerbPropose, VerbRollback:
		r.readProposal(words)
	case VerbGet:
		r.number("NUMBER", words[0], &o.Number)
	case VerbList:
		r.number("AFTER", words[0], &o.Number)
	case VerbOutcome:
		r.name("KEY", words[0], &o.Key)
	case VerbReplace:
		r.name("OLD", words[0], &o.Name)
		r.name("NEW", words[1], &o.NewName)
	case VerbForget:
		r.name("NAME", words[0], &o.Name)
	}
}

func (r *orderReader) readProposal(words []string) {
	o := r.order
	r.name("KEY", words[0], &o.Key)
	r.number("FROM", words[1], &o.Base)
	r.duration("WATCH", words[2], maxGuardDuration, &o.GuardFor)
	r.duration("DEADLINE", words[3], maxGuardDuration, &o.Deadline)
	if words[4] != unsaid {
		r.name("BY", words[4], &o.By)
	}
	if o.Verb == VerbPropose {
		o.Text = []byte(words[5])
		return
	}
	r.number("NUMBER", words[5], &o.Number)
	if o.Number == Latest {
		r.fault("NUMBER", words[5], "is no number of a revision")
	}
}

func (r *orderReader) fault(field, word, cause string) {
	if r.err == nil {
		r.err = &MalformedOrder{r.order.Verb, field, fmt.Sprintf("%.64q %s", word, cause)}
	}
}

func (r *orderReader) name(field, word string, to *string) {
	*to = word
	if !isName(word, maxNameBytes) || word == unsaid {
		r.fault(field, word, fmt.Sprintf("is no word of at most %d bytes", maxNameBytes))
	}
}

func (r *orderReader) number(field, word string, to *uint64) {
	if word == unsaid {
		*to = Latest
		return
	}
	n, err := strconv.ParseUint(word, 10, 63)
	if err != nil {
		r.fault(field, word, "is no number of a revision")
	}
	*to = n
}

func (r *orderReader) duration(field, word string, most time.Duration, to *time.Duration) {
	if word == unsaid {
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

// RetryLaterPrefix begins the answer to an order that could not be taken now, and may be repeated as it is: nothing
// is known to have come of it.
const RetryLaterPrefix = "later: "

// ReadAnswer reads the answer to a proposal or outcome: the number as which it is in force, or that it is pending.
// An answer that is neither says that the proposal was given up, or rejected.
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
