package main

import (
	"testing"

	"oatloft/internal/golden"
)

func TestFormOfCommandLine(t *testing.T) { golden.Flags(t, "flags.txt", &flags{}) }
