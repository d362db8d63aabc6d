package main

import (
	"context"
	"time"

	"github.com/urfave/cli/v3"

	"crosstide/internal/errs"
	"crosstide/internal/testbed/operator"
)

const bundlesDescription = "crosstide-testbed bundles --fleet DIR --for 60s [--seed 1]\n\n" +
	"The operators of DIR/keys write bundles that move the queue `default` between zones, race for the same base,\n" +
	"sign, send orders again, read the bytes back and watch the roll-out. What they were told goes to\n" +
	"DIR/journal/operator-bundles-*.jsonl for `crosstide-testbed audit`. Prints one JSON object; exit 1 if something" +
	" was amiss."

func bundlesCommand() *cli.Command {
	return &cli.Command{
		Name:        "bundles",
		Usage:       "let two operators change the bundle of a fleet again and again",
		Description: bundlesDescription,
		Flags: []cli.Flag{
			fleetFlag(),
			&cli.DurationFlag{Name: "for", Value: time.Minute},
			&cli.Uint64Flag{Name: "seed", Value: 1},
			&cli.DurationFlag{Name: "every", Value: 300 * time.Millisecond, Usage: "between two changes, on average"},
			&cli.FloatFlag{Name: "race", Value: 0.3,
				Usage: "probability that both write against the same base at once"},
			&cli.FloatFlag{Name: "again", Value: 0.3, Usage: "probability that an order is sent once more"},
			&cli.FloatFlag{Name: "invalid", Value: 0.1,
				Usage: "probability that a text with mistakes is sent before a change"},
			&cli.FloatFlag{Name: "evacuate",
				Usage: "probability that a zone is evacuated after a change, for 6 to 10 s; one at a time"},
		},
		Action: runBundles,
	}
}

func runBundles(ctx context.Context, cmd *cli.Command) error {
	ctx, stop := interruptible(ctx)
	defer stop()
	report, err := operator.Run(ctx, operator.Options{Dir: cmd.String("fleet"), For: cmd.Duration("for"),
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
		err := errs.New(errs.Internal, "nothing was changed, or a promise to the operators was broken")
		return exitCode{err, exitViolated}
	}
	return nil
}
