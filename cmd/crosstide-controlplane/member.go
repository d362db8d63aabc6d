package main

import (
	"fmt"
	"strings"

	"github.com/urfave/cli/v3"

	"crosstide/internal/httpapi/operatorapi"
	"crosstide/internal/raft"
)

// memberCommand returns the command for the members of the store.
func memberCommand() *cli.Command {
	return &cli.Command{Name: "member", Usage: "list and replace members of the store", Commands: []*cli.Command{
		{Name: "list", Usage: "print every member", Flags: queryFlags(), Action: queryAction("/v1/who", renderMembers)},
		unsignedOrderCommand("replace", "let the control-plane node NEW join in place of OLD, whose machine is gone",
			"OLD NEW", "/v1/members/%s/replace/%s"),
	}}
}

// renderMembers prints the members of the store. MATCH is the index up to which a member's log matches the leader's.
func renderMembers(t table, who operatorapi.ClusterStatus) {
	t.row("ID", "ADDR", "ZONE", "STANDS", "MATCH")
	for _, member := range who.Members {
		role, match := votingRole(member), "-"
		if who.Status != nil && who.Status.Raft.Match[member.ID] > 0 { // set in the leader's answer only
			match = fmt.Sprint(who.Status.Raft.Match[member.ID])
		}
		if who.Store == member.ID || strings.HasPrefix(member.ID, who.Store+"~") {
			role += ", leads"
		}
		t.row(member.ID, member.Addr, member.Zone, role, match)
	}
}

// votingRole returns "learner" or "voter".
func votingRole(member raft.Member) string {
	if member.Learner {
		return "learner"
	}
	return "voter"
}
