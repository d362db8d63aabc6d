package main

import (
	"context"
	"os/signal"
	"slices"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"

	"crosstide/internal/clock"
	"crosstide/internal/errs"
	"crosstide/internal/routine"
	"crosstide/internal/testbed/audit"
	"crosstide/internal/testbed/fleet"
	"crosstide/internal/testbed/load"
)

func init() {
	commands = append(commands, &cli.Command{
		Name:  "zone",
		Usage: "take a zone out under load, then audit",
		Description: "crosstide-testbed zone --fleet DIR --zone z1 --how kill [--after 8s, and the flags of crosstide-testbed load]\n\n" +
			"Starts the load and takes the zone out after --after: kill sends SIGKILL to its processes, which stay down\n" +
			"(`scripts/fleet restart DIR NAME` brings one back); for the time of --out, freeze stops its processes, cut\n" +
			"silences the links to it (the fleet must have links), evacuate gives the operators' order, which is lifted\n" +
			"after it. Then it waits for the load's end, audits, and prints one JSON object with the load's report and\n" +
			"how long the service was away; the audit's lines go to the standard error.\n" +
			"Exit 1 if a promise is broken or an accepted job is unknown or unfinished.",
		Flags: append(loadFlags(),
			&cli.StringFlag{Name: "zone", Required: true},
			&cli.StringFlag{Name: "how", Value: "kill", Usage: "kill, evacuate, cut or freeze"},
			&cli.DurationFlag{Name: "out", Value: 12 * time.Second, Usage: "how long the zone is out; not of kill"},
			&cli.DurationFlag{Name: "after", Value: 8 * time.Second, Usage: "the zone goes this long after the load began"}),
		Action: runZone,
	})
}

// zoneReport is the result of a zone drill. Times are in seconds from the moment the zone was taken out.
type zoneReport struct {
	Zone  string   `json:"zone"`
	Kind  string   `json:"how"`
	Nodes []string `json:"nodes"` // that were taken out
	audit.Outage
	Load  load.Report     `json:"load"`
	Audit []audit.Finding `json:"audit"`
}

// runZone takes a zone out under load, waits for the load's end, audits and prints the report.
func runZone(ctx context.Context, cmd *cli.Command) error {
	dir, zone, kind := cmd.String("fleet"), cmd.String("zone"), cmd.String("how")
	if !slices.Contains([]string{"kill", "evacuate", "cut", "freeze"}, kind) {
		return exitCode{errs.Field(errs.Settings, "how", "is %q", kind), 2}
	}
	options, err := loadOptions(cmd)
	if err != nil {
		return errs.Pass(err, "zone")
	}
	nodes, err := fleet.Read(dir)
	if err != nil {
		return errs.Pass(err, "zone")
	}
	names := nodes.ProcessesInZone(zone)
	if len(names) == 0 {
		return exitCode{errs.Field(errs.Settings, "zone", "no node is in %q", zone), 2}
	}
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGINT, syscall.SIGTERM)
	defer stop()

	report := zoneReport{Zone: zone, Kind: kind}
	outAt, err := report.loadAndTakeOut(ctx, cmd, names, options)
	if err != nil {
		return errs.Pass(err, "zone")
	}
	if report.Audit, err = auditFleet(ctx, dir); err != nil {
		return errs.Pass(err, "zone")
	}
	history, err := audit.Read(dir)
	if err != nil {
		return errs.Pass(err, "zone")
	}
	report.Outage = audit.MeasureOutage(history, outAt)
	return errs.Pass(report.print(cmd), "zone")
}

// loadAndTakeOut runs the load and, some time after its start, takes the zone out. It returns when that was.
func (r *zoneReport) loadAndTakeOut(ctx context.Context, cmd *cli.Command, names []string, options load.Options) (time.Time, error) {
	var outAt time.Time
	var outputError, loadError error
	group := routine.New(ctx)
	due := make(chan struct{})
	defer clock.Real{}.Set(cmd.Duration("after"), func() { close(due) }).Stop()
	group.Go(func(ctx context.Context) {
		select {
		case <-due:
			outAt = clock.Real{}.Wall()
			r.Nodes, outputError = takeZoneOut(ctx, options.Dir, r.Zone, r.Kind, names, cmd.Duration("out"))
		case <-ctx.Done():
		}
	})
	group.Go(func(ctx context.Context) { r.Load, loadError = load.Run(ctx, options) })
	group.Wait()
	for _, err := range []error{loadError, outputError} {
		if err != nil {
			return outAt, errs.Pass(err, "load and outage")
		}
	}
	if outAt.IsZero() {
		return outAt, errs.New(errs.Stopped, "stopped before the zone was taken out")
	}
	return outAt, nil
}

// print prints the report and the audit; a broken promise or a lost job is exit code 1.
func (r *zoneReport) print(cmd *cli.Command) error {
	if err := printJSON(cmd.Root().Writer, r); err != nil {
		return errs.Pass(err, "report")
	}
	if err := audit.WriteReport(cmd.Root().ErrWriter, r.Audit, 10); err != nil {
		return errs.Pass(err, "audit")
	}
	if !audit.NoneViolated(r.Audit) || r.Load.Unknown > 0 || r.Load.Unfinished > 0 {
		return exitCode{errs.New(errs.Internal, "a promise is broken, or an accepted job is unknown or unfinished"), 1}
	}
	return nil
}
