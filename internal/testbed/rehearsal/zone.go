package rehearsal

import (
	"context"
	"time"

	"crosstide/internal/clock"
	"crosstide/internal/errs"
	"crosstide/internal/routine"
	"crosstide/internal/testbed/audit"
	"crosstide/internal/testbed/faults"
	"crosstide/internal/testbed/load"
)

// ZoneOptions are the options of RunZoneOutage.
type ZoneOptions struct {
	Target *faults.Target
	Zone   string
	Kind   string        // of faults.ZoneKinds
	After  time.Duration // from the start of the load
	For    time.Duration // duration of the outage; ignored for faults.ZoneKill
	Load   load.Options
}

// ZoneReport is the result of a zone outage. Times are in seconds from the moment the zone was taken out.
type ZoneReport struct {
	Zone  string   `json:"zone"`
	Kind  string   `json:"how"`
	Nodes []string `json:"nodes"` // processes that were taken out
	audit.Outage
	Load  load.Report     `json:"load"`
	Audit []audit.Finding `json:"audit"`
}

// IsClean reports whether no invariant is violated and every accepted job is known and has ended.
func (r ZoneReport) IsClean() bool {
	return audit.NoneViolated(r.Audit) && r.Load.Unknown == 0 && r.Load.Unfinished == 0
}

// RunZoneOutage takes a zone out under load, waits until the load ends, audits and measures the outage. Failures: those
// of load.Run, of the fault and of the audit, Stopped.
func RunZoneOutage(ctx context.Context, options ZoneOptions) (ZoneReport, error) {
	report := ZoneReport{Zone: options.Zone, Kind: options.Kind}
	outAt, err := report.loadAndTakeOut(ctx, options)
	if err != nil {
		return report, errs.Pass(err, "outage")
	}
	if report.Audit, err = audit.CheckFleet(ctx, options.Target.Dir); err != nil {
		return report, errs.Pass(err, "outage")
	}
	history, err := audit.Read(options.Target.Dir)
	if err != nil {
		return report, errs.Pass(err, "outage")
	}
	report.Outage = audit.MeasureOutage(history, outAt)
	return report, nil
}

// loadAndTakeOut starts the load, takes the zone out options.After later, and waits for both. outAt is when the outage
// began.
func (r *ZoneReport) loadAndTakeOut(ctx context.Context, options ZoneOptions) (outAt time.Time, err error) {
	var faultErr, loadErr error
	group := routine.New(ctx)
	group.Go(func(ctx context.Context) {
		if !clock.Sleep(ctx.Done(), clock.Real{}, options.After) {
			return
		}
		outAt = clock.Real{}.Wall()
		r.Nodes, faultErr = options.Target.TakeZoneOut(ctx, options.Zone, options.Kind, options.For)
	})
	group.Go(func(ctx context.Context) { r.Load, loadErr = load.Run(ctx, options.Load) })
	group.Wait()
	for _, err := range []error{loadErr, faultErr} {
		if err != nil {
			return outAt, errs.Pass(err, "load and outage")
		}
	}
	if outAt.IsZero() {
		return outAt, errs.New(errs.Stopped, "stopped before the zone was taken out")
	}
	return outAt, nil
}
