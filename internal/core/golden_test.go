package core

import (
	"testing"

	"oatloft/internal/golden"
)

// Operators' tools read the counters by these JSON keys.
func TestCountersJSON(t *testing.T) { golden.JSON[Counters](t, "counters.json") }
