package main

import (
	"context"
	"os"

	"github.com/urfave/cli/v3"

	"crosstide/internal/errs"
	"crosstide/internal/testbed/audit"
	"crosstide/internal/testbed/rehearsal"
)

const balancesDescription = "crosstide-testbed balances --fleet DIR [--rate 8]\n\n" +
	"Puts a paying party into the bundle and offers its jobs, two lasting ones and jobs that nobody pays for. The\n" +
	"party runs dry three times: the leader is killed at the last draw and while a top-up is sent, a top-up is sent\n" +
	"again, a lasting task's minion is killed, the leader is cut off (if the fleet has links) and a member loses" +
	" its\n" +
	"data. Prints one JSON object, the audit's lines to the standard error. Exit 1 if something was amiss."

func balancesCommand() *cli.Command {
	return &cli.Command{
		Name:        "balances",
		Usage:       "run a paying party dry under load, with the leader killed at its draws and top-ups, then audit",
		Description: balancesDescription,
		Flags: []cli.Flag{
			fleetFlag(),
			&cli.FloatFlag{Name: "rate", Value: 8, Usage: "jobs per second of the party, and as many of others"},
			&cli.Uint64Flag{Name: "seed", Value: 1},
			scriptFlag(),
		},
		Action: runBalances,
	}
}

func runBalances(ctx context.Context, cmd *cli.Command) error {
	ctx, stop := interruptible(ctx)
	defer stop()
	target, err := openFleet(cmd)
	if err != nil {
		return errs.Pass(err, "balances")
	}
	report, err := rehearsal.RunBalances(ctx, rehearsal.BalancesOptions{Target: target, Rate: cmd.Float("rate"),
		Seed: cmd.Uint64("seed")})
	if err != nil {
		return errs.Pass(err, "balances")
	}
	if err := audit.WriteReport(os.Stderr, report.Audit, 10); err != nil {
		return errs.Pass(err, "balances")
	}
	if err := printJSON(cmd, report); err != nil {
		return errs.Pass(err, "balances")
	}
	if !report.IsClean() {
		return exitCode{errs.New(errs.Internal, "something was amiss"), exitViolated}
	}
	return nil
}
