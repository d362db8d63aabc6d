package main

import (
	"context"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"crosstide/internal/errs"
	"crosstide/internal/testbed/endtoend"
)

const jobsDescription = "" +
	"Starts control-plane nodes, data-plane nodes and workers, submits jobs of every kind, drains a worker,\n" +
	"kills the leader once, evacuates a zone, waits for every job and audits the workers' journals. Exits\n" +
	"with 1 if an invariant was violated."

func jobsCommand() *cli.Command {
	return &cli.Command{
		Name:        "jobs",
		Usage:       "test the jobs deployment end to end on loopback: mixed jobs, a killed leader, an audit",
		Description: jobsDescription,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "dir",
				Usage: "`DIR` for settings, data, logs and journals (default: a new one, removed on success)"},
			&cli.StringFlag{Name: "bin", Usage: "`FOLDER` of the programs (default: this program's)"},
			&cli.IntFlag{Name: "cplanes", Value: 3},
			&cli.IntFlag{Name: "dplanes", Value: 2},
			&cli.IntFlag{Name: "workers", Value: 6},
		},
		Action: runJobs,
	}
}

func runJobs(ctx context.Context, cmd *cli.Command) error {
	dir, isNew, err := jobsFolder(cmd.String("dir"))
	if err != nil {
		return errs.Pass(err, "jobs")
	}
	bin := cmd.String("bin")
	if bin == "" {
		bin = binDir()
	}
	plan, err := endtoend.NewPlan(dir, bin, endtoend.Size{ControlPlanes: cmd.Int("cplanes"),
		DataPlanes: cmd.Int("dplanes"), Workers: cmd.Int("workers")})
	if err != nil {
		return errs.Pass(err, "jobs")
	}
	processes, err := endtoend.Start(plan)
	if err != nil {
		return errs.Pass(err, "jobs")
	}
	defer processes.Stop()
	result, err := endtoend.Run(ctx, plan, processes, cmd.Root().Writer)
	if err != nil {
		return errs.Pass(err, "jobs; logs are in %s", dir)
	}
	if err := printf(cmd, "%s", resultText(result)); err != nil {
		return errs.Pass(err, "jobs")
	}
	if n := len(result.Violations); n > 0 {
		return errs.New(errs.Internal, "%d violations of invariants; logs and journals are in %s", n, dir)
	}
	if isNew {
		return errs.Wrap(os.RemoveAll(dir), errs.Disk, "remove %s", dir)
	}
	return nil
}

// jobsFolder returns the absolute path of the folder path, or a new temporary folder if path is empty.
func jobsFolder(path string) (dir string, isNew bool, err error) {
	if path != "" {
		dir, err = filepath.Abs(path)
		return dir, false, errs.Wrap(err, errs.Disk, "folder")
	}
	dir, err = os.MkdirTemp("", "crosstide-jobs-")
	return dir, true, errs.Wrap(err, errs.Disk, "folder")
}

// resultText returns the result of a scenario as text: the counts, the time of the fail-over, then a line for each
// violation, or one that lists the invariants if all held.
func resultText(result endtoend.Result) string {
	var text strings.Builder
	fmt.Fprintf(&text, "jobs %d  runs %d", result.Accepted, result.Runs)
	for _, reason := range slices.Sorted(maps.Keys(result.Ends)) {
		fmt.Fprintf(&text, "  %s %d", reason, result.Ends[reason])
	}
	for _, reason := range slices.Sorted(maps.Keys(result.Refused)) {
		fmt.Fprintf(&text, "  refused-%s %d", reason, result.Refused[reason])
	}
	fmt.Fprintf(&text, "\naccepted a job %s after the leader was killed\n", result.AcceptedIn.Round(time.Millisecond))
	for _, violation := range result.Violations {
		fmt.Fprintln(&text, "BROKEN", violation)
	}
	if len(result.Violations) == 0 {
		fmt.Fprintln(&text, "held: no lost job, no repeated run, order, room, labels, gangs, progress, attempts")
	}
	return text.String()
}
