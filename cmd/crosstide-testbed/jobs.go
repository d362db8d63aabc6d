package main

import (
	"context"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"time"

	"github.com/urfave/cli/v3"

	"crosstide/internal/errs"
	"crosstide/internal/testbed/endtoend"
)

func init() {
	commands = append(commands, &cli.Command{
		Name: "jobs", Usage: "the jobs interface end to end: processes on loopback, a mix of jobs, the leader killed, an audit",
		Description: "Starts cplanes, dplanes and workers, hands in jobs of every kind, tells a worker to leave, kills the leader\n" +
			"once, evacuates a zone, waits for every job and audits the workers' journals. Exit 1 if a promise is broken.",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "dir", Usage: "`DIR` for settings, data, logs and journals; default: a new one, removed if all is well"},
			&cli.StringFlag{Name: "bin", Usage: "`FOLDER` of the programs (default: this program's)"},
			&cli.IntFlag{Name: "cplanes", Value: 3},
			&cli.IntFlag{Name: "dplanes", Value: 2},
			&cli.IntFlag{Name: "workers", Value: 6},
		},
		Action: runEndToEnd,
	})
}

func runEndToEnd(ctx context.Context, cmd *cli.Command) error {
	dir, made, err := workFolder(cmd.String("dir"))
	if err != nil {
		return errs.Pass(err, "jobs")
	}
	bin := cmd.String("bin")
	if bin == "" {
		bin = filepath.Dir(program("crosstide-testbed"))
	}
	plan, err := endtoend.NewPlan(dir, bin, endtoend.Size{ControlPlanes: cmd.Int("cplanes"), DataPlanes: cmd.Int("dplanes"), Workers: cmd.Int("workers")})
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
	printResult(cmd, result)
	if len(result.Violations) > 0 {
		return errs.New(errs.Internal, "%d promises are broken; logs and journals are in %s", len(result.Violations), dir)
	}
	if made {
		return errs.Wrap(os.RemoveAll(dir), errs.Disk, "remove %s", dir)
	}
	return nil
}

// workFolder gives the drill's folder; made tells that it is a new one.
func workFolder(named string) (dir string, made bool, err error) {
	if named != "" {
		dir, err = filepath.Abs(named)
		return dir, false, errs.Wrap(err, errs.Disk, "folder")
	}
	dir, err = os.MkdirTemp("", "crosstide-jobs-")
	return dir, true, errs.Wrap(err, errs.Disk, "folder")
}

func printResult(cmd *cli.Command, result endtoend.Result) {
	out := cmd.Root().Writer
	fmt.Fprintf(out, "jobs %d  runs %d", result.Accepted, result.Runs)
	for _, kind := range slices.Sorted(maps.Keys(result.Ends)) {
		fmt.Fprintf(out, "  %s %d", kind, result.Ends[kind])
	}
	for _, why := range slices.Sorted(maps.Keys(result.Refused)) {
		fmt.Fprintf(out, "  refused-%s %d", why, result.Refused[why])
	}
	fmt.Fprintf(out, "\naccepted again %s after the kill\n", result.AcceptedIn.Round(time.Millisecond))
	for _, wrong := range result.Violations {
		fmt.Fprintln(out, "BROKEN", wrong)
	}
	if len(result.Violations) == 0 {
		fmt.Fprintln(out, "held: nothing lost, nothing twice, order, room, labels, gangs, progress, attempts")
	}
}
