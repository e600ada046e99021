package admission

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// reference is a simple model of the caps and the ledger: it counts a list of connections for every query, and limits
// the rate by a leaky bucket. It doesn't model levels, victims and known clients.
type reference struct {
	cfg         Config
	connections map[Ticket]*refConnection
	debt        map[netip.Addr]time.Duration // fill of the leaky bucket
	updatedAt   map[netip.Addr]time.Duration // last update of the bucket
}

type refConnection struct {
	addr netip.Addr
	use  Use
}

func (r *reference) count(addr netip.Addr, use Use) (n int) {
	for _, t := range r.connections {
		if (addr == netip.Addr{} || t.addr == addr) && (use == Free || t.use == use) {
			n++
		}
	}
	return n
}

func (r *reference) used() (n int) {
	for _, t := range r.connections {
		n++
		if t.use == Unanswered || t.use == Established {
			n++
		}
	}
	return n
}

// allow reports whether the address's rate allows another connection, and counts it if so.
func (r *reference) allow(addr netip.Addr, now time.Duration) bool {
	step := time.Duration(float64(time.Second) / r.cfg.Address.NewPerSecond)
	level := max(0, r.debt[addr]-(now-r.updatedAt[addr]))
	r.updatedAt[addr] = now
	if r.debt[addr] = level; level+step > step*time.Duration(r.cfg.Address.Burst) {
		return false
	}
	r.debt[addr] += step
	return true
}

// charge adds three connections to the address's bucket, up to the burst.
func (r *reference) charge(addr netip.Addr, now time.Duration) {
	step := time.Duration(float64(time.Second) / r.cfg.Address.NewPerSecond)
	level := max(0, r.debt[addr]-(now-r.updatedAt[addr]))
	r.updatedAt[addr] = now
	r.debt[addr] = max(level, min(level+3*step, step*time.Duration(r.cfg.Address.Burst)))
}

// With random operations, the controller applies an address's caps exactly as the reference does, its ledger's sums are
// correct, and no more descriptors are in use than the budget and victimSlack.
func TestControllerMatchesReference(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := testConfig()
		cfg.Network.NewPerSecond, cfg.Network.Burst = 1e6, 1<<20 // the reference doesn't model networks
		cfg.Reserve.EstablishedFor = time.Duration(rapid.IntRange(1, 4000).Draw(t, "stand")) * time.Millisecond
		limit := rapid.IntRange(20, 300).Draw(t, "limit")
		g, err := New(cfg, rapid.Uint64().Draw(t, "seed"))
		if err != nil {
			t.Fatal(err)
		}
		g.SetLimits(limit, 0)
		ref := &reference{
			cfg:         cfg,
			connections: map[Ticket]*refConnection{},
			debt:        map[netip.Addr]time.Duration{},
			updatedAt:   map[netip.Addr]time.Duration{},
		}
		now := time.Second
		var order []Ticket
		pick := func() Ticket {
			if len(order) == 0 {
				return 0
			}
			return order[rapid.IntRange(0, len(order)-1).Draw(t, "which")]
		}
		closeTicket := func(tk Ticket) {
			g.Closed(now, tk)
			delete(ref.connections, tk)
			for i, o := range order {
				if o == tk {
					order = append(order[:i], order[i+1:]...)
					break
				}
			}
		}
		for range rapid.IntRange(1, 400).Draw(t, "steps") {
			switch rapid.IntRange(0, 9).Draw(t, "what") {
			case 0, 1, 2:
				addr := netip.AddrFrom4(
					[4]byte{10, byte(rapid.IntRange(0, 6).Draw(t, "net")), 1, byte(rapid.IntRange(0, 2).Draw(t, "host"))},
				)
				for range rapid.IntRange(1, 12).Draw(t, "burst") {
					want := Admitted
					switch { // in the order in which the controller checks
					case !ref.allow(addr, now):
						want = AddressRate
					case ref.count(addr, Free) >= cfg.Address.MaxConnections:
						want = AddressConnections
					case ref.count(addr, Silent) >= cfg.Address.MaxSilent:
						want = AddressSilent
					}
					tk, v := g.Accept(now, addr)
					if v.Reason != want && !(want == Admitted && v.Reason == NoDescriptor) {
						t.Fatalf("%v: %v, but the reference returns %v", addr, v.Reason, want)
					}
					if v.Reason == NoDescriptor && ref.used()+cfg.Address.MaxSilent < g.ledger.budget/3 {
						t.Fatalf("refused with %d of %d descriptors in use", ref.used(), g.ledger.budget)
					}
					if v.OK() {
						ref.connections[tk] = &refConnection{addr: addr, use: Silent}
						order = append(order, tk)
					}
				}
			case 3, 4, 5:
				if tk := pick(); tk != 0 && ref.connections[tk].use == Silent {
					v := g.Request(now, tk, ClaimedIdentity{fmt.Sprint(rapid.IntRange(0, 9).Draw(t, "key")), "acme"})
					if ref.connections[tk].use = Unanswered; !v.OK() {
						ref.connections[tk].use = Silent
						if addr := ref.connections[tk].addr; v.Reason != NoDescriptor && v.Reason != NoMemory &&
							g.lookup(tk).rank != Known {
							ref.charge(addr, now)
						}
						closeTicket(tk)
					}
				}
			case 6:
				if tk := pick(); tk != 0 && ref.connections[tk].use == Unanswered {
					g.Established(now, tk)
					ref.connections[tk].use = Established
				}
			case 7:
				if tk := pick(); tk != 0 {
					g.Finished(now, tk)
					ref.connections[tk].use = Closing
				}
			case 8:
				if tk := pick(); tk != 0 {
					closeTicket(tk)
				}
			case 9:
				now += time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond
				g.Tick(now)
			}
			for _, victim := range append([]Victim(nil), g.Victims()...) {
				tk := victim.Ticket
				if ref.connections[tk].use != Silent {
					t.Fatalf("a client in use %v was chosen as a victim", ref.connections[tk].use)
				}
				closeTicket(tk)
			}
			if g.ledger.used() != ref.used() {
				t.Fatalf("%d descriptors in use, but %d by the reference", g.ledger.used(), ref.used())
			}
			if ref.used() > max(0, g.ledger.budget)+victimSlack {
				t.Fatalf("%d descriptors in use with a budget of %d", ref.used(), g.ledger.budget)
			}
			for _, u := range []Use{Silent, Unanswered, Established, Closing} {
				if g.InUse(u) != ref.count(netip.Addr{}, u) {
					t.Fatalf("%v: %d in use, but %d by the reference", u, g.InUse(u), ref.count(netip.Addr{}, u))
				}
			}
			for i := range g.addresses.list[1:] {
				e := &g.addresses.list[i+1]
				if e.bytes != 0 || e.rank != min(e.silent, maxSilentRank) {
					t.Fatalf("entry %+v", *e)
				}
			}
		}
		for len(order) > 0 {
			closeTicket(order[0])
		}
		if g.ledger.used() != 0 || g.ledger.knownRequests != 0 {
			t.Fatalf("%d descriptors in use and %d known clients' requests without any connection",
				g.ledger.used(), g.ledger.knownRequests)
		}
		if want := make([]int, 3); fmt.Sprint(g.requests) != fmt.Sprint([3][]int{want, want, want}) {
			t.Fatalf("requests of tenants without any connection: %v", g.requests)
		}
	})
}

// With a small table, no address gets more connections admitted than with a table that never evicts, in any order of
// connections.
func TestSmallTableAdmitsNoMore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := testConfig()
		cfg.Network.NewPerSecond, cfg.Network.Burst = 1e6, 1<<20
		large := cfg
		large.Address.Table = 1 << 14
		seed := rapid.Uint64().Draw(t, "seed")
		tight, _ := New(cfg, seed)
		wide, _ := New(large, seed)
		tight.SetLimits(40, 0) // the table keeps its 128 entries
		wide.SetLimits(1<<15, 0)
		now := time.Second
		admitted := map[netip.Addr][2]int{}
		for range rapid.IntRange(10, 60).Draw(t, "rounds") {
			first, n := rapid.IntRange(0, 400).Draw(t, "first"), rapid.IntRange(1, 300).Draw(t, "n")
			for i := range n {
				addr := netip.AddrFrom4([4]byte{10, 1, byte((first + i) >> 8), byte(first + i)})
				c := admitted[addr]
				for k, g := range []*Controller{tight, wide} {
					if tk, v := g.Accept(now, addr); v.OK() {
						g.Closed(now, tk)
						c[k]++
					}
				}
				admitted[addr] = c
				if c[0] > c[1] {
					t.Fatalf("%v: %d admitted, but %d without eviction", addr, c[0], c[1])
				}
			}
			now += time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond
		}
	})
}
