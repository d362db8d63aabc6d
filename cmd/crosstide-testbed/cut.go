package main

import (
	"context"

	"github.com/urfave/cli/v3"

	"crosstide/internal/errs"
	"crosstide/internal/testbed/netproxy"
)

const cutDescription = "crosstide-testbed cut --fleet DIR (--node NAME|--zone Z) --for 25s" +
	" [--silent|--oneway|--slow 300ms|--late]\n\n" +
	"Only the links between the node (or zone) and all others are affected; clients and operators still reach\n" +
	"it. The fault ends after --for; this command does not wait for it. No connection is reset before the\n" +
	"end. With --late, orders arrive at the end even if their sender has continued since. A minion of\n" +
	"kind obey carries out late orders and relies on none being later than `lateness` in the data-plane\n" +
	"nodes' settings."

func cutCommand() *cli.Command {
	return &cli.Command{
		Name: "cut", Usage: "drop, slow down or hold back the traffic on the links to a node or a zone",
		Description: cutDescription,
		Flags: []cli.Flag{
			fleetFlag(),
			&cli.StringFlag{Name: "node"},
			&cli.StringFlag{Name: "zone"},
			&cli.DurationFlag{Name: "for", Required: true},
			&cli.BoolFlag{Name: netproxy.Blackhole, Usage: "drop everything (the default)"},
			&cli.BoolFlag{Name: netproxy.OneWayBlackhole, Usage: "drop everything that the node or zone sends"},
			&cli.DurationFlag{Name: netproxy.AddLatency, Usage: "deliver everything `D` later"},
			&cli.BoolFlag{Name: netproxy.Stall, Usage: "hold everything back until the end"},
		},
		Action: runCut,
	}
}

func runCut(ctx context.Context, cmd *cli.Command) error {
	fault, err := faultFromFlags(cmd)
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

// faultFromFlags returns the fault that the flags select. Each kind of fault has a flag of its name. Failure: Settings,
// if more than one of them is set.
func faultFromFlags(cmd *cli.Command) (netproxy.Fault, error) {
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
		return fault, errs.Field(errs.Settings, "how", "only one of --silent, --oneway, --slow and --late may be given")
	}
	return fault, nil
}
