package golden

import (
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"strings"
	"testing"

	"github.com/urfave/cli/v3"
)

// MainCommands returns the Commands of a program whose main function runs a cli.Command with os.Args. It calls main
// with --help and intercepts the command tree that cli passes to its help printer, so the tree is the one that main
// builds.
func MainCommands(t *testing.T, main func()) string {
	t.Helper()
	args, printer := os.Args, cli.HelpPrinter
	defer func() { os.Args, cli.HelpPrinter = args, printer }()
	var root *cli.Command
	cli.HelpPrinter = func(_ io.Writer, _ string, data any) { root, _ = data.(*cli.Command) }
	os.Args = []string{"program", "--help"}
	main()
	if root == nil {
		t.Fatal("main printed no help")
	}
	return Commands(root)
}

// argumentsVariable is the environment variable through which ExitCodes passes arguments to the processes it starts.
const argumentsVariable = "CROSSTIDE_GOLDEN_ARGS"

// ExitCodes runs main in a separate process for each line of arguments and returns the exit codes. The processes run
// the test binary with only the calling test selected, so the caller must be a top-level test and call ExitCodes first.
func ExitCodes(t *testing.T, main func(), lines ...string) string {
	t.Helper()
	if line, ok := os.LookupEnv(argumentsVariable); ok {
		os.Args = append([]string{"program"}, strings.Fields(line)...)
		main()
		os.Exit(0)
	}
	var codes []string
	for _, line := range lines {
		process := exec.Command(os.Args[0], "-test.run=^"+t.Name()+"$")
		process.Env = append(os.Environ(), argumentsVariable+"="+line)
		code := 0
		var exit *exec.ExitError
		if err := process.Run(); errors.As(err, &exit) {
			code = exit.ExitCode()
		} else if err != nil {
			t.Fatal(err)
		}
		codes = append(codes, fmt.Sprintf("%q %d", line, code))
	}
	return Lines("arguments and exit code", codes...)
}
