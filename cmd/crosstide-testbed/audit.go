package main

import (
	"context"

	"github.com/urfave/cli/v3"

	"crosstide/internal/errs"
	"crosstide/internal/testbed/audit"
)

const auditDescription = "crosstide-testbed audit DIR\n\n" +
	"Reads DIR/journal/*.jsonl and, if the fleet is up, asks its dplanes for accepted jobs. Prints a line per\n" +
	"promise: held and the number of cases, broken with the offending lines, or not exercised. Exit 1 on broken."

func auditCommand() *cli.Command {
	return &cli.Command{
		Name:        "audit",
		Usage:       "check the promises against the journals of a fleet",
		Description: auditDescription,
		ArgsUsage:   "DIR",
		Flags: []cli.Flag{
			&cli.BoolFlag{Name: "json", Usage: "print the findings as one JSON list"},
			&cli.IntFlag{Name: "shown", Value: 10, Usage: "offending lines shown per promise"},
		},
		Action: runAudit,
	}
}

func runAudit(ctx context.Context, cmd *cli.Command) error {
	if cmd.Args().Len() != 1 {
		return exitCode{errs.Field(errs.Settings, "DIR", "one is needed"), exitUsage}
	}
	findings, err := audit.CheckFleet(ctx, cmd.Args().First())
	if err != nil {
		return errs.Pass(err, "audit")
	}
	if cmd.Bool("json") {
		err = printJSON(cmd, findings)
	} else {
		err = audit.WriteReport(cmd.Root().Writer, findings, cmd.Int("shown"))
	}
	if err != nil {
		return errs.Pass(err, "audit")
	}
	if !audit.NoneViolated(findings) {
		return exitCode{errs.New(errs.Internal, "a promise is broken"), exitViolated}
	}
	return nil
}
