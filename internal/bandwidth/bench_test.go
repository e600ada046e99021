package bandwidth

import (
	"fmt"
	"syscall"
	"testing"
	"time"

	"oatloft/internal/revision"
)

// BenchmarkLink steps a link of 1 MB/s over so many processes, with a bulk class at full tilt at all of them and messages of the first class
// of 1,000 bytes at some: the part of the link that is used, the most in 100 ms over what it takes, what messages take on it when idle and
// beside the bulk, and how long it takes until the link is used again to 94% once all that was used at a fifth of the processes is used at
// the others.
func BenchmarkLink(b *testing.B) {
	for _, n := range []int{1, 5, 10, 60, 300} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for range b.N {
				var p50, p99 [2]time.Duration
				var used, most float64
				for busy := range 2 {
					c := newCluster(n, three(1e6), true)
					var tops []*sender
					for i := range min(n, 10) {
						tops = append(tops, c.add(i, "top", "t", 1000, time.Duration(min(n, 10))*20*time.Millisecond))
					}
					for i := range n * busy {
						c.add(i, "bulk", "t", 0, 0)
						c.run(step)
					}
					c.run(3 * time.Second)
					for _, x := range tops {
						x.took = nil
					}
					used = 0
					for range 50 {
						_, sum := c.over(100 * time.Millisecond)
						used += sum / 50
						most = max(most, sum)
					}
					var all []time.Duration
					for _, x := range tops {
						all = append(all, x.took...)
					}
					p50[busy], p99[busy] = quantile(all, 0.5), quantile(all, 0.99)
				}
				b.ReportMetric(100*used, "%used")
				b.ReportMetric(100*most, "%most-in-100ms")
				b.ReportMetric(p50[0].Seconds()*1e3, "idle-p50-ms")
				b.ReportMetric(p50[1].Seconds()*1e3, "bulk-p50-ms")
				b.ReportMetric(p99[0].Seconds()*1e3, "idle-p99-ms")
				b.ReportMetric(p99[1].Seconds()*1e3, "bulk-p99-ms")
				if n >= 5 {
					c := newCluster(n, three(1e6), true)
					first := n / 5
					for i := range first {
						c.add(i, "bulk", "t", 0, 0)
					}
					b.ReportMetric(c.until(0.94, 10*time.Second).Seconds()*1e3, "lent-ms")
					for _, s := range c.sides[:first] {
						s.senders[0].waits = 1
					}
					for i := first; i < n; i++ {
						c.add(i, "bulk", "t", 0, 0)
					}
					b.ReportMetric(c.until(0.94, 10*time.Second).Seconds()*1e3, "back-ms")
				}
				b.ReportMetric(0, "ns/op")
			}
		})
	}
}

// BenchmarkShares tells what each class gets of what it asks for, as a part of the link, with all asking at full tilt where they are.
func BenchmarkShares(b *testing.B) {
	for _, x := range []struct {
		name string
		at   map[string][]int
	}{
		{"one/all", map[string][]int{"top": {0}, "mid": {0}, "bulk": {0}}},
		{"ten/spread", map[string][]int{"top": {0, 1, 2, 3, 4, 5, 6, 7, 8, 9}, "mid": {0, 1, 2, 3, 4, 5, 6, 7, 8, 9}, "bulk": {0, 1, 2, 3, 4, 5, 6, 7, 8, 9}}},
		{"ten/apart", map[string][]int{"top": {0}, "mid": {1}, "bulk": {2, 3, 4, 5, 6, 7, 8, 9}}},
		{"ten/without-top", map[string][]int{"mid": {1}, "bulk": {0, 1, 2, 3, 4, 5, 6, 7, 8, 9}}},
	} {
		b.Run(x.name, func(b *testing.B) {
			for range b.N {
				n := 10
				if x.name == "one/all" {
					n = 1
				}
				c := newCluster(n, three(1e6), true)
				for _, class := range []string{"top", "mid", "bulk"} {
					for _, at := range x.at[class] {
						c.add(at, class, "t", 0, 0)
					}
				}
				c.run(3 * time.Second)
				got, sum := c.over(5 * time.Second)
				for _, class := range []string{"top", "mid", "bulk"} {
					b.ReportMetric(100*got[class], "%"+class)
				}
				b.ReportMetric(100*sum, "%used")
				b.ReportMetric(0, "ns/op")
			}
		})
	}
}

// BenchmarkAsk is what one question costs the member that coordinates, by members, with four links of three classes that all ask for, and
// how long the question and its answer are.
func BenchmarkAsk(b *testing.B) {
	for _, n := range []int{3, 30, 300} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			k := NewKeeper(Settings{Lease: 2 * time.Second, SafePart: 0.04, Holders: 2 * n})
			part, err := NewPart(k.set)
			if err != nil {
				b.Fatal(err)
			}
			part.keeper = k
			table := append([]revision.Link{}, three(1e6), three(1e6), three(1e6), three(1e6))
			var asks []Ask
			for i := range table {
				table[i].To = fmt.Sprint("zone", i)
				a := Ask{Link: Name("a", table[i].To), Safe: 100, Held: 1000}
				for _, c := range []string{"top", "mid", "bulk"} {
					a.Wants = append(a.Wants, Want{c, "tenant", 123456.789, 3})
				}
				asks = append(asks, a)
			}
			k.SetTable(table, nil)
			k.Elected(-time.Hour)
			asker, err := NewPart(k.set)
			if err != nil {
				b.Fatal(err)
			}
			asker.Bind(func() []Ask { return asks }, func([]Grant, time.Time) {}, nil)
			now, bytes := time.Duration(0), 0
			names := make([]string, n)
			for i := range names {
				names[i] = fmt.Sprint("holder", i)
			}
			b.ResetTimer()
			spent := used()
			for i := range b.N {
				now += 250 * time.Millisecond / time.Duration(n)
				body := asker.Demand()
				answer, _ := part.Grant(names[i%n], body, now)
				asker.Granted(answer, epoch.Add(now))
				bytes += len(body) + len(answer)
			}
			b.ReportMetric(float64(bytes)/float64(b.N), "bytes/op")
			b.ReportMetric(float64((used()-spent).Nanoseconds())/float64(b.N), "processor-ns/op")
		})
	}
}

// used is the processor's time of this process, which other processes on a busy machine don't add to.
func used() time.Duration {
	var r syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &r)
	return time.Duration(r.Utime.Nano() + r.Stime.Nano())
}

// BenchmarkTurn is what a turn costs: one that is taken at once, and one that is waited for.
func BenchmarkTurn(b *testing.B) {
	for _, wait := range []bool{false, true} {
		b.Run(fmt.Sprint("wait=", wait), func(b *testing.B) {
			s := NewShaper[int](0)
			s.SetLink(0, three(1e9), 1e9, nil)
			f := s.Flow("bulk", "t")
			now := time.Duration(0)
			b.ReportAllocs()
			for i := range b.N {
				now += 10 * time.Microsecond
				if !wait {
					s.Take(now, f, 1000)
					continue
				}
				s.Wait(now, f, i)
				s.Next(now)
			}
		})
	}
}
