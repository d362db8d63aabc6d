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
			{Name: "who", Usage: "print who holds what", Action: who, Flags: addrFlags()},
			{Name: "zone", Usage: "evacuate a zone, or lift that", Commands: []*cli.Command{
				orderCommand("evacuate", "no new starts in ZONE, what runs there is stopped", "ZONE", "/v1/zones/%s/evacuate"),
				orderCommand("lift", "ZONE may be used again", "ZONE", "/v1/zones/%s/lift"),
			}},
			{Name: "minion", Usage: "list, drain, open and retire minions", Commands: []*cli.Command{
				{Name: "list", Usage: "print every minion", Action: minions, Flags: addrFlags()},
				orderCommand("drain", "no new starts on MINION", "MINION", "/v1/minions/%s/drain"),
				orderCommand("open", "MINION may be used again", "MINION", "/v1/minions/%s/open"),
				orderCommand("retire", "forget MINION, which must be empty", "MINION", "/v1/minions/%s/retire"),
			}},
		},
	}
	if err := app.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "cplane:", err)
		os.Exit(1)
	}
}
