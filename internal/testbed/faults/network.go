package faults

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"crosstide/internal/errs"
	"crosstide/internal/testbed/netproxy"
)

const proxyTimeout = 5 * time.Second

// InjectNetwork orders a fault of the fleet's network proxy, which ends by itself, and returns how many links it
// affects. Failures: Invalid, Settings: the fleet has no proxy, Timeout, Internal.
func (t *Target) InjectNetwork(ctx context.Context, fault netproxy.Fault) (links int, err error) {
	if err := fault.Check(); err != nil {
		return 0, errs.Pass(err, "cut")
	}
	if t.Nodes.ProxyAddr == "" {
		return 0, errs.New(errs.Settings, "the fleet has no links; it was brought up without --links")
	}
	path := netproxy.InjectFault.Path
	reply, err := t.Caller.Call(ctx, http.MethodPost, t.Nodes.ProxyAddr, path, fault, proxyTimeout)
	if err != nil {
		return 0, errs.Pass(err, "links")
	}
	var answer netproxy.FaultAnswer
	if !reply.IsSuccess() || json.Unmarshal(reply.Body, &answer) != nil {
		return 0, errs.New(errs.Internal, "the links refuse: %s", reply.Body)
	}
	return answer.Links, nil
}
