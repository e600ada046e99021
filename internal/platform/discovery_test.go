package platform

import (
	"bytes"
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"oatloft/internal/core"
	"oatloft/internal/hint"
	"oatloft/policy"
)

const chunkedHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"

// readResult is what the reader returned for one response: "-" for an empty line, each list, and "!" for each invalid
// entry.
type readResult struct {
	text string
	err  error
}

// readAnswer reads text in pieces of one size, from a buffer that is reused.
func readAnswer(text string, size int) (r readResult) {
	w := WatchReader{ClockStart: time.UnixMilli(1000), OnInvalidEntry: func(err error) { r.text += "!" }}
	buf := make([]byte, size)
	for rest := []byte(text); len(rest) > 0 && r.err == nil; {
		piece := buf[:copy(buf, rest)]
		rest = rest[len(piece):]
		r.err = w.Read(piece, func(l *core.EndpointsListed) {
			if l == nil {
				r.text += "-"
				return
			}
			r.text += fmt.Sprintf("(%d", l.Version)
			for _, g := range l.Endpoints {
				r.text += fmt.Sprintf(" %s:%d", g.ID, g.State)
			}
			for _, id := range l.Malformed {
				r.text += " ?" + id
			}
			r.text += ")"
		})
	}
	return r
}

// checkReading reads a response in pieces of all sizes.
func checkReading(t *testing.T, text, want string, fails bool) {
	t.Helper()
	for size := 1; size <= len(text); size++ {
		if r := readAnswer(text, size); r.text != want || (r.err != nil) != fails {
			t.Fatalf("pieces of %d: %q, %v; want %q", size, r.text, r.err, want)
		}
	}
}

func entry(name, health string) string { return fmt.Sprintf(`{"host":%q,"health":%q}`, name, health) }

// TestInvalidEntryIsSkipped checks that an invalid entry, whatever its fault, does not affect the other entries of its
// list, such as a drain.
func TestInvalidEntryIsSkipped(t *testing.T) {
	good := entry("a", "draining") + "," + entry("b", "gone")
	for bad, named := range map[string]string{
		entry("x", "odd"):                  " ?x",
		entry("x", ""):                     " ?x",
		entry("", "ready"):                 "",
		`{"host":5,"health":"ready"}`:      "",
		`{"host":"x","share":"all"}`:       " ?x",
		`{"share":"all","host":"x"}`:       " ?x",
		`{"host":"x","block":1.5}`:         " ?x",
		`{"host":"x","born_ms":{}}`:        " ?x",
		`{"host":"x","health":["ready"]}`:  " ?x",
		`null`:                             "",
		`17`:                               "",
		`"x"`:                              "",
		`{"host":"x","share":1e999}`:       " ?x",
		`{"host":"x"}`:                     " ?x",
		`{"host":"x","site":7,"dial":"d"}`: " ?x",
	} {
		for _, hosts := range []string{bad + "," + good, good + "," + bad} {
			list := `{"seq":8,"whole":true,"hosts":[` + hosts + "]}"
			want := fmt.Sprintf("!(8 a:%d b:%d%s)-", policy.Draining, policy.Gone, named)
			checkReading(t, chunkedHead+chunk(list+"\n")+chunk("\n"), want, false)
			if _, err := ParseServerList([]byte(list), time.Now()); err == nil {
				t.Errorf("%s: accepted in a configuration", bad)
			}
		}
	}
}

// TestInvalidEntryIsReported checks that the error is one line that names the server or field, and has a hint.
func TestInvalidEntryIsReported(t *testing.T) {
	var reported []string
	w := WatchReader{OnInvalidEntry: func(err error) {
		var invalid *InvalidList
		if !errors.As(err, &invalid) {
			t.Errorf("%T", err)
		}
		reported = append(reported, hint.Line(err))
	}}
	list := `{"seq":8,"hosts":[` + entry("x", "odd") + `,{"host":"y","share":"all"}]}`
	if err := w.Read([]byte("HTTP/1.1 200 OK\r\n\r\n"+list+"\n"),
		func(*core.EndpointsListed) {}); err != nil || len(reported) != 2 {
		t.Fatal(reported, err)
	}
	for i, words := range [][]string{{"server list", `"x"`, `"odd"`, "do: "}, {"server list", "share", "do: "}} {
		for _, word := range words {
			if !strings.Contains(reported[i], word) || strings.Contains(reported[i], "\n") {
				t.Errorf("%q doesn't contain %s", reported[i], word)
			}
		}
	}
}

// TestListEndsWithItsLastBrace checks that a list is delivered at its last brace, since the line end may come much
// later or the response may end before it, and that the line end then does not count as an empty line.
func TestListEndsWithItsLastBrace(t *testing.T) {
	list := `{"seq":8,"hosts":[` + entry("a", "draining") + "]}"
	read := fmt.Sprintf("(8 a:%d)", policy.Draining)
	checkReading(t, chunkedHead+chunk(list), read, false)
	checkReading(t, chunkedHead+chunk(list)+"0\r\n\r\n", read, true)
	checkReading(t, chunkedHead+chunk(list)+chunk("\r\n")+chunk("\n")+chunk(list)+chunk("  ")+chunk("\n")+chunk(list+"\n"),
		read+"-"+read+read, false)
	checkReading(t, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"+list, read, false)
	checkReading(t, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"+list+"\n\n"+list+"\n", read+"-"+read, false)
	checkReading(t, chunkedHead+chunk(list[:len(list)-1])+"0\r\n\r\n", "", true)
}

// TestTransferCodings checks that the transfer codings are parsed as HTTP defines them: several in one field or in
// several, in any case, with parameters. The error for an unexpected coding names it.
func TestTransferCodings(t *testing.T) {
	list := `{"seq":8}` + "\n"
	for _, x := range []struct {
		fields string
		chunks bool
	}{
		{"Transfer-Encoding: identity, Chunked\r\n", true},
		{"transfer-encoding:chunked\r\n", true},
		{"Transfer-Encoding: identity\r\nTransfer-Encoding: chunked;q=1\r\n", true},
		{"Transfer-Encoding: chunked ,\r\n", true},
		{"Connection: close\r\n", false},
		{"Transfer-Encoding: identity\r\n", false},
	} {
		body := list
		if x.chunks {
			body = chunk(list)
		}
		checkReading(t, "HTTP/1.1 200 OK\r\n"+x.fields+"\r\n"+body, "(8)", false)
	}
	for _, fields := range []string{"Transfer-Encoding: gzip, chunked\r\n",
		"Transfer-Encoding: chunked\r\nTransfer-Encoding: br\r\n"} {
		r := readAnswer("HTTP/1.1 200 OK\r\n"+fields+"\r\n"+chunk(list), 4096)
		var no *InvalidWatch
		if !errors.As(r.err, &no) || !strings.Contains(r.err.Error(), "coding") || r.text != "" {
			t.Errorf("%q: %q, %v", fields, r.text, r.err)
		}
	}
}

// TestWatchMemoryIsBounded checks that a head, a line of the chunk framing and a list are limited in memory.
func TestWatchMemoryIsBounded(t *testing.T) {
	endless := map[string][2]string{
		"head":         {"HTTP/1.1 200 OK\r\n", "X-More: yes\r\n"},
		"size":         {chunkedHead, "0"},
		"extension":    {chunkedHead + "5;", "more"},
		"string":       {chunkedHead + "300000\r\n", `{"seq":8,"x":"` + strings.Repeat("y", 500)},
		"list":         {"HTTP/1.1 200 OK\r\n\r\n" + `{"hosts":[`, entry("a", "ready") + ","},
		"indented":     {"HTTP/1.1 200 OK\r\n\r\n" + "{\n\"hosts\":[", entry("a", "ready") + ",\n"},
		"blanks":       {"HTTP/1.1 200 OK\r\n\r\n", "        "},
		"many, nested": {"HTTP/1.1 200 OK\r\n\r\n", "[\n[\n[\n"},
	}
	for name, x := range endless {
		t.Run(name, func(t *testing.T) {
			var w WatchReader
			piece := []byte(strings.Repeat(x[1], 4<<10))
			err := w.Read([]byte(x[0]), func(*core.EndpointsListed) {})
			for read := 0; err == nil; read += len(piece) {
				if buffered := len(w.pending) + len(w.line); buffered > maxListBytes+len(piece) || read > 2*maxListBytes {
					t.Fatalf("%d bytes buffered of %d, and no error", buffered, read)
				}
				err = w.Read(piece, func(*core.EndpointsListed) {})
			}
		})
	}
}

// FuzzWatchReader checks that a response is parsed alike in pieces of any size, and that no input crashes the reader.
func FuzzWatchReader(f *testing.F) {
	list := `{"seq":8,"whole":true,"hosts":[` + entry("a", "draining") + "," + entry("b", "ready") + "]}"
	for _, text := range []string{
		chunkedHead + chunk(list+"\n") + chunk("\n") + "0\r\n\r\n",
		chunkedHead + "A;x=y\r\n{\"seq\":41}\r\n1\r\n\n\r\n",
		"HTTP/1.0 200 OK\r\nConnection: close\r\n\r\n" + list + "\n\n" + list,
		"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n\r\n",
		chunkedHead + chunk("{\n \"seq\": 8,\n\n \"hosts\": [\n  {\"host\": \"}{\\\"\", \"health\": \"gone\"}\n ]\n}\n"),
		chunkedHead + chunk(`{"seq":8,"hosts":[{"host":"a","health":"odd","born_ms":1e300},null]}`),
		chunkedHead + chunk("}\n") + "ffffffffffffffff\r\n",
	} {
		f.Add([]byte(text), uint16(0)) // byte by byte
		f.Add([]byte(text), uint16(7))
	}
	f.Fuzz(func(t *testing.T, text []byte, size uint16) {
		whole := readAnswer(string(text), max(1, len(text)))
		inPieces := readAnswer(string(text), int(size)%max(1, len(text))+1)
		if whole.text != inPieces.text || (whole.err == nil) != (inPieces.err == nil) {
			t.Fatalf("%q, %v in one piece; %q, %v in pieces of %d", whole.text, whole.err, inPieces.text, inPieces.err, size)
		}
		if whole.err != nil && hint.Of(whole.err) == "" {
			t.Fatalf("%T has no hint", whole.err)
		}
		if i := bytes.IndexByte([]byte(whole.text), '('); i >= 0 && !bytes.HasPrefix(text, []byte("HTTP/1.")) {
			t.Fatal("a list without a response")
		}
	})
}
