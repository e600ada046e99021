package faultinjection

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"oatloft/internal/edgeconfig"
	"oatloft/internal/fake"
	"oatloft/internal/hint"
	"oatloft/internal/rules"
)

// Options configure a fault run.
type Options struct {
	Binary       string        // the balancer's executable
	Net          int           // second byte of the run's addresses, 20 to 119; concurrent fault runs need different ones
	SilentAfter  time.Duration // silent_after of the members; 0 stands for 600 ms
	Env          []string      // additional environment of the balancers
	WithoutPeers bool          // without the peers section: no balancer knows another
	Subset       int           // servers that a balancer probes itself; 0 for all
	SharedProbes bool          // balancers share the results of probes
	SharedLimits bool          // shares, slots and the clock depend on the members
	Revisions    bool          // all balancers route by one revision, which operators change
	Links        bool          // limited links between two zones; needs Revisions
	Lease        time.Duration // to route by a revision; 0 stands for 1 s
	Logs         string        // folder for the logs of the processes; "" for none
	Plan         *Plan         // changes under faults, in place of the schedule's faults and calls; needs Revisions
}

// Scenario is one fault run in progress.
type Scenario struct {
	*fake.World
	Schedule *Schedule
	options  Options
	temp     string
	dirs     []string

	peerLinks      [][]*datagrams // from, to
	agreementLinks [][]*streams   // from, to; with revisions
	serverLinks    [][]*streams   // balancer, server
	discoveryLinks []*streams
	clientLinks    []*streams

	mu              sync.Mutex
	processes       []*fake.Process
	numbers         []int // of the processes, as in the record
	started         int   // number of processes so far
	expectedExits   []int // by balancer: active faults by which it may exit
	record          *Record
	ledger          *ledger
	over            chan struct{} // closed when operators make no further calls
	launches        []fake.Launch
	killed          []bool // by balancer: it does not run, since a fault ended it or since it exited
	upgraded        int    // number of upgrades so far
	starting        []*sync.Mutex
	upgrading       []*sync.Mutex
	down            []int // by balancer: active faults that keep it from running
	disturbances    [][]span
	violations      []string
	began           time.Duration // start of the faults
	machineCauses   []string      // violations that the machine may have caused
	late            lateness
	stop            chan struct{}
	ended           chan struct{}  // closed at the end of the run
	clients         sync.WaitGroup // running clients
	stopOnce        sync.Once
	Served          int            // requests that servers have accepted
	answers         map[string]int // client requests, by the kind of their answer
	recoveries      []recovery
	planResult      *PlanResult
	leaderHistories []leaderHistory
}

// span is a period, for example one in which a balancer may leave requests unanswered.
type span struct{ from, to time.Duration }

const settleTime = 700 * time.Millisecond // allowance for requests in flight when a fault ends

func (w *Scenario) addr(a, b, c int) string {
	return fmt.Sprintf("127.%d.%d.%d", w.options.Net, a, b) + fmt.Sprintf(":%d", c)
}

func (w *Scenario) name(i int) string { return fmt.Sprintf("b%02d", i+1) }

// The last two bytes of addresses: 0.i is balancer i itself, i.j the relay from i to j, 100+i.* the relays from i to
// servers, with 250 as the relays' source address and 251 for discovery, 160+i.1 the relay from clients to balancer i.
const (
	peerPort, clientPort, managementPort, serverPort, discoveryPort = 7000, 9000, 9300, 9200, 8000
	linksOut, linksIn, sourceByte, discoveryByte                    = 100, 160, 250, 251
)

// Open starts the servers, discovery, clients and balancers of a schedule. Close stops all of them.
func Open(s *Schedule, o Options) (w *Scenario, err error) {
	if err := s.Check(); err != nil {
		return nil, err
	}
	if o.SilentAfter == 0 {
		o.SilentAfter = 600 * time.Millisecond
	}
	if o.Net < 20 || o.Net > 119 {
		return nil, &InvalidSchedule{"net", fmt.Sprintf("%d is outside 20 to 119", o.Net)}
	}
	if o.Lease == 0 {
		o.Lease = time.Second
	}
	if o.WithoutPeers {
		o.Revisions, o.Links = false, false
	}
	if o.Links && !o.Revisions {
		return nil, &InvalidSchedule{"links", "links are set by revisions, which are off"}
	}
	if o.Plan != nil {
		if err := o.Plan.check(); err != nil {
			return nil, err
		}
		if !o.Revisions {
			return nil, &InvalidSchedule{"plan", "changes are made to revisions, which are off"}
		}
	}
	w = &Scenario{Schedule: s, options: o, stop: make(chan struct{}), over: make(chan struct{}),
		ended: make(chan struct{}), answers: map[string]int{}}
	if w.World, err = fake.New(s.Servers); err != nil {
		return nil, err
	}
	scenario := w
	w.record = newRecord(w.Now())
	w.OnClose(sync.OnceFunc(func() { close(scenario.ended) }))
	w.late.m = sharedMachine()
	w.late.began = time.Since(w.late.m.zero) - w.Now()
	w.Go(scenario.pollThreadsUntilEnd)
	if o.Logs != "" {
		if err = w.record.keepLogs(o.Logs); err != nil {
			return nil, err
		}
		w.OnClose(w.record.closeLogs)
	}
	if o.Revisions {
		w.Watch = w.record.addRouted
	}
	if o.Links {
		w.placeServers()
	}
	defer func() {
		if err != nil {
			scenario.Close()
		}
	}()
	included := s.Servers
	if o.Plan != nil {
		included = planServers
	}
	for _, r := range w.Servers { // the included servers are half full if every client is connected
		r.SetWeight(min(0.25, 0.5*float64(included)/float64(max(1, s.Clients))))
	}
	w.Who = func(from net.Addr) string {
		t, ok := from.(*net.TCPAddr)
		if !ok || t.IP.To4() == nil || t.IP.To4()[3] != sourceByte {
			return ""
		}
		return w.name(int(t.IP.To4()[2]) - linksOut - 1)
	}
	if w.temp, err = os.MkdirTemp("", "oatlab-faults"); err != nil {
		return nil, err
	}
	w.OnClose(func() { _ = os.RemoveAll(scenario.temp) }) // w is nil if this function fails
	for i := range s.Balancers {
		if err = w.prepare(i); err != nil {
			return nil, err
		}
	}
	var all sync.WaitGroup
	for i := range s.Balancers {
		all.Add(1)
		go func() { defer all.Done(); w.start(i) }()
	}
	all.Wait()
	if found := w.Violations(); len(found) > 0 {
		if err := w.overloadError(strings.Join(found, "\n")); err != nil {
			return nil, err
		}
		return nil, &NotRun{hint.Annotated{What: strings.Join(found, "\n"),
			Do: "check the logs of the processes, and that the addresses of --net are free"}}
	}
	w.Go(w.watchProcesses)
	for n := range s.Clients {
		w.clients.Add(1)
		w.Go(func() { defer w.clients.Done(); w.runClient(n) })
	}
	return w, nil
}

// Close stops the clients, the operators' calls and all processes.
func (w *Scenario) Close() {
	w.stopOnce.Do(func() { close(w.stop) })
	w.mu.Lock()
	select {
	case <-w.over:
	default:
		close(w.over)
	}
	for i := range w.killed {
		w.killed[i] = true
	}
	w.mu.Unlock()
	w.World.Close()
}

// prepare opens the relays of a balancer and writes its files.
func (w *Scenario) prepare(i int) (err error) {
	n := w.Schedule.Balancers
	w.peerLinks = append(w.peerLinks, make([]*datagrams, n))
	reach := map[string]string{}
	var join []string
	for j := range n {
		if i == j || w.options.WithoutPeers {
			continue
		}
		at := w.addr(i+1, j+1, peerPort)
		d, err := newDatagrams(at, w.addr(0, j+1, peerPort))
		if err != nil {
			return err
		}
		w.peerLinks[i][j] = d
		w.OnClose(func() { _ = d.conn.Close() })
		w.Go(d.run)
		reach[w.name(j)] = at
		if len(join) < 2 {
			join = append(join, at)
		}
	}
	dial := map[string]string{}
	w.serverLinks = append(w.serverLinks, nil)
	for j, r := range w.Servers {
		at := w.addr(linksOut+i+1, j+1, serverPort)
		s, err := w.openRelay(at, fmt.Sprintf("127.%d.%d.%d", w.options.Net, linksOut+i+1, sourceByte), r.Addr)
		if err != nil {
			return err
		}
		s.ended = func(line string) { // the balancer has abandoned the attempt, and the server can't notice
			if f := strings.Fields(line); len(f) > 1 {
				w.Saw(rules.RoutedEnded, f[1], r.Name, "abandoned over a cut link")
			}
		}
		w.serverLinks[i] = append(w.serverLinks[i], s)
		dial[r.Name] = at
	}
	front, err := w.Discovery.Front(w.addr(linksOut+i+1, discoveryByte+1, discoveryPort), w.name(i), dial)
	if err != nil {
		return err
	}
	s, err := w.openRelay(w.addr(linksOut+i+1, discoveryByte, discoveryPort), "", front)
	if err != nil {
		return err
	}
	w.discoveryLinks = append(w.discoveryLinks, s)
	listen := w.addr(0, i+1, clientPort)
	if s, err = w.openRelay(w.addr(linksIn+i+1, 1, clientPort), "", listen); err != nil {
		return err
	}
	w.clientLinks = append(w.clientLinks, s)

	dir := w.dir(i)
	w.dirs = append(w.dirs, dir)
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return err
	}
	config := filepath.Join(w.temp, w.name(i)+".json")
	body := w.Config(w.name(i), listen, fake.Options{Sockets: 512, MemoryMB: 64, Dial: dial,
		Discovery: w.addr(linksOut+i+1, discoveryByte, discoveryPort), Balancers: n, Zone: w.zone(i), Bulk: w.options.Links})
	if err := os.WriteFile(config, body, 0o600); err != nil {
		return err
	}
	l := fake.Launch{Binary: w.options.Binary, Config: config, Addr: listen, Management: w.addr(0, i+1, managementPort),
		Env: append([]string{"TMPDIR=" + dir}, w.options.Env...)}
	if !w.options.WithoutPeers {
		file := filepath.Join(w.temp, w.name(i)+".edge.json")
		e := edgeconfig.Settings{Form: edgeconfig.Form, Source: "faults",
			Peers: &edgeconfig.Peers{Cluster: "faults", Listen: w.addr(0, i+1, peerPort), Join: join,
				Reach: reach, SilentAfter: edgeconfig.Duration(w.options.SilentAfter), MaxMembers: 256, SignalBytes: 4096,
				SignalEvery: edgeconfig.Duration(200 * time.Millisecond), SignalLife: edgeconfig.Duration(2 * time.Second),
				Subset: w.options.Subset, Readings: w.options.SharedProbes, Turns: w.options.SharedLimits}}
		if w.options.Revisions {
			if e.Revisions, err = w.revisions(i); err != nil {
				return err
			}
		}
		if w.options.Links {
			e.Links = w.linksSection()
		}
		body, err := json.Marshal(e)
		if err != nil {
			return err
		}
		if err := os.WriteFile(file, body, 0o600); err != nil {
			return err
		}
		l.Args = []string{"--edge", file}
	}
	if hasUpgrades(w.Schedule) {
		if err := w.openListener(&l); err != nil {
			return err
		}
	}
	w.launches = append(w.launches, l)
	w.processes = append(w.processes, nil)
	w.numbers = append(w.numbers, 0)
	w.expectedExits = append(w.expectedExits, 0)
	w.killed = append(w.killed, true)
	w.starting = append(w.starting, &sync.Mutex{})
	w.upgrading = append(w.upgrading, &sync.Mutex{})
	w.down = append(w.down, 0)
	w.disturbances = append(w.disturbances, nil)
	return nil
}

func (w *Scenario) openRelay(at, from, to string) (*streams, error) {
	s, err := newStreams(at, from, to)
	if err != nil {
		return nil, err
	}
	w.OnClose(s.close)
	w.Go(s.run)
	return s, nil
}

const lateAnswerWait = 4 * time.Second // time that a client waits for a late answer

// excuse returns a function that reports whether balancer i may leave a request that began at since unanswered, or the
// machine was as late as the answer.
func (w *Scenario) excuse(i int, since time.Duration) func(fake.Answer) bool {
	return func(a fake.Answer) bool {
		switch {
		case w.disturbedSince(i, since):
			return true
		case a.Late > 0:
			return w.excusedByMachine(i, since, a.Late, "%s answered %v late", w.name(i), a.Late.Round(time.Millisecond))
		case a.What == "none":
			return w.excusedByMachine(i, since, lateAnswerWait, "%s gave no answer within %v after its deadline", w.name(i),
				lateAnswerWait)
		}
		return false
	}
}

// setDisturbed records the start or the end of a period in which a balancer may leave requests unanswered.
func (w *Scenario) setDisturbed(i int, on bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if on {
		w.disturbances[i] = append(w.disturbances[i], span{from: w.Now(), to: 1 << 62})
		return
	}
	for k := range w.disturbances[i] {
		if w.disturbances[i][k].to == 1<<62 {
			w.disturbances[i][k].to = w.Now() + settleTime
			return
		}
	}
}

// disturbedSince reports whether balancer i was disturbed at any time since then.
func (w *Scenario) disturbedSince(i int, since time.Duration) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, s := range w.disturbances[i] {
		if s.to >= since {
			return true
		}
	}
	return false
}

func (w *Scenario) addViolation(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.violations) < 20 {
		w.violations = append(w.violations, fmt.Sprintf(format, args...))
	}
}

// Violations returns the violations found so far, without those of the rules' checker.
func (w *Scenario) Violations() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]string(nil), w.violations...)
}

// runClient repeatedly connects, sends a request, exchanges lines for a while, and disconnects.
func (w *Scenario) runClient(n int) {
	key := fmt.Sprintf("key%d", n)
	rng := rand.New(rand.NewPCG(uint64(n), 7))
	for pause(w.stop, time.Duration(10+rng.IntN(150))*time.Millisecond) {
		i := rng.IntN(w.Schedule.Balancers)
		since := w.Now()
		t, err := w.Connect("", w.addr(linksIn+i+1, 1, clientPort))
		if err != nil {
			continue
		}
		t.By = w.name(i)
		t.Excuse, t.After = w.excuse(i, since), lateAnswerWait
		a := t.Open(fake.Request{Key: key, More: fmt.Sprintf(",g=group%d", n%7)})
		w.mu.Lock()
		w.answers[a.What]++
		if a.What == "UP" {
			w.Served++
		}
		w.mu.Unlock()
		if a.What == "UP" {
			w.echoLines(t, i, since, rng)
		}
		t.Break()
	}
}

// echoLines exchanges a random number of lines with the server. A connection that a disturbed balancer or link to
// servers has broken is not a violation; otherwise only MOVE may end a connection.
func (w *Scenario) echoLines(t *fake.Client, i int, since time.Duration, rng *rand.Rand) {
	for range 1 + rng.IntN(12) {
		err := t.Echo(9 * time.Second)
		switch {
		case err == nil:
		case errors.Is(err, fake.ErrMoved):
			return
		default:
			select {
			case <-w.stop:
				return
			default:
			}
			if !w.disturbedSince(i, since) && !w.serverLinksDisturbedSince(since) {
				w.Saw(rules.Lost, t.ID, "", fmt.Sprintf("%s: %v", w.name(i), err))
			}
			return
		}
		if !pause(w.stop, time.Duration(50+rng.IntN(400))*time.Millisecond) {
			return
		}
	}
}

// serverLinksDisturbedSince reports whether links to servers were disturbed at any time since then.
func (w *Scenario) serverLinksDisturbedSince(since time.Duration) bool {
	for _, f := range w.Schedule.Faults {
		if strings.HasPrefix(f.Kind, "region-") && time.Duration(f.At+f.For)+w.faultsBegan()+8*time.Second >= since {
			return true
		}
	}
	return false
}

func (w *Scenario) faultsBegan() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.began
}
