package operator

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"crosstide/internal/signature"
	"crosstide/internal/state/command"
	"crosstide/internal/state/query"
)

// evacuation is the zone that is out, and until when.
type evacuation struct {
	zone  string
	until time.Duration
}

// maybeEvacuate evacuates a zone by one operator's word, now and then, and lifts that by both some seconds later.
func (o *session) maybeEvacuate(ctx context.Context, i int) {
	if o.evacuated.zone != "" {
		if o.clock.Now() >= o.evacuated.until {
			o.lift(ctx, i)
		}
		return
	}
	if o.EvacuateProbability == 0 || o.rng.Float64() >= o.EvacuateProbability {
		return
	}
	zone, key := o.zones[o.rng.IntN(len(o.zones))], o.keys[o.rng.IntN(2)]
	id := fmt.Sprintf("%s-%d-e", o.prefix, i)
	var done command.ZoneEvacuation
	body := mustEncode(map[string]string{"order": id, "by": key.Name, "sig": key.Sign(signature.Evacuate(id, zone))})
	e := Entry{Event: "evacuation", Order: id, By: key.Name}
	if _, yes := o.order(ctx, "/v1/zones/"+zone+"/evacuate", body, e, &done, func(*Entry) {}); yes {
		o.record(Entry{Event: Evacuate, Zone: zone, Order: id, By: key.Name, OK: true})
		o.counts.Evacuations++
		o.evacuated = evacuation{zone, o.clock.Now() + 6*time.Second + time.Duration(o.rng.IntN(4000))*time.Millisecond}
	}
}

// lift needs both operators; the first alone must not lift.
func (o *session) lift(ctx context.Context, i int) {
	zone := o.evacuated.zone
	reply, err := o.caller.Call(ctx, http.MethodGet, o.anyControlPlane().Addr, "/v1/zones", nil, callTimeout)
	var list struct{ Zones []query.ZoneView }
	if err != nil || !reply.IsSuccess() || json.Unmarshal(reply.Body, &list) != nil {
		return // at the next turn
	}
	since := time.Time{}
	for _, z := range list.Zones {
		if z.Zone == zone {
			since = z.Since
		}
	}
	if since.IsZero() {
		o.evacuated = evacuation{}
		return
	}
	for k, at := range o.rng.Perm(2) {
		key := o.keys[at]
		id := fmt.Sprintf("%s-%d-l%d", o.prefix, i, at)
		if k == 1 {
			o.record(Entry{Event: Lift, Zone: zone, Order: id, By: key.Name})
		}
		var done command.ZoneEvacuation
		body := mustEncode(map[string]string{"order": id, "by": key.Name, "sig": key.Sign(signature.Lift(zone, since))})
		_, yes := o.order(ctx, "/v1/zones/"+zone+"/lift", body, Entry{Event: "lifting", Order: id, By: key.Name}, &done, func(*Entry) {})
		if yes && done.Evacuated != (k == 0) {
			o.counts.LiftsWrong++
		}
		if yes && k == 1 {
			o.evacuated = evacuation{}
		}
	}
}
