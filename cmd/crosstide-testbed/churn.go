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
	"Runs the load of a deployment while two operators change bundles and race. Faults follow one another at\n" +
	"random: a node is killed and restarted, a node is frozen, minions drain by order or independently, a\n" +
	"zone is evacuated and the evacuation lifted, many jobs are cancelled. Prints one JSON object, and the\n" +
	"audit on standard error. Exits with 1 if an invariant was violated, or an accepted job is unknown or has\n" +
	"not ended."

func churnCommand() *cli.Command {
	return &cli.Command{
		Name: "churn", Usage: "run a deployment's load with random faults and active operators, then audit",
		Description: churnDescription,
		Flags: []cli.Flag{fleetFlag(),
			&cli.StringFlag{Name: "profile", Value: "lubra"},
			&cli.FloatFlag{Name: "scale", Value: 1, Usage: "factor on the profile's rates"},
			&cli.DurationFlag{Name: "for", Value: time.Minute},
			&cli.DurationFlag{Name: "wait", Value: time.Minute, Usage: "how long to wait for jobs to end"},
			&cli.Uint64Flag{Name: "seed", Value: 1},
			&cli.DurationFlag{Name: "every", Value: 2 * time.Second,
				Usage: "mean time from the end of a fault to the next"},
			&cli.DurationFlag{Name: "changes", Value: 2 * time.Second,
				Usage: "mean time between two changes of the bundle; 0: none"},
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
			err := errs.New(errs.Internal, "%s: %d jobs unknown, %d not ended", kind, jobs.Unknown, jobs.Unfinished)
			return exitCode{err, exitViolated}
		}
	}
	if !audit.NoneViolated(findings) {
		return exitCode{errs.New(errs.Internal, "an invariant was violated"), exitViolated}
	}
	return nil
}
