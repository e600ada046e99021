package admission

import (
	"testing"

	"oatloft/internal/golden"
)

// Operators' tools read the report by these keys.
func TestFormOfReport(t *testing.T) { golden.JSON[Report](t, "report.json") }
