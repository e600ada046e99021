package proxy

import (
	"encoding/json"
	"reflect"
	"testing"

	"oatloft/internal/golden"
)

// Operators' tools read the counters by their JSON keys, so the keys must not change.
func TestCountersFormat(t *testing.T) {
	b := &Balancer{}
	golden.Fill(&b.counters)
	body, err := json.Marshal(b.counters)
	if err != nil {
		t.Fatal(err)
	}
	golden.Check(t, "counters.json", body)
	decoded := reflect.New(reflect.TypeOf(b.counters))
	if err := json.Unmarshal(golden.Read(t, "counters.json"), decoded.Interface()); err != nil {
		t.Fatal(err)
	}
	if got, err := json.Marshal(decoded.Interface()); err != nil || string(got) != string(body) {
		t.Errorf("%v: %s, want %s", err, got, body)
	}
}

// Operators' tools read the figures of links by these keys.
func TestFormOfLinksReport(t *testing.T) { golden.JSON[linksReport](t, "links-report.json") }
