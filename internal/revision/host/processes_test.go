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

// startProcess starts a process of the named balancer, as under a supervisor that holds its listening socket: earlier
// processes are known only by their files in folder.
func startProcess(t *testing.T, l *fakeLog, name, folder string, generation uint64) *balancer {
	t.Helper()
	b := newBalancer(name)
	cfg := b.config(true)
	cfg.Generation, cfg.Log = generation, lease.Log{Folder: folder}
	h, err := start(cfg, discardLogger(), l.node(name))
	if err != nil {
		t.Fatal(err)
	}
	b.Host = h
	go b.loop()
	t.Cleanup(b.close)
	return b
}

// holders lists the lease holders in the state of the leader, the first balancer.
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

func allActiveAtZero(all ...*balancer) func() bool { return func() bool { return allActive(all, 0) } }

// killScenarios are scenarios in which processes of balancer c are killed. Each returns the holders of c that remain.
var killScenarios = map[string]func(t *testing.T, l *fakeLog, c func(generation uint64) *balancer) (holders string){
	"before joining": func(t *testing.T, l *fakeLog, c func(uint64) *balancer) string {
		l.setLeader("")
		b := c(firstGeneration)
		if err := b.processes.create(firstGeneration); err != nil {
			t.Fatal(err)
		}
		b.close()
		l.setLeader("a")
		c(secondGeneration)
		return "c/20"
	},
	"while active, then restarted": func(t *testing.T, _ *fakeLog, c func(uint64) *balancer) string {
		b := c(firstGeneration)
		waitFor(t, "the process is active", allActiveAtZero(b))
		b.close()
		c(secondGeneration)
		return "c/20"
	},
	"the first, when the second has just started": func(t *testing.T, _ *fakeLog, c func(uint64) *balancer) string {
		b := c(firstGeneration)
		waitFor(t, "the first is active", allActiveAtZero(b))
		c(secondGeneration)
		b.close()
		return "c/20"
	},
	"the first, when the second is active": func(t *testing.T, _ *fakeLog, c func(uint64) *balancer) string {
		b := c(firstGeneration)
		waitFor(t, "the first is active", allActiveAtZero(b))
		waitFor(t, "the second is active", allActiveAtZero(c(secondGeneration)))
		b.close()
		return "c/20"
	},
	"the second, overlapping the first": func(t *testing.T, _ *fakeLog, c func(uint64) *balancer) string {
		waitFor(t, "the first is active", allActiveAtZero(c(firstGeneration)))
		b := c(secondGeneration)
		waitFor(t, "the second is active", allActiveAtZero(b))
		b.close()
		return "c/10"
	},
	"both": func(t *testing.T, _ *fakeLog, c func(uint64) *balancer) string {
		b, d := c(firstGeneration), c(secondGeneration)
		waitFor(t, "both are active", allActiveAtZero(b, d))
		b.close()
		d.close()
		c(thirdGeneration)
		return "c/30"
	},
	"the second of three": func(t *testing.T, _ *fakeLog, c func(uint64) *balancer) string {
		b, d, e := c(firstGeneration), c(secondGeneration), c(thirdGeneration)
		waitFor(t, "all are active", allActiveAtZero(b, d, e))
		d.close()
		return "c/10 c/30"
	},
}

// With on_cut hold, a killed process's lease does not expire. At whichever step a process is killed, the next process
// of its balancer, or the overlapping one of an upgrade, reports its end, and a proposal is settled without an
// operator's forget.
func TestKilledAtEachStep(t *testing.T) {
	for step, run := range killScenarios {
		t.Run(step, func(t *testing.T) {
			l, all := startBalancers(t, 2, true)
			folder := t.TempDir()
			want := "a/1 b/1 " + run(t, l, func(gen uint64) *balancer { return startProcess(t, l, "c", folder, gen) })
			waitFor(t, "the holders are "+want, func() bool { return holders(all) == want })
			if got, err := all[0].awaitOutcome(t, "k", "propose k 0 - - op "+text("one")); err != nil ||
				!strings.HasPrefix(got, "settled 1 ") {
				t.Fatal(got, err)
			}
			waitFor(t, "files of ended processes are removed", func() bool { // only after the leader has been notified
				files, _ := os.ReadDir(filepath.Join(folder, consensus.ProcessesFolder))
				return len(files) == strings.Count(want, "c/")
			})
		})
	}
}

// A process is not reported as ended because it does not respond, or because its folder was moved away or replaced by
// a copy. A proposal waits for the process and fails.
func TestNotReportedAsEnded(t *testing.T) {
	for name, change := range map[string]func(t *testing.T, folder string, b *balancer){
		"unresponsive": func(*testing.T, string, *balancer) {},
		"moved away": func(t *testing.T, folder string, _ *balancer) {
			if err := os.Rename(folder, folder+".away"); err != nil {
				t.Fatal(err)
			}
		},
		"replaced by a copy": func(t *testing.T, folder string, _ *balancer) {
			if err := errors.Join(os.Rename(folder, folder+".away"), os.CopyFS(folder, os.DirFS(folder+".away"))); err != nil {
				t.Fatal(err)
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			l, all := startBalancers(t, 2, true)
			folder := filepath.Join(t.TempDir(), "c")
			b := startProcess(t, l, "c", folder, 10)
			waitFor(t, "the process is active", allActiveAtZero(b))
			b.stopped.Store(true)
			change(t, folder, b)
			next := startProcess(t, l, "c", folder, 20)
			waitFor(t, "the next is active", allActiveAtZero(next))
			if got, err := all[0].awaitOutcome(t, "k", "propose k 0 - 1500ms op "+text("one")); err == nil ||
				!strings.Contains(err.Error(), "nowhere") {
				t.Fatal(got, err)
			}
			if want := "a/1 b/1 c/10 c/20"; holders(all) != want {
				t.Errorf("the holders are %s, want %s", holders(all), want)
			}
		})
	}
}

// A process that leaves removes its file, a balancer may report only its own processes as ended, and a second process
// of the same generation gets an error.
func TestProcessFiles(t *testing.T) {
	l, all := startBalancers(t, 2, true)
	folder := t.TempDir()
	b := startProcess(t, l, "c", folder, 10)
	waitFor(t, "the process is active", allActiveAtZero(b))
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
		!strings.Contains(fmt.Sprint(err), "c reports that a process of b has ended") {
		t.Error(err)
	}
	b.Acknowledge(b.Lease().Seq)
	left := make(chan struct{})
	go func() { b.Leave(t.Context()); close(left) }()
	waitFor(t, "the process has left", func() bool {
		select {
		case <-left:
			return true
		default:
			return false
		}
	})
	b.close()
	if files, _ := os.ReadDir(filepath.Join(folder, consensus.ProcessesFolder)); len(files) != 1 { // other's incomplete file
		t.Errorf("%d files are left: %v", len(files), files)
	}
	waitFor(t, "the process is no longer a holder", func() bool { return holders(all) == "a/1 b/1" })
}
