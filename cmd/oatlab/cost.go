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

// cost measures what a balancer costs while nothing is wrong: idle memory, the time of a line, of a set-up, and of the
// processor, and the bytes that it passes at full tilt. Given two programs it runs them in turns.
type cost struct {
	Balancer string        `help:"The balancer's program." default:"bin/oatloft" type:"path"`
	Against  string        `help:"Another program, for instance an older build." type:"path"`
	Runs     int           `help:"Runs of each." default:"5"`
	Lines    int           `help:"Lines that go to a region and back, one after the other, in a run." default:"20000"`
	Setups   int           `help:"Set-ups one after the other in a run." default:"500"`
	Bulk     time.Duration `help:"Time for which four terminals send as fast as they can, in a run." default:"1s"`
	Idle     time.Duration `help:"Time before idle memory is read." default:"1s"`
	Args     []string      `help:"Further arguments for the balancer, not for the other one."`
}

type costs struct{ idleKB, mostKB, echo50, echo99, setup50, setup99, cpu, bulk float64 }

func (c *cost) Run() error {
	programs := []string{c.Balancer}
	if c.Against != "" {
		programs = append(programs, c.Against)
	}
	got := make([][]costs, len(programs))
	for range c.Runs {
		for i, p := range programs {
			args := c.Args
			if i > 0 {
				args = nil
			}
			x, err := c.once(p, args)
			if err != nil {
				return err
			}
			got[i] = append(got[i], x)
		}
	}
	fmt.Printf("%d runs in turns; least, median, most of the runs\n\n", c.Runs)
	fmt.Println("| program | idle KB | most KB | echo p50 us | echo p99 us | set-up p50 us | set-up p99 us | CPU us a line | bulk MB/s |")
	fmt.Println("| --- | --- | --- | --- | --- | --- | --- | --- | --- |")
	for i, p := range programs {
		fmt.Printf("| %s |", p)
		for _, of := range []func(costs) float64{func(x costs) float64 { return x.idleKB }, func(x costs) float64 { return x.mostKB },
			func(x costs) float64 { return x.echo50 }, func(x costs) float64 { return x.echo99 }, func(x costs) float64 { return x.setup50 },
			func(x costs) float64 { return x.setup99 }, func(x costs) float64 { return x.cpu },
			func(x costs) float64 { return x.bulk }} {
			var list []float64
			for _, x := range got[i] {
				list = append(list, of(x))
			}
			slices.Sort(list)
			fmt.Printf(" %.0f, %.0f, %.0f |", list[0], list[len(list)/2], list[len(list)-1])
		}
		fmt.Println()
	}
	return nil
}

func (c *cost) once(binary string, args []string) (x costs, err error) {
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
	if a := t.Open(fake.Ask{Key: "cost"}); a.What != "UP" {
		return x, &failed{hint.Annotated{What: fmt.Sprintf("not served: %+v", a), Do: lookAt}}
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
	x.cpu = float64((p.CPU() - before).Microseconds()) / float64(c.Lines)
	x.echo50, x.echo99 = quantiles(times)
	times = times[:0]
	for i := range c.Setups {
		t, err := w.Connect(fmt.Sprintf("127.50.%d.%d", i/10%250, i%10+1), addr) // admission, where it is on, has nothing against these
		if err != nil {
			return x, err
		}
		a := t.Open(fake.Ask{Key: fmt.Sprint("setup", i)})
		t.Close()
		if a.What != "UP" {
			return x, &failed{hint.Annotated{What: fmt.Sprintf("set-up %d: %+v", i, a), Do: lookAt}}
		}
		times = append(times, a.Took)
	}
	x.setup50, x.setup99 = quantiles(times)
	if x.bulk, err = c.pour(w, addr); err != nil {
		return x, err
	}
	_, most := p.ResidentKB()
	x.mostKB = float64(most)
	return x, nil
}

// pour is what comes back to terminals that send as fast as they can, in MB a second.
func (c *cost) pour(w *fake.World, addr string) (float64, error) {
	const terminals, piece = 4, 32 << 10
	if c.Bulk <= 0 {
		return 0, nil
	}
	var sum atomic.Int64
	var all sync.WaitGroup
	defer all.Wait()
	stop := make(chan struct{})
	defer close(stop)
	for i := range terminals {
		t, err := w.Connect(fmt.Sprintf("127.51.0.%d", i+1), addr)
		if err != nil {
			return 0, err
		}
		if a := t.Open(fake.Ask{Key: fmt.Sprint("pour", i)}); a.What != "UP" {
			return 0, &failed{hint.Annotated{What: fmt.Sprintf("bulk terminal %d: %+v", i, a), Do: lookAt}}
		}
		all.Go(func() { _ = t.Pour(piece, 0, stop, func(n int) { sum.Add(int64(n)) }); t.Break() })
	}
	time.Sleep(200 * time.Millisecond)
	was, began := sum.Load(), time.Now()
	time.Sleep(c.Bulk)
	return float64(sum.Load()-was) / 1e6 / time.Since(began).Seconds(), nil
}

// quantiles are p50 and p99 in microseconds.
func quantiles(list []time.Duration) (p50, p99 float64) {
	slices.SortFunc(list, cmp.Compare[time.Duration])
	return float64(list[len(list)/2].Nanoseconds()) / 1e3, float64(list[len(list)*99/100].Nanoseconds()) / 1e3
}
