package daemon

import (
	"context"
	"fmt"
	"os"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/urfave/cli/v3"

	"crosstide/internal/config"
	"crosstide/internal/errs"
)

// Program is a daemon's command line, with the commands run, check and version. S is the type of its settings.
type Program[S any] struct {
	Version string
	Load    func(path string) (S, error) // reads and checks the settings file at path
	Check   func(S) error                // checks the settings after flags have replaced some
	Common  func(*S) *config.Common      // the common settings in S
	// StringFlags has the settings that flags of run replace, in addition to the common ones, by flag name.
	StringFlags map[string]func(*S) *string
	Flags       []cli.Flag // the flags of StringFlags
	// Serve runs the daemon until ctx ends, then drains it.
	Serve func(ctx context.Context, settings S, profiles bool, logger log.Logger) error
}

// Commands returns the subcommands run, check and version. Example:
//
//	app.Commands = program.Commands()
func (p Program[S]) Commands() []*cli.Command {
	settings := &cli.StringFlag{Name: "settings", Usage: "settings `FILE`", Required: true}
	return []*cli.Command{
		{Name: "run", Usage: "run until SIGTERM", Action: p.run, Flags: append([]cli.Flag{settings,
			&cli.StringFlag{Name: "addr", Usage: "`IP:PORT` to listen at; overrides the settings"},
			&cli.StringFlag{Name: "zone", Usage: "zone of this node; overrides the settings"},
			&cli.StringFlag{Name: "log-level", Usage: "debug, info, warn or error; overrides the settings"},
			&cli.DurationFlag{Name: "grace", Usage: "wait for running calls at shutdown; overrides the settings"},
			&cli.BoolFlag{Name: "pprof", Usage: "serve profiles at /debug/pprof/"},
		}, p.Flags...)},
		{Name: "check", Usage: "validate the settings and print all errors; exit 1 if there are any",
			Flags: []cli.Flag{settings}, Action: p.check},
		{Name: "version", Usage: "print the version", Action: func(context.Context, *cli.Command) error {
			fmt.Println(p.Version)
			return nil
		}},
	}
}

func (p Program[S]) check(_ context.Context, cmd *cli.Command) error {
	if _, err := p.Load(cmd.String("settings")); err != nil {
		return errs.Pass(err, "check") // the text of err lists every mistake in the settings
	}
	fmt.Println("ok")
	return nil
}

// loadWithFlags reads the settings, replaces those whose flags are set, and checks the result.
func (p Program[S]) loadWithFlags(cmd *cli.Command) (S, error) {
	settings, err := p.Load(cmd.String("settings"))
	if err != nil {
		return settings, errs.Pass(err, "settings")
	}
	common := p.Common(&settings)
	targets := map[string]*string{"addr": &common.Addr, "zone": &common.Zone, "log-level": &common.LogLevel}
	for name, target := range p.StringFlags {
		targets[name] = target(&settings)
	}
	for name, target := range targets {
		if cmd.IsSet(name) {
			*target = cmd.String(name)
		}
	}
	if cmd.IsSet("grace") {
		common.Grace = cmd.Duration("grace")
	}
	return settings, errs.Pass(p.Check(settings), "settings with flags")
}

func (p Program[S]) run(ctx context.Context, cmd *cli.Command) error {
	settings, err := p.loadWithFlags(cmd)
	if err != nil {
		return errs.Pass(err, "run")
	}
	common := p.Common(&settings)
	logger := log.With(Logger(common.LogLevel, os.Stderr), "node", common.Name)
	ctx, stop := Signals(ctx)
	defer stop()
	if err := p.Serve(ctx, settings, cmd.Bool("pprof"), logger); err != nil {
		_ = level.Error(logger).Log("msg", "daemon failed", "err", err)
		return errs.Pass(err, "run")
	}
	_ = level.Info(logger).Log("msg", "daemon stopped")
	return nil
}
