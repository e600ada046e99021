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

var firstDefect = flag.String("explore.from", "", "the first defect to look for, of the list")

// Each of these is built in on purpose and has to be found by drawn paths.
func TestDefects(t *testing.T) {
	defer failpoint.Choose("")
	from := *firstDefect
	for _, name := range []string{
		"lease-from-answer", "renews-itself", "stopped-untaken", "leaves-untaken", "old-epoch",
		"stop-same-epoch", "no-margin",
		"new-leader-knows",
		"lapse-uncondemned", "grant-while-stopped", "unconfirmed", "old-reign", "roster-unseen", "one-stopped",
		"majority", "key-unseen", "from-unseen", "unchecked",
	} {
		if from != "" && name != from {
			continue
		}
		from = ""
		failpoint.Choose(name)
		found, w := search(100_000)
		if w == nil {
			t.Errorf("%s: not found", name)
			continue
		}
		n := 0
		for b := w.trace; b != nil; b = b.back {
			n++
		}
		t.Logf("%s | seed %d, %d steps | %.150s", name, found, n, w.broken)
	}
}

// search goes drawn paths until one is broken, on all processors: the seed is the least of those that were under way.
func search(most uint64) (uint64, *world) {
	var mu sync.Mutex
	var at atomic.Uint64
	var found *world
	least := most
	var all sync.WaitGroup
	for range runtime.GOMAXPROCS(0) {
		all.Go(func() {
			for {
				seed := at.Add(1) - 1
				mu.Lock()
				done := seed >= least
				mu.Unlock()
				if done {
					return
				}
				if w := walk(seed, drawnPlan(seed)); w.broken != "" {
					mu.Lock()
					if seed < least {
						least, found = seed, w
					}
					mu.Unlock()
				}
			}
		})
	}
	all.Wait()
	return least, found
}
