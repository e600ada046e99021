package core

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	recentRequestsAge = 30 * time.Second // an id is remembered for at least this long, up to maxRecentRequests
	maxRecentRequests = 4096             // ids per generation
)

// recentRequests remembers the ids of closed requests that may have run. An id is new with every connection: a request
// whose id comes again would run twice. The ids are kept as 64-bit hashes, in two generations: the earlier one is
// forgotten when the current one is full or recentRequestsAge old.
type recentRequests struct {
	current, earlier map[uint64]struct{}
	currentSince     time.Duration
}

// HashRequestID returns the hash by which processes of a balancer compare the ids of requests.
func HashRequestID(id string) uint64 { return xxhash.Sum64String(id) }

func (t *recentRequests) add(id string, now time.Duration) {
	if t.current == nil || len(t.current) >= maxRecentRequests || now >= t.currentSince+recentRequestsAge {
		t.earlier = t.current
		t.current, t.currentSince = map[uint64]struct{}{}, now
	}
	t.current[HashRequestID(id)] = struct{}{}
}

func (t *recentRequests) has(id string) bool {
	hash := HashRequestID(id)
	_, inCurrent := t.current[hash]
	_, inEarlier := t.earlier[hash]
	return inCurrent || inEarlier
}
