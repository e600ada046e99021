package faultinjection

import (
	"fmt"
	"syscall"
	"time"

	"oatloft/internal/fake"
	"oatloft/internal/rules"
)

func (w *Scenario) start(i int) {
	select {
	case <-w.stop:
		return
	default:
	}
	// A start is slow: another fault may end the new process, or start the balancer again, meanwhile.
	w.starting[i].Lock()
	defer w.starting[i].Unlock()
	w.mu.Lock()
	needed := w.down[i] <= 0 && w.killed[i]
	w.mu.Unlock()
	if !needed {
		return
	}
	w.SawBy(w.name(i), rules.Started, "", "", "")
	process := w.nextProcessNumber()
	p, err := w.Start(w.recordLines(i, process, w.launch(i)))
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.down[i] > 0 && err == nil {
		w.record.endProcess(process, w.Now())
		p.Kill()
		return
	}
	if err != nil {
		select {
		case <-w.stop:
		default:
			w.violations = append(w.violations, fmt.Sprintf("%s failed to start: %v", w.name(i), err))
		}
		return
	}
	w.processes[i], w.killed[i], w.numbers[i] = p, false, process
	w.trackProcess(i, p)
}

// adjustDown adds more, 1 or -1, to the number of faults that keep a balancer from running, and reports whether the
// fault is the first or was the last of them.
func (w *Scenario) adjustDown(i, more int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.down[i] += more
	return w.down[i] == max(0, more)
}

func (w *Scenario) launch(i int) fake.Launch {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.launches[i]
}

func (w *Scenario) setKilled(i int, killed bool) *fake.Process {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.killed[i] = killed
	return w.processes[i]
}

func (w *Scenario) kill(i int) {
	if p := w.setKilled(i, true); p != nil {
		w.record.endProcess(w.processNumber(i), w.Now())
		p.Kill()
	}
}

// leave shuts a balancer down with SIGTERM, and kills it if it does not exit.
func (w *Scenario) leave(i int) {
	p := w.setKilled(i, true)
	if p == nil {
		return
	}
	process := w.processNumber(i)
	if err := w.terminate(i, process, p, 5*time.Second); err != nil && err.Error() == "still running" {
		w.addViolation("%s did not shut down: %v\n%s", w.name(i), err, tail(p.Log(), 2000))
		w.record.endProcess(process, w.Now())
		p.Kill()
	}
	w.record.endProcess(process, w.Now())
}

// terminate sends SIGTERM to a process of balancer i, and waits until it exits, for at most the time limit. The time in
// which the process is stopped does not count, and waits for processors are excused.
func (w *Scenario) terminate(i, process int, p *fake.Process, limit time.Duration) error {
	began := w.Now()
	p.Signal(syscall.SIGTERM)
	for elapsed := time.Duration(0); ; {
		before := w.Now()
		err := p.Over(50 * time.Millisecond)
		if err == nil || err.Error() != "still running" {
			if elapsed > limit {
				w.excusedByMachine(i, began, elapsed-limit, "%s shut down %v late", w.name(i),
					(elapsed - limit).Round(time.Millisecond))
			}
			return err
		}
		if !w.record.isStopped(process) {
			elapsed += w.Now() - before
		}
		if elapsed-limit > min(limit, w.lateFor(i, began, w.Now()))+observationDelay {
			return err
		}
	}
}

// processNumber returns the number of balancer i's process.
func (w *Scenario) processNumber(i int) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.numbers[i]
}

// suspend stops balancer i's process, and returns a function that continues the same process, even if another one has
// replaced it.
func (w *Scenario) suspend(i int) (resume func()) {
	w.mu.Lock()
	p, process := w.processes[i], w.numbers[i]
	w.mu.Unlock()
	if p == nil {
		return func() {}
	}
	p.Signal(syscall.SIGSTOP)
	w.record.setStopped(process, w.Now(), true)
	return func() {
		w.record.setStopped(process, w.Now(), false)
		p.Signal(syscall.SIGCONT)
	}
}

// watchProcesses detects balancers that exit without a fault.
func (w *Scenario) watchProcesses() {
	for pause(w.stop, 100*time.Millisecond) {
		w.mu.Lock()
		for i, p := range w.processes {
			if p == nil || w.killed[i] {
				continue
			}
			if err := p.Over(0); err == nil || err.Error() != "still running" {
				w.killed[i] = true
				w.record.endProcess(w.numbers[i], w.Now())
				if w.expectedExits[i] > 0 {
					continue
				}
				w.violations = append(w.violations, fmt.Sprintf("%s crashed: %v\n%s", w.name(i), err, tail(p.Log(), 2000)))
			}
		}
		w.mu.Unlock()
	}
}

func tail(text string, n int) string { return text[max(0, len(text)-n):] }
