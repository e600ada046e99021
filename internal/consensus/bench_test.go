package consensus

import (
	"context"
	"fmt"
	"slices"
	"sync/atomic"
	"testing"
	"time"
)

// BenchmarkPropose settles entries of 2 kB, one after the other, over sockets and with every write on disk.
func BenchmarkPropose(b *testing.B) {
	for _, voters := range []int{1, 3, 5, 7} {
		b.Run(fmt.Sprintf("voters=%d", voters), func(b *testing.B) {
			lead, _ := standingCrew(b, voters, 0)
			entry := make([]byte, 2000)
			var took []time.Duration
			for b.Loop() {
				t0 := time.Now()
				if err := lead.Propose(context.Background(), entry); err != nil {
					b.Fatal(err)
				}
				took = append(took, time.Since(t0))
			}
			slices.Sort(took)
			b.ReportMetric(float64(took[len(took)/2].Microseconds()), "µs-median")
			b.ReportMetric(float64(took[len(took)*99/100].Microseconds()), "µs-p99")
		})
	}
}

// BenchmarkConfirm asks the leader whether it leads, 256 at a time.
func BenchmarkConfirm(b *testing.B) {
	for _, voters := range []int{1, 3, 5, 7} {
		b.Run(fmt.Sprintf("voters=%d", voters), func(b *testing.B) {
			lead, _ := standingCrew(b, voters, 0)
			b.SetParallelism(32)
			b.ResetTimer()
			b.RunParallel(func(p *testing.PB) {
				for p.Next() {
					if _, err := lead.Confirm(context.Background()); err != nil {
						b.Error(err)
						return
					}
				}
			})
		})
	}
}

// BenchmarkIdle tells the bytes a second of the leader, of another voter and of a reader while nothing happens.
func BenchmarkIdle(b *testing.B) {
	for _, voters := range []int{3, 5, 7} {
		b.Run(fmt.Sprintf("voters=%d", voters), func(b *testing.B) {
			lead, c := standingCrew(b, voters, 1)
			time.Sleep(time.Second)
			other := c.nodes[0]
			if other == lead {
				other = c.nodes[1]
			}
			list := []*Node{lead, other, c.nodes[voters]}
			var sum [3]int64
			bytes := func(n *Node) int64 { s := n.Status(); return s.BytesIn + s.BytesOut }
			for i, n := range list {
				sum[i] -= bytes(n)
			}
			t0 := time.Now()
			for b.Loop() {
				time.Sleep(time.Second)
			}
			d := time.Since(t0).Seconds()
			for i, what := range []string{"leader-B/s", "voter-B/s", "reader-B/s"} {
				b.ReportMetric(float64(sum[i]+bytes(list[i]))/d, what)
			}
		})
	}
}

// BenchmarkCalls has readers call the leader as they do for a lease, and each call confirmed.
func BenchmarkCalls(b *testing.B) {
	lead, c := standingCrew(b, 3, 1)
	lead.handler = func(ctx context.Context, _, _ string, body []byte) ([]byte, error) {
		_, err := lead.Confirm(ctx)
		return body, err
	}
	reader := c.nodes[3]
	for reader.Leader().Name == "" {
		time.Sleep(time.Millisecond)
	}
	before := reader.Status()
	body := make([]byte, 100)
	var calls atomic.Int64
	b.SetParallelism(2)
	b.ResetTimer()
	b.RunParallel(func(p *testing.PB) {
		for p.Next() {
			calls.Add(1)
			if _, err := reader.Call(context.Background(), lead.cfg.Name, "lease", body); err != nil {
				b.Error(err)
				return
			}
		}
	})
	after := reader.Status()
	b.ReportMetric(float64(after.BytesIn+after.BytesOut-before.BytesIn-before.BytesOut)/float64(calls.Load()), "B/call")
}

func standingCrew(b *testing.B, voters, readers int) (*Node, *crew) {
	c := newCrew(b, voters, voters, func(cfg *Config) { cfg.Tick = 50 * time.Millisecond })
	for range readers {
		c.cfg = append(c.cfg, Config{Cluster: c.cfg[0].Cluster, Name: "reader", Candidates: c.cfg[0].Candidates})
		c.nodes, c.m = append(c.nodes, nil), append(c.m, nil)
	}
	for i := range c.nodes {
		c.start(i)
	}
	c.settle("one")
	return c.leader(), c
}
