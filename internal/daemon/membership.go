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

// shuffleTimeout bounds one shuffle, and the announcement that a daemon leaves.
const shuffleTimeout = time.Second

// NewMembership makes a daemon's membership node; the caller starts it, serves its shuffles and stops it. cplanes may
// be nil, see membership.Options.
func NewMembership(set config.Common, role string, seeds []string, k *rpc.Client, logger log.Logger, reg prometheus.Registerer,
	controlPlanes func([]string)) *membership.Node {
	return membership.NewNode(membership.Options{
		Self:  membership.Member{Name: set.Name, Addr: set.Addr, Zone: set.Zone, Role: role},
		Seeds: seeds, RandomSeed: rand.Uint64(), Clock: clock.Real{}, Logger: Part(logger, "membership"), Registry: reg, OnControlPlanes: controlPlanes,
		Send: func(ctx context.Context, addr string, m membership.Message) (membership.Message, error) {
			a, err := rpc.Call(ctx, k, addr, internalapi.Shuffle, m, shuffleTimeout)
			return a, errs.Pass(err, "shuffle")
		},
	})
}
