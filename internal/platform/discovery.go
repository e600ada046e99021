// Discovery over HTTP: the watch request, and the reader of its chunked response. The reader keeps the state of one
// response only and passes each server list on as soon as it is complete.

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

// AppendWatch appends the request for all changes after seq.
func AppendWatch(dst []byte, host string, seq int64) []byte {
	return fmt.Appendf(dst,
		"GET /registry/instances?watch=1&from=%d HTTP/1.1\r\nHost: %s\r\nAccept: application/json\r\n\r\n", seq, host)
}

// serverList is one list in a watch response.
type serverList struct {
	Seq   int64       `json:"seq"`
	Whole bool        `json:"whole"`
	Hosts []listEntry `json:"hosts"`
}

// listEntry is one server of a list.
type listEntry struct {
	Host       string  `json:"host"`
	Dial       string  `json:"dial"`
	Site       string  `json:"site"`
	Block      int     `json:"block"`
	Health     string  `json:"health"`
	Share      float64 `json:"share"`
	BornMillis float64 `json:"born_ms"`
}

// serverStates maps the health values of an entry.
var serverStates = map[string]policy.ServerState{"ready": policy.Live, "draining": policy.Draining, "gone": policy.Gone}

// ParseServerList parses a list and fails if any entry is invalid. Start times are relative to clockStart, the zero of
// the balancer's clock.
func ParseServerList(body []byte, clockStart time.Time) (core.EndpointsListed, error) {
	var l serverList
	if err := json.Unmarshal(body, &l); err != nil {
		return core.EndpointsListed{}, invalidList(err)
	}
	out := l.event()
	for _, entry := range l.Hosts {
		endpoint, err := entry.endpoint(clockStart)
		if err != nil {
			return core.EndpointsListed{}, err
		}
		out.Endpoints = append(out.Endpoints, endpoint)
	}
	return out, nil
}

// parseTolerant parses one list of a watch. It skips invalid entries and passes an error for each to reportInvalid, so
// that one bad entry does not keep the others from being used.
func parseTolerant(body []byte, clockStart time.Time, reportInvalid func(error)) (core.EndpointsListed, error) {
	out, err := ParseServerList(body, clockStart)
	if err == nil {
		return out, nil
	}
	var l struct {
		serverList
		Hosts []json.RawMessage `json:"hosts"`
	}
	if json.Unmarshal(body, &l) != nil { // the fault is not in an entry
		return core.EndpointsListed{}, err
	}
	out = l.event()
	for _, text := range l.Hosts {
		endpoint, name, err := parseEntry(text, clockStart)
		if err == nil {
			out.Endpoints = append(out.Endpoints, endpoint)
			continue
		}
		if reportInvalid != nil {
			reportInvalid(err)
		}
		if name != "" {
			out.Malformed = append(out.Malformed, name)
		}
	}
	return out, nil
}

// parseEntry parses one entry. It returns the name even if the rest is invalid.
func parseEntry(text []byte, clockStart time.Time) (endpoint core.Endpoint, name string, err error) {
	var e listEntry
	if cause := json.Unmarshal(text, &e); cause != nil { // valid fields are set nevertheless
		return endpoint, e.Host, &InvalidList{hint.Annotated{Where: fmt.Sprintf("server list: host %q", e.Host), Cause: cause,
			Do: "correct that entry in discovery's source"}}
	}
	endpoint, err = e.endpoint(clockStart)
	return endpoint, e.Host, err
}

// invalidList returns the error for a list that cannot be parsed as a whole.
func invalidList(cause error) error {
	return &InvalidList{hint.Annotated{Where: "server list", Cause: cause,
		Do: "check what discovery answers to GET /registry/instances"}}
}

// event returns the core's event for the list, without its servers.
func (l *serverList) event() core.EndpointsListed {
	if l.Whole {
		return core.EndpointsListed{Kind: policy.ListFull, Version: l.Seq}
	}
	return core.EndpointsListed{Kind: policy.ListDelta, Version: l.Seq}
}

// endpoint returns the core's form of an entry.
func (e *listEntry) endpoint(clockStart time.Time) (core.Endpoint, error) {
	state, ok := serverStates[e.Health]
	if !ok || e.Host == "" {
		return core.Endpoint{}, &InvalidList{hint.Annotated{Where: "server list",
			What: fmt.Sprintf("host %q has health %q", e.Host, e.Health),
			Do:   "correct that entry in discovery's source: health is ready, draining or gone"}}
	}
	started := time.Duration(0)
	if micros := e.BornMillis * 1000; micros > 0 && micros < math.MaxInt64 {
		started = max(0, time.UnixMicro(int64(micros)).Sub(clockStart))
	}
	return core.Endpoint{Address: e.Dial, Server: policy.Server{ID: e.Host, Zone: e.Site,
		Cell: e.Block, State: state, Weight: e.Share, StartedAt: started}}, nil
}

// WatchReader parses the response to a watch as it arrives in pieces.
type WatchReader struct {
	ClockStart     time.Time   // zero of the balancer's clock
	OnInvalidEntry func(error) // called with the error of each invalid entry; may be nil
	pending        []byte      // data not parsed yet: of the head, or of the chunk framing
	line           []byte      // incomplete list or line of the body
	delivered      bool        // the list on this line is delivered, and the end of the line has not arrived yet
	nesting        nesting
	headRead       bool // the head is complete
	chunked        bool
	chunkLeft      int // bytes of the current chunk still to read
	skipBytes      int // bytes still to skip of the line end behind the chunk
}

const maxListBytes = 4 << 20 // longest list, and longest chunk

// InvalidList is a server list, or an entry of one, that cannot be parsed. The previous list stays in use.
type InvalidList struct{ hint.Annotated }

// InvalidWatch is a response that is not a valid watch. The balancer asks discovery again on its own.
type InvalidWatch struct{ hint.Annotated }

var errNotWatch error = &InvalidWatch{hint.Annotated{
	What: "discovery's response is not a watch", Do: "check discovery's address, and any proxy in front of it"}}

var errWatchEnded error = &InvalidWatch{hint.Annotated{
	What: "discovery ended the watch", Do: "check whether discovery restarts, or ends long requests"}}

// Read parses the next piece and calls deliver for what it completes: with each list, and with nil for an empty line.
// The reader cannot be used after an error.
func (w *WatchReader) Read(data []byte, deliver func(*core.EndpointsListed)) error {
	w.pending = append(w.pending, data...)
	if !w.headRead {
		end := bytes.Index(w.pending, []byte("\r\n\r\n"))
		if end < 0 {
			if len(w.pending) > 16<<10 {
				return errNotWatch
			}
			return nil
		}
		if err := w.readHead(w.pending[:end]); err != nil {
			return err
		}
		w.pending = w.pending[end+4:]
	}
	for len(w.pending) > 0 {
		if !w.chunked {
			if err := w.readBody(w.pending, deliver); err != nil {
				return err
			}
			w.pending = nil
			break
		}
		if w.chunkLeft > 0 {
			n := min(w.chunkLeft, len(w.pending))
			if err := w.readBody(w.pending[:n], deliver); err != nil {
				return err
			}
			w.pending = w.pending[n:]
			if w.chunkLeft -= n; w.chunkLeft == 0 {
				w.skipBytes = 2
			}
			continue
		}
		if w.skipBytes > 0 {
			n := min(w.skipBytes, len(w.pending))
			w.skipBytes -= n
			w.pending = w.pending[n:]
			continue
		}
		i := bytes.Index(w.pending, []byte("\r\n"))
		if i < 0 {
			if len(w.pending) > 1024 {
				return errNotWatch
			}
			break
		}
		text, _, _ := bytes.Cut(w.pending[:i], []byte(";"))
		size, err := strconv.ParseUint(string(bytes.TrimSpace(text)), 16, 32)
		if err != nil || size > maxListBytes {
			return errNotWatch
		}
		if size == 0 {
			return errWatchEnded
		}
		w.chunkLeft = int(size)
		w.pending = w.pending[i+2:]
	}
	w.pending = append([]byte(nil), w.pending...)
	return nil
}

// readHead parses the status line and the header fields.
func (w *WatchReader) readHead(head []byte) error {
	lines := bytes.Split(head, []byte("\r\n"))
	parts := bytes.SplitN(lines[0], []byte(" "), 3)
	if len(parts) < 2 || !bytes.HasPrefix(parts[0], []byte("HTTP/1.")) || string(parts[1]) != "200" {
		return &InvalidWatch{hint.Annotated{What: fmt.Sprintf("discovery answered %q", lines[0]),
			Do: "check discovery: it is down or overloaded"}}
	}
	for _, line := range lines[1:] {
		name, value, _ := bytes.Cut(line, []byte(":"))
		if bytes.EqualFold(name, []byte("Transfer-Encoding")) {
			if err := w.readCodings(value); err != nil {
				return err
			}
		}
	}
	w.headRead = true
	return nil
}

// readCodings parses the transfer codings of the body, which may be spread over several header fields. The request
// asked for none but chunked, which every HTTP/1.1 client must understand.
func (w *WatchReader) readCodings(value []byte) error {
	for coding := range bytes.SplitSeq(value, []byte(",")) {
		coding, _, _ = bytes.Cut(coding, []byte(";"))
		switch coding = bytes.ToLower(bytes.TrimSpace(coding)); string(coding) {
		case "chunked":
			w.chunked = true
		case "identity", "":
		default:
			return &InvalidWatch{hint.Annotated{What: fmt.Sprintf("discovery used the transfer coding %q", coding),
				Do: "have the proxy in front of discovery pass its responses on unchanged"}}
		}
	}
	return nil
}

// readBody parses a piece of the body: objects, each on one line or indented over several, with empty lines between
// them. A list is delivered at its last brace, since the end of its line may never arrive.
func (w *WatchReader) readBody(data []byte, deliver func(*core.EndpointsListed)) error {
	for len(data) > 0 {
		part := data
		if i := bytes.IndexByte(data, '\n'); i >= 0 {
			part = data[:i+1]
		}
		n, listEnds := w.nesting.advance(part)
		part, data = part[:n], data[n:]
		lineEnds := part[n-1] == '\n'
		insideList := w.nesting.depth > 0 && !w.nesting.quoted && !failpoint.On("fit-list") // strings end with their line
		if !listEnds && (!lineEnds || insideList) {
			if w.line = append(w.line, part...); len(w.line) > maxListBytes {
				return errNotWatch
			}
			continue
		}
		line := part
		if len(w.line) > 0 {
			line = append(w.line, part...)
		}
		w.line = w.line[:0]
		line = bytes.TrimSpace(line)
		delivered := w.delivered
		w.delivered = !lineEnds
		if len(line) == 0 {
			if !delivered {
				deliver(nil)
			}
			continue
		}
		l, err := parseTolerant(line, w.ClockStart, w.OnInvalidEntry)
		if err != nil {
			return err
		}
		deliver(&l)
	}
	return nil
}

// nesting tracks the depth of objects and arrays in a text that arrives in pieces.
type nesting struct {
	depth           int
	quoted, escaped bool
}

// advance reads text up to the brace that closes the outermost object. It returns the number of bytes read, and whether
// it found that brace.
func (state *nesting) advance(text []byte) (n int, closed bool) {
	for i, c := range text {
		switch {
		case state.escaped:
			state.escaped = false
		case state.quoted && c == '\\':
			state.escaped = true
		case c == '"':
			state.quoted = !state.quoted
		case state.quoted:
		case c == '{' || c == '[':
			state.depth++
		case c == '}' || c == ']':
			if state.depth--; state.depth == 0 && c == '}' {
				return i + 1, true
			}
		}
	}
	return len(text), false
}
