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

// Faults of the folders in which members keep their part of the log: lost, damaged, not to be written to, and a disk that is full
// at some moment. Fewer than half of the voters are hit in one fault run: a log that most voters have lost is gone, and says so.

func init() {
	loser := func(rng *rand.Rand, s *Schedule) Fault { return Fault{A: 1 + rng.IntN(maxFolderLosses(s.Balancers))} }
	register("folder-lost", kind{needs: revisionsOn, generate: loser, begin: processFault(func(w *Scenario, i int) { w.kill(i) }, func(w *Scenario, i int) { _ = os.RemoveAll(w.folder(i)) })})
	register("folder-damaged", kind{needs: revisionsOn, generate: func(rng *rand.Rand, s *Schedule) Fault {
		f := loser(rng, s)
		f.Value = rng.Float64()
		return f
	}, begin: func(w *Scenario, f Fault) func() { return w.damageFolder(f, func(i int) { flipBytes(w.folder(i), f.Value) }) }})
	register("folder-no-folder", kind{needs: revisionsOn, generate: loser, begin: func(w *Scenario, f Fault) func() {
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

// unusable kills a balancer, has something done to its folder, and starts it with that: it has to refuse in a line that says what
// to do, or to go on as if nothing had been. In the end the folder is taken away, as the operators' page says.
func (w *Scenario) damageFolder(f Fault, spoil func(i int)) func() {
	tried := make(chan struct{})
	w.each(f.A, func(i int) {
		w.setDisturbed(i, true)
		if w.adjustDown(i, 1) {
			w.kill(i)
		}
	})
	go func() {
		defer close(tried)
		w.each(f.A, func(i int) {
			w.starting[i].Lock()
			defer w.starting[i].Unlock()
			spoil(i)
			process := w.nextProcessNumber()
			w.SawBy(w.name(i), rules.Started, "", "", "")
			p, err := w.Start(w.recordLines(i, process, w.launch(i)))
			switch {
			case err == nil:
				time.Sleep(100 * time.Millisecond)
				w.record.endProcess(process, w.Now())
				p.Kill()
			case strings.Contains(err.Error(), "no PONG within"):
				w.addViolation("%s with a spoilt folder neither starts nor ends: %v", w.name(i), err)
			case !strings.Contains(err.Error(), "do: "):
				w.addViolation("%s with a spoilt folder does not say what to do: %v", w.name(i), err)
			}
		})
	}()
	return func() {
		<-tried
		w.each(f.A, func(i int) {
			_ = os.RemoveAll(w.folder(i))
			if w.adjustDown(i, -1) {
				w.start(i)
			}
			w.setDisturbed(i, false)
		})
	}
}

// damage changes bytes in the middle of each file of a folder, at a place between its begin and its end.
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

// diskFull has no file of a process grow beyond a place that it may have reached: a write there fails, in the middle if it
// stands across it. A process may end by it, and is started again afterwards.
func limitFileSize(w *Scenario, f Fault) func() {
	set := func(i int, most uint64) {
		w.mu.Lock()
		p := w.processes[i]
		w.mu.Unlock()
		if p != nil {
			_ = unix.Prlimit(p.PID(), unix.RLIMIT_FSIZE, &unix.Rlimit{Cur: most, Max: unix.RLIM_INFINITY}, nil)
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
			if s, ok := w.status(i); ok && strings.Contains(s.Text, "role=broken") { // its operator does what it says: starts it again
				w.kill(i)
			}
			w.expectExit(i, -1)
			w.start(i)
			w.setDisturbed(i, false)
		})
	}
}

// mayEnd has a balancer be excused from ending by itself, or no longer.
func (w *Scenario) expectExit(i, more int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.expectedExits[i] += more
}

// number counts the processes that the run has started.
func (w *Scenario) nextProcessNumber() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.started++
	return w.started
}

// noted has what a process logs noted, as balancer i's process of this number.
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
