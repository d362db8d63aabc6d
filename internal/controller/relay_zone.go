package controller

import (
	"context"
	"time"

	"crosstide/internal/errs"
	"crosstide/internal/jobs"
	"crosstide/internal/rpc"
)

const (
	// maxZoneOrderAge is the age up to which a node handles an order for a zone that it finds in its socket. The
	// operator's timeout for an answer is as long; after it, the operator goes on with other nodes.
	maxZoneOrderAge = time.Second
	// closeDelay is how long a close may arrive after the bytes that were sent before it.
	closeDelay = 50 * time.Millisecond
)

// Evacuate starts or ends the evacuation of a zone. An order has no identity of its own, so a late one can only be
// recognized by its caller: an operator waits for the answer, or closes the connection before sending another order.
// Evacuate therefore reads the zone's revision first, then checks that the caller is still there, and then sends the
// order with the revision as its base. An order that is delayed after the check fails if another one was applied in the
// meantime. If the caller is there nevertheless, it competes with another operator, and the order is tried again.
func (r *Relay) Evacuate(ctx context.Context, call jobs.Evacuate) (EvacuateAnswer, error) {
	if rpc.RequestAge(ctx) > maxZoneOrderAge {
		return EvacuateAnswer{}, errs.New(errs.Unavailable, "the order is older than %s: not executed", maxZoneOrderAge)
	}
	for {
		zone, err := relay(ctx, r, ZoneCall{Zone: call.Zone}, r.local.Zone, r.remote.Zone)
		if err != nil {
			return EvacuateAnswer{}, errs.Pass(err, "read the zone")
		}
		if err := r.confirmCaller(ctx); err != nil {
			return EvacuateAnswer{}, errs.Pass(err, "relay")
		}
		call.Base = &zone.Revision
		answer, err := relay(ctx, r, call, r.local.Evacuate, r.remote.Evacuate)
		if !errs.Is(err, errs.Stale) {
			return answer, errs.Pass(err, "relay")
		}
	}
}

// confirmCaller returns nil if the caller still waits for its answer. The bytes of a request may arrive late, with the
// close of the connection behind them, so it gives the close time to arrive.
func (r *Relay) confirmCaller(ctx context.Context) error {
	if rest := closeDelay - rpc.RequestAge(ctx); rpc.HasCaller(ctx) && rest > 0 {
		r.remote.sleep(ctx, rest)
	}
	return errs.Pass(rpc.CheckCaller(ctx), "caller")
}
