package main

import (
	"time"

	"github.com/urfave/cli/v3"

	"crosstide/internal/httpapi/operatorapi"
)

// whoCommand returns the command that prints the leader of the store, the holder of the scheduler role and the nodes.
func whoCommand() *cli.Command {
	return &cli.Command{Name: "who", Usage: "print the store's leader, the scheduler and all nodes",
		Flags: queryFlags(), Action: queryAction("/v1/who", renderWho)}
}

func renderWho(t table, who operatorapi.ClusterStatus) {
	t.line("store", who.Store)
	t.line("sched", who.Scheduler)
	for _, member := range who.Members {
		t.line(votingRole(member), member.ID, member.Addr, member.Zone)
	}
	for _, node := range who.Nodes {
		t.line("node", node.Name, node.Role, node.Zone, node.Addr, node.Age.Round(time.Millisecond))
	}
	for _, zone := range who.Evacuated {
		t.line("evacuated", zone)
	}
}
