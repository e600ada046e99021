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

// shutdownTestTimeout bounds waits for expected events. It is longer than any machine needs, and no test passes by
// reaching it.
const shutdownTestTimeout = time.Minute

// killDelay is the time after which SIGKILL may follow, counted from SIGTERM plus a client's longest waiting time.
const killDelay = 700 * time.Millisecond

// Connections in the accept queue must be rejected with an answer when the balancer closes its listener. The system has
// established them already, and their clients may have sent requests; closing the listener would reset them all.
func TestConnectionsInAcceptQueueAreRejected(t *testing.T) {
	b := newShutdownHarness(t, nil)
	b.steps("a > PING", "a < PONG")
	b.onLoop(
		func(s *Balancer) { s.sockets.Add(1 << 20) },
	) // stops the accept loop for lack of descriptors, after at most one more accept
	b.steps(`b >> "OPEN 1 k c=chat,d=60000\r\n"`, `c >> "OPEN 2 k c=cha"`, `d >> ""`)
	b.beginShutdown()
	b.awaitClosing()
	for _, name := range []string{"b", "c", "d", "a"} {
		b.steps(name+" < BUSY", name+" < FIN", name+" FIN")
	}
	b.onLoop(func(s *Balancer) { s.sockets.Add(-1 << 20) })
	b.steps("ended")
	b.expectNoAttempt()
}

// Between accept and its registration a connection is unknown to the loop. The process must not exit in that interval.
func TestConnectionBeingAcceptedDuringExitIsRejected(t *testing.T) {
	for name, sent := range map[string]string{"whole": `OPEN 1 k c=chat,d=60000\r\n`, "half": `OPEN 1 k`, "nothing": ``} {
		t.Run(name, func(t *testing.T) {
			b := newShutdownHarness(t, nil)
			accepted, resume := b.listener.suspend()
			b.steps(`a >> "` + sent + `"`)
			<-accepted
			b.beginShutdown()
			b.awaitClosing()
			select { // the loop has run, and must not have ended
			case <-b.balancer.loopEnded:
				t.Error("ended while a connection was being accepted")
			default:
			}
			close(resume)
			b.steps("a < BUSY", "a < FIN", "a FIN", "ended")
			b.expectNoAttempt()
		})
	}
}

// Idle clients are rejected when the balancer closes. A request that is in the socket by then, or arrives later, is
// read and discarded: it must neither be forwarded nor turn the answer into a reset.
func TestRequestsDuringClosing(t *testing.T) {
	b := newShutdownHarness(t, nil)
	b.steps(`before >> ""`, `after >> ""`)
	b.beginShutdown()
	b.eventually("both clients to be known", func(s *Balancer) bool { return len(s.clients) == 2 })
	b.onLoop(func(s *Balancer) { // leave their requests unread
		for _, c := range s.clients {
			c.conn.pause()
		}
	})
	b.steps("before > OPEN 1 k c=chat,d=60000")
	b.awaitClosing()
	b.steps("after < BUSY", "after > OPEN 2 k c=chat,d=60000", "after < FIN", "after FIN")
	b.steps("before < BUSY", "before < FIN", "before FIN")
	b.steps("ended")
	b.expectNoAttempt()
}

// A request that arrives in pieces around SIGTERM is served if it is complete while clients are still served, and
// rejected otherwise.
func TestRequestsInPiecesAcrossSIGTERM(t *testing.T) {
	b := newShutdownHarness(t, nil)
	b.steps(`a >> "OPEN 1 k c=ch"`, `b >> "OPEN 2 k c=chat,d=15"`)
	b.eventually("the pieces to be read", func(s *Balancer) bool {
		n := 0
		for _, c := range s.clients {
			if len(c.partialLine) > 0 {
				n++
			}
		}
		return n == 2
	})
	b.beginShutdown()
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
	b.awaitClosing()
	b.steps("b < BUSY", `b >> "00\r\n"`, "b < FIN", "b FIN", "ended")
	b.expectNoAttempt()
}

// fullListenerAddr returns the address of a listener whose accept queue is full, so that dials to it hang.
func fullListenerAddr(t *testing.T) string {
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
	t.Fatal("the accept queue is never full")
	return ""
}

// Whatever a request waits for at SIGTERM, it gets exactly one answer before SIGKILL may follow, and nothing is
// forwarded after the answer.
func TestRequestsInFlightAtSIGTERMAreAnswered(t *testing.T) {
	for _, passThrough := range []bool{true, false} {
		for name, setUp := range map[string]func(b *shutdownHarness){
			"queued for capacity": func(b *shutdownHarness) {
				b.onLoop(func(s *Balancer) {
					for i := range s.cfg.KnownEndpoints.Endpoints {
						s.cfg.KnownEndpoints.Endpoints[i].State = 1 // draining
					}
					s.step(*s.cfg.KnownEndpoints)
				})
				b.steps("a > OPEN 1 k c=chat,d=60000")
				b.eventually("the request to be admitted", func(s *Balancer) bool { return s.core.Unanswered() == 1 })
			},
			"dialing": func(b *shutdownHarness) {
				full := fullListenerAddr(b.t)
				b.onLoop(func(s *Balancer) {
					for i := range s.cfg.KnownEndpoints.Endpoints {
						s.cfg.KnownEndpoints.Endpoints[i].Address = full
					}
					s.step(*s.cfg.KnownEndpoints)
				})
				b.steps("a > OPEN 1 k c=chat,d=60000")
				b.eventually("the dial", func(s *Balancer) bool { return s.core.Counters.Attempts > 0 && s.core.Unanswered() == 1 })
			},
			"sent": func(b *shutdownHarness) { b.steps("a > OPEN 1 k c=chat,d=60000", "task1 < OPEN 1 *") },
			"half answered": func(b *shutdownHarness) {
				b.steps("a > OPEN 1 k c=chat,d=60000", "task1 < OPEN 1 *", `task1 >> "UP 1"`)
			},
		} {
			t.Run(fmt.Sprintf("%s, passes %v", name, passThrough), func(t *testing.T) {
				b := newShutdownHarness(t, func(cfg *Config) { cfg.Core.PassThrough = passThrough })
				setUp(b)
				b.beginShutdown()
				const step, maxTime = 100 * time.Millisecond, 2*time.Second + killDelay - 200*time.Millisecond
				for passed := time.Duration(0); passed < maxTime; passed += step {
					b.advanceClock(100 * time.Millisecond) // the loop runs in between, and must not end
				}
				b.steps("a < *", "a < FIN")
				b.awaitClosing()
				b.steps("a FIN", "ended")
				if n := b.balancer.core.Unanswered(); n != 0 {
					t.Error(n, "requests are unanswered")
				}
				if n := b.balancer.core.Counters; n.Rejected+n.Failed != 1 {
					t.Errorf("%d rejected, %d failed, want one in total", n.Rejected, n.Failed)
				}
			})
		}
	}
}

// A client that has closed its sending side is removed as soon as it has its answer.
func TestHalfClosedClientsEndWithTheirAnswer(t *testing.T) {
	b := newShutdownHarness(t, nil)
	b.steps("a > OPEN 1 k c=chat,d=60000", "task1 < OPEN 1 *", "a FIN")
	b.eventually("the client's FIN", func(s *Balancer) bool {
		for _, c := range s.clients {
			c.conn.mu.Lock()
			defer c.conn.mu.Unlock()
			return c.conn.tail != nil
		}
		return false
	})
	b.onLoop(func(s *Balancer) {
		for _, c := range s.clients { // the final answer, with forceClose out of reach
			s.finalAnswer(c, []byte("BUSY\r\n"))
			c.conn.forceCloseAt = time.Now().Add(time.Hour)
		}
	})
	b.steps("a < BUSY", "a < FIN")
	b.eventually("the connection to be released", func(s *Balancer) bool { return len(s.finishing) == 0 })
}

// A configuration that is reloaded just before or just after SIGTERM takes effect while clients are still served:
// updates come from its discovery address. A reload after that changes nothing and does not delay the exit.
func TestReloadsAroundSIGTERM(t *testing.T) {
	for _, first := range []string{"reload", "leave"} {
		t.Run(first+" first", func(t *testing.T) {
			b := newShutdownHarness(t, nil)
			b.awaitDiscoveryCall()
			b.steps(`idle >> ""`, "a > OPEN 1 k c=chat,d=60000", "task1 < OPEN 1 *")
			if first == "reload" {
				b.steps("reload $moved")
				b.beginShutdown()
			} else {
				b.beginShutdown()
				b.steps("reload $moved")
			}
			b.steps("watch2 < GET *", "task1 > UP 1", "a < UP 1", "a FIN", "task1 < FIN", "task1 FIN", "a < FIN")
			b.awaitClosing()
			b.steps("reload $discovery")
			b.onLoop(func(s *Balancer) {
				if s.counters.Reloads != 1 {
					t.Error(s.counters.Reloads, "reloads, want 1")
				}
			})
			b.steps("idle < BUSY", "idle FIN", "ended")
		})
	}
}

// A client whose server is in the middle of a line when the balancer closes gets MOVE after the rest of the line.
func TestMigrationsDuringClosingWaitForTheLine(t *testing.T) {
	b := newShutdownHarness(t, withoutPassThrough)
	b.steps("a > OPEN 1 k c=chat,d=60000", "task1 < OPEN 1 *")
	b.beginShutdown()
	b.steps(`task1 >> "UP 1\r\nhalf a "`, "a < UP 1")
	b.awaitClosing()
	b.steps("task1 > line", "a < half a line", "a < MOVE", "a < FIN", "a FIN", "ended")
}

// TCP_NODELAY is set on connections accepted by either path, so that small last writes are sent immediately.
func TestAcceptedConnectionsHaveNoDelay(t *testing.T) {
	b := newShutdownHarness(t, nil)
	b.steps("a > PING", "a < PONG")
	b.onLoop(func(s *Balancer) { s.sockets.Add(1 << 20) })
	b.steps(`b >> ""`, `c >> ""`) // the pending accept may take one of them
	b.onLoop(func(s *Balancer) {
		if !s.acceptQueued() {
			t.Error("connections are left in the queue")
		}
		s.sockets.Add(-1 << 20)
	})
	b.eventually("all clients to be known", func(s *Balancer) bool { return len(s.clients) == 3 })
	b.onLoop(func(s *Balancer) {
		for _, c := range s.clients {
			withDescriptor(c.conn.conn, func(fd int) {
				if on, err := syscall.GetsockoptInt(fd, syscall.IPPROTO_TCP, syscall.TCP_NODELAY); err != nil || on == 0 {
					t.Errorf("client %d: TCP_NODELAY %d, %v", c.handle, on, err)
				}
			})
		}
	})
}

// openDescriptors returns the number of descriptors that this process has open.
func openDescriptors(t *testing.T) int {
	list, err := os.ReadDir("/proc/self/fd")
	if err != nil {
		t.Fatal(err)
	}
	return len(list)
}

// A stopped balancer leaks no goroutine, timer or descriptor, whether it shuts down or its context ends, with
// connections in all states.
func TestStopLeaksNothing(t *testing.T) {
	ignore := goleak.IgnoreCurrent()
	run := func(t *testing.T, shutDown bool) {
		b := newShutdownHarness(t, nil)
		b.awaitDiscoveryCall()
		b.steps("a > OPEN 1 k c=chat,d=60000", "task1 < OPEN 1 *", "task1 > UP 1", "a < UP 1")
		b.steps("b > OPEN 2 k c=chat,d=60000", "task2 < OPEN 2 *", "b FIN", `c >> "OPEN"`)
		if shutDown {
			b.beginShutdown()
			b.steps("task2 > UP 2", "b < UP 2", "a FIN", "task1 FIN", "task2 FIN")
			b.eventually("all requests to end", func(s *Balancer) bool { return s.core.OpenRequests() == 0 })
			b.awaitClosing()
			b.steps("c < BUSY", "c FIN", "ended")
		}
	}
	before := 0
	for i := range 6 {
		t.Run(fmt.Sprint(i), func(t *testing.T) { run(t, i%2 == 0) })
		goleak.VerifyNone(t, ignore)
		if n := openDescriptors(t); before == 0 {
			before = n
		} else if n > before {
			t.Errorf("%d descriptors after the first stop, %d after %d more", before, n, i)
		}
	}
}

// The loop ends once nothing is outstanding for any client, or at its deadline. Each reason to continue is tested
// without the others.
func TestReasonsToKeepRunning(t *testing.T) {
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
		t.Fatal("the loop continues without a reason")
	}
	for name, keepRunning := range map[string]func(b *Balancer) (until time.Duration){
		"accept loop at work": func(b *Balancer) time.Duration {
			b.acceptLoop = acceptLoop{done: make(chan struct{})}
			return 2 * time.Second
		},
		"events queued": func(b *Balancer) time.Duration {
			b.queue.urgent = []event{{kind: eventAccepted}}
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
		"a rejected client": func(b *Balancer) time.Duration {
			b.admission = &admissionController{lingering: make([]net.Conn, 1)}
			return 2 * time.Second
		},
	} {
		b := ready()
		until := keepRunning(b)
		if b.mayExit(now) || b.mayExit(now.Add(until-time.Millisecond)) {
			t.Error(name, "does not keep the loop running")
		}
		if !b.mayExit(now.Add(until + time.Millisecond)) {
			t.Error(name, "keeps the loop running past the deadline")
		}
		if b.exiting = false; b.mayExit(now.Add(time.Hour)) {
			t.Error(name, "ends the loop while it serves")
		}
	}
}
