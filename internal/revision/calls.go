package revision

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Verb is the operation that a call requests.
type Verb string

// The verbs, with the arguments that follow them in a line; "-" stands for an argument that is not set.
const (
	VerbPropose  Verb = "propose"  // KEY FROM WATCH DEADLINE BY TEXT
	VerbRollback Verb = "rollback" // KEY FROM WATCH DEADLINE BY NUMBER
	VerbGet      Verb = "get"      // NUMBER; - for the revision in force
	VerbList     Verb = "list"     // AFTER; - for the first revision in the history
	VerbStatus   Verb = "status"   //
	VerbOutcome  Verb = "outcome"  // KEY
	VerbReplace  Verb = "replace"  // OLD NEW: replaces a voter by another member
	VerbForget   Verb = "forget"   // NAME: a balancer that is known to be switched off
)

// verbSyntax gives the arguments of a verb.
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

// Latest is the revision number that stands for the revision in force in a call.
const Latest = ^uint64(0)

// Call is one call by an operator: the line after "revision" at the management address.
type Call struct {
	Verb          Verb
	Key           string        // idempotency key of a proposal: repeating the call makes no second revision
	Base          uint64        // the revision that the operator expects to be in force; Latest for any
	GuardDuration time.Duration // 0 for no guard
	Deadline      time.Duration // 0 for the settings' default
	By            string
	Text          []byte // for VerbPropose
	Number        uint64 // for VerbRollback and VerbGet; for VerbList the last one already seen, Latest for none
	Name          string // for VerbForget; for VerbReplace the old voter
	NewName       string // for VerbReplace the new voter
}

// MalformedCall reports that an operator's line is not a valid call.
type MalformedCall struct {
	Verb  Verb // "" if the verb itself is invalid
	Field string
	Cause string
}

// Error names the invalid argument.
func (e *MalformedCall) Error() string {
	at := "revision"
	if e.Verb != "" {
		at += " " + string(e.Verb)
	}
	if e.Field != "" {
		at += ": " + e.Field
	}
	return at + ": " + e.Cause
}

// Hint returns what an operator can do about it.
func (e *MalformedCall) Hint() string {
	for _, v := range verbs {
		if v.verb == e.Verb {
			return "use oatctl revision " + string(
				e.Verb,
			) + ", which sends revision " + strings.TrimSpace(
				string(v.verb)+" "+v.arguments,
			)
		}
	}
	return "use oatctl revision, which sends one of propose, rollback, get, list, status, outcome, replace, forget"
}

// Limits of the arguments of calls.
const (
	maxNameBytes     = 64 // bytes of a name or key
	maxGuardDuration = time.Hour
)

// unspecified stands for an argument that a call does not set.
const unspecified = "-"

// String returns the call as the line after "revision".
func (o Call) String() string {
	fields := []string{string(o.Verb)}
	switch o.Verb {
	case VerbPropose, VerbRollback:
		lastArgument := string(o.Text)
		if o.Verb == VerbRollback {
			lastArgument = formatNumber(o.Number)
		}
		fields = append(fields, o.Key, formatNumber(o.Base), formatDuration(o.GuardDuration), formatDuration(o.Deadline),
			cmp.Or(o.By, unspecified), lastArgument)
	case VerbGet, VerbList:
		fields = append(fields, formatNumber(o.Number))
	case VerbOutcome:
		fields = append(fields, o.Key)
	case VerbReplace:
		fields = append(fields, o.Name, o.NewName)
	case VerbForget:
		fields = append(fields, o.Name)
	}
	return strings.Join(fields, " ")
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

// ParseCall parses the line after "revision". The error is a *MalformedCall. The text of a proposal is not checked
// here; see Decode.
func ParseCall(line string) (Call, error) {
	verb, rest, _ := strings.Cut(strings.TrimSpace(line), " ")
	o := Call{Verb: Verb(verb), Base: Latest, Number: Latest}
	i := slices.IndexFunc(verbs, func(v verbSyntax) bool { return v.verb == o.Verb })
	if i < 0 {
		return o, &MalformedCall{"", "", fmt.Sprintf("%.32q is no call", verb)}
	}
	arguments := splitArguments(rest, verbs[i].argumentCount)
	textHasSpaces := len(arguments) > 0 && strings.Contains(arguments[len(arguments)-1], " ")
	if len(arguments) != verbs[i].argumentCount || o.Verb != VerbPropose && textHasSpaces {
		return o, &MalformedCall{o.Verb, "", "wrong number of arguments"}
	}
	parser := callParser{call: &o}
	parser.parse(arguments)
	if parser.err != nil {
		return o, parser.err
	}
	return o, nil
}

// splitArguments splits text at spaces into at most limit arguments. The last one holds the rest of the text.
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

// callParser parses the arguments of a call and keeps the first error.
type callParser struct {
	call *Call
	err  *MalformedCall
}

func (p *callParser) parse(arguments []string) {
	o := p.call
	switch o.Verb {
	case VerbPropose, VerbRollback:
		p.parseProposal(arguments)
	case VerbGet:
		p.number("NUMBER", arguments[0], &o.Number)
	case VerbList:
		p.number("AFTER", arguments[0], &o.Number)
	case VerbOutcome:
		p.name("KEY", arguments[0], &o.Key)
	case VerbReplace:
		p.name("OLD", arguments[0], &o.Name)
		p.name("NEW", arguments[1], &o.NewName)
	case VerbForget:
		p.name("NAME", arguments[0], &o.Name)
	}
}

func (p *callParser) parseProposal(arguments []string) {
	o := p.call
	p.name("KEY", arguments[0], &o.Key)
	p.number("FROM", arguments[1], &o.Base)
	p.duration("WATCH", arguments[2], maxGuardDuration, &o.GuardDuration)
	p.duration("DEADLINE", arguments[3], maxGuardDuration, &o.Deadline)
	if arguments[4] != unspecified {
		p.name("BY", arguments[4], &o.By)
	}
	if o.Verb == VerbPropose {
		o.Text = []byte(arguments[5])
		return
	}
	p.number("NUMBER", arguments[5], &o.Number)
	if o.Number == Latest {
		p.fail("NUMBER", arguments[5], "is not a revision number")
	}
}

func (p *callParser) fail(field, argument, cause string) {
	if p.err == nil {
		p.err = &MalformedCall{p.call.Verb, field, fmt.Sprintf("%.64q %s", argument, cause)}
	}
}

func (p *callParser) name(field, argument string, target *string) {
	*target = argument
	if !isName(argument, maxNameBytes) || argument == unspecified {
		p.fail(field, argument, fmt.Sprintf("is not a name of at most %d bytes without spaces", maxNameBytes))
	}
}

func (p *callParser) number(field, argument string, target *uint64) {
	if argument == unspecified {
		*target = Latest
		return
	}
	n, err := strconv.ParseUint(argument, 10, 63)
	if err != nil {
		p.fail(field, argument, "is not a revision number")
	}
	*target = n
}

func (p *callParser) duration(field, argument string, limit time.Duration, target *time.Duration) {
	if argument == unspecified {
		return
	}
	d, err := time.ParseDuration(argument)
	if err != nil || d <= 0 || d > limit {
		p.fail(field, argument, fmt.Sprintf("is not a duration of up to %v", limit))
	}
	*target = d
}

// PendingText returns the answer for a pending proposal: "pending KEY", followed by what it waits for.
func PendingText(key string, waitingFor string) string {
	return strings.TrimSpace("pending " + key + " " + waitingFor)
}

// CommittedText returns the answer for a proposal that has come into force: "settled NUMBER HASH KEY".
func CommittedText(number uint64, hash, key string) string {
	return fmt.Sprintf("settled %d %s %s", number, HashPrefix(hash), key)
}

// RetryLaterPrefix begins the answer to a call that could not be carried out now and may be repeated unchanged. The
// call is not known to have had any effect.
const RetryLaterPrefix = "later: "

// ParseAnswer parses the answer to a proposal or outcome. It returns the number of the revision if the proposal has
// come into force, or pending. Any other answer means that the proposal was aborted or rejected.
func ParseAnswer(text string) (number uint64, settled, pending bool) {
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
