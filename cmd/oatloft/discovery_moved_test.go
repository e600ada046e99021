package main

import (
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"oatloft/internal/fake"
)

// By the platform's rules, a change that discovery has counts as told after toldAfter at the latest, and a server that
// drains gets nothing new drainGrace after that.
const (
	toldAfter  = 6 * time.Second
	drainGrace = 550 * time.Millisecond
)

// discoveryAddress is an address at which discovery can be reached until it is closed.
type discoveryAddress struct {
	name     string
	target   string
	listener net.Listener
	mu       sync.Mutex
	conns    []net.Conn
}

// openDiscoveryAddress opens a new address of the service's discovery.
func (s *service) openDiscoveryAddress() *discoveryAddress {
	s.t.Helper()
	l, err := net.Listen("tcp", "127.8.4.4:0")
	if err != nil {
		s.t.Fatal(err)
	}
	a := &discoveryAddress{name: l.Addr().String(), target: s.Discovery.Addr, listener: l}
	s.t.Cleanup(a.close)
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go a.relay(conn)
		}
	}()
	return a
}

func (a *discoveryAddress) relay(conn net.Conn) {
	target, err := net.Dial("tcp", a.target)
	if err != nil {
		_ = conn.Close()
		return
	}
	a.mu.Lock()
	a.conns = append(a.conns, conn, target)
	a.mu.Unlock()
	go func() { _, _ = io.Copy(target, conn); _ = target.Close() }()
	_, _ = io.Copy(conn, target)
	_ = conn.Close()
}

// close ends the address: it is refused, and open connections end.
func (a *discoveryAddress) close() {
	_ = a.listener.Close()
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, conn := range a.conns {
		_ = conn.Close()
	}
}

// movingDiscovery is a service whose discovery moves. Its processes are told of the addresses by the file and by a
// variable.
type movingDiscovery struct {
	*service
	current *discoveryAddress
}

func newMovingDiscovery(t *testing.T) *movingDiscovery {
	t.Helper()
	s := newService(t, fake.Options{Sockets: 512, MemoryMB: 64})
	m := &movingDiscovery{service: s, current: s.openDiscoveryAddress()}
	m.writeFile()
	m.setVariable()
	m.upgradeAndStop()
	return m
}

// move moves discovery to a new address, at once.
func (m *movingDiscovery) move() {
	m.t.Helper()
	m.current.close()
	m.current = m.openDiscoveryAddress()
}

// writeFile writes the present address into the configuration file.
func (m *movingDiscovery) writeFile() {
	m.options.Discovery = m.current.name
	m.write(m.config, string(m.Config("n1", m.launch.Addr, m.options)))
}

// setVariable sets the variable of the next process to the present address.
func (m *movingDiscovery) setVariable() {
	m.launch.Env = []string{"TMPDIR=" + m.dir, "PROXY_DISCOVERY=" + m.current.name}
}

// upgradeAndStop starts the next process and ends the previous one.
func (m *movingDiscovery) upgradeAndStop() {
	m.t.Helper()
	old := m.upgrade()
	old.Signal(syscall.SIGTERM)
	if err := old.Over(10 * time.Second); err != nil {
		m.t.Fatal(err)
	}
}

// restart kills the process and starts one that has none of its files.
func (m *movingDiscovery) restart() {
	m.t.Helper()
	m.process.Kill()
	files, err := filepath.Glob(filepath.Join(m.dir, "oatloft-*"))
	if err != nil {
		m.t.Fatal(err)
	}
	for _, file := range files {
		if err := os.Remove(file); err != nil {
			m.t.Fatal(err)
		}
	}
	m.upgrade()
}

func (m *movingDiscovery) signalReload(p *fake.Process) {
	m.t.Helper()
	before := strings.Count(p.Log(), "msg=reloaded")
	p.Signal(syscall.SIGHUP)
	m.waitFor("the reload", func() bool { return strings.Count(p.Log(), "msg=reloaded") > before })
}

// expectDrainIsHeard has discovery drain a server, and checks that it gets no more requests in time.
func (m *movingDiscovery) expectDrainIsHeard() {
	m.t.Helper()
	const inARow = 40 // requests that all avoid one of four servers by chance in one of 100,000 cases
	m.Discovery.Tell("r1", "draining")
	avoided, requests := 0, 0
	for end := time.Now().Add(toldAfter + drainGrace); avoided < inARow; requests++ {
		if time.Now().After(end) {
			m.t.Fatalf("r1 drains, and still gets requests\n%s", m.process.Log())
		}
		avoided++
		if got := m.openOnce(fmt.Sprint("drain", requests)); got == "r1" || !strings.HasPrefix(got, "r") {
			avoided = 0
		}
	}
	m.Discovery.Tell("r1", "ready")
}

// Guards against a process that comes to serve after discovery has moved, calls the address of before, and so sends new
// requests to draining servers for as long as it runs (review/9): upgrades and restarts after any change of address.
func TestProcessFindsMovedDiscovery(t *testing.T) {
	moveByFile := func(m *movingDiscovery) {
		m.move()
		m.writeFile()
		m.signalReload(m.process)
	}
	moveByVariable := func(m *movingDiscovery) {
		m.move()
		m.setVariable()
	}
	for name, play := range map[string]func(m *movingDiscovery){
		"file and signal, upgrade": func(m *movingDiscovery) {
			moveByFile(m)
			m.upgradeAndStop()
		},
		"file and signal twice, upgrade twice": func(m *movingDiscovery) {
			moveByFile(m)
			moveByFile(m)
			m.upgradeAndStop()
			m.upgradeAndStop()
		},
		"file and signal, upgrade, file and signal, upgrade": func(m *movingDiscovery) {
			moveByFile(m)
			m.upgradeAndStop()
			moveByFile(m)
			m.upgradeAndStop()
		},
		"file and signal, restart without files": func(m *movingDiscovery) {
			moveByFile(m)
			m.restart()
		},
		"file without signal, upgrade": func(m *movingDiscovery) {
			m.move()
			m.writeFile()
			m.upgradeAndStop()
		},
		"variable, upgrade": func(m *movingDiscovery) {
			moveByVariable(m)
			m.upgradeAndStop()
		},
		"file and signal, variable, upgrade, signal": func(m *movingDiscovery) {
			moveByFile(m)
			moveByVariable(m)
			m.upgradeAndStop()
			m.signalReload(m.process)
		},
		"file and signal, variable, restart without files, signal, file and signal, upgrade": func(m *movingDiscovery) {
			moveByFile(m)
			moveByVariable(m)
			m.restart()
			m.signalReload(m.process)
			moveByFile(m)
			m.upgradeAndStop()
		},
		"signal to the old process only, after the new one has started": func(m *movingDiscovery) {
			old := m.upgrade()
			m.move()
			m.writeFile()
			m.signalReload(old)
			old.Signal(syscall.SIGTERM)
			if err := old.Over(10 * time.Second); err != nil {
				m.t.Fatal(err)
			}
		},
		"signal to the new process only, the old one serves on": func(m *movingDiscovery) {
			old := m.upgrade()
			m.move()
			m.writeFile()
			m.signalReload(m.process)
			m.process.Kill()
			m.process = old
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			m := newMovingDiscovery(t)
			play(m)
			m.expectDrainIsHeard()
		})
	}
}
