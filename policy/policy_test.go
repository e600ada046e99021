package policy

import (
	"fmt"
	"math"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"
)

const ms = time.Millisecond

func testConfig() Config {
	return Config{
		Zone: "a", Balancers: 1, MaxAttempts: 3, ProbesEnabled: true, TimerResolution: ms,
		Classes: []Class{
			{Name: "safe", LatencyObjective: 500 * ms, MessageLatencyObjective: 100 * ms},
			{
				Name:                    "keyed",
				LatencyObjective:        500 * ms,
				MessageLatencyObjective: 100 * ms,
				Idempotency:             IdempotentByKey,
				KeyTTL:                  800 * ms,
			},
			{
				Name:                    "zone",
				LatencyObjective:        500 * ms,
				MessageLatencyObjective: 100 * ms,
				Idempotency:             IdempotentByKey,
				KeyScope:                KeyScopeZone,
				KeyTTL:                  10 * time.Second,
			},
			{
				Name:                    "cell",
				LatencyObjective:        500 * ms,
				MessageLatencyObjective: 100 * ms,
				Idempotency:             IdempotentByKey,
				KeyScope:                KeyScopeCell,
				KeyTTL:                  10 * time.Second,
			},
			{Name: "unsafe", LatencyObjective: 500 * ms, MessageLatencyObjective: 100 * ms, Idempotency: NotIdempotent},
		},
		WarmUpInitialCapacity: 0.3, WarmUpDuration: 10 * time.Second, OverloadMultiple: 3, OverloadWindow: time.Second,
	}
}

// harness runs one balancer and answers its probes with configured loads.
type harness struct {
	t            *testing.T
	b            *Balancer
	now          time.Duration
	loads        map[string]float64
	inFlight     map[string]float64
	probeResults map[string]Result // results of probes that return no report
	actions      []Action
	timers       []time.Duration
}

func newHarness(t *testing.T, c Config, servers ...Server) *harness {
	t.Helper()
	b, err := New(c, 1)
	if err != nil {
		t.Fatal(err)
	}
	h := &harness{t: t, b: b, now: time.Hour, loads: map[string]float64{}, inFlight: map[string]float64{},
		probeResults: map[string]Result{}}
	h.feed(ServerList{Kind: ListFull, Servers: servers})
	return h
}

func servers(n int) []Server {
	var list []Server
	for i := range n {
		list = append(list, Server{ID: fmt.Sprintf("s%02d", i), Zone: "a", Cell: i % 2, Weight: 1})
	}
	return list
}

func (h *harness) feed(ev Event) {
	for _, a := range h.b.Step(h.now, ev, nil) {
		h.actions = append(h.actions, a)
		switch a := a.(type) {
		case SetTimer:
			h.timers = append(h.timers, h.now+a.After)
		case Probe:
			if result, fails := h.probeResults[a.Server]; fails {
				h.feed(ProbeResult{Server: a.Server, Result: result})
				continue
			}
			inFlight := h.inFlight[a.Server]
			if inFlight == 0 {
				inFlight = -1
			}
			h.feed(ProbeResult{Server: a.Server, Report: report(h.loads[a.Server], inFlight)})
		}
	}
}

// advance moves the time forward and fires the timers that are due.
func (h *harness) advance(d time.Duration) {
	end := h.now + d
	for len(h.timers) > 0 && h.timers[0] <= end {
		h.now = h.timers[0]
		h.timers = h.timers[1:]
		h.feed(TimerFired{"tick"})
	}
	h.now = end
}

func (h *harness) request(id, class string) {
	h.feed(Request{ID: id, Key: "k" + id, Class: class, Timeout: 2 * time.Second})
}

// connect requests a connection, establishes it on the server to which it is sent, and returns that server.
func (h *harness) connect(id string) string {
	h.t.Helper()
	h.request(id, "safe")
	for range 30 {
		if s, ok := lastAction[Send](h); ok && s.ID == id {
			h.feed(AttemptEstablished{ID: id, Server: s.Server, Latency: 5 * ms})
			return s.Server
		}
		h.advance(20 * ms)
	}
	h.t.Fatalf("%s was not sent", id)
	return ""
}

func (h *harness) adopt(id, server string) {
	h.feed(AdoptedConnection{Request: Request{ID: id, Key: "k" + id, Class: "safe"}, Server: server})
}

func actionsOf[T Action](h *harness) (list []T) {
	for _, a := range h.actions {
		if a, ok := a.(T); ok {
			list = append(list, a)
		}
	}
	return list
}

func lastAction[T Action](h *harness) (T, bool) {
	list := actionsOf[T](h)
	if len(list) == 0 {
		var none T
		return none, false
	}
	return list[len(list)-1], true
}

// TestReturnProbability uses values calculated by hand from Proposition 1: with n = 10 and gamma = 0.05 the middle
// branch is 1 - 9/(10*0.05) * (1 - xj/xi) = 1 - 18*(1 - xj/xi), and it ends at xj/xi = 1 - 10*0.05/9 = 0.9444.
func TestReturnProbability(t *testing.T) {
	for _, c := range []struct {
		xi, xj, gamma float64
		n             int
		want          float64
	}{
		{1, 1, 0.05, 10, 1},
		{1, 1.2, 0.05, 10, 1},
		{1, 0.97, 0.05, 10, 0.46},
		{0.5, 0.485, 0.05, 10, 0.46},
		{1, 0.99, 0.05, 10, 0.82},
		{1, 0.94, 0.05, 10, 0},
		{1, 0, 0.05, 10, 0},
		{0, 0, 0.05, 10, 1},
		{1, 0.95, 0.05, 2, 0.5}, // 1 - 1/(2*0.05)*0.05
		{1, 0.9, 0.05, 2, 0},
		{1, 0.5, 0.05, 1, 1},
		{1, 0.8, 0.5, 2, 0.8}, // 1 - 1*0.2
	} {
		if got := returnProbability(c.xi, c.xj, c.gamma, c.n); math.Abs(got-c.want) > 1e-9 {
			t.Errorf("xi %v, xj %v, gamma %v, n %d: %v, want %v", c.xi, c.xj, c.gamma, c.n, got, c.want)
		}
	}
}

func TestExplorationProbabilityIsLimitedAndDecays(t *testing.T) {
	for _, c := range []struct {
		beta float64
		t    int
		want float64
	}{{1, 0, 0.05}, {1, 1, 0.05}, {1, 20, 0.05}, {1, 40, 0.025}, {0.5, 100, 0.05}, {0.5, 10000, 0.01}} {
		cfg := testConfig()
		cfg.ExplorationDecay = c.beta
		b, err := New(cfg, 1)
		if err != nil {
			t.Fatal(err)
		}
		b.exploration.startedSlots = c.t
		if got := b.explorationProbability(); math.Abs(got-c.want) > 1e-9 {
			t.Errorf("beta %v, slot %d: %v, want %v", c.beta, c.t, got, c.want)
		}
	}
}

func TestInvalidSettings(t *testing.T) {
	for want, change := range map[string]func(*Config){
		"no classes":   func(c *Config) { c.Classes = nil },
		"beta":         func(c *Config) { c.ExplorationDecay = 0.4 },
		"beta NaN":     func(c *Config) { c.ExplorationDecay = math.NaN() },
		"exploration":  func(c *Config) { c.MaxExploration = 0.6 },
		"balancers":    func(c *Config) { c.Balancers = 0 },
		"attempts":     func(c *Config) { c.MaxAttempts = 0 },
		"negative":     func(c *Config) { c.WarmUpDuration = -1 },
		"warm-up":      func(c *Config) { c.WarmUpInitialCapacity = 2 },
		"latency":      func(c *Config) { c.Classes[0].LatencyObjective = 0 },
		"poll":         func(c *Config) { c.PollEndpointList = true },
		"negative one": func(c *Config) { c.Classes[0].MessageLatencyObjective = -1 },
	} {
		c := testConfig()
		change(&c)
		word, _, _ := strings.Cut(want, " ")
		if _, err := New(c, 1); err == nil || !strings.Contains(err.Error(), word) {
			t.Errorf("%s: error %v", want, err)
		}
	}
}

func TestLessLoadedOfTwoServersIsChosen(t *testing.T) {
	h := newHarness(t, testConfig(), servers(2)...)
	h.loads["s00"], h.loads["s01"] = 0.6, 0.2
	for i := range 8 {
		id := fmt.Sprint(i)
		if got := h.connect(id); got != "s01" {
			t.Fatalf("request %s was sent to %s, which has the higher load", id, got)
		}
	}
	h.loads["s00"], h.loads["s01"] = 0.1, 0.5
	h.advance(3 * time.Second)
	if got := h.connect("later"); got != "s00" {
		t.Errorf("sent to %s after the loads had changed", got)
	}
}

// For each result of a first attempt and each idempotency, checks whether the request is sent again, rejected or
// failed.
func TestNextActionAfterAttempt(t *testing.T) {
	const again, reject, fail = "send", "reject", "fail"
	for _, c := range []struct {
		class  string
		result Result
		want   string
	}{
		{"safe", ResultFailed, again}, {"safe", ResultRejected, again}, {"safe", ResultTimedOut, again},
		{"safe", ResultUnreachable, again}, {"safe", ResultReset, again}, {"safe", ResultCanceled, again},
		{"safe", ResultSkipped, again},
		{"unsafe", ResultFailed, fail}, {"unsafe", ResultTimedOut, fail}, {"unsafe", ResultReset, fail},
		{"unsafe", ResultCanceled, fail},
		{"unsafe", ResultRejected, again}, {"unsafe", ResultUnreachable, again}, {"unsafe", ResultSkipped, again},
		{"keyed", ResultTimedOut, again}, {"keyed", ResultRejected, again},
		{"zone", ResultTimedOut, again}, {"zone", ResultRejected, again},
		{"cell", ResultReset, again}, {"cell", ResultUnreachable, again},
	} {
		list := servers(6)
		list[0].Zone, list[1].Zone = "b", "b"
		h := newHarness(t, testConfig(), list...)
		h.request("x", c.class)
		first, ok := lastAction[Send](h)
		if !ok {
			t.Fatalf("%s: no first send", c.class)
		}
		h.advance(50 * ms)
		h.actions = nil
		h.feed(AttemptEnded{ID: "x", Server: first.Server, Result: c.result})
		h.advance(300 * ms)
		got := "nothing"
		for _, a := range h.actions {
			switch a.(type) {
			case Send:
				got = again
			case Reject:
				got = reject
			case Fail:
				got = fail
			}
		}
		if got != c.want {
			t.Errorf("%s after result %d: %s, want %s", c.class, c.result, got, c.want)
		}
		second, _ := lastAction[Send](h)
		if c.result.MayHaveRun() && c.want == again {
			x, y := h.b.servers.byID[first.Server], h.b.servers.byID[second.Server]
			if c.class == "zone" && x.Zone != y.Zone || c.class == "cell" && x.Cell != y.Cell {
				t.Errorf("%s: repeated outside its key scope", c.class)
			}
		}
	}
}

func TestKeyedRequestIsNotRepeatedAfterKeyTTL(t *testing.T) {
	h := newHarness(t, testConfig(), servers(6)...)
	h.request("x", "keyed")
	first, _ := lastAction[Send](h)
	h.advance(900 * ms) // the key is remembered for 800 ms from the send
	h.actions = nil
	h.feed(AttemptEnded{ID: "x", Server: first.Server, Result: ResultTimedOut})
	h.advance(2 * time.Second)
	if sent := actionsOf[Send](h); len(sent) > 0 {
		t.Errorf("sent again %d times", len(sent))
	}
	if rejected := actionsOf[Reject](h); len(rejected) != 1 { // servers discard repeats by the client as well
		t.Errorf("%d rejections, want 1", len(rejected))
	}
}

func TestScopedRequestThatMayHaveRunIsNotRejected(t *testing.T) {
	list := servers(3)
	for i := range list {
		list[i].Zone = string(rune('a' + i))
	}
	h := newHarness(t, testConfig(), list...)
	h.request("x", "zone")
	first, _ := lastAction[Send](h)
	h.feed(AttemptEnded{ID: "x", Server: first.Server, Result: ResultTimedOut})
	h.advance(2 * time.Second)
	if len(actionsOf[Reject](h)) != 0 || len(actionsOf[Fail](h)) != 1 || len(actionsOf[Send](h)) != 1 {
		t.Errorf(
			"%d sends, %d rejections, %d failures",
			len(actionsOf[Send](h)),
			len(actionsOf[Reject](h)),
			len(actionsOf[Fail](h)),
		)
	}
}

func TestUnexpectedEventsAreIgnored(t *testing.T) {
	h := newHarness(t, testConfig(), servers(3)...)
	h.connect("a")
	h.actions = nil
	h.feed(AttemptEnded{ID: "nobody", Result: ResultFailed})
	h.feed(AttemptEstablished{ID: "nobody"})
	h.feed(AttemptEstablished{ID: "a", Server: "s00"})
	h.feed(AttemptEnded{ID: "a", Attempt: 7, Result: ResultFailed})
	h.feed(Request{ID: "a", Class: "safe", Timeout: time.Second}) // a second request with a known id
	h.feed(Request{ID: "a", Class: "no such class", Timeout: time.Second})
	h.feed(ClientDisconnected{ID: "nobody"})
	h.feed(ProbeResult{Server: "nowhere"})
	h.feed(MessageDelay{ID: "nobody", Server: "nowhere"})
	if len(h.actions) > 0 {
		t.Errorf("unexpected actions %v", h.actions)
	}
	h.now -= time.Minute // the balancer keeps using the previous time
	h.feed(Request{ID: "b", Class: "no such class", Timeout: time.Second})
	if _, ok := lastAction[Reject](h); !ok {
		t.Error("a request of an unknown class got no answer")
	}
	h.request("c", "safe")
	if s, _ := lastAction[Send](h); s.TimeoutAt != 0 && s.TimeoutAt < time.Hour {
		t.Errorf("a time-out in the past: %v", s.TimeoutAt)
	}
}

func TestFailedSubscriptionIsRetriedInTime(t *testing.T) {
	c := testConfig()
	c.PollEndpointList = true
	c.PollInterval = 10 * time.Second
	h := newHarness(t, c)
	h.feed(ServerList{Kind: ListFailed})
	h.actions = nil
	for range 10 {
		before := len(actionsOf[Subscribe](h))
		h.advance(10 * time.Second)
		if len(actionsOf[Subscribe](h)) == before {
			t.Fatal("no call for longer than the poll interval")
		}
		h.feed(ServerList{Kind: ListFailed})
	}
	if n := len(actionsOf[Subscribe](h)); n > 60 {
		t.Errorf("%d calls in 100 s", n)
	}
	h.feed(ServerList{Kind: ListFull, Servers: servers(2)})
	h.actions = nil
	h.advance(time.Minute)
	if n := len(actionsOf[Subscribe](h)); n > 0 {
		t.Errorf("%d calls while subscribed", n)
	}
}

// The deploy file must name every file with decision logic, because operators look there. Also limits the length of
// files and lines.
func TestDeployFileListsDecisionFiles(t *testing.T) {
	deploy, err := os.ReadFile("../deploy/balancer.toml")
	if err != nil {
		t.Fatal(err)
	}
	declarations := []string{"doc.go", "config.go", "events.go", "actions.go"} // types and settings, no decision
	files, err := filepath.Glob("*.go")
	if err != nil || len(files) == 0 {
		t.Fatal("no files:", err)
	}
	for _, name := range files {
		if strings.HasSuffix(name, "_test.go") {
			continue
		}
		named := strings.Contains(string(deploy), strconv.Quote("policy/"+name))
		if declares := slices.Contains(declarations, name); named == declares {
			t.Errorf("%s has decision logic: %v, named in the deploy file: %v", name, !declares, named)
		}
		text, err := os.ReadFile(name)
		if err != nil {
			t.Fatal(err)
		}
		lines := strings.Split(string(text), "\n")
		if len(lines) > 500 {
			t.Errorf("%s has %d lines", name, len(lines))
		}
		for n, line := range lines {
			if len([]rune(strings.ReplaceAll(line, "\t", "    "))) > 140 {
				t.Errorf("%s:%d is too long", name, n+1)
			}
		}
	}
}

// report returns a load report with a load and a number of requests in flight only.
func report(load, inFlight float64) *LoadReport {
	return &LoadReport{Load: load, Utilization: -1, InFlight: inFlight, BacklogSeconds: -1}
}
