// Command crosstide-testbed is the testbed of crosstide: simulated workers and clients, load, injected faults, audits
// and simulators. Every file except main.go and command.go has one command and is named after it. It parses and
// validates the flags, and calls a package under internal/testbed, which does the work.
package main

import (
	"context"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"
)

func main() {
	root := &cli.Command{
		Name:  "crosstide-testbed",
		Usage: "test a crosstide fleet on one machine",
		Commands: []*cli.Command{
			auditCommand(), balancesCommand(), benchCommand(), diskCommand(), bundlesCommand(), churnCommand(),
			lagsCommand(), portsCommand(), planCommand(), readyCommand(), whoCommand(), freezeCommand(), jobsCommand(),
			linkCommand(), cutCommand(), loadCommand(), policyWorkerCommand(), monthCommand(), rehearseCommand(),
			scaleCommand(), plotCommand(), simCommand(), workerCommand(), zoneCommand(),
		},
	}
	if err := root.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "crosstide-testbed:", err)
		os.Exit(1)
	}
}
