package main

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"crosstide/internal/clock"
	"crosstide/internal/errs"
	"crosstide/internal/testbed/fleet"
)

func init() {
	commands = append(commands, portsCommand(), planCommand(), readyCommand(), whoCommand())
}

func portsCommand() *cli.Command {
	return &cli.Command{
		Name: "ports", Usage: "print N free loopback ports", ArgsUsage: "N",
		Description: "The ports are outside of the range that outgoing connections take theirs from.",
		Arguments:   []cli.Argument{&cli.IntArg{Name: "n", Value: 1}},
		Action: func(_ context.Context, cmd *cli.Command) error {
			ports, err := fleet.FreePorts(cmd.IntArg("n"))
			for _, port := range ports {
				fmt.Fprintln(cmd.Root().Writer, port)
			}
			return errs.Pass(err, "ports")
		},
	}
}

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
			&cli.StringFlag{Name: "profile", Usage: "a deployment at its own size, in place of the sizes: lubra or mamlaka"},
			&cli.IntFlag{Name: "sick", Usage: "`N` of the minions end every run in a fault"},
			&cli.BoolFlag{Name: "links", Usage: "a faulty link between any two nodes, for crosstide-testbed cut"},
		},
		Action: planFleet,
	}
}

// planFleet writes the settings of a fleet.
func planFleet(_ context.Context, cmd *cli.Command) error {
	shape := fleet.Shape{ControlPlanes: cmd.Int("cplanes"),
		DataPlanes: cmd.Int("dplanes"), Workers: cmd.Int("minions"), Zones: cmd.Int("zones"),
		Cores: cmd.Int("cores"), Kind: cmd.String("kind"), Bin: cmd.String("bin"), Proxied: cmd.Bool("links"),
		SharedWorkers: cmd.Int("hollow"), SharedProcesses: cmd.Int("hosts"), FailingWorkers: cmd.Int("sick")}
	var err error
	if cmd.IsSet("profile") {
		if shape, err = shape.WithProfile(cmd.String("profile")); err != nil {
			return errs.Pass(err, "plan")
		}
	}
	_, err = fleet.Plan(cmd.String("fleet"), shape)
	return errs.Pass(err, "plan")
}

func readyCommand() *cli.Command {
	return &cli.Command{
		Name: "ready", Usage: "wait until a fleet is ready; name what is not and exit 1 when the bound is over",
		Description: "Ready: /readyz of every cplane and dplane is 200 and the store knows a boot of every minion.",
		Flags:       []cli.Flag{fleetFlag(), &cli.DurationFlag{Name: "for", Value: 20 * time.Second}},
		Action:      ready,
	}
}

func whoCommand() *cli.Command {
	return &cli.Command{
		Name: "who", Usage: "print the holders: store NAME and sched NAME", Flags: []cli.Flag{fleetFlag()},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			nodes, err := fleet.Read(cmd.String("fleet"))
			if err != nil {
				return errs.Pass(err, "who")
			}
			who, err := fleet.FindLeaders(ctx, fleet.NewCaller(1), nodes)
			if err != nil {
				return errs.Pass(err, "who")
			}
			_, err = fmt.Fprintf(cmd.Root().Writer, "store %s\nsched %s\n", who.Store, who.Scheduler)
			return errs.Wrap(err, errs.Disk, "print")
		},
	}
}

// exitCode ends the program with a code of its own, after its message.
type exitCode struct {
	error
	code int
}

// ExitCode is what cli asks for.
func (e exitCode) ExitCode() int { return e.code }

// Unwrap returns the error.
func (e exitCode) Unwrap() error { return e.error }

func fleetFlag() cli.Flag {
	return &cli.StringFlag{Name: "fleet", Usage: "`DIR` of the fleet", Required: true}
}

func ready(ctx context.Context, cmd *cli.Command) error {
	nodes, err := fleet.Read(cmd.String("fleet"))
	if err != nil {
		return errs.Pass(err, "ready")
	}
	caller, clock := fleet.NewCaller(2), clock.Real{}
	for end := clock.Now() + cmd.Duration("for"); ; {
		late := fleet.NotReady(ctx, caller, nodes)
		if len(late) == 0 {
			return nil
		}
		if clock.Now() >= end {
			return errs.New(errs.Unavailable, "not ready: %s", strings.Join(late, " "))
		}
		fired := make(chan struct{})
		clock.Set(200*time.Millisecond, func() { close(fired) })
		select {
		case <-fired:
		case <-ctx.Done():
			return errs.Wrap(ctx.Err(), errs.Stopped, "ready")
		}
	}
}
