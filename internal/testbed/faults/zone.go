package faults

import (
	"context"
	"time"

	"crosstide/internal/errs"
	"crosstide/internal/testbed/netproxy"
)

// Kinds of zone outages.
const (
	ZoneKill     = "kill" // the processes of the zone stay down
	ZoneEvacuate = "evacuate"
	ZoneCut      = "cut"
	ZoneFreeze   = "freeze"
)

// ZoneKinds lists all kinds of zone outages.
var ZoneKinds = []string{ZoneKill, ZoneEvacuate, ZoneCut, ZoneFreeze}

// TakeZoneOut makes a zone unavailable and returns the names of its processes. The outage ends after d, but for
// ZoneKill: killed processes stay down, and only those that were running are returned.
func (t *Target) TakeZoneOut(ctx context.Context, zone, kind string, d time.Duration) ([]string, error) {
	names := t.Nodes.ProcessesInZone(zone)
	var err error
	switch kind {
	case ZoneKill:
		names, err = t.Kill("zone", names)
	case ZoneFreeze:
		err = t.freezeAll(ctx, names, d)
	case ZoneCut:
		_, err = t.InjectNetwork(ctx, netproxy.Fault{Zone: zone, Kind: netproxy.Blackhole, For: d})
	default:
		err = t.Evacuate(ctx, zone, d)
	}
	return names, errs.Pass(err, "%s of %s", kind, zone)
}
