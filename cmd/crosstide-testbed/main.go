// Command crosstide-testbed is the rehearsal kit: stand-in minions and clients, faulty links, load, audits and drills.
package main

import (
	"context"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"
)

// commands are the subcommands; each file adds its own in an init.
var commands []*cli.Command

func main() {
	root := &cli.Command{
		Name:     "crosstide-testbed",
		Usage:    "rehearse a crosstide fleet on one machine",
		Commands: commands,
	}
	if err := root.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "crosstide-testbed:", err)
		os.Exit(1)
	}
}
