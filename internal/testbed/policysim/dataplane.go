package policysim

import (
	"encoding/json"
	"fmt"
	"time"

	"crosstide/internal/dataplane/scheduler"
	"crosstide/internal/errs"
	"crosstide/internal/internalapi"
	"crosstide/internal/replica"
	"crosstide/internal/state"
	"crosstide/internal/state/command"
	"crosstide/internal/testbed/policyworker"
)

// callTimeout is the value of the data-plane setting of the same name.
const callTimeout = 2 * time.Second

// dataPlane simulates dataplane.Node: events take the steps of its goroutines, and replica.Replica and scheduler.Core
// make the decisions. dataplanereplica.go follows the store, dataplanerole.go claims the scheduler role, and
// dataplanecalls.go calls the leader of the store.
type dataPlane struct {
	*process
	incarnationID string
	replica       *replica.Replica
	scheduler     *scheduler.Core
	passScheduled bool // schedulePass has an event pending
	planning      bool // a plan is in flight to the store
	leaving       bool // the node is shutting down

	grantedEpoch uint64 // epoch of the role's lease, if the newest answer grants it to this node; else 0
	leaderHint   string // presumed address of the store's leader; "": unknown

	source       string         // the control-plane node that the replica follows; "": drawn by the next pull
	indexWaiters []*indexWaiter // see waitForIndex
	lagUntil     time.Duration  // virtual time before which the replica does not follow the store, for the fault lag
}

// open starts an incarnation with an empty replica.
func (d *dataPlane) open() {
	d.startIncarnation()
	d.incarnationID = fmt.Sprintf("%s-%d", d.addr, d.generation)
	d.replica = replica.New(func(event state.Event) {
		d.scheduler.StateChanged(event)
		d.schedulePass()
	}, func(st *state.State) {
		if d.scheduler.Phase() == scheduler.Ready {
			d.sim.report.Counts["holders that took a snapshot"]++
			d.sim.trace("%s, which holds sched, takes a snapshot at %d", d.addr, st.Index)
		}
		d.scheduler.Reset(d.Now(), st)
	})
	config := scheduler.DefaultConfig()
	if d.sim.options.WithoutGuard == "reserve" {
		config.ReserveAfter = policyworker.Never
	}
	d.scheduler = scheduler.New(config, d.replica.Lock())
	d.replica.Unlock()
	d.passScheduled, d.planning, d.leaving = false, false, false
	d.grantedEpoch, d.leaderHint = 0, ""
	d.source, d.indexWaiters, d.lagUntil = "", nil, 0
	d.sim.trace("%s up", d.addr)
	d.pull()
	d.claimRole()
	d.passPeriodically()
}

// restart starts another incarnation, unless one is running.
func (d *dataPlane) restart() {
	if !d.alive {
		d.open()
	}
}

// state returns the replica's state. It need not stay locked, as there is only one goroutine.
func (d *dataPlane) state() *state.State {
	st := d.replica.Lock()
	d.replica.Unlock()
	return st
}

// schedulePass schedules a pass of the scheduler, unless one is scheduled.
func (d *dataPlane) schedulePass() {
	if d.passScheduled {
		return
	}
	d.passScheduled = true
	d.after(d.sim.between(0, 200*time.Microsecond), func() {
		d.passScheduled = false
		d.runPass()
	})
}

func (d *dataPlane) passPeriodically() {
	d.runPass()
	d.after(20*time.Millisecond, d.passPeriodically)
}

// runPass runs one pass of the scheduler and carries out its decisions.
func (d *dataPlane) runPass() {
	decision := d.scheduler.Pass(d.Now())
	if decision.Plan != nil {
		d.proposePlan(decision.Plan)
	}
	for _, c := range decision.Calls {
		d.after(d.sim.between(0, 300*time.Microsecond), func() { d.sendLeaseCall(c) })
	}
}

// proposePlan proposes a plan to the store once. The scheduler gets the answer after the replica has applied the plan.
func (d *dataPlane) proposePlan(plan *command.Plan) {
	answered := func(done command.Planned, err error) {
		d.scheduler.PlanAnswered(d.Now(), plan.Epoch, done, err)
		d.schedulePass()
	}
	failed := func(err error) {
		d.sim.report.Counts["plans without a good answer"]++
		d.sim.trace("%s has no good answer to a plan: %v", d.addr, errs.KindOf(err))
		d.after(20*time.Millisecond, func() { answered(command.Planned{}, err) })
	}
	d.sim.trace("%s plans under epoch %d: to %d, %d reports, running %v, doubt %v, ends %v, dead %v, %d starts", d.addr,
		plan.Epoch, plan.Seq, len(plan.Workers), plan.Running, plan.Unconfirmed, plan.Ends, plan.Dead, len(plan.Starts))
	d.sim.checker.observePlanMade(d, plan)
	d.planning = true
	d.proposeOnce(plan, func(index uint64, answer json.RawMessage, err error) {
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
			answered(done, nil)
		})
	})
}

// sendLeaseCall makes a call to a worker. Immediately before the write it checks that the role's lease still allows it.
func (d *dataPlane) sendLeaseCall(c scheduler.OutgoingCall) {
	s, now := d.sim, d.Now()
	failed := func(sent bool) {
		d.scheduler.CallFailed(d.Now(), c, sent)
		d.schedulePass()
	}
	if !d.scheduler.MayAct(now) || d.scheduler.Epoch() != c.Call.Epoch || c.WriteBy > 0 && now >= c.WriteBy {
		failed(false)
		return
	}
	s.checker.observeLeaseCall(d, c)
	s.request(request{from: d.process, addr: c.Addr, timeout: c.Call.Wait + callTimeout/2,
		resendFor: scheduler.DefaultConfig().RoleLeaseMargin / 2,
		serve:     func(to *process, reply func(any, error)) { s.workerAt(to).renewLease(c.Call, reply) },
		onAnswer: func(a any, err error, sent bool) {
			if err != nil {
				if !sent && len(c.Call.Starts) > 0 {
					s.report.Counts["orders surely unsent"]++
				}
				failed(sent)
				return
			}
			answer := a.(internalapi.LeaseAnswer)
			if s.chance(s.network.crossedAnswerRate) {
				s.report.Faults["cross"]++
				answer.Call--
			}
			s.checker.observeAnswer(d, c, answer)
			d.scheduler.CallAnswered(d.Now(), c, answer)
			d.schedulePass()
		}})
}
