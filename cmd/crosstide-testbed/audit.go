package main

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"

	"crosstide/internal/errs"
	"crosstide/internal/testbed/audit"
	"crosstide/internal/testbed/fleet"
)

func init() {
	commands = append(commands, &cli.Command{
		Name:  "audit",
		Usage: "check the promises against the journals of a fleet",
		Description: "crosstide-testbed audit DIR\n\n" +
			"Reads DIR/journal/*.jsonl and, if the fleet is up, asks its dplanes for accepted jobs. Prints a line per\n" +
			"promise: held and the number of cases, broken with the offending lines, or not exercised. Exit 1 on broken.",
		ArgsUsage: "DIR",
		Flags: []cli.Flag{
			&cli.BoolFlag{Name: "json", Usage: "print the findings as one JSON list"},
			&cli.IntFlag{Name: "shown", Value: 10, Usage: "offending lines shown per promise"},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			if cmd.Args().Len() != 1 {
				return exitCode{errs.Field(errs.Settings, "DIR", "one is needed"), 2}
			}
			findings, err := auditFleet(ctx, cmd.Args().First())
			if err != nil {
				return errs.Pass(err, "audit")
			}
			if cmd.Bool("json") {
				err = printJSON(cmd.Root().Writer, findings)
			} else {
				err = audit.WriteReport(cmd.Root().Writer, findings, cmd.Int("shown"))
			}
			if err != nil {
				return errs.Pass(err, "audit")
			}
			if !audit.NoneViolated(findings) {
				return exitCode{errs.New(errs.Internal, "a promise is broken"), 1}
			}
			return nil
		},
	})
}

// auditFleet audits the fleet in dir, with the public API's answers where there are any.
func auditFleet(ctx context.Context, dir string) ([]audit.Finding, error) {
	h, err := audit.Read(dir)
	if err != nil {
		return nil, errs.Pass(err, "journals of %s", dir)
	}
	answered := 0
	if nodes, err := fleet.Read(dir); err == nil {
		h, answered = audit.Probe(ctx, h, fleet.NewCaller(16), nodes.DataPlanes)
	}
	out := audit.Check(h)
	for i := range out {
		if out[i].Invariant == "known" {
			out[i].Note = joined(out[i].Note, fmt.Sprintf("%d asked for at the end", answered))
		}
	}
	return out, nil
}

func joined(a, b string) string {
	if a == "" {
		return b
	}
	return a + "; " + b
}
