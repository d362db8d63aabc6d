package raft

import (
	"fmt"
	"testing"

	"crosstide/internal/testbed/golden"
)

// TestGoldenWire guards the JSON that is sent between processes, to clients and to operators, or written to files
// against unintended changes.
func TestGoldenWire(t *testing.T) {
	golden.Compare(t, "wire",
		golden.Shape("member", Member{}),
		golden.Shape("entry", Entry{}),
		golden.Shape("hard", HardState{}),
		golden.Shape("meta", Meta{}),
		golden.Shape("message", Message{}),
		golden.Shape("status", Status{}),
		golden.Filled("member", Member{}),
		golden.Filled("entry", Entry{}),
		golden.Filled("hard", HardState{}),
		golden.Filled("meta", Meta{}),
		golden.Filled("message", Message{}),
	)
}

// TestGoldenEnums guards the encoding of each enum value on the wire and on disk against unintended changes.
func TestGoldenEnums(t *testing.T) {
	golden.Compare(t, "enums",
		golden.Lines("roles",
			fmt.Sprintf("follower = %#v", string(Follower)),
			fmt.Sprintf("pre candidate = %#v", string(PreCandidate)),
			fmt.Sprintf("candidate = %#v", string(Candidate)),
			fmt.Sprintf("leader = %#v", string(Leader)),
		),
		golden.Lines("messages",
			fmt.Sprintf("pre vote = %#v", string(PreVote)),
			fmt.Sprintf("pre vote reply = %#v", string(PreVoteReply)),
			fmt.Sprintf("vote = %#v", string(Vote)),
			fmt.Sprintf("vote reply = %#v", string(VoteReply)),
			fmt.Sprintf("append = %#v", string(Append)),
			fmt.Sprintf("append reply = %#v", string(AppendReply)),
			fmt.Sprintf("snapshot = %#v", string(Snapshot)),
			fmt.Sprintf("snapshot reply = %#v", string(SnapshotReply)),
			fmt.Sprintf("handover now = %#v", string(TimeoutNow)),
		),
		golden.Lines("entries",
			fmt.Sprintf("normal = %#v", int(Normal)),
			fmt.Sprintf("noop = %#v", int(Noop)),
			fmt.Sprintf("members = %#v", int(Members)),
		),
	)
}
