package daemon

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/go-kit/log"
	"github.com/prometheus/client_golang/prometheus"

	"crosstide/internal/alarm"
	"crosstide/internal/conf"
	"crosstide/internal/fault"
	"crosstide/internal/pair"
	"crosstide/internal/view"
	"crosstide/internal/wire"
)

// shuffleWithin bounds one shuffle, and the word that a daemon leaves.
const shuffleWithin = time.Second

// View makes a daemon's part in the membership; the caller starts it, serves its shuffles and stops it. cplanes may
// be nil, see view.Options.
func View(set conf.Common, role string, seeds []string, k *wire.Caller, logger log.Logger, reg prometheus.Registerer,
	cplanes func([]string)) *view.Node {
	return view.NewNode(view.Options{
		Self:  view.Note{Name: set.Name, Addr: set.Addr, Zone: set.Zone, Role: role},
		Seeds: seeds, Rnd: rand.Uint64(), Clock: alarm.Real{}, Logger: Part(logger, "view"), Registry: reg, Cplanes: cplanes,
		Ask: func(ctx context.Context, addr string, m view.Message) (view.Message, error) {
			a, err := wire.Ask(ctx, k, addr, pair.Shuffle, m, shuffleWithin)
			return a, fault.Pass(err, "shuffle")
		},
	})
}
