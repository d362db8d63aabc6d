package main

import (
	"testing"

	"crosstide/internal/testbed/golden"
)

// TestGoldenCommands pins the program's commands and flags.
func TestGoldenCommands(t *testing.T) {
	golden.Compare(t, "commands", golden.MainCommands(t, main))
}

// TestGoldenProcess pins the exit codes of the program when it runs as a process.
func TestGoldenProcess(t *testing.T) {
	golden.Compare(t, "processes", golden.ExitCodes(t, main,
		"", "--help", "--no-such-flag", "no-such-command", "run", "check --settings no-such-file", "job", "job show"))
}
