package main

import (
	"cmp"
	"fmt"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"oatloft/internal/fake"
	"oatloft/internal/hint"
)

// costCommand measures a balancer's resource use without faults: idle memory, latency of a line and of a connection
// set-up, processor time per line, and throughput. With two executables it runs them alternately.
type costCommand struct {
	Balancer string        `help:"Executable of the balancer." default:"bin/oatloft" type:"path"`
	Against  string        `help:"Executable to compare with, for instance an older build." type:"path"`
	Runs     int           `help:"Runs of each executable." default:"5"`
	Lines    int           `help:"Lines sent to a server and back, one after the other, in a run." default:"20000"`
	Setups   int           `help:"Connections set up one after the other in a run." default:"500"`
	Bulk     time.Duration `help:"Time for which four clients send as fast as they can, in a run." default:"1s"`
	Idle     time.Duration `help:"Time to wait before reading the idle memory." default:"1s"`
	Args     []string      `help:"Further arguments for --balancer, not for --against."`
}

// costSample holds the results of one run: memory in KiB, times in microseconds, throughput in MB per second.
type costSample struct{ idleKB, peakKB, echo50, echo99, setup50, setup99, cpuPerLine, throughput float64 }

func (c *costCommand) Run() error {
	programs := []string{c.Balancer}
	if c.Against != "" {
		programs = append(programs, c.Against)
	}
	samples := make([][]costSample, len(programs))
	for range c.Runs {
		for i, program := range programs {
			args := c.Args
			if i > 0 {
				args = nil
			}
			x, err := c.measure(program, args)
			if err != nil {
				return err
			}
			samples[i] = append(samples[i], x)
		}
	}
	fmt.Printf("%d alternating runs; minimum, median, maximum of the runs\n\n", c.Runs)
	fmt.Println("| program | idle KB | most KB | echo p50 us | echo p99 us " +
		"| set-up p50 us | set-up p99 us | CPU us a line | bulk MB/s |")
	fmt.Println("| --- | --- | --- | --- | --- | --- | --- | --- | --- |")
	for i, program := range programs {
		fmt.Printf("| %s |", program)
		for _, column := range []func(costSample) float64{
			func(x costSample) float64 { return x.idleKB }, func(x costSample) float64 { return x.peakKB },
			func(x costSample) float64 { return x.echo50 }, func(x costSample) float64 { return x.echo99 },
			func(x costSample) float64 { return x.setup50 }, func(x costSample) float64 { return x.setup99 },
			func(x costSample) float64 { return x.cpuPerLine }, func(x costSample) float64 { return x.throughput }} {
			var list []float64
			for _, x := range samples[i] {
				list = append(list, column(x))
			}
			slices.Sort(list)
			fmt.Printf(" %.0f, %.0f, %.0f |", list[0], list[len(list)/2], list[len(list)-1])
		}
		fmt.Println()
	}
	return nil
}

func (c *costCommand) measure(binary string, args []string) (x costSample, err error) {
	w, err := fake.New(4)
	if err != nil {
		return x, err
	}
	defer w.Close()
	dir, err := os.MkdirTemp("", "oatlab-*")
	if err != nil {
		return x, err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	config, addr, err := w.WriteConfig(dir, "n1", "127.8.2.1", fake.Options{Sockets: 512, MemoryMB: 64})
	if err != nil {
		return x, err
	}
	p, err := w.Start(fake.Launch{Binary: binary, Config: config, Addr: addr, Args: args})
	if err != nil {
		return x, err
	}
	time.Sleep(c.Idle)
	idle, _ := p.ResidentKB()
	x.idleKB = float64(idle)
	t, err := w.Connect("", addr)
	if err != nil {
		return x, err
	}
	defer t.Close()
	if a := t.Open(fake.Request{Key: "cost"}); a.What != "UP" {
		return x, &failedRun{hint.Annotated{What: fmt.Sprintf("request not served: %+v", a), Do: inspectOutput}}
	}
	times := make([]time.Duration, 0, c.Lines)
	before := p.CPU()
	for range c.Lines {
		began := time.Now()
		if err := t.Echo(time.Second); err != nil {
			return x, err
		}
		times = append(times, time.Since(began))
	}
	x.cpuPerLine = float64((p.CPU() - before).Microseconds()) / float64(c.Lines)
	x.echo50, x.echo99 = quantiles(times)
	times = times[:0]
	for i := range c.Setups {
		// Different addresses, so that admission, if enabled, does not refuse them.
		t, err := w.Connect(fmt.Sprintf("127.50.%d.%d", i/10%250, i%10+1), addr)
		if err != nil {
			return x, err
		}
		a := t.Open(fake.Request{Key: fmt.Sprint("setup", i)})
		t.Close()
		if a.What != "UP" {
			return x, &failedRun{hint.Annotated{What: fmt.Sprintf("connection %d not served: %+v", i, a), Do: inspectOutput}}
		}
		times = append(times, a.Took)
	}
	x.setup50, x.setup99 = quantiles(times)
	if x.throughput, err = c.measureThroughput(w, addr); err != nil {
		return x, err
	}
	_, peak := p.ResidentKB()
	x.peakKB = float64(peak)
	return x, nil
}

// measureThroughput returns the throughput of clients that send as fast as they can, in MB per second.
func (c *costCommand) measureThroughput(w *fake.World, addr string) (float64, error) {
	const clients, lineBytes = 4, 32 << 10
	if c.Bulk <= 0 {
		return 0, nil
	}
	var received atomic.Int64
	var clientsDone sync.WaitGroup
	defer clientsDone.Wait()
	stop := make(chan struct{})
	defer close(stop)
	for i := range clients {
		t, err := w.Connect(fmt.Sprintf("127.51.0.%d", i+1), addr)
		if err != nil {
			return 0, err
		}
		if a := t.Open(fake.Request{Key: fmt.Sprint("pour", i)}); a.What != "UP" {
			return 0, &failedRun{hint.Annotated{What: fmt.Sprintf("bulk client %d not served: %+v", i, a), Do: inspectOutput}}
		}
		clientsDone.Go(func() { _ = t.Pour(lineBytes, 0, stop, func(n int) { received.Add(int64(n)) }); t.Break() })
	}
	time.Sleep(200 * time.Millisecond)
	before, began := received.Load(), time.Now()
	time.Sleep(c.Bulk)
	return float64(received.Load()-before) / 1e6 / time.Since(began).Seconds(), nil
}

// quantiles sorts list and returns its p50 and p99, in microseconds.
func quantiles(list []time.Duration) (p50, p99 float64) {
	slices.SortFunc(list, cmp.Compare[time.Duration])
	return float64(list[len(list)/2].Nanoseconds()) / 1e3, float64(list[len(list)*99/100].Nanoseconds()) / 1e3
}
