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

// Program is a daemon's command line: run, check and version over settings of type S.
type Program[S any] struct {
	Version string
	Load    func(path string) (S, error) // reads and checks a file
	Check   func(S) error                // checks settings that flags have changed
	Common  func(*S) *config.Common
	// StringFlags are the flags of run beside the common ones that are put over a setting, by name.
	StringFlags map[string]func(*S) *string
	Flags       []cli.Flag // those of Words
	// Serve runs the daemon until ctx ends, then drains it.
	Serve func(ctx context.Context, set S, profiles bool, logger log.Logger) error
}

// Commands returns the subcommands. Example:
//
//	app.Commands = program.Commands()
func (p Program[S]) Commands() []*cli.Command {
	settings := &cli.StringFlag{Name: "settings", Usage: "settings `FILE`", Required: true}
	return []*cli.Command{
		{Name: "run", Usage: "run until SIGTERM", Action: p.run, Flags: append([]cli.Flag{settings,
			&cli.StringFlag{Name: "addr", Usage: "`IP:PORT` to listen at, over the settings"},
			&cli.StringFlag{Name: "zone", Usage: "over the settings"},
			&cli.StringFlag{Name: "log-level", Usage: "debug, info, warn or error, over the settings"},
			&cli.DurationFlag{Name: "grace", Usage: "for running calls at the end, over the settings"},
			&cli.BoolFlag{Name: "pprof", Usage: "show profiles at /debug/pprof/"},
		}, p.Flags...)},
		{Name: "check", Usage: "print all mistakes in the settings; exit 1 if there are any", Flags: []cli.Flag{settings},
			Action: func(_ context.Context, cmd *cli.Command) error {
				if _, err := p.Load(cmd.String("settings")); err != nil {
					return errs.Pass(err, "check") // its text lists all mistakes
				}
				fmt.Println("ok")
				return nil
			}},
		{Name: "version", Usage: "print the version", Action: func(context.Context, *cli.Command) error {
			fmt.Println(p.Version)
			return nil
		}},
	}
}

// settings reads the settings with the flags over them.
func (p Program[S]) settings(cmd *cli.Command) (S, error) {
	set, err := p.Load(cmd.String("settings"))
	if err != nil {
		return set, errs.Pass(err, "settings")
	}
	common := p.Common(&set)
	words := map[string]*string{"addr": &common.Addr, "zone": &common.Zone, "log-level": &common.LogLevel}
	for name, word := range p.StringFlags {
		words[name] = word(&set)
	}
	for name, to := range words {
		if cmd.IsSet(name) {
			*to = cmd.String(name)
		}
	}
	if cmd.IsSet("grace") {
		common.Grace = cmd.Duration("grace")
	}
	return set, errs.Pass(p.Check(set), "settings with flags")
}

func (p Program[S]) run(ctx context.Context, cmd *cli.Command) error {
	set, err := p.settings(cmd)
	if err != nil {
		return errs.Pass(err, "run")
	}
	common := p.Common(&set)
	logger := log.With(Logger(common.LogLevel, os.Stderr), "node", common.Name)
	ctx, stop := Signals(ctx)
	defer stop()
	if err := p.Serve(ctx, set, cmd.Bool("pprof"), logger); err != nil {
		_ = level.Error(logger).Log("msg", "end", "err", err)
		return errs.Pass(err, "run")
	}
	_ = level.Info(logger).Log("msg", "end")
	return nil
}
