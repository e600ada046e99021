package main

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strconv"
	"strings"
	"syscall"
	"time"

	"oatloft/internal/edgeconfigcue"
	"oatloft/internal/fake"
	"oatloft/internal/hint"
)

// admissionCommand measures admission control and prints the table in docs/operators/admission.md.
type admissionCommand struct {
	Balancer    string        `help:"Executable of the balancer." default:"bin/oatloft" type:"path"`
	Edge        string        `help:"File with the admission settings (CUE)." default:"deploy/edge.cue" type:"path"`
	Descriptors []int         `help:"Descriptor limits to measure with." default:"512,256"`
	Memory      int           `help:"Memory limit, in MB." default:"64"`
	Good        int           `help:"Number of well-behaved clients, each with its own address." default:"200"`
	Rate        float64       `help:"Well-behaved clients started per second." default:"50"`
	Stand       time.Duration `help:"Time for which a well-behaved client stays connected." default:"500ms"`
	Loops       int           `help:"Number of loops that generate noise." default:"64"`
	Only        string        `help:"Measure only rows whose name contains this."`
	Off         bool          `help:"Measure with admission off only."`
	Counters    bool          `help:"Print the balancer's counters after each row."`
	On          bool          `help:"Measure with admission on only."`
}

// noiseCommand generates noise in a separate process limited to one core, so that it takes no processor time from the
// well-behaved clients and the servers.
type noiseCommand struct {
	Addr      string        `arg:"" help:"The balancer's host:port, on loopback."`
	Kind      fake.Noise    `help:"Kind of noise." required:""`
	Loops     int           `default:"64"`
	Addresses int           `default:"1"`
	Most      time.Duration `help:"Time limit of the run." default:"60s"`
}

func (n *noiseCommand) Run() error {
	if host, _, err := net.SplitHostPort(n.Addr); err != nil || !net.ParseIP(host).IsLoopback() {
		return &invalidFlag{hint.Annotated{
			Where: n.Addr,
			What:  "not a loopback address",
			Do:    "give an address such as 127.0.0.1:9000",
		}}
	}
	runtime.GOMAXPROCS(1)
	world, err := fake.New(0)
	if err != nil {
		return err
	}
	defer world.Close()
	flood := world.Flood(n.Kind, n.Loops, func(i int) string {
		i %= n.Addresses
		return fmt.Sprintf("127.66.%d.%d", i%10, i/10+1)
	}, n.Addr)
	inputClosed := make(chan struct{})
	go func() { _, _ = io.Copy(io.Discard, os.Stdin); close(inputClosed) }()
	select {
	case <-inputClosed:
	case <-time.After(n.Most):
	}
	fmt.Println(flood.Opened.Load(), flood.Refused.Load(), flood.Got.Load())
	flood.Stop()
	return nil
}

// startNoise runs the noise command until stop is called, which returns its counters.
func startNoise(addr string, row noiseRow, loops int) (stop func() (opened, refused, got int64), err error) {
	if row.kind == fake.NoNoise {
		return func() (int64, int64, int64) { return 0, 0, 0 }, nil
	}
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	cmd := exec.Command(self, "noise", addr, "--kind", string(row.kind),
		"--loops", strconv.Itoa(loops), "--addresses", strconv.Itoa(row.addresses))
	cmd.Stderr = os.Stderr
	in, err := cmd.StdinPipe()
	if err != nil {
		return nil, err
	}
	var out bytes.Buffer
	cmd.Stdout = &out
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	return func() (opened, refused, got int64) {
		_ = in.Close()
		_ = cmd.Wait()
		_, _ = fmt.Fscan(&out, &opened, &refused, &got)
		return opened, refused, got
	}, nil
}

type noiseRow struct {
	name      string
	kind      fake.Noise
	addresses int
	returning bool // the well-behaved clients have been connected before
}

func (a *admissionCommand) Run() error {
	rows := []noiseRow{
		{"none", fake.NoNoise, 1, false},
		{"one opens and closes", fake.OpenClose, 1, false},
		{"one opens and says nothing", fake.OpenSilent, 1, false},
		{"one sends lines without an end", fake.OpenBytes, 1, false},
		{"one opens and keeps what it gets", fake.OpenKeep, 1, false},
		{"one asks, takes its answer and ends", fake.OpenRequest, 1, false},
		{"250 open and say nothing", fake.OpenSilent, 250, true},
		{"250 open and keep what they get", fake.OpenKeep, 250, true},
	}
	dir, err := os.MkdirTemp("", "oatlab-*")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	body, err := edgeconfigcue.Compile(a.Edge)
	if err != nil {
		return err
	}
	// Clients count as known after 300 ms instead of 10 s, which would make the measurement too long.
	body = []byte(strings.Replace(string(body), `"stand_for": "10s"`, `"stand_for": "300ms"`, 1))
	edge := filepath.Join(dir, "edge.json")
	if err := os.WriteFile(edge, body, 0o600); err != nil {
		return err
	}
	fmt.Printf("%d well-behaved clients, %.0f a second, each connected for %v; noise by %d loops\n\n",
		a.Good, a.Rate, a.Stand, a.Loops)
	fmt.Println("| descriptors | admission | noise | good served | p50 | p99 | others of good " +
		"| noise opened, refused, up | balancer CPU | most memory | rules |")
	fmt.Println("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |")
	var errs []error
	for _, n := range a.Descriptors {
		for _, on := range []bool{false, true} {
			if on && a.Off || !on && a.On {
				continue
			}
			for _, r := range rows {
				if !strings.Contains(r.name, a.Only) {
					continue
				}
				if err := a.measure(dir, edge, n, on, r); err != nil {
					errs = append(errs, err)
				}
			}
		}
	}
	return errors.Join(errs...)
}

func (a *admissionCommand) measure(dir, edge string, descriptors int, admissionOn bool, r noiseRow) error {
	w, err := fake.New(4)
	if err != nil {
		return err
	}
	defer w.Close()
	config, addr, err := w.WriteConfig(dir, "n1", "127.8.2.1", fake.Options{Sockets: descriptors, MemoryMB: a.Memory})
	if err != nil {
		return err
	}
	args, state := []string{"--log-level=info"}, "off"
	if admissionOn {
		args, state = append(args, "--edge", edge), "on"
	}
	p, err := w.Start(fake.Launch{Binary: a.Balancer, Config: config, Addr: addr, Descriptors: descriptors, Args: args})
	if err != nil {
		return err
	}
	clients := fake.Customers(a.Good)
	if r.returning {
		// At this rate all of them are admitted, so that each client has been connected once.
		w.Serve(clients, 0.7*float64(descriptors)/4/0.6, 600*time.Millisecond, addr)
	}
	cpu := p.CPU()
	start := time.Now()
	stop, err := startNoise(addr, r, a.Loops)
	if err != nil {
		return err
	}
	time.Sleep(time.Second)
	result := w.Serve(clients, a.Rate, a.Stand, addr)
	elapsed := time.Since(start)
	cpuShare := float64(p.CPU()-cpu) / float64(elapsed)
	_, peak := p.ResidentKB()
	opened, refused, up := stop()
	if a.Counters {
		p.Signal(syscall.SIGTERM)
		_ = p.Over(10 * time.Second)
		fmt.Fprintln(os.Stderr, p.Log())
	}
	violations := w.Violations()
	rules := "kept"
	if violations != "" {
		rules = "BROKEN"
		fmt.Fprint(os.Stderr, violations)
	}
	var others []string
	for what, n := range result.By {
		if what != "UP" {
			others = append(others, fmt.Sprintf("%d %s", n, what))
		}
	}
	if result.Cut > 0 {
		others = append(others, fmt.Sprintf("%d cut", result.Cut))
	}
	fmt.Printf("| %d | %s | %s | %d of %d | %.1f ms | %.1f ms | %s | %d, %d, %d | %.0f%% | %d MB | %s |\n",
		descriptors, state, r.name, result.Served, result.Requested,
		float64(result.Quantile(50))/1e6, float64(result.Quantile(99))/1e6, strings.Join(others, ", "),
		opened, refused, up, 100*cpuShare, peak>>10, rules)
	if err := p.Over(0); !a.Counters && (err == nil || !strings.Contains(err.Error(), "running")) {
		return &failedRun{hint.Annotated{
			Where: r.name,
			What:  "the balancer exited\n" + p.Log(),
			Cause: err,
			Do:    inspectOutput,
		}}
	}
	if violations != "" {
		return &failedRun{hint.Annotated{Where: r.name, What: "a rule was broken", Do: inspectOutput}}
	}
	return nil
}
