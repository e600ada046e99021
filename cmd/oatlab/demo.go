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

// demoCommand demonstrates the balancers: by default three of them, with six fake servers and clients that connect and
// disconnect. Keys, or flags without an interactive terminal, kill a balancer, cut links and drain a server.
type demoCommand struct {
	Binary    string  `default:"bin/oatloft" type:"path" help:"Executable of the balancer."`
	Balancers int     `default:"3"`
	Regions   int     `default:"6"`
	Terminals int     `default:"30"`
	Seconds   float64 `help:"Time limit; 0: until a key is pressed, or 20 s without an interactive terminal."`
	Kill      bool    `help:"Kill a balancer after a quarter of the time, for a quarter of it."`
	Cut       bool    `help:"Cut the links between the first balancer and the others at half-time, for a quarter of it."`
	Drain     bool    `help:"Drain a server at half-time, for a quarter of the time."`
	Plain     bool    `help:"Print plain lines even on an interactive terminal."`
}

func (c *demoCommand) Run() error {
	binary, err := filepath.Abs(c.Binary)
	if err != nil {
		return err
	}
	if _, err := os.Stat(binary); err != nil {
		return &invalidFlag{hint.Annotated{Where: "--binary", Cause: err, Do: "build it: go build -o bin/ ./cmd/..."}}
	}
	interactive := !c.Plain && term.IsTerminal(int(os.Stdout.Fd()))
	if c.Seconds == 0 && !interactive {
		c.Seconds = 20
	}
	if !(c.Seconds >= 0 && c.Seconds <= 600) {
		return &invalidFlag{hint.Annotated{Where: "--seconds", What: "must be 0 to 600", Do: "set it within these limits"}}
	}
	s := &faultinjection.Schedule{
		Name: "demo", Balancers: c.Balancers, Servers: c.Regions, Clients: c.Terminals, Seconds: max(c.Seconds, 1),
	}
	scenario, err := faultinjection.Open(s,
		faultinjection.Options{Binary: binary, Net: 119, SilentAfter: 1500 * time.Millisecond})
	if err != nil {
		return err
	}
	defer scenario.Close()
	if interactive {
		err = c.runInteractive(scenario)
	} else {
		err = c.runPlain(scenario)
	}
	if err != nil {
		return err
	}
	if broken := scenario.Judge(); len(broken) > 0 {
		return &failedRun{hint.Annotated{What: "a rule was broken: " + broken[0], Do: inspectOutput}}
	}
	fmt.Println("all rules kept")
	return nil
}

// startFault starts the fault of a key and returns its description and a function that ends it.
func (c *demoCommand) startFault(w *faultinjection.Scenario, key string) (description string, end func()) {
	switch key {
	case "k":
		return "balancer b02 is killed", w.StartFault(faultinjection.Fault{Kind: "kill", A: min(2, c.Balancers)})
	case "c":
		return "b01 is cut off from the other balancers", w.StartFault(faultinjection.Fault{Kind: "talk-cut", A: 1})
	case "d":
		return "server r1 drains", w.StartFault(faultinjection.Fault{Kind: "region-drains", B: 1})
	}
	return "", nil
}

// runPlain prints the current state once a second.
func (c *demoCommand) runPlain(w *faultinjection.Scenario) error {
	start, duration := time.Now(), time.Duration(c.Seconds*float64(time.Second))
	steps := []struct {
		on       bool
		key      string
		from, to float64
		end      func()
		done     bool
	}{
		{on: c.Kill, key: "k", from: 0.25, to: 0.5},
		{on: c.Cut, key: "c", from: 0.5, to: 0.75},
		{on: c.Drain, key: "d", from: 0.5, to: 0.75},
	}
	for next := start; time.Since(start) < duration; time.Sleep(50 * time.Millisecond) {
		fraction := time.Since(start).Seconds() / duration.Seconds()
		for i := range steps {
			x := &steps[i]
			switch {
			case x.on && x.end == nil && !x.done && fraction >= x.from:
				var description string
				description, x.end = c.startFault(w, x.key)
				fmt.Println("--", description)
			case x.end != nil && fraction >= x.to:
				x.end()
				x.end, x.done = nil, true
				fmt.Println("-- the fault has ended")
			}
		}
		if time.Now().After(next) {
			next = next.Add(time.Second)
			fmt.Printf("%4.0f s  %s\n", time.Since(start).Seconds(), strings.Join(c.summary(w), "  |  "))
		}
	}
	for _, x := range steps {
		if x.end != nil {
			x.end()
		}
	}
	return nil
}

// summary returns the parts of the displayed state: servers, members, clients.
func (c *demoCommand) summary(w *faultinjection.Scenario) []string {
	var servers, members []string
	for _, r := range w.Servers {
		servers = append(servers, fmt.Sprintf("%s %d", r.Name, r.Open()))
	}
	members = append(members, w.MembershipViews()...)
	return []string{
		"connections: " + strings.Join(servers, ", "),
		"members: " + strings.Join(members, ", "),
		fmt.Sprintf("served: %d", w.Count()),
	}
}

// screen is the interactive view.
type screen struct {
	command  *demoCommand
	scenario *faultinjection.Scenario
	start    time.Time
	endFault map[string]func()
	messages []string
	parts    []string
}

type tick struct{}

func nextTick() tea.Cmd {
	return tea.Tick(500*time.Millisecond, func(time.Time) tea.Msg { return tick{} })
}

func (s *screen) Init() tea.Cmd { return nextTick() }

func (s *screen) Update(msg tea.Msg) (tea.Model, tea.Cmd) {
	switch msg := msg.(type) {
	case tick:
		s.parts = s.command.summary(s.scenario)
		if s.command.Seconds > 0 && time.Since(s.start).Seconds() >= s.command.Seconds {
			return s, tea.Quit
		}
		return s, nextTick()
	case tea.KeyMsg:
		key := msg.String()
		if key == "q" || key == "ctrl+c" || key == "esc" {
			return s, tea.Quit
		}
		if end := s.endFault[key]; end != nil {
			delete(s.endFault, key)
			go end() // in the background, since starting a process takes time
			s.messages = append(s.messages, "the fault has ended")
		} else if description, end := s.command.startFault(s.scenario, key); end != nil {
			s.endFault[key] = end
			s.messages = append(s.messages, description)
		}
	}
	return s, nil
}

func (s *screen) View() string {
	title := lipgloss.NewStyle().Bold(true).Render(fmt.Sprintf("oatloft: %d balancers, %d servers, %.0f s",
		s.command.Balancers, s.command.Regions, time.Since(s.start).Seconds()))
	messages := s.messages[max(0, len(s.messages)-5):]
	return title + "\n\n" + strings.Join(s.parts, "\n") + "\n\n" + strings.Join(messages, "\n") +
		"\n\nk kills b02, c cuts b01 off, d drains r1; the same key again ends the fault; q quits\n"
}

func (c *demoCommand) runInteractive(w *faultinjection.Scenario) error {
	s := &screen{command: c, scenario: w, start: time.Now(), endFault: map[string]func(){}, parts: c.summary(w)}
	_, err := tea.NewProgram(s).Run()
	for _, end := range s.endFault {
		end()
	}
	return err
}
