package main

import (
	"errors"
	"fmt"

	"oatloft/internal/management"
)

// at is where a balancer takes operators' calls.
type at struct {
	At string `required:"" placeholder:"HOST:PORT" env:"PROXY_MANAGEMENT" help:"The balancer's second address (management)."`
}

func (a at) call(line string) error {
	answer, err := management.Ask(a.At, line)
	if err != nil {
		return err
	}
	if !answer.OK {
		return errors.New(answer.Text)
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
