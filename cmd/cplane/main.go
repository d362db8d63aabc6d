// Program cplane is a member of the control store, and the operators' command for it.
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
	settings := &cli.StringFlag{Name: "settings", Usage: "settings `FILE`", Required: true}
	app := &cli.Command{
		Name:  "cplane",
		Usage: "a member of the control store",
		Commands: []*cli.Command{
			{
				Name: "run", Usage: "run until SIGTERM", Action: run,
				Flags: []cli.Flag{settings,
					&cli.StringFlag{Name: "addr", Usage: "`IP:PORT` to listen at, over the settings"},
					&cli.StringFlag{Name: "data", Usage: "`FOLDER` of the store, over the settings"},
					&cli.StringFlag{Name: "zone", Usage: "over the settings"},
					&cli.StringFlag{Name: "log-level", Usage: "debug, info, warn or error, over the settings"},
					&cli.BoolFlag{Name: "pprof", Usage: "show profiles at /debug/pprof/"},
					&cli.DurationFlag{Name: "grace", Usage: "for running calls at the end, over the settings"},
				},
			},
			{Name: "check", Usage: "print all mistakes in the settings; exit 1 if there are any", Action: check, Flags: []cli.Flag{settings}},
			{Name: "version", Usage: "print the version", Action: func(context.Context, *cli.Command) error {
				fmt.Println(version)
				return nil
			}},
		},
	}
	app.Commands = append(app.Commands, codes(append(bundleCommands(),
		&cli.Command{Name: "who", Usage: "print who holds what", Action: who, Flags: append(addrFlags(), jsonFlag())},
		&cli.Command{Name: "member", Usage: "list the members of the store, replace one", Commands: []*cli.Command{
			{Name: "list", Usage: "print every member", Action: members, Flags: append(addrFlags(), jsonFlag())},
			orderCommand("replace", "the cplane NEW may join in the place of OLD, whose machine is gone", "OLD NEW", "/v1/members/%s/replace/%s"),
		}},
		&cli.Command{Name: "minion", Usage: "list, drain, open and retire minions", Commands: []*cli.Command{
			{Name: "list", Usage: "print every minion", Action: minions, Flags: append(addrFlags(), jsonFlag())},
			orderCommand("drain", "no new starts on MINION", "MINION", "/v1/minions/%s/drain"),
			orderCommand("open", "MINION may be used again", "MINION", "/v1/minions/%s/open"),
			orderCommand("retire", "forget MINION, which must be empty", "MINION", "/v1/minions/%s/retire"),
		}})...)...)
	app.ExitErrHandler = func(context.Context, *cli.Command, error) {} // the codes are ours, see exit.go
	if err := app.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "cplane:", err)
		os.Exit(exitOf(err))
	}
}
