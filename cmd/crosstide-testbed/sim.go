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

func init() {
	commands = append(commands, &cli.Command{
		Name:  "sim",
		Usage: "run a whole fleet in the deterministic simulator",
		Description: "crosstide-testbed sim --seeds A..B [--for D] [--pace D] [--faults LIST] [--break GUARD] [--parties]\ncrosstide-testbed sim --seed N --trace\n\n" +
			"Each seed is a fleet of 5 cplanes, 3 dplanes and 6 minions under its own faults, on one thread. Prints the\n" +
			"cases seen of every promise and fault. Exit 1 if a promise is broken, or one was not exercised; with --break\n" +
			"exit 1 if no seed found the missing guard.\n\nfaults: " + strings.Join(policysim.Faults, " ") + "\nguards: " + strings.Join(policysim.Guards, " "),
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "seeds", Value: "1..20", Usage: "first and last seed"},
			&cli.Uint64Flag{Name: "seed", Usage: "one seed"},
			&cli.DurationFlag{Name: "for", Value: 40 * time.Second, Usage: "virtual time with faults and fresh jobs"},
			&cli.DurationFlag{Name: "pace", Usage: "mean time between two faults; drawn by the seed if 0 (200ms to 2.5s)"},
			&cli.StringFlag{Name: "faults", Usage: "names with commas, `none`, or all if empty"},
			&cli.StringFlag{Name: "break", Usage: "take a guard out"},
			&cli.BoolFlag{Name: "parties", Usage: "parties pay for some of the jobs, and one runs dry again and again"},
			&cli.BoolFlag{Name: "trace", Usage: "print every line of the trace"},
			&cli.IntFlag{Name: "width", Value: 4, Usage: "seeds at once"},
			&cli.IntFlag{Name: "many", Value: 3, Usage: "stop after so many broken seeds; 0: run all"},
		},
		Action: runSim,
	})
}

func runSim(_ context.Context, cmd *cli.Command) error {
	opt := policysim.Options{FaultPeriod: cmd.Duration("for"), MeanFaultInterval: cmd.Duration("pace"), WithoutGuard: cmd.String("break"), Parties: cmd.Bool("parties")}
	opt.Faults = slices.Clone(policysim.Faults)
	if list := cmd.String("faults"); list == "none" {
		opt.Faults = []string{}
	} else if list != "" {
		opt.Faults = strings.Split(list, ",")
	}
	for _, f := range opt.Faults {
		if !slices.Contains(policysim.Faults, f) {
			return exitCode{errs.Field(errs.Settings, "faults", "no fault %q", f), 2}
		}
	}
	if opt.WithoutGuard != "" && !slices.Contains(policysim.Guards, opt.WithoutGuard) {
		return exitCode{errs.Field(errs.Settings, "break", "no guard %q", opt.WithoutGuard), 2}
	}
	first, last, err := parseSeeds(cmd.String("seeds"))
	if err != nil {
		return exitCode{err, 2}
	}
	if n := cmd.Uint64("seed"); n > 0 {
		first, last = n, n
	}
	out := bufio.NewWriter(cmd.Root().Writer)
	defer out.Flush()
	if cmd.Bool("trace") {
		opt.Trace, last = out, first
	}
	many := cmd.Int("many")
	if opt.WithoutGuard != "" {
		many = 0
	}
	sum := policysim.Summarize(policysim.RunSeeds(opt, first, last, cmd.Int("width"), many), opt.Faults)
	if opt.Parties {
		sum.Require(policysim.BillingPromises)
	}
	for i, r := range sum.Breaches {
		fmt.Fprintf(out, "seed %d breaks %q at %s: %s\n", r.Seed, r.Breach.Promise, r.Breach.At, r.Breach.Detail)
		if i < 2 && opt.WithoutGuard == "" && opt.Trace == nil {
			fmt.Fprintln(out, "  "+strings.Join(r.Breach.TraceTail, "\n  "))
		}
	}
	if opt.WithoutGuard != "" {
		fmt.Fprintf(out, "without %s: found in %d of %d seeds\n", opt.WithoutGuard, sum.Broken, sum.Seeds)
		if sum.Broken == 0 {
			return exitCode{errs.New(errs.Internal, "the missing guard was not found"), 1}
		}
		return nil
	}
	if err := sum.Print(out); err != nil {
		return errs.Pass(err, "sim")
	}
	if sum.Broken > 0 || last > first && len(sum.UnexercisedPromises)+len(sum.UnexercisedFaults) > 0 {
		return exitCode{errs.New(errs.Internal, "a promise is broken or was not exercised"), 1}
	}
	return nil
}

// parseSeeds reads A..B.
func parseSeeds(text string) (first, last uint64, err error) {
	a, b, _ := strings.Cut(text, "..")
	if first, err = strconv.ParseUint(a, 10, 64); err == nil {
		last, err = strconv.ParseUint(b, 10, 64)
	}
	if err != nil || last < first {
		return 0, 0, errs.Field(errs.Settings, "seeds", "%q is not A..B", text)
	}
	return first, last, nil
}
