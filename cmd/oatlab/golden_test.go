package main

import (
	"testing"

	"oatloft/internal/golden"
)

func TestCommandLineFormat(t *testing.T) { golden.Flags(t, "flags.txt", &flags{}) }
