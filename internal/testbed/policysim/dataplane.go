package policysim

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"crosstide/internal/dataplane/scheduler"
	"crosstide/internal/errs"
	"crosstide/internal/internalapi"
	"crosstide/internal/replica"
	"crosstide/internal/state"
	"crosstide/internal/state/command"
	"crosstide/internal/state/query"
	"crosstide/internal/testbed/policyworker"
)

const callTimeout = 2 * time.Second

// dataPlane is dataplane.Node without goroutines: the same steps, as events.
type dataPlane struct {
	*process
	incarnationID string
	replica       *replica.Replica
	scheduler     *scheduler.Core
	grantedEpoch  uint64
	ready         bool // led once and not yielded, for the trace
	passScheduled bool
	leaderHint    string
	source        string
	indexWaiters  []*indexWaiter
	leaving       bool

	lagUntil time.Duration // its replica does not follow the store before
	planning bool          // a plan is under way to the store
}

type indexWaiter struct {
	index    uint64
	deadline time.Duration
	done     func(error)
}

func (d *dataPlane) open() {
	d.startIncarnation()
	d.incarnationID = fmt.Sprintf("%s-%d", d.addr, d.generation)
	d.replica = replica.New(func(n state.Event) { d.scheduler.StateChanged(n); d.schedulePass() }, func(st *state.State) {
		if d.scheduler.Phase() == scheduler.Ready {
			d.sim.report.Counts["holders that took a snapshot"]++
			d.sim.trace("%s, which holds sched, takes a snapshot at %d", d.addr, st.Index)
		}
		d.scheduler.Reset(d.Now(), st)
	})
	cfg := scheduler.DefaultConfig()
	if d.sim.options.WithoutGuard == "reserve" {
		cfg.ReserveAfter = policyworker.Never
	}
	d.scheduler = scheduler.New(cfg, d.replica.Lock())
	d.replica.Unlock()
	d.grantedEpoch, d.ready, d.passScheduled, d.leaderHint, d.source, d.indexWaiters, d.leaving = 0, false, false, "", "", nil, false
	d.lagUntil, d.planning = 0, false
	d.sim.trace("%s up", d.addr)
	d.pull()
	d.claimRole()
	d.passPeriodically()
}

func (d *dataPlane) state() *state.State {
	st := d.replica.Lock()
	d.replica.Unlock()
	return st
}

// receivedAnswer gives one answer that came already.
type receivedAnswer struct {
	dataPlane *dataPlane
	answer    internalapi.FollowAnswer
	from      *controlPlane
}

// Follow returns the answer that has arrived.
func (c receivedAnswer) Follow(context.Context, internalapi.FollowCall) (internalapi.FollowAnswer, error) {
	return c.answer, nil
}

// Chunk reads a part of the snapshot from the cplane that answered.
func (c receivedAnswer) Chunk(_ context.Context, call internalapi.ChunkCall) (internalapi.ChunkAnswer, error) {
	if c.from.driver == nil || !c.from.alive || c.dataPlane.sim.blocked(c.dataPlane.process, c.from.process) {
		return internalapi.ChunkAnswer{}, errs.New(errs.Unknown, "gone")
	}
	a, err := c.from.store.Chunk(call)
	return a, errs.Pass(err, "chunk")
}

// pull is a turn of Replica.Run.
func (d *dataPlane) pull() {
	s := d.sim
	if s.now < d.lagUntil {
		d.after(pollInterval, func() { d.releaseIndexWaiters(); d.pull() })
		return
	}
	if d.source == "" {
		d.source = s.controlPlanes[s.rng.IntN(5)].addr
	}
	from := s.controlPlaneAt(s.byAddr[d.source])
	version := d.replica.Index()
	s.request(request{from: d.process, addr: d.source, timeout: time.Second + callTimeout, resendFor: callTimeout, mayRepeat: true,
		serve: func(to *process, reply func(any, error)) { s.controlPlaneAt(to).follow(version, time.Second, reply) },
		onAnswer: func(a any, err error, _ bool) {
			if err == nil {
				err = d.replica.Pull(context.Background(), receivedAnswer{d, a.(internalapi.FollowAnswer), from}, d.addr, time.Second)
			}
			d.releaseIndexWaiters()
			if err != nil {
				d.source = ""
				d.after(100*time.Millisecond, d.pull)
				return
			}
			d.after(0, d.pull)
		}})
}

// indexWaiter calls done once the replica is at index, or with a fault after within.
func (d *dataPlane) waitForIndex(index uint64, timeout time.Duration, done func(error)) {
	r := &indexWaiter{index, d.Now() + timeout, done}
	d.indexWaiters = append(d.indexWaiters, r)
	d.after(timeout, d.releaseIndexWaiters)
	d.releaseIndexWaiters()
}

func (d *dataPlane) releaseIndexWaiters() {
	var do []func()
	rest := d.indexWaiters[:0:0]
	for _, r := range d.indexWaiters {
		switch {
		case d.replica.Index() >= r.index:
			do = append(do, func() { r.done(nil) })
		case d.Now() >= r.deadline:
			do = append(do, func() { r.done(errs.New(errs.Unavailable, "not at %d in time", r.index)) })
		default:
			rest = append(rest, r)
		}
	}
	d.indexWaiters = rest
	for _, f := range do {
		f()
	}
}

// callLeader asks the leader wherever it is; again: the call may be repeated; by: when to give up, 0 for never.
func (d *dataPlane) callLeader(timeout time.Duration, again bool, by time.Duration, serve func(c *controlPlane, reply func(any, error)), back func(a any, err error)) {
	var try func(n int)
	try = func(n int) {
		addr := d.leaderHint
		if addr == "" {
			addr = d.sim.controlPlanes[d.sim.rng.IntN(5)].addr
		}
		d.sim.request(request{from: d.process, addr: addr, timeout: timeout, resendFor: callTimeout, mayRepeat: again,
			serve: func(to *process, reply func(any, error)) { serve(d.sim.controlPlaneAt(to), reply) },
			onAnswer: func(a any, err error, sent bool) {
				f := errs.Of(err)
				switch {
				case f == nil:
					d.leaderHint = addr
					back(a, nil)
					return
				case f.Kind == errs.NotLeader && f.Hint != "" && f.Hint != addr:
					d.leaderHint = f.Hint
				case d.leaderHint == addr && (f.Kind == errs.NotLeader || f.Kind == errs.Unavailable || f.Kind == errs.Timeout || f.Kind == errs.Stopped):
					d.leaderHint = ""
				}
				elsewhere := f.Kind == errs.NotLeader ||
					(f.Kind == errs.Unavailable || f.Kind == errs.Stopped || f.Kind == errs.Timeout) && (again || !sent)
				if by > 0 && d.Now() >= by || !elsewhere {
					back(nil, err)
					return
				}
				pause := time.Duration(0)
				if n > 0 {
					pause = min(200*time.Millisecond, time.Duration(n)*10*time.Millisecond)
				}
				d.after(pause, func() { try(n + 1) })
			}})
	}
	try(0)
}

func (d *dataPlane) propose(cmd command.Command, again bool, by time.Duration, back func(index uint64, answer json.RawMessage, err error)) {
	d.callLeader(callTimeout, again, by, func(c *controlPlane, reply func(any, error)) {
		c.propose(cmd, func(index uint64, a any, err error) {
			out := internalapi.ProposeAnswer{Index: index}
			if err == nil && a != nil {
				out.Answer = encodeJSON(a)
			}
			reply(out, err)
		})
	}, func(a any, err error) {
		if err != nil {
			back(0, nil, err)
			return
		}
		p := a.(internalapi.ProposeAnswer)
		back(p.Index, p.Answer, nil)
	})
}

func (d *dataPlane) roleCall(epoch uint64, release bool) internalapi.ClaimRoleCall {
	return internalapi.ClaimRoleCall{Role: "sched", Holder: d.addr, Addr: d.addr, Incarnation: d.incarnationID, Epoch: epoch, Release: release}
}

// claimRole is a turn of the duty loop.
func (d *dataPlane) claimRole() {
	if d.leaving {
		return
	}
	sent, call := d.Now(), d.roleCall(d.grantedEpoch, false)
	d.callLeader(callTimeout/2, true, 0, func(c *controlPlane, reply func(any, error)) { c.grantRole(call, reply) }, func(a any, err error) {
		again := func() { d.after(300*time.Millisecond, d.claimRole) }
		if err != nil {
			again()
			return
		}
		if got := a.(internalapi.RoleLease); got.Mine {
			d.acceptRole(got, sent, again)
			return
		}
		if d.grantedEpoch != 0 {
			d.sim.trace("%s lost sched", d.addr)
			d.grantedEpoch = 0
			d.scheduler.StepDown()
		}
		again()
	})
}

func (d *dataPlane) acceptRole(a internalapi.RoleLease, sent time.Duration, again func()) {
	d.grantedEpoch = a.Epoch
	lead := func(err error) {
		defer again()
		if err != nil || d.leaving {
			return
		}
		if role := d.state().Roles["sched"]; d.sim.options.WithoutGuard != "rebuild" && (role == nil || role.Epoch != a.Epoch || role.Incarnation != d.incarnationID) {
			return
		}
		if d.scheduler.Epoch() != a.Epoch {
			d.scheduler.BecomeLeader(d.Now(), a.Epoch)
			d.sim.trace("%s takes up sched, epoch %d, replica at %d, %d handles", d.addr, a.Epoch, d.replica.Index(), len(d.state().Handles))
			d.sim.report.Counts["grants taken up"]++
			if d.state().Index >= a.Epoch && len(d.state().Handles) > 0 {
				d.sim.countCase("rebuilt")
			}
			d.sim.invariantChecker.checkRebuilt(d)
		}
		d.scheduler.SetRoleLease(sent + a.TTL)
		d.schedulePass()
	}
	if d.sim.options.WithoutGuard == "rebuild" {
		lead(nil)
		return
	}
	d.waitForIndex(a.Epoch, callTimeout, lead)
}

// releaseRole lays the duty down, as a daemon does that is told to end.
func (d *dataPlane) releaseRole() {
	d.leaving = true
	epoch := d.grantedEpoch
	if epoch == 0 {
		return
	}
	d.scheduler.StepDown()
	call := d.roleCall(epoch, true)
	d.callLeader(callTimeout, true, d.Now()+2*time.Second, func(c *controlPlane, reply func(any, error)) { c.grantRole(call, reply) }, func(any, error) {})
}

// schedulePass asks for a pass soon.
func (d *dataPlane) schedulePass() {
	if !d.passScheduled {
		d.passScheduled = true
		d.after(d.sim.between(0, 200*time.Microsecond), func() { d.passScheduled = false; d.runPass() })
	}
}

func (d *dataPlane) passPeriodically() {
	d.runPass()
	d.after(20*time.Millisecond, d.passPeriodically)
}

// runPass is one pass.
func (d *dataPlane) runPass() {
	out := d.scheduler.Pass(d.Now())
	if out.Plan != nil {
		d.proposePlan(out.Plan)
	}
	for _, c := range out.Calls {
		d.after(d.sim.between(0, 300*time.Microsecond), func() { d.sendLeaseCall(c) })
	}
}

func (d *dataPlane) proposePlan(plan *command.Plan) {
	end := func(done command.Planned, err error) {
		d.scheduler.PlanAnswered(d.Now(), plan.Epoch, done, err)
		d.schedulePass()
	}
	failed := func(err error) {
		d.sim.report.Counts["plans without a good answer"]++
		d.sim.trace("%s has no good answer to a plan: %v", d.addr, errs.KindOf(err))
		d.after(20*time.Millisecond, func() { end(command.Planned{}, err) })
	}
	d.sim.trace("%s plans under epoch %d: to %d, %d reports, running %v, doubt %v, ends %v, dead %v, %d starts", d.addr, plan.Epoch, plan.Seq,
		len(plan.Workers), plan.Running, plan.Unconfirmed, plan.Ends, plan.Dead, len(plan.Starts))
	d.sim.invariantChecker.observePlanMade(d, plan)
	d.planning = true
	d.propose(plan, false, 0, func(index uint64, answer json.RawMessage, err error) {
		d.planning = false
		if err != nil {
			failed(err)
			return
		}
		d.waitForIndex(index, callTimeout, func(err error) {
			var done command.Planned
			if err == nil {
				err = json.Unmarshal(answer, &done)
			}
			if err != nil {
				failed(err)
				return
			}
			end(done, nil)
		})
	})
}

// sendLeaseCall makes one hold call; the lease is looked at immediately before the write.
func (d *dataPlane) sendLeaseCall(c scheduler.OutgoingCall) {
	s, now := d.sim, d.Now()
	fail := func(err error, sent bool) {
		d.scheduler.CallFailed(d.Now(), c, sent)
		d.schedulePass()
	}
	if !d.scheduler.MayAct(now) || d.scheduler.Epoch() != c.Call.Epoch || c.WriteBy > 0 && now >= c.WriteBy {
		fail(nil, false)
		return
	}
	s.invariantChecker.observeLeaseCall(d, c)
	s.request(request{from: d.process, addr: c.Addr, timeout: c.Call.Wait + callTimeout/2, resendFor: scheduler.DefaultConfig().RoleLeaseMargin / 2,
		serve: func(to *process, reply func(any, error)) { s.workerAt(to).renewLease(c.Call, reply) },
		onAnswer: func(a any, err error, sent bool) {
			if err != nil {
				if !sent && len(c.Call.Starts) > 0 {
					s.report.Counts["orders surely unsent"]++
				}
				fail(err, sent)
				return
			}
			got := a.(internalapi.LeaseAnswer)
			if s.chance(s.net.crossedAnswerRate) {
				s.report.Faults["cross"]++
				got.Call--
			}
			s.invariantChecker.observeAnswer(d, c, got)
			d.scheduler.CallAnswered(d.Now(), c, got)
			d.schedulePass()
		}})
}

// read is Node.Read of one job.
func (d *dataPlane) read(key string, back func(v query.JobView, err error)) {
	by := d.Now() + callTimeout
	d.callLeader(callTimeout/2, true, by, func(c *controlPlane, reply func(any, error)) {
		index, err := c.store.ReadIndex()
		reply(index, err)
	}, func(a any, err error) {
		if err != nil {
			back(query.JobView{}, errs.Wrap(err, errs.Unavailable, "cannot confirm"))
			return
		}
		d.waitForIndex(a.(uint64), callTimeout, func(err error) {
			if err != nil {
				back(query.JobView{}, err)
				return
			}
			back(query.Job(d.state(), key))
		})
	})
}

// announce makes a minion known to the store.
func (d *dataPlane) announce(m *worker, reply func(any, error)) {
	if k := d.state().Workers[m.addr]; k != nil && k.Addr == m.addr {
		reply(internalapi.AnnounceWorkerAnswer{}, nil)
		return
	}
	t := m.traits
	d.propose(&command.Announce{Worker: state.Worker{Name: t.Name, Addr: m.addr, Kind: t.Kind, Zone: t.Zone, Labels: t.Labels,
		Cores: t.Cores, GPUs: t.GPUs}}, true, d.Now()+callTimeout, func(_ uint64, _ json.RawMessage, err error) { reply(internalapi.AnnounceWorkerAnswer{}, err) })
}
