// Command crosstide-dataplane is a node that takes clients' jobs, and the clients' command line.
//
// It runs in two deployments. In the policy deployment (`run`) each node follows the replicated store and is a
// candidate for the scheduler role; the one that holds the role places runs and starts them on workers. In the jobs
// deployment (`jobs run`, and `platform` on the users' platform) it is a data-plane node, which only forwards
// clients' calls to the leader among the control-plane nodes.
//
// The program parses, checks, wires and runs; it decides nothing. Begin with policy.go, jobs.go or platform.go for a
// deployment's daemon, and with request.go for what a client's command does.
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
	return &cli.Command{Name: "crosstide-dataplane", Usage: "a front node of crosstide",
		Commands: append(policyProgram().Commands(), policyJobCommand(), platformCommand(), jobsCommand())}
}
