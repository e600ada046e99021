package main

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"oatloft/internal/revision"
	"oatloft/internal/revisioncue"
)

type showRevision struct {
	managementFlags
	Number string `arg:"" optional:"" default:"now" help:"Number of the revision; now for the one in force."`
	JSON   bool   `name:"json" help:"Print the JSON that balancers exchange, on one line."`
}

func (c *showRevision) Run() error {
	n, err := parseNumber(c.Number)
	if err != nil {
		return err
	}
	content, err := c.fetch(n)
	if err != nil {
		return err
	}
	if c.JSON {
		fmt.Println(string(revision.Encode(content)))
		return nil
	}
	_, err = os.Stdout.Write(revisioncue.Format(content))
	return err
}

func parseNumber(s string) (uint64, error) {
	if s == "now" || s == "-" {
		return revision.Latest, nil
	}
	n, err := strconv.ParseUint(s, 10, 63)
	if err != nil {
		return 0, &refusedError{
			text: strconv.Quote(s) + " is not a revision number",
			do:   "take one from oatctl revision list, or now for the one in force",
		}
	}
	return n, nil
}

type list struct {
	managementFlags
	Last int  `default:"20" help:"Number of revisions to print, the latest ones."`
	All  bool `help:"Print the whole history."`
}

func (c *list) Run() error {
	ctx, cancel := boundedContext(10 * time.Minute)
	defer cancel()
	after := revision.Latest
	if !c.All {
		text, err := c.call(ctx, revision.Call{Verb: revision.VerbStatus})
		if err != nil {
			return err
		}
		first, last, _ := strings.Cut(field(text, "history"), "..")
		from, err := strconv.ParseUint(first, 10, 63)
		to, err2 := strconv.ParseUint(last, 10, 63)
		if err == nil && err2 == nil && to >= from+uint64(max(c.Last, 0)) {
			after = to - uint64(max(c.Last, 0))
		}
	}
	for {
		text, err := c.call(ctx, revision.Call{Verb: revision.VerbList, Number: after})
		if err != nil {
			return err
		}
		if text == "-" {
			return nil
		}
		fmt.Println(text)
		first, _, _ := strings.Cut(text, " ")
		if after, err = parseNumber(first); err != nil {
			return err
		}
	}
}

type diff struct {
	managementFlags
	A string `arg:"" help:"A revision's number, now, or a file."`
	B string `arg:"" optional:"" default:"now" help:"As above; the one in force if not given."`
}

func (c *diff) Run() error {
	var sides [2]*revision.Content
	for i, source := range []string{c.A, c.B} {
		n, err := parseNumber(source)
		if err == nil {
			sides[i], err = c.fetch(n)
		} else if _, statErr := os.Stat(source); statErr == nil {
			_, _, sides[i], err = readRevision(source)
		}
		if err != nil {
			return err
		}
	}
	lines := revision.Diff(sides[0], sides[1])
	for _, l := range lines {
		fmt.Println(l)
	}
	if len(lines) == 0 {
		fmt.Println("no difference")
	}
	return nil
}

type statusCommand struct{ managementFlags }

func (c *statusCommand) Run() error { return c.print(revision.Call{Verb: revision.VerbStatus}) }
