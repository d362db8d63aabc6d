package main

import (
	"context"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"

	"crosstide/internal/alarm"
	"crosstide/internal/fault"
	"crosstide/internal/rig/audit"
	"crosstide/internal/rig/fleet"
	"crosstide/internal/rig/journal"
	"crosstide/internal/rig/load"
	"crosstide/internal/spawn"
)

func init() {
	commands = append(commands, &cli.Command{
		Name:  "zone",
		Usage: "take a zone out under load, then audit",
		Description: "drill zone --fleet DIR --zone z1 --how kill [--after 8s, and the flags of drill load]\n\n" +
			"Starts the load, kills every process of the zone with SIGKILL after --after, waits for the load's end,\n" +
			"audits, and prints one JSON object with the load's report and how long the service was away; the audit's\n" +
			"lines go to the standard error. What was killed stays down: `scripts/fleet restart DIR NAME` brings it back.\n" +
			"Exit 1 if a promise is broken or an accepted job is unknown or unfinished.",
		Flags: append(loadFlags(),
			&cli.StringFlag{Name: "zone", Required: true},
			&cli.StringFlag{Name: "how", Value: "kill", Usage: "kill; evacuate, cut and freeze are not built yet"},
			&cli.DurationFlag{Name: "after", Value: 8 * time.Second, Usage: "the zone goes this long after the load began"}),
		Action: runZone,
	})
}

// zoneReport is what a zone drill came to. Times are in seconds from the moment the zone was killed.
type zoneReport struct {
	Zone   string   `json:"zone"`
	How    string   `json:"how"`
	Killed []string `json:"killed"`
	audit.Outage
	Load  load.Report     `json:"load"`
	Audit []audit.Finding `json:"audit"`
}

func runZone(ctx context.Context, cmd *cli.Command) error {
	dir, zone := cmd.String("fleet"), cmd.String("zone")
	if how := cmd.String("how"); how != "kill" {
		return exitCode{fault.Field(fault.Settings, "how", "%q is not built yet, only kill", how), 2}
	}
	o, err := loadOptions(cmd)
	if err != nil {
		return fault.Pass(err, "zone")
	}
	nodes, err := fleet.Read(dir)
	if err != nil {
		return fault.Pass(err, "zone")
	}
	names := nodes.Zone(zone)
	if len(names) == 0 {
		return exitCode{fault.Field(fault.Settings, "zone", "no node is in %q", zone), 2}
	}
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGINT, syscall.SIGTERM)
	defer stop()

	out := zoneReport{Zone: zone, How: "kill"}
	var killedAt time.Time
	var killFault, loadFault error
	group := spawn.New(ctx)
	rung := make(chan struct{})
	defer alarm.Real{}.Set(cmd.Duration("after"), func() { close(rung) }).Stop()
	group.Go(func(ctx context.Context) {
		select {
		case <-rung:
			killedAt = alarm.Real{}.Wall()
			out.Killed, killFault = killAll(dir, names)
		case <-ctx.Done():
		}
	})
	group.Go(func(ctx context.Context) { out.Load, loadFault = load.Run(ctx, o) })
	group.Wait()
	for _, err := range []error{loadFault, killFault} {
		if err != nil {
			return fault.Pass(err, "zone")
		}
	}
	if killedAt.IsZero() {
		return fault.New(fault.Stopped, "stopped before the zone was killed")
	}
	if out.Audit, err = findings(ctx, dir); err != nil {
		return fault.Pass(err, "zone")
	}
	h, err := audit.Read(dir)
	if err != nil {
		return fault.Pass(err, "zone")
	}
	out.Outage = audit.Away(h, killedAt)
	if err := printJSON(cmd.Root().Writer, out); err != nil {
		return fault.Pass(err, "zone")
	}
	if err := audit.Show(cmd.Root().ErrWriter, out.Audit, 10); err != nil {
		return fault.Pass(err, "zone")
	}
	if !audit.Clean(out.Audit) || out.Load.Unknown > 0 || out.Load.Unfinished > 0 {
		return exitCode{fault.New(fault.Internal, "a promise is broken, or an accepted job is unknown or unfinished"), 1}
	}
	return nil
}

// killAll kills the processes and notes each just before; one that is gone already is left out.
func killAll(dir string, names []string) ([]string, error) {
	notes, err := journal.Open(filepath.Join(dir, "journal", "drill-zone.jsonl"))
	if err != nil {
		return nil, fault.Pass(err, "drill's journal")
	}
	defer notes.Close()
	var killed []string
	for _, name := range names {
		at := alarm.Real{}.Wall().UnixNano()
		if err := fleet.Kill(dir, name); fault.Is(err, fault.Unknown) {
			continue
		} else if err != nil {
			return killed, fault.Pass(err, "zone")
		}
		killed = append(killed, name)
		note := map[string]any{"at": at, "ev": audit.Kill, "node": name, "how": "SIGKILL"}
		if err := notes.Append(note); err != nil {
			return killed, fault.Pass(err, "drill's journal")
		}
	}
	return killed, nil
}
