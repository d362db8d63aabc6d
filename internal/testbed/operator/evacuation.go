package operator

import (
	"context"
	"fmt"
	"time"

	"crosstide/internal/signature"
	"crosstide/internal/state/command"
	"crosstide/internal/state/query"
)

// The duration of an evacuation is minEvacuation and up to extraEvacuationInMS, at random.
const (
	minEvacuation       = 6 * time.Second
	extraEvacuationInMS = 4000
)

// evacuation is the evacuation of a zone, and when it is to be lifted, on the session's clock. The zero value is none.
type evacuation struct {
	zone  string
	until time.Duration
}

// evacuateOrLift orders an evacuation, which needs one operator, or lifts the one that is due, which needs both.
func (o *session) evacuateOrLift(ctx context.Context, i int) {
	if o.evacuated.zone != "" {
		if o.clock.Now() >= o.evacuated.until {
			o.lift(ctx, i)
		}
		return
	}
	if o.EvacuateProbability == 0 || o.rng.Float64() >= o.EvacuateProbability {
		return
	}
	zone, key := o.zones[o.rng.IntN(len(o.zones))], o.keys[o.rng.IntN(operators)]
	id := fmt.Sprintf("%s-%d-e", o.prefix, i)
	entry := Entry{Event: "evacuation", Order: id, By: key.Name}
	if !o.zoneOrder(ctx, zone, "evacuate", key, signature.Evacuate(id, zone), entry, &command.ZoneEvacuation{}) {
		return
	}
	o.record(Entry{Event: Evacuate, Zone: zone, Order: id, By: key.Name, OK: true})
	o.counts.Evacuations++
	extra := time.Duration(o.rng.IntN(extraEvacuationInMS)) * time.Millisecond
	o.evacuated = evacuation{zone, o.clock.Now() + minEvacuation + extra}
}

// lift lifts the open evacuation by the orders of both operators; the first alone must not lift it. If the fleet does
// not answer, it stays open until the next turn.
func (o *session) lift(ctx context.Context, i int) {
	zone := o.evacuated.zone
	since, isKnown := o.evacuatedSince(ctx, zone)
	if !isKnown {
		return
	}
	if since.IsZero() {
		o.evacuated = evacuation{}
		return
	}
	for k, at := range o.rng.Perm(operators) {
		key, isLast := o.keys[at], k == operators-1
		id := fmt.Sprintf("%s-%d-l%d", o.prefix, i, at)
		if isLast { // before the order: starts may come from its commit on
			o.record(Entry{Event: Lift, Zone: zone, Order: id, By: key.Name})
		}
		var done command.ZoneEvacuation
		entry := Entry{Event: "lifting", Order: id, By: key.Name}
		isDone := o.zoneOrder(ctx, zone, "lift", key, signature.Lift(zone, since), entry, &done)
		if isDone && done.Evacuated == isLast {
			o.counts.LiftsWrong++
		}
		if isDone && isLast {
			o.evacuated = evacuation{}
		}
	}
}

// evacuatedSince returns when the evacuation of a zone began, and the zero time if it is not evacuated. isKnown is
// false without an answer.
func (o *session) evacuatedSince(ctx context.Context, zone string) (since time.Time, isKnown bool) {
	var list struct{ Zones []query.ZoneView }
	if !o.read(ctx, o.anyControlPlane(), "/v1/zones", &list) {
		return since, false
	}
	for _, z := range list.Zones {
		if z.Zone == zone {
			since = z.Since
		}
	}
	return since, true
}

// zoneOrder sends one operator's order about a zone and reports whether it was carried out.
func (o *session) zoneOrder(ctx context.Context, zone, verb string, key signature.Key, signed string, entry Entry,
	done *command.ZoneEvacuation) bool {
	body := mustEncode(map[string]string{"order": entry.Order, "by": key.Name, "sig": key.Sign(signed)})
	_, isDone := o.order(ctx, "/v1/zones/"+zone+"/"+verb, body, entry, done, func(*Entry) {})
	return isDone
}
