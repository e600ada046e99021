package golden

import (
	"bytes"
	"fmt"
	"testing"

	"github.com/alecthomas/kong"
)

// Flags checks the command line of a program, given as the struct that kong parses into: every command, argument and
// flag with its names, environment variables, allowed values and default. Help texts are not compared.
func Flags(t testing.TB, name string, commandLine any) {
	t.Helper()
	parser, err := kong.New(commandLine, kong.Name("program"))
	if err != nil {
		t.Fatal(err)
	}
	var out bytes.Buffer
	appendNode(&out, parser.Model.Node)
	Check(t, name, out.Bytes())
}

func appendNode(out *bytes.Buffer, node *kong.Node) {
	fmt.Fprintf(out, "%s aliases=%q hidden=%t\n", node.Path(), node.Aliases, node.Hidden)
	for _, argument := range node.Positional {
		fmt.Fprintf(out, "\t%s required=%t default=%q enum=%q\n",
			argument.Summary(), argument.Required, argument.Default, argument.Enum)
	}
	for _, flag := range node.Flags {
		fmt.Fprintf(out, "\t--%s short=%q aliases=%q env=%q required=%t hidden=%t default=%q enum=%q",
			flag.Name, string(flag.Short), flag.Aliases, flag.Envs, flag.Required, flag.Hidden, flag.Default, flag.Enum)
		fmt.Fprintf(out, " placeholder=%q kind=%s\n", flag.PlaceHolder, flag.Target.Kind())
	}
	for _, child := range node.Children {
		appendNode(out, child)
	}
}
