package program

import (
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"oatloft/internal/edgeconfig"
)

func TestMain(m *testing.M) {
	if os.Getenv("OATLOFT_PROGRAM") != "" {
		Main()
		os.Exit(0)
	}
	os.Exit(m.Run())
}

// Where the edge file has the section revisions the program beside this one goes on: the same process, the same
// words, environment and descriptors. Where it isn't there, or the section isn't, that is told, or nothing changes.
func TestExecRevisionsProgram(t *testing.T) {
	dir := t.TempDir()
	own, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	program := filepath.Join(dir, "p")
	body, err := os.ReadFile(own)
	if err == nil {
		err = os.WriteFile(program, body, 0o700)
	}
	if err != nil {
		t.Fatal(err)
	}
	file := func(name string, e edgeconfig.Settings) string {
		e.Form, e.Source = edgeconfig.Form, "test"
		body, err := json.Marshal(e)
		path := filepath.Join(dir, name)
		if err == nil {
			err = os.WriteFile(path, body, 0o600)
		}
		if err != nil {
			t.Fatal(err)
		}
		return path
	}
	with := file(
		"with.json",
		edgeconfig.Settings{
			Revisions: &edgeconfig.Revisions{Cluster: "c", Listen: "127.0.0.1:7100", Voters: 1, Folder: "/x", OnCut: "refuse",
				Lease: 3e9, Deadline: 10e9, History: 10, HistoryBytes: 1 << 20, Members: []edgeconfig.Candidate{{Name: "b1", Addr: "127.0.0.1:7100"}}},
		},
	)
	without := file("without.json", edgeconfig.Settings{})
	inherited, err := os.Create(filepath.Join(dir, "inherited"))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = inherited.Close() }()
	run := func(edge string) (string, int) {
		c := exec.Command(program, "serve", "--config", filepath.Join(dir, "none.json"), "--edge", edge)
		c.Env = append(os.Environ(), "OATLOFT_PROGRAM=1", "PROXY_FD=3")
		c.ExtraFiles = []*os.File{inherited}
		out, _ := c.CombinedOutput()
		return string(out), c.Process.Pid
	}
	if out, _ := run(with); !strings.Contains(out, program+Suffix+": no such file") ||
		!strings.Contains(out, "; do: install it there") {
		t.Errorf("nothing beside it: %q", out)
	}
	script := "#!/bin/sh\necho $$ \"$@\" $PROXY_FD\necho it >&3\n"
	if err := os.WriteFile(program+Suffix, []byte(script), 0o700); err != nil {
		t.Fatal(err)
	}
	out, pid := run(with)
	if want := fmt.Sprintf("%d serve --config %s --edge %s 3\n", pid, filepath.Join(dir, "none.json"), with); out != want {
		t.Errorf("got %q, want %q", out, want)
	}
	if said, _ := os.ReadFile(inherited.Name()); string(said) != "it\n" {
		t.Errorf("the inherited descriptor got %q", said)
	}
	if err := os.WriteFile(program+Suffix, []byte("#!/bin/sh\n"+builtVariable+"=\"$"+builtVariable+" or so\" exec "+program+" \"$@\" --edge "+without+"\n"), 0o700); err != nil {
		t.Fatal(err)
	}
	if out, _ := run(with); !strings.Contains(out, "built from other sources") ||
		!strings.Contains(out, "; do: install both") {
		t.Errorf("of other sources: %q", out)
	}
	for _, edge := range []string{without, filepath.Join(dir, "no-edge.json")} {
		if out, _ := run(edge); !strings.Contains(out, "no such file") || strings.Contains(out, "serve --config") {
			t.Errorf("%s: %q", filepath.Base(edge), out)
		}
	}
}
