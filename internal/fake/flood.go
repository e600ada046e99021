package fake

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Noise is a kind of abusive client behaviour.
type Noise string

// The kinds of noise.
const (
	NoNoise     Noise = "none"
	OpenClose   Noise = "opens and closes"
	OpenSilent  Noise = "opens and says nothing"
	OpenKeep    Noise = "opens and keeps what it gets"
	OpenRequest Noise = "asks, takes its answer and ends"
	OpenBytes   Noise = "sends lines without an end"
)

// Flood generates one kind of noise until it is stopped.
type Flood struct {
	Opened, Refused, Got, Failed atomic.Int64

	cancel context.CancelFunc
	loops  sync.WaitGroup
}

// Flood starts the given number of loops that connect to the balancer at addr, from the addresses that addressOf
// returns for increasing indices. A loop is no faster than the balancer's answers.
func (w *World) Flood(kind Noise, loops int, addressOf func(i int) string, addr string) *Flood {
	ctx, cancel := context.WithCancel(context.Background())
	flood := &Flood{cancel: cancel}
	if kind == NoNoise {
		return flood
	}
	for i := range loops {
		flood.loops.Add(1)
		go func() {
			defer flood.loops.Done()
			var open []*Client
			defer func() {
				for _, client := range open {
					client.Break()
				}
			}()
			for n := 0; ctx.Err() == nil; n++ {
				client, err := w.Connect(addressOf(i+n*loops), addr)
				if err != nil {
					flood.Failed.Add(1)
					sleepContext(ctx, time.Millisecond)
					continue
				}
				flood.Opened.Add(1)
				if client = flood.connect(ctx, kind, client, n); client != nil {
					open = append(open, client)
				}
				if len(open) > 200 { // connections per loop; thousands in all
					open[0].Break()
					open = open[1:]
				}
			}
		}()
	}
	return flood
}

// connect runs one round, and returns the client if its connection is to stay open.
func (f *Flood) connect(ctx context.Context, kind Noise, t *Client, n int) *Client {
	switch kind {
	case OpenClose:
	case OpenSilent:
		// A refusal comes at once, or a little later if the connection is closed to free capacity.
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
		if a := t.Open(Request{Key: fmt.Sprintf("noise%d", n%50)}); a.What == "UP" {
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

func sleepContext(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// Stop ends the loops and closes their connections.
func (f *Flood) Stop() {
	f.cancel()
	f.loops.Wait()
}

// ServeResult is the result of World.Serve.
type ServeResult struct {
	Requested, Served int
	By                map[string]int // number of clients by the first word of their answer
	Latency           *hdrhistogram.Histogram
	Echoes, Moved     int
	Cut               int // established connections that the client did not close itself
}

// Share returns the fraction of the requests that was served.
func (g ServeResult) Share() float64 { return float64(g.Served) / float64(max(1, g.Requested)) }

// Quantile returns a quantile (in percent) of the time from the request to UP.
func (g ServeResult) Quantile(q float64) time.Duration {
	return time.Duration(g.Latency.ValueAtQuantile(q)) * time.Microsecond
}

// GoodClient is a well-behaved client: its address and its request.
type GoodClient struct {
	Address string
	Request Request
}

// Customers returns n well-behaved clients, each with its own address and key.
func Customers(n int) (clients []GoodClient) {
	for i := range n {
		clients = append(clients, GoodClient{
			fmt.Sprintf("127.%d.%d.%d", 20+i/200, i%200/10, i%10+1),
			Request{Key: fmt.Sprintf("customer%d", i)},
		})
	}
	return clients
}

// Serve connects each client once, perSecond of them a second (0: all at once). Each sends its request and, if it is
// served, keeps its connection for the time hold and sends a line every 100 ms. Serve returns when all have ended.
func (w *World) Serve(goodClients []GoodClient, perSecond float64, hold time.Duration, addr string) ServeResult {
	result := ServeResult{By: map[string]int{}, Latency: hdrhistogram.New(1, 60_000_000, 3)}
	var mu sync.Mutex
	var clients sync.WaitGroup
	start := time.Now()
	for i, c := range goodClients {
		if perSecond > 0 {
			time.Sleep(time.Until(start.Add(time.Duration(float64(i) / perSecond * float64(time.Second)))))
		}
		clients.Add(1)
		go func() {
			defer clients.Done()
			t, err := w.Connect(c.Address, addr)
			if err != nil {
				mu.Lock()
				result.Requested++
				result.By["no connection"]++
				mu.Unlock()
				return
			}
			defer t.Close()
			a := t.Open(c.Request)
			mu.Lock()
			result.Requested++
			result.By[a.What]++
			if a.What == "UP" {
				result.Served++
				_ = result.Latency.RecordValue(max(1, a.Took.Microseconds()))
			}
			mu.Unlock()
			for until := time.Now().Add(hold); a.What == "UP" && time.Now().Before(until); {
				err := t.Echo(time.Second)
				mu.Lock()
				switch {
				case err == nil:
					result.Echoes++
				case err == ErrMoved:
					result.Moved++
				default:
					result.Cut++
				}
				mu.Unlock()
				if err != nil {
					return
				}
				time.Sleep(min(100*time.Millisecond, max(0, time.Until(until))))
			}
		}()
	}
	clients.Wait()
	return result
}
