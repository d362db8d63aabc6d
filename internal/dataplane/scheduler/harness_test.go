package scheduler

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"crosstide/internal/internalapi"
	"crosstide/internal/state"
	"crosstide/internal/state/command"
)

// harness is a store of one, with a core on its state: what the core plans is committed when the test says so.
type harness struct {
	st   *state.State
	core *Core
	now  time.Duration
	wait map[string]OutgoingCall // waiting calls that are out, by minion
	// room is the cores that a minion tells of, by name; 4 if it is not in it.
	coresByWorker map[string]int
}

func newHarness(kind string, workers ...string) *harness {
	d := &harness{st: state.New(), now: time.Minute, wait: map[string]OutgoingCall{}}
	d.core = New(DefaultConfig(), d.st)
	d.st.OnEvent = d.core.StateChanged
	d.do(&command.GrantRole{Role: "sched", Holder: "d1"})
	for _, name := range workers {
		d.do(&command.Announce{Worker: state.Worker{Name: name, Addr: name, Kind: kind}})
	}
	d.lead()
	return d
}

func (d *harness) do(c command.Command) any {
	data, err := command.Encode(time.Unix(0, 0).Add(d.now), c)
	if err != nil {
		panic(err)
	}
	a, err := command.Apply(d.st, d.st.Index+1, 1, data)
	if err != nil {
		panic(err)
	}
	return a
}

// lead gives the duty to a holder after the present one.
func (d *harness) lead() {
	d.do(&command.GrantRole{Role: "sched", Holder: "d", After: d.st.Roles["sched"].Epoch})
	d.core = New(DefaultConfig(), d.st)
	d.st.OnEvent = d.core.StateChanged
	d.core.BecomeLeader(d.now, d.st.Roles["sched"].Epoch)
	d.core.SetRoleLease(d.now + time.Hour)
	clear(d.wait)
}

func (d *harness) submit(key string, step state.StepSpec) {
	step.Name, step.Type = "s", "t"
	step.Tasks, step.Cores = max(step.Tasks, 1), max(step.Cores, 1)
	d.do(&command.Submit{Spec: state.Spec{Key: key, Team: "a", Queue: "default", Steps: []state.StepSpec{step}}, Digest: key, Bound: 100})
}

// commit applies a plan and answers it.
func (d *harness) commit(p *command.Plan) {
	if p != nil {
		d.core.PlanAnswered(d.now, p.Epoch, d.do(p).(command.Planned), nil)
	}
}

// commitPlans passes and commits until no plan comes, and gives the calls of all passes.
func (d *harness) commitPlans() []OutgoingCall {
	var calls []OutgoingCall
	for {
		out := d.core.Pass(d.now)
		calls = append(calls, out.Calls...)
		for _, c := range out.Calls {
			if !c.IsOrder {
				d.wait[c.Worker] = c
			}
		}
		if out.Plan == nil {
			return calls
		}
		d.commit(out.Plan)
	}
}

func (d *harness) answer(c OutgoingCall, kind string, a internalapi.LeaseAnswer) {
	a.Call, a.Epoch, a.Kind, a.Clock, a.Floor = c.Call.Call, c.Call.Epoch, kind, d.now, max(a.Floor, c.Call.Floor)
	a.Cores, a.Zone = 4, "z1"
	if cores, ok := d.coresByWorker[c.Worker]; ok {
		a.Cores = cores
	}
	if a.Incarnation == "" {
		a.Incarnation = "b1"
	}
	d.core.CallAnswered(d.now, c.Worker, c.IsOrder, c.Call, a)
}

// greetWorkers answers the waiting calls, so that every minion is known.
func (d *harness) greetWorkers(kind string) {
	for range 2 {
		d.commitPlans()
		d.reply(kind, "", internalapi.LeaseAnswer{})
	}
	d.commitPlans()
}

// reply answers the waiting calls that are out, but for those of the minion named.
func (d *harness) reply(kind, but string, a internalapi.LeaseAnswer) {
	for _, name := range slices.Sorted(maps.Keys(d.wait)) {
		if c := d.wait[name]; name != but {
			delete(d.wait, name)
			d.answer(c, kind, a)
		}
	}
}

// orderCall gives the one call with starts among calls.
func findOrder(calls []OutgoingCall) *OutgoingCall {
	for i := range calls {
		if len(calls[i].Call.Starts) > 0 {
			return &calls[i]
		}
	}
	return nil
}

func taskOf(d *harness, key string) *state.Task {
	_, t := d.st.TaskOf(state.TaskRef{Job: key})
	return t
}

func TestRunIDBeforeOrder(t *testing.T) {
	Convey("an order leaves only after its ticket's commit was answered", t, func() {
		d := newHarness("check", "m1")
		d.greetWorkers("check")
		d.submit("j", state.StepSpec{})
		out := d.core.Pass(d.now)
		So(out.Plan, ShouldNotBeNil)
		So(out.Plan.Seq, ShouldEqual, 1) // the inbox number is written ahead, in the same commit
		d.commit(out.Plan)
		out = d.core.Pass(d.now)
		So(out.Plan, ShouldNotBeNil)
		So(out.Plan.Starts, ShouldHaveLength, 1)
		So(findOrder(out.Calls), ShouldBeNil)
		So(findOrder(d.core.Pass(d.now).Calls), ShouldBeNil)
		d.commit(out.Plan)
		So(d.st.Handles, ShouldHaveLength, 1)
		o := findOrder(d.core.Pass(d.now).Calls)
		So(o, ShouldNotBeNil)
		So(o.Call.Starts[0].RunID, ShouldEqual, 1)

		Convey("and only inside its window", func() {
			d = newHarness("check", "m1")
			d.greetWorkers("check")
			d.submit("j", state.StepSpec{})
			d.commit(d.core.Pass(d.now).Plan)
			d.commit(d.core.Pass(d.now).Plan)
			d.now += DefaultConfig().StartWindow + time.Millisecond
			So(findOrder(d.core.Pass(d.now).Calls), ShouldBeNil) // voided
			d.commit(d.core.Pass(d.now).Plan)
			So(taskOf(d, "j").Phase, ShouldEqual, state.TaskDue)
			So(d.core.Counts.ProvedDead[command.ProofUnsent], ShouldEqual, 1)
		})
		Convey("and not once the lease has only its margin left", func() {
			d.submit("k", state.StepSpec{})
			d.core.SetRoleLease(d.now + DefaultConfig().RoleLeaseMargin)
			So(d.core.Pass(d.now), ShouldResemble, Actions{})
		})
	})
}

func TestLimitOrdersOnly(t *testing.T) {
	Convey("a type over its limit runs where there is room, after types under theirs", t, func() {
		d := newHarness("check", "m1")
		d.greetWorkers("check")
		d.st.Bundle.Limits = map[string]int{"t": 1}
		d.submit("j", state.StepSpec{Tasks: 6})
		d.submit("k", state.StepSpec{})
		d.st.Jobs["k"].Spec.Steps[0].Type = "u"
		o := findOrder(d.commitPlans())
		So(o, ShouldNotBeNil)
		So(o.Call.Starts, ShouldHaveLength, 4) // all the room there is, though the limit of t is 1
		So(o.Call.Starts[1].Type, ShouldEqual, "u")
		So(d.core.RunningCount("t"), ShouldEqual, 3)
		So(d.st.RunningCount("t"), ShouldEqual, 3)
		Convey("and a new holder rebuilds the same tally before it releases anything", func() {
			d.lead()
			So(d.core.RunningCount("t"), ShouldEqual, 3)
			So(d.core.RunningCount("u"), ShouldEqual, 1)
			So(findOrder(d.commitPlans()), ShouldBeNil) // no minion has answered under the new epoch
		})
	})
}

// event is one thing that may happen after an order went out.
type event struct {
	name string
	do   func(d *harness, w *workerModel)
}

// workerModel is what is true at the minion: whether the order arrived, ran, ended.
type workerModel struct {
	kind    string
	order   OutgoingCall
	arrived bool
	floor   uint64
	started map[uint64]int
	running map[uint64]bool
}

func (w *workerModel) listing() internalapi.LeaseAnswer {
	a := internalapi.LeaseAnswer{Floor: w.floor}
	for t := range w.running {
		a.Running = append(a.Running, t)
	}
	return a
}

// arrive carries the order out as a minion of the kind does.
func (w *workerModel) arrive(d *harness) {
	for _, s := range w.order.Call.Starts {
		late := d.now > s.LeaseUntil
		if w.kind == "check" {
			late = late || s.RunID <= w.floor || d.now > s.StartBy
		}
		if !late {
			w.started[s.RunID]++
			w.running[s.RunID] = true
		}
	}
	w.arrived = true
}

func permute(n int, do func(order []int)) {
	order := make([]int, n)
	var rec func(k int, used int)
	rec = func(k, used int) {
		if k == n {
			do(order)
			return
		}
		for i := range n {
			if used&(1<<i) == 0 {
				order[k] = i
				rec(k+1, used|1<<i)
			}
		}
	}
	rec(0, 0)
}

// TestEveryEventOrder tries, one by one, every order of: the order's arrival, the loss of its answer, a waiting call
// answered, a new leader, the lapse of time. Whatever the order, the task is never running twice, and a second
// run ID is given only when the first can never run any more.
func TestEveryEventOrder(t *testing.T) {
	events := []event{
		{"arrive", func(d *harness, w *workerModel) { w.arrive(d) }},
		{"lost", func(d *harness, w *workerModel) { d.core.CallFailed(d.now, "m1", true, w.order.Call, true) }},
		{"listing", func(d *harness, w *workerModel) { w.poll(d) }},
		{"listing", func(d *harness, w *workerModel) { w.poll(d) }},
		{"leader", func(d *harness, w *workerModel) { d.lead() }},
		{"time", func(d *harness, w *workerModel) { d.now += 3 * time.Second }},
	}
	for _, kind := range []string{"check", "obey"} {
		Convey("every order of a start, its lost answer, listings, a new leader and time: "+kind, t, func() {
			cases, seconds := 0, 0
			permute(len(events), func(seq []int) {
				d := newHarness(kind, "m1")
				d.greetWorkers(kind)
				d.submit("j", state.StepSpec{})
				calls := d.commitPlans()
				o := findOrder(calls)
				w := &workerModel{kind: kind, order: *o, started: map[uint64]int{}, running: map[uint64]bool{}}
				names := ""
				sent := d.now
				for _, i := range seq {
					names += events[i].name + " "
					// An obeying minion may carry the order out late, up to its bound, and no later.
					if events[i].name == "arrive" && kind == "obey" && d.now-sent > DefaultConfig().Lateness {
						continue
					}
					events[i].do(d, w)
					for _, c := range d.commitPlans() {
						if len(c.Call.Starts) > 0 && c.Call.Starts[0].RunID != 1 {
							seconds++
							if w.running[1] {
								panic(fmt.Sprintf("%s: a second ticket while the first runs: %s", kind, names))
							}
							if !w.arrived && (kind == "check" || d.now-sent <= DefaultConfig().Lateness) {
								w.arrive(d) // the late order arrives now
								if w.running[1] {
									panic(fmt.Sprintf("%s: a late order started beside a second ticket: %s", kind, names))
								}
							}
						}
					}
				}
				cases++
			})
			So(cases, ShouldEqual, 720)
			So(seconds, ShouldBeGreaterThan, 0) // the case that matters did come up
		})
	}
}

// poll answers the waiting call that is out, as things stand at the minion.
func (w *workerModel) poll(d *harness) {
	d.commitPlans()
	if c, ok := d.wait["m1"]; ok {
		delete(d.wait, "m1")
		w.floor = max(w.floor, c.Call.Floor)
		for _, s := range c.Call.Stops {
			delete(w.running, s.RunID)
		}
		d.answer(c, w.kind, w.listing())
	}
}

func TestStaleAnswer(t *testing.T) {
	Convey("an answer that is older than one taken in, or names another call, proves nothing", t, func() {
		d := newHarness("check", "m1")
		d.greetWorkers("check")
		wait := d.wait["m1"]
		d.submit("j", state.StepSpec{})
		o := findOrder(d.commitPlans())
		So(o, ShouldNotBeNil)
		d.answer(*o, "check", internalapi.LeaseAnswer{Running: []uint64{1}})
		d.answer(wait, "check", internalapi.LeaseAnswer{Floor: 9}) // made before the order arrived
		d.commitPlans()
		So(d.st.Handles[1], ShouldNotBeNil)
		So(d.st.Handles[1].Phase, ShouldEqual, state.TaskRunning)
		So(d.core.Counts.StaleAnswers, ShouldEqual, 1)
	})
}

func TestLeaseExpiryAndNewIncarnation(t *testing.T) {
	Convey("given a running task on a minion that falls silent", t, func() {
		d := newHarness("check", "m1", "m2")
		d.greetWorkers("check")
		d.submit("j", state.StepSpec{Run: json.RawMessage(`{}`)})
		o := findOrder(d.commitPlans())
		d.answer(*o, "check", internalapi.LeaseAnswer{Running: []uint64{1}})
		d.commitPlans()
		Convey("its task is due again only when the hold told last has run out on its clock", func() {
			end := o.Call.Starts[0].LeaseUntil
			tick := func() {
				for _, c := range d.commitPlans() {
					So(c.Call.Starts, ShouldBeEmpty)
				}
				if c, ok := d.wait[o.Worker]; ok { // no renewal may go to a minion that does not answer
					end = max(end, c.Call.RenewUntil)
					delete(d.wait, o.Worker)
					d.core.CallFailed(d.now, c.Worker, false, c.Call, true)
				}
				d.reply("check", o.Worker, internalapi.LeaseAnswer{})
			}
			for tick(); d.now+500*time.Millisecond < end+200*time.Millisecond; tick() {
				d.now += 500 * time.Millisecond
			}
			So(taskOf(d, "j").RunID, ShouldEqual, 1)
			So(end, ShouldBeLessThanOrEqualTo, o.Call.Starts[0].LeaseUntil+DefaultConfig().RunLease)
			d.now += time.Second
			d.commitPlans()
			d.commitPlans()
			So(taskOf(d, "j").RunID, ShouldEqual, 2)
			So(d.core.Counts.ProvedDead[command.ProofLeaseExpired], ShouldEqual, 1)
		})
		Convey("a new boot proves it dead at once", func() {
			for range 2 { // the first one is older than the order's answer and tells nothing
				d.reply("check", "", internalapi.LeaseAnswer{Incarnation: "b2"})
				d.commitPlans()
			}
			So(d.st.Handles[1], ShouldBeNil)
			So(taskOf(d, "j").Lost, ShouldEqual, 1)
		})
	})
}

func TestFirstLease(t *testing.T) {
	Convey("the first hold of an obeying minion's run is short, and is renewed in full when the run is listed", t, func() {
		cfg := DefaultConfig()
		for kind, first := range map[string]time.Duration{"check": cfg.RunLease, "obey": cfg.Lateness} {
			d := newHarness(kind, "m1")
			d.greetWorkers(kind)
			d.submit("j", state.StepSpec{})
			o := findOrder(d.commitPlans())
			So(o.Call.Starts[0].LeaseUntil-d.now, ShouldEqual, first)
			d.answer(*o, kind, internalapi.LeaseAnswer{Running: []uint64{1}})
			d.commitPlans()
			d.reply(kind, "", internalapi.LeaseAnswer{Running: []uint64{1}})
			d.commitPlans()
			So(d.core.runs[1].leaseUntil-d.now, ShouldEqual, cfg.RunLease)
		}
	})
}
