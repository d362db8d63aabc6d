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
	return &cli.Command{Name: "member", Usage: "list the members of the store, replace one", Commands: []*cli.Command{
		{Name: "list", Usage: "print every member", Flags: queryFlags(), Action: queryAction("/v1/who", renderMembers)},
		unsignedOrderCommand("replace", "the cplane NEW may join in the place of OLD, whose machine is gone", "OLD NEW",
			"/v1/members/%s/replace/%s"),
	}}
}

// renderMembers prints the members of the store, with the index up to which the log of each matches the leader's.
func renderMembers(t table, who operatorapi.Who) {
	t.row("ID", "ADDR", "ZONE", "STANDS", "MATCH")
	for _, member := range who.Members {
		rights, match := votingRight(member), "-"
		if who.Status != nil && who.Status.Raft.Match[member.ID] > 0 { // set in the leader's answer only
			match = fmt.Sprint(who.Status.Raft.Match[member.ID])
		}
		if who.Store == member.ID || strings.HasPrefix(member.ID, who.Store+"~") {
			rights += ", leads"
		}
		t.row(member.ID, member.Addr, member.Zone, rights, match)
	}
}

func votingRight(member raft.Member) string {
	if member.Learner {
		return "learner"
	}
	return "voter"
}
