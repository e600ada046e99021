package edgeconfig

import (
	"encoding/json"
	"testing"

	"oatloft/internal/golden"
)

func TestFormOfSettings(t *testing.T) { golden.JSON[Settings](t, "settings.json") }

// Settings that an earlier oatctl compiled are read whole, and mean the same.
func TestFormOfCompiledSettings(t *testing.T) {
	read, err := Parse(golden.Read(t, "compiled.json"))
	if err != nil {
		t.Fatal(err)
	}
	body, err := json.Marshal(read)
	if err != nil {
		t.Fatal(err)
	}
	golden.Check(t, "compiled-again.json", body)
}
