package daemon

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/go-kit/log"
	"github.com/prometheus/client_golang/prometheus"

	"crosstide/internal/clock"
	"crosstide/internal/config"
	"crosstide/internal/errs"
	"crosstide/internal/internalapi"
	"crosstide/internal/membership"
	"crosstide/internal/rpc"
)

// shuffleTimeout bounds each call to another node: a shuffle, or the announcement of the daemon's departure.
const shuffleTimeout = time.Second

// NewMembership returns a daemon's membership node. The caller starts it, serves shuffles with it and stops it.
// onControlPlanes may be nil, see membership.Options.
func NewMembership(settings config.Common, role string, seeds []string, caller *rpc.Client, logger log.Logger,
	registry prometheus.Registerer, onControlPlanes func([]string)) *membership.Node {
	return membership.NewNode(membership.Options{
		Self:            membership.Member{Name: settings.Name, Addr: settings.Addr, Zone: settings.Zone, Role: role},
		Seeds:           seeds,
		RandomSeed:      rand.Uint64(),
		Clock:           clock.Real{},
		Logger:          Part(logger, "membership"),
		Registry:        registry,
		OnControlPlanes: onControlPlanes,
		Send: func(ctx context.Context, addr string, m membership.Message) (membership.Message, error) {
			answer, err := rpc.Call(ctx, caller, addr, internalapi.Shuffle, m, shuffleTimeout)
			return answer, errs.Pass(err, "shuffle")
		},
	})
}
