package main

import (
	"context"

	"github.com/urfave/cli/v3"

	"crosstide/internal/errs"
	"crosstide/internal/testbed/netproxy"
)

const cutDescription = "crosstide-testbed cut --fleet DIR (--node NAME|--zone Z) --for 25s" +
	" [--silent|--oneway|--slow 300ms|--late]\n\n" +
	"Only the links between the node (or zone) and all others are touched; clients and operators still reach\n" +
	"it. The cut heals by itself, this command does not wait for it. No connection is reset before it heals.\n" +
	"With --late, held back orders of one that has gone on since arrive at the end: a minion that obeys late\n" +
	"orders is promised that none is later than `lateness` of the dplanes' settings."

func cutCommand() *cli.Command {
	return &cli.Command{
		Name: "cut", Usage: "make the links to a node or a zone lose, slow down or hold back what they carry",
		Description: cutDescription,
		Flags: []cli.Flag{
			fleetFlag(),
			&cli.StringFlag{Name: "node"},
			&cli.StringFlag{Name: "zone"},
			&cli.DurationFlag{Name: "for", Required: true},
			&cli.BoolFlag{Name: netproxy.Blackhole, Usage: "swallow all (the default)"},
			&cli.BoolFlag{Name: netproxy.OneWayBlackhole, Usage: "swallow what the node or zone sends"},
			&cli.DurationFlag{Name: netproxy.AddLatency, Usage: "let all arrive `D` later"},
			&cli.BoolFlag{Name: netproxy.Stall, Usage: "hold all back until the end"},
		},
		Action: runCut,
	}
}

func runCut(ctx context.Context, cmd *cli.Command) error {
	fault, err := faultOf(cmd)
	if err != nil {
		return exitCode{err, exitUsage}
	}
	if err := fault.Check(); err != nil {
		return errs.Pass(err, "cut")
	}
	target, err := openFleet(cmd)
	if err != nil {
		return errs.Pass(err, "cut")
	}
	links, err := target.InjectNetwork(ctx, fault)
	if err != nil {
		return errs.Pass(err, "cut")
	}
	err = printf(cmd, "%s cut of %s%s for %s, %d links\n", fault.Kind, fault.Node, fault.Zone, fault.For, links)
	return errs.Pass(err, "cut")
}

// faultOf returns the fault that the flags select; each kind of fault has a flag of its name. Failure: Settings.
func faultOf(cmd *cli.Command) (netproxy.Fault, error) {
	fault := netproxy.Fault{Node: cmd.String("node"), Zone: cmd.String("zone"), For: cmd.Duration("for"),
		Kind: netproxy.Blackhole, Delay: cmd.Duration(netproxy.AddLatency)}
	given := 0
	for _, kind := range []string{netproxy.Blackhole, netproxy.OneWayBlackhole, netproxy.AddLatency, netproxy.Stall} {
		if cmd.IsSet(kind) {
			fault.Kind = kind
			given++
		}
	}
	if given > 1 {
		return fault, errs.Field(errs.Settings, "how", "only one of them may be given")
	}
	return fault, nil
}
