package proxy

import (
	"errors"
	"fmt"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"go.uber.org/goleak"
)

// shutPatience is how long these tests wait for what has to come: no machine is so slow, and no test passes by it.
const shutPatience = time.Minute

// killedAfter is how long after SIGTERM, and the longest time that a client waits, SIGKILL may come.
const killedAfter = 700 * time.Millisecond

// Who waits in the listener's queue when the balancer closes it has been taken by this machine, the request perhaps
// written: the system would reset all of them.
func TestWhoWaitsInTheListenersQueueIsTurnedAway(t *testing.T) {
	b := newShutBed(t, nil)
	b.steps("a > PING", "a < PONG")
	b.onLoop(
		func(s *Balancer) { s.sockets.Add(1 << 20) },
	) // the accept loop waits for descriptors, after one more accept at most
	b.steps(`b >> "OPEN 1 k c=chat,d=60000\r\n"`, `c >> "OPEN 2 k c=cha"`, `d >> ""`)
	b.leaves()
	b.closes()
	for _, who := range []string{"b", "c", "d", "a"} {
		b.steps(who+" < BUSY", who+" < FIN", who+" FIN")
	}
	b.onLoop(func(s *Balancer) { s.sockets.Add(-1 << 20) })
	b.steps("ended")
	b.nobodyAsked()
}

// A connection that the accept loop has taken is nobody's for a moment: the process must not end in it.
func TestWhoIsBeingTakenInAtTheEndIsTurnedAway(t *testing.T) {
	for name, said := range map[string]string{"whole": `OPEN 1 k c=chat,d=60000\r\n`, "half": `OPEN 1 k`, "nothing": ``} {
		t.Run(name, func(t *testing.T) {
			b := newShutBed(t, nil)
			taken, free := b.hold.hold()
			b.steps(`a >> "` + said + `"`)
			<-taken
			b.leaves()
			b.closes()
			select { // the loop has had turns, and was not allowed to end
			case <-b.server.loopEnded:
				t.Error("ended while a connection was being taken in")
			default:
			}
			close(free)
			b.steps("a < BUSY", "a < FIN", "a FIN", "ended")
			b.nobodyAsked()
		})
	}
}

// Who rests is told to come again when the balancer closes. A request that is in the socket by then, or comes
// after, is read away: it is neither sent on nor does it make a reset of the answer.
func TestRequestsInTheMomentOfTheClosing(t *testing.T) {
	b := newShutBed(t, nil)
	b.steps(`before >> ""`, `after >> ""`)
	b.leaves()
	b.until("both are known", func(s *Balancer) bool { return len(s.clients) == 2 })
	b.onLoop(func(s *Balancer) { // nobody reads them
		for _, c := range s.clients {
			c.conn.pause()
		}
	})
	b.steps("before > OPEN 1 k c=chat,d=60000")
	b.closes()
	b.steps("after < BUSY", "after > OPEN 2 k c=chat,d=60000", "after < FIN", "after FIN")
	b.steps("before < BUSY", "before < FIN", "before FIN")
	b.steps("ended")
	b.nobodyAsked()
}

// A request in pieces across SIGTERM is served where its end comes while clients are served, and told to come again
// where it comes after.
func TestRequestsInPiecesAcrossSIGTERM(t *testing.T) {
	b := newShutBed(t, nil)
	b.steps(`a >> "OPEN 1 k c=ch"`, `b >> "OPEN 2 k c=chat,d=15"`)
	b.until("the pieces are read", func(s *Balancer) bool {
		n := 0
		for _, c := range s.clients {
			if len(c.partialLine) > 0 {
				n++
			}
		}
		return n == 2
	})
	b.leaves()
	b.steps(
		`a >> "at,d=60000\r\n"`,
		"task1 < OPEN 1 *",
		"task1 > UP 1",
		"a < UP 1",
		"a FIN",
		"task1 < FIN",
		"task1 FIN",
		"a < FIN",
	)
	b.closes()
	b.steps("b < BUSY", `b >> "00\r\n"`, "b < FIN", "b FIN", "ended")
	b.nobodyAsked()
}

// shutFull is a listener that answers no connection: its queue is full.
func shutFull(t *testing.T) string {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = syscall.Close(fd) })
	loopback := &syscall.SockaddrInet4{Addr: [4]byte{127, 8, 1, 3}}
	if err := errors.Join(syscall.Bind(fd, loopback), syscall.Listen(fd, 0)); err != nil {
		t.Fatal(err)
	}
	name, err := syscall.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	addr := fmt.Sprintf("127.8.1.3:%d", name.(*syscall.SockaddrInet4).Port)
	for range 9 {
		c, err := net.DialTimeout("tcp", addr, 200*time.Millisecond)
		if err != nil {
			return addr
		}
		t.Cleanup(func() { _ = c.Close() })
	}
	t.Fatal("its queue is never full")
	return ""
}

// Whatever a request waits for at SIGTERM, it gets its one answer before SIGKILL may come, and nothing is sent on
// after it.
func TestRequestsUnderWayAtSIGTERMAreAnswered(t *testing.T) {
	for _, passes := range []bool{true, false} {
		for name, until := range map[string]func(b *shutBed){
			"waits for room": func(b *shutBed) {
				b.onLoop(func(s *Balancer) {
					for i := range s.cfg.KnownEndpoints.Endpoints {
						s.cfg.KnownEndpoints.Endpoints[i].State = 1 // draining
					}
					s.step(*s.cfg.KnownEndpoints)
				})
				b.steps("a > OPEN 1 k c=chat,d=60000")
				b.until("it is taken", func(s *Balancer) bool { return s.core.Unanswered() == 1 })
			},
			"dialing": func(b *shutBed) {
				full := shutFull(b.t)
				b.onLoop(func(s *Balancer) {
					for i := range s.cfg.KnownEndpoints.Endpoints {
						s.cfg.KnownEndpoints.Endpoints[i].Address = full
					}
					s.step(*s.cfg.KnownEndpoints)
				})
				b.steps("a > OPEN 1 k c=chat,d=60000")
				b.until("it dials", func(s *Balancer) bool { return s.core.Counters.Attempts > 0 && s.core.Unanswered() == 1 })
			},
			"sent":          func(b *shutBed) { b.steps("a > OPEN 1 k c=chat,d=60000", "task1 < OPEN 1 *") },
			"half answered": func(b *shutBed) { b.steps("a > OPEN 1 k c=chat,d=60000", "task1 < OPEN 1 *", `task1 >> "UP 1"`) },
		} {
			t.Run(fmt.Sprintf("%s, passes %v", name, passes), func(t *testing.T) {
				b := newShutBed(t, func(cfg *Config) { cfg.Core.PassThrough = passes })
				until(b)
				b.leaves()
				const step, most = 100 * time.Millisecond, 2*time.Second + killedAfter - 200*time.Millisecond
				for passed := time.Duration(0); passed < most; passed += step {
					b.pass(100 * time.Millisecond) // the loop has a turn between, and must not end
				}
				b.steps("a < *", "a < FIN")
				b.closes()
				b.steps("a FIN", "ended")
				if n := b.server.core.Unanswered(); n != 0 {
					t.Error(n, "are still owed an answer")
				}
				if n := b.server.core.Counters; n.Rejected+n.Failed != 1 {
					t.Errorf("%d told to come again, %d failed: not one", n.Rejected, n.Failed)
				}
			})
		}
	}
}

// A client that has closed its sending is over once it has its answer: nobody waits for it any more.
func TestHalfClosedClientsAreOverWithTheirAnswer(t *testing.T) {
	b := newShutBed(t, nil)
	b.steps("a > OPEN 1 k c=chat,d=60000", "task1 < OPEN 1 *", "a FIN")
	b.until("it has closed its sending", func(s *Balancer) bool {
		for _, c := range s.clients {
			c.conn.mu.Lock()
			defer c.conn.mu.Unlock()
			return c.conn.tail != nil
		}
		return false
	})
	b.onLoop(func(s *Balancer) {
		for _, term := range s.clients { // the answer, and no time for the end by force
			s.finalAnswer(term, []byte("BUSY\r\n"))
			term.conn.forceCloseAt = time.Now().Add(time.Hour)
		}
	})
	b.steps("a < BUSY", "a < FIN")
	b.until("it is over", func(s *Balancer) bool { return len(s.finishing) == 0 })
}

// A configuration read anew right before SIGTERM, or right after it, counts while clients are still served: news
// come from where it says. One that comes when all is over changes nothing, and holds nobody up.
func TestReloadsAroundSIGTERM(t *testing.T) {
	for _, first := range []string{"reload", "leave"} {
		t.Run(first+" first", func(t *testing.T) {
			b := newShutBed(t, nil)
			b.calls()
			b.steps(`rests >> ""`, "a > OPEN 1 k c=chat,d=60000", "task1 < OPEN 1 *")
			if first == "reload" {
				b.steps("reload $moved")
				b.leaves()
			} else {
				b.leaves()
				b.steps("reload $moved")
			}
			b.steps("watch2 < GET *", "task1 > UP 1", "a < UP 1", "a FIN", "task1 < FIN", "task1 FIN", "a < FIN")
			b.closes()
			b.steps("reload $discovery")
			b.onLoop(func(s *Balancer) {
				if s.counters.Reloads != 1 {
					t.Error(s.counters.Reloads, "configurations were taken")
				}
			})
			b.steps("rests < BUSY", "rests FIN", "ended")
		})
	}
}

// A client whose region stops in the middle of a line at the very end is given the time to be moved behind it.
func TestMovesAtTheEndWaitForTheLine(t *testing.T) {
	b := newShutBed(t, notPassing)
	b.steps("a > OPEN 1 k c=chat,d=60000", "task1 < OPEN 1 *")
	b.leaves()
	b.steps(`task1 >> "UP 1\r\nhalf a "`, "a < UP 1")
	b.closes()
	b.steps("task1 > line", "a < half a line", "a < MOVE", "a < FIN", "a FIN", "ended")
}

// Small last writes leave at once, by either way in which connections are accepted.
func TestAcceptedConnectionsHoldNothingBack(t *testing.T) {
	b := newShutBed(t, nil)
	b.steps("a > PING", "a < PONG")
	b.onLoop(func(s *Balancer) { s.sockets.Add(1 << 20) })
	b.steps(`b >> ""`, `c >> ""`) // one by the accept that waited, perhaps
	b.onLoop(func(s *Balancer) {
		if !s.acceptQueued() {
			t.Error("somebody is left in the queue")
		}
		s.sockets.Add(-1 << 20)
	})
	b.until("all are known", func(s *Balancer) bool { return len(s.clients) == 3 })
	b.onLoop(func(s *Balancer) {
		for _, term := range s.clients {
			withDescriptor(term.conn.conn, func(fd int) {
				if on, err := syscall.GetsockoptInt(fd, syscall.IPPROTO_TCP, syscall.TCP_NODELAY); err != nil || on == 0 {
					t.Errorf("terminal %d: TCP_NODELAY %d, %v", term.handle, on, err)
				}
			})
		}
	})
}

// shutDescriptors is how many this process holds.
func shutDescriptors(t *testing.T) int {
	list, err := os.ReadDir("/proc/self/fd")
	if err != nil {
		t.Fatal(err)
	}
	return len(list)
}

// After a stop nothing is left of a server: no goroutine, no timer, no descriptor. It is stopped both ways, with
// connections in all states.
func TestNothingIsLeftAfterAStop(t *testing.T) {
	ignore := goleak.IgnoreCurrent()
	play := func(t *testing.T, leaves bool) {
		b := newShutBed(t, nil)
		b.calls()
		b.steps("a > OPEN 1 k c=chat,d=60000", "task1 < OPEN 1 *", "task1 > UP 1", "a < UP 1")
		b.steps("b > OPEN 2 k c=chat,d=60000", "task2 < OPEN 2 *", "b FIN", `c >> "OPEN"`)
		if leaves {
			b.leaves()
			b.steps("task2 > UP 2", "b < UP 2", "a FIN", "task1 FIN", "task2 FIN")
			b.until("nobody stands", func(s *Balancer) bool { return s.core.OpenRequests() == 0 })
			b.closes()
			b.steps("c < BUSY", "c FIN", "ended")
		}
	}
	before := 0
	for i := range 6 {
		t.Run(fmt.Sprint(i), func(t *testing.T) { play(t, i%2 == 0) })
		goleak.VerifyNone(t, ignore)
		if n := shutDescriptors(t); before == 0 {
			before = n
		} else if n > before {
			t.Errorf("%d descriptors after the first stop, %d after %d more", before, n, i)
		}
	}
}

// The loop ends once nobody is left who may have to get something, and when its time is up. This is closed alone,
// so that each reason to stay is met without the others.
func TestReasonsToStay(t *testing.T) {
	now := time.Now()
	ready := func() *Balancer {
		b := &Balancer{
			exiting: true,
			closing: closing{idleDeadline: now.Add(time.Second), deadline: now.Add(2 * time.Second)},
			acceptLoop: acceptLoop{
				done: make(chan struct{}),
			},
			finishing: map[*connection]struct{}{},
			migrating: map[*client]struct{}{},
		}
		b.acceptLoop.finish()
		return b
	}
	if !ready().mayExit(now) {
		t.Fatal("it stays for nobody")
	}
	for name, stay := range map[string]func(b *Balancer) (until time.Duration){
		"accept loop at work": func(b *Balancer) time.Duration {
			b.acceptLoop = acceptLoop{done: make(chan struct{})}
			return 2 * time.Second
		},
		"events unread": func(b *Balancer) time.Duration {
			b.queue.list = []event{{kind: eventAccepted}}
			return 2 * time.Second
		},
		"a client moves": func(b *Balancer) time.Duration {
			b.migrating[&client{}] = struct{}{}
			return 2 * time.Second
		},
		"bytes unwritten": func(b *Balancer) time.Duration {
			conn := &connection{}
			conn.accepted.Store(1)
			b.finishing[conn] = struct{}{}
			return 2 * time.Second
		},
		"a client that has to end": func(b *Balancer) time.Duration {
			b.finishing[&connection{}] = struct{}{}
			return time.Second
		},
		"a refused client": func(b *Balancer) time.Duration {
			b.admission = &admissionController{goodbyes: make([]net.Conn, 1)}
			return 2 * time.Second
		},
	} {
		b := ready()
		until := stay(b)
		if b.mayExit(now) || b.mayExit(now.Add(until-time.Millisecond)) {
			t.Error(name, "is no reason to stay")
		}
		if !b.mayExit(now.Add(until + time.Millisecond)) {
			t.Error(name, "holds it up for ever")
		}
		if b.exiting = false; b.mayExit(now.Add(time.Hour)) {
			t.Error(name, "ends though it serves")
		}
	}
}
