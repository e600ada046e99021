package admission

import (
	"testing"

	"oatloft/internal/golden"
)

// The JSON keys of the report are read by operators' tools.
func TestReportJSON(t *testing.T) { golden.JSON[Report](t, "report.json") }
