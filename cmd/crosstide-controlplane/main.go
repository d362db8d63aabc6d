// Command crosstide-controlplane is a member of the replicated store, and the operators' command line.
//
// It runs in two deployments. In the policy deployment (`run`) it is the store and the operators' API alone; the
// schedulers are crosstide-dataplane. In the jobs deployment (`jobs run`, and `platform` on the users' platform) it is
// a control-plane node, in which the leader of the store runs the controller and its scheduler too.
//
// The program parses, checks, wires and runs; it decides nothing. Begin with policy.go, jobs.go or platform.go for a
// deployment's daemon; every other command has a file of its name, on request.go (one call to a node) and print.go
// (answers in columns).
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
		fmt.Fprintln(os.Stderr, "crosstide-controlplane:", err)
		os.Exit(exitCode(err))
	}
}

// newApp returns the program's command line: the daemons of both deployments and the operators' commands.
func newApp() *cli.Command {
	app := &cli.Command{
		Name:     "crosstide-controlplane",
		Usage:    "a member of the control store",
		Commands: append(policyProgram().Commands(), platformCommand(), jobsCommand()),
	}
	app.Commands = append(app.Commands, withExitCodes(keyCommand(), bundleCommand(), rolloutCommand(), zoneCommand(),
		whoCommand(), memberCommand(), workerCommand(), accountCommand())...)
	app.ExitErrHandler = func(context.Context, *cli.Command, error) {} // the exit codes are those of exitcodes.go
	return app
}
