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

const policyWorkerDescription = "SIGTERM and SIGINT drain and then leave, a second one leaves at once;\n" +
	"SIGUSR1 switches draining on and off. Flags go over what the settings file says."

func policyWorkerCommand() *cli.Command {
	return &cli.Command{
		Name:        "minion",
		Usage:       "run a stand-in minion, or many hollow ones at one address",
		Description: policyWorkerDescription,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Usage: "JSON `FILE` with the names of these flags"},
			&cli.StringFlag{Name: "name", Usage: "the minion's name"},
			&cli.StringFlag{Name: "addr", Usage: "`HOST:PORT` to listen at (default 127.0.0.1:0)"},
			&cli.StringFlag{Name: "kind", Usage: "obey or check (default check)"},
			&cli.StringFlag{Name: "zone"},
			&cli.StringFlag{Name: "rack"},
			&cli.StringMapFlag{Name: "label", Usage: "`K=V`, may be given again"},
			&cli.IntFlag{Name: "cores", Usage: "(default 4)"},
			&cli.IntFlag{Name: "gpus"},
			&cli.StringSliceFlag{Name: "dplanes", Usage: "`A,B,C`: host:port of dplanes to announce to"},
			&cli.StringMapFlag{Name: "via", Usage: "`A=B`: dial B to reach A, may be given again"},
			&cli.StringFlag{Name: "journal", Usage: "`FILE` to append to; {name} stands for the minion's name"},
			&cli.IntFlag{Name: "count", Usage: "`N` hollow minions NAME-0 and on (default 1: NAME itself)"},
			&cli.DurationFlag{Name: "grace", Usage: "how long a leaving minion waits (default 10s)"},
			&cli.DurationFlag{Name: "late",
				Usage: "carry out calls with starts late by up to `D`, half of them unanswered"},
			&cli.FloatFlag{Name: "lose", Usage: "drop an answer with probability `P`"},
			&cli.FloatFlag{Name: "fail", Usage: "end a run in a fault with probability `P`"},
			&cli.FloatFlag{Name: "slow", Usage: "let runs take up to `F` times as long (default 1)"},
			&cli.Uint64Flag{Name: "seed", Usage: "of late, lose, fail and slow"},
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

// followSignals drains the host on SIGTERM and SIGINT, and switches draining on SIGUSR1, until ctx ends. It returns
// true when a further SIGTERM or SIGINT asks the host to end at once.
func followSignals(ctx context.Context, signals <-chan os.Signal, host *policyworker.Host) (endNow bool) {
	isDraining, isLeaving := false, false
	for {
		select {
		case <-ctx.Done():
			return false
		case s := <-signals:
			if isLeaving && s != syscall.SIGUSR1 {
				return true
			}
			isLeaving = isLeaving || s != syscall.SIGUSR1
			isDraining = isLeaving || !isDraining
			host.Drain(isDraining, isLeaving)
		}
	}
}

// policyWorkerSettings returns the settings: the file overrides the defaults, flags override both. Failure: Settings.
func policyWorkerSettings(cmd *cli.Command) (policyworker.Settings, error) {
	set := policyworker.Defaults()
	if path := cmd.String("settings"); path != "" {
		if err := set.Load(path); err != nil {
			return set, errs.Pass(err, "settings")
		}
	}
	setFlag(cmd, "name", &set.Name, cmd.String)
	setFlag(cmd, "addr", &set.Addr, cmd.String)
	setFlag(cmd, "kind", &set.Kind, cmd.String)
	setFlag(cmd, "zone", &set.Zone, cmd.String)
	setFlag(cmd, "rack", &set.Rack, cmd.String)
	setFlag(cmd, "label", &set.Labels, cmd.StringMap)
	setFlag(cmd, "cores", &set.Cores, cmd.Int)
	setFlag(cmd, "gpus", &set.GPUs, cmd.Int)
	setFlag(cmd, "dplanes", &set.DataPlanes, cmd.StringSlice)
	setFlag(cmd, "via", &set.DialOverrides, cmd.StringMap)
	setFlag(cmd, "journal", &set.Journal, cmd.String)
	setFlag(cmd, "count", &set.Count, cmd.Int)
	setFlag(cmd, "grace", (*time.Duration)(&set.Grace), cmd.Duration)
	setFlag(cmd, "late", (*time.Duration)(&set.MaxDelay), cmd.Duration)
	setFlag(cmd, "lose", &set.LossProbability, cmd.Float)
	setFlag(cmd, "fail", &set.FailProbability, cmd.Float)
	setFlag(cmd, "slow", &set.SlowFactor, cmd.Float)
	setFlag(cmd, "seed", &set.Seed, cmd.Uint64)
	return set, errs.Pass(set.Check(), "settings")
}
