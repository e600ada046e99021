package main

import (
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"oatloft/internal/fake"
	"oatloft/internal/faultinjection"
)

// Runs several processes of the balancer, with faults injected between them. The schedules are files, the same in each
// run; oatlab faults generates others.
func TestFaultSchedules(t *testing.T) {
	playFaultSchedules(t, "faults", faultinjection.Options{Net: 60})
}

// The same with one routing revision for all balancers, operators that change it, and limited links between two zones.
func TestFaultSchedulesRevisions(t *testing.T) {
	playFaultSchedules(
		t,
		"faults-revisions",
		faultinjection.Options{Net: 100, Revisions: true, Links: true, Lease: 2 * time.Second},
	)
}

// playFaultSchedules runs all schedules of a folder in parallel, each in its own network, numbered from o.Net.
func playFaultSchedules(t *testing.T, folder string, o faultinjection.Options) {
	files, err := filepath.Glob("testdata/" + folder + "/*.json")
	if err != nil || len(files) == 0 {
		t.Fatalf("%d schedules, %v", len(files), err)
	}
	o.Binary, o.SilentAfter = os.Args[0], 1500*time.Millisecond
	for i, file := range files {
		t.Run(strings.TrimSuffix(filepath.Base(file), ".json"), func(t *testing.T) {
			t.Parallel()
			s, err := faultinjection.Load(file)
			if err != nil {
				t.Fatal(err)
			}
			o := o
			o.Net += i
			for try := 0; ; try++ {
				r, err := faultinjection.Run(s, o)
				if err != nil {
					t.Fatal(err)
				}
				for _, b := range r.Broken {
					t.Error(b)
				}
				t.Log(r.Line())
				if len(r.Broken) > 0 || len(r.Void) == 0 {
					return
				}
				if try == 2 { // the machine lacks processor time, so that the run proves nothing
					t.Skip(r.Void[0])
				}
			}
		})
	}
}

// Without the peers section of the edge file, no UDP socket is opened, whatever else is configured: the platform
// refuses it.
func TestNoPeersWithoutEdgeSection(t *testing.T) {
	r := newHarness(t, fake.Options{Sockets: 256, MemoryMB: 64}, fake.Launch{Management: freeAddress(t)})
	if a := fake.Call(r.launch.Management, "peers"); !strings.HasPrefix(a, "-ERR peers are off") {
		t.Errorf("peers: %q", a)
	}
	if n := r.process.Datagrams(); n != 0 {
		t.Errorf("%d UDP sockets", n)
	}
}

func freeAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.8.4.9:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}
