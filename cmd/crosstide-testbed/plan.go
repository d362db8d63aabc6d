package main

import (
	"context"

	"github.com/urfave/cli/v3"

	"crosstide/internal/errs"
	"crosstide/internal/testbed/fleet"
)

func planCommand() *cli.Command {
	return &cli.Command{
		Name: "plan", Usage: "write the settings of a fleet on this machine, which scripts/fleet starts",
		Description: "Writes DIR/nodes.json, DIR/settings/NAME.json and DIR/start (lines: name program args...).",
		Flags: []cli.Flag{
			fleetFlag(),
			&cli.StringFlag{Name: "bin", Usage: "`FOLDER` of the programs", Required: true},
			&cli.IntFlag{Name: "cplanes", Value: 5},
			&cli.IntFlag{Name: "dplanes", Value: 3},
			&cli.IntFlag{Name: "minions", Value: 12},
			&cli.IntFlag{Name: "zones", Value: 3},
			&cli.IntFlag{Name: "cores", Value: 16, Usage: "cores of each minion"},
			&cli.StringFlag{Name: "kind", Value: "check", Usage: "kind of the minions: obey, check or mixed"},
			&cli.IntFlag{Name: "hollow", Usage: "`N` additional hollow minions, many in one process"},
			&cli.IntFlag{Name: "hosts", Value: 8, Usage: "number of processes for the hollow minions"},
			&cli.StringFlag{Name: "profile",
				Usage: "use the sizes of a deployment in place of the flags: lubra or mamlaka"},
			&cli.IntFlag{Name: "sick", Usage: "`N` of the minions fail every run"},
			&cli.BoolFlag{Name: "links", Usage: "put a faulty link between any two nodes, for crosstide-testbed cut"},
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
