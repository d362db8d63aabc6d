package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/urfave/cli/v3"

	"crosstide/internal/clock"
	"crosstide/internal/errs"
	"crosstide/internal/routine"
	"crosstide/internal/testbed/policyworker"
)

const policyWorkerDescription = "" +
	"SIGTERM or SIGINT drains the minion and then stops it; a second one stops it at once.\n" +
	"SIGUSR1 toggles draining. Flags override the settings file."

func policyWorkerCommand() *cli.Command {
	return &cli.Command{
		Name:        "minion",
		Usage:       "run a simulated minion, or many hollow ones at one address",
		Description: policyWorkerDescription,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Usage: "JSON `FILE` whose fields have the names of these flags"},
			&cli.StringFlag{Name: "name", Usage: "the minion's name"},
			&cli.StringFlag{Name: "addr", Usage: "`HOST:PORT` to listen on (default 127.0.0.1:0)"},
			&cli.StringFlag{Name: "kind", Usage: "obey or check (default check)"},
			&cli.StringFlag{Name: "zone"},
			&cli.StringFlag{Name: "rack"},
			&cli.StringMapFlag{Name: "label", Usage: "`K=V`; may be repeated"},
			&cli.IntFlag{Name: "cores", Usage: "number of cores (default 4)"},
			&cli.IntFlag{Name: "gpus"},
			&cli.StringSliceFlag{Name: "dplanes", Usage: "`A,B,C`: host:port of the data-plane nodes to announce to"},
			&cli.StringMapFlag{Name: "via", Usage: "`A=B`: dial B to reach A; may be repeated"},
			&cli.StringFlag{Name: "journal", Usage: "`FILE` to append to; {name} is replaced by the minion's name"},
			&cli.IntFlag{Name: "count", Usage: "run `N` hollow minions NAME-0, NAME-1, … (default 1: NAME itself)"},
			&cli.DurationFlag{Name: "grace", Usage: "grace period of a minion that leaves (default 10s)"},
			&cli.DurationFlag{Name: "late",
				Usage: "delay calls with starts by up to `D`; half of the delayed calls get no response"},
			&cli.FloatFlag{Name: "lose", Usage: "drop a response with probability `P`"},
			&cli.FloatFlag{Name: "fail", Usage: "let a run fail with probability `P`"},
			&cli.FloatFlag{Name: "slow", Usage: "let runs take up to `F` times as long (default 1)"},
			&cli.Uint64Flag{Name: "seed", Usage: "random seed of late, lose, fail and slow"},
			&cli.StringFlag{Name: "log", Value: "info", Usage: "`LEVEL`: debug, info, warn or error"},
		},
		Action: runPolicyWorker,
	}
}

func runPolicyWorker(ctx context.Context, cmd *cli.Command) error {
	settings, err := policyWorkerSettings(cmd)
	if err != nil {
		return errs.Pass(err, "minion")
	}
	lowest, err := level.Parse(cmd.String("log"))
	if err != nil {
		return errs.Wrap(err, errs.Settings, "log")
	}
	logger := log.NewLogfmtLogger(log.NewSyncWriter(os.Stderr))
	logger = log.With(logger, "ts", log.DefaultTimestampUTC, "minion", settings.Name)
	logger = level.NewFilter(logger, level.Allow(lowest))

	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGUSR1)
	defer signal.Stop(signals)
	host, err := policyworker.Open(settings, clock.Real{}, logger)
	if err != nil {
		return errs.Pass(err, "minion")
	}
	group := routine.New(ctx)
	defer group.Stop()
	group.Go(func(ctx context.Context) {
		if followSignals(ctx, signals, host) {
			group.Cancel()
		}
	})
	return errs.Pass(host.Run(group.Context()), "minion")
}

// followSignals drains the host on SIGTERM and SIGINT, and toggles draining on SIGUSR1, until ctx ends. It returns true
// when a second SIGTERM or SIGINT asks the host to end at once.
func followSignals(ctx context.Context, signals <-chan os.Signal, host *policyworker.Host) (endNow bool) {
	isDraining, isLeaving := false, false
	for {
		select {
		case <-ctx.Done():
			return false
		case received := <-signals:
			if isLeaving && received != syscall.SIGUSR1 {
				return true
			}
			isLeaving = isLeaving || received != syscall.SIGUSR1
			isDraining = isLeaving || !isDraining
			host.Drain(isDraining, isLeaving)
		}
	}
}

// policyWorkerSettings returns the settings. The file overrides the defaults, and flags override both. Failure:
// Settings.
func policyWorkerSettings(cmd *cli.Command) (policyworker.Settings, error) {
	settings := policyworker.Defaults()
	if path := cmd.String("settings"); path != "" {
		if err := settings.Load(path); err != nil {
			return settings, errs.Pass(err, "settings")
		}
	}
	setFlag(cmd, "name", &settings.Name, cmd.String)
	setFlag(cmd, "addr", &settings.Addr, cmd.String)
	setFlag(cmd, "kind", &settings.Kind, cmd.String)
	setFlag(cmd, "zone", &settings.Zone, cmd.String)
	setFlag(cmd, "rack", &settings.Rack, cmd.String)
	setFlag(cmd, "label", &settings.Labels, cmd.StringMap)
	setFlag(cmd, "cores", &settings.Cores, cmd.Int)
	setFlag(cmd, "gpus", &settings.GPUs, cmd.Int)
	setFlag(cmd, "dplanes", &settings.DataPlanes, cmd.StringSlice)
	setFlag(cmd, "via", &settings.DialOverrides, cmd.StringMap)
	setFlag(cmd, "journal", &settings.Journal, cmd.String)
	setFlag(cmd, "count", &settings.Count, cmd.Int)
	setFlag(cmd, "grace", (*time.Duration)(&settings.Grace), cmd.Duration)
	setFlag(cmd, "late", (*time.Duration)(&settings.MaxDelay), cmd.Duration)
	setFlag(cmd, "lose", &settings.LossProbability, cmd.Float)
	setFlag(cmd, "fail", &settings.FailProbability, cmd.Float)
	setFlag(cmd, "slow", &settings.SlowFactor, cmd.Float)
	setFlag(cmd, "seed", &settings.Seed, cmd.Uint64)
	return settings, errs.Pass(settings.Check(), "settings")
}
