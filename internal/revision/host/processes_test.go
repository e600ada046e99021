package host

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"oatloft/internal/consensus"
	"oatloft/internal/hint"
	"oatloft/internal/revision/lease"
)

// process starts one of balancer name's processes, as a supervisor does that holds its listening socket: nothing is
// known of earlier ones but by their files in folder.
func process(t *testing.T, l *fakeLog, name, folder string, gen uint64) *balancer {
	t.Helper()
	b := newBalancer(name)
	cfg := b.config(true)
	cfg.Generation, cfg.Log = gen, lease.Log{Folder: folder}
	h, err := start(cfg, quiet(), l.node(name))
	if err != nil {
		t.Fatal(err)
	}
	b.Host = h
	go b.loop()
	t.Cleanup(b.close)
	return b
}

// holders lists the holders of leases, as the leader has them.
func holders(all []*balancer) string {
	h := all[0].Host
	h.mu.Lock()
	defer h.mu.Unlock()
	var list []string
	for _, r := range h.state.Holders {
		list = append(list, r.String())
	}
	return strings.Join(list, " ")
}

const firstGeneration, secondGeneration, thirdGeneration = 10, 20, 30

func atWork(all ...*balancer) func() bool { return func() bool { return allBy(all, 0) } }

// killings are steps of a process's life, each with the holders of its balancer that are left after a kill.
var killings = map[string]func(t *testing.T, l *fakeLog, c func(generation uint64) *balancer) (holders string){
	"before it joined": func(t *testing.T, l *fakeLog, c func(uint64) *balancer) string {
		l.lead("")
		b := c(firstGeneration)
		if err := b.processes.create(firstGeneration); err != nil {
			t.Fatal(err)
		}
		b.close()
		l.lead("a")
		c(secondGeneration)
		return "c/20"
	},
	"at work, and started again": func(t *testing.T, _ *fakeLog, c func(uint64) *balancer) string {
		b := c(firstGeneration)
		waitFor(t, "it is at work", atWork(b))
		b.close()
		c(secondGeneration)
		return "c/20"
	},
	"the first, when the second has just started": func(t *testing.T, _ *fakeLog, c func(uint64) *balancer) string {
		b := c(firstGeneration)
		waitFor(t, "it is at work", atWork(b))
		c(secondGeneration)
		b.close()
		return "c/20"
	},
	"the first, when the second is at work": func(t *testing.T, _ *fakeLog, c func(uint64) *balancer) string {
		b := c(firstGeneration)
		waitFor(t, "it is at work", atWork(b))
		waitFor(t, "the second is at work", atWork(c(secondGeneration)))
		b.close()
		return "c/20"
	},
	"the second, at work beside the first": func(t *testing.T, _ *fakeLog, c func(uint64) *balancer) string {
		waitFor(t, "it is at work", atWork(c(firstGeneration)))
		b := c(secondGeneration)
		waitFor(t, "the second is at work", atWork(b))
		b.close()
		return "c/10"
	},
	"both": func(t *testing.T, _ *fakeLog, c func(uint64) *balancer) string {
		b, d := c(firstGeneration), c(secondGeneration)
		waitFor(t, "both are at work", atWork(b, d))
		b.close()
		d.close()
		c(thirdGeneration)
		return "c/30"
	},
	"the second of three": func(t *testing.T, _ *fakeLog, c func(uint64) *balancer) string {
		b, d, e := c(firstGeneration), c(secondGeneration), c(thirdGeneration)
		waitFor(t, "all are at work", atWork(b, d, e))
		d.close()
		return "c/10 c/30"
	},
}

// With on_cut: hold nothing ends a killed process's lease by time. Wherever in its life it is killed, the next
// process of its balancer, or the other one of an upgrade, tells that it has ended, and a change goes through
// without an operator's forget.
func TestKilledAtEachStep(t *testing.T) {
	for step, play := range killings {
		t.Run(step, func(t *testing.T) {
			l, all := fleet(t, 2, true)
			folder := t.TempDir()
			want := "a/1 b/1 " + play(t, l, func(gen uint64) *balancer { return process(t, l, "c", folder, gen) })
			waitFor(t, "the holders are "+want, func() bool { return holders(all) == want })
			if got, err := all[0].settled(t, "k", "propose k 0 - - op "+text("one")); err != nil ||
				!strings.HasPrefix(got, "settled 1 ") {
				t.Fatal(got, err)
			}
			waitFor(t, "those that have ended are cleared away", func() bool { // after the leader was told, not before
				files, _ := os.ReadDir(filepath.Join(folder, consensus.ProcessesFolder))
				return len(files) == strings.Count(want, "c/")
			})
		})
	}
}

// What is no proof: a process that stands still, one whose folder was moved away, and a copy of the folder in its
// place. A change waits for it, and ends nowhere.
func TestNotTakenForEnded(t *testing.T) {
	for name, change := range map[string]func(t *testing.T, folder string, b *balancer){
		"stands still": func(*testing.T, string, *balancer) {},
		"moved away": func(t *testing.T, folder string, _ *balancer) {
			if err := os.Rename(folder, folder+".away"); err != nil {
				t.Fatal(err)
			}
		},
		"a copy in its place": func(t *testing.T, folder string, _ *balancer) {
			if err := errors.Join(os.Rename(folder, folder+".away"), os.CopyFS(folder, os.DirFS(folder+".away"))); err != nil {
				t.Fatal(err)
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			l, all := fleet(t, 2, true)
			folder := filepath.Join(t.TempDir(), "c")
			b := process(t, l, "c", folder, 10)
			waitFor(t, "it is at work", atWork(b))
			b.stopped.Store(true)
			change(t, folder, b)
			next := process(t, l, "c", folder, 20)
			waitFor(t, "the next is at work", atWork(next))
			if got, err := all[0].settled(t, "k", "propose k 0 - 1500ms op "+text("one")); err == nil ||
				!strings.Contains(err.Error(), "nowhere") {
				t.Fatal(got, err)
			}
			if want := "a/1 b/1 c/10 c/20"; holders(all) != want {
				t.Errorf("the holders are %s, want %s", holders(all), want)
			}
		})
	}
}

// One process leaves no file behind; nobody may tell of another balancer's; two of one generation are told.
func TestFilesOfProcesses(t *testing.T) {
	l, all := fleet(t, 2, true)
	folder := t.TempDir()
	b := process(t, l, "c", folder, 10)
	waitFor(t, "it is at work", atWork(b))
	if err := os.WriteFile(folder+"/no-folder", nil, 0o600); err != nil {
		t.Fatal(err)
	}
	if err := newProcessFiles(folder + "/no-folder").create(1); !errors.As(err, new(*ProcessFileFailed)) ||
		hint.Of(err) == "" {
		t.Error(err)
	}
	other := newProcessFiles(folder)
	if err := other.create(10); !errors.As(err, new(*GenerationInUse)) || hint.Of(err) == "" {
		t.Error(err)
	}
	if got := other.ended(); len(got) != 0 {
		t.Errorf("%v have ended", got)
	}
	if _, err := b.callLeaderRaw(l.nodes["a"].Leader(), "ended", []byte(`{"n":"b","g":1}`), 1e9); err == nil ||
		!strings.Contains(fmt.Sprint(err), "c tells that a process of b has ended") {
		t.Error(err)
	}
	b.Acknowledge(b.Lease().Seq)
	left := make(chan struct{})
	go func() { b.Leave(t.Context()); close(left) }()
	waitFor(t, "it has left", func() bool {
		select {
		case <-left:
			return true
		default:
			return false
		}
	})
	b.close()
	if files, _ := os.ReadDir(filepath.Join(folder, consensus.ProcessesFolder)); len(files) != 1 { // other's half one
		t.Errorf("%d files are left: %v", len(files), files)
	}
	waitFor(t, "the holders are without it", func() bool { return holders(all) == "a/1 b/1" })
}
