package admission

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
)

// testConfig returns a configuration for tests. With testLimit its budget is 100 descriptors: 20 for silent clients and
// 80 for 40 requests.
func testConfig() Config {
	return Config{
		Address: Address{MaxConnections: 16, MaxSilent: 8, NewPerSecond: 10, Burst: 20, MaxBytes: 16 << 10,
			FirstLineTimeout: 500 * time.Millisecond, Prefix6: 64, Table: 128},
		Network: Network{Prefix4: 24, Prefix6: 48, NewPerSecond: 100, Burst: 200, MaxShare: 0.5, Table: 64},
		Reserve: Reserve{KnownShare: 0.25, EstablishedFor: 10 * time.Second, RememberFor: 30 * time.Minute, Max: 64,
			MaxPerNetwork: 16, MaxPerClient: 2, MuteFor: time.Minute},
		Descriptors:   Descriptors{SilentShare: 0.2, Tight: 0.75, Short: 0.9, Full: 0.98, Hysteresis: 0.15},
		Memory:        Memory{MaxShare: 0.8, Request: 1 << 20, Silent: 1 << 10},
		RetrySchedule: RetrySchedule{Enabled: true, PerSecond: 10, Min: 200 * time.Millisecond, Max: 2 * time.Second},
		Tenants:       []Tenant{{"acme", 3}, {"bolt", 1}},
	}
}

const testLimit = 100 + victimSlack

// The files in testdata/transcripts contain commands to a controller and its output. Connections have names. Times are
// in milliseconds.
func TestTranscripts(t *testing.T) {
	datadriven.Walk(t, "testdata/transcripts", func(t *testing.T, path string) {
		var g *Controller
		var now time.Duration
		names, tickets := map[Ticket]string{}, map[string]Ticket{}
		writeVerdict := func(b *strings.Builder, v Verdict) {
			if v.OK() {
				b.WriteString(" ok\n")
			} else {
				fmt.Fprintf(b, " %v\n", v.Reason)
			}
		}
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			var b strings.Builder
			if d.Cmd == "gate" {
				cfg := testConfig()
				for _, a := range d.CmdArgs {
					switch a.Key {
					case "exempt":
						cfg.Exempt = append(cfg.Exempt, netip.MustParsePrefix(a.Vals[0]))
					case "identity":
						cfg.Reserve.Identity = map[string]Identity{
							"flow": ByFlow, "tenant": ByTenantAndFlow, "address": ByAddress,
						}[a.Vals[0]]
					}
				}
				var err error
				if g, err = New(cfg, 1); err != nil {
					return err.Error()
				}
				g.SetLimits(testLimit, 0)
				now = time.Second
				names, tickets = map[Ticket]string{}, map[string]Ticket{}
				return ""
			}
			for _, line := range strings.Split(d.Input, "\n") {
				f := strings.Fields(line)
				arg := func(i int) string {
					if i < len(f) {
						return f[i]
					}
					return ""
				}
				num := func(i int) int { n, _ := strconv.Atoi(arg(i)); return n }
				switch f[0] {
				case "wait":
					for range num(1) / 50 {
						now += 50 * time.Millisecond
						g.Tick(now)
					}
				case "back":
					now -= time.Duration(num(1)) * time.Millisecond
				case "accept": // NAME ADDR [COUNT]
					for i := range max(1, num(3)) {
						name, addr := arg(1), netip.MustParseAddr(strings.ReplaceAll(arg(2), "%", strconv.Itoa(i+1)))
						if num(3) > 0 {
							name += strconv.Itoa(i)
						}
						tk, v := g.Accept(now, addr)
						if v.OK() {
							names[tk], tickets[name] = name, tk
						}
						b.WriteString(name)
						writeVerdict(&b, v)
					}
				case "request", "serve": // NAME KEY TENANT [COUNT]
					for i := range max(1, num(4)) {
						name, who := arg(1), ClaimedIdentity{strings.ReplaceAll(arg(2), "%", strconv.Itoa(i+1)), arg(3)}
						if num(4) > 0 {
							name += strconv.Itoa(i)
						}
						v := g.Request(now, tickets[name], who)
						fmt.Fprintf(&b, "%s %v", name, g.connections[tickets[name].index()].rank)
						writeVerdict(&b, v)
						if v.OK() && f[0] == "serve" {
							g.Established(now, tickets[name])
						} else if !v.OK() {
							g.Closed(now, tickets[name])
						}
					}
				case "stood":
					g.Established(now, tickets[arg(1)])
				case "bytes":
					b.WriteString(arg(1))
					writeVerdict(&b, g.AddBytes(now, tickets[arg(1)], num(2)))
				case "close": // NAME [COUNT]
					for i := range max(1, num(2)) {
						name := arg(1)
						if num(2) > 0 {
							name += strconv.Itoa(i)
						}
						g.Closed(now, tickets[name])
					}
				case "victims":
					for _, v := range g.Victims() {
						fmt.Fprintf(&b, "send off %s\n", names[v.Ticket])
						g.Closed(now, v.Ticket)
					}
				case "limit":
					g.SetLimits(num(1), 0)
				case "memory":
					g.SetLimits(testLimit, int64(num(1)))
				case "exhausted":
					g.Exhausted(now)
				case "state":
					fmt.Fprintf(
						&b,
						"%v, %d of %d held, silent %d, known %d\n",
						g.Level(),
						g.ledger.used(),
						g.ledger.budget,
						g.InUse(Silent),
						len(g.known.index),
					)
				default:
					t.Fatalf("%s: no such command %q", d.Pos, line)
				}
			}
			return mergeLines(b.String())
		})
	})
}

// mergeLines shortens runs of lines that differ only in their digits.
func mergeLines(text string) string {
	var out []string
	var last string
	count := 0
	flush := func() {
		if count > 1 {
			out[len(out)-1] = fmt.Sprintf("%s (and %d more)", out[len(out)-1], count-1)
		}
	}
	for _, line := range strings.Split(strings.TrimRight(text, "\n"), "\n") {
		pattern := strings.Map(func(r rune) rune {
			if r >= '0' && r <= '9' {
				return -1
			}
			return r
		}, line)
		if pattern == last && line != "" {
			count++
			continue
		}
		flush()
		out, last, count = append(out, line), pattern, 1
	}
	flush()
	if text == "" {
		return ""
	}
	return strings.Join(out, "\n") + "\n"
}

// The error for an invalid setting contains the name of its field.
func TestInvalidSettingIsNamed(t *testing.T) {
	for field, invalidate := range map[string]func(*Config){
		"address.max_connections": func(c *Config) { c.Address.MaxConnections = 0 },
		"address.new_per_second":  func(c *Config) { c.Address.NewPerSecond = 0 },
		"network.max_share":       func(c *Config) { c.Network.MaxShare = 2 },
		"reserve.known_share":     func(c *Config) { c.Reserve.KnownShare = -1 },
		"descriptors.short":       func(c *Config) { c.Descriptors.Short = 0.1 },
		"come_back.most":          func(c *Config) { c.RetrySchedule.Max = 0 },
	} {
		c := testConfig()
		invalidate(&c)
		if _, err := New(c, 1); err == nil || !strings.Contains(err.Error(), "admission."+field) {
			t.Errorf("%s: %v", field, err)
		}
	}
}

// An evicted address must keep its debt. Otherwise a client with more addresses than the table has entries could
// connect at any rate.
func TestEvictionKeepsDebt(t *testing.T) {
	cfg := testConfig()
	cfg.Network.Burst, cfg.Network.NewPerSecond = 1<<30, 1e9
	g, _ := New(cfg, 1)
	g.SetLimits(1<<20, 0)
	const addresses, rounds = 1000, 40 // the table starts at 128 entries; SetLimits raises its size to 2<<20
	admitted := 0
	for range rounds {
		for i := range addresses {
			if tk, v := g.Accept(time.Second, netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)})); v.OK() {
				g.Closed(time.Second, tk)
				admitted++
			}
		}
	}
	if most := addresses * cfg.Address.Burst; admitted > most || admitted < most/2 {
		t.Fatalf("%d connections admitted from %d addresses with bursts of %d", admitted, addresses, cfg.Address.Burst)
	}
	// The documented error of the sketch: with 384 evicted debts, 1 of 100 addresses without a debt is refused.
	g, _ = New(cfg, 2)
	g.SetLimits(1<<20, 0)
	for i := range 384 { // their debts are in the sketch only once the table has evicted them
		for range cfg.Address.Burst {
			tk, _ := g.Accept(time.Second, netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}))
			g.Closed(time.Second, tk)
		}
	}
	refused := 0
	const debtFree = 5000
	for i := range debtFree {
		tk, v := g.Accept(time.Second, netip.AddrFrom4([4]byte{11, 1, byte(i >> 8), byte(i)}))
		if g.Closed(time.Second, tk); !v.OK() {
			refused++
		}
	}
	if refused > debtFree*2/100 {
		t.Fatalf("%d of %d addresses without a debt refused", refused, debtFree)
	}
	t.Logf("%d of %d addresses without a debt refused with 384 debts in the sketch", refused, debtFree)
}

// Unknown clients that establish one flow each can't evict clients that have established flows repeatedly.
func TestUnknownClientsDontEvictTenured(t *testing.T) {
	cfg := testConfig()
	g, _ := New(cfg, 1)
	g.SetLimits(1<<20, 0)
	now := time.Second
	establish := func(addr netip.Addr, key string) {
		tk, _ := g.Accept(now, addr)
		g.Request(now, tk, ClaimedIdentity{Key: key})
		g.Established(now, tk)
		now += cfg.Reserve.EstablishedFor
		g.Closed(now, tk)
	}
	regular := func(i int) netip.Addr { return netip.AddrFrom4([4]byte{192, 0, byte(i), 1}) }
	for range 2 {
		for i := range 30 {
			establish(regular(i), fmt.Sprint("regular", i))
		}
	}
	for i := range 150 {
		establish(netip.AddrFrom4([4]byte{10, byte(i >> 8), byte(i), 1}), fmt.Sprint("crowd", i))
	}
	for i := range 30 {
		tk, _ := g.Accept(now, regular(i))
		g.Request(now, tk, ClaimedIdentity{Key: fmt.Sprint("regular", i)})
		if got := g.connections[tk.index()].rank; got != Known {
			t.Fatalf("client %d that returned has rank %v", i, got)
		}
	}
	if n := len(g.known.index); n > cfg.Reserve.Max {
		t.Fatal(n, "known clients")
	}
}

// Clients refused in one burst must get different retry times.
func TestRetryTimesAreSpread(t *testing.T) {
	g, _ := New(testConfig(), 1)
	g.SetLimits(0, 0)
	c := g.cfg.RetrySchedule
	var counts [10]int
	const n = 1000
	for range n {
		_, v := g.Accept(time.Second, netip.MustParseAddr("10.0.0.1"))
		if v.OK() || v.RetryAfter < c.Min || v.RetryAfter > c.Max+time.Duration(float64(time.Second)/c.PerSecond) {
			t.Fatal(v)
		}
		counts[min(9, v.RetryAfter*10/c.Max)]++
	}
	for i := 6; i < 10; i++ { // the schedule has 18 slots; the other times are random in its later half
		if counts[i] < n/10 || counts[i] > n/3 {
			t.Fatal(counts)
		}
	}
}

func TestRestoreRespectsLimits(t *testing.T) {
	g, _ := New(testConfig(), 1)
	var list []KnownClient
	for i := range 200 {
		list = append(
			list,
			KnownClient{
				ID:      uint64(i%150 + 1),
				Network: [2]uint64{0, uint64(i % 5)},
				Age:     time.Duration(i) * time.Second,
				Tenured: true,
			},
		)
	}
	list = append(list, KnownClient{ID: 999, Network: [2]uint64{9, 9}, Age: time.Hour})
	n := g.Restore(time.Second, 7, list)
	if n != 64 || len(g.known.index) != 64 || g.known.sizes[1] > 48 {
		t.Fatal(n, len(g.known.index), g.known.sizes)
	}
	for net, k := range g.known.perNetwork {
		if int(k) > g.cfg.Reserve.MaxPerNetwork {
			t.Fatal(net, k)
		}
	}
	seed, listed := g.KnownClients()
	h, _ := New(testConfig(), 2)
	if seed != 7 || h.Restore(time.Second, seed, listed) != n {
		t.Fatal("the list of known clients can't be restored")
	}
	_, relisted := h.KnownClients()
	if fmt.Sprint(relisted) != fmt.Sprint(listed) {
		t.Fatal("the list of known clients changed when it was restored")
	}
}

func BenchmarkAdmission(b *testing.B) {
	cfg := testConfig()
	cfg.Address.Table, cfg.Network.Table, cfg.Reserve.Max = 8192, 2048, 4096
	run := func(name string, addr func(i int) netip.Addr, limit int) {
		b.Run(name, func(b *testing.B) {
			g, _ := New(cfg, 1)
			g.SetLimits(limit, 0)
			now := time.Second
			for i := range 20000 { // fills the tables
				tk, _ := g.Accept(now, addr(i))
				g.Closed(now, tk)
				now += 100 * time.Microsecond
			}
			who := ClaimedIdentity{"7f3a9c21e0b4d655", "acme"}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				now += 100 * time.Microsecond
				tk, v := g.Accept(now, addr(i))
				if v.OK() {
					g.Request(now, tk, who)
					g.Established(now, tk)
					g.Closed(now, tk)
				}
			}
		})
	}
	run("one-address-refused", func(int) netip.Addr { return netip.AddrFrom4([4]byte{127, 0, 0, 66}) }, 1024)
	run(
		"known-addresses-whole-life",
		func(i int) netip.Addr { return netip.AddrFrom4([4]byte{10, byte(i >> 4), byte(i), 1}) },
		1024,
	)
	run("new-addresses-whole-life", func(i int) netip.Addr {
		return netip.AddrFrom4([4]byte{byte(i>>20) | 1, byte(i >> 12), byte(i >> 4), byte(i)})
	}, 1024)
	run("no-descriptors", func(i int) netip.Addr { return netip.AddrFrom4([4]byte{10, byte(i >> 4), byte(i), 1}) }, 10)
}

// BenchmarkMemory fills the tables, with the sizes of deploy/edge.cue, and reports their entries and memory use.
func BenchmarkMemory(b *testing.B) {
	cfg := testConfig()
	cfg.Address.Table, cfg.Network.Table, cfg.Reserve.Max, cfg.Reserve.MaxPerNetwork = 4096, 1024, 4096, 64
	var before, after runtime.MemStats
	for b.Loop() {
		runtime.GC()
		runtime.ReadMemStats(&before)
		g, _ := New(cfg, 1)
		g.SetLimits(1024, 0)
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc), "B-empty")
		now := time.Second
		for i := range 20000 {
			addr := netip.AddrFrom4([4]byte{10, byte(i >> 12), byte(i >> 4), byte(i)})
			if tk, v := g.Accept(now, addr); v.OK() && i%2 == 0 {
				g.Request(now, tk, ClaimedIdentity{Key: fmt.Sprint(i)})
				g.Established(now, tk)
				now += cfg.Reserve.EstablishedFor / 100
				g.connections[tk.index()].establishedAt = now - cfg.Reserve.EstablishedFor
				g.Closed(now, tk)
			} else {
				g.Closed(now, tk)
			}
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc), "B-full")
		b.ReportMetric(float64(len(g.known.index)), "known")
		b.ReportMetric(float64(len(g.addresses.index)), "addresses")
		b.ReportMetric(float64(len(g.networks.index)), "networks")
		runtime.KeepAlive(g)
	}
}

// A client whose request needs one more descriptor is never chosen as the victim itself, even if it is the oldest
// silent client.
func TestRequesterIsNotVictim(t *testing.T) {
	cfg := testConfig()
	cfg.Network.NewPerSecond, cfg.Network.Burst = 1e6, 1<<20
	cfg.Reserve.EstablishedFor = time.Millisecond
	found := false
	for seed := range uint64(400) {
		rng := rand.New(rand.NewPCG(seed, 1))
		g, err := New(cfg, seed)
		if err != nil {
			t.Fatal(err)
		}
		g.SetLimits(20+rng.IntN(20), 0)
		now, requested := time.Second, map[Ticket]bool{}
		var all []Ticket
		for range 200 {
			now += time.Duration(rng.IntN(200)) * time.Millisecond
			switch rng.IntN(6) {
			case 0, 1, 2:
				if tk, v := g.Accept(now, netip.AddrFrom4([4]byte{10, byte(rng.IntN(7)), 1, byte(rng.IntN(3))})); v.OK() {
					all = append(all, tk)
				}
			case 3, 4:
				if len(all) > 0 {
					tk := all[rng.IntN(len(all))]
					if !requested[tk] && g.Request(now, tk, ClaimedIdentity{fmt.Sprint(rng.IntN(10)), "acme"}).OK() {
						requested[tk] = true
						g.Established(now, tk)
					}
				}
			case 5:
				g.Tick(now)
			}
			for _, v := range slices.Clone(g.Victims()) {
				found = true
				if requested[v.Ticket] {
					t.Fatalf("seed %d: a client with an admitted request was chosen as a victim", seed)
				}
				g.Closed(now, v.Ticket)
				all = slices.DeleteFunc(all, func(o Ticket) bool { return o == v.Ticket })
			}
		}
	}
	if !found {
		t.Fatal("no client was chosen as a victim")
	}
}
