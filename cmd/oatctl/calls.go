package main

import (
	"fmt"
	"strings"

	"oatloft/internal/management"
)

// at is where a balancer takes operators' calls.
type at struct {
	At string `required:"" placeholder:"HOST:PORT" env:"PROXY_MANAGEMENT" help:"The balancer's second address (management)."`
}

// one is the address: the first, where the environment names several for calls that any balancer answers.
func (a at) one() string {
	addr, _, _ := strings.Cut(a.At, ",")
	return addr
}

func (a at) call(line string) error {
	answer, err := management.Call(a.one(), line)
	if err != nil {
		return err
	}
	if !answer.OK {
		return no(answer.Text)
	}
	fmt.Println(answer.Text)
	return nil
}

type (
	status  struct{ at }
	standby struct{ at }
	active  struct{ at }
	maintOn struct {
		at
		ID string `arg:"" help:"The server's id, host in discovery's list."`
	}
	maintOff struct {
		at
		ID string `arg:"" help:"The server's id, host in discovery's list."`
	}
)

func (c *status) Run() error   { return c.call("status") }
func (c *standby) Run() error  { return c.call("standby") }
func (c *active) Run() error   { return c.call("active") }
func (c *maintOn) Run() error  { return c.call("maint-on " + c.ID) }
func (c *maintOff) Run() error { return c.call("maint-off " + c.ID) }

type peersCall struct {
	at
	Name string `arg:"" optional:"" help:"One member only."`
}

// Run asks for the summary, and then for one member after the other: an answer is one line.
func (c *peersCall) Run() error {
	if c.Name != "" {
		return c.call("peers " + c.Name)
	}
	if err := c.call("peers"); err != nil {
		return err
	}
	for name := ""; ; {
		answer, err := management.Call(c.one(), "peers >"+name)
		if err != nil {
			return err
		}
		if !answer.OK {
			return no(answer.Text)
		}
		if answer.Text == "-" {
			return nil
		}
		fmt.Println(answer.Text)
		name, _, _ = strings.Cut(answer.Text, " ")
	}
}
