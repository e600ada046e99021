package core

import (
	"testing"

	"oatloft/internal/golden"
)

// Operators' tools read the counters by these keys.
func TestFormOfCounters(t *testing.T) { golden.JSON[Counters](t, "counters.json") }
