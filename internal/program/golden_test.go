package program

import (
	"testing"

	"oatloft/internal/golden"
)

func TestCommandLineForm(t *testing.T) { golden.Flags(t, "flags.txt", &flags{}) }
