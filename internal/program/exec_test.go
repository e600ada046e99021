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

// If the edge file has the section revisions, the program with revision support in the same folder is executed in the
// same process, with the same arguments, environment and descriptors. If that program is missing or was built from
// other sources, an error reports it; without the section nothing is executed.
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
	writeEdge := func(name string, edge edgeconfig.Settings) string {
		edge.Form, edge.Source = edgeconfig.Form, "test"
		body, err := json.Marshal(edge)
		path := filepath.Join(dir, name)
		if err == nil {
			err = os.WriteFile(path, body, 0o600)
		}
		if err != nil {
			t.Fatal(err)
		}
		return path
	}
	with := writeEdge(
		"with.json",
		edgeconfig.Settings{
			Revisions: &edgeconfig.Revisions{Cluster: "c", Listen: "127.0.0.1:7100", Voters: 1, Folder: "/x", OnCut: "refuse",
				Lease: 3e9, Deadline: 10e9, History: 10, HistoryBytes: 1 << 20,
				Members: []edgeconfig.Candidate{{Name: "b1", Addr: "127.0.0.1:7100"}}},
		},
	)
	without := writeEdge("without.json", edgeconfig.Settings{})
	inherited, err := os.Create(filepath.Join(dir, "inherited"))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = inherited.Close() }()
	run := func(edge string) (string, int) {
		cmd := exec.Command(program, "serve", "--config", filepath.Join(dir, "none.json"), "--edge", edge)
		cmd.Env = append(os.Environ(), "OATLOFT_PROGRAM=1", "PROXY_FD=3")
		cmd.ExtraFiles = []*os.File{inherited}
		out, _ := cmd.CombinedOutput()
		return string(out), cmd.Process.Pid
	}
	if out, _ := run(with); !strings.Contains(out, program+Suffix+": no such file") ||
		!strings.Contains(out, "; do: install it there") {
		t.Errorf("no other program installed: %q", out)
	}
	script := "#!/bin/sh\necho $$ \"$@\" $PROXY_FD\necho it >&3\n"
	if err := os.WriteFile(program+Suffix, []byte(script), 0o700); err != nil {
		t.Fatal(err)
	}
	out, pid := run(with)
	if want := fmt.Sprintf("%d serve --config %s --edge %s 3\n", pid, filepath.Join(dir, "none.json"), with); out != want {
		t.Errorf("got %q, want %q", out, want)
	}
	if written, _ := os.ReadFile(inherited.Name()); string(written) != "it\n" {
		t.Errorf("the inherited descriptor got %q", written)
	}
	if err := os.WriteFile(program+Suffix, []byte("#!/bin/sh\n"+builtVariable+"=\"$"+builtVariable+
		" or so\" exec "+program+" \"$@\" --edge "+without+"\n"), 0o700); err != nil {
		t.Fatal(err)
	}
	if out, _ := run(with); !strings.Contains(out, "built from other sources") ||
		!strings.Contains(out, "; do: install both") {
		t.Errorf("built from other sources: %q", out)
	}
	for _, edge := range []string{without, filepath.Join(dir, "no-edge.json")} {
		if out, _ := run(edge); !strings.Contains(out, "no such file") || strings.Contains(out, "serve --config") {
			t.Errorf("%s: %q", filepath.Base(edge), out)
		}
	}
}
