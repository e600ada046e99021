package edgeconfigcue

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"oatloft/internal/edgeconfig"
)

// The repository's deploy/edge.cue compiles, and fields that it leaves out have the schema's defaults.
func TestDeployedSettingsCompile(t *testing.T) {
	body, err := Compile("../../deploy/edge.cue")
	if err != nil {
		t.Fatal(err)
	}
	s, err := edgeconfig.Parse(body)
	if err != nil {
		t.Fatal(err)
	}
	if a := s.Admission; a == nil || a.Address.MaxConnections != 16 ||
		time.Duration(a.Reserve.StandFor) != 10*time.Second || a.Address.MaxBytes != 16<<10 {
		t.Fatalf("%+v", s)
	}
	text, err := Show("")
	if err != nil {
		t.Fatal(err)
	}
	again, err := CompileText("show.cue", text)
	if err != nil || !strings.Contains(string(text), `stand_for:       "10s"`) {
		t.Fatal(err, string(text))
	}
	if first, _ := CompileText("show.cue", []byte("admission: {}")); string(first) != string(again) {
		t.Fatal("the output of show compiles to different settings")
	}
	if off, err := CompileText("off.cue", nil); err != nil || !strings.Contains(string(off), `"admission": null`) {
		t.Fatal(err, string(off))
	}
}

// An error has a line with file, line and field.
func TestFaults(t *testing.T) {
	for text, want := range map[string]string{
		"admission: address: max_conections: 3": "x.cue:1:21: admission.address.max_conections: field not allowed",
		"\nadmision: {}":                        "x.cue:2:1: admision: field not allowed",
		"admission: {\n\taddress: burst: 0\n}":  "x.cue:2:18: admission.address.burst: invalid value 0 (out of bound >=1)",
		`admission: reserve: stand_for: "10"`: `x.cue:1:32: admission.reserve.stand_for: invalid value "10" ` +
			`(out of bound`,
		`admission: address: new_per_second: "x"`: `x.cue:1:37: admission.address.new_per_second: ` +
			`conflicting values "x" and number`,

		"admission: descriptors: {tight: 0.9, short: 0.5}": "x.cue:1:38: admission.descriptors.short: out of bounds",
		`admission: address: exempt: ["10.0.0.1/99"]`:      "admission.address.exempt",

		`peers: {cluster: "c", listen: "10.0.0.1:7000", join: [], subset: 500}`: "x.cue:1:66: peers.subset: " +
			"invalid value 500",
		`peers: {cluster: "c", listen: "10.0.0.1:7000", join: [], turns: 1}`: "peers.turns: conflicting values",

		"numbered: subset: -1": "x.cue:1:19: numbered.subset: invalid value -1",
		"admission: {":         "x.cue:1:13: expected '}'",
		`admission: come_back: {least: "5s", most: "1s"}`:         "x.cue:1:37: admission.come_back.most: out of bounds",
		`admission: reserve: identity: "cookie"`:                  "admission.reserve.identity",
		"admission: address: {max_silent: 1.5, max_bytes: \"1\"}": "x.cue:1:34: admission.address.max_silent",
	} {
		_, err := CompileText("x.cue", []byte(text))
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: %v\nwant %s", text, err, want)
		}
	}
}

// A compiled file that was edited, truncated or written by another version gives a single line with file and field.
func TestCompiledFaults(t *testing.T) {
	good, err := CompileText("x.cue", []byte("admission: {}"))
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "edge.json")
	for _, x := range []struct{ old, new, want string }{
		{`"max_silent": 8,`, ``, "admission.address.max_silent: missing"},
		{`"max_silent": 8,`, `"max_silent": 0,`, "admission.address.max_silent: out of bounds"},
		{`"max_silent": 8,`, `"max_silence": 8,`, "max_silence"},
		{`"10s"`, `"soon"`, `"soon" is not a duration`},
		{`"16KiB"`, `"16 kB"`, `"16 kB" is not a size`},
		{`"oatloft_edge": 1`, `"oatloft_edge": 2`, "form 2"},
		{`"identity": "flow"`, `"identity": "face"`, "admission.reserve.identity"},
		{`"exempt": []`, `"exempt": ["here"]`, "admission.address.exempt[0]"},
		{`}`, ``, "EOF"},
	} {
		text := strings.Replace(string(good), x.old, x.new, 1)
		if x.want == "EOF" {
			text = string(good[:len(good)/2])
		}
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		_, err := edgeconfig.Load(path)
		if err == nil || !strings.Contains(err.Error(), x.want) || !strings.Contains(err.Error(), path) ||
			strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: %v", x.want, err)
		}
	}
	if err := os.WriteFile(path, make([]byte, edgeconfig.MaxBytes+2), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := edgeconfig.Load(path); err == nil || !strings.Contains(err.Error(), "longer") {
		t.Error(err)
	}
}
