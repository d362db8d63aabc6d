// Command crosstide-controlplane is a member of the control store, and the operators' command for it.
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
	app.Commands = append(app.Commands, withExitCodes(append(bundleCommands(),
		&cli.Command{Name: "who", Usage: "print who holds what", Action: showRoles, Flags: append(addrFlags(), jsonFlag())},
		&cli.Command{Name: "member", Usage: "list the members of the store, replace one", Commands: []*cli.Command{
			{Name: "list", Usage: "print every member", Action: listMembers, Flags: append(addrFlags(), jsonFlag())},
			orderCommand("replace", "the cplane NEW may join in the place of OLD, whose machine is gone", "OLD NEW", "/v1/members/%s/replace/%s"),
		}},
		&cli.Command{Name: "minion", Usage: "list, drain, open and retire minions", Commands: []*cli.Command{
			{Name: "list", Usage: "print every minion", Action: listWorkers, Flags: append(addrFlags(), jsonFlag())},
			orderCommand("drain", "no new starts on MINION", "MINION", "/v1/minions/%s/drain"),
			orderCommand("open", "MINION may be used again", "MINION", "/v1/minions/%s/open"),
			orderCommand("retire", "forget MINION, which must be empty", "MINION", "/v1/minions/%s/retire"),
		}}, accountCommand())...)...)
	app.ExitErrHandler = func(context.Context, *cli.Command, error) {} // the codes are ours, see exitcodes.go
	return app
}
