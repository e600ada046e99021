package main

import (
	"bufio"
	"cmp"
	"fmt"
	"io"
	"maps"
	"math"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"

	"oatloft/internal/hint"
)

// fleet counts over the traces of many balancers at once (serve --log-level debug, one file each): what is harmless
// from one of them shows only in the sum. It must never take a line that is cut off for one that counts.
type fleetCommand struct {
	Logs   string `arg:"" help:"Folder with one trace a balancer (*.log)." type:"existingdir"`
	Region bool   `help:"Also print set-ups begun and the mean reported load, by region and second."`
	Why    bool   `help:"Also print, by second and class, what was asked, placed and refused, why, and which regions had room."`
}

// columns are what is counted, in the order printed.
var columns = []string{"opened", "mid-flow", "dial", "up", "refused", "full", "error", "reset", "short", "failed", "move",
	"probe", "probe-dials", "probe-fails", "watch", "listed"}

// ends names the columns of a routed task's endings, by core.Ending.
var ends = map[string]string{"1": "reset", "2": "refused", "3": "full", "4": "error"}

type counts struct {
	first   int64 // microseconds; -1 until a line has come
	seconds map[int64]map[string]int
	dials   map[string]map[int64]int
	loads   map[string]map[int64][]float64
	lines   []told // what the second look needs, of all balancers
	files   int
}

// told is one line of one balancer.
type told struct {
	us   int64
	from int // which balancer
	kind string
	v    map[string]string
}

// traced is one line: what it tells, its values by name, and its time.
func traced(line string) (kind string, values map[string]string, us int64, ok bool) {
	values = map[string]string{}
	for _, field := range strings.Fields(line) {
		if name, value, found := strings.Cut(field, "="); found {
			values[name] = value
		}
	}
	us, err := strconv.ParseInt(values["us"], 10, 64) // last on its line: a cut one has none, or too short a one
	return values["msg"], values, us, err == nil && us > 1e15
}

func (c *counts) read(r io.Reader) error {
	c.files++
	in := bufio.NewScanner(r)
	in.Buffer(nil, 1<<20)
	for in.Scan() {
		kind, v, us, ok := traced(in.Text())
		if !ok {
			continue
		}
		at := us / 1e6
		if c.seconds[at] == nil {
			c.seconds[at] = map[string]int{}
		}
		if c.first < 0 || at < c.first {
			c.first = at
		}
		n := c.seconds[at]
		c.lines = append(c.lines, told{us, c.files, kind, v})
		switch kind {
		case "opened":
			if n["opened"]++; v["mid"] == "true" {
				n["mid-flow"]++
			}
		case "dial":
			n["dial"]++
			add(c.dials, v["region"], at, 1)
		case "task-ended":
			n[ends[v["how"]]]++
		case "answer":
			if v["short"] == "true" {
				n["short"]++
			} else {
				n["failed"]++
			}
		case "probe":
			if n["probe"]++; v["dials"] == "true" {
				n["probe-dials"]++
			}
		case "probed":
			x, err := strconv.ParseFloat(v["x"], 64)
			if v["result"] != "0" || err != nil {
				n["probe-fails"]++
			} else if c.loads[v["region"]] == nil {
				c.loads[v["region"]] = map[int64][]float64{at: {x}}
			} else {
				c.loads[v["region"]][at] = append(c.loads[v["region"]][at], x)
			}
		default:
			n[kind]++
		}
	}
	return in.Err()
}

func add(to map[string]map[int64]int, region string, at int64, n int) {
	if to[region] == nil {
		to[region] = map[int64]int{}
	}
	to[region][at] += n
}

func newCounts() *counts {
	return &counts{first: -1, seconds: map[int64]map[string]int{}, dials: map[string]map[int64]int{},
		loads: map[string]map[int64][]float64{}}
}

// Run reads all traces and prints the tables.
func (f *fleetCommand) Run() error {
	files, err := filepath.Glob(filepath.Join(f.Logs, "*.log"))
	if err != nil {
		return err
	}
	c := newCounts()
	for _, name := range files {
		in, err := os.Open(name)
		if err != nil {
			return err
		}
		err = c.read(in)
		_ = in.Close()
		if err != nil {
			return &failedRun{hint.Annotated{Where: name, Cause: err, Do: "give whole files, as serve --log-level debug writes them"}}
		}
	}
	if c.first < 0 {
		return &failedRun{hint.Annotated{Where: f.Logs, What: fmt.Sprintf("no trace in %d files", len(files)), Do: "run the balancers with --log-level debug"}}
	}
	c.print(os.Stdout, len(files), f.Region)
	if f.Why {
		c.printWhy(os.Stdout)
	}
	return nil
}

func (c *counts) print(w io.Writer, balancers int, regions bool) {
	var at []int64
	for s := range c.seconds {
		at = append(at, s)
	}
	slices.Sort(at)
	fmt.Fprintf(w, "%d balancers\n\n| second | %s |\n|%s\n", balancers, strings.Join(columns, " | "), strings.Repeat(" --- |", len(columns)+1))
	for _, s := range at {
		fmt.Fprintf(w, "| %d |", s-c.first)
		for _, name := range columns {
			fmt.Fprintf(w, " %d |", c.seconds[s][name])
		}
		fmt.Fprintln(w)
	}
	if !regions {
		return
	}
	var names []string
	for name := range c.loads {
		names = append(names, name)
	}
	slices.Sort(names)
	fmt.Fprintf(w, "\nSet-ups begun / mean reported load, by region and second\n\n")
	for _, name := range names {
		fmt.Fprintf(w, "%s", name)
		for _, s := range at {
			fmt.Fprintf(w, "  %d/", c.dials[name][s])
			if x := mean(c.loads[name][s]); math.IsNaN(x) {
				fmt.Fprint(w, "-")
			} else {
				fmt.Fprintf(w, "%.2f", x)
			}
		}
		fmt.Fprintln(w)
	}
}

const (
	roomUnder = 0.8       // reported load under which a region has room
	reportFor = 1_000_000 // microseconds for which a report is held for true
)

// printWhy goes through all lines in the order of their times. A refusal is told apart by what would have had room by the
// latest reports that any balancer read: a warm region, else a cold one, else none.
func (c *counts) printWhy(w io.Writer) {
	type task struct{ class, region string }
	type state struct {
		x        float64
		at, warm int64
		live     bool
	}
	slices.SortStableFunc(c.lines, func(a, b told) int { return cmp.Compare(a.us, b.us) })
	tasks, keys, regions := map[string]*task{}, map[string]bool{}, map[string]*state{}
	byClass, byRegion := map[string]map[string]int{}, map[string]map[string]int{}
	count := func(into map[string]map[string]int, us int64, name, what string) {
		row := fmt.Sprintf("%4d | %s", us/1e6-c.first, name)
		if into[row] == nil {
			into[row] = map[string]int{}
		}
		into[row][what]++
	}
	room := func(us int64) string {
		found := "no-room"
		for _, g := range regions {
			if !g.live || g.at < us-reportFor || g.x < 0 || g.x >= roomUnder {
				continue
			}
			if g.warm <= us {
				return "warm-room"
			}
			found = "cold-room"
		}
		return found
	}
	region := func(id string) *state {
		if regions[id] == nil {
			regions[id] = &state{live: true}
		}
		return regions[id]
	}
	for _, l := range c.lines {
		of := fmt.Sprint(l.from, "/", l.v["of"])
		t := tasks[of]
		switch l.kind {
		case "opened":
			t = &task{class: l.v["class"]}
			tasks[of] = t
			count(byClass, l.us, t.class, "asked")
			if l.v["mid"] == "true" {
				count(byClass, l.us, t.class, "mid-flow")
			} else if keys[l.v["key"]] {
				count(byClass, l.us, t.class, "again")
			}
			keys[l.v["key"]] = true
		case "region":
			g := region(l.v["region"])
			g.live = l.v["state"] == "0"
			g.warm, _ = strconv.ParseInt(l.v["warm"], 10, 64)
		case "probed":
			if x, err := strconv.ParseFloat(l.v["x"], 64); err == nil && l.v["result"] == "0" {
				g := region(l.v["region"])
				g.x, g.at = x, l.us
			} else {
				count(byRegion, l.us, l.v["region"], "probe-"+l.v["result"])
			}
		}
		if t == nil {
			continue
		}
		switch l.kind {
		case "dial":
			t.region = l.v["region"]
			count(byRegion, l.us, t.region, "dial")
			if l.v["attempt"] != "0" {
				count(byClass, l.us, t.class, "another-attempt")
			}
		case "up":
			count(byClass, l.us, t.class, "placed")
			count(byRegion, l.us, t.region, "up")
		case "task-ended":
			count(byRegion, l.us, t.region, "ended-"+cmp.Or(ends[l.v["how"]], "closed"))
		case "drop":
			count(byRegion, l.us, t.region, "dropped-"+l.v["why"])
		case "move":
			count(byRegion, l.us, t.region, "move-"+l.v["why"])
		case "answer":
			what := "failed"
			if l.v["short"] == "true" {
				what = "refused"
			}
			count(byClass, l.us, t.class, what+"-"+l.v["why"]+"-"+room(l.us))
		}
	}
	for _, table := range []struct {
		name string
		rows map[string]map[string]int
	}{{"class", byClass}, {"region", byRegion}} {
		fmt.Fprintf(w, "\n| second | %s | what, and how often |\n| --- | --- | --- |\n", table.name)
		sums := map[string]int{}
		for _, row := range slices.Sorted(maps.Keys(table.rows)) {
			fmt.Fprintf(w, "| %s |", row)
			for _, what := range slices.Sorted(maps.Keys(table.rows[row])) {
				fmt.Fprintf(w, " %s %d", what, table.rows[row][what])
				sums[what] += table.rows[row][what]
			}
			fmt.Fprintln(w, " |")
		}
		fmt.Fprint(w, "| all | |")
		for _, what := range slices.Sorted(maps.Keys(sums)) {
			fmt.Fprintf(w, " %s %d", what, sums[what])
		}
		fmt.Fprintln(w, " |")
	}
}

func mean(x []float64) float64 {
	sum := 0.0
	for _, v := range x {
		sum += v
	}
	return sum / float64(len(x))
}
