package faultinjection

import (
	"encoding/json"
	"fmt"
	"path/filepath"
	"testing"

	"oatloft/internal/golden"
)

// A seed generates the same schedule as in earlier versions, and a schedule printed by one of them is read and written
// unchanged.
func TestScheduleFormat(t *testing.T) {
	golden.JSON[Schedule](t, "schedule-fields.json")
	for seed := range uint64(6) {
		s := Generate(seed, 5, 20)
		if seed >= 3 {
			s = GenerateRevisions(seed, 5, 20, true)
		}
		name := fmt.Sprintf("schedule-%d.json", seed)
		body, err := json.MarshalIndent(s, "", "  ")
		if err != nil {
			t.Fatal(err)
		}
		golden.Check(t, name, body)
		read, err := Load(filepath.Join("testdata", "golden", name))
		if err != nil {
			t.Fatal(err)
		}
		if body, err = json.MarshalIndent(read, "", "  "); err != nil {
			t.Fatal(err)
		}
		golden.Check(t, name, body)
	}
}
