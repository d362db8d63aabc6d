package daemon

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/go-kit/log"
	"github.com/urfave/cli/v3"

	"crosstide/internal/errs"
)

// Service is a command that runs a daemon with settings of type S. The settings cannot be replaced by flags, and may
// change while the daemon runs.
type Service[S any] struct {
	Name, Usage string
	Load        func() (S, error)
	NodeName    func(S) string // value of the key node in log lines
	// Serve runs the daemon until ctx ends, then drains it. changed receives a signal (SIGHUP) when the settings have
	// changed.
	Serve func(ctx context.Context, settings S, changed <-chan os.Signal, logger log.Logger) error
}

// Command returns the command.
func (s Service[S]) Command() *cli.Command {
	return &cli.Command{Name: s.Name, Usage: s.Usage, Action: func(ctx context.Context, _ *cli.Command) error {
		changed := make(chan os.Signal, 1) // before Load: without a handler, SIGHUP ends the process
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
