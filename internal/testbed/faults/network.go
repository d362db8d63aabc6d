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

// InjectNetwork has the fleet's network proxy inject a fault, which ends after fault.For, and returns the number of
// links that it affects. Failures: Invalid, Settings (the fleet has no proxy), Timeout, Internal (the proxy refused the
// fault).
func (t *Target) InjectNetwork(ctx context.Context, fault netproxy.Fault) (links int, err error) {
	if err := fault.Check(); err != nil {
		return 0, errs.Pass(err, "cut")
	}
	if t.Nodes.ProxyAddr == "" {
		return 0, errs.New(errs.Settings, "the fleet has no network proxy; it was started without --links")
	}
	path := netproxy.InjectFault.Path
	reply, err := t.Caller.Call(ctx, http.MethodPost, t.Nodes.ProxyAddr, path, fault, proxyTimeout)
	if err != nil {
		return 0, errs.Pass(err, "links")
	}
	var answer netproxy.FaultAnswer
	if !reply.IsSuccess() || json.Unmarshal(reply.Body, &answer) != nil {
		return 0, errs.New(errs.Internal, "the network proxy refused the fault: %s", reply.Body)
	}
	return answer.Links, nil
}
