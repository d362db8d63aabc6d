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
		unsignedOrderCommand("drain", "start nothing new on MINION", "MINION", "/v1/minions/%s/drain"),
		unsignedOrderCommand("open", "allow starts on MINION again", "MINION", "/v1/minions/%s/open"),
		unsignedOrderCommand("retire", "remove MINION, which must not have runs", "MINION", "/v1/minions/%s/retire"),
	}}
}

func renderWorkers(t table, list operatorapi.Workers) {
	t.row("NAME", "ADDR", "ZONE", "KIND", "BOOT", "TICKETS", "CORES", "GPUS", "STATE")
	for _, worker := range list.Workers {
		state := "open"
		if worker.Closed || worker.Draining {
			state = "drain"
		}
		t.row(worker.Name, worker.Addr, worker.Zone, worker.Kind, worker.Incarnation, worker.RunCount,
			usedOf(worker.UsedCores, worker.Cores), usedOf(worker.UsedGPUs, worker.GPUs), state)
	}
}
