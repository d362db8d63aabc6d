package faults

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"net/http"
	"path/filepath"
	"time"

	"crosstide/internal/errs"
	"crosstide/internal/httpapi/operatorapi"
	"crosstide/internal/signature"
	"crosstide/internal/testbed/audit"
	"crosstide/internal/testbed/fleet"
	"crosstide/internal/testbed/journal"
)

const (
	orderTimeout      = 30 * time.Second // over all attempts
	orderCallTimeout  = 5 * time.Second
	orderRetryBackoff = 200 * time.Millisecond
)

// SendOrder sends an operator's order to one control plane after another until one has carried it out. Retries are
// safe: the order's ID makes it idempotent. Failures: Internal (it was refused), Unavailable.
func (t *Target) SendOrder(ctx context.Context, path string, order operatorapi.Order) error {
	ctx, stop := context.WithTimeout(ctx, orderTimeout)
	defer stop()
	for attempt := 0; ; attempt++ {
		node := t.Nodes.ControlPlanes[attempt%len(t.Nodes.ControlPlanes)]
		reply, err := t.Caller.Call(ctx, http.MethodPost, node.Addr, path, order, orderCallTimeout)
		switch {
		case err == nil && reply.IsSuccess():
			return nil
		case err == nil && reply.IsRefusal():
			return errs.New(errs.Internal, "order %s: %s refused it: %s", path, node.Name, reply.Body)
		case !t.Sleep(ctx, orderRetryBackoff):
			return errs.New(errs.Unavailable, "order %s: no cplane carried it out in time; last answer: %v %s",
				path, err, reply.Body)
		}
	}
}

// Evacuate orders the evacuation of a zone, and lifts it after d or when ctx ends. It sends the lift even if the order
// failed, because a control plane may have carried the order out without an answer.
func (t *Target) Evacuate(ctx context.Context, zone string, d time.Duration) error {
	id := rand.Text()[:12]
	writer, err := journal.Open(filepath.Join(t.Dir, "journal", "operator-"+id+".jsonl"))
	if err != nil {
		return errs.Pass(err, "operator's journal")
	}
	defer writer.Close()
	record := func(event string) error {
		err := writer.Append(map[string]any{"at": t.now(), "ev": event, "zone": zone, "order": id})
		return errs.Pass(err, "operator's journal")
	}
	keys, err := fleet.Keys(t.Dir)
	if err != nil {
		return errs.Pass(err, "evacuate")
	}
	order := operatorapi.Order{Order: id + "-out", By: keys[0].Name,
		Sig: keys[0].Sign(signature.Evacuate(id+"-out", zone))}
	evacuated := t.SendOrder(ctx, "/v1/zones/"+zone+"/evacuate", order)
	if evacuated == nil {
		if evacuated = record(audit.Evacuate); evacuated == nil {
			t.Sleep(ctx, d)
		}
	}
	recorded := record(audit.Lift) // before the orders: runs may start as soon as they are committed
	return errors.Join(evacuated, recorded, t.lift(context.WithoutCancel(ctx), zone, id, keys))
}

// lift orders the end of an evacuation in the name of each operator: the signatures of two are required.
func (t *Target) lift(ctx context.Context, zone, id string, keys []signature.Key) error {
	since, err := t.evacuatedSince(ctx, zone)
	if err != nil {
		return errs.Pass(err, "lift %s", zone)
	}
	for _, key := range keys {
		signed := key.Sign(signature.Lift(zone, since))
		order := operatorapi.Order{Order: id + "-lift-" + key.Name, By: key.Name, Sig: signed}
		if err := t.SendOrder(ctx, "/v1/zones/"+zone+"/lift", order); err != nil {
			return errs.Pass(err, "lift %s", zone)
		}
	}
	return nil
}

// evacuatedSince asks one control plane after another when the evacuation of a zone began. Failures: Unknown (the zone
// is not evacuated), Unavailable.
func (t *Target) evacuatedSince(ctx context.Context, zone string) (time.Time, error) {
	ctx, stop := context.WithTimeout(ctx, orderTimeout)
	defer stop()
	for attempt := 0; ; attempt++ {
		node := t.Nodes.ControlPlanes[attempt%len(t.Nodes.ControlPlanes)]
		var list operatorapi.Zones
		reply, err := t.Caller.Call(ctx, http.MethodGet, node.Addr, "/v1/zones", nil, orderCallTimeout)
		if err == nil && reply.IsSuccess() && json.Unmarshal(reply.Body, &list) == nil {
			for _, z := range list.Zones {
				if z.Zone == zone {
					return z.Since, nil
				}
			}
			return time.Time{}, errs.New(errs.Unknown, "zone %s is not evacuated", zone)
		}
		if !t.Sleep(ctx, orderRetryBackoff) {
			return time.Time{}, errs.New(errs.Unavailable, "no cplane listed the zones; last answer: %v %s", err,
				reply.Body)
		}
	}
}
