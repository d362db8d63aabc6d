package daemon

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/urfave/cli/v3"

	"crosstide/internal/errs"
	"crosstide/internal/routine"
	"crosstide/internal/rpc"
)

// Service is a command that runs a daemon on settings of type S, which are read without flags and may change while
// it runs.
type Service[S any] struct {
	Name, Usage string
	Load        func() (S, error)
	NodeName    func(S) string // the value of node in log lines
	// Serve runs the daemon until ctx ends, then drains it. changed has a value whenever the settings were changed
	// (SIGHUP).
	Serve func(ctx context.Context, settings S, changed <-chan os.Signal, logger log.Logger) error
}

// Command returns the command.
func (s Service[S]) Command() *cli.Command {
	return &cli.Command{Name: s.Name, Usage: s.Usage, Action: func(ctx context.Context, _ *cli.Command) error {
		changed := make(chan os.Signal, 1) // from the start on: SIGHUP would otherwise end the process
		signal.Notify(changed, syscall.SIGHUP)
		defer signal.Stop(changed)
		settings, err := s.Load()
		if err != nil {
			return errs.Pass(err, "%s", s.Name)
		}
		ctx, stop := Signals(ctx)
		defer stop()
		logger := log.With(Logger("info", os.Stderr), "node", s.NodeName(settings))
		return errs.Pass(s.Serve(ctx, settings, changed, logger), "%s", s.Name)
	}}
}

// RunUntilDone runs all of background until ctx ends, and returns when they have returned.
func RunUntilDone(ctx context.Context, background ...func(ctx context.Context)) {
	group := routine.New(context.Background())
	for _, one := range background {
		group.Go(one)
	}
	<-ctx.Done()
	group.Stop()
}

// Lifecycle is the order in which a daemon starts, serves and ends.
type Lifecycle struct {
	Server *rpc.Server
	Logger log.Logger
	Zone   string
	Grace  time.Duration // for running calls at the end

	Version string
	Start   func()                      // starts the daemon's parts once the server listens
	Drain   func(leave context.Context) // announces the end to other nodes, within Grace
	Stop    func()                      // ends the daemon's parts after the server
}

// Run serves until ctx ends, then drains. A server that cannot listen is its only failure; Start was not called then.
func (l Lifecycle) Run(ctx context.Context) error {
	if err := l.Server.Start(); err != nil {
		return errs.Pass(err, "serve")
	}
	l.Start()
	_ = level.Info(l.Logger).Log("msg", "serving", "addr", l.Server.Addr(), "zone", l.Zone, "version", l.Version)
	<-ctx.Done()
	leave, over := context.WithTimeout(context.Background(), l.Grace)
	defer over()
	l.Drain(leave)
	err := l.Server.Stop(l.Grace)
	l.Stop()
	if err != nil {
		_ = level.Warn(l.Logger).Log("msg", "calls were cut off", "err", err)
	}
	return nil
}
