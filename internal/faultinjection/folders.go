package faultinjection

import (
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"time"

	"golang.org/x/sys/unix"

	"oatloft/internal/fake"
	"oatloft/internal/rules"
)

// This file holds the faults of the folders in which members store their copy of the log: lost, damaged, not writable,
// and a disk that becomes full. Fewer than half of the voters are hit in one fault run: a log that most voters have
// lost cannot be recovered, and the balancers report that.

func init() {
	voterFault := func(rng *rand.Rand, s *Schedule) Fault { return Fault{A: 1 + rng.IntN(maxFolderLosses(s.Balancers))} }
	register("folder-lost", kind{needs: revisionsOn, generate: voterFault,
		begin: processFault(func(w *Scenario, i int) { w.kill(i) },
			func(w *Scenario, i int) { _ = os.RemoveAll(w.folder(i)) })})
	register("folder-damaged", kind{needs: revisionsOn, generate: func(rng *rand.Rand, s *Schedule) Fault {
		f := voterFault(rng, s)
		f.Value = rng.Float64()
		return f
	}, begin: func(w *Scenario, f Fault) func() {
		return w.damageFolder(f, func(i int) { flipBytes(w.folder(i), f.Value) })
	}})
	register("folder-no-folder", kind{needs: revisionsOn, generate: voterFault, begin: func(w *Scenario, f Fault) func() {
		return w.damageFolder(f, func(i int) {
			_ = os.RemoveAll(w.folder(i))
			_ = os.WriteFile(w.folder(i), []byte("no folder"), 0o600)
		})
	}})
	register("disk-full", kind{needs: revisionsOn, generate: func(rng *rand.Rand, s *Schedule) Fault {
		f := anyBalancer(rng, s)
		f.Value = rng.Float64()
		return f
	}, begin: limitFileSize})
}

// damageFolder kills a balancer, damages its folder, and starts it again: it has to exit with a line that says what to
// do, or to start normally. At the end the folder is removed, as the operators' page says.
func (w *Scenario) damageFolder(f Fault, damage func(i int)) func() {
	started := make(chan struct{})
	w.each(f.A, func(i int) {
		w.setDisturbed(i, true)
		if w.adjustDown(i, 1) {
			w.kill(i)
		}
	})
	go func() {
		defer close(started)
		w.each(f.A, func(i int) {
			w.starting[i].Lock()
			defer w.starting[i].Unlock()
			damage(i)
			process := w.nextProcessNumber()
			w.SawBy(w.name(i), rules.Started, "", "", "")
			p, err := w.Start(w.recordLines(i, process, w.launch(i)))
			switch {
			case err == nil:
				time.Sleep(100 * time.Millisecond)
				w.record.endProcess(process, w.Now())
				p.Kill()
			case strings.Contains(err.Error(), "no PONG within"):
				w.addViolation("%s with a damaged folder neither starts nor exits: %v", w.name(i), err)
			case !strings.Contains(err.Error(), "do: "):
				w.addViolation("%s with a damaged folder exits without a hint: %v", w.name(i), err)
			}
		})
	}()
	return func() {
		<-started
		w.each(f.A, func(i int) {
			_ = os.RemoveAll(w.folder(i))
			if w.adjustDown(i, -1) {
				w.start(i)
			}
			w.setDisturbed(i, false)
		})
	}
}

// flipBytes inverts bits of up to 512 bytes in each file of a folder, from the position at, a fraction of the file's
// size.
func flipBytes(folder string, at float64) {
	_ = filepath.WalkDir(folder, func(path string, d os.DirEntry, err error) error {
		if err != nil || d.IsDir() {
			return nil
		}
		body, err := os.ReadFile(path)
		if err != nil || len(body) == 0 {
			return nil
		}
		from := int(at * float64(len(body)-1))
		for k := from; k < min(len(body), from+512); k++ {
			body[k] ^= 0x5a
		}
		return os.WriteFile(path, body, 0o600)
	})
}

// limitFileSize bounds the size of the files that a process writes to a fraction of the present size of its largest
// file of the log: a write beyond the bound fails, or is cut short if it crosses the bound. The process may exit
// because of it, and is started again afterwards.
func limitFileSize(w *Scenario, f Fault) func() {
	set := func(i int, limit uint64) {
		w.mu.Lock()
		p := w.processes[i]
		w.mu.Unlock()
		if p != nil {
			_ = unix.Prlimit(p.PID(), unix.RLIMIT_FSIZE, &unix.Rlimit{Cur: limit, Max: unix.RLIM_INFINITY}, nil)
		}
	}
	w.each(f.A, func(i int) {
		w.setDisturbed(i, true)
		w.expectExit(i, 1)
		size := int64(0)
		_ = filepath.WalkDir(w.folder(i), func(path string, d os.DirEntry, err error) error {
			if err == nil && !d.IsDir() {
				if info, err := d.Info(); err == nil {
					size = max(size, info.Size())
				}
			}
			return nil
		})
		set(i, uint64(f.Value*float64(size)))
	})
	return func() {
		w.each(f.A, func(i int) {
			set(i, unix.RLIM_INFINITY)
			time.Sleep(20 * time.Millisecond)
			// A member in role broken asks its operator for a restart.
			if s, ok := w.status(i); ok && strings.Contains(s.Text, "role=broken") {
				w.kill(i)
			}
			w.expectExit(i, -1)
			w.start(i)
			w.setDisturbed(i, false)
		})
	}
}

// expectExit adds more to the number of faults by which balancer i may exit.
func (w *Scenario) expectExit(i, more int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.expectedExits[i] += more
}

// nextProcessNumber counts the processes that the run has started, and returns the number of the next one.
func (w *Scenario) nextProcessNumber() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.started++
	return w.started
}

// recordLines adds to l that the log lines of the process are recorded, as process number process of balancer i.
func (w *Scenario) recordLines(i, process int, l fake.Launch) fake.Launch {
	name := w.name(i)
	l.Lines = func(line string) {
		w.record.parseLine(name, process, line)
		if w.options.Logs != "" {
			w.record.writeLog(w.options.Logs, name, process, line)
		}
	}
	return l
}
