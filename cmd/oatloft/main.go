// Command oatloft is the balancer, without the consensus code. If the edge file has the section revisions, it executes
// oatloft-revisions, installed in the same folder, in its own place.
package main

import "oatloft/internal/program"

func main() { program.Main() }
