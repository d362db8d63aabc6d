package main

import (
	"context"
	"time"

	"github.com/urfave/cli/v3"

	"crosstide/internal/errs"
	"crosstide/internal/testbed/bench"
)

func diskCommand() *cli.Command {
	return &cli.Command{
		Name:  "disk",
		Usage: "measure the disk's syncs per second, with the writes of the store's log",
		Flags: []cli.Flag{&cli.StringFlag{Name: "data", Required: true, Usage: "a new `FOLDER`, which is not removed"},
			&cli.DurationFlag{Name: "for", Value: 2 * time.Second},
			&cli.IntFlag{Name: "bytes", Value: 256, Usage: "size of a record"}},
		Action: runDisk,
	}
}

func runDisk(_ context.Context, cmd *cli.Command) error {
	syncsPerSecond, err := bench.Disk(cmd.String("data"), cmd.Int("bytes"), cmd.Duration("for"))
	if err != nil {
		return errs.Pass(err, "disk")
	}
	err = printf(cmd, "%.0f syncs/s of one record of %d bytes\n", syncsPerSecond, cmd.Int("bytes"))
	return errs.Pass(err, "disk")
}
