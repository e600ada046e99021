package main

import (
	"strings"
	"testing"

	"github.com/alecthomas/kong"
)

// TestRenamedCommandsWork checks that the former name of a command still selects it, with a warning that gives the new
// name.
func TestRenamedCommandsWork(t *testing.T) {
	for old, name := range renamedCommands {
		for _, command := range []string{old, name} {
			parser, err := kong.New(&flags{})
			if err != nil {
				t.Fatal(err)
			}
			ctx, err := parser.Parse([]string{command, "--seed", "7"})
			if err != nil || ctx.Command() != name {
				t.Errorf("%s: %v, %v", command, ctx, err)
			}
			var output strings.Builder
			warnRenamedCommand(&output, []string{command, "--seed", "7"})
			if warned := strings.Contains(output.String(), old+" is now called "+name); warned != (command == old) {
				t.Errorf("%s: said %q", command, output.String())
			}
		}
	}
	warnRenamedCommand(nil, nil) // without arguments there is no warning
}
