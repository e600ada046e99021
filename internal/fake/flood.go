package fake

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Noise is what a noisy address does.
type Noise string

// The kinds of noise.
const (
	Quiet      Noise = "none"
	OpenClose  Noise = "opens and closes"
	OpenSilent Noise = "opens and says nothing"
	OpenKeep   Noise = "opens and keeps what it gets"
	OpenAsk    Noise = "asks, takes its answer and ends"
	OpenBytes  Noise = "sends lines without an end"
)

// Flood runs loops of one kind of noise until it is stopped.
type Flood struct {
	Opened, Refused, Got, Broken atomic.Int64

	stop context.CancelFunc
	wait sync.WaitGroup
}

// Flood starts so many loops against a balancer at addr, from the addresses that from returns in turn. No loop
// goes faster than the balancer answers.
func (w *World) Flood(kind Noise, loops int, from func(i int) string, addr string) *Flood {
	ctx, cancel := context.WithCancel(context.Background())
	f := &Flood{stop: cancel}
	if kind == Quiet {
		return f
	}
	for i := range loops {
		f.wait.Add(1)
		go func() {
			defer f.wait.Done()
			var kept []*Terminal
			defer func() {
				for _, t := range kept {
					t.Break()
				}
			}()
			for n := 0; ctx.Err() == nil; n++ {
				t, err := w.Connect(from(i+n*loops), addr)
				if err != nil {
					f.Broken.Add(1)
					sleep(ctx, time.Millisecond)
					continue
				}
				f.Opened.Add(1)
				if t = f.noise(ctx, kind, t, n); t != nil {
					kept = append(kept, t)
				}
				if len(kept) > 200 { // of each loop; thousands in all
					kept[0].Break()
					kept = kept[1:]
				}
			}
		}()
	}
	return f
}

// noise does one round, and returns the terminal if it is to be kept open.
func (f *Flood) noise(ctx context.Context, kind Noise, t *Terminal, n int) *Terminal {
	switch kind {
	case OpenClose:
	case OpenSilent:
		// Whoever is refused is told so at once, or a little later if it has to make room.
		if a := t.Listen(2 * time.Millisecond); a.What == "none" {
			return t
		}
		f.Refused.Add(1)
	case OpenBytes:
		_ = t.Say(fmt.Sprintf("OPEN %01000d", n))
		if a := t.Listen(2 * time.Millisecond); a.What == "none" {
			return t
		}
		f.Refused.Add(1)
	default:
		if a := t.Open(Ask{Key: fmt.Sprintf("noise%d", n%50)}); a.What == "UP" {
			f.Got.Add(1)
			if kind == OpenKeep {
				return t
			}
		} else {
			f.Refused.Add(1)
		}
	}
	t.Break()
	return nil
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// Stop ends the loops and what they kept.
func (f *Flood) Stop() {
	f.stop()
	f.wait.Wait()
}

// Good is how good terminals fared.
type Good struct {
	Asked, Served int
	By            map[string]int // answers
	Late          *hdrhistogram.Histogram
	Echoes, Moved int
	Cut           int // standing connections that ended before their terminal did
}

// Share is the share that was served.
func (g Good) Share() float64 { return float64(g.Served) / float64(max(1, g.Asked)) }

// Quantile is a quantile of the time from asking to UP.
func (g Good) Quantile(q float64) time.Duration {
	return time.Duration(g.Late.ValueAtQuantile(q)) * time.Microsecond
}

// Customer is a good terminal: an address and what it asks.
type Customer struct {
	From string
	Ask  Ask
}

// Customers makes n of them, each at an address and with a key of its own.
func Customers(n int) (list []Customer) {
	for i := range n {
		list = append(list, Customer{fmt.Sprintf("127.%d.%d.%d", 20+i/200, i%200/10, i%10+1), Ask{Key: fmt.Sprintf("customer%d", i)}})
	}
	return list
}

// Serve has each customer come once, so many a second (0: all at once), ask, and stand for a while, a line every
// 100 ms. It returns when all have ended.
func (w *World) Serve(list []Customer, perSecond float64, stand time.Duration, addr string) Good {
	g := Good{By: map[string]int{}, Late: hdrhistogram.New(1, 60_000_000, 3)}
	var mu sync.Mutex
	var wait sync.WaitGroup
	began := time.Now()
	for i, c := range list {
		if perSecond > 0 {
			time.Sleep(time.Until(began.Add(time.Duration(float64(i) / perSecond * float64(time.Second)))))
		}
		wait.Add(1)
		go func() {
			defer wait.Done()
			t, err := w.Connect(c.From, addr)
			if err != nil {
				mu.Lock()
				g.Asked++
				g.By["no connection"]++
				mu.Unlock()
				return
			}
			defer t.Close()
			a := t.Open(c.Ask)
			mu.Lock()
			g.Asked++
			g.By[a.What]++
			if a.What == "UP" {
				g.Served++
				_ = g.Late.RecordValue(max(1, a.Took.Microseconds()))
			}
			mu.Unlock()
			for until := time.Now().Add(stand); a.What == "UP" && time.Now().Before(until); {
				err := t.Echo(time.Second)
				mu.Lock()
				switch {
				case err == nil:
					g.Echoes++
				case err == ErrMoved:
					g.Moved++
				default:
					g.Cut++
				}
				mu.Unlock()
				if err != nil {
					return
				}
				time.Sleep(min(100*time.Millisecond, max(0, time.Until(until))))
			}
		}()
	}
	wait.Wait()
	return g
}
