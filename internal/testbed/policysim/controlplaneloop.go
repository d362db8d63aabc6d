package policysim

import (
	"fmt"
	"time"

	"crosstide/internal/internalapi"
	"crosstide/internal/store"
)

// tick advances the store every 10 ms.
func (c *controlPlane) tick() {
	c.advance()
	c.after(10*time.Millisecond, c.tick)
}

func (c *controlPlane) proposeGarbageCollection() {
	c.driver.ProposeGC()
	c.advance()
	c.after(10*time.Second, c.proposeGarbageCollection)
}

// advance runs one pass of the store and carries out its actions: it sends messages, writes a batch to the disk, writes
// snapshots and answers calls. Its steps are those of the daemon's goroutines, in a fixed order.
func (c *controlPlane) advance() {
	if !c.alive || c.driver == nil {
		return
	}
	c.driver.Pass()
	c.sim.checker.observeCommits(c) // before a snapshot allows the log to be compacted
	for _, message := range c.driver.TakeMessages() {
		c.sendMessage(message)
	}
	if batch := c.driver.TakeDiskBatch(); batch != nil {
		c.startSync(batch)
	}
	if !c.runSnapshotter() {
		return
	}
	c.answerPendingCalls()
	c.traceRole()
}

func (c *controlPlane) sendMessage(message store.OutboundCall) {
	s := c.sim
	to := s.byAddr[message.Addr]
	if to == nil || to == c.process {
		return
	}
	generation, call := to.generation, message.Call
	s.transmit(c.process, to, 500*time.Millisecond, true, func() bool { return true }, func() {
		to.execute(generation, func() {
			if peer := s.controlPlaneAt(to); peer.driver != nil {
				peer.store.Step(call)
				peer.advance()
			}
		})
	})
}

// startSync writes a batch to the disk after a delay. Without the guard sync, half of the batches are marked as stored
// before they are written.
func (c *controlPlane) startSync(batch *store.DiskBatch) {
	s := c.sim
	c.batch = batch
	if s.options.WithoutGuard == "sync" && s.chance(0.5) {
		batch.MarkStored()
		c.after(s.between(0, 300*time.Millisecond), func() { c.finishSync(batch, func() {}) })
		return
	}
	c.after(s.between(200*time.Microsecond, 3*time.Millisecond)+c.syncDelay,
		func() { c.finishSync(batch, batch.MarkStored) })
}

// finishSync writes a batch and then calls stored, unless the incarnation that started the batch has ended.
func (c *controlPlane) finishSync(batch *store.DiskBatch, stored func()) {
	if c.batch != batch {
		return
	}
	if c.failNextSync {
		c.failNextSync = false
		c.disk.FailSync(1)
	}
	if err := batch.Write(); err != nil {
		c.sim.report.Faults["sync failed"]++
		c.batch = nil
		c.onDiskFault(c.generation, err)
		return
	}
	c.batch = nil
	for _, entry := range batch.Entries() {
		c.durable.add(entry.Index, entry.Term)
	}
	stored()
	c.advance()
}

// runSnapshotter writes a snapshot if one is due, and schedules the fetch of a peer's snapshot if the store needs one.
// It returns false if the disk failed.
func (c *controlPlane) runSnapshotter() bool {
	s := c.sim
	before := c.driver.SnapshotIndex()
	if err := c.driver.RunSnapshotter(); err != nil {
		c.onDiskFault(c.generation, err)
		return false
	}
	if written := c.driver.SnapshotIndex(); written != before {
		c.durable.snapshot = max(c.durable.snapshot, written)
		s.report.Counts["slots written"]++
	}
	if c.driver.WantsSnapshot() {
		c.after(s.between(time.Millisecond, 50*time.Millisecond), func() {
			if err := c.driver.FetchSnapshot(); err == nil {
				s.report.Counts["snapshots fetched by a cplane"]++
				c.advance()
			}
		})
	}
	return true
}

// traceRole traces a change of the node's raft role or term.
func (c *controlPlane) traceRole() {
	s, core := c.sim, c.driver.Core()
	if core == nil {
		return
	}
	status := core.Status()
	if role := fmt.Sprintf("%s of term %d", status.Role, status.Term); role != c.role {
		c.role = role
		s.trace("%s is %s, commit %d, last %d", status.ID, role, status.Commit, status.Last)
		if status.Role == "leader" {
			s.report.Counts["leaders of the store"]++
		}
	}
	if status.InvariantViolations > 0 {
		s.reportViolation("log", "%s refused %d messages that contradict what is committed",
			c.addr, status.InvariantViolations)
	}
}

// proposal is a proposed command whose outcome is unknown yet.
type proposal struct {
	pending  *store.Proposal
	deadline time.Duration // by the process's clock
	done     func(index uint64, answer any, err error)
}

// pendingFollow is a follow call that waits for a change after the version of the caller's replica.
type pendingFollow struct {
	version  uint64
	deadline time.Duration // by the process's clock
	reply    func(any, error)
}

// answerPendingCalls answers the proposals whose outcome is known, the follow calls for which there are changes, and
// those whose deadline has passed. Both lists are updated before the first answer, which may add to them.
func (c *controlPlane) answerPendingCalls() {
	answers := append(c.takeFinishedProposals(), c.takeFinishedFollows()...)
	for _, answer := range answers {
		answer()
	}
}

// takeFinishedProposals removes the proposals that can be answered, and returns functions that answer them.
func (c *controlPlane) takeFinishedProposals() (answers []func()) {
	waiting := c.proposals[:0:0]
	for _, p := range c.proposals {
		index, answer, err, ok := p.pending.Done()
		switch {
		case ok:
			answers = append(answers, func() { p.done(index, answer, err) })
		case c.Now() >= p.deadline:
			err := p.pending.Abandon()
			answers = append(answers, func() { p.done(0, nil, err) })
		default:
			waiting = append(waiting, p)
		}
	}
	c.proposals = waiting
	return answers
}

// takeFinishedFollows removes the follow calls that can be answered, and returns functions that answer them.
func (c *controlPlane) takeFinishedFollows() (answers []func()) {
	waiting := c.pendingFollows[:0:0]
	for _, f := range c.pendingFollows {
		changes, err := c.driver.ChangesAfter(f.version)
		switch {
		case err != nil:
			answers = append(answers, func() { f.reply(nil, err) })
		case changes != nil:
			updates := map[string]internalapi.SourceUpdate{"store": *changes}
			answers = append(answers, func() { f.reply(internalapi.FollowAnswer{Updates: updates}, nil) })
		case c.Now() >= f.deadline:
			answers = append(answers, func() { f.reply(internalapi.FollowAnswer{}, nil) })
		default:
			waiting = append(waiting, f)
		}
	}
	c.pendingFollows = waiting
	return answers
}
