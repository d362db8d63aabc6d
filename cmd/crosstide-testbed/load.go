package main

import (
	"context"
	"time"

	"github.com/urfave/cli/v3"

	"crosstide/internal/errs"
	"crosstide/internal/testbed/load"
)

const loadDescription = "crosstide-testbed load --fleet DIR --rate 20 --for 20s [--seed 1]\n\n" +
	"An open loop: jobs arrive at random times (of the seed) whatever became of those before. Each is handed to\n" +
	"a dplane; after a lost answer, 429 or 503 the same job goes to another one, as Retry-After says. Offers\n" +
	"stop after --for; then it waits until every accepted job is over, --wait at most, and prints one JSON\n" +
	"object. What was acknowledged goes to DIR/journal/consumer-PREFIX-N.jsonl for `crosstide-testbed audit`."

func loadCommand() *cli.Command {
	return &cli.Command{
		Name:        "load",
		Usage:       "offer jobs to a fleet at a rate and follow each to its end",
		Description: loadDescription,
		Flags: append(loadFlags(),
			&cli.BoolFlag{Name: "all-done", Usage: "exit 1 unless all that was accepted is done"},
			&cli.StringFlag{Name: "profile", Usage: "the work of a deployment, in place of one kind: lubra or mamlaka"},
			&cli.FloatFlag{Name: "scale", Value: 1, Usage: "of the profile's rates"}),
		Action: runLoad,
	}
}

func runLoad(ctx context.Context, cmd *cli.Command) error {
	ctx, stop := interruptible(ctx)
	defer stop()
	options, err := loadOptions(cmd)
	if err != nil {
		return errs.Pass(err, "load")
	}
	if cmd.IsSet("profile") {
		reports, err := load.RunProfile(ctx, cmd.String("profile"), cmd.Float("scale"), options)
		if err != nil {
			return errs.Pass(err, "load")
		}
		return errs.Pass(printJSON(cmd, reports), "load")
	}
	report, err := load.Run(ctx, options)
	if err != nil {
		return errs.Pass(err, "load")
	}
	if err := printJSON(cmd, report); err != nil {
		return errs.Pass(err, "load")
	}
	if cmd.Bool("all-done") && !report.AllDone() {
		return errs.New(errs.Internal, "not all that was accepted is done")
	}
	return nil
}

// loadFlags returns the flags that loadOptions reads.
func loadFlags() []cli.Flag {
	return []cli.Flag{
		fleetFlag(),
		&cli.FloatFlag{Name: "rate", Value: 20, Usage: "jobs per second"},
		&cli.DurationFlag{Name: "for", Value: 20 * time.Second, Usage: "how long jobs are offered"},
		&cli.DurationFlag{Name: "wait", Value: time.Minute, Usage: "for the ends, after --for"},
		&cli.DurationFlag{Name: "give-up", Value: 30 * time.Second,
			Usage: "how long a job is offered to node after node"},
		&cli.Uint64Flag{Name: "seed", Value: 1},
		&cli.IntFlag{Name: "steps", Value: 1, Usage: "per job, one after the other"},
		&cli.IntFlag{Name: "tasks", Value: 1, Usage: "per step"},
		&cli.BoolFlag{Name: "gang", Usage: "the tasks of a step start together or not at all"},
		&cli.IntFlag{Name: "ms", Value: 100, Usage: "length of a task"},
		&cli.BoolFlag{Name: "noop", Usage: "tasks that end at once, as --ms 0"},
		&cli.IntFlag{Name: "cores", Value: 1, Usage: "of a task"},
		&cli.IntFlag{Name: "retries", Value: 3, Usage: "of a task"},
		&cli.StringFlag{Name: "type", Value: "scan"},
		&cli.StringFlag{Name: "queue", Value: "default"},
		&cli.StringFlag{Name: "team", Value: "drill"},
		&cli.StringMapFlag{Name: "label", Usage: "`K=V` that a minion must bear, may be given again"},
		&cli.FloatFlag{Name: "cancel", Usage: "cancel a job soon after its yes with probability `P`"},
		&cli.FloatFlag{Name: "dup", Usage: "hand a job in once more at another node with probability `P`"},
		&cli.StringFlag{Name: "key-prefix", Usage: "of the jobs' keys (default: new each time)"},
		&cli.IntFlag{Name: "workers", Value: 4, Usage: "clients, each with its own journal"},
		&cli.FloatFlag{Name: "polls", Value: 1000, Usage: "polls per second of all clients, at most"},
	}
}

// loadOptions returns the load that the flags describe. Failure: Invalid.
func loadOptions(cmd *cli.Command) (load.Options, error) {
	o := load.Options{Dir: cmd.String("fleet"), Rate: cmd.Float("rate"), Duration: cmd.Duration("for"),
		Seed: cmd.Uint64("seed"), Tasks: cmd.Int("tasks"), Steps: cmd.Int("steps"), Cores: cmd.Int("cores"),
		TaskDuration: time.Duration(cmd.Int("ms")) * time.Millisecond, Gang: cmd.Bool("gang"), Type: cmd.String("type"),
		Queue: cmd.String("queue"), Team: cmd.String("team"), Labels: cmd.StringMap("label"),
		Retries: cmd.Int("retries"), CancelProbability: cmd.Float("cancel"), DuplicateProbability: cmd.Float("dup"),
		Prefix:  cmd.String("key-prefix"),
		Clients: cmd.Int("workers"), MaxPollsPerSecond: cmd.Float("polls"), EndTimeout: cmd.Duration("wait"),
		SubmitTimeout: cmd.Duration("give-up")}
	if cmd.Bool("noop") {
		o.TaskDuration = 0
	}
	return o, errs.Pass(o.SetDefaults(), "flags")
}
