package main

import (
	"fmt"
	"strings"

	"oatloft/internal/management"
)

// managementFlag is the flag with a balancer's management address.
type managementFlag struct {
	At string `required:"" placeholder:"HOST:PORT" env:"PROXY_MANAGEMENT" help:"The balancer's management address."`
}

// first returns the first address: the environment variable may list several, for calls that any balancer can answer.
func (a managementFlag) first() string {
	addr, _, _ := strings.Cut(a.At, ",")
	return addr
}

func (a managementFlag) call(line string) error {
	answer, err := management.Call(a.first(), line)
	if err != nil {
		return err
	}
	if !answer.OK {
		return newRefusal(answer.Text)
	}
	fmt.Println(answer.Text)
	return nil
}

type (
	status        struct{ managementFlag }
	standby       struct{ managementFlag }
	active        struct{ managementFlag }
	maintenanceOn struct {
		managementFlag
		ID string `arg:"" help:"The server's id: the host in the discovery list."`
	}
	maintenanceOff struct {
		managementFlag
		ID string `arg:"" help:"The server's id: the host in the discovery list."`
	}
)

func (c *status) Run() error         { return c.call("status") }
func (c *standby) Run() error        { return c.call("standby") }
func (c *active) Run() error         { return c.call("active") }
func (c *maintenanceOn) Run() error  { return c.call("maint-on " + c.ID) }
func (c *maintenanceOff) Run() error { return c.call("maint-off " + c.ID) }

type peersCommand struct {
	managementFlag
	Name string `arg:"" optional:"" help:"Print this member only."`
}

// Run prints the summary and then each member. It makes one call per member because an answer is a single line.
func (c *peersCommand) Run() error {
	if c.Name != "" {
		return c.call("peers " + c.Name)
	}
	if err := c.call("peers"); err != nil {
		return err
	}
	for name := ""; ; {
		answer, err := management.Call(c.first(), "peers >"+name)
		if err != nil {
			return err
		}
		if !answer.OK {
			return newRefusal(answer.Text)
		}
		if answer.Text == "-" {
			return nil
		}
		fmt.Println(answer.Text)
		name, _, _ = strings.Cut(answer.Text, " ")
	}
}
