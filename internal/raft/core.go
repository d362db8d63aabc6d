package raft

import (
	"math/rand/v2"
	"slices"
	"time"

	"crosstide/internal/errs"
)

// never is a time before every other: no message was acknowledged, no lease held.
const never = time.Duration(-1 << 62)

// Core is one node's part in the consensus. It has no lock: its owner, the runtime, makes one call at a time. The
// argument now of its methods is a reading of the runtime's clock; an older one than before counts as the newest.
type Core struct {
	cfg    Config
	random *rand.Rand    // draws election time-outs only
	now    time.Duration // the newest time passed in
	role   Role

	hardState HardState // whoever changes it sets hardStateChanged
	log       memoryLog
	// configurations has the newest committed member set and those after it, in order of index; the last is in force.
	// It is empty on a node that began with an empty folder and has received no snapshot.
	configurations []configuration
	snapshot       Meta   // newest durable snapshot, at or before applied
	commit         uint64 // never decreases
	applied        uint64 // last index that a Ready has handed out as committed; at most commit
	firstUnstable  uint64 // first index of the log that no Ready has handed out for storing
	// refused counts messages that contradict what is committed here, and invalid member sets. It must stay 0:
	// anything else is a defect of a disk or of the code.
	refused uint64

	leader     string // of the term; empty: unknown
	leaderAddr string // from a snapshot offer or from the member sets; empty: unknown
	election   electionState
	leadership leaderState // valid while role is Leader, zero otherwise
	fetch      snapshotFetch

	output
}

// New returns a follower with what the disk had when the process started. It stays sticky to the leader that it may
// have acknowledged before the restart, and campaigns soon after that: on a cold start there is no leader to wait for.
// Failures: Settings for an invalid Config, Damaged for an InitialState that no run could have stored.
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
			return nil, errs.New(errs.Damaged, "a log without members")
		}
		c.hardState.Blank, c.hardStateChanged = true, true
	} else {
		if err := validateMembers(snapshot.Members); err != nil {
			return nil, errs.Wrap(err, errs.Damaged, "members of the snapshot at index %d", snapshot.Index)
		}
		c.configurations = []configuration{{snapshot.Index, snapshot.Members}}
	}
	if err := c.loadEntries(initial.Entries); err != nil {
		return nil, errs.Pass(err, "stored log")
	}
	c.clearBlank(snapshot.Members)
	c.commitTo(min(c.hardState.Commit, c.log.last()))
	c.election.deadline = now + c.jitter(cfg.HeartbeatInterval)
	if c.hardState.Leader != cfg.ID {
		c.election.deadline += c.leaderStickiness()
	}
	return c, nil
}

// Tick does what is due at now: a leader makes heartbeats due, steps down without a majority (check-quorum) and
// abandons a transfer that took too long; another node campaigns at its ElectionDeadline. It is called four times per
// heartbeat interval. All that it does may be late by that much, which the lease allows for.
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

// advanceClock moves the time to now, never back.
func (c *Core) advanceClock(now time.Duration) { c.now = max(c.now, now) }

// becomeFollower makes the node a follower of leader, which is empty if unknown, in a term that is not older than its
// own.
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

// commitTo raises the commit index to at most the last index of the log. Member sets before one that is committed by
// it are dropped.
func (c *Core) commitTo(to uint64) {
	if to <= c.commit {
		return
	}
	c.commit = to
	for len(c.configurations) > 1 && c.configurations[1].index <= to {
		c.configurations = c.configurations[1:]
		c.clearBlank(c.configurations[0].members)
	}
}

// Entries returns the committed entries from an index on, up to limitBytes but one at least; none if from is not
// committed yet. They must not be changed. Failure: Unknown if from is compacted, so that a snapshot is needed.
// Example:
//
//	entries, err := core.Entries(applied+1, 1<<20)
func (c *Core) Entries(from uint64, limitBytes int) ([]Entry, error) {
	if from <= c.log.offset {
		return nil, errs.New(errs.Unknown, "entry %d is compacted, the log begins at %d", from, c.log.offset+1)
	}
	return c.log.sliceUpTo(from, c.commit, limitBytes), nil
}

// Compact removes the entries up to index from memory, as far as a durable snapshot has them and a Ready has handed
// them out. An index below the snapshot's keeps a tail, so that members a little behind need no snapshot.
func (c *Core) Compact(index uint64) {
	c.log.compact(min(index, c.snapshot.Index, c.applied, c.firstUnstable-1))
}

// replaceEntries puts entries into the log in place of those at and after the index of the first. It reports false,
// and leaves the log as it is, if a member set among them is invalid.
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
