package bandwidth

import (
	"fmt"
	"syscall"
	"testing"
	"time"

	"oatloft/internal/revision"
)

// BenchmarkLink simulates a link of 1 MB/s shared by n processes, with a saturating bulk class at all of them and
// messages of 1,000 bytes of the first class at some. It reports the share of the link that is used, the highest use in
// 100 ms, the delay of the messages on an idle link and with bulk traffic, and how long it takes until the link is used
// to 94% again after the load moves from a fifth of the processes to the others.
func BenchmarkLink(b *testing.B) {
	for _, n := range []int{1, 5, 10, 60, 300} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for range b.N {
				var p50, p99 [2]time.Duration
				var used, most float64
				for busy := range 2 {
					c := newCluster(n, threeClassLink(1e6), true)
					var tops []*sender
					for i := range min(n, 10) {
						tops = append(tops, c.addSender(i, "top", "t", 1000, time.Duration(min(n, 10))*20*time.Millisecond))
					}
					for i := range n * busy {
						c.addSender(i, "bulk", "t", 0, 0)
						c.run(step)
					}
					c.run(3 * time.Second)
					for _, x := range tops {
						x.delays = nil
					}
					used = 0
					for range 50 {
						_, sum := c.usage(100 * time.Millisecond)
						used += sum / 50
						most = max(most, sum)
					}
					var all []time.Duration
					for _, x := range tops {
						all = append(all, x.delays...)
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
					c := newCluster(n, threeClassLink(1e6), true)
					first := n / 5
					for i := range first {
						c.addSender(i, "bulk", "t", 0, 0)
					}
					b.ReportMetric(c.untilUsed(0.94, 10*time.Second).Seconds()*1e3, "lent-ms")
					for _, s := range c.members[:first] {
						s.senders[0].pending = 1
					}
					for i := first; i < n; i++ {
						c.addSender(i, "bulk", "t", 0, 0)
					}
					b.ReportMetric(c.untilUsed(0.94, 10*time.Second).Seconds()*1e3, "back-ms")
				}
				b.ReportMetric(0, "ns/op")
			}
		})
	}
}

// BenchmarkShares reports each class's share of the link with all classes saturating it at the given processes.
func BenchmarkShares(b *testing.B) {
	for _, x := range []struct {
		name string
		at   map[string][]int
	}{
		{"one/all", map[string][]int{"top": {0}, "mid": {0}, "bulk": {0}}},
		{"ten/spread", map[string][]int{"top": {0, 1, 2, 3, 4, 5, 6, 7, 8, 9}, "mid": {0, 1, 2, 3, 4, 5, 6, 7, 8, 9},
			"bulk": {0, 1, 2, 3, 4, 5, 6, 7, 8, 9}}},
		{"ten/apart", map[string][]int{"top": {0}, "mid": {1}, "bulk": {2, 3, 4, 5, 6, 7, 8, 9}}},
		{"ten/without-top", map[string][]int{"mid": {1}, "bulk": {0, 1, 2, 3, 4, 5, 6, 7, 8, 9}}},
	} {
		b.Run(x.name, func(b *testing.B) {
			for range b.N {
				n := 10
				if x.name == "one/all" {
					n = 1
				}
				c := newCluster(n, threeClassLink(1e6), true)
				for _, class := range []string{"top", "mid", "bulk"} {
					for _, at := range x.at[class] {
						c.addSender(at, class, "t", 0, 0)
					}
				}
				c.run(3 * time.Second)
				got, sum := c.usage(5 * time.Second)
				for _, class := range []string{"top", "mid", "bulk"} {
					b.ReportMetric(100*got[class], "%"+class)
				}
				b.ReportMetric(100*sum, "%used")
				b.ReportMetric(0, "ns/op")
			}
		})
	}
}

// BenchmarkRequest measures what one request costs the member that coordinates, by number of members, with demand for
// four links of three classes, and the size of the request and its response.
func BenchmarkRequest(b *testing.B) {
	for _, n := range []int{3, 30, 300} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			al := NewAllocator(Settings{Lease: 2 * time.Second, SafePart: 0.04, Holders: 2 * n})
			part, err := NewParticipant(al.settings)
			if err != nil {
				b.Fatal(err)
			}
			part.allocator = al
			table := append([]revision.Link{},
				threeClassLink(1e6), threeClassLink(1e6), threeClassLink(1e6), threeClassLink(1e6))
			var linkRequests []LinkRequest
			for i := range table {
				table[i].To = fmt.Sprint("zone", i)
				a := LinkRequest{Link: LinkName("a", table[i].To), SafeRate: 100, GrantedRate: 1000}
				for _, c := range []string{"top", "mid", "bulk"} {
					a.Demands = append(a.Demands, Demand{c, "tenant", 123456.789, 3})
				}
				linkRequests = append(linkRequests, a)
			}
			al.SetTable(table, nil)
			al.Elected(-time.Hour)
			requester, err := NewParticipant(al.settings)
			if err != nil {
				b.Fatal(err)
			}
			requester.Bind(func() []LinkRequest { return linkRequests }, func([]Grant, time.Time) {}, nil)
			now, bytes := time.Duration(0), 0
			names := make([]string, n)
			for i := range names {
				names[i] = fmt.Sprint("holder", i)
			}
			b.ResetTimer()
			spent := processorTime()
			for i := range b.N {
				now += 250 * time.Millisecond / time.Duration(n)
				body := requester.NextRequest()
				answer, _ := part.HandleRequest(names[i%n], body, now)
				requester.ApplyResponse(answer, epoch.Add(now))
				bytes += len(body) + len(answer)
			}
			b.ReportMetric(float64(bytes)/float64(b.N), "bytes/op")
			b.ReportMetric(float64((processorTime()-spent).Nanoseconds())/float64(b.N), "processor-ns/op")
		})
	}
}

// processorTime returns the processor time of this process, which other processes on a busy machine don't add to.
func processorTime() time.Duration {
	var r syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &r)
	return time.Duration(r.Utime.Nano() + r.Stime.Nano())
}

// BenchmarkScheduling measures the cost of sending at once, and of sending after a wait in the queue.
func BenchmarkScheduling(b *testing.B) {
	for _, wait := range []bool{false, true} {
		b.Run(fmt.Sprint("wait=", wait), func(b *testing.B) {
			s := NewShaper[int](0)
			s.SetLink(0, threeClassLink(1e9), 1e9, nil)
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
