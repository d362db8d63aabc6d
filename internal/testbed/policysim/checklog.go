package policysim

import (
	"bytes"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"crosstide/internal/raft"
	"crosstide/internal/state"
	"crosstide/internal/state/command"
)

// committedLog is the log of the store. An entry belongs to it once any control-plane node shows it as committed.
type committedLog struct {
	entries  []entryDigest            // from index 2 on; entry 1 is the bootstrap entry
	compared map[*controlPlane]uint64 // index up to which a node's committed entries have been compared
	members  []raft.Member            // members according to the newest entry that changes them
}

// entryDigest identifies an entry: two nodes have the same one at an index if the digests are equal.
type entryDigest struct {
	term uint64
	sum  uint64 // xxhash64 of the entry's data
}

// observeCommits compares the newly committed entries of a control-plane node with those of all others. It must run
// before the node compacts its log.
func (ic *invariantChecker) observeCommits(c *controlPlane) {
	core := c.driver.Core()
	if core == nil {
		return
	}
	commit := c.driver.State().Index
	for ic.compared[c] < commit {
		from := max(ic.compared[c]+1, core.Status().First, 2)
		if from > commit {
			ic.compared[c] = commit
			return
		}
		entries, err := core.Entries(from, 1<<20)
		if err != nil || len(entries) == 0 {
			return
		}
		for _, e := range entries {
			ic.observeEntry(c, e)
			ic.compared[c] = e.Index
		}
	}
}

// observeEntry checks a committed entry (invariants: same log, durable) and applies a new one to the reference state.
func (ic *invariantChecker) observeEntry(c *controlPlane, e raft.Entry) {
	s := ic.sim
	digest := entryDigest{e.Term, xxhash.Sum64(e.Data)}
	if position := int(e.Index) - 2; position < len(ic.entries) {
		s.countCase("same log")
		if ic.entries[position] != digest {
			s.reportViolation("same log", "entry %d at %s is of term %d, elsewhere of %d", e.Index, c.addr, e.Term,
				ic.entries[position].term)
		}
		return
	} else if position > len(ic.entries) {
		s.reportViolation("same log", "%s shows entry %d as committed, %d is unknown", c.addr, e.Index,
			len(ic.entries)+2)
		return
	}
	ic.entries = append(ic.entries, digest)
	s.countCase("durable")
	if !ic.isDurable(e.Index, e.Term) {
		s.reportViolation("durable", "%s shows entry %d of term %d as committed, which is not on a majority of disks",
			c.addr, e.Index, e.Term)
	}
	if e.Kind == raft.Members {
		members, err := raft.DecodeMembers(e)
		must(err)
		ic.members = members
		s.report.Counts["member changes"]++
		s.trace("members: %v", memberIDs(members))
	}
	data := e.Data
	if e.Kind != raft.Normal {
		data = nil
	}
	s.billingChecker.apply(data, func() {
		_, _ = command.Apply(ic.reference, e.Index, e.Term, data) // an error is an outcome, equal on every node
	})
}

func memberIDs(members []raft.Member) (ids []string) {
	for _, m := range members {
		id := m.ID
		if m.Learner {
			id += "(learner)"
		}
		ids = append(ids, id)
	}
	return ids
}

// isVoter reports whether a control-plane node is running and a voter under its current member ID.
func (ic *invariantChecker) isVoter(c *controlPlane) bool {
	if !c.alive || c.driver == nil || c.driver.Core() == nil {
		return false
	}
	id := c.driver.Core().Status().ID
	return slices.ContainsFunc(ic.members, func(m raft.Member) bool { return m.ID == id && !m.Learner })
}

// isDurable reports whether an entry is on the disks of a majority of the committed members, or of the members that
// some node uses. A wiped disk counts with its content before the wipe, as the entry may have been acknowledged before
// it.
func (ic *invariantChecker) isDurable(index, term uint64) bool {
	have := map[string]bool{}
	sets := [][]raft.Member{ic.members}
	for _, c := range ic.sim.controlPlanes {
		if c.wipedID != "" {
			have[c.wipedID] = have[c.wipedID] || c.wipedLog.has(index, term)
		}
		if c.driver == nil || c.driver.Core() == nil {
			continue
		}
		status := c.driver.Core().Status()
		have[status.ID] = have[status.ID] || c.durable.has(index, term)
		sets = append(sets, status.Members)
	}
	return slices.ContainsFunc(sets, func(members []raft.Member) bool { return isMajority(members, have) })
}

// isMajority reports whether the set ids contains the IDs of a majority of the voters among members.
func isMajority(members []raft.Member, ids map[string]bool) bool {
	voters, count := 0, 0
	for _, member := range members {
		if member.Learner {
			continue
		}
		voters++
		if ids[member.ID] {
			count++
		}
	}
	return 2*count > voters
}

// compareStates checks that all nodes at the same index have equal states (invariant: same state), and schedules the
// next comparison in 2 s.
func (ic *invariantChecker) compareStates() {
	s := ic.sim
	first := map[uint64][]byte{}
	compare := func(name string, st *state.State) {
		raw, err := st.Encode()
		must(err)
		have, ok := first[st.Index]
		if !ok {
			first[st.Index] = raw
			return
		}
		s.countCase("same state")
		if !bytes.Equal(have, raw) {
			s.reportViolation("same state", "%s has another state at %d", name, st.Index)
		}
	}
	compare("the log", ic.reference)
	for _, c := range s.controlPlanes {
		if c.alive && c.driver.IsMember() {
			compare(c.addr, c.driver.State())
		}
	}
	for _, d := range s.dataPlanes {
		if d.alive && d.replica.Index() > 0 {
			compare(d.addr, d.state())
		}
	}
	s.schedule(2*time.Second, ic.compareStates)
}
