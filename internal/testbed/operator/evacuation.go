package operator

import (
	"context"
	"fmt"
	"time"

	"crosstide/internal/signature"
	"crosstide/internal/state/command"
	"crosstide/internal/state/query"
)

// An evacuation lasts minEvacuation plus a random time below extraEvacuationInMS.
const (
	minEvacuation       = 6 * time.Second
	extraEvacuationInMS = 4000
)

// evacuation is an evacuation that is in force. In the zero value no zone is evacuated.
type evacuation struct {
	zone  string
	until time.Duration // when to lift it, on the session's clock
}

// evacuateOrLift orders an evacuation, which takes one operator, or lifts the one that is due, which takes both.
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

// lift lifts the evacuation by the orders of both operators; the first order alone must not lift it. If the fleet does
// not answer, the evacuation stays in force until the next call.
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
	for k, signer := range o.rng.Perm(operators) {
		key, isLast := o.keys[signer], k == operators-1
		id := fmt.Sprintf("%s-%d-l%d", o.prefix, i, signer)
		if isLast { // before the order: runs may start as soon as it is committed
			o.record(Entry{Event: Lift, Zone: zone, Order: id, By: key.Name})
		}
		var result command.ZoneEvacuation
		entry := Entry{Event: "lifting", Order: id, By: key.Name}
		isDone := o.zoneOrder(ctx, zone, "lift", key, signature.Lift(zone, since), entry, &result)
		if isDone && result.Evacuated == isLast {
			o.counts.LiftsWrong++
		}
		if isDone && isLast {
			o.evacuated = evacuation{}
		}
	}
}

// evacuatedSince returns when the evacuation of a zone began, or the zero time if it is not evacuated. isKnown is false
// if the answer cannot be read.
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

// zoneOrder sends an operator's order about a zone, with a signature of message, and reports whether it was carried
// out.
func (o *session) zoneOrder(ctx context.Context, zone, verb string, key signature.Key, message string, entry Entry,
	result *command.ZoneEvacuation) bool {
	body := mustEncode(map[string]string{"order": entry.Order, "by": key.Name, "sig": key.Sign(message)})
	_, isDone := o.order(ctx, "/v1/zones/"+zone+"/"+verb, body, entry, result, func(*Entry) {})
	return isDone
}
