package main

import (
	"bufio"
	"context"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"crosstide/internal/errs"
	"crosstide/internal/testbed/policysim"
)

var simDescription = "" +
	"crosstide-testbed sim --seeds A..B [--for D] [--pace D] [--faults LIST] [--break GUARD] [--parties]\n" +
	"crosstide-testbed sim --seed N --trace\n\n" +
	"Each seed simulates a fleet of 5 control-plane nodes, 3 data-plane nodes and 6 minions under its own\n" +
	"faults, on one thread. Prints the number of cases of every invariant and fault. Exits with 1 if an\n" +
	"invariant was violated, or an invariant or fault had no case; with --break, if no seed detected the\n" +
	"missing guard.\n\nfaults: " + strings.Join(policysim.Faults, " ") +
	"\nguards: " + strings.Join(policysim.Guards, " ")

func simCommand() *cli.Command {
	return &cli.Command{
		Name:        "sim",
		Usage:       "run a whole fleet in the deterministic simulator",
		Description: simDescription,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "seeds", Value: "1..20", Usage: "first and last seed"},
			&cli.Uint64Flag{Name: "seed", Usage: "run only this seed"},
			&cli.DurationFlag{Name: "for", Value: 40 * time.Second,
				Usage: "virtual time in which faults are injected and jobs submitted"},
			&cli.DurationFlag{Name: "pace",
				Usage: "mean time between two faults; if 0, drawn from the seed (200ms to 2.5s)"},
			&cli.StringFlag{Name: "faults", Usage: "comma-separated names, `none`, or empty for all"},
			&cli.StringFlag{Name: "break", Usage: "disable a guard"},
			&cli.BoolFlag{Name: "parties",
				Usage: "let parties pay for some of the jobs; the balance of one runs out repeatedly"},
			&cli.BoolFlag{Name: "trace", Usage: "print every line of the trace"},
			&cli.IntFlag{Name: "width", Value: 4, Usage: "number of seeds that run concurrently"},
			&cli.IntFlag{Name: "many", Value: 3, Usage: "stop after this many seeds with a violation; 0: run all"},
		},
		Action: runSim,
	}
}

func runSim(_ context.Context, cmd *cli.Command) error {
	options, err := simOptions(cmd)
	if err != nil {
		return exitCode{err, exitUsage}
	}
	first, last, err := simSeeds(cmd)
	if err != nil {
		return exitCode{err, exitUsage}
	}
	out := bufio.NewWriter(cmd.Root().Writer)
	defer out.Flush()
	if cmd.Bool("trace") {
		options.Trace, last = out, first
	}
	maxViolated := cmd.Int("many")
	if options.WithoutGuard != "" {
		maxViolated = 0
	}
	results := policysim.RunSeeds(options, first, last, cmd.Int("width"), maxViolated)
	summary := policysim.Summarize(results, options.Faults)
	if options.Parties {
		summary.Require(policysim.BillingInvariants)
	}
	isTraced := options.WithoutGuard == "" && options.Trace == nil
	for i, violated := range summary.Violations {
		fmt.Fprintf(out, "seed %d breaks %q at %s: %s\n", violated.Seed, violated.Violation.Invariant,
			violated.Violation.At, violated.Violation.Detail)
		if i < tracedViolations && isTraced {
			fmt.Fprintln(out, "  "+strings.Join(violated.Violation.TraceTail, "\n  "))
		}
	}
	if options.WithoutGuard != "" {
		fmt.Fprintf(out, "without %s: found in %d of %d seeds\n", options.WithoutGuard, summary.Violated, summary.Seeds)
		if summary.Violated == 0 {
			return exitCode{errs.New(errs.Internal, "no seed detected the missing guard"), exitViolated}
		}
		return nil
	}
	if err := summary.Print(out); err != nil {
		return errs.Pass(err, "sim")
	}
	unexercised := len(summary.UncheckedInvariants) + len(summary.UnexercisedFaults)
	if summary.Violated > 0 || last > first && unexercised > 0 {
		err := errs.New(errs.Internal, "an invariant was violated or never checked, or a fault was never injected")
		return exitCode{err, exitViolated}
	}
	return nil
}

// tracedViolations is the number of violations for which the end of the trace is printed.
const tracedViolations = 2

// simOptions returns the options that the flags describe. Failure: Settings.
func simOptions(cmd *cli.Command) (policysim.Options, error) {
	options := policysim.Options{FaultPeriod: cmd.Duration("for"), MeanFaultInterval: cmd.Duration("pace"),
		WithoutGuard: cmd.String("break"), Parties: cmd.Bool("parties"), Faults: slices.Clone(policysim.Faults)}
	switch list := cmd.String("faults"); list {
	case "":
	case "none":
		options.Faults = []string{}
	default:
		options.Faults = strings.Split(list, ",")
	}
	for _, fault := range options.Faults {
		if !slices.Contains(policysim.Faults, fault) {
			return options, errs.Field(errs.Settings, "faults", "unknown fault %q", fault)
		}
	}
	if options.WithoutGuard != "" && !slices.Contains(policysim.Guards, options.WithoutGuard) {
		return options, errs.Field(errs.Settings, "break", "unknown guard %q", options.WithoutGuard)
	}
	return options, nil
}

// simSeeds returns the first and the last seed, from --seed or else from --seeds A..B. Failure: Settings.
func simSeeds(cmd *cli.Command) (first, last uint64, err error) {
	text := cmd.String("seeds")
	from, to, _ := strings.Cut(text, "..")
	if first, err = strconv.ParseUint(from, 10, 64); err == nil {
		last, err = strconv.ParseUint(to, 10, 64)
	}
	if err != nil || last < first {
		return 0, 0, errs.Field(errs.Settings, "seeds", "must have the form A..B, is %q", text)
	}
	if seed := cmd.Uint64("seed"); seed > 0 {
		return seed, seed, nil
	}
	return first, last, nil
}
