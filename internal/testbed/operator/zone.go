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

// evacuated is the zone that is out, and until when.
type evacuated struct {
	zone string
	till time.Duration
}

// zone evacuates a zone by one operator's word, now and then, and lifts that by both some seconds later.
func (o *office) zone(ctx context.Context, i int) {
	if o.out.zone != "" {
		if o.clock.Now() >= o.out.till {
			o.lift(ctx, i)
		}
		return
	}
	if o.Evacuate == 0 || o.luck.Float64() >= o.Evacuate {
		return
	}
	zone, key := o.zones[o.luck.IntN(len(o.zones))], o.keys[o.luck.IntN(2)]
	id := fmt.Sprintf("%s-%d-e", o.prefix, i)
	var done command.ZoneEvacuation
	body := encoded(map[string]string{"order": id, "by": key.Name, "sig": key.Sign(signature.Evacuate(id, zone))})
	e := Entry{Ev: "evacuation", Order: id, By: key.Name}
	if _, yes := o.order(ctx, "/v1/zones/"+zone+"/evacuate", body, e, &done, func(*Entry) {}); yes {
		o.note(Entry{Ev: Evacuate, Zone: zone, Order: id, By: key.Name, OK: true})
		o.counts.Evacuations++
		o.out = evacuated{zone, o.clock.Now() + 6*time.Second + time.Duration(o.luck.IntN(4000))*time.Millisecond}
	}
}

// lift needs both operators; the first alone must not lift.
func (o *office) lift(ctx context.Context, i int) {
	zone := o.out.zone
	reply, err := o.caller.Call(ctx, http.MethodGet, o.anyCore().Addr, "/v1/zones", nil, callBound)
	var list struct{ Zones []query.ZoneView }
	if err != nil || !reply.Good() || json.Unmarshal(reply.Body, &list) != nil {
		return // at the next turn
	}
	since := time.Time{}
	for _, z := range list.Zones {
		if z.Zone == zone {
			since = z.Since
		}
	}
	if since.IsZero() {
		o.out = evacuated{}
		return
	}
	for k, at := range o.luck.Perm(2) {
		key := o.keys[at]
		id := fmt.Sprintf("%s-%d-l%d", o.prefix, i, at)
		if k == 1 {
			o.note(Entry{Ev: Lift, Zone: zone, Order: id, By: key.Name})
		}
		var done command.ZoneEvacuation
		body := encoded(map[string]string{"order": id, "by": key.Name, "sig": key.Sign(signature.Lift(zone, since))})
		_, yes := o.order(ctx, "/v1/zones/"+zone+"/lift", body, Entry{Ev: "lifting", Order: id, By: key.Name}, &done, func(*Entry) {})
		if yes && done.Evacuated != (k == 0) {
			o.counts.LiftsWrong++
		}
		if yes && k == 1 {
			o.out = evacuated{}
		}
	}
}
