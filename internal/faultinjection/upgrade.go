package faultinjection

import (
	"math/rand/v2"
	"net"
	"strings"
	"time"

	"oatloft/internal/fake"
	"oatloft/internal/rules"
)

// Upgrades: a second process of a balancer starts on the same listening socket, and the first is told to leave. What can
// break in the middle of it: either of them is killed. A schedule with one of these has the run hold every balancer's
// listening socket, as an operator's supervisor does.

const upgradeKinds = "upgrade"

func hasUpgrades(s *Schedule) bool {
	for _, f := range s.Faults {
		if strings.HasPrefix(f.Kind, upgradeKinds) {
			return true
		}
	}
	return false
}

// holdListener opens the listening socket that a balancer's processes inherit.
func (w *Scenario) openListener(l *fake.Launch) error {
	at, err := net.Listen("tcp", l.Addr)
	if err != nil {
		return err
	}
	defer func() { _ = at.Close() }()
	l.Listener, err = at.(*net.TCPListener).File()
	if err == nil {
		w.OnClose(func() { _ = l.Listener.Close() })
	}
	return err
}

// upgrade starts a second process of balancer i beside the first, and has the first leave, or one of them die.
func (w *Scenario) upgrade(i int, how string) {
	w.upgrading[i].Lock() // one after the other: what is the first to one would be the second to the other
	defer w.upgrading[i].Unlock()
	w.mu.Lock()
	p, dead, launch := w.processes[i], w.killed[i], w.launches[i]
	w.upgraded++
	// Both answer operators for a while, and one that leaves may still do so at the next upgrade: each has its own address.
	launch.Management = w.addr(0, i+1, managementPort+w.upgraded)
	w.mu.Unlock()
	if p == nil || dead {
		return // another fault has it down: there is nothing to upgrade
	}
	process := w.nextProcessNumber()
	q, err := w.Start(w.recordLines(i, process, launch))
	if err != nil {
		w.addViolation("%s: the second process failed to start: %v", w.name(i), err)
		return
	}
	time.Sleep(100 * time.Millisecond)
	if how == "second-killed" {
		w.record.endProcess(process, w.Now())
		q.Kill()
		return
	}
	w.mu.Lock()
	if w.killed[i] { // it died meanwhile, and starts by that fault again
		w.mu.Unlock()
		w.record.endProcess(process, w.Now())
		q.Kill()
		return
	}
	p = w.processes[i] // another one than before where a fault has had it die and start anew meanwhile
	first := w.numbers[i]
	w.processes[i], w.launches[i], w.numbers[i] = q, launch, process
	w.trackProcess(i, q)
	w.mu.Unlock()
	w.SawBy(w.name(i), rules.Started, "", "", "")
	defer func() { w.record.endProcess(first, w.Now()) }()
	if how == "first-killed" {
		w.record.endProcess(first, w.Now())
		p.Kill()
		return
	}
	if err := w.terminate(i, first, p, 6*time.Second); err != nil {
		w.addViolation("%s: the first process did not leave: %v", w.name(i), err)
		p.Kill()
	}
}

func init() {
	for _, how := range []string{"", "first-killed", "second-killed"} {
		name := strings.TrimSuffix(upgradeKinds+"-"+how, "-")
		register(name, kind{generate: func(rng *rand.Rand, s *Schedule) Fault { return anyBalancer(rng, s) }, begin: func(w *Scenario, f Fault) func() {
			over := make(chan struct{})
			go func() {
				defer close(over)
				w.each(f.A, func(i int) {
					if how != "" { // who stands at the one that is killed loses it
						w.setDisturbed(i, true)
						defer w.setDisturbed(i, false)
					}
					w.upgrade(i, how)
				})
			}()
			return func() { <-over }
		}})
	}
}
