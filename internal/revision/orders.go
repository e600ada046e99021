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
type verbSyntax struct {
	verb          Verb
	arguments     string
	argumentCount int
}

var verbs = []verbSyntax{
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
				string(v.verb)+" "+v.arguments,
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
const unspecified = "-"

// String returns the line after "revision".
func (o Order) String() string {
	words := []string{string(o.Verb)}
	switch o.Verb {
	case VerbPropose, VerbRollback:
		lastArgument := string(o.Text)
		if o.Verb == VerbRollback {
			lastArgument = formatNumber(o.Number)
		}
		words = append(words, o.Key, formatNumber(o.Base), formatDuration(o.GuardFor), formatDuration(o.Deadline),
			cmp.Or(o.By, unspecified), lastArgument)
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
		return unspecified
	}
	return formatUint(n)
}

func formatDuration(d time.Duration) string {
	if d == 0 {
		return unspecified
	}
	return d.String()
}

// ParseOrder reads the line after "revision". The error is a *MalformedOrder. The text of a proposal is left to
// Decode.
func ParseOrder(line string) (Order, error) {
	verb, rest, _ := strings.Cut(strings.TrimSpace(line), " ")
	o := Order{Verb: Verb(verb), Base: Latest, Number: Latest}
	i := slices.IndexFunc(verbs, func(v verbSyntax) bool { return v.verb == o.Verb })
	if i < 0 {
		return o, &MalformedOrder{"", "", fmt.Sprintf("%.32q is no call", verb)}
	}
	arguments := splitArguments(rest, verbs[i].argumentCount)
	textHasSpaces := len(arguments) > 0 && strings.Contains(arguments[len(arguments)-1], " ")
	if len(arguments) != verbs[i].argumentCount || o.Verb != VerbPropose && textHasSpaces {
		return o, &MalformedOrder{o.Verb, "", "not the words that it takes"}
	}
	parser := orderParser{order: &o}
	parser.parse(arguments)
	if parser.err != nil {
		return o, parser.err
	}
	return o, nil
}

// splitWords cuts text into so many words at most; the last one is the rest.
func splitArguments(text string, limit int) (arguments []string) {
	rest := strings.TrimLeft(text, " ")
	for rest != "" && len(arguments) < limit-1 {
		var argument string
		argument, rest, _ = strings.Cut(rest, " ")
		arguments = append(arguments, argument)
		rest = strings.TrimLeft(rest, " ")
	}
	if rest = strings.TrimRight(rest, " "); rest != "" {
		arguments = append(arguments, rest)
	}
	return arguments
}

// orderReader reads an order's words, and keeps the first fault.
type orderParser struct {
	order *Order
	err   *MalformedOrder
}

func (r *orderParser) parse(arguments []string) {
	o := r.order
	switch o.Verb {
	case VerbPropose, VerbRollback:
		r.parseProposal(arguments)
	case VerbGet:
		r.number("NUMBER", arguments[0], &o.Number)
	case VerbList:
		r.number("AFTER", arguments[0], &o.Number)
	case VerbOutcome:
		r.name("KEY", arguments[0], &o.Key)
	case VerbReplace:
		r.name("OLD", arguments[0], &o.Name)
		r.name("NEW", arguments[1], &o.NewName)
	case VerbForget:
		r.name("NAME", arguments[0], &o.Name)
	}
}

func (r *orderParser) parseProposal(arguments []string) {
	o := r.order
	r.name("KEY", arguments[0], &o.Key)
	r.number("FROM", arguments[1], &o.Base)
	r.duration("WATCH", arguments[2], maxGuardDuration, &o.GuardFor)
	r.duration("DEADLINE", arguments[3], maxGuardDuration, &o.Deadline)
	if arguments[4] != unspecified {
		r.name("BY", arguments[4], &o.By)
	}
	if o.Verb == VerbPropose {
		o.Text = []byte(arguments[5])
		return
	}
	r.number("NUMBER", arguments[5], &o.Number)
	if o.Number == Latest {
		r.fail("NUMBER", arguments[5], "is no number of a revision")
	}
}

func (r *orderParser) fail(field, argument, cause string) {
	if r.err == nil {
		r.err = &MalformedOrder{r.order.Verb, field, fmt.Sprintf("%.64q %s", argument, cause)}
	}
}

func (r *orderParser) name(field, argument string, target *string) {
	*target = argument
	if !isName(argument, maxNameBytes) || argument == unspecified {
		r.fail(field, argument, fmt.Sprintf("is no word of at most %d bytes", maxNameBytes))
	}
}

func (r *orderParser) number(field, argument string, target *uint64) {
	if argument == unspecified {
		*target = Latest
		return
	}
	n, err := strconv.ParseUint(argument, 10, 63)
	if err != nil {
		r.fail(field, argument, "is no number of a revision")
	}
	*target = n
}

func (r *orderParser) duration(field, argument string, limit time.Duration, target *time.Duration) {
	if argument == unspecified {
		return
	}
	d, err := time.ParseDuration(argument)
	if err != nil || d <= 0 || d > limit {
		r.fail(field, argument, fmt.Sprintf("is no time of up to %v", limit))
	}
	*target = d
}

// PendingText is how a proposal's answer begins while it is under way: "pending KEY", with what it waits for behind.
func PendingText(key string, waitingFor string) string {
	return strings.TrimSpace("pending " + key + " " + waitingFor)
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
	fields := strings.Fields(text)
	switch {
	case len(fields) > 1 && fields[0] == "settled":
		n, err := strconv.ParseUint(fields[1], 10, 63)
		return n, err == nil, false
	case len(fields) > 1 && fields[0] == "pending":
		return 0, false, true
	}
	return 0, false, false
}
