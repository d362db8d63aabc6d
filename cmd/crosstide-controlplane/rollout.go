package main

import (
	"fmt"
	"time"

	"github.com/urfave/cli/v3"

	"crosstide/internal/httpapi/operatorapi"
)

// rolloutCommand returns the command that prints the bundle version of every node.
func rolloutCommand() *cli.Command {
	return &cli.Command{Name: "rollout", Usage: "print the bundle version of every node and how long its roll-out took",
		Flags: queryFlags(), Action: queryAction("/v1/rollout", renderRollout)}
}

func renderRollout(t table, rollout operatorapi.Rollout) {
	t.row(fmt.Sprintf("version %d in force since %s", rollout.Version, formatTime(rollout.InForceSince)))
	t.row("KIND", "NODE", "VERSION", "SINCE", "TOOK", "HEARD")
	for _, node := range rollout.Nodes {
		took := "-"
		if node.Version == rollout.Version && !rollout.InForceSince.IsZero() {
			took = node.Took.Round(100 * time.Microsecond).String()
		}
		t.row(node.Kind, node.Node, node.Version, formatTime(node.Since), took, formatTime(node.Heard))
	}
	for _, name := range rollout.Unresponsive {
		t.row("cplane", name, "no answer", "", "", "")
	}
}
