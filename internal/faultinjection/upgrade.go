package faultinjection

import (
	"math/rand/v2"
	"net"
	"strings"
	"time"

	"oatloft/internal/fake"
	"oatloft/internal/rules"
)

// This file holds the upgrade faults: a second process of a balancer starts on the same listening socket, and the first
// is told to shut down. Either of them may be killed meanwhile. In a schedule with an upgrade, the run itself opens
// every balancer's listening socket, as an operator's supervisor does.

const upgradeKinds = "upgrade"

func hasUpgrades(s *Schedule) bool {
	for _, f := range s.Faults {
		if strings.HasPrefix(f.Kind, upgradeKinds) {
			return true
		}
	}
	return false
}

// openListener opens the listening socket that a balancer's processes inherit.
func (w *Scenario) openListener(l *fake.Launch) error {
	listener, err := net.Listen("tcp", l.Addr)
	if err != nil {
		return err
	}
	defer func() { _ = listener.Close() }()
	l.Listener, err = listener.(*net.TCPListener).File()
	if err == nil {
		w.OnClose(func() { _ = l.Listener.Close() })
	}
	return err
}

// upgrade starts a second process of balancer i next to the first, and shuts the first down, or kills one of them.
func (w *Scenario) upgrade(i int, variant string) {
	// Upgrades of a balancer run one after the other: the second process of one would be the first of the next.
	w.upgrading[i].Lock()
	defer w.upgrading[i].Unlock()
	w.mu.Lock()
	first, killed, launch := w.processes[i], w.killed[i], w.launches[i]
	w.upgraded++
	// Both processes answer operators for a while, and one that shuts down may still do so at the next upgrade, so each
	// has its own management address.
	launch.Management = w.addr(0, i+1, managementPort+w.upgraded)
	w.mu.Unlock()
	if first == nil || killed {
		return // another fault keeps it down: there is nothing to upgrade
	}
	secondNumber := w.nextProcessNumber()
	second, err := w.Start(w.recordLines(i, secondNumber, launch))
	if err != nil {
		w.addViolation("%s: the second process failed to start: %v", w.name(i), err)
		return
	}
	time.Sleep(100 * time.Millisecond)
	if variant == "second-killed" {
		w.record.endProcess(secondNumber, w.Now())
		second.Kill()
		return
	}
	w.mu.Lock()
	if w.killed[i] { // another fault has killed it meanwhile, and starts it again
		w.mu.Unlock()
		w.record.endProcess(secondNumber, w.Now())
		second.Kill()
		return
	}
	first = w.processes[i] // a new process if a fault has killed and restarted it meanwhile
	firstNumber := w.numbers[i]
	w.processes[i], w.launches[i], w.numbers[i] = second, launch, secondNumber
	w.trackProcess(i, second)
	w.mu.Unlock()
	w.SawBy(w.name(i), rules.Started, "", "", "")
	defer func() { w.record.endProcess(firstNumber, w.Now()) }()
	if variant == "first-killed" {
		w.record.endProcess(firstNumber, w.Now())
		first.Kill()
		return
	}
	if err := w.terminate(i, firstNumber, first, 6*time.Second); err != nil {
		w.addViolation("%s: the first process did not shut down: %v", w.name(i), err)
		first.Kill()
	}
}

func init() {
	for _, variant := range []string{"", "first-killed", "second-killed"} {
		name := strings.TrimSuffix(upgradeKinds+"-"+variant, "-")
		register(name, kind{generate: func(rng *rand.Rand, s *Schedule) Fault { return anyBalancer(rng, s) },
			begin: func(w *Scenario, f Fault) func() {
				over := make(chan struct{})
				go func() {
					defer close(over)
					w.each(f.A, func(i int) {
						if variant != "" { // the clients of the killed process lose their connections
							w.setDisturbed(i, true)
							defer w.setDisturbed(i, false)
						}
						w.upgrade(i, variant)
					})
				}()
				return func() { <-over }
			}})
	}
}
