package main

import (
	"context"

	"github.com/urfave/cli/v3"

	"crosstide/internal/errs"
	"crosstide/internal/testbed/fleet"
)

func planCommand() *cli.Command {
	return &cli.Command{
		Name: "plan", Usage: "write the settings of a fleet on this machine; scripts/fleet starts it",
		Description: "Writes DIR/nodes.json, DIR/settings/NAME.json and DIR/start (lines: name program args...).",
		Flags: []cli.Flag{
			fleetFlag(),
			&cli.StringFlag{Name: "bin", Usage: "`FOLDER` of the programs", Required: true},
			&cli.IntFlag{Name: "cplanes", Value: 5},
			&cli.IntFlag{Name: "dplanes", Value: 3},
			&cli.IntFlag{Name: "minions", Value: 12},
			&cli.IntFlag{Name: "zones", Value: 3},
			&cli.IntFlag{Name: "cores", Value: 16, Usage: "of each minion"},
			&cli.StringFlag{Name: "kind", Value: "check", Usage: "obey, check or mixed"},
			&cli.IntFlag{Name: "hollow", Usage: "`N` hollow minions, many to a process, beside the others"},
			&cli.IntFlag{Name: "hosts", Value: 8, Usage: "processes that share the hollow minions"},
			&cli.StringFlag{Name: "profile",
				Usage: "a deployment at its own size, in place of the sizes: lubra or mamlaka"},
			&cli.IntFlag{Name: "sick", Usage: "`N` of the minions end every run in a fault"},
			&cli.BoolFlag{Name: "links", Usage: "a faulty link between any two nodes, for crosstide-testbed cut"},
		},
		Action: runPlan,
	}
}

func runPlan(_ context.Context, cmd *cli.Command) error {
	shape := fleet.Shape{ControlPlanes: cmd.Int("cplanes"), DataPlanes: cmd.Int("dplanes"), Workers: cmd.Int("minions"),
		Zones: cmd.Int("zones"), Cores: cmd.Int("cores"), Kind: cmd.String("kind"), Bin: cmd.String("bin"),
		Proxied: cmd.Bool("links"), SharedWorkers: cmd.Int("hollow"), SharedProcesses: cmd.Int("hosts"),
		FailingWorkers: cmd.Int("sick")}
	var err error
	if cmd.IsSet("profile") {
		if shape, err = shape.WithProfile(cmd.String("profile")); err != nil {
			return errs.Pass(err, "plan")
		}
	}
	_, err = fleet.Plan(cmd.String("fleet"), shape)
	return errs.Pass(err, "plan")
}
