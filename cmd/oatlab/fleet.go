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

// fleetCommand counts events over the traces of many balancers (serve --log-level debug, one file each), to show
// problems that are visible only in the sum of all balancers. Truncated lines are not counted.
type fleetCommand struct {
	Logs   string `arg:"" help:"Directory with one trace per balancer (*.log)." type:"existingdir"`
	Region bool   `help:"Also print dials and the mean reported load, by server and second."`
	Why    bool   `help:"Also print the causes of refusals, by second and class, and the events by server."`
}

// columns are the counted events, in the order of the printed columns.
var columns = []string{
	"opened", "mid-flow", "dial", "up", "refused", "full", "error", "reset", "short", "failed", "move",
	"probe", "probe-dials", "probe-fails", "watch", "listed",
}

// endings are the columns of the ways in which an attempt ends, by the number of core.Ending.
var endings = map[string]string{"1": "reset", "2": "refused", "3": "full", "4": "error"}

type traceCounts struct {
	firstSecond int64 // second of the first line; -1 before the first line
	bySecond    map[int64]map[string]int
	dials       map[string]map[int64]int
	loads       map[string]map[int64][]float64
	lines       []traceLine // of all balancers, for printCauses
	files       int
}

// traceLine is a line of a balancer's trace.
type traceLine struct {
	us       int64 // time in microseconds since 1970
	balancer int   // number of the balancer
	kind     string
	values   map[string]string
}

// parseTraceLine returns the message of a line, its values by name, and its time in microseconds.
func parseTraceLine(line string) (kind string, values map[string]string, us int64, ok bool) {
	values = map[string]string{}
	for _, field := range strings.Fields(line) {
		if name, value, found := strings.Cut(field, "="); found {
			values[name] = value
		}
	}
	us, err := strconv.ParseInt(values["us"], 10, 64) // the last value: missing or too short in a truncated line
	return values["msg"], values, us, err == nil && us > 1e15
}

func (c *traceCounts) readTrace(r io.Reader) error {
	c.files++
	in := bufio.NewScanner(r)
	in.Buffer(nil, 1<<20)
	for in.Scan() {
		kind, v, us, ok := parseTraceLine(in.Text())
		if !ok {
			continue
		}
		second := us / 1e6
		if c.bySecond[second] == nil {
			c.bySecond[second] = map[string]int{}
		}
		if c.firstSecond < 0 || second < c.firstSecond {
			c.firstSecond = second
		}
		count := c.bySecond[second]
		c.lines = append(c.lines, traceLine{us, c.files, kind, v})
		switch kind {
		case "opened":
			if count["opened"]++; v["mid"] == "true" {
				count["mid-flow"]++
			}
		case "dial":
			count["dial"]++
			addCount(c.dials, v["region"], second, 1)
		case "task-ended":
			count[endings[v["how"]]]++
		case "answer":
			if v["short"] == "true" {
				count["short"]++
			} else {
				count["failed"]++
			}
		case "probe":
			if count["probe"]++; v["dials"] == "true" {
				count["probe-dials"]++
			}
		case "probed":
			x, err := strconv.ParseFloat(v["x"], 64)
			if v["result"] != "0" || err != nil {
				count["probe-fails"]++
			} else if c.loads[v["region"]] == nil {
				c.loads[v["region"]] = map[int64][]float64{second: {x}}
			} else {
				c.loads[v["region"]][second] = append(c.loads[v["region"]][second], x)
			}
		default:
			count[kind]++
		}
	}
	return in.Err()
}

func addCount(counts map[string]map[int64]int, server string, second int64, n int) {
	if counts[server] == nil {
		counts[server] = map[int64]int{}
	}
	counts[server][second] += n
}

func newTraceCounts() *traceCounts {
	return &traceCounts{firstSecond: -1, bySecond: map[int64]map[string]int{}, dials: map[string]map[int64]int{},
		loads: map[string]map[int64][]float64{}}
}

// Run reads all traces and prints the tables.
func (f *fleetCommand) Run() error {
	files, err := filepath.Glob(filepath.Join(f.Logs, "*.log"))
	if err != nil {
		return err
	}
	c := newTraceCounts()
	for _, name := range files {
		in, err := os.Open(name)
		if err != nil {
			return err
		}
		err = c.readTrace(in)
		_ = in.Close()
		if err != nil {
			return &failedRun{hint.Annotated{
				Where: name,
				Cause: err,
				Do:    "give complete files, as serve --log-level debug writes them",
			}}
		}
	}
	if c.firstSecond < 0 {
		return &failedRun{hint.Annotated{
			Where: f.Logs,
			What:  fmt.Sprintf("no trace in %d files", len(files)),
			Do:    "run the balancers with --log-level debug",
		}}
	}
	c.print(os.Stdout, len(files), f.Region)
	if f.Why {
		c.printCauses(os.Stdout)
	}
	return nil
}

func (c *traceCounts) print(w io.Writer, balancers int, withServers bool) {
	var seconds []int64
	for second := range c.bySecond {
		seconds = append(seconds, second)
	}
	slices.Sort(seconds)
	fmt.Fprintf(w, "%d balancers\n\n| second | %s |\n|%s\n",
		balancers, strings.Join(columns, " | "), strings.Repeat(" --- |", len(columns)+1))
	for _, second := range seconds {
		fmt.Fprintf(w, "| %d |", second-c.firstSecond)
		for _, name := range columns {
			fmt.Fprintf(w, " %d |", c.bySecond[second][name])
		}
		fmt.Fprintln(w)
	}
	if !withServers {
		return
	}
	var names []string
	for name := range c.loads {
		names = append(names, name)
	}
	slices.Sort(names)
	fmt.Fprintf(w, "\nDials / mean reported load, by server and second\n\n")
	for _, name := range names {
		fmt.Fprintf(w, "%s", name)
		for _, second := range seconds {
			fmt.Fprintf(w, "  %d/", c.dials[name][second])
			if x := mean(c.loads[name][second]); math.IsNaN(x) {
				fmt.Fprint(w, "-")
			} else {
				fmt.Fprintf(w, "%.2f", x)
			}
		}
		fmt.Fprintln(w)
	}
}

const (
	freeBelowLoad        = 0.8       // reported load factor below which a server has free capacity
	reportLifetimeMicros = 1_000_000 // microseconds for which a load report is used
)

// printCauses processes all lines in the order of their times. It classifies refusals by the servers that had free
// capacity according to the latest load reports to any balancer: a warmed-up server, else one that is warming up, else
// none.
func (c *traceCounts) printCauses(w io.Writer) {
	type request struct{ class, server string }
	type state struct {
		x        float64
		at, warm int64
		live     bool
	}
	slices.SortStableFunc(c.lines, func(a, b traceLine) int { return cmp.Compare(a.us, b.us) })
	requests, keys, servers := map[string]*request{}, map[string]bool{}, map[string]*state{}
	byClass, byServer := map[string]map[string]int{}, map[string]map[string]int{}
	countEvent := func(into map[string]map[string]int, us int64, name, event string) {
		row := fmt.Sprintf("%4d | %s", us/1e6-c.firstSecond, name)
		if into[row] == nil {
			into[row] = map[string]int{}
		}
		into[row][event]++
	}
	freeCapacity := func(us int64) string {
		found := "no-room"
		for _, server := range servers {
			if !server.live || server.at < us-reportLifetimeMicros || server.x < 0 || server.x >= freeBelowLoad {
				continue
			}
			if server.warm <= us {
				return "warm-room"
			}
			found = "cold-room"
		}
		return found
	}
	serverOf := func(id string) *state {
		if servers[id] == nil {
			servers[id] = &state{live: true}
		}
		return servers[id]
	}
	for _, line := range c.lines {
		id := fmt.Sprint(line.balancer, "/", line.values["of"])
		r := requests[id]
		switch line.kind {
		case "opened":
			r = &request{class: line.values["class"]}
			requests[id] = r
			countEvent(byClass, line.us, r.class, "asked")
			if line.values["mid"] == "true" {
				countEvent(byClass, line.us, r.class, "mid-flow")
			} else if keys[line.values["key"]] {
				countEvent(byClass, line.us, r.class, "again")
			}
			keys[line.values["key"]] = true
		case "region":
			server := serverOf(line.values["region"])
			server.live = line.values["state"] == "0"
			server.warm, _ = strconv.ParseInt(line.values["warm"], 10, 64)
		case "probed":
			if x, err := strconv.ParseFloat(line.values["x"], 64); err == nil && line.values["result"] == "0" {
				server := serverOf(line.values["region"])
				server.x, server.at = x, line.us
			} else {
				countEvent(byServer, line.us, line.values["region"], "probe-"+line.values["result"])
			}
		}
		if r == nil {
			continue
		}
		switch line.kind {
		case "dial":
			r.server = line.values["region"]
			countEvent(byServer, line.us, r.server, "dial")
			if line.values["attempt"] != "0" {
				countEvent(byClass, line.us, r.class, "another-attempt")
			}
		case "up":
			countEvent(byClass, line.us, r.class, "placed")
			countEvent(byServer, line.us, r.server, "up")
		case "task-ended":
			countEvent(byServer, line.us, r.server, "ended-"+cmp.Or(endings[line.values["how"]], "closed"))
		case "drop":
			countEvent(byServer, line.us, r.server, "dropped-"+line.values["why"])
		case "move":
			countEvent(byServer, line.us, r.server, "move-"+line.values["why"])
		case "answer":
			event := "failed"
			if line.values["short"] == "true" {
				event = "refused"
			}
			countEvent(byClass, line.us, r.class, event+"-"+line.values["why"]+"-"+freeCapacity(line.us))
		}
	}
	for _, table := range []struct {
		name string
		rows map[string]map[string]int
	}{{"class", byClass}, {"region", byServer}} {
		fmt.Fprintf(w, "\n| second | %s | events with their counts |\n| --- | --- | --- |\n", table.name)
		sums := map[string]int{}
		for _, row := range slices.Sorted(maps.Keys(table.rows)) {
			fmt.Fprintf(w, "| %s |", row)
			for _, event := range slices.Sorted(maps.Keys(table.rows[row])) {
				fmt.Fprintf(w, " %s %d", event, table.rows[row][event])
				sums[event] += table.rows[row][event]
			}
			fmt.Fprintln(w, " |")
		}
		fmt.Fprint(w, "| all | |")
		for _, event := range slices.Sorted(maps.Keys(sums)) {
			fmt.Fprintf(w, " %s %d", event, sums[event])
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
