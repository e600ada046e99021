// Discovery's HTTP: the call for a watch, and its chunked answer read as it comes. This file owns the
// state of one answer and must never hold a list of regions: it hands each list on as it is read.

package platform

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math"
	"strconv"
	"time"

	"oatloft/internal/core"
	"oatloft/internal/failpoint"
	"oatloft/internal/hint"
	"oatloft/policy"
)

// AppendWatch appends the call for all changes after seq, from now on.
func AppendWatch(dst []byte, host string, seq int64) []byte {
	return fmt.Appendf(dst, "GET /registry/instances?watch=1&from=%d HTTP/1.1\r\nHost: %s\r\nAccept: application/json\r\n\r\n", seq, host)
}

type list struct {
	Seq   int64  `json:"seq"`
	Whole bool   `json:"whole"`
	Hosts []host `json:"hosts"`
}

type host struct {
	Host   string  `json:"host"`
	Dial   string  `json:"dial"`
	Site   string  `json:"site"`
	Block  int     `json:"block"`
	Health string  `json:"health"`
	Share  float64 `json:"share"`
	Born   float64 `json:"born_ms"`
}

var states = map[string]policy.ServerState{"ready": policy.Live, "draining": policy.Draining, "gone": policy.Gone}

// ParseList reads one list, in which every entry can be read. Times of start come on the balancer's clock, whose zero
// stands at zero.
func ParseList(body []byte, zero time.Time) (core.EndpointsListed, error) {
	var l list
	if err := json.Unmarshal(body, &l); err != nil {
		return core.EndpointsListed{}, noList(err)
	}
	out := l.listed()
	for _, h := range l.Hosts {
		r, err := h.region(zero)
		if err != nil {
			return core.EndpointsListed{}, err
		}
		out.Endpoints = append(out.Endpoints, r)
	}
	return out, nil
}

// parseReadable reads one list of a watch. An entry that can't be read keeps nobody from the others: unread is told of it.
func parseReadable(body []byte, zero time.Time, unread func(error)) (core.EndpointsListed, error) {
	out, err := ParseList(body, zero)
	if err == nil {
		return out, nil
	}
	var l struct {
		list
		Hosts []json.RawMessage `json:"hosts"`
	}
	if json.Unmarshal(body, &l) != nil { // it isn't an entry that is at fault
		return core.EndpointsListed{}, err
	}
	out = l.listed()
	for _, text := range l.Hosts {
		r, name, err := parseEntry(text, zero)
		if err == nil {
			out.Endpoints = append(out.Endpoints, r)
			continue
		}
		if unread != nil {
			unread(err)
		}
		if name != "" {
			out.Malformed = append(out.Malformed, name)
		}
	}
	return out, nil
}

// parseEntry reads one entry. The name is given also where the rest can't be read.
func parseEntry(text []byte, zero time.Time) (r core.Endpoint, name string, err error) {
	var h host
	if cause := json.Unmarshal(text, &h); cause != nil { // the fields that can be read are set all the same
		return r, h.Host, &Unlisted{hint.Annotated{Where: fmt.Sprintf("list of regions: host %q", h.Host), Cause: cause,
			Do: "mend that entry where discovery has it from"}}
	}
	r, err = h.region(zero)
	return r, h.Host, err
}

func noList(cause error) error {
	return &Unlisted{hint.Annotated{Where: "list of regions", Cause: cause, Do: "see what discovery answers to GET /registry/instances"}}
}

func (l *list) listed() core.EndpointsListed {
	if l.Whole {
		return core.EndpointsListed{Kind: policy.ListFull, Version: l.Seq}
	}
	return core.EndpointsListed{Kind: policy.ListDelta, Version: l.Seq}
}

func (h *host) region(zero time.Time) (core.Endpoint, error) {
	state, ok := states[h.Health]
	if !ok || h.Host == "" {
		return core.Endpoint{}, &Unlisted{hint.Annotated{Where: "list of regions", What: fmt.Sprintf("host %q has health %q", h.Host, h.Health),
			Do: "mend that entry where discovery has it from: health is ready, draining or gone"}}
	}
	started := time.Duration(0)
	if born := h.Born * 1000; born > 0 && born < math.MaxInt64 {
		started = max(0, time.UnixMicro(int64(born)).Sub(zero))
	}
	return core.Endpoint{Address: h.Dial, Server: policy.Server{ID: h.Host, Zone: h.Site,
		Cell: h.Block, State: state, Weight: h.Share, StartedAt: started}}, nil
}

// WatchReader reads a watch's answer piece by piece.
type WatchReader struct {
	Zero    time.Time
	Unread  func(error) // is told of entries that can't be read; may be nil
	buf     []byte      // what is not read yet: of the head, or of the chunks' framing
	line    []byte      // of the body: a list or line that has begun
	handed  bool        // of the body: the list on this line is handed over, its line's end is still to come
	nest    nesting
	head    bool // the head is read
	chunked bool
	left    int // of the chunk being read
	skip    int // of the line end behind it
}

const maxBody = 4 << 20 // no list is longer

// Unlisted is a list of regions that can't be read. The one held stays.
type Unlisted struct{ hint.Annotated }

// NoWatch is an answer of discovery's that is no watch. Discovery is asked again by itself.
type NoWatch struct{ hint.Annotated }

var errWatch error = &NoWatch{hint.Annotated{What: "discovery answered in a form that is no watch", Do: "see that discovery's address is right, and what stands before it"}}

var errEnded error = &NoWatch{hint.Annotated{What: "discovery ended the watch", Do: "see whether discovery restarts, or ends long calls"}}

// Read takes the next piece and hands over what it completes: each list, and nil for an empty line.
// After an error the answer is of no more use.
func (w *WatchReader) Read(data []byte, got func(*core.EndpointsListed)) error {
	w.buf = append(w.buf, data...)
	if !w.head {
		end := bytes.Index(w.buf, []byte("\r\n\r\n"))
		if end < 0 {
			if len(w.buf) > 16<<10 {
				return errWatch
			}
			return nil
		}
		if err := w.readHead(w.buf[:end]); err != nil {
			return err
		}
		w.buf = w.buf[end+4:]
	}
	for len(w.buf) > 0 {
		if !w.chunked {
			if err := w.body(w.buf, got); err != nil {
				return err
			}
			w.buf = nil
			break
		}
		if w.left > 0 {
			n := min(w.left, len(w.buf))
			if err := w.body(w.buf[:n], got); err != nil {
				return err
			}
			w.buf = w.buf[n:]
			if w.left -= n; w.left == 0 {
				w.skip = 2
			}
			continue
		}
		if w.skip > 0 {
			n := min(w.skip, len(w.buf))
			w.skip -= n
			w.buf = w.buf[n:]
			continue
		}
		i := bytes.Index(w.buf, []byte("\r\n"))
		if i < 0 {
			if len(w.buf) > 1024 {
				return errWatch
			}
			break
		}
		text, _, _ := bytes.Cut(w.buf[:i], []byte(";"))
		size, err := strconv.ParseUint(string(bytes.TrimSpace(text)), 16, 32)
		if err != nil || size > maxBody {
			return errWatch
		}
		if size == 0 {
			return errEnded
		}
		w.left = int(size)
		w.buf = w.buf[i+2:]
	}
	w.buf = append([]byte(nil), w.buf...)
	return nil
}

func (w *WatchReader) readHead(head []byte) error {
	lines := bytes.Split(head, []byte("\r\n"))
	parts := bytes.SplitN(lines[0], []byte(" "), 3)
	if len(parts) < 2 || !bytes.HasPrefix(parts[0], []byte("HTTP/1.")) || string(parts[1]) != "200" {
		return &NoWatch{hint.Annotated{What: fmt.Sprintf("discovery answered %q", lines[0]), Do: "look at discovery: it is down, or has too many callers"}}
	}
	for _, line := range lines[1:] {
		name, value, _ := bytes.Cut(line, []byte(":"))
		if bytes.EqualFold(name, []byte("Transfer-Encoding")) {
			if err := w.readCodings(value); err != nil {
				return err
			}
		}
	}
	w.head = true
	return nil
}

// readCodings takes the codings of the body, which may come one by one in several fields. None was asked for but chunked,
// which every caller has to know.
func (w *WatchReader) readCodings(value []byte) error {
	for coding := range bytes.SplitSeq(value, []byte(",")) {
		coding, _, _ = bytes.Cut(coding, []byte(";"))
		switch coding = bytes.ToLower(bytes.TrimSpace(coding)); string(coding) {
		case "chunked":
			w.chunked = true
		case "identity", "":
		default:
			return &NoWatch{hint.Annotated{What: fmt.Sprintf("discovery answered in the coding %q", coding), Do: "have what stands before discovery pass its answers on as they are"}}
		}
	}
	return nil
}

// body takes a piece of the body: one object after the other, each on one line or indented over many, and empty lines
// between them. A list is handed over with its last brace: what ends its line may never come.
func (w *WatchReader) body(data []byte, got func(*core.EndpointsListed)) error {
	for len(data) > 0 {
		part := data
		if i := bytes.IndexByte(data, '\n'); i >= 0 {
			part = data[:i+1]
		}
		n, listEnds := w.nest.read(part)
		part, data = part[:n], data[n:]
		lineEnds := part[n-1] == '\n'
		inside := w.nest.depth > 0 && !w.nest.quoted && !failpoint.On("fit-list") // no string goes over a line's end
		if !listEnds && (!lineEnds || inside) {
			if w.line = append(w.line, part...); len(w.line) > maxBody {
				return errWatch
			}
			continue
		}
		line := part
		if len(w.line) > 0 {
			line = append(w.line, part...)
		}
		w.line = w.line[:0]
		line = bytes.TrimSpace(line)
		handed := w.handed
		w.handed = !lineEnds
		if len(line) == 0 {
			if !handed {
				got(nil)
			}
			continue
		}
		l, err := parseReadable(line, w.Zero, w.Unread)
		if err != nil {
			return err
		}
		got(&l)
	}
	return nil
}

// nesting follows how deep a text stands inside objects and lists, piece by piece.
type nesting struct {
	depth           int
	quoted, escaped bool
}

// read stops behind the brace that closes the outermost object, and tells so.
func (n *nesting) read(text []byte) (read int, closed bool) {
	for i, c := range text {
		switch {
		case n.escaped:
			n.escaped = false
		case n.quoted && c == '\\':
			n.escaped = true
		case c == '"':
			n.quoted = !n.quoted
		case n.quoted:
		case c == '{' || c == '[':
			n.depth++
		case c == '}' || c == ']':
			if n.depth--; n.depth == 0 && c == '}' {
				return i + 1, true
			}
		}
	}
	return len(text), false
}
