package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	tea "github.com/charmbracelet/bubbletea"
	"github.com/charmbracelet/lipgloss"
	"golang.org/x/term"

	"oatloft/internal/faultinjection"
	"oatloft/internal/hint"
)

// demo shows a newcomer what the balancers do: three of them, six stand-in regions, terminals that come and go. Keys, or
// flags where there is no terminal, kill a balancer, cut links and drain a region.
type demo struct {
	Binary    string  `default:"bin/oatloft" type:"path" help:"The balancer."`
	Balancers int     `default:"3"`
	Regions   int     `default:"6"`
	Terminals int     `default:"30"`
	Seconds   float64 `help:"End by itself after so long; 0: at a key, or after 20 s where there is no terminal."`
	Kill      bool    `help:"Kill a balancer after a quarter of the time, for a quarter of it."`
	Cut       bool    `help:"Cut the talk between the first balancer and the others at half-time, for a quarter of it."`
	Drain     bool    `help:"Drain a region at half-time, for a quarter of the time."`
	Plain     bool    `help:"Plain lines also on a terminal."`
}

func (c *demo) Run() error {
	binary, err := filepath.Abs(c.Binary)
	if err != nil {
		return err
	}
	if _, err := os.Stat(binary); err != nil {
		return &unfit{hint.Annotated{Where: "--binary", Cause: err, Do: "build it: go build -o bin/ ./cmd/..."}}
	}
	live := !c.Plain && term.IsTerminal(int(os.Stdout.Fd()))
	if c.Seconds == 0 && !live {
		c.Seconds = 20
	}
	if !(c.Seconds >= 0 && c.Seconds <= 600) {
		return &unfit{hint.Annotated{Where: "--seconds", What: "has to be 0 to 600", Do: "set it within"}}
	}
	s := &faultinjection.Schedule{Name: "demo", Balancers: c.Balancers, Servers: c.Regions, Clients: c.Terminals, Seconds: max(c.Seconds, 1)}
	w, err := faultinjection.Open(s, faultinjection.Options{Binary: binary, Net: 119, SilentAfter: 1500 * time.Millisecond})
	if err != nil {
		return err
	}
	defer w.Close()
	if live {
		err = c.live(w)
	} else {
		err = c.lines(w)
	}
	if err != nil {
		return err
	}
	if broken := w.Judge(); len(broken) > 0 {
		return &failed{hint.Annotated{What: "a rule broke: " + broken[0], Do: lookAt}}
	}
	fmt.Println("all rules kept")
	return nil
}

// begin starts a fault by hand; what it returns ends it.
func (c *demo) begin(w *faultinjection.Scenario, key string) (what string, end func()) {
	switch key {
	case "k":
		return "balancer b02 is killed", w.StartFault(faultinjection.Fault{Kind: "kill", A: min(2, c.Balancers)})
	case "c":
		return "b01 is cut off from the other balancers", w.StartFault(faultinjection.Fault{Kind: "talk-cut", A: 1})
	case "d":
		return "region r1 drains", w.StartFault(faultinjection.Fault{Kind: "region-drains", B: 1})
	}
	return "", nil
}

// lines prints what stands where, a line a second.
func (c *demo) lines(w *faultinjection.Scenario) error {
	began, length := time.Now(), time.Duration(c.Seconds*float64(time.Second))
	steps := []struct {
		on       bool
		key      string
		from, to float64
		end      func()
		done     bool
	}{{on: c.Kill, key: "k", from: 0.25, to: 0.5}, {on: c.Cut, key: "c", from: 0.5, to: 0.75}, {on: c.Drain, key: "d", from: 0.5, to: 0.75}}
	for next := began; time.Since(began) < length; time.Sleep(50 * time.Millisecond) {
		part := time.Since(began).Seconds() / length.Seconds()
		for i := range steps {
			x := &steps[i]
			switch {
			case x.on && x.end == nil && !x.done && part >= x.from:
				var what string
				what, x.end = c.begin(w, x.key)
				fmt.Println("--", what)
			case x.end != nil && part >= x.to:
				x.end()
				x.end, x.done = nil, true
				fmt.Println("-- and that is over")
			}
		}
		if time.Now().After(next) {
			next = next.Add(time.Second)
			fmt.Printf("%4.0f s  %s\n", time.Since(began).Seconds(), strings.Join(c.words(w), "  |  "))
		}
	}
	for _, x := range steps {
		if x.end != nil {
			x.end()
		}
	}
	return nil
}

// words are the parts of what is seen: regions, members, terminals.
func (c *demo) words(w *faultinjection.Scenario) []string {
	var regions, members []string
	for _, r := range w.Regions {
		regions = append(regions, fmt.Sprintf("%s %d", r.Name, r.Open()))
	}
	members = append(members, w.MembershipViews()...)
	return []string{"standing: " + strings.Join(regions, ", "), "members: " + strings.Join(members, ", "), fmt.Sprintf("served: %d", w.Count())}
}

// screen is the live view.
type screen struct {
	c     *demo
	w     *faultinjection.Scenario
	began time.Time
	ends  map[string]func()
	said  []string
	parts []string
}

type beat struct{}

func wait() tea.Cmd { return tea.Tick(500*time.Millisecond, func(time.Time) tea.Msg { return beat{} }) }

func (s *screen) Init() tea.Cmd { return wait() }

func (s *screen) Update(msg tea.Msg) (tea.Model, tea.Cmd) {
	switch msg := msg.(type) {
	case beat:
		s.parts = s.c.words(s.w)
		if s.c.Seconds > 0 && time.Since(s.began).Seconds() >= s.c.Seconds {
			return s, tea.Quit
		}
		return s, wait()
	case tea.KeyMsg:
		key := msg.String()
		if key == "q" || key == "ctrl+c" || key == "esc" {
			return s, tea.Quit
		}
		if end := s.ends[key]; end != nil {
			delete(s.ends, key)
			go end() // a process takes its time to start
			s.said = append(s.said, "and that is over")
		} else if what, end := s.c.begin(s.w, key); end != nil {
			s.ends[key] = end
			s.said = append(s.said, what)
		}
	}
	return s, nil
}

func (s *screen) View() string {
	title := lipgloss.NewStyle().Bold(true).Render(fmt.Sprintf("oatloft: %d balancers, %d regions, %.0f s", s.c.Balancers, s.c.Regions, time.Since(s.began).Seconds()))
	said := s.said[max(0, len(s.said)-5):]
	return title + "\n\n" + strings.Join(s.parts, "\n") + "\n\n" + strings.Join(said, "\n") +
		"\n\nk kills b02, c cuts b01 off, d drains r1; the same key again ends it; q leaves\n"
}

func (c *demo) live(w *faultinjection.Scenario) error {
	s := &screen{c: c, w: w, began: time.Now(), ends: map[string]func(){}, parts: c.words(w)}
	_, err := tea.NewProgram(s).Run()
	for _, end := range s.ends {
		end()
	}
	return err
}
