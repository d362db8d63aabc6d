package policysim

import (
	"bytes"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"crosstide/internal/dataplane/scheduler"
	"crosstide/internal/internalapi"
	"crosstide/internal/raft"
	"crosstide/internal/state"
	"crosstide/internal/state/command"
	"crosstide/internal/testbed/journal"
	"crosstide/internal/testbed/policyworker"
)

// bound is how long after the faults everything must have ended: the longest hold, then retries and long runs.
const bound = 150 * time.Second

const (
	cancelTimeout     = 3 * time.Second
	drainTimeout      = 2 * time.Second
	evacuationTimeout = 5 * time.Second
	idleTimeout       = 3 * time.Second
	recoveryTime      = 30 * time.Second // from the end of faults until a due task must not be idle any more
	startTimeout      = 20 * time.Second // the longest run, and then the oldest due task must have got its run ID
	gangStartTimeout  = 45 * time.Second // the same for a gang, which needs room on several minions at one moment
)

// invariantChecker holds the promises against what really happened: what was written to minions, what minions started and
// ended, what clients and operators were told, and what disks have. Of the daemons it believes only the log, of
// which it keeps a copy from the first cplane that shows an entry as committed.
type invariantChecker struct {
	sim       *sim
	reference *state.State
	log       []entryDigest // from index 2 on
	observed  map[*controlPlane]uint64
	members   []raft.Member
	jobs      map[string]*job

	runIDs      map[uint64]*runIDHistory
	grants      []uint64
	ended       map[state.TaskRef][]*completion
	runs        []*workerRun
	evacuated   map[string]time.Duration
	dueAt       map[state.TaskRef]time.Duration
	idleSince   map[state.TaskRef]time.Duration
	oldestTask  state.TaskRef      // the oldest due task that some minion could hold
	oldestSince time.Duration      // when it came to be that
	newestOrder map[*worker]uint64 // newest run ID that arrived at a minion
}

type entryDigest struct {
	term uint64
	sum  uint64
}

// execute ID is all that became of a run ID.
type runIDHistory struct {
	handle      state.Handle
	index       uint64 // of its commit
	term        uint64
	committedAt time.Duration // of its commit
	orderedAt   time.Duration
	orderedBy   *dataPlane
	closedAt    time.Duration
	leaseUntil  time.Duration // the first hold that its order told the minion, in virtual time
}

// completion is a run that ended well at its minion.
type completion struct {
	runID        uint64
	worker       *worker
	generation   int
	acknowledged map[uint64]time.Duration // the epochs whose holder was told, and when first
}

// workerRun is a run at a minion.
type workerRun struct {
	ref        state.TaskRef
	runID      uint64
	worker     *worker
	generation int
	cores      int
	leaseUntil time.Duration // virtual time at which its hold lapses
}

func (s *sim) newInvariantChecker() *invariantChecker {
	o := &invariantChecker{sim: s, reference: state.New(), observed: map[*controlPlane]uint64{}, jobs: map[string]*job{}, runIDs: map[uint64]*runIDHistory{},
		ended: map[state.TaskRef][]*completion{}, evacuated: map[string]time.Duration{}, dueAt: map[state.TaskRef]time.Duration{},
		idleSince: map[state.TaskRef]time.Duration{}, newestOrder: map[*worker]uint64{}}
	for _, m := range s.members() {
		o.members = append(o.members, raft.Member{ID: m.ID, Addr: m.Addr, Zone: m.Zone})
	}
	o.reference.Index, o.reference.Term = 1, 1
	o.reference.OnEvent = func(n state.Event) {
		switch n.Kind {
		case state.EventHandleCreated:
			o.runIDs[n.Handle.RunID] = &runIDHistory{handle: *n.Handle, index: o.reference.Index, term: o.reference.Term, committedAt: s.now}
		case state.EventHandleReleased:
			o.runIDs[n.Handle.RunID].closedAt = s.now
			s.trace("ticket %d of %v is closed", n.Handle.RunID, n.Ref)
		case state.EventRoleChanged:
			if d := o.reference.Roles[n.Name]; d.Holder != "" {
				o.grants = append(o.grants, d.Epoch)
				s.trace("sched is granted to %s, epoch %d", d.Holder, d.Epoch)
			}
		case state.EventTaskDue:
			_, t := o.reference.TaskOf(n.Ref)
			o.dueAt[n.Ref] = s.now
			if wait := t.DueAt.Sub(o.reference.At); !t.DueAt.IsZero() && wait > 0 {
				o.dueAt[n.Ref] += wait
			}
		}
	}
	s.schedule(time.Second, o.compareStates)
	s.schedule(time.Second, o.checkIdle)
	return o
}

// observeCommits takes in what a cplane shows as committed: it must be what all others showed.
func (o *invariantChecker) observeCommits(c *controlPlane) {
	core := c.driver.Core()
	if core == nil {
		return
	}
	commit := c.driver.State().Index
	for o.observed[c] < commit {
		from := max(o.observed[c]+1, core.Status().First, 2)
		if from > commit {
			o.observed[c] = commit
			return
		}
		es, err := core.Entries(from, 1<<20)
		if err != nil || len(es) == 0 {
			return
		}
		for _, e := range es {
			o.observeEntry(c, e)
			o.observed[c] = e.Index
		}
	}
}

func (o *invariantChecker) observeEntry(c *controlPlane, e raft.Entry) {
	s := o.sim
	r := entryDigest{e.Term, xxhash.Sum64(e.Data)}
	if at := int(e.Index) - 2; at < len(o.log) {
		s.countCase("same log")
		if o.log[at] != r {
			s.reportBreach("same log", "entry %d at %s is of term %d, elsewhere of %d", e.Index, c.addr, e.Term, o.log[at].term)
		}
		return
	} else if at > len(o.log) {
		s.reportBreach("same log", "%s shows entry %d as committed, %d is unknown", c.addr, e.Index, len(o.log)+2)
		return
	}
	o.log = append(o.log, r)
	s.countCase("durable")
	if !o.isDurable(e.Index, e.Term) {
		s.reportBreach("durable", "%s shows entry %d of term %d as committed, which is not on a majority of disks", c.addr, e.Index, e.Term)
	}
	if e.Kind == raft.Members {
		ms, err := raft.DecodeMembers(e)
		must(err)
		o.members = ms
		s.report.Counts["member changes"]++
		s.trace("members: %v", memberIDs(ms))
	}
	data := e.Data
	if e.Kind != raft.Normal {
		data = nil
	}
	s.billing.apply(data, func() {
		_, _ = command.Apply(o.reference, e.Index, e.Term, data) // its fault is an outcome
	})
}

func memberIDs(ms []raft.Member) (out []string) {
	for _, m := range ms {
		id := m.ID
		if m.Learner {
			id += "(learner)"
		}
		out = append(out, id)
	}
	return out
}

// isVoter tells whether a wiped cplane counts again.
func (o *invariantChecker) isVoter(c *controlPlane) bool {
	if !c.alive || c.driver == nil || c.driver.Core() == nil {
		return false
	}
	id := c.driver.Core().Status().ID
	return slices.ContainsFunc(o.members, func(m raft.Member) bool { return m.ID == id && !m.Learner })
}

// isDurable tells whether a majority of some member set in force has an entry on its disks.
func (o *invariantChecker) isDurable(index, term uint64) bool {
	have := map[string]bool{}
	sets := [][]raft.Member{o.members}
	for _, c := range o.sim.controlPlanes {
		if c.wipedID != "" { // it may have said that it has it before it lost it
			have[c.wipedID] = have[c.wipedID] || index <= c.wipedSnapshot || c.wipedTerms[index] == term
		}
		if c.driver == nil || c.driver.Core() == nil {
			continue
		}
		st := c.driver.Core().Status()
		have[st.ID] = have[st.ID] || c.hasDurable(index, term)
		sets = append(sets, st.Members)
	}
	for _, set := range sets {
		voters, n := 0, 0
		for _, m := range set {
			if !m.Learner {
				voters++
				if have[m.ID] {
					n++
				}
			}
		}
		if voters > 0 && 2*n > voters {
			return true
		}
	}
	return false
}

// newestEpoch is the last epoch granted at or before an index of the log.
func (o *invariantChecker) newestEpoch(index uint64) (epoch uint64) {
	for _, g := range o.grants {
		if g <= index {
			epoch = g
		}
	}
	return epoch
}

// observePlanCommitted takes in that a plan decided under an epoch was committed and counted.
func (o *invariantChecker) observePlanCommitted(epoch, index uint64) {
	o.sim.countCase("decided in office")
	if now := o.newestEpoch(index); now != epoch {
		o.sim.reportBreach("decided in office", "a plan of epoch %d counts at %d, where %d was granted", epoch, index, now)
	}
}

// observePlanMade takes in that a holder makes a plan. Also ends and proofs are judged by the handles, so no plan may come from
// a replica that has not followed the store up to the grant; only those with starts are counted.
func (o *invariantChecker) observePlanMade(d *dataPlane, p *command.Plan) {
	if d.state().Index < p.Epoch {
		o.sim.reportBreach("rebuilt", "%s makes a plan of %d starts under epoch %d with its replica at %d", d.addr, len(p.Starts), p.Epoch, d.state().Index)
	}
	if len(p.Starts) == 0 {
		return
	}
	o.sim.countCase("rebuilt")
	if h := len(d.state().Handles); h > 0 && d.scheduler.Epoch() == p.Epoch {
		o.checkRebuilt(d)
	}
}

// observeLeaseCall takes in that a hold call leaves a dplane.
func (o *invariantChecker) observeLeaseCall(d *dataPlane, c scheduler.OutgoingCall) {
	s := o.sim
	s.countCase("fence")
	if now := o.newestEpoch(o.reference.Index); c.Call.Epoch < now {
		s.reportBreach("fence", "%s writes to %s under epoch %d, %d was granted", d.addr, c.Worker, c.Call.Epoch, now)
	}
	for _, st := range c.Call.Starts {
		t := o.runIDs[st.RunID]
		if t == nil {
			s.reportBreach("durable", "the order of ticket %d leaves %s before it is committed", st.RunID, d.addr)
			return
		}
		s.countCase("ordered once")
		if t.orderedAt != 0 {
			s.reportBreach("ordered once", "ticket %d was ordered at %v already", st.RunID, t.orderedAt)
		}
		t.orderedAt, t.orderedBy = s.now, d
		s.trace("%s orders ticket %d (%s/%s/%d) at %s, epoch %d, call %d", d.addr, st.RunID, st.Job, st.Step, st.Task, c.Worker, c.Call.Epoch, c.Call.Call)
	}
}

// observeOrderArrived takes in that start orders are at a minion.
func (o *invariantChecker) observeOrderArrived(m *worker, call internalapi.LeaseCall) {
	for _, st := range call.Starts {
		if t := o.runIDs[st.RunID]; t != nil {
			t.leaseUntil = m.clockZero + st.LeaseUntil
		}
		o.sim.countCase("newer ticket")
		if st.RunID <= o.newestOrder[m] && m.kind == policyworker.KindObey {
			o.sim.reportBreach("newer ticket", "ticket %d reaches %s, which has seen %d", st.RunID, m.addr, o.newestOrder[m])
		}
		o.newestOrder[m] = max(o.newestOrder[m], st.RunID)
	}
}

// observeRenewal takes in what a call does to holds; the minion has carried it out.
func (o *invariantChecker) observeRenewal(m *worker, call internalapi.LeaseCall) {
	if call.Incarnation != m.traits.Incarnation && call.Incarnation != "" {
		return
	}
	for _, r := range o.runs {
		if r.worker == m && r.generation == m.generation && slices.Contains(call.Renew, r.runID) {
			r.leaseUntil = max(r.leaseUntil, m.clockZero+call.RenewUntil)
		}
	}
}

// observeAnswer takes in that a holder is told something.
func (o *invariantChecker) observeAnswer(d *dataPlane, c scheduler.OutgoingCall, a internalapi.LeaseAnswer) {
	if a.Call != c.Call.Call || c.Call.Epoch != d.scheduler.Epoch() {
		return
	}
	for _, e := range a.Ended {
		t := o.runIDs[e.RunID]
		if t == nil || e.Outcome != internalapi.OutcomeOK {
			continue
		}
		for _, end := range o.ended[t.handle.Ref] {
			if end.runID == e.RunID {
				if _, ok := end.acknowledged[c.Call.Epoch]; !ok {
					end.acknowledged[c.Call.Epoch] = o.sim.now
				}
			}
		}
	}
}

// observeWorkerStart takes in that a minion begins a life: nothing of an older one runs any more.
func (o *invariantChecker) observeWorkerStart(m *worker) {
	o.runs = slices.DeleteFunc(o.runs, func(r *workerRun) bool { return r.worker == m })
	o.sim.trace("%s boots as %s", m.addr, m.traits.Incarnation)
}

func (o *invariantChecker) observeWorkerKill(m *worker) { o.sim.trace("%s is killed", m.addr) }

// observeJournal takes in what a minion did.
func (o *invariantChecker) observeJournal(m *worker, e journal.Entry) {
	if e.Event == journal.NewIncarnation {
		return
	}
	o.sim.trace("%s %s ticket %d %s/%s/%d ok=%v %s", m.addr, e.Event, e.RunID, e.Job, e.Step, e.Task, e.OK, e.Reason)
	switch e.Event {
	case journal.Start:
		o.checkStart(m, e)
		if t := o.runIDs[e.RunID]; t != nil && o.sim.billing != nil {
			o.sim.billing.observeStart(t.handle.Ref, e.RunID)
		}
	case journal.Refuse:
		o.sim.report.Counts["refused: "+e.Reason]++
	case journal.End, journal.Stop, journal.Expire:
		if e.Event == journal.Expire {
			o.sim.report.Counts["lapsed"]++
		}
		n := len(o.runs)
		o.runs = slices.DeleteFunc(o.runs, func(r *workerRun) bool { return r.worker == m && r.runID == e.RunID })
		if t := o.runIDs[e.RunID]; e.Event == journal.End && e.OK && t != nil && n > len(o.runs) {
			o.ended[t.handle.Ref] = append(o.ended[t.handle.Ref], &completion{e.RunID, m, m.generation, map[uint64]time.Duration{}})
		}
	}
}

// checkStart judges a start, the one event that must never be wrong.
func (o *invariantChecker) checkStart(m *worker, e journal.Entry) {
	s := o.sim
	t := o.runIDs[e.RunID]
	if t == nil || t.orderedAt == 0 || t.handle.Worker != m.addr {
		s.reportBreach("durable", "%s starts ticket %d, which was not ordered there", m.addr, e.RunID)
		return
	}
	ref := t.handle.Ref
	if !s.faultsOver {
		s.report.Counts["starts under faults"]++
	}
	s.countCase("once at a time")
	for _, r := range o.runs {
		if r.ref == ref && s.now < r.leaseUntil {
			s.reportBreach("once at a time", "%v starts as ticket %d on %s while ticket %d runs on %s", ref, e.RunID, m.addr, r.runID, r.worker.addr)
		}
	}
	s.countCase("not after it ended well")
	for _, end := range o.ended[ref] {
		o.checkRepeat(t, end)
	}
	j := o.jobs[ref.Job]
	if j.cancelledAt > 0 {
		if s.now > j.cancelledAt+cancelTimeout {
			s.reportBreach("cancelled starts nothing", "ticket %d of %s, cancelled at %v", e.RunID, ref.Job, j.cancelledAt)
		}
	}
	s.countCase("not late")
	late := 700 * time.Millisecond // the void time in the minion's clock, and what its report was under way
	if m.kind == policyworker.KindObey {
		late = callTimeout/2 + lateness + 100*time.Millisecond // it was under way until its connection was closed at most
	}
	if s.now-max(t.orderedAt, m.wokeAt) > late { // what lay in the kernel of a frozen machine is carried out when it wakes
		s.reportBreach("not late", "ticket %d was written at %v and starts on %s (%s)", e.RunID, t.orderedAt, m.addr, m.kind)
	}
	if at, out := o.evacuated[m.zone]; out {
		if s.now > at+evacuationTimeout {
			s.reportBreach("evacuated", "ticket %d starts on %s, %s is evacuated since %v", e.RunID, m.addr, m.zone, at)
		}
	}
	if m.draining {
		s.countCase("draining")
		if t.orderedAt > m.drainingSince+drainTimeout {
			s.reportBreach("draining", "ticket %d was written at %v for %s, which drains since %v", e.RunID, t.orderedAt, m.addr, m.drainingSince)
		}
	}
	s.countCase("fits")
	step := j.spec.Steps[ref.Step]
	for k, v := range step.Labels {
		if m.labels[k] != v {
			s.reportBreach("fits", "ticket %d wants %s=%s, %s has not", e.RunID, k, v, m.addr)
		}
	}
	run := &workerRun{ref, e.RunID, m, m.generation, step.Cores, 0}
	run.leaseUntil = t.leaseUntil
	o.runs = append(o.runs, run)
	taken := 0
	for _, r := range o.runs {
		if r.worker == m && s.now < r.leaseUntil {
			taken += r.cores
		}
	}
	if taken > m.cores {
		s.reportBreach("fits", "%d cores run on %s, it has %d", taken, m.addr, m.cores)
	}
}

// checkRepeat judges the start of a run ID for a task that ended well before. The end is known to the scheduler once a
// holder was told; until then nobody can know it, and a task must not wait for ever for a minion that is gone. So
// it is a breach if the store has it as done, or if the holder that gave the new run ID was told before the old
// handle was closed. Else it is counted apart.
func (o *invariantChecker) checkRepeat(t *runIDHistory, end *completion) {
	s := o.sim
	old := o.runIDs[end.runID]
	if end.runID >= t.handle.RunID {
		return
	}
	if _, task := o.reference.TaskOf(t.handle.Ref); task == nil || task.Phase == state.TaskDone && task.RunID != t.handle.RunID {
		s.reportBreach("not after it ended well", "ticket %d starts %v, which the store has as done", t.handle.RunID, t.handle.Ref)
	}
	if at, ok := end.acknowledged[t.handle.Epoch]; ok && at+time.Second < old.closedAt {
		s.reportBreach("not after it ended well", "ticket %d starts %v; its holder was told at %v that ticket %d ended well, which was closed at %v",
			t.handle.RunID, t.handle.Ref, at, end.runID, old.closedAt)
	}
	if end.worker.generation != end.generation {
		s.report.Counts["ran again: the minion forgot the end with its boot"]++
	} else {
		s.report.Counts["ran again: the end was not heard until the hold had lapsed"]++
	}
}

// checkRebuilt checks the tallies of a fresh holder against the handles of the log up to its grant.
func (o *invariantChecker) checkRebuilt(d *dataPlane) {
	want := d.state().RunningCounts()
	for kind, n := range want {
		if got := d.scheduler.RunningCount(kind); got != n {
			o.sim.reportBreach("rebuilt", "%s has a tally of %d for %s, %d handles are out", d.addr, got, kind, n)
		}
	}
}

// checkDone judges the end of a job as its client sees it.
func (o *invariantChecker) checkDone(j *job) {
	if j.outcome != state.JobDone {
		return
	}
	o.sim.countCase("done")
	for i, step := range j.spec.Steps {
		for k := range step.Tasks {
			if len(o.ended[state.TaskRef{Job: j.spec.Key, Step: i, Task: k}]) == 0 {
				o.sim.reportBreach("done", "%s is shown as done, task %d of step %d never ended well", j.spec.Key, k, i)
			}
		}
	}
}

// compareStates holds the states of all nodes at the same index against each other.
func (o *invariantChecker) compareStates() {
	s := o.sim
	first := map[uint64][]byte{}
	look := func(name string, st *state.State) {
		raw, err := st.Encode()
		must(err)
		if have, ok := first[st.Index]; ok {
			s.countCase("same state")
			if !bytes.Equal(have, raw) {
				s.reportBreach("same state", "%s has another state at %d", name, st.Index)
			}
		} else {
			first[st.Index] = raw
		}
	}
	look("the log", o.reference)
	for _, c := range s.controlPlanes {
		if c.alive && c.driver.IsMember() {
			look(c.addr, c.driver.State())
		}
	}
	for _, d := range s.dataPlanes {
		if d.alive && d.replica.Index() > 0 {
			look(d.addr, d.state())
		}
	}
	s.schedule(2*time.Second, o.compareStates)
}

// checkIdle looks for due tasks beside room, once the faults are over.
func (o *invariantChecker) checkIdle() {
	s := o.sim
	s.schedule(250*time.Millisecond, o.checkIdle)
	if !s.faultsOver {
		return
	}
	o.checkPassedOver()
	if s.now < s.options.FaultPeriod+recoveryTime {
		return
	}
	for _, key := range o.runningJobs() {
		j := o.reference.Jobs[key]
		for i := range j.Tasks {
			for k := range j.Tasks[i] {
				ref := state.TaskRef{Job: key, Step: i, Task: k}
				if !o.isStartable(j, ref) {
					delete(o.idleSince, ref)
					continue
				}
				if o.idleSince[ref] == 0 {
					o.idleSince[ref] = s.now
				}
				s.countCase("not idle beside room")
				if s.now-o.idleSince[ref] > idleTimeout {
					s.reportBreach("not idle beside room", "%v is due since %v and there is room for it since %v", ref, o.dueAt[ref], o.idleSince[ref])
				}
			}
		}
	}
}

// passScheduled looks at the oldest due task that some minion could hold if it were empty: younger ones that need less may
// go before it only for a while. The time counts while the fleet can give run IDs at all: a process that faults ended
// may be down for up to recoveryTime beyond them.
func (o *invariantChecker) checkPassedOver() {
	s := o.sim
	ref, found := o.oldestPlaceable()
	switch {
	case !found || !o.isServing():
		o.oldestSince = 0
	case o.oldestSince == 0 || ref != o.oldestTask:
		o.oldestTask, o.oldestSince = ref, s.now
	default:
		s.countCase("not passed over")
		timeout := startTimeout
		if o.reference.Jobs[ref.Job].Spec.Steps[ref.Step].Gang {
			timeout = gangStartTimeout
		}
		if s.now-o.oldestSince > timeout {
			s.reportBreach("not passed over", "%v is the oldest due task since %v", ref, o.oldestSince)
		}
	}
}

// isServing tells whether a majority of the store's voters and a dplane are up.
func (o *invariantChecker) isServing() bool {
	release := map[string]bool{}
	for _, c := range o.sim.controlPlanes {
		if c.alive && !c.frozen && c.driver.Core() != nil {
			release[c.driver.Core().Status().ID] = true
		}
	}
	voters, there := 0, 0
	for _, m := range o.members {
		if !m.Learner {
			voters++
			if release[m.ID] {
				there++
			}
		}
	}
	return 2*there > voters && slices.ContainsFunc(o.sim.dataPlanes, func(d *dataPlane) bool { return d.alive && !d.frozen })
}

// oldestPlaceable gives the oldest due task that some minion could hold.
func (o *invariantChecker) oldestPlaceable() (first state.TaskRef, found bool) {
	var seq uint64
	for _, key := range o.runningJobs() {
		j := o.reference.Jobs[key]
		if found && j.Seq > seq {
			continue
		}
		if ref, ok := o.firstPlaceable(j); ok {
			first, seq, found = ref, j.Seq, true
		}
	}
	return first, found
}

// firstPlaceable gives the first due task of a job that some minion could hold.
func (o *invariantChecker) firstPlaceable(j *state.Job) (state.TaskRef, bool) {
	for i, tasks := range j.Tasks {
		for k := range tasks {
			ref := state.TaskRef{Job: j.Spec.Key, Step: i, Task: k}
			if tasks[k].Phase == state.TaskDue && o.sim.now >= o.dueAt[ref] && o.sim.billing.payable(j, ref) && o.fitsEmptyFleet(j, i) {
				return ref, true
			}
		}
	}
	return state.TaskRef{}, false
}

// fitsEmptyFleet tells whether the minions could hold what of a step starts together, were they empty.
func (o *invariantChecker) fitsEmptyFleet(j *state.Job, at int) bool {
	step := &j.Spec.Steps[at]
	need, have := 1, 0
	if step.Gang {
		need = step.Tasks
	}
	for _, m := range o.usableWorkers() {
		if o.reference.PlacementRefusal(&j.Spec, step, o.reference.Workers[m.addr]) == "" {
			have += m.cores / step.Cores
		}
	}
	return have >= need
}

func (o *invariantChecker) runningJobs() []string {
	var out []string
	for key, j := range o.reference.Jobs {
		if j.Phase == state.JobRunning {
			out = append(out, key)
		}
	}
	slices.Sort(out)
	return out
}

// isStartable tells whether a task is due and a minion could run it now.
func (o *invariantChecker) isStartable(j *state.Job, ref state.TaskRef) bool {
	return o.fitsNow(j, ref) && o.sim.billing.payable(j, ref)
}

// fitsNow tells whether a task is due and a minion has room for it now.
func (o *invariantChecker) fitsNow(j *state.Job, ref state.TaskRef) bool {
	step := &j.Spec.Steps[ref.Step]
	if j.Tasks[ref.Step][ref.Task].Phase != state.TaskDue || step.Gang || o.sim.now < o.dueAt[ref] {
		return false
	}
	return slices.ContainsFunc(o.usableWorkers(), func(m *worker) bool {
		return o.reference.PlacementRefusal(&j.Spec, step, o.reference.Workers[m.addr]) == "" && o.reference.UsageOf(m.addr).Cores+step.Cores <= m.cores
	})
}

// usableWorkers gives the minions that are there and not held back, as sick ones are, which spoil what they are given.
func (o *invariantChecker) usableWorkers() []*worker {
	var unhealthy []string
	for _, d := range o.sim.dataPlanes {
		if d.alive && d.scheduler.Epoch() > 0 {
			unhealthy = d.scheduler.UnhealthyWorkers()
		}
	}
	var out []*worker
	for _, m := range o.sim.workers {
		if o.reference.Workers[m.addr] != nil && m.alive && !m.frozen && !m.draining && !slices.Contains(unhealthy, m.addr) {
			out = append(out, m)
		}
	}
	return out
}

// checkEnd judges what must hold when all is over.
func (o *invariantChecker) checkEnd() {
	s := o.sim
	s.countCase("all ends")
	for _, j := range s.clients.jobs {
		if !j.abandoned && j.outcome == "" {
			phase := state.JobPhase("unknown")
			if k := o.reference.Jobs[j.spec.Key]; k != nil {
				phase = k.Phase
			}
			s.reportBreach("all ends", "%s, sent at %v, accepted at %v, has not ended; the log has it as %q", j.spec.Key, j.sentAt, j.acceptedAt, phase)
		}
	}
	o.compareStates()
}
