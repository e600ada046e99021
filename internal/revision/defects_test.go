//go:build defects

package revision

import (
	"flag"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"

	"oatloft/internal/failpoint"
)

var firstDefect = flag.String("explore.from", "", "name of the first defect of the list to search for")

// TestDefects enables each deliberate defect in turn. Random paths must find a violation for every one.
func TestDefects(t *testing.T) {
	defer failpoint.Choose("")
	first := *firstDefect
	for _, name := range []string{
		"lease-from-answer", "renews-itself", "stopped-untaken", "leaves-untaken", "old-epoch",
		"stop-same-epoch", "no-margin",
		"new-leader-knows",
		"lapse-uncondemned", "grant-while-stopped", "unconfirmed", "old-reign", "roster-unseen", "one-stopped",
		"majority", "key-unseen", "from-unseen", "unchecked",
	} {
		if first != "" && name != first {
			continue
		}
		first = ""
		failpoint.Choose(name)
		seed, w := findViolation(100_000)
		if w == nil {
			t.Errorf("%s: not found", name)
			continue
		}
		n := 0
		for step := w.trace; step != nil; step = step.previous {
			n++
		}
		t.Logf("%s | seed %d, %d steps | %.150s", name, seed, n, w.violation)
	}
}

// findViolation follows random paths on all processors until one of them has a violation. It returns the lowest such
// seed and the world, or maxSeeds and nil.
func findViolation(maxSeeds uint64) (uint64, *world) {
	var mu sync.Mutex
	var nextSeed atomic.Uint64
	var found *world
	lowest := maxSeeds
	var workers sync.WaitGroup
	for range runtime.GOMAXPROCS(0) {
		workers.Go(func() {
			for {
				seed := nextSeed.Add(1) - 1
				mu.Lock()
				done := seed >= lowest
				mu.Unlock()
				if done {
					return
				}
				if w := randomWalk(seed, randomPlan(seed)); w.violation != "" {
					mu.Lock()
					if seed < lowest {
						lowest, found = seed, w
					}
					mu.Unlock()
				}
			}
		})
	}
	workers.Wait()
	return lowest, found
}
