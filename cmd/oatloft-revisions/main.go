// Command oatloft-revisions is the balancer with support for routing revisions. oatloft executes it in its own place
// if the edge file has the section revisions; it can be started directly as well.
package main

import (
	"oatloft/internal/program"

	_ "oatloft/internal/revision/host"
)

func main() { program.Main() }
