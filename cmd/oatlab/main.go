// Command oatlab is the project's laboratory: load, failures and measurements against stand-ins on loopback. It may
// use heavy libraries and all cores; it must never be part of a running deployment, and what it starts ends with it.
package main

import (
	"fmt"
	"io"
	"os"

	"github.com/alecthomas/kong"

	"oatloft/internal/hint"
)

type flags struct {
	Cost      cost           `cmd:"" help:"Measure idle memory, a line and a set-up; of two programs in turns."`
	Noise     noise          `cmd:"" help:"Open noisy connections to a balancer until standard input ends; print what was served."`
	Admission admissionTable `cmd:"" help:"Measure good clients beside a noisy address, with admission off and on."`
	Fleet     fleet          `cmd:"" help:"Count over many balancers' traces (serve --log-level debug), by second and server."`
	Faults    faultsCmd      `cmd:"" aliases:"storm" help:"Put faults between several balancers, and judge what they do together."`
	Demo      demo           `cmd:"" help:"Three balancers, six servers and clients that come and go, to look at and to disturb."`
	Peers     peersTable     `cmd:"" help:"Measure membership in stepped time: deaths, false suspicions, bytes."`
	Crowd     crowdCmd       `cmd:"" help:"Step many balancers side by side, alone and together; probes, crowding, evenness."`
}

// oldVerbs are the names that verbs had before. They work for a release, with a warning.
var oldVerbs = map[string]string{"storm": "faults"}

// warnOldVerb tells on out that the verb in the arguments has another name now.
func warnOldVerb(out io.Writer, arguments []string) {
	if len(arguments) == 0 {
		return
	}
	if name, ok := oldVerbs[arguments[0]]; ok {
		fmt.Fprintf(out, "oatlab: warning: %s is now called %s; the old name goes with the next release\n", arguments[0], name)
	}
}

// unfit is a flag that can't work.
type unfit struct{ hint.Annotated }

// failed is a run that didn't come to its end, or found something broken.
type failed struct{ hint.Annotated }

const lookAt = "look into what is printed above; the same seed plays it again"

func main() {
	warnOldVerb(os.Stderr, os.Args[1:])
	ctx := kong.Parse(&flags{}, kong.Name("oatlab"),
		kong.Description("Load, failures and measurements for oatloft, on loopback."))
	if err := ctx.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "oatlab:", hint.Line(err))
		os.Exit(1)
	}
}
