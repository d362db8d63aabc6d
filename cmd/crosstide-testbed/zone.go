package main

import (
	"context"
	"slices"
	"time"

	"github.com/urfave/cli/v3"

	"crosstide/internal/errs"
	"crosstide/internal/testbed/audit"
	"crosstide/internal/testbed/faults"
	"crosstide/internal/testbed/rehearsal"
)

const zoneDescription = "crosstide-testbed zone --fleet DIR --zone z1 --how kill" +
	" [--after 8s, and the flags of crosstide-testbed load]\n\n" +
	"Starts the load and takes the zone out after --after: kill sends SIGKILL to its processes, which stay down\n" +
	"(`scripts/fleet restart DIR NAME` brings one back); for the time of --out, freeze stops its processes, cut\n" +
	"silences the links to it (the fleet must have links), evacuate gives the operators' order, which is lifted\n" +
	"after it. Then it waits for the load's end, audits, and prints one JSON object with the load's report and\n" +
	"how long the service was away; the audit's lines go to the standard error.\n" +
	"Exit 1 if a promise is broken or an accepted job is unknown or unfinished."

func zoneCommand() *cli.Command {
	return &cli.Command{
		Name:        "zone",
		Usage:       "take a zone out under load, then audit",
		Description: zoneDescription,
		Flags: append(loadFlags(),
			&cli.StringFlag{Name: "zone", Required: true},
			&cli.StringFlag{Name: "how", Value: "kill", Usage: "kill, evacuate, cut or freeze"},
			&cli.DurationFlag{Name: "out", Value: 12 * time.Second, Usage: "how long the zone is out; not of kill"},
			&cli.DurationFlag{Name: "after", Value: 8 * time.Second,
				Usage: "the zone goes this long after the load began"}),
		Action: runZone,
	}
}

func runZone(ctx context.Context, cmd *cli.Command) error {
	ctx, stop := interruptible(ctx)
	defer stop()
	zone, kind := cmd.String("zone"), cmd.String("how")
	if !slices.Contains(faults.ZoneKinds, kind) {
		return exitCode{errs.Field(errs.Settings, "how", "is %q", kind), exitUsage}
	}
	options, err := loadOptions(cmd)
	if err != nil {
		return errs.Pass(err, "zone")
	}
	target, err := openFleet(cmd)
	if err != nil {
		return errs.Pass(err, "zone")
	}
	if len(target.Nodes.ProcessesInZone(zone)) == 0 {
		return exitCode{errs.Field(errs.Settings, "zone", "no node is in %q", zone), exitUsage}
	}
	report, err := rehearsal.RunZoneOutage(ctx, rehearsal.ZoneOptions{Target: target, Zone: zone, Kind: kind,
		After: cmd.Duration("after"), For: cmd.Duration("out"), Load: options})
	if err != nil {
		return errs.Pass(err, "zone")
	}
	if err := printJSON(cmd, report); err != nil {
		return errs.Pass(err, "zone")
	}
	if err := audit.WriteReport(cmd.Root().ErrWriter, report.Audit, 10); err != nil {
		return errs.Pass(err, "zone")
	}
	if !report.IsClean() {
		err := errs.New(errs.Internal, "a promise is broken, or an accepted job is unknown or unfinished")
		return exitCode{err, exitViolated}
	}
	return nil
}
