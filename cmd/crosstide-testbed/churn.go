package main

import (
	"context"
	"os"
	"time"

	"github.com/urfave/cli/v3"

	"crosstide/internal/errs"
	"crosstide/internal/testbed/audit"
	"crosstide/internal/testbed/rehearsal"
)

const churnDescription = "crosstide-testbed churn --fleet DIR --profile lubra|mamlaka --for 5m [--seed 1]\n\n" +
	"The work of the deployment; two operators who change bundles and race; and, one after the other at random:\n" +
	"a node killed and started again, a node frozen, minions drained by order and by themselves, a zone\n" +
	"evacuated and lifted, a mass of cancels. Prints one JSON object; the audit goes to the standard error.\n" +
	"Exit 1 if a promise is broken, or an accepted job is unknown or unfinished."

func churnCommand() *cli.Command {
	return &cli.Command{
		Name: "churn", Usage: "a deployment's work with rolling faults and operators at work, then the audit",
		Description: churnDescription,
		Flags: []cli.Flag{fleetFlag(),
			&cli.StringFlag{Name: "profile", Value: "lubra"},
			&cli.FloatFlag{Name: "scale", Value: 1, Usage: "of the profile's rates"},
			&cli.DurationFlag{Name: "for", Value: time.Minute},
			&cli.DurationFlag{Name: "wait", Value: time.Minute, Usage: "for the ends"},
			&cli.Uint64Flag{Name: "seed", Value: 1},
			&cli.DurationFlag{Name: "every", Value: 2 * time.Second,
				Usage: "from the end of a fault to the next, on average"},
			&cli.DurationFlag{Name: "changes", Value: 2 * time.Second,
				Usage: "from a change of bundle to the next, on average; 0: none"},
			scriptFlag(),
			&cli.StringSliceFlag{Name: "only",
				Usage: "kinds of faults: kill, freeze, drain, leave, evacuate, cancel (default: all)"},
		},
		Action: runChurn,
	}
}

func runChurn(ctx context.Context, cmd *cli.Command) error {
	ctx, stop := interruptible(ctx)
	defer stop()
	target, err := openFleet(cmd)
	if err != nil {
		return errs.Pass(err, "churn")
	}
	report, err := rehearsal.RunChurn(ctx, rehearsal.ChurnOptions{Target: target, Profile: cmd.String("profile"),
		Scale: cmd.Float("scale"), Duration: cmd.Duration("for"), EndTimeout: cmd.Duration("wait"),
		Seed: cmd.Uint64("seed"), FaultInterval: cmd.Duration("every"), ChangeInterval: cmd.Duration("changes"),
		Only: cmd.StringSlice("only")})
	if err != nil {
		return errs.Pass(err, "churn")
	}
	if err := printJSON(cmd, report); err != nil {
		return errs.Pass(err, "churn")
	}
	return errs.Pass(checkChurn(ctx, target.Dir, report), "churn")
}

// checkChurn audits the fleet, and fails if an invariant is violated or an accepted job is unknown or has not ended.
func checkChurn(ctx context.Context, dir string, report rehearsal.ChurnReport) error {
	findings, err := audit.CheckFleet(ctx, dir)
	if err != nil {
		return errs.Pass(err, "audit")
	}
	if err := audit.WriteReport(os.Stderr, findings, 3); err != nil {
		return errs.Pass(err, "audit")
	}
	for kind, jobs := range report.Work {
		if jobs.Unknown+jobs.Unfinished > 0 {
			err := errs.New(errs.Internal, "%s: %d jobs unknown, %d unfinished", kind, jobs.Unknown, jobs.Unfinished)
			return exitCode{err, exitViolated}
		}
	}
	if !audit.NoneViolated(findings) {
		return exitCode{errs.New(errs.Internal, "a promise is broken"), exitViolated}
	}
	return nil
}
