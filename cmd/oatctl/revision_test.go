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

// balancer is a stand-in that keeps revisions as the log does: by key once, from what is in force.
type balancer struct {
	mu     sync.Mutex
	texts  []string
	keys   map[string]int
	lose   int    // so many answers are lost, after their call was done
	later  int    // so many calls are answered that nobody leads
	no     string // what members say to a proposal
	status string
}

func (b *balancer) answer(line string) string {
	o, err := revision.ParseCall(strings.TrimPrefix(line, "revision "))
	in := len(b.texts) - 1
	switch {
	case err != nil:
		return "-ERR " + hint.Line(err)
	case b.later > 0:
		b.later--
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
	case b.no != "":
		return "-ERR " + b.no
	case o.Base != revision.Latest && int(o.Base) != in:
		return fmt.Sprintf("-ERR revision %d is in force, not %d; do: see what has changed", in, o.Base)
	case o.Verb == revision.VerbRollback:
		o.Text = []byte(b.texts[o.Number])
	}
	b.texts = append(b.texts, string(o.Text))
	b.keys[o.Key] = in + 1
	return "+OK " + revision.PendingText(o.Key, "check")
}

// with changes or looks at it between two calls.
func (b *balancer) with(f func()) {
	b.mu.Lock()
	defer b.mu.Unlock()
	f()
}

func (b *balancer) made() []string {
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
			if b.lose > 0 {
				b.lose--
			} else {
				_, _ = io.WriteString(c, answer+"\r\n")
			}
			b.mu.Unlock()
			_ = c.Close()
		}
	}()
	return l.Addr().String()
}

func started(t *testing.T) (*balancer, ats, string) {
	b := &balancer{texts: []string{string(revision.Encode(&revision.Content{FormatVersion: revision.FormatVersion}))},
		keys: map[string]int{}}
	file := filepath.Join(t.TempDir(), "new.cue")
	if err := os.WriteFile(file, []byte("note: \"bulk last\"\nclasses: [{name: \"bulk\", order: 9}]\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	l, err := net.Listen("tcp", "127.0.0.1:0") // an address where nobody answers comes first
	if err != nil {
		t.Fatal(err)
	}
	_ = l.Close()
	return b, ats{[]string{l.Addr().String(), b.listen(t)}}, file
}

// However many answers are lost, and whoever answers first, one call makes one revision.
func TestProposeOnce(t *testing.T) {
	b, at, file := started(t)
	b.with(func() { b.lose, b.later = 2, 2 })
	p := propose{change: change{ats: at, For: time.Minute}, File: file}
	if err := p.Run(); err != nil || len(b.made()) != 2 {
		t.Fatal(err, b.made())
	}
	r := rollback{change: change{ats: at, For: time.Minute, From: new(uint64)}, Number: 0}
	err := r.Run()
	if err == nil || !strings.Contains(err.Error(), "revision 1 is in force, not 0") || hint.Of(err) != "see what has changed" || len(b.made()) != 2 {
		t.Fatal(hint.Line(err), b.made())
	}
	*r.From = 1
	b.with(func() { b.lose = 1 })
	if err := r.Run(); err != nil || len(b.made()) != 3 || b.made()[2] != b.made()[0] {
		t.Fatal(err, b.made())
	}
}

// A key that made another revision is no yes to this one.
func TestProposeOtherKey(t *testing.T) {
	b, at, file := started(t)
	p := propose{change: change{ats: at, For: time.Minute, Key: "k"}, File: file}
	if err := p.Run(); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(file, []byte(`note: "another"`), 0o600); err != nil {
		t.Fatal(err)
	}
	err := p.Run()
	if err == nil || !strings.Contains(err.Error(), "used for another revision, 1") || len(b.made()) != 2 {
		t.Fatal(err, b.made())
	}
}

// What a balancer says no to is shown in the operator's file; what nobody answers is not called done or undone.
func TestProposeTurnedDown(t *testing.T) {
	b, at, file := started(t)
	b.with(func() { b.no = `k ended nowhere, for b2: classes[0].name: "bulk" is no class; do: take it out` })
	p := propose{change: change{ats: at, For: time.Minute}, File: file}
	err := p.Run()
	var no *refused
	if !errors.As(err, &no) || !strings.HasPrefix(err.Error(), file+":2:12: k ended nowhere, for b2") || hint.Of(err) != "take it out" {
		t.Fatal(hint.Line(err))
	}
	p.For = 1
	b.with(func() { b.later = 1000 })
	var open *unanswered
	if err := p.Run(); !errors.As(err, &open) || open.key == "" || !strings.Contains(hint.Of(err), "--key "+open.key) {
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

// A revision that is watched is waited for until it is kept, or another is in force.
func TestWatched(t *testing.T) {
	b, at, file := started(t)
	b.with(func() { b.status = "here=1 phase=AtWork in-force=1 watch=kept history=0..1" })
	p := propose{change: change{ats: at, For: time.Minute, Watch: time.Minute}, File: file}
	if err := p.Run(); err != nil {
		t.Fatal(err)
	}
	b.with(func() { b.status = "here=3 phase=AtWork in-force=3 watch=none history=0..3" })
	p.Key = "another"
	var back *takenBack
	if err := p.Run(); !errors.As(err, &back) || back.number != 2 || back.now != 3 || hint.Of(err) == "" {
		t.Fatal(err)
	}
}
