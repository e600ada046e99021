package platform

import (
	"bytes"
	"strings"
	"testing"
	"time"
)

// pieces cuts data into pieces with lengths from cuts; the rest is one piece.
func pieces(data, cuts []byte) (list [][]byte) {
	for _, c := range cuts {
		n := min(int(c)+1, len(data))
		if n == 0 {
			break
		}
		list, data = append(list, data[:n]), data[n:]
	}
	if len(data) > 0 {
		list = append(list, data)
	}
	return list
}

// FuzzParseOpen checks that an accepted first line is passed on unchanged except for the time left, does not grow, and
// is parsed to the same values again. Any other line is an error, and no line crashes the parser.
func FuzzParseOpen(f *testing.F) {
	for _, line := range []string{"OPEN 9b1f 7f3a c=chat,t=acme,d=2000,g=5c0f,h=0.25,again=1,mid=1,new=x=y\r\n",
		"OPEN 1 2 d=0005,c=x\r\n",
		"OPEN 1 2 c=x,d=.5\r\n", "OPEN 1 2 c=x,d=5.\r\n", "OPEN 1 2 c=x,d=4294967.29,at=s\r\n", "OPEN 1 2 c=x,d=5\n",
		"OPEN 1 2 c=x,d=5\r\r\n", "", "\r\n"} {
		f.Add([]byte(line), int64(1987))
	}
	f.Fuzz(func(t *testing.T, line []byte, left int64) {
		before := bytes.Clone(line)
		o, err := ParseOpen(line)
		if !bytes.Equal(before, line) {
			t.Fatal("the line was changed")
		}
		if err != nil {
			return
		}
		if !bytes.HasSuffix(line, []byte("\r\n")) || bytes.IndexByte(line, '\n') != len(line)-1 ||
			o.ID == "" || o.Key == "" || o.Class == "" {
			t.Fatalf("%q passed as %+v", line, o)
		}
		if o.Timeout < 0 || o.Timeout > maxTimeout {
			t.Fatalf("%q has the timeout %v", line, o.Timeout)
		}
		out := o.AppendLine(nil, min(o.Timeout, time.Duration(left)))
		if len(out) > len(line) {
			t.Fatalf("%q became longer: %q", line, out)
		}
		again, err := ParseOpen(out)
		if err != nil || again.Timeout > o.Timeout {
			t.Fatalf("%q became %q: %v, %v", line, out, again.Timeout, err)
		}
		again.Timeout = o.Timeout
		if again.Request != o.Request || again.EstablishedAt != o.EstablishedAt {
			t.Fatalf("%q became %q", line, out)
		}
	})
}

// FuzzServerLine checks that a server's answer is read alike in pieces of any size, and that at most a line is
// buffered.
func FuzzServerLine(f *testing.F) {
	long := strings.Repeat("x", MaxLine)
	for _, text := range []string{"UP 1\r\n", "UP 1\r\nLOAD 3\r\nrest", "UP\r\n", "UP \r\n", "UP 1\n", "UP\x001\r\n",
		"up 1\r\n", "\r\n", "BUSY 5\r\nUP 1\r\n",
		"BYE inflight=7\r\n", "MOVE\r\n", "ERR", "SYNTAX\r\n", "PONG x0=1\r\n", "UP " + long[:MaxLine-5] + "\r\n",
		"UP " + long[:MaxLine-4] + "\r\n", long} {
		f.Add([]byte(text), []byte{0, 1, 2, 200})
		f.Add([]byte(text), []byte{})
	}
	f.Fuzz(func(t *testing.T, text, cuts []byte) {
		wantEnd := bytes.IndexByte(text, '\n') + 1
		wantDone := wantEnd > 0 || len(text) >= MaxLine
		if wantEnd > MaxLine {
			wantEnd = 0
		}
		var r LineReader
		for i, piece := range pieces(text, cuts) {
			all, first, done := r.Read(bytes.Clone(piece))
			if len(r.partial) >= MaxLine {
				t.Fatal(len(r.partial), "bytes are buffered")
			}
			if !done {
				continue
			}
			if first != wantEnd || !bytes.HasPrefix(text, all) {
				t.Fatalf("%q in pieces: piece %d ended it with a line of %d bytes, want %d", text, i, first, wantEnd)
			}
			if word := AnswerKind(all[:first]); word != AnswerKind(text[:wantEnd]) || first == 0 && word != OtherLine {
				t.Fatalf("%q in pieces: %v", text, word)
			} else if word == Up && (first < len("UP 1\r\n") || !bytes.HasSuffix(all[:first], []byte("\r\n"))) {
				t.Fatalf("%q is accepted as UP", all[:first])
			}
			return
		}
		if wantDone {
			t.Fatalf("%q in pieces was never complete", text)
		}
	})
}

// FuzzScan checks that a stream behind UP is read in pieces of any size as its whole lines are.
func FuzzScan(f *testing.F) {
	for _, text := range []string{"one\r\nLOAD 12.5\r\nLOADED\r\n\r\nMOVE\r\nhalf",
		"BYE\r\r\r\r\r\r\r\r\r\r\r\r\r\r\r\r\r\r\r\r\r\r\r\r\r\r\r\r\r\r\r\r\rx\r\n",
		"BYE inflight=7,queue=2,util=0.61,more=123456\r\n", "BYE\r\nmore\r\n", "BYE\r\nLOAD 1\r\n",
		"LOAD 1234567890123456789012345678901\r\n",
		"LOAD 123456789012345678901234567\r\n", "\n\n\nMOVE\n", "LOAD 0x1p4\r\n"} {
		f.Add([]byte(text), []byte{0, 0, 3, 31, 30})
	}
	f.Fuzz(func(t *testing.T, text, cuts []byte) {
		var want ScanSummary
		lines := bytes.Split(text, []byte("\n"))
		for _, line := range lines[:len(lines)-1] {
			switch w := KindOf(line); w {
			case Load:
				want.Load, want.LoadValue = true, 0
				if len(line) < 32 {
					want.LoadValue = parseLoad(line)
				}
			case Bye, MoveLine:
				want.Lines++
				want.Last = w
			default:
				want.Lines++
				want.Last = OtherLine
			}
		}
		var s LineScanner
		var got ScanSummary
		for _, piece := range pieces(text, cuts) {
			seen := s.Read(piece)
			if seen.Lines > 0 {
				got.Last = seen.Last
			}
			if got.Lines += seen.Lines; seen.Load {
				got.Load, got.LoadValue = true, seen.LoadValue
			}
		}
		if got != want || s.BetweenLines() != (len(lines[len(lines)-1]) == 0) {
			t.Fatalf("%q in pieces: %+v, want %+v", text, got, want)
		}
	})
}
