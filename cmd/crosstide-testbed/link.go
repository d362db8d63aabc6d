package main

import (
	"context"
	"os"

	"github.com/go-kit/log"
	"github.com/urfave/cli/v3"

	"crosstide/internal/clock"
	"crosstide/internal/errs"
	"crosstide/internal/testbed/netproxy"
)

func linkCommand() *cli.Command {
	return &cli.Command{
		Name: "link", Usage: "run the faulty links of a fleet; started by `scripts/fleet up --links`",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Usage: "JSON `FILE` written by crosstide-testbed plan", Required: true},
		},
		Action: runLink,
	}
}

func runLink(ctx context.Context, cmd *cli.Command) error {
	ctx, stop := interruptible(ctx)
	defer stop()
	settings, err := netproxy.Load(cmd.String("settings"))
	if err != nil {
		return errs.Pass(err, "link")
	}
	logger := log.With(log.NewLogfmtLogger(log.NewSyncWriter(os.Stderr)), "ts", log.DefaultTimestampUTC)
	return errs.Pass(netproxy.Run(ctx, settings, clock.Real{}, logger), "link")
}
