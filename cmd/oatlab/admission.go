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

// admissionTable prints the table of docs/operators/admission.md.
type admissionTable struct {
	Balancer    string        `help:"The balancer's program." default:"bin/oatloft" type:"path"`
	Edge        string        `help:"Settings of admission (CUE)." default:"deploy/edge.cue" type:"path"`
	Descriptors []int         `help:"Limits of descriptors to measure at." default:"512,256"`
	Memory      int           `help:"Limit of memory, in MB." default:"64"`
	Good        int           `help:"Good terminals, each from an address of its own." default:"200"`
	Rate        float64       `help:"Good terminals a second." default:"50"`
	Stand       time.Duration `help:"How long a good terminal stands." default:"500ms"`
	Loops       int           `help:"Loops of noise." default:"64"`
	Only        string        `help:"Rows whose name holds this."`
	Off         bool          `help:"Measure with admission off only."`
	Counters    bool          `help:"Print the balancer's counters behind each row."`
	On          bool          `help:"Measure with admission on only."`
}

// noise is a process of its own, on one core, so that it takes no time from the good terminals and the regions.
type noise struct {
	Addr      string        `arg:"" help:"The balancer's host:port, on loopback."`
	Kind      fake.Noise    `help:"What the noisy do." required:""`
	Loops     int           `default:"64"`
	Addresses int           `default:"1"`
	Most      time.Duration `help:"It ends by itself then." default:"60s"`
}

func (n *noise) Run() error {
	if host, _, err := net.SplitHostPort(n.Addr); err != nil || !net.ParseIP(host).IsLoopback() {
		return &unfit{hint.Annotated{Where: n.Addr, What: "noise is for loopback only", Do: "give an address such as 127.0.0.1:9000"}}
	}
	runtime.GOMAXPROCS(1)
	w, err := fake.New(0)
	if err != nil {
		return err
	}
	defer w.Close()
	f := w.Flood(n.Kind, n.Loops, func(i int) string {
		i %= n.Addresses
		return fmt.Sprintf("127.66.%d.%d", i%10, i/10+1)
	}, n.Addr)
	ended := make(chan struct{})
	go func() { _, _ = io.Copy(io.Discard, os.Stdin); close(ended) }()
	select {
	case <-ended:
	case <-time.After(n.Most):
	}
	fmt.Println(f.Opened.Load(), f.Refused.Load(), f.Got.Load())
	f.Stop()
	return nil
}

// startNoise runs noise until stop is called, which tells what it did.
func startNoise(addr string, r row, loops int) (stop func() (opened, refused, got int64), err error) {
	if r.kind == fake.NoNoise {
		return func() (int64, int64, int64) { return 0, 0, 0 }, nil
	}
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	cmd := exec.Command(self, "noise", addr, "--kind", string(r.kind), "--loops", strconv.Itoa(loops), "--addresses", strconv.Itoa(r.addresses))
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

type row struct {
	name      string
	kind      fake.Noise
	addresses int
	known     bool // the good terminals have stood before
}

func (a *admissionTable) Run() error {
	rows := []row{
		{"none", fake.NoNoise, 1, false},
		{"one opens and closes", fake.OpenClose, 1, false},
		{"one opens and says nothing", fake.OpenSilent, 1, false},
		{"one sends lines without an end", fake.OpenBytes, 1, false},
		{"one opens and keeps what it gets", fake.OpenKeep, 1, false},
		{"one asks, takes its answer and ends", fake.OpenAsk, 1, false},
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
	// A measurement can't wait for 10 s until customers are known.
	body = []byte(strings.Replace(string(body), `"stand_for": "10s"`, `"stand_for": "300ms"`, 1))
	edge := filepath.Join(dir, "edge.json")
	if err := os.WriteFile(edge, body, 0o600); err != nil {
		return err
	}
	fmt.Printf("%d good terminals, %.0f a second, standing for %v; noise by %d loops\n\n", a.Good, a.Rate, a.Stand, a.Loops)
	fmt.Println("| descriptors | admission | noise | good served | p50 | p99 | others of good | noise opened, refused, up | balancer CPU | most memory | rules |")
	fmt.Println("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |")
	var broken []error
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
					broken = append(broken, err)
				}
			}
		}
	}
	return errors.Join(broken...)
}

func (a *admissionTable) measure(dir, edge string, descriptors int, on bool, r row) error {
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
	if on {
		args, state = append(args, "--edge", edge), "on"
	}
	p, err := w.Start(fake.Launch{Binary: a.Balancer, Config: config, Addr: addr, Descriptors: descriptors, Args: args})
	if err != nil {
		return err
	}
	good := fake.Customers(a.Good)
	if r.known {
		// No faster than they all fit in: everybody has stood once before.
		w.Serve(good, 0.7*float64(descriptors)/4/0.6, 600*time.Millisecond, addr)
	}
	cpu := p.CPU()
	began := time.Now()
	stop, err := startNoise(addr, r, a.Loops)
	if err != nil {
		return err
	}
	time.Sleep(time.Second)
	g := w.Serve(good, a.Rate, a.Stand, addr)
	took := time.Since(began)
	busy := float64(p.CPU()-cpu) / float64(took)
	_, most := p.ResidentKB()
	opened, refused, got := stop()
	if a.Counters {
		p.Signal(syscall.SIGTERM)
		_ = p.Over(10 * time.Second)
		fmt.Fprintln(os.Stderr, p.Log())
	}
	verdict := w.Violations()
	rules := "kept"
	if verdict != "" {
		rules = "BROKEN"
		fmt.Fprint(os.Stderr, verdict)
	}
	var others []string
	for what, n := range g.By {
		if what != "UP" {
			others = append(others, fmt.Sprintf("%d %s", n, what))
		}
	}
	if g.Cut > 0 {
		others = append(others, fmt.Sprintf("%d cut", g.Cut))
	}
	fmt.Printf("| %d | %s | %s | %d of %d | %.1f ms | %.1f ms | %s | %d, %d, %d | %.0f%% | %d MB | %s |\n", descriptors, state, r.name, g.Served, g.Asked,
		float64(g.Quantile(50))/1e6, float64(g.Quantile(99))/1e6, strings.Join(others, ", "), opened, refused, got, 100*busy, most>>10, rules)
	if err := p.Over(0); !a.Counters && (err == nil || !strings.Contains(err.Error(), "running")) {
		return &failed{hint.Annotated{Where: r.name, What: "the balancer ended\n" + p.Log(), Cause: err, Do: lookAt}}
	}
	if verdict != "" {
		return &failed{hint.Annotated{Where: r.name, What: "a rule was broken", Do: lookAt}}
	}
	return nil
}
