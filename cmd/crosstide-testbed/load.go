package main

import (
	"context"
	"time"

	"github.com/urfave/cli/v3"

	"crosstide/internal/errs"
	"crosstide/internal/testbed/load"
)

const loadDescription = "crosstide-testbed load --fleet DIR --rate 20 --for 20s [--seed 1]\n\n" +
	"Open-loop load: jobs arrive at random times, drawn from the seed, whatever becomes of earlier jobs. Each\n" +
	"job is submitted to a data-plane node. Without a response, or after a 429 or 503, it is submitted to\n" +
	"another one, as Retry-After says. No jobs are submitted after --for. The command then waits up to --wait\n" +
	"until every accepted job has ended, and prints one JSON object. Acknowledgements are recorded in\n" +
	"DIR/journal/consumer-PREFIX-N.jsonl for `crosstide-testbed audit`."

func loadCommand() *cli.Command {
	return &cli.Command{
		Name:        "load",
		Usage:       "submit jobs to a fleet at a rate and follow each to its end",
		Description: loadDescription,
		Flags: append(loadFlags(),
			&cli.BoolFlag{Name: "all-done", Usage: "exit 1 unless every accepted job is done"},
			&cli.StringFlag{Name: "profile",
				Usage: "the load of a deployment, in place of one kind of job: lubra or mamlaka"},
			&cli.FloatFlag{Name: "scale", Value: 1, Usage: "factor on the profile's rates"}),
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
		return errs.New(errs.Internal, "not every accepted job is done")
	}
	return nil
}

// loadFlags returns the flags that loadOptions reads.
func loadFlags() []cli.Flag {
	return []cli.Flag{
		fleetFlag(),
		&cli.FloatFlag{Name: "rate", Value: 20, Usage: "jobs per second"},
		&cli.DurationFlag{Name: "for", Value: 20 * time.Second, Usage: "how long jobs are submitted"},
		&cli.DurationFlag{Name: "wait", Value: time.Minute, Usage: "how long to wait for jobs to end, after --for"},
		&cli.DurationFlag{Name: "give-up", Value: 30 * time.Second,
			Usage: "how long a job is submitted to one node after another"},
		&cli.Uint64Flag{Name: "seed", Value: 1},
		&cli.IntFlag{Name: "steps", Value: 1, Usage: "steps per job, one after the other"},
		&cli.IntFlag{Name: "tasks", Value: 1, Usage: "tasks per step"},
		&cli.BoolFlag{Name: "gang", Usage: "the tasks of a step start together or not at all"},
		&cli.IntFlag{Name: "ms", Value: 100, Usage: "duration of a task in milliseconds"},
		&cli.BoolFlag{Name: "noop", Usage: "tasks that end at once, as --ms 0"},
		&cli.IntFlag{Name: "cores", Value: 1, Usage: "cores of a task"},
		&cli.IntFlag{Name: "retries", Value: 3, Usage: "retries of a task"},
		&cli.StringFlag{Name: "type", Value: "scan"},
		&cli.StringFlag{Name: "queue", Value: "default"},
		&cli.StringFlag{Name: "team", Value: "drill"},
		&cli.StringMapFlag{Name: "label", Usage: "`K=V` that a minion must have; may be repeated"},
		&cli.FloatFlag{Name: "cancel", Usage: "cancel a job soon after it was accepted, with probability `P`"},
		&cli.FloatFlag{Name: "dup", Usage: "submit a job again at another node, with probability `P`"},
		&cli.StringFlag{Name: "key-prefix", Usage: "prefix of the jobs' keys (default: new each time)"},
		&cli.IntFlag{Name: "workers", Value: 4, Usage: "number of clients, each with its own journal"},
		&cli.FloatFlag{Name: "polls", Value: 1000, Usage: "maximum polls per second of all clients"},
	}
}

// loadOptions returns the load that the flags describe. Failure: Invalid.
func loadOptions(cmd *cli.Command) (load.Options, error) {
	options := load.Options{Dir: cmd.String("fleet"), Rate: cmd.Float("rate"), Duration: cmd.Duration("for"),
		Seed: cmd.Uint64("seed"), Tasks: cmd.Int("tasks"), Steps: cmd.Int("steps"), Cores: cmd.Int("cores"),
		TaskDuration: time.Duration(cmd.Int("ms")) * time.Millisecond, Gang: cmd.Bool("gang"), Type: cmd.String("type"),
		Queue: cmd.String("queue"), Team: cmd.String("team"), Labels: cmd.StringMap("label"),
		Retries: cmd.Int("retries"), CancelProbability: cmd.Float("cancel"), DuplicateProbability: cmd.Float("dup"),
		Prefix:  cmd.String("key-prefix"),
		Clients: cmd.Int("workers"), MaxPollsPerSecond: cmd.Float("polls"), EndTimeout: cmd.Duration("wait"),
		SubmitTimeout: cmd.Duration("give-up")}
	if cmd.Bool("noop") {
		options.TaskDuration = 0
	}
	return options, errs.Pass(options.SetDefaults(), "flags")
}
