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

// BenchmarkTopClassDelay measures the round-trip time of 400-byte messages of the first class over a wire of 1 MB/s,
// alone and beside eight clients of a bulk class that send at full speed, with a bounded and an unbounded link, and
// with a one-way delay of 0 and 10 ms between the zones.
func BenchmarkTopClassDelay(b *testing.B) {
	const rate = 1e6
	for _, delay := range []time.Duration{0, 10 * time.Millisecond} {
		for _, x := range []struct {
			name    string
			bulk    int
			bounded bool
		}{{"idle", 0, false}, {"idle-bounded", 0, true}, {"bulk", 8, false}, {"bulk-bounded", 8, true}} {
			b.Run(fmt.Sprint(delay, "/", x.name), func(b *testing.B) {
				w := newZoneHarness(b)
				w.wire = &simulatedWire{rate: rate, delay: delay}
				if x.bounded {
					w.setLinks(testLink("a", "b", rate))
				}
				c, in := w.connectClient("echo", "chat", true)
				var bulk []net.Conn
				for range x.bulk {
					c, _ := w.connectClient("sink", "bulk", true)
					bulk = append(bulk, c)
				}
				for _, c := range bulk {
					go sendForever(c)
				}
				time.Sleep(time.Second)
				var list []time.Duration
				done := make(chan float64, 1)
				go func() { _, sum := w.measureBytes(2 * time.Second); done <- sum }()
				for began := time.Now(); time.Since(began) < 2*time.Second; time.Sleep(5 * time.Millisecond) {
					took, err := roundTrip(c, in, 400)
					if err != nil { // the client was migrated because of its delays
						break
					}
					list = append(list, took)
				}
				if len(list) == 0 {
					b.Fatal("no message was echoed")
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

// cpuTime returns this process's CPU time, which does not depend on the machine's other load.
func cpuTime() time.Duration {
	var r syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &r)
	return time.Duration(r.Utime.Nano() + r.Stime.Nano())
}

// BenchmarkLinkCost measures what link shaping costs set-ups and bulk traffic that it does not limit, alternating
// between three cases: off, on without a link in the table, and on with a link of 100 GB/s each way. Servers and
// clients run in the same process.
func BenchmarkLinkCost(b *testing.B) {
	const rounds, setups = 9, 200
	names := []string{"off", "on, no link", "on, a wide link"}
	var got [3][5][]float64 // by name
	for range rounds {
		for i, name := range names {
			b.Run(name, func(b *testing.B) {
				w := startZoneHarness(b, i > 0)
				if i == 2 {
					w.setLinks(testLink("a", "b", 100e9), testLink("b", "a", 100e9))
				}
				var took []float64
				before := cpuTime()
				for range setups {
					began := time.Now()
					c, in := w.connectClient("echo", "bulk", true)
					took = append(took, float64(time.Since(began).Microseconds()))
					_ = c.CloseWrite()
					_, _ = io.Copy(io.Discard, in) // a tenant's connections count until they have closed
					_ = c.Close()
				}
				setUp := float64((cpuTime() - before).Microseconds()) / setups
				slices.Sort(took)
				for range 4 {
					c, _ := w.connectClient("raw", "bulk", true)
					go func() {
						for piece := make([]byte, 32<<10); ; {
							if _, err := c.Write(piece); err != nil {
								return
							}
						}
					}()
				}
				time.Sleep(200 * time.Millisecond)
				before = cpuTime()
				_, sum := w.measureBytes(time.Second)
				for k, x := range []float64{
					took[setups/2],
					took[setups*99/100],
					setUp,
					sum / 1e6,
					float64((cpuTime() - before).Microseconds()) / sum * 1e6,
				} {
					got[i][k] = append(got[i][k], x)
				}
			})
		}
	}
	for i, name := range names {
		line := fmt.Sprintf("%-16s", name)
		for k, x := range []string{"set-up p50 us", "p99 us", "CPU us", "bulk MB/s", "CPU us/MB"} {
			if list := got[i][k]; len(list) > 0 {
				slices.Sort(list)
				line += fmt.Sprintf("  %s %.0f (%.0f to %.0f)", x, list[len(list)/2], list[0], list[len(list)-1])
			}
		}
		b.Log(line)
	}
}

// BenchmarkSlowLink measures the used share of a link of 20 kB/s on which 200 clients send at full speed, and how
// evenly it is divided among them.
func BenchmarkSlowLink(b *testing.B) {
	const rate, seconds = 20e3, 20
	w := newZoneHarness(b)
	w.setLinks(testLink("a", "b", rate))
	var all []net.Conn
	for range 200 {
		c, in := w.connectClient("echo", "bulk", true)
		all = append(all, c)
		go func() { _, _ = io.Copy(io.Discard, in) }()
	}
	for _, c := range all {
		go sendForever(c)
	}
	time.Sleep(3 * time.Second)
	before := w.bytesByClient()
	_, sum := w.measureBytes(seconds * time.Second)
	after := w.bytesByClient()
	var list []int64
	for key, n := range after {
		list = append(list, n-before[key])
	}
	slices.Sort(list)
	b.ReportMetric(100*sum/rate, "%used")
	b.ReportMetric(float64(list[len(list)/5]), "p20-bytes") // some clients have been migrated by then
	b.ReportMetric(float64(list[len(list)/2]), "p50-bytes")
	b.ReportMetric(float64(list[len(list)-1]), "most-bytes")
	b.ReportMetric(0, "ns/op")
}

// bytesByClient returns the bytes that arrived at the far server, by client.
func (w *zoneHarness) bytesByClient() map[string]int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return maps.Clone(w.receivedByKey)
}
