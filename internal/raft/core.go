package raft

import (
	"math/rand/v2"
	"slices"
	"time"

	"crosstide/internal/errs"
)

// never is earlier than any other time. It means that no message was acknowledged, or that no lease is held.
const never = time.Duration(-1 << 62)

// Core is the Raft state machine of one node. It has no lock: its owner, the runtime, makes one call at a time. The
// argument now of its methods is a reading of the runtime's clock; one older than a previous reading is replaced by the
// latest.
type Core struct {
	cfg    Config
	random *rand.Rand    // source of the random part of election time-outs
	now    time.Duration // the latest time passed to any method
	role   Role

	hardState HardState // whoever changes it sets hardStateChanged
	log       memoryLog
	// configurations has the newest committed member set and all later ones, in order of index. The last one is the
	// current member set. It is empty on a node that started with an empty folder and has received no snapshot.
	configurations []configuration
	snapshot       Meta   // newest durable snapshot, at or before applied
	commit         uint64 // commit index; never decreases
	applied        uint64 // last index that Ready has returned in CommittedEntries; at most commit
	firstUnstable  uint64 // first index of the log that Ready has not returned in Entries
	// refused counts the leader messages that a correct cluster never sends: those that contradict an entry committed
	// here, come from a second leader of the term, or append an invalid member set. It must stay 0: any other value
	// indicates a disk fault or a bug.
	refused uint64

	leader     string // leader of the current term; empty: unknown
	leaderAddr string // its address, from a snapshot offer or a member set; empty: unknown
	election   electionState
	leadership leaderState // valid while role is Leader, zero otherwise
	fetch      snapshotFetch

	output
}

// New returns a follower in the initial state, which was read from the disk. It stays sticky to the leader that it may
// have acknowledged before a restart, and campaigns soon after the stickiness ends: after a cold start there is no
// leader to wait for. A node that was itself the leader campaigns within a heartbeat interval. Failures: Settings for
// an invalid Config, Damaged for an inconsistent InitialState.
func New(cfg Config, initial InitialState, now time.Duration) (*Core, error) {
	cfg, err := cfg.withDefaults()
	if err != nil {
		return nil, errs.Pass(err, "config")
	}
	snapshot := initial.Snapshot
	c := &Core{
		cfg:       cfg,
		random:    rand.New(rand.NewPCG(cfg.Seed, 0x9e3779b97f4a7c15)),
		now:       now,
		role:      Follower,
		hardState: initial.HardState,
		log:       memoryLog{offset: snapshot.Index, offsetTerm: snapshot.Term},
		snapshot:  snapshot,
		commit:    snapshot.Index,
		applied:   snapshot.Index,
		election:  electionState{lastLeaderContact: now},
	}
	if len(snapshot.Members) == 0 {
		if snapshot.Index != 0 || len(initial.Entries) != 0 {
			return nil, errs.New(errs.Damaged, "the stored log has no members")
		}
		c.hardState.VotesUnknown, c.hardStateChanged = true, true
	} else {
		if err := validateMembers(snapshot.Members); err != nil {
			return nil, errs.Wrap(err, errs.Damaged, "members of the snapshot at index %d", snapshot.Index)
		}
		c.configurations = []configuration{{snapshot.Index, snapshot.Members}}
	}
	if err := c.loadEntries(initial.Entries); err != nil {
		return nil, errs.Pass(err, "stored log")
	}
	c.clearVotesUnknown(snapshot.Members)
	c.commitTo(min(c.hardState.Commit, c.log.last()))
	c.election.deadline = now + c.jitter(cfg.HeartbeatInterval)
	if c.hardState.Leader != cfg.ID {
		c.election.deadline += c.leaderStickiness()
	}
	return c, nil
}

// Tick performs the actions that are due at now: a leader makes heartbeats due, steps down without a majority
// (check-quorum) and abandons a transfer that took too long; another node campaigns at its ElectionDeadline. It must be
// called four times per heartbeat interval. Each action may be late by the time between two calls, which the lease
// allows for.
func (c *Core) Tick(now time.Duration) {
	c.advanceClock(now)
	if c.role == Leader {
		c.tickLeader()
		return
	}
	if c.now < c.election.deadline {
		return
	}
	if c.promotable() {
		c.startPreVote()
	} else {
		c.resetElectionTimer()
	}
}

// advanceClock sets the current time to now unless now is earlier.
func (c *Core) advanceClock(now time.Duration) { c.now = max(c.now, now) }

// becomeFollower makes the node a follower of leader (empty if unknown) in term, which must be at least its current
// term.
func (c *Core) becomeFollower(term uint64, leader string) {
	if term > c.hardState.Term {
		c.hardState.Term, c.hardState.Vote, c.hardState.Leader, c.hardStateChanged = term, "", "", true
	}
	if leader != "" && c.hardState.Leader != leader {
		c.hardState.Leader, c.hardStateChanged = leader, true
	}
	if leader != c.leader {
		c.leaderAddr = ""
	}
	if c.role != Follower {
		c.resetElectionTimer()
	}
	c.role, c.leader, c.election.votes, c.leadership = Follower, leader, nil, leaderState{}
}

// commitTo raises the commit index to index, which must be in the log. It discards the member sets before the newest
// committed one.
func (c *Core) commitTo(index uint64) {
	if index <= c.commit {
		return
	}
	c.commit = index
	for len(c.configurations) > 1 && c.configurations[1].index <= index {
		c.configurations = c.configurations[1:]
		c.clearVotesUnknown(c.configurations[0].members)
	}
}

// Entries returns committed entries that start at index from, limited to limitBytes but at least one; none if from is
// not committed yet. The caller must not modify them. Failure: Unknown if from is compacted: a snapshot is needed
// instead. Example:
//
//	entries, err := core.Entries(applied+1, 1<<20)
func (c *Core) Entries(from uint64, limitBytes int) ([]Entry, error) {
	if from <= c.log.offset {
		return nil, errs.New(errs.Unknown, "entry %d is compacted, the log starts at %d", from, c.log.offset+1)
	}
	return c.log.sliceUpTo(from, c.commit, limitBytes), nil
}

// Compact removes the entries up to index from memory, except for those that no durable snapshot covers or that Ready
// has not returned yet. An index below the snapshot's retains entries for members that are slightly behind, so that
// they need no snapshot.
func (c *Core) Compact(index uint64) {
	c.log.compact(min(index, c.snapshot.Index, c.applied, c.firstUnstable-1))
}

// replaceEntries replaces the log from the index of the first entry on with entries. If one of them has an invalid
// member set, it counts a refusal, leaves the log unchanged and returns false.
func (c *Core) replaceEntries(entries []Entry) bool {
	configurations, err := configurationsOf(entries)
	if err != nil {
		c.refused++
		return false
	}
	from := entries[0].Index
	if from <= c.log.last() {
		c.log.truncate(from)
		c.firstUnstable = min(c.firstUnstable, from)
		c.configurations = slices.DeleteFunc(c.configurations, func(conf configuration) bool {
			return conf.index >= from
		})
	}
	c.log.entries = append(c.log.entries, entries...)
	c.configurations = append(c.configurations, configurations...)
	return true
}
