// Command oatloft-revisions is the balancer with the agreement in it. oatloft goes on as this program where the
// edge file has the section revisions; started by itself it does the same.
package main

import (
	"oatloft/internal/program"

	_ "oatloft/internal/revision/host"
)

func main() { program.Main() }
