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
	"Adds a paying party to the bundle and submits its jobs, two of them long-running, and jobs that nobody\n" +
	"pays for. The party's balance runs out three times. The leader is killed at the last draw and while a\n" +
	"top-up is sent, a top-up is repeated, the minion of a long-running task is killed, the leader is\n" +
	"isolated (if the fleet has links) and a member loses its data. Prints one JSON object, and the audit on\n" +
	"standard error. Exits with 1 if an invariant was violated."

func balancesCommand() *cli.Command {
	return &cli.Command{
		Name:        "balances",
		Usage:       "exhaust a paying party's balance under load and faults, then audit",
		Description: balancesDescription,
		Flags: []cli.Flag{
			fleetFlag(),
			&cli.FloatFlag{Name: "rate", Value: 8,
				Usage: "jobs per second of the party, and of the jobs that nobody pays for"},
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
		return exitCode{errs.New(errs.Internal, "an invariant was violated"), exitViolated}
	}
	return nil
}
