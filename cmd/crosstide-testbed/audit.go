package main

import (
	"context"

	"github.com/urfave/cli/v3"

	"crosstide/internal/errs"
	"crosstide/internal/testbed/audit"
)

const auditDescription = "crosstide-testbed audit DIR\n\n" +
	"Reads DIR/journal/*.jsonl and, if the fleet is running, asks its data-plane nodes for accepted jobs.\n" +
	"Prints one line per invariant: held with the number of cases, broken with the violations, or not\n" +
	"exercised. Exits with 1 if an invariant is broken."

func auditCommand() *cli.Command {
	return &cli.Command{
		Name:        "audit",
		Usage:       "check the invariants against the journals of a fleet",
		Description: auditDescription,
		ArgsUsage:   "DIR",
		Flags: []cli.Flag{
			&cli.BoolFlag{Name: "json", Usage: "print the findings as a JSON array"},
			&cli.IntFlag{Name: "shown", Value: 10, Usage: "maximum number of violations printed per invariant"},
		},
		Action: runAudit,
	}
}

func runAudit(ctx context.Context, cmd *cli.Command) error {
	if cmd.Args().Len() != 1 {
		return exitCode{errs.Field(errs.Settings, "DIR", "exactly one argument is required"), exitUsage}
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
		return exitCode{errs.New(errs.Internal, "an invariant was violated"), exitViolated}
	}
	return nil
}
