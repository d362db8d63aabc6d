package main

import (
	"context"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"crosstide/internal/errs"
	"crosstide/internal/testbed/rehearsal"
)

var rehearseDescription = "crosstide-testbed rehearse --fleet DIR [--only a,b,c]\n\n" +
	rehearsal.DescribeCases() + "\n" +
	"A line per case: held, or broken with what is broken below it. accept A/B and start A/B: seconds from the\n" +
	"blow to the first yes to a job handed in after it (the first start), and the longest time without a yes\n" +
	"(without a start) until the offers end. ready: seconds from the load's end until every node is ready.\n" +
	"Exit 1 if a case is broken or could not be run."

func rehearseCommand() *cli.Command {
	return &cli.Command{
		Name: "rehearse", Usage: "blow after blow on a running fleet under load, each followed by an audit",
		Description: rehearseDescription,
		Flags: []cli.Flag{
			fleetFlag(),
			&cli.StringSliceFlag{Name: "only", Usage: "letters of the cases, `a,b,c`, in this order (default: all)"},
			&cli.FloatFlag{Name: "rate", Value: 20, Usage: "jobs per second"},
			&cli.IntFlag{Name: "ms", Value: 400, Usage: "length of a task"},
			&cli.Uint64Flag{Name: "seed", Value: 1},
			scriptFlag(),
		},
		Action: runRehearse,
	}
}

func runRehearse(ctx context.Context, cmd *cli.Command) error {
	ctx, stop := interruptible(ctx)
	defer stop()
	target, err := openFleet(cmd)
	if err != nil {
		return errs.Pass(err, "rehearse")
	}
	only := cmd.StringSlice("only")
	if err := rehearsal.CheckCases(only); err != nil {
		return exitCode{errs.Pass(err, "only"), exitUsage}
	}
	options := rehearsal.CaseOptions{Target: target, BinDir: binDir(), Rate: cmd.Float("rate"),
		TaskDuration: time.Duration(cmd.Int("ms")) * time.Millisecond, Seed: cmd.Uint64("seed")}
	played, broken := 0, 0
	err = rehearsal.RunCases(ctx, options, only, func(result rehearsal.CaseResult) error {
		played++
		if len(result.Violations) > 0 {
			broken++
		}
		return errs.Pass(printCase(cmd, result), "print")
	})
	if err != nil {
		return errs.Pass(err, "rehearse")
	}
	if broken > 0 {
		return exitCode{errs.New(errs.Internal, "%d of %d cases are broken", broken, played), exitViolated}
	}
	return nil
}

// printCase prints a line for a case, and its violations below it.
func printCase(cmd *cli.Command, result rehearsal.CaseResult) error {
	verdict := "held"
	if len(result.Violations) > 0 {
		verdict = "broken"
	}
	err := printf(cmd, "%s  %-42s %-7s %s  (%s)\n", result.Key, result.Name, verdict, result.Measures(),
		strings.Join(result.Notes, "; "))
	if err != nil {
		return errs.Pass(err, "case")
	}
	for _, violation := range result.Violations {
		if err := printf(cmd, "      %s\n", violation); err != nil {
			return errs.Pass(err, "case")
		}
	}
	return nil
}
