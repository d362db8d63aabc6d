package main

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"net/http"
	"path/filepath"
	"sync"
	"time"

	"crosstide/internal/clock"
	"crosstide/internal/errs"
	"crosstide/internal/httpapi/operatorapi"
	"crosstide/internal/routine"
	"crosstide/internal/signature"
	"crosstide/internal/testbed/audit"
	"crosstide/internal/testbed/fleet"
	"crosstide/internal/testbed/journal"
	"crosstide/internal/testbed/netproxy"
)

// takeZoneOut takes a zone with its nodes out, for d unless it is killed, and returns the nodes that it hit.
func takeZoneOut(ctx context.Context, dir, zone, kind string, names []string, d time.Duration) ([]string, error) {
	var err error
	switch kind {
	case "kill":
		names, err = killAll(dir, "zone", names)
	case "freeze":
		err = freezeAll(ctx, dir, names, d)
	case "cut":
		_, err = cut(ctx, dir, netproxy.Fault{Zone: zone, Kind: netproxy.Blackhole, For: d})
	default:
		err = evacuate(ctx, dir, zone, d)
	}
	return names, errs.Pass(err, "%s of %s", kind, zone)
}

// killAll sends SIGKILL to processes, all at once, and notes each in DIR/journal/drill-BOOK.jsonl with the time
// before; one that is gone already is left out.
func killAll(dir, journalName string, names []string) ([]string, error) {
	writer, err := journal.Open(filepath.Join(dir, "journal", "drill-"+journalName+".jsonl"))
	if err != nil {
		return nil, errs.Pass(err, "drill's journal")
	}
	defer writer.Close()
	var killed []string
	for _, name := range names {
		at := clock.Real{}.Wall().UnixNano()
		if err := fleet.Kill(dir, name); errs.Is(err, errs.Unknown) {
			continue
		} else if err != nil {
			return killed, errs.Pass(err, "kill all")
		}
		killed = append(killed, name)
		err := writer.Append(map[string]any{"at": at, "ev": audit.Kill, "node": name, "how": "SIGKILL"})
		if err != nil {
			return killed, errs.Pass(err, "drill's journal")
		}
	}
	return killed, nil
}

// freezeAll freezes nodes for d, all at once.
func freezeAll(ctx context.Context, dir string, names []string, d time.Duration) error {
	var mu sync.Mutex
	var all []error
	routine.Each(len(names), len(names), func(i int) {
		err := freeze(ctx, dir, names[i], d)
		mu.Lock()
		defer mu.Unlock()
		all = append(all, err)
	})
	return errors.Join(all...)
}

// evacuate orders a zone to be evacuated and lifts that after d, or when ctx ends, in any case.
func evacuate(ctx context.Context, dir, zone string, d time.Duration) error {
	nodes, err := fleet.Read(dir)
	if err != nil {
		return errs.Pass(err, "evacuate")
	}
	id := rand.Text()[:12]
	writer, err := journal.Open(filepath.Join(dir, "journal", "operator-"+id+".jsonl"))
	if err != nil {
		return errs.Pass(err, "operator's journal")
	}
	defer writer.Close()
	note := func(ev string) error {
		err := writer.Append(map[string]any{"at": clock.Real{}.Wall().UnixNano(), "ev": ev, "zone": zone, "order": id})
		return errs.Pass(err, "operator's journal")
	}
	keys, err := fleet.Keys(dir)
	if err != nil {
		return errs.Pass(err, "evacuate")
	}
	out := operatorapi.Order{Order: id + "-out", By: keys[0].Name, Sig: keys[0].Sign(signature.Evacuate(id+"-out", zone))}
	ordered := sendOrder(ctx, nodes.ControlPlanes, "/v1/zones/"+zone+"/evacuate", out)
	if ordered == nil {
		if ordered = note(audit.Evacuate); ordered == nil {
			pause(ctx, d)
		}
	}
	late := context.WithoutCancel(ctx)
	lifting := note(audit.Lift) // before the order: starts may come from its commit on
	return errors.Join(ordered, lifting, liftEvacuation(late, nodes.ControlPlanes, zone, id, keys))
}

// liftEvacuation lets every operator sign the lifting of a zone, which two must.
func liftEvacuation(ctx context.Context, controlPlanes []fleet.Node, zone, id string, keys []signature.Key) error {
	since, err := evacuatedSince(ctx, controlPlanes, zone)
	if err != nil {
		return errs.Pass(err, "lift %s", zone)
	}
	for _, key := range keys {
		in := operatorapi.Order{Order: id + "-lift-" + key.Name, By: key.Name, Sig: key.Sign(signature.Lift(zone, since))}
		if err := sendOrder(ctx, controlPlanes, "/v1/zones/"+zone+"/lift", in); err != nil {
			return errs.Pass(err, "lift %s", zone)
		}
	}
	return nil
}

// evacuatedSince asks one cplane after another since when a zone is out, for 30 s.
func evacuatedSince(ctx context.Context, controlPlanes []fleet.Node, zone string) (time.Time, error) {
	ctx, stop := context.WithTimeout(ctx, 30*time.Second)
	defer stop()
	caller := fleet.NewCaller(1)
	for try := 0; ; try++ {
		var list operatorapi.Zones
		reply, err := caller.Call(ctx, http.MethodGet, controlPlanes[try%len(controlPlanes)].Addr, "/v1/zones", nil, 5*time.Second)
		if err == nil && reply.IsSuccess() && json.Unmarshal(reply.Body, &list) == nil {
			for _, z := range list.Zones {
				if z.Zone == zone {
					return z.Since, nil
				}
			}
			return time.Time{}, errs.New(errs.Unknown, "zone %s is not evacuated", zone)
		}
		if !pause(ctx, 200*time.Millisecond) {
			return time.Time{}, errs.New(errs.Unavailable, "no cplane lists the zones: %v %s", err, reply.Body)
		}
	}
}

// sendOrder sends an operator's order to one cplane after another until one has carried it out, for 30 s; its id makes
// it one order.
func sendOrder(ctx context.Context, controlPlanes []fleet.Node, path string, in operatorapi.Order) error {
	ctx, stop := context.WithTimeout(ctx, 30*time.Second)
	defer stop()
	caller := fleet.NewCaller(1)
	for try := 0; ; try++ {
		node := controlPlanes[try%len(controlPlanes)]
		reply, err := caller.Call(ctx, http.MethodPost, node.Addr, path, in, 5*time.Second)
		switch {
		case err == nil && reply.IsSuccess():
			return nil
		case err == nil && reply.Status < http.StatusInternalServerError && reply.Status != http.StatusTooManyRequests &&
			reply.Status != http.StatusMisdirectedRequest:
			return errs.New(errs.Internal, "order %s: %s refuses: %s", path, node.Name, reply.Body)
		case !pause(ctx, 200*time.Millisecond):
			return errs.New(errs.Unavailable, "order %s: no cplane carried it out in time, the last one said %v %s", path, err, reply.Body)
		}
	}
}
