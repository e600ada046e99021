package proxy

import (
	"fmt"
	"math/rand/v2"
	"net"
	"testing"
	"time"

	"oatloft/internal/hotrestart"
	"oatloft/policy"
)

// platformModel is a platform that moves discovery, and the balancer's process that runs at the time.
type platformModel struct {
	given, applied DiscoveryAddresses // at present, and as the process read them last
	live           string             // where discovery answers
	moves          int
	record         *hotrestart.DiscoveryRecord
	choice         discoveryChoice
}

// move moves discovery to a new address, or back to one that it had. It returns whether the address is new.
func (m *platformModel) move(random *rand.Rand) (isNew bool) {
	isNew = random.IntN(4) > 0
	if isNew {
		m.moves++
		m.live = fmt.Sprint("address ", m.moves)
	} else {
		m.live = fmt.Sprint("address ", random.IntN(m.moves+1))
	}
	return isNew
}

func (m *platformModel) start() {
	m.choice, m.applied = chooseDiscovery(m.given, m.record), m.given
}

func (m *platformModel) reload() {
	m.choice, m.applied = m.choice.afterReload(m.applied, m.given), m.given
}

// callDiscovery has the process call discovery, and returns whether it answered, and whether at the first address.
func (m *platformModel) callDiscovery() (found, atFirst bool) {
	found, atFirst = m.live == m.choice.first || m.live == m.choice.second, m.live == m.choice.first
	if found {
		m.choice = m.choice.afterAnswer(m.live)
		m.record = &hotrestart.DiscoveryRecord{Override: m.applied.Override, File: m.applied.File, Answered: m.live}
	}
	return found, atFirst
}

// Guards against a process that never finds discovery because only one of its addresses was changed, after any course
// of changes, reloads, upgrades and restarts. A new address is called first, if the process can know that it is new.
func TestDiscoveryIsFoundAfterAnyCourse(t *testing.T) {
	for seed := range uint64(5000) {
		random := rand.New(rand.NewPCG(seed, 0))
		m := &platformModel{live: "address 0", given: DiscoveryAddresses{"address 0", "address 0"}}
		m.start()
		course := []string{"start"}
		for range 12 {
			isNew, records := false, m.record != nil
			change := random.IntN(6)
			switch change {
			case 0: // the file, with SIGHUP
				isNew = m.move(random)
				m.given.File = m.live
			case 1: // the file, before a start
				isNew = m.move(random)
				m.given.File = m.live
			case 2: // the variable, before a start
				isNew = m.move(random)
				m.given.Override = m.live
			case 3: // both, before a start
				isNew = m.move(random)
				m.given = DiscoveryAddresses{m.live, m.live}
			case 4: // nothing moves; SIGHUP
			case 5: // nothing moves; a process starts without the files of the one before
				m.record = nil
			}
			if change == 0 || change == 4 {
				m.reload()
			} else {
				m.start()
			}
			course = append(course, fmt.Sprint(change, " ", m.given, " live at ", m.live))
			found, atFirst := m.callDiscovery()
			if !found || isNew && !atFirst && (records || change == 0) {
				t.Fatalf("seed %d: found %v, at the first address %v: %q", seed, found, atFirst, course)
			}
		}
	}
}

// The address that was changed last is called first; the other one is called too, unless the first has answered.
func TestDiscoveryChoice(t *testing.T) {
	both := DiscoveryAddresses{Override: "variable", File: "file"}
	record := func(override, file, answered string) *hotrestart.DiscoveryRecord {
		return &hotrestart.DiscoveryRecord{Override: override, File: file, Answered: answered}
	}
	for name, x := range map[string]struct {
		given DiscoveryAddresses
		last  *hotrestart.DiscoveryRecord
		want  discoveryChoice
	}{
		"only the variable":            {DiscoveryAddresses{Override: "variable"}, nil, discoveryChoice{"variable", "", true}},
		"only the file":                {DiscoveryAddresses{File: "file"}, nil, discoveryChoice{"file", "", true}},
		"the same":                     {DiscoveryAddresses{"one", "one"}, nil, discoveryChoice{"one", "", true}},
		"no record":                    {both, nil, discoveryChoice{"variable", "file", false}},
		"a new file":                   {both, record("variable", "old", "variable"), discoveryChoice{"file", "variable", true}},
		"a new variable":               {both, record("old", "file", "file"), discoveryChoice{"variable", "file", true}},
		"both new":                     {both, record("old", "older", "old"), discoveryChoice{"variable", "file", false}},
		"neither, the file answered":   {both, record("variable", "file", "file"), discoveryChoice{"file", "variable", true}},
		"neither, the variable did":    {both, record("variable", "file", "variable"), discoveryChoice{"variable", "file", true}},
		"neither, nor one of them did": {both, record("variable", "file", "x"), discoveryChoice{"variable", "file", false}},
	} {
		if got := chooseDiscovery(x.given, x.last); got != x.want {
			t.Errorf("%s: %+v, want %+v", name, got, x.want)
		}
	}
	known := discoveryChoice{"file", "variable", true}
	if got := known.afterAnswer("variable"); got != known {
		t.Errorf("the file's address is not called again: %+v", got)
	}
	if got := known.afterAnswer("file"); got != (discoveryChoice{"file", "", true}) {
		t.Errorf("the other address is still called: %+v", got)
	}
}

// startWithTwoAddresses starts a balancer whose variable names "discovery", and whose file names "moved".
func startWithTwoAddresses(t *testing.T) *exchange {
	t.Helper()
	return startConfiguredExchange(t, "", func(p *exchange, cfg *Config) {
		cfg.Discovery.Override, cfg.Discovery.File = p.address("discovery"), p.address("moved")
	})
}

func (p *exchange) address(name string) string { return p.servers[name].Addr().String() }

// nextCallAt returns the next call to one of discovery's addresses, and the calls to other ones before it.
func (p *exchange) nextCallAt(t *testing.T, name string) (call *discoveryCall, others []*discoveryCall) {
	t.Helper()
	for {
		call = p.nextCall(t)
		if call.conn.LocalAddr().String() == p.address(name) {
			return call, others
		}
		others = append(others, call)
	}
}

// Guards against a balancer that waits at an address where discovery no longer is: the second address is called at once
// if the first one fails, and soon if it is silent, and answers in the place of the first.
func TestSecondDiscoveryAddress(t *testing.T) {
	for name, first := range map[string]func(t *testing.T, p *exchange){
		"refused": func(_ *testing.T, p *exchange) { _ = p.servers["discovery"].Close() },
		"silent":  func(*testing.T, *exchange) {},
		"unavailable": func(t *testing.T, p *exchange) {
			call, _ := p.nextCallAt(t, "discovery")
			call.send(t, unavailableAnswer)
		},
		"half a list": func(t *testing.T, p *exchange) {
			call, _ := p.nextCallAt(t, "discovery")
			call.send(t, okHead+httpChunk(p.listLine(8, true, "draining", "ready"))[:60])
		},
	} {
		t.Run(name, func(t *testing.T) {
			p := startWithTwoAddresses(t)
			first(t, p)
			began := unpausedNow()
			second, others := p.nextCallAt(t, "moved")
			if took := second.at.Sub(began); took > watchAnswerLimit {
				t.Errorf("called after %v", took)
			}
			p.answerCall(t, second, okHead+httpChunk(p.listLine(8, true, "ready", "draining")), "r2", policy.Draining)
			for _, call := range others {
				call.awaitClose(t)
			}
			stop := second.sendHeartbeats()
			defer stop()
			time.Sleep(2 * secondCallDelay)
			if n := len(p.watchCalls); n > 0 && name != "silent" && name != "half a list" {
				t.Errorf("%d calls while the second address answers", n)
			}
		})
	}
}

// watchAnswerLimit is the time in which a process that has begun to serve needs an answer from discovery, by the
// platform's rules for upgrades.
const watchAnswerLimit = 2 * time.Second

// A slow answer at the first address counts, although the second one has been called meanwhile.
func TestSlowAnswerAtFirstDiscoveryAddress(t *testing.T) {
	p := startWithTwoAddresses(t)
	first, _ := p.nextCallAt(t, "discovery")
	second, _ := p.nextCallAt(t, "moved")
	p.answerCall(t, first, okHead+httpChunk(p.listLine(8, true, "ready", "draining")), "r2", policy.Draining)
	second.awaitClose(t)
}

// Guards against a balancer that calls only one address while discovery is away: however its calls have failed, it hears
// of a change in time, wherever discovery returns.
func TestDiscoveryReturnsAtEitherAddress(t *testing.T) {
	for _, where := range []string{"discovery", "moved"} {
		t.Run(where, func(t *testing.T) {
			p := startWithTwoAddresses(t)
			p.pollRarely()
			for range 6 {
				p.nextCall(t).send(t, unavailableAnswer)
			}
			returned := unpausedNow()
			_, _ = p.nextCallAt(t, where) // hangs
			second, _ := p.nextCallAt(t, where)
			if took := second.at.Sub(returned); took > maxUpdateDelay {
				t.Errorf("the second call arrived %v after discovery's return", took)
			}
			p.answerCall(t, second, okHead+httpChunk(p.listLine(8, true, "draining", "ready")), "r1", policy.Draining)
		})
	}
}

// Guards against a process of an upgrade that has read the configuration before a change, and does not get the signal:
// the process that gets it makes the others read the file too, each once.
func TestReloadIsFollowedByOtherProcesses(t *testing.T) {
	dir := t.TempDir()
	l, err := net.Listen("tcp", "127.8.1.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	start := func() *exchange {
		return startConfiguredExchange(t, "", func(_ *exchange, cfg *Config) { cfg.StateDir = dir })
	}
	processes := []*exchange{start(), start()}
	for _, p := range processes {
		p.onLoop(func() {
			p.balancer.inherited, p.balancer.stateDir = l, hotrestart.Open(dir, p.balancer.cfg.Name)
			p.balancer.cfg.ReadAt = time.Now()
		})
	}
	cfg := processes[0].balancer.cfg
	cfg.Management = "127.0.0.1:1" // which this process cannot apply, but another one may
	processes[0].reload <- cfg
	select {
	case <-processes[1].balancer.ReloadRequests():
	case <-time.After(discoveryWait):
		t.Fatal("the other process does not follow")
	}
	followed := processes[1].balancer.cfg
	followed.ReadAt, followed.ReloadFollowed = time.Now(), true
	processes[1].reload <- followed
	time.Sleep(4 * stateDirPollInterval)
	for i, p := range processes {
		if len(p.balancer.ReloadRequests()) > 0 {
			t.Errorf("process %d reads the file again", i)
		}
	}
	p := start() // has read the file after the change
	p.onLoop(func() {
		p.balancer.cfg.ReadAt = time.Now().Add(time.Second)
		if p.balancer.stateDir = hotrestart.Open(dir, p.balancer.cfg.Name); p.balancer.stateDir.ReloadAnnounced(p.balancer.cfg.ReadAt) {
			t.Error("a process follows a change from before its start")
		}
	})
}
