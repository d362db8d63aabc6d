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
	"Starts the load and takes the zone out after --after. kill sends SIGKILL to its processes, which stay\n" +
	"down (`scripts/fleet restart DIR NAME` starts one). The other kinds last for --out: freeze stops its\n" +
	"processes, cut drops everything on the links to it (the fleet must have links), evacuate sends the\n" +
	"operators' order, which is lifted afterwards. Then waits for the end of the load, audits, and prints one\n" +
	"JSON object with the load's report and the duration of the outage; the audit is printed on standard\n" +
	"error. Exits with 1 if an invariant was violated, or an accepted job is unknown or has not ended."

func zoneCommand() *cli.Command {
	return &cli.Command{
		Name:        "zone",
		Usage:       "take a zone out under load, then audit",
		Description: zoneDescription,
		Flags: append(loadFlags(),
			&cli.StringFlag{Name: "zone", Required: true},
			&cli.StringFlag{Name: "how", Value: "kill", Usage: "kill, evacuate, cut or freeze"},
			&cli.DurationFlag{Name: "out", Value: 12 * time.Second,
				Usage: "how long the outage lasts; not used by kill"},
			&cli.DurationFlag{Name: "after", Value: 8 * time.Second,
				Usage: "time from the start of the load to the outage"}),
		Action: runZone,
	}
}

func runZone(ctx context.Context, cmd *cli.Command) error {
	ctx, stop := interruptible(ctx)
	defer stop()
	zone, kind := cmd.String("zone"), cmd.String("how")
	if !slices.Contains(faults.ZoneKinds, kind) {
		return exitCode{errs.Field(errs.Settings, "how", "unknown kind %q", kind), exitUsage}
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
		return exitCode{errs.Field(errs.Settings, "zone", "no node in zone %q", zone), exitUsage}
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
		err := errs.New(errs.Internal, "an invariant was violated, or an accepted job is unknown or has not ended")
		return exitCode{err, exitViolated}
	}
	return nil
}
