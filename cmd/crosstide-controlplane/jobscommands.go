package main

import (
	"context"
	"net/http"
	"net/url"
	"strings"

	"github.com/urfave/cli/v3"

	"crosstide/internal/controller"
	"crosstide/internal/errs"
	"crosstide/internal/httpapi/jobsapi"
)

// jobsCommands returns the operators' commands of the jobs deployment.
func jobsCommands() []*cli.Command {
	flags := func(more ...cli.Flag) []cli.Flag { return append([]cli.Flag{jobsAddrFlag()}, more...) }
	return []*cli.Command{
		{Name: "config", Usage: "read or change the configuration of queues and services", Commands: []*cli.Command{
			{Name: "get", Usage: "print the configuration in force", Flags: flags(), Action: showJobsConfig},
			{Name: "put", Usage: "replace the whole configuration by FILE (- for standard input)",
				ArgsUsage: "FILE", Flags: flags(), Action: jobsConfigAction(http.MethodPut)},
			{Name: "patch", Usage: "add, replace or remove the items in FILE (- for standard input)",
				ArgsUsage: "FILE", Flags: flags(), Action: jobsConfigAction(http.MethodPatch)},
		}},
		{Name: "evacuate", Usage: "start nothing new in ZONE; its runs continue to their end", ArgsUsage: "ZONE",
			Flags: flags(), Action: jobsZoneAction("evacuate")},
		{Name: "restore", Usage: "allow starts in ZONE again", ArgsUsage: "ZONE", Flags: flags(),
			Action: jobsZoneAction("restore")},
		{Name: "topology", Usage: "print the leader and the members of the control plane", Flags: flags(jsonFlag()),
			Action: queryAction("/v2/topology", renderTopology)},
		{Name: "workers", Usage: "print every worker", Flags: flags(jsonFlag()),
			Action: queryAction("/v2/workers", renderJobsWorkers)},
	}
}

func showJobsConfig(ctx context.Context, cmd *cli.Command) error {
	return errs.Pass(printResponse(ctx, cmd, http.MethodGet, "/v2/config", nil), "config get")
}

// jobsConfigAction returns the action that sends the file named by the argument: with PUT as the whole configuration,
// with PATCH as a change to it.
func jobsConfigAction(method string) cli.ActionFunc {
	return func(ctx context.Context, cmd *cli.Command) error {
		body, err := readFileArg(cmd)
		if err != nil {
			return errs.Pass(err, "configuration")
		}
		return errs.Pass(printResponse(ctx, cmd, method, "/v2/config", body), "configuration")
	}
}

// jobsZoneAction returns the action that posts an order for the zone named by the argument.
func jobsZoneAction(verb string) cli.ActionFunc {
	return func(ctx context.Context, cmd *cli.Command) error {
		args, err := exactArgs(cmd, "ZONE")
		if err != nil {
			return errs.Pass(err, "%s", verb)
		}
		path := "/v2/zones/" + url.PathEscape(args[0]) + "/" + verb
		return errs.Pass(printResponse(ctx, cmd, http.MethodPost, path, nil), "%s", verb)
	}
}

func renderTopology(t table, topology controller.TopologyAnswer) {
	t.line("leader", orDash(topology.Leader))
	for _, member := range topology.Members {
		t.line("member", member)
	}
}

func renderJobsWorkers(t table, list jobsapi.Workers) {
	t.row("ID", "ADDRESS", "SERVICE", "ZONE", "RACK", "LABELS", "MILLI_CPU", "MEMORY_MB", "GPUS", "RUNS", "STATE")
	for _, worker := range list.Workers {
		t.row(worker.ID, worker.Address, worker.Service, worker.Zone, orDash(worker.Rack),
			orDash(strings.Join(worker.Labels, ",")),
			usedOf(worker.Used.MilliCPU, worker.Capacity.MilliCPU),
			usedOf(worker.Used.MemoryMB, worker.Capacity.MemoryMB),
			usedOf(worker.Used.GPUs, worker.Capacity.GPUs), worker.Runs, worker.State)
	}
	for _, zone := range list.Evacuated {
		t.line("evacuated", zone)
	}
}
