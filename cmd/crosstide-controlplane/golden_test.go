package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"slices"
	"strings"
	"testing"

	"github.com/urfave/cli/v3"

	"crosstide/internal/errs"
	"crosstide/internal/testbed/golden"
)

// TestGoldenCommands pins the commands of the program. main asks cli for help; what it would print the help of is taken
// in its stead, so that the tree is main's own.
func TestGoldenCommands(t *testing.T) {
	args, printer := os.Args, cli.HelpPrinter
	defer func() { os.Args, cli.HelpPrinter = args, printer }()
	var root *cli.Command
	cli.HelpPrinter = func(_ io.Writer, _ string, data any) { root, _ = data.(*cli.Command) }
	os.Args = []string{"program", "--help"}
	main()
	if root == nil {
		t.Fatal("main printed no help")
	}
	golden.Compare(t, "commands", golden.Commands(root))
}

// TestGoldenExits pins the exit code of each kind of error, and of wrong usage.
func TestGoldenExits(t *testing.T) {
	var lines []string
	for _, kind := range append(errs.Kinds(), "no such kind") {
		done := withExitCodes(&cli.Command{Action: func(context.Context, *cli.Command) error { return errs.New(kind, "text") }})
		err := done[0].Action(t.Context(), nil)
		lines = append(lines, fmt.Sprintf("%s %d, as it came %d, printed %q", kind, exitCode(err), exitCode(errs.New(kind, "text")), err))
	}
	slices.Sort(lines)
	golden.Compare(t, "exits", golden.Lines("exit codes", append(lines, fmt.Sprint("usage ", exitCode(errors.New("text"))))...))
}

// TestGoldenProcess pins the exit codes of the program itself, which this test starts as a process of its own.
func TestGoldenProcess(t *testing.T) {
	const given = "CROSSTIDE_GOLDEN_ARGS"
	if args, ok := os.LookupEnv(given); ok {
		os.Args = append([]string{"program"}, strings.Fields(args)...)
		main()
		os.Exit(0)
	}
	var lines []string
	for _, args := range []string{"", "--help", "--no-such-flag", "no-such-command", "run", "check --settings no-such-file", "who", "account create", "bundle sign", "bundle sign --addr 127.0.0.1:1 --key no-such-file 1"} {
		c := exec.Command(os.Args[0], "-test.run=^TestGoldenProcess$")
		c.Env = append(os.Environ(), given+"="+args)
		code := 0
		var exit *exec.ExitError
		if err := c.Run(); errors.As(err, &exit) {
			code = exit.ExitCode()
		} else if err != nil {
			t.Fatal(err)
		}
		lines = append(lines, fmt.Sprintf("%q %d", args, code))
	}
	golden.Compare(t, "processes", golden.Lines("arguments and exit code", lines...))
}
