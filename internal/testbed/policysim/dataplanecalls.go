package policysim

import (
	"encoding/json"
	"time"

	"crosstide/internal/errs"
	"crosstide/internal/internalapi"
	"crosstide/internal/state"
	"crosstide/internal/state/command"
	"crosstide/internal/state/query"
)

// leaderCall is a call to the leader of the store, whose address may be unknown.
type leaderCall struct {
	timeout    time.Duration // of one attempt
	idempotent bool          // it may be retried when the outcome of an attempt is unknown
	deadline   time.Duration // by the process's clock; no retry at or after it; 0: none
	serve      func(c *controlPlane, reply func(any, error))
	done       func(answer any, err error) // called once
}

// callLeader calls the presumed leader or random nodes, until one answers, mayRetry forbids another attempt or the
// deadline has passed.
func (d *dataPlane) callLeader(call leaderCall) { d.attempt(call, 0) }

// attempt makes attempt number n, counted from 0.
func (d *dataPlane) attempt(call leaderCall, n int) {
	addr := d.leaderHint
	if addr == "" {
		addr = d.sim.controlPlanes[d.sim.rng.IntN(5)].addr
	}
	d.sim.request(request{from: d.process, addr: addr, timeout: call.timeout, resendFor: callTimeout,
		mayRepeat: call.idempotent,
		serve:     func(to *process, reply func(any, error)) { call.serve(d.sim.controlPlaneAt(to), reply) },
		onAnswer: func(a any, err error, sent bool) {
			if err == nil {
				d.leaderHint = addr
				call.done(a, nil)
				return
			}
			failure := errs.Of(err)
			d.updateLeaderHint(addr, failure)
			isOver := call.deadline > 0 && d.Now() >= call.deadline
			if isOver || !mayRetry(failure.Kind, call.idempotent || !sent) {
				call.done(nil, err)
				return
			}
			pause := time.Duration(0)
			if n > 0 {
				pause = min(200*time.Millisecond, time.Duration(n)*10*time.Millisecond)
			}
			d.after(pause, func() { d.attempt(call, n+1) })
		}})
}

// updateLeaderHint sets leaderHint to the leader that a failure names. Otherwise, if the called node was the presumed
// leader and is not the leader or did not answer, it clears leaderHint.
func (d *dataPlane) updateLeaderHint(addr string, failure *errs.Error) {
	switch {
	case failure.Kind == errs.NotLeader && failure.Hint != "" && failure.Hint != addr:
		d.leaderHint = failure.Hint
	case d.leaderHint == addr && (failure.Kind == errs.NotLeader || isUnanswered(failure.Kind)):
		d.leaderHint = ""
	}
}

// isUnanswered reports whether a failure of the kind means that the node did not answer.
func isUnanswered(kind errs.Kind) bool {
	return kind == errs.Unavailable || kind == errs.Timeout || kind == errs.Stopped
}

// mayRetry reports whether another attempt may be made. harmless is set if the failed attempt certainly had no effect,
// or if the call is idempotent.
func mayRetry(kind errs.Kind, harmless bool) bool {
	return kind == errs.NotLeader || isUnanswered(kind) && harmless
}

// propose proposes an idempotent command, with retries until the deadline.
func (d *dataPlane) propose(cmd command.Command, deadline time.Duration, done func(answer json.RawMessage, err error)) {
	d.sendProposal(cmd, leaderCall{idempotent: true, deadline: deadline},
		func(_ uint64, answer json.RawMessage, err error) { done(answer, err) })
}

// proposeOnce proposes a command that must not be retried. done gets the index of its log entry.
func (d *dataPlane) proposeOnce(cmd command.Command, done func(index uint64, answer json.RawMessage, err error)) {
	d.sendProposal(cmd, leaderCall{}, done)
}

func (d *dataPlane) sendProposal(cmd command.Command, call leaderCall,
	done func(index uint64, answer json.RawMessage, err error)) {
	call.timeout = callTimeout
	call.serve = func(c *controlPlane, reply func(any, error)) {
		c.propose(cmd, func(index uint64, a any, err error) {
			answer := internalapi.ProposeAnswer{Index: index}
			if err == nil && a != nil {
				answer.Answer = encodeJSON(a)
			}
			reply(answer, err)
		})
	}
	call.done = func(a any, err error) {
		if err != nil {
			done(0, nil, err)
			return
		}
		answer := a.(internalapi.ProposeAnswer)
		done(answer.Index, answer.Answer, nil)
	}
	d.callLeader(call)
}

// readJob reads a job as Node.Read does: from the replica, once it has reached the leader's read index.
func (d *dataPlane) readJob(key string, done func(view query.JobView, err error)) {
	d.callLeader(leaderCall{timeout: callTimeout / 2, idempotent: true, deadline: d.Now() + callTimeout,
		serve: func(c *controlPlane, reply func(any, error)) {
			index, err := c.store.ReadIndex()
			reply(index, err)
		},
		done: func(a any, err error) {
			if err != nil {
				done(query.JobView{}, errs.Wrap(err, errs.Unavailable, "cannot confirm the read index"))
				return
			}
			d.waitForIndex(a.(uint64), callTimeout, func(err error) {
				if err != nil {
					done(query.JobView{}, err)
					return
				}
				done(query.Job(d.state(), key))
			})
		}})
}

// announceWorker announces a worker to the store, unless the replica already has it at this address.
func (d *dataPlane) announceWorker(w *worker, reply func(any, error)) {
	if known := d.state().Workers[w.addr]; known != nil && known.Addr == w.addr {
		reply(internalapi.AnnounceWorkerAnswer{}, nil)
		return
	}
	t := w.traits
	announced := state.Worker{Name: t.Name, Addr: w.addr, Kind: t.Kind, Zone: t.Zone, Labels: t.Labels,
		Cores: t.Cores, GPUs: t.GPUs}
	d.propose(&command.Announce{Worker: announced}, d.Now()+callTimeout, func(_ json.RawMessage, err error) {
		reply(internalapi.AnnounceWorkerAnswer{}, err)
	})
}
