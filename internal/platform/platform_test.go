package platform

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"oatloft/internal/core"
	"oatloft/policy"
)

// TestParseOpen checks that the first line is passed on byte for byte, except for d.
func TestParseOpen(t *testing.T) {
	line := "OPEN 9b1f 7f3a c=chat,t=acme,d=2000,g=5c0f,h=0.25,again=1,mid=1,new=x=y\r\n"
	o, err := ParseOpen([]byte(line))
	if err != nil || o.ID != "9b1f" || o.Key != "7f3a" || o.Class != "chat" || o.Tenant != "acme" || o.Group != "5c0f" ||
		o.Timeout != 2*time.Second || !o.MidFlow || o.EstablishedAt != "" {
		t.Fatalf("%+v %v", o, err)
	}
	if got := string(o.AppendLine(nil, 1987*time.Millisecond)); got != strings.Replace(line, "2000", "1987", 1) {
		t.Fatal(got)
	}
	for _, bad := range []string{"", "OPEN\r\n", "OPEN 1 2\r\n", "OPEN 1 2 c=x\r\n", "OPEN 1 2 d=5\r\n",
		"OPEN 1 2 c=x,d=-5\r\n",
		"OPEN 1 2 c=x,d=5\n", "OPEN 1 2 c=x,d=5,d=6\r\n", "OPEN 1  c=x,d=5\r\n", "OPEN 1 2 c=x,d=5 \r\n",
		"OPEN 1 2 c=x,d=NaN\r\n",
		"OPEN 1 2 c=x,,d=5\r\n", "open 1 2 c=x,d=5\r\n", "OPEN 1 2 c=x\r,d=5\r\n"} {
		if o, err := ParseOpen([]byte(bad)); err == nil {
			t.Errorf("%q passed as %+v", bad, o)
		}
	}
}

// TestParseStats checks that the columns of a load report have their meaning in the bench's wire format, and that
// unknown ones are ignored.
func TestParseStats(t *testing.T) {
	r := ParseStats([]byte("PONG latency_ms=3.5,inflight=7,x0=0.61,new,x1=nan\r\n"))
	if r == nil || *r != (policy.LoadReport{Load: 0.61, Utilization: -1, InFlight: 7, BacklogSeconds: -1}) {
		t.Fatalf("%+v", r)
	}
	if ParseStats([]byte("PONG\r\n")) != nil {
		t.Fatal("a report without data")
	}
}

// TestScan checks that a stream is read alike in pieces of any size: load report lines are no replies, and MOVE counts
// only at its line end.
func TestScan(t *testing.T) {
	text := "one\r\nLOAD 12.5\r\nLOADED\r\n\r\nMOVE\r\nhalf"
	for size := 1; size <= len(text); size++ {
		var s LineScanner
		var sum ScanSummary
		for rest := []byte(text); len(rest) > 0; rest = rest[min(size, len(rest)):] {
			seen := s.Read(rest[:min(size, len(rest))])
			sum.Lines += seen.Lines
			sum.Load, sum.LoadValue = sum.Load || seen.Load, max(sum.LoadValue, seen.LoadValue)
			sum.Last = max(sum.Last, seen.Last)
		}
		if sum != (ScanSummary{Lines: 4, Load: true, LoadValue: 12.5, Last: MoveLine}) || s.BetweenLines() {
			t.Fatalf("pieces of %d: %+v", size, sum)
		}
	}
}

// TestLoadReportLines checks that a load report line yields a number above 0, or 0: truncated, negative and infinite
// numbers are no loads.
func TestLoadReportLines(t *testing.T) {
	for line, want := range map[string]float64{
		"LOAD 12.5": 12.5, "LOAD 1e6": 1e6, "LOAD": 0, "LOAD ": 0, "LOAD -3": 0, "LOAD 0": 0, "LOAD inf": 0, "LOAD nan": 0,
		"LOAD 7 8": 0, "LOAD 1" + strings.Repeat("0", 60): 0,
	} {
		var s LineScanner
		if seen := s.Read([]byte(line + "\r\n")); !seen.Load || seen.LoadValue != want || seen.Lines != 0 {
			t.Errorf("%q: %+v, want %v", line, seen, want)
		}
	}
}

// TestWatchInPieces checks that chunks and lines may end anywhere in the pieces that are read.
func TestWatchInPieces(t *testing.T) {
	clockStart := time.UnixMilli(1000)
	list := `{"seq":43,"whole":true,"hosts":[{"host":"s","dial":"127.1.0.1:9","site":"a","block":3,` +
		`"health":"draining","share":1.5,"born_ms":1250}]}` + "\n"
	text := "HTTP/1.1 200 OK\r\nContent-Type: x\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk("\n") +
		chunk(list[:20]) + chunk(list[20:]+"\r\n") +
		chunk(`{"seq":44,"whole":false,"hosts":[]}`+"\n")
	for size := 1; size <= len(text); size++ {
		w := WatchReader{ClockStart: clockStart}
		var lists []core.EndpointsListed
		empty := 0
		for rest := []byte(text); len(rest) > 0; rest = rest[min(size, len(rest)):] {
			piece := append([]byte(nil), rest[:min(size, len(rest))]...)
			err := w.Read(piece, func(l *core.EndpointsListed) {
				if l == nil {
					empty++
				} else {
					lists = append(lists, *l)
				}
			})
			if err != nil {
				t.Fatalf("pieces of %d: %v", size, err)
			}
			clear(piece) // the buffer is reused
		}
		want := core.Endpoint{Address: "127.1.0.1:9", Server: policy.Server{ID: "s",
			Zone: "a", Cell: 3, State: policy.Draining,
			Weight: 1.5, StartedAt: 250 * time.Millisecond}}
		if len(lists) != 2 || empty != 2 || lists[0].Kind != policy.ListFull || lists[0].Version != 43 ||
			lists[0].Endpoints[0] != want || lists[1].Kind != policy.ListDelta {
			t.Fatalf("pieces of %d: %d empty, %+v", size, empty, lists)
		}
	}
}

// TestWatchIndented checks that lists may be indented over several lines: a list ends with its object, and an empty
// line inside one is not an empty line of the watch.
func TestWatchIndented(t *testing.T) {
	one := "{\n  \"seq\": 43,\r\n\t\"whole\": true,\n\n  \"hosts\": [\n    " +
		"{\"host\": \"s}{\", \"dial\": \"127.1.0.1:9\", \"site\": \"a\\\"]{\",\n" +
		"     \"health\": \"ready\", \"share\": 1,\n     \"born_ms\": 0}\n  ]\n}\n"
	text := "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk(one) + chunk("\n") +
		chunk(one+"  {\"seq\":44}\n") + chunk("\n")
	for size := 1; size <= len(text); size++ {
		var w WatchReader
		got := ""
		for rest := []byte(text); len(rest) > 0; rest = rest[min(size, len(rest)):] {
			err := w.Read(append([]byte(nil), rest[:min(size, len(rest))]...), func(l *core.EndpointsListed) {
				if l == nil {
					got += "-"
				} else {
					got += fmt.Sprint(l.Version, len(l.Endpoints), " ")
				}
			})
			if err != nil {
				t.Fatalf("pieces of %d: %v", size, err)
			}
		}
		if got != "43 1 -43 1 44 0 -" {
			t.Fatalf("pieces of %d: %s", size, got)
		}
	}
}

func chunk(s string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(s), s) }

// TestWatchRejectsOtherAnswers checks that a response that is not a watch ends in an error and never in a crash.
func TestWatchRejectsOtherAnswers(t *testing.T) {
	head := "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	for _, text := range []string{"HTTP/1.1 503 No\r\n\r\n", "garbage\r\n\r\n",
		head + "0\r\n\r\n", head + "zz\r\n", head + "-1\r\n",
		head + "ffffffff\r\n", head + chunk("{]\n"), head + chunk(`{"hosts":{"host":"s","health":"odd"}}`+"\n"),
		strings.Repeat("x", 20<<10)} {
		var w WatchReader
		if err := w.Read([]byte(text), func(*core.EndpointsListed) {}); err == nil {
			t.Errorf("%.60q passed", text)
		}
	}
}
