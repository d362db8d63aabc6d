package jobssim

import (
	"time"

	"crosstide/internal/errs"
	"crosstide/internal/jobs"
)

// entry is a change in the log.
type entry struct {
	term   uint64
	change any
}

// proposal is a change that is not committed yet.
type proposal struct {
	entry
	node    *node
	dropped bool
	done    func(answer any, err error)
}

// replicatedLog simulates the replicated log of the core. It commits proposals in the order of proposing, and only
// those of the leader of the newest term while it has a majority.
type replicatedLog struct {
	sim          *simulator
	entries      []entry
	term         uint64
	leader       *node // nil: no node leads
	pending      []*proposal
	lastCommitAt time.Duration // when the newest proposal will be committed

	slowUntil time.Duration // until then commits are slow
}

const (
	minCommitDelay      = 5 * time.Millisecond
	maxCommitDelay      = 30 * time.Millisecond
	maxSlowCommitDelay  = 700 * time.Millisecond // while commits are slow
	proposalTimeout     = time.Second            // until a proposal without an outcome fails
	unknownOutcomeShare = 0.01                   // share of proposals whose outcome is lost
)

// propose mirrors ProposeIn of the store. done is called on the node with the answer or an error.
func (l *replicatedLog) propose(n *node, term uint64, change any, done func(any, error)) {
	if n.term != term {
		n.after(0, func() { done(nil, errs.New(errs.Unavailable, "another term")) })
		return
	}
	if l.leader != n || n.isCutOff {
		n.after(proposalTimeout, func() { done(nil, errs.New(errs.Timeout, "no majority")) })
		return
	}
	p := &proposal{entry: entry{term: term, change: change}, node: n, done: done}
	delay := l.sim.between(minCommitDelay, maxCommitDelay)
	if l.sim.now < l.slowUntil {
		delay = l.sim.between(maxCommitDelay, maxSlowCommitDelay)
	}
	if l.sim.isDisrupting() && l.sim.chance(unknownOutcomeShare) {
		delay = l.loseOutcome(p, delay)
		if p.dropped {
			return
		}
	}
	l.pending = append(l.pending, p)
	l.lastCommitAt = max(l.lastCommitAt, l.sim.now+delay)
	l.sim.after(l.lastCommitAt-l.sim.now, func() { l.commit(p) })
}

// loseOutcome makes a proposal fail with an unknown outcome: it is committed late or never. It returns the delay until
// the commit.
func (l *replicatedLog) loseOutcome(p *proposal, delay time.Duration) time.Duration {
	done := p.done
	p.done = func(any, error) {}
	p.node.after(l.sim.between(10*time.Millisecond, 200*time.Millisecond), func() {
		done(nil, errs.New(errs.Timeout, "outcome unknown"))
	})
	p.dropped = l.sim.chance(0.5)
	return delay + l.sim.between(0, time.Second)
}

// commit appends a proposal to the log, applies it on the leader and answers it.
func (l *replicatedLog) commit(p *proposal) {
	if p.dropped {
		return
	}
	l.pending = l.pending[1:]
	l.entries = append(l.entries, p.entry)
	answer, err := p.node.applyAll()
	p.node.after(0, func() { p.done(answer, err) })
}

// endLeadership ends the leadership of the present leader. The next leader commits a random number of the pending
// proposals, the oldest ones; the others are never committed. The old leader gets a timeout for all of them.
func (l *replicatedLog) endLeadership() {
	old := l.leader
	if old == nil {
		return
	}
	old.leaseUntil = l.sim.now + l.sim.between(100*time.Millisecond, leaderLease)
	kept := l.sim.rng.IntN(len(l.pending) + 1)
	for i, p := range l.pending {
		p.dropped = true
		done := p.done
		old.after(proposalTimeout, func() { done(nil, errs.New(errs.Timeout, "leadership lost")) })
		if i < kept {
			l.entries = append(l.entries, p.entry)
		}
	}
	l.pending, l.leader = nil, nil
}

const (
	leaderLease     = 500 * time.Millisecond
	minElectionTime = 600 * time.Millisecond
	maxElectionTime = 2 * time.Second
	electionRetry   = 200 * time.Millisecond
	maxTermStep     = 3 // by which an election increases the term, at most
)

// elect elects a random running node if a majority is running; otherwise it tries again after electionRetry.
func (l *replicatedLog) elect() {
	if l.leader != nil {
		return
	}
	var running []*node
	for _, n := range l.sim.nodes {
		if n.isRunning() {
			running = append(running, n)
		}
	}
	if len(running) <= len(l.sim.nodes)/2 {
		l.sim.after(electionRetry, l.elect)
		return
	}
	n := running[l.sim.rng.IntN(len(running))]
	n.stepDown()
	l.term += 1 + uint64(l.sim.rng.IntN(maxTermStep))
	l.leader = n
	l.lastCommitAt = l.sim.now
	n.catchUp()
	n.term = l.term
	l.sim.trace("elected %s term %d", n.name, l.term)
	l.sim.checker.elected(l.term)
	n.wakeScheduler()
}

// apply applies a log entry to a table.
func (s *simulator) apply(t *jobs.Table, e entry) (answer any, err error) {
	switch c := withoutGuard(s.options.WithoutGuard, t, e.change).(type) {
	case jobs.Submit:
		answer, err = t.Submit(c)
	case jobs.Cancel:
		answer, err = t.Cancel(c)
	case jobs.Configure:
		err = t.Configure(c)
	case jobs.UpgradeSchema:
		err = t.UpgradeSchema(c)
	case jobs.Evacuate:
		err = t.Evacuate(c)
	case jobs.Register:
		t.Register(c)
	case jobs.Progress:
		answer, err = t.Progress(e.term, c)
	default:
		err = errs.New(errs.Internal, "unknown change %T", e.change)
	}
	return answer, errs.Pass(err, "apply %T", e.change)
}
