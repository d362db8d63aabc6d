package main

import (
	"context"
	"os"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/urfave/cli/v3"

	"crosstide/internal/clock"
	"crosstide/internal/daemon"
	"crosstide/internal/errs"
	"crosstide/internal/jobs"
	"crosstide/internal/testbed/jobsworker"
)

func workerCommand() *cli.Command {
	return &cli.Command{
		Name: "worker", Usage: "run a simulated worker of the jobs deployment; SIGTERM drains and stops it",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "name", Required: true},
			&cli.StringFlag{Name: "addr", Usage: "`IP:PORT` to listen on", Required: true},
			&cli.StringFlag{Name: "service", Required: true},
			&cli.StringFlag{Name: "zone", Required: true},
			&cli.StringFlag{Name: "rack"},
			&cli.StringSliceFlag{Name: "label", Usage: "a `LABEL`; may be repeated"},
			&cli.IntFlag{Name: "milli-cpu", Value: 4000},
			&cli.IntFlag{Name: "memory-mb", Value: 1024},
			&cli.IntFlag{Name: "gpus"},
			&cli.StringSliceFlag{Name: "core", Usage: "control addresses of control-plane nodes, `IP:PORT,...`",
				Required: true},
			&cli.DurationFlag{Name: "every", Usage: "heartbeat interval (default 1s)"},
			&cli.DurationFlag{Name: "grace", Usage: "time for runs to end when the worker leaves (default 5s)"},
			&cli.StringFlag{Name: "journal", Usage: "`FILE` of the worker's journal"},
			&cli.StringFlag{Name: "log", Value: "info", Usage: "`LEVEL`: debug, info, warn or error"},
		},
		Action: runWorker,
	}
}

func runWorker(ctx context.Context, cmd *cli.Command) error {
	settings := jobsworker.Settings{
		Name: cmd.String("name"), Address: cmd.String("addr"), Service: cmd.String("service"), Zone: cmd.String("zone"),
		Rack: cmd.String("rack"), Labels: cmd.StringSlice("label"), ControlAddrs: cmd.StringSlice("core"),
		Journal:           cmd.String("journal"),
		HeartbeatInterval: cmd.Duration("every"), Grace: cmd.Duration("grace"),
		Capacity: jobs.Resources{MilliCPU: cmd.Int("milli-cpu"), MemoryMB: cmd.Int("memory-mb"),
			GPUs: cmd.Int("gpus")},
	}
	ctx, stop := daemon.Signals(ctx)
	defer stop()
	logger := log.With(daemon.Logger(cmd.String("log"), os.Stderr), "worker", settings.Name)
	host, err := jobsworker.Open(settings, clock.Real{}, logger)
	if err != nil {
		return errs.Pass(err, "worker")
	}
	_ = level.Info(logger).Log("msg", "worker started", "id", host.ID(), "addr", settings.Address)
	return errs.Pass(host.Run(ctx), "worker")
}
