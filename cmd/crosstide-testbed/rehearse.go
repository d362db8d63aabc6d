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
	"Prints one line per case: held, or broken with the violations below it. accept A/B: seconds from the\n" +
	"fault to the first acceptance of a job submitted after it, and the longest time without an acceptance\n" +
	"until the load ends. start A/B: the same for starts. ready: seconds from the end of the load until every\n" +
	"node is ready. Exits with 1 if a case is broken or could not be run."

func rehearseCommand() *cli.Command {
	return &cli.Command{
		Name:        "rehearse",
		Usage:       "inject one fault after another into a running fleet under load, with an audit after each",
		Description: rehearseDescription,
		Flags: []cli.Flag{
			fleetFlag(),
			&cli.StringSliceFlag{Name: "only",
				Usage: "letters of the cases to run, `a,b,c`, in this order (default: all)"},
			&cli.FloatFlag{Name: "rate", Value: 20, Usage: "jobs per second"},
			&cli.IntFlag{Name: "ms", Value: 400, Usage: "duration of a task in milliseconds"},
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
	total, violated := 0, 0
	err = rehearsal.RunCases(ctx, options, only, func(result rehearsal.CaseResult) error {
		total++
		if len(result.Violations) > 0 {
			violated++
		}
		return errs.Pass(printCase(cmd, result), "print")
	})
	if err != nil {
		return errs.Pass(err, "rehearse")
	}
	if violated > 0 {
		return exitCode{errs.New(errs.Internal, "%d of %d cases violated an invariant", violated, total), exitViolated}
	}
	return nil
}

// printCase prints one line for a case, with its violations below.
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
