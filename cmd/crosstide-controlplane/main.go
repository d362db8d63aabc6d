// Command crosstide-controlplane is a member of the replicated store, and the operators' command line.
//
// It runs in two deployments. In the policy deployment (`run`) it is the store and the operators' API alone; the
// schedulers are crosstide-dataplane. In the jobs deployment (`jobs run`, and `platform` on the users' platform) it is
// a control-plane node, in which the leader of the store runs the controller and its scheduler too.
//
// The program parses flags and settings, connects the components and runs them; all other logic is in the internal
// packages. The daemons are in policy.go, jobs.go and platform.go. Every other command is in a file of its name, and
// uses request.go (one call to a node) and print.go (output in columns).
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
		Usage:    "run a control-plane node; operators' commands",
		Commands: append(policyProgram().Commands(), platformCommand(), jobsCommand()),
	}
	app.Commands = append(app.Commands, withExitCodes(keyCommand(), bundleCommand(), rolloutCommand(), zoneCommand(),
		whoCommand(), memberCommand(), workerCommand(), accountCommand())...)
	app.ExitErrHandler = func(context.Context, *cli.Command, error) {} // main exits, with the codes of exitcodes.go
	return app
}
