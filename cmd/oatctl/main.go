// Command oatctl is for the operator's desk: it checks and compiles what balancers run on, and calls them. It may use libraries
// that would weigh on a balancer; it must never be needed while one serves.
package main

import (
	"fmt"
	"os"
	"path/filepath"

	"github.com/alecthomas/kong"
	"github.com/google/renameio/v2"

	"oatloft/internal/edgeconfigcue"
	"oatloft/internal/hint"
)

type flags struct {
	Edge struct {
		Check   check   `cmd:"" help:"Say what is wrong with a file of settings."`
		Compile compile `cmd:"" help:"Check a file of settings and write what a balancer reads (serve --edge)."`
		Show    show    `cmd:"" help:"Print settings with every default in sight; without a file, the defaults."`
	} `cmd:"" help:"Our own settings, deploy/edge.cue."`
	Status   status        `cmd:"" help:"Ask a balancer whether it takes clients."`
	MaintOn  maintOn       `cmd:"" help:"Have a balancer leave a server out."`
	MaintOff maintOff      `cmd:"" help:"Have it use that server again."`
	Peers    peersCall     `cmd:"" help:"Ask a balancer which others it knows of, and what they say."`
	Revision revisionCalls `cmd:"" help:"Routing revisions: one for all balancers, everywhere or nowhere."`
	Standby  standby       `cmd:"" help:"Drain a balancer."`
	Active   active        `cmd:"" help:"Have it take clients again."`
}

type check struct {
	File string `arg:"" help:"Settings (CUE)."`
}

func (c *check) Run() error {
	if _, err := edgeconfigcue.Compile(c.File); err != nil {
		return err
	}
	fmt.Println(c.File + ": sound")
	return nil
}

type compile struct {
	File string `arg:"" help:"Settings (CUE)."`
	Out  string `short:"o" help:"Where to write; standard output if not given." type:"path"`
}

func (c *compile) Run() error {
	body, err := edgeconfigcue.Compile(c.File)
	if err != nil {
		return err
	}
	if err := c.write(body); err != nil {
		return &unwritten{hint.Annotated{What: "not written", Cause: err, Do: "see that the folder of --out is there and can be written"}}
	}
	return nil
}

// unwritten is that the compiled settings couldn't be put in place. The file that was there stays.
type unwritten struct{ hint.Annotated }

func (c *compile) write(body []byte) (err error) {
	if c.Out == "" {
		_, err = os.Stdout.Write(body)
		return err
	}
	// Whole or not at all: a balancer may be told to read it at any time.
	return renameio.WriteFile(c.Out, body, 0o644, renameio.WithTempDir(filepath.Dir(c.Out)), renameio.WithStaticPermissions(0o644))
}

type show struct {
	File string `arg:"" optional:"" help:"Settings (CUE)."`
}

func (s *show) Run() error {
	text, err := edgeconfigcue.Show(s.File)
	if err == nil {
		_, err = os.Stdout.Write(text)
	}
	return err
}

func main() {
	ctx := kong.Parse(&flags{}, kong.Name("oatctl"), kong.Description("Checks and compiles what oatloft balancers run on, and calls them."))
	if err := ctx.Run(); err != nil {
		fmt.Fprintln(os.Stderr, hint.Line(err))
		os.Exit(1)
	}
}
