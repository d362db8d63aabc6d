package daemon

import (
	"context"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"crosstide/internal/errs"
	"crosstide/internal/routine"
	"crosstide/internal/rpc"
)

// RunUntilDone runs the background functions in goroutines. When ctx ends, it cancels their context, and returns once
// all of them have returned.
func RunUntilDone(ctx context.Context, background ...func(ctx context.Context)) {
	group := routine.New(context.Background())
	for _, run := range background {
		group.Go(run)
	}
	<-ctx.Done()
	group.Stop()
}

// Lifecycle is a daemon's start, service and shutdown. All its functions are required.
type Lifecycle struct {
	Server  *rpc.Server
	Logger  log.Logger
	Zone    string
	Version string
	Grace   time.Duration // limits Drain, and then again the wait for running calls

	Start func()                    // starts the daemon's parts once the server listens
	Drain func(ctx context.Context) // announces the shutdown to other nodes; its ctx ends after Grace
	Stop  func()                    // stops the daemon's parts after the server
}

// Run serves until ctx ends, then drains and stops. It fails only if the server cannot listen; then it calls none of
// the functions.
func (l Lifecycle) Run(ctx context.Context) error {
	if err := l.Server.Start(); err != nil {
		return errs.Pass(err, "serve")
	}
	l.Start()
	_ = level.Info(l.Logger).Log("msg", "serving", "addr", l.Server.Addr(), "zone", l.Zone, "version", l.Version)
	<-ctx.Done()
	drainCtx, cancel := context.WithTimeout(context.Background(), l.Grace)
	defer cancel()
	l.Drain(drainCtx)
	err := l.Server.Stop(l.Grace)
	l.Stop()
	if err != nil {
		_ = level.Warn(l.Logger).Log("msg", "running calls aborted", "err", err)
	}
	return nil
}
