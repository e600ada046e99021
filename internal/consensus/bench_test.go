package consensus

import (
	"context"
	"fmt"
	"slices"
	"sync/atomic"
	"testing"
	"time"
)

// BenchmarkPropose commits entries of 2 kB, one after the other, over TCP connections and with every write synced to
// disk.
func BenchmarkPropose(b *testing.B) {
	for _, voters := range []int{1, 3, 5, 7} {
		b.Run(fmt.Sprintf("voters=%d", voters), func(b *testing.B) {
			leader, _ := startCluster(b, voters, 0)
			entry := make([]byte, 2000)
			var latencies []time.Duration
			for b.Loop() {
				start := time.Now()
				if err := leader.Propose(context.Background(), entry); err != nil {
					b.Fatal(err)
				}
				latencies = append(latencies, time.Since(start))
			}
			slices.Sort(latencies)
			b.ReportMetric(float64(latencies[len(latencies)/2].Microseconds()), "µs-median")
			b.ReportMetric(float64(latencies[len(latencies)*99/100].Microseconds()), "µs-p99")
		})
	}
}

// BenchmarkConfirm confirms the leadership with 32 concurrent callers per CPU (256 with 8 CPUs).
func BenchmarkConfirm(b *testing.B) {
	for _, voters := range []int{1, 3, 5, 7} {
		b.Run(fmt.Sprintf("voters=%d", voters), func(b *testing.B) {
			leader, _ := startCluster(b, voters, 0)
			b.SetParallelism(32)
			b.ResetTimer()
			b.RunParallel(func(p *testing.PB) {
				for p.Next() {
					if _, err := leader.Confirm(context.Background()); err != nil {
						b.Error(err)
						return
					}
				}
			})
		})
	}
}

// BenchmarkIdle measures the traffic of an idle cluster, in bytes per second, at the leader, at another voter and at a
// reader.
func BenchmarkIdle(b *testing.B) {
	for _, voters := range []int{3, 5, 7} {
		b.Run(fmt.Sprintf("voters=%d", voters), func(b *testing.B) {
			leader, c := startCluster(b, voters, 1)
			time.Sleep(time.Second)
			follower := c.nodes[0]
			if follower == leader {
				follower = c.nodes[1]
			}
			list := []*Node{leader, follower, c.nodes[voters]}
			var transferred [3]int64
			bytes := func(n *Node) int64 { s := n.Status(); return s.BytesIn + s.BytesOut }
			for i, n := range list {
				transferred[i] -= bytes(n)
			}
			start := time.Now()
			for b.Loop() {
				time.Sleep(time.Second)
			}
			d := time.Since(start).Seconds()
			for i, unit := range []string{"leader-B/s", "voter-B/s", "reader-B/s"} {
				b.ReportMetric(float64(transferred[i]+bytes(list[i]))/d, unit)
			}
		})
	}
}

// BenchmarkCalls measures calls of a reader to the leader, as it makes them for a lease; the leader confirms its
// leadership for each.
func BenchmarkCalls(b *testing.B) {
	leader, c := startCluster(b, 3, 1)
	leader.handler = func(ctx context.Context, _, _ string, body []byte) ([]byte, error) {
		_, err := leader.Confirm(ctx)
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
			if _, err := reader.Call(context.Background(), leader.cfg.Name, "lease", body); err != nil {
				b.Error(err)
				return
			}
		}
	})
	after := reader.Status()
	b.ReportMetric(float64(after.BytesIn+after.BytesOut-before.BytesIn-before.BytesOut)/float64(calls.Load()), "B/call")
}

// startCluster starts a cluster with readers and commits one entry. It returns the leader too.
func startCluster(b *testing.B, voters, readers int) (*Node, *testCluster) {
	c := newTestCluster(b, voters, voters, func(cfg *Config) { cfg.Tick = 50 * time.Millisecond })
	for range readers {
		c.configs = append(
			c.configs,
			Config{Cluster: c.configs[0].Cluster, Name: "reader", Candidates: c.configs[0].Candidates},
		)
		c.nodes, c.machines = append(c.nodes, nil), append(c.machines, nil)
	}
	for i := range c.nodes {
		c.start(i)
	}
	c.commit("one")
	return c.leader(), c
}
