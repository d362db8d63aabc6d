package main

import (
	"context"

	"github.com/urfave/cli/v3"

	"crosstide/internal/errs"
	"crosstide/internal/testbed/fleet"
)

func portsCommand() *cli.Command {
	return &cli.Command{
		Name: "ports", Usage: "print N free loopback ports", ArgsUsage: "N",
		Description: "The ports are outside of the ephemeral range, which outgoing connections use.",
		Arguments:   []cli.Argument{&cli.IntArg{Name: "n", Value: 1}},
		Action:      runPorts,
	}
}

func runPorts(_ context.Context, cmd *cli.Command) error {
	ports, err := fleet.FreePorts(cmd.IntArg("n"))
	if err != nil {
		return errs.Pass(err, "ports")
	}
	for _, port := range ports {
		if err := printf(cmd, "%d\n", port); err != nil {
			return errs.Pass(err, "ports")
		}
	}
	return nil
}
