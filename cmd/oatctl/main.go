// Command oatctl is the operator's command-line tool: it validates and compiles the settings of balancers and calls
// their management addresses. It may import libraries that are too large for the balancer; a balancer that is serving
// does not depend on it.
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
		Check   check   `cmd:"" help:"Validate a settings file and report its errors."`
		Compile compile `cmd:"" help:"Validate a settings file and write the form that a balancer reads (serve --edge)."`
		Show    show    `cmd:"" help:"Print settings with all defaults filled in; without a file, the defaults."`
	} `cmd:"" help:"The settings in deploy/edge.cue."`
	Status   status           `cmd:"" help:"Print whether a balancer accepts clients."`
	MaintOn  maintenanceOn    `cmd:"" help:"Put a server into maintenance on a balancer."`
	MaintOff maintenanceOff   `cmd:"" help:"Take a server out of maintenance on a balancer."`
	Peers    peersCommand     `cmd:"" help:"Print the members that a balancer knows and what they have announced."`
	Revision revisionCommands `cmd:"" help:"Routing revisions: each is applied by all balancers or by none."`
	Standby  standby          `cmd:"" help:"Drain a balancer."`
	Active   active           `cmd:"" help:"Let a drained balancer accept clients again."`
}

type check struct {
	File string `arg:"" help:"Settings file (CUE)."`
}

func (c *check) Run() error {
	if _, err := edgeconfigcue.Compile(c.File); err != nil {
		return err
	}
	fmt.Println(c.File + ": sound")
	return nil
}

type compile struct {
	File string `arg:"" help:"Settings file (CUE)."`
	Out  string `short:"o" help:"Output file; standard output if not given." type:"path"`
}

func (c *compile) Run() error {
	body, err := edgeconfigcue.Compile(c.File)
	if err != nil {
		return err
	}
	if err := c.write(body); err != nil {
		return &writeError{hint.Annotated{
			What:  "cannot write the compiled settings",
			Cause: err,
			Do:    "check that the directory of --out exists and is writable",
		}}
	}
	return nil
}

// writeError reports that the compiled settings could not be written. An existing file is left unchanged.
type writeError struct{ hint.Annotated }

func (c *compile) write(body []byte) (err error) {
	if c.Out == "" {
		_, err = os.Stdout.Write(body)
		return err
	}
	// The file is replaced atomically, since a balancer may read it at any time.
	return renameio.WriteFile(
		c.Out, body, 0o644,
		renameio.WithTempDir(filepath.Dir(c.Out)), renameio.WithStaticPermissions(0o644),
	)
}

type show struct {
	File string `arg:"" optional:"" help:"Settings file (CUE)."`
}

func (s *show) Run() error {
	text, err := edgeconfigcue.Show(s.File)
	if err == nil {
		_, err = os.Stdout.Write(text)
	}
	return err
}

func main() {
	ctx := kong.Parse(&flags{}, kong.Name("oatctl"),
		kong.Description("Validates and compiles the settings of oatloft balancers, and calls their management addresses."))
	if err := ctx.Run(); err != nil {
		fmt.Fprintln(os.Stderr, hint.Line(err))
		os.Exit(1)
	}
}
