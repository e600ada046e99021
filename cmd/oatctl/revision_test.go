package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"oatloft/internal/hint"
	"oatloft/internal/revision"
)

// balancer is a fake that keeps revisions as the log does: one per key, each based on the revision in force.
type balancer struct {
	mu                sync.Mutex
	texts             []string
	keys              map[string]int
	lostAnswers       int    // number of calls to apply without answering them
	leaderlessAnswers int    // number of calls to answer with the error that there is no leader
	refusal           string // answer with which members refuse a proposal
	status            string
}

func (b *balancer) answer(line string) string {
	o, err := revision.ParseCall(strings.TrimPrefix(line, "revision "))
	in := len(b.texts) - 1
	switch {
	case err != nil:
		return "-ERR " + hint.Line(err)
	case b.leaderlessAnswers > 0:
		b.leaderlessAnswers--
		return "-ERR " + revision.RetryLaterPrefix + "nobody leads; do: wait"
	case o.Verb == revision.VerbStatus:
		return "+OK " + b.status
	case o.Verb == revision.VerbGet && o.Number == revision.Latest:
		return "+OK " + b.texts[in]
	case o.Verb == revision.VerbGet:
		return "+OK " + b.texts[o.Number]
	case o.Verb == revision.VerbOutcome && b.keys[o.Key] == 0:
		return "-ERR no proposal is known under the key; do: hand it in again"
	case b.keys[o.Key] > 0:
		n := b.keys[o.Key]
		c, _ := revision.Decode([]byte(b.texts[n]))
		return "+OK " + revision.CommittedText(uint64(n), revision.Hash(c), o.Key)
	case b.refusal != "":
		return "-ERR " + b.refusal
	case o.Base != revision.Latest && int(o.Base) != in:
		return fmt.Sprintf("-ERR revision %d is in force, not %d; do: see what has changed", in, o.Base)
	case o.Verb == revision.VerbRollback:
		o.Text = []byte(b.texts[o.Number])
	}
	b.texts = append(b.texts, string(o.Text))
	b.keys[o.Key] = in + 1
	return "+OK " + revision.PendingText(o.Key, "check")
}

// locked runs f while no call is being answered.
func (b *balancer) locked(f func()) {
	b.mu.Lock()
	defer b.mu.Unlock()
	f()
}

func (b *balancer) revisions() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.texts
}

func (b *balancer) listen(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for c, err := l.Accept(); err == nil; c, err = l.Accept() {
			line, _ := bufio.NewReader(c).ReadString('\n')
			b.mu.Lock()
			answer := b.answer(strings.TrimSpace(line))
			if b.lostAnswers > 0 {
				b.lostAnswers--
			} else {
				_, _ = io.WriteString(c, answer+"\r\n")
			}
			b.mu.Unlock()
			_ = c.Close()
		}
	}()
	return l.Addr().String()
}

func startBalancer(t *testing.T) (*balancer, managementFlags, string) {
	b := &balancer{
		texts: []string{string(revision.Encode(&revision.Content{FormatVersion: revision.FormatVersion}))},
		keys:  map[string]int{},
	}
	file := filepath.Join(t.TempDir(), "new.cue")
	if err := os.WriteFile(file,
		[]byte("note: \"bulk last\"\nclasses: [{name: \"bulk\", order: 9}]\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	l, err := net.Listen("tcp", "127.0.0.1:0") // closed below: the first address does not answer
	if err != nil {
		t.Fatal(err)
	}
	_ = l.Close()
	return b, managementFlags{[]string{l.Addr().String(), b.listen(t)}}, file
}

// A call makes exactly one revision, even when answers are lost, retries are needed and the first address does not
// answer.
func TestProposeOnce(t *testing.T) {
	b, at, file := startBalancer(t)
	b.locked(func() { b.lostAnswers, b.leaderlessAnswers = 2, 2 })
	p := propose{changeFlags: changeFlags{managementFlags: at, For: time.Minute}, File: file}
	if err := p.Run(); err != nil || len(b.revisions()) != 2 {
		t.Fatal(err, b.revisions())
	}
	r := rollback{changeFlags: changeFlags{managementFlags: at, For: time.Minute, From: new(uint64)}, Number: 0}
	err := r.Run()
	if err == nil || !strings.Contains(err.Error(), "revision 1 is in force, not 0") ||
		hint.Of(err) != "see what has changed" || len(b.revisions()) != 2 {
		t.Fatal(hint.Line(err), b.revisions())
	}
	*r.From = 1
	b.locked(func() { b.lostAnswers = 1 })
	if err := r.Run(); err != nil || len(b.revisions()) != 3 || b.revisions()[2] != b.revisions()[0] {
		t.Fatal(err, b.revisions())
	}
}

// A key that was already used for another revision is reported as an error, not as success.
func TestProposeReusedKey(t *testing.T) {
	b, at, file := startBalancer(t)
	p := propose{changeFlags: changeFlags{managementFlags: at, For: time.Minute, Key: "k"}, File: file}
	if err := p.Run(); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(file, []byte(`note: "another"`), 0o600); err != nil {
		t.Fatal(err)
	}
	err := p.Run()
	if err == nil || !strings.Contains(err.Error(), "used for another revision, 1") || len(b.revisions()) != 2 {
		t.Fatal(err, b.revisions())
	}
}

// A refusal is reported with its position in the operator's file; without an answer, the outcome is reported as
// unknown.
func TestProposeRefused(t *testing.T) {
	b, at, file := startBalancer(t)
	b.locked(func() { b.refusal = `k ended nowhere, for b2: classes[0].name: "bulk" is no class; do: take it out` })
	p := propose{changeFlags: changeFlags{managementFlags: at, For: time.Minute}, File: file}
	err := p.Run()
	var refused *refusedError
	if !errors.As(err, &refused) || !strings.HasPrefix(err.Error(), file+":2:12: k ended nowhere, for b2") ||
		hint.Of(err) != "take it out" {
		t.Fatal(hint.Line(err))
	}
	p.For = 1
	b.locked(func() { b.leaderlessAnswers = 1000 })
	var unanswered *unansweredError
	if err := p.Run(); !errors.As(err, &unanswered) || unanswered.key == "" ||
		!strings.Contains(hint.Of(err), "--key "+unanswered.key) {
		t.Fatal(hint.Line(err))
	}
	p.Check, p.At = true, nil
	if err := p.Run(); err != nil {
		t.Fatal(err)
	}
	p.Check = false
	if err := p.Run(); err == nil || !strings.Contains(hint.Of(err), "PROXY_MANAGEMENT") {
		t.Fatal(hint.Line(err))
	}
}

// With a watch period, the call waits until the revision is kept or another one is in force.
func TestProposeWatch(t *testing.T) {
	b, at, file := startBalancer(t)
	b.locked(func() { b.status = "here=1 phase=AtWork in-force=1 watch=kept history=0..1" })
	p := propose{changeFlags: changeFlags{managementFlags: at, For: time.Minute, Watch: time.Minute}, File: file}
	if err := p.Run(); err != nil {
		t.Fatal(err)
	}
	b.locked(func() { b.status = "here=3 phase=AtWork in-force=3 watch=none history=0..3" })
	p.Key = "another"
	var rolledBack *rolledBackError
	if err := p.Run(); !errors.As(err, &rolledBack) || rolledBack.number != 2 || rolledBack.now != 3 ||
		hint.Of(err) == "" {
		t.Fatal(err)
	}
}
