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

// This file owns what is noted of a fault run with revisions while it goes on: from when to when each process routed newcomers by
// which revision (the processes say so in their logs, by the clock that all of them share), what came to regions, and what
// operators asked for and were told. It judges nothing: the invariants read it once all is over.

// Work is a time in which one process routed newcomers by one revision.
type Work struct {
	By      string // the balancer
	Process int    // of all that the run has started
	Number  uint64
	Hash    string
	From    time.Duration // of the run's time
	To      time.Duration
	Why     string // it ended
}

const unbounded = time.Duration(1 << 62)

// Record is what was noted.
type Record struct {
	mu     sync.Mutex
	epoch  int64 // the run's begin by the clock of the day, in microseconds
	work   []*Work
	open   map[int]*Work
	stopped  map[int]time.Duration // processes that stand still, since when
	ended  map[int]time.Duration // processes that were ended, when: a line of theirs may come later
	routed []rules.Event
	ops    []*Op
	unparsed    []string            // lines of logs that say what can't be
	logs   map[string]*os.File // by balancer and process, where they are kept
}

func newRecord(now time.Duration) *Record {
	return &Record{epoch: time.Now().UnixMicro() - now.Microseconds(), open: map[int]*Work{}, stopped: map[int]time.Duration{}, ended: map[int]time.Duration{}}
}

// keep has all lines of all processes kept in a folder.
func (r *Record) keepLogs(folder string) error {
	r.logs = map[string]*os.File{}
	return os.MkdirAll(folder, 0o700)
}

// log writes a line to where its process's lines are kept, if they are.
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

// closeLogs ends them.
func (r *Record) closeLogs() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, f := range r.logs {
		_ = f.Close()
	}
	r.logs = nil
}

// line takes one line of a process's log, in slog's text form.
func (r *Record) parseLine(by string, process int, line string) {
	began := strings.Contains(line, `msg="revision at work"`)
	if !began && !strings.Contains(line, `msg="revision let go"`) {
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

// stands notes that a process is made to stand still, or goes on: one that is killed meanwhile did nothing since.
func (r *Record) setStopped(process int, at time.Duration, still bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if still {
		r.stopped[process] = at
	} else {
		delete(r.stopped, process)
	}
}

// isStill tells whether a process stands still.
func (r *Record) isStopped(process int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, still := r.stopped[process]
	return still
}

// over notes that a process is ended by force from that time on.
func (r *Record) endProcess(process int, at time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if since, ok := r.stopped[process]; ok {
		at = min(at, since)
	}
	r.ended[process] = at
	r.endWork(process, at, "the process ended")
}

// saw keeps what a region was asked for.
func (r *Record) addRouted(e rules.Event) {
	if e.Kind == rules.Routed {
		r.mu.Lock()
		r.routed = append(r.routed, e)
		r.mu.Unlock()
	}
}

// Works are all times at work so far.
func (r *Record) Works() (list []Work) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, w := range r.work {
		list = append(list, *w)
	}
	return list
}

// fields are the words name=value of a line, with quotes taken off.
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
