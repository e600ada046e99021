package faultinjection

import (
	"math/rand/v2"
	"os"
	"path/filepath"
	"time"
)

// This file holds the faults of processes and links. The function that begin returns ends the fault. A fault that keeps
// a balancer from answering, or its answers from reaching a client, marks the balancer as disturbed: requests that are
// lost meanwhile violate no rule.

func anyBalancer(rng *rand.Rand, s *Schedule) Fault { return Fault{A: 1 + rng.IntN(s.Balancers)} }

func oneOrAll(rng *rand.Rand, s *Schedule) Fault {
	f := anyBalancer(rng, s)
	if rng.IntN(5) == 0 {
		f.A = 0
	}
	return f
}

// randomPeerLink picks a directed link between two balancers, or from one to all.
func randomPeerLink(rng *rand.Rand, s *Schedule) Fault {
	f := Fault{A: 1 + rng.IntN(s.Balancers), B: rng.IntN(s.Balancers + 1)}
	return f
}

func randomServerLink(rng *rand.Rand, s *Schedule) Fault {
	return Fault{A: rng.IntN(s.Balancers + 1), B: rng.IntN(s.Servers + 1)}
}

// each calls f for balancer a, counted from 1, or for all if a is 0.
func (w *Scenario) each(a int, f func(i int)) {
	for i := range w.Schedule.Balancers {
		if a == 0 || a == i+1 {
			f(i)
		}
	}
}

// processFault is a fault that ends processes and starts them again when it is over. Before the start,
// beforeStart, if not nil, changes the balancer's files.
func processFault(end func(w *Scenario, i int), beforeStart func(w *Scenario, i int)) func(*Scenario, Fault) func() {
	return func(w *Scenario, f Fault) func() {
		w.each(f.A, func(i int) {
			w.setDisturbed(i, true)
			if w.adjustDown(i, 1) {
				end(w, i)
			}
		})
		return func() {
			w.each(f.A, func(i int) {
				if beforeStart != nil {
					beforeStart(w, i)
				}
				if w.adjustDown(i, -1) {
					w.start(i)
				}
				w.setDisturbed(i, false)
			})
		}
	}
}

// linkFault is a fault that sets the behaviour of links, and marks the balancers as disturbed if disturbs is set.
func linkFault(links func(w *Scenario, f Fault) []*link, of func(f Fault) LinkFaults,
	disturbs bool) func(*Scenario, Fault) func() {
	return func(w *Scenario, f Fault) func() {
		list := links(w, f)
		for _, l := range list {
			l.set(of(f))
		}
		if disturbs {
			w.each(f.A, func(i int) { w.setDisturbed(i, true) })
		}
		return func() {
			for _, l := range list {
				l.set(LinkFaults{})
			}
			if disturbs {
				w.each(f.A, func(i int) { w.setDisturbed(i, false) })
			}
		}
	}
}

// peerLinksFrom selects the links from A to B and, if back is set, from B to A.
func peerLinksFrom(back bool) func(w *Scenario, f Fault) []*link {
	return func(w *Scenario, f Fault) (list []*link) {
		for i := range w.Schedule.Balancers {
			for j := range w.Schedule.Balancers {
				from := (f.A == 0 || f.A == i+1) && (f.B == 0 || f.B == j+1)
				to := back && (f.A == 0 || f.A == j+1) && (f.B == 0 || f.B == i+1)
				if i != j && (from || to) {
					list = append(list, w.linksBetween(i, j)...)
				}
			}
		}
		return list
	}
}

// linksBetweenHalves returns all links between the first A balancers and the others.
func linksBetweenHalves(w *Scenario, f Fault) (list []*link) {
	for i := range w.Schedule.Balancers {
		for j := range w.Schedule.Balancers {
			if (i < f.A) != (j < f.A) {
				list = append(list, w.linksBetween(i, j)...)
			}
		}
	}
	return list
}

func serverLinksOf(w *Scenario, f Fault) (list []*link) {
	w.each(f.A, func(i int) {
		for j, s := range w.serverLinks[i] {
			if f.B == 0 || f.B == j+1 {
				list = append(list, &s.link)
			}
		}
	})
	return list
}

func discoveryLinksOf(w *Scenario, f Fault) (list []*link) {
	w.each(f.A, func(i int) { list = append(list, &w.discoveryLinks[i].link) })
	return list
}

func clientLinksOf(w *Scenario, f Fault) (list []*link) {
	w.each(f.A, func(i int) { list = append(list, &w.clientLinks[i].link) })
	return list
}

func init() {
	register("kill", kind{generate: oneOrAll, begin: processFault(func(w *Scenario, i int) { w.kill(i) }, nil)})
	register("kill-lose-state", kind{generate: oneOrAll,
		begin: processFault(func(w *Scenario, i int) { w.kill(i) }, func(w *Scenario, i int) {
			_ = os.RemoveAll(w.dirs[i])
			_ = os.MkdirAll(w.dirs[i], 0o700)
		})})
	register("kill-no-state", kind{generate: anyBalancer,
		begin: processFault(func(w *Scenario, i int) { w.kill(i) }, func(w *Scenario, i int) {
			// A file in place of the folder makes all writes fail, as a full disk does.
			_ = os.RemoveAll(w.dirs[i])
			_ = os.WriteFile(w.dirs[i], nil, 0o600)
		})})
	register("leave", kind{generate: anyBalancer, begin: processFault(func(w *Scenario, i int) { w.leave(i) }, nil)})
	register("flap", kind{generate: anyBalancer, begin: func(w *Scenario, f Fault) func() {
		stop, over := make(chan struct{}), make(chan struct{})
		w.each(f.A, func(i int) { w.setDisturbed(i, true) })
		killAll := func(i int) {
			if w.adjustDown(i, 1) {
				w.kill(i)
			}
		}
		startAll := func(i int) {
			if w.adjustDown(i, -1) {
				w.start(i)
			}
		}
		go func() {
			defer close(over)
			for {
				w.each(f.A, killAll)
				continues := pause(stop, 300*time.Millisecond)
				w.each(f.A, startAll)
				if !continues || !pause(stop, 700*time.Millisecond) {
					return
				}
			}
		}()
		return func() {
			close(stop)
			<-over
			w.each(f.A, func(i int) { w.setDisturbed(i, false) })
		}
	}})
	register("stop", kind{generate: oneOrAll, begin: func(w *Scenario, f Fault) func() {
		var resumes []func()
		w.each(f.A, func(i int) { w.setDisturbed(i, true); resumes = append(resumes, w.suspend(i)) })
		return func() {
			for _, resume := range resumes {
				resume()
			}
			w.each(f.A, func(i int) { w.setDisturbed(i, false) })
		}
	}})
	register("talk-cut", kind{generate: randomPeerLink, targetB: "balancer",
		begin: linkFault(peerLinksFrom(true), func(Fault) LinkFaults { return LinkFaults{Cut: true} }, false)})
	register("talk-one-way", kind{generate: randomPeerLink, targetB: "balancer",
		begin: linkFault(peerLinksFrom(false), func(Fault) LinkFaults { return LinkFaults{Cut: true} }, false)})
	register("talk-loss", kind{generate: func(rng *rand.Rand, s *Schedule) Fault {
		f := randomPeerLink(rng, s)
		f.Value = []float64{0.1, 0.3, 0.9}[rng.IntN(3)]
		return f
	}, targetB: "balancer", begin: linkFault(peerLinksFrom(true),
		func(f Fault) LinkFaults { return LinkFaults{Loss: min(f.Value, 1), Duplicate: 0.1} }, false)})
	register("talk-late", kind{generate: func(rng *rand.Rand, s *Schedule) Fault {
		f := randomPeerLink(rng, s)
		f.Value = 10 + 400*rng.Float64() // delay in ms
		return f
	}, targetB: "balancer", begin: linkFault(peerLinksFrom(true), func(f Fault) LinkFaults {
		d := time.Duration(f.Value * float64(time.Millisecond))
		return LinkFaults{Delay: d / 2, Jitter: d, Duplicate: 0.2}
	}, false)})
	register("halves", kind{generate: func(rng *rand.Rand, s *Schedule) Fault {
		return Fault{A: 1 + rng.IntN(max(1, s.Balancers-1))}
	}, begin: linkFault(linksBetweenHalves, func(Fault) LinkFaults { return LinkFaults{Cut: true} }, false)})
	register("region-late", kind{generate: func(rng *rand.Rand, s *Schedule) Fault {
		f := randomServerLink(rng, s)
		f.Value = 5 + 200*rng.Float64()
		return f
	}, targetB: "region", begin: linkFault(serverLinksOf, func(f Fault) LinkFaults {
		return LinkFaults{Delay: time.Duration(f.Value * float64(time.Millisecond))}
	}, false)})
	register("region-thinks", kind{generate: func(rng *rand.Rand, s *Schedule) Fault {
		return Fault{B: rng.IntN(s.Servers + 1), Value: 200 + 2500*rng.Float64()} // ms until the server answers
	}, targetB: "region", begin: func(w *Scenario, f Fault) func() {
		set := func(d time.Duration) {
			for j, r := range w.Servers {
				if f.B == 0 || f.B == j+1 {
					r.SetDelay(d)
				}
			}
		}
		set(time.Duration(f.Value * float64(time.Millisecond)))
		return func() { set(0) }
	}})
	register("region-refuses", kind{generate: randomServerLink, targetB: "region",
		begin: linkFault(serverLinksOf, func(Fault) LinkFaults { return LinkFaults{Refuse: true} }, false)})
	register("region-cut", kind{generate: randomServerLink, targetB: "region",
		begin: linkFault(serverLinksOf, func(Fault) LinkFaults { return LinkFaults{Cut: true} }, false)})
	register("region-resets", kind{generate: randomServerLink, targetB: "region",
		begin: func(w *Scenario, f Fault) func() {
			w.each(f.A, func(i int) {
				for j, s := range w.serverLinks[i] {
					if f.B == 0 || f.B == j+1 {
						s.breakAll()
					}
				}
			})
			return func() {}
		}})
	register("region-drains", kind{generate: func(rng *rand.Rand, s *Schedule) Fault {
		return Fault{B: 1 + rng.IntN(s.Servers)}
	}, targetB: "region",
		begin: func(w *Scenario, f Fault) func() {
			name := w.Servers[max(0, f.B-1)].Name
			w.Discovery.Tell(name, "draining")
			return func() { w.Discovery.Tell(name, "ready") }
		}})
	register("region-anew", kind{generate: func(rng *rand.Rand, s *Schedule) Fault {
		return Fault{B: 1 + rng.IntN(s.Servers)}
	}, targetB: "region",
		begin: func(w *Scenario, f Fault) func() {
			r := w.Servers[max(0, f.B-1)]
			w.Discovery.Tell(r.Name, "gone")
			r.MoveClients()
			return func() {
				r.Renew()
				w.Discovery.Renew(r.Name)
			}
		}})
	register("discovery-cut", kind{generate: oneOrAll,
		begin: linkFault(discoveryLinksOf, func(Fault) LinkFaults { return LinkFaults{Cut: true} }, false)})
	register("discovery-refuses", kind{generate: oneOrAll,
		begin: linkFault(discoveryLinksOf, func(Fault) LinkFaults { return LinkFaults{Refuse: true} }, false)})
	register("terminals-cut", kind{generate: anyBalancer,
		begin: linkFault(clientLinksOf, func(Fault) LinkFaults { return LinkFaults{Cut: true} }, true)})
	register("terminals-slow", kind{generate: func(rng *rand.Rand, s *Schedule) Fault {
		f := anyBalancer(rng, s)
		f.Value = 200 + 5000*rng.Float64()
		return f
	}, begin: linkFault(clientLinksOf, func(f Fault) LinkFaults { return LinkFaults{Rate: int(max(50, f.Value))} }, true)})
}

// pause waits for d, and reports whether stop is still open.
func pause(stop <-chan struct{}, d time.Duration) bool {
	select {
	case <-stop:
		return false
	case <-time.After(d):
		return true
	}
}

func (w *Scenario) dir(i int) string { return filepath.Join(w.temp, w.name(i)) }
