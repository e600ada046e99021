package faultinjection

import (
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"

	"oatloft/internal/rules"
)

// This file records events during a fault run with revisions: the periods in which each process routed requests by each
// revision (the processes log them, by the clock that all of them share), the requests that reached servers, and the
// operators' requests with their answers. The invariants read the record at the end of the run.

// Work is a period in which one process routed new requests by one revision.
type Work struct {
	By      string // the balancer
	Process int    // number among all processes that the run has started
	Number  uint64
	Hash    string
	From    time.Duration // on the clock of the run
	To      time.Duration
	Why     string // reason of its end
}

const unbounded = time.Duration(1 << 62)

// Record holds the events of a fault run.
type Record struct {
	mu       sync.Mutex
	epoch    int64 // start of the run in Unix time, microseconds
	work     []*Work
	open     map[int]*Work
	stopped  map[int]time.Duration // stopped processes, with the time of the stop
	ended    map[int]time.Duration // ended processes, with the time of the end; their log lines may come later
	routed   []rules.Event
	ops      []*Op
	unparsed []string            // log lines that can't be parsed
	logs     map[string]*os.File // by balancer and process, if logs are kept
}

func newRecord(now time.Duration) *Record {
	return &Record{epoch: time.Now().UnixMicro() - now.Microseconds(), open: map[int]*Work{},
		stopped: map[int]time.Duration{}, ended: map[int]time.Duration{}}
}

// keepLogs makes writeLog keep the lines of all processes in a folder.
func (r *Record) keepLogs(folder string) error {
	r.logs = map[string]*os.File{}
	return os.MkdirAll(folder, 0o700)
}

// writeLog writes a line to the log file of its process, if logs are kept.
func (r *Record) writeLog(folder, by string, process int, line string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	name := by + "." + strconv.Itoa(process) + ".log"
	f := r.logs[name]
	if f == nil && r.logs != nil {
		f, _ = os.Create(filepath.Join(folder, name))
		r.logs[name] = f
	}
	if f != nil {
		_, _ = f.WriteString(line + "\n")
	}
}

// closeLogs closes the log files.
func (r *Record) closeLogs() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, f := range r.logs {
		_ = f.Close()
	}
	r.logs = nil
}

// parseLine records one line of a process's log, in slog's text format.
func (r *Record) parseLine(by string, process int, line string) {
	// Balancers of the previous version write "revision at work" and "revision let go": runs that upgrade read both.
	began := strings.Contains(line, `msg="revision active"`) || strings.Contains(line, `msg="revision at work"`)
	if !began && !strings.Contains(line, `msg="revision released"`) && !strings.Contains(line, `msg="revision let go"`) {
		return
	}
	f := fields(line)
	number, err1 := strconv.ParseUint(f["number"], 10, 64)
	micros, err2 := strconv.ParseInt(f["at"], 10, 64)
	r.mu.Lock()
	defer r.mu.Unlock()
	if err1 != nil || err2 != nil {
		r.unparsed = append(r.unparsed, by+" logs "+line)
		return
	}
	at := time.Duration(micros-r.epoch) * time.Microsecond
	w := r.open[process]
	if began {
		if w != nil && w.Number == number {
			return
		}
		r.endWork(process, at, "the next one")
		w = &Work{By: by, Process: process, Number: number, Hash: f["hash"], From: at, To: unbounded}
		r.work, r.open[process] = append(r.work, w), w
		if end, ok := r.ended[process]; ok {
			r.endWork(process, end, "the process ended")
		}
		return
	}
	if w != nil && w.Number == number {
		r.endWork(process, at, f["why"])
	}
}

func (r *Record) endWork(process int, at time.Duration, why string) {
	if w := r.open[process]; w != nil {
		w.To, w.Why = max(w.From, at), why
		delete(r.open, process)
	}
}

// setStopped records that a process is stopped, or continues: one that is killed while stopped did nothing since the
// stop.
func (r *Record) setStopped(process int, at time.Duration, stopped bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if stopped {
		r.stopped[process] = at
	} else {
		delete(r.stopped, process)
	}
}

// isStopped reports whether a process is stopped.
func (r *Record) isStopped(process int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, stopped := r.stopped[process]
	return stopped
}

// endProcess records that a process was killed at a time.
func (r *Record) endProcess(process int, at time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if since, ok := r.stopped[process]; ok {
		at = min(at, since)
	}
	r.ended[process] = at
	r.endWork(process, at, "the process ended")
}

// addRouted records a request that reached a server.
func (r *Record) addRouted(e rules.Event) {
	if e.Kind == rules.Routed {
		r.mu.Lock()
		r.routed = append(r.routed, e)
		r.mu.Unlock()
	}
}

// Works returns all periods of routing so far.
func (r *Record) Works() (list []Work) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, w := range r.work {
		list = append(list, *w)
	}
	return list
}

// fields returns the name=value pairs of a line, with unquoted values.
func fields(line string) map[string]string {
	m := map[string]string{}
	for line != "" {
		name, rest, ok := strings.Cut(line, "=")
		if !ok {
			return m
		}
		name = name[strings.LastIndexByte(name, ' ')+1:]
		if q, err := strconv.QuotedPrefix(rest); err == nil {
			m[name], _ = strconv.Unquote(q)
			line = rest[len(q):]
			continue
		}
		m[name], line, _ = strings.Cut(rest, " ")
	}
	return m
}
