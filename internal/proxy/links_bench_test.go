package proxy

import (
	"fmt"
	"io"
	"maps"
	"net"
	"slices"
	"syscall"
	"testing"
	"time"
)

// BenchmarkTopClassDelay tells how long messages of 400 bytes of the first class take there and back over a wire of
// 1 MB/s, alone and with eight terminals of a bulk class at full tilt, with the link bounded and as it was before;
// the two sites 0 and 10 ms apart.
func BenchmarkTopClassDelay(b *testing.B) {
	const rate = 1e6
	for _, long := range []time.Duration{0, 10 * time.Millisecond} {
		for _, x := range []struct {
			name  string
			bulk  int
			bound bool
		}{{"idle", 0, false}, {"idle-bounded", 0, true}, {"bulk", 8, false}, {"bulk-bounded", 8, true}} {
			b.Run(fmt.Sprint(long, "/", x.name), func(b *testing.B) {
				w := newSites(b)
				w.wire = &wire{rate: rate, long: long}
				if x.bound {
					w.set(linkOf("a", "b", rate))
				}
				c, in := w.terminal("echo", "chat", true)
				var bulk []net.Conn
				for range x.bulk {
					c, _ := w.terminal("sink", "bulk", true)
					bulk = append(bulk, c)
				}
				for _, c := range bulk {
					go pump(c)
				}
				time.Sleep(time.Second)
				var list []time.Duration
				done := make(chan float64, 1)
				go func() { _, sum := w.over(2 * time.Second); done <- sum }()
				for began := time.Now(); time.Since(began) < 2*time.Second; time.Sleep(5 * time.Millisecond) {
					took, err := echo(c, in, 400)
					if err != nil { // moved for its messages' delay
						break
					}
					list = append(list, took)
				}
				if len(list) == 0 {
					b.Fatal("no message came back")
				}
				slices.Sort(list)
				b.ReportMetric(float64(list[len(list)/2].Microseconds()), "p50-us")
				b.ReportMetric(float64(list[len(list)*99/100].Microseconds()), "p99-us")
				b.ReportMetric(100*<-done/rate, "%used")
				b.ReportMetric(0, "ns/op")
			})
		}
	}
}

// used is the processor's time of this process, which other processes on a busy machine don't add to.
func used() time.Duration {
	var r syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &r)
	return time.Duration(r.Utime.Nano() + r.Stime.Nano())
}

// BenchmarkLinkCost tells what bounded links cost set-ups and bulk that they don't bound, in turns: off, on without
// a link in the table, and with one of 100 GB/s each way. Regions and terminals are in the same process.
func BenchmarkLinkCost(b *testing.B) {
	const turns, setups = 9, 200
	names := []string{"off", "on, no link", "on, a wide link"}
	var got [3][5][]float64 // by name
	for range turns {
		for i, name := range names {
			b.Run(name, func(b *testing.B) {
				w := sitesWith(b, i > 0)
				if i == 2 {
					w.set(linkOf("a", "b", 100e9), linkOf("b", "a", 100e9))
				}
				var took []float64
				before := used()
				for range setups {
					began := time.Now()
					c, in := w.terminal("echo", "bulk", true)
					took = append(took, float64(time.Since(began).Microseconds()))
					_ = c.CloseWrite()
					_, _ = io.Copy(io.Discard, in) // a tenant's connections are counted until they have ended
					_ = c.Close()
				}
				setUp := float64((used() - before).Microseconds()) / setups
				slices.Sort(took)
				for range 4 {
					c, _ := w.terminal("raw", "bulk", true)
					go func() {
						for piece := make([]byte, 32<<10); ; {
							if _, err := c.Write(piece); err != nil {
								return
							}
						}
					}()
				}
				time.Sleep(200 * time.Millisecond)
				before = used()
				_, sum := w.over(time.Second)
				for k, x := range []float64{
					took[setups/2],
					took[setups*99/100],
					setUp,
					sum / 1e6,
					float64((used() - before).Microseconds()) / sum * 1e6,
				} {
					got[i][k] = append(got[i][k], x)
				}
			})
		}
	}
	for i, name := range names {
		line := fmt.Sprintf("%-16s", name)
		for k, x := range []string{"set-up p50 us", "p99 us", "processor us", "bulk MB/s", "processor us a MB"} {
			if list := got[i][k]; len(list) > 0 {
				slices.Sort(list)
				line += fmt.Sprintf("  %s %.0f (%.0f to %.0f)", x, list[len(list)/2], list[0], list[len(list)-1])
			}
		}
		b.Log(line)
	}
}

// BenchmarkThinLink has 200 terminals at full tilt on a link of 20 kB/s: the part of it that is used, and how
// evenly the terminals had it.
func BenchmarkThinLink(b *testing.B) {
	const rate, seconds = 20e3, 20
	w := newSites(b)
	w.set(linkOf("a", "b", rate))
	var all []net.Conn
	for range 200 {
		c, in := w.terminal("echo", "bulk", true)
		all = append(all, c)
		go func() { _, _ = io.Copy(io.Discard, in) }()
	}
	for _, c := range all {
		go pump(c)
	}
	time.Sleep(3 * time.Second)
	before := w.lines()
	_, sum := w.over(seconds * time.Second)
	after := w.lines()
	var list []int64
	for key, n := range after {
		list = append(list, n-before[key])
	}
	slices.Sort(list)
	b.ReportMetric(100*sum/rate, "%used")
	b.ReportMetric(float64(list[len(list)/5]), "p20-bytes") // some were moved by then, as always
	b.ReportMetric(float64(list[len(list)/2]), "p50-bytes")
	b.ReportMetric(float64(list[len(list)-1]), "most-bytes")
	b.ReportMetric(0, "ns/op")
}

// lines are the bytes that came to the far region, by terminal.
func (w *sites) lines() map[string]int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return maps.Clone(w.byKey)
}
