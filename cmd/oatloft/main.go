// Command oatloft is the balancer. It holds no agreement: oatloft-revisions, beside it, does, and takes its place
// where the edge file has the section revisions.
package main

import "oatloft/internal/program"

func main() { program.Main() }
