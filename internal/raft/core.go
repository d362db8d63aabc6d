package raft

import (
	"math/rand/v2"
	"slices"
	"time"

	"crosstide/internal/errs"
)

// never is before every time.
const never = time.Duration(-1 << 62)

// Core is one node's part in the consensus. Its owner is the goroutine of the runtime that calls it; make it with New.
type Core struct {
	cfg    Config
	random *rand.Rand    // draws only election time-outs
	now    time.Duration // the newest time passed in
	role   Role

	hardState HardState // changes set hardStateChanged
	log       memoryLog
	// configurations holds the newest committed member set and those after it; the last is in force. Empty on a node
	// that began with an empty folder and has received no snapshot.
	configurations []configuration
	snapshot       Meta   // newest durable snapshot, at or before applied
	commit         uint64 // never decreases
	applied        uint64 // last index handed out as committed, at most commit
	firstUnstable  uint64 // first index not handed out for storing
	// refused counts messages that contradict what is committed here. It must stay 0: anything else is a fault of a
	// disk or of the code.
	refused uint64

	leader     string // of the term; empty: unknown
	leaderAddr string // also known where the members here do not name the leader
	election   electionState
	leadership leaderState // valid while role is Leader
	fetch      snapshotFetch

	output
}

// New makes a core from what the disk had. now is the time on the runtime's clock. The node keeps the promise that it
// may have made to a leader before it was restarted, and campaigns soon after: on a cold start nobody leads.
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

// Tick moves the time on: heartbeats, check-quorum and campaigns. Call it four times per heartbeat interval: all it
// does may be late by one such step, which the lease allows for.
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

func (c *Core) advanceClock(now time.Duration) { c.now = max(c.now, now) }

// becomeFollower makes the node a follower in the term; the leader may be unknown.
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

// commitTo raises the commit index; a member set that is committed by it ends the role of those before it.
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

// Entries returns committed entries from an index on, about limitBytes of them but one at least; none if from is not
// committed yet. Failure: Unknown if they are compacted; a snapshot is needed then. Example:
//
//	entries, err := core.Entries(applied+1, 1<<20)
func (c *Core) Entries(from uint64, limitBytes int) ([]Entry, error) {
	if from <= c.log.offset {
		return nil, errs.New(errs.Unknown, "entry %d is compacted, the log begins at %d", from, c.log.offset+1)
	}
	return c.log.sliceUpTo(from, c.commit, limitBytes), nil
}

// Compact removes entries up to index from memory, never beyond the newest durable snapshot. Keep a tail (call it with
// less than the snapshot's index), so that followers a little behind need no snapshot.
func (c *Core) Compact(index uint64) {
	c.log.compact(min(index, c.snapshot.Index, c.applied, c.firstUnstable-1))
}

// replaceEntries stores entries in the log in place of those at and after the first one's index; false if they bring a
// member set that is invalid.
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
