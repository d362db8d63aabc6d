package main

import (
	"github.com/urfave/cli/v3"

	"crosstide/internal/httpapi/operatorapi"
)

// workerCommand returns the command for the workers of the policy deployment, which the command line calls minions.
func workerCommand() *cli.Command {
	return &cli.Command{Name: "minion", Usage: "list, drain, open and retire minions", Commands: []*cli.Command{
		{Name: "list", Usage: "print every minion", Flags: queryFlags(),
			Action: queryAction("/v1/minions", renderWorkers)},
		unsignedOrderCommand("drain", "no new starts on MINION", "MINION", "/v1/minions/%s/drain"),
		unsignedOrderCommand("open", "MINION may be used again", "MINION", "/v1/minions/%s/open"),
		unsignedOrderCommand("retire", "forget MINION, which must be empty", "MINION", "/v1/minions/%s/retire"),
	}}
}

func renderWorkers(t table, list operatorapi.Workers) {
	t.row("NAME", "ADDR", "ZONE", "KIND", "BOOT", "TICKETS", "CORES", "GPUS", "STATE")
	for _, w := range list.Workers {
		state := "open"
		if w.Closed || w.Draining {
			state = "drain"
		}
		t.row(w.Name, w.Addr, w.Zone, w.Kind, w.Incarnation, w.RunCount,
			usedOf(w.UsedCores, w.Cores), usedOf(w.UsedGPUs, w.GPUs), state)
	}
}
