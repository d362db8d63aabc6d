// Command crosstide-dataplane is a node that accepts clients' jobs, and the clients' command line.
//
// It runs in two deployments. In the policy deployment (`run`) each node follows the replicated store and is a
// candidate for the scheduler role; the holder of the role places runs and starts them on workers. In the jobs
// deployment (`jobs run`, and `platform` on the users' platform) it only forwards clients' calls to the leader of the
// control-plane nodes.
//
// The program parses flags and settings, connects the components and runs them; all other logic is in the internal
// packages. The daemons are in policy.go, jobs.go and platform.go. The clients' commands are in policycommands.go and
// jobscommands.go, and use request.go.
package main

import (
	"context"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"
)

// version is set by the linker.
var version = "dev"

func main() {
	if err := newApp().Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "crosstide-dataplane:", err)
		os.Exit(1)
	}
}

// newApp returns the program's command line: the daemons of both deployments and the clients' commands.
func newApp() *cli.Command {
	return &cli.Command{Name: "crosstide-dataplane", Usage: "run a data-plane node; clients' commands",
		Commands: append(policyProgram().Commands(), policyJobCommand(), platformCommand(), jobsCommand())}
}
