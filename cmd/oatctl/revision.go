package main

// Calls about routing revisions. A change is proposed with a key, so that it is applied at most once however often the
// call is repeated, and its outcome is queried by that key. Success or failure is reported only when a balancer has
// answered so.

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"io"
	"os"
	"os/signal"
	"os/user"
	"strconv"
	"strings"
	"time"

	"oatloft/internal/management"
	"oatloft/internal/revision"
	"oatloft/internal/revisioncue"
)

type revisionCommands struct {
	Propose  propose       `cmd:"" help:"Propose a new revision; it is applied by all balancers or by none."`
	Show     showRevision  `cmd:"" help:"Print a revision as it would be proposed."`
	List     list          `cmd:"" help:"List past revisions and the one in force."`
	Diff     diff          `cmd:"" help:"Print the differences between two revisions or files."`
	Rollback rollback      `cmd:"" help:"Propose the content of a past revision as a new one."`
	Status   statusCommand `cmd:"" help:"Print the revision in force, and which revision the balancers have."`
	Wait     wait          `cmd:"" help:"Wait for the outcome of a proposal."`
	Replace  replace       `cmd:"" help:"Transfer one member's vote to another."`
	Forget   forget        `cmd:"" help:"Remove a balancer for good, so that changes no longer wait for it."`
}

// managementFlags is the flag with the balancers to call: when one does not answer, the next one is tried.
type managementFlags struct {
	At []string `placeholder:"HOST:PORT" env:"PROXY_MANAGEMENT" help:"Management addresses, tried until one answers."`
}

// refusedError is a call that a balancer has refused.
type refusedError struct{ at, text, do string }

func (e *refusedError) Error() string {
	if e.at != "" {
		return e.at + ": " + e.text
	}
	return e.text
}

// Hint returns what an operator can do.
func (e *refusedError) Hint() string {
	if e.do == "" {
		return "see docs/operators/errors.md"
	}
	return e.do
}

func newRefusal(answer string) *refusedError {
	e := &refusedError{text: answer}
	if i := strings.LastIndex(answer, "; do: "); i >= 0 {
		e.text, e.do = answer[:i], answer[i+len("; do: "):]
	}
	return e
}

// unansweredError is a call that no balancer has answered conclusively.
type unansweredError struct {
	key  string // "" for a call that changes nothing
	last error
}

func (e *unansweredError) Error() string {
	if e.key == "" {
		return "no answer: " + e.last.Error()
	}
	return "outcome of proposal " + e.key + " is unknown: " + e.last.Error()
}

// Hint returns what an operator can do.
func (e *unansweredError) Hint() string {
	if e.key == "" {
		return "name another balancer with --at; oatctl revision status shows whether a majority of the voters is reachable"
	}
	return "run oatctl revision wait " + e.key + ", or repeat the call with --key " + e.key +
		": it is applied at most once"
}

// isRetryable reports whether the same call may succeed when it is repeated later.
func isRetryable(a management.Answer) bool {
	if a.OK {
		return false
	}
	for _, head := range []string{revision.RetryLaterPrefix, "busy: ", "leaving: "} {
		if strings.HasPrefix(a.Text, head) {
			return true
		}
	}
	return false
}

// retryInterval is the pause between two calls.
const retryInterval = 250 * time.Millisecond

// call repeats a call until a balancer answers it or ctx ends. Use it only for calls that are safe to repeat.
func (a managementFlags) call(ctx context.Context, o revision.Call) (string, error) {
	if len(a.At) == 0 {
		return "", &refusedError{text: "no balancer address given", do: "give --at HOST:PORT, or set PROXY_MANAGEMENT"}
	}
	var last error
	for i := 0; ; i++ {
		address := a.At[i%len(a.At)]
		answer, err := management.Call(address, "revision "+o.String())
		switch {
		case err != nil:
			last = err
		case isRetryable(answer):
			e := newRefusal(strings.TrimPrefix(answer.Text, revision.RetryLaterPrefix))
			e.at = address
			last = e
		case !answer.OK:
			return "", newRefusal(answer.Text)
		default:
			return answer.Text, nil
		}
		pause := retryInterval
		if i < len(a.At)-1 {
			pause = 0 // some addresses have not been tried yet
		}
		select {
		case <-ctx.Done():
			return "", &unansweredError{o.Key, last}
		case <-time.After(pause):
		}
	}
}

// queryContext returns a context with the timeout for calls that change nothing.
func queryContext() (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), 10*time.Second)
}

// fetch returns revision n.
func (a managementFlags) fetch(n uint64) (*revision.Content, error) {
	ctx, cancel := queryContext()
	defer cancel()
	text, err := a.call(ctx, revision.Call{Verb: revision.VerbGet, Number: n})
	if err != nil {
		return nil, err
	}
	return revision.Decode([]byte(text))
}

// changeFlags are the flags that proposals and rollbacks share.
type changeFlags struct {
	managementFlags
	From     *uint64       `placeholder:"N" help:"Fail unless this revision is in force, and report which one is."`
	Watch    time.Duration `placeholder:"30s" help:"Roll back if refusals, failures or late answers rise in this time."`
	Deadline time.Duration `placeholder:"10s" help:"Time for all balancers to agree; by default the one in the settings."`
	By       string        `help:"Author recorded in the history; the user's name if not given."`
	Key      string        `help:"Key of an earlier call whose answer was lost; a key makes one revision."`
	For      time.Duration `default:"2m" help:"Stop waiting after this; the proposal goes on."`
	NoWait   bool          `help:"Propose without waiting for the outcome."`
}

// submit proposes o and waits for its outcome; want is the short hash of the proposed content.
func (c *changeFlags) submit(o revision.Call, want string) error {
	o.Key, o.Base, o.GuardDuration, o.Deadline, o.By = c.Key, revision.Latest, c.Watch, c.Deadline, c.By
	if o.Key == "" {
		var b [8]byte
		_, _ = rand.Read(b[:])
		o.Key = hex.EncodeToString(b[:])
	}
	if u, err := user.Current(); o.By == "" && err == nil {
		o.By = u.Username
	}
	o.By = strings.ReplaceAll(o.By, " ", "-")
	if c.From != nil {
		o.Base = *c.From
	}
	if _, err := revision.ParseCall(o.String()); err != nil { // parsed as a balancer will parse it
		return err
	}
	fmt.Fprintln(os.Stderr, "key", o.Key)
	ctx, cancel := boundedContext(c.For)
	defer cancel()
	text, err := c.call(ctx, o)
	if refusal, ok := err.(*refusedError); ok { // an earlier call with the same key may have been accepted
		if text, err = c.call(ctx, revision.Call{Verb: revision.VerbOutcome, Key: o.Key}); err != nil {
			return refusal
		}
	}
	if err != nil {
		return err
	}
	if c.NoWait {
		fmt.Println(text)
		return nil
	}
	n, hash, err := c.awaitOutcome(ctx, o.Key, text)
	if err != nil {
		return err
	}
	if o.Verb == revision.VerbPropose && hash != want && hash != "-" {
		return &refusedError{
			text: fmt.Sprintf("key %s was already used for another revision, %d (%s); this one, %s, was not proposed",
				o.Key, n, hash, want),
			do: "repeat the call without --key",
		}
	}
	fmt.Printf("in force: %d %s\n", n, hash)
	if c.Watch == 0 {
		return nil
	}
	ctx, end := boundedContext(c.Watch + c.For)
	defer end()
	return c.awaitWatch(ctx, n, c.Watch)
}

// boundedContext returns a context that ends after d or when the operator interrupts the program.
func boundedContext(d time.Duration) (context.Context, context.CancelFunc) {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	ctx, cancel := context.WithTimeout(ctx, d)
	return ctx, func() { cancel(); stop() }
}

// awaitOutcome waits until the proposal with this key is settled; text is the latest answer about it.
func (a managementFlags) awaitOutcome(ctx context.Context, key, text string) (n uint64, hash string, err error) {
	printed := ""
	for {
		n, in, pending := revision.ParseAnswer(text)
		switch {
		case in:
			return n, strings.Fields(text + " - -")[2], nil
		case !pending:
			return 0, "", &unansweredError{key, &refusedError{text: "unexpected answer: " + text}}
		case text != printed:
			printed = text
			fmt.Fprintln(os.Stderr, text)
		}
		select {
		case <-ctx.Done():
			return 0, "", &unansweredError{key, &refusedError{text: text}}
		case <-time.After(retryInterval):
		}
		if text, err = a.call(ctx, revision.Call{Verb: revision.VerbOutcome, Key: key}); err != nil {
			return 0, "", err
		}
	}
}

// rolledBackError reports that a revision was rolled back, or replaced by another, during its watch period.
type rolledBackError struct{ number, now uint64 }

func (e *rolledBackError) Error() string {
	return fmt.Sprintf("revision %d did not pass its watch period: %d is in force", e.number, e.now)
}

// Hint returns what an operator can do.
func (e *rolledBackError) Hint() string {
	return fmt.Sprintf("see oatctl revision list for the reason, and oatctl revision diff %d %d for the changes",
		e.now, e.number)
}

// awaitWatch waits until the watch period of revision n has ended.
func (a managementFlags) awaitWatch(ctx context.Context, n uint64, watch time.Duration) error {
	fmt.Fprintln(os.Stderr, "watched for", watch)
	for {
		text, err := a.call(ctx, revision.Call{Verb: revision.VerbStatus})
		if err != nil {
			return err
		}
		now, err := strconv.ParseUint(field(text, "in-force"), 10, 64)
		switch w := field(text, "watch"); {
		case err != nil: // there is no leader at the moment
		case now != n:
			return &rolledBackError{n, now}
		case w == "kept":
			fmt.Println("kept:", n)
			return nil
		case w == "no-way-back":
			return &refusedError{text: fmt.Sprintf("revision %d did not pass its watch period, and its rollback failed", n),
				do: "see oatctl revision status for the members that do not agree, and roll back by hand"}
		}
		select {
		case <-ctx.Done():
			return &unansweredError{"", &refusedError{text: fmt.Sprintf("the watch period of revision %d has not ended", n)}}
		case <-time.After(retryInterval):
		}
	}
}

// field returns the value of name=value in an answer, or "" if it has none.
func field(text, name string) string {
	for _, f := range strings.Fields(text) {
		if v, ok := strings.CutPrefix(f, name+"="); ok {
			return v
		}
	}
	return ""
}

// readRevision reads and parses a revision file; - is standard input. It also returns the file's name for messages, and
// its text.
func readRevision(path string) (string, []byte, *revision.Content, error) {
	if path == "-" {
		body, err := io.ReadAll(io.LimitReader(os.Stdin, revisioncue.MaxBytes+1))
		if err != nil {
			return path, nil, nil, err
		}
		c, err := revisioncue.Parse("stdin", body)
		return "stdin", body, c, err
	}
	body, err := os.ReadFile(path)
	if err != nil {
		return path, nil, nil, err
	}
	c, err := revisioncue.Parse(path, body)
	return path, body, c, err
}

type propose struct {
	changeFlags
	File  string `arg:"" help:"The revision (CUE or JSON); - for standard input."`
	Check bool   `help:"Only validate the file, without calling a balancer."`
}

func (c *propose) Run() error {
	path, body, content, err := readRevision(c.File)
	if err != nil {
		return err
	}
	if c.Check {
		fmt.Println(path+": sound,", revision.HashPrefix(revision.Hash(content)))
		return nil
	}
	err = c.submit(
		revision.Call{Verb: revision.VerbPropose, Text: revision.Encode(content)},
		revision.HashPrefix(revision.Hash(content)),
	)
	if e, ok := err.(*refusedError); ok && e.at == "" {
		if at := revisioncue.Position(path, body, e.text); at != path {
			e.at = at
		}
	}
	return err
}

type rollback struct {
	changeFlags
	Number uint64 `arg:"" help:"Number of a past revision, see oatctl revision list."`
}

func (c *rollback) Run() error {
	return c.submit(revision.Call{Verb: revision.VerbRollback, Number: c.Number}, "")
}

type wait struct {
	managementFlags
	Key string        `arg:"" help:"Key of the proposal; propose and rollback print it first."`
	For time.Duration `default:"2m" help:"Stop waiting after this."`
}

func (c *wait) Run() error {
	ctx, cancel := boundedContext(c.For)
	defer cancel()
	text, err := c.call(ctx, revision.Call{Verb: revision.VerbOutcome, Key: c.Key})
	if err != nil {
		return err
	}
	n, hash, err := c.awaitOutcome(ctx, c.Key, text)
	if err == nil {
		fmt.Printf("in force: %d %s\n", n, hash)
	}
	return err
}

type showRevision struct {
	managementFlags
	Number string `arg:"" optional:"" default:"now" help:"Number of the revision; now for the one in force."`
	JSON   bool   `name:"json" help:"Print the JSON that balancers exchange, on one line."`
}

func (c *showRevision) Run() error {
	n, err := parseNumber(c.Number)
	if err != nil {
		return err
	}
	content, err := c.fetch(n)
	if err != nil {
		return err
	}
	if c.JSON {
		fmt.Println(string(revision.Encode(content)))
		return nil
	}
	_, err = os.Stdout.Write(revisioncue.Format(content))
	return err
}

func parseNumber(s string) (uint64, error) {
	if s == "now" || s == "-" {
		return revision.Latest, nil
	}
	n, err := strconv.ParseUint(s, 10, 63)
	if err != nil {
		return 0, &refusedError{
			text: strconv.Quote(s) + " is not a revision number",
			do:   "take one from oatctl revision list, or now for the one in force",
		}
	}
	return n, nil
}

type list struct {
	managementFlags
	Last int  `default:"20" help:"Number of revisions to print, the latest ones."`
	All  bool `help:"Print the whole history."`
}

func (c *list) Run() error {
	ctx, cancel := boundedContext(10 * time.Minute)
	defer cancel()
	after := revision.Latest
	if !c.All {
		text, err := c.call(ctx, revision.Call{Verb: revision.VerbStatus})
		if err != nil {
			return err
		}
		first, last, _ := strings.Cut(field(text, "history"), "..")
		from, err := strconv.ParseUint(first, 10, 63)
		to, err2 := strconv.ParseUint(last, 10, 63)
		if err == nil && err2 == nil && to >= from+uint64(max(c.Last, 0)) {
			after = to - uint64(max(c.Last, 0))
		}
	}
	for {
		text, err := c.call(ctx, revision.Call{Verb: revision.VerbList, Number: after})
		if err != nil {
			return err
		}
		if text == "-" {
			return nil
		}
		fmt.Println(text)
		first, _, _ := strings.Cut(text, " ")
		if after, err = parseNumber(first); err != nil {
			return err
		}
	}
}

type diff struct {
	managementFlags
	A string `arg:"" help:"A revision's number, now, or a file."`
	B string `arg:"" optional:"" default:"now" help:"As above; the one in force if not given."`
}

func (c *diff) Run() error {
	var sides [2]*revision.Content
	for i, source := range []string{c.A, c.B} {
		n, err := parseNumber(source)
		if err == nil {
			sides[i], err = c.fetch(n)
		} else if _, statErr := os.Stat(source); statErr == nil {
			_, _, sides[i], err = readRevision(source)
		}
		if err != nil {
			return err
		}
	}
	lines := revision.Diff(sides[0], sides[1])
	for _, l := range lines {
		fmt.Println(l)
	}
	if len(lines) == 0 {
		fmt.Println("no difference")
	}
	return nil
}

type statusCommand struct{ managementFlags }

func (c *statusCommand) Run() error { return c.print(revision.Call{Verb: revision.VerbStatus}) }

type replace struct {
	managementFlags
	Old string `arg:"" help:"A member that has a vote."`
	New string `arg:"" help:"The member that gets the vote."`
}

func (c *replace) Run() error {
	return c.print(revision.Call{Verb: revision.VerbReplace, Name: c.Old, NewName: c.New})
}

type forget struct {
	managementFlags
	Name string `arg:"" help:"The balancer. Its process must have ended: it could route by an old revision."`
}

func (c *forget) Run() error { return c.print(revision.Call{Verb: revision.VerbForget, Name: c.Name}) }

func (a managementFlags) print(o revision.Call) error {
	ctx, cancel := queryContext()
	defer cancel()
	text, err := a.call(ctx, o)
	if err == nil {
		fmt.Println(text)
	}
	return err
}
