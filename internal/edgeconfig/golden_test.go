package edgeconfig

import (
	"encoding/json"
	"testing"

	"oatloft/internal/golden"
)

// The JSON form of Settings matches the golden file.
func TestFormOfSettings(t *testing.T) { golden.JSON[Settings](t, "settings.json") }

// Settings compiled by an earlier oatctl are read completely, with the same meaning.
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
