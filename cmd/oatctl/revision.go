package main

// Calls about routing revisions. This file owns that a change is handed in once, however often its call has to be repeated: each has a
// key, and what became of it is asked for by that. It must never tell that a change was made, or was not, without an answer that says so.

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

type revisionCalls struct {
	Propose  propose  `cmd:"" help:"Have all balancers go by a new revision, everywhere or nowhere."`
	Show     showRev  `cmd:"" help:"Print a revision as it would be proposed."`
	List     list     `cmd:"" help:"List past revisions and the one in force."`
	Diff     diff     `cmd:"" help:"Say what a revision or file has otherwise than another."`
	Rollback rollback `cmd:"" help:"Have the content of a past revision in force again, as a new one."`
	Status   state    `cmd:"" help:"Ask what is in force, and how a balancer and the others stand to it."`
	Wait     wait     `cmd:"" help:"Wait for what becomes of a proposal."`
	Replace  replace  `cmd:"" help:"Give one member's vote to another."`
	Forget   forget   `cmd:"" help:"Say that a balancer is off for good: changes wait for it no more."`
}

// ats is where calls go: to the next address where one doesn't answer.
type ats struct {
	At []string `placeholder:"HOST:PORT" env:"PROXY_MANAGEMENT" help:"Balancers' second addresses (management): any one will do, the next is asked where one doesn't answer."`
}

// refused is the error that a balancer said no.
type refused struct{ at, text, do string }

func (e *refused) Error() string {
	if e.at != "" {
		return e.at + ": " + e.text
	}
	return e.text
}

// Hint is what an operator can do.
func (e *refused) Hint() string {
	if e.do == "" {
		return "see docs/operators/errors.md"
	}
	return e.do
}

func no(answer string) *refused {
	e := &refused{text: answer}
	if i := strings.LastIndex(answer, "; do: "); i >= 0 {
		e.text, e.do = answer[:i], answer[i+len("; do: "):]
	}
	return e
}

// unanswered is the error that nobody gave an answer that settles it.
type unanswered struct {
	key  string // "" where nothing was to be changed
	last error
}

func (e *unanswered) Error() string {
	if e.key == "" {
		return "no answer: " + e.last.Error()
	}
	return "not known what became of " + e.key + ": " + e.last.Error()
}

// Hint is what an operator can do.
func (e *unanswered) Hint() string {
	if e.key == "" {
		return "name another balancer by --at; oatctl revision status tells whether most of the voters are there"
	}
	return "ask again by oatctl revision wait " + e.key + ", or make the same call with --key " + e.key + ": it is done once at most"
}

// later tells of an answer after which the same call may be made again.
func later(a management.Answer) bool {
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

const callEvery = 250 * time.Millisecond

// ask makes a call until somebody answers it, or ctx is over. Only calls that may be repeated go this way.
func (a ats) ask(ctx context.Context, o revision.Call) (string, error) {
	if len(a.At) == 0 {
		return "", &refused{text: "no balancer to ask", do: "give --at HOST:PORT, or set PROXY_MANAGEMENT"}
	}
	var last error
	for i := 0; ; i++ {
		at := a.At[i%len(a.At)]
		answer, err := management.Call(at, "revision "+o.String())
		switch {
		case err != nil:
			last = err
		case later(answer):
			e := no(strings.TrimPrefix(answer.Text, revision.RetryLaterPrefix))
			e.at = at
			last = e
		case !answer.OK:
			return "", no(answer.Text)
		default:
			return answer.Text, nil
		}
		pause := callEvery
		if i < len(a.At)-1 {
			pause = 0 // there is one that has not been asked yet
		}
		select {
		case <-ctx.Done():
			return "", &unanswered{o.Key, last}
		case <-time.After(pause):
		}
	}
}

// short is the time for a call that changes nothing.
func short() (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), 10*time.Second)
}

// get is revision n and its text's form.
func (a ats) get(n uint64) (*revision.Content, error) {
	ctx, cancel := short()
	defer cancel()
	text, err := a.ask(ctx, revision.Call{Verb: revision.VerbGet, Number: n})
	if err != nil {
		return nil, err
	}
	return revision.Decode([]byte(text))
}

// change is what proposals and rollbacks have in common.
type change struct {
	ats
	From     *uint64       `placeholder:"N" help:"Only if this revision is in force; otherwise say which one is."`
	Watch    time.Duration `placeholder:"30s" help:"Keep it only while refusals, failures and late answers stay as before, for so long; else go back."`
	Deadline time.Duration `placeholder:"10s" help:"Give it up where not all have agreed by then; the settings' if not given."`
	By       string        `help:"Who wants it, for the history; the user's name if not given."`
	Key      string        `help:"Of an earlier call whose answer was lost: the same key makes one revision."`
	For      time.Duration `default:"2m" help:"Stop asking after this; what was handed in goes on."`
	NoWait   bool          `help:"Hand it in, and don't wait for what becomes of it."`
}

// run hands o in and waits; want is the short hash of what it proposes.
func (c *change) run(o revision.Call, want string) error {
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
	if _, err := revision.ParseCall(o.String()); err != nil { // as a balancer will read it
		return err
	}
	fmt.Fprintln(os.Stderr, "key", o.Key)
	ctx, cancel := bounded(c.For)
	defer cancel()
	text, err := c.ask(ctx, o)
	if no, ok := err.(*refused); ok { // an earlier try of the same call may have been taken up
		if text, err = c.ask(ctx, revision.Call{Verb: revision.VerbOutcome, Key: o.Key}); err != nil {
			return no
		}
	}
	if err != nil {
		return err
	}
	if c.NoWait {
		fmt.Println(text)
		return nil
	}
	n, hash, err := c.settled(ctx, o.Key, text)
	if err != nil {
		return err
	}
	if o.Verb == revision.VerbPropose && hash != want && hash != "-" {
		return &refused{text: fmt.Sprintf("the key %s was used for another revision, %d (%s); this one is %s, and was not handed in", o.Key, n, hash, want), do: "make the call without --key"}
	}
	fmt.Printf("in force: %d %s\n", n, hash)
	if c.Watch == 0 {
		return nil
	}
	ctx, end := bounded(c.Watch + c.For)
	defer end()
	return c.kept(ctx, n, c.Watch)
}

// bounded ends after d, or when the operator has seen enough.
func bounded(d time.Duration) (context.Context, context.CancelFunc) {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	ctx, cancel := context.WithTimeout(ctx, d)
	return ctx, func() { cancel(); stop() }
}

// settled waits for what becomes of a key, from an answer on.
func (a ats) settled(ctx context.Context, key, text string) (n uint64, hash string, err error) {
	said := ""
	for {
		n, in, pending := revision.ParseAnswer(text)
		switch {
		case in:
			return n, strings.Fields(text + " - -")[2], nil
		case !pending:
			return 0, "", &unanswered{key, &refused{text: "answered " + text}}
		case text != said:
			said = text
			fmt.Fprintln(os.Stderr, text)
		}
		select {
		case <-ctx.Done():
			return 0, "", &unanswered{key, &refused{text: text}}
		case <-time.After(callEvery):
		}
		if text, err = a.ask(ctx, revision.Call{Verb: revision.VerbOutcome, Key: key}); err != nil {
			return 0, "", err
		}
	}
}

// takenBack is the error that the watch ended a revision.
type takenBack struct{ number, now uint64 }

func (e *takenBack) Error() string {
	return fmt.Sprintf("revision %d did not stand its watch: %d is in force", e.number, e.now)
}

// Hint is what an operator can do.
func (e *takenBack) Hint() string {
	return fmt.Sprintf("see oatctl revision list for why, and oatctl revision diff %d %d for what it had changed", e.now, e.number)
}

// kept waits for the end of n's watch.
func (a ats) kept(ctx context.Context, n uint64, watch time.Duration) error {
	fmt.Fprintln(os.Stderr, "watched for", watch)
	for {
		text, err := a.ask(ctx, revision.Call{Verb: revision.VerbStatus})
		if err != nil {
			return err
		}
		now, err := strconv.ParseUint(word(text, "in-force"), 10, 64)
		switch w := word(text, "watch"); {
		case err != nil: // nobody leads just now
		case now != n:
			return &takenBack{n, now}
		case w == "kept":
			fmt.Println("kept:", n)
			return nil
		case w == "no-way-back":
			return &refused{text: fmt.Sprintf("revision %d did not stand its watch, and the way back ended nowhere", n),
				do: "see oatctl revision status for who doesn't agree, and roll back by hand"}
		}
		select {
		case <-ctx.Done():
			return &unanswered{"", &refused{text: fmt.Sprintf("the watch of revision %d is open", n)}}
		case <-time.After(callEvery):
		}
	}
}

// word is the value behind name= in an answer.
func word(text, name string) string {
	for _, f := range strings.Fields(text) {
		if v, ok := strings.CutPrefix(f, name+"="); ok {
			return v
		}
	}
	return ""
}

// read is an operator's file; - is standard input.
func read(path string) (string, []byte, *revision.Content, error) {
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
	change
	File  string `arg:"" help:"The revision (CUE or JSON); - for standard input."`
	Check bool   `help:"Only say what is wrong with the file in itself; no balancer is asked."`
}

func (c *propose) Run() error {
	path, body, content, err := read(c.File)
	if err != nil {
		return err
	}
	if c.Check {
		fmt.Println(path+": sound,", revision.HashPrefix(revision.Hash(content)))
		return nil
	}
	err = c.run(revision.Call{Verb: revision.VerbPropose, Text: revision.Encode(content)},
		revision.HashPrefix(revision.Hash(content)))
	if e, ok := err.(*refused); ok && e.at == "" {
		if at := revisioncue.Position(path, body, e.text); at != path {
			e.at = at
		}
	}
	return err
}

type rollback struct {
	change
	Number uint64 `arg:"" help:"Of a past revision: oatctl revision list."`
}

func (c *rollback) Run() error {
	return c.run(revision.Call{Verb: revision.VerbRollback, Number: c.Number}, "")
}

type wait struct {
	ats
	Key string        `arg:"" help:"Of the proposal, as propose and rollback print it first."`
	For time.Duration `default:"2m" help:"Stop asking after this."`
}

func (c *wait) Run() error {
	ctx, cancel := bounded(c.For)
	defer cancel()
	text, err := c.ask(ctx, revision.Call{Verb: revision.VerbOutcome, Key: c.Key})
	if err != nil {
		return err
	}
	n, hash, err := c.settled(ctx, c.Key, text)
	if err == nil {
		fmt.Printf("in force: %d %s\n", n, hash)
	}
	return err
}

type showRev struct {
	ats
	Number string `arg:"" optional:"" default:"now" help:"Of the revision; now for the one in force."`
	JSON   bool   `name:"json" help:"As balancers write it, in one line."`
}

func (c *showRev) Run() error {
	n, err := number(c.Number)
	if err != nil {
		return err
	}
	content, err := c.get(n)
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

func number(s string) (uint64, error) {
	if s == "now" || s == "-" {
		return revision.Latest, nil
	}
	n, err := strconv.ParseUint(s, 10, 63)
	if err != nil {
		return 0, &refused{text: strconv.Quote(s) + " is no number of a revision", do: "take one from oatctl revision list, or now for the one in force"}
	}
	return n, nil
}

type list struct {
	ats
	Last int  `default:"20" help:"So many at the end."`
	All  bool `help:"All that are kept."`
}

func (c *list) Run() error {
	ctx, cancel := bounded(10 * time.Minute)
	defer cancel()
	after := revision.Latest
	if !c.All {
		text, err := c.ask(ctx, revision.Call{Verb: revision.VerbStatus})
		if err != nil {
			return err
		}
		first, last, _ := strings.Cut(word(text, "history"), "..")
		from, err := strconv.ParseUint(first, 10, 63)
		to, err2 := strconv.ParseUint(last, 10, 63)
		if err == nil && err2 == nil && to >= from+uint64(max(c.Last, 0)) {
			after = to - uint64(max(c.Last, 0))
		}
	}
	for {
		text, err := c.ask(ctx, revision.Call{Verb: revision.VerbList, Number: after})
		if err != nil {
			return err
		}
		if text == "-" {
			return nil
		}
		fmt.Println(text)
		head, _, _ := strings.Cut(text, " ")
		if after, err = number(head); err != nil {
			return err
		}
	}
}

type diff struct {
	ats
	A string `arg:"" help:"A revision's number, now, or a file."`
	B string `arg:"" optional:"" default:"now" help:"Likewise; the one in force if not given."`
}

func (c *diff) Run() error {
	var sides [2]*revision.Content
	for i, what := range []string{c.A, c.B} {
		n, err := number(what)
		if err == nil {
			sides[i], err = c.get(n)
		} else if _, there := os.Stat(what); there == nil {
			_, _, sides[i], err = read(what)
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

type state struct{ ats }

func (c *state) Run() error { return c.say(revision.Call{Verb: revision.VerbStatus}) }

type replace struct {
	ats
	Old string `arg:"" help:"A member that has a vote."`
	New string `arg:"" help:"One that is to have it."`
}

func (c *replace) Run() error {
	return c.say(revision.Call{Verb: revision.VerbReplace, Name: c.Old, NewName: c.New})
}

type forget struct {
	ats
	Name string `arg:"" help:"The balancer. Make sure that its process has ended: it could route by an old revision otherwise."`
}

func (c *forget) Run() error { return c.say(revision.Call{Verb: revision.VerbForget, Name: c.Name}) }

func (a ats) say(o revision.Call) error {
	ctx, cancel := short()
	defer cancel()
	text, err := a.ask(ctx, o)
	if err == nil {
		fmt.Println(text)
	}
	return err
}
