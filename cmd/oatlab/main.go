// Command oatlab runs load tests, fault injection and measurements against fakes on loopback. It may import large
// libraries and use all cores. It is not part of a deployment, and the processes that it starts end with it.
package main

import (
	"fmt"
	"io"
	"os"

	"github.com/alecthomas/kong"

	"oatloft/internal/hint"
)

type flags struct {
	Cost      costCommand       `cmd:"" help:"Measure memory, latency and throughput of one or two executables."`
	Noise     noiseCommand      `cmd:"" help:"Generate noise until standard input ends, and print its counters."`
	Admission admissionCommand  `cmd:"" help:"Measure service to good clients under noise, with admission off and on."`
	Fleet     fleetCommand      `cmd:"" help:"Summarise many balancers' traces (serve --log-level debug) by second."`
	Faults    faultsCommand     `cmd:"" aliases:"storm" help:"Inject faults into several balancers and check the rules."`
	Demo      demoCommand       `cmd:"" help:"Run balancers, servers and clients interactively, with faults on demand."`
	Peers     peersCommand      `cmd:"" help:"Measure membership in stepped time: failures, false suspicions, bytes."`
	Crowd     simulationCommand `cmd:"" help:"Simulate many balancers, independent and coordinated."`
}

// renamedCommands maps former names of commands to the current ones. A former name works for one release, with a
// warning.
var renamedCommands = map[string]string{"storm": "faults"}

// warnRenamedCommand writes a warning to out if the arguments use the former name of a command.
func warnRenamedCommand(out io.Writer, arguments []string) {
	if len(arguments) == 0 {
		return
	}
	if name, ok := renamedCommands[arguments[0]]; ok {
		fmt.Fprintf(out, "oatlab: warning: %s is now called %s; the old name will be removed in the next release\n",
			arguments[0], name)
	}
}

// invalidFlag reports a flag with an invalid value.
type invalidFlag struct{ hint.Annotated }

// failedRun reports a run that could not be completed or in which a check failed.
type failedRun struct{ hint.Annotated }

const inspectOutput = "see the output above; the same seed repeats the run"

func main() {
	warnRenamedCommand(os.Stderr, os.Args[1:])
	ctx := kong.Parse(&flags{}, kong.Name("oatlab"),
		kong.Description("Load, failures and measurements for oatloft, on loopback."))
	if err := ctx.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "oatlab:", hint.Line(err))
		os.Exit(1)
	}
}
