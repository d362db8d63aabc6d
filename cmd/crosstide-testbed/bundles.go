package main

import (
	"context"
	"time"

	"github.com/urfave/cli/v3"

	"crosstide/internal/errs"
	"crosstide/internal/testbed/operator"
)

const bundlesDescription = "crosstide-testbed bundles --fleet DIR --for 60s [--seed 1]\n\n" +
	"Two operators, with the keys in DIR/keys, write bundles that move the queue `default` between zones.\n" +
	"They race for the same base, sign, repeat orders, read the bytes back and watch the roll-out. Their\n" +
	"orders and the responses are recorded in DIR/journal/operator-bundles-*.jsonl for\n" +
	"`crosstide-testbed audit`. Prints one JSON object. Exits with 1 if an invariant was violated or no\n" +
	"change was made."

func bundlesCommand() *cli.Command {
	return &cli.Command{
		Name:        "bundles",
		Usage:       "let two operators change the bundle of a fleet repeatedly",
		Description: bundlesDescription,
		Flags: []cli.Flag{
			fleetFlag(),
			&cli.DurationFlag{Name: "for", Value: time.Minute},
			&cli.Uint64Flag{Name: "seed", Value: 1},
			&cli.DurationFlag{Name: "every", Value: 300 * time.Millisecond, Usage: "mean time between two changes"},
			&cli.FloatFlag{Name: "race", Value: 0.3,
				Usage: "probability that both operators write against the same base at once"},
			&cli.FloatFlag{Name: "again", Value: 0.3, Usage: "probability that an order is repeated"},
			&cli.FloatFlag{Name: "invalid", Value: 0.1,
				Usage: "probability that an invalid bundle is sent before a change"},
			&cli.FloatFlag{Name: "evacuate",
				Usage: "probability that a zone is evacuated after a change, for 6 to 10 s; one zone at a time"},
		},
		Action: runBundles,
	}
}

func runBundles(ctx context.Context, cmd *cli.Command) error {
	ctx, stop := interruptible(ctx)
	defer stop()
	report, err := operator.Run(ctx, operator.Options{Dir: cmd.String("fleet"), Duration: cmd.Duration("for"),
		Seed: cmd.Uint64("seed"), Interval: cmd.Duration("every"), RaceProbability: cmd.Float("race"),
		RepeatProbability: cmd.Float("again"), InvalidProbability: cmd.Float("invalid"),
		EvacuateProbability: cmd.Float("evacuate")})
	if err != nil {
		return errs.Pass(err, "bundles")
	}
	if err := printJSON(cmd, report); err != nil {
		return errs.Pass(err, "bundles")
	}
	if !report.IsClean() {
		err := errs.New(errs.Internal, "no change was made, or an invariant was violated")
		return exitCode{err, exitViolated}
	}
	return nil
}
